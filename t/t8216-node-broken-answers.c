/*
 * Broken answers to an entry instance of the platform that runs as a real
 * process, from a stand-in for an upstream. Each round has an upstream and a
 * request of its own, so that no round is affected by the one before.
 */
#include <event2/event.h>
#include <glib.h>
#include <string.h>

#include "lib-caller.h"
#include "lib-early-answer.h"
#include "lib-nodes.h"
#include "lib-wait.h"

#define ROUNDS 8
/** More than the buffers of a connection take while nothing is read. */
#define UPLOAD_BYTES  (3u * 1024 * 1024 + 512 * 1024)
#define RETRY_MS      100
#define DEADLINE_TEXT "8000"

#define MARK        NODES_FIELD_ID ": r\r\n" NODES_FIELD_SIGNATURE ": s.1\r\n"
#define SIGNED_HEAD "HTTP/1.1 200 OK\r\n" MARK

typedef struct
{
  struct event_base *base;
  nodes_t *nodes;
  int rounds;
} rig_t;

/** The processes that all cases share. */
static rig_t shared;

static rig_t *
get_rig (void)
{
  nodes_options_t options = { .version = 5, .has_all_kinds = true };

  if (shared.nodes == NULL)
    shared = (rig_t){ .base = event_base_new (),
                      .nodes = nodes_new_with (&options) };
  return &shared;
}

static void
announce (rig_t *rig, const char *address, bool is_leaving)
{
  char *id = g_strdup_printf ("i-%d", rig->rounds);
  nodes_announcement_t announcement = { .id = id,
                                        .service = "s",
                                        .address = address,
                                        .slots = 4,
                                        .sequence = is_leaving ? 2 : 1,
                                        .is_leaving = is_leaving };

  g_assert_cmpint (nodes_announce (rig->nodes, 0, &announcement), ==, 200);
  g_free (id);
}

static char *
make_request (const rig_t *rig, const char *route, size_t body_bytes)
{
  char *body = g_strnfill (body_bytes, 'u');
  char *request = g_strdup_printf (
      "POST /%s/%d HTTP/1.1\r\nHost: %s\r\n" NODES_FIELD_ID
      ": r\r\n" NODES_FIELD_DEADLINE ": " DEADLINE_TEXT
      "\r\nContent-Length: %zu\r\n\r\n%s",
      route, rig->rounds, rig->nodes->ip[NODES_ENTRY], body_bytes, body);

  g_free (body);
  return request;
}

/** Sends more of a request and reads more of its answer. Returns whether the
 * connection has ended or the answer contains a text. */
static bool
go_on (caller_t *caller, const char **rest, const char *expected)
{
  *rest += caller_send (caller, *rest, strlen (*rest));
  caller_read (caller);
  return caller->has_end || caller->was_reset
         || strstr (caller->answer->str, expected) != NULL;
}

/** Sends a request until it has reached the upstream, and returns the answer,
 * which ends with its connection or with a text. */
static char *
call (rig_t *rig,
      early_answer_t *upstream,
      const char *request,
      const char *expected)
{
  struct event_base *base = rig->base;
  char *address = nodes_address (rig->nodes, NODES_ENTRY, 3);
  char *answer = NULL;

  do
    {
      caller_t *caller = caller_new (address);
      const char *rest = request;
      uint64_t until_ms = clock_mono_ms () + RETRY_MS;

      g_free (answer);
      WAIT (go_on (caller, &rest, "HTTP/1.1 "));
      WAIT (go_on (caller, &rest, expected)
            || (upstream->requests == 0 && clock_mono_ms () >= until_ms));
      answer = g_strdup (caller->answer->str);
      caller_free (caller);
    }
  while (upstream->requests == 0);
  g_free (address);
  return answer;
}

/** Plays a round and returns the caller's answer. */
static char *
play (const early_answer_t *model,
      const char *route,
      size_t body_bytes,
      const char *expected)
{
  rig_t *rig = get_rig ();
  early_answer_t upstream = *model;
  char *request;
  char *answer;

  rig->rounds++;
  request = make_request (rig, route, body_bytes);
  early_answer_start (&upstream, rig->base);
  announce (rig, upstream.address, false);
  answer = call (rig, &upstream, request, expected);
  g_assert_cmpuint (upstream.requests, ==, 1);
  announce (rig, upstream.address, true);
  early_answer_stop (&upstream);
  g_free (request);
  return answer;
}

/** Expects that no caller gets a part of the upstream's answer. */
static void
expect_broken (const early_answer_t *model, size_t body_bytes)
{
  for (int i = 0; i < ROUNDS; i++)
    {
      char *answer = play (model, "unsafe", body_bytes, "HTTP/1.1 502 ");

      g_assert_nonnull (strstr (answer, "HTTP/1.1 502 "));
      g_assert_null (strstr (answer, "part"));
      g_free (answer);
    }
}

static void
test_reset_later (void)
{
  expect_broken (&(early_answer_t){ .text = SIGNED_HEAD "\r\npart",
                                    .delay_ms = 300,
                                    .end = EARLY_RESET },
                 UPLOAD_BYTES);
}

static void
test_close_unread (void)
{
  expect_broken (&(early_answer_t){ .text = SIGNED_HEAD "\r\npart",
                                    .delay_ms = 300,
                                    .end = EARLY_CLOSE },
                 UPLOAD_BYTES);
}

static void
test_half_close_reset (void)
{
  expect_broken (&(early_answer_t){ .text = SIGNED_HEAD "\r\npart",
                                    .delay_ms = 300,
                                    .end = EARLY_HALF_RESET },
                 UPLOAD_BYTES);
}

static void
test_half_close (void)
{
  for (int i = 0; i < ROUNDS; i++)
    {
      char *answer = play (&(early_answer_t){ .text = SIGNED_HEAD "\r\npart",
                                              .delay_ms = 300,
                                              .end = EARLY_HALF_CLOSE },
                           "unsafe", UPLOAD_BYTES, "\r\n\r\npart");

      g_assert_nonnull (strstr (answer, "HTTP/1.1 200 "));
      g_assert_true (g_str_has_suffix (answer, "\r\n\r\npart"));
      g_free (answer);
    }
}

/** A stream that has begun ends without the mark of its end. */
static void
test_stream (void)
{
  static const char event[] = "id: 1\ndata: part\n\n";

  for (int i = 0; i < ROUNDS; i++)
    {
      char *answer = play (
          &(early_answer_t){ .text = SIGNED_HEAD "\r\nid: 1\ndata: part\n\n",
                             .delay_ms = 300,
                             .end = EARLY_RESET },
          "stream", UPLOAD_BYTES, "\r\n0\r\n");

      g_assert_null (strstr (answer, "\r\n0\r\n"));
      g_assert_nonnull (strstr (answer, event));
      g_free (answer);
    }
}

static void
test_status (void)
{
  static const char *const lines[]
      = { "HTTP/1.1 000 None\r\n", "HTTP/1.1 0200 OK\r\n",
          "HTTP/1.1 101 Switching Protocols\r\n", "HTTP/1.1 999 x\r\n" };

  for (size_t i = 0; i < G_N_ELEMENTS (lines); i++)
    {
      char *text = g_strconcat (lines[i], MARK "\r\npart", NULL);

      expect_broken (&(early_answer_t){ .text = text, .end = EARLY_CLOSE }, 5);
      expect_broken (&(early_answer_t){ .text = text, .end = EARLY_HALF_CLOSE },
                     5);
      g_free (text);
    }
}

static void
test_field_names (void)
{
  static const char *const lines[]
      = { "Bad Name: x\r\n", "Content-Length : 4\r\n", " Name: x\r\n",
          "Na\001me: x\r\n" };

  for (size_t i = 0; i < G_N_ELEMENTS (lines); i++)
    {
      char *text = g_strconcat ("HTTP/1.1 200 OK\r\n", lines[i],
                                MARK "\r\npart", NULL);

      expect_broken (&(early_answer_t){ .text = text, .end = EARLY_HALF_CLOSE },
                     5);
      g_free (text);
    }
}

static void
tear_down (void)
{
  if (shared.nodes == NULL)
    return;
  nodes_free (shared.nodes);
  event_base_free (shared.base);
}

int
main (int argc, char **argv)
{
  int code;

  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/node-broken-answers/reset-later", test_reset_later);
  g_test_add_func ("/node-broken-answers/close-unread", test_close_unread);
  g_test_add_func ("/node-broken-answers/half-close-reset",
                   test_half_close_reset);
  g_test_add_func ("/node-broken-answers/half-close", test_half_close);
  g_test_add_func ("/node-broken-answers/stream", test_stream);
  g_test_add_func ("/node-broken-answers/status", test_status);
  g_test_add_func ("/node-broken-answers/field-names", test_field_names);
  code = g_test_run ();
  tear_down ();
  return code;
}
