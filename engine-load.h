/**
 * @file engine-load.h
 * What one engine has to do now, as far as its known jobs tell, and what those
 * jobs would lose if more were laid on it. No I/O; time is an argument.
 *
 * Parts of prompts that several engines read are read before whole prompts, the
 * newest part first; whole prompts in the order in which they were sent.
 */
#ifndef ENGINE_LOAD_H
#define ENGINE_LOAD_H

#include <stdint.h>

#include "engine-model.h"
#include "upstream-set.h"

/** Share of a request's worth that is lost when it is late. */
#define ENGINE_LATE_SHARE 0.75

typedef struct
{
  uint32_t held; /**< requests it works on, without parts for others */
  uint32_t writers;
  uint32_t readers;
  double context_tokens; /**< of the writers */
  double kv_tokens;
  double unread_ms;    /**< until all that waits there is read */
  double pass_read_ms; /**< reading that may fall into one pass */
  double write_ms;     /**< of a pass without reading */
} engine_load_t;

engine_load_t engine_load_of (const engine_model_t *model,
                              const upstream_member_t *member,
                              uint64_t now_ms);

/** The longest reading part of one pass, for @a part tokens of a prompt. */
double engine_load_part_pass_ms (const engine_model_t *model,
                                 double prompt_tokens,
                                 double part_tokens);

/** What those being written to lose if a pass takes @a pause_ms. */
double engine_load_loss_of_writers (const upstream_member_t *member,
                                    double pause_ms);

/** What all that wait there to be read lose if a part takes @a part_ms. */
double engine_load_loss_of_readers (const upstream_member_t *member,
                                    const engine_load_t *load,
                                    double part_ms,
                                    uint64_t now_ms);

/** From 0 to 1 as @a value goes from @a from to @a to. */
double engine_load_ramp (double value, double from, double to);

/** Share of its worth lost by one that aims at pauses of @a gap_target_ms. */
double engine_load_pause_loss (double pause_ms, double gap_target_ms);

#endif
