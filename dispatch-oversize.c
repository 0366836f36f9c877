/* Oversize prompts, which exceed every engine's memory: plans the spans, sends
 * them over reserved lanes and submits the last pass. */
#include <event2/event.h>
#include <inttypes.h>
#include <string.h>
#include <talloc.h>

#include "base.h"
#include "dispatch-oversize.h"
#include "oversize-place.h"

#define LOG_PART "oversize"
#include "logging.h"

/* Limit on the oversize prompts that an instance reads or keeps waiting at one
 * time. */
#define MAX_JOBS           16
#define RETRY_AFTER_MS     5000
#define MS_PER_S           1000
#define MIN_RETRY_DELAY_MS 50
#define MAX_RETRY_DELAY_MS 1000

static void start_reserving (oversize_job_t *job);

static oversize_filter_t
filter_of_request (const dispatch_t *dispatch, const request_t *request)
{
  return (oversize_filter_t){
    .registry = dispatch->options.registry,
    .service = request->service,
    .weights = { request->model, request->adapter, request->version },
  };
}

/** Returns the KV memory in tokens of the largest engine if prompt and answer
 * exceed it, else 0. */
static uint64_t
exceeded_kv_tokens (const dispatch_t *dispatch, const request_t *request)
{
  oversize_filter_t filter;
  uint64_t need_tokens;
  uint64_t memory_tokens;

  if (request->kind != REQUEST_COMPLETION || request->service == NULL)
    return 0;
  filter = filter_of_request (dispatch, request);
  need_tokens = request_prompt_tokens (request) + request->max_tokens;
  memory_tokens = oversize_max_kv_tokens (&filter);
  return need_tokens > memory_tokens ? memory_tokens : 0;
}

bool
dispatch_is_oversize (const dispatch_t *dispatch, const request_t *request)
{
  return exceeded_kv_tokens (dispatch, request) > 0;
}

static oversize_filter_t
filter_of_job (const oversize_job_t *job)
{
  return (oversize_filter_t){ .registry = job->dispatch->options.registry,
                              .service = job->request->service,
                              .weights = *job->weights };
}

/** Returns the time in ms until reading the waiting spans must begin to meet
 * the request's deadline, if as many lanes as last requested read in parallel;
 * 0 when it is too late. */
static uint64_t
slack_ms (const oversize_job_t *job)
{
  oversize_filter_t filter = filter_of_job (job);
  uint64_t rate = (uint64_t)oversize_max_prefill_tokens_s (&filter)
                  * MAX (job->requested_lanes, 1);
  uint64_t end_ms = clock_mono_ms ()
                    + oversize_waiting_tokens (job->plan) * MS_PER_S / rate;

  return job->request->deadline_ms - MIN (end_ms, job->request->deadline_ms);
}

static void
schedule_retry (oversize_job_t *job)
{
  /* The next try comes before the deadline, so that the caller can still be
   * told of a refusal. */
  uint64_t wait_ms = MIN (job->retry_delay_ms, MAX (slack_ms (job), 1));
  struct timeval delay
      = { .tv_sec = (time_t)(wait_ms / MS_PER_S),
          .tv_usec = (suseconds_t)(wait_ms % MS_PER_S) * 1000 };

  event_add (job->timer, &delay);
  job->retry_delay_ms = MIN (job->retry_delay_ms * 2, MAX_RETRY_DELAY_MS);
}

/** Submits the request itself as the last pass once its spans are read. */
static void
submit_last_pass (oversize_job_t *job)
{
  dispatch_t *dispatch = job->dispatch;
  request_t *request = job->request;
  sched_verdict_t verdict;

  lanes_release_all (job);
  if (job->last_prompt == NULL)
    {
      job->last_prompt
          = oversize_last_prompt (job->plan, request, request->prompt);
      request_set_prompt (request, job->last_prompt);
    }
  verdict = dispatch_admit (dispatch, request);
  if (verdict.admitted)
    dispatch_wake (dispatch);
  else if (verdict.refusal == ERROR_QUEUE_FULL
           || verdict.refusal == ERROR_CUSTOMER_LIMIT)
    schedule_retry (job);
  else
    dispatch_fail (dispatch, request, verdict.refusal);
}

static void
on_span_ended (void *context)
{
  oversize_span_call_t *call = context;
  oversize_job_t *job = call->job;
  request_t *span = call->request;
  lane_t *lane = call->lane;

  call->request = NULL;
  call->lane = NULL;
  TALLOC_FREE (call->prompt);
  if (span->state == REQUEST_FAILED)
    {
      if (span->ran == RAN_YES)
        job->request->ran = RAN_YES;
      dispatch_fail (job->dispatch, job->request, span->error);
      return;
    }
  job->request->ran = RAN_YES;
  oversize_mark_read (job->plan, call->index, span->text->str);
  lane_reserve_again (lane);
  dispatch_oversize_advance (job);
}

/** Creates an internal request that reads a span on behalf of the customer. */
static request_t *
new_span_request (oversize_job_t *job, oversize_span_call_t *call)
{
  dispatch_t *dispatch = job->dispatch;
  const request_t *whole = job->request;
  uint64_t now_ms = clock_mono_ms ();
  uint64_t sequence = dispatch_next_sequence (dispatch);
  request_spec_t spec = {
    .kind = REQUEST_COMPLETION,
    .service = whole->service,
    .customer = whole->customer,
    .model = job->weights->model,
    .adapter = job->weights->adapter,
    .version = job->weights->version,
    .deadline_ms = whole->deadline_ms - MIN (now_ms, whole->deadline_ms),
    .max_tokens = job->plan->max_extract_tokens,
    .idempotent = true,
    .signature = whole->signature,
  };
  char *id = talloc_asprintf (job, "%s-%" PRIu64 "-%" PRIu64,
                              dispatch->options.instance,
                              dispatch->options.incarnation, sequence);
  request_t *span = request_new (dispatch, &spec, id, sequence, now_ms);

  talloc_free (id);
  call->prompt
      = oversize_span_prompt (job->plan, job, whole->prompt, call->index);
  span->prompt = call->prompt;
  span->prompt_bytes = strlen (call->prompt);
  span->owner = dispatch;
  span->span_job = job;
  return span;
}

/** Creates a span's request and adds it to the live requests. */
static void
register_span (oversize_job_t *job, oversize_span_call_t *call)
{
  dispatch_t *dispatch = job->dispatch;
  request_t *span = new_span_request (job, call);

  call->request = span;
  span->listener
      = (request_listener_t){ .ended = on_span_ended, .context = call };
  metric_add (dispatch->requests, 1);
  metric_add (dispatch->edges[REQUEST_RECEIVED], 1);
  g_hash_table_insert (dispatch->by_id, span->id, span);
  g_hash_table_insert (dispatch->by_sequence, &span->sequence, span);
  dispatch_enqueue (dispatch, span);
}

static void
send_span (lane_t *lane, uint32_t index)
{
  oversize_job_t *job = lane->job;
  oversize_span_call_t *call = &job->calls[index];
  uint32_t rate = lane->prefill_tokens_s;
  sched_step_t step = {
    .action = SCHED_SEND,
    .upstream = lane->target.name,
    .weights = job->weights,
    .why = SCHED_REASON_POLICY,
    .predicted_first_token_ms
    = (uint32_t)(job->plan->span_kv_tokens * MS_PER_S / rate),
    .priority = 0, /* lowest: the engine serves short prompts first */
  };

  if (call->request == NULL)
    register_span (job, call);
  call->lane = lane;
  lane->state = LANE_READING;
  call->request->reservation = lane->id;
  oversize_mark_sent (job->plan, index, lane->target.name);
  metric_add (job->shared->spans, 1);
  /* It is unknown whether the request runs until the span's answer arrives. */
  if (job->request->ran == RAN_NO)
    job->request->ran = RAN_UNKNOWN;
  attempt_send (job->dispatch, call->request, &step);
}

/** Returns whether the lane's engine is known with the same incarnation. */
static bool
is_same_incarnation (const lane_t *lane)
{
  const registry_upstream_t *engine = registry_find (
      lane->job->dispatch->options.registry, lane->target.name);

  return engine != NULL && engine->incarnation == lane->target.incarnation;
}

void
dispatch_oversize_advance (oversize_job_t *job)
{
  bool has_open_lane = false;

  if (dispatch_refuse_blocked (job->dispatch, job->request))
    return;
  if (oversize_all_read (job->plan))
    {
      submit_last_pass (job);
      return;
    }
  for (uint32_t i = 0; i < job->lane_count; i++)
    {
      lane_t *lane = &job->lanes[i];
      uint32_t index = oversize_next_waiting (job->plan);

      if (lane->state == LANE_HELD && index < job->plan->span_count
          && is_same_incarnation (lane))
        send_span (lane, index);
      else if (lane->state == LANE_HELD)
        lane_release (lane);
      if (lane->state != LANE_CLOSED)
        has_open_lane = true;
    }
  if (!has_open_lane)
    schedule_retry (job);
}

void
dispatch_oversize_reread (dispatch_t *dispatch, request_t *span)
{
  oversize_job_t *job = span->span_job;

  for (uint32_t i = 0; i < job->plan->span_count; i++)
    if (job->calls[i].request == span)
      {
        lane_release (job->calls[i].lane);
        job->calls[i].lane = NULL;
        span->reservation = NULL;
        oversize_mark_failed (job->plan, i);
        metric_add (job->shared->rereads, 1);
      }
  dispatch_oversize_advance (job);
}

void
dispatch_oversize_reserved (oversize_job_t *job)
{
  job->retry_delay_ms = MIN_RETRY_DELAY_MS;
  dispatch_oversize_advance (job);
}

void
dispatch_oversize_refused (oversize_job_t *job)
{
  /* Fewer engines are more likely to have free memory at the same time; one is
   * enough. */
  job->max_lanes = MAX (job->requested_lanes / 2, 1);
  schedule_retry (job);
}

static GPtrArray *
choose_engines (const oversize_job_t *job)
{
  oversize_filter_t filter = filter_of_job (job);
  oversize_limits_t limits
      = { .zone = job->dispatch->options.zone,
          .span_kv_tokens = job->plan->span_kv_tokens,
          .max_engines = job->max_lanes,
          .reserved_engines = job->shared->reserved_engines };

  return oversize_choose_engines (&filter, &limits);
}

static void
start_reserving (oversize_job_t *job)
{
  GPtrArray *engines = choose_engines (job);

  job->requested_lanes = engines->len;
  if (slack_ms (job) == 0)
    dispatch_fail (job->dispatch, job->request, ERROR_ENGINE_MEMORY);
  else if (engines->len == 0)
    schedule_retry (job);
  else
    lanes_reserve (job, engines);
  g_ptr_array_free (engines, TRUE);
}

static void
on_timer (evutil_socket_t fd, short what, void *arg)
{
  oversize_job_t *job = arg;

  if (oversize_all_read (job->plan))
    submit_last_pass (job);
  else
    start_reserving (job);
}

static int
free_job (oversize_job_t *job)
{
  event_free (job->timer);
  return 0;
}

static oversize_job_t *
new_job (dispatch_t *dispatch, request_t *request, oversize_t *plan)
{
  const Lwm__Service *service
      = config_service (dispatch->config, request->service);
  oversize_filter_t filter = filter_of_request (dispatch, request);
  weights_t weights = oversize_pick_weights (
      &filter,
      service != NULL && service->version[0] != '\0' ? service->version : NULL);
  oversize_job_t *job = talloc_zero (request, oversize_job_t);

  job->dispatch = dispatch;
  job->shared = dispatch->oversize;
  job->request = request;
  job->plan = talloc_steal (job, plan);
  job->retry_delay_ms = MIN_RETRY_DELAY_MS;
  job->max_lanes = plan->span_count;
  job->weights = weights_copy (job, &weights, 1);
  job->calls = talloc_zero_array (job, oversize_span_call_t, plan->span_count);
  for (uint32_t i = 0; i < plan->span_count; i++)
    {
      job->calls[i].job = job;
      job->calls[i].index = i;
    }
  job->timer = event_new (dispatch->options.base, -1, 0, on_timer, job);
  talloc_set_destructor (job, free_job);
  return job;
}

/** Makes all passes use the same weights. */
static void
pin_weights (request_t *request, const weights_t *weights)
{
  if (request->model == NULL && weights->model != NULL)
    request->model = talloc_strdup (request, weights->model);
  if (request->version == NULL && weights->version != NULL)
    request->version = talloc_strdup (request, weights->version);
}

static void
start_job (dispatch_t *dispatch, request_t *request, oversize_t *plan)
{
  oversize_job_t *job = new_job (dispatch, request, plan);

  /* Refuses the request if even reading all spans in parallel would miss its
   * deadline. */
  job->requested_lanes = plan->span_count;
  if (slack_ms (job) == 0)
    {
      talloc_free (job);
      dispatch_refuse (dispatch, request, ERROR_DEADLINE_UNMEETABLE, 0);
      return;
    }
  request->oversize = job;
  job->shared->jobs++;
  pin_weights (request, job->weights);
  metric_add (job->shared->prompts, 1);
  log_info ("Reading a prompt in spans. request=%s tokens=%" PRIu64 " spans=%u",
            request->id, plan->prompt_tokens, plan->span_count);
  dispatch_enqueue (dispatch, request);
  start_reserving (job);
}

void
dispatch_read_oversize (dispatch_t *dispatch, request_t *request)
{
  uint64_t memory_tokens = exceeded_kv_tokens (dispatch, request);
  sched_verdict_t verdict;
  oversize_t *plan;

  plan = oversize_plan (request, request->prompt, request->max_tokens,
                        memory_tokens);
  if (plan == NULL || dispatch->oversize->jobs >= MAX_JOBS)
    {
      dispatch_refuse (dispatch, request, ERROR_ENGINE_MEMORY,
                       plan != NULL ? RETRY_AFTER_MS : 0);
      return;
    }
  verdict = sched_charge (dispatch->options.sched, request->customer,
                          plan->prompt_tokens, clock_mono_ms ());
  if (verdict.admitted)
    start_job (dispatch, request, plan);
  else
    dispatch_refuse (dispatch, request, verdict.refusal,
                     verdict.retry_after_ms);
}

void
dispatch_oversize_end (dispatch_t *dispatch, request_t *request)
{
  oversize_job_t *job = request->oversize;

  event_del (job->timer);
  job->shared->jobs--;
  for (uint32_t i = 0; i < job->plan->span_count; i++)
    {
      oversize_span_call_t *call = &job->calls[i];
      request_t *span = call->request;

      call->request = NULL;
      if (span != NULL)
        {
          span->listener = (request_listener_t){ 0 };
          dispatch_fail (dispatch, span, ERROR_CANCELLED);
        }
      TALLOC_FREE (call->prompt);
    }
  lanes_release_all (job);
  oversize_free_extracts (job->plan);
  TALLOC_FREE (job->last_prompt);
}

const oversize_t *
dispatch_oversize_plan (const request_t *request)
{
  return request->oversize != NULL ? request->oversize->plan : NULL;
}

static int
free_shared (struct oversize_shared *shared)
{
  g_hash_table_destroy (shared->reserved_engines);
  return 0;
}

void
dispatch_add_oversize (dispatch_t *dispatch)
{
  metrics_t *metrics = dispatch->options.metrics;
  struct oversize_shared *shared
      = talloc_zero (dispatch, struct oversize_shared);

  shared->reserved_engines
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  shared->prompts = metrics_counter (metrics, "lwm_oversize_prompts_total",
                                     "prompts read in spans", NULL);
  shared->spans = metrics_counter (metrics, "lwm_oversize_spans_total",
                                   "spans sent to engines", NULL);
  shared->rereads = metrics_counter (metrics, "lwm_oversize_rereads_total",
                                     "spans to be read again", NULL);
  lanes_add_metrics (shared, metrics);
  talloc_set_destructor (shared, free_shared);
  dispatch->oversize = shared;
}
