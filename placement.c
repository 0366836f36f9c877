#include "placement.h"

#include <math.h>
#include <string.h>
#include <talloc.h>

#include "predict.h"

/* Priorities 0 to 9 at an upstream are split by length class, lowest first:
 * long, medium, brief. */
#define PRIORITY_COUNT 10
#define LONG_LEVELS    3
#define MEDIUM_LEVELS  3
#define BRIEF_LEVELS   (PRIORITY_COUNT - LONG_LEVELS - MEDIUM_LEVELS)
/* Length up to which a prompt is brief. */
#define MAX_BRIEF_TOKENS 8192
/* Share of a zone's engines that take long prompts which neither are urgent nor
 * have waited long. */
#define LONG_ENGINE_SHARE 0.6
/* Number of upstreams that are sampled and compared for a request. */
#define SAMPLED_UPSTREAMS 5
/* Cost of sending a prompt to another zone: delay of the link, and its bytes
 * at the bandwidth of the link. */
#define ZONE_LINK_DELAY_MS     20.0
#define ZONE_LINK_BYTES_PER_MS 1000.0
#define BYTES_PER_TOKEN        4
#define MS_PER_S               1000.0
/* Largest share by which random jitter raises a predicted time before the
 * comparison. A later sample must be better by the jitter to replace the best
 * one so far. */
#define MAX_JITTER_SHARE 0.1

struct placement
{
  sched_policy_t policy;
  const fleet_t *fleet;
  GRand *random;
  uint64_t next_turn;    /* turn of round-robin, counted over all services */
  GPtrArray *candidates; /* scratch list: usable upstreams with room */
  GPtrArray *ready;      /* scratch list: candidates to send to now */
};

static int
placement_destroy (placement_t *placement)
{
  g_rand_free (placement->random);
  g_ptr_array_unref (placement->candidates);
  g_ptr_array_unref (placement->ready);
  return 0;
}

placement_t *
placement_new (void *parent,
               sched_policy_t policy,
               uint64_t seed,
               const fleet_t *fleet)
{
  placement_t *placement = talloc_zero (parent, placement_t);
  const guint32 words[2] = { (guint32)seed, (guint32)(seed >> 32) };

  placement->policy = policy;
  placement->fleet = fleet;
  placement->random = g_rand_new_with_seed_array (words, 2);
  placement->candidates = g_ptr_array_new ();
  placement->ready = g_ptr_array_new ();
  talloc_set_destructor (placement, placement_destroy);
  return placement;
}

/* Preference among the upstreams that serve a job. A suspect upstream, or the
 * one that failed the job before, is used only when there is no better one,
 * not when the better ones are merely full. */
typedef enum
{
  RANK_GOOD,
  RANK_AVOIDED,
  RANK_SUSPECT,
  RANK_COUNT
} rank_t;

static rank_t
upstream_rank (const fleet_upstream_t *upstream, const job_t *job)
{
  if (upstream->suspect)
    return RANK_SUSPECT;
  if (g_strcmp0 (upstream->name, job->avoid) == 0)
    return RANK_AVOIDED;
  return RANK_GOOD;
}

static rank_t
best_rank (const GPtrArray *members, const job_t *job)
{
  rank_t best = RANK_COUNT;

  for (guint i = 0; i < members->len; i++)
    {
      const fleet_upstream_t *upstream = g_ptr_array_index (members, i);

      if (!upstream->leaving && fleet_serves (upstream, job))
        best = MIN (best, upstream_rank (upstream, job));
    }
  return best;
}

/* Reduces the candidates to the upstreams with the preferred version, if any of
 * them has it. */
static void
keep_preferred_version (placement_t *placement, const job_t *job)
{
  GPtrArray *candidates = placement->candidates;
  guint kept = 0;

  for (guint i = 0; i < candidates->len; i++)
    if (fleet_is_preferred (placement->fleet, candidates->pdata[i], job))
      candidates->pdata[kept++] = candidates->pdata[i];
  if (kept > 0)
    g_ptr_array_set_size (candidates, (gint)kept);
}

/* Lists the candidates; false when no usable upstream serves the job. */
static bool
find_candidates (placement_t *placement, const job_t *job)
{
  const GPtrArray *members
      = fleet_service_upstreams (placement->fleet, job->service);
  rank_t rank;

  g_ptr_array_set_size (placement->candidates, 0);
  if (members == NULL)
    return false;
  rank = best_rank (members, job);
  if (rank == RANK_COUNT)
    return false;
  for (guint i = 0; i < members->len; i++)
    {
      fleet_upstream_t *upstream = g_ptr_array_index (members, i);

      if (!upstream->leaving && fleet_serves (upstream, job)
          && upstream_rank (upstream, job) == rank
          && fleet_has_room (upstream, job))
        g_ptr_array_add (placement->candidates, upstream);
    }
  keep_preferred_version (placement, job);
  return true;
}

static fleet_upstream_t *
candidate_at (const placement_t *placement, guint index)
{
  return g_ptr_array_index (placement->candidates, index);
}

static fleet_upstream_t *
pick_random_candidate (placement_t *placement)
{
  gint32 count = (gint32)placement->candidates->len;

  return candidate_at (placement,
                       (guint)g_rand_int_range (placement->random, 0, count));
}

static fleet_upstream_t *
pick_fewer_jobs (fleet_upstream_t *a, fleet_upstream_t *b)
{
  return b->jobs->len < a->jobs->len ? b : a;
}

static fleet_upstream_t *
least_outstanding (const placement_t *placement)
{
  fleet_upstream_t *best = candidate_at (placement, 0);

  for (guint i = 1; i < placement->candidates->len; i++)
    best = pick_fewer_jobs (best, candidate_at (placement, i));
  return best;
}

static fleet_upstream_t *
choose_baseline (placement_t *placement)
{
  switch (placement->policy)
    {
    case SCHED_ROUND_ROBIN:
      return candidate_at (placement, (guint)(placement->next_turn++
                                              % placement->candidates->len));
    case SCHED_LEAST_OUTSTANDING:
      return least_outstanding (placement);
    case SCHED_TWO_CHOICES:
      return pick_fewer_jobs (pick_random_candidate (placement),
                              pick_random_candidate (placement));
    default:
      return pick_random_candidate (placement);
    }
}

static double
add_jitter (placement_t *placement, double time_ms)
{
  return time_ms * (1 + MAX_JITTER_SHARE * g_rand_double (placement->random));
}

/* Chooses the fastest of a few random members (power of two choices,
 * Mitzenmacher, 2001). If every instance took the best member of a large zone,
 * all instances with the same outdated load reports would send to one engine.
 * Sampled members move to the front of the list, so that each is sampled
 * once. */
static placement_result_t
choose_fastest (placement_t *placement,
                GPtrArray *members,
                const job_t *job,
                uint64_t now_ms)
{
  placement_result_t result = { .verdict = PLACEMENT_WAIT };
  double best_ms = INFINITY;
  guint choices = MIN (members->len, SAMPLED_UPSTREAMS);

  for (guint i = 0; i < choices; i++)
    {
      guint drawn = (guint)g_rand_int_range (placement->random, (gint32)i,
                                             (gint32)members->len);
      fleet_upstream_t *upstream = members->pdata[drawn];
      double time_ms = predict_first_token_ms (upstream, job, now_ms);

      members->pdata[drawn] = members->pdata[i];
      members->pdata[i] = upstream;
      if (add_jitter (placement, time_ms) >= best_ms)
        continue;
      best_ms = time_ms;
      result.upstream = upstream;
    }
  result.first_token_ms = best_ms;
  if (result.upstream != NULL)
    result.verdict = PLACEMENT_SEND;
  return result;
}

static bool
fits_empty_memory (const fleet_upstream_t *upstream, const job_t *job)
{
  return upstream->kv_tokens == 0
         || job_max_kv_tokens (job) <= upstream->kv_tokens;
}

/* Returns whether the upstream may take the job. Long prompts use only the
 * first engines of each zone, in an order that all instances share, so that a
 * burst of short prompts finds free memory on the remaining engines. A long
 * prompt that is urgent or has waited long may use any engine. */
static bool
may_take_job (const placement_t *placement,
              const fleet_upstream_t *upstream,
              const job_t *job)
{
  const GPtrArray *members
      = fleet_service_upstreams (placement->fleet, job->service);
  guint earlier_count = 0;
  guint eligible_count = 0;

  if (!job_is_long (job) || job->is_urgent || job->may_spread)
    return true;
  for (guint i = 0; i < members->len; i++)
    {
      const fleet_upstream_t *other = g_ptr_array_index (members, i);

      if (other->leaving || other->suspect || !fleet_serves (other, job)
          || !fits_empty_memory (other, job)
          || g_strcmp0 (other->zone, upstream->zone) != 0)
        continue;
      eligible_count++;
      earlier_count += strcmp (other->name, upstream->name) < 0;
    }
  return earlier_count < ceil (LONG_ENGINE_SHARE * eligible_count);
}

/* Lists the candidates that a job can be sent to now, in this instance's zone
 * or in the other zones. */
static void
find_ready (placement_t *placement,
            const job_t *job,
            bool in_own_zone,
            uint64_t now_ms)
{
  g_ptr_array_set_size (placement->ready, 0);
  for (guint i = 0; i < placement->candidates->len; i++)
    {
      fleet_upstream_t *upstream = candidate_at (placement, i);

      if (upstream->in_own_zone == in_own_zone
          && may_take_job (placement, upstream, job)
          && predict_can_send_now (upstream, job, now_ms))
        g_ptr_array_add (placement->ready, upstream);
    }
}

static double
zone_transfer_ms (const job_t *job)
{
  double bytes = (double)job->prompt_tokens * BYTES_PER_TOKEN;

  return ZONE_LINK_DELAY_MS + bytes / ZONE_LINK_BYTES_PER_MS;
}

/* Returns whether an upstream in this instance's zone can serve the job now or
 * later and ranks no lower than the upstreams in the other zones. */
static bool
own_zone_serves (const placement_t *placement, const job_t *job)
{
  const GPtrArray *members
      = fleet_service_upstreams (placement->fleet, job->service);
  rank_t rank = best_rank (members, job);

  for (guint i = 0; i < members->len; i++)
    {
      const fleet_upstream_t *upstream = g_ptr_array_index (members, i);

      if (upstream->in_own_zone && !upstream->leaving
          && fleet_serves (upstream, job)
          && upstream_rank (upstream, job) == rank
          && fits_empty_memory (upstream, job))
        return true;
    }
  return false;
}

/* Returns whether the predicted time in this instance's zone meets the target
 * for the first token or, without a target, the deadline. */
static bool
is_in_time (const placement_result_t *own, const job_t *job, uint64_t now_ms)
{
  uint64_t due_ms
      = job->first_token_by_ms > 0 ? job->first_token_by_ms : job->deadline_ms;
  double wait_ms = own->verdict == PLACEMENT_SEND ? own->first_token_ms : 0;

  return (double)now_ms + wait_ms <= (double)due_ms;
}

/* Prefers this instance's zone. Another zone is chosen only when this zone is
 * too late and slower by more than the transfer between the zones costs. */
static placement_result_t
choose_predicted (placement_t *placement, const job_t *job, uint64_t now_ms)
{
  placement_result_t own;
  placement_result_t other;

  find_ready (placement, job, true, now_ms);
  own = choose_fastest (placement, placement->ready, job, now_ms);
  own.why = own.upstream != NULL && fleet_cached_tokens (own.upstream, job) > 0
                ? SCHED_REASON_CACHED_PREFIX
                : SCHED_REASON_OWN_ZONE;
  if (own_zone_serves (placement, job) && is_in_time (&own, job, now_ms))
    return own;
  find_ready (placement, job, false, now_ms);
  other = choose_fastest (placement, placement->ready, job, now_ms);
  other.why = SCHED_REASON_OTHER_ZONE;
  other.first_token_ms += zone_transfer_ms (job);
  return other.first_token_ms < own.first_token_ms ? other : own;
}

placement_result_t
placement_choose (placement_t *placement, const job_t *job, uint64_t now_ms)
{
  placement_result_t result = { .why = SCHED_REASON_POLICY };

  if (!find_candidates (placement, job))
    {
      result.verdict = PLACEMENT_NO_UPSTREAM;
      return result;
    }
  if (placement->candidates->len == 0)
    {
      result.verdict = PLACEMENT_WAIT;
      return result;
    }
  result.verdict = PLACEMENT_SEND;
  if (placement->policy == SCHED_PREDICTED)
    return choose_predicted (placement, job, now_ms);
  result.upstream = choose_baseline (placement);
  if (placement->candidates->len == 1)
    result.why = SCHED_REASON_ONLY_ONE;
  return result;
}

bool
placement_serves (const placement_t *placement, const job_t *job)
{
  const GPtrArray *members
      = fleet_service_upstreams (placement->fleet, job->service);

  return members != NULL && best_rank (members, job) != RANK_COUNT;
}

uint32_t
placement_priority (const placement_t *placement, const job_t *job)
{
  uint32_t priority = MIN (job->priority, PRIORITY_COUNT - 1);

  if (placement->policy != SCHED_PREDICTED)
    return job->priority;
  if (job_is_long (job))
    return priority * LONG_LEVELS / PRIORITY_COUNT;
  if (job->prompt_tokens > MAX_BRIEF_TOKENS)
    return LONG_LEVELS + priority * MEDIUM_LEVELS / PRIORITY_COUNT;
  return LONG_LEVELS + MEDIUM_LEVELS + priority * BRIEF_LEVELS / PRIORITY_COUNT;
}

bool
placement_fits (const placement_t *placement, const job_t *job)
{
  const GPtrArray *members
      = fleet_service_upstreams (placement->fleet, job->service);

  for (guint i = 0; members != NULL && i < members->len; i++)
    {
      const fleet_upstream_t *upstream = g_ptr_array_index (members, i);

      if (!upstream->leaving && fleet_serves (upstream, job)
          && fits_empty_memory (upstream, job))
        return true;
    }
  return false;
}

double
placement_capacity_tokens_s (const placement_t *placement, const job_t *job)
{
  const GPtrArray *members
      = fleet_service_upstreams (placement->fleet, job->service);
  double own = 0;
  double others = 0;

  for (guint i = 0; members != NULL && i < members->len; i++)
    {
      const fleet_upstream_t *upstream = g_ptr_array_index (members, i);
      double *sum = upstream->in_own_zone ? &own : &others;

      if (!upstream->leaving && fleet_serves (upstream, job))
        *sum += rate_tokens_in (&upstream->rate, MS_PER_S);
    }
  return own > 0 ? own : others;
}

double
placement_read_ms (const placement_t *placement, const job_t *job)
{
  const GPtrArray *members
      = fleet_service_upstreams (placement->fleet, job->service);
  double best_ms = INFINITY;

  for (guint i = 0; members != NULL && i < members->len; i++)
    {
      const fleet_upstream_t *upstream = g_ptr_array_index (members, i);

      if (!upstream->leaving && fleet_serves (upstream, job))
        best_ms = MIN (best_ms, predict_read_ms (upstream, job));
    }
  return best_ms;
}
