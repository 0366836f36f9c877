/**
 * @file zone-placement.h
 * Finds upstreams for the requests of this instance, through the placer of its
 * zone, and acts as placer for other instances that ask it.
 *
 * A request that the placer does not answer in time is asked of the stand-by
 * and then decided here, from the jobs known here. So the loss, slowness or
 * partition of a placer delays a request by a fraction of a second and fails
 * none.
 */
#ifndef ZONE_PLACEMENT_H
#define ZONE_PLACEMENT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "metric.h"
#include "placer.h"
#include "quarantine.h"

struct event_base;

typedef struct zone_placement zone_placement_t;

/** A request that waits for its upstream. */
typedef struct zone_ask zone_ask_t;

typedef struct
{
  struct event_base *base;
  const char *listen; /**< IP:PORT for other entry instances; kept */
  const char *zone;   /**< availability zone of this instance; kept */
  uint32_t zone_cost_ms;
  upstream_set_t *set;
  quarantine_t *quarantine; /**< shared with other instances; may be NULL */
  /** See placer_options_t. */
  bool (*find_service) (const char *name,
                        placer_service_t *service,
                        void *context);
  /** A lost instance has left reserved memory, see load_share_options_t. */
  void (*on_orphan) (const upstream_job_t *job, void *context);
  void *context;
  metrics_t *metrics;
} zone_placement_options_t;

/**
 * Starts to listen; freed with @a parent (talloc).
 * @return NULL, after one line on stderr, when the address cannot be bound
 */
zone_placement_t *zone_placement_new (void *parent,
                                      const zone_placement_options_t *options);

/** Adds entry instances, by address and zone. */
void zone_placement_add_instances (zone_placement_t *placement,
                                   char *const *addresses,
                                   char *const *zones,
                                   size_t count);

/**
 * Returns how many instances there may be, including this one: those whose
 * address was ever learned. It is 0 while no other instance is known.
 */
uint32_t zone_placement_instances (const zone_placement_t *placement);

/** Returns the number of this instance's requests that are queued. */
uint32_t zone_placement_queued (const zone_placement_t *placement);

/**
 * Receives an answer. After PLACEMENT_QUEUED another one follows; after any
 * other kind the ask is over and freed.
 * @param request as asked, with its id
 */
typedef void (*zone_ask_cb_t) (const placement_request_t *request,
                               const placement_answer_t *answer,
                               void *context);

/**
 * Asks for an upstream. The id and owner of @a request are set here. The answer
 * comes after this function has returned.
 */
zone_ask_t *zone_placement_ask (zone_placement_t *placement,
                                const placement_request_t *request,
                                zone_ask_cb_t on_answer,
                                void *context);

/** Withdraws an ask, which is freed; no answer follows. */
void zone_ask_cancel (zone_ask_t *ask);

/** Returns whether the request is queued. */
bool zone_ask_is_queued (const zone_ask_t *ask);

/**
 * Begins the jobs of a placed request. A request that is not sent after its
 * placement must end them, too.
 */
void zone_placement_begin (zone_placement_t *placement,
                           const placement_request_t *request,
                           const placement_answer_t *answer);

/** Records the first event of a job, or a later one. */
void zone_placement_first_event (zone_placement_t *placement, uint64_t job_id);

/** Ends a job. */
void zone_placement_end (zone_placement_t *placement,
                         uint64_t job_id,
                         upstream_job_end_t how);

/** Records how fast an upstream answered, see load_share_observe(). */
void zone_placement_observe (zone_placement_t *placement,
                             uint64_t upstream,
                             double call_ms,
                             double slowness);

/** Records what an upstream said of itself, see load_share_report_state(). */
void zone_placement_report_state (zone_placement_t *placement,
                                  uint64_t upstream,
                                  bool is_leaving,
                                  uint32_t pause_ms);

/** Records that an upstream was silent within an answer for longer than the
 * target of the request. */
void zone_placement_report_late_gap (zone_placement_t *placement,
                                     uint64_t upstream);

/** Records that an upstream said in an answer that it is cold for @a cold_ms.
 */
void zone_placement_report_cold (zone_placement_t *placement,
                                 uint64_t upstream,
                                 uint32_t cold_ms);

/** Records the rate limit that an upstream named, see upstream_limit_set(). */
void zone_placement_report_limit (zone_placement_t *placement,
                                  uint64_t upstream,
                                  double rate_s,
                                  uint64_t stated_ms);

/** Decides again on queued requests, after a change of the upstreams. */
void zone_placement_recheck (zone_placement_t *placement);

#endif
