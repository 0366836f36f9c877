#include "gateway-internal.h"

#include <string.h>
#include <strings.h>
#include <talloc.h>

#include "base.h"
#define LOG_PART "gateway"
#include "logging.h"

/** Limit on the size of an answer, which is relayed once it is complete. */
#define MAX_BUFFERED_BYTES (8u * 1024 * 1024)
/** Longest extension of a pause that an upstream asked for. */
#define MAX_PAUSE_SPREAD_MS    1000
#define FIRST_SERVER_ERROR     500
#define STATUS_GATEWAY_TIMEOUT 504
/** Least change of a cold time that is passed on. */
#define COLD_NEWS_MS 250

/** Saves the answer's head, as the answer of a failed attempt may be relayed
 * later. */
static void
save_answer_head (gateway_request_t *request)
{
  const http_fields_t *fields = exchange_fields (request->exchange);

  if (request->is_reply_begun)
    return;
  talloc_free (request->head);
  request->head = talloc_new (request);
  request->fields = (http_fields_t){ 0 };
  for (size_t i = 0; i < fields->count; i++)
    if (!http_field_is_hop_by_hop (fields, fields->items[i].name))
      http_fields_add (request->head, &request->fields, fields->items[i].name,
                       fields->items[i].value);
  request->reason
      = talloc_strdup (request->head, exchange_reason (request->exchange));
}

static bool
is_stream (const gateway_request_t *request)
{
  return request->route.kind == ROUTE_STREAM && request->status == 200;
}

/** Returns true if the answer belongs to another request or to none, or is a
 * successful answer without an upstream's mark. */
static bool
is_mismatched (const gateway_request_t *request)
{
  const gateway_answer_info_t *answer = &request->answer;
  const char *id = request->terms.id;

  if (answer->request_id == NULL && *id != '\0'
      && request->gateway->options.protocol->answers_have_id)
    return true;
  if (answer->request_id != NULL && strcmp (answer->request_id, id) != 0)
    return true;
  return request->status < 300 && !answer->is_signed;
}

/** Ends a failed attempt; the rest of its answer is not relayed. */
static void
fail_attempt_as (gateway_request_t *request,
                 upstream_job_end_t how,
                 retry_reason_t reason,
                 bool has_run)
{
  request->has_head = false;
  gateway_end_attempt (request, how);
  gateway_on_attempt_failed (request, reason, has_run);
}

/** Returns how a job ends whose answer is incomplete at the end of its
 * exchange: as broken off if the upstream has closed the connection, unless it
 * leaves. */
static upstream_job_end_t
end_of_incomplete (const gateway_request_t *request, const exchange_t *exchange)
{
  const upstream_member_t *member
      = upstream_set_find (request->gateway->set, request->upstream_key);

  return exchange_was_closed (exchange)
                 && (member == NULL || !upstream_member_is_ending (member))
             ? UPSTREAM_JOB_BROKEN
             : UPSTREAM_JOB_FAILED;
}

static void
fail_attempt (gateway_request_t *request, retry_reason_t reason, bool has_run)
{
  fail_attempt_as (request, UPSTREAM_JOB_FAILED, reason, has_run);
}

/** Returns whether the answer was read all the time since the attempt started,
 * so that this time is the upstream's alone. */
static bool
was_read_throughout (const gateway_request_t *request, uint64_t now_ms)
{
  return gateway_silent_ms (request, now_ms) == now_ms - request->attempt_ms;
}

/** Records the first event of an attempt. The ratio of its time to the
 * predicted time is the engine's slowness. */
static void
record_first_event (gateway_request_t *request, uint64_t now_ms)
{
  gateway_t *gateway = request->gateway;

  zone_placement_first_event (gateway->placement, request->job_id);
  gateway_on_prompt_read (request);
  if (request->engine != NULL && request->predicted_ms > 0
      && was_read_throughout (request, now_ms))
    zone_placement_observe (gateway->placement, request->upstream_key, 0,
                            (double)(now_ms - request->attempt_ms)
                                / request->predicted_ms);
  if (request->first_event_ms == 0)
    request->first_event_ms = now_ms;
  zone_placement_recheck (gateway->placement);
}

static void
begin_stream (gateway_request_t *request)
{
  request->is_reply_begun = true;
  caller_reply_begin (request->caller, request->status, request->reason,
                      &request->fields, -1);
}

/** Records the pause before an event, and reports the first one of the attempt
 * that is too long. */
static void
record_progress (const gateway_request_t *request,
                 uint64_t silent_ms,
                 uint64_t now_ms)
{
  upstream_set_t *set = request->gateway->set;
  const upstream_job_t *job = upstream_set_job (set, request->job_id);
  bool was_late = job != NULL && job->is_late;

  upstream_set_progress (set, request->job_id, silent_ms, now_ms);
  if (job != NULL && job->is_late && !was_late)
    zone_placement_report_late_gap (request->gateway->placement,
                                    request->upstream_key);
}

/** Records an event. Only events show that the upstream makes progress: single
 * bytes and comments may come from one that is stuck. */
static void
record_event (gateway_request_t *request, uint64_t now_ms)
{
  uint64_t silent_ms = gateway_silent_ms (request, now_ms);

  if (request->attempt_events++ == 0)
    record_first_event (request, now_ms);
  record_progress (request, silent_ms, now_ms);
  if (request->event_count++ > 0)
    request->longest_gap_ms
        = MAX (request->longest_gap_ms,
               (uint32_t)(request->earlier_silence_ms + silent_ms));
  request->earlier_silence_ms = 0;
  silence_restart (&request->silence, now_ms);
  gateway_set_stall_time (request, now_ms);
}

static bool
on_event (const event_stream_event_t *event, void *context)
{
  gateway_request_t *request = context;

  if (event->has_id && request->has_event
      && event->id != request->last_event + 1)
    {
      log_warn ("An upstream's event is out of order. request=%s upstream=%s "
                "event=%ju after=%ju",
                request->terms.id, request->upstream_id, (uintmax_t)event->id,
                (uintmax_t)request->last_event);
      return false;
    }
  if (event->has_id)
    {
      request->has_event = true;
      request->last_event = event->id;
    }
  if (event->has_data)
    record_event (request, clock_mono_ms ());
  if (!request->is_reply_begun)
    begin_stream (request);
  caller_reply_data (request->caller, event->data, event->size_bytes);
  return true;
}

/** Records what the upstream says of itself. A pause is extended by chance, so
 * that not all instances return at the same moment. */
static void
record_upstream_state (const gateway_request_t *request)
{
  const gateway_answer_info_t *answer = &request->answer;
  gateway_t *gateway = request->gateway;
  uint32_t pause_ms = answer->pause_ms;

  if (pause_ms > 0)
    pause_ms += (uint32_t)(random_id ()
                           % (MIN (pause_ms / 4, MAX_PAUSE_SPREAD_MS) + 1));
  if (answer->is_leaving)
    metric_add (gateway->counters.leaving, 1);
  if (pause_ms > 0)
    metric_add (gateway->counters.paused, 1);
  if (answer->is_leaving || pause_ms > 0)
    zone_placement_report_state (gateway->placement, request->upstream_key,
                                 answer->is_leaving, pause_ms);
}

/** Records the rate limit that the upstream names, or that it names none any
 * more. Answers may overtake each other: one without a limit ends it only if
 * its request was sent after the limit was known. */
static void
record_upstream_limit (const gateway_request_t *request)
{
  const gateway_answer_info_t *answer = &request->answer;
  gateway_t *gateway = request->gateway;
  const upstream_member_t *member
      = upstream_set_find (gateway->set, request->upstream_key);

  if (answer->limit_s > 0)
    {
      metric_add (gateway->counters.limited, 1);
      zone_placement_report_limit (gateway->placement, request->upstream_key,
                                   answer->limit_s, clock_mono_ms ());
    }
  else if (answer->is_signed && !answer->has_invalid_limit && member != NULL
           && (request->is_limited || upstream_limit_holds (&member->limit)))
    zone_placement_report_limit (gateway->placement, request->upstream_key, 0,
                                 request->attempt_ms);
}

/** Records for how long the upstream says that it is cold, if that is news. */
static void
record_cold_time (const gateway_request_t *request)
{
  const upstream_member_t *member
      = upstream_set_find (request->gateway->set, request->upstream_key);
  uint32_t cold_ms = request->answer.cold_ms;

  if (member != NULL && cold_ms > 0
      && clock_mono_ms () + cold_ms > member->cold.until_ms + COLD_NEWS_MS)
    zone_placement_report_cold (request->gateway->placement,
                                request->upstream_key, cold_ms);
}

static void
on_head (exchange_t *exchange, void *context)
{
  gateway_request_t *request = context;

  request->status = exchange_status (exchange);
  request->has_head = true;
  request->attempt_events = 0;
  request->has_invalid_event = false;
  request->answer = (gateway_answer_info_t){ 0 };
  request->gateway->options.protocol->read_answer_info (
      request->status, exchange_fields (exchange), &request->answer);
  if (is_mismatched (request))
    {
      /* The connection is out of step and is closed. */
      fail_attempt (request, RETRY_CROSSED, true);
      return;
    }
  if (request->answer.failed_helper != NULL)
    gateway_report_dead_helper (request, request->answer.failed_helper);
  if (request->answer.request_id == NULL)
    exchange_close_after (exchange);
  /* The exchange owns these strings, and they are not needed any more. */
  request->answer.request_id = request->answer.failed_helper = NULL;
  record_upstream_state (request);
  record_upstream_limit (request);
  record_cold_time (request);
  save_answer_head (request);
  if (is_stream (request))
    request->events = event_stream_new (request, on_event, request);
}

static void
pause_if_slow (gateway_request_t *request)
{
  if (silence_is_paused (&request->silence)
      || caller_reply_pending_bytes (request->caller)
             < gateway_max_unsent_bytes (request->gateway))
    return;
  silence_pause (&request->silence, clock_mono_ms ());
  exchange_set_paused (request->exchange, true);
}

void
gateway_resume_reading (gateway_request_t *request)
{
  if (!silence_is_paused (&request->silence))
    return;
  silence_resume (&request->silence, clock_mono_ms ());
  exchange_set_paused (request->exchange, false);
}

static void
on_body (exchange_t *exchange,
         const uint8_t *data,
         size_t size_bytes,
         void *context)
{
  gateway_request_t *request = context;

  if (request->has_invalid_event)
    return;
  if (request->events != NULL)
    {
      request->has_invalid_event
          = !event_stream_feed (request->events, data, size_bytes);
      if (request->has_invalid_event)
        {
          fail_attempt (request, RETRY_CROSSED, true);
          return;
        }
      gateway_set_timer (request);
      caller_request_set_kept (request->caller,
                               event_stream_held_bytes (request->events));
      pause_if_slow (request);
      return;
    }
  if (request->body->size_bytes + size_bytes > MAX_BUFFERED_BYTES)
    {
      log_warn ("An answer is too large. request=%s upstream=%s",
                request->terms.id, request->upstream_id);
      fail_attempt (request, RETRY_TRUNCATED, true);
      return;
    }
  shared_bytes_append (request->body, data, size_bytes);
  caller_request_set_kept (request->caller, request->body->room_bytes);
}

void
gateway_relay_answer (gateway_request_t *request)
{
  caller_reply_begin (request->caller, request->status, request->reason,
                      &request->fields, (int64_t)request->body->size_bytes);
  caller_request_set_kept (request->caller, 0);
  caller_reply_shared (request->caller, request->body);
  gateway_finish (request, request->status);
}

static void
end_stream (gateway_request_t *request, const exchange_t *exchange)
{
  if (!event_stream_is_complete (request->events)
      || (!request->is_reply_begun && request->event_count == 0))
    {
      fail_attempt_as (request, end_of_incomplete (request, exchange),
                       RETRY_TRUNCATED, true);
      return;
    }
  gateway_end_attempt (request, UPSTREAM_JOB_GOOD);
  gateway_finish (request, request->status);
}

static void
end_call (gateway_request_t *request)
{
  gateway_t *gateway = request->gateway;
  uint64_t now_ms = clock_mono_ms ();
  bool has_failed = request->status >= FIRST_SERVER_ERROR
                    && request->status != STATUS_GATEWAY_TIMEOUT;

  if (request->answer.has_not_run || request->answer.is_misdirected)
    {
      /* It may be tried again after its pause. */
      if (request->answer.pause_ms > 0
          && request->attempt_count <= GATEWAY_MAX_ATTEMPTS)
        request->avoid[request->attempt_count - 1] = 0;
      gateway_end_attempt (request, request->answer.is_misdirected
                                        ? UPSTREAM_JOB_FAILED
                                        : UPSTREAM_JOB_REFUSED);
      gateway_on_attempt_failed (request, RETRY_REFUSED, false);
      return;
    }
  if (has_failed)
    {
      gateway_end_attempt (request, UPSTREAM_JOB_FAILED);
      gateway_on_attempt_failed (request, RETRY_ERROR, true);
      return;
    }
  if (was_read_throughout (request, now_ms))
    zone_placement_observe (gateway->placement, request->upstream_key,
                            (double)(now_ms - request->attempt_ms), 0);
  gateway_end_attempt (request, UPSTREAM_JOB_GOOD);
  if (request->is_reply_begun)
    gateway_abort (request, "resume_refused");
  else
    gateway_relay_answer (request);
}

static void
on_end (exchange_t *exchange, void *context)
{
  gateway_request_t *request = context;

  request->exchange = NULL;
  if (request->events != NULL)
    end_stream (request, exchange);
  else
    end_call (request);
}

static void
on_failed (exchange_t *exchange, exchange_failure_t how, void *context)
{
  gateway_request_t *request = context;
  static const retry_reason_t reasons[] = { [EXCHANGE_NOT_SENT] = RETRY_CONNECT,
                                            [EXCHANGE_NO_ANSWER] = RETRY_ERROR,
                                            [EXCHANGE_BROKEN] = RETRY_BROKEN };
  bool is_sent = how != EXCHANGE_NOT_SENT;

  request->exchange = NULL;
  fail_attempt_as (request,
                   is_sent ? end_of_incomplete (request, exchange)
                           : UPSTREAM_JOB_FAILED,
                   reasons[how], is_sent);
}

const exchange_callbacks_t gateway_relay_callbacks = { .on_head = on_head,
                                                       .on_body = on_body,
                                                       .on_end = on_end,
                                                       .on_failed = on_failed };
