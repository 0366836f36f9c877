/*
 * Answers that an entry instance fetches from another one, their owner, when
 * they are not valid.
 */
#include <event2/event.h>
#include <event2/http.h>
#include <glib.h>
#include <stdio.h>
#include <string.h>
#include <talloc.h>

#include "forward.h"
#include "lib-address.h"
#include "lib-caller.h"
#include "lib-scripted.h"
#include "lib-wait.h"

#define GET "GET /v1/requests/r HTTP/1.1\r\nHost: h\r\n\r\n"

/** An instance that forwards each request to a scripted owner. */
typedef struct
{
  struct event_base *base;
  struct evhttp *http;
  char address[32];
  scripted_t owner;
  bool is_closed;
} rig_t;

static void
on_forwarded (void *context)
{
  ((rig_t *)context)->is_closed = true;
}

static void
on_request (struct evhttp_request *http, void *context)
{
  rig_t *rig = context;
  forward_options_t options = { .base = rig->base,
                                .http = http,
                                .address = rig->owner.address,
                                .closed = on_forwarded,
                                .context = rig };

  forward_start (NULL, &options);
}

static void
set_up (rig_t *rig, const char *text)
{
  uint16_t port;

  *rig = (rig_t){ .base = event_base_new (),
                  .owner = { .act = ACT_TEXT_CUT, .text = text } };
  scripted_start (&rig->owner, rig->base);
  choose_free_address (rig->address);
  port = (uint16_t)strtoul (strchr (rig->address, ':') + 1, NULL, 10);
  rig->http = evhttp_new (rig->base);
  evhttp_set_gencb (rig->http, on_request, rig);
  g_assert_cmpint (evhttp_bind_socket (rig->http, "127.0.0.1", port), ==, 0);
}

static void
tear_down (rig_t *rig)
{
  evhttp_free (rig->http);
  scripted_stop (&rig->owner);
  event_base_loop (rig->base, EVLOOP_NONBLOCK);
  event_base_loop (rig->base, EVLOOP_NONBLOCK);
  event_base_free (rig->base);
}

/** Forwards a request to an owner that sends @a text. Expects the caller's
 * answer to contain a text, and "evil" only if that is allowed. */
static void
expect_answer (const char *text, const char *expected, bool may_be_evil)
{
  rig_t rig;
  struct event_base *base;
  caller_t *caller;

  g_test_message ("%s", text);
  set_up (&rig, text);
  base = rig.base;
  caller = caller_new (rig.address);
  caller_send (caller, GET, strlen (GET));
  WAIT (caller_has_text (caller, expected) && rig.is_closed);
  caller_read (caller);
  g_assert_true (may_be_evil || strstr (caller->answer->str, "evil") == NULL);
  caller_free (caller);
  event_base_loop (rig.base, EVLOOP_NONBLOCK);
  tear_down (&rig);
}

static void
expect_invalid (const char *head)
{
  char *with_length = g_strconcat (head, "Content-Length: 4\r\n\r\nevil", NULL);
  char *without = g_strconcat (head, "\r\nevil", NULL);

  expect_answer (with_length, "HTTP/1.1 503 ", false);
  expect_answer (without, "HTTP/1.1 503 ", false);
  g_free (with_length);
  g_free (without);
}

/* Guards against: callers get an answer whose status does not exist. */
static void
test_status (void)
{
  static const char *const heads[]
      = { "HTTP/1.1 000 None\r\n", "HTTP/1.1 001 x\r\n",  "HTTP/1.1 099 x\r\n",
          "HTTP/1.1 101 x\r\n",    "HTTP/1.1 103 x\r\n",  "HTTP/1.1 600 x\r\n",
          "HTTP/1.1 0200 OK\r\n",  "HTTP/1.1 200x OK\r\n" };

  for (size_t i = 0; i < G_N_ELEMENTS (heads); i++)
    expect_invalid (heads[i]);
}

/* Guards against: callers get an answer in whose head a name holds a blank or a
 * control byte. */
static void
test_field_names (void)
{
  static const char *const heads[]
      = { "HTTP/1.1 200 OK\r\nBad Name: x\r\n",
          "HTTP/1.1 200 OK\r\nContent-Length : 4\r\n",
          "HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n",
          "HTTP/1.1 200 OK\r\nNa\001me: x\r\n" };

  for (size_t i = 0; i < G_N_ELEMENTS (heads); i++)
    expect_invalid (heads[i]);
}

static void
test_valid (void)
{
  expect_answer ("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nevil", "evil",
                 true);
  expect_answer ("HTTP/1.1 404 Not Found\r\n\r\nevil", "evil", true);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/forward-answers/status", test_status);
  g_test_add_func ("/forward-answers/field-names", test_field_names);
  g_test_add_func ("/forward-answers/valid", test_valid);
  return g_test_run ();
}
