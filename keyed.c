#include "keyed.h"

#include <event2/buffer.h>
#include <event2/event.h>
#include <inttypes.h>
#include <string.h>
#include <talloc.h>
#include <xxhash.h>

#include "base.h"

#define LOG_PART "keyed"
#include "logging.h"

#define FINISH_TIMEOUT_MS  30000
#define RETRY_MIN_PAUSE_MS 20
#define RETRY_MAX_PAUSE_MS 320

struct keyed
{
  keyed_options_t options;
  metric_t *granted;
  metric_t *resent;
};

/** A claim without a verdict yet. It may outlive its request. */
typedef struct
{
  keyed_t *keyed;
  uint64_t sequence;
  Lwm__ControlClaimTake take;
  uint32_t timeout_ms;  /* timeout of each call to the control group */
  uint64_t wait_end_ms; /* time until which a running claim is read again */
  uint32_t pause_ms;    /* time until the next call */
  struct event *retry_timer;
} pending_claim_t;

bool
keyed_needs_claim (const request_t *request)
{
  return request->key != NULL && !request->idempotent;
}

static void
hash_text (XXH3_state_t *state, const char *text)
{
  if (text != NULL)
    XXH3_64bits_update (state, text, strlen (text));
  /* The separating 0 byte makes "ab" + "c" differ from "a" + "bc". */
  XXH3_64bits_update (state, "", 1);
}

static void
hash_buffer (XXH3_state_t *state, struct evbuffer *raw)
{
  size_t size = evbuffer_get_length (raw);

  if (size > 0)
    XXH3_64bits_update (state, evbuffer_pullup (raw, -1), size);
}

/** Returns a digest of the content of a request, which tells a resend from
 * another request with the same key. */
static uint64_t
request_digest (const request_t *request)
{
  XXH3_state_t *state = XXH3_createState ();
  uint64_t digest;

  XXH3_64bits_reset (state);
  hash_text (state, request->path);
  hash_text (state, request->content_type);
  hash_text (state, request->model);
  hash_text (state, request->adapter);
  hash_text (state, request->prompt);
  XXH3_64bits_update (state, &request->max_tokens, sizeof request->max_tokens);
  if (request->raw != NULL)
    hash_buffer (state, request->raw);
  digest = XXH3_64bits_digest (state);
  XXH3_freeState (state);
  return digest;
}

static void
finish_claim (keyed_t *keyed,
              const Lwm__ControlClaimTake *take,
              Lwm__ControlClaimState state,
              ProtobufCBinaryData outcome)
{
  Lwm__ControlClaimFinish finish = LWM__CONTROL_CLAIM_FINISH__INIT;

  finish.customer = take->customer;
  finish.service = take->service;
  finish.key = take->key;
  finish.owner = take->owner;
  finish.attempt = take->attempt;
  finish.keep_ms = take->keep_ms;
  finish.state = state;
  finish.outcome = outcome;
  control_client_finish_claim (keyed->options.control, &finish,
                               FINISH_TIMEOUT_MS, NULL, NULL);
}

static void
deliver_verdict (pending_claim_t *pending,
                 keyed_verdict_t verdict,
                 const Lwm__RecordedAnswer *answer,
                 error_kind_t refusal)
{
  keyed_t *keyed = pending->keyed;
  ProtobufCBinaryData no_outcome = { 0 };
  bool is_accepted = keyed->options.verdict (pending->sequence, verdict, answer,
                                             refusal, keyed->options.context);

  /* The request no longer exists, so it will not run under this claim. */
  if (!is_accepted && verdict == KEYED_RUN)
    finish_claim (keyed, &pending->take,
                  LWM__CONTROL_CLAIM_STATE__CLAIM_RELEASED, no_outcome);
}

static void
deliver_recorded (pending_claim_t *pending, const Lwm__ControlClaim *claim)
{
  Lwm__RecordedAnswer *answer = NULL;

  if (!claim->outcome_cut)
    answer = lwm__recorded_answer__unpack (NULL, claim->outcome.len,
                                           claim->outcome.data);
  if (answer != NULL)
    deliver_verdict (pending, KEYED_ANSWER, answer, ERROR_NONE);
  else
    deliver_verdict (pending, KEYED_REFUSE, NULL, ERROR_OUTCOME_UNKNOWN);
  if (answer != NULL)
    lwm__recorded_answer__free_unpacked (answer, NULL);
}

static bool
is_claim_holder_running (const keyed_options_t *options,
                         const Lwm__ControlClaim *claim)
{
  if (claim->state != LWM__CONTROL_CLAIM_STATE__CLAIM_RUNNING)
    return false;
  return options->is_live == NULL
         || options->is_live (claim->owner, options->is_live_context);
}

/** Schedules another call for the claim; returns false after wait_end_ms. */
static bool
schedule_retry (pending_claim_t *pending)
{
  struct timeval pause = { .tv_usec = pending->pause_ms * 1000 };

  if (clock_mono_ms () >= pending->wait_end_ms)
    return false;
  pending->pause_ms = MIN (pending->pause_ms * 2, RETRY_MAX_PAUSE_MS);
  event_add (pending->retry_timer, &pause);
  return true;
}

/** Delivers the verdict on a key that is claimed already; returns false while
 * waiting for the existing claim to end. */
static bool
deliver_existing (pending_claim_t *pending, const Lwm__ControlClaim *claim)
{
  bool running = is_claim_holder_running (&pending->keyed->options, claim);

  if (running && schedule_retry (pending))
    return false;
  metric_add (pending->keyed->resent, 1);
  if (claim->state == LWM__CONTROL_CLAIM_STATE__CLAIM_DONE)
    deliver_recorded (pending, claim);
  else if (running)
    deliver_verdict (pending, KEYED_REFUSE, NULL, ERROR_KEY_IN_PROGRESS);
  else
    deliver_verdict (pending, KEYED_REFUSE, NULL, ERROR_OUTCOME_UNKNOWN);
  return true;
}

static void
on_claimed (const Lwm__ControlAnswer *answer, void *context)
{
  pending_claim_t *pending = context;
  bool is_delivered = true;

  switch (answer->result)
    {
    case LWM__CONTROL_RESULT__RESULT_OK:
      metric_add (pending->keyed->granted, 1);
      deliver_verdict (pending, KEYED_RUN, NULL, ERROR_NONE);
      break;
    case LWM__CONTROL_RESULT__RESULT_EXISTS:
      is_delivered = deliver_existing (pending, answer->claim);
      break;
    case LWM__CONTROL_RESULT__RESULT_CONFLICT:
      deliver_verdict (pending, KEYED_REFUSE, NULL, ERROR_KEY_CONFLICT);
      break;
    default:
      /* The control client releases a claim granted after the timeout. */
      deliver_verdict (pending, KEYED_REFUSE, NULL, ERROR_NO_QUORUM);
      break;
    }
  if (is_delivered)
    talloc_free (pending);
}

static void
send_claim (pending_claim_t *pending)
{
  control_client_claim (pending->keyed->options.control, &pending->take,
                        pending->timeout_ms, on_claimed, pending);
}

static void
on_retry_timer (evutil_socket_t fd, short what, void *arg)
{
  send_claim (arg);
}

static int
free_pending_claim (pending_claim_t *pending)
{
  event_free (pending->retry_timer);
  return 0;
}

void
keyed_claim (keyed_t *keyed,
             const request_t *request,
             const char *owner,
             uint32_t timeout_ms,
             uint32_t keep_ms)
{
  pending_claim_t *pending = talloc_zero (keyed, pending_claim_t);
  Lwm__ControlClaimTake *take = &pending->take;

  pending->keyed = keyed;
  pending->sequence = request->sequence;
  lwm__control_claim_take__init (take);
  take->customer = talloc_strdup (pending, request->customer);
  take->service = talloc_strdup (pending, request->service);
  take->key = talloc_strdup (pending, request->key);
  take->digest = request_digest (request);
  take->owner = talloc_strdup (pending, owner);
  /* The sequence is unique among the requests of the owner's incarnation. */
  take->attempt = request->sequence;
  take->keep_ms = keep_ms;
  pending->timeout_ms = timeout_ms;
  pending->wait_end_ms = clock_mono_ms () + KEYED_RUNNING_WAIT_MS;
  pending->pause_ms = RETRY_MIN_PAUSE_MS;
  pending->retry_timer
      = event_new (keyed->options.base, -1, 0, on_retry_timer, pending);
  talloc_set_destructor (pending, free_pending_claim);
  send_claim (pending);
}

/** Returns the packed answer of a request; freed with @a parent. */
static ProtobufCBinaryData
pack_answer (void *parent, const request_t *request)
{
  Lwm__RecordedAnswer answer = LWM__RECORDED_ANSWER__INIT;
  ProtobufCBinaryData packed;

  answer.request_id = request->id;
  answer.status = (uint32_t)request->answer_status;
  if (request->answer_type != NULL)
    answer.type = request->answer_type;
  if (request->answer != NULL)
    {
      answer.body.len = evbuffer_get_length (request->answer);
      answer.body.data = evbuffer_pullup (request->answer, -1);
    }
  answer.text = request->text->str;
  answer.prompt_tokens = request->usage.prompt_tokens;
  answer.completion_tokens = request->usage.completion_tokens;
  answer.cached_tokens = request->usage.cached_tokens;
  packed.len = lwm__recorded_answer__get_packed_size (&answer);
  packed.data = talloc_size (parent, packed.len + 1);
  lwm__recorded_answer__pack (&answer, packed.data);
  return packed;
}

void
keyed_record_end (keyed_t *keyed, const request_t *request, const char *owner)
{
  void *scratch = talloc_new (keyed);
  ProtobufCBinaryData outcome = { 0 };
  Lwm__ControlClaimTake take = LWM__CONTROL_CLAIM_TAKE__INIT;
  Lwm__ControlClaimState state = LWM__CONTROL_CLAIM_STATE__CLAIM_UNKNOWN;

  take.customer = request->customer;
  take.service = request->service;
  take.key = request->key;
  take.owner = talloc_strdup (scratch, owner);
  take.attempt = request->sequence;
  take.keep_ms = request->key_keep_ms;
  if (request->state == REQUEST_DONE)
    {
      state = LWM__CONTROL_CLAIM_STATE__CLAIM_DONE;
      outcome = pack_answer (scratch, request);
    }
  else if (request->ran == RAN_NO)
    state = LWM__CONTROL_CLAIM_STATE__CLAIM_RELEASED;
  finish_claim (keyed, &take, state, outcome);
  talloc_free (scratch);
}

keyed_t *
keyed_new (void *parent, const keyed_options_t *options)
{
  keyed_t *keyed = talloc_zero (parent, keyed_t);

  keyed->options = *options;
  keyed->granted = metrics_counter (
      options->metrics, "lwm_keys_granted_total",
      "idempotency keys claimed for requests of this instance", NULL);
  keyed->resent
      = metrics_counter (options->metrics, "lwm_keys_resent_total",
                         "requests whose key was claimed before", NULL);
  return keyed;
}
