/*
 * Two entry instances of a zone share what they learn of cold and late
 * upstreams, and one of them grants requests to a cold upstream for both. Lost
 * messages, or a placer that never counts, would exceed the bound or leave the
 * upstream idle.
 */
#include <event2/event.h>
#include <glib.h>
#include <talloc.h>

#include "base.h"
#include "lib-address.h"
#include "lib-wait.h"
#include "logging.h"
#include "zone-placement.h"

#define COLD_MS 30000

typedef struct
{
  upstream_set_t *set;
  zone_placement_t *placement;
  metrics_t *metrics;
  char listen[32];
} instance_t;

typedef struct
{
  struct event_base *base;
  directory_t *directory;
  uint64_t key;
  instance_t instances[2];
  uint32_t answers;
  uint32_t granted; /* answers with the mark of a counted request */
} fixture_t;

static bool
find_service (const char *name, placer_service_t *service, void *context)
{
  return g_str_equal (name, "s");
}

static upstream_cold_rate_t
find_rate (const char *service, void *context)
{
  return upstream_cold_make_rate (18, 3, 1.5, 5);
}

static void
open_instance (fixture_t *fixture, instance_t *instance)
{
  upstream_set_options_t set = { .find_cold_rate = find_rate };
  zone_placement_options_t options = { .base = fixture->base,
                                       .listen = instance->listen,
                                       .zone = "z",
                                       .find_service = find_service };

  choose_free_address (instance->listen);
  instance->set = options.set = upstream_set_new (NULL, &set);
  upstream_set_sync (instance->set, fixture->directory, clock_mono_ms ());
  instance->metrics = options.metrics = metrics_new (NULL);
  instance->placement = zone_placement_new (NULL, &options);
  g_assert_nonnull (instance->placement);
}

static fixture_t *
fixture_new (void)
{
  fixture_t *fixture = g_new0 (fixture_t, 1);
  directory_statement_t said = { .id = "e",
                                 .address = "10.0.0.1:80",
                                 .zone = "z",
                                 .service = "s",
                                 .slots = 100,
                                 .sequence = 1 };
  char *zones[2] = { (char *)"z", (char *)"z" };
  char *addresses[2];
  size_t count;

  fixture->base = event_base_new ();
  fixture->directory = directory_new (NULL);
  directory_put (fixture->directory, &said, clock_mono_ms ());
  fixture->key = directory_entries (fixture->directory, &count)[0]->key;
  for (int i = 0; i < 2; i++)
    {
      open_instance (fixture, &fixture->instances[i]);
      addresses[i] = fixture->instances[i].listen;
    }
  for (int i = 0; i < 2; i++)
    zone_placement_add_instances (fixture->instances[i].placement, addresses,
                                  zones, 2);
  return fixture;
}

static void
fixture_free (fixture_t *fixture)
{
  for (int i = 0; i < 2; i++)
    {
      talloc_free (fixture->instances[i].placement);
      talloc_free (fixture->instances[i].metrics);
      talloc_free (fixture->instances[i].set);
    }
  talloc_free (fixture->directory);
  event_base_free (fixture->base);
  g_free (fixture);
}

static const upstream_member_t *
seen_by (const fixture_t *fixture, int instance)
{
  return upstream_set_find (fixture->instances[instance].set, fixture->key);
}

static bool
is_cold (const fixture_t *fixture, int instance)
{
  return upstream_cold_holds (&seen_by (fixture, instance)->cold,
                              clock_mono_ms ());
}

static void
test_cold_time (void)
{
  fixture_t *fixture = fixture_new ();
  struct event_base *base = fixture->base;

  zone_placement_report_cold (fixture->instances[0].placement, fixture->key,
                              COLD_MS);
  g_assert_true (is_cold (fixture, 0));
  WAIT (is_cold (fixture, 1));
  fixture_free (fixture);
}

static void
test_late_gap (void)
{
  fixture_t *fixture = fixture_new ();
  struct event_base *base = fixture->base;
  upstream_set_t *set = fixture->instances[1].set;
  uint64_t now_ms = clock_mono_ms ();

  upstream_set_pause (set, fixture->key, now_ms);
  upstream_set_tick (set, now_ms + 1);
  g_assert_cmpint (seen_by (fixture, 1)->pace.reason, ==, PACE_PAUSED);
  upstream_set_add_call_time (set, fixture->key, 10, now_ms);
  g_assert_cmpfloat (seen_by (fixture, 1)->pace.limit, ==, 2);
  zone_placement_report_late_gap (fixture->instances[0].placement,
                                  fixture->key);
  WAIT (seen_by (fixture, 1)->pace.limit < 2);
  fixture_free (fixture);
}

static void
on_answer (const placement_request_t *request,
           const placement_answer_t *answer,
           void *context)
{
  fixture_t *fixture = context;

  if (answer->kind == PLACEMENT_QUEUED)
    return;
  fixture->answers++;
  fixture->granted += answer->kind == PLACEMENT_SEND && answer->is_cold;
}

static void
ask (fixture_t *fixture, int instance)
{
  uint64_t now_ms = clock_mono_ms ();
  placement_request_t request = { .service = "s",
                                  .target_ms = 300,
                                  .arrived_ms = now_ms,
                                  .deadline_ms = now_ms + 1000 };

  zone_placement_ask (fixture->instances[instance].placement, &request,
                      on_answer, fixture);
}

/** More requests are granted in a second than two instances hold alone. */
static void
test_placer_counts (void)
{
  fixture_t *fixture = fixture_new ();
  struct event_base *base = fixture->base;
  uint64_t until_ms;

  for (int i = 0; i < 2; i++)
    upstream_set_mark_cold (fixture->instances[i].set, fixture->key,
                            clock_mono_ms () + COLD_MS, clock_mono_ms ());
  until_ms = clock_mono_ms () + 8000;
  WAIT (clock_mono_ms () >= until_ms);
  for (int i = 0; i < 10; i++)
    ask (fixture, i % 2);
  WAIT (fixture->answers == 10);
  g_assert_cmpuint (fixture->granted, ==, 10);
  fixture_free (fixture);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  base_init ("t8338-cold-messages");
  logging_init (LOGGING_ERROR);
  g_test_add_func ("/cold-messages/cold-time", test_cold_time);
  g_test_add_func ("/cold-messages/late-gap", test_late_gap);
  g_test_add_func ("/cold-messages/placer-counts", test_placer_counts);
  return g_test_run ();
}
