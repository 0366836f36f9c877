/* Checks answers that an entry instance fetches from another one, their owner,
 * when the owner ends before them. */
#include <signal.h>
#include <string.h>

#include "lib-entry.h"
#include "lib-http-socket.h"

/* At the simulated upstreams' time scale, a token takes 20 ms. */
#define SLOW            "--step-us=100000"
#define RECEIVE_MS      10000
#define BEFORE_BREAK_MS 400

/** Starts a stream of 100 tokens at its owner, disconnects before its end and
 * returns the path of the rest, freed with g_free(). */
static char *
begin_stream (const deploy_t *deploy)
{
  answer_t answer = cluster_call_with (
      deploy->address, "POST", "/v1/completions", NULL,
      PROMPT ("x", ",\"stream\":true,\"max_tokens\":100"), 500);
  const char *id = strstr (answer.body, "\"id\":\"") + strlen ("\"id\":\"");
  char *path = g_strdup_printf ("/v1/requests/%.*s?offset=0",
                                (int)strcspn (id, "\""), id);

  cluster_answer_free (&answer);
  return path;
}

static http_socket_t *
fetch (const char *address, const char *path)
{
  http_socket_t *socket = http_socket_connect (address);
  char *text
      = g_strdup_printf ("GET %s HTTP/1.1\r\nHost: %s\r\n\r\n", path, address);

  g_assert_nonnull (socket);
  g_assert_true (http_socket_send (socket, text, strlen (text)));
  g_free (text);
  return socket;
}

/** Guards against a forwarded answer that looks whole although its owner broke
 * off: its caller would take the beginning of a text for all of it. */
static void
test_owner_breaks_off (void)
{
  deploy_t *deploy = deploy_new ("--reconnect-timeout-ms=10000");
  const char *other = deploy_second_entry (deploy);
  http_message_t answer;
  http_socket_t *socket;
  char *path;

  deploy_engine (deploy, SLOW, NULL);
  CLUSTER_WAIT (cluster_metric (other, "lwm_upstreams") == 1);
  path = begin_stream (deploy);
  socket = fetch (other, path);
  cluster_sleep_ms (BEFORE_BREAK_MS);
  process_signal (deploy->process, SIGKILL);
  http_socket_receive (
      socket, g_get_monotonic_time () + (int64_t)RECEIVE_MS * 1000, &answer);
  g_assert_cmpint (answer.status, ==, 200);
  g_assert_nonnull (strstr (answer.body->str, "\"offset\":"));
  g_assert_null (strstr (answer.body->str, "[DONE]"));
  g_assert_false (answer.is_whole);
  g_assert_true (socket->has_ended);
  http_message_clear (&answer);
  http_socket_free (socket);
  g_free (path);
  deploy_restart (deploy);
  deploy_free (deploy);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/forward/owner-breaks-off", test_owner_breaks_off);
  return g_test_run ();
}
