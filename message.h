/**
 * @file message.h
 * Packs, unpacks and copies protobuf-c messages as talloc trees.
 *
 * A message from this module must be freed with talloc_free(), never with the
 * generated free function.
 */
#ifndef MESSAGE_H
#define MESSAGE_H

#include <protobuf-c/protobuf-c.h>
#include <stddef.h>
#include <stdint.h>

/**
 * Unpacks a message.
 * @return a child of @a parent, or NULL when @a data is malformed
 */
void *message_unpack (void *parent,
                      const ProtobufCMessageDescriptor *descriptor,
                      const uint8_t *data,
                      size_t size_bytes);

/** Packs @a message; the result is a child of @a parent. */
uint8_t *message_pack (void *parent,
                       const ProtobufCMessage *message,
                       size_t *size_bytes);

/** Returns a deep copy of @a message, a child of @a parent. */
void *message_copy (void *parent, const ProtobufCMessage *message);

#endif
