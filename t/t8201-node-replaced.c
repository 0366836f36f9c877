/*
 * Control instances of a platform that are replaced or lost, as real processes:
 * the group keeps its quorum and what it has acknowledged.
 */
#include <glib.h>
#include <signal.h>
#include <string.h>

#include "lib-nodes.h"

/** Times from the start of a new instance: until it counts as caught up, and
 * until the old one is stopped. */
#define CATCH_UP_MS 4000
#define STOP_MS     1000

/** Index of the first control instance that starts later. */
#define FIRST_SPARE (NODES_ENTRY + 1)

static bool
is_leader (const nodes_t *nodes, int index)
{
  return nodes_metric (nodes, index, "lwm_control_leader") == 1;
}

/** Returns the place of an instance in the seeds that leads, or does not. */
static int
find_seed (const nodes_t *nodes, bool leads)
{
  for (int i = 0; i < NODES_CONTROLS; i++)
    if (is_leader (nodes, nodes->seeds[i]) == leads)
      return i;
  return -1;
}

static void
give_all_new_seeds (nodes_t *nodes)
{
  for (int i = 0; i < NODES_CONTROLS; i++)
    {
      g_free (nodes_write_settings (nodes, nodes->seeds[i], false));
      process_signal (nodes->process[nodes->seeds[i]], SIGHUP);
    }
}

/** Starts a new instance, and then stops the one at a place in the seeds for
 * good. Returns when the next replacement may begin. */
static void
replace_seed (nodes_t *nodes, int place, int index)
{
  int64_t begun_us = g_get_monotonic_time ();
  int old = nodes->seeds[place];

  nodes_start (nodes, index, false);
  cluster_sleep_ms (STOP_MS);
  process_signal (nodes->process[old], SIGTERM);
  process_expect_success (nodes->process[old]);
  nodes->seeds[place] = index;
  give_all_new_seeds (nodes);
  while (g_get_monotonic_time () < begun_us + CATCH_UP_MS * 1000)
    cluster_sleep_ms (20);
}

/* Guards against: a group without a quorum for good after planned replacements
 * that follow each other as early as they may, because a successor gets no vote
 * before the old voter was silent for long (CONFIG). */
static void
test_replaced_in_a_row (void)
{
  nodes_t *nodes = nodes_new (5);

  cluster_sleep_ms (CATCH_UP_MS);
  CLUSTER_WAIT (find_seed (nodes, true) >= 0);
  replace_seed (nodes, find_seed (nodes, false), FIRST_SPARE);
  CLUSTER_WAIT (find_seed (nodes, true) >= 0);
  replace_seed (nodes, find_seed (nodes, true), FIRST_SPARE + 1);
  CLUSTER_WAIT (find_seed (nodes, true) >= 0);
  replace_seed (nodes, find_seed (nodes, false), FIRST_SPARE + 2);
  for (int i = 0; i < NODES_CONTROLS; i++)
    CLUSTER_WAIT (nodes_read_version (nodes, nodes->seeds[i]) == 5);
  CLUSTER_WAIT (nodes_put_config (nodes, nodes->seeds[0], 6) == 200);
  nodes_free (nodes);
}

static bool
is_voter (const nodes_t *nodes, int index)
{
  return nodes_metric (nodes, index, "lwm_control_is_voter") == 1;
}

/** A voter that is stopped while a learner of its zone stands by gives it its
 * vote before it ends. */
static void
test_vote_is_handed_over (void)
{
  nodes_t *nodes = nodes_new (5);
  int place;

  nodes_start (nodes, FIRST_SPARE, false);
  /* It is added some time after its start. */
  cluster_sleep_ms (CATCH_UP_MS + 1500);
  g_assert_false (is_voter (nodes, FIRST_SPARE));
  CLUSTER_WAIT (find_seed (nodes, true) >= 0);
  place = find_seed (nodes, true);
  process_signal (nodes->process[nodes->seeds[place]], SIGTERM);
  process_expect_success (nodes->process[nodes->seeds[place]]);
  g_assert_true (is_voter (nodes, FIRST_SPARE));
  CLUSTER_WAIT (nodes_put_config (nodes, FIRST_SPARE, 6) == 200);
  /* The stopped one returns as a learner. */
  nodes_start (nodes, nodes->seeds[place], false);
  CLUSTER_WAIT (nodes_read_version (nodes, nodes->seeds[place]) == 6);
  CLUSTER_WAIT (!is_voter (nodes, nodes->seeds[place]));
  nodes_free (nodes);
}

/* Guards against: a voter that was replaced while it stood still never returns
 * to the group, as it takes itself for a member (CONFIG). */
static void
test_replaced_while_frozen (void)
{
  nodes_t *nodes = nodes_new (5);
  int place;
  int frozen;

  cluster_allow_self_kills (nodes->cluster);
  nodes_start (nodes, FIRST_SPARE, false);
  cluster_sleep_ms (CATCH_UP_MS);
  CLUSTER_WAIT (find_seed (nodes, true) >= 0);
  place = find_seed (nodes, false);
  frozen = nodes->seeds[place];
  process_signal (nodes->process[frozen], SIGSTOP);
  CLUSTER_WAIT (is_voter (nodes, FIRST_SPARE));
  nodes->seeds[place] = FIRST_SPARE;
  process_signal (nodes->process[frozen], SIGCONT);
  CLUSTER_WAIT (!is_voter (nodes, frozen));
  /* It takes the place of the next one that is lost. */
  place = find_seed (nodes, false);
  process_signal (nodes->process[nodes->seeds[place]], SIGKILL);
  CLUSTER_WAIT (is_voter (nodes, frozen));
  CLUSTER_WAIT (nodes_put_config (nodes, frozen, 6) == 200);
  nodes_free (nodes);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/node-replaced/in-a-row", test_replaced_in_a_row);
  g_test_add_func ("/node-replaced/handed-over", test_vote_is_handed_over);
  g_test_add_func ("/node-replaced/while-frozen", test_replaced_while_frozen);
  return g_test_run ();
}
