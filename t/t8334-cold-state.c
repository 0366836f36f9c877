/*
 * Tests when an upstream is taken for cold, and that nothing changes for
 * services without a bound.
 */
#include <glib.h>
#include <talloc.h>

#include "lib-cold.h"

#define SETTLED_MS (COLD_START_MS + 10000)
#define SILENT_MS  1500

static const upstream_member_t *
only_member (const upstream_set_t *set)
{
  size_t count;

  g_assert_nonnull (upstream_set_members (set, &count));
  g_assert_cmpuint (count, ==, 1);
  return upstream_set_members (set, &count)[0];
}

static bool
is_cold (const cold_decider_t *decider, uint64_t now_ms)
{
  return upstream_cold_holds (&only_member (decider->set)->cold, now_ms);
}

static void
test_started (void)
{
  cold_fleet_t *fleet = cold_fleet_new (0);
  cold_decider_t *decider = cold_fleet_add (fleet, "a", COLD_START_MS);

  cold_fleet_announce (fleet, "u", "a", 0, SETTLED_MS);
  cold_fleet_sync (fleet, SETTLED_MS);
  g_assert_true (is_cold (decider, SETTLED_MS + 2999));
  g_assert_false (is_cold (decider, SETTLED_MS + 3000));
  cold_fleet_free (fleet);
}

/** All upstreams are new to an instance that starts. */
static void
test_first_directory (void)
{
  cold_fleet_t *fleet = cold_fleet_new (0);
  cold_decider_t *decider;

  cold_fleet_announce (fleet, "u", "a", 0, COLD_START_MS);
  decider = cold_fleet_add (fleet, "a", COLD_START_MS);
  g_assert_false (is_cold (decider, COLD_START_MS));
  cold_fleet_announce (fleet, "u", "a", 1200, COLD_START_MS + 100);
  cold_fleet_sync (fleet, COLD_START_MS + 300);
  g_assert_true (is_cold (decider, COLD_START_MS + 1299));
  g_assert_false (is_cold (decider, COLD_START_MS + 1300));
  cold_fleet_free (fleet);
}

/** The upstreams of a zone that was drained got no requests, and a crowd waits
 * for them at the end of the drain. */
static void
test_end_of_drain (void)
{
  static char *zones[] = { "a" };
  cold_fleet_t *fleet = cold_fleet_new (0);
  cold_decider_t *decider;

  cold_fleet_announce (fleet, "u", "a", 0, COLD_START_MS);
  decider = cold_fleet_add (fleet, "a", COLD_START_MS);
  upstream_set_drain_zones (decider->set, zones, 1, SETTLED_MS);
  g_assert_false (is_cold (decider, SETTLED_MS));
  upstream_set_drain_zones (decider->set, NULL, 0, SETTLED_MS + 500);
  g_assert_true (is_cold (decider, SETTLED_MS + 3499));
  g_assert_false (is_cold (decider, SETTLED_MS + 3500));
  cold_fleet_free (fleet);
}

static void
test_answered (void)
{
  cold_fleet_t *fleet = cold_fleet_new (0);
  cold_decider_t *decider;

  cold_fleet_announce (fleet, "u", "a", 0, COLD_START_MS);
  decider = cold_fleet_add (fleet, "a", COLD_START_MS);
  upstream_set_mark_cold (decider->set, only_member (decider->set)->key,
                          COLD_START_MS + 700, COLD_START_MS);
  g_assert_true (is_cold (decider, COLD_START_MS + 699));
  g_assert_cmpuint (upstream_set_count_cold (decider->set, COLD_START_MS), ==,
                    1);
  g_assert_false (is_cold (decider, COLD_START_MS + 700));
  upstream_set_mark_zone_cold (decider->set, "b", COLD_START_MS + 700);
  g_assert_false (is_cold (decider, COLD_START_MS + 700));
  upstream_set_mark_zone_cold (decider->set, "a", COLD_START_MS + 700);
  g_assert_true (is_cold (decider, COLD_START_MS + 3699));
  cold_fleet_free (fleet);
}

static void
test_returned_from_silence (void)
{
  cold_fleet_t *fleet = cold_fleet_new (0);
  uint64_t back_ms = COLD_START_MS + 4000;
  cold_decider_t *decider;

  cold_fleet_announce (fleet, "u", "a", 0, COLD_START_MS);
  decider = cold_fleet_add (fleet, "a", COLD_START_MS);
  for (uint64_t now_ms = COLD_START_MS; now_ms < back_ms;
       now_ms += DIRECTORY_EXPIRE_EVERY_MS)
    directory_expire (fleet->directory, SILENT_MS, now_ms);
  cold_fleet_sync (fleet, back_ms - 100);
  g_assert_true (only_member (decider->set)->is_silent);
  g_assert_true (is_cold (decider, back_ms - 100));
  cold_fleet_announce (fleet, "u", "a", 0, back_ms);
  cold_fleet_sync (fleet, back_ms);
  g_assert_true (is_cold (decider, back_ms + 2999));
  g_assert_false (is_cold (decider, back_ms + 3000));
  cold_fleet_free (fleet);
}

static void
fail (cold_decider_t *decider, uint64_t id, uint64_t now_ms)
{
  upstream_job_t job = { .id = id,
                         .upstream = only_member (decider->set)->key,
                         .sent_ms = now_ms };

  upstream_set_begin (decider->set, &job);
  upstream_set_end (decider->set, id, UPSTREAM_JOB_FAILED, now_ms);
}

static void
test_returned_from_ejection (void)
{
  cold_fleet_t *fleet = cold_fleet_new (0);
  cold_decider_t *decider;
  uint64_t now_ms = COLD_START_MS;

  cold_fleet_announce (fleet, "u", "a", 0, COLD_START_MS);
  decider = cold_fleet_add (fleet, "a", COLD_START_MS);
  fail (decider, 1, now_ms);
  fail (decider, 2, now_ms);
  g_assert_cmpint (only_member (decider->set)->trust, ==, UPSTREAM_EJECTED);
  while (only_member (decider->set)->trust == UPSTREAM_EJECTED)
    cold_fleet_step (fleet, now_ms += 200);
  g_assert_true (is_cold (decider, now_ms + 2999));
  g_assert_false (is_cold (decider, now_ms + 3000));
  cold_fleet_free (fleet);
}

/** Chooses often among upstreams that are cold for the one set, and have no
 * bound for the other. */
static void
test_no_bound (void)
{
  cold_fleet_t *fleet = cold_fleet_new (0);
  upstream_set_options_t options = { 0 };
  upstream_set_t *set = upstream_set_new (NULL, &options);
  cold_decider_t *decider;
  char id[16];

  for (uint32_t i = 0; i < 8; i++)
    {
      g_snprintf (id, sizeof id, "u%u", i);
      cold_fleet_announce (fleet, id, i % 2 == 0 ? "a" : "b", i * 100,
                           COLD_START_MS);
    }
  decider = cold_fleet_add (fleet, "a", COLD_START_MS);
  upstream_set_sync (set, fleet->directory, COLD_START_MS);
  upstream_set_mark_zone_cold (set, "a", COLD_START_MS);
  g_assert_cmpuint (upstream_set_count_cold (set, COLD_START_MS), ==, 0);
  for (uint32_t i = 0; i < 1000; i++)
    {
      choice_request_t request
          = { .service = "s", .zone = "a", .left_ms = 1000, .random = i };
      choice_t bare = upstream_choose (set, &request, COLD_START_MS);
      choice_t warm
          = upstream_choose (decider->set, &request, COLD_START_MS + 60000);

      g_assert_cmpstr (bare.member->id, ==, warm.member->id);
    }
  talloc_free (set);
  cold_fleet_free (fleet);
}

/** A placer counts all requests only together with most of its zone. */
static void
test_majority (void)
{
  placer_ranking_t *ranking = placer_ranking_new (NULL, "x", "a");
  uint64_t now_ms = COLD_START_MS;

  g_assert_true (placer_ranking_has_majority (ranking, now_ms));
  g_assert_true (placer_ranking_counts_zone (ranking, "z"));
  placer_ranking_add (ranking, "y", "a", now_ms);
  placer_ranking_add (ranking, "z", "a", now_ms);
  placer_ranking_add (ranking, "other", "b", now_ms);
  g_assert_true (placer_ranking_counts_zone (ranking, "a"));
  g_assert_false (placer_ranking_counts_zone (ranking, "b"));
  g_assert_false (placer_ranking_has_majority (ranking, now_ms));
  placer_ranking_on_report (placer_ranking_find (ranking, "y"), now_ms);
  g_assert_true (placer_ranking_has_majority (ranking, now_ms));
  g_assert_false (placer_ranking_has_majority (ranking, now_ms + 1500));
  talloc_free (ranking);
}

/** The single requests of an upstream belong to other instances than those of
 * another one, and the places follow a change of the known instances. */
static void
test_order (void)
{
  placer_ranking_t *ranking = placer_ranking_new (NULL, "x", "a");
  uint32_t first = 0;
  char address[16];

  g_assert_cmpuint (placer_ranking_order (ranking, 1), ==, UINT32_MAX);
  for (uint32_t i = 0; i < 99; i++)
    {
      g_snprintf (address, sizeof address, "y%u", i);
      placer_ranking_add (ranking, address, "a", COLD_START_MS);
      g_assert_cmpuint (placer_ranking_order (ranking, 1), <=, i + 1);
    }
  for (uint64_t seed = 1; seed <= 5000; seed++)
    {
      uint32_t order = placer_ranking_order (ranking, seed);

      g_assert_cmpuint (order, <, 100);
      g_assert_cmpuint (placer_ranking_order (ranking, seed), ==, order);
      first += order < 10;
    }
  g_assert_cmpuint (first, >, 400);
  g_assert_cmpuint (first, <, 600);
  talloc_free (ranking);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/cold-state/started", test_started);
  g_test_add_func ("/cold-state/first-directory", test_first_directory);
  g_test_add_func ("/cold-state/answered", test_answered);
  g_test_add_func ("/cold-state/end-of-drain", test_end_of_drain);
  g_test_add_func ("/cold-state/returned-from-silence",
                   test_returned_from_silence);
  g_test_add_func ("/cold-state/returned-from-ejection",
                   test_returned_from_ejection);
  g_test_add_func ("/cold-state/no-bound", test_no_bound);
  g_test_add_func ("/cold-state/majority", test_majority);
  g_test_add_func ("/cold-state/order", test_order);
  return g_test_run ();
}
