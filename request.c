#include "request.h"

#include <event2/buffer.h>
#include <event2/event.h>
#include <string.h>
#include <talloc.h>

#define BYTES_PER_TOKEN 4
/* State transitions kept for the explanation of a request. The history always
 * ends with the newest one; when it is full, one from the middle is removed. */
#define MAX_EDGES 48

static const char *const state_names[REQUEST_STATE_COUNT] = {
  "received", "admitted", "queued", "sent", "first_byte", "done", "failed"
};

static const char *const reason_names[REQUEST_REASON_COUNT]
    = { "arrived", "within_limits", "waiting",  "placed",
        "resumed", "answered",      "complete", "recorded" };

/* Allowed transitions: bit N of a row allows the change to state N. */
static const unsigned allowed_edges[REQUEST_STATE_COUNT] = {
  [REQUEST_RECEIVED]
  = 1u << REQUEST_ADMITTED | 1u << REQUEST_DONE | 1u << REQUEST_FAILED,
  [REQUEST_ADMITTED] = 1u << REQUEST_QUEUED | 1u << REQUEST_FAILED,
  [REQUEST_QUEUED] = 1u << REQUEST_SENT | 1u << REQUEST_FAILED,
  [REQUEST_SENT] = 1u << REQUEST_SENT | 1u << REQUEST_QUEUED
                   | 1u << REQUEST_FIRST_BYTE | 1u << REQUEST_DONE
                   | 1u << REQUEST_FAILED,
  [REQUEST_FIRST_BYTE] = 1u << REQUEST_SENT | 1u << REQUEST_QUEUED
                         | 1u << REQUEST_DONE | 1u << REQUEST_FAILED,
};

static void
clear_edge (gpointer data)
{
  request_edge_t *edge = data;

  g_free (edge->upstream);
}

static void
free_timer (struct event *timer)
{
  if (timer != NULL)
    event_free (timer);
}

static int
free_request (request_t *request)
{
  request_drop_prompt (request);
  request_drop_answer (request);
  g_array_free (request->edges, TRUE);
  g_string_free (request->text, TRUE);
  g_array_free (request->ends, TRUE);
  free_timer (request->deadline_timer);
  free_timer (request->silence_timer);
  free_timer (request->retry_timer);
  free_timer (request->detach_timer);
  free_timer (request->hold_timer);
  return 0;
}

static char *
copy_nonempty (request_t *request, const char *text)
{
  return text != NULL && text[0] != '\0' ? talloc_strdup (request, text) : NULL;
}

static void
store_content (request_t *request, const request_spec_t *spec)
{
  if (spec->body != NULL)
    {
      request->body = json_object_ref (spec->body);
      request->prompt = spec->prompt;
      request->prompt_bytes = strlen (spec->prompt);
    }
  if (spec->raw != NULL)
    {
      request->raw = evbuffer_new ();
      evbuffer_add_buffer (request->raw, spec->raw);
    }
}

static void
append_edge (request_t *request, const char *reason, uint64_t now_ms)
{
  request_edge_t edge = {
    .at_ms = now_ms,
    .state = request->state,
    .reason = reason,
    .upstream = g_strdup (request->attempt.upstream),
  };

  if (request->edges->len == MAX_EDGES)
    g_array_remove_index (request->edges, MAX_EDGES / 2);
  g_array_append_val (request->edges, edge);
}

request_t *
request_new (void *parent,
             const request_spec_t *spec,
             const char *id,
             uint64_t sequence,
             uint64_t now_ms)
{
  request_t *request = talloc_zero (parent, request_t);

  request->id = talloc_strdup (request, id);
  request->sequence = sequence;
  request->signature = spec->signature;
  request->kind = spec->kind;
  request->service = copy_nonempty (request, spec->service);
  request->customer = copy_nonempty (request, spec->customer);
  request->model = copy_nonempty (request, spec->model);
  request->adapter = copy_nonempty (request, spec->adapter);
  request->version = copy_nonempty (request, spec->version);
  request->key = copy_nonempty (request, spec->key);
  request->path = copy_nonempty (request, spec->path);
  request->content_type = copy_nonempty (request, spec->content_type);
  request->priority = spec->priority;
  request->idempotent = spec->idempotent;
  request->max_tokens = spec->max_tokens;
  request->received_ms = now_ms;
  request->deadline_ms = now_ms + spec->deadline_ms;
  if (spec->first_token_ms > 0)
    request->first_token_by_ms = now_ms + spec->first_token_ms;
  request->edges = g_array_new (FALSE, TRUE, sizeof (request_edge_t));
  g_array_set_clear_func (request->edges, clear_edge);
  request->text = g_string_new (NULL);
  request->ends = g_array_new (FALSE, FALSE, sizeof (uint32_t));
  request->ran = RAN_NO;
  store_content (request, spec);
  talloc_set_destructor (request, free_request);
  append_edge (request, reason_names[REQUEST_REASON_ARRIVED], now_ms);
  return request;
}

bool
request_move (request_t *request,
              request_state_t state,
              const char *reason,
              uint64_t now_ms)
{
  if ((allowed_edges[request->state] & 1u << state) == 0)
    return false;
  request->state = state;
  if (request_is_over (request))
    request->ended_ms = now_ms;
  append_edge (request, reason, now_ms);
  return true;
}

const char *
request_state_name (request_state_t state)
{
  return (unsigned)state < REQUEST_STATE_COUNT ? state_names[state] : "?";
}

const char *
request_reason_name (request_reason_t reason)
{
  return (unsigned)reason < REQUEST_REASON_COUNT ? reason_names[reason] : "?";
}

uint64_t
request_token_count (const request_t *request)
{
  return request->ends->len;
}

const char *
request_token (const request_t *request, uint64_t offset, size_t *length)
{
  guint index = (guint)offset;
  uint32_t start
      = index > 0 ? g_array_index (request->ends, uint32_t, index - 1) : 0;

  *length = g_array_index (request->ends, uint32_t, index) - start;
  return request->text->str + start;
}

void
request_add_token (request_t *request, const char *text)
{
  uint32_t end;

  g_string_append (request->text, text);
  end = (uint32_t)request->text->len;
  g_array_append_val (request->ends, end);
}

void
request_store_call_answer (request_t *request, const upstream_end_t *end)
{
  request->answer_status = end->status;
  request->answer_type = talloc_strdup (
      request, end->content_type != NULL ? end->content_type
                                         : "application/octet-stream");
  request->answer = evbuffer_new ();
  evbuffer_add_buffer (request->answer, end->body);
}

void
request_drop_prompt (request_t *request)
{
  g_clear_pointer (&request->body, json_object_unref);
  g_clear_pointer (&request->raw, evbuffer_free);
  request->prompt = NULL;
}

void
request_set_prompt (request_t *request, char *prompt)
{
  request->original_prompt_tokens = request_prompt_tokens (request);
  g_clear_pointer (&request->body, json_object_unref);
  request->prompt = prompt;
  request->prompt_bytes = strlen (prompt);
}

void
request_drop_answer (request_t *request)
{
  request->text_dropped = true;
  g_string_free (request->text, TRUE);
  request->text = g_string_new (NULL);
  g_array_set_size (request->ends, 0);
  g_clear_pointer (&request->answer, evbuffer_free);
}

uint64_t
request_prompt_tokens (const request_t *request)
{
  return (request->prompt_bytes + BYTES_PER_TOKEN - 1) / BYTES_PER_TOKEN;
}
