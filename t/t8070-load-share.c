/*
 * Two entry instances of a zone share their jobs with each other. When one is
 * lost, the other must learn of the engine memory that it had reserved, and
 * release it, also when the order that reserves it is carried out late.
 */
#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <glib.h>
#include <netinet/in.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <talloc.h>

#include "base.h"
#include "engine-memory.h"
#include "logging.h"
#include "zone-placement.h"

#define WAIT_TIMEOUT_MS 20000
/** Times after which memory counts as leaked: after its last use, and when it
 * was never used. */
#define MEMORY_FREE_MS   4000
#define MEMORY_UNUSED_MS 9000
/** Exceeds the time until an instance without heartbeats counts as lost. */
#define PROCESS_PAUSE_MS 3000
/** Time after which a silent instance of the own zone is taken for lost, with
 * the interval at which that is checked. */
#define INSTANCE_LOST_MS 2750
/** Bound of the time until others know that an instance has started again. It
 * reports itself within SHARE_INTERVAL_MS. */
#define RESTART_NOTICED_MS (SHARE_INTERVAL_MS + 300)
/** Time in which instances that started together agree on their placer. */
#define SETTLE_MS 4000
/** Bound of the time in which an instance tells others of an orphan. */
#define ORPHAN_REPORT_MS 300
/** Upper bound of the time in which an instance sends all its jobs again. */
#define SHARE_INTERVAL_MS 1100

typedef struct
{
  upstream_set_t *set;
  zone_placement_t *placement;
  metrics_t *metrics;
  char listen[32];
  uint64_t orphan; /* id of the last orphaned job */
} instance_t;

typedef struct
{
  struct event_base *base;
  directory_t *directory;
  uint64_t key;
  instance_t one;
  instance_t other;
} fixture_t;

/** Writes a loopback address whose port was free at the time of the call. */
static void
choose_free_address (char text[32])
{
  struct sockaddr_in address = { .sin_family = AF_INET };
  socklen_t size = sizeof address;
  int fd = socket (AF_INET, SOCK_STREAM, 0);

  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  g_assert_cmpint (bind (fd, (struct sockaddr *)&address, size), ==, 0);
  getsockname (fd, (struct sockaddr *)&address, &size);
  snprintf (text, 32, "127.0.0.1:%u", ntohs (address.sin_port));
  close (fd);
}

static void
on_orphan (const upstream_job_t *job, void *context)
{
  instance_t *instance = context;

  instance->orphan = job->id;
}

static bool
find_service (const char *name, placer_service_t *service, void *context)
{
  return g_str_equal (name, "s");
}

#define WAIT(condition)                                                        \
  do                                                                           \
    {                                                                          \
      uint64_t end_ms = clock_mono_ms () + WAIT_TIMEOUT_MS;                    \
      while (!(condition) && clock_mono_ms () < end_ms)                        \
        {                                                                      \
          event_base_loop (base, EVLOOP_NONBLOCK);                             \
          g_usleep (500);                                                      \
        }                                                                      \
      g_assert_true (condition);                                               \
    }                                                                          \
  while (0)

/** Starts an instance that listens on its address. */
static void
start_instance (fixture_t *fixture, instance_t *instance, const char *zone)
{
  upstream_set_options_t set = { 0 };
  zone_placement_options_t options = { .base = fixture->base,
                                       .listen = instance->listen,
                                       .zone = zone,
                                       .find_service = find_service,
                                       .on_orphan = on_orphan,
                                       .context = instance };

  instance->set = options.set = upstream_set_new (NULL, &set);
  upstream_set_sync (instance->set, fixture->directory, clock_mono_ms ());
  instance->metrics = options.metrics = metrics_new (NULL);
  /* The library closes the listening socket of an earlier one in its own
   * thread. */
  for (uint32_t i = 0; i < 100 && instance->placement == NULL; i++)
    {
      g_usleep (10000);
      instance->placement = zone_placement_new (NULL, &options);
    }
  g_assert_nonnull (instance->placement);
}

static void
open_instance_in (fixture_t *fixture, instance_t *instance, const char *zone)
{
  choose_free_address (instance->listen);
  start_instance (fixture, instance, zone);
}

static void
open_instance (fixture_t *fixture, instance_t *instance)
{
  open_instance_in (fixture, instance, "z");
}

static fixture_t *
fixture_new (void)
{
  fixture_t *fixture = g_new0 (fixture_t, 1);
  directory_statement_t said = { .id = "e",
                                 .address = "10.0.0.1:80",
                                 .zone = "z",
                                 .service = "s",
                                 .sequence = 1 };
  size_t count;
  char *addresses[2];
  char *zones[2] = { (char *)"z", (char *)"z" };

  fixture->base = event_base_new ();
  fixture->directory = directory_new (NULL);
  directory_put (fixture->directory, &said, clock_mono_ms ());
  fixture->key = directory_entries (fixture->directory, &count)[0]->key;
  open_instance (fixture, &fixture->one);
  open_instance (fixture, &fixture->other);
  addresses[0] = fixture->one.listen;
  addresses[1] = fixture->other.listen;
  zone_placement_add_instances (fixture->one.placement, addresses, zones, 2);
  zone_placement_add_instances (fixture->other.placement, addresses, zones, 2);
  return fixture;
}

static void
fixture_free (fixture_t *fixture)
{
  talloc_free (fixture->one.placement);
  talloc_free (fixture->other.placement);
  talloc_free (fixture->one.metrics);
  talloc_free (fixture->other.metrics);
  talloc_free (fixture->one.set);
  talloc_free (fixture->other.set);
  talloc_free (fixture->directory);
  event_base_free (fixture->base);
  g_free (fixture);
}

/** Begins the job of a request; with @a reserves, a helper reserves memory for
 * it, whose job has the next id. */
static uint64_t
begin_job (fixture_t *fixture, instance_t *instance, bool reserves)
{
  static uint64_t last_id = 1000;
  placement_request_t request = { .id = last_id += PLACEMENT_MAX_JOBS,
                                  .service = "s",
                                  .prompt_tokens = 5000,
                                  .target_ms = 300,
                                  .arrived_ms = clock_mono_ms () };
  placement_answer_t answer = { .kind = PLACEMENT_SEND,
                                .upstream = fixture->key,
                                .helpers = { fixture->key },
                                .helper_count = reserves,
                                .memory_tokens = { 700 },
                                .memory_count = reserves };

  zone_placement_begin (instance->placement, &request, &answer);
  return request.id;
}

static void
test_jobs_reach_other_instance (void)
{
  fixture_t *fixture = fixture_new ();
  struct event_base *base = fixture->base;
  uint64_t id = begin_job (fixture, &fixture->one, false);
  const upstream_job_t *seen;

  WAIT (upstream_set_job (fixture->other.set, id) != NULL);
  seen = upstream_set_job (fixture->other.set, id);
  g_assert_cmpuint (seen->prompt_tokens, ==, 5000);
  g_assert_cmpuint (seen->due_ms - seen->begun_ms, ==, 300);
  g_assert_cmpuint (seen->owner, !=, 0);
  zone_placement_first_event (fixture->one.placement, id);
  WAIT (upstream_set_job (fixture->other.set, id)->first_ms > 0);
  zone_placement_end (fixture->one.placement, id, UPSTREAM_JOB_GOOD);
  WAIT (upstream_set_job (fixture->other.set, id) == NULL);
  fixture_free (fixture);
}

/** Every one of many instances is counted once, although jobs are not sent to
 * all of them. */
static void
test_instances_are_counted_once (void)
{
  fixture_t *fixture = fixture_new ();
  uint32_t before = zone_placement_instances (fixture->one.placement);
  char *zone = (char *)"y";

  for (int twice = 0; twice < 2; twice++)
    for (uint32_t i = 0; i < 300; i++)
      {
        char *address = g_strdup_printf ("127.99.0.1:%u", 20000 + i);

        zone_placement_add_instances (fixture->one.placement, &address, &zone,
                                      1);
        g_free (address);
      }
  g_assert_cmpuint (zone_placement_instances (fixture->one.placement), ==,
                    before + 300);
  fixture_free (fixture);
}

/** The jobs of a lost instance are removed, and its reservation is reported as
 * orphaned. */
static void
test_lost_instance (void)
{
  fixture_t *fixture = fixture_new ();
  struct event_base *base = fixture->base;
  uint64_t id = begin_job (fixture, &fixture->one, true);

  WAIT (upstream_set_job (fixture->other.set, id + 1) != NULL);
  talloc_free (fixture->one.placement);
  fixture->one.placement = NULL;
  WAIT (upstream_set_job (fixture->other.set, id + 1) == NULL);
  g_assert_cmpuint (fixture->other.orphan, ==, id + 1);
  fixture_free (fixture);
}

/* Guards against: memory that stays reserved because an instance that ended and
 * started again is waited for although it has said that it is a new one
 * (LEAK). */
static void
test_restarted_instance (void)
{
  fixture_t *fixture = fixture_new ();
  struct event_base *base = fixture->base;
  uint64_t id = begin_job (fixture, &fixture->one, true);
  instance_t *one = &fixture->one;
  char *addresses[2] = { one->listen, fixture->other.listen };
  char *zones[2] = { (char *)"z", (char *)"z" };
  uint64_t ended_ms = clock_mono_ms () + SHARE_INTERVAL_MS;

  WAIT (clock_mono_ms () > ended_ms);
  g_assert_nonnull (upstream_set_job (fixture->other.set, id + 1));
  talloc_free (one->placement);
  one->placement = NULL;
  talloc_free (one->metrics);
  talloc_free (one->set);
  ended_ms = clock_mono_ms ();
  start_instance (fixture, one, "z");
  zone_placement_add_instances (one->placement, addresses, zones, 2);
  WAIT (fixture->other.orphan == id + 1);
  g_assert_cmpuint (clock_mono_ms () - ended_ms, <, RESTART_NOTICED_MS);
  fixture_free (fixture);
}

/* Guards against: memory that stays reserved because the one instance that
 * knows of an orphan fails as well (LEAK). The placer of another zone must
 * release it too, at the same time. */
static void
expect_orphan_in_other_zone (fixture_t *fixture,
                             instance_t *owner,
                             instance_t *survivor)
{
  struct event_base *base = fixture->base;
  instance_t far = { 0 };
  char *zone = (char *)"y";
  char *addresses[3] = { fixture->one.listen, fixture->other.listen };
  char *zones[3] = { (char *)"z", (char *)"z", zone };
  uint64_t id;
  uint64_t settled_ms;
  uint64_t found_ms;

  open_instance_in (fixture, &far, zone);
  addresses[2] = far.listen;
  zone_placement_add_instances (fixture->one.placement, addresses, zones, 3);
  zone_placement_add_instances (fixture->other.placement, addresses, zones, 3);
  zone_placement_add_instances (far.placement, addresses, zones, 3);
  id = begin_job (fixture, owner, true);
  WAIT (upstream_set_job (survivor->set, id + 1) != NULL);
  /* One of the two reports the zone by then, and the other does not. */
  settled_ms = clock_mono_ms () + SETTLE_MS;
  WAIT (clock_mono_ms () > settled_ms);
  g_assert_nonnull (upstream_set_job (far.set, id + 1));
  talloc_free (owner->placement);
  owner->placement = NULL;
  WAIT (survivor->orphan == id + 1);
  found_ms = clock_mono_ms ();
  WAIT (far.orphan == id + 1);
  g_assert_cmpuint (clock_mono_ms () - found_ms, <, ORPHAN_REPORT_MS);
  talloc_free (far.placement);
  talloc_free (far.metrics);
  talloc_free (far.set);
  fixture_free (fixture);
}

/** The lost instance may have reported its zone to others, or not. */
static void
test_orphan_reaches_other_zone (void)
{
  fixture_t *fixture = fixture_new ();

  expect_orphan_in_other_zone (fixture, &fixture->one, &fixture->other);
  fixture = fixture_new ();
  expect_orphan_in_other_zone (fixture, &fixture->other, &fixture->one);
}

/* Both instances are paused for longer than the heartbeat timeout. Each must
 * read its backlog before it treats the other as lost and the other's
 * reservation as orphaned. */
static void
test_own_process_pause (void)
{
  fixture_t *fixture = fixture_new ();
  struct event_base *base = fixture->base;
  uint64_t id = begin_job (fixture, &fixture->one, true);
  uint64_t woke_ms;

  WAIT (upstream_set_job (fixture->other.set, id) != NULL);
  g_usleep (PROCESS_PAUSE_MS * 1000);
  woke_ms = clock_mono_ms ();
  WAIT (clock_mono_ms () > woke_ms + SHARE_INTERVAL_MS);
  g_assert_cmpuint (fixture->other.orphan, ==, 0);
  g_assert_nonnull (upstream_set_job (fixture->other.set, id));
  fixture_free (fixture);
}

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
  bool is_held;
  uint32_t lease_ms; /* of the last order that reserves */
} engine_t;

static void
on_late_order (evutil_socket_t fd, short what, void *context)
{
  engine_t *engine = context;

  engine->is_held = true;
}

static void
on_order (struct evhttp_request *request, void *context)
{
  engine_t *engine = context;
  struct evbuffer *in = evhttp_request_get_input_buffer (request);
  char text[200] = "";
  struct timeval late = timeval_from_ms (engine->late_ms);

  evbuffer_copyout (in, text, sizeof text - 1);
  if (strstr (text, "release") != NULL)
    {
      if (++engine->releases <= engine->silent)
        return;
      engine->is_held = false;
    }
  else
    {
      engine->reserves++;
      g_assert_cmpint (sscanf (text, "reserve %*s %*u %u", &engine->lease_ms),
                       ==, 1);
      if (engine->late_ms > 0)
        {
          event_base_once (engine->base, -1, EV_TIMEOUT, on_late_order, engine,
                           &late);
          return;
        }
      engine->is_held = engine->status == 200;
    }
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
  char address[32];
  int held;          /* 1: granted, 0: not granted, -1: no answer yet */
  uint64_t released; /* job whose reservation was released last */
} orders_t;

static orders_t *
orders_new (void)
{
  orders_t *orders = g_new0 (orders_t, 1);
  exchange_pool_options_t pool = { .connect_timeout_ms = 500 };
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
  options.pool = exchange_pool_new (orders->parent, &pool);
  options.metrics = metrics_new (orders->parent);
  orders->memory = engine_memory_new (orders->parent, &options);
  return orders;
}

static void
orders_free (orders_t *orders)
{
  talloc_free (orders->parent);
  evhttp_free (orders->http);
  event_base_free (orders->base);
  g_free (orders);
}

/** Reserves memory for a job that is predicted to use it for some time. */
static engine_reservation_t *
reserve_for (orders_t *orders, uint64_t job_id, uint32_t expected_ms)
{
  engine_reservation_options_t ask = { .upstream = 1,
                                       .address = orders->address,
                                       .job_id = job_id,
                                       .tokens = 9,
                                       .expected_ms = expected_ms,
                                       .done = on_reservation,
                                       .context = &orders->held };

  orders->held = -1;
  return engine_memory_reserve (orders->memory, &ask);
}

static engine_reservation_t *
reserve (orders_t *orders, uint64_t job_id)
{
  return reserve_for (orders, job_id, 1000);
}

/** An engine that carries out the release late, or never gets it, must not
 * count the memory as leaked: the lease ends soon after the predicted end. */
static void
test_lease_follows_request (void)
{
  static const uint32_t expected_ms[] = { 0, 1000, 3100, 60000 };
  orders_t *orders = orders_new ();
  struct event_base *base = orders->base;

  for (uint32_t i = 0; i < G_N_ELEMENTS (expected_ms); i++)
    {
      engine_reservation_t *ticket
          = reserve_for (orders, 50 + i, expected_ms[i]);

      WAIT (orders->held == 1);
      g_assert_cmpuint (orders->engine.lease_ms, <=,
                        expected_ms[i] + MEMORY_FREE_MS);
      g_assert_cmpuint (orders->engine.lease_ms, <=, MEMORY_UNUSED_MS);
      g_assert_cmpuint (orders->engine.lease_ms, >=,
                        MIN (expected_ms[i], 8000));
      engine_memory_release (ticket);
      WAIT (orders->released == 50 + i);
    }
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
  base_init ("t8070-load-share");
  logging_init (LOGGING_ERROR);
  g_test_add_func ("/load-share/jobs", test_jobs_reach_other_instance);
  g_test_add_func ("/load-share/count", test_instances_are_counted_once);
  g_test_add_func ("/load-share/lost-instance", test_lost_instance);
  g_test_add_func ("/load-share/restarted-instance", test_restarted_instance);
  g_test_add_func ("/load-share/orphan-reaches-other-zone",
                   test_orphan_reaches_other_zone);
  g_test_add_func ("/load-share/own-standstill", test_own_process_pause);
  g_test_add_func ("/engine-memory/tickets", test_reservations);
  g_test_add_func ("/engine-memory/lease", test_lease_follows_request);
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
