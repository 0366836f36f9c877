/**
 * @file cache-events.h
 * Log of an engine's cache events as remote readers see it: each event becomes
 * visible after a delay, and some are lost. A lost event uses up its sequence
 * number, so a reader can detect the gap. The stand-in engine keeps one log.
 */
#ifndef CACHE_EVENTS_H
#define CACHE_EVENTS_H

#include <stdbool.h>
#include <stdint.h>

/** Maximum number of events kept; each further one replaces the oldest. */
#define CACHE_EVENTS_MAX_KEPT 4096

typedef struct cache_events cache_events_t;

/** A prefix that was added to the cache or evicted from it. */
typedef struct
{
  uint64_t seq;         /**< sequence number, set by cache_events_add() */
  uint64_t first_hash;  /**< hash of the prompt's first block */
  uint64_t prefix_hash; /**< hash of the added or evicted prefix */
  uint32_t tokens;      /**< length of that prefix */
  bool present;         /**< true: added, false: evicted */
  uint64_t at_us;       /**< time of the event */
} cache_event_t;

/** Delay and loss of a log. */
typedef struct
{
  uint64_t lag_us;       /**< delay until an event is visible */
  uint32_t loss_percent; /**< share of events that are lost */
  uint64_t seed;         /**< seed of the random choice of lost events */
} cache_events_options_t;

/** Creates an empty log; freed with @a parent (talloc). */
cache_events_t *cache_events_new (void *parent,
                                  const cache_events_options_t *options);

/** Gives a copy of @a event the next number and keeps it unless it is lost. */
void cache_events_add (cache_events_t *events, const cache_event_t *event);

/**
 * Visits the kept events that are visible at @a now_us and have a sequence
 * number of at least @a since, oldest first.
 * @return the sequence number to pass as @a since the next time
 */
uint64_t cache_events_visit_since (const cache_events_t *events,
                                   uint64_t since,
                                   uint64_t now_us,
                                   void (*visit) (const cache_event_t *event,
                                                  void *context),
                                   void *context);

#endif
