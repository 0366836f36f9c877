/*
 * Pattern "common restart": all entry instances of two zones start at the same
 * moment and know nothing. Each zone must have its placer before the requests
 * that were interrupted come back, an instance of a running zone must not
 * become placer without knowing its jobs, and one that does not come back must
 * not delay the others.
 */
#include <glib.h>
#include <string.h>

#include "base.h"
#include "lib-zone.h"
#include "logging.h"

/** Time from a common start in which a zone must have its placer. It is short
 * against the half second in which interrupted requests come back. */
#define PLACER_BOUND_MS 500
/** The same when the instances that would be placer do not come back. */
#define PARTIAL_BOUND_MS 700
/** Time from its start for which an instance of a running zone must not choose
 * for others: it may have missed their jobs. */
#define UNABLE_MS 1200
/** Time within which a request of a starting zone without a placer is sent. */
#define HOLD_BOUND_MS 300
/** A round over all loops that leaves an instance the time to answer. */
#define QUICK_ROUND_MS 20
#define MAX_TRIES      10

/** Returns the number of decisions of an instance for others. */
static double
count_served (const zone_instance_t *instance)
{
  return zone_fixture_metric (
      instance, "lwm_placement_decisions_total{by=\"self_for_others\"} ");
}

static double
count_remote (const zone_instance_t *instance)
{
  return zone_fixture_metric (instance,
                              "lwm_placement_decisions_total{by=\"placer\"} ");
}

/** Makes a call at each live instance of zone a at the same time, and returns
 * how many of them the placer decided on. All end at once. */
static uint32_t
count_decided_by_placer (zone_fixture_t *fixture)
{
  zone_call_t calls[ZONE_INSTANCES];
  double before = 0;
  double after = 0;
  uint32_t count = 0;

  for (uint32_t i = 0; i < ZONE_INSTANCES; i += 2)
    if (fixture->instances[i].base != NULL)
      {
        before += count_remote (&fixture->instances[i]);
        zone_call_start (&fixture->instances[i], &calls[count++]);
      }
  for (uint32_t i = 0; i < count; i++)
    {
      ZONE_WAIT (calls[i].is_answered, NULL);
      zone_call_end (&calls[i]);
    }
  for (uint32_t i = 0; i < ZONE_INSTANCES; i += 2)
    if (fixture->instances[i].base != NULL)
      after += count_remote (&fixture->instances[i]);
  return (uint32_t)(after - before);
}

/** Returns the time from now until all live instances of zone a but one are
 * decided for by that one. */
static uint64_t
measure_placer_ms (zone_fixture_t *fixture, uint32_t live)
{
  uint64_t begun_ms = clock_mono_ms ();

  ZONE_WAIT (count_decided_by_placer (fixture) + 1 == live, NULL);
  return clock_mono_ms () - begun_ms;
}

static void
kill_all (zone_fixture_t *fixture)
{
  for (uint32_t i = 0; i < ZONE_INSTANCES; i++)
    zone_fixture_close (&fixture->instances[i]);
}

/** Guards against: each instance chooses alone for two to three seconds after a
 * common restart, in which all interrupted requests come back. */
static void
test_common_restart (void)
{
  zone_fixture_t *fixture = zone_fixture_new ();
  uint64_t took_ms;
  uint32_t tries = 0;

  do
    {
      zone_fixture_run_for (fixture, NULL, 200);
      kill_all (fixture);
      for (uint32_t i = 0; i < ZONE_INSTANCES; i++)
        zone_fixture_open (fixture, i);
      zone_slowest_round_ms = 0;
      took_ms = measure_placer_ms (fixture, 3);
      g_test_message ("placer_ms=%ju slowest_round_ms=%ju", (uintmax_t)took_ms,
                      (uintmax_t)zone_slowest_round_ms);
    }
  while (zone_slowest_round_ms > QUICK_ROUND_MS && ++tries < MAX_TRIES);
  g_assert_cmpuint (took_ms, <, PLACER_BOUND_MS);
  zone_fixture_free (fixture);
}

/** Returns the instance of zone a that is its placer when all have started. */
static uint32_t
find_placer (zone_fixture_t *fixture)
{
  const zone_instance_t *placer = zone_fixture_wait_for_placer (fixture);

  return (uint32_t)(placer - fixture->instances);
}

/** Guards against: the instance that would be placer does not come back, and
 * the others wait for it. */
static void
test_placer_does_not_return (void)
{
  zone_fixture_t *fixture = zone_fixture_new ();
  uint32_t lost = find_placer (fixture);
  uint64_t took_ms;
  uint32_t tries = 0;

  do
    {
      kill_all (fixture);
      for (uint32_t i = 0; i < ZONE_INSTANCES; i++)
        if (i != lost)
          zone_fixture_open (fixture, i);
      zone_slowest_round_ms = 0;
      took_ms = measure_placer_ms (fixture, 2);
      g_test_message ("placer_ms=%ju slowest_round_ms=%ju", (uintmax_t)took_ms,
                      (uintmax_t)zone_slowest_round_ms);
    }
  while (zone_slowest_round_ms > QUICK_ROUND_MS && ++tries < MAX_TRIES);
  g_assert_cmpuint (took_ms, <, PARTIAL_BOUND_MS);
  zone_fixture_free (fixture);
}

/** Restarts instances of a zone of which another one goes on, and checks that
 * none of them chooses for others before it can know their jobs. */
static void
expect_unable (zone_fixture_t *fixture, const uint32_t *started, uint32_t count)
{
  double served = 0;
  uint64_t end_ms;

  for (uint32_t i = 0; i < count; i++)
    zone_fixture_close (&fixture->instances[started[i]]);
  end_ms = clock_mono_ms () + UNABLE_MS;
  for (uint32_t i = 0; i < count; i++)
    zone_fixture_open (fixture, started[i]);
  while (clock_mono_ms () < end_ms)
    {
      g_assert_cmpfloat (served, ==, 0);
      count_decided_by_placer (fixture);
      for (uint32_t i = 0; i < count; i++)
        served += count_served (&fixture->instances[started[i]]);
    }
}

/** Guards against: an instance that restarts alone in a running zone takes it
 * for one that has just started, and chooses without knowing its jobs. */
static void
test_sole_restart_in_running_zone (void)
{
  zone_fixture_t *fixture = zone_fixture_new ();
  uint32_t placer = find_placer (fixture);

  zone_fixture_run_for (fixture, NULL, 4000);
  expect_unable (fixture, &placer, 1);
  g_assert_true (zone_fixture_wait_for_placer (fixture)
                 == &fixture->instances[placer]);
  zone_fixture_free (fixture);
}

/** Guards against the same when most of a zone restarts and one goes on: it
 * must not be decided for by instances that know of no other jobs. */
static void
test_part_restarts (void)
{
  zone_fixture_t *fixture = zone_fixture_new ();
  uint32_t started[2];
  uint32_t count = 0;
  uint32_t kept = (find_placer (fixture) + 2) % ZONE_INSTANCES;

  zone_fixture_run_for (fixture, NULL, 4000);
  for (uint32_t i = 0; i < ZONE_INSTANCES; i += 2)
    if (i != kept)
      started[count++] = i;
  expect_unable (fixture, started, count);
  zone_fixture_wait_for_placer (fixture);
  zone_fixture_free (fixture);
}

/** Guards against: requests of an instance that is cut from its zone wait for a
 * placer longer than they are held. */
static void
test_cut_zone (void)
{
  zone_fixture_t *fixture = zone_fixture_new ();
  zone_call_t call;
  uint64_t begun_ms;
  uint64_t took_ms;

  kill_all (fixture);
  zone_fixture_open (fixture, 0);
  begun_ms = clock_mono_ms ();
  zone_call_start (&fixture->instances[0], &call);
  ZONE_WAIT (call.is_answered, NULL);
  took_ms = clock_mono_ms () - begun_ms;
  g_assert_cmpint (call.answer.kind, ==, PLACEMENT_SEND);
  g_assert_cmpuint (took_ms, <, HOLD_BOUND_MS);
  g_assert_cmpfloat (zone_fixture_metric (
                         &fixture->instances[0],
                         "lwm_placement_fallbacks_total{reason=\"starting\"} "),
                     ==, 1);
  zone_fixture_free (fixture);
}

/** Starts all instances, makes a call for each slot before any placer is there,
 * and returns how many calls got a slot that another one has. */
static uint32_t
count_collisions_at_start (zone_fixture_t *fixture)
{
  zone_call_t calls[ZONE_ENGINES * ZONE_SLOTS];
  GHashTable *taken = g_hash_table_new (g_int64_hash, g_int64_equal);
  uint32_t count = 0;
  uint32_t collisions = 0;

  kill_all (fixture);
  for (uint32_t i = 0; i < ZONE_INSTANCES; i++)
    zone_fixture_open (fixture, i);
  for (uint32_t i = 0; count < ZONE_ENGINES * ZONE_SLOTS;
       i = (i + 2) % ZONE_INSTANCES)
    zone_call_start (&fixture->instances[i], &calls[count++]);
  for (uint32_t i = 0; i < count; i++)
    {
      uint64_t *key = &calls[i].answer.upstream;
      guint used;

      ZONE_WAIT (calls[i].is_answered, NULL);
      used = GPOINTER_TO_UINT (g_hash_table_lookup (taken, key));
      collisions += used >= ZONE_SLOTS;
      g_hash_table_insert (taken, key, GUINT_TO_POINTER (used + 1));
    }
  g_hash_table_destroy (taken);
  return collisions;
}

/** Guards against: a crowd that comes before a placer is there is placed
 * blindly, and slots are taken twice while others are free. */
static void
test_crowd_at_start (void)
{
  zone_fixture_t *fixture = zone_fixture_new ();
  uint32_t collisions;
  uint32_t tries = 0;

  do
    {
      zone_slowest_round_ms = 0;
      collisions = count_collisions_at_start (fixture);
      g_test_message ("collisions=%u slowest_round_ms=%ju", collisions,
                      (uintmax_t)zone_slowest_round_ms);
    }
  while (zone_slowest_round_ms > QUICK_ROUND_MS && ++tries < MAX_TRIES);
  g_assert_cmpuint (collisions, ==, 0);
  zone_fixture_free (fixture);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  base_init ("t8340-common-restart");
  logging_init (LOGGING_ERROR);
  g_test_add_func ("/common-restart/all", test_common_restart);
  g_test_add_func ("/common-restart/crowd", test_crowd_at_start);
  g_test_add_func ("/common-restart/placer-does-not-return",
                   test_placer_does_not_return);
  g_test_add_func ("/common-restart/sole-restart",
                   test_sole_restart_in_running_zone);
  g_test_add_func ("/common-restart/part-restarts", test_part_restarts);
  g_test_add_func ("/common-restart/cut-zone", test_cut_zone);
  return g_test_run ();
}
