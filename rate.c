#include "rate.h"

#include <glib.h>

#define MS_PER_S                 1000.0
#define US_PER_MS                1000.0
#define DEFAULT_PREFILL_TOKENS_S 10000.0
/* Bounds of the factor, against absurd announced rates or observed times. */
#define MIN_FACTOR 0.01
#define MAX_FACTOR 20.0
/* Weight of one answer in the factor; the first answers weigh more. */
#define MIN_SAMPLE_WEIGHT 0.05
/* A single late answer is weak evidence, so its ratio of observed to predicted
 * time is limited to this. */
#define MAX_RATIO 3.0

rate_t
rate_new (void)
{
  return (rate_t){ .factor = 1 };
}

/* Returns the time to read one token, in ms, including its share of the fixed
 * time of a step. */
static double
token_ms (const rate_t *rate)
{
  double per_s = rate->prefill_tokens_s > 0 ? rate->prefill_tokens_s
                                            : DEFAULT_PREFILL_TOKENS_S;

  return rate->factor
         * (MS_PER_S / per_s + rate->step_us / US_PER_MS / RATE_STEP_TOKENS);
}

double
rate_read_ms (const rate_t *rate, double tokens)
{
  /* The last step takes a whole step's fixed time, however few tokens are
   * left, so half of that time is added on average. */
  double last_step_ms = rate->factor * rate->step_us / US_PER_MS / 2;

  return tokens > 0 ? tokens * token_ms (rate) + last_step_ms : 0;
}

double
rate_tokens_in (const rate_t *rate, double time_ms)
{
  return time_ms > 0 ? time_ms / token_ms (rate) : 0;
}

void
rate_learn (rate_t *rate, double predicted_ms, double observed_ms)
{
  double ratio;
  double weight;

  if (predicted_ms <= 0 || observed_ms <= 0)
    return;
  rate->samples++;
  ratio = observed_ms / predicted_ms;
  /* The first answer sets the scale, which may be far from the announced one,
   * so its ratio is not limited. */
  if (rate->samples > 1)
    ratio = MIN (ratio, MAX_RATIO);
  weight = MAX (MIN_SAMPLE_WEIGHT, 1.0 / rate->samples);
  rate->factor *= 1 + weight * (ratio - 1);
  rate->factor = CLAMP (rate->factor, MIN_FACTOR, MAX_FACTOR);
}
