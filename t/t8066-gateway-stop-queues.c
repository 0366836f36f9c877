/*
 * Stops a gateway whose requests are pipelined, or streams that have begun, and
 * checks what late requests are told.
 */
#include <event2/event.h>
#include <string.h>

#include "lib-caller.h"
#include "lib-gateway.h"
#include "logging.h"

/** Longer than a prompt that leaves a stopping instance first. */
#define LONG_PROMPT                                                            \
  "GET /stream/ HTTP/1.1\r\nHost: h\r\nX-Id: r1\r\nX-Prompt: 90000\r\n\r\n"

/** Returns how often an answer of 200 has begun. */
static uint32_t
count_answers (const caller_t *caller)
{
  uint32_t count = 0;

  for (const char *at = caller->answer->str;
       (at = strstr (at, "HTTP/1.1 200 ")) != NULL; at++)
    count++;
  return count;
}

/** A stop throws away a request that was read whole, as it came right behind
 * another one. */
static void
test_pipelined (void)
{
  gateway_fixture_t *fixture = gateway_fixture_ready (ACT_ANSWER, ACT_ANSWER);
  caller_t *caller = caller_new (fixture->listen);
  static const char two[] = GET ("/safe/") GET ("/safe/");

  gateway_drain (fixture->gateway, clock_mono_ms () + GATEWAY_WAIT_TIMEOUT_MS);
  caller_send (caller, two, strlen (two));
  GATEWAY_WAIT (gateway_fixture_requests (fixture) > 0);
  gateway_fixture_stop (fixture, caller);
  g_assert_cmpuint (count_answers (caller), ==, 2);
  caller_free (caller);
  gateway_fixture_free (fixture);
}

/** Begins a stream whose upstream breaks off while the other one is paused: the
 * request waits to be resumed. */
static caller_t *
wait_to_resume (gateway_fixture_t *fixture, const char *request)
{
  caller_t *caller = caller_new (fixture->listen);

  gateway_fixture_earn_retries (fixture);
  fixture->upstreams[0].act = ACT_STREAM_CUT;
  fixture->upstreams[1].act = ACT_TEXT;
  fixture->upstreams[1].text
      = "HTTP/1.1 503 Busy\r\nX-Not-Run: 1\r\nX-Pause-Ms: 2000\r\n"
        "Content-Length: 0\r\n\r\n";
  caller_send (caller, request, strlen (request));
  GATEWAY_WAIT (zone_placement_queued (gateway_placement (fixture->gateway))
                == 1);
  GATEWAY_WAIT (caller_has_text (caller, "data: x"));
  fixture->upstreams[0].act = fixture->upstreams[1].act = ACT_STREAM;
  return caller;
}

static void
check_resumed (const char *request)
{
  gateway_fixture_t *fixture = gateway_fixture_ready (ACT_ANSWER, ACT_ANSWER);
  caller_t *caller = wait_to_resume (fixture, request);

  gateway_drain (fixture->gateway, clock_mono_ms () + GATEWAY_WAIT_TIMEOUT_MS);
  gateway_fixture_stop (fixture, caller);
  g_assert_true (g_str_has_suffix (caller->answer->str, "0\r\n\r\n"));
  caller_free (caller);
  gateway_fixture_free (fixture);
}

/** A stop ends a stream that has begun and waits to be resumed, though only
 * this instance can go on with it. */
static void
test_begun_stream (void)
{
  check_resumed (GET ("/stream/"));
}

/** The same for a long prompt, whose waiting requests leave a stopping instance
 * first: that may not cut a stream that has begun. */
static void
test_begun_long_stream (void)
{
  check_resumed (LONG_PROMPT);
}

/** A request that comes on an open connection when no time is left is neither
 * served nor dropped, but refused. */
static void
test_refuses_new (void)
{
  gateway_fixture_t *fixture
      = gateway_fixture_ready (ACT_STREAM_HELD, ACT_STREAM_HELD);
  caller_t *caller = caller_new (fixture->listen);

  caller_send (caller, GET ("/stream/"), strlen (GET ("/stream/")));
  GATEWAY_WAIT (caller_has_text (caller, "data: x"));
  gateway_drain (fixture->gateway, clock_mono_ms ());
  gateway_close (fixture->gateway);
  scripted_send_held (&fixture->upstreams[0]);
  GATEWAY_WAIT (caller_has_text (caller, "0\r\n\r\n"));
  caller_send (caller, POST ("/unsafe/"), strlen (POST ("/unsafe/")));
  g_usleep (5000);
  gateway_fixture_stop (fixture, caller);
  g_assert_nonnull (strstr (caller->answer->str, "HTTP/1.1 503 "));
  g_assert_cmpuint (gateway_fixture_requests (fixture), ==, 1);
  caller_free (caller);
  gateway_fixture_free (fixture);
}

/** A stream that the process has to end must not look complete. */
static void
test_end_of_begun_stream (void)
{
  gateway_fixture_t *fixture
      = gateway_fixture_ready (ACT_STREAM_HELD, ACT_STREAM_HELD);
  caller_t *caller = caller_new (fixture->listen);

  caller_send (caller, GET ("/stream/"), strlen (GET ("/stream/")));
  GATEWAY_WAIT (caller_has_text (caller, "data: x"));
  gateway_drain (fixture->gateway, clock_mono_ms () + GATEWAY_WAIT_TIMEOUT_MS);
  gateway_close (fixture->gateway);
  gateway_end_open (fixture->gateway);
  gateway_fixture_stop (fixture, caller);
  g_assert_false (g_str_has_suffix (caller->answer->str, "0\r\n\r\n"));
  g_assert_null (strstr (caller->answer->str + 1, "HTTP/1.1"));
  caller_free (caller);
  gateway_fixture_free (fixture);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  base_init ("t8066-gateway-stop-queues");
  logging_init (LOGGING_ERROR);
  g_test_add_func ("/gateway-stop-queues/pipelined", test_pipelined);
  g_test_add_func ("/gateway-stop-queues/begun-stream", test_begun_stream);
  g_test_add_func ("/gateway-stop-queues/begun-long-stream",
                   test_begun_long_stream);
  g_test_add_func ("/gateway-stop-queues/refuses-new", test_refuses_new);
  g_test_add_func ("/gateway-stop-queues/end-of-begun-stream",
                   test_end_of_begun_stream);
  return g_test_run ();
}
