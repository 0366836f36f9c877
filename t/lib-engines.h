/**
 * @file lib-engines.h
 * Model engines in simulated time, for tests of policy under load: they work
 * in passes, as engine-model.h describes, and a service places arrivals on
 * them through upstream-choice.h. Several instances may place them, each by
 * what it knows of the others' requests. Nothing here does I/O or reads a
 * clock.
 */
#ifndef LIB_ENGINES_H
#define LIB_ENGINES_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "directory.h"
#include "lib-policies.h"

/** One kind of request and how often it comes. */
typedef struct
{
  const char *name;
  double rate_s;        /**< arrivals in a second, on average */
  double prompt_tokens; /**< mean */
  double prompt_spread; /**< of a lognormal distribution */
  double prompt_most;
  uint32_t answer_events; /**< mean */
  uint32_t target_ms;     /**< of the first event */
  uint32_t gap_target_ms;
  uint32_t deadline_ms;
  double worth;
  double late_worth;
} engines_kind_t;

typedef struct
{
  policy_t policy;
  const engine_model_t *model;
  uint32_t engines;
  uint32_t instances; /**< that place requests, each by what it knows; 0: 1 */
  uint32_t lag_ms;    /**< after which one knows what another has placed */
  uint32_t event_tokens; /**< of an answer, in one event */
  const engines_kind_t *kinds;
  uint32_t kind_count;
  double swing;      /**< of the rates, as a share */
  uint32_t swing_ms; /**< its period */
  uint32_t burst;    /**< rates are so many times higher for a fifth of it */
  uint32_t length_ms;
  uint32_t seed;
} engines_load_t;

#define ENGINES_MAX_KINDS     4
#define ENGINES_MAX_INSTANCES 80

/** What became of the requests of one kind. */
typedef struct
{
  uint32_t asked;
  uint32_t in_time;
  uint32_t late;
  uint32_t refused;
  uint32_t failed;
  double owed; /**< worth */
  double earned;
} engines_tally_t;

typedef struct
{
  engines_tally_t kinds[ENGINES_MAX_KINDS];
  engines_tally_t all;
  engines_tally_t largest; /**< tenth of the last kind */
} engines_result_t;

/**
 * Engines 0 to @a count - 1 of the service "engines", by turns in two zones;
 * freed with @a parent (talloc).
 */
directory_t *engines_directory_new (void *parent,
                                    uint32_t count,
                                    const char *const zones[2],
                                    uint32_t slots,
                                    uint64_t now_ms);

/** Plays a load to its end. */
engines_result_t engines_play (const engines_load_t *load);

/** Prints the result, one line a kind. */
void engines_print (const engines_load_t *load, const engines_result_t *result);

/** Share of the worth owed that was earned. */
double engines_share (const engines_tally_t *tally);

#endif
