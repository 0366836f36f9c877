/*
 * Requests on which upstreams crash, through a gateway: which of them are sent,
 * and what their callers are told.
 */
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <glib.h>
#include <stdio.h>
#include <sys/socket.h>

#include "lib-gateway.h"
#include "logging.h"

#define SOUND                                                                  \
  "POST /stream/a HTTP/1.1\r\nHost: h\r\nX-Id: r1\r\nX-Parts: 1\r\n"           \
  "Content-Length: 5\r\n\r\nsound"
/** A request with a deadly part, whose body is that of no other. */
#define DEADLY(number)                                                         \
  "POST /stream/a HTTP/1.1\r\nHost: h\r\nX-Id: r1\r\nX-Parts: 12\r\n"          \
  "Content-Length: 7\r\n\r\ndeadly" number
#define KEYED(path)                                                            \
  "GET " path " HTTP/1.1\r\nHost: h\r\nX-Id: r1\r\nX-Key: secret\r\n\r\n"
#define CHUNKED(path)                                                          \
  "POST " path " HTTP/1.1\r\nHost: h\r\nX-Id: r1\r\n"                          \
  "Transfer-Encoding: chunked\r\n\r\n2\r\nhe\r\n3\r\nllo\r\n0\r\n\r\n"
#define OTHER_BODY(path)                                                       \
  "POST " path " HTTP/1.1\r\nHost: h\r\nX-Id: r1\r\n"                          \
  "Content-Length: 5\r\n\r\nother"
#define HEAD "HTTP/1.1 200 OK\r\nX-Signed: 1\r\n"

static void
set_act (gateway_fixture_t *fixture, act_t act)
{
  for (int i = 0; i < GATEWAY_UPSTREAMS; i++)
    fixture->upstreams[i].act = act;
}

/** Both upstreams come back after a crash, as new incarnations. */
static void
restart_upstreams (gateway_fixture_t *fixture)
{
  static uint64_t born_ms = 1000;

  born_ms++;
  for (int i = 0; i < GATEWAY_UPSTREAMS; i++)
    {
      char id[32];
      directory_statement_t said = { .id = id,
                                     .address = fixture->upstreams[i].address,
                                     .zone = "z",
                                     .service = "s",
                                     .born_ms = born_ms,
                                     .sequence = 1,
                                     .slots = 4 };

      snprintf (id, sizeof id, "u%d-%ju", i, (uintmax_t)born_ms);
      directory_put (fixture->directory, &said, clock_mono_ms ());
    }
  gateway_set_directory (fixture->gateway, fixture->directory);
}

static void
expect_answer (gateway_fixture_t *fixture,
               const char *request,
               const char *expected)
{
  gateway_fixture_send (fixture, request);
  GATEWAY_WAIT (gateway_fixture_has_text (fixture, expected));
  GATEWAY_WAIT (gateway_open_requests (fixture->gateway) == 0);
}

/** A request is refused as quarantined, and is not sent. */
static void
expect_quarantined (gateway_fixture_t *fixture, const char *request)
{
  uint32_t sent = gateway_fixture_requests (fixture);

  expect_answer (fixture, request, "HTTP/1.1 503");
  g_assert_true (gateway_fixture_has_text (fixture, "quarantined"));
  g_assert_true (gateway_fixture_has_text (fixture, "Retry-After:"));
  g_assert_cmpuint (gateway_fixture_requests (fixture), ==, sent);
}

/* Guards against: requests of one kind that crash upstreams one after the other
 * (BUDGET), an answer that says that such a request has not run when it has,
 * and sound requests that are refused with them (LOST). */
static void
test_deadly_requests_are_refused (void)
{
  gateway_fixture_t *fixture = gateway_fixture_ready (ACT_STREAM, ACT_STREAM);
  uint32_t sent;

  expect_answer (fixture, SOUND, "HTTP/1.1 200");
  set_act (fixture, ACT_CLOSE);
  sent = gateway_fixture_requests (fixture);
  /* Sent again once, because one crash shows nothing yet. */
  expect_answer (fixture, DEADLY ("1"), "HTTP/1.1 502");
  g_assert_cmpuint (gateway_fixture_requests (fixture), ==, sent + 2);
  restart_upstreams (fixture);
  /* Not sent again any more. */
  expect_answer (fixture, DEADLY ("2"), "HTTP/1.1 502");
  g_assert_cmpuint (gateway_fixture_requests (fixture), ==, sent + 3);
  restart_upstreams (fixture);
  set_act (fixture, ACT_STREAM);
  expect_quarantined (fixture, DEADLY ("3"));
  expect_quarantined (fixture, DEADLY ("3"));
  expect_quarantined (fixture, DEADLY ("4"));
  g_assert_cmpuint (gateway_fixture_requests (fixture), ==, sent + 3);
  expect_answer (fixture, SOUND, "HTTP/1.1 200");
  gateway_fixture_free (fixture);
}

/* Guards against: a part on which upstreams crash just after the first event,
 * which is taken for sound each time and never held back (BUDGET). */
static void
test_deadly_part_after_first_event (void)
{
  gateway_fixture_t *fixture = gateway_fixture_ready (ACT_STREAM, ACT_STREAM);

  expect_answer (fixture, SOUND, "HTTP/1.1 200");
  set_act (fixture, ACT_STREAM_CUT);
  expect_answer (fixture, DEADLY ("1"), "HTTP/1.1 200");
  restart_upstreams (fixture);
  expect_answer (fixture, DEADLY ("2"), "HTTP/1.1 200");
  restart_upstreams (fixture);
  expect_answer (fixture, DEADLY ("3"), "HTTP/1.1 200");
  restart_upstreams (fixture);
  set_act (fixture, ACT_STREAM);
  expect_quarantined (fixture, DEADLY ("4"));
  expect_answer (fixture, SOUND, "HTTP/1.1 200");
  gateway_fixture_free (fixture);
}

/** How upstreams end while they run a request. */
typedef struct
{
  act_t act;
  const char *text;
} crash_t;

static void
set_crash (gateway_fixture_t *fixture, const crash_t *crash)
{
  set_act (fixture, crash->act);
  for (int i = 0; i < GATEWAY_UPSTREAMS; i++)
    fixture->upstreams[i].text = crash->text;
}

/** Sends a request until upstreams have ended three times while they ran it;
 * sound ones are served in between. */
static void
crash_three (gateway_fixture_t *fixture,
             const char *request,
             const crash_t *crash,
             const char *expected)
{
  uint32_t runs = 0;

  while (runs < 3)
    {
      uint32_t sent = gateway_fixture_requests (fixture);

      set_crash (fixture, crash);
      expect_answer (fixture, request, expected);
      runs += gateway_fixture_requests (fixture) - sent;
      restart_upstreams (fixture);
      set_act (fixture, ACT_ANSWER);
      expect_answer (fixture, GET ("/safe/sound"), "HTTP/1.1 200");
    }
  g_assert_cmpuint (runs, ==, 3);
}

/** A request that crashes upstreams is sent three times, and others are
 * served. */
static void
expect_three_runs (const char *request,
                   act_t act,
                   const char *text,
                   const char *expected)
{
  gateway_fixture_t *fixture = gateway_fixture_ready (ACT_ANSWER, ACT_ANSWER);
  crash_t crash = { act, text };

  crash_three (fixture, request, &crash, expected);
  for (int i = 0; i < 3; i++)
    {
      expect_quarantined (fixture, request);
      expect_answer (fixture, GET ("/safe/sound"), "HTTP/1.1 200");
    }
  g_assert_true (gateway_fixture_metrics_have (
      fixture, "lwm_quarantine_blocked_requests_total 1"));
  gateway_fixture_free (fixture);
}

/* Guards against: a request without a prompt that crashes each upstream to
 * which it is sent (BUDGET), at whatever time of its answer. */
static void
test_crash_before_head (void)
{
  expect_three_runs (GET ("/safe/a"), ACT_CLOSE, NULL, "HTTP/1.1 502");
}

/* Guards against: crashes within a head that do not count (BUDGET). */
static void
test_crash_within_head (void)
{
  expect_three_runs (GET ("/safe/a"), ACT_TEXT_CUT, "HTTP/1.1 200 OK\r\nX-Si",
                     "HTTP/1.1 502");
}

/* Guards against: crashes within a body that do not count (BUDGET). */
static void
test_crash_within_body (void)
{
  expect_three_runs (GET ("/safe/a"), ACT_TEXT_CUT,
                     HEAD "Content-Length: 100\r\n\r\nhalf", "HTTP/1.1 502");
}

/* Guards against: crashes within a stream that do not count because its events
 * began (BUDGET). */
static void
test_crash_within_stream (void)
{
  expect_three_runs (POST ("/once/a"), ACT_TEXT_CUT,
                     HEAD "Transfer-Encoding: chunked\r\n\r\n"
                          "f\r\nid: 1\ndata: x\n\n\r\n",
                     "data: x");
}

/* Guards against: a stream without a length that ends with its upstream, which
 * does not count (BUDGET). */
static void
test_crash_within_stream_without_length (void)
{
  expect_three_runs (POST ("/once/a"), ACT_TEXT_CUT,
                     HEAD "\r\nid: 1\ndata: x\n\nid: 2\nda", "data: x");
}

/* Guards against: crashes that do not count because the connection is reset, as
 * when unread bytes are left (BUDGET). */
static void
test_crash_resets_connection (void)
{
  expect_three_runs (POST ("/unsafe/a"), ACT_STREAM_CUT, NULL, "HTTP/1.1 502");
}

/* Guards against: crashes on requests that are not repeated, which do not count
 * as there is no retry (BUDGET). */
static void
test_crash_on_unsafe_call (void)
{
  expect_three_runs (POST ("/unsafe/a"), ACT_CLOSE, NULL, "HTTP/1.1 502");
}

/* Guards against: requests that are refused because they share the path with
 * one that crashes upstreams (LOST), and one that is not recognized because its
 * body arrives in chunks (BUDGET). */
static void
test_same_path (void)
{
  gateway_fixture_t *fixture = gateway_fixture_ready (ACT_ANSWER, ACT_ANSWER);
  crash_t crash = { .act = ACT_CLOSE };

  crash_three (fixture, POST ("/unsafe/a"), &crash, "HTTP/1.1 502");
  expect_quarantined (fixture, POST ("/unsafe/a"));
  expect_quarantined (fixture, CHUNKED ("/unsafe/a"));
  expect_answer (fixture, OTHER_BODY ("/unsafe/a"), "HTTP/1.1 200");
  expect_answer (fixture, GET ("/unsafe/a"), "HTTP/1.1 200");
  expect_answer (fixture, POST ("/unsafe/a?b"), "HTTP/1.1 200");
  crash_three (fixture, GET ("/safe/b"), &crash, "HTTP/1.1 502");
  expect_quarantined (fixture, GET ("/safe/b"));
  expect_answer (fixture, KEYED ("/safe/b"), "HTTP/1.1 200");
  gateway_fixture_free (fixture);
}

/* Guards against: a request that is refused although it was answered in between
 * (LOST), and one that is sent on because upstreams refused it unread
 * (BUDGET). */
static void
test_answers_in_between (void)
{
  gateway_fixture_t *fixture = gateway_fixture_ready (ACT_ANSWER, ACT_ANSWER);
  crash_t crash = { .act = ACT_CLOSE };

  for (int i = 0; i < 3; i++)
    {
      set_crash (fixture, &crash);
      expect_answer (fixture, GET ("/safe/a"), "HTTP/1.1 502");
      restart_upstreams (fixture);
      set_act (fixture, ACT_ANSWER);
      expect_answer (fixture, GET ("/safe/a"), "HTTP/1.1 200");
    }
  for (int i = 0; i < 3; i++)
    {
      set_crash (fixture, &crash);
      expect_answer (fixture, POST ("/unsafe/a"), "HTTP/1.1 502");
      restart_upstreams (fixture);
      set_act (fixture, ACT_NOT_RUN);
      expect_answer (fixture, POST ("/unsafe/a"), "HTTP/1.1 503");
      restart_upstreams (fixture);
    }
  set_act (fixture, ACT_ANSWER);
  expect_quarantined (fixture, POST ("/unsafe/a"));
  gateway_fixture_free (fixture);
}

/** Sends a request often to upstreams that do not crash on it. */
static void
expect_no_crash (const char *text)
{
  gateway_fixture_t *fixture = gateway_fixture_ready (ACT_ANSWER, ACT_ANSWER);
  crash_t end = { ACT_TEXT_CUT, text };

  for (int i = 0; i < 5; i++)
    {
      set_crash (fixture, &end);
      expect_answer (fixture, POST ("/unsafe/a"), "HTTP/1.1 502");
      restart_upstreams (fixture);
    }
  set_act (fixture, ACT_ANSWER);
  expect_answer (fixture, POST ("/unsafe/a"), "HTTP/1.1 200");
  gateway_fixture_free (fixture);
}

/* Guards against: a request that is refused because upstreams that leave broke
 * it off (LOST). */
static void
test_leaving_upstream_is_no_crash (void)
{
  expect_no_crash (HEAD "X-Leaving: 1\r\nContent-Length: 100\r\n\r\nhalf");
}

/* Guards against: a request that is refused because of invalid answers, which
 * show no crash (LOST). */
static void
test_invalid_answer_is_no_crash (void)
{
  expect_no_crash ("no answer\r\n\r\n");
}

/** Announces that an upstream leaves. */
static void
announce_leave (gateway_fixture_t *fixture, const scripted_t *upstream)
{
  static const directory_services_t services;
  size_t count;
  const directory_entry_t *const *entries
      = directory_entries (fixture->directory, &count);

  for (size_t i = 0; i < count; i++)
    {
      directory_statement_t said = entries[i]->said;
      char *id;

      if (g_strcmp0 (said.address, upstream->address) != 0
          || directory_is_replaced (fixture->directory, entries[i], &services))
        continue;
      /* The strings of the entry are replaced. */
      id = g_strdup (said.id);
      said.id = id;
      said.address = upstream->address;
      said.zone = "z";
      said.service = "s";
      said.state = DIRECTORY_LEAVING;
      said.sequence++;
      directory_put (fixture->directory, &said, clock_mono_ms ());
      g_free (id);
      break;
    }
  gateway_set_directory (fixture->gateway, fixture->directory);
}

/* Guards against: a request that is refused because upstreams that had
 * announced that they leave broke it off (LOST). */
static void
test_announced_leave_is_no_crash (void)
{
  gateway_fixture_t *fixture = gateway_fixture_ready (ACT_ANSWER, ACT_ANSWER);

  for (int i = 0; i < 5; i++)
    {
      uint32_t before[GATEWAY_UPSTREAMS];
      scripted_t *upstream = fixture->upstreams;

      set_act (fixture, ACT_NO_ANSWER);
      for (int j = 0; j < GATEWAY_UPSTREAMS; j++)
        before[j] = fixture->upstreams[j].requests;
      gateway_fixture_send (fixture, POST ("/unsafe/a"));
      GATEWAY_WAIT (gateway_fixture_requests (fixture) > before[0] + before[1]);
      if (upstream->requests == before[0])
        upstream++;
      announce_leave (fixture, upstream);
      shutdown (bufferevent_getfd (upstream->latest), SHUT_RDWR);
      GATEWAY_WAIT (gateway_fixture_has_text (fixture, "HTTP/1.1 502"));
      restart_upstreams (fixture);
    }
  set_act (fixture, ACT_ANSWER);
  expect_answer (fixture, POST ("/unsafe/a"), "HTTP/1.1 200");
  gateway_fixture_free (fixture);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  base_init ("t8081-gateway-quarantine");
  logging_init (LOGGING_ERROR);
  g_test_add_func ("/gateway/deadly-requests-are-refused",
                   test_deadly_requests_are_refused);
  g_test_add_func ("/gateway/deadly-part-after-first-event",
                   test_deadly_part_after_first_event);
  g_test_add_func ("/gateway/crash-before-head", test_crash_before_head);
  g_test_add_func ("/gateway/crash-within-head", test_crash_within_head);
  g_test_add_func ("/gateway/crash-within-body", test_crash_within_body);
  g_test_add_func ("/gateway/crash-within-stream", test_crash_within_stream);
  g_test_add_func ("/gateway/crash-within-stream-without-length",
                   test_crash_within_stream_without_length);
  g_test_add_func ("/gateway/crash-resets-connection",
                   test_crash_resets_connection);
  g_test_add_func ("/gateway/crash-on-unsafe-call", test_crash_on_unsafe_call);
  g_test_add_func ("/gateway/same-path", test_same_path);
  g_test_add_func ("/gateway/answers-in-between", test_answers_in_between);
  g_test_add_func ("/gateway/leaving-upstream-is-no-crash",
                   test_leaving_upstream_is_no_crash);
  g_test_add_func ("/gateway/invalid-answer-is-no-crash",
                   test_invalid_answer_is_no_crash);
  g_test_add_func ("/gateway/announced-leave-is-no-crash",
                   test_announced_leave_is_no_crash);
  return g_test_run ();
}
