/**
 * @file exchange-pool.c
 * Connections to upstreams that are kept between exchanges.
 */
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <stdlib.h>
#include <string.h>
#include <sys/ioctl.h>
#include <talloc.h>

#include "base.h"
#include "exchange-internal.h"

/** Limit on the idle connections to one upstream. */
#define MAX_IDLE_CONNECTIONS 8
/** An idle connection is no longer used this long before its peer closes it. */
#define IDLE_MARGIN_MS    500
#define SWEEP_INTERVAL_MS 250

/** Returns how long the peer keeps an idle connection: the timeout in its last
 * answer's Keep-Alive field, or the pool's default. */
static uint32_t
keep_alive_ms (const connection_t *connection)
{
  const char *value = http_fields_find (http_reader_fields (connection->reader),
                                        "Keep-Alive");
  const char *timeout = value != NULL ? strstr (value, "timeout=") : NULL;
  uint32_t seconds;

  if (timeout == NULL)
    return connection->pool->options.idle_timeout_ms;
  seconds = (uint32_t)strtoul (timeout + strlen ("timeout="), NULL, 10);
  return MIN (seconds, 3600) * 1000;
}

bool
exchange_pool_can_keep (const connection_t *connection)
{
  return keep_alive_ms (connection) > IDLE_MARGIN_MS;
}

/** Closes the oldest idle connection to @a owner if there are as many as
 * allowed: the newest one can be used for longest. */
static void
make_room_for_idle (exchange_pool_t *pool, uint64_t owner)
{
  connection_t *oldest = NULL;
  uint32_t count = 0;

  for (guint i = 0; i < pool->idle->len; i++)
    {
      connection_t *connection = g_ptr_array_index (pool->idle, i);

      if (connection->owner != owner)
        continue;
      if (oldest == NULL)
        oldest = connection;
      count++;
    }
  if (count >= MAX_IDLE_CONNECTIONS)
    talloc_free (oldest);
}

void
exchange_pool_keep (connection_t *connection)
{
  connection->idle_until_ms
      = clock_mono_ms () + keep_alive_ms (connection) - IDLE_MARGIN_MS;
  make_room_for_idle (connection->pool, connection->owner);
  g_ptr_array_add (connection->pool->idle, connection);
}

/** Returns whether the upstream has sent bytes while the connection was idle,
 * also such as the event loop has not read yet. */
static bool
has_received_bytes (const connection_t *connection)
{
  struct bufferevent *stream = connection->stream;
  int waiting_bytes = 0;

  return evbuffer_get_length (bufferevent_get_input (stream)) > 0
         || (ioctl (bufferevent_getfd (stream), FIONREAD, &waiting_bytes) == 0
             && waiting_bytes > 0);
}

connection_t *
exchange_pool_take (exchange_pool_t *pool, uint64_t owner)
{
  uint64_t now_ms = clock_mono_ms ();

  for (guint i = pool->idle->len; i-- > 0;)
    {
      connection_t *connection = g_ptr_array_index (pool->idle, i);

      if (connection->owner != owner || connection->idle_until_ms <= now_ms
          || has_received_bytes (connection))
        continue;
      g_ptr_array_remove_index (pool->idle, i);
      return connection;
    }
  return NULL;
}

/** Closes the idle connections to @a owner and those that have expired. */
static void
close_idle_connections (exchange_pool_t *pool, uint64_t owner, uint64_t now_ms)
{
  for (guint i = pool->idle->len; i-- > 0;)
    {
      connection_t *connection = g_ptr_array_index (pool->idle, i);

      if (connection->owner == owner || connection->idle_until_ms <= now_ms)
        talloc_free (connection);
    }
}

void
exchange_pool_close_idle (exchange_pool_t *pool, uint64_t owner)
{
  close_idle_connections (pool, owner, 0);
}

void
exchange_pool_close_all_idle (exchange_pool_t *pool)
{
  close_idle_connections (pool, 0, UINT64_MAX);
}

static void
on_sweep (evutil_socket_t fd, short what, void *context)
{
  close_idle_connections (context, 0, clock_mono_ms ());
}

static int
free_pool (exchange_pool_t *pool)
{
  event_free (pool->sweep);
  return 0;
}

exchange_pool_t *
exchange_pool_new (void *parent, const exchange_pool_options_t *options)
{
  exchange_pool_t *pool = talloc_zero (parent, exchange_pool_t);
  struct timeval interval = { .tv_usec = SWEEP_INTERVAL_MS * 1000 };

  pool->options = *options;
  pool->idle = g_ptr_array_new ();
  pool->sweep = event_new (options->base, -1, EV_PERSIST, on_sweep, pool);
  event_add (pool->sweep, &interval);
  talloc_set_destructor (pool, free_pool);
  return pool;
}
