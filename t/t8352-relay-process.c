/*
 * Answers through a relay that is a real process, which ends or is killed
 * within them: the kernel ends its connections as it ends others.
 */
#include <event2/event.h>
#include <glib.h>
#include <signal.h>
#include <string.h>
#include <talloc.h>

#include "base.h"
#include "lib-early-answer.h"
#include "lib-exchange.h"
#include "lib-nodes.h"
#include "lib-wait.h"

#define SERVICE "s"
#define PART    "part"
/** Of an answer that is not to end by itself. */
#define LONG_MS 60000
#define END_MS  50
/** Longer than a relay that stops waits for callers that get no frames. */
#define PAUSE_MS 2500
/** Offset of the port for tunnels. */
#define TUNNEL_OFFSET 9
#define RETRY_MS      100
#define BODY_BYTES    (300u * 1024)

/** A relay, an upstream, and what asks for its answers. */
typedef struct
{
  struct event_base *base;
  nodes_t *nodes;
  early_answer_t upstream;
  upstream_path_t *path;
  exchange_pool_t *pool;
  exchange_result_t answer;
} fixture_t;

static void
set_up_path (fixture_t *fixture)
{
  upstream_path_options_t path = { .seed = 1 };
  exchange_pool_options_t pool = { .base = fixture->base,
                                   .connect_timeout_ms = 1000,
                                   .idle_timeout_ms = 4000 };
  char *relay = nodes_address (fixture->nodes, NODES_ENTRY, TUNNEL_OFFSET);

  fixture->path = pool.path = upstream_path_new (NULL, &path);
  fixture->pool = exchange_pool_new (NULL, &pool);
  upstream_path_add_relay (fixture->path, relay, true);
  for (uint64_t upstream = 1; upstream <= 3; upstream++)
    upstream_path_record (fixture->path, upstream, false, clock_mono_ms ());
  g_free (relay);
}

static fixture_t *
set_up (const early_answer_t *model)
{
  nodes_options_t options = { .version = 5, .has_all_kinds = true };
  fixture_t *fixture = g_new0 (fixture_t, 1);
  nodes_announcement_t announcement
      = { .id = "i-1", .service = SERVICE, .slots = 4, .sequence = 1 };

  fixture->base = event_base_new ();
  fixture->answer.body = g_string_new (NULL);
  fixture->nodes = nodes_new_with (&options);
  fixture->upstream = *model;
  early_answer_start (&fixture->upstream, fixture->base);
  announcement.address = fixture->upstream.address;
  g_assert_cmpint (nodes_announce (fixture->nodes, 0, &announcement), ==, 200);
  set_up_path (fixture);
  return fixture;
}

static void
tear_down (fixture_t *fixture)
{
  talloc_free (fixture->pool);
  talloc_free (fixture->path);
  early_answer_stop (&fixture->upstream);
  nodes_free (fixture->nodes);
  event_base_free (fixture->base);
  g_string_free (fixture->answer.body, TRUE);
  g_free (fixture);
}

/** Sends a request and waits for the begin of the answer. */
static void
send_request (fixture_t *fixture)
{
  struct event_base *base = fixture->base;
  http_fields_t fields = { 0 };
  exchange_options_t options = { .address = fixture->upstream.address,
                                 .owner = 1,
                                 .method = "GET",
                                 .target = "/a",
                                 .fields = &fields,
                                 .callbacks = &exchange_result_callbacks,
                                 .context = &fixture->answer };

  exchange_result_reset (&fixture->answer);
  exchange_send (fixture->pool, &options);
  WAIT (fixture->answer.body->len > 0 || fixture->answer.result != RESULT_NONE);
}

/** Waits for the begin of an answer that comes through the relay. One that does
 * not know the upstream yet refuses, and the request goes another way. */
static void
begin_answer (fixture_t *fixture)
{
  uint64_t until_ms = clock_mono_ms () + WAIT_TIMEOUT_MS;

  send_request (fixture);
  while (upstream_path_relay (fixture->path, 1, clock_mono_ms ()) == NULL
         && clock_mono_ms () < until_ms)
    {
      talloc_free (fixture->pool);
      talloc_free (fixture->path);
      g_usleep (RETRY_MS * 1000);
      set_up_path (fixture);
      send_request (fixture);
    }
  g_assert_nonnull (upstream_path_relay (fixture->path, 1, clock_mono_ms ()));
}

/** Ends the relay within an answer, and expects that it is not called whole,
 * nor the upstream one that broke it off. */
static void
expect_broken (int signal_number)
{
  static const early_answer_t model
      = { .text = "HTTP/1.1 200 OK\r\n\r\n" PART, .delay_ms = LONG_MS };
  fixture_t *fixture = set_up (&model);
  struct event_base *base = fixture->base;

  begin_answer (fixture);
  if (signal_number == SIGTERM)
    g_usleep (PAUSE_MS * 1000);
  process_signal (fixture->nodes->process[NODES_ENTRY], signal_number);
  WAIT (fixture->answer.result != RESULT_NONE);
  g_assert_cmpint (fixture->answer.result, ==, RESULT_FAILED);
  g_assert_false (fixture->answer.was_closed);
  g_assert_cmpstr (fixture->answer.body->str, ==, PART);
  tear_down (fixture);
}

/* Guards against: a part of an answer that is passed on as the whole one, as
 * its relay was killed (MIXED, ORDER). */
static void
test_killed (void)
{
  expect_broken (SIGKILL);
}

/* Guards against: the same, as its relay stopped while the upstream paused. */
static void
test_stopped (void)
{
  expect_broken (SIGTERM);
}

/* Guards against: an answer that is cut, or called whole too early, as its
 * relay stops while the upstream pauses (LOST). */
static void
test_stopped_within_pause (void)
{
  static const early_answer_t model = { .text = "HTTP/1.1 200 OK\r\n\r\n" PART,
                                        .end = EARLY_READ_CLOSE,
                                        .delay_ms = PAUSE_MS };
  fixture_t *fixture = set_up (&model);
  struct event_base *base = fixture->base;

  begin_answer (fixture);
  process_signal (fixture->nodes->process[NODES_ENTRY], SIGTERM);
  WAIT (fixture->answer.result != RESULT_NONE);
  g_assert_cmpint (fixture->answer.result, ==, RESULT_END);
  g_assert_cmpstr (fixture->answer.body->str, ==, PART);
  tear_down (fixture);
}

/** Expects an answer of many bytes whose end is that of its connection. */
static void
expect_whole (early_end_t end, bool is_whole)
{
  char *filler = g_strnfill (BODY_BYTES, 'b');
  char *text = g_strconcat ("HTTP/1.1 200 OK\r\n\r\n", filler, NULL);
  early_answer_t model = { .text = text, .delay_ms = END_MS, .end = end };
  fixture_t *fixture = set_up (&model);
  struct event_base *base = fixture->base;

  begin_answer (fixture);
  WAIT (fixture->answer.result != RESULT_NONE);
  g_assert_cmpint (fixture->answer.result, ==,
                   is_whole ? RESULT_END : RESULT_FAILED);
  if (is_whole)
    g_assert_cmpstr (fixture->answer.body->str, ==, filler);
  else
    g_assert_true (fixture->answer.was_closed);
  tear_down (fixture);
  g_free (text);
  g_free (filler);
}

/* Guards against: an answer that is broken though it ended in order. */
static void
test_whole (void)
{
  expect_whole (EARLY_READ_CLOSE, true);
}

/* Guards against: an upstream's reset that looks like an end, or like the end
 * of the relay. */
static void
test_reset (void)
{
  expect_whole (EARLY_RESET, false);
}

int
main (int argc, char **argv)
{
  signal (SIGPIPE, SIG_IGN);
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/relay-process/killed", test_killed);
  g_test_add_func ("/relay-process/stopped", test_stopped);
  g_test_add_func ("/relay-process/stopped-within-pause",
                   test_stopped_within_pause);
  g_test_add_func ("/relay-process/whole", test_whole);
  g_test_add_func ("/relay-process/reset", test_reset);
  return g_test_run ();
}
