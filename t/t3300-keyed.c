/* Checks keyed calls that must not be repeated: a call runs at most once, even
 * if it is resent, its connection is cut or its owner is killed. Uses real
 * processes: a control group of three, two entry instances, one service. */
#include <glib.h>
#include <signal.h>
#include <string.h>

#include "lib-cluster.h"

#define REPLICAS 3
#define ENTRIES  2

#define CONFIG                                                                 \
  "number: 1\n"                                                                \
  "zones: [{name: z}]\n"                                                       \
  "size_classes: [{name: s, up_to_tokens: 1000, deadline_ms: 20000}]\n"        \
  "services: [{name: ledger, kind: plain, deadline_ms: 20000}]\n"              \
  "customers: [{name: workshop}]\n"

typedef struct
{
  cluster_t *cluster;
  const char *control[REPLICAS];
  process_t *replicas[REPLICAS];
  const char *entry[ENTRIES];
  process_t *entries[ENTRIES];
  const char *service;
} fixture_t;

static void
start_replicas (fixture_t *fixture)
{
  char *members[REPLICAS];

  for (int i = 0; i < REPLICAS; i++)
    {
      fixture->control[i] = cluster_address (fixture->cluster);
      members[i] = g_strdup_printf ("c%d=%s", i, fixture->control[i]);
    }
  for (int i = 0; i < REPLICAS; i++)
    {
      char *name = g_strdup_printf ("c%d", i);

      fixture->replicas[i] = cluster_start (
          fixture->cluster, "lwm-controld", "--instance", name, "--zone", "z",
          "--listen", cluster_address (fixture->cluster), "--control-listen",
          fixture->control[i], "--data-folder",
          cluster_subfolder (fixture->cluster, name), "--member", members[0],
          "--member", members[1], "--member", members[2], NULL);
      g_assert_nonnull (fixture->replicas[i]);
      g_free (name);
    }
  for (int i = 0; i < REPLICAS; i++)
    g_free (members[i]);
}

static void
start_entries (fixture_t *fixture)
{
  const char *folder = cluster_subfolder (fixture->cluster, "conf");
  const char *gossip[ENTRIES];

  cluster_write (fixture->cluster, "conf/a.yaml", CONFIG);
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
          gossip[i], "--gossip-peer", gossip[1 - i], "--config-folder", folder,
          "--control-peer", fixture->control[0], "--control-peer",
          fixture->control[1], "--control-peer", fixture->control[2], NULL);
      g_assert_nonnull (fixture->entries[i]);
    }
}

static bool
is_ready (const char *entry)
{
  answer_t answer = cluster_call (entry, "GET", "/healthz", NULL);
  bool healthy = answer.status == 200;

  cluster_answer_free (&answer);
  return healthy && cluster_metric (entry, "lwm_upstreams") == 1;
}

static void
set_up (fixture_t *fixture, gconstpointer service_ms)
{
  fixture->cluster = cluster_new ();
  start_replicas (fixture);
  start_entries (fixture);
  fixture->service = cluster_address (fixture->cluster);
  g_assert_nonnull (cluster_start (
      fixture->cluster, "lwm-upstream", "--upstream", "s", "--kind", "service",
      "--service", "ledger", "--zone", "z", "--listen", fixture->service,
      "--service-ms", service_ms, "--announce-to", fixture->entry[0],
      "--announce-to", fixture->entry[1], NULL));
  for (int i = 0; i < ENTRIES; i++)
    CLUSTER_WAIT (is_ready (fixture->entry[i]));
}

static void
tear_down (fixture_t *fixture, gconstpointer data)
{
  cluster_free (fixture->cluster);
}

static answer_t
call (fixture_t *fixture, int entry, const char *key, const char *body)
{
  char *headers = g_strdup_printf (
      "X-Customer: workshop\r\nX-Idempotent: false\r\nIdempotency-Key: %s\r\n",
      key);
  answer_t answer
      = cluster_call_with (fixture->entry[entry], "POST",
                           "/v1/call/ledger/parts", headers, body, 20000);

  g_free (headers);
  return answer;
}

static void
print_processes (const fixture_t *fixture)
{
  for (int i = 0; i < REPLICAS; i++)
    process_print_log (fixture->replicas[i]);
  for (int i = 0; i < ENTRIES; i++)
    process_print_log (fixture->entries[i]);
}

/**
 * Repeats a call while the control group has no quorum, as callers do; the
 * refusal must say so.
 */
static answer_t
call_until_quorum (fixture_t *fixture, int entry, const char *key)
{
  int64_t end_us = g_get_monotonic_time () + CLUSTER_WAIT_TIMEOUT_MS * 1000;
  answer_t answer = call (fixture, entry, key, "{}");

  while (answer.status == 503 && g_get_monotonic_time () < end_us)
    {
      g_test_message ("%d %s", answer.status, answer.body);
      print_processes (fixture);
      g_assert_nonnull (strstr (answer.body, "\"no_quorum\""));
      cluster_answer_free (&answer);
      answer = call (fixture, entry, key, "{}");
    }
  return answer;
}

static void
expect_answer (answer_t answer, int status, const char *part)
{
  if (answer.status != status || strstr (answer.body, part) == NULL)
    g_test_message ("%d %s", answer.status, answer.body);
  g_assert_cmpint (answer.status, ==, status);
  g_assert_nonnull (strstr (answer.body, part));
  cluster_answer_free (&answer);
}

/** Returns the number of runs that the service counted for a key. */
static int64_t
count_runs (fixture_t *fixture, const char *key)
{
  answer_t answer = cluster_call (fixture->service, "GET", "/v1/inspect", NULL);
  JsonObject *keys = json_object_get_object_member (answer.json, "keys");
  int64_t runs = json_object_has_member (keys, key)
                     ? json_object_get_int_member (keys, key)
                     : 0;

  cluster_answer_free (&answer);
  return runs;
}

static void
test_resend_gets_the_same_answer (fixture_t *fixture, gconstpointer data)
{
  answer_t first = call (fixture, 0, "issue-1", "{\"part\":7}");
  answer_t second = call (fixture, 1, "issue-1", "{\"part\":7}");

  g_test_message ("%s", first.body);
  g_assert_cmpint (first.status, ==, 200);
  g_assert_cmpstr (first.body, ==, second.body);
  cluster_answer_free (&first);
  cluster_answer_free (&second);
  expect_answer (call (fixture, 1, "issue-1", "{\"part\":8}"), 409,
                 "\"key_conflict\"");
  g_assert_cmpint (count_runs (fixture, "issue-1"), ==, 1);
  expect_answer (call (fixture, 1, "issue-2", "{\"part\":8}"), 200, "\"run\":");
}

static void
test_call_without_quorum_is_refused (fixture_t *fixture, gconstpointer data)
{
  process_signal (fixture->replicas[0], SIGKILL);
  process_signal (fixture->replicas[1], SIGKILL);
  expect_answer (call (fixture, 0, "issue-3", "{}"), 503,
                 "\"no_quorum\",\"message\"");
  g_assert_cmpint (count_runs (fixture, "issue-3"), ==, 0);
  /* Calls that need no quorum are still served. */
  expect_answer (cluster_call_with (fixture->entry[0], "POST",
                                    "/v1/call/ledger/parts",
                                    "X-Customer: workshop\r\n", "{}", 20000),
                 200, "\"run\":1");
}

/* The caller disconnects: the call must continue, and a resend must get its
 * outcome. */
static void
test_hang_up_keeps_the_outcome (fixture_t *fixture, gconstpointer data)
{
  answer_t answer
      = cluster_call_with (fixture->entry[0], "POST", "/v1/call/ledger/parts",
                           "X-Customer: workshop\r\nX-Idempotent: false\r\n"
                           "Idempotency-Key: issue-5\r\n",
                           "{}", 400);

  g_assert_cmpint (answer.status, ==, 0);
  cluster_answer_free (&answer);
  CLUSTER_WAIT (cluster_metric (fixture->entry[0], "lwm_requests_done_total")
                == 1);
  expect_answer (call (fixture, 1, "issue-5", "{}"), 200, "\"run\":1");
  g_assert_cmpint (count_runs (fixture, "issue-5"), ==, 1);
}

typedef struct
{
  fixture_t *fixture;
  answer_t answer;
} background_t;

static gpointer
call_in_background (gpointer data)
{
  background_t *background = data;

  background->answer = call (background->fixture, 0, "issue-4", "{}");
  return NULL;
}

/* The outcome may be recorded only after the answer is sent: a resend must wait
 * for that record, and likewise for a request that is about to end. */
static void
test_resend_waits_for_call_to_end (fixture_t *fixture, gconstpointer data)
{
  background_t background = { .fixture = fixture };
  GThread *thread = g_thread_new ("caller", call_in_background, &background);
  answer_t second;

  CLUSTER_WAIT (count_runs (fixture, "issue-4") == 1);
  second = call_until_quorum (fixture, 1, "issue-4");
  g_thread_join (thread);
  if (second.status != 200)
    {
      g_test_message ("%d %s", second.status, second.body);
      print_processes (fixture);
    }
  g_assert_cmpint (second.status, ==, 200);
  g_assert_cmpstr (second.body, ==, background.answer.body);
  g_assert_cmpint (count_runs (fixture, "issue-4"), ==, 1);
  cluster_answer_free (&second);
  cluster_answer_free (&background.answer);
}

/**
 * Most of the control group is paused, as on an overloaded machine: a resend is
 * refused for want of a quorum, and a later one gets the outcome of the one
 * run.
 */
static void
test_resend_while_quorum_pauses (fixture_t *fixture, gconstpointer data)
{
  answer_t first = call (fixture, 0, "issue-6", "{}");
  answer_t second;

  g_assert_cmpint (first.status, ==, 200);
  process_signal (fixture->replicas[0], SIGSTOP);
  process_signal (fixture->replicas[1], SIGSTOP);
  expect_answer (call (fixture, 1, "issue-6", "{}"), 503, "\"no_quorum\"");
  process_signal (fixture->replicas[0], SIGCONT);
  process_signal (fixture->replicas[1], SIGCONT);
  second = call_until_quorum (fixture, 1, "issue-6");
  g_assert_cmpint (second.status, ==, 200);
  g_assert_cmpstr (second.body, ==, first.body);
  g_assert_cmpint (count_runs (fixture, "issue-6"), ==, 1);
  cluster_answer_free (&first);
  cluster_answer_free (&second);
}

static void
test_killed_owner_leaves_outcome_unknown (fixture_t *fixture,
                                          gconstpointer data)
{
  background_t background = { .fixture = fixture };
  GThread *thread = g_thread_new ("caller", call_in_background, &background);

  CLUSTER_WAIT (count_runs (fixture, "issue-4") == 1);
  expect_answer (call (fixture, 1, "issue-4", "{}"), 409,
                 "\"not_run\":\"unknown\"");
  process_signal (fixture->entries[0], SIGKILL);
  g_thread_join (thread);
  cluster_answer_free (&background.answer);
  for (;;)
    {
      answer_t answer = call (fixture, 1, "issue-4", "{}");
      bool in_progress = answer.status == 409;

      if (!in_progress)
        {
          expect_answer (answer, 502, "\"outcome_unknown\"");
          break;
        }
      cluster_answer_free (&answer);
      cluster_sleep_ms (100);
    }
  g_assert_cmpint (count_runs (fixture, "issue-4"), ==, 1);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add ("/keyed/resend-gets-the-same-answer", fixture_t, "10", set_up,
              test_resend_gets_the_same_answer, tear_down);
  g_test_add ("/keyed/no-quorum-is-refused-truthfully", fixture_t, "10", set_up,
              test_call_without_quorum_is_refused, tear_down);
  g_test_add ("/keyed/hang-up-keeps-the-outcome", fixture_t, "1500", set_up,
              test_hang_up_keeps_the_outcome, tear_down);
  g_test_add ("/keyed/resend-waits-for-the-end", fixture_t, "500", set_up,
              test_resend_waits_for_call_to_end, tear_down);
  g_test_add ("/keyed/resend-while-quorum-pauses", fixture_t, "10", set_up,
              test_resend_while_quorum_pauses, tear_down);
  g_test_add ("/keyed/killed-owner-leaves-it-unknown", fixture_t, "10000",
              set_up, test_killed_owner_leaves_outcome_unknown, tear_down);
  return g_test_run ();
}
