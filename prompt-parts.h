/**
 * @file prompt-parts.h
 * The shared parts of a prompt, by which requests that have something in common
 * are recognized, and the signature by which a request that is sent again is.
 * The last part of a prompt belongs to its request alone and is not listed.
 *
 * All other parts are listed, however many: one that is left out could be the
 * one on which upstreams crash. A list is as long as the field that it was read
 * from allows, which is part of a head of bounded size; it takes 8 bytes for a
 * name and its comma.
 */
#ifndef PROMPT_PARTS_H
#define PROMPT_PARTS_H

#include <stddef.h>
#include <stdint.h>

typedef struct
{
  const uint64_t *ids; /**< hashes of the parts' names, NULL for none. A copy of
                          this struct refers to the same list, see
                          prompt_parts_copy(). */
  uint32_t count;
  uint64_t request; /**< signature of the whole request (request-signature.h),
                       0 for none */
} prompt_parts_t;

/** Returns the number of parts for the field of messages that earlier versions
 * read. They refuse a message with more; another field has all of a longer
 * list. */
size_t prompt_parts_first_count (const prompt_parts_t *parts);

/** Returns the parts of a message, which refer to its lists.
 * @param all of a list that is longer than @a first; else empty */
prompt_parts_t prompt_parts_from_message (const uint64_t *first,
                                          size_t first_count,
                                          const uint64_t *all,
                                          size_t all_count);

/** Returns a copy whose list is a child of @a parent (talloc). */
prompt_parts_t prompt_parts_copy (void *parent, const prompt_parts_t *parts);

#endif
