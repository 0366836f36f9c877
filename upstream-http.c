#include "upstream-http.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>
#include <xxhash.h>

#include "base.h"
#include "http.h"
#include "json-text.h"
#include "response-check.h"
#include "settings.h"
#include "upstream-http-internal.h"

#define STATUS_CONTINUE    100
#define CONNECT_TIMEOUT_MS 2000
/* How long a connection may stay open after the deadline of its request. */
#define DEADLINE_GRACE_MS 5000
#define RESUME_TIMEOUT_MS 3600000
/* Lines parsed in one iteration of the event loop, two for each event. One
 * chunk may hold a hundred thousand events, which would block the loop. */
#define MAX_LINES_PER_ITERATION 512
/* Size of a block of prompt text, the unit in which an engine caches. */
#define CACHE_BLOCK_BYTES 1024
/* Responses of plain services may be as large as requests. */
#define MAX_RESPONSE_BYTES (16 * 1024 * 1024)

struct upstream_call
{
  upstream_http_t *http;
  upstream_http_kind_t kind;
  struct evhttp_connection *connection;
  response_check_t *check;
  struct event *deferred_end;  /* reports the end or frees the call, outside
                                  of evhttp callbacks */
  struct event *connect_timer; /* ends a call that has written nothing yet */
  struct event *next_batch;    /* parses the next batch of received lines */
  struct evbuffer *input;      /* received data that is not parsed yet */
  upstream_sink_t sink;
  char *request_id;
  char *content_type;
  uint64_t next_offset; /* expected in the next token event */
  int status;           /* HTTP status; 0 before the headers have arrived */
  bool is_invalid;      /* the response is not valid and is ignored */
  bool has_written;     /* a byte of the request left this process */
  bool paused;          /* received lines are not parsed for now */
  bool input_ended;     /* the response ended; lines may be unparsed still */
  upstream_result_t input_result; /* used unless a line ends the call */
  bool ended;                     /* end.result is final; input is ignored */
  bool closed;                    /* closed by the owner; will be freed */
  upstream_end_t end;
};

upstream_http_t *
upstream_http_new (void *parent, struct event_base *base)
{
  upstream_http_t *http = talloc_zero (parent, upstream_http_t);

  http->base = base;
  return http;
}

static int
free_call (upstream_call_t *call)
{
  event_free (call->deferred_end);
  event_free (call->connect_timer);
  event_free (call->next_batch);
  evhttp_connection_free (call->connection);
  evbuffer_free (call->input);
  return 0;
}

/** Records the result of the call. The loop reports it to the sink later. */
static void
end_call (upstream_call_t *call, upstream_result_t result)
{
  if (call->ended)
    return;
  call->ended = true;
  call->end.result = result;
  event_active (call->deferred_end, EV_TIMEOUT, 0);
}

static void
on_deferred_end (evutil_socket_t fd, short what, void *arg)
{
  upstream_call_t *call = arg;

  if (call->closed)
    talloc_free (call);
  else
    call->sink.end (call->sink.context, &call->end);
}

static void
on_connect_timeout (evutil_socket_t fd, short what, void *arg)
{
  upstream_call_t *call = arg;

  if (!call->has_written)
    end_call (call, UPSTREAM_NOT_CONNECTED);
}

/* evhttp fills the output buffer only after connecting, so bytes removed from
 * the buffer were sent to the peer. */
static void
on_output (struct evbuffer *buffer,
           const struct evbuffer_cb_info *info,
           void *arg)
{
  upstream_call_t *call = arg;

  if (info->n_deleted > 0)
    call->has_written = true;
}

static void
read_usage (upstream_call_t *call, JsonObject *event)
{
  JsonNode *node = json_object_get_member (event, "usage");
  JsonObject *usage;

  if (node == NULL || !JSON_NODE_HOLDS_OBJECT (node))
    return;
  usage = json_node_get_object (node);
  call->end.usage.prompt_tokens
      = (uint64_t)http_json_number_member (usage, "prompt_tokens", 0);
  call->end.usage.completion_tokens
      = (uint64_t)http_json_number_member (usage, "completion_tokens", 0);
  call->end.usage.cached_tokens
      = (uint64_t)http_json_number_member (usage, "cached_tokens", 0);
}

static void
handle_event (upstream_call_t *call, JsonObject *event)
{
  const char *id = http_json_text_member (event, "request_id", "");
  int64_t offset = http_json_number_member (event, "offset", -1);
  const char *token = http_json_text_member (event, "token", NULL);

  if (strcmp (id, call->request_id) != 0 || offset < 0
      || (uint64_t)offset != call->next_offset)
    {
      end_call (call, UPSTREAM_MISMATCHED);
    }
  else if (http_json_bool_member (event, "done", false))
    {
      read_usage (call, event);
      end_call (call, UPSTREAM_DONE);
    }
  else if (token != NULL)
    {
      call->next_offset++;
      call->sink.token (call->sink.context, (uint64_t)offset, token);
    }
}

static void
parse_line (upstream_call_t *call, const char *line, size_t length)
{
  static const char prefix[] = "data: ";
  const size_t prefix_length = sizeof prefix - 1;
  JsonObject *event;

  if (length <= prefix_length || strncmp (line, prefix, prefix_length) != 0)
    return;
  event = json_text_read_object (line + prefix_length, length - prefix_length,
                                 NULL);
  if (event == NULL)
    {
      end_call (call, UPSTREAM_BROKEN);
      return;
    }
  handle_event (call, event);
  json_object_unref (event);
}

static bool
is_stream (const upstream_call_t *call)
{
  return call->kind != CALL_PLAIN && call->status == HTTP_OK;
}

static bool
may_parse (const upstream_call_t *call)
{
  return !call->ended && !call->closed && !call->paused;
}

static bool
parse_next_line (upstream_call_t *call)
{
  size_t length;
  char *line = evbuffer_readln (call->input, &length, EVBUFFER_EOL_CRLF);

  if (line == NULL)
    return false;
  parse_line (call, line, length);
  free (line);
  return true;
}

/**
 * Parses the next lines of a stream. Continues in the next iteration of the
 * loop if more lines may be buffered.
 */
static void
parse_lines (upstream_call_t *call)
{
  struct timeval next_iteration = { 0 };
  uint32_t line_count = 0;

  while (may_parse (call) && line_count < MAX_LINES_PER_ITERATION
         && parse_next_line (call))
    line_count++;
  if (!may_parse (call))
    return;
  if (line_count == MAX_LINES_PER_ITERATION)
    event_add (call->next_batch, &next_iteration);
  else if (call->input_ended)
    end_call (call, call->input_result);
}

/** Ends a call whose response ended: a stream once its lines are parsed. */
static void
end_after_parsing (upstream_call_t *call, upstream_result_t result)
{
  if (!is_stream (call))
    {
      end_call (call, result);
      return;
    }
  call->input_ended = true;
  call->input_result = result;
  parse_lines (call);
}

static void
on_next_batch (evutil_socket_t fd, short what, void *arg)
{
  parse_lines (arg);
}

static int
on_headers (struct evhttp_request *request, void *arg)
{
  upstream_call_t *call = arg;
  const char *type = http_header (request, "Content-Type");

  if (evhttp_request_get_response_code (request) == STATUS_CONTINUE)
    return 0;
  if (!response_check_is_valid (call->check, request))
    {
      call->is_invalid = true;
      end_call (call, UPSTREAM_BROKEN);
      return 0;
    }
  call->status = evhttp_request_get_response_code (request);
  if (type != NULL)
    call->content_type = talloc_strdup (call, type);
  if (is_stream (call) && !call->closed && call->sink.accepted != NULL)
    call->sink.accepted (call->sink.context);
  return 0;
}

/* evhttp drains its buffer after this callback, even of an incomplete line, so
 * the call has its own buffer. */
static void
on_chunk (struct evhttp_request *request, void *arg)
{
  upstream_call_t *call = arg;

  evbuffer_add_buffer (call->input, evhttp_request_get_input_buffer (request));
  if (call->ended || call->closed)
    evbuffer_drain (call->input, evbuffer_get_length (call->input));
  else if (is_stream (call))
    parse_lines (call);
  else if (evbuffer_get_length (call->input) > MAX_RESPONSE_BYTES)
    end_call (call, UPSTREAM_BROKEN);
}

static upstream_result_t
final_result (upstream_call_t *call)
{
  upstream_result_t result = UPSTREAM_DONE;

  if (call->kind != CALL_PLAIN || call->status >= 400)
    result = upstream_http_read_refusal (call->kind, call->status, call->input);
  call->end.is_leaving = result == UPSTREAM_LEAVING;
  if (call->kind != CALL_PLAIN)
    return result;
  call->end.has_not_run = upstream_result_not_run (result);
  if (call->status < 500)
    result = UPSTREAM_DONE;
  call->end.status = call->status;
  call->end.content_type = call->content_type;
  call->end.body = call->input;
  return result;
}

/* Runs before on_response(), and only for a connection that failed. */
static void
on_connection_error (enum evhttp_request_error error, void *arg)
{
  upstream_call_t *call = arg;

  call->end.is_broken_off
      = call->has_written && !call->is_invalid
        && (error == EVREQ_HTTP_EOF || error == EVREQ_HTTP_BUFFER_ERROR);
}

/** Returns whether the end of the connection was the end of the response, as
 * when it has no length and is not chunked. */
static bool
ended_with_connection (struct evhttp_request *response)
{
  return http_header (response, "Transfer-Encoding") == NULL
         && http_header (response, "Content-Length") == NULL;
}

/**
 * Ends the call.
 * @param request NULL when the connection failed at any point
 */
static void
on_response (struct evhttp_request *request, void *arg)
{
  upstream_call_t *call = arg;

  if (call->is_invalid)
    return;
  if (request != NULL && is_stream (call))
    call->end.is_broken_off = ended_with_connection (request);
  if (request == NULL || evhttp_request_get_response_code (request) == 0)
    end_after_parsing (call, call->has_written ? UPSTREAM_BROKEN
                                               : UPSTREAM_NOT_CONNECTED);
  else if (is_stream (call))
    end_after_parsing (call, UPSTREAM_TRUNCATED);
  else
    end_call (call, final_result (call));
}

static upstream_call_t *
new_call (upstream_http_t *http,
          const upstream_target_t *target,
          upstream_http_kind_t kind,
          const char *request_id,
          const upstream_sink_t *sink)
{
  upstream_call_t *call = talloc_zero (http, upstream_call_t);
  char ip[64] = "";
  uint16_t port = 0;

  settings_split_address (target->address, ip, &port);
  call->http = http;
  call->kind = kind;
  call->sink = *sink;
  call->request_id = talloc_strdup (call, request_id);
  call->input = evbuffer_new ();
  call->deferred_end = event_new (http->base, -1, 0, on_deferred_end, call);
  call->connect_timer = event_new (http->base, -1, 0, on_connect_timeout, call);
  call->next_batch = event_new (http->base, -1, 0, on_next_batch, call);
  call->connection = evhttp_connection_base_new (http->base, NULL, ip, port);
  call->check = response_check_new (call, call->connection);
  evbuffer_add_cb (bufferevent_get_output (
                       evhttp_connection_get_bufferevent (call->connection)),
                   on_output, call);
  talloc_set_destructor (call, free_call);
  return call;
}

static struct evhttp_request *
new_request (upstream_call_t *call, const upstream_target_t *target)
{
  struct evhttp_request *request = evhttp_request_new (on_response, call);
  struct evkeyvalq *headers = evhttp_request_get_output_headers (request);

  evhttp_request_set_header_cb (request, on_headers);
  evhttp_request_set_chunked_cb (request, on_chunk);
  evhttp_request_set_error_cb (request, on_connection_error);
  evhttp_add_header (headers, "Host", target->address);
  evhttp_add_header (headers, "Connection", "close");
  return request;
}

static void
start_call (upstream_call_t *call,
            struct evhttp_request *request,
            enum evhttp_cmd_type method,
            const char *path,
            uint64_t timeout_ms)
{
  struct timeval connect = { .tv_sec = CONNECT_TIMEOUT_MS / 1000 };
  struct timeval total = timeval_from_ms (timeout_ms);

  evhttp_connection_set_timeout_tv (call->connection, &total);
  event_add (call->connect_timer, &connect);
  if (evhttp_make_request (call->connection, request, method, path) != 0)
    end_call (call, UPSTREAM_NOT_CONNECTED);
}

static JsonNode *
submit_node (const upstream_submit_t *submit)
{
  JsonBuilder *builder = json_builder_new ();

  json_builder_begin_object (builder);
  upstream_http_add_text (builder, "request_id", submit->request_id);
  upstream_http_add_text (builder, "owner", submit->owner);
  upstream_http_add_text (builder, "model", submit->model);
  upstream_http_add_text (builder, "adapter", submit->adapter);
  upstream_http_add_text (builder, "version", submit->version);
  http_json_add_number (builder, "max_tokens", submit->max_tokens);
  http_json_add_number (builder, "priority", submit->priority);
  http_json_add_number (builder, "deadline_ms", submit->deadline_ms);
  upstream_http_add_text (builder, "reservation", submit->reservation);
  upstream_http_add_text (builder, "import", submit->import);
  upstream_http_add_text (builder, "prompt", submit->prompt);
  return upstream_http_finish (builder);
}

static void
free_text (const void *data, size_t length, void *context)
{
  g_free (context);
}

static upstream_call_t *
http_submit (void *context,
             const upstream_target_t *target,
             const upstream_submit_t *submit,
             const upstream_sink_t *sink)
{
  upstream_call_t *call
      = new_call (context, target, CALL_STREAM, submit->request_id, sink);
  struct evhttp_request *request = new_request (call, target);
  JsonNode *node = submit_node (submit);
  char *text = http_json_text (node);

  json_node_unref (node);
  evhttp_add_header (evhttp_request_get_output_headers (request),
                     "Content-Type", "application/json");
  evbuffer_add_reference (evhttp_request_get_output_buffer (request), text,
                          strlen (text), free_text, text);
  start_call (call, request, EVHTTP_REQ_POST, "/v1/streams",
              submit->deadline_ms + DEADLINE_GRACE_MS);
  return call;
}

static upstream_call_t *
http_resume (void *context,
             const upstream_target_t *target,
             const char *request_id,
             uint64_t offset,
             const upstream_sink_t *sink)
{
  upstream_call_t *call
      = new_call (context, target, CALL_RESUME, request_id, sink);
  struct evhttp_request *request = new_request (call, target);
  char *path = g_strdup_printf ("/v1/streams/%s?offset=%" G_GUINT64_FORMAT,
                                request_id, offset);

  call->next_offset = offset;
  start_call (call, request, EVHTTP_REQ_GET, path, RESUME_TIMEOUT_MS);
  g_free (path);
  return call;
}

static upstream_call_t *
http_plain (void *context,
            const upstream_target_t *target,
            const upstream_plain_t *plain,
            const upstream_sink_t *sink)
{
  upstream_call_t *call
      = new_call (context, target, CALL_PLAIN, plain->request_id, sink);
  struct evhttp_request *request = new_request (call, target);
  struct evkeyvalq *headers = evhttp_request_get_output_headers (request);
  char *path = g_strdup_printf ("/call/%s", plain->path);

  evhttp_add_header (headers, "X-Request-Id", plain->request_id);
  if (plain->idempotency_key != NULL)
    evhttp_add_header (headers, "Idempotency-Key", plain->idempotency_key);
  if (plain->content_type != NULL)
    evhttp_add_header (headers, "Content-Type", plain->content_type);
  evbuffer_add_reference (evhttp_request_get_output_buffer (request),
                          plain->body, plain->body_bytes, NULL, NULL);
  start_call (call, request, EVHTTP_REQ_POST, path,
              plain->deadline_ms + DEADLINE_GRACE_MS);
  g_free (path);
  return call;
}

static bool
http_wrote (const upstream_call_t *call)
{
  return call->has_written;
}

static void
http_pause (upstream_call_t *call, bool paused)
{
  struct bufferevent *bev
      = evhttp_connection_get_bufferevent (call->connection);

  struct timeval next_iteration = { 0 };

  if (call->ended || call->status == 0)
    return;
  call->paused = paused;
  if (!paused)
    event_add (call->next_batch, &next_iteration);
  if (paused)
    bufferevent_disable (bev, EV_READ);
  else if (!call->input_ended)
    bufferevent_enable (bev, EV_READ);
}

static void
http_close (upstream_call_t *call)
{
  call->closed = true;
  event_active (call->deferred_end, EV_TIMEOUT, 0);
}

static uint64_t
http_prefix_hash (const char *prompt, size_t size_bytes)
{
  return size_bytes >= CACHE_BLOCK_BYTES ? XXH64 (prompt, CACHE_BLOCK_BYTES, 0)
                                         : 0;
}

const upstream_ops_t upstream_http_ops = {
  .prefix_hash = http_prefix_hash,
  .submit = http_submit,
  .resume = http_resume,
  .plain = http_plain,
  .wrote = http_wrote,
  .pause = http_pause,
  .close = http_close,
  .cancel = upstream_http_cancel,
  .reserve = upstream_http_reserve,
  .release = upstream_http_release,
  .export_kv = upstream_http_export_kv,
  .import_kv = upstream_http_import_kv,
  .drop_kv = upstream_http_drop_kv,
  .order = upstream_http_order,
  .load = upstream_http_load,
  .events = upstream_http_events,
};
