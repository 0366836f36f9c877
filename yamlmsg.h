/**
 * @file yamlmsg.h
 * Reads YAML documents into protobuf-c messages by their descriptors.
 *
 * Keys are the schema's field names; enum values are the schema's names in
 * lower case. Several files can be read into one message, in order: a scalar or
 * a list of texts in a later file replaces the earlier one, and a list entry
 * whose `name` was read before changes the earlier entry. The reader collects
 * every mistake as one line "FILE:LINE: KEY: expected WHAT, got WHAT".
 */
#ifndef YAMLMSG_H
#define YAMLMSG_H

#include <protobuf-c/protobuf-c.h>
#include <stdbool.h>
#include <stdint.h>

#include "number.h"

typedef struct yamlmsg yamlmsg_t;

/** Valid values of a whole number. A table ends with a row whose message is
 * NULL. */
typedef struct
{
  const ProtobufCMessageDescriptor *message;
  const char *field;
  number_range_t range; /**< whole numbers without a row accept no fraction */
} yamlmsg_range_t;

/** Sets the default values of a message that was just created. */
typedef void (*yamlmsg_defaults_cb_t) (ProtobufCMessage *message);

/** Parameters of yamlmsg_new(). */
typedef struct
{
  const yamlmsg_range_t *ranges;  /**< kept by reference */
  yamlmsg_defaults_cb_t defaults; /**< may be NULL */
} yamlmsg_options_t;

/**
 * Creates a reader that fills @a message and sets its default values.
 * @param message a talloc context, which owns everything that is read
 * @return freed with @a parent (talloc)
 */
yamlmsg_t *yamlmsg_new (void *parent,
                        const yamlmsg_options_t *options,
                        ProtobufCMessage *message);

/**
 * Reads the text of one file into the message.
 * @param file name in reported mistakes; kept by reference until the next call
 */
void yamlmsg_read (yamlmsg_t *reader,
                   const char *file,
                   const uint8_t *text,
                   size_t size_bytes);

/**
 * Adds a mistake that the caller found. Prefixes it with "FILE:LINE: " when
 * @a entry is a list entry that was read; @a entry may be NULL.
 */
void yamlmsg_add_mistake (yamlmsg_t *reader,
                          const ProtobufCMessage *entry,
                          const char *fmt,
                          ...) __attribute__ ((format (printf, 3, 4)));

/**
 * Returns all mistakes so far, one per line; empty when there are none. The
 * reader owns the text, which is valid until the next mistake is added.
 */
const char *yamlmsg_mistakes (const yamlmsg_t *reader);

#endif
