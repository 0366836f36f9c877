/*
 * Compares ways of choosing upstreams with 24, 80 and 300 instances on
 * simulated engines: each instance by a view of its own, and one placer for
 * each zone. Then compares the seconds after a common restart.
 *
 * usage: bench-placement [SEEDS [restart]]
 */
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "lib-engines-restart.h"

#define DEFAULT_SEEDS 2

/** Numbers of instances, with the engines and zones that go with them. */
typedef struct
{
  uint32_t instances;
  uint32_t engines;
  uint32_t zones;
  uint32_t mesh_lag_ms; /* grows with the messages that each instance handles */
} fleet_t;

static const fleet_t fleets[]
    = { { 24, 18, 3, 10 }, { 80, 45, 3, 20 }, { 300, 112, 5, 60 } };

typedef enum
{
  WAY_BLIND_RANDOM,
  WAY_MESH_RANDOM,
  WAY_MESH_FEWEST,
  WAY_MESH_TWO,
  WAY_MESH,
  WAY_RELAYS,
  WAY_PLACERS,
  WAY_COUNT,
} way_t;

static const char *const way_names[]
    = { [WAY_BLIND_RANDOM] = "no views, random",
        [WAY_MESH_RANDOM] = "mesh, random",
        [WAY_MESH_FEWEST] = "mesh, fewest requests",
        [WAY_MESH_TWO] = "mesh, two choices",
        [WAY_MESH] = "mesh, least loss",
        [WAY_RELAYS] = "views through relays, least loss",
        [WAY_PLACERS] = "a placer in each zone, least loss" };

typedef enum
{
  PATTERN_WAVE,
  PATTERN_BURST,
  PATTERN_DECIDERS_LOST,
  PATTERN_DECIDERS_SLOW,
  PATTERN_LOSSY,
  PATTERN_COUNT,
} pattern_t;

static const char *const pattern_names[]
    = { [PATTERN_WAVE] = "wave",
        [PATTERN_BURST] = "burst",
        [PATTERN_DECIDERS_LOST] = "deciders lost at the crest",
        [PATTERN_DECIDERS_SLOW] = "deciders slow",
        [PATTERN_LOSSY] = "5 % of messages lost" };

static void
set_way (engines_load_t *load, way_t way, const fleet_t *fleet)
{
  static const policy_t policies[]
      = { [WAY_BLIND_RANDOM] = policy_random,
          [WAY_MESH_RANDOM] = policy_random,
          [WAY_MESH_FEWEST] = policy_fewest_requests,
          [WAY_MESH_TWO] = policy_two_choices,
          [WAY_MESH] = upstream_choose,
          [WAY_RELAYS] = upstream_choose,
          [WAY_PLACERS] = upstream_choose };

  load->policy = policies[way];
  load->lag_ms = fleet->mesh_lag_ms;
  load->is_blind = way == WAY_BLIND_RANDOM;
  if (way == WAY_RELAYS)
    load->lag_ms = 45;
  if (way != WAY_PLACERS)
    return;
  load->zones = fleet->zones;
  load->lag_ms = 25;
  load->ask_ms = 8;
  load->decide_ms = 4;
}

static void
set_pattern (engines_load_t *load, pattern_t pattern)
{
  load->burst
      = pattern == PATTERN_BURST || pattern == PATTERN_DECIDERS_LOST ? 2 : 1;
  if (pattern == PATTERN_DECIDERS_LOST)
    {
      load->placers_lost_ms = 18000;
      load->ask_timeout_ms = 100;
    }
  if (pattern == PATTERN_DECIDERS_SLOW)
    {
      load->lag_ms *= 3;
      load->decide_ms *= 3;
      load->ask_ms *= 3;
    }
  if (pattern == PATTERN_LOSSY)
    load->loss_percent = 5;
}

/** Sums over the seeds of one row. */
typedef struct
{
  double share;
  double collisions;
  double messages; /* per request */
  GArray *decide_ms;
} row_t;

static gint
compare_doubles (gconstpointer a, gconstpointer b)
{
  double one = *(const double *)a;
  double other = *(const double *)b;

  return (one > other) - (one < other);
}

static double
quantile (GArray *values, double at)
{
  g_array_sort (values, compare_doubles);
  return values->len > 0
             ? g_array_index (values, double, (guint)(at * (values->len - 1)))
             : 0;
}

static void
add_run (row_t *row, engines_load_t *load, uint32_t seeds)
{
  engines_result_t result = engines_simulate (load);
  double asked = MAX (result.all.asked, 1);

  row->share += engines_earned_share (&result.all) / seeds;
  row->collisions += 100.0 * result.collisions / MAX (result.placed, 1) / seeds;
  row->messages += (double)result.messages / asked / seeds;
  g_array_append_vals (row->decide_ms, result.decide_ms->data,
                       result.decide_ms->len);
  engines_result_clear (&result);
}

static void
print_row (const fleet_t *fleet, way_t way, pattern_t pattern, uint32_t seeds)
{
  engines_kind_t kinds[ENGINES_FLEET_KINDS];
  engines_load_t load = { .model = &engines_fleet_model,
                          .engines = fleet->engines,
                          .instances = fleet->instances,
                          .event_tokens = ENGINES_FLEET_EVENT_TOKENS,
                          .kinds = kinds,
                          .kind_count = ENGINES_FLEET_KINDS,
                          .swing = 0.55,
                          .swing_ms = 17000,
                          .length_ms = 34000 };
  row_t row = { .decide_ms = g_array_new (FALSE, FALSE, sizeof (double)) };

  engines_fleet_kinds (fleet->engines, kinds);
  set_way (&load, way, fleet);
  set_pattern (&load, pattern);
  for (load.seed = 1; load.seed <= seeds; load.seed++)
    add_run (&row, &load, seeds);
  printf ("| %u | %s | %s | %.3f | %.1f | %.0f | %.0f | %.0f |\n",
          fleet->instances, pattern_names[pattern], way_names[way], row.share,
          row.collisions, quantile (row.decide_ms, 0.5),
          quantile (row.decide_ms, 0.99), row.messages);
  fflush (stdout);
  g_array_free (row.decide_ms, TRUE);
}

static const engines_restart_fleet_t restart_fleets[]
    = { { 24, 18, 3 }, { 83, 45, 3 }, { 300, 112, 5 } };

static const engines_restart_way_t restart_ways[] = {
  { "usual load", 0, 0, 0, true },
  { "crowd without restart", 0, 0, 0, false },
  { "placer after 2.5 s", 2500, 0, 0, false },
  { "placer after 2.5 s, held 0.1 s", 2500, 100, 0, false },
  { "placer after 2.5 s, spread 0.5 s", 2500, 0, 500, false },
  { "placer after 0.3 s, held 0.1 s", 300, 100, 0, false },
  { "placer after 0.3 s, held 0.1 s, spread 0.15 s", 300, 100, 150, false },
  { "placer after 0.03 s, held 0.1 s", 30, 100, 0, false },
  { "placer after 0.03 s, spread 0.5 s", 30, 0, 500, false },
  { "placer after 0.03 s, held 0.1 s, spread 0.15 s", 30, 100, 150, false },
  { "placer after 0.03 s, held 0.1 s, spread 0.5 s", 30, 100, 500, false },
  { "placer after 0.03 s, held 0.1 s, spread 1 s", 30, 100, 1000, false }
};

/** Prints the share of the value by the second after a common restart. */
static void
print_restarts (uint32_t seeds)
{
  printf ("\n| instances | common restart | second 1 | 2 | 3 | 4 | 5 | 6 | 7 | "
          "8 |\n"
          "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n");
  for (guint i = 0; i < G_N_ELEMENTS (restart_fleets); i++)
    for (guint j = 0; j < G_N_ELEMENTS (restart_ways); j++)
      {
        double shares[ENGINES_SECONDS];

        engines_restart_simulate (&restart_fleets[i], &restart_ways[j], seeds,
                                  shares);
        printf ("| %u | %s |", restart_fleets[i].instances,
                restart_ways[j].name);
        for (uint32_t k = 0; k < ENGINES_SECONDS; k++)
          printf (" %.3f |", shares[k]);
        printf ("\n");
        fflush (stdout);
      }
}

int
main (int argc, char **argv)
{
  uint32_t seeds = argc > 1 ? (uint32_t)atoi (argv[1]) : DEFAULT_SEEDS;

  if (argc > 2 && strcmp (argv[2], "restart") == 0)
    {
      print_restarts (MAX (seeds, 1));
      return 0;
    }
  printf (
      "| instances | pattern | way | value | collisions %% | decided p50 ms "
      "| p99 ms | messages per request |\n"
      "| --- | --- | --- | --- | --- | --- | --- | --- |\n");
  for (guint i = 0; i < G_N_ELEMENTS (fleets); i++)
    for (pattern_t pattern = 0; pattern < PATTERN_COUNT; pattern++)
      for (way_t way = 0; way < WAY_COUNT; way++)
        print_row (&fleets[i], way, pattern, MAX (seeds, 1));
  print_restarts (MAX (seeds, 1));
  return 0;
}
