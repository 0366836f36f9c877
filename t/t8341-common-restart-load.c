/*
 * Pattern "common restart" on simulated engines: all instances know nothing,
 * and the requests of a second come back within half a second. From the second
 * second on, the value must be back at 0.95 of that under the usual load.
 */
#include <glib.h>

#include "lib-engines-restart.h"

#define SEEDS 6
/** Share of the earlier value that must be reached after the first second. */
#define MIN_SHARE 0.95

static const engines_restart_way_t usual
    = { .name = "usual load", .has_no_crowd = true };
static const engines_restart_way_t before
    = { .name = "placer after 2.5 s", .placerless_ms = 2500 };
static const engines_restart_way_t now
    = { .name = "placer after 0.03 s, held, spread",
        .placerless_ms = 30,
        .hold_ms = 100,
        .spread_ms = 150 };
static const engines_restart_way_t placer_lost
    = { .name = "placer after 0.3 s, held, spread",
        .placerless_ms = 300,
        .hold_ms = 100,
        .spread_ms = 150 };

/** Seconds, from 0 on: those after the first one of a restart, and those in
 * which the usual load has settled, as no engine is empty any more. */
#define AFTER_FROM   1
#define AFTER_TO     4
#define SETTLED_FROM 4

/** Returns the mean of the shares of some seconds; sets that of the first. */
static double
mean_share (const engines_restart_fleet_t *fleet,
            const engines_restart_way_t *way,
            uint32_t from,
            uint32_t to,
            double *first)
{
  double shares[ENGINES_SECONDS];
  double sum = 0;

  engines_restart_simulate (fleet, way, SEEDS, shares);
  *first = shares[0];
  for (uint32_t i = from; i < to; i++)
    sum += shares[i];
  g_test_message ("%u instances, %s: second 1 %.3f, %u to %u %.3f",
                  fleet->instances, way->name, *first, from + 1, to,
                  sum / (to - from));
  return sum / (to - from);
}

/** Guards against: a crowd after a common start is placed blindly by each
 * instance, or packed onto a few engines by a placer that finds all empty. */
static void
check_fleet (const engines_restart_fleet_t *fleet)
{
  double first_before;
  double first;
  double wanted
      = MIN_SHARE
        * mean_share (fleet, &usual, SETTLED_FROM, ENGINES_SECONDS, &first);

  mean_share (fleet, &before, AFTER_FROM, AFTER_TO, &first_before);
  g_assert_cmpfloat (mean_share (fleet, &now, AFTER_FROM, AFTER_TO, &first), >=,
                     wanted);
  g_assert_cmpfloat (first, >, first_before);
  g_assert_cmpfloat (
      mean_share (fleet, &placer_lost, AFTER_FROM, AFTER_TO, &first), >=,
      wanted);
  g_assert_cmpfloat (first, >, first_before);
}

static void
test_24 (void)
{
  static const engines_restart_fleet_t fleet = { 24, 18, 3 };

  check_fleet (&fleet);
}

static void
test_83 (void)
{
  static const engines_restart_fleet_t fleet = { 83, 45, 3 };

  check_fleet (&fleet);
}

static void
test_300 (void)
{
  static const engines_restart_fleet_t fleet = { 300, 112, 5 };

  check_fleet (&fleet);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/common-restart-load/24", test_24);
  g_test_add_func ("/common-restart-load/83", test_83);
  g_test_add_func ("/common-restart-load/300", test_300);
  return g_test_run ();
}
