/*
 * Orders to drain a zone, with real processes: acknowledged orders are in force
 * at all entry instances in time, survive restarts, and end again.
 */
#include <signal.h>

#include "lib-zone-drain.h"

#define DRAINED 1 /* zone that the tests drain */

/** Guards against an order that is acknowledged but does not come into force at
 * each entry instance, or does not end. */
static void
test_start_and_end (void)
{
  zone_drain_t *fixture = zone_drain_new ();
  const char *zone = zone_drain_name (DRAINED);

  g_assert_cmpint (zone_drain_order (fixture, 2, zone, true), ==, 200);
  zone_drain_wait_in_force (fixture, 1);
  zone_drain_expect_unused (fixture, DRAINED);
  g_assert_cmpint (zone_drain_order (fixture, 0, zone, false), ==, 200);
  zone_drain_wait_in_force (fixture, 0);
  zone_drain_expect_used (fixture, DRAINED);
  zone_drain_free (fixture);
}

/** Guards against an order for an unknown zone, or a malformed one, that is
 * accepted, and against one that is not acknowledged when it is repeated. */
static void
test_unknown_and_repeated (void)
{
  zone_drain_t *fixture = zone_drain_new ();
  const char *zone = zone_drain_name (DRAINED);

  g_assert_cmpint (zone_drain_order (fixture, 0, "z-x", true), ==, 404);
  g_assert_cmpint (zone_drain_order (fixture, 1, "z-x", false), ==, 404);
  g_assert_cmpint (nodes_call (fixture->nodes, 0, 0, "POST",
                               NODES_PATH_DRAIN "z/stop", NULL),
                   ==, 404);
  g_assert_cmpint (
      nodes_call (fixture->nodes, 0, 0, "POST", NODES_PATH_DRAIN "z", NULL), ==,
      404);
  g_assert_cmpfloat (
      nodes_metric (fixture->nodes, 0, "lwm_control_drains_version"), ==, 0);
  for (int i = 0; i < 2 * NODES_CONTROLS; i++)
    g_assert_cmpint (zone_drain_order (fixture, i % NODES_CONTROLS, zone, true),
                     ==, 200);
  zone_drain_wait_in_force (fixture, 1);
  for (int i = 0; i < 2 * NODES_CONTROLS; i++)
    g_assert_cmpint (
        zone_drain_order (fixture, i % NODES_CONTROLS, zone, false), ==, 200);
  zone_drain_wait_in_force (fixture, 0);
  zone_drain_free (fixture);
}

/** Guards against a drain that is lost in a restart of all processes at once,
 * or that instances do not know of yet when they serve again. */
static void
test_restart_of_all (void)
{
  zone_drain_t *fixture = zone_drain_new ();

  g_assert_cmpint (
      zone_drain_order (fixture, 0, zone_drain_name (DRAINED), true), ==, 200);
  zone_drain_restart_all (fixture);
  zone_drain_expect_unused (fixture, DRAINED);
  zone_drain_wait_in_force (fixture, 1);
  zone_drain_expect_unused (fixture, DRAINED);
  zone_drain_free (fixture);
}

/** Guards against an entry instance that starts after the order and serves
 * before it knows of it. */
static void
test_later_entry (void)
{
  zone_drain_t *fixture = zone_drain_new ();
  nodes_t *nodes = fixture->nodes;

  process_signal (nodes->process[NODES_ENTRY], SIGKILL);
  g_assert_cmpint (
      zone_drain_order (fixture, 0, zone_drain_name (DRAINED), true), ==, 200);
  nodes_start (nodes, NODES_ENTRY, false);
  CLUSTER_WAIT (nodes_is_ready (nodes, NODES_ENTRY));
  g_assert_cmpfloat (
      zone_drain_entry_metric (fixture, 0, "lwm_entry_drained_zones"), ==, 1);
  zone_drain_wait_in_force (fixture, 1);
  zone_drain_expect_unused (fixture, DRAINED);
  zone_drain_free (fixture);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/zone-drain/start-and-end", test_start_and_end);
  g_test_add_func ("/zone-drain/unknown-and-repeated",
                   test_unknown_and_repeated);
  g_test_add_func ("/zone-drain/restart-of-all", test_restart_of_all);
  g_test_add_func ("/zone-drain/later-entry", test_later_entry);
  return g_test_run ();
}
