/*
 * Requests on which upstreams crash, through a gateway: which of them are sent,
 * and what their callers are told.
 */
#include <event2/event.h>
#include <glib.h>
#include <stdio.h>

#include "lib-gateway.h"
#include "logging.h"

#define SOUND                                                                  \
  "POST /stream/a HTTP/1.1\r\nHost: h\r\nX-Id: r1\r\nX-Parts: 1\r\n"           \
  "Content-Length: 0\r\n\r\n"
#define DEADLY                                                                 \
  "POST /stream/a HTTP/1.1\r\nHost: h\r\nX-Id: r1\r\nX-Parts: 12\r\n"          \
  "Content-Length: 0\r\n\r\n"

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
  expect_answer (fixture, DEADLY, "HTTP/1.1 502");
  g_assert_cmpuint (gateway_fixture_requests (fixture), ==, sent + 2);
  restart_upstreams (fixture);
  /* Not sent again any more. */
  expect_answer (fixture, DEADLY, "HTTP/1.1 502");
  g_assert_cmpuint (gateway_fixture_requests (fixture), ==, sent + 3);
  restart_upstreams (fixture);
  set_act (fixture, ACT_STREAM);
  for (int i = 0; i < 3; i++)
    {
      expect_answer (fixture, DEADLY, "HTTP/1.1 503");
      g_assert_true (gateway_fixture_has_text (fixture, "quarantined"));
      g_assert_true (gateway_fixture_has_text (fixture, "Retry-After:"));
    }
  g_assert_cmpuint (gateway_fixture_requests (fixture), ==, sent + 3);
  expect_answer (fixture, SOUND, "HTTP/1.1 200");
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
  return g_test_run ();
}
