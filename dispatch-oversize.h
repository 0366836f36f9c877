/**
 * @file dispatch-oversize.h
 * Declarations shared by dispatch-oversize.c and dispatch-lanes.c; private to
 * them.
 *
 * A job reads the spans of one prompt over lanes. A lane is an engine with
 * memory reserved for one span at a time; it reads spans one after another. All
 * lanes of a job are reserved before its first span is sent, in the order of
 * the engines' names. When a reservation fails, all lanes are released. Thus
 * two jobs never wait for each other.
 */
#ifndef DISPATCH_OVERSIZE_H
#define DISPATCH_OVERSIZE_H

#include "dispatch-internal.h"
#include "oversize.h"

typedef struct oversize_job oversize_job_t;

/** State shared by all jobs of an instance. */
struct oversize_shared
{
  GHashTable *reserved_engines; /* set of names of engines with an open lane */
  uint32_t jobs;                /* number of live jobs */
  metric_t *prompts;
  metric_t *spans;
  metric_t *rereads;
  metric_t *reserved;
  metric_t *refused;
  metric_t *released;
};

typedef enum
{
  LANE_CLOSED,    /* without a reservation */
  LANE_RESERVING, /* the call to reserve is under way */
  LANE_HELD,      /* memory is reserved and unused */
  LANE_READING,   /* a span uses the memory */
} lane_state_t;

typedef struct reserve_call reserve_call_t;

typedef struct
{
  oversize_job_t *job;
  lane_state_t state;
  upstream_target_t target;
  uint32_t prefill_tokens_s;
  char *id; /* id of the reservation */
  uint64_t sequence;
  reserve_call_t *call; /* call to reserve under way, or NULL */
} lane_t;

/** The reading of one span by a request. */
typedef struct
{
  oversize_job_t *job;
  uint32_t index;
  request_t *request; /* NULL before the span is sent and after it is read */
  lane_t *lane;       /* lane that reads the span, or NULL */
  char *prompt;
} oversize_span_call_t;

struct oversize_job
{
  dispatch_t *dispatch;
  struct oversize_shared *shared;
  request_t *request;
  oversize_t *plan;
  weights_t *weights;
  oversize_span_call_t *calls; /* one for each span */
  lane_t *lanes;
  uint32_t lane_count;
  bool is_reserving;   /* not all lanes are reserved yet */
  struct event *timer; /* fires at the next retry */
  uint32_t retry_delay_ms;
  uint32_t max_lanes;       /* lanes to reserve at most */
  uint32_t requested_lanes; /* lanes of the last try to reserve */
  char *last_prompt;        /* prompt of the last pass, or NULL */
};

/** Starts to read once all lanes are held (dispatch-oversize.c). */
void dispatch_oversize_reserved (oversize_job_t *job);

/** Schedules a retry with fewer lanes after a reservation failed and all lanes
 * were released (dispatch-oversize.c). */
void dispatch_oversize_refused (oversize_job_t *job);

/** Sends waiting spans over the held lanes, or submits the last pass once all
 * spans are read (dispatch-oversize.c). */
void dispatch_oversize_advance (oversize_job_t *job);

/** Reserves a lane at each of @a engines, or none (dispatch-lanes.c). At most
 * MAX_LANES_PER_JOB are used. */
void lanes_reserve (oversize_job_t *job, const GPtrArray *engines);

/** Releases the lane after its span is read, and reserves memory for the next
 * waiting span, if any (dispatch-lanes.c). */
void lane_reserve_again (lane_t *lane);

/** Releases the lane's reservation and closes the lane (dispatch-lanes.c). */
void lane_release (lane_t *lane);

/** Releases all lanes of a job (dispatch-lanes.c). */
void lanes_release_all (oversize_job_t *job);

/** Registers the counters of reservations (dispatch-lanes.c). */
void lanes_add_metrics (struct oversize_shared *shared, metrics_t *metrics);

#endif
