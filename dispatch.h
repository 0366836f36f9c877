/**
 * @file dispatch.h
 * Drives the live requests of an entry instance: admits them, sends them where
 * the scheduler says, resumes and retries, keeps their deadlines.
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
#include "request.h"
#include "sched.h"
#include "upstream.h"

struct event_base;

typedef struct dispatch dispatch_t;

/** Told when something opens or closes at an upstream; all may be NULL. */
typedef struct
{
  /** A sequence number for a new id, never given out twice. */
  uint64_t (*next_sequence) (void *context);
  void (*opened) (uint64_t sequence, const char *upstream, void *context);
  /** Time until the record of what was opened has left, 0 when it has. */
  uint32_t (*unsent_ms) (uint64_t sequence, void *context);
  void (*reserved) (uint64_t sequence, const char *upstream, void *context);
  void (*closed) (uint64_t sequence, void *context);
  void *context;
} dispatch_owner_hooks_t;

typedef struct
{
  struct event_base *base;
  metrics_t *metrics;
  sched_t *sched;
  registry_t *registry;
  const upstream_ops_t *ops;
  void *ops_context;
  const char *instance;
  const char *zone;
  uint64_t incarnation;
  uint32_t
      reconnect_timeout_ms; /**< how long a stream goes on without caller */
  dispatch_owner_hooks_t owner_hooks;
  control_client_t *control;  /**< NULL without a control group */
  keyed_is_live_cb_t is_live; /**< whether another instance runs */
  void *is_live_context;
  void (*idle) (void *context); /**< draining, and no request is live */
  void *context;
} dispatch_options_t;

/** Freed with @a parent (talloc), before the loop and the scheduler. */
dispatch_t *dispatch_new (void *parent, const dispatch_options_t *options);

/** The configuration in force; must stay valid until the next call. */
void dispatch_set_config (dispatch_t *dispatch, const Lwm__Config *config);

/** Another incarnation for ids and as owner; before anything was sent. */
void dispatch_set_incarnation (dispatch_t *dispatch, uint64_t incarnation);

/** A refusal of a request that has no record, counted by its kind. */
void dispatch_count_refusal (dispatch_t *dispatch, error_kind_t kind);

/**
 * Takes a request in. It may be refused at once: then it is over when this
 * returns, and the listener is not told.
 * @return never NULL; valid while it has a listener
 */
request_t *dispatch_submit (dispatch_t *dispatch,
                            const request_spec_t *spec,
                            const request_listener_t *listener);

/** A live or kept request, or NULL. */
request_t *dispatch_find (const dispatch_t *dispatch, const char *id);

/** Another caller takes over the answer; ends the wait for one. */
void dispatch_attach (dispatch_t *dispatch,
                      request_t *request,
                      const request_listener_t *listener);

/**
 * The caller has gone or has all it wants. A request that is not over is
 * cancelled: at once, or after the reconnect timeout; one with an idempotency
 * key to keep goes on, for its outcome.
 */
void
dispatch_detach (dispatch_t *dispatch, request_t *request, bool may_return);

/** Stops or goes on reading from the upstream, for a slow caller. */
void dispatch_pause (dispatch_t *dispatch, request_t *request, bool paused);

/** What is known of the request having run at an upstream. */
ran_t dispatch_ran (const dispatch_t *dispatch, const request_t *request);

/** How far a request is whose prompt is read in spans; NULL for others. */
const oversize_t *dispatch_oversize_plan (const request_t *request);

/** An upstream is gone; see registry_gone_cb_t. */
void dispatch_upstream_gone (dispatch_t *dispatch,
                             const char *upstream,
                             uint64_t incarnation,
                             bool is_dead);

/** Something changed that may let waiting requests go. */
void dispatch_wake (dispatch_t *dispatch);

/** Cancels @a id at @a target until it is confirmed. */
void dispatch_cancel_object (dispatch_t *dispatch,
                             cancel_kind_t kind,
                             const upstream_target_t *target,
                             const char *id);

/** The same for what an instance left that is gone. */
void dispatch_cancel_orphan (dispatch_t *dispatch,
                             cancel_kind_t kind,
                             const upstream_target_t *target,
                             const char *id);

/** Live requests and cancels that are not confirmed yet. */
uint32_t dispatch_live (const dispatch_t *dispatch);
uint32_t dispatch_cancelling (const dispatch_t *dispatch);

/** From now on calls options.idle again and again while no request is live. */
void dispatch_drain (dispatch_t *dispatch);

#endif
