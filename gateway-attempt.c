#include "gateway-internal.h"

#include <string.h>
#include <talloc.h>

#include "base.h"
#define LOG_PART "gateway"
#include "logging.h"

/** A call counts as hanging after so many times its predicted time. */
#define CALL_HANGS_FACTOR 4.0
#define CALL_HANGS_MIN_MS 220
/** A stream's first event: predictions of busy engines are rough. */
#define FIRST_HANGS_FACTOR 3.0
#define FIRST_HANGS_MIN_MS 1000
/** Newer prompts are read before a long one; dead engines are found sooner. */
#define FIRST_HANGS_LONG_MS 2500
/** Pauses between events, in times of what the caller accepts. */
#define GAP_HANGS_FACTOR 4.0
#define GAP_HANGS_MIN_MS 1500
#define LOOK_AGAIN_MS    500
/** Predictions of an engine's silence are this rough. */
#define SILENCE_FACTOR 2.0
/** Requests that may be read while a shorter one waits are less urgent. */
#define PRIORITY_URGENT 3
#define PRIORITY_USUAL  5
#define PRIORITY_LONG   6

static bool
may_repeat (const gateway_request_t *request)
{
  return request->route.kind == ROUTE_SAFE
         || (request->route.kind == ROUTE_STREAM
             && request->route.is_resumable);
}

static uint32_t
priority_of (const gateway_request_t *request)
{
  if (request->terms.prompt_tokens <= GATEWAY_SHORT_TOKENS)
    return PRIORITY_URGENT;
  return request->terms.prompt_tokens > GATEWAY_LONG_TOKENS ? PRIORITY_LONG
                                                            : PRIORITY_USUAL;
}

/** The caller's fields as they are passed on, and our own. */
static http_fields_t
fields_for (void *parent, const gateway_request_t *request)
{
  const gateway_protocol_t *protocol = request->gateway->options.protocol;
  gateway_send_t send = { .left_ms = gateway_left_ms (request),
                          .upstream_id = request->upstream_id,
                          .customer = request->customer,
                          .has_last_event = request->has_event,
                          .last_event = request->last_event,
                          .priority = priority_of (request),
                          .helpers = gateway_helper_list (parent, request) };
  http_fields_t fields = { 0 };

  protocol->write_fields (parent, caller_request_fields (request->caller),
                          &send, &fields);
  return fields;
}

static uint64_t
hangs_at_ms (const gateway_request_t *request)
{
  double wait_ms;

  if (!may_repeat (request))
    return 0;
  if (request->engine != NULL)
    wait_ms = request->predicted_ms * FIRST_HANGS_FACTOR
              + (request->terms.prompt_tokens > GATEWAY_SHORT_TOKENS
                     ? FIRST_HANGS_LONG_MS
                     : FIRST_HANGS_MIN_MS);
  else
    wait_ms
        = MAX (request->predicted_ms * CALL_HANGS_FACTOR, CALL_HANGS_MIN_MS);
  return request->attempt_ms + (uint64_t)wait_ms;
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
  log_info ("Others help to read. request=%s helpers=%s", request->terms.id,
            gateway_helper_list (scratch, request));
  talloc_free (scratch);
}

void
gateway_attempt (gateway_request_t *request, const choice_t *choice)
{
  const upstream_member_t *member = choice->member;

  log_info ("Placed a request. request=%s upstream=%s address=%s try=%u "
            "left_ms=%u predicted_ms=%.0f loss=%.0f damage=%.0f usable=%u "
            "helpers=%u memory=%u after_event=%ju",
            request->terms.id, member->id, member->address, request->tries + 1,
            gateway_left_ms (request), choice->first_ms, choice->loss,
            choice->damage, choice->usable, choice->helper_count,
            choice->memory_count, (uintmax_t)request->last_event);
  if (request->tries < GATEWAY_MAX_TRIES)
    request->avoid[request->tries] = member->key;
  request->tries++;
  request->upstream_key = member->key;
  replace_text (request, &request->upstream_id, member->id);
  replace_text (request, &request->upstream_address, member->address);
  request->predicted_ms = choice->first_ms;
  request->has_head = false;
  g_byte_array_set_size (request->body, 0);
  gateway_note_jobs (request, choice);
  log_helpers (request);
  if (choice->memory_count > 0)
    gateway_ask_memory (request);
  else
    gateway_send (request);
}

void
gateway_send (gateway_request_t *request)
{
  void *scratch = talloc_new (request);
  http_fields_t fields = fields_for (scratch, request);
  exchange_options_t options
      = { .address = request->upstream_address,
          .owner = request->upstream_key,
          .method = caller_request_method (request->caller),
          .target = caller_request_target (request->caller),
          .fields = &fields,
          .fresh = request->route.kind == ROUTE_UNSAFE,
          .callbacks = &gateway_relay_callbacks,
          .context = request };

  options.body = caller_request_body (request->caller, &options.body_bytes);
  options.has_length = strcmp (options.method, "GET") != 0
                       && strcmp (options.method, "HEAD") != 0;
  request->attempt_ms = clock_mono_ms ();
  request->exchange = exchange_send (request->gateway->pool, &options);
  request->attempt_due_ms = hangs_at_ms (request);
  gateway_set_timer (request);
  talloc_free (scratch);
}

void
gateway_attempt_over (gateway_request_t *request, upstream_job_end_t how)
{
  exchange_t *exchange = request->exchange;

  request->exchange = NULL;
  request->attempt_due_ms = 0;
  TALLOC_FREE (request->events);
  if (exchange != NULL)
    exchange_cancel (exchange);
  gateway_end_jobs (request, how);
  gateway_wake (request->gateway);
}

/** Takes a retry out of this instance's part of the budget. */
static bool
take_retry (const gateway_request_t *request, retry_reason_t reason)
{
  const gateway_t *gateway = request->gateway;
  retry_budget_t budget = retry_budget_part (
      gateway->options.retry_percent, gateway->options.spare_retries,
      load_share_instances (gateway->share));

  return retry_take (gateway->retry, request->service, reason, &budget,
                     clock_mono_ms ());
}

/** Whether the rules of its route let it be sent once more. */
static bool
may_send_again (gateway_request_t *request, retry_reason_t reason, bool has_run)
{
  if (request->may_have_run && !may_repeat (request))
    return false;
  if (request->sent >= request->route.attempts
      || request->tries >= GATEWAY_MAX_TRIES)
    return false;
  return take_retry (request, has_run ? reason : RETRY_REFUSED);
}

/** What the caller is told when no attempt is left. */
static void
give_up (gateway_request_t *request)
{
  if (request->is_begun)
    gateway_break (request, "upstream_failed");
  else if (request->has_head && !request->answer.has_not_run
           && !request->answer.is_misdirected)
    gateway_relay_answer (request);
  else if (request->may_have_run)
    gateway_refuse (request, ERROR_UPSTREAM_FAILED, 0);
  else
    gateway_refuse (request, ERROR_NO_UPSTREAM, GATEWAY_RETRY_AFTER_MS);
}

void
gateway_attempt_failed (gateway_request_t *request,
                        retry_reason_t reason,
                        bool has_run)
{
  log_info ("An attempt failed. request=%s upstream=%s reason=%s has_run=%d "
            "status=%u took_ms=%ju sent=%u attempts=%u",
            request->terms.id, request->upstream_id, retry_reason_name (reason),
            has_run, request->has_head ? request->status : 0,
            (uintmax_t)(clock_mono_ms () - request->attempt_ms), request->sent,
            request->route.attempts);
  request->may_have_run = request->may_have_run || has_run;
  request->sent += has_run;
  if (may_send_again (request, reason, has_run))
    gateway_place (request);
  else
    give_up (request);
}

/** Looks again later at an attempt that may yet be answered. */
static void
wait_on (gateway_request_t *request)
{
  request->attempt_due_ms = clock_mono_ms () + LOOK_AGAIN_MS;
  gateway_set_timer (request);
}

/** How long an engine is expected to say nothing. */
static double
expected_silence_ms (const gateway_request_t *request,
                     uint64_t upstream_key,
                     uint64_t now_ms)
{
  return upstream_choice_silence_ms (request->gateway->set, upstream_key,
                                     request->engine, now_ms);
}

/** Time since the present attempt was last heard of, or could be. */
static uint64_t
silent_ms (const gateway_request_t *request, uint64_t now_ms)
{
  return now_ms
         - standstill_silent_since_ms (
             &request->gateway->still,
             MAX (request->attempt_ms, request->last_event_ms));
}

/** Whether this process woke so lately that answers may lie here unread. */
static bool
has_just_woken (gateway_t *gateway)
{
  uint64_t now_ms = clock_mono_ms ();

  standstill_beat (&gateway->still, GATEWAY_TICK_MS, now_ms);
  return standstill_has_just_woken (&gateway->still, LOOK_AGAIN_MS, now_ms);
}

/** Whether its engines are known to be reading for that long. */
static bool
is_silence_expected (const gateway_request_t *request)
{
  uint64_t now_ms = clock_mono_ms ();
  double expected_ms;

  if (request->engine == NULL)
    return false;
  expected_ms = expected_silence_ms (request, request->upstream_key, now_ms);
  for (uint32_t i = 0; i < request->helper_count; i++)
    expected_ms = MAX (expected_ms,
                       expected_silence_ms (
                           request, request->helpers[i].upstream_key, now_ms));
  return (double)silent_ms (request, now_ms) < expected_ms * SILENCE_FACTOR;
}

void
gateway_attempt_hangs (gateway_request_t *request)
{
  bool has_begun = request->has_head && request->attempt_events > 0;
  choice_t choice;

  /* Late is better than never: it is given up only for a sure better place. */
  if (has_just_woken (request->gateway)
      || request->sent + 1 >= request->route.attempts
      || is_silence_expected (request))
    {
      wait_on (request);
      return;
    }
  choice = gateway_choose (request);
  if (choice.kind != CHOICE_SEND || !take_retry (request, RETRY_STALLED))
    {
      wait_on (request);
      return;
    }
  log_info ("An upstream is silent. request=%s upstream=%s silent_ms=%ju "
            "events=%u",
            request->terms.id, request->upstream_id,
            (uintmax_t)silent_ms (request, clock_mono_ms ()),
            request->event_count);
  request->has_head = false;
  request->may_have_run = true;
  request->sent++;
  /* An engine that has begun may just be reading: no sign that it fails. */
  gateway_attempt_over (request,
                        has_begun ? UPSTREAM_JOB_NEUTRAL : UPSTREAM_JOB_FAILED);
  gateway_attempt (request, &choice);
}

uint64_t
gateway_gap_due_ms (const gateway_request_t *request)
{
  double wait_ms
      = MAX (request->route.gap_target_ms * GAP_HANGS_FACTOR, GAP_HANGS_MIN_MS);

  if (!may_repeat (request))
    return 0;
  return clock_mono_ms () + (uint64_t)wait_ms;
}
