/**
 * @file lib-zone.h
 * Runs several entry instances of two zones on one thread, each with a loop of
 * its own, and makes calls through the placer of their zone, for tests.
 */
#ifndef LIB_ZONE_H
#define LIB_ZONE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "base.h"
#include "directory.h"
#include "zone-placement.h"

#define ZONE_INSTANCES       6 /* every second one is in zone b */
#define ZONE_ENGINES         6
#define ZONE_SLOTS           2
#define ZONE_WAIT_TIMEOUT_MS 60000

typedef struct
{
  struct event_base *base;
  upstream_set_t *set;
  metrics_t *metrics;
  zone_placement_t *placement;
  char listen[32];
  uint64_t orphan; /* job whose reservation this instance has to release */
} zone_instance_t;

typedef struct
{
  directory_t *directory;
  zone_instance_t instances[ZONE_INSTANCES];
  char *addresses[ZONE_INSTANCES];
  char *zones[ZONE_INSTANCES];
} zone_fixture_t;

typedef struct
{
  zone_instance_t *instance;
  zone_ask_t *ask;
  placement_request_t request;
  placement_answer_t answer;
  bool is_answered;
  bool was_queued;
} zone_call_t;

/** Longest time of one round over all loops since it was set to 0. */
extern uint64_t zone_slowest_round_ms;

/** Runs the loops until a condition holds. Needs a variable "fixture". */
#define ZONE_WAIT(condition, paused)                                           \
  do                                                                           \
    {                                                                          \
      uint64_t end_ms = clock_mono_ms () + ZONE_WAIT_TIMEOUT_MS;               \
      while (!(condition) && clock_mono_ms () < end_ms)                        \
        zone_fixture_run_once (fixture, paused);                               \
      g_assert_true (condition);                                               \
    }                                                                          \
  while (0)

/** Creates a fixture; with @a is_lone, instance 1 is alone in its zone. */
zone_fixture_t *zone_fixture_new_with (bool is_lone);

zone_fixture_t *zone_fixture_new (void);

void zone_fixture_free (zone_fixture_t *fixture);

/** Starts an instance. Each has a loop of its own, so that one can stand still.
 */
void zone_fixture_open (zone_fixture_t *fixture, uint32_t index);

/** Ends an instance, as if it were killed; does nothing if it has ended. */
void zone_fixture_close (zone_instance_t *instance);

/** Runs the loops of all instances but the paused one once. */
void zone_fixture_run_once (zone_fixture_t *fixture,
                            const zone_instance_t *paused);

/** Does so for a time. */
void zone_fixture_run_for (zone_fixture_t *fixture,
                           const zone_instance_t *paused,
                           uint32_t ms);

/** Returns the value that follows @a sample in the metrics, or 0. */
double zone_fixture_metric (const zone_instance_t *instance,
                            const char *sample);

/** Asks for an upstream; an answer begins the jobs. */
void zone_call_start (zone_instance_t *instance, zone_call_t *call);

void zone_call_end (zone_call_t *call);

/** Returns whether another instance decides for this one, after a call that
 * tells. */
bool zone_call_is_decided_by_other (zone_fixture_t *fixture,
                                    zone_instance_t *instance);

/** Waits until all instances of a zone but one are decided for by that one, and
 * returns it. @a first is the first instance of the zone. */
zone_instance_t *zone_fixture_wait_for_placer_of (zone_fixture_t *fixture,
                                                  uint32_t first);

/** Does the same for zone a. */
zone_instance_t *zone_fixture_wait_for_placer (zone_fixture_t *fixture);

#endif
