/* The log lines of the entry daemon about requests that end without a whole
 * answer: each names its request. */
#include <signal.h>
#include <string.h>
#include <unistd.h>

#include "lib-entry.h"

#define CALL_PATH "/v1/call/ledger/issue"

/** Returns whether a process has logged a text that names a request. */
static bool
has_logged (process_t *process, const char *text)
{
  char *log = process_log (process);
  bool found = strstr (log, text) != NULL;

  if (!found)
    g_test_message ("%s", log);
  g_free (log);
  return found;
}

/** Guards against a request that is open at the stop timeout and leaves no
 * line. Its caller gets an answer that does not deny that it may have run. */
static void
test_stop_timeout (void)
{
  deploy_t *deploy = deploy_new ("--stop-timeout-ms=300");
  call_t *call;
  answer_t answer;

  deploy_service (deploy, "ledger", "--service-ms=20000");
  call = call_start (deploy->address, CALL_PATH, "X-Customer: counter\r\n",
                     "{}");
  CLUSTER_WAIT (cluster_metric (deploy->address, "lwm_requests_live") == 1);
  process_signal (deploy->process, SIGTERM);
  answer = call_finish (call);
  g_assert_cmpint (answer.status, ==, 502);
  cluster_answer_free (&answer);
  process_expect_success (deploy->process);
  g_assert_true (has_logged (deploy->process, "Request failed. request="));
  deploy_free (deploy);
}

/** Guards against a refusal that leaves no line. */
static void
test_refused (void)
{
  deploy_t *deploy = deploy_new (NULL);
  answer_t answer = deploy_prompt (
      deploy,
      PROMPT ("a", ",\"idempotency_key\":\"a key without a control group\""));

  g_assert_cmpint (answer.status, !=, 200);
  cluster_answer_free (&answer);
  g_assert_true (has_logged (deploy->process, "Request refused. request="));
  deploy_free (deploy);
}

/** Guards against a caller that closes while its answer is being written, and
 * leaves no line. */
static void
test_caller_closes (void)
{
  deploy_t *deploy = deploy_new (NULL);
  int fd;

  deploy_engine (deploy, "--prefill-tokens-s=100", NULL);
  fd = prompt_without_reading (
      deploy, PROMPT ("a prompt of some words, which takes some time to read",
                      ",\"stream\":true"));
  CLUSTER_WAIT (cluster_metric (deploy->address, "lwm_requests_live") == 1);
  close (fd);
  CLUSTER_WAIT (has_logged (
      deploy->process,
      "Connection ended before its answer was delivered. request="));
  deploy_free (deploy);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/request-lines/stop-timeout", test_stop_timeout);
  g_test_add_func ("/request-lines/refused", test_refused);
  g_test_add_func ("/request-lines/caller-closes", test_caller_closes);
  return g_test_run ();
}
