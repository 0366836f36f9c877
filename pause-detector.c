#include "pause-detector.h"

#include <sys/param.h>

#define LOG_PART "standstill"
#include "logging.h"

/**
 * Delay beyond the interval that counts as a pause. A busy loop is late by far
 * less.
 */
#define MIN_PAUSE_MS 500

uint64_t
pause_detector_update (pause_detector_t *detector,
                       uint32_t every_ms,
                       uint64_t now_ms)
{
  uint64_t elapsed_ms = detector->last_ms > 0 ? now_ms - detector->last_ms : 0;

  detector->last_ms = now_ms;
  if (elapsed_ms < every_ms + MIN_PAUSE_MS)
    return 0;
  detector->resumed_ms = now_ms;
  log_warn ("This process was paused. for_ms=%ju", (uintmax_t)elapsed_ms);
  return elapsed_ms;
}

uint64_t
pause_detector_silent_since_ms (const pause_detector_t *detector,
                                uint64_t heard_ms)
{
  return MAX (heard_ms, detector->resumed_ms);
}
