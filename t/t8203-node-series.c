/*
 * Control groups of five, of which settings files name three as seeds, through
 * series of losses, as real processes: never more than two machines are lost
 * at once.
 */
#include <glib.h>
#include <signal.h>

#include "lib-nodes.h"

#define VOTERS 5
/** Time from the start of an instance until another one may be lost, with some
 * room for the tests' own calls. */
#define CATCH_UP_MS 5000
#define POWER_MS    1200
#define ROUNDS      3

/** Index of the first control instance that starts later. */
#define FIRST_SPARE (NODES_ENTRY + 1 + VOTERS - NODES_CONTROLS)

/** The control instances that are not lost for good. */
typedef struct
{
  nodes_t *nodes;
  int members[VOTERS];
} series_t;

static series_t *
series_new (void)
{
  nodes_options_t options = { .version = 5,
                              .more_controls = VOTERS - NODES_CONTROLS,
                              .lost_machines = VOTERS / 2 };
  series_t *series = g_new0 (series_t, 1);

  series->nodes = nodes_new_with (&options);
  cluster_allow_self_kills (series->nodes->cluster);
  for (int i = 0; i < VOTERS; i++)
    series->members[i] = i < NODES_CONTROLS ? i : i + 1;
  CLUSTER_WAIT (nodes_metric (series->nodes, 0, "lwm_control_voters")
                == VOTERS);
  cluster_sleep_ms (CATCH_UP_MS);
  return series;
}

static void
series_free (series_t *series)
{
  nodes_free (series->nodes);
  g_free (series);
}

/** Returns the place of the leader among the members, -1 for none. */
static int
find_leader (const series_t *series)
{
  for (int i = 0; i < VOTERS; i++)
    if (nodes_metric (series->nodes, series->members[i], "lwm_control_leader")
        == 1)
      return i;
  return -1;
}

/** Kills the member at a place for good, and starts another instance. */
static void
replace_member (series_t *series, int place, int index)
{
  nodes_kill (series->nodes, series->members[place], true);
  series->members[place] = index;
  nodes_start (series->nodes, index, false);
}

static bool
is_voter (const series_t *series, int place)
{
  return nodes_metric (series->nodes, series->members[place],
                       "lwm_control_is_voter")
         == 1;
}

/** Cuts the power of all members; those at places below @a wiped lose their
 * disks. */
static void
cut_power (series_t *series, int wiped)
{
  for (int i = 0; i < VOTERS; i++)
    nodes_kill (series->nodes, series->members[i], i < wiped);
  cluster_sleep_ms (POWER_MS);
  for (int i = 0; i < VOTERS; i++)
    nodes_start (series->nodes, series->members[i], false);
}

static void
expect_version (const series_t *series, int version)
{
  for (int i = 0; i < VOTERS; i++)
    CLUSTER_WAIT (nodes_read_version (series->nodes, series->members[i])
                  == version);
}

/* Guards against: a new control instance that is never added, because it asks
 * its seeds alone and none of them leads (CONFIG). */
static void
test_leader_is_no_seed (void)
{
  series_t *series = series_new ();
  int leader;
  int seeds = 0;

  CLUSTER_WAIT ((leader = find_leader (series)) >= 0);
  for (int i = 0; i < VOTERS && seeds < NODES_CONTROLS; i++)
    if (i != leader)
      series->nodes->seeds[seeds++] = series->members[i];
  for (int i = VOTERS - 1; i >= 0; i--)
    if (i != leader)
      {
        replace_member (series, i, FIRST_SPARE);
        CLUSTER_WAIT (is_voter (series, i));
        break;
      }
  series_free (series);
}

/* Guards against: a voter that is lost for good and never replaced after an
 * earlier loss has moved the leader, so that the next two lost disks leave the
 * group without a quorum for good (CONFIG). */
static void
test_lost_replaced_lost (void)
{
  series_t *series = series_new ();

  for (int round = 0; round < ROUNDS; round++)
    {
      int version = 6 + round;

      replace_member (series, VOTERS - 1, FIRST_SPARE + round);
      cluster_sleep_ms (CATCH_UP_MS);
      CLUSTER_WAIT (
          nodes_put_config (series->nodes, series->members[0], version) == 200);
      cut_power (series, VOTERS / 2);
      expect_version (series, version);
      cluster_sleep_ms (CATCH_UP_MS);
    }
  series_free (series);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/node-series/leader-is-no-seed", test_leader_is_no_seed);
  g_test_add_func ("/node-series/lost-replaced-lost", test_lost_replaced_lost);
  return g_test_run ();
}
