/* Checks configuration folders that compete through the control group: one
 * wins, and the relays of the group spread it to the zone. */
#include <glib.h>
#include <stdio.h>

#include "lib-cluster.h"

#define ENTRIES 4

#define CONFIG                                                                 \
  "number: %u\n"                                                               \
  "zones: [{name: z}]\n"                                                       \
  "size_classes: [{name: any, up_to_tokens: 1000000, first_token_ms: 5000,\n"  \
  "  deadline_ms: 20000}]\n"                                                   \
  "services: [{name: s, kind: engine, model: base}]\n"                         \
  "customers: [{name: c, weight: %u}]\n"

typedef struct
{
  cluster_t *cluster;
  const char *control;
  const char *entry[ENTRIES];
} fixture_t;

static void
write_config_folder (fixture_t *fixture,
                     int entry,
                     uint32_t number,
                     uint32_t weight)
{
  char *text = g_strdup_printf (CONFIG, number, weight);
  char *path = g_strdup_printf ("conf%d/a.yaml", entry);

  cluster_write (fixture->cluster, path, text);
  g_free (path);
  g_free (text);
}

/**
 * Gives the first two instances folders with the same revision number and
 * different content.
 */
static void
set_up (fixture_t *fixture, gconstpointer data)
{
  const char *gossip[ENTRIES];
  const char *http;
  char member[64];

  fixture->cluster = cluster_new ();
  fixture->control = cluster_address (fixture->cluster);
  http = cluster_address (fixture->cluster);
  snprintf (member, sizeof member, "c1=%s", fixture->control);
  g_assert_nonnull (cluster_start (
      fixture->cluster, "lwm-controld", "--instance", "c1", "--zone", "z",
      "--listen", http, "--control-listen", fixture->control, "--data-folder",
      cluster_subfolder (fixture->cluster, "c1"), "--member", member, NULL));
  for (int i = 0; i < ENTRIES; i++)
    {
      fixture->entry[i] = cluster_address (fixture->cluster);
      gossip[i] = cluster_address (fixture->cluster);
    }
  for (int i = 0; i < ENTRIES; i++)
    {
      char name[8];
      char folder[64];

      snprintf (name, sizeof name, "e%d", i);
      snprintf (folder, sizeof folder, "conf%d", i);
      if (i < 2)
        write_config_folder (fixture, i, 5, (uint32_t)i + 1);
      g_assert_nonnull (cluster_start (
          fixture->cluster, "lwm-entryd", "--instance", name, "--zone", "z",
          "--listen", fixture->entry[i], "--gossip-listen", gossip[i],
          "--gossip-peer", gossip[(i + 1) % ENTRIES], "--gossip-peer",
          gossip[(i + 2) % ENTRIES], "--control-peer", fixture->control,
          i < 2 ? "--config-folder" : NULL,
          cluster_subfolder (fixture->cluster, folder), NULL));
    }
}

static void
tear_down (fixture_t *fixture, gconstpointer data)
{
  cluster_free (fixture->cluster);
}

/**
 * Returns how many members the status of an instance shows as alive with a
 * revision.
 */
static int
count_members_with (const fixture_t *fixture, int entry, int64_t number)
{
  answer_t answer
      = cluster_call (fixture->entry[entry], "GET", "/admin/v1/status", NULL);
  JsonArray *members = json_object_get_array_member (answer.json, "member");
  int count = 0;

  for (guint i = 0; i < json_array_get_length (members); i++)
    {
      JsonObject *member = json_array_get_object_element (members, i);

      count += json_object_has_member (member, "revision")
               && json_object_get_int_member (member, "revision") == number
               && g_str_equal (json_object_get_string_member (member, "state"),
                               "alive");
    }
  cluster_answer_free (&answer);
  return count;
}

/**
 * Returns the digest in force at an instance, "" if none; free with g_free().
 */
static char *
copy_digest (const fixture_t *fixture, int entry)
{
  answer_t answer
      = cluster_call (fixture->entry[entry], "GET", "/admin/v1/status", NULL);
  char *digest = g_strdup (json_object_get_string_member (
      json_object_get_object_member (answer.json, "revision"), "digest"));

  cluster_answer_free (&answer);
  return digest;
}

static bool
all_have_number (const fixture_t *fixture, uint32_t number)
{
  for (int i = 0; i < ENTRIES; i++)
    if (cluster_metric (fixture->entry[i], "lwm_config_number") != number)
      return false;
  return true;
}

static void
test_one_of_two_folders_wins (fixture_t *fixture, gconstpointer data)
{
  char *first;

  CLUSTER_WAIT (all_have_number (fixture, 5));
  first = copy_digest (fixture, 0);
  for (int i = 1; i < ENTRIES; i++)
    {
      char *other = copy_digest (fixture, i);

      g_assert_cmpstr (other, ==, first);
      g_assert_cmpfloat (
          cluster_metric (fixture->entry[i], "lwm_config_conflicts_total"), ==,
          0);
      g_free (other);
    }
  g_free (first);
  /* A change in either folder must come into force on every instance. */
  write_config_folder (fixture, 1, 6, 9);
  CLUSTER_WAIT (all_have_number (fixture, 6));
  CLUSTER_WAIT (count_members_with (fixture, 2, 6) == ENTRIES);
}

static void
test_only_relays_watch_the_group (fixture_t *fixture, gconstpointer data)
{
  double watching = 0;

  CLUSTER_WAIT (all_have_number (fixture, 5));
  for (int i = 0; i < ENTRIES; i++)
    CLUSTER_WAIT (
        cluster_metric (fixture->entry[i], "lwm_instances{scope=\"zone\"}")
        == ENTRIES);
  for (int i = 0; i < ENTRIES; i++)
    watching += cluster_metric (fixture->entry[i], "lwm_control_watching");
  g_assert_cmpfloat (watching, ==, 2);
}

#define ADD(name, test)                                                        \
  g_test_add (name, fixture_t, NULL, set_up, test, tear_down)

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  ADD ("/relays/one-folder-wins", test_one_of_two_folders_wins);
  ADD ("/relays/few-watch-the-group", test_only_relays_watch_the_group);
  return g_test_run ();
}
