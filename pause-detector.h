/**
 * @file pause-detector.h
 * Detects pauses of this process, when its machine was suspended or gave it no
 * CPU time. Code that judges peers by missed messages must count the time only
 * from the end of such a pause, because messages sent during the pause are
 * still unread. No I/O; time is an argument.
 */
#ifndef PAUSE_DETECTOR_H
#define PAUSE_DETECTOR_H

#include <stdint.h>

/** State of the detector. Zero is the initial state. */
typedef struct
{
  uint64_t last_ms;    /**< when the process was last known to run */
  uint64_t resumed_ms; /**< end of the last pause, or 0 */
} pause_detector_t;

/**
 * Records that the process runs. It must be called every @a every_ms, and
 * before each judgement of a peer.
 * @return the length in ms of the pause that ends now, or 0
 */
uint64_t pause_detector_update (pause_detector_t *detector,
                                uint32_t every_ms,
                                uint64_t now_ms);

/**
 * Returns the time from which a peer last heard of at @a heard_ms counts as
 * silent: @a heard_ms, or the end of the last pause if that is later.
 */
uint64_t pause_detector_silent_since_ms (const pause_detector_t *detector,
                                         uint64_t heard_ms);

#endif
