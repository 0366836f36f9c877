/**
 * @file shared-bytes.h
 * A byte array that grows with little spare room and may have several owners,
 * such as a request's body and the buffers through which it is sent.
 */
#ifndef SHARED_BYTES_H
#define SHARED_BYTES_H

#include <stddef.h>
#include <stdint.h>

struct evbuffer;

/** Read only, but for shared_bytes_append(). */
typedef struct
{
  uint8_t *data;
  size_t size_bytes;
  size_t room_bytes; /**< allocated */
  uint32_t owners;
} shared_bytes_t;

/** Creates an empty array with one owner. */
shared_bytes_t *shared_bytes_new (void);

/** Adds an owner; returns @a bytes. */
shared_bytes_t *shared_bytes_ref (shared_bytes_t *bytes);

/** Removes an owner; frees the array with the last one. */
void shared_bytes_unref (shared_bytes_t *bytes);

/** Appends bytes. The array must have one owner. */
void shared_bytes_append (shared_bytes_t *bytes,
                          const void *data,
                          size_t size_bytes);

/** Empties the array that @a bytes points to: replaces it by a new one if it
 * has other owners. */
void shared_bytes_clear (shared_bytes_t **bytes);

/** Adds all bytes to @a out without a copy; @a out is an owner until they are
 * sent. */
void shared_bytes_add_to (shared_bytes_t *bytes, struct evbuffer *out);

#endif
