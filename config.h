/**
 * @file config.h
 * Loads the deployment's configuration from the operator's folder, validates
 * it, serializes it, and looks up entries in it.
 *
 * A configuration is a Lwm__Config of proto/config.proto in one talloc tree. It
 * must be freed by talloc_free(), never by the generated free function.
 */
#ifndef CONFIG_H
#define CONFIG_H

#include <stddef.h>
#include <stdint.h>

#include "config.pb-c.h"

#define CONFIG_DIGEST_SIZE 33 /**< 32 hexadecimal digits and the NUL */
#define CONFIG_MAX_BYTES   (1024 * 1024) /**< limit of the packed form */

/**
 * Loads the *.yaml files of a folder and merges them in the order of their
 * names.
 * @param mistakes set to one line for each mistake, a child of @a parent, when
 *                 NULL is returned
 * @return a child of @a parent, or NULL
 */
Lwm__Config *config_load (void *parent, const char *folder, char **mistakes);

/**
 * Loads a configuration as config_load() does, but from texts in memory.
 * @param names file names, sorted; used in @a mistakes
 * @param texts content of each file
 */
Lwm__Config *config_load_texts (void *parent,
                                size_t count,
                                const char *const *names,
                                const char *const *texts,
                                char **mistakes);

/** Returns the packed protobuf message, a child of @a parent. */
uint8_t *
config_pack (void *parent, const Lwm__Config *config, size_t *size_bytes);

/** Returns the configuration that @a data encodes, a child of @a parent; NULL
 * when the data is malformed. */
Lwm__Config *
config_unpack (void *parent, const uint8_t *data, size_t size_bytes);

/** Computes the digest of the content: every field except the number. */
void config_digest (const Lwm__Config *config, char digest[CONFIG_DIGEST_SIZE]);

/** Computes the digest of a revision whose content is stored as raw bytes. */
void config_digest_bytes (const uint8_t *data,
                          size_t size_bytes,
                          char digest[CONFIG_DIGEST_SIZE]);

/** Returns the service called @a name, or NULL; owned by @a config. */
const Lwm__Service *config_service (const Lwm__Config *config,
                                    const char *name);
/** Returns the customer called @a name, or NULL; owned by @a config. */
const Lwm__Customer *config_customer (const Lwm__Config *config,
                                      const char *name);
/** Returns the zone called @a name, or NULL; owned by @a config. */
const Lwm__Zone *config_zone (const Lwm__Config *config, const char *name);

/** Returns the size class of a prompt, or NULL when there is no class. The last
 * class has no upper limit. */
const Lwm__SizeClass *config_size_class (const Lwm__Config *config,
                                         uint64_t prompt_tokens);

#endif
