/*
 * Tests the division of the bound on a cold upstream's requests: a placer or an
 * instance that grants more than its part would crash the upstream.
 */
#include <glib.h>
#include <talloc.h>

#include "lib-cold.h"
#include "upstream-cold.h"

#define NOW_MS 50000

typedef struct
{
  void *parent;
  upstream_cold_t cold;
  uint64_t last_job;
} fixture_t;

static fixture_t
make_fixture (void)
{
  fixture_t fixture = { .parent = talloc_new (NULL) };
  upstream_cold_rate_t rate
      = upstream_cold_make_rate (COLD_PER_S, COLD_S, COLD_EXCESS, COLD_SLACK);

  upstream_cold_set_rate (fixture.parent, &fixture.cold, &rate);
  g_assert_true (upstream_cold_begin (&fixture.cold, NOW_MS + 60000, NOW_MS));
  return fixture;
}

static void
test_parts_fit (void)
{
  for (uint32_t half_s = 1; half_s < 120; half_s++)
    {
      double per_s = half_s / 2.0;
      upstream_cold_rate_t rate
          = upstream_cold_make_rate (per_s, COLD_S, COLD_EXCESS, COLD_SLACK);

      g_assert_cmpfloat (rate.requests_s, <=, per_s * COLD_EXCESS + COLD_SLACK);
      g_assert_cmpuint (upstream_cold_counted_s (&rate)
                            + upstream_cold_holders (&rate),
                        <=, rate.requests_s);
      g_assert_cmpfloat (upstream_cold_counted_s (&rate), >=,
                         0.9 * rate.requests_s);
    }
}

static void
test_off (void)
{
  upstream_cold_share_t none = { .rank = UINT32_MAX };
  upstream_cold_t cold = { 0 };

  g_assert_cmpuint (upstream_cold_make_rate (0, 3, 1.5, 5).requests_s, ==, 0);
  g_assert_cmpuint (upstream_cold_make_rate (18, 0, 1.5, 5).requests_s, ==, 0);
  g_assert_cmpuint (upstream_cold_make_rate (18, 3, 0, 0).requests_s, ==, 0);
  upstream_cold_begin (&cold, NOW_MS + 1000, NOW_MS);
  upstream_cold_count (&cold, 1, NOW_MS, true);
  g_assert_false (upstream_cold_holds (&cold, NOW_MS));
  g_assert_cmpuint (upstream_cold_wait_ms (&cold, &none, NOW_MS), ==, 0);
}

static void
test_counting (void)
{
  upstream_cold_share_t share = { .is_counting = true, .rank = UINT32_MAX };
  fixture_t fixture = make_fixture ();
  uint32_t granted = 0;
  uint32_t wait_ms;

  for (uint64_t now_ms = NOW_MS; now_ms <= NOW_MS + 1000; now_ms++)
    if (upstream_cold_wait_ms (&fixture.cold, &share, now_ms) == 0)
      {
        upstream_cold_count (&fixture.cold, ++fixture.last_job, now_ms, true);
        /* A job that is reported again counts once. */
        upstream_cold_count (&fixture.cold, fixture.last_job, now_ms, false);
        granted++;
      }
  g_assert_cmpuint (granted, ==, upstream_cold_counted_s (&fixture.cold.rate));
  wait_ms = upstream_cold_wait_ms (&fixture.cold, &share, NOW_MS + 1000);
  g_assert_cmpuint (wait_ms, ==, 1);
  talloc_free (fixture.parent);
}

static void
test_holder (void)
{
  upstream_cold_share_t share = { .rank = 0 };
  upstream_cold_share_t none = { .rank = 2 };
  fixture_t fixture = make_fixture ();

  g_assert_cmpuint (upstream_cold_wait_ms (&fixture.cold, &share, NOW_MS), ==,
                    0);
  upstream_cold_count (&fixture.cold, 1, NOW_MS, true);
  g_assert_cmpuint (upstream_cold_wait_ms (&fixture.cold, &share, NOW_MS), ==,
                    1001);
  g_assert_cmpuint (upstream_cold_wait_ms (&fixture.cold, &none, NOW_MS), ==,
                    60000);
  g_assert_cmpuint (
      upstream_cold_wait_ms (&fixture.cold, &none, NOW_MS + 60000), ==, 0);
  talloc_free (fixture.parent);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/upstream-cold/parts-fit", test_parts_fit);
  g_test_add_func ("/upstream-cold/off", test_off);
  g_test_add_func ("/upstream-cold/counting", test_counting);
  g_test_add_func ("/upstream-cold/holder", test_holder);
  return g_test_run ();
}
