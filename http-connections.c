#include "http-connections.h"

#include <event2/event.h>
#include <event2/http.h>
#include <event2/listener.h>
#include <glib.h>
#include <poll.h>
#include <sys/socket.h>
#include <talloc.h>

#include "base.h"
#include "http-connection.h"
#define LOG_PART "http"
#include "logging.h"

/** Descriptors of a process that are reserved for its files. */
#define FILE_DESCRIPTORS   200
#define MIN_CONNECTIONS    16
#define SMALL_SHARE        32
#define BYTES_PER_MB       (1024u * 1024)
#define MEMORY_SHARE       3
#define LISTEN_BACKLOG     1024
#define SWEEP_INTERVAL_MS  100
#define EVICTIONS_PER_TURN 16

struct http_connections
{
  http_connections_options_t options;
  http_connection_options_t connection_options;
  GHashTable *by_stream; /* http_connection_t */
  struct evconnlistener *listener;
  struct event *sweep;
  metric_t *closed[HTTP_CLOSE_COUNT];
  bool is_accepting;
};

uint32_t
http_connections_share (uint32_t max_descriptors)
{
  uint32_t free_descriptors = max_descriptors > FILE_DESCRIPTORS
                                  ? max_descriptors - FILE_DESCRIPTORS
                                  : 0;

  if (max_descriptors == 0)
    return 0;
  return MAX (free_descriptors / 2, MIN_CONNECTIONS);
}

uint32_t
http_connections_small_share (uint32_t max_descriptors)
{
  if (max_descriptors == 0)
    return 0;
  return MAX (max_descriptors / SMALL_SHARE, MIN_CONNECTIONS);
}

uint64_t
http_connections_memory_limit (uint32_t memory_mb)
{
  return (uint64_t)memory_mb * BYTES_PER_MB / MEMORY_SHARE;
}

uint64_t
http_connections_small_memory_limit (uint32_t memory_mb)
{
  return (uint64_t)memory_mb * BYTES_PER_MB / SMALL_SHARE;
}

/** Accepts connections unless there are as many as allowed. */
static void
update_accepting (http_connections_t *connections)
{
  uint32_t max = connections->options.max_connections;
  bool should_accept
      = max == 0 || g_hash_table_size (connections->by_stream) < max;

  if (connections->listener == NULL
      || should_accept == connections->is_accepting)
    return;
  connections->is_accepting = should_accept;
  if (should_accept)
    evconnlistener_enable (connections->listener);
  else
    evconnlistener_disable (connections->listener);
}

/** Closes the marked connections and frees those that have ended. */
static void
on_attention (evutil_socket_t fd, short what, void *context)
{
  http_connections_t *connections = context;
  uint64_t now_ms = clock_mono_ms ();
  GList *all = g_hash_table_get_values (connections->by_stream);

  for (GList *item = all; item != NULL; item = item->next)
    {
      http_connection_t *connection = item->data;
      http_close_t closed;
      bool is_open = http_connection_attend (connection, now_ms, &closed);

      if (closed != HTTP_CLOSE_NOT)
        metric_add (connections->closed[closed], 1);
      if (is_open)
        continue;
      g_hash_table_remove (connections->by_stream,
                           http_connection_stream (connection));
      talloc_free (connection);
    }
  g_list_free (all);
  update_accepting (connections);
}

static http_connection_t *
find_most_stalled (const http_connections_t *connections, uint64_t now_ms)
{
  GHashTableIter iterator;
  void *value;
  http_connection_t *found = NULL;
  uint64_t longest_ms = 0;

  g_hash_table_iter_init (&iterator, connections->by_stream);
  while (g_hash_table_iter_next (&iterator, NULL, &value))
    {
      uint64_t ms = http_connection_stalled_ms (value, now_ms);

      if (ms > longest_ms)
        {
          longest_ms = ms;
          found = value;
        }
    }
  return found;
}

/** Returns whether a client waits to be accepted. */
static bool
has_waiting_client (const http_connections_t *connections)
{
  struct pollfd poller = { .fd = evconnlistener_get_fd (connections->listener),
                           .events = POLLIN };

  return poll (&poller, 1, 0) == 1;
}

/** Closes stalled connections, when there are as many as allowed and others
 * wait to be accepted. */
static void
make_room (http_connections_t *connections, uint64_t now_ms)
{
  if (connections->listener == NULL || connections->is_accepting
      || !has_waiting_client (connections))
    return;
  for (int i = 0; i < EVICTIONS_PER_TURN; i++)
    {
      http_connection_t *connection = find_most_stalled (connections, now_ms);

      if (connection == NULL)
        return;
      http_connection_yield (connection);
    }
}

static void
on_sweep (evutil_socket_t fd, short what, void *context)
{
  http_connections_t *connections = context;
  uint64_t now_ms = clock_mono_ms ();
  GHashTableIter iterator;
  void *connection;

  g_hash_table_iter_init (&iterator, connections->by_stream);
  while (g_hash_table_iter_next (&iterator, NULL, &connection))
    http_connection_check_times (connection, now_ms);
  make_room (connections, now_ms);
  on_attention (-1, 0, connections);
  if (g_hash_table_size (connections->by_stream) == 0)
    event_del (connections->sweep);
}

/** Starts the sweep, which runs while there are connections. */
static void
start_sweep (http_connections_t *connections)
{
  struct timeval interval = timeval_from_ms (SWEEP_INTERVAL_MS);

  if (!event_pending (connections->sweep, EV_TIMEOUT, NULL))
    event_add (connections->sweep, &interval);
}

static struct bufferevent *
on_accept (struct event_base *base, void *context)
{
  http_connections_t *connections = context;
  http_connection_t *connection
      = http_connection_new (connections, &connections->connection_options);
  struct bufferevent *stream = http_connection_stream (connection);

  g_hash_table_insert (connections->by_stream, stream, connection);
  update_accepting (connections);
  start_sweep (connections);
  return stream;
}

static void
on_accept_error (struct evconnlistener *listener, void *context)
{
  http_connections_t *connections = context;

  /* The sweep accepts again: without a pause, the loop would only try this. */
  log_warn ("Cannot accept a connection. error='%s'",
            evutil_socket_error_to_string (EVUTIL_SOCKET_ERROR ()));
  connections->is_accepting = false;
  evconnlistener_disable (listener);
  start_sweep (connections);
}

void
http_connections_listen (http_connections_t *connections,
                         struct evhttp_bound_socket *socket)
{
  connections->listener = evhttp_bound_socket_get_listener (socket);
  connections->is_accepting = true;
  evconnlistener_set_error_cb (connections->listener, on_accept_error);
  if (listen (evhttp_bound_socket_get_fd (socket), LISTEN_BACKLOG) != 0)
    log_warn ("Cannot set the length of the queue of connections.");
}

void
http_connections_handle (http_connections_t *connections,
                         struct evhttp_request *request)
{
  struct bufferevent *stream = evhttp_connection_get_bufferevent (
      evhttp_request_get_connection (request));
  http_connection_t *connection
      = g_hash_table_lookup (connections->by_stream, stream);

  if (connection != NULL)
    http_connection_handle (connection);
}

static double
read_count (void *context)
{
  const http_connections_t *connections = context;

  return g_hash_table_size (connections->by_stream);
}

static void
add_metrics (http_connections_t *connections, metrics_t *metrics)
{
  metrics_gauge_read (metrics, "lwm_http_connections",
                      "Open connections of clients to this HTTP server.", NULL,
                      read_count, connections);
  for (int i = HTTP_CLOSE_NOT + 1; i < HTTP_CLOSE_COUNT; i++)
    {
      char *labels = g_strdup_printf ("reason=\"%s\"",
                                      http_close_name ((http_close_t)i));

      connections->closed[i] = metrics_counter (
          metrics, "lwm_http_closed_total",
          "Connections of clients to this HTTP server that were refused or "
          "closed to stay within its limits.",
          labels);
      g_free (labels);
    }
}

static int
free_connections (http_connections_t *connections)
{
  GHashTableIter iterator;
  void *connection;

  event_free (connections->sweep);
  event_free (connections->connection_options.attention);
  g_hash_table_iter_init (&iterator, connections->by_stream);
  while (g_hash_table_iter_next (&iterator, NULL, &connection))
    talloc_free (connection);
  g_hash_table_destroy (connections->by_stream);
  return 0;
}

http_connections_t *
http_connections_new (void *parent, const http_connections_options_t *options)
{
  http_connections_t *connections = talloc_zero (parent, http_connections_t);

  connections->options = *options;
  connections->by_stream = g_hash_table_new (NULL, NULL);
  connections->sweep
      = event_new (options->base, -1, EV_PERSIST, on_sweep, connections);
  connections->connection_options = (http_connection_options_t){
    .base = options->base,
    .account = options->account,
    .tls = options->tls,
    .max_head_bytes = options->max_head_bytes,
    .max_body_bytes = options->max_body_bytes,
    .attention = event_new (options->base, -1, 0, on_attention, connections),
  };
  add_metrics (connections, options->metrics);
  evhttp_set_max_headers_size (options->http, options->max_head_bytes);
  evhttp_set_max_body_size (options->http, (ev_ssize_t)options->max_body_bytes);
  evhttp_set_bevcb (options->http, on_accept, connections);
  talloc_set_destructor (connections, free_connections);
  return connections;
}
