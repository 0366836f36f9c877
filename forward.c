#include "forward.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <talloc.h>

#include "http.h"
#include "response-check.h"
#include "settings.h"

#define FORWARDED_BY_HEADER "X-Forwarded-By-Instance"
/* Longest wait for data from the owner, the instance that keeps the response.
 * It is long because a stream may still wait for its first token. */
#define OWNER_IDLE_TIMEOUT_S  600
#define CALLER_IDLE_TIMEOUT_S 60
/* Reading from the owner pauses while more than this waits for the caller. */
#define MAX_BACKLOG_BYTES (256 * 1024)

typedef struct
{
  forward_options_t options;
  struct evhttp_request *http; /* the caller's request; NULL once finished */
  struct evhttp_connection *caller_connection; /* NULL once closed */
  struct evhttp_connection *owner_connection;
  response_check_t *check;
  struct event *finish_event; /* frees the state outside of evhttp callbacks */
  bool headers_sent;
  bool is_writing; /* a part of the response is in the caller's buffer */
  bool is_broken;  /* the owner broke off: the caller's connection ends */
} forward_t;

bool
forward_is_forwarded (struct evhttp_request *http)
{
  return http_header (http, FORWARDED_BY_HEADER) != NULL;
}

static int
free_forward (forward_t *forward)
{
  if (forward->caller_connection != NULL)
    evhttp_connection_set_closecb (forward->caller_connection, NULL, NULL);
  event_free (forward->finish_event);
  evhttp_connection_free (forward->owner_connection);
  return 0;
}

/** Closes the caller's connection without the end of the response, which shows
 * that it is not whole. */
static void
close_caller (forward_t *forward)
{
  struct evhttp_connection *connection = forward->caller_connection;

  forward->caller_connection = NULL;
  evhttp_connection_set_closecb (connection, NULL, NULL);
  evhttp_connection_free (connection);
}

static void
on_finish (evutil_socket_t fd, short what, void *arg)
{
  forward_t *forward = arg;
  forward_options_t options = forward->options;

  if (forward->is_broken && forward->caller_connection != NULL)
    close_caller (forward);
  talloc_free (forward);
  options.closed (options.context);
}

/* The response is written: the connection may stay idle until the caller sends
 * its next request. */
static void
on_reply_complete (struct evhttp_request *http, void *arg)
{
  forward_t *forward = arg;
  struct timeval caller_idle = { .tv_sec = CALLER_IDLE_TIMEOUT_S };

  bufferevent_set_timeouts (
      evhttp_connection_get_bufferevent (forward->caller_connection),
      &caller_idle, &caller_idle);
  event_active (forward->finish_event, EV_TIMEOUT, 0);
}

static void
on_caller_disconnected (struct evhttp_connection *connection, void *arg)
{
  forward_t *forward = arg;

  forward->caller_connection = NULL;
  if (forward->http != NULL)
    http_abandon (forward->http);
  forward->http = NULL;
  event_active (forward->finish_event, EV_TIMEOUT, 0);
}

static void
copy_header (forward_t *forward, struct evhttp_request *from, const char *name)
{
  const char *value = http_header (from, name);

  if (value != NULL)
    evhttp_add_header (evhttp_request_get_output_headers (forward->http), name,
                       value);
}

static int
on_headers (struct evhttp_request *response, void *arg)
{
  forward_t *forward = arg;

  if (forward->http == NULL
      || !response_check_is_valid (forward->check, response))
    return 0;
  copy_header (forward, response, "Content-Type");
  copy_header (forward, response, "X-Request-Id");
  forward->headers_sent = true;
  evhttp_send_reply_start (forward->http,
                           evhttp_request_get_response_code (response), NULL);
  return 0;
}

static void
on_chunk_written (struct evhttp_connection *connection, void *arg)
{
  forward_t *forward = arg;

  forward->is_writing = false;
  if (forward->is_broken)
    {
      event_active (forward->finish_event, EV_TIMEOUT, 0);
      return;
    }
  bufferevent_enable (
      evhttp_connection_get_bufferevent (forward->owner_connection), EV_READ);
}

static void
on_chunk (struct evhttp_request *response, void *arg)
{
  forward_t *forward = arg;
  struct evbuffer *backlog;

  if (forward->http == NULL || !forward->headers_sent)
    return;
  forward->is_writing = true;
  evhttp_send_reply_chunk_with_cb (forward->http,
                                   evhttp_request_get_input_buffer (response),
                                   on_chunk_written, forward);
  backlog = bufferevent_get_output (
      evhttp_connection_get_bufferevent (forward->caller_connection));
  if (evbuffer_get_length (backlog) > MAX_BACKLOG_BYTES)
    bufferevent_disable (
        evhttp_connection_get_bufferevent (forward->owner_connection), EV_READ);
}

/** Ends a response whose owner broke off, once what came of it is written. */
static void
break_off (forward_t *forward)
{
  forward->is_broken = true;
  if (!forward->is_writing)
    event_active (forward->finish_event, EV_TIMEOUT, 0);
}

/**
 * Ends the caller's response.
 * @param response NULL when the connection to the owner failed or broke
 */
static void
on_response (struct evhttp_request *response, void *arg)
{
  forward_t *forward = arg;
  struct evhttp_request *http = forward->http;

  if (http != NULL && response == NULL && forward->headers_sent)
    {
      break_off (forward);
      return;
    }
  forward->http = NULL;
  if (http != NULL && forward->headers_sent)
    http_send_end (http);
  else if (http != NULL)
    http_reply_error (http, ERROR_NO_UPSTREAM, RAN_UNKNOWN,
                      "the instance that has the answer cannot be reached",
                      NULL, 0);
}

static void
send_to_owner (forward_t *forward)
{
  struct evhttp_request *request = evhttp_request_new (on_response, forward);
  struct evkeyvalq *headers = evhttp_request_get_output_headers (request);

  evhttp_request_set_header_cb (request, on_headers);
  evhttp_request_set_chunked_cb (request, on_chunk);
  evhttp_add_header (headers, "Host", forward->options.address);
  evhttp_add_header (headers, "Connection", "close");
  evhttp_add_header (headers, FORWARDED_BY_HEADER, "1");
  if (evhttp_make_request (forward->owner_connection, request, EVHTTP_REQ_GET,
                           evhttp_request_get_uri (forward->http))
      != 0)
    on_response (NULL, forward);
}

void
forward_start (void *parent, const forward_options_t *options)
{
  forward_t *forward = talloc_zero (parent, forward_t);
  struct timeval owner_idle = { .tv_sec = OWNER_IDLE_TIMEOUT_S };
  char ip[64] = "";
  uint16_t port = 0;

  settings_split_address (options->address, ip, &port);
  forward->options = *options;
  forward->http = options->http;
  forward->caller_connection = evhttp_request_get_connection (options->http);
  forward->finish_event = event_new (options->base, -1, 0, on_finish, forward);
  forward->owner_connection
      = evhttp_connection_base_new (options->base, NULL, ip, port);
  forward->check = response_check_new (forward, forward->owner_connection);
  evhttp_connection_set_timeout_tv (forward->owner_connection, &owner_idle);
  evhttp_connection_set_closecb (forward->caller_connection,
                                 on_caller_disconnected, forward);
  evhttp_request_set_on_complete_cb (forward->http, on_reply_complete, forward);
  bufferevent_set_timeouts (
      evhttp_connection_get_bufferevent (forward->caller_connection), NULL,
      NULL);
  talloc_set_destructor (forward, free_forward);
  send_to_owner (forward);
}
