/* Checks upstreams and links that fail while a request is in progress: every
 * caller must get its own complete answer, or a correct error in time. */
#include <signal.h>
#include <string.h>

#include "lib-entry.h"

/* At the simulated upstreams' time scale a token takes 20 ms, an answer 2 s. */
#define SLOW   "--step-us=100000"
#define TOKENS 60
/* Maximum number of calls until one of them is attempted at the unreachable
 * upstream. */
#define MAX_CALLS 200
#define STREAM                                                                 \
  PROMPT ("How is a flipper coil wound?", ",\"max_tokens\":60,\"stream\":"     \
                                          "true")

static char *
reference_text (deploy_t *deploy)
{
  answer_t answer = deploy_prompt (deploy, STREAM);
  char *text = stream_text (&answer);

  g_assert_cmpint (answer.status, ==, 200);
  g_assert_cmpuint (count_occurrences (&answer, "\"offset\":"), ==, TOKENS + 1);
  cluster_answer_free (&answer);
  return text;
}

static void
assert_whole (answer_t *answer, const char *text)
{
  char *got = stream_text (answer);

  g_assert_cmpint (answer->status, ==, 200);
  g_assert_cmpstr (got, ==, text);
  g_assert_cmpuint (count_occurrences (answer, "[DONE]"), ==, 1);
  g_assert_cmpuint (count_occurrences (answer, "\"error\""), ==, 0);
  g_free (got);
  cluster_answer_free (answer);
}

static call_t *
start_stream (deploy_t *deploy)
{
  return call_start (deploy->address, "/v1/completions", NULL, STREAM);
}

/** Engines u1 and u2 behind a fault proxy, and the expected text of STREAM. */
typedef struct
{
  deploy_t *deploy;
  upstream_process_t engines[2];
  char *text;
} pair_t;

static pair_t
pair_new (uint32_t engines)
{
  pair_t pair = { .deploy = deploy_new (NULL) };

  deploy_proxy (pair.deploy);
  for (uint32_t i = 0; i < engines; i++)
    pair.engines[i] = deploy_engine (pair.deploy, SLOW, NULL);
  pair.text = reference_text (pair.deploy);
  return pair;
}

static void
pair_free (pair_t *pair)
{
  g_free (pair->text);
  deploy_free (pair->deploy);
}

/** Waits until an engine has a stream in memory; returns its index. */
static uint32_t
wait_streaming (const pair_t *pair, uint32_t engines)
{
  int64_t end_us = g_get_monotonic_time () + CLUSTER_WAIT_TIMEOUT_MS * 1000;

  while (g_get_monotonic_time () < end_us)
    for (uint32_t i = 0; i < engines; i++)
      if (inspect_count (&pair->engines[i], "kv_used_tokens") > 0)
        return i;
  g_assert_not_reached ();
}

static void
wait_stream_tokens (const pair_t *pair)
{
  double before = cluster_metric (pair->deploy->address,
                                  "lwm_request_edges_total{to=\"first_byte\"}");

  CLUSTER_WAIT (cluster_metric (pair->deploy->address,
                                "lwm_request_edges_total{to=\"first_byte\"}")
                > before);
}

static void
test_engine_dies_after_first_byte (void)
{
  pair_t pair = pair_new (2);
  call_t *call = start_stream (pair.deploy);
  uint32_t engine;
  answer_t answer;

  wait_stream_tokens (&pair);
  engine = wait_streaming (&pair, 2);
  process_signal (pair.engines[engine].process, SIGKILL);
  answer = call_finish (call);
  assert_whole (&answer, pair.text);
  g_assert_cmpfloat (
      cluster_metric_sum (pair.deploy->address, "lwm_retries_total"), ==, 1);
  pair_free (&pair);
}

static void
test_engine_dies_before_first_byte (void)
{
  deploy_t *deploy = deploy_new (NULL);
  pair_t pair = { .deploy = deploy };
  char *prompt = g_strnfill (400000, 'a');
  char *body = g_strdup_printf (
      "{\"prompt\":\"%s\",\"customer\":\"counter\",\"max_tokens\":5}", prompt);
  call_t *call;
  answer_t answer;

  pair.engines[0] = deploy_engine (deploy, NULL, NULL);
  pair.engines[1] = deploy_engine (deploy, NULL, NULL);
  call = call_start (deploy->address, "/v1/completions", NULL, body);
  process_signal (pair.engines[wait_streaming (&pair, 2)].process, SIGKILL);
  answer = call_finish (call);
  g_assert_cmpint (answer.status, ==, 200);
  g_assert_cmpfloat (cluster_metric_sum (deploy->address, "lwm_retries_total"),
                     ==, 1);
  cluster_answer_free (&answer);
  g_free (body);
  g_free (prompt);
  deploy_free (deploy);
}

/**
 * Checks that a stream is resumed, not rerun, after a fault of the link to the
 * only engine.
 */
static void
check_resumed (const char *faults, const char *heal)
{
  pair_t pair = pair_new (1);
  call_t *call = start_stream (pair.deploy);
  answer_t answer;

  wait_stream_tokens (&pair);
  deploy_fault (pair.deploy, &pair.engines[0], faults);
  if (heal != NULL)
    {
      CLUSTER_WAIT (
          cluster_metric_sum (pair.deploy->address, "lwm_resumes_total") >= 1);
      deploy_fault (pair.deploy, &pair.engines[0], heal);
    }
  answer = call_finish (call);
  assert_whole (&answer, pair.text);
  g_assert_cmpfloat (
      cluster_metric_sum (pair.deploy->address, "lwm_resumes_total"), >=, 1);
  g_assert_cmpint (inspect_runs (&pair.engines[0]), ==, 2);
  CLUSTER_WAIT (inspect_count (&pair.engines[0], "kv_used_tokens") == 0);
  pair_free (&pair);
}

static void
test_stream_resumes_after_reset (void)
{
  check_resumed ("{\"reset\":true}", NULL);
}

static void
test_stream_resumes_after_truncation (void)
{
  check_resumed ("{\"truncate_bytes\":300}", "{\"truncate_bytes\":0}");
}

static void
test_stream_resumes_after_cut (void)
{
  check_resumed ("{\"cut\":\"both\"}", "{\"cut\":\"none\"}");
}

/* The link to the engine drops all data: the deadline must still be kept, and
 * the memory at the engine must be released once the link is restored. */
static void
test_deadline_and_late_cancel (void)
{
  pair_t pair = pair_new (1);
  call_t *call;
  answer_t answer;

  deploy_fault (pair.deploy, &pair.engines[0], "{\"cut\":\"out\"}");
  call = call_start (pair.deploy->address, "/v1/completions", NULL,
                     PROMPT ("x", ",\"max_tokens\":50,\"deadline_ms\":1000"));
  answer = call_finish (call);
  assert_error (&answer, 504, "deadline_passed", "unknown");
  cluster_answer_free (&answer);
  g_assert_cmpfloat (cluster_metric (pair.deploy->address, "lwm_cancels_open"),
                     ==, 1);
  /* The first cancel also gets no answer. */
  deploy_fault (pair.deploy, &pair.engines[0], "{\"cut\":\"both\"}");
  CLUSTER_WAIT (cluster_metric (pair.deploy->address, "lwm_cancels_sent_total")
                >= 2);
  deploy_fault (pair.deploy, &pair.engines[0], "{\"cut\":\"none\"}");
  CLUSTER_WAIT (cluster_metric (pair.deploy->address, "lwm_cancels_open") == 0);
  g_assert_cmpint (inspect_count (&pair.engines[0], "kv_used_tokens"), ==, 0);
  pair_free (&pair);
}

/* An engine that announces itself but cannot be reached must cause a retry, not
 * a failure. */
static void
test_unreachable_engine_is_retried (void)
{
  deploy_t *deploy = deploy_new (NULL);
  answer_t answer;
  int calls = 0;

  deploy_engine (deploy, NULL, NULL);
  while (
      cluster_metric (deploy->address, "lwm_retries_total{reason=\"connect\"}")
          == 0
      && calls++ < MAX_CALLS)
    {
      deploy_unreachable_upstream (deploy, "engine", "engines");
      answer = deploy_prompt (deploy, PROMPT ("x", ",\"max_tokens\":2"));
      g_assert_cmpint (answer.status, ==, 200);
      cluster_answer_free (&answer);
    }
  g_assert_cmpfloat (
      cluster_metric (deploy->address, "lwm_retries_total{reason=\"connect\"}"),
      >=, 1);
  CLUSTER_WAIT (cluster_metric (deploy->address, "lwm_upstreams") == 1);
  deploy_free (deploy);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/entry/faults/dies-before-first-byte",
                   test_engine_dies_before_first_byte);
  g_test_add_func ("/entry/faults/dies-after-first-byte",
                   test_engine_dies_after_first_byte);
  g_test_add_func ("/entry/faults/reset", test_stream_resumes_after_reset);
  g_test_add_func ("/entry/faults/truncate",
                   test_stream_resumes_after_truncation);
  g_test_add_func ("/entry/faults/cut-and-healed",
                   test_stream_resumes_after_cut);
  g_test_add_func ("/entry/faults/deadline-and-late-cancel",
                   test_deadline_and_late_cancel);
  g_test_add_func ("/entry/faults/announces-and-vanishes",
                   test_unreachable_engine_is_retried);
  return g_test_run ();
}
