/**
 * @file upstream-limit.h
 * The rate limit that an upstream names in its answers: the requests a second
 * that it takes from all instances together. No I/O; time is an argument.
 *
 * One placer grants the requests, so that the sum over all instances holds. It
 * grants credit that builds up with time, starting from none.
 */
#ifndef UPSTREAM_LIMIT_H
#define UPSTREAM_LIMIT_H

#include <stdbool.h>
#include <stdint.h>

/** No limit is known when all fields are 0. */
typedef struct
{
  double rate_s;        /**< requests per second; 0: no limit */
  double credit;        /**< requests that may be sent, may be negative */
  uint64_t credited_ms; /**< up to when the credit is counted */
  uint64_t stated_ms;   /**< when the newest answer that says so began */
} upstream_limit_t;

/**
 * Records what an answer that began at @a stated_ms says. An older answer than
 * the newest one known has no effect.
 * @param rate_s requests per second; 0: the answer names no limit
 * @return whether the rate is another one now
 */
bool upstream_limit_set (upstream_limit_t *limit,
                         double rate_s,
                         uint64_t stated_ms,
                         uint64_t now_ms);

/** Returns whether a limit holds. */
bool upstream_limit_holds (const upstream_limit_t *limit);

/** Returns the time until another request may be sent; 0: now. */
uint32_t upstream_limit_wait_ms (const upstream_limit_t *limit,
                                 uint64_t now_ms);

/** Counts one request that is sent. */
void upstream_limit_spend (upstream_limit_t *limit, uint64_t now_ms);

#endif
