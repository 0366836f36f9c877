/* Checks engines that answer wrongly: a caller must get its own complete
 * answer, and not_run must agree with the runs that the engines recorded. */
#include <signal.h>
#include <string.h>

#include "lib-entry.h"

#define SLOW     "--step-us=50000"
#define REQUESTS 40
#define STREAM                                                                 \
  PROMPT ("How is a flipper coil wound?", ",\"max_tokens\":20,\"stream\":"     \
                                          "true")

typedef struct
{
  const char *fault;
  const char *reason; /* counter that must increase */
  int64_t runs; /* expected runs at the only engine, with the reference run */
} wrong_t;

/* Each stream is resumed at the same engine, without a second run. */
static const wrong_t resumed[] = {
  { "{\"kind\":\"reset\",\"count\":1,\"after_tokens\":3}",
    "lwm_resumes_total{reason=\"broken\"}", 2 },
  { "{\"kind\":\"truncate\",\"count\":1,\"after_tokens\":3}",
    "lwm_resumes_total{reason=\"truncated\"}", 2 },
  { "{\"kind\":\"crossed\",\"count\":1,\"after_tokens\":3}",
    "lwm_resumes_total{reason=\"crossed\"}", 2 },
  { "{\"kind\":\"stall\",\"count\":1,\"after_tokens\":3}",
    "lwm_resumes_total{reason=\"stalled\"}", 2 },
  { "{\"kind\":\"busy\",\"count\":2}", "lwm_retries_total{reason=\"busy\"}",
    2 },
};

static char *
get_complete_text (const answer_t *answer)
{
  g_assert_cmpint (answer->status, ==, 200);
  g_assert_cmpuint (count_occurrences (answer, "\"offset\":"), ==, 21);
  g_assert_cmpuint (count_occurrences (answer, "[DONE]"), ==, 1);
  return stream_text (answer);
}

static void
check_complete_answer (gconstpointer data)
{
  const wrong_t *wrong = data;
  deploy_t *deploy = deploy_new (NULL);
  upstream_process_t engine = deploy_engine (deploy, SLOW, NULL);
  answer_t reference = deploy_prompt (deploy, STREAM);
  char *wanted = get_complete_text (&reference);
  answer_t answer;
  char *text;

  misbehave (&engine, wrong->fault);
  answer = deploy_prompt (deploy, STREAM);
  text = get_complete_text (&answer);
  g_assert_cmpstr (text, ==, wanted);
  g_assert_cmpfloat (cluster_metric (deploy->address, wrong->reason), >=, 1);
  g_assert_cmpint (inspect_runs (&engine), ==, wrong->runs);
  CLUSTER_WAIT (inspect_count (&engine, "kv_used_tokens") == 0);
  g_assert_cmpfloat (
      cluster_metric (deploy->address, "lwm_upstreams_suspected_total"), ==, 0);
  g_free (text);
  g_free (wanted);
  cluster_answer_free (&answer);
  cluster_answer_free (&reference);
  deploy_free (deploy);
}

static void
test_late_answer_misses_deadline (void)
{
  deploy_t *deploy = deploy_new (NULL);
  upstream_process_t engine = deploy_engine (deploy, SLOW, NULL);
  answer_t answer;

  misbehave (&engine, "{\"kind\":\"late\",\"count\":1,\"ms\":3000}");
  answer = deploy_prompt (
      deploy, PROMPT ("x", ",\"max_tokens\":5,\"deadline_ms\":500"));
  assert_error (&answer, 504, "deadline_passed", "unknown");
  cluster_answer_free (&answer);
  CLUSTER_WAIT (inspect_count (&engine, "kv_used_tokens") == 0);
  CLUSTER_WAIT (cluster_metric (deploy->address, "lwm_cancels_open") == 0);
  deploy_free (deploy);
}

/** Returns whether the error in @a answer says that the request did not run. */
static bool
says_not_run (const answer_t *answer)
{
  return strstr (answer->body, "\"not_run\":true") != NULL;
}

static int64_t
count_runs (const upstream_process_t *engine, const char *id)
{
  answer_t answer = cluster_call (engine->address, "GET", "/v1/inspect", NULL);
  JsonObject *runs = json_object_get_object_member (answer.json, "runs");
  int64_t count = json_object_has_member (runs, id)
                      ? json_object_get_int_member (runs, id)
                      : 0;

  cluster_answer_free (&answer);
  return count;
}

/* One engine of three fails every request: sends must stay within the retry
 * budget, and a request reported as "not run" must not have run. */
static void
test_one_of_three_engines_fails (void)
{
  deploy_t *deploy = deploy_new ("--policy=round-robin");
  upstream_process_t engines[3];
  double sends;

  for (int i = 0; i < 3; i++)
    engines[i] = deploy_engine (deploy, NULL, NULL);
  misbehave (&engines[0], "{\"kind\":\"error\",\"count\":1000}");
  for (int i = 0; i < REQUESTS; i++)
    {
      answer_t answer
          = deploy_prompt (deploy, PROMPT ("x", ",\"max_tokens\":2"));

      if (answer.status != 200 && says_not_run (&answer))
        {
          JsonObject *error
              = json_object_get_object_member (answer.json, "error");
          const char *id = json_object_get_string_member (error, "request_id");

          for (int j = 0; j < 3; j++)
            g_assert_cmpint (count_runs (&engines[j], id), ==, 0);
        }
      cluster_answer_free (&answer);
    }
  sends = cluster_metric (deploy->address, "lwm_sends_total");
  g_test_message ("sends %g for %d requests", sends, REQUESTS);
  /* The retry budget: a minimum of 3, and a tenth of the requests. */
  g_assert_cmpfloat (sends, <=, REQUESTS * 1.1 + 3);
  g_assert_cmpfloat (
      cluster_metric (deploy->address, "lwm_retries_total{reason=\"error\"}")
          + cluster_metric (deploy->address,
                            "lwm_retries_total{reason=\"refused\"}"),
      >=, 1);
  deploy_free (deploy);
}

/* The daemon must release a poll of an engine that is pending when it stops; a
 * sanitizer build reports a leak otherwise. */
static void
test_stop_during_poll (void)
{
  deploy_t *deploy = deploy_new (NULL);
  upstream_process_t engine = deploy_engine (deploy, SLOW, NULL);
  double polls;

  process_signal (engine.process, SIGSTOP);
  polls = cluster_metric (deploy->address, "lwm_cache_polls_total");
  CLUSTER_WAIT (cluster_metric (deploy->address, "lwm_cache_polls_total")
                > polls);
  deploy_free (deploy);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_data_func ("/entry/misbehave/reset", &resumed[0],
                        check_complete_answer);
  g_test_add_data_func ("/entry/misbehave/truncate", &resumed[1],
                        check_complete_answer);
  g_test_add_data_func ("/entry/misbehave/crossed", &resumed[2],
                        check_complete_answer);
  g_test_add_data_func ("/entry/misbehave/stall", &resumed[3],
                        check_complete_answer);
  g_test_add_data_func ("/entry/misbehave/busy", &resumed[4],
                        check_complete_answer);
  g_test_add_func ("/entry/misbehave/late", test_late_answer_misses_deadline);
  g_test_add_func ("/entry/misbehave/third-fails",
                   test_one_of_three_engines_fails);
  g_test_add_func ("/entry/misbehave/stop-while-asking", test_stop_during_poll);
  return g_test_run ();
}
