/*
 * Callers that read slowly, and pauses of the gateway's process: for the time
 * in which the gateway does not read an answer, its upstream is not blamed.
 */
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <string.h>
#include <talloc.h>

#include "lib-caller.h"
#include "lib-gateway.h"
#include "logging.h"
#include "silence.h"

/** Size of an answer that is larger than all buffers of the kernel. */
#define STREAM_BYTES (12u * 1024 * 1024)
/** Each exceeds the longest silence between events that an upstream is allowed,
 * which is MAX_SILENCE_MS for the routes of the fixture. */
#define CALLER_PAUSE_MS  3000
#define SHORT_PAUSE_MS   2000
#define PROCESS_PAUSE_MS 2000
#define MAX_SILENCE_MS   1500
#define LAST_CHUNK       "0\r\n\r\n"

static void
wait_ms (gateway_fixture_t *fixture, uint32_t ms)
{
  uint64_t until_ms = clock_mono_ms () + ms;

  GATEWAY_WAIT (clock_mono_ms () >= until_ms);
}

/** Reads what is there; returns whether the answer ends with a text. */
static bool
read_until (caller_t *caller, const char *text)
{
  size_t size_bytes;

  do
    {
      size_bytes = caller->answer->len;
      caller_read (caller);
    }
  while (caller->answer->len > size_bytes);
  return g_str_has_suffix (caller->answer->str, text);
}

/** Requests a stream and reads nothing of it for a time. */
static caller_t *
start_slow_caller (gateway_fixture_t *fixture, uint32_t pause_ms)
{
  caller_t *caller = caller_new (fixture->listen);
  struct bufferevent *sender;

  caller_send (caller, GET ("/stream/"), strlen (GET ("/stream/")));
  GATEWAY_WAIT (fixture->upstreams[0].requests == 1);
  wait_ms (fixture, pause_ms);
  g_assert_cmpuint (gateway_fixture_requests (fixture), ==, 1);
  /* The gateway does not read on. */
  sender = fixture->upstreams[0].latest;
  g_assert_cmpuint (evbuffer_get_length (bufferevent_get_output (sender)), >,
                    0);
  return caller;
}

/** A slow caller whose request is sent to a second upstream, and costs sound
 * upstreams their trust: the pause in reading was taken for their silence. */
static void
test_slow_caller (void)
{
  gateway_fixture_t *fixture = gateway_fixture_ready (ACT_TEXT, ACT_TEXT);
  char *stream = gateway_fixture_stream_text (STREAM_BYTES);
  caller_t *caller;

  fixture->upstreams[0].text = fixture->upstreams[1].text = stream;
  caller = start_slow_caller (fixture, CALLER_PAUSE_MS);
  GATEWAY_WAIT (read_until (caller, LAST_CHUNK));
  g_assert_cmpuint (strlen (strstr (caller->answer->str, "\r\n\r\n")), ==,
                    strlen (strstr (stream, "\r\n\r\n")));
  g_assert_cmpuint (gateway_fixture_requests (fixture), ==, 1);
  g_assert_true (gateway_fixture_metrics_have (
      fixture, "lwm_retries_total{reason=\"stalled\"} 0\n"));
  /* An ejected upstream would not get the next request. */
  fixture->upstreams[0].act = fixture->upstreams[1].act = ACT_ANSWER;
  gateway_fixture_call (fixture, GET ("/safe/"), "body");
  g_assert_cmpuint (fixture->upstreams[0].requests, ==, 2);
  g_assert_cmpuint (fixture->upstreams[1].requests, ==, 0);
  caller_free (caller);
  g_free (stream);
  gateway_fixture_free (fixture);
}

/** An upstream that goes silent after a slow caller has read on must count as
 * stalled, as soon as with any other caller. */
static void
test_silent_after_slow_caller (void)
{
  gateway_fixture_t *fixture = gateway_fixture_ready (ACT_TEXT, ACT_STREAM);
  char *stream = gateway_fixture_stream_text (STREAM_BYTES);
  caller_t *caller;
  uint64_t begun_ms;

  stream[strlen (stream) - strlen (LAST_CHUNK)] = '\0';
  fixture->upstreams[0].text = stream;
  caller = start_slow_caller (fixture, SHORT_PAUSE_MS);
  GATEWAY_WAIT (read_until (caller, "x\n\n\r\n")
                && caller->answer->len >= strlen (stream));
  g_assert_cmpuint (gateway_fixture_requests (fixture), ==, 1);
  begun_ms = clock_mono_ms ();
  GATEWAY_WAIT (fixture->upstreams[1].requests == 1);
  g_assert_cmpuint (clock_mono_ms () - begun_ms, <, 2 * MAX_SILENCE_MS);
  GATEWAY_WAIT (read_until (caller, LAST_CHUNK));
  g_assert_cmpuint (gateway_fixture_requests (fixture), ==, 2);
  g_assert_true (gateway_fixture_metrics_have (
      fixture, "lwm_retries_total{reason=\"stalled\"} 1\n"));
  caller_free (caller);
  g_free (stream);
  gateway_fixture_free (fixture);
}

/** After a pause of the process, an upstream that was not read meanwhile was
 * given a third of its time; it gets all of it, and not more. */
static void
test_silent_after_process_pause (void)
{
  gateway_fixture_t *fixture
      = gateway_fixture_ready (ACT_STREAM_HELD, ACT_STREAM);
  uint64_t resumed_ms;

  gateway_fixture_send (fixture, GET ("/stream/"));
  GATEWAY_WAIT (gateway_fixture_has_text (fixture, "id: 1\n"));
  g_usleep (PROCESS_PAUSE_MS * 1000);
  resumed_ms = clock_mono_ms ();
  GATEWAY_WAIT (fixture->upstreams[1].requests == 1);
  g_assert_cmpuint (clock_mono_ms () - resumed_ms, >=, MAX_SILENCE_MS);
  g_assert_cmpuint (clock_mono_ms () - resumed_ms, <, 2 * MAX_SILENCE_MS);
  GATEWAY_WAIT (gateway_fixture_has_text (fixture, LAST_CHUNK));
  gateway_fixture_free (fixture);
}

/** A silence that grows while nothing is read, or that a pause in reading ends
 * for an upstream that was silent before it. */
static void
test_clock (void)
{
  pause_detector_t process = { 0 };
  silence_t silence = { 0 };

  silence_restart (&silence, 1000);
  silence_resume (&silence, 1400); /* it was not paused */
  g_assert_cmpuint (silence_ms (&silence, &process, 1500), ==, 500);
  silence_pause (&silence, 1500);
  silence_pause (&silence, 8000);
  g_assert_cmpuint (silence_ms (&silence, &process, 9000), ==, 500);
  silence_resume (&silence, 10000);
  g_assert_cmpuint (silence_ms (&silence, &process, 10300), ==, 800);
  silence_pause (&silence, 10300);
  silence_restart (&silence, 10400); /* received before the pause */
  silence_resume (&silence, 11000);
  g_assert_cmpuint (silence_ms (&silence, &process, 11100), ==, 100);
}

/** A silence that grows during a pause of the process. */
static void
test_clock_of_paused_process (void)
{
  pause_detector_t process = { 0 };
  silence_t silence = { 0 };

  silence_restart (&silence, 1000);
  pause_detector_update (&process, 100, 1000);
  pause_detector_update (&process, 100, 4000);
  g_assert_cmpuint (silence_ms (&silence, &process, 4000), ==, 0);
  g_assert_cmpuint (silence_ms (&silence, &process, 4200), ==, 200);
  silence_pause (&silence, 4200);
  pause_detector_update (&process, 100, 9000);
  g_assert_cmpuint (silence_ms (&silence, &process, 9000), ==, 0);
  silence_resume (&silence, 9100);
  g_assert_cmpuint (silence_ms (&silence, &process, 9100), ==, 100);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  base_init ("t8065-gateway-slow-caller");
  logging_init (LOGGING_ERROR);
  g_test_add_func ("/gateway-slow-caller/read-on", test_slow_caller);
  g_test_add_func ("/gateway-slow-caller/silent-after",
                   test_silent_after_slow_caller);
  g_test_add_func ("/gateway-slow-caller/silent-after-process-pause",
                   test_silent_after_process_pause);
  g_test_add_func ("/gateway-slow-caller/clock", test_clock);
  g_test_add_func ("/gateway-slow-caller/clock-of-paused-process",
                   test_clock_of_paused_process);
  return g_test_run ();
}
