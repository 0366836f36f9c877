#include <glib.h>
#include <math.h>

#include "engine-choice-internal.h"
#include "engine-load.h"

/** Limits for oversize prompts: the loss of other requests, as a share of the
 * value of the prompt, which grows between two shares of the time that the
 * prompt has; and the engines that stay free of long prompts. */
#define OVERSIZE_OTHERS_LOSS      0.1
#define OVERSIZE_OTHERS_LOSS_AGED 0.25
#define AGING_BEGIN               0.2
#define AGING_END                 0.7
#define FREE_ENGINE_RATIO         1.6 /* per fully decoding engine */
#define IDLE_ARRIVALS_PER_S       0.3 /* per engine; fewer delay no request */
/** A smaller reservation does not justify the cost of its order. */
#define MIN_RESERVATION_TOKENS    2000.0
#define RESERVATION_ROUND_TRIP_MS 12.0
/** Largest share of the KV memory that is used where memory is reserved. */
#define MAX_RESERVED_KV_SHARE 0.9

/** Returns the free memory, less a margin for requests not known yet. */
static double
free_kv_tokens (const choice_request_t *request, const candidate_t *engine)
{
  double slots = engine->member->slots > 0 ? engine->member->slots
                                           : request->model->slots;

  if (engine->load.held + 1 > slots || !engine->is_accepting)
    return 0;
  return fmax ((double)request->model->kv_tokens * MAX_RESERVED_KV_SHARE
                   - engine->load.kv_tokens,
               0);
}

/** Sorts the engines by free memory, largest first. */
static void
sort_by_memory (const choice_request_t *request,
                candidate_t *engines,
                uint32_t count)
{
  for (uint32_t i = 0; i < count; i++)
    engines[i].rank = -free_kv_tokens (request, &engines[i]);
  engine_choice_sort_by_rank (engines, count);
}

/**
 * Distributes an oversize prompt over the engines with the most memory. The
 * first one decodes; the next ones hold what does not fit there.
 * @return whether @a parts engines have enough memory
 */
static bool
plan_reservations (const choice_request_t *request,
                   candidate_t *engines,
                   uint32_t count,
                   uint32_t parts,
                   choice_t *choice)
{
  double missing = (double)request->prompt_tokens + request->answer_tokens;

  sort_by_memory (request, engines, count);
  missing -= free_kv_tokens (request, &engines[0]);
  for (uint32_t i = 1; i < parts && missing > 0
                       && choice->memory_count < CHOICE_MAX_RESERVATIONS;
       i++)
    {
      double taken = fmin (missing, free_kv_tokens (request, &engines[i]));

      if (taken < MIN_RESERVATION_TOKENS)
        taken = fmin (MIN_RESERVATION_TOKENS,
                      free_kv_tokens (request, &engines[i]));
      choice->memory_tokens[choice->memory_count++] = (uint32_t)ceil (taken);
      missing -= taken;
    }
  return missing <= 0;
}

/** Returns whether a prompt takes its engines for so long that the requests
 * that arrive meanwhile cannot be foreseen. */
static bool
takes_long (const choice_request_t *request, const choice_t *choice)
{
  return choice->first_ms > request->target_ms;
}

/** Returns whether @a choice is better than @a best for an oversize prompt. */
static bool
is_better_oversize (const choice_request_t *request,
                    const choice_t *choice,
                    const choice_t *best)
{
  bool is_long = takes_long (request, choice);

  if (is_long != takes_long (request, best))
    return !is_long;
  return choice->loss < best->loss;
}

void
engine_oversize_evaluate (const choice_request_t *request,
                          const demand_t *demand,
                          candidate_t *engines,
                          uint32_t count,
                          uint32_t parts,
                          uint64_t now_ms,
                          choice_t *best)
{
  choice_t choice = { .kind = CHOICE_SEND, .usable = best->usable };
  damage_t damage;
  double value = engine_choice_value (request);
  uint32_t holders;

  if (!plan_reservations (request, engines, count, parts, &choice))
    return;
  engine_choice_evaluate (request, demand, engines, count, parts, now_ms);
  holders = 1 + choice.memory_count;
  engine_choice_sort_by_part_cost (request, engines + holders, count - holders,
                                   value);
  engine_choice_clear_damage (&damage);
  for (uint32_t i = 0; i < parts; i++)
    {
      engine_choice_add_damage (&engines[i], now_ms, &damage);
      choice.first_ms = fmax (choice.first_ms, engines[i].ready_ms);
      if (i > 0)
        choice.helpers[choice.helper_count++] = engines[i].member;
    }
  choice.first_ms += engines[0].pass_ms + RESERVATION_ROUND_TRIP_MS;
  choice.damage = engine_choice_total_damage (&damage);
  choice.damage_decoding = damage.decoding.sum;
  choice.damage_waiting = damage.waiting.sum;
  choice.loss = choice.damage + PART_COST_SHARE * (parts - 1) * value
                + engine_choice_delay_loss (request, choice.first_ms, value);
  choice.member = engines[0].member;
  if (best->member == NULL || is_better_oversize (request, &choice, best))
    *best = choice;
}

/** Returns the share of its value that an oversize prompt may cost others now.
 * It grows with the time waited: what fits sooner keeps arriving, and would
 * starve a prompt that needs many engines at the same moment. */
static double
most_others_loss (const choice_request_t *request)
{
  double time_ms = (double)request->waited_ms + request->left_ms;
  double waited = request->waited_ms / fmax (time_ms, 1);

  return OVERSIZE_OTHERS_LOSS
         + (OVERSIZE_OTHERS_LOSS_AGED - OVERSIZE_OTHERS_LOSS)
               * engine_load_ramp (waited, AGING_BEGIN, AGING_END);
}

choice_held_by_t
engine_oversize_find_hindrance (const choice_request_t *request,
                                const demand_t *demand,
                                const choice_t *best)
{
  double value = engine_choice_value (request);
  double taken = (best->helper_count + 1.0) / fmax (best->usable, 1);

  if (best->damage > most_others_loss (request) * value)
    return CHOICE_HELD_BY_COST;
  if (demand->arrivals_per_s <= IDLE_ARRIVALS_PER_S)
    return CHOICE_HELD_BY_NONE;
  if (takes_long (request, best))
    return CHOICE_HELD_BY_TIME;
  if (demand->blocked + taken > 1 - FREE_ENGINE_RATIO * demand->filled)
    return CHOICE_HELD_BY_ENGINES;
  return CHOICE_HELD_BY_NONE;
}
