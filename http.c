#include "http.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <stdio.h>
#include <string.h>
#include <talloc.h>

#include "base.h"
#include "json-text.h"
#include "response-check.h"
#include "settings.h"
#include "tls.h"

/** Values in the body of a request, which take some 12 MB. */
#define MAX_BODY_VALUES 32768

/** A call in progress; a child of its owner. */
typedef struct
{
  struct event_base *base;
  struct evhttp_connection *connection;
  response_check_t *check;
  http_done_cb_t done;
  void *context;
  /* Event that frees the connection, which must not be freed in its own
   * callback. */
  struct event *finish;
  int status;
  JsonObject *body;
} call_t;

static JsonObject *
parse_object (struct evbuffer *buffer, size_t max_values, char **why)
{
  return json_text_read_object_within (
      (const char *)evbuffer_pullup (buffer, -1), evbuffer_get_length (buffer),
      max_values, why);
}

JsonObject *
http_body_object (struct evhttp_request *request, char **why)
{
  return parse_object (evhttp_request_get_input_buffer (request),
                       MAX_BODY_VALUES, why);
}

const char *
http_header (struct evhttp_request *request, const char *name)
{
  return evhttp_find_header (evhttp_request_get_input_headers (request), name);
}

char *
http_json_text (JsonNode *node)
{
  return json_to_string (node, FALSE);
}

/** Returns the stream of the request's connection, with a reference; NULL when
 * the connection has gone. */
static struct bufferevent *
hold_stream (struct evhttp_request *request)
{
  struct evhttp_connection *connection
      = evhttp_request_get_connection (request);
  struct bufferevent *stream
      = connection != NULL ? evhttp_connection_get_bufferevent (connection)
                           : NULL;

  if (stream != NULL)
    bufferevent_incref (stream);
  return stream;
}

/** Stops reading while an answer is written. evhttp, which enables reading when
 * it takes an answer, does so again for the next request. */
static void
stop_reading (struct bufferevent *stream)
{
  if (stream == NULL)
    return;
  if (evbuffer_get_length (bufferevent_get_output (stream)) > 0)
    bufferevent_disable (stream, EV_READ);
  bufferevent_decref (stream);
}

void
http_send (struct evhttp_request *request,
           int status,
           const char *reason,
           struct evbuffer *body)
{
  struct bufferevent *stream = hold_stream (request);

  evhttp_send_reply (request, status, reason, body);
  stop_reading (stream);
}

void
http_send_end (struct evhttp_request *request)
{
  struct bufferevent *stream = hold_stream (request);

  evhttp_send_reply_end (request);
  stop_reading (stream);
}

void
http_reply_json (struct evhttp_request *request, int status, JsonNode *node)
{
  struct evbuffer *out = evbuffer_new ();
  char *text = http_json_text (node);

  evbuffer_add_printf (out, "%s\n", text);
  evhttp_add_header (evhttp_request_get_output_headers (request),
                     "Content-Type", "application/json");
  http_send (request, status, NULL, out);
  evbuffer_free (out);
  g_free (text);
  json_node_unref (node);
}

void
http_abandon (struct evhttp_request *request)
{
  if (evhttp_request_get_connection (request) == NULL)
    evhttp_request_free (request);
}

JsonNode *
http_error_node (error_kind_t kind,
                 ran_t ran,
                 const char *detail,
                 const char *request_id)
{
  const error_answer_t *answer = error_answer (kind);
  JsonBuilder *builder = json_builder_new ();
  JsonNode *node;

  json_builder_begin_object (builder);
  json_builder_set_member_name (builder, "error");
  json_builder_begin_object (builder);
  json_builder_set_member_name (builder, "kind");
  json_builder_add_string_value (builder, answer->name);
  json_builder_set_member_name (builder, "message");
  json_builder_add_string_value (builder,
                                 detail != NULL ? detail : answer->message);
  json_builder_set_member_name (builder, "not_run");
  if (ran == RAN_UNKNOWN)
    json_builder_add_string_value (builder, "unknown");
  else
    json_builder_add_boolean_value (builder, ran == RAN_NO);
  json_builder_set_member_name (builder, "may_retry");
  json_builder_add_boolean_value (builder, answer->may_retry);
  if (request_id != NULL)
    {
      json_builder_set_member_name (builder, "request_id");
      json_builder_add_string_value (builder, request_id);
    }
  json_builder_end_object (builder);
  json_builder_end_object (builder);
  node = json_builder_get_root (builder);
  g_object_unref (builder);
  return node;
}

void
http_reply_error (struct evhttp_request *request,
                  error_kind_t kind,
                  ran_t ran,
                  const char *detail,
                  const char *request_id,
                  uint32_t retry_after_ms)
{
  char seconds[16];

  if (retry_after_ms > 0)
    {
      snprintf (seconds, sizeof seconds, "%u", (retry_after_ms + 999) / 1000);
      evhttp_add_header (evhttp_request_get_output_headers (request),
                         "Retry-After", seconds);
    }
  http_reply_json (request, error_answer (kind)->http_status,
                   http_error_node (kind, ran, detail, request_id));
}

void
http_json_add_text (JsonBuilder *builder, const char *name, const char *text)
{
  if (text == NULL)
    return;
  json_builder_set_member_name (builder, name);
  json_builder_add_string_value (builder, text);
}

void
http_json_add_number (JsonBuilder *builder, const char *name, uint64_t number)
{
  json_builder_set_member_name (builder, name);
  json_builder_add_int_value (builder, (gint64)number);
}

void
http_json_add_flag (JsonBuilder *builder, const char *name, bool flag)
{
  json_builder_set_member_name (builder, name);
  json_builder_add_boolean_value (builder, flag);
}

const char *
http_json_text_member (JsonObject *object,
                       const char *name,
                       const char *fallback)
{
  JsonNode *node = json_object_get_member (object, name);

  if (node == NULL || json_node_get_value_type (node) != G_TYPE_STRING)
    return fallback;
  return json_node_get_string (node);
}

int64_t
http_json_number_member (JsonObject *object, const char *name, int64_t fallback)
{
  JsonNode *node = json_object_get_member (object, name);

  if (node == NULL || json_node_get_value_type (node) != G_TYPE_INT64)
    return fallback;
  return json_node_get_int (node);
}

bool
http_json_bool_member (JsonObject *object, const char *name, bool fallback)
{
  JsonNode *node = json_object_get_member (object, name);

  if (node == NULL || json_node_get_value_type (node) != G_TYPE_BOOLEAN)
    return fallback;
  return json_node_get_boolean (node);
}

static int
free_call (call_t *call)
{
  evhttp_connection_free (call->connection);
  event_free (call->finish);
  g_clear_pointer (&call->body, json_object_unref);
  return 0;
}

static void
finish_call (evutil_socket_t fd, short what, void *arg)
{
  call_t *call = arg;

  /* The callback may free the owner, which must not free the call as well. */
  talloc_steal (NULL, call);
  if (call->done != NULL)
    call->done (call->status, call->body, call->context);
  talloc_free (call);
}

static void
on_answer (struct evhttp_request *request, void *arg)
{
  call_t *call = arg;

  if (request != NULL && response_check_is_valid (call->check, request))
    {
      call->status = evhttp_request_get_response_code (request);
      call->body
          = parse_object (evhttp_request_get_input_buffer (request), 0, NULL);
    }
  event_active (call->finish, EV_TIMEOUT, 0);
}

static enum evhttp_cmd_type
method_from_name (const char *name)
{
  if (strcmp (name, "POST") == 0)
    return EVHTTP_REQ_POST;
  if (strcmp (name, "DELETE") == 0)
    return EVHTTP_REQ_DELETE;
  if (strcmp (name, "PUT") == 0)
    return EVHTTP_REQ_PUT;
  return EVHTTP_REQ_GET;
}

static void
add_body (struct evhttp_request *request, JsonNode *body)
{
  char *text = http_json_text (body);

  evhttp_add_header (evhttp_request_get_output_headers (request),
                     "Content-Type", "application/json");
  evbuffer_add (evhttp_request_get_output_buffer (request), text,
                strlen (text));
  g_free (text);
  json_node_unref (body);
}

static void
add_token (struct evhttp_request *request, const char *token)
{
  char *value = g_strdup_printf ("Bearer %s", token);

  evhttp_add_header (evhttp_request_get_output_headers (request),
                     "Authorization", value);
  g_free (value);
}

void
http_call (const http_call_options_t *options)
{
  call_t *call = talloc_zero (options->owner, call_t);
  struct timeval timeout = timeval_from_ms (options->timeout_ms);
  struct evhttp_request *request = evhttp_request_new (on_answer, call);
  char ip[64];
  uint16_t port = 0;

  call->base = options->base;
  call->done = options->done;
  call->context = options->context;
  call->finish = event_new (options->base, -1, 0, finish_call, call);
  if (!settings_split_address (options->address, ip, &port))
    ip[0] = '\0';
  call->connection = evhttp_connection_base_bufferevent_new (
      options->base, NULL,
      options->tls != NULL
          ? tls_client_bufferevent (options->tls, options->base, ip)
          : NULL,
      ip, port);
  call->check = response_check_new (call, call->connection);
  talloc_set_destructor (call, free_call);
  evhttp_connection_set_timeout_tv (call->connection, &timeout);
  evhttp_add_header (evhttp_request_get_output_headers (request), "Host",
                     options->address);
  evhttp_add_header (evhttp_request_get_output_headers (request), "Connection",
                     "close");
  if (options->token != NULL && options->token[0] != '\0')
    add_token (request, options->token);
  if (options->body != NULL)
    add_body (request, options->body);
  if (evhttp_make_request (call->connection, request,
                           method_from_name (options->method), options->path)
      != 0)
    event_active (call->finish, EV_TIMEOUT, 0);
}
