#include "caller-server.h"

#include <errno.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <glib.h>
#include <linux/sockios.h>
#include <stdio.h>
#include <string.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <talloc.h>

#include "base.h"
#define LOG_PART "callers"
#include "logging.h"
#include "settings.h"
#include "socket-watch.h"

#define LISTEN_BACKLOG 512
/** Limit on the bytes of the next requests that a caller may send before the
 * current request is answered. */
#define MAX_PIPELINED_BYTES (64u * 1024)
#define BODY_TIMEOUT_MS     10000
/** Time without a byte from the caller, and longest time of all, for which a
 * connection is read on after its last answer. A connection that is closed with
 * unread bytes is reset, and the reset takes what the caller has not got yet.
 */
#define LINGER_SILENCE_MS 1000
#define LINGER_MAX_MS     5000

/** Detects an unreachable caller, whose request need not be answered. */
static const socket_watch_t caller_watch
    = { .user_timeout_ms = 10000, .idle_s = 5, .interval_s = 2, .probes = 3 };

typedef struct connection connection_t;

/** Why a connection ends. */
typedef enum
{
  END_BY_SERVER, /**< the server is freed */
  END_ANSWERED,  /**< its last answer is written */
  END_IDLE,      /**< it is closed as idle */
  END_ABORTED,   /**< the answer was abandoned */
  END_TIMEOUT,
  END_BY_CALLER,
  END_FAILED,
} connection_end_t;

struct caller_request
{
  connection_t *connection;
  uint64_t arrived_ms;
  bool chunked;
  bool no_body; /* HEAD, 204 and 304: the answer has no body */
  void *data;
};

struct connection
{
  caller_server_t *server;
  struct bufferevent *stream;
  http_reader_t *reader;
  GByteArray *body;
  caller_request_t request;
  bool is_open;              /* a request is being answered */
  char *last_id;             /* of the last request, or NULL */
  bool has_unwritten_answer; /* a complete one */
  connection_end_t end;
  bool is_too_large;
  bool close_after_reply; /* close the connection after the current answer */
  bool is_read_paused;    /* the caller has sent too much ahead */
  bool is_lingering; /* the sending side is shut; what comes is discarded */
  uint64_t linger_until_ms;
  uint32_t unacked_bytes; /* while lingering, when last looked */
};

struct caller_server
{
  caller_server_options_t options;
  struct evconnlistener *listener;
  GHashTable *connections; /* connection_t, as a set */
  uint32_t open_requests;
  bool is_draining;
  metric_t *answers_written;
  metric_t *answers_cut;
};

static const char *
end_name (connection_end_t end)
{
  static const char *const names[] = { [END_BY_SERVER] = "server_ended",
                                       [END_ANSWERED] = "answered",
                                       [END_IDLE] = "idle",
                                       [END_ABORTED] = "aborted",
                                       [END_TIMEOUT] = "timeout",
                                       [END_BY_CALLER] = "caller_closed",
                                       [END_FAILED] = "failed" };

  return names[end];
}

/** Returns a number that the kernel knows of the connection's socket, 0 if it
 * cannot tell. */
static uint32_t
socket_bytes (const connection_t *connection, unsigned long request)
{
  int bytes = 0;

  if (ioctl (bufferevent_getfd (connection->stream), request, &bytes) != 0)
    return 0;
  return bytes > 0 ? (uint32_t)bytes : 0;
}

static size_t
unsent_bytes (const connection_t *connection)
{
  return evbuffer_get_length (bufferevent_get_output (connection->stream));
}

/** Returns whether bytes of the caller wait to be read. */
static bool
has_input (const connection_t *connection)
{
  return evbuffer_get_length (bufferevent_get_input (connection->stream)) > 0
         || socket_bytes (connection, FIONREAD) > 0;
}

/** Returns whether a part of a request has arrived that is not refused yet. */
static bool
is_receiving (const connection_t *connection)
{
  return !connection->is_open && !connection->close_after_reply
         && (http_reader_has_begun (connection->reader)
             || has_input (connection));
}

/** Returns whether the connection still owes its caller an answer or a part of
 * one, which may be on its way in the kernel. */
static bool
is_busy (const connection_t *connection)
{
  return connection->is_open || connection->is_lingering
         || unsent_bytes (connection) > 0
         || socket_bytes (connection, SIOCOUTQ) > 0
         || is_receiving (connection);
}

/** Records the end of a connection without an open request if its last answer
 * has not reached the caller: bytes of it are left here or in the kernel, which
 * drops them if the caller's own bytes are unread. */
static void
record_undelivered (const connection_t *connection)
{
  size_t unsent = unsent_bytes (connection);
  uint32_t unacked = socket_bytes (connection, SIOCOUTQ);
  uint32_t unread = socket_bytes (connection, FIONREAD);

  if (unsent == 0 && (unacked == 0 || unread == 0))
    return;
  metric_add (connection->server->answers_cut, 1);
  log_warn ("Connection ended before its answer was delivered. request=%s "
            "end=%s unsent_bytes=%zu unacked_bytes=%u unread_bytes=%u",
            connection->last_id != NULL ? connection->last_id : "-",
            end_name (connection->end), unsent, unacked, unread);
}

static void
end_connection (connection_t *connection, connection_end_t end)
{
  connection->end = end;
  talloc_free (connection);
}

static int
free_connection (connection_t *connection)
{
  caller_server_t *server = connection->server;

  if (!connection->is_open)
    record_undelivered (connection);
  if (connection->is_open)
    server->open_requests--;
  g_hash_table_remove (server->connections, connection);
  bufferevent_free (connection->stream);
  g_byte_array_free (connection->body, TRUE);
  return 0;
}

static void
set_read_timeout (connection_t *connection, uint32_t timeout_ms)
{
  struct timeval timeout = timeval_from_ms (timeout_ms);

  bufferevent_set_timeouts (connection->stream,
                            timeout_ms > 0 ? &timeout : NULL, NULL);
}

/** Rejects a request that is malformed or whose body is too large, and closes
 * the connection once the error is sent. */
static void
reject_request (connection_t *connection, const char *status)
{
  struct evbuffer *out = bufferevent_get_output (connection->stream);

  log_info ("Rejected an invalid request. status=%s", status);
  evbuffer_add_printf (out,
                       "HTTP/1.1 %s\r\nContent-Length: 0\r\n"
                       "Connection: close\r\n\r\n",
                       status);
  connection->close_after_reply = true;
  bufferevent_disable (connection->stream, EV_READ);
}

static void
on_body (const uint8_t *data, size_t size_bytes, void *context)
{
  connection_t *connection = context;

  if (connection->body->len + size_bytes
      > connection->server->options.limits.max_body_bytes)
    connection->is_too_large = true;
  else
    g_byte_array_append (connection->body, data, (guint)size_bytes);
}

static void
open_request (connection_t *connection)
{
  caller_server_t *server = connection->server;

  connection->is_open = true;
  connection->close_after_reply
      = connection->close_after_reply
        || !http_reader_keeps_alive (connection->reader);
  connection->request.no_body
      = strcmp (http_reader_method (connection->reader), "HEAD") == 0;
  server->open_requests++;
  set_read_timeout (connection, 0);
  server->options.on_request (&connection->request, server->options.context);
}

/** Sets the read timeout for the part of the request that is being received. */
static void
update_read_timeout (connection_t *connection)
{
  if (!http_reader_has_begun (connection->reader))
    return;
  if (connection->request.arrived_ms == 0)
    {
      connection->request.arrived_ms = clock_mono_ms ();
      set_read_timeout (connection,
                        connection->server->options.limits.head_timeout_ms);
    }
  if (http_reader_has_head (connection->reader))
    set_read_timeout (connection, BODY_TIMEOUT_MS);
}

/** Parses the input up to the end of a request; at most one request is open. */
static void
read_requests (connection_t *connection)
{
  struct evbuffer *in = bufferevent_get_input (connection->stream);

  while (!connection->is_open && !connection->close_after_reply
         && evbuffer_get_length (in) > 0)
    {
      size_t length = evbuffer_get_contiguous_space (in);
      const uint8_t *data = evbuffer_pullup (in, (ev_ssize_t)length);
      size_t used;
      http_reader_result_t result
          = http_reader_feed (connection->reader, data, length, &used);

      evbuffer_drain (in, used);
      update_read_timeout (connection);
      if (connection->is_too_large)
        reject_request (connection, "413 Content Too Large");
      else if (result == HTTP_READER_ERROR)
        reject_request (connection, "400 Bad Request");
      else if (result == HTTP_READER_END)
        {
          open_request (connection);
          return;
        }
    }
}

/** Shuts the sending side after the last answer and reads on until the caller
 * closes, so that nothing of the answer is lost. */
static void
begin_lingering (connection_t *connection)
{
  struct evbuffer *in = bufferevent_get_input (connection->stream);

  connection->is_lingering = true;
  connection->linger_until_ms = clock_mono_ms () + LINGER_MAX_MS;
  connection->unacked_bytes = socket_bytes (connection, SIOCOUTQ);
  shutdown (bufferevent_getfd (connection->stream), SHUT_WR);
  evbuffer_drain (in, evbuffer_get_length (in));
  set_read_timeout (connection, LINGER_SILENCE_MS);
  bufferevent_enable (connection->stream, EV_READ);
}

/** Gives a lingering connection more time if its caller has received more of
 * the answer since the last look, else ends it. */
static void
check_lingering (connection_t *connection)
{
  uint32_t unacked = socket_bytes (connection, SIOCOUTQ);

  if (unacked >= connection->unacked_bytes)
    {
      end_connection (connection, END_ANSWERED);
      return;
    }
  connection->unacked_bytes = unacked;
  connection->linger_until_ms = clock_mono_ms () + LINGER_MAX_MS;
  bufferevent_enable (connection->stream, EV_READ);
}

static void
discard_input (connection_t *connection)
{
  struct evbuffer *in = bufferevent_get_input (connection->stream);

  evbuffer_drain (in, evbuffer_get_length (in));
  if (clock_mono_ms () >= connection->linger_until_ms)
    check_lingering (connection);
}

static void
on_readable (struct bufferevent *stream, void *context)
{
  connection_t *connection = context;
  struct evbuffer *in = bufferevent_get_input (stream);

  if (connection->is_lingering)
    discard_input (connection);
  else if (!connection->is_open)
    read_requests (connection);
  else if (evbuffer_get_length (in) > MAX_PIPELINED_BYTES)
    {
      connection->is_read_paused = true;
      bufferevent_disable (stream, EV_READ);
    }
}

static void
on_written (struct bufferevent *stream, void *context)
{
  connection_t *connection = context;
  caller_server_t *server = connection->server;

  if (connection->has_unwritten_answer)
    metric_add (server->answers_written, 1);
  connection->has_unwritten_answer = false;
  if (connection->is_open)
    server->options.on_drained (&connection->request, server->options.context);
  else if (connection->close_after_reply && !connection->is_lingering)
    begin_lingering (connection);
}

static connection_end_t
end_from_event (short what)
{
  if ((what & BEV_EVENT_TIMEOUT) != 0)
    return END_TIMEOUT;
  return (what & BEV_EVENT_EOF) != 0 ? END_BY_CALLER : END_FAILED;
}

static void
on_event (struct bufferevent *stream, short what, void *context)
{
  connection_t *connection = context;
  caller_server_t *server = connection->server;

  if (connection->is_lingering && (what & BEV_EVENT_TIMEOUT) != 0)
    {
      check_lingering (connection);
      return;
    }
  if (connection->is_open)
    server->options.on_gone (&connection->request, server->options.context);
  else if ((what & (BEV_EVENT_EOF | BEV_EVENT_TIMEOUT)) != 0
           && unsent_bytes (connection) > 0)
    {
      /* No other request comes, but the last answer is still being read. */
      connection->close_after_reply = true;
      bufferevent_disable (stream, EV_READ);
      return;
    }
  end_connection (connection, end_from_event (what));
}

static void
on_accept (struct evconnlistener *listener,
           evutil_socket_t fd,
           struct sockaddr *address,
           int address_bytes,
           void *context)
{
  caller_server_t *server = context;
  connection_t *connection = talloc_zero (server, connection_t);
  http_reader_options_t reader_options
      = { .kind = HTTP_READER_REQUEST,
          .max_head_bytes = server->options.limits.max_head_bytes,
          .on_body = on_body,
          .context = connection };

  socket_watch (fd, &caller_watch);
  connection->server = server;
  connection->request.connection = connection;
  connection->reader = http_reader_new (connection, &reader_options);
  connection->body = g_byte_array_new ();
  connection->stream = bufferevent_socket_new (server->options.base, fd,
                                               BEV_OPT_CLOSE_ON_FREE);
  g_hash_table_add (server->connections, connection);
  talloc_set_destructor (connection, free_connection);
  bufferevent_setcb (connection->stream, on_readable, on_written, on_event,
                     connection);
  set_read_timeout (connection, server->options.limits.idle_timeout_ms);
  bufferevent_enable (connection->stream, EV_READ | EV_WRITE);
}

static int
free_server (caller_server_t *server)
{
  GList *connections = g_hash_table_get_keys (server->connections);

  if (server->listener != NULL)
    evconnlistener_free (server->listener);
  for (GList *item = connections; item != NULL; item = item->next)
    talloc_free (item->data);
  g_list_free (connections);
  g_hash_table_destroy (server->connections);
  return 0;
}

caller_server_t *
caller_server_new (void *parent, const caller_server_options_t *options)
{
  caller_server_t *server = talloc_zero (parent, caller_server_t);
  struct sockaddr_storage address;
  int address_bytes = sizeof address;

  server->options = *options;
  server->connections = g_hash_table_new (NULL, NULL);
  server->answers_written
      = metrics_counter (options->metrics, "lwm_callers_answers_written_total",
                         "Complete answers, of upstreams or our own, written "
                         "to the caller's connection.",
                         NULL);
  server->answers_cut = metrics_counter (
      options->metrics, "lwm_callers_answers_cut_total",
      "Complete answers whose connection ended before they were delivered.",
      NULL);
  talloc_set_destructor (server, free_server);
  if (evutil_parse_sockaddr_port (options->listen, (struct sockaddr *)&address,
                                  &address_bytes)
      == 0)
    server->listener = evconnlistener_new_bind (
        options->base, on_accept, server,
        LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, LISTEN_BACKLOG,
        (struct sockaddr *)&address, address_bytes);
  if (server->listener != NULL)
    return server;
  print_error ("cannot listen on '%s': %s", options->listen, strerror (errno));
  talloc_free (server);
  return NULL;
}

void
caller_server_set_limits (caller_server_t *server,
                          const caller_limits_t *limits)
{
  server->options.limits = *limits;
}

void
caller_server_drain (caller_server_t *server)
{
  server->is_draining = true;
}

void
caller_server_close_listener (caller_server_t *server)
{
  if (server->listener != NULL)
    evconnlistener_free (server->listener);
  server->listener = NULL;
}

void
caller_server_close_idle (caller_server_t *server)
{
  GList *connections = g_hash_table_get_keys (server->connections);

  for (GList *item = connections; item != NULL; item = item->next)
    {
      connection_t *connection = item->data;

      if (!is_busy (connection) && !connection->close_after_reply)
        end_connection (connection, END_IDLE);
    }
  g_list_free (connections);
}

void
caller_server_refuse_partial (caller_server_t *server)
{
  GHashTableIter iterator;
  void *item;

  g_hash_table_iter_init (&iterator, server->connections);
  while (g_hash_table_iter_next (&iterator, &item, NULL))
    if (is_receiving (item))
      reject_request (item, "503 Service Unavailable");
}

bool
caller_server_is_busy (const caller_server_t *server)
{
  GHashTableIter iterator;
  void *connection;

  g_hash_table_iter_init (&iterator, server->connections);
  while (g_hash_table_iter_next (&iterator, &connection, NULL))
    if (is_busy (connection))
      return true;
  return false;
}

uint32_t
caller_server_open_requests (const caller_server_t *server)
{
  return server->open_requests;
}

const char *
caller_request_method (const caller_request_t *request)
{
  return http_reader_method (request->connection->reader);
}

const char *
caller_request_target (const caller_request_t *request)
{
  return http_reader_target (request->connection->reader);
}

const http_fields_t *
caller_request_fields (const caller_request_t *request)
{
  return http_reader_fields (request->connection->reader);
}

const uint8_t *
caller_request_body (const caller_request_t *request, size_t *size_bytes)
{
  *size_bytes = request->connection->body->len;
  return request->connection->body->data;
}

uint64_t
caller_request_arrived_ms (const caller_request_t *request)
{
  return request->arrived_ms;
}

void
caller_request_set_data (caller_request_t *request, void *data)
{
  request->data = data;
}

void *
caller_request_data (const caller_request_t *request)
{
  return request->data;
}

void
caller_request_set_id (caller_request_t *request, const char *id)
{
  connection_t *connection = request->connection;

  talloc_free (connection->last_id);
  connection->last_id = talloc_strdup (connection, id);
}

void
caller_reply_begin (caller_request_t *request,
                    uint32_t status,
                    const char *reason,
                    const http_fields_t *fields,
                    int64_t length_bytes)
{
  connection_t *connection = request->connection;
  struct evbuffer *out = bufferevent_get_output (connection->stream);

  request->no_body = request->no_body || status == 204 || status == 304;
  request->chunked = length_bytes < 0 && !request->no_body;
  /* A request that came right behind this one is answered first. */
  if (connection->server->is_draining && !has_input (connection))
    connection->close_after_reply = true;
  evbuffer_add_printf (out, "HTTP/1.1 %u %s\r\n", status, reason);
  for (size_t i = 0; i < fields->count; i++)
    evbuffer_add_printf (out, "%s: %s\r\n", fields->items[i].name,
                         fields->items[i].value);
  if (request->chunked)
    evbuffer_add_printf (out, "Transfer-Encoding: chunked\r\n");
  else if (length_bytes >= 0 && status != 204)
    evbuffer_add_printf (out, "Content-Length: %jd\r\n",
                         (intmax_t)length_bytes);
  if (connection->close_after_reply)
    evbuffer_add_printf (out, "Connection: close\r\n");
  evbuffer_add (out, "\r\n", 2);
}

void
caller_reply_data (caller_request_t *request,
                   const void *data,
                   size_t size_bytes)
{
  struct evbuffer *out = bufferevent_get_output (request->connection->stream);

  if (size_bytes == 0 || request->no_body)
    return;
  if (request->chunked)
    evbuffer_add_printf (out, "%zx\r\n", size_bytes);
  evbuffer_add (out, data, size_bytes);
  if (request->chunked)
    evbuffer_add (out, "\r\n", 2);
}

/** Ends the current request; the connection then waits for the next request, or
 * closes once the answer is sent. */
static void
finish_request (connection_t *connection)
{
  connection->is_open = false;
  connection->has_unwritten_answer = true;
  connection->server->open_requests--;
  connection->request = (caller_request_t){ .connection = connection };
  g_byte_array_set_size (connection->body, 0);
  http_reader_reset (connection->reader);
  if (connection->close_after_reply)
    {
      bufferevent_disable (connection->stream, EV_READ);
      return;
    }
  set_read_timeout (connection,
                    connection->server->options.limits.idle_timeout_ms);
  if (connection->is_read_paused)
    bufferevent_enable (connection->stream, EV_READ);
  connection->is_read_paused = false;
  /* Bytes received ahead of time are parsed in a separate event loop turn. */
  bufferevent_trigger (connection->stream, EV_READ, BEV_TRIG_DEFER_CALLBACKS);
}

void
caller_reply_end (caller_request_t *request)
{
  struct evbuffer *out = bufferevent_get_output (request->connection->stream);

  if (request->chunked)
    evbuffer_add (out, "0\r\n\r\n", 5);
  finish_request (request->connection);
}

void
caller_reply_abort (caller_request_t *request)
{
  end_connection (request->connection, END_ABORTED);
}

size_t
caller_reply_pending_bytes (const caller_request_t *request)
{
  return unsent_bytes (request->connection);
}
