#include "gateway-internal.h"

#include <string.h>
#include <talloc.h>

#include "base.h"
#define LOG_PART "gateway"
#include "logging.h"

/** A call counts as stalled after this multiple of its predicted time, but not
 * before the minimum. */
#define CALL_STALL_FACTOR 4.0
#define CALL_STALL_MIN_MS 220
/** A stream counts as stalled if its first event takes longer than this
 * multiple of the predicted time plus a margin. Predictions for busy engines
 * are rough. */
#define FIRST_EVENT_STALL_FACTOR 3.0
#define FIRST_EVENT_MARGIN_MS    1000
/** Margin for prompts that are not short, as engines read newer prompts before
 * a long one. Dead engines are detected sooner by other means. */
#define FIRST_EVENT_LONG_MARGIN_MS 2500
/** A stream counts as stalled after a pause between events of this multiple of
 * the route's gap target, but not before the minimum. */
#define GAP_STALL_FACTOR 4.0
#define GAP_STALL_MIN_MS 1500
/** Time after which an attempt that may still be answered is checked again. */
#define STALL_RECHECK_MS 500
/** Priorities at an engine: longer prompts, which might be read while a shorter
 * one waits, are less urgent. */
#define PRIORITY_URGENT 3
#define PRIORITY_NORMAL 5
#define PRIORITY_LONG   6

/** Returns true if the request may run more than once. */
static bool
is_repeatable (const gateway_request_t *request)
{
  return request->route.kind == ROUTE_SAFE
         || (request->route.kind == ROUTE_STREAM
             && request->route.is_resumable);
}

static uint32_t
engine_priority (const gateway_request_t *request)
{
  if (request->terms.prompt_tokens <= GATEWAY_SHORT_PROMPT_TOKENS)
    return PRIORITY_URGENT;
  return request->terms.prompt_tokens > GATEWAY_LONG_PROMPT_TOKENS
             ? PRIORITY_LONG
             : PRIORITY_NORMAL;
}

/** Returns the fields to send: those of the caller and of the gateway. */
static http_fields_t
new_upstream_fields (void *parent, const gateway_request_t *request)
{
  const gateway_protocol_t *protocol = request->gateway->options.protocol;
  gateway_upstream_info_t send
      = { .left_ms = gateway_remaining_ms (request),
          .upstream_id = request->upstream_id,
          .customer = request->customer,
          .has_last_event = request->has_event,
          .last_event = request->last_event,
          .priority = engine_priority (request),
          .helpers = gateway_helper_list (parent, request) };
  http_fields_t fields = { 0 };

  protocol->write_upstream_fields (
      parent, caller_request_fields (request->caller), &send, &fields);
  return fields;
}

/** Returns the silence after which the attempt counts as stalled without an
 * answer or, for a stream, a first event. */
static uint64_t
max_first_silence_ms (const gateway_request_t *request)
{
  double wait_ms;

  if (request->engine != NULL)
    wait_ms = request->predicted_ms * FIRST_EVENT_STALL_FACTOR
              + (request->terms.prompt_tokens > GATEWAY_SHORT_PROMPT_TOKENS
                     ? FIRST_EVENT_LONG_MARGIN_MS
                     : FIRST_EVENT_MARGIN_MS);
  else
    wait_ms
        = MAX (request->predicted_ms * CALL_STALL_FACTOR, CALL_STALL_MIN_MS);
  return (uint64_t)wait_ms;
}

/** Returns the silence after which a stream counts as stalled between two
 * events. */
static uint64_t
max_gap_silence_ms (const gateway_request_t *request)
{
  return (uint64_t)MAX (request->route.gap_target_ms * GAP_STALL_FACTOR,
                        GAP_STALL_MIN_MS);
}

static uint64_t
max_silence_ms (const gateway_request_t *request)
{
  return request->attempt_events > 0 ? max_gap_silence_ms (request)
                                     : max_first_silence_ms (request);
}

static void
replace_text (void *parent, char **text, const char *value)
{
  talloc_free (*text);
  *text = talloc_strdup (parent, value);
}

static void
log_helpers (const gateway_request_t *request)
{
  void *scratch;

  if (request->helper_count == 0)
    return;
  scratch = talloc_new (NULL);
  log_info ("Other engines read parts of the prompt. request=%s helpers=%s",
            request->terms.id, gateway_helper_list (scratch, request));
  talloc_free (scratch);
}

void
gateway_start_attempt (gateway_request_t *request,
                       const placement_request_t *placed,
                       const placement_answer_t *answer)
{
  const upstream_member_t *member
      = upstream_set_find (request->gateway->set, answer->upstream);

  log_info ("Placed a request. request=%s upstream=%s address=%s try=%u "
            "waited_ms=%ju left_ms=%u predicted_ms=%.0f loss=%.0f damage=%.0f "
            "decoding=%.0f waiting=%.0f value=%.0f blocked_percent=%.0f "
            "filled_percent=%.0f usable=%u helpers=%u memory=%u "
            "after_event=%ju job=%ju",
            request->terms.id, member->id, member->address,
            request->attempt_count + 1,
            (uintmax_t)(clock_mono_ms () - request->arrived_ms),
            gateway_remaining_ms (request), answer->first_ms, answer->loss,
            answer->damage, answer->damage_decoding, answer->damage_waiting,
            upstream_job_value (placed->prompt_tokens, placed->answer_tokens),
            answer->blocked * 100, answer->filled * 100, answer->usable,
            answer->helper_count, answer->memory_count,
            (uintmax_t)request->last_event, (uintmax_t)placed->id);
  if (request->attempt_count < GATEWAY_MAX_ATTEMPTS)
    request->avoid[request->attempt_count] = member->key;
  request->attempt_count++;
  request->upstream_key = member->key;
  replace_text (request, &request->upstream_id, member->id);
  replace_text (request, &request->upstream_address, member->address);
  request->predicted_ms = answer->first_ms;
  request->is_limited = answer->is_limited;
  request->places_locally = false;
  request->has_head = false;
  shared_bytes_clear (&request->body);
  caller_request_set_kept (request->caller, 0);
  gateway_begin_jobs (request, placed, answer);
  log_helpers (request);
  if (answer->memory_count > 0)
    gateway_reserve_memory (request);
  else
    gateway_send (request);
}

static bool
was_sent_to (const gateway_request_t *request, uint64_t upstream_key)
{
  for (uint32_t i = 0; i < request->sent_count; i++)
    if (request->sent_to[i] == upstream_key)
      return true;
  return false;
}

static void
record_sent (gateway_request_t *request)
{
  if (request->sent_count < GATEWAY_MAX_ATTEMPTS)
    request->sent_to[request->sent_count++] = request->upstream_key;
}

/** Tells whether an answer that was meant for an earlier request, or a
 * connection that the upstream closes at this moment, could do harm. */
static bool
needs_new_connection (const gateway_request_t *request)
{
  return !is_repeatable (request)
         || was_sent_to (request, request->upstream_key);
}

void
gateway_send (gateway_request_t *request)
{
  void *scratch = talloc_new (request);
  http_fields_t fields = new_upstream_fields (scratch, request);
  exchange_options_t options
      = { .address = request->upstream_address,
          .owner = request->upstream_key,
          .method = caller_request_method (request->caller),
          .target = caller_request_target (request->caller),
          .fields = &fields,
          .use_new_connection = needs_new_connection (request),
          .callbacks = &gateway_relay_callbacks,
          .context = request };

  options.shared_body = caller_request_body (request->caller);
  options.always_send_length = strcmp (options.method, "GET") != 0
                               && strcmp (options.method, "HEAD") != 0;
  record_sent (request);
  request->attempt_ms = clock_mono_ms ();
  request->attempt_events = 0;
  request->earlier_silence_ms
      += gateway_silent_ms (request, request->attempt_ms);
  silence_restart (&request->silence, request->attempt_ms);
  request->exchange = exchange_send (request->gateway->pool, &options);
  gateway_set_stall_time (request, request->attempt_ms);
  gateway_set_timer (request);
  talloc_free (scratch);
}

void
gateway_end_attempt (gateway_request_t *request, upstream_job_end_t how)
{
  exchange_t *exchange = request->exchange;

  request->exchange = NULL;
  request->attempt_due_ms = 0;
  silence_resume (&request->silence, clock_mono_ms ());
  TALLOC_FREE (request->events);
  if (exchange != NULL)
    exchange_cancel (exchange);
  gateway_end_jobs (request, how);
  zone_placement_recheck (request->gateway->placement);
}

/** Takes a retry from this instance's share of the retry budget, if there is
 * one left. */
static bool
take_retry (const gateway_request_t *request, retry_reason_t reason)
{
  const gateway_t *gateway = request->gateway;
  retry_budget_t budget = retry_budget_part (
      gateway->options.retry_percent, gateway->options.spare_retries,
      zone_placement_instances (gateway->placement));

  return retry_take (gateway->retry, request->service, reason, &budget,
                     clock_mono_ms ());
}

/** Returns true if the route and the retry budget allow a retry, and takes it
 * from the budget. */
static bool
may_retry (gateway_request_t *request, retry_reason_t reason, bool has_run)
{
  if (request->may_have_run && !is_repeatable (request))
    return false;
  /* It may have crashed its upstream, and would crash the next one. */
  if (has_run && gateway_quarantine_level (request) != QUARANTINE_CLEAR)
    return false;
  if (request->possible_runs >= request->route.attempts
      || request->attempt_count >= GATEWAY_MAX_ATTEMPTS)
    return false;
  return take_retry (request, has_run ? reason : RETRY_REFUSED);
}

/** Ends a request that is not retried: aborts a reply that has begun, else
 * relays the upstream's answer if it has run the request, or refuses the
 * request. */
static void
end_failed_request (gateway_request_t *request)
{
  if (request->is_reply_begun)
    gateway_abort (request, "upstream_failed");
  else if (request->has_head && !request->answer.has_not_run
           && !request->answer.is_misdirected)
    gateway_relay_answer (request);
  else if (request->may_have_run)
    gateway_refuse (request, ERROR_UPSTREAM_FAILED, 0);
  else
    gateway_refuse (request, ERROR_NO_UPSTREAM, GATEWAY_RETRY_AFTER_MS);
}

void
gateway_on_attempt_failed (gateway_request_t *request,
                           retry_reason_t reason,
                           bool has_run)
{
  log_info ("An attempt failed. request=%s upstream=%s reason=%s has_run=%d "
            "status=%u took_ms=%ju sent=%u attempts=%u",
            request->terms.id, request->upstream_id, retry_reason_name (reason),
            has_run, request->has_head ? request->status : 0,
            (uintmax_t)(clock_mono_ms () - request->attempt_ms),
            request->possible_runs, request->route.attempts);
  request->may_have_run = request->may_have_run || has_run;
  request->possible_runs += has_run;
  if (may_retry (request, reason, has_run))
    gateway_place (request);
  else
    end_failed_request (request);
}

void
gateway_recheck_attempt (gateway_request_t *request)
{
  request->attempt_due_ms = clock_mono_ms () + STALL_RECHECK_MS;
  gateway_set_timer (request);
}

uint64_t
gateway_silent_ms (const gateway_request_t *request, uint64_t now_ms)
{
  pause_detector_t *process_pause = &request->gateway->process_pause;

  pause_detector_update (process_pause, GATEWAY_TICK_MS, now_ms);
  return silence_ms (&request->silence, process_pause, now_ms);
}

void
gateway_set_stall_time (gateway_request_t *request, uint64_t silent_since_ms)
{
  request->attempt_due_ms = is_repeatable (request)
                                ? silent_since_ms + max_silence_ms (request)
                                : 0;
}

void
gateway_on_attempt_stalled (gateway_request_t *request)
{
  uint64_t now_ms = clock_mono_ms ();
  uint64_t silent_ms = gateway_silent_ms (request, now_ms);

  if (silent_ms < max_silence_ms (request))
    {
      /* The answer was not read all the time, or may still be unread after a
         pause of this process. */
      gateway_set_stall_time (request, now_ms - silent_ms);
      gateway_set_timer (request);
      return;
    }
  gateway_recheck_attempt (request);
  /* A late answer is better than none: the attempt ends only if another
     upstream can take the request now. */
  if (request->ask == NULL
      && request->possible_runs + 1 < request->route.attempts)
    gateway_ask_to_move (request);
}

void
gateway_move_attempt (gateway_request_t *request,
                      const placement_request_t *placed,
                      const placement_answer_t *answer)
{
  uint64_t silent_ms = gateway_silent_ms (request, clock_mono_ms ());
  bool has_sent_events = request->has_head && request->attempt_events > 0;

  if (request->exchange == NULL || silent_ms < placed->silent_ms
      || !take_retry (request, RETRY_STALLED))
    {
      for (uint64_t i = 0; i <= answer->helper_count; i++)
        zone_placement_end (request->gateway->placement, placed->id + i,
                            UPSTREAM_JOB_NEUTRAL);
      return;
    }
  log_info ("An attempt has stalled. request=%s upstream=%s silent_ms=%ju "
            "events=%u",
            request->terms.id, request->upstream_id, (uintmax_t)silent_ms,
            request->event_count);
  request->has_head = false;
  request->may_have_run = true;
  request->possible_runs++;
  /* An engine that has sent events may be reading other prompts, which does
     not count as a failure. */
  gateway_end_attempt (request, has_sent_events ? UPSTREAM_JOB_NEUTRAL
                                                : UPSTREAM_JOB_FAILED);
  gateway_start_attempt (request, placed, answer);
}
