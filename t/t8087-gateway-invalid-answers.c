/*
 * Upstreams in trouble whose bytes look like an answer, but are not one. No
 * caller may get them: the request goes to another upstream if it may run
 * again, or is answered by the gateway.
 */
#include <event2/event.h>
#include <glib.h>
#include <string.h>

#include "lib-gateway.h"
#include "logging.h"

#define MARK        "X-Signed: 1\r\nX-Id: r1\r\n"
#define SIGNED_HEAD "HTTP/1.1 200 OK\r\n" MARK
#define WITH_LENGTH MARK "Content-Length: 4\r\n\r\nevil"
#define WITHOUT     MARK "\r\nevil"

static gateway_fixture_t *
make_fixture (act_t act, const char *text)
{
  gateway_fixture_t *fixture = gateway_fixture_ready (act, ACT_ANSWER);

  fixture->upstreams[0].text = text;
  return fixture;
}

/** A request that may run once is answered by the gateway. */
static void
expect_error (act_t act, const char *text, const char *request)
{
  gateway_fixture_t *fixture = make_fixture (act, text);

  gateway_fixture_call (fixture, request, "HTTP/1.1 502 ");
  g_assert_cmpuint (fixture->upstreams[0].requests, ==, 1);
  g_assert_cmpuint (fixture->upstreams[1].requests, ==, 0);
  g_assert_false (gateway_fixture_has_text (fixture, "evil"));
  gateway_fixture_free (fixture);
}

/** A request that may be repeated is answered by the other upstream. */
static void
expect_other_answer (act_t act, const char *text)
{
  gateway_fixture_t *fixture = make_fixture (act, text);

  gateway_fixture_call (fixture, GET ("/safe/"), "HTTP/1.1 200 ");
  g_assert_true (gateway_fixture_has_text (fixture, "\r\n\r\nbody"));
  g_assert_cmpuint (fixture->upstreams[0].requests, ==, 1);
  gateway_fixture_free (fixture);
}

/** Sends an answer that stays open, and one that ends with its connection. */
static void
expect_invalid (const char *text)
{
  static const act_t acts[] = { ACT_TEXT, ACT_TEXT_CUT };

  g_test_message ("%s", text);
  for (size_t i = 0; i < G_N_ELEMENTS (acts); i++)
    {
      expect_error (acts[i], text, POST ("/unsafe/"));
      expect_error (acts[i], text, POST ("/once/"));
      expect_other_answer (acts[i], text);
    }
}

/* Guards against: callers get an answer whose status does not exist, or the one
 * that follows it on its connection. */
static void
test_status_zero (void)
{
  expect_invalid ("HTTP/1.1 000 None\r\n" WITHOUT);
  expect_invalid ("HTTP/1.1 000 None\r\n" WITH_LENGTH);
  expect_invalid ("HTTP/1.1 000 None\r\n" MARK "Content-Length: 0\r\n\r\n"
                  "HTTP/1.1 200 OK\r\n" WITH_LENGTH);
}

static void
test_status_range (void)
{
  expect_invalid ("HTTP/1.1 001 x\r\n" WITHOUT);
  expect_invalid ("HTTP/1.1 099 x\r\n" WITHOUT);
  expect_invalid ("HTTP/1.1 600 x\r\n" WITH_LENGTH);
  expect_invalid ("HTTP/1.1 999 x\r\n" WITH_LENGTH);
}

static void
test_status_digits (void)
{
  expect_invalid ("HTTP/1.1 20 x\r\n" WITHOUT);
  expect_invalid ("HTTP/1.1 0200 OK\r\n" WITH_LENGTH);
  expect_invalid ("HTTP/1.1 2000 OK\r\n" WITH_LENGTH);
  expect_invalid ("HTTP/1.1 -200 OK\r\n" WITH_LENGTH);
}

/** Nobody has asked the upstream to switch protocols. */
static void
test_switched_protocols (void)
{
  expect_invalid ("HTTP/1.1 101 Switching Protocols\r\n" MARK
                  "Connection: upgrade\r\nUpgrade: x\r\n\r\nevil");
  expect_invalid ("HTTP/1.1 101 Switching Protocols\r\n" WITH_LENGTH);
}

/** Interim answers are not passed on, and the answer after them is. */
static void
test_interim (void)
{
  gateway_fixture_t *fixture
      = make_fixture (ACT_TEXT, "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n"
                                "HTTP/1.1 100 Continue\r\n\r\n" SIGNED_HEAD
                                "Content-Length: 4\r\n\r\ngood");

  gateway_fixture_call (fixture, POST ("/unsafe/"), "HTTP/1.1 200 ");
  g_assert_true (gateway_fixture_has_text (fixture, "\r\n\r\ngood"));
  g_assert_false (gateway_fixture_has_text (fixture, "Link"));
  gateway_fixture_free (fixture);
}

/* Guards against: the body that an interim answer names, though it has none, is
 * put before the body of the answer that follows. */
static void
test_interim_body (void)
{
  expect_invalid ("HTTP/1.1 103 Early Hints\r\nContent-Length: 4\r\n\r\nevil"
                  "HTTP/1.1 200 OK\r\n" WITH_LENGTH);
  expect_invalid ("HTTP/1.1 103 x\r\nTransfer-Encoding: chunked\r\n\r\n"
                  "4\r\nevil\r\n0\r\n\r\n"
                  "HTTP/1.1 200 OK\r\n" WITH_LENGTH);
}

/* Guards against: callers get an answer with a line whose name is not valid, or
 * with a body that is not the upstream's. */
static void
test_blank_in_name (void)
{
  expect_invalid ("HTTP/1.1 200 OK\r\nBad Name: x\r\n" WITH_LENGTH);
  expect_invalid ("HTTP/1.1 200 OK\r\nName : x\r\n" WITH_LENGTH);
  expect_invalid ("HTTP/1.1 200 OK\r\n Name: x\r\n" WITH_LENGTH);
}

static void
test_blank_in_framing (void)
{
  expect_invalid (SIGNED_HEAD "Content-Length : 4\r\n\r\nevil");
  expect_invalid (SIGNED_HEAD "Content Length: 4\r\n\r\nevil");
  expect_invalid (SIGNED_HEAD "Transfer-Encoding : chunked\r\n\r\n"
                              "4\r\nevil\r\n0\r\n\r\n");
}

static void
test_control_byte_in_name (void)
{
  static const char bytes[] = { '\t', '\001', '\177', '\200', '\r', '(' };

  for (size_t i = 0; i < sizeof bytes; i++)
    {
      char *text = g_strdup_printf (
          "HTTP/1.1 200 OK\r\nNa%cme: x\r\n" WITH_LENGTH, bytes[i]);

      expect_invalid (text);
      g_free (text);
    }
  expect_invalid ("HTTP/1.1 200 OK\r\n: x\r\n" WITH_LENGTH);
  expect_invalid ("HTTP/1.1 200 OK\r\nno colon\r\n" WITH_LENGTH);
}

/** A trailer is not passed on, whatever the names in it. */
static void
test_name_in_trailer (void)
{
  gateway_fixture_t *fixture = make_fixture (
      ACT_TEXT, SIGNED_HEAD "Transfer-Encoding: chunked\r\n\r\n"
                            "4\r\ngood\r\n0\r\nBad Name: x\r\n\r\n");

  gateway_fixture_call (fixture, POST ("/unsafe/"), "HTTP/1.1 200 ");
  g_assert_true (gateway_fixture_has_text (fixture, "\r\n\r\ngood"));
  g_assert_false (gateway_fixture_has_text (fixture, "Bad Name"));
  gateway_fixture_free (fixture);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  base_init ("t8087-gateway-invalid-answers");
  logging_init (LOGGING_ERROR);
  g_test_add_func ("/invalid-answers/status-zero", test_status_zero);
  g_test_add_func ("/invalid-answers/status-range", test_status_range);
  g_test_add_func ("/invalid-answers/status-digits", test_status_digits);
  g_test_add_func ("/invalid-answers/switched-protocols",
                   test_switched_protocols);
  g_test_add_func ("/invalid-answers/interim", test_interim);
  g_test_add_func ("/invalid-answers/interim-body", test_interim_body);
  g_test_add_func ("/invalid-answers/blank-in-name", test_blank_in_name);
  g_test_add_func ("/invalid-answers/blank-in-framing", test_blank_in_framing);
  g_test_add_func ("/invalid-answers/control-byte-in-name",
                   test_control_byte_in_name);
  g_test_add_func ("/invalid-answers/name-in-trailer", test_name_in_trailer);
  return g_test_run ();
}
