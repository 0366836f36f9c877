/**
 * @file lib-engines.h
 * Simulates model engines in simulated time, for tests of placement policies
 * under load. The engines work in passes, as engine-model.h describes, and a
 * service places arriving requests on them through upstream-choice.h. Several
 * instances may place requests, each by its own, lagging view of the requests
 * of the other instances. Nothing here does I/O or reads a clock.
 */
#ifndef LIB_ENGINES_H
#define LIB_ENGINES_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "directory.h"
#include "lib-policies.h"

/** One kind of request and its rate of arrival. */
typedef struct
{
  const char *name;
  double rate_s;            /**< mean arrivals per second */
  double prompt_tokens;     /**< mean number of prompt tokens */
  double prompt_spread;     /**< sigma of the lognormal prompt length */
  double prompt_max_tokens; /**< upper limit of prompt tokens */
  uint32_t answer_events;   /**< mean number of events in an answer */
  uint32_t target_ms;       /**< target for the time to the first event */
  uint32_t gap_target_ms;   /**< target for the time between two events */
  uint32_t deadline_ms;
  double worth;      /**< value of an answer in time */
  double late_worth; /**< value of a late answer */
} engines_kind_t;

/** A time in which one kind of request arrives more or less often. */
typedef struct
{
  uint32_t kind; /**< index */
  uint32_t from_ms;
  uint32_t for_ms;
  double factor; /**< on its rate */
} engines_burst_t;

typedef struct
{
  policy_t policy;
  const engine_model_t *model;
  uint32_t engines;
  uint32_t instances; /**< number of instances that place requests; 0 means 1 */
  uint32_t lag_ms;    /**< delay until a view learns of another's placement */
  /** Number of zones, each with one placer whose view all its instances use; 0:
   * every instance decides by a view of its own. */
  uint32_t zones;
  bool has_engine_zones; /**< the engines are in these zones, else all in one */
  uint32_t ask_ms;    /**< with zones: from asking the placer to its answer */
  uint32_t decide_ms; /**< with zones: time of a decision at the placer */
  uint32_t
      loss_percent; /**< share of the messages between views that is lost */
  /** With zones: every placer is lost at this time after the start, 0 for
   * never. Its instances ask it in vain for the time-out, then another one. */
  uint32_t placers_lost_ms;
  uint32_t ask_timeout_ms;
  /** With zones: until this time after the start, no zone has a placer, and
   * each instance decides by what it has sent itself. */
  uint32_t placerless_ms;
  uint32_t spread_ms; /**< time from the start with choice_request_t.spreads */
  uint32_t hold_ms; /**< longest time for which a request waits for a placer */
  bool is_blind;    /**< views learn nothing of each other */
  uint32_t event_tokens; /**< answer tokens in one event */
  const engines_kind_t *kinds;
  uint32_t kind_count;
  double swing; /**< amplitude of the sine of the arrival rates, as a share */
  uint32_t swing_ms;    /**< period of the sine of the arrival rates */
  uint32_t swing_at_ms; /**< time of the sine at the start of the load */
  uint32_t burst;       /**< factor on the rates for a fifth of the period */
  const engines_burst_t *bursts; /**< of single kinds */
  uint32_t burst_count;
  uint32_t length_ms;
  uint32_t seed;
} engines_load_t;

/** A fleet with short, medium and long prompts, of which a fifth are larger
 * than the memory of an engine. */
#define ENGINES_FLEET_KINDS        3
#define ENGINES_FLEET_EVENT_TOKENS 68

extern const engine_model_t engines_fleet_model;

/** Sets the kinds of requests of a fleet with @a engines engines, the shortest
 * prompts first. */
void engines_fleet_kinds (uint32_t engines,
                          engines_kind_t kinds[ENGINES_FLEET_KINDS]);

#define ENGINES_MAX_KINDS 4
#define ENGINES_TENTHS    10
#define ENGINES_MAX_VIEWS 320
/** Seconds of a load whose requests are counted by the second; the others are
 * counted together. */
#define ENGINES_SECONDS 8

/** Counts the outcomes of a group of requests. */
typedef struct
{
  uint32_t asked;
  uint32_t in_time;
  uint32_t late;
  uint32_t refused;
  uint32_t failed;
  double offered; /**< value of all requests, if answered in time */
  double earned;  /**< value of the answers given */
} engines_tally_t;

typedef struct
{
  engines_tally_t kinds[ENGINES_MAX_KINDS];
  engines_tally_t all;
  /** Of each kind, by the size of the prompt: the smallest tenth first. */
  engines_tally_t tenths[ENGINES_MAX_KINDS][ENGINES_TENTHS];
  /** By the second in which the request first arrived. */
  engines_tally_t seconds[ENGINES_SECONDS + 1];
  uint32_t placed;     /**< whole prompts sent to an engine */
  uint32_t collisions; /**< those that found no free slot there */
  uint64_t messages;   /**< between instances */
  GArray *decide_ms;   /**< double: time from arrival or retry to a decision
                            on a request that did not wait; the caller frees it
                            with engines_result_clear() */
} engines_result_t;

/** Frees what a result owns. */
void engines_result_clear (engines_result_t *result);

/**
 * Returns a directory of engines 0 to @a count - 1 of the service "engines",
 * which are in the zones by turns; it is freed with @a parent (talloc).
 */
directory_t *engines_directory_new (void *parent,
                                    uint32_t count,
                                    const char *const *zones,
                                    uint32_t zone_count,
                                    uint32_t slots,
                                    uint64_t now_ms);

/** Simulates a load to its end and returns the outcomes. */
engines_result_t engines_simulate (const engines_load_t *load);

/** Prints the result, one line per kind. */
void engines_print (const engines_load_t *load, const engines_result_t *result);

/** Returns the earned share of the total value; 1 if there was no request. */
double engines_earned_share (const engines_tally_t *tally);

/** Returns the share of the requests that were served, in time or late. */
double engines_served_share (const engines_tally_t *tally);

/** Adds the counts of @a tally to @a sum. */
void engines_add_tally (engines_tally_t *sum, const engines_tally_t *tally);

#endif
