/**
 * @file config.h
 * The deployment's configuration: loading the operator's folder, checking it,
 * packing it, and finding things in it.
 *
 * A configuration is a Lwm__Config of proto/config.proto in one talloc tree:
 * free it with talloc_free(), never with the generated free function.
 */
#ifndef CONFIG_H
#define CONFIG_H

#include <stddef.h>
#include <stdint.h>

#include "config.pb-c.h"

#define CONFIG_DIGEST_SIZE 33 /**< 32 hexadecimal digits and the end */
#define CONFIG_MAX_BYTES   (1024 * 1024)

/**
 * Loads the files *.yaml of a folder, merged in the order of their names.
 * @param mistakes set to one line for each mistake, a child of @a parent, when
 *                 NULL is returned
 * @return a child of @a parent, or NULL
 */
Lwm__Config *config_load (void *parent, const char *folder, char **mistakes);

/**
 * The same from texts in memory, already in the order of their names.
 * @param names file names, used in mistakes
 */
Lwm__Config *config_load_texts (void *parent,
                                size_t count,
                                const char *const *names,
                                const char *const *texts,
                                char **mistakes);

/** The packed form, a child of @a parent. */
uint8_t *
config_pack (void *parent, const Lwm__Config *config, size_t *size_bytes);

/** The configuration in packed form, or NULL; a child of @a parent. */
Lwm__Config *
config_unpack (void *parent, const uint8_t *data, size_t size_bytes);

/** Digest of the content, all but the number. */
void config_digest (const Lwm__Config *config, char digest[CONFIG_DIGEST_SIZE]);

/** The digest of a revision whose content is kept as it came. */
void config_digest_bytes (const uint8_t *data,
                          size_t size_bytes,
                          char digest[CONFIG_DIGEST_SIZE]);

const Lwm__Service *config_service (const Lwm__Config *config,
                                    const char *name);
const Lwm__Customer *config_customer (const Lwm__Config *config,
                                      const char *name);
const Lwm__Zone *config_zone (const Lwm__Config *config, const char *name);

/** The size class of a prompt; the last class has no upper end. */
const Lwm__SizeClass *config_size_class (const Lwm__Config *config,
                                         uint64_t prompt_tokens);

#endif
