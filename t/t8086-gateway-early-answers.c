/*
 * Upstreams that answer a request while its body is still being sent to them.
 * An answer without a length ends with its connection: it is whole only if the
 * connection ends in order, not if it breaks.
 */
#include <event2/event.h>
#include <glib.h>
#include <signal.h>
#include <string.h>

#include "lib-early-answer.h"
#include "lib-gateway.h"
#include "logging.h"

/** More than the buffers of a connection take while nothing is read. */
#define UPLOAD_BYTES (3u * 1024 * 1024 + 512 * 1024)
/** Part of a request that the caller sends before it pauses. */
#define FIRST_PART_BYTES (64u * 1024)
/** A body that is written whole before the answer comes. */
#define SMALL_BODY_BYTES 5u

#define SIGNED_HEAD "HTTP/1.1 200 OK\r\nX-Signed: 1\r\n"
#define PART        SIGNED_HEAD "\r\npart"
#define EVENT       "id: 1\ndata: part\n\n"

/** A gateway between a caller and one upstream that answers early; the other
 * one is scripted. */
typedef struct
{
  gateway_fixture_t *gateway;
  early_answer_t upstream;
  char *request;
} early_fixture_t;

static char *
make_upload (const char *path, size_t body_bytes)
{
  char *body = g_strnfill (body_bytes, 'u');
  char *request = g_strdup_printf ("POST %s HTTP/1.1\r\nHost: h\r\nX-Id: r1\r\n"
                                   "Content-Length: %zu\r\n\r\n%s",
                                   path, body_bytes, body);

  g_free (body);
  return request;
}

/** Creates a gateway whose first upstream answers early, and an upload. */
static early_fixture_t
set_up (const char *path, const early_answer_t *upstream)
{
  early_fixture_t early = { .gateway = gateway_fixture_new (),
                            .upstream = *upstream,
                            .request = make_upload (path, UPLOAD_BYTES) };

  return early;
}

static void
start (early_fixture_t *early)
{
  gateway_fixture_t *fixture = early->gateway;

  early_answer_start (&early->upstream, fixture->base);
  g_strlcpy (fixture->upstreams[0].address, early->upstream.address,
             sizeof fixture->upstreams[0].address);
  fixture->upstreams[1].act = ACT_ANSWER;
  gateway_fixture_configure (fixture);
  gateway_fixture_announce (fixture);
}

static void
tear_down (early_fixture_t *early)
{
  early_answer_stop (&early->upstream);
  gateway_fixture_free (early->gateway);
  g_free (early->request);
}

static bool
is_over (const gateway_fixture_t *fixture)
{
  return gateway_open_requests (fixture->gateway) == 0
         && (fixture->caller_closed || fixture->answer->len > 0);
}

/** Sends the request at once and waits until it has ended. */
static void
call (early_fixture_t *early)
{
  gateway_fixture_t *fixture = early->gateway;

  start (early);
  gateway_fixture_send (fixture, early->request);
  GATEWAY_WAIT (is_over (fixture) && early->upstream.requests > 0);
  /* The rest of the answer may still be on its way to the caller. */
  for (int i = 0; i < 20; i++)
    {
      event_base_loop (fixture->base, EVLOOP_NONBLOCK);
      g_usleep (500);
    }
}

/** Sends a request that may run once and expects the answer to be broken. */
static void
expect_broken (const early_answer_t *upstream)
{
  early_fixture_t early = set_up ("/unsafe/a", upstream);

  call (&early);
  g_assert_true (gateway_fixture_has_text (early.gateway, "HTTP/1.1 502 "));
  g_assert_false (gateway_fixture_has_text (early.gateway, "part"));
  tear_down (&early);
}

/** Expects the answer to be passed on, with its whole text. */
static void
expect_whole (const early_answer_t *upstream, const char *body)
{
  early_fixture_t early = set_up ("/unsafe/a", upstream);

  call (&early);
  g_assert_true (gateway_fixture_has_text (early.gateway, "HTTP/1.1 200 "));
  g_assert_true (g_str_has_suffix (early.gateway->answer->str, body));
  tear_down (&early);
}

/* Each of the next tests guards against: a caller gets a part of an answer as a
 * whole one, because the connection was reset while the request was still being
 * written to it (MIXED). */
static void
test_reset_later (void)
{
  expect_broken (
      &(early_answer_t){ .text = PART, .delay_ms = 300, .end = EARLY_RESET });
}

static void
test_reset_at_once (void)
{
  expect_broken (&(early_answer_t){ .text = PART, .end = EARLY_RESET });
}

static void
test_close_unread (void)
{
  expect_broken (
      &(early_answer_t){ .text = PART, .delay_ms = 300, .end = EARLY_CLOSE });
}

static void
test_reset_while_answering (void)
{
  expect_broken (&(early_answer_t){
      .text = PART, .more = "more", .delay_ms = 600, .end = EARLY_RESET });
}

/* Guards against: a part of an answer is taken for a whole one, because its
 * upstream had read what had come of the request when it closed, and resets
 * only when more of it comes (MIXED). */
static void
test_close_after_reading (void)
{
  expect_broken (&(early_answer_t){
      .text = PART, .delay_ms = 300, .end = EARLY_READ_CLOSE });
}

/** The same from one that shuts its sending side before it closes. */
static void
test_half_close_reset (void)
{
  expect_broken (&(early_answer_t){
      .text = PART, .delay_ms = 300, .end = EARLY_HALF_RESET });
}

/** The reset comes while nothing is being written. */
static void
test_reset_after_reading (void)
{
  expect_broken (&(early_answer_t){
      .text = PART, .delay_ms = 50, .end = EARLY_READ_RESET });
}

static void
test_length_cut (void)
{
  expect_broken (
      &(early_answer_t){ .text = SIGNED_HEAD "Content-Length: 9\r\n\r\npart",
                         .delay_ms = 300,
                         .end = EARLY_RESET });
}

static void
test_chunks_cut (void)
{
  expect_broken (&(early_answer_t){
      .text = SIGNED_HEAD "Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n",
      .delay_ms = 300,
      .end = EARLY_RESET });
}

/** An answer that names its length is whole when all of it has come. */
static void
test_whole_length (void)
{
  expect_whole (
      &(early_answer_t){ .text = SIGNED_HEAD "Content-Length: 4\r\n\r\npart",
                         .delay_ms = 300,
                         .end = EARLY_RESET },
      "\r\n\r\npart");
}

/** An answer without a length ends in order if its upstream shuts its sending
 * side and takes the rest of the request. */
static void
test_half_close (void)
{
  expect_whole (&(early_answer_t){ .text = PART,
                                   .delay_ms = 300,
                                   .end = EARLY_HALF_CLOSE },
                "\r\n\r\npart");
}

/** The same from an upstream that takes nothing more, but does not reset. */
static void
test_half_close_stall (void)
{
  expect_whole (&(early_answer_t){ .text = PART,
                                   .delay_ms = 300,
                                   .end = EARLY_HALF_STALL },
                "\r\n\r\npart");
}

/** The same after the whole request: its answer ends in order and is passed on,
 * though nothing says that it is whole. */
static void
test_whole_request (void)
{
  early_fixture_t early
      = set_up ("/unsafe/a", &(early_answer_t){ .text = PART,
                                                .delay_ms = 300,
                                                .end = EARLY_HALF_CLOSE });

  g_free (early.request);
  early.request = make_upload ("/unsafe/a", SMALL_BODY_BYTES);
  call (&early);
  g_assert_true (gateway_fixture_has_text (early.gateway, "HTTP/1.1 200 "));
  g_assert_true (g_str_has_suffix (early.gateway->answer->str, "\r\n\r\npart"));
  tear_down (&early);
}

/** A request that may be repeated is answered by the other upstream. */
static void
test_other_upstream (void)
{
  early_fixture_t early = set_up (
      "/safe/a",
      &(early_answer_t){ .text = PART, .delay_ms = 50, .end = EARLY_RESET });

  call (&early);
  g_assert_cmpuint (early.upstream.requests, ==, 1);
  g_assert_true (gateway_fixture_has_text (early.gateway, "HTTP/1.1 200 "));
  g_assert_true (g_str_has_suffix (early.gateway->answer->str, "\r\n\r\nbody"));
  tear_down (&early);
}

/** A stream that has begun ends without the mark of its end. */
static void
test_stream (void)
{
  early_fixture_t early
      = set_up ("/once/a", &(early_answer_t){ .text = SIGNED_HEAD "\r\n" EVENT,
                                              .delay_ms = 300,
                                              .end = EARLY_RESET });
  gateway_fixture_t *fixture = early.gateway;

  call (&early);
  GATEWAY_WAIT (fixture->caller_closed);
  g_assert_true (gateway_fixture_has_text (fixture, EVENT));
  g_assert_false (gateway_fixture_has_text (fixture, "\r\n0\r\n"));
  tear_down (&early);
}

/** The same with a caller that pauses within its upload. */
static void
test_paused_upload (void)
{
  early_fixture_t early = set_up (
      "/unsafe/a",
      &(early_answer_t){ .text = PART, .delay_ms = 300, .end = EARLY_RESET });
  gateway_fixture_t *fixture = early.gateway;
  char *first = g_strndup (early.request, FIRST_PART_BYTES);
  uint64_t resume_ms = clock_mono_ms () + 500;

  start (&early);
  gateway_fixture_send (fixture, first);
  GATEWAY_WAIT (clock_mono_ms () >= resume_ms);
  scripted_write (fixture->caller, early.request + FIRST_PART_BYTES);
  GATEWAY_WAIT (is_over (fixture));
  g_assert_true (gateway_fixture_has_text (fixture, "HTTP/1.1 502 "));
  g_free (first);
  tear_down (&early);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  base_init ("t8086-gateway-early-answers");
  logging_init (LOGGING_ERROR);
  /* As in the programs. */
  signal (SIGPIPE, SIG_IGN);
  g_test_add_func ("/early-answers/reset-later", test_reset_later);
  g_test_add_func ("/early-answers/reset-at-once", test_reset_at_once);
  g_test_add_func ("/early-answers/close-unread", test_close_unread);
  g_test_add_func ("/early-answers/reset-while-answering",
                   test_reset_while_answering);
  g_test_add_func ("/early-answers/close-after-reading",
                   test_close_after_reading);
  g_test_add_func ("/early-answers/half-close-reset", test_half_close_reset);
  g_test_add_func ("/early-answers/reset-after-reading",
                   test_reset_after_reading);
  g_test_add_func ("/early-answers/length-cut", test_length_cut);
  g_test_add_func ("/early-answers/chunks-cut", test_chunks_cut);
  g_test_add_func ("/early-answers/whole-length", test_whole_length);
  g_test_add_func ("/early-answers/half-close", test_half_close);
  g_test_add_func ("/early-answers/half-close-stall", test_half_close_stall);
  g_test_add_func ("/early-answers/whole-request", test_whole_request);
  g_test_add_func ("/early-answers/other-upstream", test_other_upstream);
  g_test_add_func ("/early-answers/stream", test_stream);
  g_test_add_func ("/early-answers/paused-upload", test_paused_upload);
  return g_test_run ();
}
