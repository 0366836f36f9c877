/* Checks real entry instances in one or two zones: streams of a dead owner are
 * released, a leaving upstream gets no new requests, and a partitioned zone
 * keeps serving, survives a restart and converges when the partition ends. */
#include <glib.h>
#include <signal.h>
#include <string.h>

#include "lib-cluster.h"

#define INSTANCES 4

static const char config_text[] = "number: %u\n"
                                  "zones: [{name: a}, {name: b}]\n"
                                  "size_classes:\n"
                                  "  - {name: any, up_to_tokens: 1000000,\n"
                                  "     first_token_ms: 5000,\n"
                                  "     deadline_ms: 3600000}\n"
                                  "services:\n"
                                  "  - name: engines\n"
                                  "    kind: engine\n"
                                  "    model: base\n"
                                  "customers: [{name: counter, weight: 1}]\n";

#define PROMPT                                                                 \
  "{\"prompt\":\"hello there\",\"customer\":\"counter\",\"stream\":true,"      \
  "\"max_tokens\":%u}"

typedef struct
{
  const char *name;
  const char *zone;
  const char *address;
  const char *gossip;
  const char *outside; /* gossip address through the proxy */
  char *folder;
  process_t *process;
} instance_t;

typedef struct
{
  cluster_t *cluster;
  const char *proxy; /* control address of the fault proxy */
  instance_t instances[INSTANCES];
} fixture_t;

static void
write_config (fixture_t *fixture, instance_t *instance, uint32_t number)
{
  char *text = g_strdup_printf (config_text, number);
  char *path = g_strdup_printf ("%s/10.yaml", instance->name);

  cluster_write (fixture->cluster, path, text);
  g_free (path);
  g_free (text);
}

/**
 * Starts an instance.
 * @param configured whether it has its own configuration folder
 */
static void
start_instance (fixture_t *fixture, instance_t *instance, bool configured)
{
  GPtrArray *arguments = g_ptr_array_new ();
  const char *fixed[] = { "--instance",
                          instance->name,
                          "--zone",
                          instance->zone,
                          "--listen",
                          instance->address,
                          "--gossip-listen",
                          instance->gossip,
                          "--gossip-outside",
                          instance->outside,
                          "--reconnect-timeout-ms",
                          "60000" };

  for (size_t i = 0; i < G_N_ELEMENTS (fixed); i++)
    g_ptr_array_add (arguments, (char *)fixed[i]);
  for (int i = 0; i < INSTANCES; i++)
    {
      const instance_t *seed = &fixture->instances[i];

      if (seed == instance)
        continue;
      g_ptr_array_add (arguments, "--gossip-peer");
      g_ptr_array_add (arguments, strcmp (seed->zone, instance->zone) == 0
                                      ? (char *)seed->gossip
                                      : (char *)seed->outside);
    }
  if (configured)
    {
      g_ptr_array_add (arguments, "--config-folder");
      g_ptr_array_add (arguments, instance->folder);
    }
  g_ptr_array_add (arguments, NULL);
  instance->process = cluster_startv (fixture->cluster, "lwm-entryd",
                                      (char **)arguments->pdata);
  g_assert_nonnull (instance->process);
  g_ptr_array_free (arguments, TRUE);
}

static void
start_proxy (fixture_t *fixture)
{
  char *arguments[2 + 2 * INSTANCES + 1] = { "--listen" };
  int count = 2;

  fixture->proxy = cluster_address (fixture->cluster);
  arguments[1] = (char *)fixture->proxy;
  for (int i = 0; i < INSTANCES; i++)
    {
      const instance_t *instance = &fixture->instances[i];

      arguments[count++] = "--route";
      arguments[count++] = g_strdup_printf (
          "%s=%s=%s", instance->name, instance->outside, instance->gossip);
    }
  g_assert_nonnull (
      cluster_startv (fixture->cluster, "lwm-faultproxy", arguments));
  for (int i = 3; i < count; i += 2)
    g_free (arguments[i]);
}

static bool
is_healthy (const instance_t *instance)
{
  answer_t answer = cluster_call (instance->address, "GET", "/healthz", NULL);
  bool healthy = answer.status == 200;

  cluster_answer_free (&answer);
  return healthy;
}

static bool
all_have_revision (const fixture_t *fixture, int from, int to, uint32_t number)
{
  for (int i = from; i < to; i++)
    if (cluster_metric (fixture->instances[i].address, "lwm_config_number")
        != number)
      return false;
  return true;
}

static bool
all_count_live (const fixture_t *fixture, int from, int to, int live)
{
  for (int i = from; i < to; i++)
    if (cluster_metric (fixture->instances[i].address,
                        "lwm_instances{scope=\"all\"}")
        != live)
      return false;
  return true;
}

static void
set_up (fixture_t *fixture, gconstpointer data)
{
  static const char *const names[] = { "a1", "a2", "a3", "b1" };
  static const char *const two[] = { "a1", "a2", "b1", "b2" };
  bool halves = data != NULL;

  fixture->cluster = cluster_new ();
  for (int i = 0; i < INSTANCES; i++)
    {
      instance_t *instance = &fixture->instances[i];

      instance->name = halves ? two[i] : names[i];
      instance->zone = instance->name[0] == 'a' ? "a" : "b";
      instance->address = cluster_address (fixture->cluster);
      instance->gossip = cluster_address (fixture->cluster);
      instance->outside = cluster_address (fixture->cluster);
      instance->folder = g_strdup_printf (
          "%s/%s", cluster_folder (fixture->cluster), instance->name);
    }
  start_proxy (fixture);
  write_config (fixture, &fixture->instances[0], 1);
  for (int i = 0; i < INSTANCES; i++)
    start_instance (fixture, &fixture->instances[i], i == 0);
  for (int i = 0; i < INSTANCES; i++)
    CLUSTER_WAIT (is_healthy (&fixture->instances[i]));
  CLUSTER_WAIT (all_count_live (fixture, 0, INSTANCES, INSTANCES));
}

static void
tear_down (fixture_t *fixture, gconstpointer data)
{
  cluster_free (fixture->cluster);
  for (int i = 0; i < INSTANCES; i++)
    g_free (fixture->instances[i].folder);
}

/** Starts an engine that announces itself to only one instance. */
static process_t *
start_engine (fixture_t *fixture,
              const char *name,
              const instance_t *informed,
              const char **address)
{
  process_t *process;

  *address = cluster_address (fixture->cluster);
  process = cluster_start (
      fixture->cluster, "lwm-upstream", "--upstream", name, "--kind", "engine",
      "--service", "engines", "--zone", informed->zone, "--listen", *address,
      "--announce-to", informed->address, "--announce-ms", "500", NULL);
  g_assert_nonnull (process);
  return process;
}

static bool
all_count_upstreams (const fixture_t *fixture, int from, int to, int upstreams)
{
  for (int i = from; i < to; i++)
    if (cluster_metric (fixture->instances[i].address, "lwm_upstreams")
        != upstreams)
      return false;
  return true;
}

static int
send_prompt_with_timeout (const instance_t *instance,
                          uint32_t tokens,
                          uint32_t timeout_ms)
{
  char *body = g_strdup_printf (PROMPT, tokens);
  answer_t answer = cluster_call_with (
      instance->address, "POST", "/v1/completions", NULL, body, timeout_ms);
  int status = answer.status;

  cluster_answer_free (&answer);
  g_free (body);
  return status;
}

static guint
count_open_streams (const char *engine)
{
  answer_t answer = cluster_call (engine, "GET", "/v1/inspect", NULL);
  JsonArray *streams = json_object_get_array_member (answer.json, "streams");
  guint count = json_array_get_length (streams);

  cluster_answer_free (&answer);
  return count;
}

static void
print_time (const char *what, int64_t since_us)
{
  g_test_message ("%s: %" G_GINT64_FORMAT " ms", what,
                  (g_get_monotonic_time () - since_us) / 1000);
}

static void
test_dead_owner (fixture_t *fixture, gconstpointer data)
{
  instance_t *owner = &fixture->instances[1];
  const char *engine;
  int64_t since_us;

  start_engine (fixture, "u1", &fixture->instances[0], &engine);
  CLUSTER_WAIT (all_count_upstreams (fixture, 0, 3, 1));
  /* The caller disconnects, and the stream runs on for a minute without a
   * reader. */
  send_prompt_with_timeout (owner, 50000, 500);
  CLUSTER_WAIT (count_open_streams (engine) == 1);
  process_signal (owner->process, SIGKILL);
  since_us = g_get_monotonic_time ();
  CLUSTER_WAIT (count_open_streams (engine) == 0);
  print_time ("released after kill -9", since_us);
}

#define BURST 6

static gpointer
open_long_stream (gpointer instance)
{
  send_prompt_with_timeout (instance, 50000, 20000);
  return NULL;
}

/* The owner is killed right after a burst of requests: no stream may stay open
 * that no other instance has recorded. */
static void
test_dead_owner_of_a_burst (fixture_t *fixture, gconstpointer data)
{
  instance_t *owner = &fixture->instances[0];
  GThread *callers[BURST];
  const char *engine;

  start_engine (fixture, "u1", owner, &engine);
  CLUSTER_WAIT (all_count_upstreams (fixture, 0, 3, 1));
  CLUSTER_WAIT (all_count_live (fixture, 0, INSTANCES, INSTANCES));
  for (int i = 0; i < BURST; i++)
    callers[i] = g_thread_new ("caller", open_long_stream, owner);
  while (count_open_streams (engine) == 0)
    g_usleep (1000);
  process_signal (owner->process, SIGKILL);
  for (int i = 0; i < BURST; i++)
    g_thread_join (callers[i]);
  CLUSTER_WAIT (count_open_streams (engine) == 0);
}

static void
test_leaving_engine (fixture_t *fixture, gconstpointer data)
{
  const char *engine;
  process_t *process
      = start_engine (fixture, "u1", &fixture->instances[0], &engine);
  int64_t since_us;

  CLUSTER_WAIT (all_count_upstreams (fixture, 0, INSTANCES, 1));
  g_assert_cmpint (send_prompt_with_timeout (&fixture->instances[2], 5, 5000),
                   ==, 200);
  /* A long stream keeps the leaving engine from exiting. */
  send_prompt_with_timeout (&fixture->instances[0], 50000, 500);
  CLUSTER_WAIT (count_open_streams (engine) == 1);
  process_signal (process, SIGTERM);
  since_us = g_get_monotonic_time ();
  for (int i = 0; i < INSTANCES; i++)
    CLUSTER_WAIT (cluster_metric (fixture->instances[i].address,
                                  "lwm_gossip_upstreams_leaving")
                  == 1);
  print_time ("leaving known in both zones", since_us);
  for (int i = 0; i < INSTANCES; i++)
    g_assert_cmpint (send_prompt_with_timeout (&fixture->instances[i], 5, 5000),
                     ==, 503);
  g_assert_cmpuint (count_open_streams (engine), ==, 1);
}

static void
set_cut (fixture_t *fixture, const char *cut)
{
  char *body = g_strdup_printf ("{\"cut\":\"%s\"}", cut);

  for (int i = 0; i < INSTANCES; i++)
    {
      char *path
          = g_strdup_printf ("/v1/routes/%s", fixture->instances[i].name);
      answer_t answer = cluster_call (fixture->proxy, "POST", path, body);

      g_assert_cmpint (answer.status, ==, 200);
      cluster_answer_free (&answer);
      g_free (path);
    }
  g_free (body);
}

static void
test_zone_cut (fixture_t *fixture, gconstpointer data)
{
  instance_t *b1 = &fixture->instances[2];
  instance_t *b2 = &fixture->instances[3];
  const char *engine;
  int64_t since_us;

  start_engine (fixture, "ub", b2, &engine);
  CLUSTER_WAIT (all_count_upstreams (fixture, 0, INSTANCES, 1));
  set_cut (fixture, "both");
  write_config (fixture, &fixture->instances[0], 2);
  CLUSTER_WAIT (all_have_revision (fixture, 0, 2, 2));
  /* The partitioned zone keeps its revision, and a restarted instance gets that
   * revision from the other instance of the zone. */
  process_signal (b1->process, SIGKILL);
  since_us = g_get_monotonic_time ();
  start_instance (fixture, b1, false);
  CLUSTER_WAIT (is_healthy (b1));
  print_time ("restarted in the zone cut off", since_us);
  g_assert_true (all_have_revision (fixture, 2, 4, 1));
  CLUSTER_WAIT (all_count_upstreams (fixture, 2, 4, 1));
  g_assert_cmpint (send_prompt_with_timeout (b1, 5, 5000), ==, 200);
  g_assert_cmpint (send_prompt_with_timeout (b2, 5, 5000), ==, 200);
  set_cut (fixture, "none");
  since_us = g_get_monotonic_time ();
  CLUSTER_WAIT (all_have_revision (fixture, 0, INSTANCES, 2)
                && all_count_live (fixture, 0, INSTANCES, INSTANCES)
                && all_count_upstreams (fixture, 0, INSTANCES, 1));
  print_time ("converged after healing", since_us);
  for (int i = 0; i < INSTANCES; i++)
    g_assert_cmpint (send_prompt_with_timeout (&fixture->instances[i], 5, 5000),
                     ==, 200);
}

/* All instances stop at the same time, while each sees its peers leave. */
static void
test_all_instances_stop_together (fixture_t *fixture, gconstpointer data)
{
  CLUSTER_WAIT (all_count_live (fixture, 0, INSTANCES, INSTANCES));
  for (int i = 0; i < INSTANCES; i++)
    process_signal (fixture->instances[i].process, SIGTERM);
  for (int i = 0; i < INSTANCES; i++)
    process_expect_success (fixture->instances[i].process);
}

#define ADD(name, halves, test)                                                \
  g_test_add (name, fixture_t, halves, set_up, test, tear_down)

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  ADD ("/zones/dead-owner", NULL, test_dead_owner);
  ADD ("/zones/dead-owner-of-a-burst", NULL, test_dead_owner_of_a_burst);
  ADD ("/zones/leaving", NULL, test_leaving_engine);
  ADD ("/zones/zone-cut", "halves", test_zone_cut);
  ADD ("/zones/all-stop", NULL, test_all_instances_stop_together);
  return g_test_run ();
}
