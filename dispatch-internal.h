/**
 * @file dispatch-internal.h
 * Declarations shared by attempt.c and the dispatch*.c files; private to them.
 */
#ifndef DISPATCH_INTERNAL_H
#define DISPATCH_INTERNAL_H

#include "dispatch.h"
#include "retry.h"

struct event;

struct dispatch
{
  dispatch_options_t options;
  char *owner; /* INSTANCE/INCARNATION */
  const Lwm__Config *config;
  retry_t *retry;
  cancels_t *cancels;
  archive_t *archive;
  keyed_t *keyed;
  struct oversize_shared *oversize;
  GHashTable *by_id;            /* live requests, id to request_t */
  GHashTable *by_sequence;      /* live requests, sequence to request_t */
  struct event *schedule_event; /* runs the scheduler */
  struct event *tick;
  uint64_t last_sequence;
  bool draining;
  metric_t *requests;
  metric_t *sends;
  metric_t *done;
  metric_t *replayed_tokens;
  metric_t *refusals[ERROR_KIND_COUNT];
  metric_t *failures[ERROR_KIND_COUNT];
  metric_t *edges[REQUEST_STATE_COUNT];
};

/** Returns a unique sequence number for a new id. */
uint64_t dispatch_next_sequence (dispatch_t *dispatch);

/** Registers all counters and gauges (dispatch-metrics.c). */
void dispatch_add_metrics (dispatch_t *dispatch, metrics_t *metrics);

/** Changes a request's state and counts the transition; logs an error when it
 * is not allowed. */
void dispatch_move (dispatch_t *dispatch,
                    request_t *request,
                    request_state_t state,
                    const char *reason);

/** Ends a live request with error @a kind and cancels its stream if it may have
 * run. */
void
dispatch_fail (dispatch_t *dispatch, request_t *request, error_kind_t kind);

/** Ends a live request whose answer is complete. */
void dispatch_complete (dispatch_t *dispatch, request_t *request);

/** Moves a request that is over to the archive and calls its listener. */
void dispatch_archive (dispatch_t *dispatch, request_t *request);

/** Returns the live request with that sequence number, or NULL. */
request_t *dispatch_find_sequence (const dispatch_t *dispatch,
                                   uint64_t sequence);

/** Submits the request to the scheduler and returns its verdict. */
sched_verdict_t dispatch_admit (dispatch_t *dispatch, const request_t *request);

/** Ends a request that was not admitted.
 * @param retry_after_ms hint for the caller, 0 for none */
void dispatch_refuse (dispatch_t *dispatch,
                      request_t *request,
                      error_kind_t refusal,
                      uint32_t retry_after_ms);

/** Records what the end of an attempt shows of its upstream and of the request
 * (dispatch-crashes.c). A span is only a part of a request, so that its answer
 * does not speak for the request. */
void dispatch_record_end (dispatch_t *dispatch,
                          request_t *request,
                          const upstream_end_t *end);

/** Records that the upstream of a failed attempt crashed on the request, if its
 * connection broke off and the upstream was not leaving (dispatch-crashes.c).
 */
void dispatch_record_crash (dispatch_t *dispatch, request_t *request);

/** Returns whether upstreams crashed on the request, so that it must not be
 * sent again after one more failure (dispatch-crashes.c). */
bool dispatch_is_suspect (const dispatch_t *dispatch, const request_t *request);

/** Ends a request that must not be sent, because upstreams crash on it: as
 * refused if it has not run, else as failed. Returns false, with nothing done,
 * when it may be sent (dispatch-crashes.c). */
bool dispatch_refuse_blocked (dispatch_t *dispatch, request_t *request);

/** Moves an admitted request to state queued. */
void dispatch_enqueue (dispatch_t *dispatch, request_t *request);

/** Returns whether no engine's memory can hold the prompt and its answer
 * (dispatch-oversize.c). */
bool dispatch_is_oversize (const dispatch_t *dispatch,
                           const request_t *request);

/** Reads a live request's prompt in spans, then admits the request
 * (dispatch-oversize.c). */
void dispatch_read_oversize (dispatch_t *dispatch, request_t *request);

/** Sets up the reading of prompts in spans (dispatch-oversize.c). */
void dispatch_add_oversize (dispatch_t *dispatch);

/** Reads a span again after its attempt failed (dispatch-oversize.c). */
void dispatch_oversize_reread (dispatch_t *dispatch, request_t *span);

/** Ends the job of a request that is over: its span requests and lanes
 * (dispatch-oversize.c). */
void dispatch_oversize_end (dispatch_t *dispatch, request_t *request);

/** Sets up claims on idempotency keys (dispatch-keyed.c). */
void dispatch_add_keyed (dispatch_t *dispatch);

/** Claims the request's idempotency key and continues with the verdict
 * (dispatch-keyed.c). */
void dispatch_claim_key (dispatch_t *dispatch, request_t *request);

/** Starts @a timer, creating it if it is NULL. It calls @a callback with
 * @a request. */
void dispatch_start_timer (dispatch_t *dispatch,
                           struct event **timer,
                           void (*callback) (int fd, short what, void *arg),
                           request_t *request,
                           uint64_t after_ms);

/** Sends the request to the upstream of the scheduler's @a step (attempt.c). */
void attempt_send (dispatch_t *dispatch,
                   request_t *request,
                   const sched_step_t *step);

/** Closes the attempt and its connection (attempt.c).
 * @param is_cancelled whether to cancel its stream at the upstream */
void
attempt_close (dispatch_t *dispatch, request_t *request, bool is_cancelled);

/** Restarts the timer that fails an attempt without new data (attempt.c). */
void attempt_restart_silence_timer (dispatch_t *dispatch, request_t *request);

/** Retries a request whose upstream has lost all its streams (attempt.c). */
void attempt_upstream_lost (dispatch_t *dispatch, request_t *request);

#endif
