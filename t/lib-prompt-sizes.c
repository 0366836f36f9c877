#include "lib-prompt-sizes.h"

#include <glib.h>

#define ZONES 5
#define SEEDS 3
/** The largest tenth of a kind, and the fifth below it, are served at least
 * this often, relative to the whole kind. */
#define LEAST_OF_KIND 0.5

enum
{
  SHORT,
  MEDIUM,
  LONG
};

/** Long prompts and short ones come in turns, so that most of the large ones
 * arrive when all engines are reading. */
static const engines_burst_t bursts_in_turns[]
    = { { SHORT, 1700, 9500, 2.5 },   { MEDIUM, 1700, 9500, 0.5 },
        { LONG, 1700, 9500, 0.05 },   { SHORT, 12000, 9500, 0.37 },
        { MEDIUM, 12000, 9500, 1.3 }, { LONG, 12000, 9500, 2.9 },
        { SHORT, 23000, 9500, 2.5 },  { MEDIUM, 23000, 9500, 0.5 },
        { LONG, 23000, 9500, 0.05 } };

engines_load_t
prompt_sizes_load (void)
{
  return (engines_load_t){ .policy = upstream_choose,
                           .model = &engines_fleet_model,
                           .engines = PROMPT_SIZES_MOST,
                           .event_tokens = ENGINES_FLEET_EVENT_TOKENS,
                           .kind_count = ENGINES_FLEET_KINDS,
                           .swing = 0.55,
                           .swing_ms = 17000,
                           .zones = ZONES,
                           .lag_ms = 25,
                           .ask_ms = 8,
                           .decide_ms = 4,
                           .length_ms = 34000 };
}

engines_load_t
prompt_sizes_load_of_zones (void)
{
  engines_load_t load = prompt_sizes_load ();

  load.has_engine_zones = true;
  load.swing = 0.47;
  load.swing_at_ms = 4400;
  load.lag_ms = 15;
  return load;
}

/** Sums up the results over the seeds. */
static engines_result_t
simulate_seeds (engines_load_t load)
{
  engines_result_t sum = { 0 };

  for (load.seed = 1; load.seed <= SEEDS; load.seed++)
    {
      engines_result_t result = engines_simulate (&load);

      for (uint32_t i = 0; i < load.kind_count; i++)
        {
          engines_add_tally (&sum.kinds[i], &result.kinds[i]);
          for (uint32_t j = 0; j < ENGINES_TENTHS; j++)
            engines_add_tally (&sum.tenths[i][j], &result.tenths[i][j]);
        }
      engines_add_tally (&sum.all, &result.all);
      engines_result_clear (&result);
    }
  engines_print (&load, &sum);
  return sum;
}

/** Checks the shares of the largest tenth and of the fifth below it. */
static void
check_sizes (const engines_result_t *result, uint32_t kind)
{
  const engines_tally_t *tenths = result->tenths[kind];
  double least = LEAST_OF_KIND * engines_served_share (&result->kinds[kind]);
  engines_tally_t fifth = tenths[ENGINES_TENTHS - 3];

  engines_add_tally (&fifth, &tenths[ENGINES_TENTHS - 2]);
  g_assert_cmpfloat (engines_served_share (&tenths[ENGINES_TENTHS - 1]), >=,
                     least);
  g_assert_cmpfloat (engines_served_share (&fifth), >=, least);
}

void
prompt_sizes_check_bursts (engines_load_t load, uint32_t engines)
{
  engines_kind_t kinds[ENGINES_FLEET_KINDS];
  engines_result_t result;

  engines_fleet_kinds (PROMPT_SIZES_FLEET, kinds);
  load.kinds = kinds;
  load.engines = engines;
  load.bursts = bursts_in_turns;
  load.burst_count = G_N_ELEMENTS (bursts_in_turns);
  result = simulate_seeds (load);
  for (uint32_t i = 0; i < ENGINES_FLEET_KINDS; i++)
    check_sizes (&result, i);
}
