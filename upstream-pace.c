#include "upstream-pace.h"

#include <glib.h>
#include <math.h>

#define FIRST_LIMIT 1.0
#define MIN_LIMIT   1.0
/** An answer within GOOD_FACTOR of the predicted time lets the limit grow, one
 * above LATE_FACTOR shrinks it. */
#define GOOD_FACTOR 1.3
#define LATE_FACTOR 1.8
#define LATE_SHRINK 0.7
#define FAIL_SHRINK 0.5
/** Requests that were sent before the limit shrank come back for this time and
 * do not shrink it again. */
#define SHRINK_INTERVAL_MS 250
/** Time without answers after which the limit doubles. */
#define UNUSED_MS 2000
/** Ceiling while the number of slots is not known. */
#define DEFAULT_SLOTS 16

const char *
upstream_pace_reason_name (pace_reason_t reason)
{
  static const char *const names[PACE_REASON_COUNT]
      = { [PACE_NONE] = "none",
          [PACE_STARTED] = "started",
          [PACE_RETURNED] = "returned",
          [PACE_PAUSED] = "paused",
          [PACE_COLD] = "cold" };

  return names[reason];
}

bool
upstream_pace_begin (upstream_pace_t *pace,
                     pace_reason_t reason,
                     uint64_t now_ms)
{
  bool had_none = pace->reason == PACE_NONE;

  *pace = (upstream_pace_t){ .reason = reason,
                             .limit = FIRST_LIMIT,
                             .is_probing = true,
                             .verdict_ms = now_ms };
  return had_none;
}

/** Ends the limit when it has reached the slots. */
static bool
end_if_reached (upstream_pace_t *pace, uint32_t slots)
{
  if (pace->limit < (slots > 0 ? slots : DEFAULT_SLOTS))
    return false;
  *pace = (upstream_pace_t){ 0 };
  return true;
}

static void
shrink (upstream_pace_t *pace, double factor, uint64_t now_ms)
{
  pace->is_probing = false;
  if (pace->shrunk_ms > 0 && now_ms < pace->shrunk_ms + SHRINK_INTERVAL_MS)
    return;
  pace->shrunk_ms = now_ms;
  pace->limit = fmax (pace->limit * factor, MIN_LIMIT);
}

bool
upstream_pace_on_answer (upstream_pace_t *pace,
                         double factor,
                         uint32_t open,
                         uint32_t slots,
                         uint64_t now_ms)
{
  if (pace->reason == PACE_NONE)
    return false;
  pace->verdict_ms = now_ms;
  if (factor > LATE_FACTOR)
    shrink (pace, LATE_SHRINK, now_ms);
  else if (factor <= GOOD_FACTOR && open + 1 >= pace->limit / 2)
    pace->limit += pace->is_probing ? 1 : 1 / pace->limit;
  return end_if_reached (pace, slots);
}

void
upstream_pace_on_late (upstream_pace_t *pace, uint64_t now_ms)
{
  if (pace->reason == PACE_NONE)
    return;
  pace->verdict_ms = now_ms;
  shrink (pace, LATE_SHRINK, now_ms);
}

void
upstream_pace_on_failure (upstream_pace_t *pace, uint64_t now_ms)
{
  if (pace->reason == PACE_NONE)
    return;
  pace->verdict_ms = now_ms;
  shrink (pace, FAIL_SHRINK, now_ms);
}

bool
upstream_pace_tick (upstream_pace_t *pace, uint32_t slots, uint64_t now_ms)
{
  if (pace->reason == PACE_NONE || now_ms < pace->verdict_ms + UNUSED_MS)
    return false;
  pace->verdict_ms = now_ms;
  pace->limit *= 2;
  return end_if_reached (pace, slots);
}

bool
upstream_pace_allows (const upstream_pace_t *pace, uint32_t open)
{
  return pace->reason == PACE_NONE || open < floor (pace->limit);
}
