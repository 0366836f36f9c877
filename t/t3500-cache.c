/* Checks that prompts go to the engine that has their prefix cached, as known
 * from its delayed cache events, and that an outdated hint fails no request. */
#include <signal.h>
#include <string.h>

#include "lib-entry.h"

#define PREFIX_BYTES 40000 /* 10,000 tokens */
#define ROUNDS       5

static answer_t
send_prefixed_prompt (deploy_t *deploy, const char *question)
{
  char *prefix = g_strnfill (PREFIX_BYTES, 'm');
  char *body = g_strdup_printf (
      "{\"customer\":\"counter\",\"max_tokens\":3,\"prompt\":\"%s%s\"}", prefix,
      question);
  answer_t answer = deploy_prompt (deploy, body);

  g_assert_cmpint (answer.status, ==, 200);
  g_free (body);
  g_free (prefix);
  return answer;
}

static int64_t
cached_tokens (const answer_t *answer)
{
  return json_object_get_int_member (
      json_object_get_object_member (answer->json, "usage"), "cached_tokens");
}

/** Sends the prefix to an engine directly, bypassing the entry instance. */
static answer_t
warm_up (const upstream_process_t *engine)
{
  char *prefix = g_strnfill (PREFIX_BYTES, 'm');
  char *body = g_strdup_printf (
      "{\"request_id\":\"w-1-1\",\"owner\":\"w/1\",\"max_tokens\":3,"
      "\"priority\":1,\"prompt\":\"%sfirst\"}",
      prefix);
  answer_t answer = cluster_call (engine->address, "POST", "/v1/streams", body);

  g_assert_cmpint (answer.status, ==, 200);
  g_free (body);
  g_free (prefix);
  return answer;
}

static void
test_follows_events (void)
{
  deploy_t *deploy = deploy_new (NULL);
  upstream_process_t engines[2];
  answer_t answer;
  int warm;

  for (int i = 0; i < 2; i++)
    engines[i]
        = deploy_engine (deploy, "--event-loss-percent=0", "--event-lag-ms=0");
  /* Warm up the engine that is not chosen without a cache hint. */
  answer = deploy_prompt (deploy, PROMPT ("x", ",\"max_tokens\":3"));
  cluster_answer_free (&answer);
  warm = inspect_runs (&engines[0]) > 0 ? 1 : 0;
  answer = warm_up (&engines[warm]);
  cluster_answer_free (&answer);
  CLUSTER_WAIT (cluster_metric (deploy->address, "lwm_cache_events_total") > 0);
  for (int i = 0; i < ROUNDS; i++)
    {
      answer = send_prefixed_prompt (deploy, "more");
      g_assert_cmpint (cached_tokens (&answer), >, 0);
      cluster_answer_free (&answer);
    }
  g_assert_cmpint (inspect_runs (&engines[1 - warm]), ==, 1);

  /* The engine and its cache are gone: the hint is outdated. */
  process_signal (engines[warm].process, SIGKILL);
  answer = send_prefixed_prompt (deploy, "more");
  g_assert_cmpint (cached_tokens (&answer), ==, 0);
  cluster_answer_free (&answer);
  deploy_free (deploy);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/entry/cache/follows-events", test_follows_events);
  return g_test_run ();
}
