#include <glib.h>
#include <math.h>
#include <string.h>
#include <xxhash.h>

#include "engine-load.h"
#include "upstream-choice-internal.h"

/** Where being late begins and is sure, as shares of the target. */
#define LATE_FROM 0.7
#define LATE_SURE 1.1
/** An engine is blocked whose passes take this share of the shortest gap. */
#define BLOCKED_SHARE 0.85
/** Time an engine writes a short answer. */
#define ANSWER_S 1.8
/** Worth of a short request, see upstream_job_value(). */
#define NEXT_VALUE 18000.0
/** A request whose target leaves much room waits rather than cost others this
 * share of its own worth, until it has used that share of its target. */
#define WAIT_DAMAGE 0.15
#define WAIT_UNTIL  0.6
#define WAIT_SLACK  0.35
/** For oversize prompts: what others may lose, as a share of its worth, the
 * engines that must not read long prompts then, and how long it waits for that,
 * as a share of its target. */
#define HEAVY_DAMAGE    0.25
#define HEAVY_HEADROOM  1.6 /* engines left free, to those that writers fill */
#define IDLE_ARRIVALS_S 0.3 /* at each engine: there is nobody to make late */
#define HEAVY_WAIT      0.4
/** Each engine that helps to read may fail, and is kept from others. */
#define PART_COST       0.001
#define MIN_PART_TOKENS 3000
/** Tickets for less are not worth their order. */
#define MIN_TICKET_TOKENS    2000.0
#define TICKET_ROUND_TRIP_MS 12.0
/** Small preferences, as shares of the request's own worth. An engine on which
 * nobody waits for events can read a long prompt at once, so short requests
 * keep together; a few more of them at an engine hardly make its passes longer.
 */
#define EMPTY_COST      0.05
#define OTHER_ZONE_COST 0.01
#define SILENT_COST     0.3
/** Instances that choose at the same moment, before they hear of one another,
 * must not all choose the same engine: chance decides between those that differ
 * by less. */
#define CHANCE_COST 0.001
/** Requests that one engine holds, as a share of its slots. */
#define SLOTS_SHARE 1.0
/** Memory left free, for answers that grow longer than expected. */
#define KV_SHARE 0.96
/** The same where memory is reserved. */
#define TICKET_SHARE 0.9

/** One engine as a place for a request, or for a part of its prompt. */
typedef struct
{
  const upstream_member_t *member;
  engine_load_t state;
  bool has_slot;   /* it was not full just now */
  bool has_room;   /* for the whole request */
  double write_ms; /* of a pass without reading */
  double preference;
  /* For the number of parts being weighed. */
  double damage;
  double ready_ms; /* when its part is read */
  double rank;     /* it is sorted by */
} place_t;

#define MAX_PLACES 64

static bool
has_room (const choice_request_t *request,
          const upstream_member_t *member,
          const engine_load_t *state,
          uint64_t now_ms)
{
  const engine_model_t *model = request->model;
  double slots = member->slots > 0 ? member->slots : model->slots;
  double kv_tokens
      = state->kv_tokens + request->prompt_tokens + request->answer_tokens;

  if (member->full_until_ms > now_ms)
    return false;
  if (state->held == 0)
    return true;
  return state->held + 1 <= slots * SLOTS_SHARE
         && kv_tokens <= (double)model->kv_tokens * KV_SHARE;
}

/** From 0 to 1, another for each engine and each time that one is chosen. */
static double
chance (const choice_request_t *request, const upstream_member_t *member)
{
  uint64_t hash = XXH64 (&member->key, sizeof member->key, request->random);

  return (double)hash / (double)UINT64_MAX;
}

/** Small preferences that decide between engines of equal loss. */
static double
preference (const choice_request_t *request,
            const upstream_member_t *member,
            const engine_load_t *state)
{
  double cost = CHANCE_COST * chance (request, member);

  if (state->held == 0)
    cost += EMPTY_COST;
  if (strcmp (member->zone, request->zone) != 0)
    cost += OTHER_ZONE_COST;
  if (member->is_silent)
    cost += SILENT_COST;
  return cost;
}

/** What the engines of a service have to do, taken together. */
typedef struct
{
  double arrivals_s; /* requests an engine gets in a second, on average */
  double blocked;    /* share of engines that make those they write to late */
  double filled;     /* share of all slots that is taken */
} press_t;

/**
 * What requests would lose that come while the engine reads: they have to go
 * elsewhere, which costs them more the fewer other engines are free.
 */
static double
loss_of_next (const choice_request_t *request,
              const press_t *press,
              double pause_ms,
              double read_ms)
{
  if (request->shortest_gap_ms == 0)
    return 0;
  return NEXT_VALUE * press->arrivals_s * read_ms / 1000.0 * press->blocked
         * engine_load_pause_loss (pause_ms, request->shortest_gap_ms);
}

static press_t
press_of (const choice_request_t *request,
          const place_t *places,
          uint32_t count)
{
  press_t press = { 0 };
  uint32_t held = 0;
  double slots = 0;

  for (uint32_t i = 0; i < count; i++)
    {
      const place_t *place = &places[i];

      held += place->state.held;
      slots += place->member->slots > 0 ? place->member->slots
                                        : request->model->slots;
      if (place->write_ms + place->state.pass_read_ms
          > BLOCKED_SHARE * request->shortest_gap_ms)
        press.blocked += 1;
    }
  press.filled = held / fmax (slots, 1);
  press.arrivals_s = held / ANSWER_S / fmax (count, 1);
  press.blocked = (press.blocked + 1) / fmax (count, 1);
  return press;
}

static double
value_of (const choice_request_t *request)
{
  return upstream_job_value (request->prompt_tokens, request->answer_tokens);
}

/** What a part of the prompt, read in @a read_ms, does at that engine. */
static void
weigh_part (const choice_request_t *request,
            const press_t *press,
            place_t *place,
            double read_ms,
            double pass_read_ms,
            uint32_t parts,
            uint64_t now_ms)
{
  const engine_load_t *state = &place->state;
  double slowness = place->member->slowness;
  double pause_ms
      = (place->write_ms + state->pass_read_ms + pass_read_ms) * slowness;

  place->damage = engine_load_loss_of_writers (place->member, pause_ms)
                  + loss_of_next (request, press, pause_ms, read_ms);
  if (parts > 1)
    place->damage += engine_load_loss_of_readers (place->member, state,
                                                  read_ms * slowness, now_ms);
  /* A part goes ahead of all that waits there. */
  place->ready_ms = (parts > 1 ? 0 : state->unread_ms) + read_ms * slowness;
  if (state->writers + state->readers > 0)
    place->ready_ms += (place->write_ms + state->pass_read_ms) / 2 * slowness;
}

/** What parts of that number do at each engine. */
static void
weigh_places (const choice_request_t *request,
              const press_t *press,
              place_t *places,
              uint32_t count,
              uint32_t parts,
              uint64_t now_ms)
{
  double tokens = request->prompt_tokens;
  double read_ms = engine_read_ms (request->model, tokens) / parts;
  double pass_read_ms
      = engine_load_part_pass_ms (request->model, tokens, tokens / parts);

  for (uint32_t i = 0; i < count; i++)
    weigh_part (request, press, &places[i], read_ms, pass_read_ms, parts,
                now_ms);
}

static double
part_cost (const choice_request_t *request, const place_t *place, double value)
{
  return place->damage
         + value * 0.1 * place->ready_ms / fmax (request->left_ms, 1);
}

static gint
compare_ranks (gconstpointer a, gconstpointer b, gpointer context)
{
  double one = ((const place_t *)a)->rank;
  double other = ((const place_t *)b)->rank;

  return (one > other) - (one < other);
}

/** Puts places of low rank first; of equal ones, those that came first. */
static void
sort_by_rank (place_t *places, uint32_t count)
{
  g_qsort_with_data (places, (gint)count, sizeof *places, compare_ranks, NULL);
}

/** Puts the engines that suit a part best first. */
static void
sort_places (const choice_request_t *request,
             place_t *places,
             uint32_t count,
             double value)
{
  for (uint32_t i = 0; i < count; i++)
    places[i].rank = part_cost (request, &places[i], value);
  sort_by_rank (places, count);
}

static double
own_loss (const choice_request_t *request, double first_ms, double value)
{
  double loss = value * ENGINE_LATE_SHARE
                * engine_load_ramp (first_ms + request->waited_ms,
                                    LATE_FROM * request->target_ms,
                                    LATE_SURE * request->target_ms);

  loss += value * (1 - ENGINE_LATE_SHARE)
          * engine_load_ramp (first_ms, 0.6 * request->left_ms,
                              request->left_ms);
  /* Also when it is late anyway, sooner is better. */
  return loss + value * 0.1 * first_ms / fmax (request->left_ms, 1);
}

/** The engine that writes: the best of those with room. */
static int
find_writer (const choice_request_t *request,
             const place_t *places,
             uint32_t count,
             double value)
{
  int best = -1;
  double least = 0;

  for (uint32_t i = 0; i < count; i++)
    {
      const place_t *place = &places[i];
      double cost
          = place->damage + value * place->preference
            + own_loss (request, place->ready_ms + place->write_ms, value);

      if (!place->has_room || (best >= 0 && cost >= least))
        continue;
      best = (int)i;
      least = cost;
    }
  return best;
}

/** Weighs reading the prompt in @a parts parts. */
static void
weigh_parts (const choice_request_t *request,
             const press_t *press,
             place_t *places,
             uint32_t count,
             uint32_t parts,
             uint64_t now_ms,
             choice_t *best)
{
  double value = value_of (request);
  double loss = PART_COST * (parts - 1) * value;
  double damage = 0;
  double ready_ms = 0;
  int writer;
  uint32_t taken = 1;

  weigh_places (request, press, places, count, parts, now_ms);
  if (parts > 1)
    sort_places (request, places, count, value);
  writer = find_writer (request, places, count, value);
  if (writer < 0)
    return;
  damage = places[writer].damage;
  ready_ms = places[writer].ready_ms;
  for (uint32_t i = 0; i < count && taken < parts; i++)
    if ((int)i != writer)
      {
        damage += places[i].damage;
        ready_ms = fmax (ready_ms, places[i].ready_ms);
        taken++;
      }
  ready_ms += places[writer].write_ms;
  if (strcmp (places[writer].member->zone, request->zone) != 0)
    ready_ms += request->zone_cost_ms;
  loss += damage + value * places[writer].preference
          + own_loss (request, ready_ms, value);
  if (taken < parts || (best->member != NULL && loss >= best->loss))
    return;
  best->member = places[writer].member;
  best->helper_count = 0;
  for (uint32_t i = 0; i < count && best->helper_count + 1 < parts; i++)
    if ((int)i != writer)
      best->helpers[best->helper_count++] = places[i].member;
  best->loss = loss;
  best->damage = damage;
  best->first_ms = ready_ms;
}

bool
engine_choice_is_oversize (const choice_request_t *request)
{
  return (double)request->prompt_tokens + request->answer_tokens
         > (double)request->model->kv_tokens * KV_SHARE;
}

/** Memory that is free there, with some left for what is not known of. */
static double
free_tokens (const choice_request_t *request, const place_t *place)
{
  double slots
      = place->member->slots > 0 ? place->member->slots : request->model->slots;

  if (place->state.held + 1 > slots || !place->has_slot)
    return 0;
  return fmax ((double)request->model->kv_tokens * TICKET_SHARE
                   - place->state.kv_tokens,
               0);
}

/** Puts the engines with the most free memory first. */
static void
sort_by_memory (const choice_request_t *request,
                place_t *places,
                uint32_t count)
{
  for (uint32_t i = 0; i < count; i++)
    places[i].rank = -free_tokens (request, &places[i]);
  sort_by_rank (places, count);
}

/**
 * Lays an oversize prompt over the engines with the most memory: the first
 * writes, and the next ones keep what it cannot hold.
 * @return whether there is memory enough in @a parts engines
 */
static bool
lay_memory (const choice_request_t *request,
            place_t *places,
            uint32_t count,
            uint32_t parts,
            choice_t *choice)
{
  double missing = (double)request->prompt_tokens + request->answer_tokens;

  sort_by_memory (request, places, count);
  missing -= free_tokens (request, &places[0]);
  for (uint32_t i = 1;
       i < parts && missing > 0 && choice->memory_count < CHOICE_MAX_TICKETS;
       i++)
    {
      double taken = fmin (missing, free_tokens (request, &places[i]));

      if (taken < MIN_TICKET_TOKENS)
        taken = fmin (MIN_TICKET_TOKENS, free_tokens (request, &places[i]));
      choice->memory_tokens[choice->memory_count++] = (uint32_t)ceil (taken);
      missing -= taken;
    }
  return missing <= 0;
}

/** Weighs an oversize prompt in @a parts parts. */
static void
weigh_oversize (const choice_request_t *request,
                const press_t *press,
                place_t *places,
                uint32_t count,
                uint32_t parts,
                uint64_t now_ms,
                choice_t *best)
{
  choice_t choice = { .kind = CHOICE_SEND, .usable = best->usable };
  double value = value_of (request);
  uint32_t keepers;

  if (!lay_memory (request, places, count, parts, &choice))
    return;
  weigh_places (request, press, places, count, parts, now_ms);
  keepers = 1 + choice.memory_count;
  sort_places (request, places + keepers, count - keepers, value);
  for (uint32_t i = 0; i < parts; i++)
    {
      choice.damage += places[i].damage;
      choice.first_ms = fmax (choice.first_ms, places[i].ready_ms);
      if (i > 0)
        choice.helpers[choice.helper_count++] = places[i].member;
    }
  choice.first_ms += places[0].write_ms + TICKET_ROUND_TRIP_MS;
  choice.loss = choice.damage + PART_COST * (parts - 1) * value
                + own_loss (request, choice.first_ms, value);
  choice.member = places[0].member;
  if (best->member == NULL || choice.loss < best->loss)
    *best = choice;
}

/**
 * An oversize prompt takes as much reading as a hundred short ones: only where
 * that makes nobody late and leaves most engines to others.
 */
static bool
is_too_heavy (const choice_request_t *request,
              const press_t *press,
              const choice_t *best)
{
  double value = value_of (request);
  double taken = (best->helper_count + 1.0) / fmax (best->usable, 1);

  return best->damage > HEAVY_DAMAGE * value
         || (press->arrivals_s > IDLE_ARRIVALS_S
             && press->blocked + taken > 1 - HEAVY_HEADROOM * press->filled);
}

/** Waiting a little costs nothing while the target is far off. */
static bool
should_wait (const choice_request_t *request, const choice_t *best)
{
  double value = value_of (request);

  return best->damage > WAIT_DAMAGE * value
         && best->first_ms < WAIT_SLACK * request->target_ms
         && best->first_ms + request->waited_ms
                < WAIT_UNTIL * request->target_ms;
}

/** Describes the engine in the next place. */
static void
add_place (const choice_request_t *request,
           const upstream_member_t *member,
           uint64_t now_ms,
           place_t *place)
{
  place->member = member;
  place->state = engine_load_of (request->model, member, now_ms);
  place->has_slot = member->full_until_ms <= now_ms;
  place->has_room = has_room (request, member, &place->state, now_ms);
  place->preference = preference (request, member, &place->state);
  place->write_ms = engine_pass_ms (request->model, place->state.writers + 1,
                                    place->state.context_tokens);
}

/** One that fails to read its part fails the whole request. */
static bool
may_help (const upstream_member_t *member)
{
  return member->trust == UPSTREAM_TRUSTED && !member->is_silent;
}

/** Fills in the places, those that may help first. */
static uint32_t
find_places (const upstream_set_t *set,
             const choice_request_t *request,
             bool desperate,
             uint64_t now_ms,
             place_t places[MAX_PLACES],
             uint32_t *helpers)
{
  size_t members_count;
  const upstream_member_t *const *members
      = upstream_set_members (set, &members_count);
  uint32_t count = 0;

  *helpers = 0;
  for (int others = 0; others <= 1; others++)
    {
      for (size_t i = 0; i < members_count && count < MAX_PLACES; i++)
        {
          /* Begins anywhere, so that instances do not all prefer the same. */
          const upstream_member_t *member
              = members[(i + request->random) % members_count];

          if (may_help (member) == (others == 0)
              && upstream_choice_is_candidate (request, member, desperate,
                                               now_ms))
            add_place (request, member, now_ms, &places[count++]);
        }
      if (others == 0)
        *helpers = count;
    }
  return count;
}

/** Weighs reading in one part, and in as many as there are helpers for. */
static void
weigh_all (const choice_request_t *request,
           const press_t *press,
           place_t *places,
           uint32_t helpers,
           uint64_t now_ms,
           choice_t *best)
{
  static const uint32_t parts[] = { 1, 2, 3, 4, 6, 8, 11, 16 };
  bool oversize = engine_choice_is_oversize (request);

  for (size_t i = 0; i < sizeof parts / sizeof *parts; i++)
    {
      uint32_t number = MIN (parts[i], helpers);

      if (i == 0 && !oversize)
        weigh_parts (request, press, places, best->usable, 1, now_ms, best);
      if (i == 0)
        continue;
      if (number <= parts[i - 1]
          || request->prompt_tokens / number < MIN_PART_TOKENS)
        break;
      if (oversize)
        weigh_oversize (request, press, places, helpers, number, now_ms, best);
      else
        weigh_parts (request, press, places, helpers, number, now_ms, best);
    }
}

choice_t
engine_choose (const upstream_set_t *set,
               const choice_request_t *request,
               bool desperate,
               uint64_t now_ms)
{
  choice_t best = { .kind = CHOICE_NONE };
  place_t places[MAX_PLACES];
  uint32_t helpers;
  press_t press;

  best.usable = find_places (set, request, desperate, now_ms, places, &helpers);
  press = press_of (request, places, best.usable);
  weigh_all (request, &press, places, helpers, now_ms, &best);
  best.blocked = press.blocked;
  best.filled = press.filled;
  if (best.member != NULL && engine_choice_is_oversize (request)
      && is_too_heavy (request, &press, &best))
    best.kind = request->waited_ms < HEAVY_WAIT * request->target_ms
                    ? CHOICE_WAIT
                    : CHOICE_HOPELESS;
  else if (best.member != NULL)
    best.kind = should_wait (request, &best) ? CHOICE_WAIT : CHOICE_SEND;
  else if (best.usable > 0)
    best.kind = CHOICE_WAIT;
  return best;
}
