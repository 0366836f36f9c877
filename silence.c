#include "silence.h"

void
silence_restart (silence_t *silence, uint64_t now_ms)
{
  silence->since_ms = now_ms;
  /* Data that was received before a pause may be heard during it. */
  if (silence_is_paused (silence))
    silence->paused_ms = now_ms;
}

void
silence_pause (silence_t *silence, uint64_t now_ms)
{
  if (!silence_is_paused (silence))
    silence->paused_ms = now_ms;
}

void
silence_resume (silence_t *silence, uint64_t now_ms)
{
  if (!silence_is_paused (silence))
    return;
  silence->since_ms += now_ms - silence->paused_ms;
  silence->paused_ms = 0;
}

bool
silence_is_paused (const silence_t *silence)
{
  return silence->paused_ms > 0;
}

uint64_t
silence_ms (const silence_t *silence,
            const pause_detector_t *process_pause,
            uint64_t now_ms)
{
  uint64_t since_ms
      = pause_detector_silent_since_ms (process_pause, silence->since_ms);
  uint64_t until_ms = silence_is_paused (silence) ? silence->paused_ms : now_ms;

  return until_ms > since_ms ? until_ms - since_ms : 0;
}
