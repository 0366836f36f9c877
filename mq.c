#include "mq.h"

#include <errno.h>
#include <event2/event.h>
#include <stdio.h>
#include <string.h>
#include <talloc.h>
#include <zmq.h>

#include "base.h"

#define MAX_FRAMES             8
#define DEFAULT_QUEUE_MESSAGES 1000
#define RECONNECT_MS           100
#define RECONNECT_MAX_MS       300
#define CONNECT_TIMEOUT_MS     500
#define HEARTBEAT_MS           700
/* Time without heartbeats or TCP acknowledgements after which a connection is
 * closed. */
#define PEER_TIMEOUT_MS 1400
/* Messages handled in one callback, so that other events get a turn. */
#define MAX_DRAINED_MESSAGES 256

struct mq
{
  void *socket;
  struct event *readable;
  struct event *drain_again; /* drains in the next loop iteration, after a send
                                or after MAX_DRAINED_MESSAGES; see
                                schedule_drain() */
  mq_message_cb_t on_message;
  void *context;
};

static void *zmq_context;

static void *
shared_context (void)
{
  if (zmq_context == NULL)
    {
      zmq_context = zmq_ctx_new ();
      if (zmq_context == NULL)
        die ("cannot create a ZeroMQ context: %s", zmq_strerror (errno));
      zmq_ctx_set (zmq_context, ZMQ_IPV6, 0);
    }
  return zmq_context;
}

static size_t
receive_frames (mq_t *mq, zmq_msg_t *parts, mq_frame_t *frames)
{
  size_t count = 0;
  int more = 1;

  while (more)
    {
      zmq_msg_t *part = &parts[count];

      zmq_msg_init (part);
      if (zmq_msg_recv (part, mq->socket, ZMQ_DONTWAIT) < 0)
        {
          zmq_msg_close (part);
          break;
        }
      more = zmq_msg_more (part);
      frames[count].data = zmq_msg_data (part);
      frames[count].size_bytes = zmq_msg_size (part);
      /* The last slot receives all further frames, which are dropped. */
      if (count < MAX_FRAMES - 1)
        count++;
      else
        zmq_msg_close (part);
    }
  return count;
}

/** Drains the socket in the next iteration of the event loop. A timer, because
 * an event that is made active runs in the present iteration: the loop would
 * reach no other socket and no timer while messages keep arriving. */
static void
schedule_drain (mq_t *mq)
{
  struct timeval now = { 0 };

  if (!event_pending (mq->drain_again, EV_TIMEOUT, NULL))
    event_add (mq->drain_again, &now);
}

/** Handles received messages, at most MAX_DRAINED_MESSAGES in one call. */
static void
receive_messages (mq_t *mq)
{
  zmq_msg_t parts[MAX_FRAMES];
  mq_frame_t frames[MAX_FRAMES];
  int budget = MAX_DRAINED_MESSAGES;
  int events = 0;
  size_t events_size = sizeof events;

  while (budget-- > 0)
    {
      size_t count;

      if (zmq_getsockopt (mq->socket, ZMQ_EVENTS, &events, &events_size) != 0
          || (events & ZMQ_POLLIN) == 0)
        return;
      count = receive_frames (mq, parts, frames);
      if (count > 0 && mq->on_message != NULL)
        mq->on_message (frames, count, mq->context);
      for (size_t i = 0; i < count; i++)
        zmq_msg_close (&parts[i]);
    }
  schedule_drain (mq);
}

static void
on_readable (evutil_socket_t fd, short what, void *arg)
{
  receive_messages (arg);
}

static int
free_mq (mq_t *mq)
{
  if (mq->readable != NULL)
    event_free (mq->readable);
  if (mq->drain_again != NULL)
    event_free (mq->drain_again);
  if (mq->socket != NULL)
    zmq_close (mq->socket);
  return 0;
}

static void
set_int_option (mq_t *mq, int option, int value)
{
  zmq_setsockopt (mq->socket, option, &value, sizeof value);
}

static bool
set_up_socket (mq_t *mq, const mq_options_t *options)
{
  int queue = options->queue_messages > 0 ? (int)options->queue_messages
                                          : DEFAULT_QUEUE_MESSAGES;
  char endpoint[96];

  set_int_option (mq, ZMQ_LINGER, 0);
  set_int_option (mq, ZMQ_SNDHWM, queue);
  set_int_option (mq, ZMQ_RCVHWM, queue);
  set_int_option (mq, ZMQ_RECONNECT_IVL, RECONNECT_MS);
  set_int_option (mq, ZMQ_RECONNECT_IVL_MAX, RECONNECT_MAX_MS);
  set_int_option (mq, ZMQ_CONNECT_TIMEOUT, CONNECT_TIMEOUT_MS);
  /* A peer or a network can fail without a reset of the TCP connection, which
   * would then stay open for good. */
  set_int_option (mq, ZMQ_TCP_MAXRT, PEER_TIMEOUT_MS);
  set_int_option (mq, ZMQ_HEARTBEAT_IVL, HEARTBEAT_MS);
  set_int_option (mq, ZMQ_HEARTBEAT_TIMEOUT, PEER_TIMEOUT_MS);
  if (options->type == ZMQ_ROUTER)
    {
      set_int_option (mq, ZMQ_ROUTER_MANDATORY, 1);
      set_int_option (mq, ZMQ_ROUTER_HANDOVER, 1);
    }
  if (options->identity != NULL)
    zmq_setsockopt (mq->socket, ZMQ_ROUTING_ID, options->identity,
                    strlen (options->identity));
  if (options->bind != NULL)
    {
      snprintf (endpoint, sizeof endpoint, "tcp://%s", options->bind);
      if (zmq_bind (mq->socket, endpoint) != 0)
        return false;
    }
  return options->connect == NULL || mq_connect (mq, options->connect);
}

mq_t *
mq_new (void *parent, const mq_options_t *options)
{
  mq_t *mq = talloc_zero (parent, mq_t);
  int fd = -1;
  size_t fd_size = sizeof fd;

  mq->on_message = options->on_message;
  mq->context = options->context;
  mq->socket = zmq_socket (shared_context (), options->type);
  if (mq->socket == NULL)
    die ("cannot create a ZeroMQ socket: %s", zmq_strerror (errno));
  talloc_set_destructor (mq, free_mq);
  if (!set_up_socket (mq, options))
    {
      int saved = errno;

      talloc_free (mq);
      errno = saved;
      return NULL;
    }
  zmq_getsockopt (mq->socket, ZMQ_FD, &fd, &fd_size);
  mq->drain_again = event_new (options->base, -1, 0, on_readable, mq);
  mq->readable
      = event_new (options->base, fd, EV_READ | EV_PERSIST, on_readable, mq);
  event_add (mq->readable, NULL);
  schedule_drain (mq);
  return mq;
}

bool
mq_connect (mq_t *mq, const char *address)
{
  char endpoint[96];

  snprintf (endpoint, sizeof endpoint, "tcp://%s", address);
  return zmq_connect (mq->socket, endpoint) == 0;
}

bool
mq_send (mq_t *mq, const mq_frame_t *frames, size_t count)
{
  bool sent = true;

  for (size_t i = 0; i < count && sent; i++)
    {
      int flags = ZMQ_DONTWAIT | (i + 1 < count ? ZMQ_SNDMORE : 0);

      sent = zmq_send (mq->socket, frames[i].data, frames[i].size_bytes, flags)
             >= 0;
    }
  /* A send can consume the edge of ZMQ_FD, so received messages would stay
   * unread; drain the socket in the next loop iteration. */
  schedule_drain (mq);
  return sent;
}
