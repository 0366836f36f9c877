/**
 * @file fleet.h
 * The scheduler's table of upstreams. For each it holds the announced state,
 * the last load report and the requests this instance has sent to it.
 *
 * A load report arrives some time after it was taken, so the table corrects it
 * by the requests that this instance has sent and finished since then.
 */
#ifndef FLEET_H
#define FLEET_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "job.h"
#include "rate.h"
#include "sched.h"

typedef struct fleet fleet_t;

/** One upstream: announced state, last load report and the requests of this
 * instance. */
typedef struct fleet_upstream
{
  char *name;
  uint64_t incarnation;
  char *zone;
  char *service;
  weights_t *loaded; /**< weights an engine has loaded */
  size_t loaded_count;
  char *role; /**< which phases an engine runs, as announced */
  bool is_engine;
  bool leaving;                     /**< takes no new requests */
  bool suspect;                     /**< had recent failures */
  bool in_own_zone;                 /**< in this instance's availability zone */
  uint64_t kv_tokens;               /**< size of the KV memory, 0 for unknown */
  uint32_t max_batch;               /**< most streams at once, 0 for unknown */
  rate_t rate;                      /**< prefill rate */
  uint32_t reported_running;        /**< streams in the last load report */
  uint64_t reported_kv_tokens;      /**< KV memory in use */
  uint64_t reported_waiting_tokens; /**< prompt tokens not read yet */
  uint64_t reported_at_ms;          /**< when the report was taken */

  GPtrArray *jobs; /**< job_t sent by this instance, still running */
  GArray *ends;    /**< this instance's requests that ended since the report */
  double short_read_until_ms; /**< predicted end of reading this instance's
                                 short prompts */
  GHashTable *prefixes;       /**< prefix hash to cached tokens; may be wrong */
} fleet_upstream_t;

/**
 * Creates an empty table, freed with @a parent (talloc).
 * @param zone availability zone of this instance; must outlive the table
 */
fleet_t *fleet_new (void *parent, const char *zone);

/**
 * Adds an upstream or updates it to @a state; strings are copied. A load report
 * older than the present one is ignored.
 * @return the upstream, owned by the table
 */
fleet_upstream_t *fleet_put (fleet_t *fleet, const sched_upstream_t *state);

/** Removes an upstream and detaches its jobs from it. */
void fleet_drop (fleet_t *fleet, const char *name);

/** Returns the upstream called @a name, or NULL. */
fleet_upstream_t *fleet_find (fleet_t *fleet, const char *name);

/** Returns the upstreams (fleet_upstream_t) of @a service in order of name, or
 * NULL when it never had any. The array is owned by the table. */
const GPtrArray *fleet_service_upstreams (const fleet_t *fleet,
                                          const char *service);

/** Sets the preferred version of @a service; NULL or "" for none. */
void
fleet_set_version (fleet_t *fleet, const char *service, const char *version);

/** Returns whether the upstream can serve @a job with the preferred version of
 * its service; true when none is set or the upstream is a plain service. */
bool fleet_is_preferred (const fleet_t *fleet,
                         const fleet_upstream_t *upstream,
                         const job_t *job);

/** Returns the weights that @a job would use on the upstream, with the
 * preferred version if it is loaded; NULL for a plain service or when none
 * fits. */
const weights_t *fleet_choose_weights (const fleet_t *fleet,
                                       const fleet_upstream_t *upstream,
                                       const job_t *job);

/** Records that the upstream has @a tokens of a prefix cached; 0 removes the
 * prefix. */
void fleet_set_prefix (fleet_upstream_t *upstream,
                       uint64_t prefix_hash,
                       uint64_t tokens);

/** Returns how many prompt tokens of @a job the upstream has probably cached.
 * This is a hint and may be wrong. */
uint64_t fleet_cached_tokens (const fleet_upstream_t *upstream,
                              const job_t *job);

/** Records that @a job is sent to @a upstream. */
void fleet_attach (fleet_upstream_t *upstream, job_t *job, uint64_t now_ms);

/** Records that @a job no longer runs at its upstream, if it has one. */
void fleet_detach (job_t *job, uint64_t now_ms);

/** Returns whether the upstream can serve @a job: a plain service, or an engine
 * that has the requested weights loaded and reads prompts. */
bool fleet_serves (const fleet_upstream_t *upstream, const job_t *job);

/** Returns whether @a job fits into the free KV memory and batch slots, judged
 * by the corrected load report. */
bool fleet_has_room (const fleet_upstream_t *upstream, const job_t *job);

/** Returns the number of running streams: the reported one, corrected by the
 * requests that this instance has sent and finished since the report. */
uint32_t fleet_running (const fleet_upstream_t *upstream);

/** Returns the KV memory in use, in tokens, corrected in the same way. */
uint64_t fleet_kv_used (const fleet_upstream_t *upstream);

#endif
