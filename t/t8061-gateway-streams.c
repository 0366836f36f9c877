/*
 * Runs the gateway between callers and scripted upstreams on one event loop:
 * which streams are passed on, resumed at another upstream, or aborted.
 */
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#include "lib-gateway.h"
#include "logging.h"

static void
test_stream (void)
{
  gateway_fixture_t *fixture = gateway_fixture_ready (ACT_STREAM, ACT_STREAM);

  gateway_fixture_send (fixture, POST ("/stream/"));
  GATEWAY_WAIT (gateway_fixture_has_text (fixture, "0\r\n\r\n"));
  g_assert_true (gateway_fixture_has_text (fixture, "id: 1\ndata: x\n\n"));
  g_assert_true (gateway_fixture_has_text (fixture, "id: 3\ndata: x\n\n"));
  g_assert_true (gateway_fixture_metrics_have (
      fixture, "lwm_gateway_first_event_seconds_count"
               "{kind=\"short\"} 1\n"));
  g_assert_true (
      gateway_fixture_metrics_have (fixture, "lwm_gateway_answer_seconds_count"
                                             "{kind=\"call\"} 0\n"));
  gateway_fixture_free (fixture);
}

static uint32_t
count (const char *text, const char *part)
{
  uint32_t found = 0;

  for (text = strstr (text, part); text != NULL; text = strstr (text + 1, part))
    found++;
  return found;
}

/** A broken stream is resumed elsewhere after its last complete event. */
static void
test_stream_resumed (void)
{
  gateway_fixture_t *fixture
      = gateway_fixture_ready (ACT_STREAM_CUT, ACT_STREAM);

  gateway_fixture_send (fixture, POST ("/stream/"));
  GATEWAY_WAIT (gateway_fixture_has_text (fixture, "0\r\n\r\n"));
  g_assert_nonnull (strstr (fixture->upstreams[1].last->str, "X-After: 1\r\n"));
  g_assert_cmpuint (count (fixture->answer->str, "id: 1\ndata: x\n\n"), ==, 1);
  g_assert_cmpuint (count (fixture->answer->str, "id: 2\ndata: x\n\n"), ==, 1);
  g_assert_cmpuint (count (fixture->answer->str, "id: 3\ndata: x\n\n"), ==, 1);
  g_assert_true (strstr (fixture->answer->str, "id: 1\n")
                 < strstr (fixture->answer->str, "id: 2\n"));
  gateway_fixture_free (fixture);
}

/** On a missing event the stream is resumed elsewhere from before the gap. */
static void
test_stream_gap (void)
{
  gateway_fixture_t *fixture
      = gateway_fixture_ready (ACT_STREAM_GAP, ACT_STREAM);

  gateway_fixture_send (fixture, POST ("/stream/"));
  GATEWAY_WAIT (gateway_fixture_has_text (fixture, "0\r\n\r\n"));
  g_assert_cmpuint (count (fixture->answer->str, "id: 1\n"), ==, 1);
  g_assert_cmpuint (count (fixture->answer->str, "id: 2\n"), ==, 1);
  g_assert_cmpuint (count (fixture->answer->str, "id: 3\n"), ==, 1);
  gateway_fixture_free (fixture);
}

/** A broken stream that may not be resumed must not look complete. */
static void
test_stream_cut (void)
{
  gateway_fixture_t *fixture
      = gateway_fixture_ready (ACT_STREAM_CUT, ACT_STREAM);

  gateway_fixture_send (fixture, POST ("/once/"));
  GATEWAY_WAIT (fixture->caller_closed);
  g_assert_false (gateway_fixture_has_text (fixture, "0\r\n\r\n"));
  g_assert_false (gateway_fixture_has_text (fixture, "id: 2\n"));
  g_assert_cmpuint (gateway_fixture_requests (fixture), ==, 1);
  gateway_fixture_free (fixture);
}

/** A silent upstream does not abort a request that may run only once. */
static void
test_idle_upstream_waits (void)
{
  static const char *const asks[] = { POST ("/unsafe/"), POST ("/once/") };

  for (size_t i = 0; i < G_N_ELEMENTS (asks); i++)
    {
      gateway_fixture_t *fixture
          = gateway_fixture_ready (ACT_NO_ANSWER, ACT_ANSWER);
      uint64_t begun_ms = clock_mono_ms ();

      gateway_fixture_send (fixture, asks[i]);
      GATEWAY_WAIT (fixture->upstreams[0].requests == 1);
      GATEWAY_WAIT (clock_mono_ms () > begun_ms + 1500);
      g_assert_cmpuint (gateway_fixture_requests (fixture), ==, 1);
      g_assert_cmpuint (fixture->answer->len, ==, 0);
      g_assert_cmpuint (fixture->upstreams[0].closed, ==, 0);
      gateway_fixture_free (fixture);
    }
}

/** Exceeds the longest gap between events that an upstream is allowed. */
#define PROCESS_PAUSE_MS 2000

/* The process is paused, as on a frozen machine, while its upstream goes on
 * sending: the backlog is read before the upstream counts as stalled. */
static void
test_own_process_pause (void)
{
  gateway_fixture_t *fixture
      = gateway_fixture_ready (ACT_STREAM_HELD, ACT_STREAM);

  gateway_fixture_send (fixture, POST ("/stream/"));
  GATEWAY_WAIT (gateway_fixture_has_text (fixture, "id: 1\n"));
  scripted_send_held (&fixture->upstreams[0]);
  g_usleep (PROCESS_PAUSE_MS * 1000);
  GATEWAY_WAIT (gateway_fixture_has_text (fixture, "0\r\n\r\n"));
  g_assert_cmpuint (gateway_fixture_requests (fixture), ==, 1);
  g_assert_cmpuint (count (fixture->answer->str, "id: 2\n"), ==, 1);
  gateway_fixture_free (fixture);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  base_init ("t8061-gateway-streams");
  logging_init (LOGGING_ERROR);
  g_test_add_func ("/gateway/stream", test_stream);
  g_test_add_func ("/gateway/stream-resumed", test_stream_resumed);
  g_test_add_func ("/gateway/stream-gap", test_stream_gap);
  g_test_add_func ("/gateway/stream-cut", test_stream_cut);
  g_test_add_func ("/gateway/silence-waits", test_idle_upstream_waits);
  g_test_add_func ("/gateway/own-standstill", test_own_process_pause);
  return g_test_run ();
}
