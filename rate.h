/**
 * @file rate.h
 * Estimates how long an engine takes to read prompt tokens. The estimate uses
 * the rate that the engine announced, multiplied by a factor learned from the
 * times of its answers.
 */
#ifndef RATE_H
#define RATE_H

#include <stdint.h>

/** Assumed number of prompt tokens that an engine reads in one step. */
#define RATE_STEP_TOKENS 2048

/** Prefill rate of one engine. */
typedef struct
{
  uint32_t prefill_tokens_s; /**< announced; 0 for unknown */
  uint32_t step_us;          /**< announced time of a step without prefill */
  double factor;             /**< observed time divided by announced time */
  uint32_t samples;          /**< number of answers used to update factor */
} rate_t;

/** Returns a rate with the factor 1 and nothing announced. */
rate_t rate_new (void);

/** Returns the time to read @a tokens without other work, in ms. */
double rate_read_ms (const rate_t *rate, double tokens);

/** Returns how many tokens are read in @a time_ms without other work. */
double rate_tokens_in (const rate_t *rate, double time_ms);

/**
 * Corrects the factor by an answer; a time of 0 or less is ignored.
 * @param predicted_ms predicted time of the work, from rate_read_ms()
 * @param observed_ms time that the work took
 */
void rate_learn (rate_t *rate, double predicted_ms, double observed_ms);

#endif
