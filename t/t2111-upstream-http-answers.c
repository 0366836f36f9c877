/*
 * Upstreams of the product's own path whose answers are not valid, or break off
 * while the request is still being sent: a plain call, a stream and a call with
 * a JSON body have to fail, whatever looks like an answer in them.
 */
#include <event2/buffer.h>
#include <event2/event.h>
#include <glib.h>
#include <signal.h>
#include <string.h>
#include <talloc.h>

#include "http.h"
#include "lib-early-answer.h"
#include "lib-scripted.h"
#include "lib-wait.h"
#include "upstream-http.h"

/** More than the buffers of a connection take while nothing is read. */
#define UPLOAD_BYTES (4u * 1024 * 1024)
#define DEADLINE_MS  15000

#define OK_HEAD     "HTTP/1.1 200 OK\r\n"
#define CONTINUE    "HTTP/1.1 100 Continue\r\n\r\n"
#define WITH_LENGTH "Content-Length: 4\r\n\r\nevil"
#define WITHOUT     "\r\nevil"
#define STREAM_BODY                                                            \
  "\r\ndata: {\"request_id\":\"r\",\"offset\":0,\"token\":\"x\"}\n\n"          \
  "data: {\"request_id\":\"r\",\"offset\":1,\"done\":true}\n\n"
#define JSON_BODY "Content-Length: 7\r\n\r\n{\"a\":1}"

typedef struct
{
  struct event_base *base;
  scripted_t upstream; /* its listener is NULL if it was not started */
  upstream_http_t *http;
  upstream_call_t *call;
  char *upload;
  bool has_ended;
  upstream_result_t result;
  bool is_broken_off;
  bool is_accepted;
  uint32_t tokens;
  int status; /* of a plain call that is done, or of a call with JSON */
  char *body; /* of a plain call that is done */
} rig_t;

static void
on_accepted (void *context)
{
  ((rig_t *)context)->is_accepted = true;
}

static void
on_token (void *context, uint64_t offset, const char *text)
{
  ((rig_t *)context)->tokens++;
}

static void
on_end (void *context, const upstream_end_t *end)
{
  rig_t *rig = context;

  rig->has_ended = true;
  rig->result = end->result;
  rig->status = end->status;
  rig->is_broken_off = end->is_broken_off;
  if (end->body != NULL)
    rig->body = g_strndup ((char *)evbuffer_pullup (end->body, -1),
                           evbuffer_get_length (end->body));
}

static void
set_up (rig_t *rig)
{
  *rig = (rig_t){ .base = event_base_new () };
  rig->http = upstream_http_new (NULL, rig->base);
  /* As in the programs. */
  signal (SIGPIPE, SIG_IGN);
}

static void
wait_for_end (rig_t *rig)
{
  struct event_base *base = rig->base;

  WAIT (rig->has_ended);
}

static void
tear_down (rig_t *rig)
{
  if (rig->call != NULL)
    upstream_http_ops.close (rig->call);
  if (rig->upstream.listener != NULL)
    scripted_stop (&rig->upstream);
  event_base_loop (rig->base, EVLOOP_NONBLOCK);
  event_base_loop (rig->base, EVLOOP_NONBLOCK);
  talloc_free (rig->http);
  event_base_free (rig->base);
  g_free (rig->upload);
  g_free (rig->body);
}

static void
send_plain (rig_t *rig, const char *address, size_t body_bytes)
{
  upstream_target_t target
      = { .name = "s", .address = address, .incarnation = 1 };
  upstream_sink_t sink = { .token = on_token, .end = on_end, .context = rig };
  upstream_plain_t plain = { .request_id = "r",
                             .path = "a",
                             .body_bytes = body_bytes,
                             .deadline_ms = DEADLINE_MS };

  plain.body = rig->upload = g_strnfill (body_bytes, 'u');
  rig->call = upstream_http_ops.plain (rig->http, &target, &plain, &sink);
}

static void
send_stream (rig_t *rig, const char *address)
{
  upstream_target_t target
      = { .name = "e", .address = address, .incarnation = 1 };
  upstream_sink_t sink = {
    .accepted = on_accepted, .token = on_token, .end = on_end, .context = rig
  };
  upstream_submit_t submit = { .request_id = "r",
                               .owner = "i/1",
                               .model = "m",
                               .prompt = "p",
                               .max_tokens = 1,
                               .deadline_ms = DEADLINE_MS };

  rig->call = upstream_http_ops.submit (rig->http, &target, &submit, &sink);
}

static void
on_json (int status, JsonObject *body, void *context)
{
  rig_t *rig = context;

  rig->has_ended = true;
  rig->status = status;
  rig->result = body != NULL ? UPSTREAM_DONE : UPSTREAM_BROKEN;
}

static void
send_json (rig_t *rig, const char *address)
{
  http_call_options_t options = { .base = rig->base,
                                  .address = address,
                                  .method = "GET",
                                  .path = "/",
                                  .timeout_ms = DEADLINE_MS,
                                  .done = on_json,
                                  .context = rig };

  http_call (&options);
}

static void
send_short_plain (rig_t *rig, const char *address)
{
  send_plain (rig, address, 5);
}

/** Sends a request to an upstream that acts as given, and waits for the end. */
static void
call_scripted (rig_t *rig,
               void (*send) (rig_t *rig, const char *address),
               const scripted_t *upstream)
{
  set_up (rig);
  rig->upstream = *upstream;
  scripted_start (&rig->upstream, rig->base);
  send (rig, rig->upstream.address);
  wait_for_end (rig);
}

/** Sends a request to an upstream that sends @a text, and waits for the end. */
static void
call (rig_t *rig,
      void (*send) (rig_t *rig, const char *address),
      act_t act,
      const char *text)
{
  call_scripted (rig, send, &(scripted_t){ .act = act, .text = text });
}

static void
expect_invalid_plain (const char *head)
{
  static const char *const bodies[] = { WITH_LENGTH, WITHOUT };

  for (size_t i = 0; i < G_N_ELEMENTS (bodies); i++)
    {
      char *text = g_strconcat (head, bodies[i], NULL);
      rig_t rig;

      call (&rig, send_short_plain, ACT_TEXT_CUT, text);
      g_assert_cmpint (rig.result, ==, UPSTREAM_BROKEN);
      g_assert_cmpint (rig.status, ==, 0);
      g_assert_null (rig.body);
      tear_down (&rig);
      g_free (text);
    }
}

static void
expect_invalid_stream (const char *head)
{
  char *text = g_strconcat (head, STREAM_BODY, NULL);
  rig_t rig;

  call (&rig, send_stream, ACT_TEXT_CUT, text);
  g_assert_cmpint (rig.result, ==, UPSTREAM_BROKEN);
  g_assert_false (rig.is_accepted);
  g_assert_cmpuint (rig.tokens, ==, 0);
  tear_down (&rig);
  g_free (text);
}

static void
expect_invalid_json (const char *head)
{
  char *text = g_strconcat (head, JSON_BODY, NULL);
  rig_t rig;

  call (&rig, send_json, ACT_TEXT_CUT, text);
  g_assert_cmpint (rig.status, ==, 0);
  g_assert_cmpint (rig.result, ==, UPSTREAM_BROKEN);
  tear_down (&rig);
  g_free (text);
}

/** Expects each kind of call to fail on an answer that begins with @a head and
 * ends with its connection. */
static void
expect_invalid (const char *head)
{
  g_test_message ("%s", head);
  expect_invalid_plain (head);
  expect_invalid_stream (head);
  expect_invalid_json (head);
}

/* Guards against: callers get an answer whose status does not exist. */
static void
test_status_zero (void)
{
  expect_invalid ("HTTP/1.1 000 None\r\n");
}

static void
test_status_range (void)
{
  static const char *const heads[]
      = { "HTTP/1.1 001 x\r\n", "HTTP/1.1 099 x\r\n", "HTTP/1.1 20 x\r\n",
          "HTTP/1.1 600 x\r\n", "HTTP/1.1 999 x\r\n", "HTTP/1.1 2000 x\r\n",
          "HTTP/1.1 -200 x\r\n" };

  for (size_t i = 0; i < G_N_ELEMENTS (heads); i++)
    expect_invalid (heads[i]);
}

/** evhttp skips a 100 alone and takes any other interim answer for the answer
 * itself, or one that nobody has asked for. */
static void
test_status_interim (void)
{
  expect_invalid ("HTTP/1.1 101 Switching Protocols\r\n");
  expect_invalid ("HTTP/1.1 103 Early Hints\r\n");
}

static void
test_status_digits (void)
{
  static const char *const heads[]
      = { "HTTP/1.1 0200 OK\r\n", "HTTP/1.1 00200 OK\r\n",
          "HTTP/1.1 +200 OK\r\n", "HTTP/1.1 200x OK\r\n" };

  for (size_t i = 0; i < G_N_ELEMENTS (heads); i++)
    expect_invalid (heads[i]);
}

/** evhttp skips the 100 and reads the next status on the same connection. */
static void
test_status_after_continue (void)
{
  static const char *const heads[]
      = { CONTINUE "HTTP/1.1 0200 OK\r\n", CONTINUE "HTTP/1.1 200x OK\r\n",
          CONTINUE CONTINUE "HTTP/1.1 +200 OK\r\n",
          "HTTP/1.1 0100 Continue\r\n\r\n" OK_HEAD,
          "HTTP/1.1 100\nX-A: b\n\nHTTP/1.1 0200 OK\r\n" };

  for (size_t i = 0; i < G_N_ELEMENTS (heads); i++)
    {
      char *text = g_strconcat (heads[i], WITH_LENGTH, NULL);
      rig_t rig;

      g_test_message ("%s", heads[i]);
      call (&rig, send_short_plain, ACT_TEXT, text);
      g_assert_cmpint (rig.result, ==, UPSTREAM_BROKEN);
      g_assert_null (rig.body);
      tear_down (&rig);
      g_free (text);
    }
}

/** evhttp reads the status up to the NUL. */
static void
test_status_nul (void)
{
  static const char text[] = "HTTP/1.1 200\0 OK\r\n" JSON_BODY;
  static const scripted_t upstream
      = { .act = ACT_TEXT_CUT, .text = text, .text_bytes = sizeof text - 1 };
  rig_t rig;

  call_scripted (&rig, send_short_plain, &upstream);
  g_assert_cmpint (rig.result, ==, UPSTREAM_BROKEN);
  g_assert_null (rig.body);
  tear_down (&rig);
  call_scripted (&rig, send_json, &upstream);
  g_assert_cmpint (rig.result, ==, UPSTREAM_BROKEN);
  tear_down (&rig);
}

/* Guards against: callers get an answer in whose head a name holds a blank or a
 * control byte, or with a body that is not the upstream's. */
static void
test_blank_in_name (void)
{
  static const char *const heads[]
      = { OK_HEAD "Bad Name: x\r\n", OK_HEAD "Name : x\r\n",
          OK_HEAD " Name: x\r\n", OK_HEAD "Content-Length : 4\r\n",
          OK_HEAD "Content Length: 4\r\n" };

  for (size_t i = 0; i < G_N_ELEMENTS (heads); i++)
    expect_invalid (heads[i]);
}

static void
test_control_byte_in_name (void)
{
  static const char bytes[] = { '\t', '\001', '\177', '\200', '\r', '(' };

  for (size_t i = 0; i < sizeof bytes; i++)
    {
      char *head = g_strdup_printf (OK_HEAD "Na%cme: x\r\n", bytes[i]);

      expect_invalid (head);
      g_free (head);
    }
  expect_invalid (OK_HEAD ": x\r\n");
  expect_invalid (OK_HEAD "no colon\r\n");
}

/** The framing of the chunks must not become the body. */
static void
test_blank_in_framing (void)
{
  rig_t rig;

  call (&rig, send_short_plain, ACT_TEXT_CUT,
        OK_HEAD "Transfer-Encoding : chunked\r\n\r\n"
                "4\r\nevil\r\n0\r\n\r\n");
  g_assert_cmpint (rig.result, ==, UPSTREAM_BROKEN);
  g_assert_null (rig.body);
  tear_down (&rig);
}

/** An answer that is not valid does not show that its upstream has crashed. */
static void
test_not_broken_off (void)
{
  static const char *const texts[] = { "HTTP/1.1 600 x\r\n" WITH_LENGTH,
                                       OK_HEAD "Bad Name: x\r\n" WITH_LENGTH };

  for (size_t i = 0; i < G_N_ELEMENTS (texts); i++)
    {
      rig_t rig;

      call (&rig, send_short_plain, ACT_TEXT, texts[i]);
      g_assert_cmpint (rig.result, ==, UPSTREAM_BROKEN);
      g_assert_false (rig.is_broken_off);
      tear_down (&rig);
    }
}

static void
test_valid (void)
{
  rig_t rig;

  call (&rig, send_short_plain, ACT_TEXT, OK_HEAD "X-A!: b\r\n" WITH_LENGTH);
  g_assert_cmpint (rig.result, ==, UPSTREAM_DONE);
  g_assert_cmpint (rig.status, ==, 200);
  g_assert_cmpstr (rig.body, ==, "evil");
  tear_down (&rig);
  call (&rig, send_short_plain, ACT_TEXT_CUT,
        "HTTP/1.1 404 Not Found\r\n" WITHOUT);
  g_assert_cmpint (rig.result, ==, UPSTREAM_DONE);
  g_assert_cmpint (rig.status, ==, 404);
  g_assert_cmpstr (rig.body, ==, "evil");
  tear_down (&rig);
  call (&rig, send_stream, ACT_TEXT, OK_HEAD STREAM_BODY);
  g_assert_cmpint (rig.result, ==, UPSTREAM_DONE);
  g_assert_true (rig.is_accepted);
  g_assert_cmpuint (rig.tokens, ==, 1);
  tear_down (&rig);
  call (&rig, send_json, ACT_TEXT, OK_HEAD JSON_BODY);
  g_assert_cmpint (rig.result, ==, UPSTREAM_DONE);
  g_assert_cmpint (rig.status, ==, 200);
  tear_down (&rig);
}

/** An answer after one or more 100s is passed on, however their lines end. */
static void
test_valid_after_continue (void)
{
  static const char *const heads[]
      = { CONTINUE OK_HEAD, CONTINUE CONTINUE OK_HEAD,
          "HTTP/1.1 100 \r\nX-A: b\r\n\r\n" OK_HEAD,
          "HTTP/1.1 100\n\nHTTP/1.1 200 OK\n",
          "HTTP/1.1 100\r\n\r\nHTTP/1.1 200\r\n" };

  for (size_t i = 0; i < G_N_ELEMENTS (heads); i++)
    {
      char *text = g_strconcat (heads[i], WITH_LENGTH, NULL);
      rig_t rig;

      call (&rig, send_short_plain, ACT_TEXT, text);
      g_assert_cmpint (rig.result, ==, UPSTREAM_DONE);
      g_assert_cmpint (rig.status, ==, 200);
      g_assert_cmpstr (rig.body, ==, "evil");
      tear_down (&rig);
      g_free (text);
    }
}

/** Uploads to an upstream that answers early and then ends its connection. */
static void
expect_cut (early_end_t end)
{
  early_answer_t upstream
      = { .text = OK_HEAD "\r\npart", .delay_ms = 200, .end = end };
  rig_t rig;

  set_up (&rig);
  early_answer_start (&upstream, rig.base);
  send_plain (&rig, upstream.address, UPLOAD_BYTES);
  wait_for_end (&rig);
  g_assert_cmpint (rig.result, ==, UPSTREAM_BROKEN);
  g_assert_null (rig.body);
  early_answer_stop (&upstream);
  tear_down (&rig);
}

/* Guards against: a part of an answer is taken for a whole one, because the
 * connection was reset while the request was still being written to it. */
static void
test_reset_during_upload (void)
{
  expect_cut (EARLY_RESET);
  expect_cut (EARLY_CLOSE);
  expect_cut (EARLY_READ_CLOSE);
  expect_cut (EARLY_READ_RESET);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/upstream-http-answers/status-zero", test_status_zero);
  g_test_add_func ("/upstream-http-answers/status-range", test_status_range);
  g_test_add_func ("/upstream-http-answers/status-interim",
                   test_status_interim);
  g_test_add_func ("/upstream-http-answers/status-digits", test_status_digits);
  g_test_add_func ("/upstream-http-answers/status-after-continue",
                   test_status_after_continue);
  g_test_add_func ("/upstream-http-answers/status-nul", test_status_nul);
  g_test_add_func ("/upstream-http-answers/valid-after-continue",
                   test_valid_after_continue);
  g_test_add_func ("/upstream-http-answers/blank-in-name", test_blank_in_name);
  g_test_add_func ("/upstream-http-answers/control-byte-in-name",
                   test_control_byte_in_name);
  g_test_add_func ("/upstream-http-answers/blank-in-framing",
                   test_blank_in_framing);
  g_test_add_func ("/upstream-http-answers/not-broken-off",
                   test_not_broken_off);
  g_test_add_func ("/upstream-http-answers/valid", test_valid);
  g_test_add_func ("/upstream-http-answers/reset-during-upload",
                   test_reset_during_upload);
  return g_test_run ();
}
