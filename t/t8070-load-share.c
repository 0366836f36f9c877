/*
 * Two entry instances share their jobs with each other. When one is lost, the
 * other must learn of the engine memory that it had reserved.
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
#include "load-share.h"
#include "logging.h"

#define WAIT_TIMEOUT_MS 20000
/** Exceeds the time until an instance without heartbeats counts as lost. */
#define PROCESS_PAUSE_MS 3000
/** Upper bound of the time in which an instance sends all its jobs again. */
#define SHARE_INTERVAL_MS 1100

typedef struct
{
  upstream_set_t *set;
  load_share_t *share;
  char listen[32];
  char orphan[UPSTREAM_RESERVATION_ID_BYTES];
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

  g_strlcpy (instance->orphan, job->ticket, sizeof instance->orphan);
}

static void
open_instance (fixture_t *fixture, instance_t *instance)
{
  upstream_set_options_t set = { 0 };
  load_share_options_t options = { .base = fixture->base,
                                   .listen = instance->listen,
                                   .on_orphan = on_orphan,
                                   .context = instance };

  choose_free_address (instance->listen);
  instance->set = options.set = upstream_set_new (NULL, &set);
  upstream_set_sync (instance->set, fixture->directory, clock_mono_ms ());
  instance->share = load_share_new (NULL, &options);
  g_assert_nonnull (instance->share);
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

  fixture->base = event_base_new ();
  fixture->directory = directory_new (NULL);
  directory_put (fixture->directory, &said, clock_mono_ms ());
  fixture->key = directory_entries (fixture->directory, &count)[0]->key;
  open_instance (fixture, &fixture->one);
  open_instance (fixture, &fixture->other);
  addresses[0] = fixture->one.listen;
  addresses[1] = fixture->other.listen;
  load_share_add_peers (fixture->one.share, addresses, 2);
  load_share_add_peers (fixture->other.share, addresses, 2);
  return fixture;
}

static void
fixture_free (fixture_t *fixture)
{
  talloc_free (fixture->one.share);
  talloc_free (fixture->other.share);
  talloc_free (fixture->one.set);
  talloc_free (fixture->other.set);
  talloc_free (fixture->directory);
  event_base_free (fixture->base);
  g_free (fixture);
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

static upstream_job_t
begin_job (fixture_t *fixture, instance_t *instance, const char *ticket)
{
  upstream_job_t job = { .id = load_share_next_id (instance->share),
                         .upstream = fixture->key,
                         .prompt_tokens = 5000,
                         .read_tokens = 5000,
                         .begun_ms = clock_mono_ms (),
                         .sent_ms = clock_mono_ms () };

  job.due_ms = job.begun_ms + 300;
  g_strlcpy (job.ticket, ticket, sizeof job.ticket);
  upstream_set_begin (instance->set, &job);
  load_share_begin (instance->share, &job);
  return job;
}

static void
test_jobs_reach_other_instance (void)
{
  fixture_t *fixture = fixture_new ();
  struct event_base *base = fixture->base;
  upstream_job_t job = begin_job (fixture, &fixture->one, "");
  const upstream_job_t *seen;

  WAIT (upstream_set_job (fixture->other.set, job.id) != NULL);
  seen = upstream_set_job (fixture->other.set, job.id);
  g_assert_cmpuint (seen->prompt_tokens, ==, 5000);
  g_assert_cmpuint (seen->due_ms - seen->begun_ms, ==, 300);
  g_assert_cmpuint (seen->owner, !=, 0);
  load_share_first_event (fixture->one.share, job.id);
  WAIT (upstream_set_job (fixture->other.set, job.id)->first_ms > 0);
  upstream_set_end (fixture->one.set, job.id, UPSTREAM_JOB_GOOD,
                    clock_mono_ms ());
  load_share_end (fixture->one.share, job.id, UPSTREAM_JOB_GOOD);
  WAIT (upstream_set_job (fixture->other.set, job.id) == NULL);
  fixture_free (fixture);
}

/** Every one of many instances is counted once, although jobs are not sent to
 * all of them. */
static void
test_instances_are_counted_once (void)
{
  fixture_t *fixture = fixture_new ();
  uint32_t before = load_share_instances (fixture->one.share);

  for (int twice = 0; twice < 2; twice++)
    for (uint32_t i = 0; i < 300; i++)
      {
        char *address = g_strdup_printf ("127.99.0.1:%u", 20000 + i);

        load_share_add_peers (fixture->one.share, &address, 1);
        g_free (address);
      }
  g_assert_cmpuint (load_share_instances (fixture->one.share), ==,
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
  upstream_job_t job = begin_job (fixture, &fixture->one, "ticket-1");

  WAIT (upstream_set_job (fixture->other.set, job.id) != NULL);
  talloc_free (fixture->one.share);
  fixture->one.share = NULL;
  WAIT (upstream_set_job (fixture->other.set, job.id) == NULL);
  g_assert_cmpstr (fixture->other.orphan, ==, "ticket-1");
  fixture_free (fixture);
}

/* Both instances are paused for longer than the heartbeat timeout. Each must
 * read its backlog before it treats the other as lost and the other's
 * reservation as orphaned. */
static void
test_own_process_pause (void)
{
  fixture_t *fixture = fixture_new ();
  struct event_base *base = fixture->base;
  upstream_job_t job = begin_job (fixture, &fixture->one, "ticket-1");
  uint64_t woke_ms;

  WAIT (upstream_set_job (fixture->other.set, job.id) != NULL);
  g_usleep (PROCESS_PAUSE_MS * 1000);
  woke_ms = clock_mono_ms ();
  WAIT (clock_mono_ms () > woke_ms + SHARE_INTERVAL_MS);
  g_assert_cmpstr (fixture->other.orphan, ==, "");
  g_assert_nonnull (upstream_set_job (fixture->other.set, job.id));
  fixture_free (fixture);
}

/** An engine that takes orders; it may leave the first releases unanswered. */
typedef struct
{
  uint32_t reserves;
  uint32_t releases;
  uint32_t silent; /* number of first releases without an answer */
  int status;
} engine_t;

static void
on_order (struct evhttp_request *request, void *context)
{
  engine_t *engine = context;
  struct evbuffer *in = evhttp_request_get_input_buffer (request);
  char text[200] = "";

  evbuffer_copyout (in, text, sizeof text - 1);
  if (strstr (text, "release") != NULL && ++engine->releases <= engine->silent)
    return;
  engine->reserves += strstr (text, "reserve") != NULL;
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

static const gateway_protocol_t protocol
    = { .write_reserve_order = write_reserve_order,
        .write_release_order = write_release_order,
        .order_target = "/order" };

/** A release is repeated until it is answered; a refused reservation needs no
 * release. */
static void
test_reservations (void)
{
  struct event_base *base = event_base_new ();
  struct evhttp *http = evhttp_new (base);
  void *parent = talloc_new (NULL);
  engine_t engine = { .status = 200, .silent = 1 };
  exchange_pool_options_t pool = { .base = base, .connect_timeout_ms = 500 };
  engine_memory_options_t options = { .base = base,
                                      .protocol = &protocol,
                                      .metrics = metrics_new (parent) };
  int held = -1;
  engine_reservation_options_t ask = { .upstream = 1,
                                       .name = "t-1",
                                       .tokens = 9,
                                       .done = on_reservation,
                                       .context = &held };
  char address[32];
  char ip[32];
  int port;
  engine_memory_t *memory;
  engine_reservation_t *ticket;

  choose_free_address (address);
  g_assert_cmpint (sscanf (address, "%31[^:]:%d", ip, &port), ==, 2);
  g_assert_cmpint (evhttp_bind_socket (http, ip, (uint16_t)port), ==, 0);
  evhttp_set_gencb (http, on_order, &engine);
  options.pool = exchange_pool_new (parent, &pool);
  memory = engine_memory_new (parent, &options);
  ask.address = address;
  ticket = engine_memory_reserve (memory, &ask);
  WAIT (held == 1);
  engine_memory_release (ticket);
  WAIT (engine.releases == 2);
  held = -1;
  engine.status = 409;
  ticket = engine_memory_reserve (memory, &ask);
  WAIT (held == 0);
  engine_memory_release (ticket);
  engine.status = 200;
  engine_memory_release_orphan (memory, 1, address, "t-lost");
  WAIT (engine.releases == 3);
  talloc_free (parent);
  evhttp_free (http);
  event_base_free (base);
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
  g_test_add_func ("/load-share/own-standstill", test_own_process_pause);
  g_test_add_func ("/engine-memory/tickets", test_reservations);
  return g_test_run ();
}
