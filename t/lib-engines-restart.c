#include "lib-engines-restart.h"

/** The requests of a second in addition to the usual ones. */
#define CROWD_FACTOR (1.0 + 1000.0 / ENGINES_CROWD_MS)
#define LAG_MS       25
#define ASK_MS       8
#define DECIDE_MS    4

static engines_load_t
make_load (const engines_restart_fleet_t *fleet,
           const engines_restart_way_t *way,
           const engines_kind_t *kinds,
           const engines_burst_t *bursts)
{
  return (engines_load_t){ .policy = upstream_choose,
                           .model = &engines_fleet_model,
                           .engines = fleet->engines,
                           .instances = fleet->instances,
                           .zones = fleet->zones,
                           .has_engine_zones = true,
                           .lag_ms = LAG_MS,
                           .ask_ms = ASK_MS,
                           .decide_ms = DECIDE_MS,
                           .placerless_ms = way->placerless_ms,
                           .hold_ms = way->hold_ms,
                           .spread_ms = way->spread_ms,
                           .event_tokens = ENGINES_FLEET_EVENT_TOKENS,
                           .kinds = kinds,
                           .kind_count = ENGINES_FLEET_KINDS,
                           .bursts = bursts,
                           .burst_count
                           = way->has_no_crowd ? 0 : ENGINES_FLEET_KINDS,
                           .swing_ms = ENGINES_SECONDS * 1000,
                           .length_ms = ENGINES_SECONDS * 1000 };
}

void
engines_restart_simulate (const engines_restart_fleet_t *fleet,
                          const engines_restart_way_t *way,
                          uint32_t seeds,
                          double shares[ENGINES_SECONDS])
{
  engines_kind_t kinds[ENGINES_FLEET_KINDS];
  engines_burst_t bursts[ENGINES_FLEET_KINDS];
  engines_load_t load = make_load (fleet, way, kinds, bursts);
  engines_tally_t seconds[ENGINES_SECONDS] = { 0 };

  engines_fleet_kinds (fleet->engines, kinds);
  for (uint32_t i = 0; i < ENGINES_FLEET_KINDS; i++)
    bursts[i] = (engines_burst_t){ .kind = i,
                                   .for_ms = ENGINES_CROWD_MS,
                                   .factor = CROWD_FACTOR };
  for (load.seed = 1; load.seed <= seeds; load.seed++)
    {
      engines_result_t result = engines_simulate (&load);

      for (uint32_t i = 0; i < ENGINES_SECONDS; i++)
        engines_add_tally (&seconds[i], &result.seconds[i]);
      engines_result_clear (&result);
    }
  for (uint32_t i = 0; i < ENGINES_SECONDS; i++)
    shares[i] = engines_earned_share (&seconds[i]);
}
