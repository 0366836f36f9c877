/**
 * @file load-share.h
 * Exchanges the open jobs with other entry instances: which requests are at
 * which upstreams, and how fast these answer.
 *
 * Every instance reports its own jobs to the placer of its zone and to the
 * stand-by (placer-ranking.h). A placer reports the jobs of its zone to the
 * placers of other zones. So the messages of an instance do not grow with the
 * number of instances.
 *
 * Changes are sent in small batches. All open jobs are sent at regular
 * intervals as well, so that a lost message has no lasting effect. The jobs of
 * an instance that times out are removed.
 */
#ifndef LOAD_SHARE_H
#define LOAD_SHARE_H

#include <stddef.h>
#include <stdint.h>

#include "metric.h"
#include "placer-ranking.h"
#include "quarantine.h"
#include "share-link.h"
#include "upstream-set.h"

struct event_base;

typedef struct load_share load_share_t;

typedef struct
{
  struct event_base *base;
  share_link_t *link;
  placer_ranking_t *ranking;
  const char *zone;    /**< availability zone of this instance; kept */
  const char *address; /**< IP:PORT at which the link listens; kept */
  upstream_set_t *set;
  quarantine_t *quarantine; /**< shared with others; may be NULL */
  /** The jobs of other instances have changed; may be NULL. */
  void (*on_change) (void *context);
  /** A lost instance has left reserved memory, with the id and upstream of the
   * job; may be NULL. May be called several times for the same job. */
  void (*on_orphan) (const upstream_job_t *job, void *context);
  /** An instance timed out; may be NULL. */
  void (*on_lost) (uint64_t incarnation, void *context);
  /** Returns whether this instance can choose upstreams for others. */
  bool (*is_able) (void *context);
  void *context;
  metrics_t *metrics; /**< may be NULL */
} load_share_options_t;

/** Starts to send and receive updates; freed with @a parent (talloc). The
 * objects in @a options must outlive it. */
load_share_t *load_share_new (void *parent,
                              const load_share_options_t *options);

/**
 * Handles an update or an acknowledgement from another instance.
 * @param address of the instance, for an answer to a message of this one
 */
void load_share_receive (load_share_t *share,
                         const Lwm__ShareMessage *message,
                         const char *address);

/**
 * Returns whether this instance knows all jobs of its zone: it has received
 * them for long enough, or all instances of the zone have just started and have
 * reported their jobs.
 */
bool load_share_is_complete (const load_share_t *share, uint64_t now_ms);

/**
 * Returns whether the zone has just started as a whole, as far as this instance
 * knows, and this instance does not yet know its jobs. A placer is to be
 * expected within a fraction of a second.
 */
bool load_share_is_starting (const load_share_t *share, uint64_t now_ms);

/** Returns whether no instance of the zone has run for long, as far as this one
 * knows. */
bool load_share_is_new_zone (const load_share_t *share, uint64_t now_ms);

/** Informs the instances that report to this one if it has become able to
 * choose upstreams for them, or is no longer. To be called after a change on
 * which is_able() depends. */
void load_share_check_able (load_share_t *share);

/**
 * Returns whether this instance, as the placer of its zone, counts the requests
 * of all instances: it has been the placer for long enough that another one
 * which lost contact does not count them any more, and most instances of the
 * zone report to it.
 */
bool load_share_is_counting (const load_share_t *share, uint64_t now_ms);

/** Records that this instance chooses upstreams for others now, and so reports
 * the jobs of its zone to other zones for some time. */
void load_share_act (load_share_t *share, uint64_t now_ms);

/** Chooses the receivers of updates again, after a change of the ranking. */
void load_share_update_targets (load_share_t *share);

/** Sends the changes of this instance's jobs at once. */
void load_share_flush (load_share_t *share);

/** Announces that a job of this instance begins. */
void load_share_begin (load_share_t *share, const upstream_job_t *job);
/** Announces that a job begins which this instance placed for another one. */
void load_share_begin_placed (load_share_t *share, const upstream_job_t *job);
/** Announces that a job of this instance has its first event. */
void load_share_first_event (load_share_t *share, uint64_t job_id);
/** Announces that a job of this instance has ended. */
void
load_share_end (load_share_t *share, uint64_t job_id, upstream_job_end_t how);
/**
 * Announces what an answer showed about the speed of an upstream; 0: nothing.
 * @param call_ms see upstream_set_add_call_time()
 * @param slowness see upstream_set_add_slowness()
 */
void load_share_observe (load_share_t *share,
                         uint64_t upstream,
                         double call_ms,
                         double slowness);

/** Announces what an upstream said of itself in an answer.
 * @param pause_ms time for which it wants no requests, or 0 */
void load_share_report_state (load_share_t *share,
                              uint64_t upstream,
                              bool is_leaving,
                              uint32_t pause_ms);

/** Announces that an upstream said in an answer that it is cold for @a cold_ms.
 */
void load_share_report_cold (load_share_t *share,
                             uint64_t upstream,
                             uint32_t cold_ms);

/** Announces that an upstream was silent within an answer for too long. */
void load_share_report_late_gap (load_share_t *share, uint64_t upstream);

/** Reports the rate limit of an upstream that the set knows, or its end. */
void load_share_report_limit (load_share_t *share, uint64_t upstream);

#endif
