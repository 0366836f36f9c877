/*
 * Runs the two programs of the platform as real processes: a control group of
 * three forms itself and accepts a configuration and announcements, and an
 * entry instance serves by them, also after restarts and lost disks.
 */
#include <glib.h>
#include <signal.h>
#include <string.h>

#include "lib-nodes.h"

static void
announce (const nodes_t *nodes, int index, const char *state, int sequence)
{
  char *body = g_strdup_printf (
      "{\"service\":\"s\",\"addr\":\"%s:%d\",\"zone\":\"z\",\"slots\":4,"
      "\"state\":\"%s\",\"seq\":%d,\"born\":1000}",
      nodes->ip[0], nodes->port, state, sequence);

  g_assert_cmpint (
      nodes_call (nodes, index, 0, "POST", "/instances/i-1/heartbeat", body),
      ==, 200);
  g_free (body);
}

/** An upstream announced at one control instance is used, and no longer used
 * after it leaves. The control instance's own address serves as the upstream
 * and answers 404. */
static void
test_upstream_is_used_until_it_leaves (void)
{
  nodes_t *nodes = nodes_new (5);

  announce (nodes, 1, "ready", 1);
  CLUSTER_WAIT (nodes_call (nodes, NODES_ENTRY, 2, "GET", "/ready", NULL)
                == 200);
  /* The answer has no signature, so it is not attributed to an upstream. */
  CLUSTER_WAIT (nodes_call (nodes, NODES_ENTRY, 3, "GET", "/b/", NULL) == 404);
  announce (nodes, 2, "draining", 2);
  announce (nodes, 1, "ready", 1);
  g_assert_cmpint (nodes_call (nodes, 1, 0, "POST", "/instances/i-1/heartbeat",
                               "{\"service\":"),
                   ==, 400);
  process_signal (nodes->process[NODES_ENTRY], SIGTERM);
  process_expect_success (nodes->process[NODES_ENTRY]);
  nodes_free (nodes);
}

static int
leave (const nodes_t *nodes, int index, const char *body)
{
  return nodes_call (nodes, index, 0, "POST", "/instances/i-1/leave", body);
}

/** Returns whether the entry instance has ended a request for want of an
 * upstream. */
static bool
has_no_upstream (const nodes_t *nodes)
{
  return nodes_call (nodes, NODES_ENTRY, 3, "GET", "/a/", NULL) == 503;
}

/** An upstream that leaves at a control instance which never heard of it is not
 * used again, neither after a restart of that instance nor by an entry instance
 * that starts later. */
static void
test_leave_survives_restart (void)
{
  nodes_t *nodes = nodes_new (5);

  cluster_allow_self_kills (nodes->cluster);
  announce (nodes, 1, "ready", 1);
  CLUSTER_WAIT (nodes_call (nodes, NODES_ENTRY, 2, "GET", "/ready", NULL)
                == 200);
  g_assert_false (has_no_upstream (nodes));
  g_assert_cmpint (leave (nodes, 2, NULL), ==, 404);
  g_assert_cmpint (leave (nodes, 2, "{\"born\":1000}"), ==, 200);
  process_signal (nodes->process[2], SIGKILL);
  CLUSTER_WAIT (has_no_upstream (nodes));
  process_signal (nodes->process[NODES_ENTRY], SIGKILL);
  nodes->process[2] = nodes_start (nodes, 2, false);
  nodes->process[NODES_ENTRY] = nodes_start (nodes, NODES_ENTRY, false);
  announce (nodes, 1, "ready", 2);
  CLUSTER_WAIT (nodes_call (nodes, NODES_ENTRY, 2, "GET", "/ready", NULL)
                == 200);
  CLUSTER_WAIT (has_no_upstream (nodes));
  nodes_free (nodes);
}

static void
test_configuration_reaches_instances (void)
{
  nodes_t *nodes = nodes_new (5);

  g_assert_cmpint (nodes_put_config (nodes, 1, 7), ==, 200);
  g_assert_cmpint (nodes_put_config (nodes, 2, 7), ==, 200);
  g_assert_cmpint (nodes_put_config (nodes, 0, 6), ==, 200);
  g_assert_cmpint (nodes_call (nodes, 0, 0, "POST", "/config/put",
                               "{\"version\":7,\"routes\":[],\"services\":[]}"),
                   ==, 409);
  g_assert_cmpint (nodes_call (nodes, 0, 0, "POST", "/config/put",
                               "{\"version\":8,\"routes\":["),
                   ==, 400);
  for (int i = 0; i < NODES_CONTROLS; i++)
    CLUSTER_WAIT (nodes_read_version (nodes, i) == 7);
  nodes_free (nodes);
}

/** Returns whether the third instance votes and its first incarnation no longer
 * does. */
static bool
is_voter_again (const nodes_t *nodes)
{
  char *address = nodes_address (nodes, 2, 0);
  bool votes
      = cluster_metric (address, "lwm_control_is_voter") == 1
        && cluster_metric (address, "lwm_control_voters") == NODES_CONTROLS;

  g_free (address);
  return votes;
}

/** After its disk was emptied, an instance joins again as a new incarnation. */
static void
test_lost_disk (void)
{
  nodes_t *nodes = nodes_new (5);

  cluster_allow_self_kills (nodes->cluster);
  g_assert_cmpint (nodes_put_config (nodes, 1, 9), ==, 200);
  process_signal (nodes->process[2], SIGKILL);
  cluster_empty_folder (cluster_subfolder (nodes->cluster, "node-2"));
  nodes->process[2] = nodes_start (nodes, 2, false);
  /* With another instance down, the quorum needs its vote. */
  CLUSTER_WAIT (is_voter_again (nodes));
  process_signal (nodes->process[0], SIGKILL);
  CLUSTER_WAIT (nodes_put_config (nodes, 2, 11) == 200);
  CLUSTER_WAIT (nodes_read_version (nodes, 1) == 11);
  nodes_free (nodes);
}

/** After changed settings are read again, nothing may still use the old ones;
 * the run under the sanitizers would detect that. */
static void
test_settings_reread (void)
{
  nodes_t *nodes = nodes_new (5);

  announce (nodes, 1, "ready", 1);
  CLUSTER_WAIT (nodes_call (nodes, NODES_ENTRY, 2, "GET", "/ready", NULL)
                == 200);
  for (int i = 0; i <= NODES_CONTROLS; i++)
    {
      g_free (nodes_write_settings (nodes, i, false));
      process_signal (nodes->process[i], SIGHUP);
    }
  for (int version = 6; version < 26; version++)
    {
      int index = version % NODES_CONTROLS;

      CLUSTER_WAIT (nodes_put_config (nodes, index, version) == 200);
      g_assert_cmpint (nodes_read_version (nodes, index), ==, version);
      CLUSTER_WAIT (nodes_call (nodes, NODES_ENTRY, 3, "GET", "/b/", NULL)
                    == 404);
    }
  process_signal (nodes->process[NODES_ENTRY], SIGTERM);
  process_expect_success (nodes->process[NODES_ENTRY]);
  nodes_free (nodes);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/node/path", test_upstream_is_used_until_it_leaves);
  g_test_add_func ("/node/leave-survives-restart", test_leave_survives_restart);
  g_test_add_func ("/node/configurations",
                   test_configuration_reaches_instances);
  g_test_add_func ("/node/lost-disk", test_lost_disk);
  g_test_add_func ("/node/settings-again", test_settings_reread);
  return g_test_run ();
}
