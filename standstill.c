#include "standstill.h"

#include <sys/param.h>

#define LOG_PART "standstill"
#include "logging.h"

/** A loop that is only busy is late by far less. */
#define STOOD_STILL_MS 500

uint64_t
standstill_beat (standstill_t *still, uint32_t every_ms, uint64_t now_ms)
{
  uint64_t passed_ms = still->last_ms > 0 ? now_ms - still->last_ms : 0;

  still->last_ms = now_ms;
  if (passed_ms < every_ms + STOOD_STILL_MS)
    return 0;
  still->woke_ms = now_ms;
  log_warn ("This process stood still. for_ms=%ju", (uintmax_t)passed_ms);
  return passed_ms;
}

uint64_t
standstill_silent_since_ms (const standstill_t *still, uint64_t heard_ms)
{
  return MAX (heard_ms, still->woke_ms);
}

bool
standstill_has_just_woken (const standstill_t *still,
                           uint32_t within_ms,
                           uint64_t now_ms)
{
  return still->woke_ms > 0 && still->woke_ms + within_ms > now_ms;
}
