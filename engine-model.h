/**
 * @file engine-model.h
 * How long a model engine takes, from the cost figures of its service.
 *
 * An engine works in passes. A pass that writes runs several token steps and
 * reads prompts beside them, up to a bound of tokens; so a long prompt makes
 * all who are being written to wait. No I/O.
 */
#ifndef ENGINE_MODEL_H
#define ENGINE_MODEL_H

#include <stdbool.h>
#include <stdint.h>

/** Cost figures of one kind of engine. */
typedef struct
{
  uint32_t slots;            /**< requests worked on at once */
  uint64_t kv_tokens;        /**< memory */
  uint32_t steps_per_pass;   /**< token steps of a pass that writes */
  uint32_t read_step_tokens; /**< prompt tokens read in one step, at most */
  double step_ms;            /**< one token step */
  double step_stream_ms;     /**< added for each request being written */
  double step_context_ms; /**< added for each 1,000 tokens of their context */
  double read_tokens_s;   /**< prompt tokens read in a second */
  double read_pairs_ms;   /**< added for a million pairs of tokens */
  uint32_t usual_answer_tokens; /**< mean length of an answer */
} engine_model_t;

/** Time to read a prompt alone. */
double engine_read_ms (const engine_model_t *model, double tokens);

/** Time to read the last @a tokens of a prompt of @a whole_tokens. */
double engine_read_tail_ms (const engine_model_t *model,
                            double whole_tokens,
                            double tokens);

/** Prompt tokens that one writing pass reads at most. */
double engine_pass_tokens (const engine_model_t *model);

/** Time of a pass without reading. */
double engine_pass_ms (const engine_model_t *model,
                       uint32_t writers,
                       double context_tokens);

/** The longest reading part of one pass while a prompt is read. */
double engine_pass_read_ms (const engine_model_t *model, double tokens);

#endif
