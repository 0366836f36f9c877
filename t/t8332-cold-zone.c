/*
 * Tests a zone whose upstreams return together with all of its traffic: the
 * placer must keep the bound of each, and must not refuse what they can take.
 */
#include <glib.h>

#include "lib-cold.h"

#define UPSTREAMS 20
#define STEP_MS   10
#define RATE_S    35

static void
announce_zone (cold_fleet_t *fleet, uint32_t cold_ms, uint64_t now_ms)
{
  char id[16];

  for (uint32_t i = 0; i < UPSTREAMS; i++)
    {
      g_snprintf (id, sizeof id, "u%u", i);
      cold_fleet_announce (fleet, id, "a", cold_ms, now_ms);
    }
}

/** Returns the requests that had to wait, summed over the steps.
 * @param first_burst requests that wait at the start */
static uint32_t
run_traffic (cold_fleet_t *fleet, cold_decider_t *placer, double first_burst)
{
  uint32_t waiting = 0;
  double queued = first_burst;

  for (uint64_t now_ms = COLD_START_MS; now_ms < COLD_START_MS + 3000;
       now_ms += STEP_MS)
    {
      cold_fleet_step (fleet, now_ms);
      queued += RATE_S * STEP_MS / 1000.0;
      while (queued >= 1 && cold_fleet_send (fleet, placer, now_ms))
        queued -= 1;
      waiting += (uint32_t)queued;
    }
  return waiting;
}

static void
test_return (void)
{
  cold_fleet_t *fleet = cold_fleet_new (45);
  cold_decider_t *placer;
  uint32_t waiting;

  announce_zone (fleet, 3000, COLD_START_MS);
  placer = cold_fleet_add (fleet, "a", COLD_START_MS);
  cold_fleet_add (fleet, "b", COLD_START_MS);
  cold_fleet_introduce (fleet);
  placer->is_counting = true;
  waiting = run_traffic (fleet, placer, 0);
  g_test_message ("most=%u sent=%u waiting=%u",
                  cold_fleet_most_in_a_second (fleet), cold_fleet_sent (fleet),
                  waiting);
  g_assert_cmpuint (cold_fleet_most_in_a_second (fleet), <=, COLD_BOUND);
  g_assert_cmpuint (cold_fleet_sent (fleet), >=, 3 * RATE_S - 1);
  g_assert_cmpuint (waiting, ==, 0);
  cold_fleet_free (fleet);
}

/** 600 requests have been queued meanwhile; one upstream of another zone is
 * warm, but full soon. */
static void
test_return_with_queue (void)
{
  cold_fleet_t *fleet = cold_fleet_new (45);
  cold_decider_t *placer;

  announce_zone (fleet, 3000, COLD_START_MS);
  placer = cold_fleet_add (fleet, "a", COLD_START_MS);
  cold_fleet_add (fleet, "b", COLD_START_MS);
  cold_fleet_introduce (fleet);
  placer->is_counting = true;
  run_traffic (fleet, placer, 600);
  g_test_message ("most=%u sent=%u", cold_fleet_most_in_a_second (fleet),
                  cold_fleet_sent (fleet));
  g_assert_cmpuint (cold_fleet_most_in_a_second (fleet), <=, COLD_BOUND);
  g_assert_cmpuint (cold_fleet_sent (fleet), >=, 600 + 3 * RATE_S - 1);
  cold_fleet_free (fleet);
}

/** A request for which a cold upstream has no room goes to a warm one. */
static void
test_others_first (void)
{
  cold_fleet_t *fleet = cold_fleet_new (45);
  cold_decider_t *placer;
  choice_t choice;

  announce_zone (fleet, 3000, COLD_START_MS);
  cold_fleet_announce (fleet, "warm", "b", 0, COLD_START_MS);
  placer = cold_fleet_add (fleet, "a", COLD_START_MS);
  choice = cold_fleet_choose (placer, 1000, COLD_START_MS);
  g_assert_cmpint (choice.kind, ==, CHOICE_SEND);
  g_assert_cmpstr (choice.member->id, ==, "warm");
  cold_fleet_free (fleet);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/cold-zone/return", test_return);
  g_test_add_func ("/cold-zone/return-with-queue", test_return_with_queue);
  g_test_add_func ("/cold-zone/others-first", test_others_first);
  return g_test_run ();
}
