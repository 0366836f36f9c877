/*
 * Announcements of writers that are no upstreams of this deployment, beside
 * those of its upstreams: which upstreams stay in use.
 */
#include <event2/event.h>
#include <glib.h>
#include <stdlib.h>

#include "lib-gateway.h"
#include "logging.h"

#define LATER_MS 1000

/** Announces an upstream of the service "stray" with the address of the first
 * one, and a later start. */
static void
announce_stray (gateway_fixture_t *fixture,
                const char *id,
                directory_state_t state)
{
  directory_statement_t said = { .id = id,
                                 .address = fixture->upstreams[0].address,
                                 .zone = "z",
                                 .service = "stray",
                                 .born_ms = LATER_MS,
                                 .sequence = 1 + (uint64_t)state,
                                 .state = state,
                                 .slots = 8 };

  directory_put (fixture->directory, &said, clock_mono_ms ());
  gateway_set_directory (fixture->gateway, fixture->directory);
}

static void
expect_first_in_use (gateway_fixture_t *fixture, bool is_used)
{
  uint32_t before = fixture->upstreams[0].requests;

  gateway_fixture_call (fixture, GET ("/safe/"), "body");
  g_assert_true ((fixture->upstreams[0].requests > before) == is_used);
}

/** Guards against: an announcement with a service that no configuration has
 * takes the upstream out of use that has its address. */
static void
test_address (void)
{
  gateway_fixture_t *fixture = gateway_fixture_ready (ACT_ANSWER, ACT_ANSWER);

  expect_first_in_use (fixture, true);
  announce_stray (fixture, "x", DIRECTORY_READY);
  expect_first_in_use (fixture, true);
  announce_stray (fixture, "x", DIRECTORY_SILENT);
  expect_first_in_use (fixture, true);
  announce_stray (fixture, "x", DIRECTORY_LEAVING);
  expect_first_in_use (fixture, true);
  gateway_fixture_free (fixture);
}

/** The same with its id. */
static void
test_id (void)
{
  gateway_fixture_t *fixture = gateway_fixture_ready (ACT_ANSWER, ACT_ANSWER);

  announce_stray (fixture, "u0", DIRECTORY_READY);
  expect_first_in_use (fixture, true);
  gateway_fixture_free (fixture);
}

/** Guards against: a configuration adds the service of an announcement of long
 * ago, which then takes an upstream out of use that announces itself. */
static void
test_service_added_after_silence (void)
{
  gateway_fixture_t *fixture = gateway_fixture_ready (ACT_ANSWER, ACT_ANSWER);

  announce_stray (fixture, "x", DIRECTORY_SILENT);
  gateway_fixture_add_service (fixture, "stray");
  expect_first_in_use (fixture, true);
  gateway_fixture_free (fixture);
}

/** An upstream that announced itself before a configuration added its service
 * has its address from that moment on, and not after the service was removed.
 */
static void
test_service_added (void)
{
  gateway_fixture_t *fixture = gateway_fixture_ready (ACT_ANSWER, ACT_ANSWER);

  announce_stray (fixture, "x", DIRECTORY_READY);
  expect_first_in_use (fixture, true);
  gateway_fixture_add_service (fixture, "stray");
  expect_first_in_use (fixture, false);
  gateway_fixture_add_service (fixture, "another");
  expect_first_in_use (fixture, true);
  gateway_fixture_free (fixture);
}

/** Guards against: an instance takes itself for ready, as it knows no upstreams
 * but those of services that it does not serve. */
static void
test_readiness (void)
{
  gateway_fixture_t *fixture = gateway_fixture_new ();

  gateway_fixture_configure (fixture);
  announce_stray (fixture, "x", DIRECTORY_READY);
  g_assert_false (gateway_has_upstreams (fixture->gateway));
  gateway_fixture_announce (fixture);
  g_assert_true (gateway_has_upstreams (fixture->gateway));
  gateway_fixture_free (fixture);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  base_init ("t8088-gateway-stray-announcements");
  logging_init (LOGGING_ERROR);
  g_test_add_func ("/stray-announcements/address", test_address);
  g_test_add_func ("/stray-announcements/id", test_id);
  g_test_add_func ("/stray-announcements/service-added-after-silence",
                   test_service_added_after_silence);
  g_test_add_func ("/stray-announcements/service-added", test_service_added);
  g_test_add_func ("/stray-announcements/readiness", test_readiness);
  return g_test_run ();
}
