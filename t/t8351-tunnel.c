/*
 * Requests to upstreams through another entry instance: the relay passes
 * answers on as they are, and what breaks off does not look complete.
 */
#include <event2/event.h>
#include <glib.h>
#include <signal.h>
#include <string.h>
#include <talloc.h>

#include "base.h"
#include "exchange.h"
#include "lib-address.h"
#include "lib-caller.h"
#include "lib-early-answer.h"
#include "lib-exchange.h"
#include "lib-scripted.h"
#include "lib-wait.h"
#include "tunnel-server.h"

#define WAIT_MS 10000
/** Longer than a relay waits for callers that get no frames. */
#define PAUSE_MS 2500
/** More than the buffers of the connections take while nothing is read. */
#define UPLOAD_BYTES (8u * 1024 * 1024)

/** An instance that is cut off, its relay, and an upstream. */
typedef struct
{
  struct event_base *base;
  upstream_path_t *path;
  exchange_pool_t *pool;
  tunnel_server_t *relay;
  scripted_t upstream;
  char relay_address[32];
  char known[32]; /* address of the only upstream that the relay knows */
  bool may_relay;
  uint32_t relay_connects;
  exchange_result_t answer;
} fixture_t;

static bool
may_relay (void *context)
{
  return ((fixture_t *)context)->may_relay;
}

static uint64_t
find_upstream (const char *address, void *context)
{
  return strcmp (address, ((fixture_t *)context)->known) == 0 ? 1 : 0;
}

static void
on_connect (uint64_t upstream, bool is_connected, void *context)
{
  ((fixture_t *)context)->relay_connects += is_connected;
}

static fixture_t *
set_up (void)
{
  fixture_t *fixture = g_new0 (fixture_t, 1);
  upstream_path_options_t path = { .seed = 1 };
  exchange_pool_options_t pool
      = { .connect_timeout_ms = 1000, .idle_timeout_ms = 4000 };
  tunnel_server_options_t relay = { .listen = fixture->relay_address,
                                    .max_tunnels = 4,
                                    .may_relay = may_relay,
                                    .find_upstream = find_upstream,
                                    .on_connect = on_connect,
                                    .context = fixture };

  fixture->base = pool.base = relay.base = event_base_new ();
  fixture->may_relay = true;
  fixture->answer.body = g_string_new (NULL);
  choose_free_address (fixture->relay_address);
  fixture->relay = tunnel_server_new (NULL, &relay);
  g_assert_nonnull (fixture->relay);
  fixture->path = pool.path = upstream_path_new (NULL, &path);
  fixture->pool = exchange_pool_new (NULL, &pool);
  upstream_path_add_relay (fixture->path, fixture->relay_address, true);
  for (uint64_t upstream = 1; upstream <= 3; upstream++)
    upstream_path_record (fixture->path, upstream, false, clock_mono_ms ());
  scripted_start (&fixture->upstream, fixture->base);
  g_strlcpy (fixture->known, fixture->upstream.address, sizeof fixture->known);
  return fixture;
}

static void
run (fixture_t *fixture, uint32_t for_ms)
{
  uint64_t end_ms = clock_mono_ms () + for_ms;

  while (clock_mono_ms () < end_ms)
    {
      event_base_loop (fixture->base, EVLOOP_NONBLOCK);
      g_usleep (500);
    }
}

static void
tear_down (fixture_t *fixture)
{
  talloc_free (fixture->pool);
  talloc_free (fixture->path);
  scripted_stop (&fixture->upstream);
  run (fixture, 50);
  /* The relay has closed what its callers have closed. */
  if (fixture->relay != NULL)
    g_assert_cmpuint (tunnel_server_open (fixture->relay), ==, 0);
  talloc_free (fixture->relay);
  event_base_loop (fixture->base, EVLOOP_NONBLOCK);
  g_string_free (fixture->answer.body, TRUE);
  event_base_free (fixture->base);
  g_free (fixture);
}

static void
start_call (fixture_t *fixture, const char *address, size_t body_bytes)
{
  http_fields_t fields = { 0 };
  uint8_t *body = g_malloc0 (body_bytes + 1);
  exchange_options_t options = { .address = address,
                                 .owner = 1,
                                 .method = "POST",
                                 .target = "/a",
                                 .fields = &fields,
                                 .body = body,
                                 .body_bytes = body_bytes,
                                 .always_send_length = true,
                                 .callbacks = &exchange_result_callbacks,
                                 .context = &fixture->answer };

  exchange_result_reset (&fixture->answer);
  exchange_send (fixture->pool, &options);
  g_free (body);
}

/** Sends a request and waits for its end. */
static void
call_with (fixture_t *fixture, const char *address, size_t body_bytes)
{
  uint64_t end_ms = clock_mono_ms () + WAIT_MS;

  start_call (fixture, address, body_bytes);
  while (fixture->answer.result == RESULT_NONE && clock_mono_ms () < end_ms)
    run (fixture, 1);
}

static void
call (fixture_t *fixture)
{
  call_with (fixture, fixture->upstream.address, 5);
}

/* Guards against requests that fail while another instance could pass them on;
 * the connection is used again. */
static void
test_answer (void)
{
  fixture_t *fixture = set_up ();

  fixture->upstream.act = ACT_ANSWER;
  call (fixture);
  g_assert_cmpint (fixture->answer.result, ==, RESULT_END);
  call (fixture);
  g_assert_cmpint (fixture->answer.result, ==, RESULT_END);
  g_assert_cmpuint (fixture->upstream.requests, ==, 2);
  g_assert_cmpuint (fixture->upstream.connections, ==, 1);
  g_assert_cmpuint (fixture->relay_connects, ==, 1);
  tear_down (fixture);
}

/** Expects that no request is sent and the relay is not used again at once. */
static void
expect_not_sent (fixture_t *fixture, const char *address, bool uses_relay)
{
  call_with (fixture, address, 5);
  g_assert_cmpint (fixture->answer.result, ==, RESULT_FAILED);
  g_assert_cmpint (fixture->answer.failure, ==, EXCHANGE_NOT_SENT);
  g_assert_cmpuint (fixture->upstream.requests, ==, 0);
  g_assert_true (
      (upstream_path_relay (fixture->path, 9, clock_mono_ms ()) != NULL)
      == uses_relay);
  tear_down (fixture);
}

/* Guards against a request that is called sent though the relay refused it. */
static void
test_relay_refuses (void)
{
  fixture_t *fixture = set_up ();

  fixture->may_relay = false;
  expect_not_sent (fixture, fixture->upstream.address, false);
}

/* Guards against a relay that connects callers to any address. */
static void
test_unknown_address (void)
{
  fixture_t *fixture = set_up ();

  fixture->known[0] = '\0';
  expect_not_sent (fixture, fixture->upstream.address, false);
}

/* Guards against giving up a relay for the fault of an upstream. */
static void
test_upstream_down (void)
{
  fixture_t *fixture = set_up ();

  choose_free_address (fixture->known);
  expect_not_sent (fixture, fixture->known, true);
}

/* Guards against a request that is lost with its first way: one that fails is
 * sent over the next. */
static void
test_next_relay (void)
{
  fixture_t *fixture = set_up ();
  char nobody[32];

  choose_free_address (nobody);
  for (int i = 0; i < 2; i++)
    {
      upstream_path_add_relay (fixture->path, nobody, true);
      fixture->upstream.act = ACT_ANSWER;
      call (fixture);
      g_assert_cmpint (fixture->answer.result, ==, RESULT_END);
      exchange_pool_close_all_idle (fixture->pool);
    }
  tear_down (fixture);
}

/** Expects an answer without a length that ends as @a end to be complete or
 * broken. */
static void
expect_end (early_end_t end, size_t body_bytes, result_t expected)
{
  fixture_t *fixture = set_up ();
  early_answer_t upstream
      = { .text = "HTTP/1.1 200 OK\r\n\r\npart", .end = end, .delay_ms = 50 };

  early_answer_start (&upstream, fixture->base);
  g_strlcpy (fixture->known, upstream.address, sizeof fixture->known);
  call_with (fixture, upstream.address, body_bytes);
  g_assert_cmpint (fixture->answer.result, ==, expected);
  if (expected == RESULT_END)
    g_assert_cmpstr (fixture->answer.body->str, ==, "part");
  else
    g_assert_cmpint (fixture->answer.failure, ==, EXCHANGE_BROKEN);
  early_answer_stop (&upstream);
  tear_down (fixture);
}

/* Guards against an answer that is broken though it ended in order. */
static void
test_ends_in_order (void)
{
  expect_end (EARLY_READ_CLOSE, 5, RESULT_END);
  expect_end (EARLY_HALF_CLOSE, UPLOAD_BYTES, RESULT_END);
}

/* Guards against an answer that broke off and looks complete. */
static void
test_reset (void)
{
  expect_end (EARLY_READ_RESET, 5, RESULT_FAILED);
  expect_end (EARLY_RESET, UPLOAD_BYTES, RESULT_FAILED);
  expect_end (EARLY_HALF_RESET, UPLOAD_BYTES, RESULT_FAILED);
}

/* Guards against an upstream that goes on with a request whose sender has
 * left. */
static void
test_sender_leaves (void)
{
  fixture_t *fixture = set_up ();
  http_fields_t fields = { 0 };
  exchange_options_t options = { .address = fixture->upstream.address,
                                 .owner = 1,
                                 .method = "GET",
                                 .target = "/a",
                                 .fields = &fields,
                                 .callbacks = &exchange_result_callbacks,
                                 .context = &fixture->answer };
  exchange_t *exchange;

  fixture->upstream.act = ACT_NO_ANSWER;
  exchange = exchange_send (fixture->pool, &options);
  for (int i = 0; i < WAIT_MS && fixture->upstream.requests == 0; i++)
    run (fixture, 1);
  exchange_cancel (exchange);
  for (int i = 0; i < WAIT_MS && fixture->upstream.closed == 0; i++)
    run (fixture, 1);
  g_assert_cmpuint (fixture->upstream.closed, ==, 1);
  tear_down (fixture);
}

/* Guards against a relay that stops while an upstream pauses within an answer,
 * or that is sent the next request over a tunnel that is there (LOST). */
static void
test_relay_stops (void)
{
  fixture_t *fixture = set_up ();
  struct event_base *base = fixture->base;
  early_answer_t upstream = { .text = "HTTP/1.1 200 OK\r\n\r\npart",
                              .end = EARLY_READ_CLOSE,
                              .delay_ms = PAUSE_MS };

  /* An idle tunnel is closed at once. */
  fixture->upstream.act = ACT_ANSWER;
  call (fixture);
  g_assert_cmpuint (tunnel_server_open (fixture->relay), ==, 1);
  g_assert_true (tunnel_server_is_busy (fixture->relay, UINT64_MAX / 2));
  tunnel_server_stop (fixture->relay);
  WAIT (tunnel_server_open (fixture->relay) == 0);
  g_assert_false (tunnel_server_is_busy (fixture->relay, UINT64_MAX / 2));

  /* One in use is waited for, however long the upstream pauses. */
  early_answer_start (&upstream, fixture->base);
  g_strlcpy (fixture->known, upstream.address, sizeof fixture->known);
  start_call (fixture, upstream.address, 5);
  WAIT (fixture->answer.body->len > 0);
  g_assert_true (tunnel_server_is_busy (fixture->relay, UINT64_MAX / 2));
  WAIT (fixture->answer.result != RESULT_NONE);
  g_assert_cmpint (fixture->answer.result, ==, RESULT_END);
  WAIT (!tunnel_server_is_busy (fixture->relay, UINT64_MAX / 2));
  early_answer_stop (&upstream);
  tear_down (fixture);
}

/** Answers a request with a text through a relay of an earlier version, which
 * passes bytes on as they are. */
static void
expect_over_earlier_relay (const char *answer, result_t expected)
{
  fixture_t *fixture = set_up ();
  char *text = g_strconcat ("HTTP/1.1 200 OK\r\n\r\n", answer, NULL);
  early_answer_t relay
      = { .text = text, .end = EARLY_READ_CLOSE, .delay_ms = 50 };

  early_answer_start (&relay, fixture->base);
  upstream_path_relay_failed (fixture->path, fixture->relay_address,
                              clock_mono_ms ());
  upstream_path_add_relay (fixture->path, relay.address, true);
  call (fixture);
  g_assert_cmpuint (relay.requests, ==, 1);
  g_assert_cmpint (fixture->answer.result, ==, expected);
  early_answer_stop (&relay);
  tear_down (fixture);
  g_free (text);
}

/* Guards against: an answer that ends with its connection and is taken for
 * whole though its relay did not say so, and one with a length that is broken
 * for that. */
static void
test_earlier_relay (void)
{
  expect_over_earlier_relay ("HTTP/1.1 200 OK\r\n\r\npart", RESULT_FAILED);
  expect_over_earlier_relay ("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody",
                             RESULT_END);
  expect_over_earlier_relay ("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked"
                             "\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
                             RESULT_END);
}

/** Opens a tunnel as an earlier version does and waits for a text. */
static caller_t *
open_as_earlier_caller (fixture_t *fixture, const char *expected)
{
  struct event_base *base = fixture->base;
  caller_t *caller = caller_new (fixture->relay_address);
  char *text = g_strdup_printf ("CONNECT %s HTTP/1.1\r\nHost: %s\r\n\r\n"
                                "GET /a HTTP/1.1\r\n\r\n",
                                fixture->known, fixture->known);

  g_assert_cmpuint (caller_send (caller, text, strlen (text)), ==,
                    strlen (text));
  WAIT ((caller_read (caller), strcmp (caller->answer->str, expected) == 0));
  g_free (text);
  return caller;
}

/* Guards against: frames for a caller that did not ask for them, and a relay
 * that stops and looks to it like the end of the answer. */
static void
test_earlier_caller (void)
{
  fixture_t *fixture = set_up ();
  struct event_base *base = fixture->base;
  early_answer_t upstream
      = { .text = "HTTP/1.1 200 OK\r\n\r\npart", .delay_ms = WAIT_MS };
  caller_t *caller;

  early_answer_start (&upstream, fixture->base);
  g_strlcpy (fixture->known, upstream.address, sizeof fixture->known);
  caller = open_as_earlier_caller (fixture, "HTTP/1.1 200 OK\r\n\r\n"
                                            "HTTP/1.1 200 OK\r\n\r\npart");
  TALLOC_FREE (fixture->relay);
  WAIT ((caller_read (caller), caller->was_reset || caller->has_end));
  g_assert_true (caller->was_reset);
  caller_free (caller);
  early_answer_stop (&upstream);
  tear_down (fixture);
}

int
main (int argc, char **argv)
{
  signal (SIGPIPE, SIG_IGN);
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/tunnel/answer", test_answer);
  g_test_add_func ("/tunnel/relay-refuses", test_relay_refuses);
  g_test_add_func ("/tunnel/unknown-address", test_unknown_address);
  g_test_add_func ("/tunnel/upstream-down", test_upstream_down);
  g_test_add_func ("/tunnel/next-relay", test_next_relay);
  g_test_add_func ("/tunnel/ends-in-order", test_ends_in_order);
  g_test_add_func ("/tunnel/reset", test_reset);
  g_test_add_func ("/tunnel/sender-leaves", test_sender_leaves);
  g_test_add_func ("/tunnel/relay-stops", test_relay_stops);
  g_test_add_func ("/tunnel/earlier-relay", test_earlier_relay);
  g_test_add_func ("/tunnel/earlier-caller", test_earlier_caller);
  return g_test_run ();
}
