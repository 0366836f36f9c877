/**
 * @file upstream-choice.h
 * Chooses the upstream for a request: the one where the expected loss of the
 * request and of the requests already there is smallest. No I/O; time is an
 * argument.
 *
 * For engines the loss is counted in work that would be late: the first event
 * of the request against its target, and the pauses that the prefill of its
 * prompt causes for requests being decoded. Several engines may prefill a
 * prompt together, each an equal part, which keeps the pauses short. The engine
 * that decodes the answer also holds the KV memory of the prompt. A request
 * that would make other requests late waits while its own target allows it.
 *
 * A prompt that is too large for every single engine reserves memory at some of
 * its helpers as well.
 *
 * Plain services use the least expected time, with preference for the own
 * availability zone.
 */
#ifndef UPSTREAM_CHOICE_H
#define UPSTREAM_CHOICE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "engine-model.h"
#include "upstream-set.h"

#define CHOICE_MAX_HELPERS      15
#define CHOICE_MAX_RESERVATIONS 4

/** The decision on a request. */
typedef enum
{
  CHOICE_SEND,       /**< send the request to the chosen upstream */
  CHOICE_WAIT,       /**< no room now, or other requests would be late */
  CHOICE_UNMEETABLE, /**< the request cannot be answered in time */
  CHOICE_NONE,       /**< no upstream is usable */
} choice_kind_t;

/** Why a request to engines waits. */
typedef enum
{
  CHOICE_HELD_BY_NONE, /**< it does not wait */
  CHOICE_HELD_BY_ROOM, /**< the engines have no room for it */
  CHOICE_HELD_BY_COST, /**< other requests would lose too much */
  CHOICE_HELD_BY_TIME, /**< it would take its engines for too long, or its first
                            event would come too late for its caller */
  CHOICE_HELD_BY_ENGINES, /**< too few engines would be left to others */
} choice_held_by_t;

/** The properties of a request on which the choice depends. */
typedef struct
{
  const char *service;
  const engine_model_t *model; /**< NULL for a plain service */
  const char *zone;            /**< availability zone of this instance */
  uint32_t prompt_tokens;
  uint32_t answer_tokens;
  uint32_t target_ms;       /**< time to the first event, from the arrival */
  uint32_t gap_target_ms;   /**< longest acceptable pause between events */
  uint32_t shortest_gap_ms; /**< shortest gap target in the service, or 0 */
  uint32_t waited_ms;       /**< time since the arrival */
  uint32_t left_ms;         /**< time until the request is abandoned */
  const uint64_t *avoid;    /**< keys of upstreams that were tried before */
  size_t avoid_count;
  uint32_t zone_cost_ms; /**< time of a round trip to another zone */
  uint32_t queued;       /**< requests that wait before this one */
  uint32_t queued_calls; /**< those of the same service, if it is a plain one */
  /** Others may choose at the same time without knowing of this choice, so that
   * no upstream with a rate limit is chosen. */
  bool is_alone;
  /** Engines without requests are not passed over for those that decode
   * already, as little is known of the engines. */
  bool spreads;
  bool ignores_pace; /**< see upstream-pace.h */
  /** Finds the part of the bound on a cold upstream's requests that may be
   * granted here; NULL: none. */
  upstream_cold_share_t (*find_cold_share) (const upstream_member_t *member,
                                            void *context);
  void *cold_context;
  uint32_t random;
} choice_request_t;

/** The result of a choice. */
typedef struct
{
  choice_kind_t kind;
  choice_held_by_t held_by;        /**< with CHOICE_WAIT, at engines */
  const upstream_member_t *member; /**< set with CHOICE_SEND */
  /** Engines that each prefill a part of the prompt for @a member. */
  const upstream_member_t *helpers[CHOICE_MAX_HELPERS];
  uint32_t helper_count;
  /** Tokens of memory to reserve at each of the first helpers. */
  uint32_t memory_tokens[CHOICE_MAX_RESERVATIONS];
  uint32_t memory_count;
  double call_ms;  /**< of a plain call that waits: mean time until the service
                        takes one more */
  double first_ms; /**< predicted time to the first event at @a member */
  double damage;   /**< the part of loss that falls on other requests */
  /** Shares of @a damage at engines: of requests being decoded, and of those
   * that wait for their first event. The rest falls on requests that are still
   * to arrive. */
  double damage_decoding;
  double damage_waiting;
  /** Total predicted loss of value, of this request and of other requests, in
   * the unit of upstream_job_value(). For a plain service, the predicted time
   * of the call in ms. */
  double loss;
  double blocked;        /**< share of engines whose prefill delays decoding */
  double filled;         /**< share of the slots of all engines that is taken */
  double arrivals_per_s; /**< estimated requests for each engine */
  uint32_t usable;       /**< upstreams that were considered */
  uint32_t retry_ms;     /**< with CHOICE_UNMEETABLE: time to the next try */
} choice_t;

/**
 * Chooses an upstream for @a request. The members of the result belong to @a
 * set.
 */
choice_t upstream_choose (const upstream_set_t *set,
                          const choice_request_t *request,
                          uint64_t now_ms);

/** Returns the name of a reason to wait in log lines. */
const char *choice_held_by_name (choice_held_by_t held_by);

/**
 * Returns the longest time in ms for which an engine may send no event to the
 * requests it decodes, as far as its known jobs show: the time of a pass that
 * prefills all queued prompts. Returns 0 when @a key is unknown.
 */
double upstream_choice_max_gap_ms (const upstream_set_t *set,
                                   uint64_t key,
                                   const engine_model_t *model,
                                   uint64_t now_ms);

#endif
