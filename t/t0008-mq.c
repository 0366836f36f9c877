/*
 * A socket on which messages keep arriving faster than they are handled must
 * not keep the event loop from its timers and other sockets.
 */
#include <event2/event.h>
#include <glib.h>
#include <stdio.h>
#include <talloc.h>
#include <unistd.h>
#include <zmq.h>

#include "base.h"
#include "lib-address.h"
#include "mq.h"

#define CIRCULATING_MESSAGES 4000
#define TIMER_MS             50
/** Bound of the delay of a timer while messages arrive. */
#define TIMER_LATE_MS 500
#define GIVE_UP_MS    3000

typedef struct
{
  struct event_base *base;
  mq_t *receiver;
  mq_t *sender;
  uint64_t started_ms;
  uint64_t fired_ms; /* when the timer ran, or 0 */
  uint32_t received;
} flood_t;

static void
send_one (flood_t *flood)
{
  mq_frame_t frame = { .data = (const uint8_t *)"m", .size_bytes = 1 };

  mq_send (flood->sender, &frame, 1);
}

/** Replaces each message that was handled, so that there is always a next. */
static void
on_message (const mq_frame_t *frames, size_t count, void *context)
{
  flood_t *flood = context;

  flood->received++;
  send_one (flood);
  if (flood->fired_ms > 0 || clock_mono_ms () > flood->started_ms + GIVE_UP_MS)
    event_base_loopbreak (flood->base);
}

static void
on_timer (evutil_socket_t fd, short what, void *context)
{
  flood_t *flood = context;

  flood->fired_ms = clock_mono_ms ();
}

/* Guards against: a control instance that serves nobody after a common start,
 * because requests arrive without a pause and its loop never gets to its
 * elections, its other sockets and its timers (SHORT). */
static void
test_flood_leaves_timers_their_turn (void)
{
  flood_t flood = { .base = event_base_new (), .started_ms = clock_mono_ms () };
  void *parent = talloc_new (NULL);
  char address[32];
  mq_options_t receiver = { .base = flood.base,
                            .type = ZMQ_PULL,
                            .bind = address,
                            .queue_messages = CIRCULATING_MESSAGES,
                            .on_message = on_message,
                            .context = &flood };
  mq_options_t sender = { .base = flood.base,
                          .type = ZMQ_PUSH,
                          .connect = address,
                          .queue_messages = CIRCULATING_MESSAGES };
  struct timeval wait = timeval_from_ms (TIMER_MS);
  struct event *timer = event_new (flood.base, -1, 0, on_timer, &flood);

  choose_free_address (address);
  flood.receiver = mq_new (parent, &receiver);
  g_assert_nonnull (flood.receiver);
  flood.sender = mq_new (parent, &sender);
  for (uint32_t i = 0; i < CIRCULATING_MESSAGES; i++)
    send_one (&flood);
  event_add (timer, &wait);
  event_base_dispatch (flood.base);
  g_assert_cmpuint (flood.received, >, CIRCULATING_MESSAGES / 10);
  g_assert_cmpuint (flood.fired_ms, >, 0);
  g_assert_cmpuint (flood.fired_ms - flood.started_ms, <,
                    TIMER_MS + TIMER_LATE_MS);
  event_free (timer);
  talloc_free (parent);
  event_base_free (flood.base);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/mq/flood-leaves-timers-their-turn",
                   test_flood_leaves_timers_their_turn);
  return g_test_run ();
}
