/**
 * @file upstream-set.h
 * The upstreams a gateway may use: what they announced, what runs on them from
 * here and from other entry instances, and how they have behaved. No I/O; time
 * is an argument.
 *
 * A job is one request at one upstream. Jobs of other instances are told by
 * them (load-share.h), so that two do not choose the same engine at once.
 */
#ifndef UPSTREAM_SET_H
#define UPSTREAM_SET_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "directory.h"

typedef struct upstream_set upstream_set_t;

#define UPSTREAM_TICKET_BYTES 40

/** One request at one upstream. */
typedef struct
{
  uint64_t id;       /**< unique over all instances */
  uint64_t owner;    /**< instance that sent it; 0 for this one */
  uint64_t upstream; /**< incarnation's key */
  uint32_t prompt_tokens;
  uint32_t read_tokens;   /**< of the prompt that this upstream reads itself */
  uint32_t answer_tokens; /**< most or likely length */
  uint32_t kv_tokens;     /**< memory it takes here */
  uint32_t gap_target_ms; /**< pause between events its caller accepts */
  double value;           /**< see upstream_job_value() */
  uint64_t begun_ms;      /**< when its caller asked */
  uint64_t due_ms;        /**< when its first event is due, 0 for not known */
  uint64_t sent_ms;
  uint64_t first_ms; /**< when its answer began, 0 before */
  uint64_t last_ms;  /**< of its last event */
  bool is_late;      /**< a pause was too long already */
  bool is_part;      /**< reads a part of a prompt that another writes for */
  char ticket[UPSTREAM_TICKET_BYTES]; /**< of memory reserved there, or "" */
} upstream_job_t;

/** How a job ended, as far as it tells of the upstream. */
typedef enum
{
  UPSTREAM_JOB_GOOD,
  UPSTREAM_JOB_FAILED,  /**< by the upstream's fault */
  UPSTREAM_JOB_REFUSED, /**< it was full */
  UPSTREAM_JOB_DEAD,    /**< another upstream found it gone */
  UPSTREAM_JOB_NEUTRAL, /**< cancelled, or a failure of another's */
} upstream_job_end_t;

typedef enum
{
  UPSTREAM_TRUSTED,
  UPSTREAM_EJECTED,  /**< failed often: gets nothing for a while */
  UPSTREAM_ON_TRIAL, /**< gets one request at a time until it answers well */
} upstream_trust_t;

/** One upstream; read-only for others. */
typedef struct
{
  uint64_t key;
  char *id;
  char *address;
  char *zone;
  char *service;
  uint32_t slots;
  bool is_usable; /**< ready, not replaced */
  bool is_silent; /**< control instances miss its announcements */
  upstream_trust_t trust;
  uint64_t ejected_until_ms;
  uint32_t ejections;   /**< in a row; each lasts longer */
  double failure_share; /**< of its recent answers, smoothed */
  double answer_ms;     /**< of plain calls, smoothed; 0 for not known */
  double slowness;      /**< observed over predicted first events of engines */
  uint64_t full_until_ms; /**< said that it was full */
  uint64_t heard_ms;      /**< of its last good answer */
  GPtrArray *jobs;        /**< upstream_job_t, oldest first */
} upstream_member_t;

typedef struct
{
  /** An upstream may not be used any more; may be NULL. */
  void (*on_gone) (const upstream_member_t *member, void *context);
  void *context;
} upstream_set_options_t;

/** Freed with @a parent (talloc). */
upstream_set_t *upstream_set_new (void *parent,
                                  const upstream_set_options_t *options);

/** Takes over what the directory says now. */
void upstream_set_follow (upstream_set_t *set,
                          const directory_t *directory,
                          uint64_t now_ms);

const upstream_member_t *const *upstream_set_members (const upstream_set_t *set,
                                                      size_t *count);

const upstream_member_t *upstream_set_find (const upstream_set_t *set,
                                            uint64_t key);

/** A job begins; the set keeps a copy. Unknown upstreams are ignored. */
void upstream_set_begin (upstream_set_t *set, const upstream_job_t *job);

/** The job's first event, or a later one, has come. */
void
upstream_set_progress (upstream_set_t *set, uint64_t job_id, uint64_t now_ms);

void upstream_set_end (upstream_set_t *set,
                       uint64_t job_id,
                       upstream_job_end_t how,
                       uint64_t now_ms);

/** The job, or NULL. */
const upstream_job_t *upstream_set_job (const upstream_set_t *set,
                                        uint64_t job_id);

/** Calls @a each for every job of @a owner. */
void upstream_set_each_job (const upstream_set_t *set,
                            uint64_t owner,
                            void (*each) (const upstream_job_t *job,
                                          void *context),
                            void *context);

/** Forgets all jobs of another instance. */
void upstream_set_drop_owner (upstream_set_t *set, uint64_t owner);

/** A plain call was answered after @a took_ms. */
void upstream_set_took (upstream_set_t *set, uint64_t key, double took_ms);

/** An engine's first event came after @a factor times the predicted time. */
void upstream_set_slowness (upstream_set_t *set, uint64_t key, double factor);

/** Ends ejections; call a few times a second. */
void upstream_set_tick (upstream_set_t *set, uint64_t now_ms);

/** Work a caller would have to ask for again: tokens read, and written x 10. */
double upstream_job_value (double prompt_tokens, double answer_tokens);

#endif
