/**
 * @file load-scenario.h
 * Reads and validates a scenario file of lwm-load.
 */
#ifndef LOAD_SCENARIO_H
#define LOAD_SCENARIO_H

#include "generated/scenario.pb-c.h"

/** Longest prompt that a scenario may request, in tokens. */
#define LOAD_MAX_PROMPT_TOKENS 1000000

/**
 * Reads and validates the scenario file @a path.
 * @param mistakes set to one line for each mistake when NULL is returned; owned
 *                 by @a parent
 * @return the scenario, owned by @a parent, or NULL if it has a mistake
 */
Lwm__Scenario *
load_scenario_read (void *parent, const char *path, char **mistakes);

/**
 * Returns the total length of all phases in scenario time; without phases it is
 * the scenario's duration_ms.
 */
uint64_t load_scenario_duration_ms (const Lwm__Scenario *scenario);

#endif
