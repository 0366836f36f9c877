#include "lib-pace.h"

#include <glib.h>
#include <math.h>
#include <string.h>

#include "upstream-pace.h"

#define UPSTREAMS       20
#define SLOTS           16
#define STEP_MS         5
#define LENGTH_MS       20000
#define RETURN_MS       1000
#define SLOW_START_MS   5000
#define FIRST_CAPACITY  2.0
#define WEAK_CAPACITY   4.0
#define REPLACED_MS     750
#define FIRST_WORK_MS   100.0
#define WORK_MS         600.0
#define FIRST_TARGET_MS 250
#define TARGET_MS       1000
#define DEADLINE_MS     4000
#define MAX_TRIES       3
#define LOAD            0.5
#define TOGETHER_LOAD   0.3
#define LAG_MS          45
#define LAG_STEPS       (LAG_MS / STEP_MS)
#define FULL_PAUSE_MS   100
#define RECENT_MS       6000
#define PLACERS         3
#define ALONE           300
#define FIRST_EJECT_MS  1500
#define MAX_EJECT_MS    8000
#define RAMP_MS         5000
#define ERROR_MS        50
#define GRADIENT_WEIGHT 0.2

/** One request. */
typedef struct
{
  uint64_t arrived_ms;
  uint64_t sent_ms;
  uint32_t upstream;
  uint32_t decider;
  uint32_t open_before; /* at the upstream, as the decider saw it */
  uint32_t tries;
  double done_ms;
  bool has_first;
  bool is_late;
} request_t;

/** What a decider knows of an upstream. */
typedef struct
{
  upstream_pace_t pace;
  double limit; /* of the policies that are not the product's; 0: none */
  uint64_t begun_ms;
  uint64_t shrunk_ms;
  uint32_t own_open;
  uint32_t past_own[LAG_STEPS + 1];
  uint64_t full_until_ms;
  uint32_t failures;
  uint64_t ejected_until_ms;
  uint64_t eject_ms;
  bool was_out;
} view_t;

typedef struct
{
  pace_case_t kind;
  pace_policy_t policy;
  GRand *random;
  uint64_t now_ms;
  uint32_t deciders;
  view_t *views;                           /* by decider and upstream */
  uint32_t open[UPSTREAMS];                /* now */
  uint32_t past[LAG_STEPS + 1][UPSTREAMS]; /* open requests before */
  GPtrArray *sent;
  GPtrArray *waiting;
  double work_done;
  double work_possible;
  pace_result_t result;
} run_t;

const char *
pace_policy_name (pace_policy_t policy)
{
  static const char *const names[PACE_POLICY_COUNT]
      = { "no limit", "single probe", "fixed ramp",
          "AIMD",     "gradient",     "product" };

  return names[policy];
}

const char *
pace_case_name (pace_case_t kind)
{
  static const char *const names[PACE_CASE_COUNT]
      = { "fast starter", "slow starter",     "slow for good",
          "flapping",     "replaced in turn", "300 instances, all start" };

  return names[kind];
}

static double
slow_start (uint64_t since_ms, uint64_t now_ms)
{
  double share = fmin ((double)(now_ms - since_ms) / SLOW_START_MS, 1);

  return FIRST_CAPACITY + (SLOTS - FIRST_CAPACITY) * share;
}

/** Returns when an upstream returns in a case. */
static uint64_t
return_ms (const run_t *run, uint32_t upstream)
{
  if (run->kind == PACE_CASE_ROLLING)
    return RETURN_MS + (uint64_t)upstream * REPLACED_MS;
  if (run->kind == PACE_CASE_TOGETHER)
    return 0;
  return upstream == 0 ? RETURN_MS : UINT64_MAX;
}

/** Returns the requests that an upstream runs at full speed at a time; 0: it is
 * not there. */
static double
capacity (const run_t *run, uint32_t upstream)
{
  uint64_t back_ms = return_ms (run, upstream);

  if (back_ms == UINT64_MAX)
    return SLOTS;
  if (run->now_ms < back_ms)
    return run->kind != PACE_CASE_ROLLING || run->now_ms + REPLACED_MS > back_ms
               ? 0
               : SLOTS;
  switch (run->kind)
    {
    case PACE_CASE_FAST:
      return SLOTS;
    case PACE_CASE_WEAK:
      return WEAK_CAPACITY;
    case PACE_CASE_FLAPPING:
      return (run->now_ms - back_ms) / 1000 % 3 == 2 ? 0 : SLOTS;
    default:
      return slow_start (back_ms, run->now_ms);
    }
}

/** Returns whether deciders know that an upstream is not there. */
static bool
is_away (const run_t *run, uint32_t upstream)
{
  return run->kind != PACE_CASE_FLAPPING && capacity (run, upstream) == 0;
}

static view_t *
view_of (const run_t *run, uint32_t decider, uint32_t upstream)
{
  return &run->views[decider * UPSTREAMS + upstream];
}

static uint32_t
seen_open (const run_t *run, uint32_t decider, uint32_t upstream)
{
  const view_t *view = view_of (run, decider, upstream);

  if (run->kind == PACE_CASE_TOGETHER)
    return view->own_open;
  return run->past[LAG_STEPS][upstream] - view->past_own[LAG_STEPS]
         + view->own_open;
}

static void
begin_limit (const run_t *run, view_t *view)
{
  view->begun_ms = run->now_ms;
  view->limit = run->policy == PACE_POLICY_NO_LIMIT ? 0
                : run->policy == PACE_POLICY_PROBE  ? 1
                                                    : 2;
  if (run->policy == PACE_POLICY_PRODUCT)
    upstream_pace_begin (&view->pace, PACE_RETURNED, run->now_ms);
}

static bool
has_limit (const run_t *run, const view_t *view)
{
  return run->policy == PACE_POLICY_PRODUCT ? view->pace.reason != PACE_NONE
                                            : view->limit > 0;
}

static bool
is_allowed (const run_t *run, const view_t *view, uint32_t open)
{
  double ramp = (double)(run->now_ms - view->begun_ms) / RAMP_MS * SLOTS;

  if (run->policy == PACE_POLICY_PRODUCT)
    return upstream_pace_allows (&view->pace, open);
  if (run->policy == PACE_POLICY_RAMP)
    return view->limit == 0 || open < fmax (ramp, 1) || ramp >= SLOTS;
  return view->limit == 0 || open < floor (view->limit);
}

static void
grow (view_t *view, double limit)
{
  view->limit = limit >= SLOTS ? 0 : fmax (limit, 1);
}

/** Applies an answer to the view of one decider. */
static void
see_answer (const run_t *run, view_t *view, double factor, uint32_t open)
{
  view->failures = 0;
  view->eject_ms = 0;
  if (run->policy == PACE_POLICY_PRODUCT)
    upstream_pace_on_answer (&view->pace, factor, open, SLOTS, run->now_ms);
  if (view->limit == 0)
    return;
  if (run->policy == PACE_POLICY_PROBE)
    view->limit = 0;
  else if (run->policy == PACE_POLICY_AIMD && factor > 2)
    grow (view, view->limit / 2);
  else if (run->policy == PACE_POLICY_AIMD)
    grow (view, view->limit + 1 / view->limit);
  else if (run->policy == PACE_POLICY_GRADIENT)
    grow (view, view->limit
                    + GRADIENT_WEIGHT
                          * (view->limit * CLAMP (1.5 / factor, 0.5, 1)
                             + sqrt (view->limit) - view->limit));
}

/** Applies a failure or a refusal to the view of one decider. */
static void
see_failure (const run_t *run, view_t *view, bool is_refusal)
{
  if (run->policy == PACE_POLICY_PRODUCT)
    upstream_pace_on_failure (&view->pace, run->now_ms);
  else if (view->limit > 0 && run->policy != PACE_POLICY_RAMP)
    grow (view, view->limit / 2);
  if (is_refusal)
    view->full_until_ms = run->now_ms + FULL_PAUSE_MS;
  if (is_refusal || view->ejected_until_ms > run->now_ms
      || ++view->failures < 2)
    return;
  view->eject_ms = view->eject_ms == 0 ? FIRST_EJECT_MS
                                       : MIN (view->eject_ms * 2, MAX_EJECT_MS);
  view->ejected_until_ms = run->now_ms + view->eject_ms;
  view->was_out = true;
}

/** Whether a decider learns what another one sees: placers tell each other. */
static bool
learns (const run_t *run, uint32_t decider, uint32_t from)
{
  return decider == from || run->kind != PACE_CASE_TOGETHER;
}

static void
end_attempt (run_t *run, request_t *request)
{
  run->open[request->upstream]--;
  view_of (run, request->decider, request->upstream)->own_open--;
}

static void
record_end (run_t *run, request_t *request, bool is_done)
{
  uint64_t took_ms = run->now_ms - request->arrived_ms;
  bool is_late = request->is_late || took_ms > TARGET_MS;
  uint64_t back_ms = return_ms (run, request->upstream);

  if (request->tries > 0 && back_ms <= request->sent_ms
      && request->sent_ms < back_ms + RECENT_MS)
    {
      run->result.returned++;
      run->result.returned_bad += !is_done || is_late;
    }
  if (!is_done)
    run->result.failed++;
  else if (is_late)
    run->result.late++;
  else
    run->result.in_time++;
  g_free (request);
}

static void
fail_attempt (run_t *run, request_t *request, bool is_refusal)
{
  run->result.errors++;
  for (uint32_t i = 0; i < run->deciders; i++)
    if (learns (run, i, request->decider))
      see_failure (run, view_of (run, i, request->upstream), is_refusal);
  if (request->tries >= MAX_TRIES)
    record_end (run, request, false);
  else
    g_ptr_array_add (run->waiting, request);
}

/** Chooses the least loaded upstream, or -1. */
static int
choose (const run_t *run, uint32_t decider, bool is_any)
{
  uint32_t first = (uint32_t)g_rand_int_range (run->random, 0, UPSTREAMS);
  uint32_t usable = 0;
  uint32_t limited = 0;
  uint32_t least = SLOTS;
  int best = -1;

  for (uint32_t i = 0; i < UPSTREAMS; i++)
    {
      uint32_t upstream = (first + i) % UPSTREAMS;
      const view_t *view = view_of (run, decider, upstream);
      uint32_t open = seen_open (run, decider, upstream);

      if (is_away (run, upstream) || view->ejected_until_ms > run->now_ms)
        continue;
      usable++;
      limited += has_limit (run, view);
      if (view->full_until_ms > run->now_ms)
        continue;
      if (open >= least || !(is_any || is_allowed (run, view, open)))
        continue;
      least = open;
      best = (int)upstream;
    }
  if (best < 0 && !is_any && limited * 2 >= usable)
    return choose (run, decider, true);
  return best;
}

/** Sends a request; returns false if it waits on. */
static bool
try_to_send (run_t *run, request_t *request)
{
  int upstream;

  if (run->now_ms > request->arrived_ms + DEADLINE_MS)
    {
      record_end (run, request, false);
      return true;
    }
  upstream = choose (run, request->decider, false);
  if (upstream < 0)
    return false;
  request->upstream = (uint32_t)upstream;
  request->tries++;
  request->sent_ms = run->now_ms;
  request->done_ms = 0;
  request->has_first = false;
  request->open_before = seen_open (run, request->decider, request->upstream);
  if (run->open[upstream] >= SLOTS)
    {
      fail_attempt (run, request, true);
      return true;
    }
  run->open[upstream]++;
  view_of (run, request->decider, request->upstream)->own_open++;
  g_ptr_array_add (run->sent, request);
  return true;
}

static void
answer_first (run_t *run, request_t *request)
{
  double factor = (double)(run->now_ms - request->sent_ms) / FIRST_WORK_MS;

  request->has_first = true;
  if (run->now_ms > request->arrived_ms + FIRST_TARGET_MS)
    request->is_late = true;
  for (uint32_t i = 0; i < run->deciders; i++)
    if (learns (run, i, request->decider))
      see_answer (run, view_of (run, i, request->upstream), factor,
                  request->open_before);
}

/** Works on the requests at upstreams for one step. */
static void
work (run_t *run)
{
  GPtrArray *sent = run->sent;

  run->sent = g_ptr_array_new ();
  for (guint i = 0; i < sent->len; i++)
    {
      request_t *request = g_ptr_array_index (sent, i);
      double at_full_speed = capacity (run, request->upstream);
      double open = run->open[request->upstream];
      double share = fmin (at_full_speed / open, 1);

      if (at_full_speed == 0 && run->now_ms > request->sent_ms + ERROR_MS)
        {
          end_attempt (run, request);
          fail_attempt (run, request, false);
          continue;
        }
      request->done_ms += STEP_MS * share;
      if (request->upstream == 0)
        run->work_done += STEP_MS * share;
      if (!request->has_first && request->done_ms >= FIRST_WORK_MS)
        answer_first (run, request);
      if (request->done_ms < WORK_MS)
        {
          g_ptr_array_add (run->sent, request);
          continue;
        }
      end_attempt (run, request);
      record_end (run, request, true);
    }
  g_ptr_array_free (sent, TRUE);
}

static void
arrive (run_t *run, double *due)
{
  double load = run->kind == PACE_CASE_TOGETHER ? TOGETHER_LOAD : LOAD;

  *due += load * UPSTREAMS * SLOTS / WORK_MS * STEP_MS
          * g_rand_double_range (run->random, 0, 2);
  for (; *due >= 1; *due -= 1)
    {
      request_t *request = g_new0 (request_t, 1);

      request->arrived_ms = run->now_ms;
      request->decider
          = (uint32_t)g_rand_int_range (run->random, 0, (gint)run->deciders);
      run->result.requests++;
      g_ptr_array_add (run->waiting, request);
    }
}

/** Starts limits at upstreams that return, and ends them by time. */
static void
update_views (run_t *run)
{
  for (uint32_t i = 0; i < run->deciders; i++)
    for (uint32_t j = 0; j < UPSTREAMS; j++)
      {
        view_t *view = view_of (run, i, j);
        bool is_out = is_away (run, j) || view->ejected_until_ms > run->now_ms;

        if ((view->was_out && !is_out)
            || (run->kind == PACE_CASE_TOGETHER && run->now_ms == 0))
          begin_limit (run, view);
        view->was_out = is_out;
        if (run->policy == PACE_POLICY_RAMP
            && run->now_ms > view->begun_ms + RAMP_MS)
          view->limit = 0;
        if (run->now_ms % 200 == 0)
          upstream_pace_tick (&view->pace, SLOTS, run->now_ms);
      }
}

static void
send_waiting (run_t *run)
{
  GPtrArray *waiting = run->waiting;

  run->waiting = g_ptr_array_new ();
  for (guint i = 0; i < waiting->len; i++)
    {
      request_t *request = g_ptr_array_index (waiting, i);

      if (!try_to_send (run, request))
        g_ptr_array_add (run->waiting, request);
    }
  g_ptr_array_free (waiting, TRUE);
}

static void
measure (run_t *run)
{
  double others = 0;

  for (uint32_t i = 1; i < UPSTREAMS; i++)
    others += run->open[i];
  for (uint32_t i = 0; i < UPSTREAMS; i++)
    {
      double now = capacity (run, i);

      if (now > 0 && return_ms (run, i) <= run->now_ms)
        run->result.most_over
            = fmax (run->result.most_over, run->open[i] / now);
    }
  if (run->kind == PACE_CASE_ROLLING || run->kind == PACE_CASE_TOGETHER)
    return;
  run->work_possible
      += STEP_MS * fmin (capacity (run, 0), others / (UPSTREAMS - 1));
}

/** Keeps the numbers of open requests, which others learn later. */
static void
remember_open (run_t *run)
{
  for (uint32_t i = LAG_STEPS; i > 0; i--)
    memcpy (run->past[i], run->past[i - 1], sizeof run->past[i]);
  memcpy (run->past[0], run->open, sizeof run->open);
  for (uint32_t i = 0; i < run->deciders * UPSTREAMS; i++)
    {
      view_t *view = &run->views[i];

      for (uint32_t j = LAG_STEPS; j > 0; j--)
        view->past_own[j] = view->past_own[j - 1];
      view->past_own[0] = view->own_open;
    }
}

pace_result_t
pace_play (pace_case_t kind, pace_policy_t policy, uint32_t seed)
{
  run_t run = { .kind = kind,
                .policy = policy,
                .random = g_rand_new_with_seed (seed),
                .deciders = kind == PACE_CASE_TOGETHER ? ALONE : PLACERS,
                .sent = g_ptr_array_new (),
                .waiting = g_ptr_array_new () };
  double due = 0;

  run.views = g_new0 (view_t, run.deciders * UPSTREAMS);
  for (; run.now_ms < LENGTH_MS; run.now_ms += STEP_MS)
    {
      update_views (&run);
      arrive (&run, &due);
      send_waiting (&run);
      work (&run);
      measure (&run);
      remember_open (&run);
    }
  run.result.requests -= run.sent->len + run.waiting->len;
  run.result.used
      = run.work_possible > 0 ? run.work_done / run.work_possible : 0;
  g_ptr_array_set_free_func (run.sent, g_free);
  g_ptr_array_set_free_func (run.waiting, g_free);
  g_ptr_array_free (run.sent, TRUE);
  g_ptr_array_free (run.waiting, TRUE);
  g_free (run.views);
  g_rand_free (run.random);
  return run.result;
}
