/**
 * @file lib-engines-restart.h
 * Pattern "common restart" on simulated engines: at time 0 no instance knows
 * any jobs, and besides the usual requests those of a second come back within
 * half a second. Values are counted by the second of arrival.
 */
#ifndef LIB_ENGINES_RESTART_H
#define LIB_ENGINES_RESTART_H

#include "lib-engines.h"

/** Time in which the requests of a second come back. */
#define ENGINES_CROWD_MS 500

typedef struct
{
  const char *name;
  uint32_t placerless_ms; /**< see engines_load_t */
  uint32_t hold_ms;       /**< see engines_load_t */
  uint32_t spread_ms;     /**< see engines_load_t */
  bool has_no_crowd;      /**< no requests come back: the usual load */
} engines_restart_way_t;

typedef struct
{
  uint32_t instances;
  uint32_t engines;
  uint32_t zones;
} engines_restart_fleet_t;

/** Simulates a restart with the given number of seeds. Sets the mean share of
 * the value earned by the requests of each second, without those that came
 * later than ENGINES_SECONDS. */
void engines_restart_simulate (const engines_restart_fleet_t *fleet,
                               const engines_restart_way_t *way,
                               uint32_t seeds,
                               double shares[ENGINES_SECONDS]);

#endif
