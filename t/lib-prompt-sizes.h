/**
 * @file lib-prompt-sizes.h
 * Checks on simulated engines that prompts of all sizes are served alike, for
 * tests by load pattern. A case simulates half a minute of a large fleet with
 * several seeds.
 */
#ifndef LIB_PROMPT_SIZES_H
#define LIB_PROMPT_SIZES_H

#include "lib-engines.h"

/** Engines for which the load is meant, those that are left on a day on which
 * others leave or crash, and those that are left when more do. */
#define PROMPT_SIZES_FLEET 112
#define PROMPT_SIZES_MOST  100
#define PROMPT_SIZES_FEWER 90

/** Returns the load of zones whose waves of arrivals are in step. The bursts
 * and kinds are set by the check. */
engines_load_t prompt_sizes_load (void);

/** Returns the load of zones whose waves of arrivals are not in step, so that
 * their sum is flatter and has its crest earlier. Each zone has engines. */
engines_load_t prompt_sizes_load_of_zones (void);

/** Checks the shares of the largest prompts of each kind when bursts of long
 * prompts and of short ones take turns. */
void prompt_sizes_check_bursts (engines_load_t load, uint32_t engines);

#endif
