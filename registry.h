/**
 * @file registry.h
 * Registry of the known upstreams: their last announcements with their times,
 * and which upstreams are suspect after recent failures. It passes every change
 * to the scheduler.
 *
 * Announcements come from the upstreams or from other instances; a lower
 * incarnation than the known one is ignored. The module does no I/O and takes
 * the time as an argument.
 */
#ifndef REGISTRY_H
#define REGISTRY_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "metric.h"
#include "sched.h"
#include "upstream.h"

typedef struct registry registry_t;

/** An upstream's announcement. The registry copies the strings it stores. */
typedef struct
{
  const char *name;
  uint64_t incarnation;
  const char *address; /**< IP:PORT */
  const char *zone;
  const char *service;
  bool is_engine;
  bool leaving;
  const weights_t *loaded;
  size_t loaded_count;
  const char *role;
  uint64_t kv_tokens;
  uint32_t max_batch;
  uint32_t prefill_tokens_s;
  uint32_t step_us;
  bool fencing;
  uint64_t last_fencing;
  bool has_load;
  upstream_load_t load;
  uint32_t announce_ms; /**< announcement interval; 0: not given */
} registry_announcement_t;

/** Current state of one upstream; read-only outside the registry. */
typedef struct
{
  char *name;
  uint64_t incarnation;
  char *address;
  char *zone;
  char *service;
  weights_t *loaded;
  size_t loaded_count;
  char *role;
  bool is_engine;
  bool leaving;
  bool suspect;
  bool fencing;
  uint64_t last_fencing;
  uint64_t kv_tokens;
  uint32_t max_batch;
  uint32_t prefill_tokens_s;
  uint32_t step_us;
  upstream_load_t load;
  uint64_t load_taken_ms;
  uint64_t heard_ms;
  uint32_t announce_ms;
  uint32_t failures; /**< consecutive failed requests to the upstream */
  bool said_leaving; /**< an answer of this incarnation said that it leaves */
  uint64_t suspect_until_ms;
} registry_upstream_t;

/**
 * Called when an upstream is no longer used.
 * @param incarnation last incarnation that is gone
 * @param is_dead true when the incarnation is known to have ended, as after a
 *                restart; false when it only stopped announcing itself
 * @param has_left whether it was known to be leaving
 */
typedef void (*registry_gone_cb_t) (const char *name,
                                    uint64_t incarnation,
                                    bool is_dead,
                                    bool has_left,
                                    void *context);

typedef struct
{
  sched_t *sched;
  metrics_t *metrics; /**< may be NULL */
  registry_gone_cb_t gone;
  void *context;
} registry_options_t;

/** Creates an empty registry as a talloc child of @a parent. */
registry_t *registry_new (void *parent, const registry_options_t *options);

/**
 * Records an announcement received from the upstream or from another instance.
 * @return false when a later incarnation of the upstream is known
 */
bool registry_put_announcement (registry_t *registry,
                                const registry_announcement_t *announcement,
                                uint64_t now_ms);

/** Removes an upstream immediately, unless its incarnation differs. */
void
registry_drop (registry_t *registry, const char *name, uint64_t incarnation);

/** Returns the named upstream, or NULL when it is unknown. */
const registry_upstream_t *registry_find (const registry_t *registry,
                                          const char *name);

/** Records that a request failed by the upstream's fault; makes it suspect. */
void registry_record_failure (registry_t *registry,
                              const char *name,
                              uint64_t now_ms);

/** Records that an answer of this incarnation said that it leaves. */
void registry_record_leaving (registry_t *registry,
                              const char *name,
                              uint64_t incarnation);

/** Returns whether this incarnation has announced or said that it leaves. */
bool registry_is_leaving (const registry_t *registry,
                          const char *name,
                          uint64_t incarnation);

/** Records that the upstream answered; clears its failures. */
void registry_record_answer (registry_t *registry,
                             const char *name,
                             uint64_t now_ms);

/**
 * Removes upstreams that missed their announcements and ends suspicions whose
 * time is over; call it a few times a second.
 */
void registry_tick (registry_t *registry, uint64_t now_ms);

/** Receives one upstream; must not change the registry. */
typedef void (*registry_each_cb_t) (const registry_upstream_t *upstream,
                                    void *context);

/** Calls @a each for every upstream. */
void registry_each (const registry_t *registry,
                    registry_each_cb_t each,
                    void *context);

/** Returns the number of known upstreams. */
uint32_t registry_count (const registry_t *registry);

#endif
