/* Tests the administration API of a real entry instance: roles, scopes, TLS. */
#include <glib.h>
#include <signal.h>
#include <string.h>

#include "auth.h"
#include "base.h"
#include "lib-cluster.h"
#include "lib-tls.h"

#define CONFIG                                                                 \
  "number: 3\n"                                                                \
  "zones: [{name: z}]\n"                                                       \
  "size_classes: [{name: s, up_to_tokens: 1000, deadline_ms: 9000}]\n"         \
  "services: [{name: ours, kind: plain, deadline_ms: 5000}]\n"                 \
  "customers: [{name: mine, weight: 2}, {name: other}]\n"

typedef struct
{
  cluster_t *cluster;
  const char *folder;
  const char *address;
  process_t *entry;
  char admin_token[AUTH_TOKEN_SIZE];
  char operator_token[AUTH_TOKEN_SIZE];
} fixture_t;

static void
set_up (fixture_t *fixture, gconstpointer data)
{
  fixture->cluster = cluster_new ();
  fixture->folder = cluster_subfolder (fixture->cluster, "conf");
  fixture->address = cluster_address (fixture->cluster);
  cluster_write (fixture->cluster, "conf/10-base.yaml", CONFIG);
}

static void
tear_down (fixture_t *fixture, gconstpointer data)
{
  cluster_free (fixture->cluster);
}

static void
start_entry (fixture_t *fixture)
{
  fixture->entry = cluster_start (
      fixture->cluster, "lwm-entryd", "--instance", "a", "--zone", "z",
      "--listen", fixture->address, "--config-folder", fixture->folder, NULL);
  g_assert_nonnull (fixture->entry);
}

static void
write_tokens (fixture_t *fixture)
{
  char admin_salt[AUTH_SALT_SIZE];
  char admin_hash[AUTH_HASH_SIZE];
  char operator_salt[AUTH_SALT_SIZE];
  char operator_hash[AUTH_HASH_SIZE];
  char *text;

  auth_make_token (fixture->admin_token, admin_salt, admin_hash);
  auth_make_token (fixture->operator_token, operator_salt, operator_hash);
  text = g_strdup_printf (
      "tokens:\n  - {name: ada, role: administrator, salt: %s, hash: %s}\n"
      "  - {name: oyin, role: operator, salt: %s, hash: %s, customer: "
      "[mine]}\n",
      admin_salt, admin_hash, operator_salt, operator_hash);
  cluster_write (fixture->cluster, "conf/90-tokens.yaml", text);
  g_free (text);
}

static answer_t
call (fixture_t *fixture,
      const char *token,
      const char *method,
      const char *path,
      const char *body)
{
  char *header = g_strdup_printf ("Authorization: Bearer %s\r\n", token);
  answer_t answer
      = cluster_call_with (fixture->address, method, path, header, body, 10000);

  g_free (header);
  return answer;
}

static void
expect_answer (answer_t answer, int status, const char *part)
{
  g_assert_cmpint (answer.status, ==, status);
  if (strstr (answer.body, part) == NULL)
    g_test_message ("%s", answer.body);
  g_assert_nonnull (strstr (answer.body, part));
  cluster_answer_free (&answer);
}

static void
test_roles_and_scopes (fixture_t *fixture, gconstpointer data)
{
  /* Changes the weight of customer "mine". */
  const char *mine
      = "{\"dry_run\":true,\"files\":{\"a.yaml\":\""
        "zones: [{name: z}]\\nsize_classes: [{name: s, up_to_tokens: 1000, "
        "deadline_ms: 9000}]\\n"
        "services: [{name: ours, kind: plain, deadline_ms: 5000}]\\ncustomers: "
        "[{name: mine, weight: 3}, {name: other}]\\n\"}}";
  answer_t answer;

  write_tokens (fixture);
  start_entry (fixture);
  expect_answer (
      cluster_call (fixture->address, "GET", "/admin/v1/status", NULL), 401,
      "\"unauthorized\"");
  expect_answer (call (fixture, "wrong", "GET", "/admin/v1/status", NULL), 401,
                 "\"not_run\":true");
  expect_answer (
      call (fixture, fixture->admin_token, "GET", "/admin/v1/status", NULL),
      200, "\"number\":3");
  expect_answer (
      call (fixture, fixture->operator_token, "POST", "/admin/v1/drain", "{}"),
      403, "\"forbidden\"");
  answer = call (fixture, fixture->operator_token, "GET", "/admin/v1/customers",
                 NULL);
  g_assert_nonnull (strstr (answer.body, "\"mine\""));
  g_assert_null (strstr (answer.body, "\"other\""));
  cluster_answer_free (&answer);
  /* The dry run also removes the tokens, which exceeds an operator's scope. */
  expect_answer (call (fixture, fixture->operator_token, "POST",
                       "/admin/v1/configuration", mine),
                 403, "does not hold tokens");
  expect_answer (
      call (fixture, fixture->admin_token, "POST", "/admin/v1/configuration",
            mine),
      200,
      "{\"change\":\"changed\",\"section\":\"customers\",\"name\":\"mine\"}");
}

static void
test_bad_input (fixture_t *fixture, gconstpointer data)
{
  start_entry (fixture);
  expect_answer (
      cluster_call (fixture->address, "POST", "/admin/v1/configuration", "{"),
      400, "\"bad_request\"");
  expect_answer (cluster_call (fixture->address, "POST",
                               "/admin/v1/configuration",
                               "{\"files\":{\"a.yaml\":\"colour: 1\"}}"),
                 400, "a.yaml:1: colour: unknown key of Config");
  expect_answer (cluster_call (fixture->address, "POST",
                               "/admin/v1/configuration", "{\"number\":4}"),
                 400, "files: expected");
  expect_answer (
      cluster_call (fixture->address, "GET", "/admin/v1/nothing", NULL), 404,
      "\"not_found\"");
  expect_answer (
      cluster_call (fixture->address, "GET", "/admin/v1/explain/x", NULL), 404,
      "\"not_found\"");
  expect_answer (cluster_call (fixture->address, "POST", "/admin/v1/members",
                               "{\"operation\":\"burn\",\"name\":\"x\"}"),
                 400, "operation: expected");
  expect_answer (cluster_call (fixture->address, "POST", "/admin/v1/log-level",
                               "{\"level\":\"loud\"}"),
                 400, "level: expected");
  expect_answer (cluster_call (fixture->address, "POST",
                               "/admin/v1/upstreams/drain/u", "{}"),
                 404, "cannot be drained from here yet");
  expect_answer (
      cluster_call (fixture->address, "GET", "/admin/v1/audit", NULL), 503,
      "\"no_quorum\"");
}

static void
test_drain_and_back (fixture_t *fixture, gconstpointer data)
{
  const char *body = "{}";
  answer_t answer;
  char *output;

  start_entry (fixture);
  g_assert_cmpint (cluster_run (fixture->cluster, &output, "lacewingmast",
                                "drain", "--target", fixture->address, "on",
                                NULL),
                   ==, EXIT_CODE_OK);
  g_free (output);
  answer = cluster_call_with (fixture->address, "POST", "/v1/call/ours/x",
                              "X-Customer: mine\r\n", body, 5000);
  expect_answer (answer, 503, "\"stopping\"");
  answer = cluster_call (fixture->address, "GET", "/healthz", NULL);
  g_assert_cmpint (answer.status, ==, 503);
  cluster_answer_free (&answer);
  g_assert_cmpint (cluster_run (fixture->cluster, &output, "lacewingmast",
                                "drain", "--target", fixture->address, "off",
                                NULL),
                   ==, EXIT_CODE_OK);
  g_free (output);
  answer = cluster_call (fixture->address, "GET", "/healthz", NULL);
  g_assert_cmpint (answer.status, ==, 200);
  cluster_answer_free (&answer);
}

static void
test_tls_and_reload (fixture_t *fixture, gconstpointer data)
{
  char *certificate
      = g_build_filename (cluster_folder (fixture->cluster), "cert.pem", NULL);
  char *key
      = g_build_filename (cluster_folder (fixture->cluster), "key.pem", NULL);
  char *ip
      = g_strndup (fixture->address,
                   (gsize)(strrchr (fixture->address, ':') - fixture->address));
  char *output;

  tls_make_certificate (ip, 1, certificate, key);
  fixture->entry = cluster_start (
      fixture->cluster, "lwm-entryd", "--instance", "a", "--zone", "z",
      "--listen", fixture->address, "--config-folder", fixture->folder,
      "--tls-certificate", certificate, "--tls-key", key, NULL);
  g_assert_nonnull (fixture->entry);
  g_assert_cmpint (cluster_run (fixture->cluster, &output, "lacewingmast",
                                "status", "--target", fixture->address,
                                "--tls-trust", certificate, NULL),
                   ==, EXIT_CODE_OK);
  g_assert_nonnull (strstr (output, "revision number=3"));
  g_free (output);
  g_assert_cmpint (tls_get_server_serial (fixture->address), ==, 1);
  /* An invalid file leaves the old certificate in use. */
  cluster_write (fixture->cluster, "cert.pem", "garbage");
  process_signal (fixture->entry, SIGHUP);
  cluster_sleep_ms (100);
  g_assert_cmpint (tls_get_server_serial (fixture->address), ==, 1);
  tls_make_certificate (ip, 2, certificate, key);
  process_signal (fixture->entry, SIGHUP);
  CLUSTER_WAIT (tls_get_server_serial (fixture->address) == 2);
  g_free (ip);
  g_free (key);
  g_free (certificate);
}

static void
test_untrusted_server_is_refused (fixture_t *fixture, gconstpointer data)
{
  char *certificate
      = g_build_filename (cluster_folder (fixture->cluster), "cert.pem", NULL);
  char *key
      = g_build_filename (cluster_folder (fixture->cluster), "key.pem", NULL);
  char *other
      = g_build_filename (cluster_folder (fixture->cluster), "other.pem", NULL);
  char *output;

  /* Both certificates are for another address; 'other' did not sign 'cert'. */
  tls_make_certificate ("127.9.9.9", 1, certificate, key);
  fixture->entry = cluster_start (
      fixture->cluster, "lwm-entryd", "--instance", "a", "--zone", "z",
      "--listen", fixture->address, "--config-folder", fixture->folder,
      "--tls-certificate", certificate, "--tls-key", key, NULL);
  g_assert_nonnull (fixture->entry);
  g_assert_cmpint (cluster_run (fixture->cluster, &output, "lacewingmast",
                                "status", "--target", fixture->address,
                                "--tls-trust", certificate, NULL),
                   ==, EXIT_CODE_UNAVAILABLE);
  g_free (output);
  tls_make_certificate ("127.9.9.9", 3, other, key);
  g_assert_cmpint (cluster_run (fixture->cluster, &output, "lacewingmast",
                                "status", "--target", fixture->address,
                                "--tls-trust", other, NULL),
                   ==, EXIT_CODE_UNAVAILABLE);
  g_free (output);
  g_free (other);
  g_free (key);
  g_free (certificate);
}

static void
test_announcements_carry_the_secret (fixture_t *fixture, gconstpointer data)
{
  static const char good[]
      = "{\"upstream\":\"u\",\"incarnation\":1,\"address\":\"127.0.0.1:9\","
        "\"zone\":\"z\",\"service\":\"ours\",\"kind\":\"service\","
        "\"state\":\"ready\",\"secret\":\"sesame\"}";
  char *bad = g_strdup (good);

  *strstr (bad, "sesame") = 'S';
  fixture->entry = cluster_start (
      fixture->cluster, "lwm-entryd", "--instance", "a", "--zone", "z",
      "--listen", fixture->address, "--config-folder", fixture->folder,
      "--announce-secret", "sesame", NULL);
  g_assert_nonnull (fixture->entry);
  expect_answer (cluster_call (fixture->address, "POST", "/v1/announce", bad),
                 401, "\"unauthorized\"");
  g_assert_cmpfloat (cluster_metric (fixture->address, "lwm_upstreams"), ==, 0);
  expect_answer (cluster_call (fixture->address, "POST", "/v1/announce", good),
                 200, "");
  g_assert_cmpfloat (cluster_metric (fixture->address, "lwm_upstreams"), ==, 1);
  g_free (bad);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add ("/admin/roles-and-scopes", fixture_t, NULL, set_up,
              test_roles_and_scopes, tear_down);
  g_test_add ("/admin/bad-input", fixture_t, NULL, set_up, test_bad_input,
              tear_down);
  g_test_add ("/admin/drain-and-back", fixture_t, NULL, set_up,
              test_drain_and_back, tear_down);
  g_test_add ("/admin/tls-and-reload", fixture_t, NULL, set_up,
              test_tls_and_reload, tear_down);
  g_test_add ("/admin/untrusted-server-is-refused", fixture_t, NULL, set_up,
              test_untrusted_server_is_refused, tear_down);
  g_test_add ("/admin/announcements-carry-the-secret", fixture_t, NULL, set_up,
              test_announcements_carry_the_secret, tear_down);
  return g_test_run ();
}
