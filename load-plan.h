/**
 * @file load-plan.h
 * The requests of a scenario, one after the other: when each is sent and what
 * is in it. The same seed gives the same requests. No I/O.
 *
 * Arrivals are a Poisson process whose rate follows the phases, by thinning
 * (Lewis and Shedler, 1979). They do not wait for answers.
 */
#ifndef LOAD_PLAN_H
#define LOAD_PLAN_H

#include <stdbool.h>
#include <stdint.h>

#include "generated/scenario.pb-c.h"

typedef struct load_plan load_plan_t;

/** One request; strings belong to the scenario. */
typedef struct
{
  uint64_t number; /**< from 1 */
  uint64_t at_us;  /**< intended send time, scenario's time */
  const char *customer;
  const Lwm__LoadClass *class_; /**< of a prompt, or NULL */
  const Lwm__LoadCall *call;    /**< of a call to a plain service, or NULL */
  uint64_t resend_of;           /**< number of the call sent again, or 0 */
  uint32_t prompt_tokens;
  uint32_t output_tokens;
  int32_t prefix;         /**< which shared prefix it starts with, or -1 */
  uint32_t prefix_tokens; /**< its length, at most prompt_tokens */
  uint64_t text_offset;   /**< where its own text starts in the pool, bytes */
} load_request_t;

typedef struct
{
  const Lwm__Scenario *scenario;
  uint64_t seed;        /**< 0: the scenario's */
  uint64_t duration_ms; /**< 0: the scenario's */
  double rate;          /**< prompts a second at 100 %, 0: the scenario's */
  uint64_t pool_bytes;  /**< size of the text that prompts are cut from */
} load_plan_options_t;

load_plan_t *load_plan_new (void *parent, const load_plan_options_t *options);

/** The next request in order of time; false at the end. */
bool load_plan_next (load_plan_t *plan, load_request_t *request);

#endif
