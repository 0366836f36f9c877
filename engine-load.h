/**
 * @file engine-load.h
 * Estimates the work of one engine from the jobs known here, and the loss that
 * further work would cause these jobs. No I/O; time is an argument.
 *
 * An engine prefills parts of prompts that are split over several engines
 * before whole prompts, the newest part first. It prefills whole prompts in the
 * order in which they were sent.
 */
#ifndef ENGINE_LOAD_H
#define ENGINE_LOAD_H

#include <stdint.h>

#include "engine-model.h"
#include "request-losses.h"
#include "upstream-set.h"

/** Share of a request's value that is lost when it is late. */
#define ENGINE_LATE_SHARE 0.75

/** The estimated work of one engine. */
typedef struct
{
  uint32_t held;       /**< requests; parts for other engines are not counted */
  uint32_t decoding;   /**< requests being decoded */
  uint32_t prefilling; /**< requests and parts not prefilled yet */
  double context_tokens;  /**< context of all decoding requests together */
  double kv_tokens;       /**< KV memory of all jobs */
  double backlog_ms;      /**< time until all queued prompts are prefilled */
  double pass_prefill_ms; /**< prefill time that may fall into one pass */
  double decode_ms;       /**< time of a pass without prefill */
} load_estimate_t;

/** The times at which split prompts have their first event: when the last of
 * their engines has prefilled its part. */
typedef struct prefill_ends prefill_ends_t;

/** Creates an empty table; the caller frees it with prefill_ends_free(). */
prefill_ends_t *prefill_ends_new (void);

void prefill_ends_free (prefill_ends_t *ends);

/** Adds the parts that wait at @a member. */
void prefill_ends_add (prefill_ends_t *ends,
                       const upstream_member_t *member,
                       const load_estimate_t *load,
                       uint64_t now_ms);

/** Estimates the load of @a member from its known jobs. */
load_estimate_t engine_load_estimate (const engine_model_t *model,
                                      const upstream_member_t *member,
                                      uint64_t now_ms);

/**
 * Returns the longest prefill time in ms that @a part_tokens of a prompt of @a
 * prompt_tokens add to one pass.
 */
double engine_load_part_pass_ms (const engine_model_t *model,
                                 double prompt_tokens,
                                 double part_tokens);

/**
 * Adds the losses of the decoding requests if a pass takes @a pause_ms, in
 * upstream_job_value() units. Requests that already had too long a pause are
 * not counted.
 */
void engine_load_add_decode_losses (const upstream_member_t *member,
                                    double pause_ms,
                                    request_losses_t *losses);

/**
 * Adds the losses of all requests still waiting for their first event if a
 * further part takes @a part_ms, in upstream_job_value() units. A split prompt
 * that waits for another engine loses nothing until then.
 * @param ends filled from all engines
 */
void engine_load_add_prefill_losses (const upstream_member_t *member,
                                     const load_estimate_t *load,
                                     const prefill_ends_t *ends,
                                     double part_ms,
                                     uint64_t now_ms,
                                     request_losses_t *losses);

/** Returns 0 up to @a from, 1 from @a to on, and linear values between. */
double engine_load_ramp (double value, double from, double to);

/**
 * Returns the share of its value that a request loses through a pause of @a
 * pause_ms when it accepts pauses of @a gap_target_ms.
 */
double engine_load_pause_loss (double pause_ms, double gap_target_ms);

#endif
