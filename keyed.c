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

#define FINISH_TIMEOUT_MS 30000
#define FIRST_PAUSE_MS    20
#define LONGEST_PAUSE_MS  320

struct keyed
{
  keyed_options_t options;
  metric_t *granted;
  metric_t *resent;
};

/** A claim under way; outlives its request. */
typedef struct
{
  keyed_t *keyed;
  uint64_t sequence;
  Lwm__ControlClaimTake take;
  uint32_t timeout_ms;  /* of each call to the group */
  uint64_t wait_end_ms; /* until then a running claim is asked for again */
  uint32_t pause_ms;    /* before the next time */
  struct event *again;
} claiming_t;

bool
keyed_applies (const request_t *request)
{
  return request->key != NULL && !request->idempotent;
}

static void
add_text (XXH3_state_t *state, const char *text)
{
  if (text != NULL)
    XXH3_64bits_update (state, text, strlen (text));
  /* Keeps the parts apart: "ab" and "c" are not "a" and "bc". */
  XXH3_64bits_update (state, "", 1);
}

static void
add_raw (XXH3_state_t *state, struct evbuffer *raw)
{
  size_t size = evbuffer_get_length (raw);

  if (size > 0)
    XXH3_64bits_update (state, evbuffer_pullup (raw, -1), size);
}

/** Digest of what the request asks for. */
static uint64_t
digest_of (const request_t *request)
{
  XXH3_state_t *state = XXH3_createState ();
  uint64_t digest;

  XXH3_64bits_reset (state);
  add_text (state, request->path);
  add_text (state, request->content_type);
  add_text (state, request->model);
  add_text (state, request->adapter);
  add_text (state, request->prompt);
  XXH3_64bits_update (state, &request->max_tokens, sizeof request->max_tokens);
  if (request->raw != NULL)
    add_raw (state, request->raw);
  digest = XXH3_64bits_digest (state);
  XXH3_freeState (state);
  return digest;
}

static void
finish (keyed_t *keyed,
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
  control_client_finish (keyed->options.control, &finish, FINISH_TIMEOUT_MS,
                         NULL, NULL);
}

static void
say (claiming_t *claiming,
     keyed_verdict_t verdict,
     const Lwm__RecordedAnswer *answer,
     error_kind_t refusal)
{
  keyed_t *keyed = claiming->keyed;
  ProtobufCBinaryData nothing = { 0 };
  bool taken = keyed->options.verdict (claiming->sequence, verdict, answer,
                                       refusal, keyed->options.context);

  /* Nobody waits any more, so nobody will run it. */
  if (!taken && verdict == KEYED_RUN)
    finish (keyed, &claiming->take, LWM__CONTROL_CLAIM_STATE__CLAIM_RELEASED,
            nothing);
}

static void
say_recorded (claiming_t *claiming, const Lwm__ControlClaim *claim)
{
  Lwm__RecordedAnswer *answer = NULL;

  if (!claim->outcome_cut)
    answer = lwm__recorded_answer__unpack (NULL, claim->outcome.len,
                                           claim->outcome.data);
  if (answer != NULL)
    say (claiming, KEYED_ANSWER, answer, ERROR_NONE);
  else
    say (claiming, KEYED_REFUSE, NULL, ERROR_OUTCOME_UNKNOWN);
  if (answer != NULL)
    lwm__recorded_answer__free_unpacked (answer, NULL);
}

static bool
is_running (const keyed_options_t *options, const Lwm__ControlClaim *claim)
{
  if (claim->state != LWM__CONTROL_CLAIM_STATE__CLAIM_RUNNING)
    return false;
  return options->is_live == NULL
         || options->is_live (claim->owner, options->is_live_context);
}

/** Asks again later; false when the time for that is over. */
static bool
wait_for_end (claiming_t *claiming)
{
  struct timeval pause = { .tv_usec = claiming->pause_ms * 1000 };

  if (clock_mono_ms () >= claiming->wait_end_ms)
    return false;
  claiming->pause_ms = MIN (claiming->pause_ms * 2, LONGEST_PAUSE_MS);
  event_add (claiming->again, &pause);
  return true;
}

/** Tells of the claim that exists; false while its end is waited for. */
static bool
say_exists (claiming_t *claiming, const Lwm__ControlClaim *claim)
{
  bool running = is_running (&claiming->keyed->options, claim);

  if (running && wait_for_end (claiming))
    return false;
  metric_add (claiming->keyed->resent, 1);
  if (claim->state == LWM__CONTROL_CLAIM_STATE__CLAIM_DONE)
    say_recorded (claiming, claim);
  else if (running)
    say (claiming, KEYED_REFUSE, NULL, ERROR_KEY_IN_PROGRESS);
  else
    say (claiming, KEYED_REFUSE, NULL, ERROR_OUTCOME_UNKNOWN);
  return true;
}

static void
on_claimed (const Lwm__ControlAnswer *answer, void *context)
{
  claiming_t *claiming = context;
  bool said = true;

  switch (answer->result)
    {
    case LWM__CONTROL_RESULT__RESULT_OK:
      metric_add (claiming->keyed->granted, 1);
      say (claiming, KEYED_RUN, NULL, ERROR_NONE);
      break;
    case LWM__CONTROL_RESULT__RESULT_EXISTS:
      said = say_exists (claiming, answer->claim);
      break;
    case LWM__CONTROL_RESULT__RESULT_CONFLICT:
      say (claiming, KEYED_REFUSE, NULL, ERROR_KEY_CONFLICT);
      break;
    default:
      /* The client itself gives back a claim that is granted late. */
      say (claiming, KEYED_REFUSE, NULL, ERROR_NO_QUORUM);
      break;
    }
  if (said)
    talloc_free (claiming);
}

static void
ask (claiming_t *claiming)
{
  control_client_claim (claiming->keyed->options.control, &claiming->take,
                        claiming->timeout_ms, on_claimed, claiming);
}

static void
on_again (evutil_socket_t fd, short what, void *arg)
{
  ask (arg);
}

static int
free_claiming (claiming_t *claiming)
{
  event_free (claiming->again);
  return 0;
}

void
keyed_claim (keyed_t *keyed,
             const request_t *request,
             const char *owner,
             uint32_t timeout_ms,
             uint32_t keep_ms)
{
  claiming_t *claiming = talloc_zero (keyed, claiming_t);
  Lwm__ControlClaimTake *take = &claiming->take;

  claiming->keyed = keyed;
  claiming->sequence = request->sequence;
  lwm__control_claim_take__init (take);
  take->customer = talloc_strdup (claiming, request->customer);
  take->service = talloc_strdup (claiming, request->service);
  take->key = talloc_strdup (claiming, request->key);
  take->digest = digest_of (request);
  take->owner = talloc_strdup (claiming, owner);
  /* The sequence is this request's alone within the owner's incarnation. */
  take->attempt = request->sequence;
  take->keep_ms = keep_ms;
  claiming->timeout_ms = timeout_ms;
  claiming->wait_end_ms = clock_mono_ms () + KEYED_RUNNING_WAIT_MS;
  claiming->pause_ms = FIRST_PAUSE_MS;
  claiming->again = event_new (keyed->options.base, -1, 0, on_again, claiming);
  talloc_set_destructor (claiming, free_claiming);
  ask (claiming);
}

/** The answer in packed form; freed with @a parent. */
static ProtobufCBinaryData
record (void *parent, const request_t *request)
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
keyed_end (keyed_t *keyed, const request_t *request, const char *owner)
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
      outcome = record (scratch, request);
    }
  else if (request->ran == RAN_NO)
    state = LWM__CONTROL_CLAIM_STATE__CLAIM_RELEASED;
  finish (keyed, &take, state, outcome);
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
