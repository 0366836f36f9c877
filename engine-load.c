#include "engine-load.h"

#include <glib.h>
#include <math.h>

/**
 * Share of its prefill time that a job keeps at least: the prefill is not
 * counted as finished before its first event is seen.
 */
#define MIN_REMAINING_SHARE 0.1
/** Passes counted for a request's first event after the queued prompts are
 * prefilled: the rest of the current pass, and the pass that emits the event.
 */
#define PASSES_TO_FIRST_EVENT 1.5
/**
 * Time after which an overdue part counts as prefilled. The end of a part is
 * not reported, because it waits for the other parts.
 */
#define PART_GRACE_MS 60.0
/**
 * A prompt counts as being prefilled this long after its pass should have
 * started.
 */
#define PASS_START_GRACE_MS 30.0
/**
 * Bounds of the ramp for the loss through a pause, as shares of the target.
 * They leave a margin because other instances may send a prompt to the engine
 * at the same moment.
 */
#define PAUSE_RAMP_BEGIN 0.85
#define PAUSE_RAMP_END   1.05
/**
 * Bounds of the ramp for the loss through a late first event, as shares of the
 * target.
 */
#define FIRST_EVENT_RAMP_BEGIN 0.8
#define FIRST_EVENT_RAMP_END   1.05

double
engine_load_ramp (double value, double from, double to)
{
  if (value <= from)
    return 0;
  return value >= to ? 1 : (value - from) / (to - from);
}

double
engine_load_pause_loss (double pause_ms, double gap_target_ms)
{
  return ENGINE_LATE_SHARE
         * engine_load_ramp (pause_ms, PAUSE_RAMP_BEGIN * gap_target_ms,
                             PAUSE_RAMP_END * gap_target_ms);
}

double
engine_load_part_pass_ms (const engine_model_t *model,
                          double prompt_tokens,
                          double part_tokens)
{
  double whole_ms = engine_prefill_ms (model, prompt_tokens);

  if (part_tokens >= prompt_tokens)
    return engine_pass_prefill_ms (model, prompt_tokens);
  return whole_ms * fmin (part_tokens, engine_pass_tokens (model))
         / prompt_tokens;
}

/**
 * Returns the time in ms that an engine takes to prefill its part of a job's
 * prompt.
 */
static double
job_prefill_ms (const engine_model_t *model, const upstream_job_t *job)
{
  if (job->prompt_tokens == 0)
    return 0;
  return engine_prefill_ms (model, job->prompt_tokens) * job->read_tokens
         / job->prompt_tokens;
}

/**
 * Counts all jobs, their memory and the decoding requests. Sets @a free_ms to
 * the time of the latest first event, up to which the engine was prefilling.
 */
static load_estimate_t
count_jobs (const upstream_member_t *member, uint64_t *free_ms)
{
  load_estimate_t load = { 0 };

  *free_ms = 0;
  for (guint i = 0; i < member->jobs->len; i++)
    {
      const upstream_job_t *job = g_ptr_array_index (member->jobs, i);

      load.held += !job->is_part;
      load.kv_tokens += job->kv_tokens;
      if (job->first_ms == 0)
        continue;
      load.decoding++;
      load.context_tokens += job->read_tokens;
      *free_ms = MAX (*free_ms, job->first_ms);
    }
  return load;
}

/**
 * The queue of prompts that an engine has not prefilled yet, built up job by
 * job.
 */
typedef struct
{
  const engine_model_t *model;
  const upstream_member_t *member;
  double now_ms;
  double pass_wait_ms;  /* from sending a job to the next pass */
  double busy_until_ms; /* time at which the prefill of all added jobs ends */
  double last_start_ms; /* start of the prefill of the job added last */
} prefill_queue_t;

/** Adds one job; returns false when its prefill must have ended. */
static bool
add_job_to_queue (prefill_queue_t *queue, const upstream_job_t *job)
{
  double read_ms = job_prefill_ms (queue->model, job) * queue->member->slowness;

  if (job->first_ms > 0)
    return false;
  queue->last_start_ms
      = fmax (queue->busy_until_ms, (double)job->sent_ms + queue->pass_wait_ms);
  queue->busy_until_ms = queue->last_start_ms + read_ms;
  if (job->is_part && queue->busy_until_ms + PART_GRACE_MS < queue->now_ms)
    return false;
  queue->busy_until_ms = fmax (queue->busy_until_ms,
                               queue->now_ms + read_ms * MIN_REMAINING_SHARE);
  return true;
}

/**
 * Returns whether the job added last is prefilled in the current pass, and so
 * not in the next one.
 */
static bool
is_in_current_pass (const prefill_queue_t *queue, const upstream_job_t *job)
{
  return job->read_tokens <= engine_pass_tokens (queue->model)
         && queue->last_start_ms + PASS_START_GRACE_MS < queue->now_ms;
}

load_estimate_t
engine_load_estimate (const engine_model_t *model,
                      const upstream_member_t *member,
                      uint64_t now_ms)
{
  uint64_t free_ms;
  load_estimate_t load = count_jobs (member, &free_ms);
  prefill_queue_t queue = { .model = model,
                            .member = member,
                            .now_ms = (double)now_ms,
                            .busy_until_ms = (double)free_ms };

  load.decode_ms
      = engine_pass_decode_ms (model, load.decoding, load.context_tokens);
  if (load.decoding > 0)
    queue.pass_wait_ms = load.decode_ms / 2;
  for (int whole = 0; whole <= 1; whole++)
    {
      for (guint i = 0; i < member->jobs->len; i++)
        {
          const upstream_job_t *job = g_ptr_array_index (member->jobs, i);

          if (upstream_job_is_split (job) == (whole == 1)
              || !add_job_to_queue (&queue, job))
            continue;
          load.prefilling++;
          if (!is_in_current_pass (&queue, job))
            load.pass_prefill_ms += engine_load_part_pass_ms (
                model, job->prompt_tokens, job->read_tokens);
        }
    }
  load.backlog_ms = fmax (queue.busy_until_ms - queue.now_ms, 0);
  return load;
}

void
engine_load_add_decode_losses (const upstream_member_t *member,
                               double pause_ms,
                               request_losses_t *losses)
{
  for (guint i = 0; i < member->jobs->len; i++)
    {
      const upstream_job_t *job = g_ptr_array_index (member->jobs, i);

      if (job->first_ms > 0 && !job->is_late && job->gap_target_ms > 0)
        request_losses_add (
            losses, job,
            job->value * engine_load_pause_loss (pause_ms, job->gap_target_ms));
    }
}

/**
 * Returns the share of its value that a job loses when its first event comes at
 * @a first_ms.
 */
static double
first_event_loss (const upstream_job_t *job, double first_ms)
{
  double target_ms = (double)(job->due_ms - job->begun_ms);
  double took_ms = first_ms - (double)job->begun_ms;

  return ENGINE_LATE_SHARE
         * engine_load_ramp (took_ms, FIRST_EVENT_RAMP_BEGIN * target_ms,
                             FIRST_EVENT_RAMP_END * target_ms);
}

/** Returns when a request that waits now has its first event, as far as this
 * engine decides. */
static double
first_event_ms (const load_estimate_t *load, uint64_t now_ms)
{
  return (double)now_ms + load->backlog_ms
         + load->decode_ms * PASSES_TO_FIRST_EVENT;
}

struct prefill_ends
{
  GHashTable *by_request; /* id of the job that decodes -> double, in ms */
};

prefill_ends_t *
prefill_ends_new (void)
{
  prefill_ends_t *ends = g_new0 (prefill_ends_t, 1);

  ends->by_request
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  return ends;
}

void
prefill_ends_free (prefill_ends_t *ends)
{
  g_hash_table_destroy (ends->by_request);
  g_free (ends);
}

void
prefill_ends_add (prefill_ends_t *ends,
                  const upstream_member_t *member,
                  const load_estimate_t *load,
                  uint64_t now_ms)
{
  double done_ms = first_event_ms (load, now_ms);

  for (guint i = 0; i < member->jobs->len; i++)
    {
      const upstream_job_t *job = g_ptr_array_index (member->jobs, i);
      double *end_ms;

      if (job->first_ms > 0 || !upstream_job_is_split (job))
        continue;
      end_ms = g_hash_table_lookup (ends->by_request, &job->request);
      if (end_ms == NULL)
        g_hash_table_insert (ends->by_request, (gpointer)&job->request,
                             g_memdup2 (&done_ms, sizeof done_ms));
      else
        *end_ms = fmax (*end_ms, done_ms);
    }
}

/** Returns when a job has its first event, if this engine is done with it at
 * @a done_ms. */
static double
find_end_ms (const prefill_ends_t *ends,
             const upstream_job_t *job,
             double done_ms)
{
  const double *end_ms = NULL;

  if (upstream_job_is_split (job))
    end_ms = g_hash_table_lookup (ends->by_request, &job->request);
  return end_ms != NULL ? fmax (*end_ms, done_ms) : done_ms;
}

void
engine_load_add_prefill_losses (const upstream_member_t *member,
                                const load_estimate_t *load,
                                const prefill_ends_t *ends,
                                double part_ms,
                                uint64_t now_ms,
                                request_losses_t *losses)
{
  double done_ms = first_event_ms (load, now_ms);

  for (guint i = 0; i < member->jobs->len; i++)
    {
      const upstream_job_t *job = g_ptr_array_index (member->jobs, i);

      if (job->first_ms == 0 && job->due_ms > 0)
        {
          double end_ms = find_end_ms (ends, job, done_ms);

          request_losses_add (
              losses, job,
              job->value
                  * (first_event_loss (job, fmax (end_ms, done_ms + part_ms))
                     - first_event_loss (job, end_ms)));
        }
    }
}
