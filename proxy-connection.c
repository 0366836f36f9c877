/* Connections of the proxy: the queue of each direction and the time at which
 * its items are delivered. */
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <talloc.h>

#include "base.h"
#include "proxy-private.h"

#define US_PER_MS 1000
#define US_PER_S  1000000

/* Reading from a sender stops while this much of its data is held, like a full
 * TCP window. */
#define MAX_HELD_BYTES (4 * 1024 * 1024)

/* Callbacks are deferred: otherwise one could free a connection while a call on
 * that connection is still running. */
#define SOCKET_OPTIONS (BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS)

typedef enum
{
  ITEM_CONNECT, /* always the first item towards the target */
  ITEM_DATA,
  ITEM_END,   /* the sender has closed its side */
  ITEM_RESET, /* the sender's connection failed */
} item_kind_t;

typedef struct
{
  item_kind_t kind;
  struct evbuffer *data;
  uint64_t release_us;
} item_t;

/** One direction of a connection. */
typedef struct
{
  proxy_connection_t *connection;
  struct bufferevent *from;
  struct bufferevent *to;
  bool is_in;   /* towards the target */
  GQueue items; /* of item_t, in order; items not yet released */
  uint64_t held_bytes;
  uint64_t last_release_us;
  uint64_t sent_bytes; /* delivered since the faults were set */
  bool input_ended;    /* the sender's end or reset was received */
  bool end_released;   /* the end was released and waits for the flush */
  bool end_sent;       /* the end was sent to the receiver */
  struct event *timer;
} pipe_t;

struct proxy_connection
{
  proxy_route_t *route;
  pipe_t in;
  pipe_t out;
  bool closing; /* truncated: ends once the client's data is flushed */
};

static bool
is_cut (const pipe_t *pipe)
{
  proxy_cut_t cut = pipe->connection->route->faults.cut;

  return cut == PROXY_CUT_BOTH
         || cut == (pipe->is_in ? PROXY_CUT_IN : PROXY_CUT_OUT);
}

static void
free_item (gpointer data)
{
  item_t *item = data;

  if (item->data != NULL)
    evbuffer_free (item->data);
  g_free (item);
}

static void
clear_pipe (pipe_t *pipe)
{
  g_queue_clear_full (&pipe->items, free_item);
  event_free (pipe->timer);
}

static int
free_connection (proxy_connection_t *connection)
{
  clear_pipe (&connection->in);
  clear_pipe (&connection->out);
  bufferevent_free (connection->in.from);
  bufferevent_free (connection->in.to);
  g_hash_table_remove (connection->route->connections, connection);
  return 0;
}

/* Closing with a linger time of zero sends a reset. */
static void
set_zero_linger (struct bufferevent *end)
{
  struct linger linger = { .l_onoff = 1, .l_linger = 0 };
  evutil_socket_t fd = bufferevent_getfd (end);

  if (fd >= 0)
    setsockopt (fd, SOL_SOCKET, SO_LINGER, &linger, sizeof linger);
}

void
proxy_connection_reset (proxy_connection_t *connection)
{
  connection->route->counts.resets++;
  set_zero_linger (connection->in.from);
  set_zero_linger (connection->in.to);
  talloc_free (connection);
}

/* Reserves bandwidth of the route for @a size_bytes. Returns the time at which
 * the last of these bytes has passed, in microseconds. */
static uint64_t
reserve_bandwidth (pipe_t *pipe, uint64_t now_us, size_t size_bytes)
{
  proxy_route_t *route = pipe->connection->route;
  uint64_t *busy_us = pipe->is_in ? &route->busy_in_us : &route->busy_out_us;

  if (route->faults.bandwidth_bytes_s == 0)
    return now_us;
  *busy_us = MAX (*busy_us, now_us)
             + size_bytes * US_PER_S / route->faults.bandwidth_bytes_s;
  return *busy_us;
}

/* Returns the delivery time of an item, never before that of the previous
 * item. */
static uint64_t
release_time_us (pipe_t *pipe, size_t size_bytes)
{
  proxy_route_t *route = pipe->connection->route;
  const proxy_faults_t *faults = &route->faults;
  GRand *random = route->proxy->random;
  uint64_t at_us = reserve_bandwidth (pipe, clock_mono_us (), size_bytes);

  at_us += (uint64_t)faults->delay_ms * US_PER_MS;
  if (faults->jitter_ms > 0)
    at_us += (uint64_t)(g_rand_double (random) * faults->jitter_ms * US_PER_MS);
  if (faults->stall_percent > 0
      && g_rand_double (random) * 100 < faults->stall_percent)
    at_us += (uint64_t)faults->stall_ms * US_PER_MS;
  pipe->last_release_us = MAX (pipe->last_release_us, at_us);
  return pipe->last_release_us;
}

static void
queue_item (pipe_t *pipe, item_kind_t kind, struct evbuffer *data)
{
  item_t *item = g_new0 (item_t, 1);
  size_t size_bytes = data != NULL ? evbuffer_get_length (data) : 0;

  item->kind = kind;
  item->data = data;
  item->release_us = release_time_us (pipe, size_bytes);
  pipe->held_bytes += size_bytes;
  g_queue_push_tail (&pipe->items, item);
}

static void
update_reading (pipe_t *pipe)
{
  size_t unsent = evbuffer_get_length (bufferevent_get_output (pipe->to));

  if (pipe->input_ended)
    return;
  if (pipe->held_bytes + unsent < MAX_HELD_BYTES)
    bufferevent_enable (pipe->from, EV_READ);
  else
    bufferevent_disable (pipe->from, EV_READ);
}

static void
connect_target (proxy_connection_t *connection)
{
  proxy_route_t *route = connection->route;

  /* on_event() reports a failure, and the client then gets a reset. */
  bufferevent_socket_connect (connection->in.to,
                              (struct sockaddr *)&route->target_address,
                              route->target_size);
}

/* Truncates the connection: it is closed once the client's data is flushed. */
static void
truncate_connection (proxy_connection_t *connection)
{
  connection->closing = true;
  connection->route->counts.truncated++;
  bufferevent_disable (connection->in.from, EV_READ);
  bufferevent_disable (connection->out.from, EV_READ);
}

static void
deliver_data (pipe_t *pipe, struct evbuffer *data)
{
  proxy_route_t *route = pipe->connection->route;
  size_t size_bytes = evbuffer_get_length (data);
  uint64_t limit = route->faults.truncate_bytes;

  pipe->held_bytes -= size_bytes;
  if (!pipe->is_in && limit > 0 && pipe->sent_bytes + size_bytes >= limit)
    {
      size_bytes = limit - pipe->sent_bytes;
      truncate_connection (pipe->connection);
    }
  pipe->sent_bytes += size_bytes;
  if (pipe->is_in)
    route->counts.bytes_in += size_bytes;
  else
    route->counts.bytes_out += size_bytes;
  evbuffer_remove_buffer (data, bufferevent_get_output (pipe->to), size_bytes);
}

/* Forwards the end of the stream after a flush, and frees the connection when
 * both directions have ended or its truncated data is flushed. Returns whether
 * the connection still exists. */
static bool
flush_end (pipe_t *pipe)
{
  proxy_connection_t *connection = pipe->connection;
  bool empty = evbuffer_get_length (bufferevent_get_output (pipe->to)) == 0;

  if (empty && pipe->end_released && !pipe->end_sent)
    {
      pipe->end_sent = true;
      shutdown (bufferevent_getfd (pipe->to), SHUT_WR);
    }
  if ((connection->in.end_sent && connection->out.end_sent)
      || (empty && connection->closing && !pipe->is_in))
    {
      talloc_free (connection);
      return false;
    }
  return true;
}

/* Returns whether the connection still exists. */
static bool
deliver_item (pipe_t *pipe, item_t *item)
{
  proxy_connection_t *connection = pipe->connection;

  switch (item->kind)
    {
    case ITEM_CONNECT:
      connect_target (connection);
      return true;
    case ITEM_DATA:
      deliver_data (pipe, item->data);
      return true;
    case ITEM_END:
      pipe->end_released = true;
      return flush_end (pipe);
    case ITEM_RESET:
      proxy_connection_reset (connection);
      return false;
    }
  return true;
}

static void
set_timer (pipe_t *pipe, uint64_t now_us)
{
  const item_t *head = g_queue_peek_head (&pipe->items);
  uint64_t wait_us = head->release_us - now_us;
  struct timeval wait = { .tv_sec = (time_t)(wait_us / US_PER_S),
                          .tv_usec = (suseconds_t)(wait_us % US_PER_S) };

  event_add (pipe->timer, &wait);
}

/** Delivers all due items; returns whether the connection still exists. */
static bool
deliver_due_items (pipe_t *pipe)
{
  uint64_t now_us = clock_mono_us ();

  while (!is_cut (pipe) && !pipe->connection->closing
         && !g_queue_is_empty (&pipe->items))
    {
      item_t *item = g_queue_peek_head (&pipe->items);
      bool open;

      if (item->release_us > now_us)
        {
          set_timer (pipe, now_us);
          break;
        }
      g_queue_pop_head (&pipe->items);
      open = deliver_item (pipe, item);
      free_item (item);
      if (!open)
        return false;
    }
  if (pipe->connection->closing)
    return flush_end (pipe);
  update_reading (pipe);
  return true;
}

static void
on_timer (evutil_socket_t fd, short what, void *arg)
{
  deliver_due_items (arg);
}

static pipe_t *
find_pipe_from (proxy_connection_t *connection, struct bufferevent *end)
{
  return end == connection->in.from ? &connection->in : &connection->out;
}

static pipe_t *
find_pipe_to (proxy_connection_t *connection, struct bufferevent *end)
{
  return end == connection->in.to ? &connection->in : &connection->out;
}

static void
on_read (struct bufferevent *end, void *arg)
{
  pipe_t *pipe = find_pipe_from (arg, end);
  struct evbuffer *data = evbuffer_new ();

  evbuffer_add_buffer (data, bufferevent_get_input (end));
  queue_item (pipe, ITEM_DATA, data);
  deliver_due_items (pipe);
}

static void
on_written (struct bufferevent *end, void *arg)
{
  pipe_t *pipe = find_pipe_to (arg, end);

  if (flush_end (pipe))
    update_reading (pipe);
}

static void
set_no_delay (struct bufferevent *end)
{
  int on = 1;

  setsockopt (bufferevent_getfd (end), IPPROTO_TCP, TCP_NODELAY, &on,
              sizeof on);
}

static void
on_event (struct bufferevent *end, short what, void *arg)
{
  pipe_t *pipe = find_pipe_from (arg, end);

  if (what & BEV_EVENT_CONNECTED)
    {
      set_no_delay (end);
      update_reading (pipe);
    }
  if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) == 0 || pipe->input_ended)
    return;
  pipe->input_ended = true;
  bufferevent_disable (end, EV_READ);
  queue_item (pipe, what & BEV_EVENT_ERROR ? ITEM_RESET : ITEM_END, NULL);
  deliver_due_items (pipe);
}

static void
set_up_pipe (pipe_t *pipe,
             proxy_connection_t *connection,
             struct bufferevent *from,
             struct bufferevent *to)
{
  pipe->connection = connection;
  pipe->from = from;
  pipe->to = to;
  pipe->timer = event_new (bufferevent_get_base (from), -1, 0, on_timer, pipe);
  g_queue_init (&pipe->items);
}

void
proxy_connection_accept (struct evconnlistener *listener,
                         evutil_socket_t fd,
                         struct sockaddr *address,
                         int size,
                         void *arg)
{
  proxy_route_t *route = arg;
  struct event_base *base = route->proxy->options.base;
  proxy_connection_t *connection = talloc_zero (route, proxy_connection_t);
  struct bufferevent *client
      = bufferevent_socket_new (base, fd, SOCKET_OPTIONS);
  struct bufferevent *target
      = bufferevent_socket_new (base, -1, SOCKET_OPTIONS);

  connection->route = route;
  connection->in.is_in = true;
  set_up_pipe (&connection->in, connection, client, target);
  set_up_pipe (&connection->out, connection, target, client);
  g_hash_table_add (route->connections, connection);
  talloc_set_destructor (connection, free_connection);
  bufferevent_setcb (client, on_read, on_written, on_event, connection);
  bufferevent_setcb (target, on_read, on_written, on_event, connection);
  set_no_delay (client);
  route->counts.accepted++;
  queue_item (&connection->in, ITEM_CONNECT, NULL);
  deliver_due_items (&connection->in);
}

void
proxy_connection_apply_faults (proxy_connection_t *connection)
{
  connection->out.sent_bytes = 0;
  if (deliver_due_items (&connection->in))
    deliver_due_items (&connection->out);
}

void
proxy_connection_held_bytes (const proxy_connection_t *connection,
                             uint64_t *in_bytes,
                             uint64_t *out_bytes)
{
  *in_bytes = connection->in.held_bytes;
  *out_bytes = connection->out.held_bytes;
}
