/* Applies a configuration through the command, an entry instance and a control
 * group of three, all real processes. */
#include <glib.h>
#include <signal.h>
#include <string.h>

#include "base.h"
#include "lib-cluster.h"
#include "lib-entry.h"

#define REPLICAS 3
#define ENTRIES  2

#define CONFIG                                                                 \
  "zones: [{name: z}]\n"                                                       \
  "size_classes: [{name: s, up_to_tokens: 1000, deadline_ms: 9000}]\n"         \
  "services: [{name: ours, kind: plain, deadline_ms: 5000}]\n"                 \
  "customers: [{name: mine, weight: %d}]\n"

/** A proposal of the next configuration. */
#define NEXT_CONFIG                                                            \
  "{\"number\":2,\"files\":{\"a.yaml\":\""                                     \
  "zones: [{name: z}]\\nsize_classes: [{name: s, up_to_tokens: 1000, "         \
  "deadline_ms: 9000}]\\nservices: [{name: ours, kind: plain, deadline_ms: "   \
  "5000}]\\ncustomers: [{name: mine, weight: 2}]\\n\"}}"

/** Time in which a call reaches the group. */
#define CALL_SETTLED_MS 300

typedef struct
{
  cluster_t *cluster;
  const char *control[REPLICAS]; /* ZeroMQ addresses */
  const char *status[REPLICAS];  /* HTTP addresses */
  const char *entry[ENTRIES];
  process_t *replicas[REPLICAS];
  process_t *entries[ENTRIES];
} fixture_t;

static void
start_replica (fixture_t *fixture, int index)
{
  char *name = g_strdup_printf ("c%d", index);
  char *members[REPLICAS];

  for (int i = 0; i < REPLICAS; i++)
    members[i] = g_strdup_printf ("c%d=%s", i, fixture->control[i]);
  fixture->replicas[index] = cluster_start (
      fixture->cluster, "lwm-controld", "--instance", name, "--zone", "z",
      "--listen", fixture->status[index], "--control-listen",
      fixture->control[index], "--data-folder",
      cluster_subfolder (fixture->cluster, name), "--member", members[0],
      "--member", members[1], "--member", members[2], NULL);
  g_assert_nonnull (fixture->replicas[index]);
  for (int i = 0; i < REPLICAS; i++)
    g_free (members[i]);
  g_free (name);
}

static void
set_up (fixture_t *fixture, gconstpointer data)
{
  fixture->cluster = cluster_new ();
  for (int i = 0; i < REPLICAS; i++)
    {
      fixture->control[i] = cluster_address (fixture->cluster);
      fixture->status[i] = cluster_address (fixture->cluster);
    }
  for (int i = 0; i < REPLICAS; i++)
    start_replica (fixture, i);
  for (int i = 0; i < ENTRIES; i++)
    {
      fixture->entry[i] = cluster_address (fixture->cluster);
      fixture->entries[i] = cluster_start (
          fixture->cluster, "lwm-entryd", "--instance", i == 0 ? "a" : "b",
          "--zone", "z", "--listen", fixture->entry[i], "--control-peer",
          fixture->control[0], "--control-peer", fixture->control[1],
          "--control-peer", fixture->control[2], NULL);
      g_assert_nonnull (fixture->entries[i]);
    }
}

static void
tear_down (fixture_t *fixture, gconstpointer data)
{
  cluster_free (fixture->cluster);
}

/** Applies a folder with the given weight and returns the exit code. The caller
 * frees the output. */
static int
apply (fixture_t *fixture,
       int entry,
       const char *number,
       int weight,
       char **output)
{
  char *text = g_strdup_printf (CONFIG, weight);
  int code;

  cluster_write (fixture->cluster, "conf/a.yaml", text);
  code = cluster_run (fixture->cluster, output, "lacewingmast", "apply",
                      "--target", fixture->entry[entry], "--number", number,
                      cluster_subfolder (fixture->cluster, "conf"), NULL);
  g_test_message ("apply %s: %d %s", number, code, *output);
  g_free (text);
  return code;
}

static bool
has_revision (const char *entry, int64_t number)
{
  answer_t answer = cluster_call (entry, "GET", "/admin/v1/status", NULL);
  bool found = answer.json != NULL
               && json_object_get_int_member (
                      json_object_get_object_member (answer.json, "revision"),
                      "number")
                      == number;

  cluster_answer_free (&answer);
  return found;
}

static void
expect_apply (fixture_t *fixture,
              int entry,
              const char *number,
              int weight,
              int code,
              const char *part)
{
  char *output;

  g_assert_cmpint (apply (fixture, entry, number, weight, &output), ==, code);
  g_assert_nonnull (strstr (output, part));
  g_free (output);
}

static void
test_in_force_at_all_instances (fixture_t *fixture, gconstpointer data)
{
  answer_t answer
      = cluster_call_with (fixture->entry[0], "POST", "/v1/call/ours/x",
                           "X-Customer: mine\r\n", "{}", 5000);
  char *output;

  /* Nothing is served before a revision is in force. */
  g_assert_cmpint (answer.status, ==, 503);
  g_assert_nonnull (strstr (answer.body, "\"no_configuration\""));
  cluster_answer_free (&answer);
  expect_apply (fixture, 0, "5", 1, EXIT_CODE_OK, "accepted number=5");
  for (int i = 0; i < ENTRIES; i++)
    CLUSTER_WAIT (has_revision (fixture->entry[i], 5));
  expect_apply (fixture, 1, "5", 1, EXIT_CODE_OK, "same number=5");
  expect_apply (fixture, 1, "5", 2, EXIT_CODE_CONFLICT, "number_conflict");
  expect_apply (fixture, 0, "4", 2, EXIT_CODE_CONFLICT, "stale_number");
  expect_apply (fixture, 0, "6", 2, EXIT_CODE_OK, "accepted number=6");
  for (int i = 0; i < ENTRIES; i++)
    CLUSTER_WAIT (has_revision (fixture->entry[i], 6));
  g_assert_cmpint (cluster_run (fixture->cluster, &output, "lacewingmast",
                                "audit", "--target", fixture->entry[1], NULL),
                   ==, EXIT_CODE_OK);
  g_assert_nonnull (strstr (output, "change number=5"));
  g_assert_nonnull (strstr (output, "change number=6"));
  g_free (output);
}

static void
test_no_quorum_is_reported (fixture_t *fixture, gconstpointer data)
{
  expect_apply (fixture, 0, "1", 1, EXIT_CODE_OK, "accepted number=1");
  process_signal (fixture->replicas[0], SIGKILL);
  expect_apply (fixture, 0, "2", 2, EXIT_CODE_OK, "accepted number=2");
  process_signal (fixture->replicas[1], SIGKILL);
  expect_apply (fixture, 0, "3", 3, EXIT_CODE_UNAVAILABLE, "");
  start_replica (fixture, 1);
  expect_apply (fixture, 0, "3", 3, EXIT_CODE_OK, "number=3");
  CLUSTER_WAIT (has_revision (fixture->entry[1], 3));
}

static void
signal_replicas (fixture_t *fixture, int signal_number)
{
  for (int i = 0; i < REPLICAS; i++)
    process_signal (fixture->replicas[i], signal_number);
}

/* Guards against ending an entry instance before the answer to a call that
 * waits for the control group (issue 45). */
static void
test_stop_with_open_call (fixture_t *fixture, gconstpointer data)
{
  call_t *call;
  answer_t answer;

  expect_apply (fixture, 0, "1", 1, EXIT_CODE_OK, "accepted number=1");
  signal_replicas (fixture, SIGSTOP);
  call = call_start (fixture->entry[0], "/admin/v1/configuration", NULL,
                     NEXT_CONFIG);
  cluster_sleep_ms (CALL_SETTLED_MS);
  process_signal (fixture->entries[0], SIGTERM);
  answer = call_finish (call);
  signal_replicas (fixture, SIGCONT);
  assert_error (&answer, 502, "outcome_unknown", "unknown");
  cluster_answer_free (&answer);
  process_expect_success (fixture->entries[0]);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add ("/apply/in-force-everywhere", fixture_t, NULL, set_up,
              test_in_force_at_all_instances, tear_down);
  g_test_add ("/apply/no-quorum-is-told", fixture_t, NULL, set_up,
              test_no_quorum_is_reported, tear_down);
  g_test_add ("/apply/stop-with-open-call", fixture_t, NULL, set_up,
              test_stop_with_open_call, tear_down);
  return g_test_run ();
}
