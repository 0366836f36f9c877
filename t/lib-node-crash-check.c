#include "lib-node-crash-check.h"

#include <string.h>

int64_t
crash_check_proof_us (const crash_check_t *check, int request)
{
  GArray *crashes = crash_upstreams_crashes (check->upstreams);
  int64_t time_us = 0;
  int count = 0;

  for (guint i = 0; i < crashes->len && time_us == 0; i++)
    {
      const crash_event_t *event = &g_array_index (crashes, crash_event_t, i);

      if (event->request == request && ++count == CRASH_CHECK_PROOF)
        time_us = event->time_us;
    }
  g_array_unref (crashes);
  return time_us;
}

/** Returns whether the entry instance that sent a run had run long enough to
 * know what the others do. */
static bool
is_from_settled_entry (const crash_check_t *check, const crash_event_t *run)
{
  int entry = crash_callers_entry_of (run->id);

  for (int i = 0; i < check->kill_count; i++)
    {
      const crash_kill_t *record = &check->kills[i];
      int64_t settled_us
          = record->ready_us + (int64_t)CRASH_CHECK_LEARN_MS * 1000;

      if (record->entry == entry && run->time_us >= record->killed_us
          && run->time_us < settled_us)
        return false;
    }
  return true;
}

int
crash_check_late_runs (const crash_check_t *check, int request)
{
  GArray *runs = crash_upstreams_runs (check->upstreams);
  int64_t proof_us = crash_check_proof_us (check, request);
  int64_t bound_us = proof_us + (int64_t)CRASH_CHECK_CONTACT_MS * 1000;
  int all = 0;
  int after_bound = 0;
  int late = 0;

  for (guint i = 0; i < runs->len; i++)
    {
      const crash_event_t *run = &g_array_index (runs, crash_event_t, i);
      bool is_after = proof_us > 0 && run->time_us > bound_us;

      if (run->request != request)
        continue;
      all++;
      after_bound += is_after;
      late += is_after && is_from_settled_entry (check, run);
    }
  g_printerr ("# request %d: %d runs, %d after the third crash and %d ms, %d "
              "of them by instances that had run for %d ms (at most %d)\n",
              request, all, after_bound, CRASH_CHECK_CONTACT_MS, late,
              CRASH_CHECK_LEARN_MS, CRASH_CHECK_MAX_LATE);
  g_array_unref (runs);
  return late;
}

/** Returns whether the entry instance of a call was killed meanwhile. */
static bool
is_cut_by_kill (const crash_check_t *check, const crash_call_t *call)
{
  for (int i = 0; i < check->kill_count; i++)
    if (check->kills[i].entry == call->entry
        && check->kills[i].killed_us >= call->begun_us
        && check->kills[i].killed_us <= call->ended_us)
      return true;
  return false;
}

static bool
has_run (const GArray *runs, const char *id)
{
  for (guint i = 0; i < runs->len; i++)
    if (strcmp (g_array_index (runs, crash_event_t, i).id, id) == 0)
      return true;
  return false;
}

crash_tally_t
crash_check_tally (const crash_check_t *check, int series, int64_t from_us)
{
  GArray *calls = crash_callers_calls (check->callers);
  GArray *runs = crash_upstreams_runs (check->upstreams);
  crash_tally_t tally = { 0 };

  for (guint i = 0; i < calls->len; i++)
    {
      const crash_call_t *call = &g_array_index (calls, crash_call_t, i);

      if (call->series != series || call->begun_us < from_us
          || is_cut_by_kill (check, call))
        continue;
      tally.sent++;
      tally.served += call->is_served;
      tally.quarantined += call->is_quarantined;
      tally.false_refusals
          += call->is_quarantined
             && (!call->has_retry_after || has_run (runs, call->id));
    }
  g_array_unref (runs);
  g_array_unref (calls);
  return tally;
}
