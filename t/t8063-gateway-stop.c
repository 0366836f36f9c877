/*
 * Stops a gateway while callers still read answers, send requests or wait: what
 * was accepted is delivered or refused.
 */
#include <event2/event.h>
#include <string.h>

#include "lib-caller.h"
#include "lib-gateway.h"
#include "logging.h"

/** Size of an answer that is larger than all buffers of the kernel. */
#define LARGE_STREAM_BYTES (12u * 1024 * 1024)
#define LARGE_BODY_BYTES   (7u * 1024 * 1024)
/** As in the fields of the upstreams' answers. */
#define PAUSE_MS 4000
/** Read by a slow caller in one turn of the loop. */
#define READ_BYTES         (64u * 1024)
#define SMALL_WINDOW_BYTES 8192

static bool
ends_with (const caller_t *caller, const char *text)
{
  return g_str_has_suffix (caller->answer->str, text);
}

/** An answer of one piece, larger than all buffers. */
static char *
large_answer (void)
{
  GString *text = g_string_new (NULL);
  char *body = g_strnfill (LARGE_BODY_BYTES, 'x');

  g_string_printf (text,
                   "HTTP/1.1 200 OK\r\nX-Signed: 1\r\nContent-Length: %u\r\n"
                   "\r\n%s",
                   LARGE_BODY_BYTES, body);
  g_free (body);
  return g_string_free (text, FALSE);
}

/** Starts a stop that leaves time for any deadline. */
static void
drain (gateway_fixture_t *fixture)
{
  gateway_drain (fixture->gateway, clock_mono_ms () + GATEWAY_WAIT_TIMEOUT_MS);
}

/** A stop that ends the process while an answer is in its own buffer: an answer
 * that became complete in the turn of the loop in which nothing was open. */
static void
test_answer_of_last_turn (void)
{
  gateway_fixture_t *fixture
      = gateway_fixture_ready (ACT_STREAM_HELD, ACT_FAIL);
  caller_t *caller = caller_new (fixture->listen);

  caller_send (caller, GET ("/stream/"), strlen (GET ("/stream/")));
  GATEWAY_WAIT (fixture->upstreams[0].held != NULL);
  GATEWAY_WAIT (caller_has_text (caller, "data: x"));
  drain (fixture);
  scripted_send_held (&fixture->upstreams[0]);
  while (gateway_open_requests (fixture->gateway) > 0)
    event_base_loop (fixture->base, EVLOOP_ONCE);
  gateway_fixture_stop (fixture, caller);
  g_assert_true (ends_with (caller, "0\r\n\r\n"));
  caller_free (caller);
  gateway_fixture_free (fixture);
}

static void
check_slow_reader (const char *text, const char *request, bool drains_first)
{
  gateway_fixture_t *fixture = gateway_fixture_ready (ACT_TEXT, ACT_TEXT);
  caller_t *caller = caller_new (fixture->listen);
  const char *body = strstr (text, "\r\n\r\n");
  const char *received;

  fixture->upstreams[0].text = fixture->upstreams[1].text = text;
  if (drains_first)
    drain (fixture);
  caller_send (caller, request, strlen (request));
  GATEWAY_WAIT (caller_has_text (caller, "\r\n\r\n"));
  drain (fixture);
  gateway_fixture_stop (fixture, caller);
  received = strstr (caller->answer->str, "\r\n\r\n");
  g_assert_cmpuint (strlen (received), ==, strlen (body));
  g_assert_false (caller->was_reset);
  caller_free (caller);
  gateway_fixture_free (fixture);
}

/** A stop that ends the process, or takes the connection for idle, while a
 * caller still reads an answer that is complete in the process. */
static void
test_slow_reader (void)
{
  char *answer = large_answer ();
  char *stream = gateway_fixture_stream_text (LARGE_STREAM_BYTES);

  check_slow_reader (answer, GET ("/safe/"), true);
  check_slow_reader (answer, GET ("/safe/"), false);
  check_slow_reader (stream, GET ("/stream/"), true);
  check_slow_reader (stream, GET ("/stream/"), false);
  g_free (answer);
  g_free (stream);
}

/** A stop that drops a request which waits in a queue, without an answer: here
 * for the end of a pause of all upstreams. */
static void
test_waiting_request (void)
{
  gateway_fixture_t *fixture = gateway_fixture_ready (ACT_TEXT, ACT_TEXT);
  caller_t *caller = caller_new (fixture->listen);
  uint64_t begun_ms;

  gateway_fixture_earn_retries (fixture);
  fixture->upstreams[0].act = fixture->upstreams[1].act = ACT_TEXT;
  fixture->upstreams[0].text = fixture->upstreams[1].text
      = "HTTP/1.1 503 Busy\r\nX-Not-Run: 1\r\nX-Pause-Ms: 4000\r\n"
        "Content-Length: 0\r\n\r\n";
  caller_send (caller, GET ("/safe/"), strlen (GET ("/safe/")));
  GATEWAY_WAIT (zone_placement_queued (gateway_placement (fixture->gateway))
                == 1);
  begun_ms = clock_mono_ms ();
  drain (fixture);
  gateway_close (fixture->gateway);
  gateway_refuse_waiting (fixture->gateway);
  gateway_fixture_stop (fixture, caller);
  g_assert_cmpuint (clock_mono_ms () - begun_ms, <, PAUSE_MS / 2);
  g_assert_true (g_str_has_prefix (caller->answer->str, "HTTP/1.1 503 "));
  g_assert_nonnull (strstr (caller->answer->str, "\"not_run\":true"));
  caller_free (caller);
  gateway_fixture_free (fixture);
}

/** The process has to end while an upstream works on a request: its caller gets
 * no answer. The answer may not say that the request has not run. */
static void
test_open_at_the_end (void)
{
  gateway_fixture_t *fixture
      = gateway_fixture_ready (ACT_NO_ANSWER, ACT_NO_ANSWER);
  caller_t *caller = caller_new (fixture->listen);

  caller_send (caller, POST ("/unsafe/"), strlen (POST ("/unsafe/")));
  GATEWAY_WAIT (gateway_fixture_requests (fixture) == 1);
  drain (fixture);
  gateway_close (fixture->gateway);
  event_base_loop (fixture->base, EVLOOP_NONBLOCK);
  g_assert_false (gateway_has_ended (fixture->gateway));
  gateway_end_open (fixture->gateway);
  gateway_fixture_stop (fixture, caller);
  g_assert_true (g_str_has_prefix (caller->answer->str, "HTTP/1.1 502 "));
  g_assert_nonnull (strstr (caller->answer->str, "\"not_run\":\"unknown\""));
  caller_free (caller);
  gateway_fixture_free (fixture);
}

static const char chunked_head[]
    = "POST /safe/ HTTP/1.1\r\nHost: h\r\nX-Id: r1\r\n"
      "Transfer-Encoding: chunked\r\n\r\n4\r\nhe";

/** Stops the gateway while the body of a request is still coming. */
static caller_t *
stop_while_receiving (gateway_fixture_t *fixture)
{
  caller_t *caller = caller_new (fixture->listen);

  caller_send (caller, chunked_head, strlen (chunked_head));
  /* Another caller's answer shows that the loop has read the first one's. */
  gateway_fixture_call (fixture, GET ("/safe/"), "body");
  drain (fixture);
  gateway_close (fixture->gateway);
  event_base_loop (fixture->base, EVLOOP_NONBLOCK);
  return caller;
}

/** A stop that cuts a request whose body is still coming, though there is time
 * to serve it. */
static void
test_body_still_coming (void)
{
  gateway_fixture_t *fixture = gateway_fixture_ready (ACT_ANSWER, ACT_ANSWER);
  caller_t *caller = stop_while_receiving (fixture);

  g_assert_false (gateway_has_ended (fixture->gateway));
  caller_send (caller, "ll\r\n0\r\n\r\n", strlen ("ll\r\n0\r\n\r\n"));
  gateway_fixture_stop (fixture, caller);
  g_assert_true (g_str_has_prefix (caller->answer->str, "HTTP/1.1 200 "));
  g_assert_true (ends_with (caller, "body"));
  caller_free (caller);
  gateway_fixture_free (fixture);
}

/** A stop that cuts a request whose body is still coming, without an answer,
 * when no time is left to serve it. */
static void
test_body_too_late (void)
{
  gateway_fixture_t *fixture = gateway_fixture_ready (ACT_ANSWER, ACT_ANSWER);
  caller_t *caller = stop_while_receiving (fixture);

  gateway_refuse_waiting (fixture->gateway);
  gateway_fixture_stop (fixture, caller);
  g_assert_true (g_str_has_prefix (caller->answer->str, "HTTP/1.1 503 "));
  g_assert_true (caller->has_end);
  caller_free (caller);
  gateway_fixture_free (fixture);
}

/** Sends a request on an open connection late in a stop.
 * @param left_ms until the end of the gateway
 * @param is_turn_late whether it is read in the turn of the loop in which the
 * gateway should have closed, and before that */
static caller_t *
send_late_request (gateway_fixture_t *fixture,
                   uint32_t left_ms,
                   bool is_turn_late)
{
  caller_t *caller = caller_new (fixture->listen);

  caller_send (caller, GET ("/safe/"), strlen (GET ("/safe/")));
  GATEWAY_WAIT (caller_has_text (caller, "body"));
  g_string_truncate (caller->answer, 0);
  gateway_drain (fixture->gateway, clock_mono_ms () + left_ms);
  gateway_close_at (fixture->gateway, clock_mono_ms ());
  caller_send (caller, GET ("/safe/"), strlen (GET ("/safe/")));
  if (is_turn_late)
    GATEWAY_WAIT (caller_has_text (caller, "HTTP/1.1 "));
  else
    gateway_close (fixture->gateway);
  gateway_fixture_stop (fixture, caller);
  return caller;
}

static void
expect_late_is_refused (bool is_turn_late)
{
  gateway_fixture_t *fixture = gateway_fixture_ready (ACT_ANSWER, ACT_ANSWER);
  caller_t *caller = send_late_request (fixture, 4000, is_turn_late);

  g_assert_true (g_str_has_prefix (caller->answer->str, "HTTP/1.1 503 "));
  g_assert_nonnull (strstr (caller->answer->str, "\"not_run\":true"));
  g_assert_nonnull (strstr (caller->answer->str, "Connection: close"));
  g_assert_cmpuint (gateway_fixture_requests (fixture), ==, 1);
  caller_free (caller);
  gateway_fixture_free (fixture);
}

/** A request that comes late in a stop, on an open connection, is passed on and
 * cut when the process ends. It may take as long as its deadline. */
static void
test_late_request (void)
{
  expect_late_is_refused (false);
}

/** The same when a turn of the loop comes late, as on a busy machine, and the
 * request is read in it before the gateway is closed. */
static void
test_late_turn (void)
{
  expect_late_is_refused (true);
}

/** A request that comes late in a stop but has the time it needs is served. */
static void
test_late_but_in_time (void)
{
  gateway_fixture_t *fixture = gateway_fixture_ready (ACT_ANSWER, ACT_ANSWER);
  caller_t *caller = send_late_request (fixture, 9000, false);

  g_assert_true (g_str_has_prefix (caller->answer->str, "HTTP/1.1 200 "));
  g_assert_true (ends_with (caller, "body"));
  caller_free (caller);
  gateway_fixture_free (fixture);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  base_init ("t8063-gateway-stop");
  logging_init (LOGGING_ERROR);
  g_test_add_func ("/gateway-stop/answer-of-last-turn",
                   test_answer_of_last_turn);
  g_test_add_func ("/gateway-stop/slow-reader", test_slow_reader);
  g_test_add_func ("/gateway-stop/waiting-request", test_waiting_request);
  g_test_add_func ("/gateway-stop/open-at-the-end", test_open_at_the_end);
  g_test_add_func ("/gateway-stop/body-still-coming", test_body_still_coming);
  g_test_add_func ("/gateway-stop/body-too-late", test_body_too_late);
  g_test_add_func ("/gateway-stop/late-request", test_late_request);
  g_test_add_func ("/gateway-stop/late-turn", test_late_turn);
  g_test_add_func ("/gateway-stop/late-but-in-time", test_late_but_in_time);
  return g_test_run ();
}
