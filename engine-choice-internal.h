/**
 * @file engine-choice-internal.h
 * What engine-choice.c (prompts that one engine can hold, and the search) and
 * engine-choice-oversize.c (prompts that need the memory of several) share. No
 * other file includes this header.
 */
#ifndef ENGINE_CHOICE_INTERNAL_H
#define ENGINE_CHOICE_INTERNAL_H

#include "engine-load.h"
#include "upstream-choice-internal.h"

/** Cost of each helper, as a share of the value of the request: it may fail,
 * and other requests cannot use it meanwhile. */
#define PART_COST_SHARE 0.001

/** One engine that may take a request, or a part of its prompt. */
typedef struct
{
  const upstream_member_t *member;
  load_estimate_t load;
  const prefill_ends_t *ends; /* of all engines */
  bool is_accepting;          /* has not refused a request as full just now */
  bool can_hold;              /* has room for the whole request */
  double pass_ms;             /* duration of a pass without prefill */
  double tie_break_cost;
  /* The values below hold for the number of parts under evaluation. */
  double pause_ms;      /* longest pass while it prefills its part */
  double part_ms;       /* prefill time of a part before queued prompts, or 0 */
  double arriving_loss; /* of requests that are still to arrive */
  double others_loss;   /* of all other requests, as above in
                           upstream_job_value() units */
  double ready_ms;      /* time until its part is prefilled */
  double rank;          /* sort key, lowest first */
} candidate_t;

/** The work of all engines of a service. */
typedef struct
{
  double arrivals_per_s; /* mean request rate per engine */
  double blocked;        /* share of engines that delay decoding requests */
  double filled;         /* share of all slots that is taken */
} demand_t;

/** The loss of other requests, in upstream_job_value() units. */
typedef struct
{
  request_losses_t decoding; /* of those that are being decoded */
  request_losses_t waiting;  /* of those that wait for their first event */
  double arriving;           /* of those that are still to arrive */
} damage_t;

/** Empties a loss. */
void engine_choice_clear_damage (damage_t *damage);

/** Adds the loss of other requests through a part at @a engine. */
void engine_choice_add_damage (const candidate_t *engine,
                               uint64_t now_ms,
                               damage_t *damage);

double engine_choice_total_damage (const damage_t *damage);

/** Returns the value of the request, see upstream_job_value(). */
double engine_choice_value (const choice_request_t *request);

/** Evaluates one of @a parts equal parts at each engine. */
void engine_choice_evaluate (const choice_request_t *request,
                             const demand_t *demand,
                             candidate_t *engines,
                             uint32_t count,
                             uint32_t parts,
                             uint64_t now_ms);

/** Sorts by ascending rank. The sort is stable. */
void engine_choice_sort_by_rank (candidate_t *engines, uint32_t count);

/** Sorts the engines by the cost of a part, lowest first. */
void engine_choice_sort_by_part_cost (const choice_request_t *request,
                                      candidate_t *engines,
                                      uint32_t count,
                                      double value);

/** Returns the loss of the request if its first event takes @a first_ms. */
double engine_choice_delay_loss (const choice_request_t *request,
                                 double first_ms,
                                 double value);

/** Evaluates an oversize prompt in @a parts parts; updates @a best if that is
 * better. */
void engine_oversize_evaluate (const choice_request_t *request,
                               const demand_t *demand,
                               candidate_t *engines,
                               uint32_t count,
                               uint32_t parts,
                               uint64_t now_ms,
                               choice_t *best);

/**
 * Returns why an oversize prompt has to wait, if it has to. It takes as much
 * prefill as a hundred short prompts, so it waits for a moment at which it
 * makes few requests late and leaves most engines to others.
 */
choice_held_by_t
engine_oversize_find_hindrance (const choice_request_t *request,
                                const demand_t *demand,
                                const choice_t *best);

#endif
