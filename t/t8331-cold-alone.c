/*
 * Tests that instances which decide alone do not exceed the bound of a cold
 * upstream together, also when all of them have been idle before: each of them
 * would send a request at the same moment.
 */
#include <glib.h>

#include "lib-cold.h"

#define INSTANCES 100
#define STEP_MS   10

static cold_fleet_t *
start_instances (uint32_t upstreams, uint32_t cold_ms)
{
  static const char *const zones[] = { "a", "b", "c" };
  cold_fleet_t *fleet = cold_fleet_new (0);
  char id[16];

  for (uint32_t i = 0; i < upstreams; i++)
    {
      g_snprintf (id, sizeof id, "u%u", i);
      cold_fleet_announce (fleet, id, "a", cold_ms, COLD_START_MS);
    }
  for (uint32_t i = 0; i < INSTANCES; i++)
    cold_fleet_add (fleet, zones[i % 3], COLD_START_MS)->is_alone = true;
  return fleet;
}

/** Every instance sends as often as it may. */
static void
send_all (cold_fleet_t *fleet, uint64_t from_ms, uint64_t to_ms)
{
  for (uint64_t now_ms = from_ms; now_ms < to_ms; now_ms += STEP_MS)
    {
      for (guint i = 0; i < fleet->deciders->len; i++)
        cold_fleet_send (fleet, g_ptr_array_index (fleet->deciders, i), now_ms);
    }
}

/** The instances are never told of each other's requests. */
static void
test_bound (void)
{
  cold_fleet_t *fleet = start_instances (1, 10000);

  fleet->lag_ms = UINT32_MAX;
  cold_fleet_introduce (fleet);
  send_all (fleet, COLD_START_MS + 2000, COLD_START_MS + 9990);
  g_test_message ("most=%u sent=%u", cold_fleet_most_in_a_second (fleet),
                  cold_fleet_sent (fleet));
  g_assert_cmpuint (cold_fleet_most_in_a_second (fleet), <=, COLD_BOUND);
  g_assert_cmpuint (cold_fleet_sent (fleet), >, 0);
  cold_fleet_free (fleet);
}

/** An instance that does not know the others yet sends nothing. */
static void
test_unknown_others (void)
{
  cold_fleet_t *fleet = start_instances (1, 10000);

  send_all (fleet, COLD_START_MS, COLD_START_MS + 1000);
  g_assert_cmpuint (cold_fleet_sent (fleet), ==, 0);
  cold_fleet_free (fleet);
}

/** A request waits for the end of the cold time if that is soon enough. */
static void
test_waiting (void)
{
  cold_fleet_t *fleet = start_instances (1, 1000);
  const cold_decider_t *decider = g_ptr_array_index (fleet->deciders, 0);
  choice_t choice = cold_fleet_choose (decider, 2000, COLD_START_MS);

  g_assert_cmpint (choice.kind, ==, CHOICE_WAIT);
  choice = cold_fleet_choose (decider, 500, COLD_START_MS);
  g_assert_cmpint (choice.kind, ==, CHOICE_NONE);
  choice = cold_fleet_choose (decider, 500, COLD_START_MS + 1000);
  g_assert_cmpint (choice.kind, ==, CHOICE_SEND);
  cold_fleet_free (fleet);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/cold-alone/bound", test_bound);
  g_test_add_func ("/cold-alone/unknown-others", test_unknown_others);
  g_test_add_func ("/cold-alone/waiting", test_waiting);
  return g_test_run ();
}
