/*
 * Memory reserved at engines: it must be released when its request ends, also
 * when the engine leaves orders unanswered or carries them out late.
 */
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <glib.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <talloc.h>

#include "base.h"
#include "engine-memory.h"
#include "lib-address.h"
#include "lib-wait.h"
#include "logging.h"
#include "zone-placement.h"

/** Time after its last use after which memory counts as leaked. Memory that was
 * never used has longer. */
#define MEMORY_FREE_MS 4000
/** Time after which a silent instance of the own zone is taken for lost, with
 * the interval at which that is checked. */
#define INSTANCE_LOST_MS 2750

/** An engine that takes orders. */
typedef struct
{
  struct event_base *base;
  uint32_t reserves;
  uint32_t releases;
  uint32_t silent; /* number of first releases without an answer */
  int status;
  /* The engine leaves reserving orders unanswered and carries them out after
   * this time; 0: it answers them at once. */
  uint32_t late_ms;
  uint32_t late_from;     /* the first reserving order that is late */
  uint32_t answer_every;  /* loses the other reserving orders; 0: none */
  uint32_t round_trip_ms; /* of the link to the engine */
  GSList *slow_orders;    /* slow_order_t on their way over the link */
  bool is_held;
  uint32_t lease_ms;      /* of the last order that reserves */
  uint64_t held_until_ms; /* end of the lease, from the arrival of its order */
} engine_t;

/** An order that is carried out late. */
typedef struct
{
  engine_t *engine;
  uint64_t held_until_ms;
} late_order_t;

static void
on_late_order (evutil_socket_t fd, short what, void *context)
{
  late_order_t *order = context;

  order->engine->is_held = true;
  order->engine->held_until_ms = order->held_until_ms;
  g_free (order);
}

/** Returns whether memory is set aside: reserved, and its lease goes on. */
static bool
is_set_aside (const engine_t *engine)
{
  return engine->is_held && clock_mono_ms () < engine->held_until_ms;
}

/** Handles an order that reserves; returns whether it is answered. */
static bool
take_reservation (engine_t *engine, const char *text)
{
  uint64_t held_until_ms;

  engine->reserves++;
  g_assert_cmpint (sscanf (text, "reserve %*s %*u %u", &engine->lease_ms), ==,
                   1);
  held_until_ms = clock_mono_ms () + engine->lease_ms;
  if (engine->answer_every > 0 && engine->reserves % engine->answer_every != 1)
    return false;
  if (engine->late_ms > 0 && engine->reserves >= engine->late_from)
    {
      late_order_t *order = g_new (late_order_t, 1);
      struct timeval late = timeval_from_ms (engine->late_ms);

      *order = (late_order_t){ engine, held_until_ms };
      event_base_once (engine->base, -1, EV_TIMEOUT, on_late_order, order,
                       &late);
      return false;
    }
  engine->is_held = engine->status == 200;
  engine->held_until_ms = held_until_ms;
  return true;
}

/** An order on its way over a slow link. */
typedef struct
{
  engine_t *engine;
  struct evhttp_request *request;
  struct event *timer;
  bool has_arrived;
} slow_order_t;

/** Returns whether the sender has given up the connection of an order. */
static bool
is_given_up (const slow_order_t *order)
{
  evutil_socket_t socket
      = bufferevent_getfd (evhttp_connection_get_bufferevent (
          evhttp_request_get_connection (order->request)));
  char byte;

  return recv (socket, &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
}

static void
free_slow_order (gpointer data)
{
  slow_order_t *order = data;

  event_free (order->timer);
  g_free (order);
}

/** Carries out a reserving order once its connection is set up, and answers it
 * after another round trip. Nothing is sent on a connection that is given up
 * before. */
static void
on_slow_order (evutil_socket_t fd, short what, void *context)
{
  slow_order_t *order = context;
  engine_t *engine = order->engine;
  struct timeval wait = timeval_from_ms (engine->round_trip_ms);

  if (!order->has_arrived && !is_given_up (order))
    {
      order->has_arrived = true;
      engine->is_held = true;
      engine->held_until_ms = clock_mono_ms () + engine->lease_ms;
      event_add (order->timer, &wait);
      return;
    }
  evhttp_send_reply (order->request, engine->status, "Answer", NULL);
  engine->slow_orders = g_slist_remove (engine->slow_orders, order);
  free_slow_order (order);
}

/** Takes an order that reserves, over a slow link. */
static void
delay_order (engine_t *engine, struct evhttp_request *request, const char *text)
{
  slow_order_t *order = g_new0 (slow_order_t, 1);
  struct timeval wait = timeval_from_ms (engine->round_trip_ms);

  engine->reserves++;
  g_assert_cmpint (sscanf (text, "reserve %*s %*u %u", &engine->lease_ms), ==,
                   1);
  order->engine = engine;
  order->request = request;
  order->timer = event_new (engine->base, -1, 0, on_slow_order, order);
  engine->slow_orders = g_slist_prepend (engine->slow_orders, order);
  event_add (order->timer, &wait);
}

static void
on_order (struct evhttp_request *request, void *context)
{
  engine_t *engine = context;
  struct evbuffer *in = evhttp_request_get_input_buffer (request);
  char text[200] = "";

  evbuffer_copyout (in, text, sizeof text - 1);
  if (strstr (text, "release") != NULL)
    {
      if (++engine->releases <= engine->silent)
        return;
      engine->is_held = false;
    }
  else if (engine->round_trip_ms > 0)
    {
      delay_order (engine, request, text);
      return;
    }
  else if (!take_reservation (engine, text))
    return;
  evhttp_send_reply (request, engine->status, "Answer", NULL);
}

static char *
write_reserve_order (const char *ticket, uint32_t tokens, uint32_t hold_ms)
{
  return g_strdup_printf ("reserve %s %u %u", ticket, tokens, hold_ms);
}

static char *
write_release_order (const char *ticket)
{
  return g_strdup_printf ("release %s", ticket);
}

static void
on_reservation (engine_reservation_t *ticket, bool is_held, void *context)
{
  *(int *)context = is_held ? 1 : 0;
}

static void
on_released (uint64_t job_id, void *context)
{
  *(uint64_t *)context = job_id;
}

static const gateway_protocol_t protocol
    = { .write_reserve_order = write_reserve_order,
        .write_release_order = write_release_order,
        .order_target = "/order" };

typedef struct
{
  struct event_base *base;
  struct evhttp *http;
  void *parent;
  engine_t engine;
  engine_memory_t *memory;
  exchange_pool_t *pool;
  uint32_t connections; /* accepted by the engine */
  char address[32];
  int held;          /* 1: granted, 0: not granted, -1: no answer yet */
  uint64_t released; /* job whose reservation was released last */
} orders_t;

static struct bufferevent *
count_connection (struct event_base *base, void *context)
{
  ((orders_t *)context)->connections++;
  return bufferevent_socket_new (base, -1, 0);
}

static orders_t *
orders_new (void)
{
  orders_t *orders = g_new0 (orders_t, 1);
  exchange_pool_options_t pool
      = { .connect_timeout_ms = 500, .idle_timeout_ms = 5000 };
  engine_memory_options_t options = { .protocol = &protocol,
                                      .on_released = on_released,
                                      .context = &orders->released };
  char ip[32];
  int port;

  orders->base = pool.base = options.base = event_base_new ();
  orders->http = evhttp_new (orders->base);
  orders->parent = talloc_new (NULL);
  orders->engine = (engine_t){ .base = orders->base, .status = 200 };
  orders->held = -1;
  choose_free_address (orders->address);
  g_assert_cmpint (sscanf (orders->address, "%31[^:]:%d", ip, &port), ==, 2);
  g_assert_cmpint (evhttp_bind_socket (orders->http, ip, (uint16_t)port), ==,
                   0);
  evhttp_set_gencb (orders->http, on_order, &orders->engine);
  evhttp_set_bevcb (orders->http, count_connection, orders);
  options.pool = orders->pool = exchange_pool_new (orders->parent, &pool);
  options.metrics = metrics_new (orders->parent);
  orders->memory = engine_memory_new (orders->parent, &options);
  return orders;
}

static void
orders_free (orders_t *orders)
{
  talloc_free (orders->parent);
  g_slist_free_full (orders->engine.slow_orders, free_slow_order);
  evhttp_free (orders->http);
  event_base_free (orders->base);
  g_free (orders);
}

static engine_reservation_t *
reserve (orders_t *orders, uint64_t job_id)
{
  engine_reservation_options_t ask = { .upstream = 1,
                                       .address = orders->address,
                                       .job_id = job_id,
                                       .tokens = 9,
                                       .done = on_reservation,
                                       .context = &orders->held };

  orders->held = -1;
  return engine_memory_reserve (orders->memory, &ask);
}

/** Runs for some time, in which the memory must be set aside without a gap. */
static void
expect_set_aside (orders_t *orders, uint32_t time_ms)
{
  struct event_base *base = orders->base;
  uint64_t since_ms = clock_mono_ms ();

  WAIT (!is_set_aside (&orders->engine)
        || clock_mono_ms () > since_ms + time_ms);
  g_assert_true (is_set_aside (&orders->engine));
}

/* Guards against: memory that stays reserved after its request because the
 * owner and all others that know of the reservation are lost together (LEAK).
 * Only the lease can end it, at any time of a request of any length. */
static void
test_all_instances_lost (void)
{
  static const uint32_t used_ms[] = { 0, 900, 2500, 6000 };

  for (uint32_t i = 0; i < G_N_ELEMENTS (used_ms); i++)
    {
      orders_t *orders = orders_new ();
      struct event_base *base = orders->base;

      reserve (orders, 50 + i);
      WAIT (orders->held == 1);
      expect_set_aside (orders, used_ms[i]);
      g_assert_cmpuint (orders->engine.held_until_ms, <=,
                        clock_mono_ms () + MEMORY_FREE_MS);
      orders_free (orders);
    }
}

/* Guards against: a request that is cut off because the lease of its memory
 * ends while the engine leaves most renewals unanswered. */
static void
test_unanswered_renewals (void)
{
  orders_t *orders = orders_new ();
  struct event_base *base = orders->base;

  orders->engine.answer_every = 10;
  reserve (orders, 51);
  WAIT (orders->held == 1);
  expect_set_aside (orders, 9000);
  orders_free (orders);
}

/* Guards against: memory that is reserved again after its release, by a renewal
 * that the engine carries out late (LEAK). Once the release is reported,
 * nothing may set the memory aside. */
static void
test_late_renewal (void)
{
  orders_t *orders = orders_new ();
  struct event_base *base = orders->base;
  engine_reservation_t *ticket = reserve (orders, 52);
  uint64_t since_ms;

  WAIT (orders->held == 1);
  orders->engine.late_ms = 2800;
  orders->engine.late_from = 2;
  WAIT (orders->engine.reserves == 2);
  engine_memory_release (ticket);
  WAIT (orders->released == 52);
  since_ms = clock_mono_ms ();
  WAIT (is_set_aside (&orders->engine)
        || clock_mono_ms () > since_ms + MEMORY_FREE_MS);
  g_assert_false (is_set_aside (&orders->engine));
  orders_free (orders);
}

/* Guards against: a request that is cut off because each renewal is given up
 * before it is sent, over a link that is slow enough to set up a connection
 * later than that, and fast enough for the first order. */
static void
test_renewals_over_slow_link (void)
{
  orders_t *orders = orders_new ();
  struct event_base *base = orders->base;

  reserve (orders, 52);
  WAIT (orders->held == 1);
  orders->engine.round_trip_ms = 200;
  expect_set_aside (orders, 9000);
  orders_free (orders);
}

/** A release is repeated until it is answered; a refused reservation needs no
 * release. */
static void
test_reservations (void)
{
  orders_t *orders = orders_new ();
  struct event_base *base = orders->base;
  engine_reservation_t *ticket = reserve (orders, 21);

  orders->engine.silent = 1;
  WAIT (orders->held == 1);
  engine_memory_release (ticket);
  WAIT (orders->engine.releases == 2);
  WAIT (orders->released == 21);
  orders->engine.status = 409;
  ticket = reserve (orders, 22);
  WAIT (orders->held == 0);
  engine_memory_release (ticket);
  g_assert_cmpuint (orders->released, ==, 22);
  orders->engine.status = 200;
  engine_memory_release_orphan (orders->memory, 1, orders->address, 23);
  WAIT (orders->engine.releases == 3);
  orders_free (orders);
}

/* Guards against: the second copy of an answer to an order, which has no id, is
 * taken for the answer to the next request or order on the connection (MIXED,
 * LEAK). */
static void
test_orders_use_own_connections (void)
{
  orders_t *orders = orders_new ();
  struct event_base *base = orders->base;

  for (uint32_t i = 1; i <= 3; i++)
    {
      engine_reservation_t *ticket = reserve (orders, i);

      WAIT (orders->held == 1);
      g_assert_cmpuint (orders->connections, ==, 2 * i - 1);
      engine_memory_release (ticket);
      WAIT (orders->released == i);
      g_assert_cmpuint (orders->connections, ==, 2 * i);
    }
  orders_free (orders);
}

/* Guards against: memory that stays reserved after its request because an
 * engine leaves most orders unanswered (LEAK). What remains of MEMORY_FREE_MS
 * after an instance was taken for lost must suffice for many orders. */
static void
test_unanswered_releases (void)
{
  orders_t *orders = orders_new ();
  struct event_base *base = orders->base;
  uint64_t since_ms = clock_mono_ms ();

  orders->engine.silent = 6;
  orders->engine.is_held = true;
  engine_memory_release_orphan (orders->memory, 1, orders->address, 24);
  WAIT (!orders->engine.is_held);
  g_assert_cmpuint (clock_mono_ms () - since_ms, <,
                    MEMORY_FREE_MS - INSTANCE_LOST_MS);
  orders_free (orders);
}

/* Guards against: memory that stays reserved after a request that ended earlier
 * than predicted, because the orders that release it become rare while its
 * lease goes on (LEAK). */
static void
test_many_unanswered_releases (void)
{
  orders_t *orders = orders_new ();
  struct event_base *base = orders->base;
  engine_reservation_t *ticket = reserve (orders, 26);
  uint64_t since_ms;

  orders->engine.silent = 20;
  WAIT (orders->held == 1);
  since_ms = clock_mono_ms ();
  engine_memory_release (ticket);
  WAIT (orders->released == 26);
  g_assert_cmpuint (clock_mono_ms () - since_ms, <, MEMORY_FREE_MS);
  orders_free (orders);
}

/** Two instances may report the same orphan; it is released once. */
static void
test_orphan_reported_twice (void)
{
  orders_t *orders = orders_new ();
  struct event_base *base = orders->base;
  uint64_t since_ms = clock_mono_ms ();

  engine_memory_release_orphan (orders->memory, 1, orders->address, 25);
  engine_memory_release_orphan (orders->memory, 1, orders->address, 25);
  WAIT (clock_mono_ms () > since_ms + 1000);
  g_assert_cmpuint (orders->engine.releases, ==, 1);
  orders_free (orders);
}

/** Waits until the order was carried out late, and its memory given back. */
static void
expect_given_back (orders_t *orders)
{
  struct event_base *base = orders->base;

  WAIT (orders->engine.is_held);
  g_assert_cmpuint (orders->engine.releases, >, 0);
  WAIT (!orders->engine.is_held);
}

/** The engine leaves the order unanswered and carries it out seconds later,
 * after a release that it has answered. */
static void
test_late_order_of_this_instance (void)
{
  orders_t *orders = orders_new ();
  struct event_base *base = orders->base;
  engine_reservation_t *ticket;

  orders->engine.late_ms = 3000;
  ticket = reserve (orders, 31);
  WAIT (orders->held == 0);
  engine_memory_release (ticket);
  WAIT (orders->engine.releases == 1);
  g_assert_cmpuint (orders->released, ==, 0);
  expect_given_back (orders);
  orders_free (orders);
}

/** The instance that sent the order dies while it is unanswered, and the engine
 * carries it out after another instance has released it. */
static void
test_late_order_of_lost_instance (void)
{
  orders_t *orders = orders_new ();
  struct event_base *base = orders->base;
  exchange_pool_options_t pool = { .base = base, .connect_timeout_ms = 500 };
  engine_memory_options_t survivor = { .base = base, .protocol = &protocol };

  orders->engine.late_ms = 3000;
  reserve (orders, 41);
  WAIT (orders->engine.reserves == 1);
  talloc_free (orders->parent);
  orders->parent = talloc_new (NULL);
  survivor.pool = exchange_pool_new (orders->parent, &pool);
  survivor.metrics = metrics_new (orders->parent);
  engine_memory_release_orphan (engine_memory_new (orders->parent, &survivor),
                                1, orders->address, 41);
  WAIT (orders->engine.releases == 1);
  expect_given_back (orders);
  orders_free (orders);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  base_init ("t8075-engine-memory");
  logging_init (LOGGING_ERROR);
  g_test_add_func ("/engine-memory/orders-use-own-connections",
                   test_orders_use_own_connections);
  g_test_add_func ("/engine-memory/tickets", test_reservations);
  g_test_add_func ("/engine-memory/all-instances-lost",
                   test_all_instances_lost);
  g_test_add_func ("/engine-memory/unanswered-renewals",
                   test_unanswered_renewals);
  g_test_add_func ("/engine-memory/late-renewal", test_late_renewal);
  g_test_add_func ("/engine-memory/renewals-over-slow-link",
                   test_renewals_over_slow_link);
  g_test_add_func ("/engine-memory/unanswered-releases",
                   test_unanswered_releases);
  g_test_add_func ("/engine-memory/many-unanswered-releases",
                   test_many_unanswered_releases);
  g_test_add_func ("/engine-memory/orphan-reported-twice",
                   test_orphan_reported_twice);
  g_test_add_func ("/engine-memory/late-order",
                   test_late_order_of_this_instance);
  g_test_add_func ("/engine-memory/late-order-of-lost-instance",
                   test_late_order_of_lost_instance);
  return g_test_run ();
}
