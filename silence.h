/**
 * @file silence.h
 * Measures for how long a peer has been silent: the time since it was last
 * heard of in which this process read from it. The silence does not grow while
 * reading is paused, as when the peer's data goes to a slow caller, and starts
 * again from zero after a pause of this process (pause-detector.h), as data
 * sent during that is still unread. No I/O; time is an argument.
 */
#ifndef SILENCE_H
#define SILENCE_H

#include <stdbool.h>
#include <stdint.h>

#include "pause-detector.h"

/** The silence of one peer. */
typedef struct
{
  uint64_t since_ms;  /**< when the peer was last heard of, later by the time
                           in which reading was paused since */
  uint64_t paused_ms; /**< when reading was paused, 0 while the peer is read */
} silence_t;

/** Records that the peer was heard of, or that the wait for it begins. */
void silence_restart (silence_t *silence, uint64_t now_ms);

/** Records that reading from the peer is paused, if it is not already. */
void silence_pause (silence_t *silence, uint64_t now_ms);

/** Records that reading from the peer resumes, if it was paused. */
void silence_resume (silence_t *silence, uint64_t now_ms);

/** Returns whether reading from the peer is paused. */
bool silence_is_paused (const silence_t *silence);

/** Returns the time for which the peer has been silent. */
uint64_t silence_ms (const silence_t *silence,
                     const pause_detector_t *process_pause,
                     uint64_t now_ms);

#endif
