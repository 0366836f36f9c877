/**
 * @file upstream-cold.h
 * The bound on the requests that reach a cold upstream in any second, summed
 * over all instances. No I/O; time is an argument.
 *
 * An upstream is cold for a while after its start, and when it says so. The
 * bound is divided between deciders that may not know of each other, so that
 * the sum holds: the placer of the upstream's zone counts the requests of all
 * instances and grants most of the bound; the rest consists of single requests
 * a second, each held by one instance, which decides alone when it must.
 */
#ifndef UPSTREAM_COLD_H
#define UPSTREAM_COLD_H

#include <stdbool.h>
#include <stdint.h>

/** Requests that are remembered; a bound above this is not used in full. */
#define UPSTREAM_COLD_MAX_REQUESTS 128

/** The bound of a service's upstreams; off when requests_s is 0. */
typedef struct
{
  uint32_t requests_s;  /**< in any second */
  uint32_t duration_ms; /**< for which an upstream is cold after its start */
} upstream_cold_rate_t;

/** The part of the bound that a decider may grant. */
typedef struct
{
  /** It counts the requests of all instances, and no other decider does. */
  bool is_counting;
  /** Place of this instance among those that hold single requests. */
  uint32_t rank;
} upstream_cold_share_t;

/** A request that was sent to the upstream. */
typedef struct
{
  uint64_t job;
  uint64_t sent_ms;
  bool is_own; /* granted by this instance */
} upstream_cold_request_t;

/** State of one upstream; all fields are 0 at first. */
typedef struct
{
  upstream_cold_rate_t rate;
  uint64_t until_ms;                 /**< end of the time in which it is cold */
  upstream_cold_request_t *requests; /* UPSTREAM_COLD_MAX_REQUESTS, or NULL */
  uint32_t next;                     /* index in requests to overwrite next */
} upstream_cold_t;

/** Returns the bound that a configured rate and its tolerances allow. */
upstream_cold_rate_t upstream_cold_make_rate (double requests_s,
                                              double duration_s,
                                              double excess,
                                              double slack);

/** Sets the bound. Memory that the state needs is freed with @a parent
 * (talloc). */
void upstream_cold_set_rate (void *parent,
                             upstream_cold_t *cold,
                             const upstream_cold_rate_t *rate);

/**
 * Records that the upstream is cold until @a until_ms, or longer if that is
 * known already.
 * @return whether it was not known as cold at @a now_ms
 */
bool
upstream_cold_begin (upstream_cold_t *cold, uint64_t until_ms, uint64_t now_ms);

/** Returns whether the bound holds now. */
bool upstream_cold_holds (const upstream_cold_t *cold, uint64_t now_ms);

/** Counts a request, once for each @a job. It has no effect when the service
 * has no bound. */
void upstream_cold_count (upstream_cold_t *cold,
                          uint64_t job,
                          uint64_t sent_ms,
                          bool is_own);

/** Returns the time until the holder of @a share may grant a request; 0: now.
 */
uint32_t upstream_cold_wait_ms (const upstream_cold_t *cold,
                                const upstream_cold_share_t *share,
                                uint64_t now_ms);

/** Returns the requests that the placer which counts all grants in a second. */
uint32_t upstream_cold_counted_s (const upstream_cold_rate_t *rate);

/** Returns the number of instances that hold one request a second each. */
uint32_t upstream_cold_holders (const upstream_cold_rate_t *rate);

#endif
