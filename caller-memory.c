/* Memory and connections that callers may make the server hold. */
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <sys/socket.h>
#include <talloc.h>

#include "base.h"
#include "caller-connection.h"
#define LOG_PART "callers"
#include "logging.h"

/** Memory of a connection itself, and of a request that is open. */
#define CONNECTION_BYTES   6144u
#define OPEN_REQUEST_BYTES 8192u
/** Size of the kernel's buffers of a connection. With so many bytes waiting,
 * the one for sending is full, and so is the one from an upstream that is not
 * read meanwhile; fewer bytes may only wait for the next turn of the loop. */
#define SOCKET_BUFFER_BYTES (64 * 1024)
#define BACKLOG_BYTES       (16u * 1024)
/** Bytes of a body or an answer that count as progress of a caller. */
#define PROGRESS_BYTES 4096u
#define SWEEP_MS       250
/** A body has to come at this rate, over this time, once the request is older
 * than any deadline, or when less than half of the memory is left. */
#define MIN_BODY_BYTES_PER_S 64u
#define BODY_WINDOW_MS       10000u
#define BODY_GRACE_MS        30000u
/** A connection is not closed to make room for another one before its caller
 * has made no progress for this time. */
#define MIN_IDLE_MS     1000u
#define LOG_INTERVAL_MS 1000u

static size_t
held_bytes (const caller_connection_t *connection)
{
  struct evbuffer *in = bufferevent_get_input (connection->stream);
  size_t unsent = caller_connection_unsent_bytes (connection);
  size_t head = http_reader_held_bytes (connection->reader);
  size_t bytes = CONNECTION_BYTES + head + connection->body->room_bytes
                 + connection->kept_bytes + evbuffer_get_length (in) + unsent;

  if (connection->is_open)
    bytes += OPEN_REQUEST_BYTES + head;
  if (unsent >= BACKLOG_BYTES)
    bytes += (connection->is_open ? 2 : 1) * SOCKET_BUFFER_BYTES;
  return bytes;
}

void
caller_memory_update (caller_connection_t *connection)
{
  if (connection->holder == NULL)
    return;
  memory_holder_set_working (
      connection->holder,
      connection->is_open && caller_connection_unsent_bytes (connection) == 0);
  memory_holder_set (connection->holder, held_bytes (connection),
                     clock_mono_ms ());
}

static void
record_progress (caller_connection_t *connection, uint64_t now_ms)
{
  connection->moved_bytes = 0;
  connection->progress_ms = now_ms;
  if (connection->holder != NULL)
    memory_holder_progress (connection->holder, now_ms);
}

/** Counts bytes towards progress, so that single bytes are none. */
static void
add_moved (caller_connection_t *connection, size_t size_bytes)
{
  connection->moved_bytes += size_bytes;
  if (connection->moved_bytes >= PROGRESS_BYTES)
    record_progress (connection, clock_mono_ms ());
}

void
caller_memory_received (caller_connection_t *connection, size_t size_bytes)
{
  add_moved (connection, size_bytes);
}

static void
on_output_changed (struct evbuffer *out,
                   const struct evbuffer_cb_info *info,
                   void *context)
{
  caller_connection_t *connection = context;

  if (info->n_deleted > 0)
    add_moved (connection, info->n_deleted);
  caller_memory_update (connection);
}

/** Lets the connection release its memory in a turn of the loop of its own: its
 * bytes may be in use now. */
static void
on_reclaim (void *context)
{
  caller_connection_t *connection = context;
  caller_server_t *server = connection->server;

  connection->must_yield = true;
  g_ptr_array_add (server->yielding, connection);
  event_active (server->yield_event, EV_TIMEOUT, 0);
}

void
caller_memory_add (caller_connection_t *connection)
{
  caller_server_t *server = connection->server;
  struct evbuffer *out = bufferevent_get_output (connection->stream);
  memory_holder_options_t options
      = { .on_reclaim = on_reclaim, .context = connection };
  int fd = bufferevent_getfd (connection->stream);
  int size = SOCKET_BUFFER_BYTES;

  connection->progress_ms = clock_mono_ms ();
  if (server->options.memory == NULL)
    return;
  setsockopt (fd, SOL_SOCKET, SO_SNDBUF, &size, sizeof size);
  setsockopt (fd, SOL_SOCKET, SO_RCVBUF, &size, sizeof size);
  connection->holder
      = memory_holder_new (connection, server->options.memory, &options);
  connection->output_watch
      = evbuffer_add_cb (out, on_output_changed, connection);
  caller_memory_update (connection);
}

void
caller_memory_remove (caller_connection_t *connection)
{
  if (connection->output_watch != NULL)
    evbuffer_remove_cb_entry (bufferevent_get_output (connection->stream),
                              connection->output_watch);
  connection->output_watch = NULL;
  if (connection->must_yield)
    g_ptr_array_remove_fast (connection->server->yielding, connection);
  TALLOC_FREE (connection->holder);
}

/** Refuses what the connection asks, or closes it. */
static void
yield_connection (caller_connection_t *connection)
{
  caller_server_t *server = connection->server;
  uint64_t now_ms = clock_mono_ms ();
  const char *id = connection->last_id;

  if (!connection->is_open)
    id = caller_connection_read_id (connection);
  log_warn ("A connection gives its memory back. request=%s bytes=%ju "
            "without_progress_ms=%ju open=%d",
            id != NULL ? id : "-",
            (uintmax_t)memory_holder_bytes (connection->holder),
            (uintmax_t)(now_ms - connection->progress_ms), connection->is_open);
  if (connection->is_open)
    {
      connection->close_after_reply = true;
      server->options.on_reclaim (&connection->request,
                                  server->options.context);
    }
  else if (caller_connection_is_receiving (connection))
    caller_connection_reject (connection, "503 Service Unavailable");
  else
    caller_connection_end (connection, END_NO_MEMORY);
}

static void
on_yield (evutil_socket_t fd, short what, void *context)
{
  caller_server_t *server = context;

  while (server->yielding->len > 0)
    {
      caller_connection_t *connection = g_ptr_array_index (server->yielding, 0);

      g_ptr_array_remove_index_fast (server->yielding, 0);
      connection->must_yield = false;
      yield_connection (connection);
    }
}

static bool
is_memory_short (const caller_server_t *server)
{
  const memory_account_t *memory = server->options.memory;

  return memory_account_held (memory) > memory_account_limit (memory) / 2;
}

static void
reject_slow (caller_connection_t *connection, uint64_t now_ms)
{
  log_info ("A caller sends too slowly. request=%s age_ms=%ju body_bytes=%zu",
            caller_connection_read_id (connection),
            (uintmax_t)(now_ms - connection->request.arrived_ms),
            connection->body->size_bytes);
  memory_account_count_slow (connection->server->options.memory);
  caller_connection_reject (connection, "408 Request Timeout");
}

/** Rejects a head that is not complete in its time, however it comes. */
static void
check_head (caller_connection_t *connection, uint64_t now_ms)
{
  uint32_t limit_ms = connection->server->options.limits.head_timeout_ms;

  if (now_ms - connection->request.arrived_ms > limit_ms
      && !caller_connection_has_input (connection))
    reject_slow (connection, now_ms);
}

static void
check_body (caller_connection_t *connection, uint64_t now_ms)
{
  size_t size = connection->body->size_bytes;
  uint64_t age_ms = now_ms - connection->request.arrived_ms;
  uint64_t passed_ms = now_ms - connection->window_ms;
  bool is_slow;

  if (connection->window_ms != 0 && passed_ms < BODY_WINDOW_MS)
    return;
  is_slow = connection->window_ms != 0
            && (size - connection->window_bytes) * 1000
                   < MIN_BODY_BYTES_PER_S * passed_ms;
  connection->window_ms = now_ms;
  connection->window_bytes = size;
  if (is_slow
      && (age_ms > BODY_GRACE_MS || is_memory_short (connection->server))
      && !caller_connection_has_input (connection))
    reject_slow (connection, now_ms);
}

static void
check_connection (caller_connection_t *connection, uint64_t now_ms)
{
  if (connection->is_open)
    {
      /* Its caller waits for the upstream, or reads slowly. */
      if (caller_connection_unsent_bytes (connection) == 0)
        record_progress (connection, now_ms);
    }
  else if (connection->close_after_reply
           || !http_reader_has_begun (connection->reader)
           || connection->request.arrived_ms == 0)
    return;
  else if (http_reader_has_head (connection->reader))
    check_body (connection, now_ms);
  else
    check_head (connection, now_ms);
}

static void
on_sweep (evutil_socket_t fd, short what, void *context)
{
  caller_server_t *server = context;
  uint64_t now_ms = clock_mono_ms ();
  bool was_late = now_ms - server->swept_ms > 2 * SWEEP_MS;
  GHashTableIter iterator;
  void *item;

  server->swept_ms = now_ms;
  /* After a pause of the process, what came meanwhile is read first. */
  if (was_late)
    return;
  g_hash_table_iter_init (&iterator, server->connections);
  while (g_hash_table_iter_next (&iterator, &item, NULL))
    check_connection (item, now_ms);
}

void
caller_memory_start (caller_server_t *server)
{
  struct timeval interval = { .tv_usec = SWEEP_MS * 1000 };

  server->yielding = g_ptr_array_new ();
  server->connections_refused = metrics_counter (
      server->options.metrics, "lwm_callers_connections_refused_total",
      "Connections of callers that were closed at once, or "
      "made way for others, at the limit of connections.",
      NULL);
  if (server->options.memory == NULL)
    return;
  server->swept_ms = clock_mono_ms ();
  server->yield_event
      = event_new (server->options.base, -1, 0, on_yield, server);
  server->sweep
      = event_new (server->options.base, -1, EV_PERSIST, on_sweep, server);
  event_add (server->sweep, &interval);
}

void
caller_memory_stop (caller_server_t *server)
{
  g_ptr_array_free (server->yielding, TRUE);
  if (server->yield_event != NULL)
    event_free (server->yield_event);
  if (server->sweep != NULL)
    event_free (server->sweep);
}

/** Returns the class of connections that may be closed to make room, 0 being
 * closed first; -1: this one may not be closed. */
static int
closing_class (const caller_connection_t *connection, uint64_t now_ms)
{
  if (connection->is_open || now_ms - connection->progress_ms < MIN_IDLE_MS)
    return -1;
  if (connection->is_lingering)
    return 0;
  if (caller_connection_unsent_bytes (connection) > 0)
    return -1;
  return http_reader_has_begun (connection->reader) ? 1 : 0;
}

/** Returns the connection that is closed to make room, or NULL. */
static caller_connection_t *
choose_idle (caller_server_t *server, uint64_t now_ms)
{
  caller_connection_t *chosen = NULL;
  int chosen_class = 0;
  GHashTableIter iterator;
  void *item;

  g_hash_table_iter_init (&iterator, server->connections);
  while (g_hash_table_iter_next (&iterator, &item, NULL))
    {
      caller_connection_t *connection = item;
      int class = closing_class (connection, now_ms);

      if (class < 0)
        continue;
      if (chosen == NULL || class < chosen_class
          || (class == chosen_class
              && connection->progress_ms < chosen->progress_ms))
        {
          chosen = connection;
          chosen_class = class;
        }
    }
  return chosen;
}

/** Counts a connection that is closed at the limit; a line a second tells of
 * them. */
static void
record_refusal (caller_server_t *server, uint64_t now_ms)
{
  metric_add (server->connections_refused, 1);
  server->refusals_unlogged++;
  if (now_ms - server->refusal_logged_ms < LOG_INTERVAL_MS)
    return;
  log_warn ("Closed connections at their limit. limit=%u closed=%u",
            server->options.max_connections, server->refusals_unlogged);
  server->refusal_logged_ms = now_ms;
  server->refusals_unlogged = 0;
}

bool
caller_memory_make_room (caller_server_t *server)
{
  uint32_t limit = server->options.max_connections;
  uint64_t now_ms = clock_mono_ms ();
  caller_connection_t *idle;

  if (limit == 0 || g_hash_table_size (server->connections) < limit)
    return true;
  record_refusal (server, now_ms);
  idle = choose_idle (server, now_ms);
  if (idle == NULL)
    return false;
  caller_connection_end (idle, END_NO_ROOM);
  return true;
}
