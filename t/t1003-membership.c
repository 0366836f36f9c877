/* Checks membership with several instances on one event loop over real sockets:
 * joining, spreading of upstreams and configuration, death, several zones. */
#include <event2/event.h>
#include <glib.h>
#include <string.h>
#include <talloc.h>

#include "base.h"
#include "lib-cluster.h"
#include "membership.h"
#include "request-crashes.h"

#define MAX_NODES 8
/* A request that crashes upstreams. */
#define REQUEST 5

typedef struct
{
  char name[16];
  char zone[16];
  const char *address;
  membership_t *membership;
  metrics_t *metrics;
  GHashTable *upstreams; /* maps a name to "ready" or "leaving" */
  uint64_t config;
  uint32_t config_reverts;
  GHashTable *orphans; /* set of "owner/sequence at upstream" */
  request_crashes_t *crashes;
  uint32_t lost; /* messages with evidence that are lost from now on */
} node_t;

typedef struct
{
  cluster_t *cluster;
  struct event_base *base;
  void *memory;
  node_t nodes[MAX_NODES];
  size_t count;
  const char *announced; /* upstream announced in each loop slice, or NULL */
  bool leaving;
  bool is_chain; /* each node has only the previous node as its seed */
} fixture_t;

static void
on_upstream (const membership_upstream_t *upstream, void *context)
{
  node_t *node = context;

  g_hash_table_replace (node->upstreams,
                        g_strdup (upstream->announcement->upstream),
                        upstream->announcement->leaving ? "leaving" : "ready");
}

static void
on_upstream_gone (const char *upstream, uint64_t incarnation, void *context)
{
  g_hash_table_remove (((node_t *)context)->upstreams, upstream);
}

static void
on_config (const Lwm__Config *config, const char *digest, void *context)
{
  node_t *node = context;

  node->config_reverts += config->number < node->config;
  node->config = config->number;
}

static void
on_orphan (const owners_orphan_t *orphan, void *context)
{
  g_hash_table_add (((node_t *)context)->orphans,
                    g_strdup_printf ("%s/%u at %s", orphan->owner,
                                     (uint32_t)orphan->sequence,
                                     orphan->upstream));
}

static void
on_crash_news (void *context)
{
  membership_spread_evidence (((node_t *)context)->membership);
}

static Lwm__CrashEvidence *
get_evidence (void *parent, void *context)
{
  const node_t *node = context;

  return request_crashes_to_message (node->crashes, clock_mono_ms (), parent);
}

static bool
on_evidence (const Lwm__CrashEvidence *evidence, void *context)
{
  node_t *node = context;

  if (node->lost > 0)
    {
      node->lost--;
      return false;
    }
  return request_crashes_merge (node->crashes, evidence, clock_mono_ms ());
}

static void
start_node (fixture_t *fixture, node_t *node, const char *data_folder)
{
  const char *seeds[MAX_NODES];
  membership_options_t options = { .base = fixture->base,
                                   .instance = node->name,
                                   .zone = node->zone,
                                   .http = "127.0.0.1:1",
                                   .gossip_listen = node->address,
                                   .seeds = seeds,
                                   .data_folder = data_folder,
                                   .on_upstream = on_upstream,
                                   .on_upstream_gone = on_upstream_gone,
                                   .on_config = on_config,
                                   .on_orphan = on_orphan,
                                   .evidence = get_evidence,
                                   .on_evidence = on_evidence,
                                   .context = node };
  request_crashes_options_t crashes
      = { .news = on_crash_news, .context = node };

  for (size_t i = 0; i < fixture->count; i++)
    if (fixture->is_chain ? &fixture->nodes[i] + 1 == node
                          : &fixture->nodes[i] != node)
      seeds[options.seed_count++] = fixture->nodes[i].address;
  node->config = 0;
  node->crashes = request_crashes_new (fixture->memory, &crashes);
  /* ZeroMQ closes the previous listener asynchronously on its own thread, so
   * binding is retried. */
  for (int i = 0; i < 500 && node->membership == NULL; i++)
    {
      talloc_free (node->metrics);
      node->metrics = metrics_new (fixture->memory);
      options.metrics = node->metrics;
      node->membership = membership_new (fixture->memory, &options);
      if (node->membership == NULL)
        cluster_sleep_ms (10);
    }
  g_assert_nonnull (node->membership);
}

/** Stops a node like a killed process: it sends nothing to its peers. */
static void
kill_node (node_t *node)
{
  TALLOC_FREE (node->membership);
  TALLOC_FREE (node->metrics);
  TALLOC_FREE (node->crashes);
  g_hash_table_remove_all (node->upstreams);
}

static void
set_up (fixture_t *fixture, gconstpointer zones)
{
  fixture->cluster = cluster_new ();
  fixture->base = event_base_new ();
  fixture->memory = talloc_new (NULL);
  fixture->is_chain = ((const char *)zones)[0] == '+';
  zones = (const char *)zones + fixture->is_chain;
  fixture->count = strlen (zones);
  for (size_t i = 0; i < fixture->count; i++)
    {
      node_t *node = &fixture->nodes[i];

      g_snprintf (node->name, sizeof node->name, "n%zu", i);
      g_snprintf (node->zone, sizeof node->zone, "z-%c",
                  ((const char *)zones)[i]);
      node->address = cluster_address (fixture->cluster);
      node->upstreams
          = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
      node->orphans
          = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
    }
  for (size_t i = 0; i < fixture->count; i++)
    start_node (fixture, &fixture->nodes[i], NULL);
}

static void
tear_down (fixture_t *fixture, gconstpointer zones)
{
  talloc_free (fixture->memory);
  for (size_t i = 0; i < fixture->count; i++)
    {
      g_hash_table_destroy (fixture->nodes[i].upstreams);
      g_hash_table_destroy (fixture->nodes[i].orphans);
    }
  event_base_free (fixture->base);
  cluster_free (fixture->cluster);
}

static void
announce (node_t *node, const char *name, bool leaving)
{
  Lwm__Announcement announcement = LWM__ANNOUNCEMENT__INIT;
  Lwm__Load load = LWM__LOAD__INIT;

  announcement.upstream = (char *)name;
  announcement.incarnation = 7;
  announcement.address = "127.0.0.1:2";
  announcement.zone = node->zone;
  announcement.service = "chat";
  announcement.engine = true;
  announcement.leaving = leaving;
  announcement.kv_tokens = 1000;
  announcement.max_batch = 8;
  g_assert_true (membership_put_announcement (node->membership, &announcement,
                                              &load, 0, 1000));
}

static void
run_loop_slice (fixture_t *fixture)
{
  struct timeval slice = { .tv_usec = 20000 };

  if (fixture->announced != NULL)
    announce (&fixture->nodes[0], fixture->announced, fixture->leaving);
  event_base_loopexit (fixture->base, &slice);
  event_base_dispatch (fixture->base);
}

#define RUN_UNTIL(fixture, condition)                                          \
  do                                                                           \
    {                                                                          \
      uint64_t end_ms = clock_mono_ms () + CLUSTER_WAIT_TIMEOUT_MS;            \
      while (!(condition) && clock_mono_ms () < end_ms)                        \
        run_loop_slice (fixture);                                              \
      g_assert_true (condition);                                               \
    }                                                                          \
  while (0)

static bool
all_count_live (const fixture_t *fixture, uint32_t live)
{
  for (size_t i = 0; i < fixture->count; i++)
    if (fixture->nodes[i].membership != NULL
        && membership_counts (fixture->nodes[i].membership).all_live != live)
      return false;
  return true;
}

static bool
all_have_upstream (const fixture_t *fixture,
                   const char *upstream,
                   const char *state)
{
  for (size_t i = 0; i < fixture->count; i++)
    {
      const node_t *node = &fixture->nodes[i];

      if (node->membership != NULL
          && g_strcmp0 (g_hash_table_lookup (node->upstreams, upstream), state)
                 != 0)
        return false;
    }
  return true;
}

static bool
all_have_config (const fixture_t *fixture, uint64_t number)
{
  for (size_t i = 0; i < fixture->count; i++)
    if (fixture->nodes[i].membership != NULL
        && fixture->nodes[i].config != number)
      return false;
  return true;
}

static Lwm__Config
make_config (uint64_t number, uint32_t max_queue)
{
  Lwm__Config config = LWM__CONFIG__INIT;

  config.number = number;
  config.max_queue = max_queue;
  return config;
}

static void
test_leaving_state_spreads (fixture_t *fixture, gconstpointer zones)
{
  RUN_UNTIL (fixture, all_count_live (fixture, 5));
  fixture->announced = "u1";
  RUN_UNTIL (fixture, all_have_upstream (fixture, "u1", "ready"));
  fixture->leaving = true;
  RUN_UNTIL (fixture, all_have_upstream (fixture, "u1", "leaving"));
  /* An announcement that was sent before the upstream left arrives late. It
   * must not make the upstream ready again on any instance. */
  announce (&fixture->nodes[1], "u1", false);
  for (int i = 0; i < 20; i++)
    run_loop_slice (fixture);
  g_assert_true (all_have_upstream (fixture, "u1", "leaving"));
  fixture->announced = NULL;
  RUN_UNTIL (fixture, all_have_upstream (fixture, "u1", NULL));
}

static void
test_dead_owner_is_released (fixture_t *fixture, gconstpointer zones)
{
  node_t *owner = &fixture->nodes[0];
  owners_t *owners;
  uint64_t kept;
  uint64_t closed;

  RUN_UNTIL (fixture, all_count_live (fixture, 3));
  owners = membership_owners (owner->membership);
  kept = owners_next_sequence (owners);
  closed = owners_next_sequence (owners);
  owners_open (owners, kept, "u1", LWM__OBJECT_KIND__STREAM);
  owners_open (owners, closed, "u1", LWM__OBJECT_KIND__STREAM);
  run_loop_slice (fixture);
  owners_close (owners, closed);
  for (int i = 0; i < 50; i++)
    run_loop_slice (fixture);
  kill_node (owner);
  RUN_UNTIL (fixture, all_count_live (fixture, 2));
  for (size_t i = 1; i < fixture->count; i++)
    {
      g_assert_cmpuint (g_hash_table_size (fixture->nodes[i].orphans), ==, 1);
      g_assert_true (
          g_hash_table_contains (fixture->nodes[i].orphans, "n0/1 at u1"));
    }
}

static void
test_restarted_owner_is_released (fixture_t *fixture, gconstpointer zones)
{
  node_t *owner = &fixture->nodes[0];
  owners_t *owners;
  uint64_t before;

  RUN_UNTIL (fixture, all_count_live (fixture, 3));
  before = membership_incarnation (owner->membership);
  owners = membership_owners (owner->membership);
  owners_open (owners, owners_next_sequence (owners), "u1",
               LWM__OBJECT_KIND__RESERVATION);
  for (int i = 0; i < 5; i++)
    run_loop_slice (fixture);
  kill_node (owner);
  start_node (fixture, owner, NULL);
  RUN_UNTIL (fixture,
             g_hash_table_contains (fixture->nodes[1].orphans, "n0/1 at u1"));
  g_assert_cmpuint (membership_incarnation (owner->membership), >, before);
}

static void
test_configuration_spreads (fixture_t *fixture, gconstpointer zones)
{
  const char *folder = cluster_subfolder (fixture->cluster, "data");
  Lwm__Config first = make_config (3, 10);
  Lwm__Config second = make_config (4, 20);
  Lwm__Config other = make_config (4, 30);
  node_t *stale = &fixture->nodes[0];

  RUN_UNTIL (fixture, all_count_live (fixture, 5));
  kill_node (stale);
  start_node (fixture, stale, folder);
  RUN_UNTIL (fixture, all_count_live (fixture, 5));
  g_assert_false (membership_is_ready (stale->membership));
  membership_offer_config (fixture->nodes[4].membership, &first);
  RUN_UNTIL (fixture, all_have_config (fixture, 3));
  kill_node (stale);
  g_assert_true (
      membership_offer_config (fixture->nodes[4].membership, &second));
  g_assert_false (
      membership_offer_config (fixture->nodes[4].membership, &first));
  g_assert_false (
      membership_offer_config (fixture->nodes[4].membership, &other));
  RUN_UNTIL (fixture, all_have_config (fixture, 4));
  /* The node has stored revision 3, and must receive revision 4 before it is
   * ready. */
  start_node (fixture, stale, folder);
  RUN_UNTIL (fixture, stale->config != 0);
  g_assert_cmpuint (stale->config, ==, 4);
  for (size_t i = 0; i < fixture->count; i++)
    g_assert_cmpuint (fixture->nodes[i].config_reverts, ==, 0);
}

static void
test_whole_zone_restarts (fixture_t *fixture, gconstpointer zones)
{
  Lwm__Config config = make_config (9, 10);

  RUN_UNTIL (fixture, all_count_live (fixture, 5));
  membership_offer_config (fixture->nodes[0].membership, &config);
  RUN_UNTIL (fixture, all_have_config (fixture, 9));
  for (size_t i = 0; i < 3; i++)
    kill_node (&fixture->nodes[i]);
  for (size_t i = 0; i < 3; i++)
    start_node (fixture, &fixture->nodes[i], NULL);
  RUN_UNTIL (fixture,
             all_count_live (fixture, 5) && all_have_config (fixture, 9));
}

static void
test_upstream_spreads_over_chain_of_zones (fixture_t *fixture,
                                           gconstpointer zones)
{
  RUN_UNTIL (fixture, all_count_live (fixture, 6));
}

static bool
all_have_level (const fixture_t *fixture, quarantine_level_t level)
{
  for (size_t i = 0; i < fixture->count; i++)
    if (request_crashes_level (fixture->nodes[i].crashes, REQUEST) != level)
      return false;
  return true;
}

/* Guards against crashes seen by several instances, also of other zones, that
 * do not add up, against the loss of messages, and against an instance that
 * starts without the evidence. */
static void
test_evidence_spreads (fixture_t *fixture, gconstpointer zones)
{
  node_t *last = &fixture->nodes[4];

  RUN_UNTIL (fixture, all_count_live (fixture, 5));
  for (uint32_t i = 0; i < 3; i++)
    request_crashes_add (fixture->nodes[2 * i].crashes, REQUEST, "u", i,
                         clock_mono_ms ());
  last->lost = 2;
  RUN_UNTIL (fixture, all_have_level (fixture, QUARANTINE_BLOCKED));
  kill_node (last);
  start_node (fixture, last, NULL);
  RUN_UNTIL (fixture, all_have_level (fixture, QUARANTINE_BLOCKED));
  request_crashes_add_success (fixture->nodes[1].crashes, REQUEST, "u", 9,
                               clock_mono_ms ());
  RUN_UNTIL (fixture, all_have_level (fixture, QUARANTINE_CLEAR));
}

#define ADD(name, zones, test)                                                 \
  g_test_add (name, fixture_t, zones, set_up, test, tear_down)

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  ADD ("/membership/leaving-spreads", "aaabb", test_leaving_state_spreads);
  ADD ("/membership/dead-owner-is-released", "aaa",
       test_dead_owner_is_released);
  ADD ("/membership/restarted-owner-is-released", "aaa",
       test_restarted_owner_is_released);
  ADD ("/membership/configuration-spreads", "aaabb",
       test_configuration_spreads);
  ADD ("/membership/whole-zone-restarts", "aaabb", test_whole_zone_restarts);
  ADD ("/membership/chain-of-zones", "+abcdef",
       test_upstream_spreads_over_chain_of_zones);
  ADD ("/membership/evidence-spreads", "aaabb", test_evidence_spreads);
  return g_test_run ();
}
