#include <glib.h>
#include <math.h>
#include <string.h>
#include <xxhash.h>

#include "engine-choice-internal.h"
#include "engine-load.h"

/** Bounds of the ramp for the loss through a late first event, as shares of the
 * target. */
#define LATE_RAMP_BEGIN 0.7
#define LATE_RAMP_END   1.1
/** An engine is blocked when its passes take this share of shortest_gap_ms. */
#define BLOCKED_GAP_SHARE 0.85
/** Time in which an engine decodes a short answer. */
#define SHORT_ANSWER_S 1.8
/** Value of a short request, see upstream_job_value(). */
#define SHORT_REQUEST_VALUE 18000.0
/** A request waits rather than cause others a loss above WAIT_OTHERS_LOSS of
 * its own value. The predicted time to its first event must then be below
 * WAIT_FIRST_EVENT_SHARE of its target, and below WAIT_ELAPSED_SHARE together
 * with the time already waited. */
#define WAIT_OTHERS_LOSS       0.15
#define WAIT_FIRST_EVENT_SHARE 0.35
#define WAIT_ELAPSED_SHARE     0.6
#define MIN_PART_TOKENS        3000
/** Small preferences, as shares of the value of the request. A long prompt
 * needs engines that decode for nobody, several of them at the same moment. So
 * requests are kept together: an engine costs more the fewer it holds, up to
 * KEPT_TOGETHER_SHARE of its slots. The other slots are for requests that other
 * instances place at the same moment. */
#define EMPTY_ENGINE_COST_SHARE 0.05
#define KEPT_TOGETHER_SHARE     0.5
/** An engine of another zone costs more than any preference within the own one:
 * the placers of two zones, which learn of each other's choices late, choose
 * the same engines only where their own ones would cost more. */
#define OTHER_ZONE_COST_SHARE      0.1
#define OTHER_ZONE_PART_COST_SHARE 0.002
#define SILENT_COST_SHARE          0.3
/** Instances that choose at the same moment do not know of each other's choices
 * yet and must not all choose the same engine. A random cost decides between
 * engines whose costs differ by less than this share. */
#define RANDOM_COST_SHARE 0.001
/** Limit on the requests at one engine, as a share of its slots. */
#define MAX_SLOTS_SHARE 1.0
/** Largest share of the KV memory that is used. The rest stays free for answers
 * that are longer than expected. */
#define MAX_KV_SHARE 0.96
#define MAX_ENGINES  256

/** Returns whether the request fits now; an idle engine takes any size. */
static bool
can_hold_request (const choice_request_t *request,
                  const upstream_member_t *member,
                  const load_estimate_t *load,
                  uint64_t now_ms)
{
  const engine_model_t *model = request->model;
  double slots = member->slots > 0 ? member->slots : model->slots;
  double kv_tokens
      = load->kv_tokens + request->prompt_tokens + request->answer_tokens;

  if (member->full_until_ms > now_ms)
    return false;
  if (load->held == 0)
    return true;
  return load->held + 1 <= slots * MAX_SLOTS_SHARE
         && kv_tokens <= (double)model->kv_tokens * MAX_KV_SHARE;
}

/** Returns a fraction from 0 to 1, different for each engine and choice. */
static double
random_share (const choice_request_t *request, const upstream_member_t *member)
{
  uint64_t hash = XXH64 (&member->key, sizeof member->key, request->random);

  return (double)hash / (double)UINT64_MAX;
}

static bool
is_in_other_zone (const choice_request_t *request,
                  const upstream_member_t *member)
{
  return strcmp (member->zone, request->zone) != 0;
}

/** Returns the cost of an engine that holds few requests, as a share of the
 * value of the request. */
static double
spreading_cost (const choice_request_t *request,
                const upstream_member_t *member,
                const load_estimate_t *load)
{
  double slots = member->slots > 0 ? member->slots : request->model->slots;
  double kept = fmin (load->held / (slots * KEPT_TOGETHER_SHARE), 1);

  if (request->spreads)
    return 0;
  /* Instances that choose alone would all choose the engine that holds most. */
  if (request->is_alone && load->held > 0)
    return 0;
  return EMPTY_ENGINE_COST_SHARE * (1 - kept);
}

/** Returns the cost that breaks ties, as a share of the value of the request.
 */
static double
tie_break_cost (const choice_request_t *request,
                const upstream_member_t *member,
                const load_estimate_t *load)
{
  double cost = RANDOM_COST_SHARE * random_share (request, member)
                + spreading_cost (request, member, load);

  if (is_in_other_zone (request, member))
    cost += OTHER_ZONE_COST_SHARE;
  if (member->is_silent)
    cost += SILENT_COST_SHARE;
  return cost;
}

/**
 * Returns the loss of requests that arrive during the prefill. They must use
 * another engine, which costs more the fewer engines are free.
 */
static double
loss_of_arrivals (const choice_request_t *request,
                  const demand_t *demand,
                  double pause_ms,
                  double read_ms)
{
  if (request->shortest_gap_ms == 0)
    return 0;
  return SHORT_REQUEST_VALUE * demand->arrivals_per_s * read_ms / 1000.0
         * demand->blocked
         * engine_load_pause_loss (pause_ms, request->shortest_gap_ms);
}

/** Sums up the load of all engines. */
static demand_t
measure_demand (const choice_request_t *request,
                const candidate_t *engines,
                uint32_t count)
{
  demand_t demand = { 0 };
  uint32_t held = 0;
  double slots = 0;

  for (uint32_t i = 0; i < count; i++)
    {
      const candidate_t *engine = &engines[i];

      held += engine->load.held;
      slots += engine->member->slots > 0 ? engine->member->slots
                                         : request->model->slots;
      if (engine->pass_ms + engine->load.pass_prefill_ms
          > BLOCKED_GAP_SHARE * request->shortest_gap_ms)
        demand.blocked += 1;
    }
  demand.filled = held / fmax (slots, 1);
  demand.arrivals_per_s = held / SHORT_ANSWER_S / fmax (count, 1);
  demand.blocked = (demand.blocked + 1) / fmax (count, 1);
  return demand;
}

double
engine_choice_value (const choice_request_t *request)
{
  return upstream_job_value (request->prompt_tokens, request->answer_tokens);
}

void
engine_choice_clear_damage (damage_t *damage)
{
  request_losses_clear (&damage->decoding);
  request_losses_clear (&damage->waiting);
  damage->arriving = 0;
}

void
engine_choice_add_damage (const candidate_t *engine,
                          uint64_t now_ms,
                          damage_t *damage)
{
  engine_load_add_decode_losses (engine->member, engine->pause_ms,
                                 &damage->decoding);
  if (engine->part_ms > 0)
    engine_load_add_prefill_losses (engine->member, &engine->load, engine->ends,
                                    engine->part_ms, now_ms, &damage->waiting);
  damage->arriving += engine->arriving_loss;
}

double
engine_choice_total_damage (const damage_t *damage)
{
  return damage->decoding.sum + damage->waiting.sum + damage->arriving;
}

/** Sets the loss of other requests and the end time for one part. */
static void
evaluate_part (const choice_request_t *request,
               const demand_t *demand,
               candidate_t *engine,
               double read_ms,
               double part_pass_ms,
               uint32_t parts,
               uint64_t now_ms)
{
  const load_estimate_t *load = &engine->load;
  double slowness = engine->member->slowness;
  damage_t damage;

  engine->pause_ms
      = (engine->pass_ms + load->pass_prefill_ms + part_pass_ms) * slowness;
  /* A part is prefilled before all whole prompts queued there. */
  engine->part_ms = parts > 1 ? read_ms * slowness : 0;
  engine->arriving_loss
      = loss_of_arrivals (request, demand, engine->pause_ms, read_ms);
  engine_choice_clear_damage (&damage);
  engine_choice_add_damage (engine, now_ms, &damage);
  engine->others_loss = engine_choice_total_damage (&damage);
  engine->ready_ms = load->backlog_ms + read_ms * slowness;
  if (parts > 1)
    /* The pass that prefills a part ends when all that waits is prefilled. */
    engine->ready_ms += load->decoding > 0 ? engine->pass_ms * slowness : 0;
  else if (load->decoding + load->prefilling > 0)
    engine->ready_ms
        += (engine->pass_ms + load->pass_prefill_ms) / 2 * slowness;
}

void
engine_choice_evaluate (const choice_request_t *request,
                        const demand_t *demand,
                        candidate_t *engines,
                        uint32_t count,
                        uint32_t parts,
                        uint64_t now_ms)
{
  double tokens = request->prompt_tokens;
  double read_ms = engine_prefill_ms (request->model, tokens) / parts;
  double part_pass_ms
      = engine_load_part_pass_ms (request->model, tokens, tokens / parts);

  for (uint32_t i = 0; i < count; i++)
    evaluate_part (request, demand, &engines[i], read_ms, part_pass_ms, parts,
                   now_ms);
}

/** Returns the cost of a part: other requests' loss, the time it takes, and the
 * preference for engines of the own zone. */
static double
part_cost (const choice_request_t *request,
           const candidate_t *engine,
           double value)
{
  double cost = engine->others_loss
                + value * 0.1 * engine->ready_ms / fmax (request->left_ms, 1);

  if (is_in_other_zone (request, engine->member))
    cost += OTHER_ZONE_PART_COST_SHARE * value;
  return cost;
}

static gint
compare_rank (gconstpointer a, gconstpointer b, gpointer context)
{
  double one = ((const candidate_t *)a)->rank;
  double other = ((const candidate_t *)b)->rank;

  return (one > other) - (one < other);
}

void
engine_choice_sort_by_rank (candidate_t *engines, uint32_t count)
{
  g_qsort_with_data (engines, (gint)count, sizeof *engines, compare_rank, NULL);
}

void
engine_choice_sort_by_part_cost (const choice_request_t *request,
                                 candidate_t *engines,
                                 uint32_t count,
                                 double value)
{
  for (uint32_t i = 0; i < count; i++)
    engines[i].rank = part_cost (request, &engines[i], value);
  engine_choice_sort_by_rank (engines, count);
}

double
engine_choice_delay_loss (const choice_request_t *request,
                          double first_ms,
                          double value)
{
  double loss = value * ENGINE_LATE_SHARE
                * engine_load_ramp (first_ms + request->waited_ms,
                                    LATE_RAMP_BEGIN * request->target_ms,
                                    LATE_RAMP_END * request->target_ms);

  loss += value * (1 - ENGINE_LATE_SHARE)
          * engine_load_ramp (first_ms, 0.6 * request->left_ms,
                              request->left_ms);
  /* An earlier first event is better even when it is late. */
  return loss + value * 0.1 * first_ms / fmax (request->left_ms, 1);
}

/** Returns the index of the least-loss engine with room to decode, or -1. */
static int
find_least_loss_decoder (const choice_request_t *request,
                         const candidate_t *engines,
                         uint32_t count,
                         double value)
{
  int best = -1;
  double least = 0;

  for (uint32_t i = 0; i < count; i++)
    {
      const candidate_t *engine = &engines[i];
      double cost = engine->others_loss + value * engine->tie_break_cost
                    + engine_choice_delay_loss (
                        request, engine->ready_ms + engine->pass_ms, value);

      if (!engine->can_hold || (best >= 0 && cost >= least))
        continue;
      best = (int)i;
      least = cost;
    }
  return best;
}

/** Evaluates prefill in @a parts parts; updates @a best if the loss is less. */
static void
evaluate_split (const choice_request_t *request,
                const demand_t *demand,
                candidate_t *engines,
                uint32_t count,
                uint32_t parts,
                uint64_t now_ms,
                choice_t *best)
{
  double value = engine_choice_value (request);
  double loss = PART_COST_SHARE * (parts - 1) * value;
  damage_t damage;
  double others_loss;
  double ready_ms = 0;
  int decoder;
  uint32_t taken = 1;

  engine_choice_evaluate (request, demand, engines, count, parts, now_ms);
  if (parts > 1)
    engine_choice_sort_by_part_cost (request, engines, count, value);
  decoder = find_least_loss_decoder (request, engines, count, value);
  if (decoder < 0)
    return;
  engine_choice_clear_damage (&damage);
  engine_choice_add_damage (&engines[decoder], now_ms, &damage);
  ready_ms = engines[decoder].ready_ms;
  for (uint32_t i = 0; i < count && taken < parts; i++)
    if ((int)i != decoder)
      {
        engine_choice_add_damage (&engines[i], now_ms, &damage);
        ready_ms = fmax (ready_ms, engines[i].ready_ms);
        taken++;
      }
  ready_ms += engines[decoder].pass_ms;
  if (is_in_other_zone (request, engines[decoder].member))
    ready_ms += request->zone_cost_ms;
  others_loss = engine_choice_total_damage (&damage);
  loss += others_loss + value * engines[decoder].tie_break_cost
          + engine_choice_delay_loss (request, ready_ms, value);
  if (taken < parts || (best->member != NULL && loss >= best->loss))
    return;
  best->member = engines[decoder].member;
  best->helper_count = 0;
  for (uint32_t i = 0; i < count && best->helper_count + 1 < parts; i++)
    if ((int)i != decoder)
      best->helpers[best->helper_count++] = engines[i].member;
  best->loss = loss;
  best->damage = others_loss;
  best->damage_decoding = damage.decoding.sum;
  best->damage_waiting = damage.waiting.sum;
  best->first_ms = ready_ms;
}

bool
engine_choice_is_oversize (const choice_request_t *request)
{
  return (double)request->prompt_tokens + request->answer_tokens
         > (double)request->model->kv_tokens * MAX_KV_SHARE;
}

/** Returns whether to wait, which costs nothing while the target is far off. */
static bool
should_wait (const choice_request_t *request, const choice_t *best)
{
  double value = engine_choice_value (request);

  return best->damage > WAIT_OTHERS_LOSS * value
         && best->first_ms < WAIT_FIRST_EVENT_SHARE * request->target_ms
         && best->first_ms + request->waited_ms
                < WAIT_ELAPSED_SHARE * request->target_ms;
}

/** Fills in @a engine for @a member. */
static void
init_engine (const choice_request_t *request,
             const upstream_member_t *member,
             uint64_t now_ms,
             candidate_t *engine)
{
  engine->member = member;
  engine->load = engine_load_estimate (request->model, member, now_ms);
  engine->is_accepting = member->full_until_ms <= now_ms;
  engine->can_hold = can_hold_request (request, member, &engine->load, now_ms);
  engine->tie_break_cost = tie_break_cost (request, member, &engine->load);
  engine->pass_ms = engine_pass_decode_ms (
      request->model, engine->load.decoding + 1, engine->load.context_tokens);
}

/** Returns if @a member may read a part; a failed part fails the request. */
static bool
is_usable_as_helper (const upstream_member_t *member, uint64_t now_ms)
{
  return member->trust == UPSTREAM_TRUSTED && !member->is_silent
         && !upstream_limit_holds (&member->limit)
         && !upstream_cold_holds (&member->cold, now_ms);
}

/** Fills in and counts the engines, possible helpers first. */
static uint32_t
find_engines (const upstream_set_t *set,
              const choice_request_t *request,
              bool any_usable,
              uint64_t now_ms,
              candidate_t engines[MAX_ENGINES],
              uint32_t *helper_count)
{
  size_t members_count;
  const upstream_member_t *const *members
      = upstream_set_members (set, &members_count);
  uint32_t count = 0;

  *helper_count = 0;
  for (int phase = 0; phase <= 1; phase++)
    {
      for (size_t i = 0; i < members_count && count < MAX_ENGINES; i++)
        {
          /* Instances start at random members, to spread their choices. */
          const upstream_member_t *member
              = members[(i + request->random) % members_count];

          if (is_usable_as_helper (member, now_ms) == (phase == 0)
              && upstream_choice_is_candidate (request, member, any_usable,
                                               now_ms))
            init_engine (request, member, now_ms, &engines[count++]);
        }
      if (phase == 0)
        *helper_count = count;
    }
  return count;
}

/** Evaluates prefill in one part, and in several as far as helpers allow. */
static void
evaluate_splits (const choice_request_t *request,
                 const demand_t *demand,
                 candidate_t *engines,
                 uint32_t helper_count,
                 uint64_t now_ms,
                 choice_t *best)
{
  static const uint32_t part_counts[] = { 1, 2, 3, 4, 6, 8, 11, 16 };
  bool oversize = engine_choice_is_oversize (request);

  for (size_t i = 0; i < sizeof part_counts / sizeof *part_counts; i++)
    {
      uint32_t part_count = MIN (part_counts[i], helper_count);

      if (i == 0 && !oversize)
        evaluate_split (request, demand, engines, best->usable, 1, now_ms,
                        best);
      if (i == 0)
        continue;
      if (part_count <= part_counts[i - 1]
          || request->prompt_tokens / part_count < MIN_PART_TOKENS)
        break;
      if (oversize)
        engine_oversize_evaluate (request, demand, engines, helper_count,
                                  part_count, now_ms, best);
      else
        evaluate_split (request, demand, engines, helper_count, part_count,
                        now_ms, best);
    }
}

/** Returns why the request has to wait, if it has to. */
static choice_held_by_t
find_hindrance (const choice_request_t *request,
                const demand_t *demand,
                const choice_t *best)
{
  choice_held_by_t held_by = CHOICE_HELD_BY_NONE;

  if (best->member == NULL)
    return CHOICE_HELD_BY_ROOM;
  /* Its caller would have left before the first event. */
  if (best->first_ms > request->left_ms)
    return CHOICE_HELD_BY_TIME;
  if (engine_choice_is_oversize (request))
    held_by = engine_oversize_find_hindrance (request, demand, best);
  if (held_by == CHOICE_HELD_BY_NONE && should_wait (request, best))
    held_by = CHOICE_HELD_BY_COST;
  return held_by;
}

/** Finds when the split prompts end; the caller destroys the table after the
 * engines are no longer used. */
static prefill_ends_t *
collect_prefill_ends (candidate_t *engines, uint32_t count, uint64_t now_ms)
{
  prefill_ends_t *ends = prefill_ends_new ();

  for (uint32_t i = 0; i < count; i++)
    {
      prefill_ends_add (ends, engines[i].member, &engines[i].load, now_ms);
      engines[i].ends = ends;
    }
  return ends;
}

choice_t
engine_choose (const upstream_set_t *set,
               const choice_request_t *request,
               bool any_usable,
               uint64_t now_ms)
{
  choice_t best = { .kind = CHOICE_NONE };
  candidate_t engines[MAX_ENGINES];
  uint32_t helper_count;
  prefill_ends_t *ends;
  demand_t demand;

  best.usable
      = find_engines (set, request, any_usable, now_ms, engines, &helper_count);
  demand = measure_demand (request, engines, best.usable);
  ends = collect_prefill_ends (engines, best.usable, now_ms);
  evaluate_splits (request, &demand, engines, helper_count, now_ms, &best);
  prefill_ends_free (ends);
  best.blocked = demand.blocked;
  best.filled = demand.filled;
  best.arrivals_per_s = demand.arrivals_per_s;
  if (best.usable == 0)
    return best;
  best.held_by = find_hindrance (request, &demand, &best);
  best.kind = best.held_by == CHOICE_HELD_BY_NONE ? CHOICE_SEND : CHOICE_WAIT;
  return best;
}
