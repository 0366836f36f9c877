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
/** Pauses between events, in times of what the caller accepts. */
#define GAP_HANGS_FACTOR 4.0
#define GAP_HANGS_MIN_MS 1200
#define LOOK_AGAIN_MS      500
/** Predictions of an engine's silence are this rough. */
#define SILENCE_FACTOR 2.0
/** Requests that may be read while a shorter one waits are less urgent. */
#define URGENT_PROMPT_TOKENS 16000
#define LONG_PROMPT_TOKENS   80000
#define PRIORITY_URGENT      3
#define PRIORITY_USUAL       5
#define PRIORITY_LONG        6

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
  if (request->terms.prompt_tokens <= URGENT_PROMPT_TOKENS)
    return PRIORITY_URGENT;
  return request->terms.prompt_tokens > LONG_PROMPT_TOKENS ? PRIORITY_LONG
                                                           : PRIORITY_USUAL;
}

/** Addresses of those that help to read, or NULL. */
static const char *
helpers_of (void *parent, const choice_t *choice)
{
  char *list = NULL;

  for (uint32_t i = 0; i < choice->helper_count; i++)
    if (list == NULL)
      list = talloc_strdup (parent, choice->helpers[i]->address);
    else
      list = talloc_asprintf_append_buffer (list, ",%s",
                                            choice->helpers[i]->address);
  return list;
}

/** The caller's fields as they are passed on, and our own. */
static http_fields_t
fields_for (void *parent,
            gateway_request_t *request,
            const choice_t *choice)
{
  const gateway_protocol_t *protocol = request->gateway->options.protocol;
  gateway_send_t send = { .left_ms = gateway_left_ms (request),
                          .upstream_id = choice->member->id,
                          .customer = request->customer,
                          .has_last_event = request->has_event,
                          .last_event = request->last_event,
                          .priority = priority_of (request),
                          .helpers = helpers_of (parent, choice) };
  http_fields_t fields = { 0 };

  protocol->write_fields (parent, caller_request_fields (request->caller),
                          &send, &fields);
  return fields;
}

static void
begin_job (gateway_t *gateway, upstream_job_t *job)
{
  job->id = load_share_next_id (gateway->share);
  upstream_set_begin (gateway->set, job);
  load_share_begin (gateway->share, job);
}

/** Notes what the request lays on its upstream and on those that help. */
static void
note_jobs (gateway_request_t *request, const choice_t *choice)
{
  uint32_t prompt = request->terms.prompt_tokens;
  upstream_job_t job = { .upstream = choice->member->key,
                         .prompt_tokens = prompt,
                         .read_tokens = prompt / (choice->helper_count + 1),
                         .answer_tokens = request->terms.answer_tokens,
                         .kv_tokens = prompt + request->terms.answer_tokens,
                         .gap_target_ms = request->route.gap_target_ms,
                         .sent_ms = clock_mono_ms () };

  job.value = upstream_job_value (prompt, job.answer_tokens);
  begin_job (request->gateway, &job);
  request->job_id = job.id;
  job.is_part = true;
  job.kv_tokens = job.answer_tokens = 0;
  request->part_count = choice->helper_count;
  for (uint32_t i = 0; i < choice->helper_count; i++)
    {
      job.upstream = choice->helpers[i]->key;
      begin_job (request->gateway, &job);
      request->part_ids[i] = job.id;
    }
}

static void
end_job (gateway_t *gateway, uint64_t id, upstream_job_end_t how)
{
  upstream_set_end (gateway->set, id, how, clock_mono_ms ());
  load_share_end (gateway->share, id, how);
}

void
gateway_parts_over (gateway_request_t *request)
{
  for (uint32_t i = 0; i < request->part_count; i++)
    end_job (request->gateway, request->part_ids[i], UPSTREAM_JOB_NEUTRAL);
  request->part_count = 0;
}

static uint64_t
hangs_at_ms (const gateway_request_t *request)
{
  double wait_ms;

  if (request->route.kind == ROUTE_UNSAFE)
    return 0;
  if (request->engine != NULL)
    wait_ms = request->predicted_ms * FIRST_HANGS_FACTOR + FIRST_HANGS_MIN_MS;
  else
    wait_ms
        = MAX (request->predicted_ms * CALL_HANGS_FACTOR, CALL_HANGS_MIN_MS);
  return request->attempt_ms + (uint64_t)wait_ms;
}

void
gateway_attempt (gateway_request_t *request, const choice_t *choice)
{
  gateway_t *gateway = request->gateway;
  const upstream_member_t *member = choice->member;
  void *scratch = talloc_new (request);
  http_fields_t fields = fields_for (scratch, request, choice);
  exchange_options_t options
      = { .address = member->address,
          .owner = member->key,
          .method = caller_request_method (request->caller),
          .target = caller_request_target (request->caller),
          .fields = &fields,
          .fresh = request->route.kind == ROUTE_UNSAFE,
          .callbacks = &gateway_relay_callbacks,
          .context = request };

  options.body = caller_request_body (request->caller, &options.body_bytes);
  options.has_length = strcmp (options.method, "GET") != 0
                       && strcmp (options.method, "HEAD") != 0;
  log_info ("Sending a request. request=%s upstream=%s address=%s try=%u "
            "left_ms=%u predicted_ms=%.0f loss=%.0f damage=%.0f usable=%u "
            "helpers=%u after_event=%ju",
            request->terms.id, member->id, member->address, request->tries + 1,
            gateway_left_ms (request), choice->first_ms, choice->loss,
            choice->damage, choice->usable, choice->helper_count,
            (uintmax_t)request->last_event);
  if (request->tries < GATEWAY_MAX_TRIES)
    request->avoid[request->tries] = member->key;
  request->tries++;
  request->upstream_key = member->key;
  talloc_free (request->upstream_id);
  request->upstream_id = talloc_strdup (request, member->id);
  request->attempt_ms = clock_mono_ms ();
  request->predicted_ms = choice->first_ms;
  request->has_head = false;
  g_byte_array_set_size (request->body, 0);
  note_jobs (request, choice);
  request->exchange = exchange_send (gateway->pool, &options);
  request->attempt_due_ms = hangs_at_ms (request);
  gateway_set_timer (request);
  talloc_free (scratch);
}

void
gateway_attempt_over (gateway_request_t *request, upstream_job_end_t how)
{
  gateway_t *gateway = request->gateway;
  exchange_t *exchange = request->exchange;

  request->exchange = NULL;
  request->attempt_due_ms = 0;
  TALLOC_FREE (request->events);
  if (exchange != NULL)
    exchange_cancel (exchange);
  if (request->job_id == 0)
    return;
  gateway_parts_over (request);
  end_job (gateway, request->job_id, how);
  request->job_id = 0;
  gateway_wake (gateway);
}

/** Whether the rules of its route let it be sent once more. */
static bool
may_send_again (gateway_request_t *request, retry_reason_t reason, bool has_run)
{
  gateway_t *gateway = request->gateway;

  if (request->may_have_run && !may_repeat (request))
    return false;
  if (request->sent >= request->route.attempts
      || request->tries >= GATEWAY_MAX_TRIES)
    return false;
  return retry_take (gateway->retry, request->service,
                     has_run ? reason : RETRY_REFUSED,
                     gateway->options.retry_percent, clock_mono_ms ());
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
    gateway_refuse (request, ERROR_NO_UPSTREAM, 300);
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

/** Whether its engine is known to be reading for that long. */
static bool
is_silence_expected (const gateway_request_t *request)
{
  uint64_t now_ms = clock_mono_ms ();
  uint64_t last_ms = MAX (request->attempt_ms, request->last_event_ms);
  double expected_ms;

  if (request->engine == NULL)
    return false;
  expected_ms = upstream_choice_silence_ms (request->gateway->set,
                                            request->upstream_key,
                                            request->engine, now_ms);
  return (double)(now_ms - last_ms) < expected_ms * SILENCE_FACTOR;
}

void
gateway_attempt_hangs (gateway_request_t *request)
{
  choice_t choice;

  /* Late is better than never: it is given up only for a sure better place. */
  if (request->sent + 1 >= request->route.attempts
      || is_silence_expected (request))
    {
      wait_on (request);
      return;
    }
  choice = gateway_choose (request);
  if (choice.kind != CHOICE_SEND
      || !retry_take (request->gateway->retry, request->service, RETRY_STALLED,
                      request->gateway->options.retry_percent,
                      clock_mono_ms ()))
    {
      wait_on (request);
      return;
    }
  log_info ("An upstream is silent. request=%s upstream=%s silent_ms=%ju "
            "events=%u",
            request->terms.id, request->upstream_id,
            (uintmax_t)(clock_mono_ms ()
                        - MAX (request->attempt_ms, request->last_event_ms)),
            request->event_count);
  request->has_head = false;
  request->may_have_run = true;
  request->sent++;
  gateway_attempt_over (request, UPSTREAM_JOB_FAILED);
  gateway_attempt (request, &choice);
}

uint64_t
gateway_gap_due_ms (const gateway_request_t *request)
{
  double wait_ms
      = MAX (request->route.gap_target_ms * GAP_HANGS_FACTOR, GAP_HANGS_MIN_MS);

  return clock_mono_ms () + (uint64_t)wait_ms;
}
