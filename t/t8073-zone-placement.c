/*
 * Several entry instances of two zones on one event loop find upstreams through
 * the placer of their zone. The placer is lost, falls silent or does not know
 * its zone yet; every request is answered in time, and no slot is taken twice
 * while a placer lives.
 */
#include <glib.h>
#include <string.h>
#include <talloc.h>

#include "base.h"
#include "lib-zone.h"
#include "logging.h"

/** A round over all loops that leaves a placer enough time to answer. */
#define QUICK_ROUND_MS 20
#define SETTLE_MS      1500
#define MAX_TRIES      30
/** Longest time until a request is answered: two instances are asked, then it
 * is decided by its own. */
#define ANSWER_BOUND_MS 600
/** Time after which memory that nobody uses counts as leaked. */
#define MEMORY_FREE_MS 4000

/** Starts a call at each live instance of zone a, @a each times. */
static uint32_t
start_calls (zone_fixture_t *fixture, uint32_t each, zone_call_t *calls)
{
  uint32_t count = 0;

  for (uint32_t turn = 0; turn < each; turn++)
    for (uint32_t i = 0; i < ZONE_INSTANCES; i += 2)
      if (fixture->instances[i].base != NULL)
        zone_call_start (&fixture->instances[i], &calls[count++]);
  return count;
}

static bool
all_answered (const zone_call_t *calls, uint32_t count)
{
  for (uint32_t i = 0; i < count; i++)
    if (!calls[i].is_answered)
      return false;
  return true;
}

/** Starts calls for all slots at the same moment, and waits for their answers;
 * returns how many of them got a slot that another one has. */
static uint32_t
fill_once (zone_fixture_t *fixture,
           zone_call_t calls[ZONE_ENGINES * ZONE_SLOTS])
{
  GHashTable *taken = g_hash_table_new (g_int64_hash, g_int64_equal);
  uint32_t count = start_calls (fixture, ZONE_ENGINES * ZONE_SLOTS / 3, calls);
  uint32_t collisions = 0;

  g_assert_cmpuint (count, ==, ZONE_ENGINES * ZONE_SLOTS);
  ZONE_WAIT (all_answered (calls, count), NULL);
  for (uint32_t i = 0; i < count; i++)
    {
      uint64_t *key = &calls[i].answer.upstream;
      guint used = GPOINTER_TO_UINT (g_hash_table_lookup (taken, key));

      g_assert_cmpint (calls[i].answer.kind, ==, PLACEMENT_SEND);
      collisions += used >= ZONE_SLOTS;
      g_hash_table_insert (taken, key, GUINT_TO_POINTER (used + 1));
    }
  g_hash_table_destroy (taken);
  return collisions;
}

static void
end_calls (zone_call_t calls[ZONE_ENGINES * ZONE_SLOTS])
{
  for (uint32_t i = 0; i < ZONE_ENGINES * ZONE_SLOTS; i++)
    zone_call_end (&calls[i]);
}

/** Does the same and ends the calls. */
static uint32_t
count_collisions (zone_fixture_t *fixture)
{
  zone_call_t calls[ZONE_ENGINES * ZONE_SLOTS];
  uint32_t collisions = fill_once (fixture, calls);

  end_calls (calls);
  return collisions;
}

/** Returns how many requests were placed by other instances of zone a than @a
 * placer. */
static double
count_placed_by_others (const zone_fixture_t *fixture,
                        const zone_instance_t *placer)
{
  double count = 0;

  for (uint32_t i = 0; i < ZONE_INSTANCES; i += 2)
    if (&fixture->instances[i] != placer)
      count
          += zone_fixture_metric (&fixture->instances[i],
                                  "lwm_placement_decisions_total{by=\"self\"} ")
             + zone_fixture_metric (
                 &fixture->instances[i],
                 "lwm_placement_decisions_total{by=\"self_for_others"
                 "\"} ");
  return count;
}

/** Returns whether every instance of zone a knows the jobs of all calls. */
static bool
are_known (const zone_fixture_t *fixture,
           const zone_call_t calls[ZONE_ENGINES * ZONE_SLOTS])
{
  for (uint32_t i = 0; i < ZONE_INSTANCES; i += 2)
    for (uint32_t j = 0; j < ZONE_ENGINES * ZONE_SLOTS; j++)
      if (upstream_set_job (fixture->instances[i].set, calls[j].request.id)
          == NULL)
        return false;
  return true;
}

/** Fills every slot with one call and waits until zone a knows that. Only
 * requests that the placer did not answer in time, and which another instance
 * therefore placed, may have taken a slot twice; the calls are made again then.
 */
static void
fill_slots (zone_fixture_t *fixture,
            const zone_instance_t *placer,
            zone_call_t calls[ZONE_ENGINES * ZONE_SLOTS])
{
  for (uint32_t tries = 0; tries < MAX_TRIES; tries++)
    {
      double before = count_placed_by_others (fixture, placer);
      uint32_t collisions = fill_once (fixture, calls);
      double by_others = count_placed_by_others (fixture, placer) - before;

      g_test_message ("collisions=%u by_others=%.0f", collisions, by_others);
      g_assert_true (collisions == 0 || by_others > 0);
      if (collisions == 0)
        {
          ZONE_WAIT (are_known (fixture, calls), NULL);
          return;
        }
      end_calls (calls);
      zone_fixture_run_for (fixture, NULL, SETTLE_MS);
    }
  g_assert_not_reached ();
}

/** Calls of all instances at the same moment fill every slot and no slot twice.
 * That holds while the placer answers in time, so a try in which the loops
 * stood still is made again. */
static void
test_no_collisions (void)
{
  zone_fixture_t *fixture = zone_fixture_new ();
  uint32_t collisions;
  uint32_t tries = 0;

  zone_fixture_wait_for_placer (fixture);
  do
    {
      zone_fixture_run_for (fixture, NULL, SETTLE_MS);
      zone_slowest_round_ms = 0;
      collisions = count_collisions (fixture);
      g_test_message ("collisions=%u slowest_round_ms=%ju", collisions,
                      (uintmax_t)zone_slowest_round_ms);
    }
  while (zone_slowest_round_ms > QUICK_ROUND_MS && ++tries < MAX_TRIES);
  g_assert_cmpuint (zone_slowest_round_ms, <=, QUICK_ROUND_MS);
  g_assert_cmpuint (collisions, ==, 0);
  zone_fixture_free (fixture);
}

/** The jobs of a zone reach the placer of the other zone, which then chooses
 * other engines. */
static void
test_zones_know_each_other (void)
{
  zone_fixture_t *fixture = zone_fixture_new ();
  zone_call_t calls[3];
  zone_instance_t *other = NULL;

  zone_fixture_wait_for_placer (fixture);
  zone_fixture_run_for (fixture, NULL, 1500);
  start_calls (fixture, 1, calls);
  ZONE_WAIT (all_answered (calls, 3), NULL);
  for (uint32_t i = 1; i < ZONE_INSTANCES; i += 2)
    if (!zone_call_is_decided_by_other (fixture, &fixture->instances[i]))
      other = &fixture->instances[i];
  g_assert_nonnull (other);
  for (uint32_t i = 0; i < 3; i++)
    ZONE_WAIT (upstream_set_job (other->set, calls[i].request.id) != NULL,
               NULL);
  zone_call_end (&calls[0]);
  ZONE_WAIT (upstream_set_job (other->set, calls[0].request.id) == NULL, NULL);
  zone_fixture_free (fixture);
}

/** A request that finds no room waits at the placer, and is answered when
 * another instance's request ends. */
static void
test_queued_at_placer (void)
{
  zone_fixture_t *fixture = zone_fixture_new ();
  zone_call_t calls[ZONE_ENGINES * ZONE_SLOTS];
  zone_call_t waiting;

  fill_slots (fixture, zone_fixture_wait_for_placer (fixture), calls);
  zone_call_start (&fixture->instances[0], &waiting);
  ZONE_WAIT (waiting.was_queued, NULL);
  zone_fixture_run_for (fixture, NULL, 1000);
  g_assert_false (waiting.is_answered);
  g_assert_true (zone_ask_is_queued (waiting.ask));
  zone_call_end (&calls[1]);
  ZONE_WAIT (waiting.is_answered, NULL);
  g_assert_cmpint (waiting.answer.kind, ==, PLACEMENT_SEND);
  zone_fixture_free (fixture);
}

/** Decider lost: requests in progress and later ones are answered within a
 * bound, and another instance takes over. */
static void
test_placer_lost (void)
{
  zone_fixture_t *fixture = zone_fixture_new ();
  zone_instance_t *placer = zone_fixture_wait_for_placer (fixture);
  zone_call_t calls[ZONE_INSTANCES];
  uint64_t begun_ms;
  uint32_t count;

  zone_fixture_close (placer);
  begun_ms = clock_mono_ms ();
  count = start_calls (fixture, 2, calls);
  ZONE_WAIT (all_answered (calls, count), NULL);
  g_assert_cmpuint (clock_mono_ms () - begun_ms, <, ANSWER_BOUND_MS);
  for (uint32_t i = 0; i < count; i++)
    {
      g_assert_cmpint (calls[i].answer.kind, ==, PLACEMENT_SEND);
      zone_call_end (&calls[i]);
    }
  g_assert_true (zone_fixture_wait_for_placer (fixture) != placer);
  zone_fixture_free (fixture);
}

/** Decider slow: it stands still and comes back. Requests do not wait for it,
 * its late answers leave no jobs behind, and it takes over again. */
static void
test_placer_stands_still (void)
{
  zone_fixture_t *fixture = zone_fixture_new ();
  zone_instance_t *placer = zone_fixture_wait_for_placer (fixture);
  zone_call_t calls[ZONE_INSTANCES];
  uint32_t count = 0;
  uint64_t begun_ms = clock_mono_ms ();

  for (uint32_t i = 0; i < ZONE_INSTANCES; i += 2)
    if (&fixture->instances[i] != placer)
      zone_call_start (&fixture->instances[i], &calls[count++]);
  ZONE_WAIT (all_answered (calls, count), placer);
  g_assert_cmpuint (clock_mono_ms () - begun_ms, <, ANSWER_BOUND_MS);
  for (uint32_t i = 0; i < count; i++)
    zone_call_end (&calls[i]);
  zone_fixture_run_for (fixture, placer, 1500);
  g_assert_true (zone_fixture_wait_for_placer (fixture) == placer);
  zone_fixture_run_for (fixture, NULL, 2500);
  for (uint32_t i = 0; i < ZONE_INSTANCES; i += 2)
    {
      size_t members_count;
      const upstream_member_t *const *members
          = upstream_set_members (fixture->instances[i].set, &members_count);

      for (size_t j = 0; j < members_count; j++)
        g_assert_cmpuint (members[j]->jobs->len, ==, 0);
    }
  zone_fixture_free (fixture);
}

/** A request that is queued at a placer which is lost is decided by another
 * instance. */
static void
test_queue_lost_with_placer (void)
{
  zone_fixture_t *fixture = zone_fixture_new ();
  zone_instance_t *placer = zone_fixture_wait_for_placer (fixture);
  zone_call_t calls[ZONE_ENGINES * ZONE_SLOTS];
  zone_call_t waiting[2] = { 0 };
  uint32_t waiting_count = 0;

  fill_slots (fixture, placer, calls);
  for (uint32_t i = 0; i < ZONE_INSTANCES; i += 2)
    if (&fixture->instances[i] != placer)
      zone_call_start (&fixture->instances[i], &waiting[waiting_count++]);
  ZONE_WAIT (waiting[0].was_queued && waiting[1].was_queued, NULL);
  ZONE_WAIT (zone_fixture_metric (placer, "\nlwm_placement_queued ")
                 == waiting_count,
             NULL);
  zone_fixture_close (placer);
  for (uint32_t i = 0; i < ZONE_ENGINES * ZONE_SLOTS; i++)
    if (calls[i].instance != placer)
      zone_call_end (&calls[i]);
  ZONE_WAIT (all_answered (waiting, waiting_count), NULL);
  g_assert_cmpint (waiting[0].answer.kind, ==, PLACEMENT_SEND);
  zone_fixture_free (fixture);
}

/** Begins the jobs of a request whose helper has reserved memory; returns the
 * id of the helper's job. */
static uint64_t
begin_with_reservation (zone_instance_t *instance)
{
  size_t count;
  uint64_t key = upstream_set_members (instance->set, &count)[0]->key;
  placement_request_t request = { .id = 500,
                                  .service = "engines",
                                  .prompt_tokens = 300000,
                                  .target_ms = 3000,
                                  .arrived_ms = clock_mono_ms () };
  placement_answer_t answer = { .upstream = key,
                                .helpers = { key },
                                .helper_count = 1,
                                .memory_tokens = { 90000 },
                                .memory_count = 1 };

  zone_placement_begin (instance->placement, &request, &answer);
  return request.id + 1;
}

/** Returns an instance of another zone that knows a job of instance 1, or
 * NULL. */
static zone_instance_t *
find_knowing (zone_fixture_t *fixture, uint64_t job_id)
{
  for (uint32_t i = 0; i < ZONE_INSTANCES; i++)
    if (strcmp (fixture->zones[i], fixture->zones[1]) != 0
        && upstream_set_job (fixture->instances[i].set, job_id) != NULL)
      return &fixture->instances[i];
  return NULL;
}

/** Returns whether an instance has to release the reservation of a job. */
static bool
is_orphaned (const zone_fixture_t *fixture, uint64_t job_id)
{
  for (uint32_t i = 0; i < ZONE_INSTANCES; i++)
    if (fixture->instances[i].orphan == job_id)
      return true;
  return false;
}

/** The only instance of a zone is killed and restarts at once. Nobody in its
 * zone knows its reservation, so an instance of another zone releases it before
 * the memory counts as leaked. */
static void
test_reservation_of_lone_instance (void)
{
  zone_fixture_t *fixture = zone_fixture_new_with (true);
  uint64_t job_id;
  uint64_t lost_ms;

  zone_fixture_wait_for_placer (fixture);
  zone_fixture_run_for (fixture, NULL, 1500);
  job_id = begin_with_reservation (&fixture->instances[1]);
  ZONE_WAIT (find_knowing (fixture, job_id) != NULL, NULL);
  zone_fixture_close (&fixture->instances[1]);
  lost_ms = clock_mono_ms ();
  zone_fixture_open (fixture, 1);
  ZONE_WAIT (is_orphaned (fixture, job_id), NULL);
  g_assert_cmpuint (clock_mono_ms () - lost_ms, <, MEMORY_FREE_MS);
  zone_fixture_free (fixture);
}

/** The placer of a zone is lost. What another instance of the zone has reserved
 * is reported by the stand-by, and stays. */
static void
test_reservation_survives_placer (void)
{
  zone_fixture_t *fixture = zone_fixture_new ();
  zone_instance_t *placer;
  zone_instance_t *holder = &fixture->instances[1];
  uint64_t job_id;

  zone_fixture_wait_for_placer (fixture);
  placer = zone_fixture_wait_for_placer_of (fixture, 1);
  zone_fixture_run_for (fixture, NULL, 1500);
  for (uint32_t i = 1; i < ZONE_INSTANCES; i += 2)
    if (&fixture->instances[i] != placer)
      holder = &fixture->instances[i];
  job_id = begin_with_reservation (holder);
  ZONE_WAIT (find_knowing (fixture, job_id) != NULL, NULL);
  zone_fixture_close (placer);
  zone_fixture_run_for (fixture, NULL, 6000);
  g_assert_nonnull (find_knowing (fixture, job_id));
  g_assert_false (is_orphaned (fixture, job_id));
  zone_fixture_free (fixture);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  base_init ("t8073-zone-placement");
  logging_init (LOGGING_ERROR);
  g_test_add_func ("/zone-placement/no-collisions", test_no_collisions);
  g_test_add_func ("/zone-placement/zones", test_zones_know_each_other);
  g_test_add_func ("/zone-placement/queued", test_queued_at_placer);
  g_test_add_func ("/zone-placement/placer-lost", test_placer_lost);
  g_test_add_func ("/zone-placement/placer-stands-still",
                   test_placer_stands_still);
  g_test_add_func ("/zone-placement/queue-lost", test_queue_lost_with_placer);
  g_test_add_func ("/zone-placement/reservation-of-lone-instance",
                   test_reservation_of_lone_instance);
  g_test_add_func ("/zone-placement/reservation-survives-placer",
                   test_reservation_survives_placer);
  return g_test_run ();
}
