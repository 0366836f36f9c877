/* Reservations of engine memory for the spans of an oversize prompt. */
#include <inttypes.h>
#include <string.h>
#include <talloc.h>

#include "base.h"
#include "dispatch-oversize.h"

#define LOG_PART "oversize"
#include "logging.h"

/* Lease of a lane's reservation. It is longer than the time to reserve all
 * lanes. All held reservations are renewed each time the next lane is reserved.
 */
#define RESERVATION_LEASE_MS 10000
#define STATUS_OK            200
#define STATUS_NO_ANSWER     0
#define MAX_LANES_PER_JOB    8
/* Prefill rate assumed for an engine that announces a lower rate, or none. */
#define MIN_PREFILL_TOKENS_S 1000

/** A call to reserve memory; it may outlive its lane. */
struct reserve_call
{
  dispatch_t *dispatch;
  lane_t *lane; /* NULL when the lane was released meanwhile */
  upstream_target_t target;
  char *id;
};

static void reserve_lane (lane_t *lane);

void
lanes_add_metrics (struct oversize_shared *shared, metrics_t *metrics)
{
  static const char name[] = "lwm_oversize_reservations_total";
  static const char help[] = "reservations for spans";

  shared->reserved = metrics_counter (metrics, name, help, "result=\"taken\"");
  shared->refused = metrics_counter (metrics, name, help, "result=\"refused\"");
  shared->released
      = metrics_counter (metrics, name, help, "result=\"released\"");
}

static void
notify_reservation_closed (lane_t *lane)
{
  const dispatch_owner_hooks_t *hooks
      = &lane->job->dispatch->options.owner_hooks;

  if (hooks->closed != NULL)
    hooks->closed (lane->sequence, hooks->context);
}

/* A reservation that was passed to a span's stream is released, too, because
 * the stream may never have reached the engine. */
static void
release_reservation (lane_t *lane)
{
  dispatch_cancel_object (lane->job->dispatch, CANCEL_RESERVATION,
                          &lane->target, lane->id);
  if (lane->state != LANE_RESERVING)
    metric_add (lane->job->shared->released, 1);
}

void
lane_release (lane_t *lane)
{
  if (lane->state == LANE_CLOSED)
    return;
  if (lane->call != NULL)
    lane->call->lane = NULL;
  lane->call = NULL;
  release_reservation (lane);
  lane->state = LANE_CLOSED;
  g_hash_table_remove (lane->job->shared->reserved_engines, lane->target.name);
}

void
lanes_release_all (oversize_job_t *job)
{
  for (uint32_t i = 0; i < job->lane_count; i++)
    lane_release (&job->lanes[i]);
  job->is_reserving = false;
}

/** Ignores the answer to a renewal. */
static void
on_renewed (int status, void *context)
{
}

/** Returns the reservation to request for the lane at its engine. */
static upstream_memory_t
lane_reservation (const lane_t *lane)
{
  return (upstream_memory_t){ .id = lane->id,
                              .owner = lane->job->dispatch->owner,
                              .tokens = lane->job->plan->span_kv_tokens,
                              .lease_ms = RESERVATION_LEASE_MS };
}

/** Renews the held lanes' reservations while the next lane is reserved. */
static void
renew_held_lanes (oversize_job_t *job)
{
  const dispatch_options_t *options = &job->dispatch->options;

  for (uint32_t i = 0; i < job->lane_count; i++)
    if (job->lanes[i].state == LANE_HELD)
      {
        upstream_memory_t memory = lane_reservation (&job->lanes[i]);

        options->ops->reserve (options->ops_context, &job->lanes[i].target,
                               &memory, on_renewed, NULL);
      }
}

/** Reserves the next closed lane, or starts to read once all are reserved. */
static void
reserve_next_lane (oversize_job_t *job)
{
  for (uint32_t i = 0; i < job->lane_count; i++)
    if (job->lanes[i].state == LANE_CLOSED)
      {
        renew_held_lanes (job);
        reserve_lane (&job->lanes[i]);
        return;
      }
  job->is_reserving = false;
  dispatch_oversize_reserved (job);
}

static void
handle_refusal (lane_t *lane, int status)
{
  oversize_job_t *job = lane->job;

  metric_add (job->shared->refused, 1);
  if (status == STATUS_NO_ANSWER)
    registry_record_failure (job->dispatch->options.registry, lane->target.name,
                             clock_mono_ms ());
  /* Without an answer, the engine may have reserved the memory. */
  if (status == STATUS_NO_ANSWER)
    {
      lane_release (lane);
    }
  else
    {
      lane->state = LANE_CLOSED;
      g_hash_table_remove (job->shared->reserved_engines, lane->target.name);
      notify_reservation_closed (lane);
    }
  if (!job->is_reserving)
    {
      dispatch_oversize_advance (job);
      return;
    }
  lanes_release_all (job);
  dispatch_oversize_refused (job);
}

static void
on_reserved (int status, void *context)
{
  reserve_call_t *call = context;
  lane_t *lane = call->lane;

  if (lane == NULL)
    {
      /* The lane's release may have reached the engine before the call did. */
      if (status == STATUS_OK || status == STATUS_NO_ANSWER)
        dispatch_cancel_object (call->dispatch, CANCEL_RESERVATION,
                                &call->target, call->id);
      talloc_free (call);
      return;
    }
  lane->call = NULL;
  talloc_free (call);
  if (status != STATUS_OK)
    {
      handle_refusal (lane, status);
      return;
    }
  lane->state = LANE_HELD;
  metric_add (lane->job->shared->reserved, 1);
  if (lane->job->is_reserving)
    reserve_next_lane (lane->job);
  else
    dispatch_oversize_advance (lane->job);
}

static reserve_call_t *
new_reserve_call (lane_t *lane)
{
  reserve_call_t *call = talloc_zero (lane->job->dispatch, reserve_call_t);

  call->dispatch = lane->job->dispatch;
  call->lane = lane;
  call->id = talloc_strdup (call, lane->id);
  call->target.name = talloc_strdup (call, lane->target.name);
  call->target.address = talloc_strdup (call, lane->target.address);
  call->target.incarnation = lane->target.incarnation;
  return call;
}

static void
reserve_lane (lane_t *lane)
{
  dispatch_t *dispatch = lane->job->dispatch;
  const dispatch_options_t *options = &dispatch->options;
  const dispatch_owner_hooks_t *hooks = &options->owner_hooks;
  upstream_memory_t memory;

  lane->sequence = dispatch_next_sequence (dispatch);
  talloc_free (lane->id);
  lane->id = talloc_asprintf (lane->job->lanes, "%s-%" PRIu64 "-%" PRIu64,
                              options->instance, options->incarnation,
                              lane->sequence);
  lane->state = LANE_RESERVING;
  lane->call = new_reserve_call (lane);
  g_hash_table_add (lane->job->shared->reserved_engines,
                    g_strdup (lane->target.name));
  if (hooks->reserved != NULL)
    hooks->reserved (lane->sequence, lane->target.name, hooks->context);
  memory = lane_reservation (lane);
  options->ops->reserve (options->ops_context, &lane->target, &memory,
                         on_reserved, lane->call);
}

void
lane_reserve_again (lane_t *lane)
{
  lane_release (lane);
  if (oversize_next_waiting (lane->job->plan) < lane->job->plan->span_count)
    reserve_lane (lane);
}

void
lanes_reserve (oversize_job_t *job, const GPtrArray *engines)
{
  /* All lanes of an earlier try are closed. */
  TALLOC_FREE (job->lanes);
  job->lane_count = MIN (engines->len, MAX_LANES_PER_JOB);
  job->lanes = talloc_zero_array (job, lane_t, job->lane_count);
  for (uint32_t i = 0; i < job->lane_count; i++)
    {
      const registry_upstream_t *engine = engines->pdata[i];
      lane_t *lane = &job->lanes[i];

      lane->job = job;
      lane->target.name = talloc_strdup (job->lanes, engine->name);
      lane->target.address = talloc_strdup (job->lanes, engine->address);
      lane->target.incarnation = engine->incarnation;
      lane->prefill_tokens_s
          = MAX (engine->prefill_tokens_s, MIN_PREFILL_TOKENS_S);
    }
  job->is_reserving = true;
  reserve_next_lane (job);
}
