#include "signal-time.h"

#include <string.h>

void
signal_time_tick (signal_time_t *times, uint64_t now_ms)
{
  memmove (&times->ticks_ms[1], &times->ticks_ms[0],
           SIGNAL_TIME_TURNS * sizeof times->ticks_ms[0]);
  times->ticks_ms[0] = now_ms;
}

uint64_t
signal_time_earliest_ms (const signal_time_t *times)
{
  return times->ticks_ms[SIGNAL_TIME_TURNS];
}

uint64_t
signal_time_last_gap_ms (const signal_time_t *times)
{
  return times->ticks_ms[1] > 0 ? times->ticks_ms[0] - times->ticks_ms[1] : 0;
}
