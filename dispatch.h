/**
 * @file dispatch.h
 * Drives the live requests of an entry instance: admits them, sends them to the
 * upstreams that the scheduler chooses, resumes broken streams, retries failed
 * attempts and enforces deadlines.
 */
#ifndef DISPATCH_H
#define DISPATCH_H

#include <stdbool.h>
#include <stdint.h>

#include "archive.h"
#include "cancels.h"
#include "config.h"
#include "control-client.h"
#include "keyed.h"
#include "metric.h"
#include "oversize.h"
#include "registry.h"
#include "request-crashes.h"
#include "request.h"
#include "sched.h"
#include "upstream.h"

struct event_base;

typedef struct dispatch dispatch_t;

/** Hooks that record this instance's streams and reservations at upstreams, so
 * that another instance can cancel them if this one dies. Each may be NULL. */
typedef struct
{
  /** Returns a unique sequence number for a new id. */
  uint64_t (*next_sequence) (void *context);
  /** Records that a stream is about to open. */
  void (*opened) (uint64_t sequence, const char *upstream, void *context);
  /** Returns the time until the record of a stream has been sent to other
   * instances, 0 when it has. */
  uint32_t (*unsent_ms) (uint64_t sequence, void *context);
  /** Records that memory is about to be reserved. */
  void (*reserved) (uint64_t sequence, const char *upstream, void *context);
  /** Removes the record of an ended stream or reservation. */
  void (*closed) (uint64_t sequence, void *context);
  void *context;
} dispatch_owner_hooks_t;

typedef struct
{
  struct event_base *base;
  /** Memory that the process may use, of which kept answers may take a part; 0:
   * unknown. */
  uint32_t memory_mb;
  metrics_t *metrics;
  sched_t *sched;
  registry_t *registry;
  const upstream_ops_t *ops;
  void *ops_context;
  const char *instance;
  const char *zone;
  uint64_t incarnation;
  /** How long a stream continues without a caller. */
  uint32_t reconnect_timeout_ms;
  dispatch_owner_hooks_t owner_hooks;
  /** Evidence against requests that crash upstreams. */
  request_crashes_t *crashes;
  control_client_t *control;  /**< NULL without a control group */
  keyed_is_live_cb_t is_live; /**< whether another instance is running */
  void *is_live_context;
  void (*idle) (void *context); /**< called repeatedly while draining and no
                                     request is live */
  void *context;
} dispatch_options_t;

/** Creates a dispatcher, freed with @a parent (talloc). It must be freed before
 * the event loop and the scheduler. */
dispatch_t *dispatch_new (void *parent, const dispatch_options_t *options);

/** Sets the configuration, which must stay valid until the next call. */
void dispatch_set_config (dispatch_t *dispatch, const Lwm__Config *config);

/** Sets the incarnation used in ids and in the owner's name. Must be called
 * before the first request is sent. */
void dispatch_set_incarnation (dispatch_t *dispatch, uint64_t incarnation);

/** Counts the refusal of a request for which no request_t exists. */
void dispatch_count_refusal (dispatch_t *dispatch, error_kind_t kind);

/**
 * Creates a request and submits it. A request refused at once is over when this
 * function returns, and its listener is not called.
 * @return never NULL; owned by the dispatcher, valid while it has a listener
 */
request_t *dispatch_submit (dispatch_t *dispatch,
                            const request_spec_t *spec,
                            const request_listener_t *listener);

/** Returns the live or archived request with @a id, or NULL. */
request_t *dispatch_find (const dispatch_t *dispatch, const char *id);

/** Replaces the listener of a request and stops its reconnect timeout. The
 * previous listener's replaced callback is called. */
void dispatch_attach (dispatch_t *dispatch,
                      request_t *request,
                      const request_listener_t *listener);

/**
 * Removes the listener when the caller has disconnected or needs no more of the
 * answer. A live request is cancelled. A request with a claimed idempotency
 * key (keyed_needs_claim()) continues instead, because a resend with that key
 * asks for its outcome.
 * @param may_return whether to cancel only after the reconnect timeout instead
 *                   of at once
 */
void
dispatch_detach (dispatch_t *dispatch, request_t *request, bool may_return);

/** Pauses or resumes reading from the upstream, for a slow caller. */
void dispatch_pause (dispatch_t *dispatch, request_t *request, bool paused);

/** Returns whether the request has run at an upstream, as far as is known. */
ran_t dispatch_run_state (const dispatch_t *dispatch, const request_t *request);

/** Returns the plan and progress of a request whose prompt is read in spans;
 * NULL for other requests. The plan belongs to the request. */
const oversize_t *dispatch_oversize_plan (const request_t *request);

/** Retries the requests and drops the cancels at an upstream that has died; the
 * requests go on when it is only silent. See registry_gone_cb_t. */
void dispatch_upstream_gone (dispatch_t *dispatch,
                             const char *upstream,
                             uint64_t incarnation,
                             bool is_dead,
                             bool has_left);

/** Runs the scheduler soon, after a change that may let waiting requests be
 * sent. */
void dispatch_wake (dispatch_t *dispatch);

/** Cancels @a id at @a target, with retries until it is confirmed. */
void dispatch_cancel_object (dispatch_t *dispatch,
                             cancel_kind_t kind,
                             const upstream_target_t *target,
                             const char *id);

/** Cancels a stream or memory of an instance that has ended; see
 * cancels_add_orphan(). */
void dispatch_cancel_orphan (dispatch_t *dispatch,
                             cancel_kind_t kind,
                             const upstream_target_t *target,
                             const char *id);

/** Returns the number of live requests. */
uint32_t dispatch_live_count (const dispatch_t *dispatch);

/** Returns the number of cancels that are not confirmed yet. */
uint32_t dispatch_open_cancels (const dispatch_t *dispatch);

/** Starts to drain: calls options.idle repeatedly while no request is live. */
void dispatch_drain (dispatch_t *dispatch);

/** Ends all live requests with an answer, as the process is about to end: those
 * that have not run as refused, the others as failed. */
void dispatch_end_live (dispatch_t *dispatch);

#endif
