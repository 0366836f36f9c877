/**
 * @file load-batch.h
 * Collects changes of jobs and sends them together to the same receivers, other
 * entry instances (load-share.h).
 */
#ifndef LOAD_BATCH_H
#define LOAD_BATCH_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "metric.h"
#include "share-link.h"
#include "upstream-set.h"

struct event_base;

typedef struct load_batch load_batch_t;

typedef struct
{
  struct event_base *base;
  share_link_t *link;
  const char *zone;    /**< availability zone of this instance; kept */
  const char *address; /**< IP:PORT at which the link listens; kept */
  bool is_zone;        /**< the jobs of the zone, not only of this instance */
  uint32_t delay_ms;   /**< from the first change to its batch */
  metric_t *bytes;     /**< counts what is sent; may be NULL */
  metric_t *messages;  /**< may be NULL */
} load_batch_options_t;

/** Creates a batch without receivers; freed with @a parent (talloc). */
load_batch_t *load_batch_new (void *parent,
                              const load_batch_options_t *options);

/** Returns the receivers, an array of placer_peer_t that the caller fills.
 * While it is empty, changes are dropped. */
GPtrArray *load_batch_targets (load_batch_t *batch);

/** These add a change and schedule the batch. */
void load_batch_add_begun (load_batch_t *batch, const upstream_job_t *job);
void load_batch_add_first_event (load_batch_t *batch, uint64_t job_id);
void
load_batch_add_ended (load_batch_t *batch, uint64_t job_id, Lwm__ShareEnd how);
void
load_batch_add_orphan (load_batch_t *batch, uint64_t job_id, uint64_t upstream);
void load_batch_add_observation (load_batch_t *batch,
                                 const Lwm__ShareObservation *observation);

/** Sends the changes at once, if there are any. */
void load_batch_flush (load_batch_t *batch);

/**
 * Sends all jobs, with the changes that wait.
 * @param jobs array of upstream_job_t
 * @param zone_age_ms see ShareUpdate in proto/share.proto
 */
void load_batch_send_whole (load_batch_t *batch,
                            const GArray *jobs,
                            uint32_t zone_age_ms);

#endif
