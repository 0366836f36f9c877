#include "engine-load.h"

#include <math.h>

/** A job is never quite read before its first event is seen. */
#define UNSEEN_SHARE 0.1
/** What is left of the present pass, and the one that writes the event. */
#define PASSES_TO_FIRST_EVENT 1.5
/** A part's end is not told: it waits for the other parts. */
#define PART_GRACE_MS 60.0
/** A prompt is surely being read so long after its pass should have begun. */
#define PASS_BEGUN_MS 30.0
/** Where a pause begins to be too long and surely is, as shares of the target:
 * others may lay a prompt on the engine at the same moment. */
#define PAUSE_FROM 0.85
#define PAUSE_SURE 1.05
/** The same for first events. */
#define FIRST_FROM 0.8
#define FIRST_SURE 1.05

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
         * engine_load_ramp (pause_ms, PAUSE_FROM * gap_target_ms,
                             PAUSE_SURE * gap_target_ms);
}

double
engine_load_part_pass_ms (const engine_model_t *model,
                          double prompt_tokens,
                          double part_tokens)
{
  double whole_ms = engine_read_ms (model, prompt_tokens);

  if (part_tokens >= prompt_tokens)
    return engine_pass_read_ms (model, prompt_tokens);
  return whole_ms * fmin (part_tokens, engine_pass_tokens (model))
         / prompt_tokens;
}

/** Time an engine needs for its part of a job's prompt. */
static double
read_ms_of (const engine_model_t *model, const upstream_job_t *job)
{
  if (job->prompt_tokens == 0)
    return 0;
  return engine_read_ms (model, job->prompt_tokens) * job->read_tokens
         / job->prompt_tokens;
}

static bool
is_shared (const upstream_job_t *job)
{
  return job->read_tokens < job->prompt_tokens;
}

/** Counts those being written to, and what all keep. */
static engine_load_t
count_jobs (const upstream_member_t *member, uint64_t *free_ms)
{
  engine_load_t load = { 0 };

  *free_ms = 0;
  for (guint i = 0; i < member->jobs->len; i++)
    {
      const upstream_job_t *job = g_ptr_array_index (member->jobs, i);

      load.held += !job->is_part;
      load.kv_tokens += job->kv_tokens;
      if (job->first_ms == 0)
        continue;
      load.writers++;
      load.context_tokens += job->read_tokens;
      *free_ms = MAX (*free_ms, job->first_ms);
    }
  return load;
}

/** A walk through the prompts that an engine has not read yet. */
typedef struct
{
  const engine_model_t *model;
  const upstream_member_t *member;
  double now_ms;
  double begin_ms;         /* from a send to the next pass */
  double busy_ms;          /* until when it reads */
  double reading_since_ms; /* the job last gone past */
} walk_t;

/** Goes past one job; false when it must have been read. */
static bool
walk_past (walk_t *walk, const upstream_job_t *job)
{
  double read_ms = read_ms_of (walk->model, job) * walk->member->slowness;

  if (job->first_ms > 0)
    return false;
  walk->reading_since_ms
      = fmax (walk->busy_ms, (double)job->sent_ms + walk->begin_ms);
  walk->busy_ms = walk->reading_since_ms + read_ms;
  if (job->is_part && walk->busy_ms + PART_GRACE_MS < walk->now_ms)
    return false;
  walk->busy_ms = fmax (walk->busy_ms, walk->now_ms + read_ms * UNSEEN_SHARE);
  return true;
}

/** Whether it is read in the pass that runs, and so not in the next. */
static bool
is_in_present_pass (const walk_t *walk, const upstream_job_t *job)
{
  return job->read_tokens <= engine_pass_tokens (walk->model)
         && walk->reading_since_ms + PASS_BEGUN_MS < walk->now_ms;
}

engine_load_t
engine_load_of (const engine_model_t *model,
                const upstream_member_t *member,
                uint64_t now_ms)
{
  uint64_t free_ms;
  engine_load_t load = count_jobs (member, &free_ms);
  walk_t walk = { .model = model,
                  .member = member,
                  .now_ms = (double)now_ms,
                  .busy_ms = (double)free_ms };

  load.write_ms = engine_pass_ms (model, load.writers, load.context_tokens);
  if (load.writers > 0)
    walk.begin_ms = load.write_ms / 2;
  for (int whole = 0; whole <= 1; whole++)
    {
      for (guint i = 0; i < member->jobs->len; i++)
        {
          const upstream_job_t *job = g_ptr_array_index (member->jobs, i);

          if (is_shared (job) == (whole == 1) || !walk_past (&walk, job))
            continue;
          load.readers++;
          if (!is_in_present_pass (&walk, job))
            load.pass_read_ms += engine_load_part_pass_ms (
                model, job->prompt_tokens, job->read_tokens);
        }
    }
  load.unread_ms = fmax (walk.busy_ms - walk.now_ms, 0);
  return load;
}

double
engine_load_loss_of_writers (const upstream_member_t *member, double pause_ms)
{
  double loss = 0;

  for (guint i = 0; i < member->jobs->len; i++)
    {
      const upstream_job_t *job = g_ptr_array_index (member->jobs, i);

      if (job->first_ms > 0 && !job->is_late && job->gap_target_ms > 0)
        loss += job->value
                * engine_load_pause_loss (pause_ms, job->gap_target_ms);
    }
  return loss;
}

/** Share of its worth lost by one whose first event comes then. */
static double
first_loss (const upstream_job_t *job, double first_ms)
{
  double target_ms = (double)(job->due_ms - job->begun_ms);
  double took_ms = first_ms - (double)job->begun_ms;

  return ENGINE_LATE_SHARE
         * engine_load_ramp (took_ms, FIRST_FROM * target_ms,
                             FIRST_SURE * target_ms);
}

double
engine_load_loss_of_readers (const upstream_member_t *member,
                             const engine_load_t *load,
                             double part_ms,
                             uint64_t now_ms)
{
  double done_ms = (double)now_ms + load->unread_ms
                   + load->write_ms * PASSES_TO_FIRST_EVENT;
  double loss = 0;

  for (guint i = 0; i < member->jobs->len; i++)
    {
      const upstream_job_t *job = g_ptr_array_index (member->jobs, i);

      if (job->first_ms == 0 && job->due_ms > 0)
        loss += job->value
                * (first_loss (job, done_ms + part_ms)
                   - first_loss (job, done_ms));
    }
  return loss;
}
