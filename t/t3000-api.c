/* Checks which requests an entry instance refuses, and that the refusal says
 * that the request did not run. */
#include <signal.h>
#include <string.h>

#include "lib-entry.h"

#define OVERSIZE_BYTES (8 * 1024 * 1024 + 1)
#define LARGE_BYTES    3900000

typedef struct
{
  const char *path;
  const char *headers;
  const char *body;
  int status;
  const char *kind;
} refusal_t;

static const refusal_t refusals[] = {
  { "/v1/completions", NULL, "{\"prompt\":\"a", 400, "bad_request" },
  { "/v1/completions", NULL, "", 400, "bad_request" },
  { "/v1/completions", NULL, "[1]", 400, "bad_request" },
  { "/v1/completions", NULL, "{\"customer\":\"counter\"}", 400, "bad_request" },
  { "/v1/completions", NULL, PROMPT ("", ""), 400, "bad_request" },
  { "/v1/completions", NULL, PROMPT ("a", ",\"max_tokens\":\"x\""), 400,
    "bad_request" },
  { "/v1/completions", NULL, PROMPT ("a", ",\"max_tokens\":-1"), 400,
    "bad_request" },
  { "/v1/completions", NULL, PROMPT ("a", ",\"stream\":1"), 400,
    "bad_request" },
  { "/v1/completions", NULL, PROMPT ("a", ",\"priority\":99"), 400,
    "bad_request" },
  { "/v1/completions", "X-Deadline-Ms: soon\r\n", PROMPT ("a", ""), 400,
    "bad_request" },
  { "/v1/completions", NULL, PROMPT ("a", ",\"service\":\"none\""), 404,
    "unknown_service" },
  { "/v1/completions", NULL, "{\"prompt\":\"a\"}", 403, "unknown_customer" },
  { "/v1/completions", "X-Customer: nobody\r\n", PROMPT ("a", ""), 403,
    "unknown_customer" },
  { "/v1/completions", NULL, PROMPT ("a", ",\"service\":\"ledger\""), 400,
    "bad_request" },
  { "/v1/completions", NULL, PROMPT ("a", ",\"model\":\"other\""), 503,
    "no_upstream" },
  { "/v1/call/none/x", "X-Customer: counter\r\n", "{}", 404,
    "unknown_service" },
  { "/v1/call/ledger/x", "X-Customer: history\r\n", "{}", 403, "forbidden" },
  { "/v1/call/ledger/x", "X-Customer: counter\r\nX-Idempotent: maybe\r\n", "{}",
    400, "bad_request" },
  { "/v1/call/lookup/x", "X-Customer: counter\r\n", "{}", 503, "no_upstream" },
  { "/v1/announce", NULL, "{\"upstream\":\"x\"}", 400, "bad_request" },
  { "/nowhere", NULL, "{}", 404, "not_found" },
};

static void
test_invalid_requests_are_refused (void)
{
  deploy_t *deploy = deploy_new (NULL);
  upstream_process_t engine = deploy_engine (deploy, NULL, NULL);
  upstream_process_t ledger = deploy_service (deploy, "ledger", NULL);

  for (size_t i = 0; i < G_N_ELEMENTS (refusals); i++)
    {
      const refusal_t *one = &refusals[i];
      answer_t answer = cluster_call_with (deploy->address, "POST", one->path,
                                           one->headers, one->body, 10000);

      g_test_message ("refusal %zu", i);
      assert_error (&answer, one->status, one->kind, "true");
      cluster_answer_free (&answer);
    }
  g_assert_cmpint (inspect_runs (&engine), ==, 0);
  g_assert_cmpint (inspect_runs (&ledger), ==, 0);
  g_assert_cmpfloat (
      cluster_metric (deploy->address,
                      "lwm_refusals_total{reason=\"unknown_service\"}"),
      ==, 2);
  deploy_free (deploy);
}

static char *
make_prompt_of_size (size_t size)
{
  static const char start[] = "{\"customer\":\"counter\",\"max_tokens\":2,"
                              "\"deadline_ms\":60000,\"prompt\":\"";
  char *body = g_malloc (size + 1);

  memset (body, 'a', size);
  memcpy (body, start, sizeof start - 1);
  memcpy (body + size - 2, "\"}", 3);
  return body;
}

static void
test_request_size_limit (void)
{
  deploy_t *deploy = deploy_new (NULL);
  upstream_process_t engine = deploy_engine (deploy, "--kv-tokens=4000000",
                                             "--prefill-tokens-s=10000000");
  char *body = make_prompt_of_size (OVERSIZE_BYTES);
  answer_t answer = deploy_prompt (deploy, body);

  assert_error (&answer, 413, "too_large", "true");
  g_assert_nonnull (strstr (answer.body, "8 MiB"));
  g_assert_cmpint (inspect_runs (&engine), ==, 0);
  cluster_answer_free (&answer);
  g_free (body);

  body = make_prompt_of_size (LARGE_BYTES);
  answer = deploy_prompt (deploy, body);
  g_assert_cmpint (answer.status, ==, 200);
  g_assert_cmpint (inspect_runs (&engine), ==, 1);
  cluster_answer_free (&answer);
  g_free (body);
  deploy_free (deploy);
}

static void
test_invalid_settings_are_refused (void)
{
  cluster_t *cluster = cluster_new ();
  char *output;
  char *folder;

  g_assert_cmpint (cluster_run (cluster, &output, "lwm-entryd", "--zone", "a b",
                                "--listen", "nowhere", "--policy", "luck",
                                NULL),
                   ==, 2);
  g_assert_nonnull (strstr (output, "instance"));
  g_assert_nonnull (strstr (output, "a b"));
  g_assert_nonnull (strstr (output, "nowhere"));
  g_assert_nonnull (strstr (output, "luck"));
  g_free (output);

  cluster_write (cluster, "bad/10.yaml",
                 "services:\n  - name: x\n    knid: 1\n");
  folder = g_strdup_printf ("%s/bad", cluster_folder (cluster));
  g_assert_cmpint (cluster_run (cluster, &output, "lwm-entryd", "--instance",
                                "e1", "--zone", "a", "--listen",
                                cluster_address (cluster), "--config-folder",
                                folder, NULL),
                   ==, 2);
  g_assert_nonnull (strstr (output, "10.yaml"));
  g_assert_nonnull (strstr (output, "knid"));
  g_free (output);
  g_free (folder);
  cluster_free (cluster);
}

static void
test_no_configuration (void)
{
  cluster_t *cluster = cluster_new ();
  const char *address = cluster_address (cluster);
  answer_t answer;

  g_assert_nonnull (cluster_start (cluster, "lwm-entryd", "--instance", "e1",
                                   "--zone", "a", "--listen", address, NULL));
  answer = cluster_call (address, "POST", "/v1/completions", PROMPT ("a", ""));
  assert_error (&answer, 503, "no_configuration", "true");
  cluster_answer_free (&answer);
  cluster_free (cluster);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/entry/api/refusals", test_invalid_requests_are_refused);
  g_test_add_func ("/entry/api/size", test_request_size_limit);
  g_test_add_func ("/entry/api/settings", test_invalid_settings_are_refused);
  g_test_add_func ("/entry/api/no-configuration", test_no_configuration);
  return g_test_run ();
}
