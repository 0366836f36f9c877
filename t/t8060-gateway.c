/*
 * Runs the gateway between callers and scripted upstreams on one event loop:
 * which requests are forwarded, held, retried, refused or never repeated.
 */
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#include "lib-gateway.h"
#include "logging.h"

static void
test_relay (void)
{
  gateway_fixture_t *fixture = gateway_fixture_ready (ACT_ANSWER, ACT_ANSWER);
  const char *sent;

  gateway_fixture_send (fixture, POST ("/unsafe/a?b=c"));
  GATEWAY_WAIT (gateway_fixture_has_text (fixture, "body"));
  sent = fixture->upstreams[0].last->str;
  g_assert_true (g_str_has_prefix (sent, "POST /unsafe/a?b=c HTTP/1.1\r\n"));
  g_assert_nonnull (strstr (sent, "X-Own: kept\r\n"));
  g_assert_nonnull (strstr (sent, "X-Upstream: u0\r\n"));
  g_assert_true (g_str_has_suffix (sent, "\r\n\r\nhello"));
  g_assert_true (gateway_fixture_has_text (fixture, "HTTP/1.1 200 OK\r\n"));
  g_assert_true (gateway_fixture_has_text (fixture, "X-Kept: v\r\n"));
  g_assert_true (gateway_fixture_has_text (fixture, "Content-Length: 4\r\n"));
  /* The same connection serves the next request. */
  gateway_fixture_send (fixture, GET ("/safe/"));
  GATEWAY_WAIT (gateway_fixture_has_text (fixture, "body"));
  g_assert_false (fixture->caller_closed);
  gateway_fixture_free (fixture);
}

static void
test_refusals (void)
{
  gateway_fixture_t *fixture = gateway_fixture_new ();

  gateway_fixture_send (fixture, GET ("/safe/"));
  GATEWAY_WAIT (gateway_fixture_has_text (fixture, "\r\n\r\n"));
  g_assert_true (gateway_fixture_has_text (fixture, "HTTP/1.1 503"));
  g_assert_true (gateway_fixture_has_text (fixture, "Retry-After:"));
  gateway_fixture_configure (fixture);
  gateway_fixture_send (fixture, GET ("/safe/"));
  GATEWAY_WAIT (gateway_fixture_has_text (fixture, "HTTP/1.1 503"));
  gateway_fixture_announce (fixture);
  gateway_fixture_send (fixture, GET ("/nowhere/"));
  GATEWAY_WAIT (gateway_fixture_has_text (fixture, "HTTP/1.1 404"));
  gateway_fixture_send (fixture, GET ("/keyed/"));
  GATEWAY_WAIT (gateway_fixture_has_text (fixture, "HTTP/1.1 401"));
  g_assert_cmpuint (gateway_fixture_requests (fixture), ==, 0);
  gateway_fixture_send (fixture,
                        "GET /keyed/ HTTP/1.1\r\nHost: h\r\nX-Key: secret\r\n"
                        "X-Id: r1\r\n\r\n");
  GATEWAY_WAIT (gateway_fixture_has_text (fixture, "body"));
  g_assert_nonnull (
      strstr (fixture->upstreams[0].last->str, "X-Customer: one\r\n"));
  g_assert_null (strstr (fixture->upstreams[0].last->str, "secret"));
  gateway_fixture_free (fixture);
}

/** A request to a newly started instance waits until it can be served. */
static void
test_early_request_waits (void)
{
  gateway_fixture_t *fixture = gateway_fixture_new ();

  fixture->upstreams[0].act = fixture->upstreams[1].act = ACT_ANSWER;
  gateway_fixture_send (fixture, GET ("/safe/"));
  GATEWAY_WAIT (gateway_open_requests (fixture->gateway) == 1);
  gateway_fixture_configure (fixture);
  g_assert_cmpuint (fixture->answer->len, ==, 0);
  gateway_fixture_announce (fixture);
  GATEWAY_WAIT (gateway_fixture_has_text (fixture, "body"));
  g_assert_true (gateway_fixture_has_text (fixture, "HTTP/1.1 200"));
  gateway_fixture_free (fixture);
}

/** After a restart of the control instances only few upstreams are known at
 * first: the waiting requests must not all be forwarded to these. */
static void
test_early_few_upstreams (void)
{
  gateway_fixture_t *fixture = gateway_fixture_new ();
  directory_statement_t said = { .id = "u1",
                                 .address = fixture->upstreams[1].address,
                                 .zone = "z",
                                 .service = "s",
                                 .sequence = 1,
                                 .slots = 4 };

  fixture->upstreams[0].act = fixture->upstreams[1].act = ACT_ANSWER;
  gateway_fixture_send (fixture, GET ("/safe/"));
  GATEWAY_WAIT (gateway_open_requests (fixture->gateway) == 1);
  for (int i = 0; i < 2; i++)
    {
      char id[16];

      snprintf (id, sizeof id, "before-%d", i);
      said.id = id;
      said.state = DIRECTORY_SILENT;
      directory_put (fixture->directory, &said, clock_mono_ms ());
    }
  said.id = "u1";
  said.state = DIRECTORY_READY;
  directory_put (fixture->directory, &said, clock_mono_ms ());
  gateway_set_directory (fixture->gateway, fixture->directory);
  gateway_fixture_configure (fixture);
  /* The other upstream, in the local zone, is now announced and takes it. */
  gateway_fixture_announce (fixture);
  GATEWAY_WAIT (gateway_fixture_has_text (fixture, "body"));
  g_assert_cmpuint (fixture->upstreams[1].requests, ==, 0);
  /* Once for the configuration and once for upstreams, not per announcement. */
  g_assert_true (
      gateway_fixture_metrics_have (fixture, "lwm_gateway_early_total 2\n"));
  gateway_fixture_free (fixture);
}

/** A waiting request whose caller disconnects is dropped. */
static void
test_waiting_caller_disconnects (void)
{
  gateway_fixture_t *fixture = gateway_fixture_new ();

  gateway_fixture_send (fixture, GET ("/safe/"));
  GATEWAY_WAIT (gateway_open_requests (fixture->gateway) == 1);
  bufferevent_free (fixture->caller);
  fixture->caller = NULL;
  GATEWAY_WAIT (gateway_open_requests (fixture->gateway) == 0);
  gateway_fixture_configure (fixture);
  gateway_fixture_announce (fixture);
  gateway_fixture_send (fixture, GET ("/safe/"));
  GATEWAY_WAIT (gateway_fixture_has_text (fixture, "body"));
  g_assert_cmpuint (gateway_fixture_requests (fixture), ==, 1);
  gateway_fixture_free (fixture);
}

/** A safe request is retried on another upstream after any failure. */
static void
test_safe_request_is_retried (void)
{
  static const act_t acts[]
      = { ACT_CLOSE, ACT_NOT_RUN, ACT_FAIL, ACT_FOREIGN, ACT_NO_ANSWER };

  for (size_t i = 0; i < G_N_ELEMENTS (acts); i++)
    {
      gateway_fixture_t *fixture = gateway_fixture_ready (acts[i], ACT_ANSWER);

      gateway_fixture_send (fixture, GET ("/safe/"));
      GATEWAY_WAIT (gateway_fixture_has_text (fixture, "body"));
      g_assert_true (gateway_fixture_has_text (fixture, "HTTP/1.1 200"));
      g_assert_cmpuint (fixture->upstreams[0].requests, ==, 1);
      g_assert_cmpuint (fixture->upstreams[1].requests, ==, 1);
      gateway_fixture_free (fixture);
    }
}

/** An unsafe request is not retried once it may have run. */
static void
test_unsafe_request_runs_once (void)
{
  static const struct
  {
    act_t act;
    const char *status;
    uint32_t requests;
  } cases[] = { { ACT_CLOSE, "HTTP/1.1 502", 1 },
                { ACT_FAIL, "HTTP/1.1 500 Sorry", 1 },
                { ACT_FOREIGN, "HTTP/1.1 502", 1 },
                { ACT_NOT_RUN, "HTTP/1.1 200", 2 } };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      gateway_fixture_t *fixture
          = gateway_fixture_ready (cases[i].act, ACT_ANSWER);

      gateway_fixture_send (fixture, POST ("/unsafe/"));
      GATEWAY_WAIT (gateway_fixture_has_text (fixture, "\r\n\r\n"));
      g_assert_true (gateway_fixture_has_text (fixture, cases[i].status));
      g_assert_cmpuint (gateway_fixture_requests (fixture), ==,
                        cases[i].requests);
      gateway_fixture_free (fixture);
    }
}

/** 503 guarantees that the request has not run; 502 guarantees nothing. */
static void
test_status_503_means_not_run (void)
{
  gateway_fixture_t *fixture = gateway_fixture_ready (ACT_NOT_RUN, ACT_NOT_RUN);

  gateway_fixture_send (fixture, POST ("/unsafe/"));
  GATEWAY_WAIT (gateway_fixture_has_text (fixture, "\r\n\r\n"));
  g_assert_true (gateway_fixture_has_text (fixture, "HTTP/1.1 503"));
  gateway_fixture_free (fixture);
  fixture = gateway_fixture_ready (ACT_CLOSE, ACT_NOT_RUN);
  gateway_fixture_send (fixture, GET ("/safe/"));
  GATEWAY_WAIT (gateway_fixture_has_text (fixture, "\r\n\r\n"));
  g_assert_true (gateway_fixture_has_text (fixture, "HTTP/1.1 502"));
  gateway_fixture_free (fixture);
}

/** Bytes that follow a complete answer are discarded. */
static void
test_extra_bytes (void)
{
  gateway_fixture_t *fixture = gateway_fixture_ready (ACT_EXTRA, ACT_ANSWER);

  gateway_fixture_send (fixture, GET ("/safe/"));
  GATEWAY_WAIT (gateway_fixture_has_text (fixture, "body"));
  fixture->upstreams[0].act = ACT_ANSWER;
  gateway_fixture_send (fixture, GET ("/safe/"));
  GATEWAY_WAIT (gateway_fixture_has_text (fixture, "body"));
  g_assert_false (gateway_fixture_has_text (fixture, "extra"));
  gateway_fixture_free (fixture);
}

/** A request that can never be served does not wait for upstreams. */
static void
test_early_refusals (void)
{
  gateway_fixture_t *fixture = gateway_fixture_new ();

  gateway_fixture_configure (fixture);
  gateway_fixture_send (fixture, GET ("/nowhere/"));
  GATEWAY_WAIT (gateway_fixture_has_text (fixture, "HTTP/1.1 404"));
  gateway_fixture_send (fixture, GET ("/keyed/"));
  GATEWAY_WAIT (gateway_fixture_has_text (fixture, "HTTP/1.1 401"));
  g_assert_true (
      gateway_fixture_metrics_have (fixture, "lwm_gateway_early_total 0\n"));
  gateway_fixture_free (fixture);
}

/** When a caller disconnects, the work on its request is aborted. */
static void
test_caller_disconnect_aborts_work (void)
{
  gateway_fixture_t *fixture
      = gateway_fixture_ready (ACT_NO_ANSWER, ACT_NO_ANSWER);

  gateway_fixture_send (fixture, POST ("/unsafe/"));
  GATEWAY_WAIT (fixture->upstreams[0].requests == 1);
  bufferevent_free (fixture->caller);
  fixture->caller = NULL;
  GATEWAY_WAIT (fixture->upstreams[0].closed == 1);
  g_assert_cmpuint (gateway_open_requests (fixture->gateway), ==, 0);
  gateway_fixture_free (fixture);
}

/** A draining gateway answers requests and then closes their connections. */
static void
test_drain (void)
{
  gateway_fixture_t *fixture = gateway_fixture_ready (ACT_ANSWER, ACT_ANSWER);

  gateway_drain (fixture->gateway, clock_mono_ms ());
  gateway_fixture_send (fixture, GET ("/safe/"));
  GATEWAY_WAIT (fixture->caller_closed);
  g_assert_true (gateway_fixture_has_text (fixture, "body"));
  g_assert_true (gateway_fixture_has_text (fixture, "Connection: close\r\n"));
  gateway_close (fixture->gateway);
  gateway_fixture_send (fixture, GET ("/safe/"));
  GATEWAY_WAIT (fixture->caller_closed);
  g_assert_cmpuint (fixture->answer->len, ==, 0);
  g_assert_cmpuint (gateway_fixture_requests (fixture), ==, 1);
  gateway_fixture_free (fixture);
}

/** A configuration whose number is not higher is ignored. */
static void
test_older_config_is_ignored (void)
{
  gateway_fixture_t *fixture = gateway_fixture_ready (ACT_ANSWER, ACT_ANSWER);
  gateway_config_t *older = gateway_config_new (NULL);

  older->number = 1;
  g_assert_null (gateway_config_finalize (older));
  gateway_set_config (fixture->gateway, older);
  gateway_fixture_send (fixture, GET ("/safe/"));
  GATEWAY_WAIT (gateway_fixture_has_text (fixture, "body"));
  gateway_fixture_free (fixture);
}

/* Guards against: a request whose field has a blank in its name runs. */
static void
test_field_names (void)
{
  static const char *const lines[]
      = { "Na me: x", "Name : x", "Content Length: 4", " Name: x" };

  for (size_t i = 0; i < G_N_ELEMENTS (lines); i++)
    {
      gateway_fixture_t *fixture
          = gateway_fixture_ready (ACT_ANSWER, ACT_ANSWER);
      char *request = g_strdup_printf (
          "GET /safe/ HTTP/1.1\r\n%s\r\nHost: h\r\n\r\n", lines[i]);

      gateway_fixture_call (fixture, request, "HTTP/1.1 400 ");
      g_assert_cmpuint (gateway_fixture_requests (fixture), ==, 0);
      g_free (request);
      gateway_fixture_free (fixture);
    }
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  base_init ("t8060-gateway");
  logging_init (LOGGING_ERROR);
  g_test_add_func ("/gateway/relay", test_relay);
  g_test_add_func ("/gateway/refusals", test_refusals);
  g_test_add_func ("/gateway/early", test_early_request_waits);
  g_test_add_func ("/gateway/early-few-upstreams", test_early_few_upstreams);
  g_test_add_func ("/gateway/early-refusals", test_early_refusals);
  g_test_add_func ("/gateway/early-gone", test_waiting_caller_disconnects);
  g_test_add_func ("/gateway/safe-again", test_safe_request_is_retried);
  g_test_add_func ("/gateway/unsafe-once", test_unsafe_request_runs_once);
  g_test_add_func ("/gateway/promise", test_status_503_means_not_run);
  g_test_add_func ("/gateway/extra-bytes", test_extra_bytes);
  g_test_add_func ("/gateway/caller-gone", test_caller_disconnect_aborts_work);
  g_test_add_func ("/gateway/drain", test_drain);
  g_test_add_func ("/gateway/field-names", test_field_names);
  g_test_add_func ("/gateway/config-forward", test_older_config_is_ignored);
  return g_test_run ();
}
