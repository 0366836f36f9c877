/* Checks callers that disconnect, reconnect, read slowly or send requests while
 * the instance stops, and calls that must not run twice. */
#include <signal.h>
#include <string.h>
#include <unistd.h>

#include "lib-entry.h"

/* At the simulated upstreams' time scale, a token takes 20 ms. */
#define SLOW "--step-us=100000"
/* As fast as possible; each token takes about 70 bytes of events. */
#define FAST "--step-us=5"
#define MANY_TOKENS_BODY                                                       \
  ",\"stream\":true,\"max_tokens\":400000,\"deadline_ms\":" DEADLINE_MS_TEXT
/* A sanitizer build on a busy machine needs half a minute for MANY_TOKENS. */
#define DEADLINE_MS_TEXT "200000"
#define MANY_TOKENS      400000
#define PAUSED_BYTES     (1024 * 1024)
#define STREAMS          8
#define END_BYTES        400
/* Exceeds the time that an engine may take between two tokens. */
#define IDLE_MS 4000
/* Maximum number of calls until one of them is attempted at the unreachable
 * upstream. */
#define MAX_CALLS 200

static void
wait_memory_free (const upstream_process_t *engine)
{
  CLUSTER_WAIT (inspect_count (engine, "kv_used_tokens") == 0);
}

static void
test_hang_up_before_head (void)
{
  deploy_t *deploy = deploy_new (NULL);
  upstream_process_t engine
      = deploy_engine (deploy, "--prefill-tokens-s=100", NULL);
  int fd = prompt_without_reading (
      deploy,
      PROMPT ("a prompt that takes some seconds to read, being as long as that "
              "and a good deal longer still, as all these words may show, and "
              "these again, so that its caller has time to hang up before",
              ",\"stream\":true"));
  answer_t answer;

  CLUSTER_WAIT (inspect_count (&engine, "kv_used_tokens") > 0);
  close (fd);
  wait_memory_free (&engine);
  CLUSTER_WAIT (cluster_metric (deploy->address,
                                "lwm_failures_total{reason=\"cancelled\"}")
                == 1);
  answer = cluster_call (deploy->address, "GET", "/healthz", NULL);
  g_assert_cmpint (answer.status, ==, 200);
  cluster_answer_free (&answer);
  deploy_free (deploy);
}

/** Returns the request id in a stream's events; free with g_free(). */
static char *
copy_request_id (const answer_t *answer)
{
  const char *at = strstr (answer->body, "\"id\":\"") + 6;

  return g_strndup (at, (gsize)(strchr (at, '"') - at));
}

/** Starts a stream, disconnects before its end and returns what it received. */
static answer_t
hang_up_mid_stream (deploy_t *deploy)
{
  answer_t answer = cluster_call_with (
      deploy->address, "POST", "/v1/completions", NULL,
      PROMPT ("x", ",\"stream\":true,\"max_tokens\":100"), 500);

  g_assert_cmpuint (count_occurrences (&answer, "\"offset\":"), >, 0);
  g_assert_cmpuint (count_occurrences (&answer, "\"offset\":"), <, 100);
  return answer;
}

static void
test_hang_up_mid_stream (void)
{
  deploy_t *deploy = deploy_new ("--reconnect-timeout-ms=200");
  upstream_process_t engine = deploy_engine (deploy, SLOW, NULL);
  answer_t answer = hang_up_mid_stream (deploy);

  wait_memory_free (&engine);
  g_assert_cmpfloat (
      cluster_metric (deploy->address,
                      "lwm_failures_total{reason=\"cancelled\"}"),
      ==, 1);
  cluster_answer_free (&answer);
  deploy_free (deploy);
}

static void
test_caller_reconnects (void)
{
  deploy_t *deploy = deploy_new ("--reconnect-timeout-ms=10000");
  upstream_process_t engine = deploy_engine (deploy, SLOW, NULL);
  answer_t first = hang_up_mid_stream (deploy);
  uint32_t had = count_occurrences (&first, "\"offset\":");
  char *id = copy_request_id (&first);
  char *path = g_strdup_printf ("/v1/requests/%s?offset=%u", id, had);
  answer_t rest = cluster_call (deploy->address, "GET", path, NULL);

  g_assert_cmpint (rest.status, ==, 200);
  g_assert_cmpuint (had + count_occurrences (&rest, "\"offset\":"), ==, 101);
  g_assert_cmpuint (count_occurrences (&rest, "[DONE]"), ==, 1);
  g_assert_cmpint (inspect_runs (&engine), ==, 1);
  cluster_answer_free (&rest);

  /* The answer is kept for some time after its end. */
  rest = cluster_call (deploy->address, "GET", path, NULL);
  g_assert_cmpuint (had + count_occurrences (&rest, "\"offset\":"), ==, 101);
  cluster_answer_free (&rest);
  rest = cluster_call (deploy->address, "GET", "/v1/requests/e1-1-1", NULL);
  assert_error (&rest, 404, "not_found", "unknown");
  cluster_answer_free (&rest);
  cluster_answer_free (&first);
  g_free (path);
  g_free (id);
  deploy_free (deploy);
}

/* The rest of a stream can also be read through another instance. */
static void
test_caller_reconnects_to_other_instance (void)
{
  deploy_t *deploy = deploy_new ("--reconnect-timeout-ms=10000");
  upstream_process_t engine = deploy_engine (deploy, SLOW, NULL);
  const char *other = deploy_second_entry (deploy);
  answer_t first;
  answer_t rest;
  uint32_t had;
  char *id;
  char *path;

  CLUSTER_WAIT (cluster_metric (other, "lwm_upstreams") == 1);
  first = hang_up_mid_stream (deploy);
  had = count_occurrences (&first, "\"offset\":");
  id = copy_request_id (&first);
  path = g_strdup_printf ("/v1/requests/%s?offset=%u", id, had);
  rest = cluster_call (other, "GET", path, NULL);
  g_assert_cmpint (rest.status, ==, 200);
  g_assert_cmpuint (had + count_occurrences (&rest, "\"offset\":"), ==, 101);
  g_assert_cmpuint (count_occurrences (&rest, "[DONE]"), ==, 1);
  g_assert_cmpint (inspect_runs (&engine), ==, 1);
  cluster_answer_free (&rest);

  /* The owner is asked once, and does not know this request. */
  rest = cluster_call (other, "GET", "/v1/requests/e1-1-1", NULL);
  assert_error (&rest, 404, "not_found", "unknown");
  cluster_answer_free (&rest);
  process_signal (deploy->process, SIGKILL);
  rest = cluster_call (other, "GET", path, NULL);
  assert_error (&rest, 503, "no_upstream", "unknown");
  cluster_answer_free (&rest);
  cluster_answer_free (&first);
  g_free (path);
  g_free (id);
  cluster_free (deploy->cluster);
  g_free (deploy);
}

/** Prints the end of the answer and the daemon's log, to diagnose a failure. */
static void
print_diagnostics (const deploy_t *deploy, const answer_t *answer)
{
  size_t size = strlen (answer->body);

  g_printerr ("the answer ends with: %s\n",
              answer->body + (size > END_BYTES ? size - END_BYTES : 0));
  process_print_log (deploy->process);
}

/** Waits until the instance stops reading from the engine. */
static void
wait_until_paused (const deploy_t *deploy)
{
  double before = -1;
  double now = 0;

  while (now == 0 || now != before)
    {
      before = now;
      cluster_sleep_ms (500);
      now = cluster_metric (deploy->address, "lwm_live_answer_bytes");
      g_assert_cmpfloat (now, <, PAUSED_BYTES);
    }
}

/** Checks that a caller that pauses reading gets its complete answer. */
static void
check_slow_reader (uint32_t idle_ms)
{
  deploy_t *deploy = deploy_new (NULL);
  upstream_process_t engine
      = deploy_engine (deploy, FAST, "--kv-tokens=1000000");
  int fd = prompt_without_reading (deploy, PROMPT ("x", MANY_TOKENS_BODY));
  answer_t answer;

  wait_until_paused (deploy);
  cluster_sleep_ms (idle_ms);
  answer = read_until_close (fd);
  if (count_occurrences (&answer, "[DONE]") != 1)
    print_diagnostics (deploy, &answer);
  g_assert_cmpuint (count_occurrences (&answer, "\"offset\":"), ==,
                    MANY_TOKENS + 1);
  g_assert_cmpuint (count_occurrences (&answer, "[DONE]"), ==, 1);
  cluster_answer_free (&answer);
  wait_memory_free (&engine);
  deploy_free (deploy);
}

static void
test_slow_reader (void)
{
  check_slow_reader (0);
}

/* While the caller is idle the instance does not read from the engine; the
 * engine must not be considered stalled for that. */
static void
test_idle_reader (void)
{
  check_slow_reader (IDLE_MS);
}

static void
test_stop_under_load (void)
{
  deploy_t *deploy = deploy_new (NULL);
  call_t *calls[STREAMS];
  answer_t answer;

  deploy_engine (deploy, SLOW, NULL);
  for (int i = 0; i < STREAMS; i++)
    calls[i] = call_start (deploy->address, "/v1/completions", NULL,
                           PROMPT ("x", ",\"stream\":true,\"max_tokens\":50"));
  CLUSTER_WAIT (cluster_metric (deploy->address, "lwm_requests_live")
                == STREAMS);
  process_signal (deploy->process, SIGTERM);
  CLUSTER_WAIT (cluster_metric (deploy->address, "lwm_requests_live") > 0);
  answer = deploy_prompt (deploy, PROMPT ("late", ""));
  assert_error (&answer, 503, "stopping", "true");
  cluster_answer_free (&answer);
  for (int i = 0; i < STREAMS; i++)
    {
      answer = call_finish (calls[i]);
      g_assert_cmpuint (count_occurrences (&answer, "\"offset\":"), ==, 51);
      g_assert_cmpuint (count_occurrences (&answer, "[DONE]"), ==, 1);
      cluster_answer_free (&answer);
    }
  process_expect_success (deploy->process);
  deploy_free (deploy);
}

static answer_t
call_service (deploy_t *deploy, const char *path)
{
  return cluster_call_with (deploy->address, "POST", path,
                            "X-Customer: counter\r\nX-Deadline-Ms: 3000\r\n",
                            "{\"part\":1}", 30000);
}

/** Resets the only connection to @a service while it runs a call. */
static answer_t
reset_connection_during_call (deploy_t *deploy,
                              const upstream_process_t *service,
                              const char *path)
{
  call_t *call = call_start (deploy->address, path, "X-Customer: counter\r\n",
                             "{\"part\":1}");

  CLUSTER_WAIT (inspect_runs (service) == 1);
  deploy_fault (deploy, service, "{\"reset\":true}");
  return call_finish (call);
}

static void
test_call_with_lost_answer_is_not_resent (void)
{
  deploy_t *deploy = deploy_new (NULL);
  upstream_process_t ledger;
  answer_t answer;

  deploy_proxy (deploy);
  ledger = deploy_service (deploy, "ledger", "--service-ms=2000");
  answer
      = reset_connection_during_call (deploy, &ledger, "/v1/call/ledger/issue");
  assert_error (&answer, 502, "outcome_unknown", "unknown");
  cluster_answer_free (&answer);
  g_assert_cmpint (inspect_runs (&ledger), ==, 1);

  /* The answer is lost on the link: the call must not be sent again. */
  deploy_fault (deploy, &ledger, "{\"cut\":\"out\"}");
  answer = call_service (deploy, "/v1/call/ledger/issue");
  assert_error (&answer, 502, "outcome_unknown", "unknown");
  cluster_answer_free (&answer);
  deploy_fault (deploy, &ledger, "{\"cut\":\"none\"}");
  g_assert_cmpint (inspect_runs (&ledger), ==, 2);
  g_assert_cmpint (inspect_count (&ledger, "double_runs"), ==, 0);
  g_assert_cmpfloat (cluster_metric_sum (deploy->address, "lwm_retries_total"),
                     ==, 0);
  deploy_free (deploy);
}

/* A call that was certainly not sent may be retried at another upstream. */
static void
test_unsent_call_is_retried (void)
{
  deploy_t *deploy = deploy_new (NULL);
  upstream_process_t ledger = deploy_service (deploy, "ledger", NULL);
  int calls = 0;

  while (
      cluster_metric (deploy->address, "lwm_retries_total{reason=\"connect\"}")
          == 0
      && calls < MAX_CALLS)
    {
      answer_t answer;

      calls++;
      deploy_unreachable_upstream (deploy, "service", "ledger");
      answer = call_service (deploy, "/v1/call/ledger/issue");
      g_assert_cmpint (answer.status, ==, 200);
      cluster_answer_free (&answer);
    }
  g_assert_cmpint (inspect_runs (&ledger), ==, calls);
  g_assert_cmpfloat (cluster_metric_sum (deploy->address, "lwm_retries_total"),
                     ==, 1);
  deploy_free (deploy);
}

static void
test_idempotent_call_is_resent (void)
{
  deploy_t *deploy = deploy_new (NULL);
  upstream_process_t lookup;
  answer_t answer;

  deploy_proxy (deploy);
  lookup = deploy_service (deploy, "lookup", "--service-ms=500");
  answer
      = reset_connection_during_call (deploy, &lookup, "/v1/call/lookup/part");
  g_assert_cmpint (answer.status, ==, 200);
  g_assert_cmpint (inspect_runs (&lookup), ==, 2);
  cluster_answer_free (&answer);
  deploy_free (deploy);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/entry/callers/hang-up-before-head",
                   test_hang_up_before_head);
  g_test_add_func ("/entry/callers/hang-up-within", test_hang_up_mid_stream);
  g_test_add_func ("/entry/callers/come-back", test_caller_reconnects);
  g_test_add_func ("/entry/callers/come-back-elsewhere",
                   test_caller_reconnects_to_other_instance);
  g_test_add_func ("/entry/callers/slow-reader", test_slow_reader);
  g_test_add_func ("/entry/callers/idle-reader", test_idle_reader);
  g_test_add_func ("/entry/callers/stop-under-load", test_stop_under_load);
  g_test_add_func ("/entry/callers/at-most-once",
                   test_call_with_lost_answer_is_not_resent);
  g_test_add_func ("/entry/callers/not-connected", test_unsent_call_is_retried);
  g_test_add_func ("/entry/callers/idempotent-call",
                   test_idempotent_call_is_resent);
  return g_test_run ();
}
