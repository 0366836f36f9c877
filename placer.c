#include "placer.h"

#include <glib.h>
#include <string.h>
#include <talloc.h>

#include "base.h"

#define MAX_QUEUED 2048
/** Time from sending a short request to its first event. */
#define FIRST_EVENT_DELAY_MS 100
/** An engine's silence is expected up to this multiple of the predicted time,
 * as the predictions are rough. */
#define EXPECTED_SILENCE_FACTOR 2.0

/** Decisions in one pass over the queue. A placer has a small share of a core,
 * and must answer other requests meanwhile. */
#define MAX_DECISIONS 16
/** Prompts over this size are decided on less often the more requests wait:
 * they have longer targets, and a decision compares many ways to split them. */
#define SHORT_PROMPT_TOKENS  16000
#define MAX_LONG_INTERVAL_MS 100
#define MS_PER_QUEUED        4
/** Interval at which the wait of a long prompt is reported. */
#define WAIT_REPORT_INTERVAL_MS 1000

/** A request that waits. */
typedef struct
{
  placement_request_t request;
  uint64_t next_ms;     /* earliest time of the next decision */
  uint64_t reported_ms; /* last report of its wait */
} queued_t;

struct placer
{
  placer_options_t options;
  GPtrArray *queue;         /* queued_t, children of placer */
  uint64_t spread_until_ms; /* see placer_spread_until() */
};

/** The smallest requests of a pass that found no room, by service. */
typedef struct
{
  const char *service; /* NULL: none yet */
  uint32_t prompt_tokens;
  double call_ms; /* of a plain service: until it takes one more; else 0 */
  uint32_t ahead; /* requests for it that this pass has passed over */
} no_room_t;

static int
free_placer (placer_t *placer)
{
  g_ptr_array_free (placer->queue, TRUE);
  return 0;
}

placer_t *
placer_new (void *parent, const placer_options_t *options)
{
  placer_t *placer = talloc_zero (parent, placer_t);

  placer->options = *options;
  placer->queue = g_ptr_array_new ();
  talloc_set_destructor (placer, free_placer);
  return placer;
}

void
placer_spread_until (placer_t *placer, uint64_t until_ms)
{
  placer->spread_until_ms = until_ms;
}

uint32_t
placement_jobs (const placement_request_t *request,
                const placement_answer_t *answer,
                uint64_t now_ms,
                upstream_job_t jobs[PLACEMENT_MAX_JOBS])
{
  upstream_job_t main_job
      = { .id = request->id,
          .request = request->id,
          .owner = request->owner,
          .source = request->owner,
          .upstream = answer->upstream,
          .prompt_tokens = request->prompt_tokens,
          .read_tokens = request->prompt_tokens / (answer->helper_count + 1),
          .answer_tokens = request->answer_tokens,
          .kv_tokens = request->prompt_tokens + request->answer_tokens,
          .gap_target_ms = request->gap_target_ms,
          .parts = request->parts,
          .begun_ms = request->arrived_ms,
          .due_ms = request->arrived_ms + request->target_ms,
          .sent_ms = now_ms };

  for (uint32_t i = 0; i < answer->memory_count; i++)
    main_job.kv_tokens -= MIN (answer->memory_tokens[i], main_job.kv_tokens);
  main_job.value
      = upstream_job_value (main_job.prompt_tokens, main_job.answer_tokens);
  jobs[0] = main_job;
  for (uint32_t i = 0; i < answer->helper_count; i++)
    {
      upstream_job_t *job = &jobs[i + 1];

      *job = main_job;
      job->id += i + 1;
      job->upstream = answer->helpers[i];
      job->is_part = true;
      job->parts.count = 0;
      job->parts.request = 0;
      job->answer_tokens = 0;
      job->has_reservation = i < answer->memory_count;
      job->kv_tokens = job->has_reservation ? answer->memory_tokens[i] : 0;
    }
  return 1 + answer->helper_count;
}

/** Returns the queued requests for a service. */
static uint32_t
count_queued (const placer_t *placer, const char *service)
{
  uint32_t count = 0;

  for (guint i = 0; i < placer->queue->len; i++)
    {
      const queued_t *queued = g_ptr_array_index (placer->queue, i);

      count += strcmp (queued->request.service, service) == 0;
    }
  return count;
}

static choice_request_t
make_choice_request (const placer_t *placer,
                     const placement_request_t *request,
                     const placer_service_t *service,
                     uint64_t now_ms)
{
  return (choice_request_t){
    .service = request->service,
    .model = service->model,
    .zone = placer->options.zone,
    .prompt_tokens = request->prompt_tokens,
    .answer_tokens = request->answer_tokens,
    .target_ms = request->target_ms,
    .gap_target_ms = request->gap_target_ms,
    .shortest_gap_ms = service->shortest_gap_ms,
    .waited_ms = (uint32_t)(now_ms - request->arrived_ms),
    .left_ms = request->deadline_ms > now_ms
                   ? (uint32_t)(request->deadline_ms - now_ms)
                   : 0,
    .avoid = request->avoid,
    .avoid_count = request->avoid_count,
    .zone_cost_ms = placer->options.zone_cost_ms,
    .queued = placer->queue->len,
    .queued_calls
    = service->model == NULL ? count_queued (placer, request->service) : 0,
    .is_alone = request->is_alone,
    .spreads = now_ms < placer->spread_until_ms,
    .find_cold_share = placer->options.find_cold_share,
    .cold_context = placer->options.context,
    .random = (uint32_t)random_id (),
  };
}

static placement_answer_t
make_answer (const choice_t *choice, uint64_t now_ms)
{
  static const placement_kind_t kinds[]
      = { [CHOICE_SEND] = PLACEMENT_SEND,
          [CHOICE_WAIT] = PLACEMENT_QUEUED,
          [CHOICE_UNMEETABLE] = PLACEMENT_UNMEETABLE,
          [CHOICE_NONE] = PLACEMENT_NO_UPSTREAM };
  placement_answer_t answer = { .kind = kinds[choice->kind],
                                .held_by = choice->held_by,
                                .helper_count = choice->helper_count,
                                .memory_count = choice->memory_count,
                                .first_ms = choice->first_ms,
                                .damage = choice->damage,
                                .damage_decoding = choice->damage_decoding,
                                .damage_waiting = choice->damage_waiting,
                                .loss = choice->loss,
                                .blocked = choice->blocked,
                                .filled = choice->filled,
                                .arrivals_per_s = choice->arrivals_per_s,
                                .usable = choice->usable,
                                .call_ms = choice->call_ms,
                                .retry_ms = choice->retry_ms };

  if (choice->member != NULL)
    {
      answer.upstream = choice->member->key;
      answer.is_limited = upstream_limit_holds (&choice->member->limit);
      answer.is_cold = upstream_cold_holds (&choice->member->cold, now_ms);
    }
  for (uint32_t i = 0; i < choice->helper_count; i++)
    answer.helpers[i] = choice->helpers[i]->key;
  memcpy (answer.memory_tokens, choice->memory_tokens,
          sizeof answer.memory_tokens);
  return answer;
}

/** Returns whether the upstreams of a request may well be silent for as long
 * as they have been: they read prompts. */
static bool
is_silence_expected (const placer_t *placer,
                     const placement_request_t *request,
                     const engine_model_t *model,
                     uint64_t now_ms)
{
  double expected_ms = 0;

  if (model == NULL)
    return false;
  for (uint32_t i = 0; i < request->current_count; i++)
    expected_ms
        = MAX (expected_ms,
               upstream_choice_max_gap_ms (placer->options.set,
                                           request->current[i], model, now_ms));
  return request->silent_ms < expected_ms * EXPECTED_SILENCE_FACTOR;
}

static placement_answer_t
decide (const placer_t *placer,
        const placement_request_t *request,
        uint64_t now_ms)
{
  const placer_options_t *options = &placer->options;
  placement_answer_t answer = { .kind = PLACEMENT_UNABLE };
  placer_service_t service = { 0 };
  choice_request_t choice_request;
  choice_t choice;

  if (!options->find_service (request->service, &service, options->context))
    return answer;
  if (request->is_move
      && is_silence_expected (placer, request, service.model, now_ms))
    {
      answer.kind = PLACEMENT_KEEP;
      return answer;
    }
  choice_request = make_choice_request (placer, request, &service, now_ms);
  choice = upstream_choose (options->set, &choice_request, now_ms);
  answer = make_answer (&choice, now_ms);
  if (request->is_move && answer.kind != PLACEMENT_SEND)
    answer.kind = PLACEMENT_KEEP;
  return answer;
}

static void
begin_jobs (placer_t *placer,
            const placement_request_t *request,
            const placement_answer_t *answer,
            uint64_t now_ms)
{
  upstream_job_t jobs[PLACEMENT_MAX_JOBS];
  uint32_t count = placement_jobs (request, answer, now_ms, jobs);

  for (uint32_t i = 0; i < count; i++)
    {
      jobs[i].is_granted = true;
      upstream_set_begin (placer->options.set, &jobs[i]);
    }
}

static void
pass_answer (placer_t *placer,
             const placement_request_t *request,
             const placement_answer_t *answer,
             uint64_t now_ms)
{
  if (answer->kind == PLACEMENT_SEND)
    begin_jobs (placer, request, answer, now_ms);
  placer->options.on_answer (request, answer, placer->options.context);
}

static guint
find_queued (const placer_t *placer, uint64_t owner, uint64_t id)
{
  guint i;

  for (i = 0; i < placer->queue->len; i++)
    {
      const queued_t *queued = g_ptr_array_index (placer->queue, i);

      if (queued->request.id == id && queued->request.owner == owner)
        break;
    }
  return i;
}

/** Returns when a request that waits is decided on again. */
static uint64_t
next_decision_ms (const placer_t *placer,
                  const placement_request_t *request,
                  uint64_t now_ms)
{
  uint64_t interval_ms = (uint64_t)placer->queue->len * MS_PER_QUEUED;

  return request->prompt_tokens > SHORT_PROMPT_TOKENS
             ? now_ms + MIN (interval_ms, MAX_LONG_INTERVAL_MS)
             : now_ms;
}

static void
enqueue (placer_t *placer, const placement_request_t *request, uint64_t now_ms)
{
  queued_t *queued = talloc (placer, queued_t);

  queued->request = *request;
  queued->request.parts = prompt_parts_copy (queued, &request->parts);
  queued->next_ms = next_decision_ms (placer, request, now_ms);
  queued->reported_ms = now_ms;
  g_ptr_array_add (placer->queue, queued);
}

void
placer_ask (placer_t *placer,
            const placement_request_t *request,
            uint64_t now_ms)
{
  placement_answer_t answer = { .kind = PLACEMENT_QUEUED };

  if (find_queued (placer, request->owner, request->id) < placer->queue->len)
    {
      pass_answer (placer, request, &answer, now_ms);
      return;
    }
  answer = decide (placer, request, now_ms);
  if (answer.kind == PLACEMENT_QUEUED && placer->queue->len >= MAX_QUEUED)
    answer.kind = PLACEMENT_QUEUE_FULL;
  if (answer.kind == PLACEMENT_QUEUED)
    enqueue (placer, request, now_ms);
  pass_answer (placer, request, &answer, now_ms);
}

void
placer_cancel (placer_t *placer, uint64_t owner, uint64_t id)
{
  guint at = find_queued (placer, owner, id);

  if (at < placer->queue->len)
    talloc_free (g_ptr_array_remove_index (placer->queue, at));
}

void
placer_drop_owner (placer_t *placer, uint64_t owner)
{
  for (guint i = placer->queue->len; i-- > 0;)
    {
      const queued_t *queued = g_ptr_array_index (placer->queue, i);

      if (queued->request.owner == owner)
        talloc_free (g_ptr_array_remove_index (placer->queue, i));
    }
}

/** Returns whether the request's first event can still meet its target. */
static bool
is_in_time (const placement_request_t *request, uint64_t now_ms)
{
  return now_ms + FIRST_EVENT_DELAY_MS
         < request->arrived_ms + request->target_ms;
}

static gint
compare_numbers (uint64_t a, uint64_t b)
{
  return (a > b) - (a < b);
}

/** Compares two queued requests, see placer_run(). */
static gint
compare_queued (gconstpointer a, gconstpointer b, gpointer context)
{
  const placement_request_t *first = &(*(const queued_t *const *)a)->request;
  const placement_request_t *second = &(*(const queued_t *const *)b)->request;
  uint64_t now_ms = *(const uint64_t *)context;
  bool first_in_time = is_in_time (first, now_ms);
  bool second_in_time = is_in_time (second, now_ms);

  if (first->priority != second->priority)
    return compare_numbers (first->priority, second->priority);
  if (first_in_time != second_in_time)
    return first_in_time ? -1 : 1;
  if (first->target_ms != second->target_ms)
    return compare_numbers (first->target_ms, second->target_ms);
  if (first_in_time)
    return compare_numbers (second->arrived_ms, first->arrived_ms);
  return compare_numbers (first->arrived_ms, second->arrived_ms);
}

/**
 * Returns whether a request that is no smaller has found no room in this pass,
 * so that this one cannot find any.
 */
static bool
has_no_room (const no_room_t *no_room, const placement_request_t *request)
{
  return no_room->service != NULL
         && strcmp (no_room->service, request->service) == 0
         && request->avoid_count == 0
         && request->prompt_tokens >= no_room->prompt_tokens;
}

/** Records a request that found no room at any upstream. */
static void
record_no_room (no_room_t *no_room,
                const placement_request_t *request,
                const placement_answer_t *answer)
{
  if (answer->upstream != 0 || request->avoid_count > 0)
    return;
  if (no_room->service != NULL
      && strcmp (no_room->service, request->service) == 0
      && no_room->prompt_tokens <= request->prompt_tokens)
    return;
  no_room->service = request->service;
  no_room->prompt_tokens = request->prompt_tokens;
  no_room->call_ms = answer->call_ms;
  no_room->ahead = 1;
}

/** Returns whether a plain call that found no room cannot be served before its
 * deadline, because of those before it. */
static bool
is_too_far_back (no_room_t *no_room,
                 const placement_request_t *request,
                 uint64_t now_ms)
{
  if (no_room->call_ms <= 0)
    return false;
  no_room->ahead++;
  return (double)now_ms + no_room->ahead * no_room->call_ms
         > (double)request->deadline_ms;
}

/** The state of one pass over the queue. */
typedef struct
{
  uint64_t now_ms;
  uint32_t decisions; /* made so far */
  no_room_t no_room;
} pass_t;

/** Refuses a plain call that found no room if it waits in vain. Returns whether
 * it left the queue. */
static bool
refuse_too_far_back (placer_t *placer,
                     const placement_request_t *request,
                     pass_t *pass)
{
  placement_answer_t answer = { .kind = PLACEMENT_UNMEETABLE };

  if (!is_too_far_back (&pass->no_room, request, pass->now_ms))
    return false;
  answer.retry_ms = (uint32_t)(pass->no_room.ahead * pass->no_room.call_ms) + 1;
  pass->no_room.ahead--;
  pass_answer (placer, request, &answer, pass->now_ms);
  return true;
}

/** Reports the decision by which a long prompt waits on, if it is time. */
static void
report_wait (const placer_t *placer,
             queued_t *queued,
             const placement_answer_t *answer,
             uint64_t now_ms)
{
  const placer_options_t *options = &placer->options;

  if (options->on_wait == NULL
      || queued->request.prompt_tokens <= SHORT_PROMPT_TOKENS
      || now_ms < queued->reported_ms + WAIT_REPORT_INTERVAL_MS)
    return;
  queued->reported_ms = now_ms;
  options->on_wait (&queued->request, answer, options->context);
}

/** Decides again on one queued request, if it is its turn. Returns whether it
 * left the queue. */
static bool
retry_queued (placer_t *placer, queued_t *queued, pass_t *pass)
{
  const placement_request_t *request = &queued->request;
  placement_answer_t answer;

  if (pass->now_ms >= request->deadline_ms)
    return true; /* its owner ends it */
  if (has_no_room (&pass->no_room, request))
    return refuse_too_far_back (placer, request, pass);
  if (pass->decisions >= MAX_DECISIONS || pass->now_ms < queued->next_ms)
    return false;
  pass->decisions++;
  answer = decide (placer, request, pass->now_ms);
  if (answer.kind == PLACEMENT_QUEUED)
    {
      queued->next_ms = next_decision_ms (placer, request, pass->now_ms);
      record_no_room (&pass->no_room, request, &answer);
      report_wait (placer, queued, &answer, pass->now_ms);
      return false;
    }
  pass_answer (placer, request, &answer, pass->now_ms);
  return true;
}

void
placer_run (placer_t *placer, uint64_t now_ms)
{
  pass_t pass = { .now_ms = now_ms };
  GPtrArray *left = g_ptr_array_new ();
  GPtrArray *requests = placer->queue;

  /* Answers may add requests to the queue. */
  placer->queue = g_ptr_array_new ();
  g_ptr_array_sort_with_data (requests, compare_queued, &now_ms);
  for (guint i = 0; i < requests->len; i++)
    {
      queued_t *queued = g_ptr_array_index (requests, i);

      if (retry_queued (placer, queued, &pass))
        g_ptr_array_add (left, queued);
      else
        g_ptr_array_add (placer->queue, queued);
    }
  for (guint i = 0; i < left->len; i++)
    talloc_free (g_ptr_array_index (left, i));
  g_ptr_array_free (left, TRUE);
  g_ptr_array_free (requests, TRUE);
}

uint32_t
placer_queued (const placer_t *placer)
{
  return placer->queue->len;
}
