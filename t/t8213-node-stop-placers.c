/*
 * The instances that choose upstreams for a zone stop together, with real
 * processes, while requests of the others wait for their answers: each request
 * that was read has an answer. Issue 49.
 *
 * LWM_PLACERS_SEEDS and LWM_PLACERS_FIRST_SEED set the seeds.
 */
#include <signal.h>
#include <stdlib.h>

#include "lib-node-callers.h"

#define ENTRIES        6
#define ZONES          2
#define STOP_TIMEOUT_S 8
#define LOOK_MS        10
#define SETTLE_MS      2500 /* until the instances know their placers */
#define DEFAULT_SEEDS  1
#define FEW_SLOTS      6 /* fewer in all than the callers use */
/** A sanitized process looks for leaks after its last answer. */
#ifdef __SANITIZE_ADDRESS__
#define LEAK_CHECK_MS 5000
#else
#define LEAK_CHECK_MS 0
#endif

typedef struct
{
  nodes_t *nodes;
  node_upstreams_t *upstreams;
  node_stop_t stops[ENTRIES];
  uint32_t count;
  uint32_t late; /* instances that did not end by themselves in time */
} fixture_t;

static uint32_t
number_from_environment (const char *name, uint32_t value)
{
  const char *text = g_getenv (name);

  return text != NULL ? (uint32_t)strtoul (text, NULL, 10) : value;
}

static process_t *
process_of (const fixture_t *fixture, int entry)
{
  return fixture->nodes->process[NODES_ENTRY + entry];
}

static void
wait_ready (const fixture_t *fixture)
{
  for (int i = 0; i < ENTRIES; i++)
    CLUSTER_WAIT (nodes_is_ready (fixture->nodes, NODES_ENTRY + i));
  cluster_sleep_ms (SETTLE_MS);
}

static fixture_t
set_up (void)
{
  nodes_options_t options = { .version = 5,
                              .entries = ENTRIES,
                              .zones = ZONES,
                              .stop_timeout_s = STOP_TIMEOUT_S,
                              .has_all_kinds = true };
  fixture_t fixture = { .nodes = nodes_new_with (&options) };

  fixture.upstreams = node_upstreams_new (fixture.nodes, FEW_SLOTS);
  node_callers_wait_served (fixture.nodes, "/safe/0");
  return fixture;
}

static void
tear_down (fixture_t *fixture)
{
  for (int i = 0; i < ENTRIES; i++)
    process_signal (process_of (fixture, i), SIGKILL);
  node_upstreams_free (fixture->upstreams);
  nodes_free (fixture->nodes);
}

static void
begin_stop (fixture_t *fixture, int entry)
{
  node_stop_t *stop = &fixture->stops[fixture->count++];

  *stop = (node_stop_t){ .entry = entry,
                         .sigterm_us = g_get_monotonic_time (),
                         .timeout_ms = STOP_TIMEOUT_S * 1000 };
  process_signal (process_of (fixture, entry), SIGTERM);
}

static void
wait_end (fixture_t *fixture, const node_stop_t *stop)
{
  process_t *process = process_of (fixture, stop->entry);
  int64_t end_us
      = stop->sigterm_us + (int64_t)(stop->timeout_ms + LEAK_CHECK_MS) * 1000;

  while (process_running (process) && g_get_monotonic_time () < end_us)
    cluster_sleep_ms (LOOK_MS);
  if (process_running (process))
    {
      process_print_log (process);
      process_signal (process, SIGKILL);
      fixture->late++;
      return;
    }
  process_expect_success (process);
}

/** Stops the instances of a zone within a drawn time, or of all zones. */
static void
stop_zone (fixture_t *fixture, GRand *random, bool has_other_zone)
{
  int zone = g_rand_int_range (random, 0, ZONES);

  for (int i = 0; i < ENTRIES; i++)
    {
      if (i % ZONES != zone && !has_other_zone)
        continue;
      begin_stop (fixture, i);
      cluster_sleep_ms ((uint32_t)g_rand_int_range (random, 0, 300));
    }
}

static void
add_callers (node_callers_t *callers)
{
  node_callers_add (callers, CALLER_MIXED_STREAMS, 24);
  node_callers_add (callers, CALLER_BUSY, 12);
  node_callers_add (callers, CALLER_PAUSED, 6);
  node_callers_add (callers, CALLER_CHUNKED, 6);
}

/** Stops a zone's instances together, and checks what all callers got. */
static uint32_t
run_round (fixture_t *fixture, GRand *random, bool has_other_zone)
{
  node_callers_options_t options
      = { .nodes = fixture->nodes, .seed = g_rand_int (random) };
  node_callers_t *callers = node_callers_new (&options);
  node_outcome_t outcome;

  fixture->count = fixture->late = 0;
  wait_ready (fixture);
  add_callers (callers);
  cluster_sleep_ms ((uint32_t)g_rand_int_range (random, 500, 1500));
  stop_zone (fixture, random, has_other_zone);
  for (uint32_t i = 0; i < fixture->count; i++)
    wait_end (fixture, &fixture->stops[i]);
  for (uint32_t i = 0; i < fixture->count; i++)
    nodes_start (fixture->nodes, NODES_ENTRY + fixture->stops[i].entry, false);
  node_callers_finish (callers);
  outcome = node_callers_check_stops (callers, fixture->upstreams,
                                      fixture->stops, fixture->count);
  node_callers_free (callers);
  g_assert_cmpuint (outcome.ran, >, 0);
  return outcome.faults + fixture->late;
}

static void
run_rounds (bool has_other_zone)
{
  uint32_t first = number_from_environment ("LWM_PLACERS_FIRST_SEED", 1);
  uint32_t seeds = number_from_environment ("LWM_PLACERS_SEEDS", DEFAULT_SEEDS);
  fixture_t fixture = set_up ();
  uint32_t faults = 0;

  for (uint32_t seed = first; seed < first + seeds; seed++)
    {
      GRand *random = g_rand_new_with_seed (seed);

      g_test_message ("seed %u", seed);
      faults += run_round (&fixture, random, has_other_zone);
      g_rand_free (random);
    }
  tear_down (&fixture);
  g_assert_cmpuint (faults, ==, 0);
}

/** Guards against requests that have no answer because the instances which
 * choose upstreams for their zone, one after the other, have stopped. */
static void
test_zone_together (void)
{
  run_rounds (false);
}

/** Guards against the same when the placers of all zones stop together. */
static void
test_all_zones_together (void)
{
  run_rounds (true);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/node-stop-placers/zone-together", test_zone_together);
  g_test_add_func ("/node-stop-placers/all-zones-together",
                   test_all_zones_together);
  return g_test_run ();
}
