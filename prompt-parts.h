/**
 * @file prompt-parts.h
 * The shared parts of a prompt, by which requests that have something in common
 * are recognized, and the signature by which a request that is sent again is.
 * The last part of a prompt belongs to its request alone and is not listed.
 */
#ifndef PROMPT_PARTS_H
#define PROMPT_PARTS_H

#include <stdint.h>

/** Parts of a longer list are left out. */
#define PROMPT_MAX_PARTS 8

typedef struct
{
  uint64_t ids[PROMPT_MAX_PARTS]; /**< hashes of the parts' names */
  uint32_t count;
  uint64_t request; /**< signature of the whole request (request-signature.h),
                       0 for none */
} prompt_parts_t;

#endif
