/*
 * The server for callers, with callers that read slowly, send more than they
 * may, or shut their sending side.
 */
#include <event2/event.h>
#include <string.h>

#include "base.h"
#include "lib-caller-server.h"
#include "logging.h"

#define IDLE_TIMEOUT_MS 100

static void
check_large_answer (const caller_t *caller)
{
  const char *body = strstr (caller->answer->str, "\r\n\r\n");

  g_assert_nonnull (body);
  g_assert_cmpuint (strlen (body + 4), ==, SERVED_BODY_BYTES);
  g_assert_true (caller->has_end);
}

static const char get[] = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";

/** An idle timeout that cuts an answer which its caller still reads. */
static void
test_idle_timeout (void)
{
  served_t served;

  served_set_up (&served, IDLE_TIMEOUT_MS);
  caller_send (served.caller, get, strlen (get));
  served_run_for (&served, 3 * IDLE_TIMEOUT_MS);
  served_read_all (&served);
  check_large_answer (served.caller);
  served_free_server (&served);
  served_clean_up (&served);
}

/** A caller that shuts its sending side while it reads the end of its answer
 * loses that end. */
static void
test_shut_while_reading (void)
{
  served_t served;

  served_set_up (&served, IDLE_TIMEOUT_MS);
  caller_send (served.caller, get, strlen (get));
  served_run_for (&served, IDLE_TIMEOUT_MS / 2);
  caller_shut (served.caller);
  served_run_for (&served, IDLE_TIMEOUT_MS / 4);
  served_read_all (&served);
  check_large_answer (served.caller);
  served_free_server (&served);
  served_clean_up (&served);
}

/** Sends more than the server reads, as a caller that looks for an answer only
 * after its request. */
static void
send_without_reading (served_t *served, const char *text, size_t size_bytes)
{
  size_t sent_bytes = caller_send (served->caller, text, size_bytes);

  for (int turn = 0; turn < 50; turn++)
    {
      event_base_loop (served->base, EVLOOP_NONBLOCK);
      sent_bytes += caller_send (served->caller, text + sent_bytes,
                                 size_bytes - sent_bytes);
    }
  caller_shut (served->caller);
  served_read_all (served);
}

/** An error that is sent while the caller still writes its request is lost with
 * the reset of the connection. */
static void
test_error_reaches_sender (void)
{
  served_t served;
  char *body = g_strnfill (SERVED_BODY_BYTES, 'x');
  char *head = g_strdup_printf ("POST / HTTP/1.1\r\nHost: h\r\n"
                                "Content-Length: %u\r\n\r\n",
                                SERVED_BODY_BYTES);

  served_set_up (&served, IDLE_TIMEOUT_MS);
  caller_send (served.caller, head, strlen (head));
  send_without_reading (&served, body, SERVED_BODY_BYTES);
  g_assert_true (
      g_str_has_prefix (served.caller->answer->str, "HTTP/1.1 413 "));
  g_assert_true (served.caller->has_end);
  g_assert_false (served.caller->was_reset);
  served_free_server (&served);
  served_clean_up (&served);
  g_free (body);
  g_free (head);
}

/** The end of an answer with "Connection: close" is lost with the reset of the
 * connection, as bytes that the caller sent after its request are unread. */
static void
test_close_after_pipelined_bytes (void)
{
  static const char request[]
      = "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n";
  served_t served;
  char *more = g_strnfill (SERVED_BODY_BYTES, 'x');

  served_set_up (&served, IDLE_TIMEOUT_MS);
  caller_send (served.caller, request, strlen (request));
  caller_send (served.caller, more, SERVED_BODY_BYTES);
  served_run_for (&served, IDLE_TIMEOUT_MS);
  served_read_all (&served);
  check_large_answer (served.caller);
  served_free_server (&served);
  served_clean_up (&served);
  g_free (more);
}

/** A caller that neither reads, sends nor closes after its answer does not keep
 * its connection for good. */
static void
test_lingering_ends (void)
{
  static const char request[]
      = "GET /small HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n";
  served_t served;
  uint64_t end_ms = clock_mono_ms () + SERVED_WAIT_TIMEOUT_MS;

  served_set_up (&served, IDLE_TIMEOUT_MS);
  caller_send (served.caller, request, strlen (request));
  served_run_for (&served, IDLE_TIMEOUT_MS);
  while (caller_server_is_busy (served.server) && clock_mono_ms () < end_ms)
    event_base_loop (served.base, EVLOOP_ONCE | EVLOOP_NONBLOCK);
  g_assert_false (caller_server_is_busy (served.server));
  served_read_all (&served);
  g_assert_true (served.caller->has_end);
  served_free_server (&served);
  served_clean_up (&served);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  base_init ("t8064-caller-server");
  logging_init (LOGGING_ERROR);
  g_test_add_func ("/caller-server/idle-timeout", test_idle_timeout);
  g_test_add_func ("/caller-server/shut-while-reading",
                   test_shut_while_reading);
  g_test_add_func ("/caller-server/error-reaches-sender",
                   test_error_reaches_sender);
  g_test_add_func ("/caller-server/close-after-pipelined-bytes",
                   test_close_after_pipelined_bytes);
  g_test_add_func ("/caller-server/lingering-ends", test_lingering_ends);
  return g_test_run ();
}
