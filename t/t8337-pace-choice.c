/*
 * Tests when an upstream's open requests are limited, and which upstreams are
 * chosen then. A limit must not refuse requests when all upstreams have one.
 */
#include <glib.h>
#include <talloc.h>

#include "lib-cold.h"

#define SETTLED_MS (COLD_START_MS + 10000)

static const upstream_member_t *
find (const cold_decider_t *decider, const char *id)
{
  size_t count;
  const upstream_member_t *const *members
      = upstream_set_members (decider->set, &count);

  for (size_t i = 0; i < count; i++)
    if (g_str_equal (members[i]->id, id))
      return members[i];
  g_assert_not_reached ();
}

static void
begin (cold_decider_t *decider, const char *id, uint64_t job_id)
{
  upstream_job_t job = { .id = job_id,
                         .upstream = find (decider, id)->key,
                         .sent_ms = SETTLED_MS };

  upstream_set_begin (decider->set, &job);
}

/** A fleet of upstreams that have been known for long, and a new one. */
static cold_fleet_t *
make_fleet (uint32_t old_ones)
{
  cold_fleet_t *fleet = cold_fleet_new (0);
  char id[16];

  for (uint32_t i = 0; i < old_ones; i++)
    {
      g_snprintf (id, sizeof id, "old%u", i);
      cold_fleet_announce (fleet, id, "a", 0, COLD_START_MS);
    }
  cold_fleet_add (fleet, "a", COLD_START_MS)->is_counting = true;
  cold_fleet_announce (fleet, "new", "a", 0, SETTLED_MS);
  cold_fleet_sync (fleet, SETTLED_MS);
  return fleet;
}

static void
test_started (void)
{
  cold_fleet_t *fleet = make_fleet (3);
  cold_decider_t *decider = g_ptr_array_index (fleet->deciders, 0);
  uint32_t to_new = 0;

  g_assert_cmpint (find (decider, "new")->pace.reason, ==, PACE_STARTED);
  g_assert_cmpint (find (decider, "old0")->pace.reason, ==, PACE_NONE);
  g_assert_cmpuint (upstream_set_count_paced (decider->set, PACE_STARTED), ==,
                    1);
  begin (decider, "new", 1);
  for (uint32_t i = 0; i < 100; i++)
    {
      choice_t choice = cold_fleet_choose (decider, 1000, SETTLED_MS + 100);

      g_assert_cmpint (choice.kind, ==, CHOICE_SEND);
      to_new += g_str_equal (choice.member->id, "new");
    }
  g_assert_cmpuint (to_new, ==, 0);
  upstream_set_add_call_time (decider->set, find (decider, "new")->key, 10,
                              SETTLED_MS + 100);
  g_assert_cmpfloat (find (decider, "new")->pace.limit, >=, 2);
  cold_fleet_free (fleet);
}

/** One of two upstreams is new: the limit is passed over. */
static void
test_mostly_new (void)
{
  cold_fleet_t *fleet = make_fleet (1);
  cold_decider_t *decider = g_ptr_array_index (fleet->deciders, 0);
  uint64_t now_ms = SETTLED_MS + 4000;

  begin (decider, "new", 1);
  for (uint32_t i = 0; i < 32; i++)
    begin (decider, "old0", 100 + i);
  g_assert_cmpint (find (decider, "new")->pace.reason, ==, PACE_STARTED);
  g_assert_cmpstr (cold_fleet_choose (decider, 1000, now_ms).member->id, ==,
                   "new");
  cold_fleet_free (fleet);
}

/** The only upstreams with room have a limit, but most have none. */
static void
test_waiting (void)
{
  cold_fleet_t *fleet = make_fleet (3);
  cold_decider_t *decider = g_ptr_array_index (fleet->deciders, 0);
  char id[16];

  begin (decider, "new", 1);
  for (uint32_t i = 0; i < 96; i++)
    {
      g_snprintf (id, sizeof id, "old%u", i % 3);
      begin (decider, id, 100 + i);
    }
  g_assert_cmpint (cold_fleet_choose (decider, 1000, SETTLED_MS + 4000).kind,
                   ==, CHOICE_WAIT);
  cold_fleet_free (fleet);
}

static void
test_paused (void)
{
  cold_fleet_t *fleet = make_fleet (3);
  cold_decider_t *decider = g_ptr_array_index (fleet->deciders, 0);

  upstream_set_pause (decider->set, find (decider, "old1")->key,
                      SETTLED_MS + 500);
  upstream_set_tick (decider->set, SETTLED_MS + 400);
  g_assert_cmpint (find (decider, "old1")->pace.reason, ==, PACE_NONE);
  upstream_set_tick (decider->set, SETTLED_MS + 600);
  g_assert_cmpint (find (decider, "old1")->pace.reason, ==, PACE_PAUSED);
  cold_fleet_free (fleet);
}

static void
test_cold (void)
{
  cold_fleet_t *fleet = make_fleet (3);
  cold_decider_t *decider = g_ptr_array_index (fleet->deciders, 0);

  upstream_set_mark_cold (decider->set, find (decider, "old1")->key,
                          SETTLED_MS + 500, SETTLED_MS);
  g_assert_cmpint (find (decider, "old1")->pace.reason, ==, PACE_COLD);
  cold_fleet_free (fleet);
}

static void
test_returned (void)
{
  cold_fleet_t *fleet = make_fleet (3);
  cold_decider_t *decider = g_ptr_array_index (fleet->deciders, 0);
  uint64_t now_ms = SETTLED_MS;

  for (uint32_t i = 1; i <= 2; i++)
    {
      begin (decider, "old2", i);
      upstream_set_end (decider->set, i, UPSTREAM_JOB_FAILED, now_ms);
    }
  while (find (decider, "old2")->trust == UPSTREAM_EJECTED)
    cold_fleet_step (fleet, now_ms += 200);
  g_assert_cmpint (find (decider, "old2")->pace.reason, ==, PACE_RETURNED);
  g_assert_cmpfloat (find (decider, "old2")->pace.limit, ==, 1);
  cold_fleet_free (fleet);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/pace-choice/started", test_started);
  g_test_add_func ("/pace-choice/mostly-new", test_mostly_new);
  g_test_add_func ("/pace-choice/waiting", test_waiting);
  g_test_add_func ("/pace-choice/paused", test_paused);
  g_test_add_func ("/pace-choice/cold", test_cold);
  g_test_add_func ("/pace-choice/returned", test_returned);
  return g_test_run ();
}
