#include <event2/buffer.h>
#include <event2/event.h>
#include <inttypes.h>
#include <string.h>
#include <talloc.h>

#include "base.h"
#include "dispatch-internal.h"

#define LOG_PART "attempt"
#include "logging.h"

/* Longest silence after a token; engines space them by some 70 ms. */
#define TOKEN_SILENCE_MS 3000
/* In ten seconds, so that a quiet service has some too. */
#define SPARE_RETRIES 3
/* Silence before the first token, besides twice the predicted time. */
#define FIRST_SILENCE_MS 5000
/* An idempotent call that has this share of its time behind it is sent anew. */
#define CALL_SILENCE_DIVISOR 3
#define MAX_STALLS           4
/* A refused connection weighs more than silence: the process is gone. */
#define STALLS_NOT_CONNECTED 2
#define FIRST_PAUSE_MS       50
#define MAX_PAUSE_MS         1000

static const char *const why_names[] = {
  [SCHED_WHY_POLICY] = "placed_by_policy",
  [SCHED_WHY_CACHED_PREFIX] = "placed_by_cached_prefix",
  [SCHED_WHY_OWN_ZONE] = "placed_in_own_zone",
  [SCHED_WHY_OTHER_ZONE] = "placed_in_other_zone",
  [SCHED_WHY_ONLY_ONE] = "placed_at_only_one",
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
silence_ms (const request_t *request)
{
  uint64_t allotted_ms = request->deadline_ms - request->received_ms;

  if (request->kind == REQUEST_CALL)
    return allotted_ms / CALL_SILENCE_DIVISOR;
  if (request->attempt.has_tokens)
    return TOKEN_SILENCE_MS;
  return FIRST_SILENCE_MS + 2 * (uint64_t)request->attempt.predicted_ms;
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
attempt_watch (dispatch_t *dispatch, request_t *request)
{
  dispatch_start_timer (dispatch, &request->silence_timer, on_silence, request,
                        silence_ms (request));
}

/** Notes what an ended attempt says of the request having run. */
static void
note_ran (dispatch_t *dispatch, request_t *request, upstream_result_t result)
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
  dispatch->options.ops->close (request->attempt.call);
  request->attempt.call = NULL;
  if (request->silence_timer != NULL)
    event_del (request->silence_timer);
}

static void
tell_closed (dispatch_t *dispatch, const request_t *request)
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
  if (is_cancelled && request->kind == REQUEST_COMPLETION)
    cancels_add (dispatch->cancels, CANCEL_STREAM, &target,
                 request->attempt.id);
  else
    tell_closed (dispatch, request);
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
note_first_token (dispatch_t *dispatch, request_t *request, uint64_t now_ms)
{
  request_attempt_t *attempt = &request->attempt;

  attempt->has_tokens = true;
  request->ran = RAN_YES;
  registry_answered (dispatch->options.registry, attempt->upstream, now_ms);
  if (request->first_token_at_ms == 0)
    request->first_token_at_ms = now_ms;
  /* What follows must come from the same weights, also after a replay. */
  if (request->version == NULL)
    request->version = talloc_strdup (request, attempt->version);
  sched_first_token (dispatch->options.sched, request->sequence, now_ms);
}

/** Whether a replayed token is the one that was delivered before. */
static bool
is_same_token (const request_t *request, uint64_t offset, const char *text)
{
  size_t length;
  const char *had = request_token (request, offset, &length);

  return strlen (text) == length && memcmp (had, text, length) == 0;
}

static void
take_token (dispatch_t *dispatch,
            request_t *request,
            uint64_t offset,
            const char *text)
{
  if (offset < request_tokens (request))
    {
      metric_add (dispatch->replayed_tokens, 1);
      if (!is_same_token (request, offset, text))
        {
          log_error ("Replay differs. request=%s upstream=%s offset=%" PRIu64,
                     request->id, request->attempt.upstream, offset);
          dispatch_fail (dispatch, request, ERROR_UPSTREAM_FAILED);
        }
      return;
    }
  request_add_token (request, text);
  sched_tokens (dispatch->options.sched, request->sequence, 1,
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
    note_first_token (dispatch, request, clock_mono_ms ());
  if (request->state == REQUEST_SENT)
    dispatch_move (dispatch, request, REQUEST_FIRST_BYTE,
                   request_reason_name (REQUEST_REASON_ANSWERED));
  attempt_watch (dispatch, request);
  take_token (dispatch, request, offset, text);
}

/* The engine is alive and has the stream: a long prefill is no stall. */
static void
on_accepted (void *context)
{
  request_t *request = context;

  request->attempt.accepted = true;
  if (!request->attempt.has_tokens)
    request->attempt.stalls = 0;
}

static void
take_call_answer (request_t *request, const upstream_end_t *end)
{
  request->answer_status = end->status;
  request->answer_type = talloc_strdup (
      request, end->content_type != NULL ? end->content_type
                                         : "application/octet-stream");
  request->answer = evbuffer_new ();
  evbuffer_add_buffer (request->answer, end->body);
}

static void
on_end (void *context, const upstream_end_t *end)
{
  request_t *request = context;
  dispatch_t *dispatch = request->owner;

  if (end->result != UPSTREAM_DONE)
    {
      fail_attempt (dispatch, request, end->result,
                    retry_reason_of (end->result));
      return;
    }
  note_ran (dispatch, request, UPSTREAM_DONE);
  registry_answered (dispatch->options.registry, request->attempt.upstream,
                     clock_mono_ms ());
  if (request->kind == REQUEST_CALL)
    take_call_answer (request, end);
  else
    request->usage = end->usage;
  if (request->whole_prompt_tokens > 0)
    request->usage.prompt_tokens = request->whole_prompt_tokens;
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
  /* An upstream that does not call itself an engine has announced none. */
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

/* A second attempt has an id of its own, so that cancelling the first one
 * can't hit it. */
static void
name_attempt (dispatch_t *dispatch, request_t *request)
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
tell_opened (dispatch_t *dispatch, const request_t *request)
{
  const dispatch_owner_hooks_t *hooks = &dispatch->options.owner_hooks;

  if (request->kind == REQUEST_COMPLETION && hooks->opened != NULL)
    hooks->opened (request->attempt.sequence, request->attempt.upstream,
                   hooks->context);
}

static void
submit (dispatch_t *dispatch, request_t *request)
{
  if (request->kind == REQUEST_CALL)
    submit_call (dispatch, request);
  else
    submit_stream (dispatch, request);
  attempt_watch (dispatch, request);
}

static void submit_recorded (dispatch_t *dispatch, request_t *request);

static void
on_held (int fd, short what, void *arg)
{
  request_t *request = arg;

  submit_recorded (request->owner, request);
}

/* Were this instance killed before the stream's record has left, nobody would
 * know of the stream, and the engine would hold its memory for good. */
static void
submit_recorded (dispatch_t *dispatch, request_t *request)
{
  const dispatch_owner_hooks_t *hooks = &dispatch->options.owner_hooks;
  uint32_t wait_ms = 0;

  if (request->kind == REQUEST_COMPLETION && hooks->unsent_ms != NULL)
    wait_ms = hooks->unsent_ms (request->attempt.sequence, hooks->context);
  if (wait_ms > 0)
    dispatch_start_timer (dispatch, &request->hold_timer, on_held, request,
                          wait_ms);
  else
    submit (dispatch, request);
}

void
attempt_send (dispatch_t *dispatch,
              request_t *request,
              const sched_step_t *step)
{
  const registry_upstream_t *upstream
      = registry_find (dispatch->options.registry, step->upstream);
  request_attempt_t *attempt = &request->attempt;

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
  name_attempt (dispatch, request);
  request->sends++;
  metric_add (dispatch->sends, 1);
  dispatch_move (dispatch, request, REQUEST_SENT, why_names[step->why]);
  tell_opened (dispatch, request);
  submit_recorded (dispatch, request);
}

static void
resume (dispatch_t *dispatch, request_t *request)
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
  attempt_watch (dispatch, request);
}

static void
resubmit (dispatch_t *dispatch, request_t *request)
{
  sched_verdict_t verdict;

  if (request->span_of != NULL)
    {
      dispatch_oversize_again (dispatch, request);
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
on_retry_time (int fd, short what, void *arg)
{
  request_t *request = arg;
  dispatch_t *dispatch = request->owner;

  if (request->attempt.upstream != NULL)
    resume (dispatch, request);
  else
    resubmit (dispatch, request);
}

static uint64_t
pause_ms (uint32_t times)
{
  uint64_t pause = FIRST_PAUSE_MS;

  while (times-- > 0 && pause < MAX_PAUSE_MS)
    pause *= 2;
  return pause < MAX_PAUSE_MS ? pause : MAX_PAUSE_MS;
}

static retry_budget_t
retry_budget (const dispatch_t *dispatch, const request_t *request)
{
  const Lwm__Service *service
      = config_service (dispatch->config, request->service);

  return (retry_budget_t){ .percent
                           = service != NULL ? service->retry_percent : 0,
                           .spare = SPARE_RETRIES };
}

/** Sends the request anew, where that is allowed. */
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
    resubmit (dispatch, request);
  else
    dispatch_start_timer (dispatch, &request->retry_timer, on_retry_time,
                          request, pause_ms (request->sends - 1));
}

/** Whether the stream may still be there to be read on. */
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
         || result == UPSTREAM_CROSSED || result == UPSTREAM_DUPLICATE;
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
  note_ran (dispatch, request, result);
  close_connection (dispatch, request);
  if (can_resume (dispatch, request, result))
    {
      attempt->stalls
          += result == UPSTREAM_NOT_CONNECTED ? STALLS_NOT_CONNECTED : 1;
      retry_count_resume (dispatch->retry, reason);
      if (attempt->stalls == 1)
        resume (dispatch, request);
      else
        dispatch_start_timer (dispatch, &request->retry_timer, on_retry_time,
                              request, pause_ms (attempt->stalls));
      return;
    }
  if (is_upstream_fault (reason))
    registry_failed (dispatch->options.registry, attempt->upstream,
                     clock_mono_ms ());
  retry_elsewhere (dispatch, request, reason);
}

void
attempt_lost (dispatch_t *dispatch, request_t *request)
{
  note_ran (dispatch, request, UPSTREAM_BROKEN);
  close_connection (dispatch, request);
  if (request->retry_timer != NULL)
    event_del (request->retry_timer);
  retry_elsewhere (dispatch, request, RETRY_LOST);
}
