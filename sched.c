#include "sched.h"

#include <glib.h>
#include <string.h>
#include <talloc.h>

#include "admission.h"
#include "fleet.h"
#include "job.h"
#include "limits.h"
#include "placement.h"
#include "predict.h"
#include "queue.h"

#define DEFAULT_MAX_QUEUED_REQUESTS 1000
#define QUEUE_FULL_RETRY_AFTER_MS   1000
#define NO_UPSTREAM_RETRY_AFTER_MS  2000
#define MAX_RETRY_AFTER_MS          60000
/* Weight of one gap between tokens in their moving mean. */
#define GAP_SAMPLE_WEIGHT 0.02
/* Longest time until waiting requests are considered again. */
#define RECHECK_INTERVAL_MS 5
#define MAX_BLOCKED_KINDS   16

struct sched
{
  char *zone;
  fleet_t *fleet;
  queue_t *queue;
  limits_t *limits;
  placement_t *placement;
  GHashTable *admissions; /* service to admission_t */
  sched_policy_t policy;
  double token_gap_ms; /* moving mean of the time between an answer's tokens */
  GHashTable *jobs;    /* id to job_t */
  uint32_t max_queue;
  uint64_t last_number;
};

static const char *const policy_names[] = {
  [SCHED_RANDOM] = "random",
  [SCHED_ROUND_ROBIN] = "round-robin",
  [SCHED_LEAST_OUTSTANDING] = "least-outstanding",
  [SCHED_TWO_CHOICES] = "two-choices",
  [SCHED_PREDICTED] = "predicted",
};

bool
sched_policy_from_name (const char *name, sched_policy_t *policy)
{
  for (guint i = 0; i < G_N_ELEMENTS (policy_names); i++)
    if (strcmp (policy_names[i], name) == 0)
      {
        *policy = (sched_policy_t)i;
        return true;
      }
  return false;
}

/* Frees the jobs before the upstreams, which have pointers to them; talloc
 * does not guarantee an order. */
static int
sched_destroy (sched_t *sched)
{
  GHashTableIter jobs;
  gpointer job;

  g_hash_table_iter_init (&jobs, sched->jobs);
  while (g_hash_table_iter_next (&jobs, NULL, &job))
    {
      fleet_detach (job, 0);
      talloc_free (job);
    }
  g_hash_table_destroy (sched->jobs);
  g_hash_table_destroy (sched->admissions);
  return 0;
}

sched_t *
sched_new (void *parent, const sched_options_t *options)
{
  sched_t *sched = talloc_zero (parent, sched_t);

  sched->zone = talloc_strdup (sched, options->zone);
  sched->fleet = fleet_new (sched, sched->zone);
  sched->queue = queue_new (sched);
  sched->limits = limits_new (sched);
  sched->admissions
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  sched->policy = options->policy;
  sched->placement
      = placement_new (sched, options->policy, options->seed, sched->fleet);
  sched->jobs = g_hash_table_new (g_int64_hash, g_int64_equal);
  sched->max_queue = DEFAULT_MAX_QUEUED_REQUESTS;
  talloc_set_destructor (sched, sched_destroy);
  return sched;
}

void
sched_put_upstream (sched_t *sched,
                    const sched_upstream_t *upstream,
                    uint64_t now_ms)
{
  fleet_put (sched->fleet, upstream);
}

void
sched_drop_upstream (sched_t *sched, const char *name)
{
  fleet_drop (sched->fleet, name);
}

void
sched_put_customer (sched_t *sched,
                    const char *name,
                    uint32_t weight,
                    uint64_t tokens_per_s,
                    uint32_t requests_per_s)
{
  queue_set_weight (sched->queue, name, weight);
  limits_put (sched->limits, name, tokens_per_s, requests_per_s);
}

void
sched_set_version (sched_t *sched, const char *service, const char *version)
{
  fleet_set_version (sched->fleet, service, version);
}

void
sched_set_max_queue (sched_t *sched, uint32_t requests)
{
  sched->max_queue = requests;
}

static admission_t *
find_admission (sched_t *sched, const job_t *job)
{
  admission_t *admission
      = g_hash_table_lookup (sched->admissions, job->service);

  if (admission != NULL)
    return admission;
  admission = admission_new (sched);
  g_hash_table_insert (sched->admissions, g_strdup (job->service), admission);
  return admission;
}

static job_t *
find_job (sched_t *sched, uint64_t id)
{
  return g_hash_table_lookup (sched->jobs, &id);
}

static sched_verdict_t
make_refusal (error_kind_t kind, uint32_t retry_after_ms)
{
  return (sched_verdict_t){ .refusal = kind, .retry_after_ms = retry_after_ms };
}

/* Returns by how many ms the predicted end is past the deadline; 0 when the
 * deadline can be met. */
static double
predicted_excess_ms (sched_t *sched, const job_t *job, uint64_t now_ms)
{
  double slack_ms = (double)(job->deadline_ms - now_ms);
  queue_share_t share = queue_customer_share (sched->queue, job);
  admission_input_t input
      = { .tokens_before = queue_tokens_before (sched->queue, job),
          .own_tokens = share.tokens,
          .own_share = share.share,
          .capacity_tokens_s
          = placement_capacity_tokens_s (sched->placement, job),
          .service_ms = placement_read_ms (sched->placement, job)
                        + (double)job->max_tokens * sched->token_gap_ms };
  double needed_ms
      = admission_predict_ms (find_admission (sched, job), job, &input, now_ms);

  return needed_ms > slack_ms ? needed_ms - slack_ms : 0;
}

static sched_verdict_t
check_admission (sched_t *sched, job_t *job, uint64_t now_ms)
{
  uint32_t retry_after_ms = 0;
  double excess_ms;

  if (job->deadline_ms <= now_ms)
    return make_refusal (ERROR_DEADLINE_UNMEETABLE, 0);
  if (!placement_serves (sched->placement, job))
    return make_refusal (ERROR_NO_UPSTREAM, NO_UPSTREAM_RETRY_AFTER_MS);
  if (!placement_fits (sched->placement, job))
    return make_refusal (ERROR_ENGINE_MEMORY, 0);
  if (queue_length (sched->queue) >= sched->max_queue)
    return make_refusal (ERROR_QUEUE_FULL, QUEUE_FULL_RETRY_AFTER_MS);
  excess_ms = sched->policy == SCHED_PREDICTED
                  ? predicted_excess_ms (sched, job, now_ms)
                  : 0;
  if (excess_ms > 0)
    return make_refusal (ERROR_DEADLINE_UNMEETABLE,
                         (uint32_t)MIN (excess_ms, MAX_RETRY_AFTER_MS));
  if (!limits_take (sched->limits, job->customer, job_max_kv_tokens (job),
                    now_ms, &retry_after_ms))
    return make_refusal (ERROR_CUSTOMER_LIMIT, retry_after_ms);
  return (sched_verdict_t){ .admitted = true };
}

sched_verdict_t
sched_submit (sched_t *sched, const sched_request_t *request, uint64_t now_ms)
{
  job_t *job = job_new (sched, request);
  sched_verdict_t verdict;

  job->submitted_at_ms = now_ms;
  job->number = ++sched->last_number;
  queue_assign_tag (sched->queue, job);
  verdict = check_admission (sched, job, now_ms);
  if (!verdict.admitted)
    {
      talloc_free (job);
      return verdict;
    }
  admission_record_admitted (find_admission (sched, job), job, now_ms);
  g_hash_table_insert (sched->jobs, &job->id, job);
  queue_add (sched->queue, job);
  return verdict;
}

sched_verdict_t
sched_charge (sched_t *sched,
              const char *customer,
              uint64_t tokens,
              uint64_t now_ms)
{
  uint32_t retry_after_ms = 0;

  if (!limits_take (sched->limits, customer, tokens, now_ms, &retry_after_ms))
    return make_refusal (ERROR_CUSTOMER_LIMIT, retry_after_ms);
  return (sched_verdict_t){ .admitted = true };
}

sched_verdict_t
sched_resubmit (sched_t *sched,
                uint64_t request_id,
                const char *avoid,
                uint64_t now_ms)
{
  job_t *job = find_job (sched, request_id);

  if (job == NULL)
    return make_refusal (ERROR_INTERNAL, 0);
  fleet_detach (job, now_ms);
  if (job->deadline_ms <= now_ms)
    return make_refusal (ERROR_DEADLINE_PASSED, 0);
  talloc_free (job->avoid);
  job->avoid = talloc_strdup (job, avoid);
  if (!placement_serves (sched->placement, job))
    return make_refusal (ERROR_NO_UPSTREAM, NO_UPSTREAM_RETRY_AFTER_MS);
  if (job->place == NULL)
    queue_restore (sched->queue, job);
  return (sched_verdict_t){ .admitted = true };
}

static void
remove_job (sched_t *sched, job_t *job)
{
  queue_remove (sched->queue, job, false);
  g_hash_table_remove (sched->jobs, &job->id);
  talloc_free (job);
}

static void
set_refuse_step (sched_t *sched,
                 job_t *job,
                 error_kind_t kind,
                 sched_step_t *step)
{
  *step = (sched_step_t){ .action = SCHED_REFUSE,
                          .request_id = job->id,
                          .refusal = kind };
  remove_job (sched, job);
}

static void
set_send_step (sched_t *sched,
               job_t *job,
               const placement_result_t *placed,
               uint64_t now_ms,
               sched_step_t *step)
{
  const weights_t *weights
      = fleet_choose_weights (sched->fleet, placed->upstream, job);

  queue_remove (sched->queue, job, true);
  fleet_attach (placed->upstream, job, now_ms);
  job->cached_tokens = fleet_cached_tokens (placed->upstream, job);
  talloc_free (job->sent_version);
  job->sent_version
      = weights != NULL ? talloc_strdup (job, weights->version) : NULL;
  job->predicted_ms = placed->first_token_ms;
  predict_record_sent (job, now_ms);
  admission_record_sent (find_admission (sched, job), job, now_ms);
  *step = (sched_step_t){ .action = SCHED_SEND,
                          .request_id = job->id,
                          .upstream = placed->upstream->name,
                          .weights = weights,
                          .why = placed->why,
                          .predicted_first_token_ms
                          = (uint32_t)placed->first_token_ms,
                          .priority
                          = placement_priority (sched->placement, job) };
}

/* Requests that keep waiting in the current pass over the queue. Later
 * requests of the same kind are not placed before them. */
typedef struct
{
  const job_t *jobs[MAX_BLOCKED_KINDS];
  guint count;
} blocked_t;

static bool
is_same_kind (const job_t *a, const job_t *b)
{
  return job_is_long (a) == job_is_long (b)
         && g_strcmp0 (a->service, b->service) == 0
         && g_strcmp0 (a->model, b->model) == 0
         && g_strcmp0 (a->adapter, b->adapter) == 0
         && g_strcmp0 (a->version, b->version) == 0;
}

static bool
is_kind_blocked (const blocked_t *blocked, const job_t *job)
{
  for (guint i = 0; i < blocked->count; i++)
    if (is_same_kind (blocked->jobs[i], job))
      return true;
  return false;
}

static void
add_blocked_kind (blocked_t *blocked, const job_t *job)
{
  if (blocked->count < MAX_BLOCKED_KINDS)
    blocked->jobs[blocked->count++] = job;
}

/* Returns the slack until the deadline, in ms, if the job is sent now and gets
 * half of the speed of an engine for its prompt. */
static double
half_speed_slack_ms (sched_t *sched, const job_t *job, uint64_t now_ms)
{
  double read_ms = 2 * placement_read_ms (sched->placement, job);
  double answer_ms = (double)job->max_tokens * sched->token_gap_ms;

  return (double)job->deadline_ms - (double)now_ms - read_ms - answer_ms;
}

/* Returns whether a long prompt stays in the queue. It would hold engine memory
 * while it is read, so it is kept back as long as its deadline allows while
 * short prompts wait for engines. Updates is_urgent and may_spread of the
 * job. */
static bool
should_defer (sched_t *sched, job_t *job, uint64_t now_ms)
{
  if (sched->policy != SCHED_PREDICTED || !job_is_long (job))
    return false;
  job->is_urgent = half_speed_slack_ms (sched, job, now_ms) <= 0;
  job->may_spread = (double)(now_ms - job->submitted_at_ms)
                    > placement_read_ms (sched->placement, job);
  return !job->is_urgent
         && admission_is_backlogged (find_admission (sched, job));
}

/* Determines the step for one waiting request; false if it keeps waiting. */
static bool
decide_job (sched_t *sched,
            job_t *job,
            blocked_t *blocked,
            uint64_t now_ms,
            sched_step_t *step)
{
  placement_result_t placed;

  if (job->deadline_ms <= now_ms)
    {
      set_refuse_step (sched, job, ERROR_DEADLINE_PASSED, step);
      return true;
    }
  if (is_kind_blocked (blocked, job))
    return false;
  if (should_defer (sched, job, now_ms))
    {
      add_blocked_kind (blocked, job);
      return false;
    }
  placed = placement_choose (sched->placement, job, now_ms);
  if (placed.verdict == PLACEMENT_WAIT)
    {
      add_blocked_kind (blocked, job);
      return false;
    }
  if (placed.verdict == PLACEMENT_SEND)
    set_send_step (sched, job, &placed, now_ms, step);
  else
    set_refuse_step (sched, job, ERROR_NO_UPSTREAM, step);
  return true;
}

/* Waiting long prompts do not count as a backlog, because they may be deferred
 * until the backlog ends. */
static void
update_backlogs (sched_t *sched, const blocked_t *blocked, uint64_t now_ms)
{
  GHashTableIter services;
  gpointer service;
  gpointer admission;

  g_hash_table_iter_init (&services, sched->admissions);
  while (g_hash_table_iter_next (&services, &service, &admission))
    {
      bool is_backlogged = false;

      for (guint i = 0; i < blocked->count; i++)
        is_backlogged
            = is_backlogged
              || (!job_is_long (blocked->jobs[i])
                  && strcmp (blocked->jobs[i]->service, service) == 0);
      admission_set_backlog (admission, is_backlogged, now_ms);
    }
}

bool
sched_next (sched_t *sched,
            uint64_t now_ms,
            sched_step_t *step,
            uint64_t *wake_ms)
{
  GSequenceIter *position = queue_first (sched->queue);
  blocked_t blocked = { .count = 0 };

  while (!g_sequence_iter_is_end (position))
    {
      job_t *job = g_sequence_get (position);

      position = g_sequence_iter_next (position);
      if (decide_job (sched, job, &blocked, now_ms, step))
        {
          *wake_ms = 0;
          return true;
        }
    }
  update_backlogs (sched, &blocked, now_ms);
  *wake_ms = blocked.count > 0 ? now_ms + RECHECK_INTERVAL_MS : 0;
  return false;
}

void
sched_record_first_token (sched_t *sched, uint64_t request_id, uint64_t now_ms)
{
  job_t *job = find_job (sched, request_id);

  if (job == NULL || !job->reading)
    return;
  job->reading = false;
  job->first_token_at_ms = now_ms;
  job->last_token_at_ms = now_ms;
  if (job->at != NULL)
    predict_record_first_token (job, now_ms);
  /* The remaining tokens of the answer must come from the same weights. */
  if (job->version == NULL && job->sent_version != NULL)
    job->version = talloc_strdup (job, job->sent_version);
}

void
sched_record_tokens (sched_t *sched,
                     uint64_t request_id,
                     uint32_t tokens,
                     uint64_t now_ms)
{
  job_t *job = find_job (sched, request_id);

  if (job == NULL)
    return;
  job->received_tokens += tokens;
  if (job->last_token_at_ms > 0)
    sched->token_gap_ms
        += GAP_SAMPLE_WEIGHT
           * ((double)(now_ms - job->last_token_at_ms) - sched->token_gap_ms);
  job->last_token_at_ms = now_ms;
}

void
sched_end (sched_t *sched,
           uint64_t request_id,
           sched_end_t how,
           uint64_t now_ms)
{
  job_t *job = find_job (sched, request_id);

  if (job == NULL)
    return;
  fleet_detach (job, now_ms);
  remove_job (sched, job);
}

void
sched_prefix_hint (sched_t *sched,
                   const char *upstream,
                   uint64_t prefix_hash,
                   uint64_t tokens,
                   bool present)
{
  fleet_upstream_t *known = fleet_find (sched->fleet, upstream);

  if (known != NULL)
    fleet_set_prefix (known, prefix_hash, present ? tokens : 0);
}

uint32_t
sched_waiting (const sched_t *sched)
{
  return queue_length (sched->queue);
}
