/*
 * Orders to drain a zone, with real processes: acknowledged orders are in force
 * at all entry instances in time, survive restarts, and end again.
 */
#include <signal.h>

#include "lib-zone-drain.h"

#define DRAINED        1 /* zone that the tests drain */
#define ORDERS_AT_ONCE 8
/** A request that waits for its deadline would take 12 s. */
#define AT_ONCE_MS 3000

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

/** An operator that sends one order at once. */
typedef struct
{
  const zone_drain_t *fixture;
  int control;
  const char *zone;
  int status;
} operator_t;

static gpointer
send_start (gpointer context)
{
  operator_t *sender = context;

  sender->status
      = zone_drain_order (sender->fixture, sender->control, sender->zone, true);
  return NULL;
}

/** Guards against open orders that refuse or undo each other: two operators
 * order eight times at once, at all control instances, to drain two zones. */
static void
test_orders_at_once (void)
{
  zone_drain_t *fixture = zone_drain_new ();
  operator_t operators[ORDERS_AT_ONCE];
  GThread *threads[ORDERS_AT_ONCE];

  for (int i = 0; i < ORDERS_AT_ONCE; i++)
    {
      operators[i] = (operator_t){ .fixture = fixture,
                                   .control = i % NODES_CONTROLS,
                                   .zone = zone_drain_name (i % 2) };
      threads[i] = g_thread_new ("operator", send_start, &operators[i]);
    }
  for (int i = 0; i < ORDERS_AT_ONCE; i++)
    {
      g_thread_join (threads[i]);
      g_assert_cmpint (operators[i].status, ==, 200);
    }
  zone_drain_wait_in_force (fixture, 2);
  zone_drain_expect_unused (fixture, 0);
  zone_drain_expect_unused (fixture, 1);
  zone_drain_free (fixture);
}

/** Returns the control instance that leads, -1 for none. */
static int
find_leader (const zone_drain_t *fixture)
{
  for (int i = 0; i < NODES_CONTROLS; i++)
    if (nodes_metric (fixture->nodes, i, "lwm_control_leader") == 1)
      return i;
  return -1;
}

/** Guards against an order that is lost, or in force without an end, when the
 * leader is killed while it handles the order. */
static void
test_leader_killed (void)
{
  zone_drain_t *fixture = zone_drain_new ();
  const char *zone = zone_drain_name (DRAINED);
  int leader = find_leader (fixture);
  operator_t sender = { .fixture = fixture,
                        .control = (leader + 1) % NODES_CONTROLS,
                        .zone = zone };
  GThread *thread;

  g_assert_cmpint (leader, >=, 0);
  thread = g_thread_new ("operator", send_start, &sender);
  process_signal (fixture->nodes->process[leader], SIGKILL);
  g_thread_join (thread);
  g_assert_true (sender.status == 200 || sender.status == 503);
  if (sender.status != 200)
    zone_drain_order_until_accepted (fixture, zone, true);
  zone_drain_wait_in_force (fixture, 1);
  zone_drain_expect_unused (fixture, DRAINED);
  nodes_start (fixture->nodes, leader, false);
  zone_drain_order_until_accepted (fixture, zone, false);
  zone_drain_wait_in_force (fixture, 0);
  zone_drain_expect_used (fixture, DRAINED);
  zone_drain_free (fixture);
}

/** Guards against a control instance without its disk that tells an entry
 * instance, which starts at the same time, of no drained zones. */
static void
test_lost_disk (void)
{
  zone_drain_t *fixture = zone_drain_new ();
  nodes_t *nodes = fixture->nodes;

  g_assert_cmpint (
      zone_drain_order (fixture, 0, zone_drain_name (DRAINED), true), ==, 200);
  process_signal (nodes->process[NODES_ENTRY], SIGKILL);
  process_signal (nodes->process[2], SIGKILL);
  cluster_empty_folder (cluster_subfolder (nodes->cluster, "node-2"));
  nodes_start (nodes, 2, false);
  nodes_start (nodes, NODES_ENTRY, false);
  CLUSTER_WAIT (nodes_is_ready (nodes, NODES_ENTRY));
  zone_drain_expect_unused (fixture, DRAINED);
  zone_drain_wait_in_force (fixture, 1);
  zone_drain_free (fixture);
}

/** Guards against an order that is acknowledged without a quorum, and against
 * an entry instance that starts without one and forgets the drain. */
static void
test_no_quorum (void)
{
  zone_drain_t *fixture = zone_drain_new ();
  nodes_t *nodes = fixture->nodes;
  const char *zone = zone_drain_name (DRAINED);

  g_assert_cmpint (zone_drain_order (fixture, 0, zone, true), ==, 200);
  CLUSTER_WAIT (nodes_metric (nodes, 2, "lwm_control_drained_zones") == 1);
  process_signal (nodes->process[0], SIGKILL);
  process_signal (nodes->process[1], SIGKILL);
  g_assert_cmpint (zone_drain_order (fixture, 2, zone, false), ==, 503);
  process_signal (nodes->process[NODES_ENTRY], SIGKILL);
  nodes_start (nodes, NODES_ENTRY, false);
  CLUSTER_WAIT (nodes_is_ready (nodes, NODES_ENTRY));
  zone_drain_expect_unused (fixture, DRAINED);
  zone_drain_free (fixture);
}

/** Guards against requests that wait when no zone may serve them. */
static void
test_all_zones (void)
{
  zone_drain_t *fixture = zone_drain_new ();

  for (int i = 0; i < ZONE_DRAIN_ZONES; i++)
    g_assert_cmpint (zone_drain_order (fixture, i, zone_drain_name (i), true),
                     ==, 200);
  zone_drain_wait_in_force (fixture, ZONE_DRAIN_ZONES);
  for (int i = 0; i < fixture->nodes->entries; i++)
    {
      zone_drain_reply_t reply = zone_drain_request (fixture, i, "/unsafe/0");

      g_assert_cmpint (reply.status, ==, 503);
      g_assert_true (reply.is_not_run);
      g_assert_cmpuint (reply.took_ms, <, AT_ONCE_MS);
    }
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
  g_test_add_func ("/zone-drain/orders-at-once", test_orders_at_once);
  g_test_add_func ("/zone-drain/leader-killed", test_leader_killed);
  g_test_add_func ("/zone-drain/lost-disk", test_lost_disk);
  g_test_add_func ("/zone-drain/no-quorum", test_no_quorum);
  g_test_add_func ("/zone-drain/all-zones", test_all_zones);
  return g_test_run ();
}
