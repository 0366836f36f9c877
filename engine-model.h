/**
 * @file engine-model.h
 * Predicts how long a model engine takes, from the cost figures of its service.
 * No I/O.
 *
 * An engine works in passes. A pass that decodes runs several token steps and
 * prefills prompts in the same steps, up to a bound of tokens. A long prompt
 * therefore delays the events of every request that is being decoded.
 */
#ifndef ENGINE_MODEL_H
#define ENGINE_MODEL_H

#include <stdbool.h>
#include <stdint.h>

/** Cost figures of one kind of engine. */
typedef struct
{
  uint32_t slots;            /**< requests processed at once */
  uint64_t kv_tokens;        /**< capacity of the KV memory */
  uint32_t steps_per_pass;   /**< token steps of a decoding pass */
  uint32_t read_step_tokens; /**< prompt tokens prefilled in a step, at most */
  double step_ms;            /**< duration of one token step */
  double step_stream_ms;  /**< added for each request that is being decoded */
  double step_context_ms; /**< added for each 1,000 tokens of their context */
  double read_tokens_s;   /**< prompt tokens prefilled per second */
  double read_pairs_ms;   /**< prefill time added for a million token pairs */
  uint32_t usual_answer_tokens; /**< mean length of an answer */
} engine_model_t;

/**
 * Returns the time in ms to prefill a whole prompt of @a tokens without other
 * work.
 */
double engine_prefill_ms (const engine_model_t *model, double tokens);

/**
 * Returns the time in ms to prefill the last @a tokens of a prompt of @a
 * whole_tokens.
 */
double engine_prefill_tail_ms (const engine_model_t *model,
                               double whole_tokens,
                               double tokens);

/** Returns the most prompt tokens that one decoding pass prefills. */
double engine_pass_tokens (const engine_model_t *model);

/**
 * Returns the time in ms of a decoding pass without prefill.
 * @param context_tokens context of all decoding requests together
 */
double engine_pass_decode_ms (const engine_model_t *model,
                              uint32_t decoding,
                              double context_tokens);

/**
 * Returns the longest prefill time in ms that a prompt of @a tokens adds to one
 * pass.
 */
double engine_pass_prefill_ms (const engine_model_t *model, double tokens);

#endif
