/**
 * @file predict.h
 * Predicts the time to the first token of a request at an upstream.
 *
 * An engine reads short prompts before long ones (see placement_priority()),
 * so a short prompt waits for the other short prompts at the engine and for at
 * most one step of a long prompt. A load report does not distinguish short from
 * long prompts, so for a short prompt the backlog of other instances counts
 * only up to a bound.
 */
#ifndef PREDICT_H
#define PREDICT_H

#include <stdint.h>

#include "fleet.h"
#include "job.h"

/** Returns how long @a job would wait at @a upstream until the engine starts to
 * read its prompt, in ms. */
double predict_wait_ms (const fleet_upstream_t *upstream,
                        const job_t *job,
                        uint64_t now_ms);

/** Returns how long the upstream takes to read the uncached part of the prompt
 * of @a job without other work, in ms. */
double predict_read_ms (const fleet_upstream_t *upstream, const job_t *job);

/** Returns the predicted time from sending @a job to its first token, in ms. */
double predict_first_token_ms (const fleet_upstream_t *upstream,
                               const job_t *job,
                               uint64_t now_ms);

/**
 * Returns whether sending @a job to the upstream now is better than keeping it
 * in this instance's queue, where the order can still change. A short prompt
 * is sent while the engine has few unread short prompt tokens of this instance.
 * A long prompt is sent while the engine reads no other long prompt of any
 * instance; an urgent one is also sent while it reads a long prompt of another
 * instance. A plain service can always be sent to.
 */
bool predict_can_send_now (const fleet_upstream_t *upstream,
                           const job_t *job,
                           uint64_t now_ms);

/** Returns whether the upstream is reading a long prompt of any instance. */
bool predict_is_reading_long (const fleet_upstream_t *upstream);

/** Adds the prompt of @a job, which was just sent, to the predicted backlog of
 * its upstream. */
void predict_record_sent (job_t *job, uint64_t now_ms);

/** Corrects the prefill rate of the upstream by the time that @a job took to
 * its first token, which arrived at @a now_ms. */
void predict_record_first_token (job_t *job, uint64_t now_ms);

#endif
