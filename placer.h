/**
 * @file placer.h
 * Chooses upstreams for the requests of several instances, and queues the
 * requests that must wait. One placer, with one view of the upstreams' work,
 * serves the instances of an availability zone, so that no two of them choose
 * the same slot at the same moment. No I/O; time is an argument.
 *
 * A placement is advice. The instance that holds a request sends it, reserves
 * memory for it and answers its caller, so that two placers that act at the
 * same time cost efficiency, but run no request twice.
 */
#ifndef PLACER_H
#define PLACER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "engine-model.h"
#include "upstream-choice.h"
#include "upstream-set.h"

#define PLACEMENT_SERVICE_BYTES 64
#define PLACEMENT_MAX_AVOID     6
/** Jobs of one request: at its upstream and at each helper. The ids of its jobs
 * are consecutive. */
#define PLACEMENT_MAX_JOBS (1 + CHOICE_MAX_HELPERS)

/** A request that needs an upstream. */
typedef struct
{
  uint64_t id;    /**< id of the job at the upstream; those of helpers follow */
  uint64_t owner; /**< instance that holds the request; 0: this one */
  char service[PLACEMENT_SERVICE_BYTES];
  uint32_t prompt_tokens;
  uint32_t answer_tokens;
  uint32_t target_ms;     /**< time to the first event, from the arrival */
  uint32_t gap_target_ms; /**< longest acceptable pause between events */
  uint32_t priority;      /**< lower ones are placed first */
  prompt_parts_t parts;   /**< the list belongs to whoever made the request */
  uint64_t arrived_ms;
  uint64_t deadline_ms;
  uint64_t avoid[PLACEMENT_MAX_AVOID]; /**< keys of upstreams tried before */
  uint32_t avoid_count;
  /** The request has been sent and gets no events: it is never queued, and
   * placed only if its upstreams should have sent one. */
  bool is_move;
  /** This instance decides, as the placer does not know of a drained zone; not
   * passed on to others. */
  bool is_local;
  bool is_alone;      /**< see choice_request_t; not passed on to others */
  uint32_t silent_ms; /**< with is_move: time without an event */
  uint64_t current[PLACEMENT_MAX_JOBS]; /**< with is_move: its upstreams */
  uint32_t current_count;
} placement_request_t;

/** The decision on a request; the values are those of the wire. */
typedef enum
{
  PLACEMENT_SEND,
  PLACEMENT_QUEUED, /**< another answer follows */
  PLACEMENT_KEEP,   /**< with is_move: wait on at the same upstreams */
  PLACEMENT_UNMEETABLE,
  PLACEMENT_NO_UPSTREAM,
  PLACEMENT_QUEUE_FULL,
  PLACEMENT_UNABLE, /**< this placer does not know the service */
} placement_kind_t;

/** The answer to a request. */
typedef struct
{
  placement_kind_t kind;
  choice_held_by_t held_by; /**< see choice_t; not passed on to others */
  uint64_t upstream;        /**< key, with PLACEMENT_SEND */
  /** Keys of engines that each prefill a part of the prompt. */
  uint64_t helpers[CHOICE_MAX_HELPERS];
  uint32_t helper_count;
  /** Tokens of memory to reserve at each of the first helpers. */
  uint32_t memory_tokens[CHOICE_MAX_RESERVATIONS];
  uint32_t memory_count;
  double first_ms; /**< predicted time to the first event */
  double damage;   /**< see choice_t, as the values below */
  double damage_decoding;
  double damage_waiting;
  double loss;
  double blocked;
  double filled;
  double arrivals_per_s; /**< not passed on to others */
  uint32_t usable;
  double call_ms;    /**< see choice_t; not passed on to others */
  uint32_t retry_ms; /**< time to the next try of a request not placed */
  bool is_limited;   /**< counted within the rate limit of the upstream */
  bool is_cold;      /**< counted within the bound on cold upstreams */
} placement_answer_t;

/** What a placer must know of a service. */
typedef struct
{
  const engine_model_t *model; /**< NULL for a plain service */
  uint32_t shortest_gap_ms;    /**< shortest gap target, or 0 */
} placer_service_t;

typedef struct placer placer_t;

typedef struct
{
  upstream_set_t *set; /**< must outlive the placer */
  const char *zone;    /**< availability zone of the requests; kept */
  uint32_t zone_cost_ms;
  /** Finds a service; returns false when it is not known. The model must stay
   * valid during the call to the placer. */
  bool (*find_service) (const char *name,
                        placer_service_t *service,
                        void *context);
  /** See choice_request_t; may be NULL. */
  upstream_cold_share_t (*find_cold_share) (const upstream_member_t *member,
                                            void *context);
  /** Receives each decision; may be called from within placer_ask(). */
  void (*on_answer) (const placement_request_t *request,
                     const placement_answer_t *answer,
                     void *context);
  /** Receives, once a second for each long prompt that is queued, the decision
   * by which it waits on; may be NULL. */
  void (*on_wait) (const placement_request_t *request,
                   const placement_answer_t *answer,
                   void *context);
  void *context;
} placer_options_t;

/** Creates a placer without requests; freed with @a parent (talloc). */
placer_t *placer_new (void *parent, const placer_options_t *options);

/**
 * Decides on a request, or queues it. The jobs of a placed request are begun in
 * the set before the answer is passed on. A request that is queued already is
 * answered with PLACEMENT_QUEUED.
 */
void placer_ask (placer_t *placer,
                 const placement_request_t *request,
                 uint64_t now_ms);

/** Removes a request from the queue. */
void placer_cancel (placer_t *placer, uint64_t owner, uint64_t id);

/** Removes all requests of an instance from the queue. */
void placer_drop_owner (placer_t *placer, uint64_t owner);

/**
 * Decides again on queued requests, as many as fit into the time of a pass.
 * Within a priority, requests that can
 * still meet their target come first, of equal targets the newest before the
 * oldest: under overload the oldest would take the place of a request that can
 * be in time, and be late itself. Late requests follow, of equal targets the
 * oldest first.
 */
void placer_run (placer_t *placer, uint64_t now_ms);

/** Makes the placer spread requests over all engines until a time, as long as
 * little is known of them. */
void placer_spread_until (placer_t *placer, uint64_t until_ms);

/** Returns the number of queued requests. */
uint32_t placer_queued (const placer_t *placer);

/**
 * Lists the jobs of a placed request: the one at its upstream first, then those
 * of its helpers.
 * @return their number
 */
uint32_t placement_jobs (const placement_request_t *request,
                         const placement_answer_t *answer,
                         uint64_t now_ms,
                         upstream_job_t jobs[PLACEMENT_MAX_JOBS]);

#endif
