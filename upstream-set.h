/**
 * @file upstream-set.h
 * Holds the upstreams that a gateway may use: what they announced, the jobs
 * sent to them by this and other entry instances, and their recent behaviour.
 * No I/O; time is an argument.
 *
 * A job is one request at one upstream. Instances report their jobs to the one
 * that chooses upstreams for their zone (load-share.h).
 */
#ifndef UPSTREAM_SET_H
#define UPSTREAM_SET_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "directory.h"
#include "prompt-parts.h"
#include "upstream-cold.h"
#include "upstream-limit.h"
#include "upstream-pace.h"

typedef struct upstream_set upstream_set_t;

/** Size of the id of reserved memory, with its terminating 0. */
#define UPSTREAM_RESERVATION_ID_BYTES 40

/** One request at one upstream. */
typedef struct
{
  uint64_t id;       /**< unique over all instances */
  uint64_t request;  /**< id of the job that decodes the answer: the own one, or
                          for a part that of another upstream */
  uint64_t owner;    /**< instance that holds the request, 0 for this one */
  uint64_t source;   /**< instance that reported the job, 0 for this one */
  uint64_t upstream; /**< key of the incarnation */
  uint32_t prompt_tokens;
  uint32_t read_tokens; /**< prompt tokens that this upstream prefills itself */
  uint32_t answer_tokens; /**< upper bound or likely length of the answer */
  uint32_t kv_tokens;     /**< memory it takes at this upstream */
  uint32_t gap_target_ms; /**< pause between events that the caller accepts */
  double value;           /**< see upstream_job_value() */
  uint64_t begun_ms;      /**< when the caller sent the request */
  uint64_t due_ms;        /**< when the first event is due, 0 if unknown */
  uint64_t sent_ms;
  uint64_t first_ms;    /**< when its first event came, 0 before */
  bool is_late;         /**< a gap has exceeded gap_target_ms */
  bool is_part;         /**< prefills a part of a prompt for another upstream */
  bool has_reservation; /**< memory is reserved there under the name of
                             upstream_reservation_name() */
  bool is_granted;      /**< this instance placed it */
  prompt_parts_t parts; /**< of the prompt; none for a part's job. The list
                             belongs to the set for a job that is in one. */
} upstream_job_t;

/** How a job ended, as far as this shows the state of the upstream. */
typedef enum
{
  UPSTREAM_JOB_GOOD,
  UPSTREAM_JOB_FAILED,  /**< through a fault of the upstream */
  UPSTREAM_JOB_REFUSED, /**< the upstream was full */
  UPSTREAM_JOB_DEAD,    /**< another upstream reported that this one is gone */
  UPSTREAM_JOB_NEUTRAL, /**< cancelled, or failed elsewhere */
  UPSTREAM_JOB_BROKEN,  /**< failed, as its connection broke off before the
                             answer was complete; the upstream may have
                             crashed */
} upstream_job_end_t;

/** Whether an upstream gets requests, by its recent failures. */
typedef enum
{
  UPSTREAM_TRUSTED,
  UPSTREAM_EJECTED,  /**< failed often: gets no requests for a while */
  UPSTREAM_ON_TRIAL, /**< gets one request at a time until one succeeds */
} upstream_trust_t;

/** One upstream. Only the set writes its fields. */
typedef struct
{
  uint64_t key;
  char *id;
  char *address;
  char *zone;
  char *service;
  uint32_t slots;
  bool is_usable;  /**< ready or silent, and not replaced */
  bool is_drained; /**< its zone gets no new requests, by an operator's order */
  bool is_silent; /**< its announcements are missing at the control instances */
  upstream_trust_t trust;
  uint64_t ejected_until_ms;
  uint32_t ejections;       /**< consecutive ejections; each one lasts longer */
  double failure_share;     /**< failures in its recent answers, smoothed */
  double answer_ms;         /**< time of plain calls, smoothed; 0 if unknown */
  double best_ms;           /**< best time of plain calls, smoothed; it rises
                                 slowly; 0 if unknown */
  double slowness;          /**< observed over predicted time to first events */
  uint64_t full_until_ms;   /**< end of the pause after a refusal as full */
  uint64_t heard_ms;        /**< when its last good answer came */
  bool is_leaving;          /**< it said in an answer that it leaves; until its
                                 incarnation ends, whatever the directory lists */
  bool has_announced_end;   /**< its announcements say that it leaves or has
                                 left */
  uint64_t paused_until_ms; /**< it asked for no requests until then */
  upstream_limit_t limit;   /**< the rate that it named; each known job that
                                 begins there is counted, but no parts */
  upstream_cold_t cold;     /**< counts as the limit does */
  upstream_pace_t pace;     /**< after its start or return */
  bool was_in_service;      /**< it was reachable at the last check */
  GPtrArray *jobs;          /**< upstream_job_t, oldest first */
} upstream_member_t;

typedef struct
{
  /** An upstream may not be used any more; may be NULL. */
  void (*on_gone) (const upstream_member_t *member, void *context);
  /** The answer to a job has begun; may be NULL. */
  void (*on_answer) (const upstream_job_t *job, uint64_t now_ms, void *context);
  /** A job was broken off before its answer was complete, by an upstream that
   * does not leave; may be NULL. */
  void (*on_broken) (const upstream_job_t *job, uint64_t now_ms, void *context);
  /** The answer to a job is complete; may be NULL. */
  void (*on_complete) (const upstream_job_t *job,
                       uint64_t now_ms,
                       void *context);
  /** Returns the bound for cold upstreams of a service; NULL: there is none. */
  upstream_cold_rate_t (*find_cold_rate) (const char *service, void *context);
  /** Returns whether the open requests at an upstream of a service are limited
   * after its start or return; NULL: always. */
  bool (*is_paced) (const char *service, void *context);
  /** Services that requests can be sent to. When they change,
   * upstream_set_sync() has to be called again. */
  directory_services_t services;
  /** An upstream is taken for cold from now on; may be NULL. */
  void (*on_cold) (const upstream_member_t *member, void *context);
  void *context;
} upstream_set_options_t;

/** Creates an empty set; freed with @a parent (talloc). */
upstream_set_t *upstream_set_new (void *parent,
                                  const upstream_set_options_t *options);

/**
 * Updates the set from the directory: adds new upstreams, removes those that
 * the directory no longer lists, and calls on_gone for those that became
 * unusable.
 */
void upstream_set_sync (upstream_set_t *set,
                        const directory_t *directory,
                        uint64_t now_ms);

/**
 * Returns all upstreams. The array belongs to the set and is valid until it
 * changes.
 */
const upstream_member_t *const *upstream_set_members (const upstream_set_t *set,
                                                      size_t *count);

/** Returns the upstream with @a key, which belongs to the set, or NULL. */
const upstream_member_t *upstream_set_find (const upstream_set_t *set,
                                            uint64_t key);

/**
 * Adds a job; the set keeps a copy. A job at an unknown upstream, or with the
 * id of a known job, is ignored.
 * @return whether the job was added
 */
bool upstream_set_begin (upstream_set_t *set, const upstream_job_t *job);

/** Records that another instance reports the job now. */
void
upstream_set_source (upstream_set_t *set, uint64_t job_id, uint64_t source);

/**
 * Records an event of the job.
 * @param gap_ms for how long the upstream was silent before it; this does not
 * matter for the first event
 */
void upstream_set_progress (upstream_set_t *set,
                            uint64_t job_id,
                            uint64_t gap_ms,
                            uint64_t now_ms);

/** Removes a job and updates the state of the upstream from @a how the job
 * ended. */
void upstream_set_end (upstream_set_t *set,
                       uint64_t job_id,
                       upstream_job_end_t how,
                       uint64_t now_ms);

/** Returns the job, which belongs to the set, or NULL. */
const upstream_job_t *upstream_set_job (const upstream_set_t *set,
                                        uint64_t job_id);

/** Calls @a each for every job. */
void upstream_set_each_job (const upstream_set_t *set,
                            void (*each) (const upstream_job_t *job,
                                          void *context),
                            void *context);

/** Removes the jobs for which @a is_dropped returns true. */
void upstream_set_drop_jobs (upstream_set_t *set,
                             bool (*is_dropped) (const upstream_job_t *job,
                                                 void *context),
                             void *context);

/** Returns whether several upstreams prefill parts of the job's prompt. */
bool upstream_job_is_split (const upstream_job_t *job);

/** Writes the id under which memory is reserved for the job with @a job_id. */
void upstream_reservation_name (uint64_t job_id,
                                char name[UPSTREAM_RESERVATION_ID_BYTES]);

/** Records that the upstream answered a plain call after @a took_ms. */
void upstream_set_add_call_time (upstream_set_t *set,
                                 uint64_t key,
                                 double took_ms,
                                 uint64_t now_ms);

/**
 * Sets the availability zones whose upstreams get no new requests. Requests
 * that were sent there before go on. The upstreams of a zone that is not
 * drained any more are taken for cold: they got no requests for a while.
 */
void upstream_set_drain_zones (upstream_set_t *set,
                               char *const *zones,
                               size_t count,
                               uint64_t now_ms);

/** Returns whether new requests may go to an upstream: it is usable, its zone
 * is not drained, it does not leave and has not asked for a pause that still
 * lasts. */
bool upstream_member_is_available (const upstream_member_t *member,
                                   uint64_t now_ms);

/** Returns whether an upstream has said, in an announcement or an answer, that
 * it leaves. What it breaks off then is no sign of a crash. */
bool upstream_member_is_ending (const upstream_member_t *member);

/** Records that an upstream said in an answer that it leaves, and calls on_gone
 * the first time. */
void upstream_set_mark_leaving (upstream_set_t *set, uint64_t key);

/** Records that an upstream asked for no requests until @a until_ms; an earlier
 * time than is known has no effect. */
void upstream_set_pause (upstream_set_t *set, uint64_t key, uint64_t until_ms);

/** Records the rate that an upstream named in an answer, see
 * upstream_limit_set(). */
void upstream_set_limit (upstream_set_t *set,
                         uint64_t key,
                         double rate_s,
                         uint64_t stated_ms,
                         uint64_t now_ms);

/** Records that an upstream said in an answer that it is cold until @a
 * until_ms; an earlier time than is known has no effect. */
void upstream_set_mark_cold (upstream_set_t *set,
                             uint64_t key,
                             uint64_t until_ms,
                             uint64_t now_ms);

/** Takes the upstreams of a zone for cold from now on, as after a time in which
 * they got no requests. */
void upstream_set_mark_zone_cold (upstream_set_t *set,
                                  const char *zone,
                                  uint64_t now_ms);

/** Returns the number of upstreams that are taken for cold. */
uint32_t upstream_set_count_cold (const upstream_set_t *set, uint64_t now_ms);

/** Records that an upstream was silent within an answer for longer than the
 * target of the request. */
void
upstream_set_add_late_gap (upstream_set_t *set, uint64_t key, uint64_t now_ms);

/** Returns the number of upstreams whose open requests are limited for a
 * reason, see upstream-pace.h. */
uint32_t upstream_set_count_paced (const upstream_set_t *set,
                                   pace_reason_t reason);

/**
 * Records that an engine's first event came after @a factor times the predicted
 * time.
 */
void upstream_set_add_slowness (upstream_set_t *set,
                                uint64_t key,
                                double factor,
                                uint64_t now_ms);

/**
 * Ends ejections whose time is over. The caller runs it a few times a second.
 */
void upstream_set_tick (upstream_set_t *set, uint64_t now_ms);

/**
 * Returns the work that a caller would have to request again: prompt tokens +
 * 10 * answer tokens.
 */
double upstream_job_value (double prompt_tokens, double answer_tokens);

#endif
