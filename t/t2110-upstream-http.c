/*
 * Streams of engines as they come over HTTP: in one large piece, to a reader
 * that pauses, and broken off after their last event.
 */
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <glib.h>
#include <stdbool.h>
#include <string.h>
#include <talloc.h>

#include "lib-scripted.h"
#include "upstream-http.h"

#define EVENTS 20000
/* Of a stream that is paused at once, this many may yet be handed on. */
#define MOST_AFTER_PAUSE 1
#define MAX_TURNS        100000

typedef struct
{
  struct event_base *base;
  scripted_t engine;
  upstream_http_t *http;
  upstream_call_t *call;
  char *answer; /* of the engine */
  uint32_t tokens;
  bool pauses; /* with the first token */
  bool has_end;
  upstream_result_t result;
} rig_t;

static void
on_token (void *context, uint64_t offset, const char *text)
{
  rig_t *rig = context;

  g_assert_cmpuint (offset, ==, rig->tokens);
  if (rig->tokens++ == 0 && rig->pauses)
    upstream_http_ops.pause (rig->call, true);
}

static void
on_end (void *context, const upstream_end_t *end)
{
  rig_t *rig = context;

  rig->has_end = true;
  rig->result = end->result;
}

/** Events as one chunk of an answer. */
static char *
one_piece (uint32_t events, bool is_whole)
{
  GString *piece = g_string_new (NULL);
  char *answer;

  for (uint32_t i = 0; i < events; i++)
    g_string_append_printf (
        piece, "data: {\"request_id\":\"r\",\"offset\":%u,\"token\":\"x\"}\n\n",
        i);
  if (is_whole)
    g_string_append_printf (
        piece, "data: {\"request_id\":\"r\",\"offset\":%u,\"done\":true}\n\n",
        events);
  answer
      = g_strdup_printf ("HTTP/1.1 200 OK\r\n"
                         "Content-Type: text/event-stream\r\n"
                         "Transfer-Encoding: chunked\r\n\r\n"
                         "%zx\r\n%s\r\n%s",
                         piece->len, piece->str, is_whole ? "0\r\n\r\n" : "");
  g_string_free (piece, TRUE);
  return answer;
}

static void
set_up (rig_t *rig, char *answer, act_t act)
{
  upstream_target_t target = { .name = "engine", .incarnation = 1 };
  upstream_submit_t submit = { .request_id = "r",
                               .owner = "i/1",
                               .model = "m",
                               .prompt = "p",
                               .max_tokens = EVENTS,
                               .deadline_ms = 60000 };
  upstream_sink_t sink = { .token = on_token, .end = on_end, .context = rig };

  rig->base = event_base_new ();
  scripted_start (&rig->engine, rig->base);
  rig->engine.act = act;
  rig->engine.text = rig->answer = answer;
  target.address = rig->engine.address;
  rig->http = upstream_http_new (NULL, rig->base);
  rig->call = upstream_http_ops.submit (rig->http, &target, &submit, &sink);
}

static void
tear_down (rig_t *rig)
{
  upstream_http_ops.close (rig->call);
  event_base_loop (rig->base, EVLOOP_NONBLOCK);
  scripted_stop (&rig->engine);
  event_base_loop (rig->base, EVLOOP_NONBLOCK);
  g_free (rig->answer);
  talloc_free (rig->http);
  event_base_free (rig->base);
}

static void
run_until_end (rig_t *rig)
{
  for (uint32_t i = 0; i < MAX_TURNS && !rig->has_end; i++)
    event_base_loop (rig->base, EVLOOP_ONCE);
  g_assert_true (rig->has_end);
}

/* Else the loop stands still while all of it is read, and timers that are set
 * meanwhile run out at once. */
static void
test_one_turn (void)
{
  rig_t rig = { 0 };
  uint32_t before = 0;

  set_up (&rig, one_piece (EVENTS, true), ACT_TEXT);
  for (uint32_t i = 0; i < MAX_TURNS && !rig.has_end; i++)
    {
      event_base_loop (rig.base, EVLOOP_ONCE);
      g_assert_cmpuint (rig.tokens - before, <=, EVENTS / 10);
      before = rig.tokens;
    }
  g_assert_cmpuint (rig.tokens, ==, EVENTS);
  g_assert_cmpint (rig.result, ==, UPSTREAM_DONE);
  tear_down (&rig);
}

/* Nothing is handed on that has come already. */
static void
test_pause (void)
{
  rig_t rig = { .pauses = true };

  set_up (&rig, one_piece (EVENTS, true), ACT_TEXT);
  for (uint32_t i = 0; i < MAX_TURNS && rig.tokens == 0; i++)
    event_base_loop (rig.base, EVLOOP_ONCE);
  for (uint32_t i = 0; i < 10; i++)
    event_base_loop (rig.base, EVLOOP_NONBLOCK);
  g_assert_cmpuint (rig.tokens, <=, MOST_AFTER_PAUSE);
  upstream_http_ops.pause (rig.call, false);
  run_until_end (&rig);
  g_assert_cmpuint (rig.tokens, ==, EVENTS);
  g_assert_cmpint (rig.result, ==, UPSTREAM_DONE);
  tear_down (&rig);
}

/* What came before the connection broke is handed on first. */
static void
test_broken (void)
{
  rig_t rig = { 0 };

  set_up (&rig, one_piece (EVENTS, false), ACT_TEXT_CUT);
  run_until_end (&rig);
  g_assert_cmpuint (rig.tokens, ==, EVENTS);
  g_assert_cmpint (rig.result, !=, UPSTREAM_DONE);
  tear_down (&rig);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/upstream-http/one-turn", test_one_turn);
  g_test_add_func ("/upstream-http/pause", test_pause);
  g_test_add_func ("/upstream-http/broken", test_broken);
  return g_test_run ();
}
