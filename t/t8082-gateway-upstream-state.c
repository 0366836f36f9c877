/*
 * Upstreams that state in their answers that they leave, or that they want no
 * requests for a while: which requests still reach them.
 */
#include <event2/event.h>
#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "lib-gateway.h"
#include "logging.h"

#define PAUSE_MS 700

#define LEAVING_ANSWER                                                         \
  "HTTP/1.1 200 OK\r\nX-Signed: 1\r\nX-Leaving: 1\r\nContent-Length: "         \
  "4\r\n\r\nbody"
#define LEAVING_STREAM                                                         \
  "HTTP/1.1 200 OK\r\nX-Signed: 1\r\nX-Leaving: 1\r\nConnection: "             \
  "close\r\n\r\n"                                                              \
  "id: 1\ndata: a\n\n"
#define PAUSE_ANSWER                                                           \
  "HTTP/1.1 503 Busy\r\nX-Not-Run: 1\r\nX-Pause-Ms: 700\r\nContent-Length: "   \
  "0\r\n\r\n"
#define LONG_PAUSE_ANSWER                                                      \
  "HTTP/1.1 503 Busy\r\nX-Not-Run: 1\r\nX-Pause-Ms: 60000\r\nContent-Length: " \
  "0\r\n\r\n"

/** More requests than both upstreams get at a time. */
#define MANY_CALLERS 12

/** An upstream that takes one request a second. */
#define LIMIT_ANSWER                                                           \
  "HTTP/1.1 200 OK\r\nX-Signed: 1\r\nX-Limit: 1\r\nContent-Length: 4\r\n\r\n"  \
  "body"
#define LIMIT_WINDOW_S 4
/** Requests that may reach it in the window: one and a half times the limit,
 * and five. */
#define LIMIT_ALLOWED (LIMIT_WINDOW_S * 3 / 2 + 5)

static void
answer_with (gateway_fixture_t *fixture,
             int upstream,
             act_t act,
             const char *text)
{
  fixture->upstreams[upstream].act = act;
  fixture->upstreams[upstream].text = text;
}

static void
wait_ms (gateway_fixture_t *fixture, uint32_t ms)
{
  uint64_t until_ms = clock_mono_ms () + ms;

  GATEWAY_WAIT (clock_mono_ms () >= until_ms);
}

/** The directory lists the first upstream as ready, again. */
static void
announce_first (gateway_fixture_t *fixture, uint64_t born_ms, uint64_t sequence)
{
  directory_statement_t said = { .id = "u0",
                                 .address = fixture->upstreams[0].address,
                                 .zone = "z",
                                 .service = "s",
                                 .born_ms = born_ms,
                                 .sequence = sequence,
                                 .slots = 4 };

  directory_put (fixture->directory, &said, clock_mono_ms ());
  gateway_set_directory (fixture->gateway, fixture->directory);
}

static void
expect_no_more_requests (gateway_fixture_t *fixture)
{
  uint32_t before = fixture->upstreams[0].requests;

  answer_with (fixture, 0, ACT_ANSWER, NULL);
  for (int i = 0; i < 4; i++)
    gateway_fixture_call (fixture, GET ("/safe/"), "body");
  g_assert_cmpuint (fixture->upstreams[0].requests, ==, before);
}

/* Guards against: requests to an upstream that has said in an answer that it
 * leaves, while a late or unreachable directory still lists it (DRAIN). */
static void
test_leaving (void)
{
  gateway_fixture_t *fixture = gateway_fixture_ready (ACT_TEXT, ACT_ANSWER);

  answer_with (fixture, 0, ACT_TEXT, LEAVING_ANSWER);
  gateway_fixture_call (fixture, GET ("/safe/"), "body");
  g_assert_cmpuint (fixture->upstreams[0].requests, ==, 1);
  expect_no_more_requests (fixture);
  announce_first (fixture, 0, 9);
  expect_no_more_requests (fixture);
  /* Another incarnation at the same address is a new upstream. */
  announce_first (fixture, 5, 1);
  gateway_fixture_call (fixture, GET ("/safe/"), "body");
  g_assert_cmpuint (fixture->upstreams[0].requests, ==, 2);
  gateway_fixture_free (fixture);
}

/** The stream that says so ends normally, with the end of its connection. */
static void
test_leaving_stream (void)
{
  gateway_fixture_t *fixture = gateway_fixture_ready (ACT_TEXT_CUT, ACT_STREAM);

  answer_with (fixture, 0, ACT_TEXT_CUT, LEAVING_STREAM);
  gateway_fixture_call (fixture, POST ("/stream/"), "data: a");
  g_assert_cmpuint (fixture->upstreams[1].requests, ==, 0);
  answer_with (fixture, 1, ACT_ANSWER, NULL);
  expect_no_more_requests (fixture);
  gateway_fixture_free (fixture);
}

/** When all upstreams leave, the caller learns at once that there is none. */
static void
test_all_leave (void)
{
  gateway_fixture_t *fixture = gateway_fixture_ready (ACT_TEXT, ACT_TEXT);

  answer_with (fixture, 0, ACT_TEXT, LEAVING_ANSWER);
  answer_with (fixture, 1, ACT_TEXT, LEAVING_ANSWER);
  gateway_fixture_call (fixture, GET ("/safe/"), "body");
  gateway_fixture_call (fixture, GET ("/safe/"), "body");
  gateway_fixture_call (fixture, GET ("/safe/"), "HTTP/1.1 503");
  g_assert_cmpuint (gateway_fixture_requests (fixture), ==, 2);
  gateway_fixture_free (fixture);
}

/* Guards against: more requests to an upstream than the limit that it names in
 * its answers (LIMIT), here while another one can serve them all. */
static void
test_limit (void)
{
  gateway_fixture_t *fixture = gateway_fixture_ready (ACT_TEXT, ACT_ANSWER);
  uint64_t until_ms = clock_mono_ms () + LIMIT_WINDOW_S * 1000;

  answer_with (fixture, 0, ACT_TEXT, LIMIT_ANSWER);
  while (clock_mono_ms () < until_ms)
    {
      gateway_fixture_call (fixture, GET ("/safe/"), "body");
      wait_ms (fixture, 20);
    }
  g_assert_cmpuint (fixture->upstreams[1].requests, >, LIMIT_ALLOWED);
  g_assert_cmpuint (fixture->upstreams[0].requests, <=, LIMIT_ALLOWED);
  gateway_fixture_free (fixture);
}

/* Guards against: more requests to an upstream that has asked for a pause
 * (BUDGET). The refused request goes elsewhere, and the upstream is not
 * ejected.
 */
static void
test_pause (void)
{
  gateway_fixture_t *fixture = gateway_fixture_ready (ACT_TEXT, ACT_ANSWER);
  uint64_t paused_ms;

  answer_with (fixture, 0, ACT_TEXT, PAUSE_ANSWER);
  gateway_fixture_call (fixture, GET ("/safe/"), "body");
  paused_ms = clock_mono_ms ();
  g_assert_cmpuint (fixture->upstreams[0].requests, ==, 1);
  wait_ms (fixture, PAUSE_MS / 2);
  expect_no_more_requests (fixture);
  g_assert_cmpuint (clock_mono_ms (), <, paused_ms + PAUSE_MS);
  /* It returns a little later than it asked for, not with all others. */
  wait_ms (fixture, PAUSE_MS * 3 / 2);
  gateway_fixture_call (fixture, GET ("/safe/"), "body");
  g_assert_cmpuint (fixture->upstreams[0].requests, ==, 2);
  gateway_fixture_free (fixture);
}

/** A second pause follows the first one, and a shorter one does not end it. */
static void
test_two_pauses (void)
{
  gateway_fixture_t *fixture = gateway_fixture_ready (ACT_TEXT, ACT_ANSWER);

  gateway_fixture_earn_retries (fixture);
  answer_with (fixture, 0, ACT_TEXT, PAUSE_ANSWER);
  gateway_fixture_call (fixture, GET ("/safe/"), "body");
  wait_ms (fixture, PAUSE_MS * 3 / 2);
  gateway_fixture_call (fixture, GET ("/safe/"), "body");
  g_assert_cmpuint (fixture->upstreams[0].requests, ==, 2);
  expect_no_more_requests (fixture);
  gateway_fixture_free (fixture);
}

/** All upstreams pause: a request that can wait is answered after the pause,
 * one that cannot is refused at once with a time that is no shorter. */
static void
test_all_pause (void)
{
  gateway_fixture_t *fixture = gateway_fixture_ready (ACT_TEXT, ACT_TEXT);
  const char *after;

  gateway_fixture_earn_retries (fixture);
  answer_with (fixture, 0, ACT_TEXT, PAUSE_ANSWER);
  answer_with (fixture, 1, ACT_TEXT, PAUSE_ANSWER);
  gateway_fixture_send (fixture, GET ("/safe/"));
  GATEWAY_WAIT (gateway_fixture_requests (fixture) == 2);
  answer_with (fixture, 0, ACT_ANSWER, NULL);
  answer_with (fixture, 1, ACT_ANSWER, NULL);
  GATEWAY_WAIT (gateway_fixture_has_text (fixture, "body"));
  g_assert_cmpuint (gateway_fixture_requests (fixture), ==, 3);
  GATEWAY_WAIT (gateway_open_requests (fixture->gateway) == 0);
  wait_ms (fixture, PAUSE_MS);
  answer_with (fixture, 0, ACT_TEXT, LONG_PAUSE_ANSWER);
  answer_with (fixture, 1, ACT_TEXT, LONG_PAUSE_ANSWER);
  gateway_fixture_call (fixture, GET ("/safe/"), "Retry-After: ");
  g_assert_true (gateway_fixture_has_text (fixture, "HTTP/1.1 503"));
  after = strstr (fixture->answer->str, "Retry-After: ");
  g_assert_cmpint (atoi (after + strlen ("Retry-After: ")), >=, 58);
  gateway_fixture_free (fixture);
}

/* Guards against a stream that waits for an upstream that takes it only after
 * its caller has left: it is refused at once, and can come back. */
static void
test_pause_outlasts_caller (void)
{
  gateway_fixture_t *fixture = gateway_fixture_ready (ACT_TEXT, ACT_TEXT);

  gateway_fixture_earn_retries (fixture);
  answer_with (fixture, 0, ACT_TEXT, PAUSE_ANSWER);
  answer_with (fixture, 1, ACT_TEXT, PAUSE_ANSWER);
  gateway_fixture_call (fixture, GET ("/brief/"), "HTTP/1.1 503");
  g_assert_cmpuint (gateway_fixture_requests (fixture), ==, 2);
  gateway_fixture_free (fixture);
}

/* Guards against a stream that goes on waiting for a free upstream when its
 * caller has left. */
static void
test_wait_ends_with_patience (void)
{
  gateway_fixture_t *fixture
      = gateway_fixture_ready (ACT_NO_ANSWER, ACT_NO_ANSWER);
  zone_placement_t *placement = gateway_placement (fixture->gateway);
  caller_t *callers[MANY_CALLERS];
  uint64_t begun_ms;

  for (int i = 0; i < MANY_CALLERS; i++)
    {
      callers[i] = caller_new (fixture->listen);
      caller_send (callers[i], GET ("/unsafe/"), strlen (GET ("/unsafe/")));
    }
  GATEWAY_WAIT (gateway_open_requests (fixture->gateway) == MANY_CALLERS);
  GATEWAY_WAIT (zone_placement_queued (placement) > 0);
  begun_ms = clock_mono_ms ();
  gateway_fixture_send (fixture, GET ("/brief/"));
  GATEWAY_WAIT (gateway_fixture_has_text (fixture, "HTTP/1.1 503"));
  g_assert_cmpuint (clock_mono_ms () - begun_ms, >=, GATEWAY_PATIENCE_MS - 10);
  g_assert_cmpuint (gateway_open_requests (fixture->gateway), ==, MANY_CALLERS);
  for (int i = 0; i < MANY_CALLERS; i++)
    caller_free (callers[i]);
  gateway_fixture_free (fixture);
}

/* Guards against: a long prompt that waits at a process until it ends, and is
 * placed just before, so that its caller gets no answer (LOST) and the memory
 * that it reserves is not released (LEAK). */
static void
test_long_prompt_leaves_stopping_instance (void)
{
  gateway_fixture_t *fixture = gateway_fixture_ready (ACT_TEXT, ACT_TEXT);
  zone_placement_t *placement = gateway_placement (fixture->gateway);

  gateway_fixture_earn_retries (fixture);
  answer_with (fixture, 0, ACT_TEXT, PAUSE_ANSWER);
  answer_with (fixture, 1, ACT_TEXT, PAUSE_ANSWER);
  gateway_fixture_send (fixture, "GET /safe/ HTTP/1.1\r\nHost: h\r\n"
                                 "X-Id: r1\r\nX-Prompt: 100000\r\n\r\n");
  GATEWAY_WAIT (gateway_fixture_requests (fixture) == 2);
  GATEWAY_WAIT (zone_placement_queued (placement) == 1);
  gateway_drain (fixture->gateway, clock_mono_ms ());
  GATEWAY_WAIT (gateway_fixture_has_text (fixture, "HTTP/1.1 503"));
  g_assert_true (gateway_fixture_has_text (fixture, "Retry-After: "));
  g_assert_cmpuint (zone_placement_queued (placement), ==, 0);
  g_assert_cmpuint (gateway_open_requests (fixture->gateway), ==, 0);
  g_assert_cmpuint (gateway_fixture_requests (fixture), ==, 2);
  gateway_fixture_free (fixture);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  base_init ("t8082-gateway-upstream-state");
  logging_init (LOGGING_ERROR);
  g_test_add_func ("/upstream-state/leaving", test_leaving);
  g_test_add_func ("/upstream-state/leaving-stream", test_leaving_stream);
  g_test_add_func ("/upstream-state/all-leave", test_all_leave);
  g_test_add_func ("/upstream-state/limit", test_limit);
  g_test_add_func ("/upstream-state/pause", test_pause);
  g_test_add_func ("/upstream-state/two-pauses", test_two_pauses);
  g_test_add_func ("/upstream-state/all-pause", test_all_pause);
  g_test_add_func ("/upstream-state/pause-outlasts-caller",
                   test_pause_outlasts_caller);
  g_test_add_func ("/upstream-state/wait-ends-with-patience",
                   test_wait_ends_with_patience);
  g_test_add_func ("/upstream-state/long-prompt-leaves-stopping-instance",
                   test_long_prompt_leaves_stopping_instance);
  return g_test_run ();
}
