/*
 * Entry instances share their jobs with each other. When one is lost, the
 * others must learn of the engine memory that it had reserved.
 */
#include <event2/event.h>
#include <glib.h>
#include <stdio.h>
#include <string.h>
#include <talloc.h>

#include "base.h"
#include "lib-address.h"
#include "lib-wait.h"
#include "logging.h"
#include "zone-placement.h"

/** Exceeds the time until an instance without heartbeats counts as lost. */
#define PROCESS_PAUSE_MS 3000
/** Bound of the time until others know that an instance has started again. It
 * reports itself within SHARE_INTERVAL_MS. */
#define RESTART_NOTICED_MS (SHARE_INTERVAL_MS + 300)
/** Time in which instances that started together agree on their placer. */
#define SETTLE_MS 4000
/** Bound of the time in which an instance tells others of an orphan. */
#define ORPHAN_REPORT_MS 300
/** Time in which all instances must know a part on which upstreams crash. */
#define QUARANTINE_SHARED_MS 3000
/** Upper bound of the time in which an instance sends all its jobs again. */
#define SHARE_INTERVAL_MS 1100

typedef struct
{
  upstream_set_t *set;
  zone_placement_t *placement;
  metrics_t *metrics;
  char listen[32];
  uint64_t orphan; /* id of the last orphaned job */
  quarantine_t *quarantine;
} instance_t;

typedef struct
{
  struct event_base *base;
  directory_t *directory;
  uint64_t key;
  instance_t one;
  instance_t other;
} fixture_t;

static void
on_orphan (const upstream_job_t *job, void *context)
{
  instance_t *instance = context;

  instance->orphan = job->id;
}

static void
on_answer (const upstream_job_t *job, uint64_t now_ms, void *context)
{
  instance_t *instance = context;

  quarantine_add_answer (instance->quarantine, job->upstream, now_ms);
}

static void
on_broken (const upstream_job_t *job, uint64_t now_ms, void *context)
{
  instance_t *instance = context;

  quarantine_add_crash (instance->quarantine, &job->parts, job->upstream,
                        now_ms);
}

static void
on_complete (const upstream_job_t *job, uint64_t now_ms, void *context)
{
  instance_t *instance = context;

  quarantine_add_success (instance->quarantine, &job->parts, job->upstream,
                          now_ms);
}

static bool
find_service (const char *name, placer_service_t *service, void *context)
{
  return g_str_equal (name, "s");
}

/** Starts an instance that listens on its address. */
static void
start_instance (fixture_t *fixture, instance_t *instance, const char *zone)
{
  upstream_set_options_t set = { .on_answer = on_answer,
                                 .on_broken = on_broken,
                                 .on_complete = on_complete,
                                 .context = instance };
  zone_placement_options_t options = { .base = fixture->base,
                                       .listen = instance->listen,
                                       .zone = zone,
                                       .find_service = find_service,
                                       .on_orphan = on_orphan,
                                       .context = instance };

  instance->quarantine = options.quarantine = quarantine_new (NULL, NULL);
  instance->set = options.set = upstream_set_new (instance->quarantine, &set);
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
  talloc_free (fixture->one.quarantine);
  talloc_free (fixture->other.quarantine);
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
  talloc_free (one->quarantine);
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
  talloc_free (far.quarantine);
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

/** Adds an incarnation of an upstream that all know, and returns its key. */
static uint64_t
announce_upstream (fixture_t *fixture, instance_t *far, uint64_t born_ms)
{
  directory_statement_t said = { .id = "crashing",
                                 .address = "10.0.0.2:80",
                                 .zone = "z",
                                 .service = "s",
                                 .born_ms = born_ms,
                                 .sequence = 1 };
  size_t count;
  const directory_entry_t *const *entries;
  uint64_t key = 0;

  directory_put (fixture->directory, &said, clock_mono_ms ());
  entries = directory_entries (fixture->directory, &count);
  for (size_t i = 0; i < count; i++)
    if (entries[i]->said.born_ms == born_ms)
      key = entries[i]->key;
  upstream_set_sync (fixture->one.set, fixture->directory, clock_mono_ms ());
  upstream_set_sync (fixture->other.set, fixture->directory, clock_mono_ms ());
  upstream_set_sync (far->set, fixture->directory, clock_mono_ms ());
  return key;
}

/** A request of an instance begins and ends at an upstream. */
static void
run_request (instance_t *owner,
             uint64_t upstream,
             const prompt_parts_t *parts,
             upstream_job_end_t how)
{
  static uint64_t last_id = 900000;
  placement_request_t request = { .id = last_id += PLACEMENT_MAX_JOBS,
                                  .service = "s",
                                  .arrived_ms = clock_mono_ms (),
                                  .parts = *parts };
  placement_answer_t answer = { .kind = PLACEMENT_SEND, .upstream = upstream };

  zone_placement_begin (owner->placement, &request, &answer);
  zone_placement_end (owner->placement, request.id, how);
}

/** Starts a third instance, in another zone, and waits until all know each
 * other. */
static void
add_far_instance (fixture_t *fixture, instance_t *far)
{
  struct event_base *base = fixture->base;
  char *addresses[3] = { fixture->one.listen, fixture->other.listen };
  char *zones[3] = { (char *)"z", (char *)"z", (char *)"y" };
  uint64_t settled_ms = clock_mono_ms () + SETTLE_MS;

  open_instance_in (fixture, far, zones[2]);
  addresses[2] = far->listen;
  zone_placement_add_instances (fixture->one.placement, addresses, zones, 3);
  zone_placement_add_instances (fixture->other.placement, addresses, zones, 3);
  zone_placement_add_instances (far->placement, addresses, zones, 3);
  WAIT (clock_mono_ms () > settled_ms);
}

static void
free_far_instance (instance_t *far)
{
  talloc_free (far->placement);
  talloc_free (far->metrics);
  talloc_free (far->quarantine);
}

/** Waits until all instances know the same of a request. */
static void
expect_level (fixture_t *fixture,
              const instance_t *far,
              const prompt_parts_t *parts,
              quarantine_level_t level)
{
  struct event_base *base = fixture->base;
  uint64_t begun_ms = clock_mono_ms ();

  WAIT (quarantine_level (fixture->one.quarantine, parts) == level
        && quarantine_level (fixture->other.quarantine, parts) == level
        && quarantine_level (far->quarantine, parts) == level);
  g_assert_cmpuint (clock_mono_ms () - begun_ms, <, QUARANTINE_SHARED_MS);
}

/** Three upstreams crash on a request; no instance sees more than two of the
 * crashes. */
static void
expect_shared_quarantine (fixture_t *fixture,
                          instance_t *far,
                          const prompt_parts_t *parts)
{
  instance_t *owners[] = { &fixture->one, &fixture->other, &fixture->one };

  add_far_instance (fixture, far);
  for (uint64_t i = 0; i < G_N_ELEMENTS (owners); i++)
    run_request (owners[i], announce_upstream (fixture, far, 1000 + i), parts,
                 UPSTREAM_JOB_BROKEN);
  expect_level (fixture, far, parts, QUARANTINE_BLOCKED);
}

/* Guards against: instances that go on sending requests on which upstreams
 * crash at others (BUDGET). */
static void
test_quarantine_reaches_everyone (void)
{
  fixture_t *fixture = fixture_new ();
  instance_t far = { 0 };
  static const uint64_t part = 7;
  prompt_parts_t parts = { .ids = &part, .count = 1 };

  expect_shared_quarantine (fixture, &far, &parts);
  free_far_instance (&far);
  fixture_free (fixture);
}

/* Guards against: instances that do not know the request on which upstreams
 * crash at others (BUDGET), or not that it was answered since (LOST). */
static void
test_blocked_request_reaches_everyone (void)
{
  fixture_t *fixture = fixture_new ();
  instance_t far = { 0 };
  prompt_parts_t parts = { .request = 7 };

  expect_shared_quarantine (fixture, &far, &parts);
  run_request (&fixture->one, announce_upstream (fixture, &far, 2000), &parts,
               UPSTREAM_JOB_GOOD);
  expect_level (fixture, &far, &parts, QUARANTINE_CLEAR);
  free_far_instance (&far);
  fixture_free (fixture);
}

/* Guards against: a crash that other zones do not learn of because the job
 * began and ended between two updates (BUDGET). One crash alone is not told
 * later. */
static void
test_short_job_is_known (void)
{
  fixture_t *fixture = fixture_new ();
  struct event_base *base = fixture->base;
  instance_t far = { 0 };
  prompt_parts_t parts = { .request = 8 };

  add_far_instance (fixture, &far);
  run_request (&fixture->one, announce_upstream (fixture, &far, 1000), &parts,
               UPSTREAM_JOB_BROKEN);
  WAIT (quarantine_request_crashes (far.quarantine, parts.request) == 1);
  run_request (&far, announce_upstream (fixture, &far, 1001), &parts,
               UPSTREAM_JOB_BROKEN);
  g_assert_cmpint (quarantine_level (far.quarantine, &parts), ==,
                   QUARANTINE_SUSPECT);
  free_far_instance (&far);
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
  g_test_add_func ("/load-share/quarantine-reaches-everyone",
                   test_quarantine_reaches_everyone);
  g_test_add_func ("/load-share/blocked-request-reaches-everyone",
                   test_blocked_request_reaches_everyone);
  g_test_add_func ("/load-share/short-job", test_short_job_is_known);
  g_test_add_func ("/load-share/own-standstill", test_own_process_pause);
  return g_test_run ();
}
