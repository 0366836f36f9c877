#include "exchange-internal.h"

#include <errno.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <glib.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <talloc.h>

#include "base.h"
#include "socket-watch.h"
#include "tunnel-client.h"
#define LOG_PART "exchange"
#include "logging.h"

#define MAX_HEAD_BYTES (64u * 1024)
/** Ways to an upstream that are tried for one request. */
#define MAX_WAYS 4
/** Longest pause in writing a request whose answer has ended already. */
#define LATE_WRITE_TIMEOUT_MS 1000

/** Detects an unreachable upstream soon, as a request is waiting for it. */
static const socket_watch_t upstream_watch
    = { .user_timeout_ms = 1500, .idle_s = 1, .interval_s = 1, .probes = 2 };

static int
free_connection (connection_t *connection)
{
  g_ptr_array_remove (connection->pool->idle, connection);
  bufferevent_free (connection->stream);
  evbuffer_free (connection->unsent);
  evbuffer_free (connection->frame_bytes);
  return 0;
}

/** Reports the failure of the exchange and closes the connection. */
static void
fail_exchange (connection_t *connection, exchange_failure_t how)
{
  exchange_t *exchange = connection->exchange;

  connection->exchange = NULL;
  exchange->callbacks.on_failed (exchange, how, exchange->context);
  talloc_free (exchange);
  talloc_free (connection);
}

static exchange_failure_t
classify_failure (const connection_t *connection)
{
  if (!connection->is_connected)
    return EXCHANGE_NOT_SENT;
  return http_reader_has_head (connection->reader) ? EXCHANGE_BROKEN
                                                   : EXCHANGE_NO_ANSWER;
}

static void
on_head (void *context)
{
  connection_t *connection = context;
  exchange_t *exchange = connection->exchange;

  if (exchange != NULL)
    exchange->callbacks.on_head (exchange, exchange->context);
}

static void
on_body (const uint8_t *data, size_t size_bytes, void *context)
{
  connection_t *connection = context;
  exchange_t *exchange = connection->exchange;

  if (exchange != NULL)
    exchange->callbacks.on_body (exchange, data, size_bytes, exchange->context);
}

static bool
can_reuse_connection (const connection_t *connection)
{
  struct bufferevent *stream = connection->stream;

  return !connection->has_peer_closed && !connection->exchange->closes
         && !connection->frames.is_stopping
         && http_reader_keeps_alive (connection->reader)
         && evbuffer_get_length (bufferevent_get_input (stream)) == 0
         && evbuffer_get_length (connection->frame_bytes) == 0
         && evbuffer_get_length (bufferevent_get_output (stream)) == 0
         && exchange_pool_can_keep (connection);
}

static void
finish_exchange (connection_t *connection)
{
  exchange_t *exchange = connection->exchange;
  bool reuse = can_reuse_connection (connection);

  connection->exchange = NULL;
  exchange->callbacks.on_end (exchange, exchange->context);
  talloc_free (exchange);
  if (!reuse)
    {
      talloc_free (connection);
      return;
    }
  exchange_pool_keep (connection);
  http_reader_reset (connection->reader);
}

/** Writes the request once the connection to the upstream is there. */
static void
on_connected (connection_t *connection)
{
  connection->is_connected = true;
  bufferevent_set_timeouts (connection->stream, NULL, NULL);
  bufferevent_write_buffer (connection->stream, connection->unsent);
}

static void open_stream (connection_t *connection);

static void
record_direct (const connection_t *connection, bool is_connected)
{
  upstream_path_t *path = connection->pool->options.path;

  if (path != NULL && connection->relay == NULL)
    upstream_path_record (path, connection->owner, is_connected,
                          clock_mono_ms ());
}

/** Returns whether another way to the upstream may succeed after one failed. */
static bool
has_other_way (const connection_t *connection)
{
  const upstream_path_t *path = connection->pool->options.path;

  return path != NULL && connection->ways < MAX_WAYS
         && upstream_path_relay (path, connection->owner, clock_mono_ms ())
                != NULL;
}

/** Handles a connection that could not be established: tries another way, if
 * this one is at fault. */
static void
on_not_connected (connection_t *connection, bool is_way_at_fault)
{
  if (connection->exchange != NULL && is_way_at_fault
      && has_other_way (connection))
    {
      bufferevent_free (connection->stream);
      open_stream (connection);
      return;
    }
  if (connection->exchange != NULL)
    fail_exchange (connection, EXCHANGE_NOT_SENT);
  else
    talloc_free (connection);
}

static void
on_relay_failed (connection_t *connection)
{
  upstream_path_relay_failed (connection->pool->options.path, connection->relay,
                              clock_mono_ms ());
  on_not_connected (connection, true);
}

/** Reads the answer of a relay to the request for a tunnel. Returns whether the
 * connection to the upstream is there; else @a connection may be freed. */
static bool
read_relay_answer (connection_t *connection)
{
  struct evbuffer *in = bufferevent_get_input (connection->stream);
  tunnel_answer_t answer = tunnel_client_read (in, &connection->is_framed);

  switch (answer)
    {
    case TUNNEL_ANSWER_MORE:
      break;
    case TUNNEL_ANSWER_OPEN:
      on_connected (connection);
      break;
    case TUNNEL_ANSWER_NOT_CONNECTED:
      on_not_connected (connection, false);
      break;
    case TUNNEL_ANSWER_UNUSABLE:
      on_relay_failed (connection);
      break;
    }
  return answer == TUNNEL_ANSWER_OPEN;
}

/** Parses bytes of the answer. Returns whether it goes on; else @a connection
 * may be freed. */
static bool
read_answer (connection_t *connection, struct evbuffer *in)
{
  while (evbuffer_get_length (in) > 0)
    {
      size_t length = evbuffer_get_contiguous_space (in);
      const uint8_t *data = evbuffer_pullup (in, (ev_ssize_t)length);
      size_t used;
      http_reader_result_t result;

      connection->is_parsing = true;
      result = http_reader_feed (connection->reader, data, length, &used);
      connection->is_parsing = false;
      if (connection->exchange == NULL)
        {
          /* A callback has cancelled the exchange. */
          talloc_free (connection);
          return false;
        }
      evbuffer_drain (in, used);
      if (result == HTTP_READER_MORE)
        continue;
      if (result == HTTP_READER_END)
        finish_exchange (connection);
      else
        fail_exchange (connection, classify_failure (connection));
      return false;
    }
  return true;
}

static void on_closed (connection_t *connection);

/** Reads the frames of a relay, and what they say of the upstream's end. */
static void
read_frames (connection_t *connection)
{
  struct evbuffer *in = bufferevent_get_input (connection->stream);
  tunnel_frames_state_t state
      = tunnel_frames_read (&connection->frames, in, connection->frame_bytes);

  connection->has_peer_closed = state != TUNNEL_FRAMES_MORE;
  if (!read_answer (connection, connection->frame_bytes))
    return;
  if (state == TUNNEL_FRAMES_END && !connection->awaits_written)
    on_closed (connection);
  else if (state == TUNNEL_FRAMES_BROKEN)
    fail_exchange (connection, classify_failure (connection));
}

static void
on_readable (struct bufferevent *stream, void *context)
{
  connection_t *connection = context;

  if (connection->exchange == NULL)
    {
      /* A relay says so that it is going to stop, or the upstream's end. */
      if (connection->relay == NULL)
        log_info ("Closed an idle connection on which an upstream sent data.");
      talloc_free (connection);
      return;
    }
  if (!connection->is_connected && !read_relay_answer (connection))
    return;
  if (connection->is_framed)
    read_frames (connection);
  else
    read_answer (connection, bufferevent_get_input (stream));
}

/** Ends an answer that ended with its connection, once the request is written.
 * Only the next write shows whether the upstream takes the rest of the request,
 * or has died within its answer. */
static void
finish_after_request (connection_t *connection)
{
  struct timeval timeout = timeval_from_ms (LATE_WRITE_TIMEOUT_MS);

  if (evbuffer_get_length (bufferevent_get_output (connection->stream)) == 0)
    {
      finish_exchange (connection);
      return;
    }
  connection->awaits_written = true;
  bufferevent_set_timeouts (connection->stream, NULL, &timeout);
}

static void
on_written (struct bufferevent *stream, void *context)
{
  connection_t *connection = context;

  if (connection->awaits_written)
    finish_exchange (connection);
}

static void
on_closed (connection_t *connection)
{
  http_reader_result_t result = http_reader_end_input (connection->reader);

  connection->has_peer_closed = true;
  if (connection->exchange == NULL)
    talloc_free (connection);
  else if (result == HTTP_READER_END)
    finish_after_request (connection);
  else
    fail_exchange (connection, classify_failure (connection));
}

/** Returns whether an error shows that the peer cannot be reached, which says
 * nothing of its process. */
static bool
is_unreachable (int error)
{
  return error == ETIMEDOUT || error == EHOSTUNREACH || error == ENETUNREACH;
}

/** Returns whether an event is the orderly end of the peer's data. A write that
 * meets a reset takes the error from the socket, so that a read after it finds
 * the end of the data. The deferred callback gets both as one event. */
static bool
is_orderly_end (short what)
{
  return (what & BEV_EVENT_EOF) != 0
         && (what & (BEV_EVENT_ERROR | BEV_EVENT_WRITING)) == 0;
}

/** Handles the end of the connection to a relay. Without a word of the relay on
 * the upstream's end, it says nothing of the upstream: the relay has stopped or
 * was killed, or is of a version that does not tell. */
static void
on_relay_closed (connection_t *connection)
{
  if (connection->awaits_written)
    return;
  if (connection->exchange == NULL)
    talloc_free (connection);
  else
    fail_exchange (connection, classify_failure (connection));
}

/** Handles a connection to the upstream or its relay that was not
 * established. */
static void
on_connect_failed (connection_t *connection, bool is_timeout)
{
  const upstream_path_t *path = connection->pool->options.path;

  if (connection->relay != NULL)
    {
      on_relay_failed (connection);
      return;
    }
  /* Idle ones to that upstream may be dead without a sign of it. */
  exchange_pool_close_idle (connection->pool, connection->owner);
  record_direct (connection, false);
  /* After a timeout, another upstream is the better choice while there is one
     that can be reached. */
  on_not_connected (
      connection, !is_timeout || (path != NULL && upstream_path_is_cut (path)));
}

static void
on_event (struct bufferevent *stream, short what, void *context)
{
  connection_t *connection = context;

  if ((what & BEV_EVENT_CONNECTED) != 0)
    {
      record_direct (connection, true);
      if (connection->relay == NULL)
        on_connected (connection);
      return;
    }
  if (!connection->is_connected)
    on_connect_failed (connection, (what & BEV_EVENT_TIMEOUT) != 0);
  else if (connection->exchange == NULL)
    talloc_free (connection);
  else if (is_orderly_end (what) && connection->relay != NULL)
    on_relay_closed (connection);
  else if (is_orderly_end (what))
    on_closed (connection);
  else if (connection->awaits_written && (what & BEV_EVENT_TIMEOUT) != 0)
    finish_exchange (connection);
  else
    {
      connection->has_peer_closed = connection->relay == NULL
                                    && (what & BEV_EVENT_ERROR) != 0
                                    && !is_unreachable (EVUTIL_SOCKET_ERROR ());
      fail_exchange (connection, classify_failure (connection));
    }
}

static void
set_receive_buffer (const connection_t *connection)
{
  int size = (int)connection->pool->options.receive_buffer_bytes;

  if (size > 0)
    setsockopt (bufferevent_getfd (connection->stream), SOL_SOCKET, SO_RCVBUF,
                &size, sizeof size);
}

/** Opens a socket to the upstream, or to the relay through which it is
 * reached. */
static void
open_stream (connection_t *connection)
{
  const exchange_pool_options_t *options = &connection->pool->options;
  struct timeval timeout = timeval_from_ms (options->connect_timeout_ms);
  struct sockaddr_storage peer;
  int peer_bytes = sizeof peer;
  const char *address;

  connection->ways++;
  connection->relay = options->path != NULL ? upstream_path_relay (
                          options->path, connection->owner, clock_mono_ms ())
                                            : NULL;
  address = connection->relay != NULL ? connection->relay : connection->address;
  connection->stream = bufferevent_socket_new (
      options->base, -1, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS);
  bufferevent_setcb (connection->stream, on_readable, on_written, on_event,
                     connection);
  bufferevent_set_timeouts (connection->stream, &timeout, &timeout);
  bufferevent_enable (connection->stream, EV_READ | EV_WRITE);
  if (connection->relay != NULL)
    tunnel_client_ask (bufferevent_get_output (connection->stream),
                       connection->address);
  if (evutil_parse_sockaddr_port (address, (struct sockaddr *)&peer,
                                  &peer_bytes)
          != 0
      || bufferevent_socket_connect (connection->stream,
                                     (struct sockaddr *)&peer, peer_bytes)
             != 0)
    {
      log_warn ("Cannot connect to an upstream. address=%s", address);
      bufferevent_trigger_event (connection->stream, BEV_EVENT_ERROR,
                                 BEV_TRIG_DEFER_CALLBACKS);
    }
  else
    {
      socket_watch (bufferevent_getfd (connection->stream), &upstream_watch);
      set_receive_buffer (connection);
    }
}

static connection_t *
open_connection (exchange_pool_t *pool, const char *address, uint64_t owner)
{
  connection_t *connection = talloc_zero (pool, connection_t);
  http_reader_options_t reader_options = { .kind = HTTP_READER_RESPONSE,
                                           .max_head_bytes = MAX_HEAD_BYTES,
                                           .on_head = on_head,
                                           .on_body = on_body,
                                           .context = connection };

  connection->pool = pool;
  connection->owner = owner;
  connection->address = talloc_strdup (connection, address);
  connection->unsent = evbuffer_new ();
  connection->frame_bytes = evbuffer_new ();
  connection->reader = http_reader_new (connection, &reader_options);
  open_stream (connection);
  talloc_set_destructor (connection, free_connection);
  return connection;
}

static void
write_request (connection_t *connection, const exchange_options_t *options)
{
  struct evbuffer *out = connection->is_connected
                             ? bufferevent_get_output (connection->stream)
                             : connection->unsent;
  size_t body_bytes = options->shared_body != NULL
                          ? options->shared_body->size_bytes
                          : options->body_bytes;

  evbuffer_add_printf (out, "%s %s HTTP/1.1\r\n", options->method,
                       options->target);
  for (size_t i = 0; i < options->fields->count; i++)
    evbuffer_add_printf (out, "%s: %s\r\n", options->fields->items[i].name,
                         options->fields->items[i].value);
  if (body_bytes > 0 || options->always_send_length)
    evbuffer_add_printf (out, "Content-Length: %zu\r\n", body_bytes);
  evbuffer_add (out, "\r\n", 2);
  if (options->shared_body != NULL)
    shared_bytes_add_to (options->shared_body, out);
  else
    evbuffer_add (out, options->body, body_bytes);
  if (strcmp (options->method, "HEAD") == 0)
    http_reader_expect_no_body (connection->reader);
}

exchange_t *
exchange_send (exchange_pool_t *pool, const exchange_options_t *options)
{
  connection_t *connection = options->use_new_connection
                                 ? NULL
                                 : exchange_pool_take (pool, options->owner);
  exchange_t *exchange;

  if (connection == NULL)
    connection = open_connection (pool, options->address, options->owner);
  exchange = talloc_zero (pool, exchange_t);
  exchange->connection = connection;
  exchange->callbacks = *options->callbacks;
  exchange->context = options->context;
  exchange->closes = options->close_after;
  connection->exchange = exchange;
  write_request (connection, options);
  return exchange;
}

void
exchange_cancel (exchange_t *exchange)
{
  connection_t *connection = exchange->connection;

  talloc_free (exchange);
  connection->exchange = NULL;
  /* If a reader callback cancels, on_readable() frees the connection. */
  if (!connection->is_parsing)
    talloc_free (connection);
}

void
exchange_close_after (exchange_t *exchange)
{
  exchange->closes = true;
}

void
exchange_set_paused (exchange_t *exchange, bool is_paused)
{
  connection_t *connection = exchange->connection;

  if (is_paused)
    bufferevent_disable (connection->stream, EV_READ);
  else if (!connection->awaits_written)
    bufferevent_enable (connection->stream, EV_READ);
}

bool
exchange_was_closed (const exchange_t *exchange)
{
  return exchange->connection->has_peer_closed;
}

uint32_t
exchange_status (const exchange_t *exchange)
{
  return http_reader_status (exchange->connection->reader);
}

const char *
exchange_reason (const exchange_t *exchange)
{
  return http_reader_reason (exchange->connection->reader);
}

const http_fields_t *
exchange_fields (const exchange_t *exchange)
{
  return http_reader_fields (exchange->connection->reader);
}
