/* Tests that orders bring about the wanted copies, with a real control group,
 * entry instances and engines, with and without fencing. */
#include <glib.h>
#include <signal.h>
#include <string.h>

#include "base.h"
#include "lib-cluster.h"
#include "lib-control.h"

#define ENGINES 2
#define ENTRIES 2

/* 1,200 loads per minute in one zone: one every 50 ms. */
#define CONFIG                                                                 \
  "number: %d\n"                                                               \
  "weight_loads_per_min: 1200\n"                                               \
  "zones: [{name: z}]\n"                                                       \
  "size_classes: [{name: s, up_to_tokens: 1000, deadline_ms: 20000}]\n"        \
  "services: [{name: chat, kind: engine, model: m, order_key: sesame}]\n"      \
  "customers: [{name: workshop}]\n"                                            \
  "wanted: [{name: w, zone: z, model: m, version: %s, copies: 2}]\n"

typedef struct
{
  cluster_t *cluster;
  group_t *group;
  const char *entry[ENTRIES];
  process_t *entries[ENTRIES];
  const char *engine[ENGINES];
} fixture_t;

static void
start_entries (fixture_t *fixture)
{
  const char *gossip[ENTRIES];

  for (int i = 0; i < ENTRIES; i++)
    {
      fixture->entry[i] = cluster_address (fixture->cluster);
      gossip[i] = cluster_address (fixture->cluster);
    }
  for (int i = 0; i < ENTRIES; i++)
    {
      fixture->entries[i] = cluster_start (
          fixture->cluster, "lwm-entryd", "--instance", i == 0 ? "a" : "b",
          "--zone", "z", "--listen", fixture->entry[i], "--gossip-listen",
          gossip[i], "--gossip-peer", gossip[1 - i], "--control-peer",
          fixture->group->control[0], "--control-peer",
          fixture->group->control[1], "--control-peer",
          fixture->group->control[2], NULL);
      g_assert_nonnull (fixture->entries[i]);
    }
}

static void
start_engine (fixture_t *fixture, int index, const char *fencing)
{
  fixture->engine[index] = cluster_address (fixture->cluster);
  g_assert_nonnull (cluster_start (
      fixture->cluster, "lwm-upstream", "--upstream", index == 0 ? "e0" : "e1",
      "--kind", "engine", "--service", "chat", "--zone", "z", "--listen",
      fixture->engine[index], "--model", "m", "--version", "v1", "--fencing",
      fencing, "--order-key", "sesame", "--time-scale-percent", "1",
      "--announce-ms", "200", "--announce-to", fixture->entry[0],
      "--announce-to", fixture->entry[1], NULL));
}

static void
set_up (fixture_t *fixture, gconstpointer fencing)
{
  fixture->cluster = cluster_new ();
  fixture->group = group_new (fixture->cluster, 3, false);
  group_start_all (fixture->group);
  start_entries (fixture);
  for (int i = 0; i < ENGINES; i++)
    start_engine (fixture, i, fencing);
}

static void
tear_down (fixture_t *fixture, gconstpointer data)
{
  group_free (fixture->group);
  cluster_free (fixture->cluster);
}

static void
apply (fixture_t *fixture, int entry, int number, const char *version)
{
  char *text = g_strdup_printf (CONFIG, number, version);
  char *output;

  cluster_write (fixture->cluster, "conf/a.yaml", text);
  g_assert_cmpint (cluster_run (fixture->cluster, &output, "lacewingmast",
                                "apply", "--target", fixture->entry[entry],
                                cluster_subfolder (fixture->cluster, "conf"),
                                NULL),
                   ==, EXIT_CODE_OK);
  g_free (output);
  g_free (text);
}

/** Returns whether an engine has only the given version loaded. */
static bool
has_only_version (const char *engine, const char *version)
{
  answer_t answer = cluster_call (engine, "GET", "/v1/inspect", NULL);
  JsonArray *loaded = json_object_get_array_member (answer.json, "loaded");
  bool found
      = json_array_get_length (loaded) == 1
        && g_strcmp0 (json_object_get_string_member (
                          json_array_get_object_element (loaded, 0), "version"),
                      version)
               == 0;

  cluster_answer_free (&answer);
  return found;
}

static int64_t
last_fencing (const char *engine)
{
  answer_t answer = cluster_call (engine, "GET", "/v1/inspect", NULL);
  int64_t fencing = json_object_get_int_member (answer.json, "last_fencing");

  cluster_answer_free (&answer);
  return fencing;
}

/** Returns whether a revision, and with it the key of orders, is in force at
 * the entry instance. */
static bool
has_revision_in_force (const char *entry)
{
  answer_t answer = cluster_call (entry, "GET", "/healthz", NULL);
  bool healthy = answer.status == 200;

  cluster_answer_free (&answer);
  return healthy;
}

static void
test_rolls_to_the_wanted_version (fixture_t *fixture, gconstpointer data)
{
  int64_t first;

  apply (fixture, 0, 1, "v2");
  for (int i = 0; i < ENGINES; i++)
    CLUSTER_WAIT (has_only_version (fixture->engine[i], "v2"));
  first = last_fencing (fixture->engine[0]);
  /* The sender of the zone's orders dies; the other instance takes over. */
  process_signal (fixture->entries[0], SIGKILL);
  apply (fixture, 1, 2, "v3");
  for (int i = 0; i < ENGINES; i++)
    CLUSTER_WAIT (has_only_version (fixture->engine[i], "v3"));
  g_assert_cmpint (last_fencing (fixture->engine[0]), >, first);
}

static void
test_operator_order (fixture_t *fixture, gconstpointer data)
{
  char *output;

  apply (fixture, 1, 1, "v1");
  CLUSTER_WAIT (has_revision_in_force (fixture->entry[1]));
  CLUSTER_WAIT (cluster_metric (fixture->entry[1], "lwm_upstreams") == ENGINES);
  g_assert_cmpint (cluster_run (fixture->cluster, &output, "lacewingmast",
                                "upstream", "--target", fixture->entry[1],
                                "order", "e0", "load", "m", "v9", NULL),
                   ==, EXIT_CODE_OK);
  g_free (output);
  g_assert_cmpint (last_fencing (fixture->engine[0]), >, 0);
  g_assert_cmpint (cluster_run (fixture->cluster, &output, "lacewingmast",
                                "upstream", "--target", fixture->entry[1],
                                "order", "e7", "load", "m", "v9", NULL),
                   ==, EXIT_CODE_FAILED);
  g_assert_nonnull (strstr (output, "no such upstream"));
  g_free (output);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add ("/orders/rolls-to-the-wanted-version/check", fixture_t, "check",
              set_up, test_rolls_to_the_wanted_version, tear_down);
  g_test_add ("/orders/rolls-to-the-wanted-version/ignore", fixture_t, "ignore",
              set_up, test_rolls_to_the_wanted_version, tear_down);
  g_test_add ("/orders/an-operators-order", fixture_t, "check", set_up,
              test_operator_order, tear_down);
  return g_test_run ();
}
