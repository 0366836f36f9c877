#include "dispatch.h"

#include <event2/event.h>
#include <inttypes.h>
#include <string.h>
#include <talloc.h>

#include "base.h"
#include "dispatch-internal.h"

#define LOG_PART "dispatch"
#include "logging.h"

#define TICK_MS                200
#define DEFAULT_ANSWER_KEPT_MS 60000

static void
free_event (struct event *event)
{
  if (event != NULL)
    event_free (event);
}

/** Logs each request that the end of the process cuts off. */
static void
log_live_requests (const dispatch_t *dispatch)
{
  GHashTableIter iterator;
  void *item;

  g_hash_table_iter_init (&iterator, dispatch->by_id);
  while (g_hash_table_iter_next (&iterator, NULL, &item))
    {
      const request_t *request = item;

      log_warn ("Request ended with the process. request=%s customer=%s "
                "service=%s state=%s upstream=%s sends=%u",
                request->id, request->customer, request->service,
                request_state_name (request->state),
                request->attempt.upstream != NULL ? request->attempt.upstream
                                                  : "-",
                request->sends);
    }
}

static int
free_dispatch (dispatch_t *dispatch)
{
  log_live_requests (dispatch);
  free_event (dispatch->schedule_event);
  free_event (dispatch->tick);
  g_hash_table_destroy (dispatch->by_id);
  g_hash_table_destroy (dispatch->by_sequence);
  return 0;
}

void
dispatch_start_timer (dispatch_t *dispatch,
                      struct event **timer,
                      void (*callback) (int fd, short what, void *arg),
                      request_t *request,
                      uint64_t after_ms)
{
  struct timeval after = timeval_from_ms (after_ms);

  if (*timer == NULL)
    *timer = event_new (dispatch->options.base, -1, 0, callback, request);
  event_add (*timer, &after);
}

uint64_t
dispatch_next_sequence (dispatch_t *dispatch)
{
  const dispatch_owner_hooks_t *hooks = &dispatch->options.owner_hooks;

  if (hooks->next_sequence != NULL)
    return hooks->next_sequence (hooks->context);
  return ++dispatch->last_sequence;
}

void
dispatch_move (dispatch_t *dispatch,
               request_t *request,
               request_state_t state,
               const char *reason)
{
  if (request_move (request, state, reason, clock_mono_ms ()))
    metric_add (dispatch->edges[state], 1);
  else
    log_error (
        "State transition is not allowed. request=%s from=%s to=%s reason=%s",
        request->id, request_state_name (request->state),
        request_state_name (state), reason);
}

void
dispatch_count_refusal (dispatch_t *dispatch, error_kind_t kind)
{
  metric_add (dispatch->refusals[kind], 1);
}

static void
notify_if_idle (dispatch_t *dispatch)
{
  if (dispatch->draining && dispatch->options.idle != NULL
      && dispatch_live_count (dispatch) == 0)
    dispatch->options.idle (dispatch->options.context);
}

void
dispatch_archive (dispatch_t *dispatch, request_t *request)
{
  if (request->claimed)
    keyed_record_end (dispatch->keyed, request, dispatch->owner);
  if (request->oversize != NULL)
    dispatch_oversize_end (dispatch, request);
  g_hash_table_remove (dispatch->by_id, request->id);
  g_hash_table_remove (dispatch->by_sequence, &request->sequence);
  free_event (request->deadline_timer);
  free_event (request->silence_timer);
  free_event (request->retry_timer);
  free_event (request->detach_timer);
  free_event (request->hold_timer);
  request->deadline_timer = NULL;
  request->silence_timer = NULL;
  request->retry_timer = NULL;
  request->detach_timer = NULL;
  request->hold_timer = NULL;
  request_drop_prompt (request);
  archive_add (dispatch->archive, request);
  if (request->listener.ended != NULL)
    request->listener.ended (request->listener.context);
  dispatch_wake (dispatch);
}

static sched_end_t
sched_end_of (error_kind_t kind)
{
  bool is_cancelled = kind == ERROR_CANCELLED || kind == ERROR_DEADLINE_PASSED;

  return is_cancelled ? SCHED_END_CANCELLED : SCHED_END_FAILED;
}

/* Returns the error to report to the caller. A caller must not repeat a request
 * that may have run and is not idempotent, so "outcome unknown" takes
 * precedence over the actual error, except for a cancel by the caller. */
static error_kind_t
reported_kind (const request_t *request, ran_t ran, error_kind_t kind)
{
  if (request->idempotent || ran != RAN_UNKNOWN || kind == ERROR_CANCELLED)
    return kind;
  return ERROR_OUTCOME_UNKNOWN;
}

void
dispatch_fail (dispatch_t *dispatch, request_t *request, error_kind_t kind)
{
  ran_t ran = dispatch_run_state (dispatch, request);

  kind = reported_kind (request, ran, kind);
  request->ran = ran;
  request->error = kind;
  attempt_close (dispatch, request, ran != RAN_NO);
  sched_end (dispatch->options.sched, request->sequence, sched_end_of (kind),
             clock_mono_ms ());
  dispatch_move (dispatch, request, REQUEST_FAILED, error_name (kind));
  metric_add (dispatch->failures[kind], 1);
  log_info ("Request failed. request=%s customer=%s service=%s reason=%s",
            request->id, request->customer, request->service,
            error_name (kind));
  dispatch_archive (dispatch, request);
}

void
dispatch_complete (dispatch_t *dispatch, request_t *request)
{
  sched_end (dispatch->options.sched, request->sequence, SCHED_END_DONE,
             clock_mono_ms ());
  dispatch_move (dispatch, request, REQUEST_DONE,
                 request_reason_name (REQUEST_REASON_COMPLETE));
  metric_add (dispatch->done, 1);
  dispatch_archive (dispatch, request);
}

static void
on_deadline (int fd, short what, void *arg)
{
  request_t *request = arg;

  dispatch_fail (request->owner, request, ERROR_DEADLINE_PASSED);
}

static void
on_reconnect_timeout (int fd, short what, void *arg)
{
  request_t *request = arg;

  dispatch_fail (request->owner, request, ERROR_CANCELLED);
}

request_t *
dispatch_find_sequence (const dispatch_t *dispatch, uint64_t sequence)
{
  return g_hash_table_lookup (dispatch->by_sequence, &sequence);
}

static void
apply_step (dispatch_t *dispatch, const sched_step_t *step)
{
  request_t *request = dispatch_find_sequence (dispatch, step->request_id);

  if (request == NULL)
    log_error ("Scheduler step has no live request. sequence=%" PRIu64,
               step->request_id);
  else if (step->action == SCHED_SEND)
    attempt_send (dispatch, request, step);
  else
    dispatch_fail (dispatch, request, step->refusal);
}

static void
on_schedule (evutil_socket_t fd, short what, void *arg)
{
  dispatch_t *dispatch = arg;
  uint64_t wake_ms = 0;
  sched_step_t step;

  while (
      sched_next (dispatch->options.sched, clock_mono_ms (), &step, &wake_ms))
    apply_step (dispatch, &step);
  if (wake_ms > 0)
    {
      uint64_t now_ms = clock_mono_ms ();
      struct timeval wait
          = timeval_from_ms (wake_ms > now_ms ? wake_ms - now_ms : 1);

      event_add (dispatch->schedule_event, &wait);
    }
  notify_if_idle (dispatch);
}

static void
on_tick (evutil_socket_t fd, short what, void *arg)
{
  dispatch_t *dispatch = arg;
  uint64_t now_ms = clock_mono_ms ();

  registry_tick (dispatch->options.registry, now_ms);
  request_crashes_tick (dispatch->options.crashes, now_ms);
  archive_evict (dispatch->archive, now_ms);
  notify_if_idle (dispatch);
}

/** Removes the record of a cancelled object. The last part of its id is its
 * sequence number. */
static void
on_cancel_closed (cancel_kind_t kind, const char *id, void *context)
{
  dispatch_t *dispatch = context;
  const dispatch_owner_hooks_t *hooks = &dispatch->options.owner_hooks;
  const char *last = strrchr (id, '-');

  if (last != NULL && hooks->closed != NULL)
    hooks->closed (g_ascii_strtoull (last + 1, NULL, 10), hooks->context);
}

static void
create_components (dispatch_t *dispatch)
{
  const dispatch_options_t *options = &dispatch->options;
  cancels_options_t cancels = { .base = options->base,
                                .metrics = options->metrics,
                                .ops = options->ops,
                                .ops_context = options->ops_context,
                                .closed = on_cancel_closed,
                                .context = dispatch };
  archive_options_t archive
      = { .answer_kept_ms = DEFAULT_ANSWER_KEPT_MS,
          .max_answer_bytes = archive_share (options->memory_mb),
          .metrics = options->metrics };

  dispatch->retry = retry_new (dispatch, options->metrics);
  dispatch->cancels = cancels_new (dispatch, &cancels);
  dispatch->archive = archive_new (dispatch, &archive);
  dispatch_add_keyed (dispatch);
  dispatch_add_oversize (dispatch);
}

void
dispatch_set_incarnation (dispatch_t *dispatch, uint64_t incarnation)
{
  talloc_free (dispatch->owner);
  dispatch->options.incarnation = incarnation;
  dispatch->owner = talloc_asprintf (dispatch, "%s/%" PRIu64,
                                     dispatch->options.instance, incarnation);
}

dispatch_t *
dispatch_new (void *parent, const dispatch_options_t *options)
{
  dispatch_t *dispatch = talloc_zero (parent, dispatch_t);
  struct timeval tick = timeval_from_ms (TICK_MS);

  dispatch->options = *options;
  dispatch_set_incarnation (dispatch, options->incarnation);
  dispatch->by_id = g_hash_table_new (g_str_hash, g_str_equal);
  dispatch->by_sequence = g_hash_table_new (g_int64_hash, g_int64_equal);
  dispatch->schedule_event
      = event_new (options->base, -1, 0, on_schedule, dispatch);
  dispatch->tick = event_new (options->base, -1, EV_PERSIST, on_tick, dispatch);
  event_add (dispatch->tick, &tick);
  dispatch_add_metrics (dispatch, options->metrics);
  create_components (dispatch);
  talloc_set_destructor (dispatch, free_dispatch);
  return dispatch;
}

void
dispatch_set_config (dispatch_t *dispatch, const Lwm__Config *config)
{
  dispatch->config = config;
  archive_set_answer_kept_ms (dispatch->archive, config->answer_kept_ms > 0
                                                     ? config->answer_kept_ms
                                                     : DEFAULT_ANSWER_KEPT_MS);
}

static uint64_t
prefix_hash (const dispatch_t *dispatch, const request_t *request)
{
  if (request->prompt == NULL)
    return 0;
  return dispatch->options.ops->prefix_hash (request->prompt,
                                             request->prompt_bytes);
}

sched_verdict_t
dispatch_admit (dispatch_t *dispatch, const request_t *request)
{
  sched_request_t sched_request = {
    .id = request->sequence,
    .service = request->service,
    .customer = request->customer,
    .model = request->model,
    .adapter = request->adapter,
    .version = request->version,
    .prompt_tokens = request_prompt_tokens (request),
    .max_tokens = request->max_tokens,
    .priority = request->priority,
    .deadline_ms = request->deadline_ms,
    .first_token_by_ms = request->first_token_by_ms,
    .prefix_hash = prefix_hash (dispatch, request),
  };

  return sched_submit (dispatch->options.sched, &sched_request,
                       clock_mono_ms ());
}

void
dispatch_refuse (dispatch_t *dispatch,
                 request_t *request,
                 error_kind_t refusal,
                 uint32_t retry_after_ms)
{
  request->error = refusal;
  request->retry_after_ms = retry_after_ms;
  dispatch_move (dispatch, request, REQUEST_FAILED, error_name (refusal));
  dispatch_count_refusal (dispatch, refusal);
  log_info ("Request refused. request=%s customer=%s service=%s reason=%s",
            request->id, request->customer, request->service,
            error_name (refusal));
  dispatch_archive (dispatch, request);
}

void
dispatch_enqueue (dispatch_t *dispatch, request_t *request)
{
  dispatch_move (dispatch, request, REQUEST_ADMITTED,
                 request_reason_name (REQUEST_REASON_WITHIN_LIMITS));
  dispatch_move (dispatch, request, REQUEST_QUEUED,
                 request_reason_name (REQUEST_REASON_WAITING));
  retry_record_request (dispatch->retry, request->service, clock_mono_ms ());
  dispatch_wake (dispatch);
}

/** Adds the request to the live requests and starts its deadline timer. */
static void
register_live_request (dispatch_t *dispatch,
                       request_t *request,
                       const request_listener_t *listener)
{
  request->listener = *listener;
  g_hash_table_insert (dispatch->by_id, request->id, request);
  g_hash_table_insert (dispatch->by_sequence, &request->sequence, request);
  dispatch_start_timer (dispatch, &request->deadline_timer, on_deadline,
                        request, request->deadline_ms - request->received_ms);
}

static request_t *
create_request (dispatch_t *dispatch, const request_spec_t *spec)
{
  uint64_t sequence = dispatch_next_sequence (dispatch);
  char *id = talloc_asprintf (NULL, "%s-%" PRIu64 "-%" PRIu64,
                              dispatch->options.instance,
                              dispatch->options.incarnation, sequence);
  request_t *request
      = request_new (dispatch, spec, id, sequence, clock_mono_ms ());

  talloc_free (id);
  request->owner = dispatch;
  metric_add (dispatch->requests, 1);
  metric_add (dispatch->edges[REQUEST_RECEIVED], 1);
  return request;
}

request_t *
dispatch_submit (dispatch_t *dispatch,
                 const request_spec_t *spec,
                 const request_listener_t *listener)
{
  request_t *request = create_request (dispatch, spec);
  sched_verdict_t verdict;

  if (keyed_needs_claim (request) && dispatch->options.control == NULL)
    {
      dispatch_refuse (dispatch, request, ERROR_NO_QUORUM, 0);
      return request;
    }
  if (keyed_needs_claim (request))
    {
      register_live_request (dispatch, request, listener);
      dispatch_claim_key (dispatch, request);
      return request;
    }
  if (dispatch_refuse_blocked (dispatch, request))
    return request;
  if (dispatch_is_oversize (dispatch, request))
    {
      register_live_request (dispatch, request, listener);
      dispatch_read_oversize (dispatch, request);
      return request;
    }
  verdict = dispatch_admit (dispatch, request);
  if (!verdict.admitted)
    {
      dispatch_refuse (dispatch, request, verdict.refusal,
                       verdict.retry_after_ms);
      return request;
    }
  register_live_request (dispatch, request, listener);
  dispatch_enqueue (dispatch, request);
  return request;
}

request_t *
dispatch_find (const dispatch_t *dispatch, const char *id)
{
  request_t *request = g_hash_table_lookup (dispatch->by_id, id);

  return request != NULL ? request : archive_find (dispatch->archive, id);
}

void
dispatch_attach (dispatch_t *dispatch,
                 request_t *request,
                 const request_listener_t *listener)
{
  request_listener_t previous = request->listener;

  request->listener = *listener;
  if (previous.replaced != NULL)
    previous.replaced (previous.context);
  if (request->detach_timer != NULL)
    event_del (request->detach_timer);
}

void
dispatch_detach (dispatch_t *dispatch, request_t *request, bool may_return)
{
  uint32_t wait_ms = dispatch->options.reconnect_timeout_ms;

  request->listener = (request_listener_t){ 0 };
  /* A resend with the same key asks for the outcome, so the request must run to
   * its end. */
  if (request_is_over (request) || keyed_needs_claim (request))
    return;
  if (!may_return || wait_ms == 0)
    {
      dispatch_fail (dispatch, request, ERROR_CANCELLED);
      return;
    }
  dispatch_pause (dispatch, request, false);
  dispatch_start_timer (dispatch, &request->detach_timer, on_reconnect_timeout,
                        request, wait_ms);
}

void
dispatch_pause (dispatch_t *dispatch, request_t *request, bool paused)
{
  if (request->attempt.call == NULL)
    return;
  dispatch->options.ops->pause (request->attempt.call, paused);
  if (!paused)
    attempt_restart_silence_timer (dispatch, request);
  else if (request->silence_timer != NULL)
    event_del (request->silence_timer);
}

ran_t
dispatch_run_state (const dispatch_t *dispatch, const request_t *request)
{
  const upstream_call_t *call = request->attempt.call;

  if (request->ran != RAN_NO)
    return request->ran;
  if (call != NULL && dispatch->options.ops->wrote (call))
    return RAN_UNKNOWN;
  return RAN_NO;
}

void
dispatch_wake (dispatch_t *dispatch)
{
  event_active (dispatch->schedule_event, EV_TIMEOUT, 0);
}

void
dispatch_cancel_object (dispatch_t *dispatch,
                        cancel_kind_t kind,
                        const upstream_target_t *target,
                        const char *id)
{
  cancels_add (dispatch->cancels, kind, target, id);
}

void
dispatch_cancel_orphan (dispatch_t *dispatch,
                        cancel_kind_t kind,
                        const upstream_target_t *target,
                        const char *id)
{
  cancels_add_orphan (dispatch->cancels, kind, target, id);
}

uint32_t
dispatch_live_count (const dispatch_t *dispatch)
{
  return g_hash_table_size (dispatch->by_id);
}

uint32_t
dispatch_open_cancels (const dispatch_t *dispatch)
{
  return cancels_open_count (dispatch->cancels);
}

void
dispatch_drain (dispatch_t *dispatch)
{
  dispatch->draining = true;
  dispatch_wake (dispatch);
}

void
dispatch_end_live (dispatch_t *dispatch)
{
  GHashTableIter iterator;
  void *item;

  /* The end of one may end others. */
  for (;;)
    {
      request_t *request;
      ran_t ran;

      g_hash_table_iter_init (&iterator, dispatch->by_id);
      if (!g_hash_table_iter_next (&iterator, NULL, &item))
        return;
      request = item;
      ran = dispatch_run_state (dispatch, request);
      dispatch_fail (dispatch, request,
                     ran == RAN_NO ? ERROR_STOPPING : ERROR_UPSTREAM_FAILED);
    }
}
