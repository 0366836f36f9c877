/* Sends, resumes, retries and closes the attempts of requests at upstreams. */
#include <event2/buffer.h>
#include <event2/event.h>
#include <inttypes.h>
#include <string.h>
#include <talloc.h>

#include "base.h"
#include "dispatch-internal.h"

#define LOG_PART "attempt"
#include "logging.h"

/* Longest wait for the next token; engines produce one about every 70 ms. */
#define MAX_TOKEN_SILENCE_MS 3000
/* Retries allowed in any ten seconds on top of the configured percentage of
 * requests, so that a service with little traffic can retry too. */
#define SPARE_RETRIES_PER_10_S 3
/* Longest wait for the first token beyond twice the predicted time. */
#define FIRST_TOKEN_MARGIN_MS 5000
/* An idempotent call without an answer is sent again after this fraction
 * (1/CALL_SILENCE_DIVISOR) of its allotted time. */
#define CALL_SILENCE_DIVISOR 3
/* A stream is resumed only while its attempt has fewer stalls than this. */
#define MAX_STALLS 4
/* A refused connection counts as several stalls, because the upstream's process
 * has ended. */
#define STALLS_PER_REFUSED_CONNECTION 2
#define MIN_RETRY_DELAY_MS            50
#define MAX_RETRY_DELAY_MS            1000

static const char *const placement_reason_names[] = {
  [SCHED_REASON_POLICY] = "placed_by_policy",
  [SCHED_REASON_CACHED_PREFIX] = "placed_by_cached_prefix",
  [SCHED_REASON_OWN_ZONE] = "placed_in_own_zone",
  [SCHED_REASON_OTHER_ZONE] = "placed_in_other_zone",
  [SCHED_REASON_ONLY_ONE] = "placed_at_only_one",
};

static void fail_attempt (dispatch_t *dispatch,
                          request_t *request,
                          upstream_result_t result,
                          retry_reason_t reason);

static upstream_target_t
attempt_target (const request_t *request)
{
  return (upstream_target_t){ .name = request->attempt.upstream,
                              .address = request->attempt.address,
                              .incarnation = request->attempt.incarnation };
}

static uint64_t
silence_limit_ms (const request_t *request)
{
  uint64_t allotted_ms = request->deadline_ms - request->received_ms;

  if (request->kind == REQUEST_CALL)
    return allotted_ms / CALL_SILENCE_DIVISOR;
  if (request->attempt.has_tokens)
    return MAX_TOKEN_SILENCE_MS;
  return FIRST_TOKEN_MARGIN_MS + 2 * (uint64_t)request->attempt.predicted_ms;
}

static void
on_silence (int fd, short what, void *arg)
{
  request_t *request = arg;
  dispatch_t *dispatch = request->owner;

  if (request->attempt.call == NULL)
    return;
  if (request->kind == REQUEST_CALL && !request->idempotent)
    return;
  log_warn ("Upstream is silent. request=%s upstream=%s", request->id,
            request->attempt.upstream);
  fail_attempt (dispatch, request, UPSTREAM_BROKEN, RETRY_STALLED);
}

void
attempt_restart_silence_timer (dispatch_t *dispatch, request_t *request)
{
  dispatch_start_timer (dispatch, &request->silence_timer, on_silence, request,
                        silence_limit_ms (request));
}

/** Records whether the request ran, as far as an ended attempt shows. */
static void
record_run_state (dispatch_t *dispatch,
                  request_t *request,
                  upstream_result_t result)
{
  if (request->attempt.has_tokens || result == UPSTREAM_DONE)
    request->ran = RAN_YES;
  else if (request->ran == RAN_NO && request->attempt.call != NULL
           && dispatch->options.ops->wrote (request->attempt.call)
           && !upstream_result_not_run (result))
    request->ran = RAN_UNKNOWN;
}

static void
close_connection (dispatch_t *dispatch, request_t *request)
{
  if (request->attempt.call == NULL)
    return;
  if (dispatch->options.ops->wrote (request->attempt.call))
    request->attempt.was_sent = true;
  dispatch->options.ops->close (request->attempt.call);
  request->attempt.call = NULL;
  if (request->silence_timer != NULL)
    event_del (request->silence_timer);
}

static void
notify_attempt_closed (dispatch_t *dispatch, const request_t *request)
{
  const dispatch_owner_hooks_t *hooks = &dispatch->options.owner_hooks;

  if (request->kind == REQUEST_COMPLETION && hooks->closed != NULL)
    hooks->closed (request->attempt.sequence, hooks->context);
}

void
attempt_close (dispatch_t *dispatch, request_t *request, bool is_cancelled)
{
  upstream_target_t target = attempt_target (request);

  if (request->attempt.upstream == NULL)
    return;
  close_connection (dispatch, request);
  dispatch_record_crash (dispatch, request);
  /* A stream that has sent nothing yet may reach the upstream after its cancel,
   * which is repeated then. */
  if (is_cancelled && request->kind == REQUEST_COMPLETION
      && !request->attempt.has_tokens)
    cancels_add_orphan (dispatch->cancels, CANCEL_STREAM, &target,
                        request->attempt.id);
  else if (is_cancelled && request->kind == REQUEST_COMPLETION)
    cancels_add (dispatch->cancels, CANCEL_STREAM, &target,
                 request->attempt.id);
  else
    notify_attempt_closed (dispatch, request);
  talloc_free (request->attempt.upstream);
  talloc_free (request->attempt.address);
  talloc_free (request->attempt.id);
  talloc_free (request->attempt.version);
  talloc_free (request->attempt.weights);
  if (request->hold_timer != NULL)
    event_del (request->hold_timer);
  request->attempt = (request_attempt_t){ 0 };
}

static void
record_first_token (dispatch_t *dispatch, request_t *request, uint64_t now_ms)
{
  request_attempt_t *attempt = &request->attempt;

  attempt->has_tokens = true;
  request->ran = RAN_YES;
  registry_record_answer (dispatch->options.registry, attempt->upstream,
                          now_ms);
  if (request->first_token_at_ms == 0)
    request->first_token_at_ms = now_ms;
  /* All later tokens must come from the same weights, also after a replay. */
  if (request->version == NULL)
    request->version = talloc_strdup (request, attempt->version);
  sched_record_first_token (dispatch->options.sched, request->sequence, now_ms);
}

/** Returns whether a replayed token equals the one already in the answer. */
static bool
matches_stored_token (const request_t *request,
                      uint64_t offset,
                      const char *text)
{
  size_t length;
  const char *stored = request_token (request, offset, &length);

  return strlen (text) == length && memcmp (stored, text, length) == 0;
}

static void
store_token (dispatch_t *dispatch,
             request_t *request,
             uint64_t offset,
             const char *text)
{
  if (offset < request_token_count (request))
    {
      metric_add (dispatch->replayed_tokens, 1);
      if (!matches_stored_token (request, offset, text))
        {
          log_error ("Replayed token differs from the original. request=%s "
                     "upstream=%s offset=%" PRIu64,
                     request->id, request->attempt.upstream, offset);
          dispatch_fail (dispatch, request, ERROR_UPSTREAM_FAILED);
        }
      return;
    }
  request_add_token (request, text);
  sched_record_tokens (dispatch->options.sched, request->sequence, 1,
                       clock_mono_ms ());
  if (request->listener.progress != NULL)
    request->listener.progress (request->listener.context);
}

static void
on_token (void *context, uint64_t offset, const char *text)
{
  request_t *request = context;
  dispatch_t *dispatch = request->owner;

  request->attempt.next_offset = offset + 1;
  request->attempt.stalls = 0;
  if (!request->attempt.has_tokens)
    record_first_token (dispatch, request, clock_mono_ms ());
  if (request->state == REQUEST_SENT)
    dispatch_move (dispatch, request, REQUEST_FIRST_BYTE,
                   request_reason_name (REQUEST_REASON_ANSWERED));
  attempt_restart_silence_timer (dispatch, request);
  store_token (dispatch, request, offset, text);
}

/* An accepted stream shows that the engine is alive, so a long prefill does not
 * count as a stall. */
static void
on_accepted (void *context)
{
  request_t *request = context;

  request->attempt.accepted = true;
  request->attempt.is_broken_off = false;
  if (!request->attempt.has_tokens)
    request->attempt.stalls = 0;
}

static void
on_end (void *context, const upstream_end_t *end)
{
  request_t *request = context;
  dispatch_t *dispatch = request->owner;

  dispatch_record_end (dispatch, request, end);
  if (end->result != UPSTREAM_DONE)
    {
      fail_attempt (dispatch, request, end->result,
                    retry_reason_from_result (end->result));
      return;
    }
  record_run_state (dispatch, request, UPSTREAM_DONE);
  registry_record_answer (dispatch->options.registry, request->attempt.upstream,
                          clock_mono_ms ());
  if (request->kind == REQUEST_CALL)
    request_store_call_answer (request, end);
  else
    request->usage = end->usage;
  if (request->original_prompt_tokens > 0)
    request->usage.prompt_tokens = request->original_prompt_tokens;
  attempt_close (dispatch, request, false);
  dispatch_complete (dispatch, request);
}

static upstream_sink_t
attempt_sink (request_t *request)
{
  return (upstream_sink_t){ .accepted = on_accepted,
                            .token = on_token,
                            .end = on_end,
                            .context = request };
}

static uint64_t
time_left_ms (const request_t *request)
{
  uint64_t now_ms = clock_mono_ms ();

  return request->deadline_ms > now_ms ? request->deadline_ms - now_ms : 1;
}

static void
submit_stream (dispatch_t *dispatch, request_t *request)
{
  upstream_target_t target = attempt_target (request);
  upstream_sink_t sink = attempt_sink (request);
  /* An upstream that does not announce itself as an engine announces no
   * weights; it is sent the weights that the request asks for. */
  weights_t asked = { request->model, request->adapter, request->version };
  const weights_t *used
      = request->attempt.weights != NULL ? request->attempt.weights : &asked;
  upstream_submit_t submit = {
    .request_id = request->attempt.id,
    .owner = dispatch->owner,
    .model = used->model,
    .adapter = used->adapter,
    .version = used->version,
    .prompt = request->prompt,
    .max_tokens = request->max_tokens,
    .priority = request->attempt.priority,
    .deadline_ms = time_left_ms (request),
    .reservation = request->reservation,
  };

  request->attempt.call = dispatch->options.ops->submit (
      dispatch->options.ops_context, &target, &submit, &sink);
}

static void
submit_call (dispatch_t *dispatch, request_t *request)
{
  upstream_target_t target = attempt_target (request);
  upstream_sink_t sink = attempt_sink (request);
  upstream_plain_t plain = {
    .request_id = request->id,
    .path = request->path,
    .idempotency_key = request->key,
    .content_type = request->content_type,
    .body = evbuffer_pullup (request->raw, -1),
    .body_bytes = evbuffer_get_length (request->raw),
    .deadline_ms = time_left_ms (request),
  };

  request->attempt.call = dispatch->options.ops->plain (
      dispatch->options.ops_context, &target, &plain, &sink);
}

/* A retry gets a new id, so that a cancel of the first attempt can't cancel the
 * second. */
static void
assign_attempt_id (dispatch_t *dispatch, request_t *request)
{
  request_attempt_t *attempt = &request->attempt;

  attempt->sequence = request->sequence;
  if (request->sends > 0)
    attempt->sequence = dispatch_next_sequence (dispatch);
  attempt->id = talloc_asprintf (
      request, "%s-%" PRIu64 "-%" PRIu64, dispatch->options.instance,
      dispatch->options.incarnation, attempt->sequence);
}

static void
notify_attempt_opened (dispatch_t *dispatch, const request_t *request)
{
  const dispatch_owner_hooks_t *hooks = &dispatch->options.owner_hooks;

  if (request->kind == REQUEST_COMPLETION && hooks->opened != NULL)
    hooks->opened (request->attempt.sequence, request->attempt.upstream,
                   hooks->context);
}

static void
submit_attempt (dispatch_t *dispatch, request_t *request)
{
  if (request->kind == REQUEST_CALL)
    submit_call (dispatch, request);
  else
    submit_stream (dispatch, request);
  attempt_restart_silence_timer (dispatch, request);
}

static void submit_when_recorded (dispatch_t *dispatch, request_t *request);

static void
on_hold_timer (int fd, short what, void *arg)
{
  request_t *request = arg;

  submit_when_recorded (request->owner, request);
}

/* Submits the attempt once the record of its stream has been sent to other
 * instances. If this instance were killed earlier, no other instance would know
 * of the stream, and the engine would hold its memory forever. */
static void
submit_when_recorded (dispatch_t *dispatch, request_t *request)
{
  const dispatch_owner_hooks_t *hooks = &dispatch->options.owner_hooks;
  uint32_t wait_ms = 0;

  if (request->kind == REQUEST_COMPLETION && hooks->unsent_ms != NULL)
    wait_ms = hooks->unsent_ms (request->attempt.sequence, hooks->context);
  if (wait_ms > 0)
    dispatch_start_timer (dispatch, &request->hold_timer, on_hold_timer,
                          request, wait_ms);
  else
    submit_attempt (dispatch, request);
}

void
attempt_send (dispatch_t *dispatch,
              request_t *request,
              const sched_step_t *step)
{
  const registry_upstream_t *upstream
      = registry_find (dispatch->options.registry, step->upstream);
  request_attempt_t *attempt = &request->attempt;

  /* The job of a span is checked before it sends its spans. */
  if (request->span_job == NULL && dispatch_refuse_blocked (dispatch, request))
    return;
  if (upstream == NULL)
    {
      dispatch_fail (dispatch, request, ERROR_NO_UPSTREAM);
      return;
    }
  attempt->upstream = talloc_strdup (request, upstream->name);
  attempt->address = talloc_strdup (request, upstream->address);
  attempt->priority = step->priority;
  if (step->weights != NULL)
    {
      attempt->weights = weights_copy (request, step->weights, 1);
      attempt->version = talloc_strdup (request, step->weights->version);
    }
  attempt->incarnation = upstream->incarnation;
  attempt->predicted_ms = step->predicted_first_token_ms;
  assign_attempt_id (dispatch, request);
  request->sends++;
  metric_add (dispatch->sends, 1);
  dispatch_move (dispatch, request, REQUEST_SENT,
                 placement_reason_names[step->why]);
  notify_attempt_opened (dispatch, request);
  submit_when_recorded (dispatch, request);
}

static void
resume_stream (dispatch_t *dispatch, request_t *request)
{
  upstream_target_t target = attempt_target (request);
  upstream_sink_t sink = attempt_sink (request);

  request->attempt.was_resumed = true;
  request->attempt.accepted = false;
  dispatch_move (dispatch, request, REQUEST_SENT,
                 request_reason_name (REQUEST_REASON_RESUMED));
  request->attempt.call = dispatch->options.ops->resume (
      dispatch->options.ops_context, &target, request->attempt.id,
      request->attempt.next_offset, &sink);
  attempt_restart_silence_timer (dispatch, request);
}

static void
resubmit_attempt (dispatch_t *dispatch, request_t *request)
{
  sched_verdict_t verdict;

  if (request->span_job != NULL)
    {
      dispatch_oversize_reread (dispatch, request);
      return;
    }
  verdict = sched_resubmit (dispatch->options.sched, request->sequence,
                            request->avoid, clock_mono_ms ());
  if (verdict.admitted)
    dispatch_wake (dispatch);
  else
    dispatch_fail (dispatch, request, verdict.refusal);
}

static void
on_retry_timer (int fd, short what, void *arg)
{
  request_t *request = arg;
  dispatch_t *dispatch = request->owner;

  if (request->attempt.upstream != NULL)
    resume_stream (dispatch, request);
  else
    resubmit_attempt (dispatch, request);
}

static uint64_t
retry_delay_ms (uint32_t doublings)
{
  uint64_t delay_ms = MIN_RETRY_DELAY_MS;

  while (doublings-- > 0 && delay_ms < MAX_RETRY_DELAY_MS)
    delay_ms *= 2;
  return delay_ms < MAX_RETRY_DELAY_MS ? delay_ms : MAX_RETRY_DELAY_MS;
}

static retry_budget_t
retry_budget (const dispatch_t *dispatch, const request_t *request)
{
  const Lwm__Service *service
      = config_service (dispatch->config, request->service);

  return (retry_budget_t){ .percent
                           = service != NULL ? service->retry_percent : 0,
                           .spare = SPARE_RETRIES_PER_10_S };
}

/** Retries the request at another upstream if that is allowed; fails it if
 * not. */
static void
retry_elsewhere (dispatch_t *dispatch,
                 request_t *request,
                 retry_reason_t reason)
{
  bool may_run = request->ran != RAN_NO;
  retry_budget_t budget = retry_budget (dispatch, request);

  if (!request->idempotent && may_run)
    {
      dispatch_fail (dispatch, request, ERROR_OUTCOME_UNKNOWN);
      return;
    }
  /* It may have crashed its upstream, and would crash the next one. */
  if (may_run && dispatch_is_suspect (dispatch, request))
    {
      dispatch_fail (dispatch, request, ERROR_UPSTREAM_FAILED);
      return;
    }
  if (!retry_take (dispatch->retry, request->service, reason, &budget,
                   clock_mono_ms ()))
    {
      dispatch_fail (dispatch, request, ERROR_RETRY_BUDGET);
      return;
    }
  talloc_free (request->avoid);
  request->avoid = talloc_strdup (request, request->attempt.upstream);
  dispatch_move (dispatch, request, REQUEST_QUEUED, retry_reason_name (reason));
  attempt_close (dispatch, request, may_run);
  if (request->sends == 1 && reason != RETRY_BUSY)
    resubmit_attempt (dispatch, request);
  else
    dispatch_start_timer (dispatch, &request->retry_timer, on_retry_timer,
                          request, retry_delay_ms (request->sends - 1));
}

/** Returns whether the upstream may still have the stream to resume. */
static bool
can_resume (dispatch_t *dispatch,
            const request_t *request,
            upstream_result_t result)
{
  const request_attempt_t *attempt = &request->attempt;
  const registry_upstream_t *upstream
      = registry_find (dispatch->options.registry, attempt->upstream);

  if (request->kind != REQUEST_COMPLETION || attempt->stalls >= MAX_STALLS)
    return false;
  if (upstream == NULL || upstream->incarnation != attempt->incarnation)
    return false;
  if (result == UPSTREAM_NOT_CONNECTED)
    return attempt->was_resumed;
  return result == UPSTREAM_BROKEN || result == UPSTREAM_TRUNCATED
         || result == UPSTREAM_MISMATCHED || result == UPSTREAM_DUPLICATE;
}

static bool
is_upstream_fault (retry_reason_t reason)
{
  return retry_is_budgeted (reason) && reason != RETRY_LOST;
}

static void
fail_attempt (dispatch_t *dispatch,
              request_t *request,
              upstream_result_t result,
              retry_reason_t reason)
{
  request_attempt_t *attempt = &request->attempt;

  log_info ("Attempt failed. request=%s upstream=%s result=%s reason=%s",
            request->id, attempt->upstream, upstream_result_name (result),
            retry_reason_name (reason));
  record_run_state (dispatch, request, result);
  close_connection (dispatch, request);
  if (can_resume (dispatch, request, result))
    {
      attempt->stalls += result == UPSTREAM_NOT_CONNECTED
                             ? STALLS_PER_REFUSED_CONNECTION
                             : 1;
      retry_count_resume (dispatch->retry, reason);
      if (attempt->stalls == 1)
        resume_stream (dispatch, request);
      else
        dispatch_start_timer (dispatch, &request->retry_timer, on_retry_timer,
                              request, retry_delay_ms (attempt->stalls));
      return;
    }
  dispatch_record_crash (dispatch, request);
  if (is_upstream_fault (reason))
    registry_record_failure (dispatch->options.registry, attempt->upstream,
                             clock_mono_ms ());
  retry_elsewhere (dispatch, request, reason);
}

void
attempt_upstream_lost (dispatch_t *dispatch, request_t *request)
{
  record_run_state (dispatch, request, UPSTREAM_BROKEN);
  close_connection (dispatch, request);
  request->attempt.is_broken_off = request->attempt.was_sent;
  dispatch_record_crash (dispatch, request);
  if (request->retry_timer != NULL)
    event_del (request->retry_timer);
  retry_elsewhere (dispatch, request, RETRY_LOST);
}
