/* Requests with an idempotency key: claims the key before they are admitted. */
#include <event2/buffer.h>
#include <string.h>
#include <talloc.h>

#include "dispatch-internal.h"

#define LOG_PART "dispatch"
#include "logging.h"

/* A request in a network partition without a quorum is refused after this time,
 * which is well within most deadlines. */
#define MAX_CLAIM_TIMEOUT_MS 3000
#define DEFAULT_KEY_KEEP_MS  (24 * 60 * 60 * 1000u)

/** Copies the answer of the request that ran under the same key. */
static void
use_recorded_answer (request_t *request, const Lwm__RecordedAnswer *answer)
{
  uint32_t end = (uint32_t)strlen (answer->text);

  request->ran = RAN_YES;
  if (request->kind == REQUEST_CALL)
    {
      request->answer_status = (int)answer->status;
      request->answer_type = talloc_strdup (request, answer->type);
      request->answer = evbuffer_new ();
      evbuffer_add (request->answer, answer->body.data, answer->body.len);
      return;
    }
  /* The recorded text becomes one token, because the record has no token
   * boundaries. */
  g_string_append (request->text, answer->text);
  g_array_append_val (request->ends, end);
  request->usage.prompt_tokens = answer->prompt_tokens;
  request->usage.completion_tokens = answer->completion_tokens;
  request->usage.cached_tokens = answer->cached_tokens;
}

/** Admits a request whose key is claimed, or refuses it. */
static void
admit_claimed (dispatch_t *dispatch, request_t *request)
{
  sched_verdict_t verdict;

  request->claimed = true;
  if (dispatch_refuse_blocked (dispatch, request))
    return;
  if (dispatch_is_oversize (dispatch, request))
    {
      dispatch_read_oversize (dispatch, request);
      return;
    }
  verdict = dispatch_admit (dispatch, request);
  if (verdict.admitted)
    dispatch_enqueue (dispatch, request);
  else
    dispatch_refuse (dispatch, request, verdict.refusal,
                     verdict.retry_after_ms);
}

static bool
on_verdict (uint64_t sequence,
            keyed_verdict_t verdict,
            const Lwm__RecordedAnswer *answer,
            error_kind_t refusal,
            void *context)
{
  dispatch_t *dispatch = context;
  request_t *request = dispatch_find_sequence (dispatch, sequence);

  if (request == NULL)
    return false;
  if (verdict == KEYED_RUN)
    admit_claimed (dispatch, request);
  else if (verdict == KEYED_ANSWER)
    {
      use_recorded_answer (request, answer);
      dispatch_move (dispatch, request, REQUEST_DONE,
                     request_reason_name (REQUEST_REASON_RECORDED));
      dispatch_archive (dispatch, request);
    }
  else
    {
      request->ran = error_answer (refusal)->ran;
      dispatch_refuse (dispatch, request, refusal, 0);
    }
  return true;
}

void
dispatch_claim_key (dispatch_t *dispatch, request_t *request)
{
  uint64_t allotted_ms = request->deadline_ms - request->received_ms;
  uint32_t timeout_ms = allotted_ms < MAX_CLAIM_TIMEOUT_MS
                            ? (uint32_t)allotted_ms
                            : MAX_CLAIM_TIMEOUT_MS;

  request->key_keep_ms
      = dispatch->config != NULL && dispatch->config->claim_kept_ms > 0
            ? dispatch->config->claim_kept_ms
            : DEFAULT_KEY_KEEP_MS;
  keyed_claim (dispatch->keyed, request, dispatch->owner, timeout_ms,
               request->key_keep_ms);
}

void
dispatch_add_keyed (dispatch_t *dispatch)
{
  const dispatch_options_t *options = &dispatch->options;
  keyed_options_t keyed = { .base = options->base,
                            .control = options->control,
                            .metrics = options->metrics,
                            .verdict = on_verdict,
                            .context = dispatch,
                            .is_live = options->is_live,
                            .is_live_context = options->is_live_context };

  dispatch->keyed = keyed_new (dispatch, &keyed);
}
