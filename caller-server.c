#include "caller-server.h"

#include <errno.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <glib.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <talloc.h>

#include "base.h"
#include "caller-connection.h"
#define LOG_PART "callers"
#include "logging.h"
#include "settings.h"
#include "socket-watch.h"

#define LISTEN_BACKLOG 512
/** Limit on the bytes of the next requests that a caller may send before the
 * current request is answered. */
#define MAX_PIPELINED_BYTES (64u * 1024)
#define BODY_TIMEOUT_MS     10000

/** Detects an unreachable caller, whose request need not be answered. */
static const socket_watch_t caller_watch
    = { .user_timeout_ms = 10000, .idle_s = 5, .interval_s = 2, .probes = 3 };

/** Refuses a body that is declared too large before it is read. */
static void
on_head (void *context)
{
  caller_connection_t *connection = context;
  uint64_t declared = http_reader_declared_bytes (connection->reader);

  connection->is_too_large
      = declared != UINT64_MAX
        && declared > connection->server->options.limits.max_body_bytes;
}

static void
on_body (const uint8_t *data, size_t size_bytes, void *context)
{
  caller_connection_t *connection = context;

  if (connection->is_too_large)
    return;
  if (connection->body->size_bytes + size_bytes
      > connection->server->options.limits.max_body_bytes)
    {
      connection->is_too_large = true;
      return;
    }
  shared_bytes_append (connection->body, data, size_bytes);
  caller_memory_received (connection, size_bytes);
}

static void
open_request (caller_connection_t *connection)
{
  caller_server_t *server = connection->server;

  connection->is_open = true;
  connection->close_after_reply
      = connection->close_after_reply
        || !http_reader_keeps_alive (connection->reader);
  connection->request.no_body
      = strcmp (http_reader_method (connection->reader), "HEAD") == 0;
  server->open_requests++;
  caller_connection_set_read_timeout (connection, 0);
  caller_memory_update (connection);
  server->options.on_request (&connection->request, server->options.context);
}

/** Sets the read timeout for the part of the request that is being received. */
static void
update_read_timeout (caller_connection_t *connection)
{
  if (!http_reader_has_begun (connection->reader))
    return;
  if (connection->request.arrived_ms == 0)
    {
      connection->request.arrived_ms = clock_mono_ms ();
      caller_connection_set_read_timeout (
          connection, connection->server->options.limits.head_timeout_ms);
    }
  if (http_reader_has_head (connection->reader))
    caller_connection_set_read_timeout (connection, BODY_TIMEOUT_MS);
}

/** Parses the input up to the end of a request; at most one request is open. */
static void
read_requests (caller_connection_t *connection)
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
        caller_connection_reject (connection, "413 Content Too Large");
      else if (result == HTTP_READER_ERROR)
        caller_connection_reject (connection, "400 Bad Request");
      else if (result == HTTP_READER_END)
        {
          open_request (connection);
          return;
        }
    }
  caller_memory_update (connection);
}

static void
on_readable (struct bufferevent *stream, void *context)
{
  caller_connection_t *connection = context;
  struct evbuffer *in = bufferevent_get_input (stream);

  if (connection->is_lingering)
    caller_connection_discard_input (connection);
  else if (!connection->is_open)
    read_requests (connection);
  else if (evbuffer_get_length (in) > MAX_PIPELINED_BYTES)
    {
      connection->is_read_paused = true;
      bufferevent_disable (stream, EV_READ);
    }
  else
    caller_memory_update (connection);
}

static void
on_written (struct bufferevent *stream, void *context)
{
  caller_connection_t *connection = context;
  caller_server_t *server = connection->server;

  if (connection->has_unwritten_answer)
    metric_add (server->answers_written, 1);
  connection->has_unwritten_answer = false;
  if (connection->is_open)
    server->options.on_drained (&connection->request, server->options.context);
  else if (connection->close_after_reply && !connection->is_lingering)
    caller_connection_begin_lingering (connection);
}

static caller_end_t
end_from_event (short what)
{
  if ((what & BEV_EVENT_TIMEOUT) != 0)
    return END_TIMEOUT;
  return (what & BEV_EVENT_EOF) != 0 ? END_BY_CALLER : END_FAILED;
}

static void
on_event (struct bufferevent *stream, short what, void *context)
{
  caller_connection_t *connection = context;
  caller_server_t *server = connection->server;

  if (connection->is_lingering && (what & BEV_EVENT_TIMEOUT) != 0)
    {
      caller_connection_check_lingering (connection);
      return;
    }
  if (connection->is_open)
    server->options.on_gone (&connection->request, server->options.context);
  else if ((what & (BEV_EVENT_EOF | BEV_EVENT_TIMEOUT)) != 0
           && caller_connection_unsent_bytes (connection) > 0)
    {
      /* No other request comes, but the last answer is still being read. */
      connection->close_after_reply = true;
      bufferevent_disable (stream, EV_READ);
      return;
    }
  caller_connection_end (connection, end_from_event (what));
}

static void
on_accept (struct evconnlistener *listener,
           evutil_socket_t fd,
           struct sockaddr *address,
           int address_bytes,
           void *context)
{
  caller_server_t *server = context;
  caller_connection_t *connection;
  http_reader_options_t reader_options
      = { .kind = HTTP_READER_REQUEST,
          .max_head_bytes = server->options.limits.max_head_bytes,
          .on_head = on_head,
          .on_body = on_body };

  if (!caller_memory_make_room (server))
    {
      evutil_closesocket (fd);
      return;
    }
  socket_watch (fd, &caller_watch);
  connection = talloc_zero (server, caller_connection_t);
  reader_options.context = connection;
  connection->server = server;
  connection->request.connection = connection;
  connection->reader = http_reader_new (connection, &reader_options);
  connection->body = shared_bytes_new ();
  connection->stream = bufferevent_socket_new (server->options.base, fd,
                                               BEV_OPT_CLOSE_ON_FREE);
  g_hash_table_add (server->connections, connection);
  talloc_set_destructor (connection, caller_connection_free);
  bufferevent_setcb (connection->stream, on_readable, on_written, on_event,
                     connection);
  caller_connection_set_read_timeout (connection,
                                      server->options.limits.idle_timeout_ms);
  bufferevent_enable (connection->stream, EV_READ | EV_WRITE);
  caller_memory_add (connection);
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
  caller_memory_stop (server);
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
  caller_memory_start (server);
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
      caller_connection_t *connection = item->data;

      if (!caller_connection_is_busy (connection)
          && !connection->close_after_reply)
        caller_connection_end (connection, END_IDLE);
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
    if (caller_connection_is_receiving (item))
      caller_connection_reject (item, "503 Service Unavailable");
}

bool
caller_server_is_busy (const caller_server_t *server)
{
  GHashTableIter iterator;
  void *connection;

  g_hash_table_iter_init (&iterator, server->connections);
  while (g_hash_table_iter_next (&iterator, &connection, NULL))
    if (caller_connection_is_busy (connection))
      return true;
  return false;
}

uint32_t
caller_server_open_requests (const caller_server_t *server)
{
  return server->open_requests;
}
