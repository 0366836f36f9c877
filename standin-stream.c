/* Streams over HTTP. A session is one connection that reads a stream. */
#include <event2/buffer.h>
#include <string.h>
#include <talloc.h>
#include <unistd.h>

#include "base.h"
#include "http.h"
#include "standin-private.h"

#define STATUS_CONFLICT 409
#define STATUS_GONE     410

#define US_PER_MS 1000

/* Delay of a fault, so that the bytes written before it are sent. */
#define FAULT_DELAY_MS 20

/** One connection that reads a stream. The stream's observer is the first
 * session of a linked list. */
typedef struct session
{
  standin_t *standin;
  engine_stream_t *stream;
  struct evhttp_request *request;
  char *id;         /* request id of the stream, as JSON text */
  uint64_t seed;    /* seed of the tokens that the session sends */
  uint32_t sent;    /* number of tokens sent */
  bool ended;       /* the reply has ended */
  bool is_complete; /* the closing event was sent */
  fault_t fault;
  bool muted;          /* a fault stops all output */
  struct event *timer; /* timer of a delayed fault, or NULL */
  struct session *next;
} session_t;

static int
free_session (session_t *session)
{
  if (session->timer != NULL)
    event_free (session->timer);
  return 0;
}

static char *
to_json_text (void *parent, const char *text)
{
  JsonNode *node = json_node_init_string (json_node_alloc (), text);
  char *json = http_json_text (node);
  char *copy = talloc_strdup (parent, json);

  g_free (json);
  json_node_unref (node);
  return copy;
}

static void
unlink_session (session_t *session)
{
  session_t **link = (session_t **)&session->stream->observer;

  while (*link != session)
    link = &(*link)->next;
  *link = session->next;
  session->stream->last_request_us = clock_mono_us ();
}

static void
on_connection_closed (struct evhttp_connection *connection, void *arg)
{
  session_t *session = arg;

  http_abandon (session->request);
  unlink_session (session);
  talloc_free (session);
}

/* Ends the session once all bytes are written to the caller's connection. A
 * stream that was read to its end releases its memory. */
static void
on_reply_written (struct evhttp_request *request, void *arg)
{
  session_t *session = arg;
  engine_stream_t *stream = session->stream;
  evhttp_connection_set_closecb (evhttp_request_get_connection (request), NULL,
                                 NULL);
  unlink_session (session);
  if (session->is_complete && !stream->hold)
    engine_release (session->standin->engine, stream);
  talloc_free (session);
}

static void
add_token (struct evbuffer *out, const session_t *session)
{
  char text[TOKEN_TEXT_BYTES];

  token_text (session->seed, session->sent, text);
  evbuffer_add_printf (
      out, "data: {\"request_id\":%s,\"offset\":%u,\"token\":\"%s\"}\n\n",
      session->id, session->sent, text);
}

static void
add_end (struct evbuffer *out, const session_t *session)
{
  const engine_stream_t *stream = session->stream;

  evbuffer_add_printf (out,
                       "data: {\"request_id\":%s,\"offset\":%u,\"done\":true,"
                       "\"usage\":{\"prompt_tokens\":%u,"
                       "\"completion_tokens\":%u,\"cached_tokens\":%u}}\n\n",
                       session->id, stream->generated, stream->prompt_tokens,
                       stream->generated, stream->cached_tokens);
}

static void
send_tokens (session_t *session, uint32_t up_to)
{
  const engine_stream_t *stream = session->stream;
  bool is_complete = stream->done && up_to == stream->generated;
  struct evbuffer *out;

  if (session->sent >= up_to && !is_complete)
    return;
  out = evbuffer_new ();
  for (; session->sent < up_to; session->sent++)
    add_token (out, session);
  session->ended = is_complete;
  session->is_complete = is_complete;
  if (is_complete)
    add_end (out, session);
  evhttp_send_reply_chunk (session->request, out);
  evbuffer_free (out);
  if (is_complete)
    http_send_end (session->request);
}

static void
on_fault_due (evutil_socket_t fd, short what, void *arg)
{
  session_t *session = arg;

  if (session->fault.kind == MISBEHAVE_DIE)
    _exit (EXIT_CODE_FAILED);
  standin_reset_connection (session->request);
}

/* Delays the fault so that the bytes written before it are sent first. */
static void
schedule_fault (session_t *session)
{
  struct timeval wait = { .tv_usec = FAULT_DELAY_MS * US_PER_MS };

  session->timer
      = event_new (session->standin->base, -1, 0, on_fault_due, session);
  event_add (session->timer, &wait);
}

/** Gives the session the id and the tokens of another stream. */
static void
use_other_stream (engine_stream_t *stream, void *context)
{
  session_t *session = context;

  if (stream == session->stream)
    return;
  talloc_free (session->id);
  session->id = to_json_text (session, stream->request_id);
  session->seed = stream->seed;
}

/* Sends the content of another stream from now on, or invalid content if there
 * is no other stream. */
static void
cross_streams (session_t *session)
{
  talloc_free (session->id);
  session->id = to_json_text (session, "crossed");
  session->seed++;
  engine_each_stream (session->standin->engine, use_other_stream, session);
}

static void
inject_fault (session_t *session)
{
  misbehave_kind_t kind = session->fault.kind;

  if (kind == MISBEHAVE_CROSSED)
    {
      cross_streams (session);
      session->fault.kind = MISBEHAVE_NONE;
      return;
    }
  session->muted = true;
  if (kind == MISBEHAVE_DIE || kind == MISBEHAVE_RESET)
    schedule_fault (session);
  if (kind == MISBEHAVE_TRUNCATE)
    {
      session->ended = true;
      http_send_end (session->request);
    }
}

/** Sends all new tokens; ends the reply after the last token. */
static void
write_session (session_t *session)
{
  const engine_stream_t *stream = session->stream;
  bool faulty = session->fault.kind != MISBEHAVE_NONE;

  if (session->ended || session->muted)
    return;
  if (faulty && stream->generated >= session->fault.after_tokens)
    {
      send_tokens (session,
                   MIN (session->fault.after_tokens, stream->generated));
      inject_fault (session);
      if (session->muted)
        return;
    }
  send_tokens (session, stream->generated);
}

void
standin_stream_progress (engine_stream_t *stream, void *context)
{
  session_t *next;

  for (session_t *session = stream->observer; session != NULL; session = next)
    {
      next = session->next;
      write_session (session);
    }
}

static void
start_reply (session_t *session)
{
  struct evhttp_request *request = session->request;

  evhttp_add_header (evhttp_request_get_output_headers (request),
                     "Content-Type", "text/event-stream");
  evhttp_send_reply_start (request, HTTP_OK, "OK");
}

static void
on_delay_over (evutil_socket_t fd, short what, void *arg)
{
  session_t *session = arg;

  session->muted = false;
  start_reply (session);
  write_session (session);
}

static void
delay_answer (session_t *session)
{
  uint32_t ms = session->fault.ms;
  struct timeval wait
      = { .tv_sec = ms / 1000, .tv_usec = (ms % 1000) * US_PER_MS };

  session->muted = true;
  session->fault.kind = MISBEHAVE_NONE;
  session->timer
      = event_new (session->standin->base, -1, 0, on_delay_over, session);
  event_add (session->timer, &wait);
}

/** Returns whether the fault precedes the first byte of the reply. */
static bool
fault_precedes_reply (const fault_t *fault)
{
  return fault->after_tokens == 0
         && (fault->kind == MISBEHAVE_STALL || fault->kind == MISBEHAVE_DIE
             || fault->kind == MISBEHAVE_RESET);
}

static void
open_session (standin_t *standin,
              struct evhttp_request *request,
              engine_stream_t *stream,
              uint32_t offset,
              fault_t fault)
{
  session_t *session = talloc_zero (standin, session_t);

  session->standin = standin;
  session->stream = stream;
  session->request = request;
  session->id = to_json_text (session, stream->request_id);
  session->seed = stream->seed;
  session->sent = offset;
  session->fault = fault;
  session->next = stream->observer;
  stream->observer = session;
  talloc_set_destructor (session, free_session);
  evhttp_connection_set_closecb (evhttp_request_get_connection (request),
                                 on_connection_closed, session);
  evhttp_request_set_on_complete_cb (request, on_reply_written, session);
  if (fault.kind == MISBEHAVE_LATE)
    delay_answer (session);
  else
    {
      if (!fault_precedes_reply (&fault))
        start_reply (session);
      write_session (session);
    }
}

/** Returns an id from @a body, or NULL if it is missing or empty. */
static const char *
memory_id (JsonObject *body, const char *name)
{
  const char *id = http_json_text_member (body, name, "");

  return id[0] != '\0' ? id : NULL;
}

/** Submits the stream that @a body requests; the prompt is already hashed. */
static void
submit_stream (standin_t *standin,
               struct evhttp_request *request,
               JsonObject *body,
               const weights_t *weights,
               prompt_t *prompt)
{
  fault_t fault = misbehave_take (standin->misbehave);
  engine_submit_t submit = { 0 };
  engine_stream_t *stream = NULL;
  engine_result_t result;

  if (standin_fault_refuses (request, &fault))
    return;
  submit.request_id = http_json_text_member (body, "request_id", "");
  submit.owner = http_json_text_member (body, "owner", "");
  submit.prompt = prompt;
  submit.seed = token_seed (weights->model, weights->adapter, weights->version,
                            prompt->hash);
  submit.max_tokens = (uint32_t)http_json_number_member (body, "max_tokens", 0);
  submit.priority = (uint32_t)http_json_number_member (body, "priority", 0);
  submit.hold = http_json_bool_member (body, "hold", false);
  result = kv_submit (standin->kv, &submit, memory_id (body, "reservation"),
                      memory_id (body, "import"), clock_mono_us (), &stream);
  if (result != ENGINE_OK)
    {
      standin_refuse_result (request, result);
      return;
    }
  if (standin_count_run (standin->runs, submit.request_id) > 1)
    standin->double_runs++;
  open_session (standin, request, stream, 0, fault);
  standin_advance (standin);
}

/** Returns the mistake in the body of a stream request, or NULL. */
static const char *
find_stream_mistake (JsonObject *body)
{
  int64_t max_tokens = http_json_number_member (body, "max_tokens", -1);
  int64_t priority = http_json_number_member (body, "priority", 0);

  if (http_json_text_member (body, "request_id", "")[0] == '\0')
    return "'request_id' is missing";
  if (http_json_text_member (body, "prompt", NULL) == NULL)
    return "'prompt' is missing";
  if (max_tokens < 0 || max_tokens > UINT32_MAX)
    return "'max_tokens' is missing or out of range";
  if (priority < 0 || priority > UINT32_MAX)
    return "'priority' is out of range";
  return NULL;
}

void
standin_post_stream (standin_t *standin,
                     struct evhttp_request *request,
                     JsonObject *body)
{
  const char *mistake = find_stream_mistake (body);
  const weights_t *weights = standin_find_weights (
      standin, http_json_text_member (body, "model", NULL),
      http_json_text_member (body, "adapter", ""),
      http_json_text_member (body, "version", NULL));
  const char *text;
  prompt_t *prompt;

  if (standin->leaving)
    standin_refuse (request, STATUS_GONE, "leaving", RAN_NO);
  else if (mistake != NULL)
    standin_refuse_bad (request, mistake);
  else if (weights == NULL)
    standin_refuse (request, STATUS_CONFLICT, "not_loaded", RAN_NO);
  else
    {
      text = http_json_text_member (body, "prompt", "");
      prompt = prompt_new (standin, text, strlen (text));
      submit_stream (standin, request, body, weights, prompt);
      /* An admitted stream owns its prompt. */
      if (talloc_parent (prompt) == standin)
        talloc_free (prompt);
    }
}

void
standin_resume_stream (standin_t *standin,
                       struct evhttp_request *request,
                       const char *id)
{
  engine_stream_t *stream = engine_find (standin->engine, id);

  fault_t fault = misbehave_take (standin->misbehave);

  if (standin_fault_refuses (request, &fault))
    return;
  /* A cancelled stream has no further tokens to read. */
  if (stream == NULL || (stream->released && !stream->done))
    standin_refuse (request, HTTP_NOTFOUND, "not_found", RAN_UNKNOWN);
  else
    open_session (standin, request, stream,
                  (uint32_t)standin_query_number (request, "offset"), fault);
}

/* Ends the replies of all remaining readers without a `done` event. */
static void
end_sessions (engine_stream_t *stream)
{
  session_t *next;

  for (session_t *session = stream->observer; session != NULL; session = next)
    {
      next = session->next;
      if (session->ended || session->muted)
        continue;
      session->ended = true;
      http_send_end (session->request);
    }
}

void
standin_delete_stream (standin_t *standin,
                       struct evhttp_request *request,
                       const char *id)
{
  engine_stream_t *stream = engine_find (standin->engine, id);
  JsonObject *answer = json_object_new ();

  if (stream != NULL)
    {
      engine_release (standin->engine, stream);
      end_sessions (stream);
    }
  json_object_set_boolean_member (answer, "cancelled", TRUE);
  json_object_set_boolean_member (answer, "known", stream != NULL);
  standin_reply (request, answer);
}
