/**
 * @file limits.h
 * Rate limits of customers, by two token buckets each: one for tokens and one
 * for requests.
 *
 * The capacity of a bucket is the amount that its rate allows in one second. A
 * request that costs more than a full bucket passes when the bucket is full and
 * leaves a negative level, so that the mean rate holds for requests of any
 * size.
 */
#ifndef LIMITS_H
#define LIMITS_H

#include <stdbool.h>
#include <stdint.h>

typedef struct limits limits_t;

/** Creates an empty table of limits; freed with @a parent (talloc). */
limits_t *limits_new (void *parent);

/** Sets the limits of a customer; 0 means no limit. The used part of its
 * buckets stays used. */
void limits_put (limits_t *limits,
                 const char *customer,
                 uint64_t tokens_per_s,
                 uint32_t requests_per_s);

/**
 * Takes one request and its @a tokens from the customer's buckets if both allow
 * it, and otherwise takes nothing.
 * @param retry_after_ms set when refused: time until the request may pass
 * @return whether the request is within the limits; always true for a customer
 *   without limits
 */
bool limits_take (limits_t *limits,
                  const char *customer,
                  uint64_t tokens,
                  uint64_t now_ms,
                  uint32_t *retry_after_ms);

/** Puts @a tokens and @a requests that were taken but not used back into the
 * buckets of a customer. */
void limits_refund (limits_t *limits,
                    const char *customer,
                    uint64_t tokens,
                    uint32_t requests);

#endif
