/**
 * @file admission.h
 * Predicts whether a new request can finish by its deadline, before the
 * scheduler puts it into the waiting queue.
 *
 * While requests wait, the module measures the rate at which they are sent to
 * upstreams. A new request is expected to wait until the tokens ahead of it
 * are sent at that rate, less the rate at which requests of higher priority
 * arrive. The scheduler refuses a request that would finish too late at once,
 * so that the caller can try elsewhere. Each service has its own admission_t.
 */
#ifndef ADMISSION_H
#define ADMISSION_H

#include <stdbool.h>
#include <stdint.h>

#include "job.h"

typedef struct admission admission_t;

/** Queue and capacity figures of a new request, set by the scheduler. */
typedef struct
{
  /** Tokens queued ahead of the request in its length class. */
  uint64_t tokens_before;
  /** Tokens that the customer has queued in the length class and priority. */
  uint64_t own_tokens;
  double own_share; /**< fraction of the rate that the customer gets */
  /** Total rate of all engines that can serve the request. */
  double capacity_tokens_s;
  /** Time from sending the request to its last token. */
  double service_ms;
} admission_input_t;

/** Creates a state without measurements; freed with @a parent (talloc). */
admission_t *admission_new (void *parent);

/** Returns the predicted time from @a now_ms until @a job is done, in ms. */
double admission_predict_ms (const admission_t *admission,
                             const job_t *job,
                             const admission_input_t *input,
                             uint64_t now_ms);

/** Counts an admitted request towards the arrival rate of its priority. */
void admission_record_admitted (admission_t *admission,
                                const job_t *job,
                                uint64_t now_ms);

/** Counts a request sent to an upstream towards the sending rate. */
void admission_record_sent (admission_t *admission,
                            const job_t *job,
                            uint64_t now_ms);

/** Records whether any short request is waiting after a scheduling pass. */
void admission_set_backlog (admission_t *admission,
                            bool is_backlogged,
                            uint64_t now_ms);

/** Returns the state last set with admission_set_backlog(). */
bool admission_is_backlogged (const admission_t *admission);

#endif
