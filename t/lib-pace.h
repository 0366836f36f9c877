/**
 * @file lib-pace.h
 * Simulates upstreams that start, return and fail, and placers that limit their
 * open requests by different policies. Time is simulated.
 */
#ifndef LIB_PACE_H
#define LIB_PACE_H

#include <stdbool.h>
#include <stdint.h>

/** How open requests at an upstream that has returned are limited. */
typedef enum
{
  PACE_POLICY_NO_LIMIT,
  PACE_POLICY_PROBE,    /**< one request until one is answered, then any */
  PACE_POLICY_RAMP,     /**< a limit that rises with time alone */
  PACE_POLICY_AIMD,     /**< additive increase, multiplicative decrease */
  PACE_POLICY_GRADIENT, /**< by predicted over observed time */
  PACE_POLICY_PRODUCT,  /**< upstream-pace.h */
  PACE_POLICY_COUNT,
} pace_policy_t;

/** What the upstreams do. */
typedef enum
{
  PACE_CASE_FAST,     /**< one returns with its full capacity */
  PACE_CASE_SLOW,     /**< one returns, its capacity grows over five seconds */
  PACE_CASE_WEAK,     /**< one returns with a quarter of its capacity */
  PACE_CASE_FLAPPING, /**< one fails all requests in one of three seconds */
  PACE_CASE_ROLLING,  /**< each is replaced in turn by a slow starter */
  PACE_CASE_TOGETHER, /**< all start at once, slowly; 300 instances decide
                           alone */
  PACE_CASE_COUNT,
} pace_case_t;

/** The result of a run, over all requests. */
typedef struct
{
  uint32_t requests;
  uint32_t in_time;
  uint32_t late;
  uint32_t failed;
  uint32_t errors;       /**< attempts that were refused or failed */
  uint32_t returned;     /**< sent to an upstream that had returned lately */
  uint32_t returned_bad; /**< of these, late or failed */
  /** Of the work that the returned upstream could have done, as far as others
   * had work to give: the part that it did; 0 if several return. */
  double used;
  /** Highest number of open requests over the capacity of the moment at an
   * upstream that had returned. */
  double most_over;
} pace_result_t;

/** Returns the name of a policy or a case. */
const char *pace_policy_name (pace_policy_t policy);
const char *pace_case_name (pace_case_t kind);

/** Plays a case. */
pace_result_t pace_play (pace_case_t kind, pace_policy_t policy, uint32_t seed);

#endif
