#include "upstream-choice.h"

#include <math.h>
#include <string.h>

#include "engine-load.h"
#include "upstream-choice-internal.h"

/**
 * A good answer within this time shows that an upstream without announcements
 * is still alive.
 */
#define RECENT_ANSWER_MS 5000
/** Expected time of a plain call while no time is known for the service. */
#define DEFAULT_CALL_MS 50.0
/**
 * Limit on the requests sent to a plain upstream, for each slot, whatever its
 * answers show; further requests wait in this instance.
 */
#define MAX_JOBS_PER_SLOT 2.0
/** Time in which a slot is free until the next request reaches it, without the
 * way to another zone: an answer's way back and a request's way there. */
#define REFILL_MS 5.0
/** Calls over this multiple of the best time wait at their upstream, which then
 * gets fewer. One that has become slower keeps MIN_GRADIENT of its requests. */
#define GRADIENT_TOLERANCE 2.0
#define MIN_GRADIENT       0.5
#define SILENT_CALL_FACTOR 4.0
#define RETRY_MS           250
#define MAX_RETRY_MS       60000
/**
 * Retry time of oversize prompts: engines finish their queued work within this
 * time once fewer long prompts arrive.
 */
#define OVERSIZE_RETRY_MS 3000

static bool
is_avoided (const choice_request_t *request, uint64_t key)
{
  for (size_t i = 0; i < request->avoid_count; i++)
    if (request->avoid[i] == key)
      return true;
  return false;
}

/** Returns whether requests to an upstream with a limit are granted here: its
 * own zone does so for all instances, so that the sum over all zones holds. */
static bool
grants_limit (const choice_request_t *request, const upstream_member_t *member)
{
  return !request->is_alone && strcmp (member->zone, request->zone) == 0;
}

static bool
is_within_limit (const choice_request_t *request,
                 const upstream_member_t *member,
                 uint64_t now_ms)
{
  return !upstream_limit_holds (&member->limit)
         || (grants_limit (request, member)
             && upstream_limit_wait_ms (&member->limit, now_ms) == 0);
}

static upstream_cold_share_t
find_cold_share (const choice_request_t *request,
                 const upstream_member_t *member)
{
  upstream_cold_share_t share = { .rank = UINT32_MAX };

  if (request->find_cold_share != NULL)
    share = request->find_cold_share (member, request->cold_context);
  if (request->is_alone)
    share.is_counting = false;
  return share;
}

/** Returns the time until the upstream may get a request as far as the bound on
 * cold ones matters; 0: now. */
static uint32_t
cold_wait_ms (const choice_request_t *request,
              const upstream_member_t *member,
              uint64_t now_ms)
{
  upstream_cold_share_t share;

  if (!upstream_cold_holds (&member->cold, now_ms))
    return 0;
  share = find_cold_share (request, member);
  return upstream_cold_wait_ms (&member->cold, &share, now_ms);
}

static bool
is_within_pace (const choice_request_t *request,
                const upstream_member_t *member)
{
  return request->ignores_pace
         || upstream_pace_allows (&member->pace, member->jobs->len);
}

bool
upstream_choice_is_candidate (const choice_request_t *request,
                              const upstream_member_t *member,
                              bool any_usable,
                              uint64_t now_ms)
{
  if (!upstream_member_is_available (member, now_ms)
      || strcmp (member->service, request->service) != 0
      || !is_within_limit (request, member, now_ms)
      || cold_wait_ms (request, member, now_ms) > 0
      || !is_within_pace (request, member) || is_avoided (request, member->key))
    return false;
  if (any_usable)
    return true;
  /* Without recent announcements or answers, the upstream may be gone. */
  if (member->is_silent && member->heard_ms + RECENT_ANSWER_MS < now_ms)
    return false;
  return member->trust == UPSTREAM_TRUSTED
         || (member->trust == UPSTREAM_ON_TRIAL && member->jobs->len == 0);
}

/**
 * Returns the number of requests that a plain upstream gets at a time: one for
 * each slot, more as far as slots would be idle until the next request reaches
 * them, and fewer while its answers take longer than its best ones.
 */
static double
plain_limit (const choice_request_t *request,
             const upstream_member_t *member,
             double default_ms)
{
  double slots = fmax (member->slots, 1);
  double best_ms = member->best_ms > 0 ? member->best_ms : default_ms;
  double refill_ms = REFILL_MS;
  double gradient = 1;

  if (strcmp (member->zone, request->zone) != 0)
    refill_ms += request->zone_cost_ms;
  if (member->answer_ms > 0)
    gradient = CLAMP (GRADIENT_TOLERANCE * best_ms / member->answer_ms,
                      MIN_GRADIENT, 1);
  return CLAMP (slots * (1 + refill_ms / fmax (best_ms, 1)) * gradient, 1,
                slots * MAX_JOBS_PER_SLOT);
}

/**
 * Replaces @a best with @a member when a plain call is expected to take less
 * time there.
 */
static void
evaluate_plain (const choice_request_t *request,
                const upstream_member_t *member,
                double default_ms,
                uint64_t now_ms,
                choice_t *best)
{
  double call_ms = member->answer_ms > 0 ? member->answer_ms : default_ms;
  double slots = fmax (member->slots, 1);
  double waiting = fmax (member->jobs->len + 1 - slots, 0);
  double total_ms = call_ms * (1 + waiting / slots)
                    + call_ms * 0.2 * member->jobs->len / slots;

  if (member->full_until_ms > now_ms
      || member->jobs->len + 1
             > round (plain_limit (request, member, default_ms)))
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

/**
 * Returns the mean time in ms of a plain call over the service. It stands in
 * for upstreams without a time of their own, so that a slow upstream stands
 * out.
 */
static double
mean_call_ms (const upstream_set_t *set, const char *service)
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

/** Returns the calls that an upstream ends in a ms while it is busy. */
static double
plain_rate (const choice_request_t *request,
            const upstream_member_t *member,
            double default_ms)
{
  double call_ms = member->answer_ms > 0 ? member->answer_ms : default_ms;

  return plain_limit (request, member, default_ms) / fmax (call_ms, 1);
}

/** Decides on a plain call that finds no room: it waits unless the calls before
 * it take all the time that it has. */
static void
wait_for_room (const choice_request_t *request, double rate, choice_t *choice)
{
  choice->kind = CHOICE_WAIT;
  choice->call_ms = 1 / rate;
  choice->first_ms = (request->queued_calls + 1) * choice->call_ms;
  if (choice->first_ms > request->left_ms)
    choice->kind = CHOICE_UNMEETABLE;
}

/** Sends a plain call to the chosen upstream, unless that is known to take more
 * time than is left. An idle one may take its best time. */
static void
send_in_time (const choice_request_t *request, choice_t *choice)
{
  const upstream_member_t *member = choice->member;
  double call_ms = member->jobs->len > 0 ? choice->first_ms : member->best_ms;

  choice->kind = CHOICE_SEND;
  if (member->best_ms == 0 || call_ms + REFILL_MS <= request->left_ms)
    return;
  choice->kind = CHOICE_UNMEETABLE;
  choice->member = NULL;
}

static choice_t
choose_plain (const upstream_set_t *set,
              const choice_request_t *request,
              bool any_usable,
              uint64_t now_ms)
{
  choice_t best = { .kind = CHOICE_NONE };
  double rate = 0;
  double default_ms
      = request->model == NULL ? mean_call_ms (set, request->service) : 0;
  size_t count;
  const upstream_member_t *const *members = upstream_set_members (set, &count);

  for (size_t i = 0; i < count; i++)
    {
      /* Starts at a random member, so that instances do not all choose the same
       * one first. */
      const upstream_member_t *member = members[(i + request->random) % count];

      if (!upstream_choice_is_candidate (request, member, any_usable, now_ms))
        continue;
      best.usable++;
      rate += plain_rate (request, member, default_ms);
      evaluate_plain (request, member, default_ms, now_ms, &best);
    }
  if (best.member != NULL)
    send_in_time (request, &best);
  else if (best.usable > 0)
    wait_for_room (request, rate, &best);
  return best;
}

static choice_t
choose_among (const upstream_set_t *set,
              const choice_request_t *request,
              bool any_usable,
              uint64_t now_ms)
{
  return request->model != NULL
             ? engine_choose (set, request, any_usable, now_ms)
             : choose_plain (set, request, any_usable, now_ms);
}

/** When upstreams that take no requests now take some again. */
typedef struct
{
  uint64_t first_ms; /* 0: none will */
  bool has_pause;    /* of one that then takes any number */
  double rate_s;     /* of those that take a limited number */
} return_t;

/** Adds a cold upstream that gets no request for @a wait_ms. */
static void
add_cold_return (const choice_request_t *request,
                 const upstream_member_t *member,
                 uint32_t wait_ms,
                 uint64_t now_ms,
                 return_t *returns)
{
  if (now_ms + wait_ms >= member->cold.until_ms)
    returns->has_pause = true;
  else if (find_cold_share (request, member).is_counting)
    returns->rate_s += upstream_cold_counted_s (&member->cold.rate);
  else
    returns->rate_s += 1;
}

/** Adds an upstream that takes no requests now. */
static void
add_return (const choice_request_t *request,
            const upstream_member_t *member,
            uint64_t now_ms,
            return_t *returns)
{
  uint64_t at_ms = MAX (member->paused_until_ms, now_ms);
  uint32_t cold_ms = cold_wait_ms (request, member, now_ms);

  if (!member->is_usable || member->is_leaving || member->is_drained
      || strcmp (member->service, request->service) != 0)
    return;
  if (upstream_limit_holds (&member->limit))
    {
      if (!grants_limit (request, member) || is_avoided (request, member->key))
        return;
      at_ms += upstream_limit_wait_ms (&member->limit, now_ms);
      returns->rate_s += member->limit.rate_s;
    }
  else if (member->paused_until_ms > now_ms)
    returns->has_pause = true;
  else if (cold_ms > 0 && !is_avoided (request, member->key))
    add_cold_return (request, member, cold_ms, now_ms, returns);
  else
    return;
  at_ms = MAX (at_ms, now_ms + cold_ms);
  if (returns->first_ms == 0 || at_ms < returns->first_ms)
    returns->first_ms = at_ms;
}

/** Decides on a request that only upstreams in a pause, or at their limit, can
 * take: it waits if one of them takes it in its time. */
static void
consider_returns (const upstream_set_t *set,
                  const choice_request_t *request,
                  uint64_t now_ms,
                  choice_t *choice)
{
  return_t returns = { 0 };
  size_t count;
  const upstream_member_t *const *members = upstream_set_members (set, &count);
  uint64_t wait_ms;

  if (choice->kind != CHOICE_NONE)
    return;
  for (size_t i = 0; i < count; i++)
    add_return (request, members[i], now_ms, &returns);
  if (returns.first_ms == 0)
    return;
  wait_ms = returns.first_ms - now_ms;
  if (!returns.has_pause)
    wait_ms += (uint64_t)(request->queued / returns.rate_s * 1000);
  if (wait_ms < request->left_ms)
    choice->kind = CHOICE_WAIT;
  else
    choice->retry_ms = (uint32_t)MIN (wait_ms, MAX_RETRY_MS);
}

/** Returns the time to prefill the prompt if as many engines as possible read
 * parts of it and do nothing else. */
static double
shortest_prefill_ms (const choice_request_t *request, uint32_t usable)
{
  uint32_t parts = CLAMP (usable, 1, 1 + CHOICE_MAX_HELPERS);

  return engine_prefill_ms (request->model, request->prompt_tokens) / parts;
}

/** Returns whether at least half of a service's upstreams have just started or
 * returned. None of them is then better than the others, and limits would only
 * refuse requests. */
static bool
is_mostly_paced (const upstream_set_t *set,
                 const choice_request_t *request,
                 uint64_t now_ms)
{
  size_t count;
  const upstream_member_t *const *members = upstream_set_members (set, &count);
  uint32_t paced = 0;
  uint32_t usable = 0;

  for (size_t i = 0; i < count; i++)
    {
      if (!upstream_member_is_available (members[i], now_ms)
          || members[i]->trust == UPSTREAM_EJECTED
          || strcmp (members[i]->service, request->service) != 0)
        continue;
      usable++;
      paced += members[i]->pace.reason != PACE_NONE;
    }
  return paced > 0 && 2 * paced >= usable;
}

/** Chooses within the limits on open requests, and without them if that fails
 * and most upstreams have one. */
static choice_t
choose_by_pace (const upstream_set_t *set,
                const choice_request_t *request,
                uint64_t now_ms)
{
  choice_t choice = choose_among (set, request, false, now_ms);
  choice_request_t unlimited = *request;

  if (choice.kind == CHOICE_SEND || !is_mostly_paced (set, request, now_ms))
    return choice;
  unlimited.ignores_pace = true;
  return choose_among (set, &unlimited, false, now_ms);
}

/** Chooses among all upstreams, as no trusted one is left. */
static choice_t
choose_any (const upstream_set_t *set,
            const choice_request_t *request,
            uint64_t now_ms)
{
  choice_request_t unlimited = *request;

  unlimited.ignores_pace = true;
  return choose_among (set, &unlimited, true, now_ms);
}

choice_t
upstream_choose (const upstream_set_t *set,
                 const choice_request_t *request,
                 uint64_t now_ms)
{
  choice_t choice = choose_by_pace (set, request, now_ms);

  if (choice.kind == CHOICE_NONE)
    choice = choose_any (set, request, now_ms);
  if (choice.kind == CHOICE_WAIT && request->model != NULL
      && shortest_prefill_ms (request, choice.usable) > request->left_ms)
    choice.kind = CHOICE_UNMEETABLE;
  choice.retry_ms
      = request->model != NULL && engine_choice_is_oversize (request)
            ? OVERSIZE_RETRY_MS
            : RETRY_MS;
  consider_returns (set, request, now_ms, &choice);
  return choice;
}

const char *
choice_held_by_name (choice_held_by_t held_by)
{
  static const char *const names[] = {
    [CHOICE_HELD_BY_NONE] = "none",       [CHOICE_HELD_BY_ROOM] = "room",
    [CHOICE_HELD_BY_COST] = "cost",       [CHOICE_HELD_BY_TIME] = "time",
    [CHOICE_HELD_BY_ENGINES] = "engines",
  };

  return names[held_by];
}

double
upstream_choice_max_gap_ms (const upstream_set_t *set,
                            uint64_t key,
                            const engine_model_t *model,
                            uint64_t now_ms)
{
  const upstream_member_t *member = upstream_set_find (set, key);
  load_estimate_t load;

  if (member == NULL)
    return 0;
  load = engine_load_estimate (model, member, now_ms);
  return (engine_pass_decode_ms (model, load.decoding, load.context_tokens)
          + load.backlog_ms)
         * member->slowness;
}
