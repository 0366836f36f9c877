/* Compares one whole streamed session with its golden file; LWM_GOLDEN=write
 * rewrites the file. */
#include <string.h>

#include "lib-entry.h"

#define GOLDEN "t/golden/t3001-session.txt"

/** Replaces the incarnation in each id, which changes with every start. */
static char *
mask_incarnation (const char *text)
{
  GRegex *regex = g_regex_new ("e1-[0-9]+-", 0, 0, NULL);
  char *clean
      = g_regex_replace_literal (regex, text, -1, 0, "e1-START-", 0, NULL);

  g_regex_unref (regex);
  return clean;
}

static void
add_call (GString *session,
          deploy_t *deploy,
          const char *method,
          const char *path,
          const char *headers,
          const char *body)
{
  answer_t answer
      = cluster_call_with (deploy->address, method, path, headers, body, 30000);
  char *clean = mask_incarnation (answer.body);

  g_string_append_printf (session, "> %s %s\n", method, path);
  if (body != NULL)
    g_string_append_printf (session, "> %s\n", body);
  g_string_append_printf (session, "< %d\n%s\n", answer.status, clean);
  g_free (clean);
  cluster_answer_free (&answer);
}

static void
test_session (void)
{
  deploy_t *deploy = deploy_new (NULL);
  GString *session = g_string_new (NULL);
  char *golden = NULL;

  deploy_engine (deploy, NULL, NULL);
  deploy_service (deploy, "ledger", NULL);
  add_call (session, deploy, "POST", "/v1/completions", NULL,
            PROMPT ("Which rose is \\\"Marie\\\"?",
                    ",\"max_tokens\":4,\"stream\":true"));
  add_call (session, deploy, "POST", "/v1/completions", NULL,
            PROMPT ("Which rose is \\\"Marie\\\"?", ",\"max_tokens\":4"));
  add_call (session, deploy, "POST", "/v1/call/ledger/parts/issue",
            "X-Customer: counter\r\n", "{\"part\":7}");
  add_call (session, deploy, "POST", "/v1/completions", NULL, "{\"prompt\"");
  if (g_strcmp0 (g_getenv ("LWM_GOLDEN"), "write") == 0)
    g_assert_true (g_file_set_contents (GOLDEN, session->str, -1, NULL));
  g_assert_true (g_file_get_contents (GOLDEN, &golden, NULL, NULL));
  g_assert_cmpstr (session->str, ==, golden);
  g_free (golden);
  g_string_free (session, TRUE);
  deploy_free (deploy);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/entry/session/golden", test_session);
  return g_test_run ();
}
