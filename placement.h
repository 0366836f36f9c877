/**
 * @file placement.h
 * Chooses the upstream for a request, by a named policy.
 *
 * `random`, `round-robin`, `least-outstanding` and `two-choices` are baselines
 * for comparison; of an upstream's state they check only that it serves the
 * request and has room. `predicted` compares predicted times to the first
 * token.
 */
#ifndef PLACEMENT_H
#define PLACEMENT_H

#include <stdbool.h>
#include <stdint.h>

#include "fleet.h"
#include "job.h"
#include "sched.h"

typedef struct placement placement_t;

/** What to do with a waiting request. */
typedef enum
{
  PLACEMENT_SEND,        /**< send it to the chosen upstream now */
  PLACEMENT_WAIT,        /**< an upstream serves it, but none can take it now */
  PLACEMENT_NO_UPSTREAM, /**< no usable upstream serves it */
} placement_verdict_t;

/** Result of placement_choose(). */
typedef struct
{
  placement_verdict_t verdict;
  fleet_upstream_t *upstream; /**< chosen upstream, with PLACEMENT_SEND */
  sched_reason_t why;
  double first_token_ms; /**< predicted time from now; with PLACEMENT_SEND
                              and the predicted policy */
} placement_result_t;

/**
 * Creates the state of a policy, freed with @a parent (talloc).
 * @param seed of the random choices
 * @param fleet upstreams to choose from; must outlive the result
 */
placement_t *placement_new (void *parent,
                            sched_policy_t policy,
                            uint64_t seed,
                            const fleet_t *fleet);

/** Chooses an upstream for @a job; changes only the state of the policy. */
placement_result_t
placement_choose (placement_t *placement, const job_t *job, uint64_t now_ms);

/**
 * Returns the priority, 0 to 9, that the upstream is given for @a job. With
 * SCHED_PREDICTED it depends first on the length class of the prompt, where
 * shorter prompts are higher, and then on the priority of the request. An
 * engine reads prompts in steps, so a short prompt overtakes a long one at the
 * next step. In the instance's waiting queue the priority of the request comes
 * first. With the other policies the request's priority is returned unchanged.
 */
uint32_t placement_priority (const placement_t *placement, const job_t *job);

/** Returns the total prefill rate of the upstreams in this instance's zone that
 * serve @a job or, when there are none, of those in the other zones. */
double placement_capacity_tokens_s (const placement_t *placement,
                                    const job_t *job);

/** Returns the shortest predicted time to read the prompt of @a job at an
 * upstream that serves it, in ms; infinity when there is none. */
double placement_read_ms (const placement_t *placement, const job_t *job);

/** Returns whether @a job would fit into the KV memory of any usable upstream
 * if that memory were empty. */
bool placement_fits (const placement_t *placement, const job_t *job);

/** Returns whether any usable upstream serves @a job, even without room. */
bool placement_serves (const placement_t *placement, const job_t *job);

#endif
