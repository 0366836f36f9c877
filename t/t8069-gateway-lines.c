/*
 * The log lines of requests that end without a whole answer: each names its
 * request.
 */
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <string.h>

#include "lib-gateway.h"
#include "logging.h"

#define PARTIAL                                                                \
  "POST /safe/ HTTP/1.1\r\nHost: h\r\nX-Id: r1\r\nContent-Length: "            \
  "10\r\n\r\nxx"

/** Runs a case whose lines are read: those of INFO and above, from stderr. */
static bool
is_logging_process (void)
{
  if (!g_test_subprocess ())
    {
      g_test_trap_subprocess (NULL, 0, 0);
      g_test_trap_assert_passed ();
      return false;
    }
  logging_set_level (LOGGING_INFO);
  return true;
}

static void
close_caller (gateway_fixture_t *fixture)
{
  bufferevent_free (fixture->caller);
  fixture->caller = NULL;
}

/** Waits until the gateway counts a caller that has gone. */
static void
wait_gone (const gateway_fixture_t *fixture)
{
  GATEWAY_WAIT (gateway_fixture_metrics_have (
      fixture, "lwm_gateway_callers_gone_total 1"));
}

/** Guards against a request that ends with its process and leaves no line. */
static void
test_process_ends (void)
{
  gateway_fixture_t *fixture;

  if (!is_logging_process ())
    {
      g_test_trap_assert_stderr (
          "*Placed a request. request=r1 *"
          "Request ended. request=r1 how=process_ended *");
      return;
    }
  fixture = gateway_fixture_ready (ACT_NO_ANSWER, ACT_NO_ANSWER);
  gateway_fixture_send (fixture, GET ("/safe/"));
  GATEWAY_WAIT (gateway_fixture_requests (fixture) == 1);
  gateway_fixture_free (fixture);
}

/** Guards against a line without the id, of a request that was held while the
 * gateway started and whose caller closed. */
static void
test_held_caller_closes (void)
{
  gateway_fixture_t *fixture;

  if (!is_logging_process ())
    {
      g_test_trap_assert_stderr (
          "*A caller closed before the startup ended. request=r1 held=0*");
      return;
    }
  fixture = gateway_fixture_new ();
  gateway_fixture_send (fixture, GET ("/safe/"));
  GATEWAY_WAIT (gateway_open_requests (fixture->gateway) == 1);
  close_caller (fixture);
  wait_gone (fixture);
  gateway_fixture_free (fixture);
}

/** Guards against a request that was not read in full, whose caller closes, and
 * that leaves no line. */
static void
test_partial_caller_closes (void)
{
  gateway_fixture_t *fixture;

  if (!is_logging_process ())
    {
      g_test_trap_assert_stderr (
          "*Connection ended before its request was read "
          "in full. request=r1 end=caller_closed*");
      return;
    }
  fixture = gateway_fixture_ready (ACT_ANSWER, ACT_ANSWER);
  gateway_fixture_send (fixture, PARTIAL);
  GATEWAY_WAIT (!gateway_has_ended (fixture->gateway));
  close_caller (fixture);
  GATEWAY_WAIT (gateway_has_ended (fixture->gateway));
  gateway_fixture_free (fixture);
}

/** Guards against a refusal without the id, of a request that was still being
 * received late in a stop. */
static void
test_partial_refused (void)
{
  gateway_fixture_t *fixture;

  if (!is_logging_process ())
    {
      g_test_trap_assert_stderr ("*Rejected a request before it was read in "
                                 "full. request=r1 status=503 *");
      return;
    }
  fixture = gateway_fixture_ready (ACT_ANSWER, ACT_ANSWER);
  gateway_fixture_send (fixture, PARTIAL);
  GATEWAY_WAIT (!gateway_has_ended (fixture->gateway));
  /* The head is read when the loop has nothing left to do. */
  event_base_loop (fixture->base, EVLOOP_NONBLOCK);
  gateway_refuse_waiting (fixture->gateway);
  GATEWAY_WAIT (gateway_fixture_has_text (fixture, "503 "));
  gateway_fixture_free (fixture);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  base_init ("t8069-gateway-lines");
  logging_init (LOGGING_ERROR);
  g_test_add_func ("/gateway-lines/process-ends", test_process_ends);
  g_test_add_func ("/gateway-lines/held-caller-closes",
                   test_held_caller_closes);
  g_test_add_func ("/gateway-lines/partial-caller-closes",
                   test_partial_caller_closes);
  g_test_add_func ("/gateway-lines/partial-refused", test_partial_refused);
  return g_test_run ();
}
