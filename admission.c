#include "admission.h"

#include <glib.h>
#include <math.h>
#include <talloc.h>

#define MS_PER_S       1000.0
#define PRIORITY_COUNT 10
/* Time constant of the decaying sums that measure rates. */
#define RATE_WINDOW_MS 1000.0
/* A backlog must last this long before the measured sending rate is used as
 * the available rate, even when it is below the capacity. */
#define BACKLOG_SETTLE_MS 300
/* Minimum share of the capacity that long prompts get, averaged over the time
 * until their deadlines. */
#define LONG_MIN_SHARE 0.35
/* Minimum share of the rate that a priority keeps, however many requests of
 * higher priority arrive. */
#define PRIORITY_MIN_SHARE 0.02

/* Sum of tokens that decays exponentially with time. Divided by
 * RATE_WINDOW_MS, the sum is a rate. */
typedef struct
{
  double tokens;
  uint64_t at_ms;
} meter_t;

struct admission
{
  /* Tokens of the admitted short prompts, by priority. */
  meter_t admitted[PRIORITY_COUNT];
  meter_t sent;              /* tokens of the short prompts sent */
  uint64_t backlog_since_ms; /* 0: no backlog */
};

admission_t *
admission_new (void *parent)
{
  return talloc_zero (parent, admission_t);
}

static double
decayed_tokens (const meter_t *meter, uint64_t now_ms)
{
  double elapsed_ms
      = now_ms > meter->at_ms ? (double)(now_ms - meter->at_ms) : 0;

  return meter->tokens * exp (-elapsed_ms / RATE_WINDOW_MS);
}

static void
meter_add (meter_t *meter, uint64_t tokens, uint64_t now_ms)
{
  meter->tokens = decayed_tokens (meter, now_ms) + (double)tokens;
  meter->at_ms = MAX (meter->at_ms, now_ms);
}

static double
meter_rate_per_s (const meter_t *meter, uint64_t now_ms)
{
  return decayed_tokens (meter, now_ms) * MS_PER_S / RATE_WINDOW_MS;
}

static guint
priority_level (const job_t *job)
{
  return MIN (job->priority, PRIORITY_COUNT - 1);
}

/* Returns the sending rate left for the priority of @job after the arrivals of
 * higher priorities, tokens per second. */
static double
short_rate_tokens_s (const admission_t *admission,
                     const job_t *job,
                     double capacity_tokens_s,
                     uint64_t now_ms)
{
  bool is_settled = admission->backlog_since_ms > 0
                    && now_ms > admission->backlog_since_ms + BACKLOG_SETTLE_MS;
  double sent = meter_rate_per_s (&admission->sent, now_ms);
  double rate = is_settled ? sent : MAX (sent, capacity_tokens_s);
  double remaining = rate;

  for (guint level = priority_level (job) + 1; level < PRIORITY_COUNT; level++)
    remaining -= meter_rate_per_s (&admission->admitted[level], now_ms);
  return MAX (remaining, rate * PRIORITY_MIN_SHARE);
}

double
admission_predict_ms (const admission_t *admission,
                      const job_t *job,
                      const admission_input_t *input,
                      uint64_t now_ms)
{
  double rate = input->capacity_tokens_s * LONG_MIN_SHARE;

  double tokens_ahead;

  /* Later requests of other customers may overtake this request, but only up
   * to their fair share. */
  tokens_ahead = MAX ((double)input->tokens_before,
                      (double)input->own_tokens / input->own_share);
  if (tokens_ahead == 0)
    return input->service_ms;
  if (!job_is_long (job))
    rate = short_rate_tokens_s (admission, job, input->capacity_tokens_s,
                                now_ms);
  return tokens_ahead * MS_PER_S / MAX (rate, 1) + input->service_ms;
}

void
admission_record_admitted (admission_t *admission,
                           const job_t *job,
                           uint64_t now_ms)
{
  if (!job_is_long (job))
    meter_add (&admission->admitted[priority_level (job)], job->prompt_tokens,
               now_ms);
}

void
admission_record_sent (admission_t *admission,
                       const job_t *job,
                       uint64_t now_ms)
{
  if (!job_is_long (job))
    meter_add (&admission->sent, job->prompt_tokens, now_ms);
}

void
admission_set_backlog (admission_t *admission,
                       bool is_backlogged,
                       uint64_t now_ms)
{
  if (!is_backlogged)
    admission->backlog_since_ms = 0;
  else if (admission->backlog_since_ms == 0)
    admission->backlog_since_ms = now_ms;
}

bool
admission_is_backlogged (const admission_t *admission)
{
  return admission->backlog_since_ms > 0;
}
