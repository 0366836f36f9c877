/* Checks what the callers of an entry instance got beside its stop. */
#include <inttypes.h>

#include "lib-node-callers-internal.h"
#include "lib-node-work.h"

/** Longest time from the last byte of a request to the end of its connection
 * for which the instance may not have read it. */
#define UNREAD_SLACK_MS 200
/** Faults that are printed one by one. */
#define MAX_PRINTED 40
/** Requests that are sent later after SIGTERM are never exempt. */
#define EXEMPT_SENT_MS 3000
/** The instance's clock counts whole milliseconds, so that a deadline comes up
 * to one early. */
#define CLOCK_STEP_MS 1
/** Time after the stop timeout in which an end still belongs to the stop. */
#define STOP_SLACK_MS 1000

static bool
promises_not_run (int status)
{
  return status == 408 || status == 421 || status == 429 || status == 503;
}

static bool
is_expired (const caller_record_t *record)
{
  return record->ended_us - record->begun_us
         >= (int64_t)(record->deadline_ms - CLOCK_STEP_MS) * 1000;
}

/**
 * Returns whether a request without a whole answer is exempt. The rule: of the
 * requests that a process has read whole, none may lose its connection without
 * a complete answer, if it was passed on to an upstream or its last byte was
 * sent more than 200 ms before. "Not counted: the upstream broke off, the
 * deadline or the route's timeout was reached, or the upstream was still at
 * work in the last sixth of the stop timeout on a request that was sent no
 * later than 3 s after the SIGTERM." The deadline is for is_expired().
 */
static bool
is_exempt (const caller_record_t *record,
           const node_run_t *run,
           const node_stop_t *stop)
{
  int64_t last_sixth_us
      = stop->sigterm_us + (int64_t)stop->timeout_ms * 1000 * 5 / 6;

  return run->runs > 0 && stop->sigterm_us > 0
         && record->sent_us <= stop->sigterm_us + (int64_t)EXEMPT_SENT_MS * 1000
         && (run->ended_us == 0 || run->ended_us >= last_sixth_us);
}

/** Returns whether a request that did not run may have been unread when its
 * connection ended. */
static bool
may_be_unread (const caller_record_t *record, const node_stop_t *stop)
{
  int64_t slack_us = (int64_t)(UNREAD_SLACK_MS + stop->frozen_ms) * 1000;

  return record->is_after_end || record->ended_us - record->sent_us <= slack_us;
}

/** Returns what is wrong with a request's handling, NULL for nothing. */
static const char *
find_fault (const caller_record_t *record, const node_run_t *run)
{
  bool is_repeatable = node_work_is_repeatable (record->path);

  if (run->runs > 0 && record->sent_us == 0)
    return "ran before it was sent whole";
  if (run->has_wrong_body)
    return "ran with another body";
  if (run->runs > 1 && !is_repeatable)
    return "ran more than once";
  if (record->is_whole && !record->is_right)
    return "has another answer than its upstream's";
  if (record->is_whole && promises_not_run (record->status) && run->runs > 0)
    return "was called not run, and ran";
  return NULL;
}

/** Returns why a request counts as lost, NULL if it does not. */
static const char *
find_loss (const caller_record_t *record,
           const node_run_t *run,
           const node_stop_t *stop)
{
  if (record->is_whole || record->sent_us == 0)
    return NULL;
  if (run->runs > 0)
    return "ran, and has no whole answer";
  return may_be_unread (record, stop) ? NULL : "was read, and has no answer";
}

static void
count_outcome (const caller_record_t *record,
               const node_run_t *run,
               node_outcome_t *outcome)
{
  outcome->requests++;
  outcome->ran += run->runs > 0;
  if (record->is_whole)
    {
      outcome->whole++;
      if (promises_not_run (record->status))
        outcome->refused++;
      else if (record->status != 200)
        outcome->failed++;
    }
  else if (record->sent_us == 0)
    outcome->partial++;
  else if (run->runs == 0 && record->is_after_end)
    outcome->after_end++;
  else if (run->runs == 0)
    outcome->unread++;
}

static int64_t
after_sigterm_ms (int64_t time_us, const node_stop_t *stop)
{
  return time_us > 0 && stop->sigterm_us > 0
             ? (time_us - stop->sigterm_us) / 1000
             : 0;
}

static void
print_fault (const caller_record_t *record,
             const node_run_t *run,
             const node_stop_t *stop,
             const char *fault)
{
  g_printerr ("request %s of caller kind %d at entry instance %d %s: %s; "
              "status=%d got_bytes=%zu deadline_ms=%u lasted_ms=%" PRId64
              " runs=%u written_by_upstream=%d; ms after SIGTERM: sent %" PRId64
              ", run ended %" PRId64 ", connection ended %" PRId64 "\n",
              record->id, (int)record->caller, record->entry, fault,
              record->path, record->status, record->got_bytes,
              record->deadline_ms, (record->ended_us - record->begun_us) / 1000,
              run->runs, run->has_been_sent,
              after_sigterm_ms (record->sent_us, stop),
              after_sigterm_ms (run->ended_us, stop),
              after_sigterm_ms (record->ended_us, stop));
}

static void
check_request (const caller_record_t *record,
               const node_run_t *run,
               const node_stop_t *stop,
               node_outcome_t *outcome)
{
  const char *fault = find_fault (record, run);
  const char *loss = find_loss (record, run, stop);

  count_outcome (record, run, outcome);
  if (fault == NULL && loss != NULL && is_expired (record))
    {
      outcome->expired++;
      return;
    }
  if (fault == NULL && loss != NULL && is_exempt (record, run, stop))
    {
      outcome->exempted++;
      return;
    }
  if (fault == NULL)
    fault = loss;
  if (fault != NULL && outcome->faults++ < MAX_PRINTED)
    print_fault (record, run, stop, fault);
}

static bool
covers (const node_stop_t *stop, const caller_record_t *record)
{
  int64_t end_us
      = stop->sigterm_us + (int64_t)(stop->timeout_ms + STOP_SLACK_MS) * 1000;

  return stop->entry == record->entry && stop->sigterm_us <= record->ended_us
         && record->ended_us <= end_us;
}

/** Returns the newest stop in which a request ended, or one without a time. */
static node_stop_t
find_stop (const caller_record_t *record,
           const node_stop_t *stops,
           size_t count)
{
  node_stop_t found = { 0 };

  for (size_t i = 0; i < count; i++)
    if (covers (&stops[i], record) && stops[i].sigterm_us > found.sigterm_us)
      found = stops[i];
  return found;
}

node_outcome_t
node_callers_check (const node_callers_t *all,
                    node_upstreams_t *upstreams,
                    const node_stop_t *stop)
{
  return node_callers_check_stops (all, upstreams, stop, 1);
}

node_outcome_t
node_callers_check_stops (const node_callers_t *all,
                          node_upstreams_t *upstreams,
                          const node_stop_t *stops,
                          size_t count)
{
  node_outcome_t outcome = { 0 };

  for (guint i = 0; i < all->records->len; i++)
    {
      const caller_record_t *record = g_ptr_array_index (all->records, i);
      node_run_t run = node_upstreams_find_run (upstreams, record->id);
      node_stop_t stop = find_stop (record, stops, count);

      check_request (record, &run, &stop, &outcome);
    }
  g_test_message (
      "requests=%u ran=%u whole=%u refused=%u failed=%u unread=%u after_end=%u "
      "partial=%u expired=%u exempted=%u faults=%u",
      outcome.requests, outcome.ran, outcome.whole, outcome.refused,
      outcome.failed, outcome.unread, outcome.after_end, outcome.partial,
      outcome.expired, outcome.exempted, outcome.faults);
  return outcome;
}
