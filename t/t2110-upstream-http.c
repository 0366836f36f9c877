/*
 * Checks streams that engines send over HTTP: in one large chunk, to a reader
 * that pauses, and with the connection broken after the last event.
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
/* How many tokens may be delivered of a stream paused at its first token. */
#define MAX_TOKENS_AFTER_PAUSE 1
#define MAX_LOOP_TURNS         100000

typedef struct
{
  struct event_base *base;
  scripted_t engine;
  upstream_http_t *http;
  upstream_call_t *call;
  char *answer; /* answer text of the engine */
  uint32_t tokens;
  bool pauses; /* pauses the stream at its first token */
  bool has_end;
  upstream_result_t result;
  bool is_broken_off;
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
  rig->is_broken_off = end->is_broken_off;
}

/** Returns an answer with all events in one chunk; cut if not @a is_whole. */
static char *
make_single_chunk_answer (uint32_t events, bool is_whole)
{
  GString *chunk = g_string_new (NULL);
  char *answer;

  for (uint32_t i = 0; i < events; i++)
    g_string_append_printf (
        chunk, "data: {\"request_id\":\"r\",\"offset\":%u,\"token\":\"x\"}\n\n",
        i);
  if (is_whole)
    g_string_append_printf (
        chunk, "data: {\"request_id\":\"r\",\"offset\":%u,\"done\":true}\n\n",
        events);
  answer
      = g_strdup_printf ("HTTP/1.1 200 OK\r\n"
                         "Content-Type: text/event-stream\r\n"
                         "Transfer-Encoding: chunked\r\n\r\n"
                         "%zx\r\n%s\r\n%s",
                         chunk->len, chunk->str, is_whole ? "0\r\n\r\n" : "");
  g_string_free (chunk, TRUE);
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
  for (uint32_t i = 0; i < MAX_LOOP_TURNS && !rig->has_end; i++)
    event_base_loop (rig->base, EVLOOP_ONCE);
  g_assert_true (rig->has_end);
}

/* One turn of the event loop must not process a whole large chunk: it would
 * block the loop meanwhile, and timers set during that time would expire at
 * once. */
static void
test_events_of_one_chunk (void)
{
  rig_t rig = { 0 };
  uint32_t before = 0;

  set_up (&rig, make_single_chunk_answer (EVENTS, true), ACT_TEXT);
  for (uint32_t i = 0; i < MAX_LOOP_TURNS && !rig.has_end; i++)
    {
      event_base_loop (rig.base, EVLOOP_ONCE);
      g_assert_cmpuint (rig.tokens - before, <=, EVENTS / 10);
      before = rig.tokens;
    }
  g_assert_cmpuint (rig.tokens, ==, EVENTS);
  g_assert_cmpint (rig.result, ==, UPSTREAM_DONE);
  tear_down (&rig);
}

/* After a pause, tokens that have already arrived must not be delivered. */
static void
test_paused_read (void)
{
  rig_t rig = { .pauses = true };

  set_up (&rig, make_single_chunk_answer (EVENTS, true), ACT_TEXT);
  for (uint32_t i = 0; i < MAX_LOOP_TURNS && rig.tokens == 0; i++)
    event_base_loop (rig.base, EVLOOP_ONCE);
  for (uint32_t i = 0; i < 10; i++)
    event_base_loop (rig.base, EVLOOP_NONBLOCK);
  g_assert_cmpuint (rig.tokens, <=, MAX_TOKENS_AFTER_PAUSE);
  upstream_http_ops.pause (rig.call, false);
  run_until_end (&rig);
  g_assert_cmpuint (rig.tokens, ==, EVENTS);
  g_assert_cmpint (rig.result, ==, UPSTREAM_DONE);
  tear_down (&rig);
}

/* Tokens that arrived before the connection broke must be delivered first. */
static void
test_broken_chunk (void)
{
  rig_t rig = { 0 };

  set_up (&rig, make_single_chunk_answer (EVENTS, false), ACT_TEXT_CUT);
  run_until_end (&rig);
  g_assert_cmpuint (rig.tokens, ==, EVENTS);
  g_assert_cmpint (rig.result, !=, UPSTREAM_DONE);
  tear_down (&rig);
}

static void
check_broken_off (const char *answer, act_t act, bool is_broken_off)
{
  rig_t rig = { 0 };

  set_up (&rig, g_strdup (answer), act);
  run_until_end (&rig);
  g_assert_cmpint (rig.result, !=, UPSTREAM_DONE);
  g_assert_true (rig.is_broken_off == is_broken_off);
  tear_down (&rig);
}

/* Guards against an upstream that crashes unnoticed, and against one that is
 * taken for crashed because it answers wrongly. */
static void
test_broken_off (void)
{
  check_broken_off ("", ACT_CLOSE, true);
  check_broken_off ("HTTP/1.1 200 OK\r\nContent-Ty", ACT_TEXT_CUT, true);
  check_broken_off ("HTTP/1.1 200 OK\r\n\r\ndata: {", ACT_TEXT_CUT, true);
  check_broken_off (
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\n",
      ACT_TEXT_CUT, true);
  check_broken_off ("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\ndata",
                    ACT_TEXT_CUT, true);
  check_broken_off ("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                    "0\r\n\r\n",
                    ACT_TEXT, false);
  check_broken_off ("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndata",
                    ACT_TEXT, false);
  check_broken_off ("HTTP/1.1 500 Oh\r\nContent-Length: 0\r\n\r\n", ACT_TEXT,
                    false);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/upstream-http/one-turn", test_events_of_one_chunk);
  g_test_add_func ("/upstream-http/pause", test_paused_read);
  g_test_add_func ("/upstream-http/broken", test_broken_chunk);
  g_test_add_func ("/upstream-http/broken-off", test_broken_off);
  return g_test_run ();
}
