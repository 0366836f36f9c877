/*
 * Upstreams in trouble send bytes that are no answer, or no progress, until
 * they are closed: in a head, a body, an event, between events, or one byte now
 * and then. The gateway closes them within a bound of memory and time, and
 * answers the caller from another upstream.
 */
#include <event2/event.h>
#include <glib.h>
#include <string.h>

#include "lib-gateway.h"
#include "logging.h"

#define FILLER_16 "xxxxxxxxxxxxxxxx"
#define FILLER_256                                                             \
  FILLER_16 FILLER_16 FILLER_16 FILLER_16 FILLER_16 FILLER_16 FILLER_16        \
      FILLER_16 FILLER_16 FILLER_16 FILLER_16 FILLER_16 FILLER_16 FILLER_16    \
          FILLER_16 FILLER_16
#define FILLER_1K FILLER_256 FILLER_256 FILLER_256 FILLER_256
#define CHUNK_1K  "400\r\n" FILLER_1K "\r\n"

#define SIGNED_HEAD "HTTP/1.1 200 OK\r\nX-Signed: 1\r\n"
#define STREAM_HEAD SIGNED_HEAD "Transfer-Encoding: chunked\r\n\r\n"
#define FIRST_EVENT "f\r\nid: 1\ndata: x\n\n\r\n"

/** Bytes that an upstream can send before it is closed: the largest answer that
 * the gateway buffers, and what is on its way. */
#define MAX_SENT_BYTES (12u * 1024 * 1024)
/** A stream that makes no progress is left after four times the target of 200
 * ms, but not before 1.5 s, plus a recheck. */
#define STALL_BOUND_MS 4000

/** An upstream that sends @a text and then @a filler without end. */
static gateway_fixture_t *
make_endless (const char *text, const char *filler, uint32_t interval_ms)
{
  gateway_fixture_t *fixture = gateway_fixture_ready (ACT_ENDLESS, ACT_ANSWER);

  fixture->upstreams[0].text = text;
  fixture->upstreams[0].filler = filler;
  fixture->upstreams[0].interval_ms = interval_ms;
  return fixture;
}

/** Checks that the upstream without an end was asked and closed in bounds. */
static void
expect_closed (gateway_fixture_t *fixture)
{
  GATEWAY_WAIT (fixture->upstreams[0].ended == 1);
  g_assert_cmpuint (fixture->upstreams[0].requests, ==, 1);
  g_assert_cmpuint (fixture->upstreams[0].filler_bytes, <, MAX_SENT_BYTES);
  gateway_fixture_free (fixture);
}

static void
expect_plain_answer (gateway_fixture_t *fixture)
{
  gateway_fixture_send (fixture, GET ("/safe/a"));
  GATEWAY_WAIT (gateway_fixture_has_text (fixture, "body"));
  g_assert_null (strstr (fixture->answer->str, "xxxx"));
  expect_closed (fixture);
}

static void
test_status_line (void)
{
  expect_plain_answer (make_endless ("HTTP/1.1 200 ", FILLER_1K, 0));
}

static void
test_field (void)
{
  expect_plain_answer (make_endless (SIGNED_HEAD "X-Long: ", FILLER_1K, 0));
}

static void
test_fields (void)
{
  expect_plain_answer (make_endless (SIGNED_HEAD, "X-A: b\r\n", 0));
}

static void
test_body_without_length (void)
{
  expect_plain_answer (make_endless (SIGNED_HEAD "\r\n", FILLER_1K, 0));
}

static void
test_chunked_body (void)
{
  expect_plain_answer (make_endless (STREAM_HEAD, CHUNK_1K, 0));
}

static void
test_chunk_size (void)
{
  expect_plain_answer (make_endless (STREAM_HEAD, "0000000000000000", 0));
}

static void
test_trailer (void)
{
  expect_plain_answer (
      make_endless (STREAM_HEAD "4\r\nbody\r\n0\r\n", "X-A: b\r\n", 0));
}

/** Bytes after a complete answer belong to nobody. */
static void
test_after_the_body (void)
{
  gateway_fixture_t *fixture = make_endless (
      SIGNED_HEAD "Content-Length: 4\r\n\r\nbody", FILLER_1K, 0);

  gateway_fixture_send (fixture, GET ("/safe/a"));
  GATEWAY_WAIT (gateway_fixture_has_text (fixture, "body"));
  expect_closed (fixture);
}

/** Checks that a stream goes on at the other upstream in time, after the event
 * that the first one sent. */
static void
expect_stream_goes_on (gateway_fixture_t *fixture)
{
  uint64_t begun_ms = clock_mono_ms ();

  fixture->upstreams[1].act = ACT_STREAM;
  gateway_fixture_send (fixture, GET ("/stream/a"));
  GATEWAY_WAIT (gateway_fixture_has_text (fixture, "id: 3"));
  g_assert_cmpuint (clock_mono_ms () - begun_ms, <, STALL_BOUND_MS);
  g_assert_nonnull (strstr (fixture->upstreams[1].last->str, "X-After: 1"));
  expect_closed (fixture);
}

static void
test_event (void)
{
  expect_stream_goes_on (make_endless (STREAM_HEAD FIRST_EVENT, CHUNK_1K, 0));
}

/** One byte now and then keeps no stream alive. */
static void
test_byte_now_and_then (void)
{
  expect_stream_goes_on (
      make_endless (STREAM_HEAD FIRST_EVENT, "1\r\nx\r\n", 100));
}

/** Comments and blank events are passed on, but are no progress either. */
static void
test_comments (void)
{
  expect_stream_goes_on (
      make_endless (STREAM_HEAD FIRST_EVENT, "4\r\n: \n\n\r\n", 100));
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  base_init ("t8062-gateway-endless");
  logging_init (LOGGING_ERROR);
  g_test_add_func ("/endless/status-line", test_status_line);
  g_test_add_func ("/endless/field", test_field);
  g_test_add_func ("/endless/fields", test_fields);
  g_test_add_func ("/endless/body", test_body_without_length);
  g_test_add_func ("/endless/chunked", test_chunked_body);
  g_test_add_func ("/endless/chunk-size", test_chunk_size);
  g_test_add_func ("/endless/trailer", test_trailer);
  g_test_add_func ("/endless/after-the-body", test_after_the_body);
  g_test_add_func ("/endless/event", test_event);
  g_test_add_func ("/endless/byte-now-and-then", test_byte_now_and_then);
  g_test_add_func ("/endless/comments", test_comments);
  return g_test_run ();
}
