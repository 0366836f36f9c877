/* Checks what callers get whose requests are still live when the stop timeout
 * of an entry daemon is over. */
#include <signal.h>
#include <string.h>

#include "lib-entry.h"
#include "lib-http-socket.h"

/* At the simulated upstreams' time scale, a token takes 20 ms. */
#define SLOW           "--step-us=100000"
#define LONG           ",\"max_tokens\":1000"
#define LONG_STREAM    ",\"max_tokens\":1000,\"stream\":true"
#define RECEIVE_MS     10000
#define BEFORE_STOP_MS 400

static http_socket_t *
start_completion (const char *address, const char *body)
{
  http_socket_t *socket = http_socket_connect (address);
  char *text = g_strdup_printf ("POST /v1/completions HTTP/1.1\r\nHost: %s\r\n"
                                "Content-Length: %zu\r\n\r\n%s",
                                address, strlen (body), body);

  g_assert_nonnull (socket);
  g_assert_true (http_socket_send (socket, text, strlen (text)));
  g_free (text);
  return socket;
}

static void
receive (http_socket_t *socket, http_message_t *answer)
{
  int64_t until_us = g_get_monotonic_time () + (int64_t)RECEIVE_MS * 1000;

  http_socket_receive (socket, until_us, answer);
  http_socket_free (socket);
}

/** Guards against requests that are dropped without an answer when the stop
 * takes longer than its timeout. */
static void
test_live_requests (void)
{
  deploy_t *deploy = deploy_new ("--stop-timeout-ms=2000");
  http_message_t answer;
  http_socket_t *stream;
  http_socket_t *whole;

  deploy_engine (deploy, SLOW, NULL);
  stream = start_completion (deploy->address, PROMPT ("x", LONG_STREAM));
  whole = start_completion (deploy->address, PROMPT ("y", LONG));
  cluster_sleep_ms (BEFORE_STOP_MS);
  process_signal (deploy->process, SIGTERM);
  receive (stream, &answer);
  g_assert_cmpint (answer.status, ==, 200);
  g_assert_true (answer.is_whole);
  g_assert_nonnull (strstr (answer.body->str, "\"error\""));
  g_assert_null (strstr (answer.body->str, "[DONE]"));
  http_message_clear (&answer);
  receive (whole, &answer);
  g_assert_cmpint (answer.status, ==, 502);
  g_assert_true (answer.is_whole);
  http_message_clear (&answer);
  deploy_free (deploy);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/stop-timeout/live-requests", test_live_requests);
  return g_test_run ();
}
