/**
 * @file upstream-choice.h
 * Which upstream takes a request: the one where it, and those already there,
 * lose least. No I/O; time is an argument.
 *
 * For engines the loss is counted in work that would come too late: the
 * request's own first event against its target, and the pauses that reading
 * its prompt makes for those being written to. A prompt may be read by several
 * engines at once, each an even part, which makes the pauses short; the one
 * that writes the answer also keeps the prompt's memory. A request that would
 * make others late waits while its own target allows it.
 *
 * A prompt that no engine can hold takes memory at some of its helpers, too.
 *
 * Plain services take the least expected time, own availability zone first.
 */
#ifndef UPSTREAM_CHOICE_H
#define UPSTREAM_CHOICE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "engine-model.h"
#include "upstream-set.h"

#define CHOICE_MAX_HELPERS 15
#define CHOICE_MAX_TICKETS 4

typedef enum
{
  CHOICE_SEND,
  CHOICE_WAIT,     /**< none has room now */
  CHOICE_HOPELESS, /**< it cannot be done in its time */
  CHOICE_NONE,     /**< there is no usable upstream */
} choice_kind_t;

/** A request as the choice sees it. */
typedef struct
{
  const char *service;
  const engine_model_t *model; /**< NULL: a plain service */
  const char *zone;            /**< this instance's own */
  uint32_t prompt_tokens;
  uint32_t answer_tokens;
  uint32_t target_ms; /**< of the first event, from the arrival */
  uint32_t gap_target_ms;
  uint32_t shortest_gap_ms; /**< that any route of the service aims at, or 0 */
  uint32_t waited_ms;       /**< since the arrival */
  uint32_t left_ms;         /**< until it is given up */
  const uint64_t *avoid;    /**< upstreams tried before */
  size_t avoid_count;
  uint32_t zone_cost_ms; /**< of a round trip to another zone */
  uint32_t random;
} choice_request_t;

typedef struct
{
  choice_kind_t kind;
  const upstream_member_t *member; /**< with CHOICE_SEND */
  /** Engines that read parts of the prompt with it. */
  const upstream_member_t *helpers[CHOICE_MAX_HELPERS];
  uint32_t helper_count;
  /** Memory for the prompt at the first of the helpers, in tokens. */
  uint32_t memory_tokens[CHOICE_MAX_TICKETS];
  uint32_t memory_count;
  double first_ms;   /**< predicted time to the first event there */
  double damage;     /**< what others would lose */
  double loss;       /**< predicted, in upstream_job_value() units */
  double blocked;    /**< share of engines too busy reading to write in time */
  double filled;     /**< share of the engines' slots that is taken */
  uint32_t usable;   /**< upstreams that were looked at */
  uint32_t retry_ms; /**< with CHOICE_HOPELESS: when there may be room */
} choice_t;

choice_t upstream_choose (const upstream_set_t *set,
                          const choice_request_t *request,
                          uint64_t now_ms);

/**
 * The longest time in which an engine may send nothing to those it writes to,
 * as far as its known jobs tell: a pass that reads all that waits there.
 */
double upstream_choice_silence_ms (const upstream_set_t *set,
                                   uint64_t key,
                                   const engine_model_t *model,
                                   uint64_t now_ms);

#endif
