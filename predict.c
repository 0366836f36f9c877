#include "predict.h"

/* Most unread tokens of other instances that are counted as delay of a short
 * prompt: two engine steps. */
#define OTHERS_MAX_TOKENS (2 * RATE_STEP_TOKENS)
/* When a short prompt arrives, the current step of a long prompt is half done
 * on average. */
#define LONG_STEP_MEAN_TOKENS (RATE_STEP_TOKENS / 2.0)
/* Unread tokens of this instance's short prompts up to which an engine is sent
 * another short prompt. These tokens keep the engine busy until the next
 * scheduling pass, and are few enough that the order is still decided in this
 * instance's queue. */
#define SHORT_MAX_UNREAD_TOKENS (4.0 * RATE_STEP_TOKENS)
/* A prompt is overdue after it has waited for this multiple of its predicted
 * time. */
#define OVERDUE_FACTOR 3.0
#define PLAIN_CALL_MS  5.0 /* time of one call of a plain service */

/* Returns the prompt tokens of this instance's requests that the engine had not
 * read when the last load report was taken. */
static uint64_t
own_unread_at_report (const fleet_upstream_t *upstream)
{
  uint64_t tokens = 0;

  for (guint i = 0; i < upstream->jobs->len; i++)
    {
      const job_t *job = g_ptr_array_index (upstream->jobs, i);

      if (job->sent_at_ms <= upstream->reported_at_ms
          && (job->reading
              || job->first_token_at_ms > upstream->reported_at_ms))
        tokens += job->prompt_tokens;
    }
  return tokens;
}

/* Returns the unread tokens of other instances in the last load report. */
static double
others_unread_at_report (const fleet_upstream_t *upstream)
{
  double own = (double)own_unread_at_report (upstream);

  return MAX ((double)upstream->reported_waiting_tokens - own, 0);
}

/* Returns the unread tokens of other instances now. The engine is assumed to
 * have read some of them since the report. */
static double
others_unread_tokens (const fleet_upstream_t *upstream, uint64_t now_ms)
{
  double elapsed_ms = now_ms > upstream->reported_at_ms
                          ? (double)(now_ms - upstream->reported_at_ms)
                          : 0;
  double remaining = others_unread_at_report (upstream)
                     - rate_tokens_in (&upstream->rate, elapsed_ms);

  return MAX (remaining, 0);
}

/* Returns the unread prompt tokens of this instance's requests of one length
 * class. */
static uint64_t
own_unread_tokens (const fleet_upstream_t *upstream, bool is_long)
{
  uint64_t tokens = 0;

  for (guint i = 0; i < upstream->jobs->len; i++)
    {
      const job_t *job = g_ptr_array_index (upstream->jobs, i);

      if (job_is_long (job) == is_long)
        tokens += job_unread_tokens (job);
    }
  return tokens;
}

bool
predict_is_reading_long (const fleet_upstream_t *upstream)
{
  return own_unread_tokens (upstream, true) > 0
         || others_unread_at_report (upstream) > JOB_LONG_TOKENS;
}

/* Returns the time to read the rest of this instance's short prompts: the
 * prompts sent less the part that the engine had time to read. */
static double
short_backlog_ms (const fleet_upstream_t *upstream, uint64_t now_ms)
{
  double remaining_ms = upstream->short_read_until_ms - (double)now_ms;
  double max_ms = rate_read_ms (&upstream->rate,
                                (double)own_unread_tokens (upstream, false));

  return CLAMP (remaining_ms, 0, max_ms);
}

double
predict_wait_ms (const fleet_upstream_t *upstream,
                 const job_t *job,
                 uint64_t now_ms)
{
  const rate_t *rate = &upstream->rate;
  double others = others_unread_tokens (upstream, now_ms);
  double wait_ms = short_backlog_ms (upstream, now_ms);

  if (!upstream->is_engine)
    return PLAIN_CALL_MS * upstream->jobs->len;
  if (job_is_long (job))
    return wait_ms
           + rate_read_ms (rate,
                           others + (double)own_unread_tokens (upstream, true));
  others = MIN (others, OTHERS_MAX_TOKENS);
  if (predict_is_reading_long (upstream))
    others += LONG_STEP_MEAN_TOKENS;
  return wait_ms + rate_read_ms (rate, others);
}

double
predict_read_ms (const fleet_upstream_t *upstream, const job_t *job)
{
  uint64_t cached = fleet_cached_tokens (upstream, job);

  /* The last prompt token is always read, because the first answer token is
   * computed from it. */
  return upstream->is_engine ? rate_read_ms (
             &upstream->rate, MAX ((double)(job->prompt_tokens - cached), 1))
                             : PLAIN_CALL_MS;
}

double
predict_first_token_ms (const fleet_upstream_t *upstream,
                        const job_t *job,
                        uint64_t now_ms)
{
  return predict_wait_ms (upstream, job, now_ms)
         + predict_read_ms (upstream, job);
}

bool
predict_can_send_now (const fleet_upstream_t *upstream,
                      const job_t *job,
                      uint64_t now_ms)
{
  if (!upstream->is_engine)
    return true;
  if (job_is_long (job))
    return own_unread_tokens (upstream, true) == 0
           && (job->is_urgent || !predict_is_reading_long (upstream));
  return own_unread_tokens (upstream, false) <= SHORT_MAX_UNREAD_TOKENS;
}

void
predict_record_sent (job_t *job, uint64_t now_ms)
{
  fleet_upstream_t *upstream = job->at;
  double read_ms
      = rate_read_ms (&upstream->rate, (double)job_unread_tokens (job));

  if (job_is_long (job) || !upstream->is_engine)
    return;
  upstream->short_read_until_ms
      = MAX (upstream->short_read_until_ms, (double)now_ms) + read_ms;
}

void
predict_record_first_token (job_t *job, uint64_t now_ms)
{
  fleet_upstream_t *upstream = job->at;

  if (job_is_long (job) || !upstream->is_engine)
    return;
  /* The rate factor may have changed since the job was sent; the correction
   * uses only the ratio of the two times. */
  rate_learn (&upstream->rate, job->predicted_ms,
              (double)(now_ms - job->sent_at_ms));
  if (own_unread_tokens (upstream, false) == 0)
    upstream->short_read_until_ms = (double)now_ms;
}
