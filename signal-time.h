/**
 * @file signal-time.h
 * Bounds the time at which a signal was sent from below. A process that did not
 * run for a while, or whose event loop was busy, handles a signal late.
 */
#ifndef SIGNAL_TIME_H
#define SIGNAL_TIME_H

#include <stdint.h>

/** Turns of the loop in which a timer may run between the sending of a signal
 * and its handling: the one that is begun when the process runs again, which
 * does not see the signal yet, and the one that handles it, after the timer. */
#define SIGNAL_TIME_TURNS 2

/** Times of the newest ticks, newest first; all 0 at first. */
typedef struct
{
  uint64_t ticks_ms[SIGNAL_TIME_TURNS + 1];
} signal_time_t;

/** Adds a tick of a timer of the loop that handles signals. */
void signal_time_tick (signal_time_t *times, uint64_t now_ms);

/** Returns a time before which a signal that is handled now cannot have been
 * sent, or 0 if there were too few ticks. */
uint64_t signal_time_earliest_ms (const signal_time_t *times);

/** Returns the time between the two newest ticks, 0 if there are fewer. */
uint64_t signal_time_last_gap_ms (const signal_time_t *times);

#endif
