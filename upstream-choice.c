#include "upstream-choice.h"

#include <math.h>
#include <string.h>

/** Share of a request's worth that is lost when it is late. */
#define LATE_SHARE 0.75
/** Where being late begins and is sure, as shares of the target. */
#define LATE_FROM 0.7
#define LATE_SURE 1.1
/** Small preferences, as shares of the request's own worth. */
#define EMPTY_COST      0.02
#define CROWDED_COST    0.05
#define OTHER_ZONE_COST 0.01
#define SILENT_COST     0.3
/** Requests that one engine holds, as a share of its slots. */
#define SLOTS_SHARE 0.9
/** Memory left free, for answers that grow longer than expected. */
#define KV_SHARE 0.96
/** A plain call that nothing is known of yet. */
#define DEFAULT_CALL_MS 50.0
/** Requests a plain upstream takes for each slot before others wait here. */
#define PLAIN_QUEUE_SHARE  2.0
#define SILENT_CALL_FACTOR 4.0
#define MIN_RETRY_MS       200

/** What runs on one engine now. */
typedef struct
{
  uint32_t writers;
  uint32_t readers;
  double context_tokens; /* of the writers */
  double unread_tokens;
  double unread_ms;
  double pass_read_ms; /* the longest reading part of a pass */
  double kv_tokens;
} engine_state_t;

static double
ramp (double value, double from, double to)
{
  if (value <= from)
    return 0;
  return value >= to ? 1 : (value - from) / (to - from);
}

static bool
is_avoided (const choice_request_t *request, uint64_t key)
{
  for (size_t i = 0; i < request->avoid_count; i++)
    if (request->avoid[i] == key)
      return true;
  return false;
}

static bool
is_candidate (const choice_request_t *request,
              const upstream_member_t *member,
              bool desperate)
{
  if (!member->is_usable || strcmp (member->service, request->service) != 0
      || is_avoided (request, member->key))
    return false;
  if (desperate)
    return true;
  return member->trust == UPSTREAM_TRUSTED
         || (member->trust == UPSTREAM_ON_TRIAL && member->jobs->len == 0);
}

/** Time the job at the head of an engine's reading still needs. */
static double
remaining_read_ms (const engine_model_t *model,
                   const upstream_job_t *job,
                   double since_ms,
                   double slowness)
{
  double whole_ms = engine_read_ms (model, job->prompt_tokens) * slowness;

  if (job->prompt_tokens > 0)
    whole_ms *= (double)job->read_tokens / job->prompt_tokens;
  /* It is never quite done before its first event is seen. */
  return fmax (whole_ms - since_ms, whole_ms * 0.1);
}

static engine_state_t
look_at (const engine_model_t *model,
         const upstream_member_t *member,
         uint64_t now_ms)
{
  engine_state_t state = { 0 };
  uint64_t free_ms = 0; /* when the last job before was read */

  for (guint i = 0; i < member->jobs->len; i++)
    {
      const upstream_job_t *job = g_ptr_array_index (member->jobs, i);

      if (job->first_ms > free_ms)
        free_ms = job->first_ms;
    }
  for (guint i = 0; i < member->jobs->len; i++)
    {
      const upstream_job_t *job = g_ptr_array_index (member->jobs, i);
      double part_ms;
      double since_ms = 0;

      state.kv_tokens += job->kv_tokens;
      if (job->first_ms > 0)
        {
          state.writers++;
          state.context_tokens += job->prompt_tokens;
          continue;
        }
      if (state.readers++ == 0)
        since_ms = (double)(now_ms - MAX (free_ms, job->sent_ms));
      state.unread_ms
          += remaining_read_ms (model, job, since_ms, member->slowness);
      state.unread_tokens += job->read_tokens;
      part_ms = engine_pass_read_ms (model, job->read_tokens);
      state.pass_read_ms = fmax (state.pass_read_ms, part_ms);
    }
  return state;
}

/** Predicted time from now to the first event of a prompt sent there. */
static double
first_event_ms (const choice_request_t *request,
                const upstream_member_t *member,
                const engine_state_t *state)
{
  const engine_model_t *model = request->model;
  double write_ms
      = engine_pass_ms (model, state->writers + 1, state->context_tokens);
  double own_ms
      = engine_read_ms (model, request->prompt_tokens) * member->slowness;
  double passes = ceil ((state->unread_tokens + request->prompt_tokens)
                        / fmax (engine_pass_tokens (model), 1));
  double total_ms = state->unread_ms + own_ms + write_ms;

  if (state->writers + state->readers > 0)
    total_ms += (passes - 1) * write_ms + (write_ms + state->pass_read_ms) / 2;
  if (strcmp (member->zone, request->zone) != 0)
    total_ms += request->zone_cost_ms;
  return total_ms;
}

/** What those being written to on that engine would lose. */
static double
loss_of_others (const upstream_member_t *member, double pause_ms)
{
  double loss = 0;

  for (guint i = 0; i < member->jobs->len; i++)
    {
      const upstream_job_t *job = g_ptr_array_index (member->jobs, i);

      if (job->first_ms == 0 || job->is_late || job->gap_target_ms == 0)
        continue;
      loss += job->value * LATE_SHARE
              * ramp (pause_ms, 0.8 * job->gap_target_ms,
                      1.05 * job->gap_target_ms);
    }
  return loss;
}

static bool
has_room (const choice_request_t *request,
          const upstream_member_t *member,
          const engine_state_t *state)
{
  const engine_model_t *model = request->model;
  double slots = member->slots > 0 ? member->slots : model->slots;
  double kv_tokens
      = state->kv_tokens + request->prompt_tokens + request->answer_tokens;

  if (member->jobs->len == 0)
    return true;
  return member->jobs->len + 1 <= slots * SLOTS_SHARE
         && kv_tokens <= (double)model->kv_tokens * KV_SHARE;
}

/** Small preferences that decide between engines of equal loss. */
static double
preference (const choice_request_t *request,
            const upstream_member_t *member,
            const engine_state_t *state)
{
  double cost = 0;

  if (member->jobs->len == 0)
    cost += EMPTY_COST;
  cost += CROWDED_COST * member->jobs->len
          / fmax (member->slots, request->model->slots);
  if (strcmp (member->zone, request->zone) != 0)
    cost += OTHER_ZONE_COST;
  if (member->is_silent)
    cost += SILENT_COST;
  return cost;
}

static void
weigh_engine (const choice_request_t *request,
              const upstream_member_t *member,
              uint64_t now_ms,
              choice_t *best)
{
  const engine_model_t *model = request->model;
  engine_state_t state = look_at (model, member, now_ms);
  double value
      = upstream_job_value (request->prompt_tokens, request->answer_tokens);
  double first_ms = first_event_ms (request, member, &state);
  double reading_ms = engine_pass_read_ms (model, request->prompt_tokens);
  double pause_ms;
  double loss;

  if (!has_room (request, member, &state) || member->full_until_ms > now_ms)
    return;
  pause_ms = (engine_pass_ms (model, state.writers + 1, state.context_tokens)
              + state.pass_read_ms + reading_ms)
             * member->slowness;
  loss = value * LATE_SHARE
         * ramp (first_ms + request->waited_ms, LATE_FROM * request->target_ms,
                 LATE_SURE * request->target_ms);
  loss += value * (1 - LATE_SHARE)
          * ramp (first_ms, 0.6 * request->left_ms, request->left_ms);
  /* Also when it is late anyway, sooner is better. */
  loss += value * 0.1 * first_ms / fmax (request->left_ms, 1);
  loss += loss_of_others (member, pause_ms);
  loss += value * preference (request, member, &state);
  if (best->member != NULL && loss >= best->loss)
    return;
  best->member = member;
  best->loss = loss;
  best->first_ms = first_ms;
  best->pause_ms = pause_ms;
}

static void
weigh_plain (const choice_request_t *request,
             const upstream_member_t *member,
             double usual_ms,
             uint64_t now_ms,
             choice_t *best)
{
  double call_ms = member->answer_ms > 0 ? member->answer_ms : usual_ms;
  double slots = fmax (member->slots, 1);
  double waiting = fmax (member->jobs->len + 1 - slots, 0);
  double total_ms = call_ms * (1 + waiting / slots)
                    + call_ms * 0.2 * member->jobs->len / slots;

  if (member->full_until_ms > now_ms
      || member->jobs->len >= slots * PLAIN_QUEUE_SHARE)
    return;
  if (strcmp (member->zone, request->zone) != 0)
    total_ms += request->zone_cost_ms;
  if (member->is_silent)
    total_ms *= SILENT_CALL_FACTOR;
  if (best->member != NULL && total_ms >= best->loss)
    return;
  best->member = member;
  best->loss = best->first_ms = total_ms;
}

/** Mean time of a plain call over the service, so that a slow one shows. */
static double
usual_call_ms (const upstream_set_t *set, const char *service)
{
  size_t count;
  const upstream_member_t *const *members = upstream_set_members (set, &count);
  double sum_ms = 0;
  uint32_t known = 0;

  for (size_t i = 0; i < count; i++)
    if (members[i]->answer_ms > 0 && strcmp (members[i]->service, service) == 0)
      {
        sum_ms += members[i]->answer_ms;
        known++;
      }
  return known > 0 ? sum_ms / known : DEFAULT_CALL_MS;
}

static choice_t
choose_among (const upstream_set_t *set,
              const choice_request_t *request,
              bool desperate,
              uint64_t now_ms)
{
  choice_t best = { .kind = CHOICE_NONE };
  double usual_ms
      = request->model == NULL ? usual_call_ms (set, request->service) : 0;
  size_t count;
  const upstream_member_t *const *members = upstream_set_members (set, &count);

  for (size_t i = 0; i < count; i++)
    {
      /* Begins anywhere, so that instances do not all prefer the same. */
      const upstream_member_t *member = members[(i + request->random) % count];

      if (!is_candidate (request, member, desperate))
        continue;
      best.usable++;
      if (request->model != NULL)
        weigh_engine (request, member, now_ms, &best);
      else
        weigh_plain (request, member, usual_ms, now_ms, &best);
    }
  if (best.member != NULL)
    best.kind = CHOICE_SEND;
  else if (best.usable > 0)
    best.kind = CHOICE_WAIT;
  return best;
}

choice_t
upstream_choose (const upstream_set_t *set,
                 const choice_request_t *request,
                 uint64_t now_ms)
{
  choice_t choice = choose_among (set, request, false, now_ms);

  if (choice.kind == CHOICE_NONE)
    choice = choose_among (set, request, true, now_ms);
  if (choice.kind == CHOICE_WAIT && request->model != NULL
      && engine_read_ms (request->model, request->prompt_tokens)
             > request->left_ms)
    choice.kind = CHOICE_HOPELESS;
  choice.retry_ms = MIN_RETRY_MS;
  return choice;
}

double
upstream_choice_silence_ms (const upstream_set_t *set,
                            uint64_t key,
                            const engine_model_t *model,
                            uint64_t now_ms)
{
  const upstream_member_t *member = upstream_set_find (set, key);
  engine_state_t state;

  if (member == NULL)
    return 0;
  state = look_at (model, member, now_ms);
  return (engine_pass_ms (model, state.writers, state.context_tokens)
          + state.unread_ms)
         * member->slowness;
}

bool
upstream_choice_is_served (const upstream_set_t *set, const char *service)
{
  size_t count;
  const upstream_member_t *const *members = upstream_set_members (set, &count);

  for (size_t i = 0; i < count; i++)
    if (members[i]->is_usable && strcmp (members[i]->service, service) == 0)
      return true;
  return false;
}
