/**
 * @file lib-cold.h
 * Simulates instances and placers that send requests to cold upstreams, each by
 * a view of its own that learns of the others' requests late. Time is
 * simulated.
 */
#ifndef LIB_COLD_H
#define LIB_COLD_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "directory.h"
#include "placer-ranking.h"
#include "upstream-choice.h"
#include "upstream-set.h"

#define COLD_START_MS 100000
/** 18 requests a second, with the tolerances 1.5 and 5. */
#define COLD_PER_S  18.0
#define COLD_S      3.0
#define COLD_EXCESS 1.5
#define COLD_SLACK  5.0
#define COLD_BOUND  32

/** One decider. */
typedef struct
{
  upstream_set_t *set;
  placer_ranking_t *ranking;
  char zone[8];
  bool is_counting; /**< as a placer that counts all requests of its zone */
  bool is_alone;
} cold_decider_t;

/** Deciders, and the requests that they sent. */
typedef struct
{
  directory_t *directory;
  GPtrArray *deciders; /* cold_decider_t */
  GHashTable *sent;    /* key of the upstream -> GArray of uint64_t times */
  GArray *told;        /* messages on their way */
  uint32_t lag_ms;
  uint64_t last_job;
} cold_fleet_t;

/** Creates a fleet without upstreams and deciders. */
cold_fleet_t *cold_fleet_new (uint32_t lag_ms);

void cold_fleet_free (cold_fleet_t *fleet);

/** Announces an upstream of the service "s".
 * @param cold_ms as it says itself */
void cold_fleet_announce (cold_fleet_t *fleet,
                          const char *id,
                          const char *zone,
                          uint32_t cold_ms,
                          uint64_t now_ms);

/** Adds a decider that knows the upstreams announced so far. */
cold_decider_t *
cold_fleet_add (cold_fleet_t *fleet, const char *zone, uint64_t now_ms);

/** Makes all deciders know each other's addresses. */
void cold_fleet_introduce (cold_fleet_t *fleet);

/** Makes all deciders learn of the announcements. */
void cold_fleet_sync (cold_fleet_t *fleet, uint64_t now_ms);

/** Passes on what has been told, and runs the deciders' timers. */
void cold_fleet_step (cold_fleet_t *fleet, uint64_t now_ms);

/** Chooses an upstream for a request. */
choice_t cold_fleet_choose (const cold_decider_t *decider,
                            uint32_t left_ms,
                            uint64_t now_ms);

/**
 * Chooses an upstream and sends the request there; the other deciders learn of
 * it later.
 * @return whether it was sent
 */
bool
cold_fleet_send (cold_fleet_t *fleet, cold_decider_t *decider, uint64_t now_ms);

/** Returns the highest number of requests that an upstream got in one second,
 * over all seconds that begin at a request. */
uint32_t cold_fleet_most_in_a_second (const cold_fleet_t *fleet);

/** Returns the number of requests sent. */
uint32_t cold_fleet_sent (const cold_fleet_t *fleet);

#endif
