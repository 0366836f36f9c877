/*
 * Checks when an instance counts as cut off from the upstreams, and which relay
 * it uses then.
 */
#include <glib.h>
#include <talloc.h>

#include "upstream-path.h"

#define START_MS 10000

typedef struct
{
  upstream_path_t *path;
  uint32_t cuts;
  uint32_t returns;
} fixture_t;

static void
on_change (bool is_cut, void *context)
{
  fixture_t *fixture = context;

  fixture->cuts += is_cut;
  fixture->returns += !is_cut;
}

static fixture_t *
set_up (void)
{
  fixture_t *fixture = g_new0 (fixture_t, 1);
  upstream_path_options_t options
      = { .seed = 7, .on_change = on_change, .context = fixture };

  fixture->path = upstream_path_new (NULL, &options);
  upstream_path_add_relay (fixture->path, "10.2.0.1:1", false);
  upstream_path_add_relay (fixture->path, "10.1.0.1:1", true);
  return fixture;
}

static void
tear_down (fixture_t *fixture)
{
  talloc_free (fixture->path);
  g_free (fixture);
}

static void
fail (fixture_t *fixture, uint64_t upstream, uint64_t now_ms)
{
  upstream_path_record (fixture->path, upstream, false, now_ms);
}

static void
cut (fixture_t *fixture)
{
  for (uint64_t upstream = 1; upstream <= 3; upstream++)
    fail (fixture, upstream, START_MS);
  g_assert_true (upstream_path_is_cut (fixture->path));
}

/* Guards against going on with connections of its own when all of them fail. */
static void
test_all_fail (void)
{
  fixture_t *fixture = set_up ();

  g_assert_null (upstream_path_relay (fixture->path, 9, START_MS));
  fail (fixture, 1, START_MS);
  fail (fixture, 2, START_MS + 10);
  g_assert_null (upstream_path_relay (fixture->path, 9, START_MS + 10));
  fail (fixture, 3, START_MS + 20);
  g_assert_cmpstr (upstream_path_relay (fixture->path, 9, START_MS + 20), ==,
                   "10.1.0.1:1");
  g_assert_cmpuint (fixture->cuts, ==, 1);
  tear_down (fixture);
}

/* Guards against taking crashed upstreams for a cut. */
static void
test_some_fail (void)
{
  fixture_t *fixture = set_up ();

  for (int i = 0; i < 10; i++)
    fail (fixture, 1, START_MS);
  fail (fixture, 2, START_MS);
  upstream_path_record (fixture->path, 3, true, START_MS + 1);
  fail (fixture, 4, START_MS + 2);
  g_assert_false (upstream_path_is_cut (fixture->path));
  g_assert_null (upstream_path_relay (fixture->path, 3, START_MS + 2));
  tear_down (fixture);
}

/* Guards against trying an upstream in vain that only this instance does not
 * reach. */
static void
test_one_fails (void)
{
  fixture_t *fixture = set_up ();

  fail (fixture, 1, START_MS);
  upstream_path_record (fixture->path, 2, true, START_MS + 1);
  g_assert_nonnull (upstream_path_relay (fixture->path, 1, START_MS + 1));
  g_assert_null (upstream_path_relay (fixture->path, 2, START_MS + 1));
  upstream_path_record (fixture->path, 1, true, START_MS + 2);
  g_assert_null (upstream_path_relay (fixture->path, 1, START_MS + 2));
  tear_down (fixture);
}

/* Guards against adding up single failures over a long time. */
static void
test_old_failures (void)
{
  fixture_t *fixture = set_up ();

  fail (fixture, 1, START_MS);
  fail (fixture, 2, START_MS + 2000);
  fail (fixture, 3, START_MS + 4000);
  g_assert_false (upstream_path_is_cut (fixture->path));
  tear_down (fixture);
}

/* Guards against using relays for ever. */
static void
test_return (void)
{
  fixture_t *fixture = set_up ();

  cut (fixture);
  upstream_path_record (fixture->path, 2, true, START_MS + 5000);
  g_assert_false (upstream_path_is_cut (fixture->path));
  g_assert_null (upstream_path_relay (fixture->path, 9, START_MS + 5000));
  g_assert_cmpuint (fixture->returns, ==, 1);
  tear_down (fixture);
}

/* Guards against staying with a relay that is cut off as well. */
static void
test_relay_fails (void)
{
  fixture_t *fixture = set_up ();

  cut (fixture);
  upstream_path_relay_failed (fixture->path, "10.1.0.1:1", START_MS);
  g_assert_cmpstr (upstream_path_relay (fixture->path, 9, START_MS), ==,
                   "10.2.0.1:1");
  upstream_path_relay_failed (fixture->path, "10.2.0.1:1", START_MS);
  g_assert_null (upstream_path_relay (fixture->path, 9, START_MS));
  g_assert_nonnull (upstream_path_relay (fixture->path, 9, START_MS + 5000));
  tear_down (fixture);
}

/* Guards against noticing neither a cut nor its end without callers. */
static void
test_probes (void)
{
  fixture_t *fixture = set_up ();

  g_assert_false (upstream_path_takes_probe (fixture->path, START_MS));
  fail (fixture, 1, START_MS);
  g_assert_true (upstream_path_takes_probe (fixture->path, START_MS + 1));
  g_assert_false (upstream_path_takes_probe (fixture->path, START_MS + 2));
  cut (fixture);
  g_assert_true (upstream_path_takes_probe (fixture->path, START_MS + 60000));
  tear_down (fixture);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/upstream-path/all-fail", test_all_fail);
  g_test_add_func ("/upstream-path/some-fail", test_some_fail);
  g_test_add_func ("/upstream-path/one-fails", test_one_fails);
  g_test_add_func ("/upstream-path/old-failures", test_old_failures);
  g_test_add_func ("/upstream-path/return", test_return);
  g_test_add_func ("/upstream-path/relay-fails", test_relay_fails);
  g_test_add_func ("/upstream-path/probes", test_probes);
  return g_test_run ();
}
