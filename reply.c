#include "reply.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <inttypes.h>
#include <string.h>
#include <talloc.h>

#include "http.h"

#define LOG_PART "callers"
#include "logging.h"

/* Events are added to a batch until it reaches this size. */
#define BATCH_BYTES (64 * 1024)
/* Reading from the upstream pauses above the high watermark of response bytes
 * not written yet, and continues below the low one. */
#define BACKLOG_HIGH_BYTES (256 * 1024)
#define BACKLOG_LOW_BYTES  (64 * 1024)
/* How much a caller may send of its next requests during a response. */
#define MAX_PIPELINED_BYTES   (64 * 1024)
#define CALLER_IDLE_TIMEOUT_S 60

struct reply
{
  reply_options_t options;
  struct evhttp_request *http;          /* NULL once the response is complete */
  struct evhttp_connection *connection; /* NULL once closed */
  struct bufferevent *bev;              /* bufferevent of connection */
  request_t *request;                   /* NULL once detached */
  char *id;                             /* of the request */
  uint64_t next_offset;                 /* offset of the token to write next */
  bool headers_sent;
  bool is_writing;        /* a batch is in the connection's buffer */
  bool final_event_added; /* the event that ends the stream is in a batch */
  bool is_upstream_paused;
  bool is_closed; /* the response is written, or its caller has gone */
};

static void write_available (reply_t *reply);

/** Logs that the caller does not get the whole response on this connection. */
static void
log_undelivered (const reply_t *reply, const char *end)
{
  bool is_over = reply->request == NULL || request_is_over (reply->request);

  log_info ("Connection ended before its answer was delivered. request=%s "
            "end=%s over=%d",
            reply->id != NULL ? reply->id : "-", end, is_over);
}

static int
free_reply (reply_t *reply)
{
  if (!reply->is_closed)
    log_undelivered (reply, "server_ended");
  if (reply->connection != NULL)
    evhttp_connection_set_closecb (reply->connection, NULL, NULL);
  return 0;
}

/**
 * Detaches the request from the reply. An unfinished request continues without
 * it or is cancelled, see dispatch_detach().
 * @param may_return whether the caller may reconnect for the rest
 */
static void
detach_request (reply_t *reply, bool may_return)
{
  if (reply->request != NULL)
    dispatch_detach (reply->options.dispatch, reply->request, may_return);
  reply->request = NULL;
}

static void
close_reply (reply_t *reply)
{
  reply_options_t options = reply->options;

  reply->is_closed = true;
  talloc_free (reply);
  if (options.closed != NULL)
    options.closed (options.context);
}

static void
on_caller_disconnected (struct evhttp_connection *connection, void *arg)
{
  reply_t *reply = arg;
  struct evhttp_request *http = reply->http;

  log_undelivered (reply, "caller_closed");
  reply->connection = NULL;
  reply->http = NULL;
  detach_request (reply, reply->headers_sent);
  if (http != NULL)
    http_abandon (http);
  close_reply (reply);
}

/* The response is written: the connection may stay idle until the caller sends
 * its next request. */
static void
on_reply_complete (struct evhttp_request *http, void *arg)
{
  reply_t *reply = arg;
  struct timeval idle = { .tv_sec = CALLER_IDLE_TIMEOUT_S };

  bufferevent_set_timeouts (reply->bev, &idle, &idle);
  bufferevent_setwatermark (reply->bev, EV_READ, 0, 0);
  close_reply (reply);
}

/*
 * Keeps reading from the connection, so that a disconnect is noticed even
 * before the response starts: evhttp stops reading while a request is handled.
 * Its read callback is removed because it must not see a pipelined request.
 * Timeouts are off because a caller may send nothing while it waits.
 */
static void
watch_caller_connection (reply_t *reply)
{
  bufferevent_data_cb write_cb;
  bufferevent_event_cb event_cb;
  void *context;

  bufferevent_getcb (reply->bev, NULL, &write_cb, &event_cb, &context);
  bufferevent_setcb (reply->bev, NULL, write_cb, event_cb, context);
  bufferevent_set_timeouts (reply->bev, NULL, NULL);
  bufferevent_setwatermark (reply->bev, EV_READ, 0, MAX_PIPELINED_BYTES);
  bufferevent_enable (reply->bev, EV_READ);
  evhttp_connection_set_closecb (reply->connection, on_caller_disconnected,
                                 reply);
  evhttp_request_set_on_complete_cb (reply->http, on_reply_complete, reply);
}

reply_t *
reply_new (void *parent, const reply_options_t *options)
{
  reply_t *reply = talloc_zero (parent, reply_t);

  reply->options = *options;
  reply->http = options->http;
  reply->connection = evhttp_request_get_connection (options->http);
  reply->bev = evhttp_connection_get_bufferevent (reply->connection);
  reply->next_offset = options->offset;
  talloc_set_destructor (reply, free_reply);
  watch_caller_connection (reply);
  return reply;
}

static void
add_header (reply_t *reply, const char *name, const char *value)
{
  evhttp_add_header (evhttp_request_get_output_headers (reply->http), name,
                     value);
}

/**
 * Returns @a text as a JSON string literal, to be freed with g_free(). The
 * token text is the only part of an event that needs escaping.
 */
static char *
quote_json (const char *text, size_t length)
{
  JsonNode *node = json_node_new (JSON_NODE_VALUE);
  char *copy = g_strndup (text, length);
  char *quoted;

  json_node_set_string (node, copy);
  quoted = http_json_text (node);
  json_node_unref (node);
  g_free (copy);
  return quoted;
}

static void
add_token_event (struct evbuffer *out,
                 const request_t *request,
                 uint64_t offset)
{
  size_t length;
  const char *text = request_token (request, offset, &length);
  char *quoted = quote_json (text, length);

  evbuffer_add_printf (out,
                       "data: {\"id\":\"%s\",\"object\":\"text_completion\","
                       "\"choices\":[{\"index\":0,\"text\":%s}],"
                       "\"offset\":%" PRIu64 "}\n\n",
                       request->id, quoted, offset);
  g_free (quoted);
}

static const char *
finish_reason (const request_t *request)
{
  return request_token_count (request) >= request->max_tokens ? "length"
                                                              : "stop";
}

static void
add_usage (struct evbuffer *out, const request_t *request)
{
  const upstream_usage_t *usage = &request->usage;

  evbuffer_add_printf (
      out,
      "\"usage\":{\"prompt_tokens\":%" PRIu64 ",\"completion_tokens\":%" PRIu64
      ",\"total_tokens\":%" PRIu64 ",\"cached_tokens\":%" PRIu64 "}",
      usage->prompt_tokens, usage->completion_tokens,
      usage->prompt_tokens + usage->completion_tokens, usage->cached_tokens);
}

static void
add_error_event (reply_t *reply, struct evbuffer *out)
{
  const request_t *request = reply->request;
  JsonNode *node = http_error_node (
      request->error, dispatch_run_state (reply->options.dispatch, request),
      NULL, request->id);
  char *text = http_json_text (node);

  evbuffer_add_printf (out, "data: %s\n\n", text);
  g_free (text);
  json_node_unref (node);
}

static void
add_final_event (reply_t *reply, struct evbuffer *out)
{
  const request_t *request = reply->request;

  reply->final_event_added = true;
  if (request->state == REQUEST_FAILED)
    {
      add_error_event (reply, out);
      return;
    }
  evbuffer_add_printf (out,
                       "data: {\"id\":\"%s\",\"object\":\"text_completion\","
                       "\"choices\":[{\"index\":0,\"text\":\"\","
                       "\"finish_reason\":\"%s\"}],\"offset\":%" PRIu64 ",",
                       request->id, finish_reason (request),
                       request_token_count (request));
  add_usage (out, request);
  evbuffer_add_printf (out, "}\n\ndata: [DONE]\n\n");
}

static void
on_batch_written (struct evhttp_connection *connection, void *arg)
{
  reply_t *reply = arg;

  reply->is_writing = false;
  if (reply->request != NULL)
    write_available (reply);
}

/** Adds the header that says how long the idempotency key, if any, is kept. */
static void
add_key_lifetime_header (reply_t *reply)
{
  char kept_ms[16];

  if (reply->request->key_keep_ms == 0)
    return;
  snprintf (kept_ms, sizeof kept_ms, "%" PRIu32, reply->request->key_keep_ms);
  add_header (reply, "X-Idempotency-Key-Kept-Ms", kept_ms);
}

static void
send_headers (reply_t *reply)
{
  if (reply->headers_sent)
    return;
  reply->headers_sent = true;
  add_key_lifetime_header (reply);
  add_header (reply, "Content-Type", "text/event-stream");
  add_header (reply, "Cache-Control", "no-cache");
  add_header (reply, "X-Request-Id", reply->request->id);
  evhttp_send_reply_start (reply->http, HTTP_OK, NULL);
}

static void
fill_batch (reply_t *reply, struct evbuffer *out)
{
  const request_t *request = reply->request;

  while (reply->next_offset < request_token_count (request)
         && evbuffer_get_length (out) < BATCH_BYTES)
    add_token_event (out, request, reply->next_offset++);
  if (reply->next_offset >= request_token_count (request)
      && request_is_over (request))
    add_final_event (reply, out);
}

static void
send_batch (reply_t *reply, struct evbuffer *out)
{
  reply->is_writing = true;
  send_headers (reply);
  evhttp_send_reply_chunk_with_cb (reply->http, out, on_batch_written, reply);
}

static void
end_reply (reply_t *reply)
{
  struct evhttp_request *http = reply->http;

  detach_request (reply, false);
  reply->http = NULL;
  http_send_end (http);
}

/** Returns the size of the tokens that are not in a batch yet. */
static uint64_t
backlog_bytes (const reply_t *reply)
{
  const request_t *request = reply->request;
  size_t length;

  if (reply->next_offset >= request_token_count (request))
    return 0;
  return request->text->len
         - (uint64_t)(request_token (request, reply->next_offset, &length)
                      - request->text->str);
}

/** Pauses or resumes the upstream when the backlog crosses a watermark. */
static void
update_backpressure (reply_t *reply)
{
  uint64_t backlog = backlog_bytes (reply);

  if (!reply->is_upstream_paused && backlog > BACKLOG_HIGH_BYTES)
    reply->is_upstream_paused = true;
  else if (reply->is_upstream_paused && backlog < BACKLOG_LOW_BYTES)
    reply->is_upstream_paused = false;
  else
    return;
  dispatch_pause (reply->options.dispatch, reply->request,
                  reply->is_upstream_paused);
}

/** Writes the available part of the response, one batch at a time. */
static void
write_available (reply_t *reply)
{
  struct evbuffer *out;

  if (!reply->is_writing && reply->final_event_added)
    {
      end_reply (reply);
      return;
    }
  if (!reply->is_writing)
    {
      out = evbuffer_new ();
      fill_batch (reply, out);
      if (evbuffer_get_length (out) > 0)
        send_batch (reply, out);
      evbuffer_free (out);
    }
  update_backpressure (reply);
}

static void
send_error (reply_t *reply)
{
  const request_t *request = reply->request;
  struct evhttp_request *http = reply->http;
  ran_t ran = dispatch_run_state (reply->options.dispatch, request);

  add_key_lifetime_header (reply);
  add_header (reply, "X-Request-Id", request->id);
  reply->http = NULL;
  reply->headers_sent = true;
  detach_request (reply, false);
  http_reply_error (http, request->error, ran, NULL, request->id,
                    request->retry_after_ms);
}

static void
send_response (reply_t *reply,
               int status,
               const char *type,
               struct evbuffer *body)
{
  struct evhttp_request *http = reply->http;

  add_key_lifetime_header (reply);
  add_header (reply, "Content-Type", type);
  add_header (reply, "X-Request-Id", reply->request->id);
  reply->http = NULL;
  reply->headers_sent = true;
  detach_request (reply, false);
  http_send (http, status, NULL, body);
}

static void
send_completion (reply_t *reply)
{
  const request_t *request = reply->request;
  struct evbuffer *out = evbuffer_new ();
  const char *text = request->text->str + request->text->len;
  char *quoted;
  size_t length;

  if (reply->next_offset < request_token_count (request))
    text = request_token (request, reply->next_offset, &length);
  quoted = quote_json (text, strlen (text));
  evbuffer_add_printf (out,
                       "{\"id\":\"%s\",\"object\":\"text_completion\","
                       "\"choices\":[{\"index\":0,\"text\":%s,"
                       "\"finish_reason\":\"%s\"}],",
                       request->id, quoted, finish_reason (request));
  add_usage (out, request);
  evbuffer_add_printf (out, "}\n");
  send_response (reply, HTTP_OK, "application/json", out);
  g_free (quoted);
  evbuffer_free (out);
}

static void
send_call_response (reply_t *reply)
{
  const request_t *request = reply->request;
  struct evbuffer *out = evbuffer_new ();

  /* The request keeps the response, in case the caller fetches it again. */
  evbuffer_add_buffer_reference (out, request->answer);
  send_response (reply, request->answer_status, request->answer_type, out);
  evbuffer_free (out);
}

static void
on_progress (void *context)
{
  reply_t *reply = context;

  if (reply->options.is_stream)
    write_available (reply);
}

static void
on_ended (void *context)
{
  reply_t *reply = context;
  const request_t *request = reply->request;
  bool failed;

  if (request == NULL)
    return;
  failed = request->state == REQUEST_FAILED;
  if (failed && !reply->headers_sent
      && (!reply->options.is_stream || request_token_count (request) == 0))
    send_error (reply);
  else if (request->kind == REQUEST_CALL)
    send_call_response (reply);
  else if (reply->options.is_stream)
    write_available (reply);
  else
    send_completion (reply);
}

/* The response continues on another connection, which has attached to the
 * request. */
static void
on_replaced (void *context)
{
  reply_t *reply = context;
  struct evhttp_request *http = reply->http;

  reply->request = NULL;
  reply->http = NULL;
  if (reply->headers_sent)
    http_send_end (http);
  else
    http_reply_error (http, ERROR_CANCELLED, RAN_UNKNOWN,
                      "another caller took over the answer", NULL, 0);
}

request_listener_t
reply_listener (reply_t *reply)
{
  return (request_listener_t){ .progress = on_progress,
                               .ended = on_ended,
                               .replaced = on_replaced,
                               .context = reply };
}

void
reply_start (reply_t *reply, request_t *request)
{
  reply->request = request;
  reply->id = talloc_strdup (reply, request->id);
  if (request_is_over (request))
    on_ended (reply);
  else
    on_progress (reply);
}
