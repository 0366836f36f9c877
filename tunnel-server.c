#include "tunnel-server.h"

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
#include "socket-watch.h"
#include "tunnel-frames.h"
#define LOG_PART "tunnel"
#include "logging.h"

#define MAX_HEAD_BYTES     256
#define MAX_ADDRESS_BYTES  64
#define HEAD_TIMEOUT_MS    1000
#define CONNECT_TIMEOUT_MS 400
/** Longest pause in writing to an upstream whose data has ended. */
#define LATE_WRITE_TIMEOUT_MS 1000
/** Bytes held in each direction for a receiver that is slow to read. */
#define MAX_HELD_BYTES (64u * 1024)
/** Time without bytes after which the tunnel of a caller that gets no frames
 * counts as idle. */
#define IDLE_MS  1500
#define HEAD_END "\r\n\r\n"

static const socket_watch_t tunnel_watch
    = { .user_timeout_ms = 1500, .idle_s = 1, .interval_s = 1, .probes = 2 };

typedef struct
{
  tunnel_server_t *server;
  struct bufferevent *caller;   /* the other instance */
  struct bufferevent *upstream; /* NULL before the request is read */
  uint64_t key;
  bool is_connected;
  bool is_framed;      /* the caller gets frames */
  bool is_refused;     /* an error answer is being written */
  bool is_end_sent;    /* so is the message of the end */
  bool is_broken;      /* the upstream broke off, the caller is being told */
  bool upstream_ended; /* no more data comes from the upstream */
  uint64_t passed_ms;  /* when bytes were last passed on */
  bool is_write_late;  /* it has ended, and takes no data any more */
} tunnel_t;

struct tunnel_server
{
  tunnel_server_options_t options;
  struct evconnlistener *listener;
  GPtrArray *tunnels; /* tunnel_t, children of server */
  bool is_stopping;
  metric_t *opened;
};

static int
free_tunnel (tunnel_t *tunnel)
{
  g_ptr_array_remove_fast (tunnel->server->tunnels, tunnel);
  bufferevent_free (tunnel->caller);
  if (tunnel->upstream != NULL)
    bufferevent_free (tunnel->upstream);
  return 0;
}

/** Makes the close of a socket a reset. */
static void
set_reset_on_close (struct bufferevent *stream)
{
  struct linger linger = { .l_onoff = 1, .l_linger = 0 };

  setsockopt (bufferevent_getfd (stream), SOL_SOCKET, SO_LINGER, &linger,
              sizeof linger);
}

static void
set_timeout (struct bufferevent *stream, uint32_t timeout_ms)
{
  struct timeval timeout = timeval_from_ms (timeout_ms);

  bufferevent_set_timeouts (stream, &timeout, &timeout);
}

/** Ends a tunnel that has failed on one side: the other side is to see a
 * failure, too. */
static void
reset_tunnel (tunnel_t *tunnel)
{
  set_reset_on_close (tunnel->caller);
  if (tunnel->upstream != NULL)
    set_reset_on_close (tunnel->upstream);
  talloc_free (tunnel);
}

/** Ends a tunnel whose upstream broke off. */
static void
break_tunnel (tunnel_t *tunnel)
{
  if (!tunnel->is_framed || tunnel->is_end_sent)
    {
      reset_tunnel (tunnel);
      return;
    }
  tunnel->is_broken = true;
  bufferevent_disable (tunnel->upstream, EV_READ | EV_WRITE);
  bufferevent_disable (tunnel->caller, EV_READ);
  set_timeout (tunnel->caller, LATE_WRITE_TIMEOUT_MS);
  tunnel_frames_write_end (bufferevent_get_output (tunnel->caller),
                           TUNNEL_FRAMES_BROKEN);
}

/** Answers CONNECT with an error and closes the connection. */
static void
refuse (tunnel_t *tunnel, tunnel_status_t status)
{
  tunnel->is_refused = true;
  bufferevent_disable (tunnel->caller, EV_READ);
  evbuffer_add_printf (bufferevent_get_output (tunnel->caller),
                       "HTTP/1.1 %d Refused\r\nContent-Length: 0" HEAD_END,
                       (int)status);
}

static struct bufferevent *
other_side (const tunnel_t *tunnel, const struct bufferevent *stream)
{
  return stream == tunnel->caller ? tunnel->upstream : tunnel->caller;
}

static bool
is_all_written (struct bufferevent *stream)
{
  return evbuffer_get_length (bufferevent_get_output (stream)) == 0;
}

/** Passes the end of the upstream's data on once that is written, and what was
 * received for the upstream: only a write shows whether it has died. */
static void
end_if_written (tunnel_t *tunnel)
{
  if (!tunnel->upstream_ended || !is_all_written (tunnel->caller)
      || !(is_all_written (tunnel->upstream) || tunnel->is_write_late))
    return;
  if (!tunnel->is_framed || tunnel->is_end_sent)
    {
      shutdown (bufferevent_getfd (tunnel->caller), SHUT_WR);
      return;
    }
  tunnel->is_end_sent = true;
  tunnel_frames_write_end (bufferevent_get_output (tunnel->caller),
                           TUNNEL_FRAMES_END);
}

/** Passes bytes on. Reading pauses while the receiver is slow. */
static void
pass_on (tunnel_t *tunnel, struct bufferevent *from)
{
  struct bufferevent *to = other_side (tunnel, from);
  struct evbuffer *out = bufferevent_get_output (to);

  if (tunnel->is_framed && from == tunnel->upstream)
    tunnel_frames_write (out, bufferevent_get_input (from));
  else
    evbuffer_add_buffer (out, bufferevent_get_input (from));
  tunnel->passed_ms = clock_mono_ms ();
  if (evbuffer_get_length (out) >= MAX_HELD_BYTES)
    bufferevent_disable (from, EV_READ);
}

static void
on_readable (struct bufferevent *stream, void *context)
{
  tunnel_t *tunnel = context;

  if (tunnel->is_connected)
    pass_on (tunnel, stream);
}

static void
on_written (struct bufferevent *stream, void *context)
{
  tunnel_t *tunnel = context;

  if (tunnel->is_broken && !is_all_written (tunnel->caller))
    return;
  if (tunnel->is_refused || tunnel->is_broken)
    {
      talloc_free (tunnel);
      return;
    }
  if (!tunnel->is_connected)
    return;
  end_if_written (tunnel);
  if (stream == tunnel->upstream || !tunnel->upstream_ended)
    bufferevent_enable (other_side (tunnel, stream), EV_READ);
}

/** Tells the caller that this instance is going to stop: it closes the tunnel
 * once its request is answered. */
static void
tell_stop (tunnel_t *tunnel)
{
  if (tunnel->is_framed && tunnel->is_connected && !tunnel->is_end_sent
      && !tunnel->is_broken)
    tunnel_frames_write_stop (bufferevent_get_output (tunnel->caller));
}

static void
on_upstream_connected (tunnel_t *tunnel)
{
  const tunnel_server_options_t *options = &tunnel->server->options;

  options->on_connect (tunnel->key, true, options->context);
  tunnel->is_connected = true;
  bufferevent_set_timeouts (tunnel->upstream, NULL, NULL);
  evbuffer_add_printf (bufferevent_get_output (tunnel->caller),
                       "HTTP/1.1 200 OK%s" HEAD_END,
                       tunnel->is_framed ? "\r\n" TUNNEL_FRAMES_FIELD : "");
  if (tunnel->server->is_stopping)
    tell_stop (tunnel);
  bufferevent_enable (tunnel->caller, EV_READ);
  pass_on (tunnel, tunnel->caller);
}

static void
on_connect_failed (tunnel_t *tunnel)
{
  const tunnel_server_options_t *options = &tunnel->server->options;

  options->on_connect (tunnel->key, false, options->context);
  refuse (tunnel, options->may_relay (options->context) ? TUNNEL_NOT_CONNECTED
                                                        : TUNNEL_UNAVAILABLE);
}

static void
on_upstream_ended (tunnel_t *tunnel)
{
  struct timeval timeout = timeval_from_ms (LATE_WRITE_TIMEOUT_MS);

  tunnel->upstream_ended = true;
  bufferevent_set_timeouts (tunnel->upstream, NULL, &timeout);
  end_if_written (tunnel);
}

static void
on_upstream_event (struct bufferevent *stream, short what, void *context)
{
  tunnel_t *tunnel = context;

  if ((what & BEV_EVENT_CONNECTED) != 0)
    on_upstream_connected (tunnel);
  else if (!tunnel->is_connected)
    on_connect_failed (tunnel);
  else if (what == (BEV_EVENT_EOF | BEV_EVENT_READING))
    on_upstream_ended (tunnel);
  else if (tunnel->upstream_ended && (what & BEV_EVENT_TIMEOUT) != 0)
    {
      tunnel->is_write_late = true;
      end_if_written (tunnel);
    }
  else
    break_tunnel (tunnel);
}

static void
connect_upstream (tunnel_t *tunnel, const char *address)
{
  struct sockaddr_storage peer;
  int peer_bytes = sizeof peer;

  tunnel->upstream = bufferevent_socket_new (tunnel->server->options.base, -1,
                                             BEV_OPT_CLOSE_ON_FREE
                                                 | BEV_OPT_DEFER_CALLBACKS);
  bufferevent_setcb (tunnel->upstream, on_readable, on_written,
                     on_upstream_event, tunnel);
  set_timeout (tunnel->upstream, CONNECT_TIMEOUT_MS);
  bufferevent_enable (tunnel->upstream, EV_READ | EV_WRITE);
  if (evutil_parse_sockaddr_port (address, (struct sockaddr *)&peer,
                                  &peer_bytes)
          != 0
      || bufferevent_socket_connect (tunnel->upstream, (struct sockaddr *)&peer,
                                     peer_bytes)
             != 0)
    bufferevent_trigger_event (tunnel->upstream, BEV_EVENT_ERROR,
                               BEV_TRIG_DEFER_CALLBACKS);
  else
    socket_watch (bufferevent_getfd (tunnel->upstream), &tunnel_watch);
}

/** Handles the request for a tunnel. */
static void
open_tunnel (tunnel_t *tunnel, const char *head)
{
  const tunnel_server_options_t *options = &tunnel->server->options;
  char address[MAX_ADDRESS_BYTES];

  if (sscanf (head, "CONNECT %63s HTTP/1.1\r\n", address) != 1)
    {
      refuse (tunnel, TUNNEL_BAD_REQUEST);
      return;
    }
  if (tunnel->server->tunnels->len > options->max_tunnels
      || !options->may_relay (options->context))
    {
      refuse (tunnel, TUNNEL_UNAVAILABLE);
      return;
    }
  tunnel->is_framed = strstr (head, "\r\n" TUNNEL_FRAMES_FIELD) != NULL;
  tunnel->key = options->find_upstream (address, options->context);
  if (tunnel->key == 0)
    {
      refuse (tunnel, TUNNEL_UNKNOWN_ADDRESS);
      return;
    }
  if (tunnel->server->opened != NULL)
    metric_add (tunnel->server->opened, 1);
  bufferevent_set_timeouts (tunnel->caller, NULL, NULL);
  connect_upstream (tunnel, address);
}

static void
on_caller_readable (struct bufferevent *stream, void *context)
{
  tunnel_t *tunnel = context;
  struct evbuffer *in = bufferevent_get_input (stream);
  struct evbuffer_ptr end
      = evbuffer_search (in, HEAD_END, strlen (HEAD_END), NULL);
  char head[MAX_HEAD_BYTES + 1];
  size_t head_bytes;

  if (tunnel->is_connected)
    {
      pass_on (tunnel, stream);
      return;
    }
  if (tunnel->upstream != NULL || tunnel->is_refused)
    return;
  if (end.pos > MAX_HEAD_BYTES
      || (end.pos < 0 && evbuffer_get_length (in) > MAX_HEAD_BYTES))
    {
      refuse (tunnel, TUNNEL_BAD_REQUEST);
      return;
    }
  if (end.pos < 0)
    return;
  head_bytes = (size_t)end.pos;
  evbuffer_remove (in, head, head_bytes);
  evbuffer_drain (in, strlen (HEAD_END));
  head[head_bytes] = '\0';
  open_tunnel (tunnel, head);
}

static void
on_caller_event (struct bufferevent *stream, short what, void *context)
{
  tunnel_t *tunnel = context;

  /* The other instance never ends its sending side alone: it has closed the
     connection, and the upstream is to see that. */
  talloc_free (tunnel);
}

static void
on_accept (struct evconnlistener *listener,
           evutil_socket_t fd,
           struct sockaddr *address,
           int address_bytes,
           void *context)
{
  tunnel_server_t *server = context;
  tunnel_t *tunnel = talloc_zero (server, tunnel_t);

  tunnel->server = server;
  tunnel->caller = bufferevent_socket_new (server->options.base, fd,
                                           BEV_OPT_CLOSE_ON_FREE
                                               | BEV_OPT_DEFER_CALLBACKS);
  g_ptr_array_add (server->tunnels, tunnel);
  talloc_set_destructor (tunnel, free_tunnel);
  bufferevent_setcb (tunnel->caller, on_caller_readable, on_written,
                     on_caller_event, tunnel);
  set_timeout (tunnel->caller, HEAD_TIMEOUT_MS);
  bufferevent_enable (tunnel->caller, EV_READ | EV_WRITE);
  socket_watch (fd, &tunnel_watch);
}

static double
read_open (void *context)
{
  return tunnel_server_open (context);
}

static int
free_server (tunnel_server_t *server)
{
  /* Callers that get no frames see by the reset that an answer broke off. */
  while (server->tunnels->len > 0)
    reset_tunnel (g_ptr_array_index (server->tunnels, 0));
  g_ptr_array_free (server->tunnels, TRUE);
  if (server->listener != NULL)
    evconnlistener_free (server->listener);
  return 0;
}

static bool
start_to_listen (tunnel_server_t *server)
{
  struct sockaddr_storage address;
  int address_bytes = sizeof address;

  if (evutil_parse_sockaddr_port (server->options.listen,
                                  (struct sockaddr *)&address, &address_bytes)
      == 0)
    server->listener = evconnlistener_new_bind (
        server->options.base, on_accept, server,
        LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_EXEC, -1,
        (struct sockaddr *)&address, address_bytes);
  if (server->listener == NULL)
    print_error ("cannot listen on '%s' for other instances",
                 server->options.listen);
  return server->listener != NULL;
}

tunnel_server_t *
tunnel_server_new (void *parent, const tunnel_server_options_t *options)
{
  tunnel_server_t *server = talloc_zero (parent, tunnel_server_t);

  server->options = *options;
  server->tunnels = g_ptr_array_new ();
  talloc_set_destructor (server, free_server);
  if (!start_to_listen (server))
    {
      talloc_free (server);
      return NULL;
    }
  if (options->metrics == NULL)
    return server;
  server->opened = metrics_counter (
      options->metrics, "lwm_tunnels_total",
      "Connections to upstreams opened for other instances.", NULL);
  metrics_gauge_read (options->metrics, "lwm_tunnels_open",
                      "Connections to upstreams relayed now.", NULL, read_open,
                      server);
  return server;
}

uint32_t
tunnel_server_open (const tunnel_server_t *server)
{
  return server->tunnels->len;
}

void
tunnel_server_stop (tunnel_server_t *server)
{
  server->is_stopping = true;
  for (guint i = 0; i < server->tunnels->len; i++)
    tell_stop (g_ptr_array_index (server->tunnels, i));
}

/** Returns whether a request goes on over a tunnel. A caller that was told of
 * the stop has closed the others. */
static bool
is_busy (const tunnel_t *tunnel, uint64_t now_ms)
{
  return (tunnel->is_framed && tunnel->is_connected)
         || tunnel->passed_ms + IDLE_MS > now_ms;
}

bool
tunnel_server_is_busy (const tunnel_server_t *server, uint64_t now_ms)
{
  for (guint i = 0; i < server->tunnels->len; i++)
    if (is_busy (g_ptr_array_index (server->tunnels, i), now_ms))
      return true;
  return false;
}
