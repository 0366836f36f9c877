/*
 * Requests to a gateway while zones are drained: what reaches the upstreams,
 * and when a request is refused.
 */
#include <event2/event.h>
#include <glib.h>
#include <string.h>
#include <talloc.h>
#include <xxhash.h>

#include "lib-address.h"
#include "lib-gateway.h"

#define REQUESTS 6
/** Time between calls, in which the instances exchange their jobs. */
#define CALL_INTERVAL_MS 100
/** Longest time until a request is refused that no zone may serve. */
#define REFUSAL_MS 500

/** The zones of the first and second upstream; the gateway is in the first. */
static char *const zones[] = { (char *)"z", (char *)"y" };

static void
expect_unused (gateway_fixture_t *fixture, int upstream)
{
  uint32_t before = fixture->upstreams[upstream].requests;

  for (int i = 0; i < REQUESTS; i++)
    gateway_fixture_call (fixture, GET ("/safe/"), "body");
  g_assert_cmpuint (fixture->upstreams[upstream].requests, ==, before);
}

/** Guards against calls that go to the gateway's own zone, which they prefer,
 * though it is drained; they come back after the drain. */
static void
test_calls (void)
{
  gateway_fixture_t *fixture = gateway_fixture_ready (ACT_ANSWER, ACT_ANSWER);

  expect_unused (fixture, 1);
  gateway_drain_zones (fixture->gateway, zones, 1);
  expect_unused (fixture, 0);
  gateway_fixture_announce (fixture);
  expect_unused (fixture, 0);
  gateway_drain_zones (fixture->gateway, NULL, 0);
  expect_unused (fixture, 1);
  gateway_fixture_free (fixture);
}

/** Guards against requests that wait for their deadline, or are said to have
 * run, when all zones are drained. */
static void
test_all_zones (void)
{
  gateway_fixture_t *fixture = gateway_fixture_ready (ACT_ANSWER, ACT_ANSWER);
  uint64_t begun_ms;

  gateway_drain_zones (fixture->gateway, zones, 2);
  begun_ms = clock_mono_ms ();
  gateway_fixture_call (fixture, POST ("/unsafe/"), "HTTP/1.1 503");
  g_assert_true (gateway_fixture_has_text (fixture, "\"not_run\":true"));
  g_assert_cmpuint (clock_mono_ms () - begun_ms, <, REFUSAL_MS);
  g_assert_cmpuint (gateway_fixture_requests (fixture), ==, 0);
  gateway_fixture_free (fixture);
}

/** Guards against a stream that is cut by the drain of its upstream's zone. */
static void
test_open_stream (void)
{
  gateway_fixture_t *fixture
      = gateway_fixture_ready (ACT_STREAM_HELD, ACT_ANSWER);

  gateway_fixture_send (fixture, POST ("/stream/"));
  GATEWAY_WAIT (gateway_fixture_has_text (fixture, "id: 1"));
  gateway_drain_zones (fixture->gateway, zones, 1);
  scripted_send_held (&fixture->upstreams[0]);
  GATEWAY_WAIT (gateway_fixture_has_text (fixture, "id: 2"));
  g_assert_cmpuint (fixture->upstreams[1].requests, ==, 0);
  expect_unused (fixture, 0);
  gateway_fixture_free (fixture);
}

/** Guards against a retry, after a failed attempt elsewhere, at an upstream of
 * a drained zone. */
static void
test_retry (void)
{
  gateway_fixture_t *fixture = gateway_fixture_ready (ACT_ANSWER, ACT_NOT_RUN);

  gateway_fixture_earn_retries (fixture);
  gateway_drain_zones (fixture->gateway, zones, 1);
  fixture->upstreams[0].requests = 0;
  fixture->upstreams[1].act = ACT_NOT_RUN;
  gateway_fixture_call (fixture, GET ("/safe/"), "HTTP/1.1 503");
  g_assert_cmpuint (fixture->upstreams[0].requests, ==, 0);
  gateway_fixture_free (fixture);
}

static bool
find_service (const char *name, placer_service_t *service, void *context)
{
  return true;
}

/** Writes a free address whose rank makes an instance the placer for the
 * gateway. */
static void
choose_placer_address (const gateway_fixture_t *fixture,
                       char address[ADDRESS_BYTES])
{
  do
    choose_free_address (address);
  while (XXH64 (address, strlen (address), 0)
         >= XXH64 (fixture->share, strlen (fixture->share), 0));
}

/** Returns whether the placer decides, after a call that tells. */
static bool
is_placed_by_other (gateway_fixture_t *fixture)
{
  uint64_t next_ms = clock_mono_ms () + CALL_INTERVAL_MS;

  GATEWAY_WAIT (clock_mono_ms () >= next_ms);
  gateway_fixture_call (fixture, GET ("/safe/"), "body");
  return !gateway_fixture_metrics_have (
      fixture, "lwm_placement_decisions_total{by=\"placer\"} 0");
}

/** Guards against a placer that does not know of the drain: what it chooses in
 * that zone is not used, and the request is served by another zone. */
static void
test_placer_behind (void)
{
  gateway_fixture_t *fixture = gateway_fixture_ready (ACT_ANSWER, ACT_ANSWER);
  upstream_set_options_t set_options = { 0 };
  upstream_set_t *set = upstream_set_new (NULL, &set_options);
  char address[32];
  char *addresses[] = { address, fixture->share };
  char *own_zones[] = { zones[0], zones[0] };
  metrics_t *metrics = metrics_new (NULL);
  zone_placement_options_t options = { .base = fixture->base,
                                       .listen = address,
                                       .zone = zones[0],
                                       .zone_cost_ms = 100,
                                       .set = set,
                                       .find_service = find_service,
                                       .metrics = metrics };
  zone_placement_t *placer;

  upstream_set_sync (set, fixture->directory, clock_mono_ms ());
  choose_placer_address (fixture, address);
  placer = zone_placement_new (NULL, &options);
  g_assert_nonnull (placer);
  zone_placement_add_instances (placer, addresses, own_zones, 2);
  zone_placement_add_instances (gateway_placement (fixture->gateway), addresses,
                                own_zones, 2);
  GATEWAY_WAIT (is_placed_by_other (fixture));
  gateway_drain_zones (fixture->gateway, zones, 1);
  expect_unused (fixture, 0);
  g_assert_false (gateway_fixture_metrics_have (
      fixture, "lwm_placement_fallbacks_total{reason=\"drained_zone\"} 0"));
  gateway_drain_zones (fixture->gateway, zones, 2);
  gateway_fixture_call (fixture, GET ("/safe/"), "HTTP/1.1 503");
  talloc_free (placer);
  talloc_free (metrics);
  talloc_free (set);
  gateway_fixture_free (fixture);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/gateway-zone-drain/calls", test_calls);
  g_test_add_func ("/gateway-zone-drain/all-zones", test_all_zones);
  g_test_add_func ("/gateway-zone-drain/open-stream", test_open_stream);
  g_test_add_func ("/gateway-zone-drain/retry", test_retry);
  g_test_add_func ("/gateway-zone-drain/placer-behind", test_placer_behind);
  return g_test_run ();
}
