/*
 * Tests that placers which learn of each other's requests late keep the bound
 * of a cold upstream together, and that one placer uses it.
 */
#include <glib.h>

#include "lib-cold.h"

#define STEP_MS     5
#define INSTANCES   12
#define SECONDS     10
#define MAX_LAG_MS  45
#define USED_SHARE  0.9
#define COLD_FOR_MS (SECONDS * 1000)

/** What the deciders of a run do. */
typedef struct
{
  uint32_t counting;  /* placers of the upstream's zone */
  uint32_t foreign;   /* placers of another zone */
  bool has_lone_ones; /* instances decide alone meanwhile */
  uint32_t lag_ms;
  bool is_bursty; /* placers have requests in some seconds only */
} run_t;

static bool
is_sending (const run_t *run, uint32_t placer, uint64_t now_ms)
{
  return !run->is_bursty || now_ms / (300 + 170 * placer) % 3 != 0;
}

static cold_fleet_t *
play (const run_t *run)
{
  cold_fleet_t *fleet = cold_fleet_new (run->lag_ms);
  uint32_t placers = run->counting + run->foreign;

  cold_fleet_announce (fleet, "u", "a", COLD_FOR_MS, COLD_START_MS);
  for (uint32_t i = 0; i < placers; i++)
    cold_fleet_add (fleet, i < run->counting ? "a" : "b", COLD_START_MS)
        ->is_counting
        = true;
  for (uint32_t i = 0; i < INSTANCES; i++)
    cold_fleet_add (fleet, "a", COLD_START_MS)->is_alone = true;
  cold_fleet_introduce (fleet);
  for (uint64_t now_ms = COLD_START_MS; now_ms < COLD_START_MS + COLD_FOR_MS;
       now_ms += STEP_MS)
    {
      cold_fleet_step (fleet, now_ms);
      for (uint32_t i = 0; i < fleet->deciders->len; i++)
        if (i < placers ? is_sending (run, i, now_ms) : run->has_lone_ones)
          cold_fleet_send (fleet, g_ptr_array_index (fleet->deciders, i),
                           now_ms);
    }
  g_test_message ("counting=%u foreign=%u lone=%d lag=%u bursty=%d most=%u "
                  "sent_s=%.1f",
                  run->counting, run->foreign, run->has_lone_ones, run->lag_ms,
                  run->is_bursty, cold_fleet_most_in_a_second (fleet),
                  (double)cold_fleet_sent (fleet) / SECONDS);
  return fleet;
}

static void
test_bound (void)
{
  for (uint32_t counting = 0; counting <= 2; counting++)
    for (uint32_t foreign = 0; foreign <= 3; foreign++)
      for (uint32_t lag_ms = 0; lag_ms <= MAX_LAG_MS; lag_ms += 15)
        for (uint32_t variant = 0; variant < 4; variant++)
          {
            run_t run = { .counting = counting,
                          .foreign = foreign,
                          .lag_ms = lag_ms,
                          .has_lone_ones = variant % 2 == 0,
                          .is_bursty = variant / 2 == 0 };
            cold_fleet_t *fleet = play (&run);

            g_assert_cmpuint (cold_fleet_most_in_a_second (fleet), <=,
                              COLD_BOUND);
            cold_fleet_free (fleet);
          }
}

static void
test_use (void)
{
  run_t run = { .counting = 1, .lag_ms = MAX_LAG_MS };
  cold_fleet_t *fleet = play (&run);

  g_assert_cmpfloat ((double)cold_fleet_sent (fleet) / SECONDS, >=,
                     USED_SHARE * COLD_BOUND);
  cold_fleet_free (fleet);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/cold-placers/bound", test_bound);
  g_test_add_func ("/cold-placers/use", test_use);
  return g_test_run ();
}
