/* Checks loading of the operator's configuration folder: the merge order of its
 * files, and the report of every kind of mistake. */
#include <glib.h>
#include <glib/gstdio.h>
#include <string.h>
#include <talloc.h>

#include "config.h"
#include "lib-cluster.h"

#define GOOD                                                                   \
  "zones:\n"                                                                   \
  "  - name: hol-a\n"                                                          \
  "size_classes:\n"                                                            \
  "  - name: short\n"                                                          \
  "    up_to_tokens: 8000\n"                                                   \
  "    deadline_ms: 5000\n"                                                    \
  "services:\n"                                                                \
  "  - name: lacewing\n"                                                       \
  "    kind: engine\n"                                                         \
  "customers:\n"                                                               \
  "  - name: nursery\n"                                                        \
  "    weight: 3\n"

typedef struct
{
  cluster_t *cluster;
  const char *folder;
  void *parent;
  char *mistakes;
} fixture_t;

static void
set_up (fixture_t *fixture, gconstpointer data)
{
  fixture->cluster = cluster_new ();
  fixture->folder = cluster_subfolder (fixture->cluster, "conf");
  fixture->parent = talloc_new (NULL);
  cluster_write (fixture->cluster, "conf/10-base.yaml", GOOD);
}

static void
tear_down (fixture_t *fixture, gconstpointer data)
{
  talloc_free (fixture->parent);
  cluster_free (fixture->cluster);
}

static Lwm__Config *
load (fixture_t *fixture)
{
  return config_load (fixture->parent, fixture->folder, &fixture->mistakes);
}

static void
test_later_file_overrides_earlier (fixture_t *fixture, gconstpointer data)
{
  const Lwm__Customer *customer;
  Lwm__Config *config;

  cluster_write (
      fixture->cluster, "conf/20-more.yaml",
      "customers:\n  - name: nursery\n    priority: 7\n  - name: committee\n");
  cluster_write (fixture->cluster, "conf/05-early.yaml", "max_queue: 5\n");
  cluster_write (fixture->cluster, "conf/30-late.yaml", "max_queue: 9\n");
  config = load (fixture);
  g_assert_nonnull (config);
  customer = config_customer (config, "nursery");
  g_assert_cmpuint (customer->weight, ==, 3);
  g_assert_cmpuint (customer->priority, ==, 7);
  g_assert_cmpuint (config_customer (config, "committee")->weight, ==, 1);
  g_assert_cmpuint (config->max_queue, ==, 9);
}

static void
test_digest_depends_on_content (fixture_t *fixture, gconstpointer data)
{
  char first[CONFIG_DIGEST_SIZE];
  char second[CONFIG_DIGEST_SIZE];
  Lwm__Config *config = load (fixture);
  Lwm__Config *copy;
  uint8_t *packed;
  size_t size;

  g_assert_nonnull (config);
  config_digest (config, first);
  packed = config_pack (fixture->parent, config, &size);
  copy = config_unpack (fixture->parent, packed, size);
  g_assert_nonnull (copy);
  copy->number = 77;
  config_digest (copy, second);
  g_assert_cmpstr (first, ==, second);
  copy->customers[0]->weight++;
  config_digest (copy, second);
  g_assert_cmpstr (first, !=, second);
  g_assert_null (config_unpack (fixture->parent, packed, size - 1));
}

typedef struct
{
  const char *text;
  const char *mistake;
} bad_t;

static const bad_t bad_files[] = {
  { "colour: red\n", "20-bad.yaml:1: colour: unknown key of Config" },
  { "customers:\n  - name: x\n    weight: heavy\n",
    "20-bad.yaml:3: weight: expected a whole number from 1 to 10000, got "
    "'heavy'" },
  { "customers:\n  - name: x\n    priority: 10\n",
    "20-bad.yaml:3: priority: expected a whole number from 0 to 9, got '10'" },
  { "customers:\n  - name: x\n  - name: x\n",
    "20-bad.yaml:3: customers: duplicate entry 'x' in this file" },
  { "max_queue: 1\nmax_queue: 2\n", "20-bad.yaml:2: max_queue: duplicate key" },
  { "customers: many\n",
    "20-bad.yaml:1: customers: expected a list, got 'many'" },
  { "customers:\n  - weight: 2\n", "20-bad.yaml:2: customers: expected an "
                                   "entry with a name, got a group of keys" },
  { "customers:\n  - name: a b\n",
    "20-bad.yaml:2: name: expected a name of letters, digits, '-', '_', '.', "
    "got 'a b'" },
  { "customers:\n  - name: x\n    service: [nothing]\n",
    "20-bad.yaml:2: service: expected a service of this configuration, got "
    "'nothing'" },
  { "services:\n  - name: x\n    kind: magic\n",
    "20-bad.yaml:3: kind: expected one of engine plain, got 'magic'" },
  { "services:\n  - name: x\n    fencing: yes\n",
    "20-bad.yaml:3: fencing: expected true or false, got 'yes'" },
  { "size_classes:\n  - name: tiny\n    up_to_tokens: 10\n    deadline_ms: 1\n",
    "20-bad.yaml:2: up_to_tokens: expected more than the class before, got "
    "'10'" },
  { "wanted:\n  - name: w\n    zone: hol-x\n    model: m\n",
    "20-bad.yaml:2: zone: expected a zone of this configuration, got 'hol-x'" },
  { "max_queue: [\n", "20-bad.yaml:" },
  { "- just\n- a list\n",
    "20-bad.yaml:1: file: expected a group of keys, got a list" },
};

static void
test_every_mistake_is_reported (fixture_t *fixture, gconstpointer data)
{
  for (size_t i = 0; i < G_N_ELEMENTS (bad_files); i++)
    {
      cluster_write (fixture->cluster, "conf/20-bad.yaml", bad_files[i].text);
      g_assert_null (load (fixture));
      g_test_message ("%s", fixture->mistakes);
      g_assert_nonnull (strstr (fixture->mistakes, bad_files[i].mistake));
    }
}

static void
test_empty_folder (fixture_t *fixture, gconstpointer data)
{
  fixture->folder = cluster_subfolder (fixture->cluster, "empty");
  g_assert_null (load (fixture));
  g_assert_nonnull (strstr (fixture->mistakes, "holds no .yaml file"));
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add ("/config/later-file-changes-earlier", fixture_t, NULL, set_up,
              test_later_file_overrides_earlier, tear_down);
  g_test_add ("/config/digest-is-of-content", fixture_t, NULL, set_up,
              test_digest_depends_on_content, tear_down);
  g_test_add ("/config/every-mistake-is-told", fixture_t, NULL, set_up,
              test_every_mistake_is_reported, tear_down);
  g_test_add ("/config/empty-folder", fixture_t, NULL, set_up,
              test_empty_folder, tear_down);
  return g_test_run ();
}
