/**
 * @file lib-wait.h
 * Waiting for a condition while an event loop runs, for tests. Needs
 * event2/event.h and a variable "base", the loop.
 */
#ifndef LIB_WAIT_H
#define LIB_WAIT_H

#include <glib.h>

#include "base.h"

#define WAIT_TIMEOUT_MS 20000

/** Runs the loop until a condition holds, which is evaluated again at the end.
 */
#define WAIT(condition)                                                        \
  do                                                                           \
    {                                                                          \
      uint64_t end_ms = clock_mono_ms () + WAIT_TIMEOUT_MS;                    \
      while (!(condition) && clock_mono_ms () < end_ms)                        \
        {                                                                      \
          event_base_loop (base, EVLOOP_NONBLOCK);                             \
          g_usleep (500);                                                      \
        }                                                                      \
      g_assert_true (condition);                                               \
    }                                                                          \
  while (0)

#endif
