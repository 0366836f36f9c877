/**
 * @file standstill.h
 * Whether this process itself stood still: its machine was frozen, or gave it
 * no time. Whoever judges others by their silence counts that only from the
 * moment it woke, as what they sent meanwhile is not read yet. No I/O; time is
 * an argument.
 */
#ifndef STANDSTILL_H
#define STANDSTILL_H

#include <stdbool.h>
#include <stdint.h>

/** Set to zero at first. */
typedef struct
{
  uint64_t last_ms; /**< when it was last known to run */
  uint64_t woke_ms; /**< when it last went on after a standstill, or 0 */
} standstill_t;

/**
 * To be called every @a every_ms, and before each judgement.
 * @return milliseconds that it has stood still until now, 0 mostly
 */
uint64_t
standstill_beat (standstill_t *still, uint32_t every_ms, uint64_t now_ms);

/** Since when one that was last heard of at @a heard_ms counts as silent. */
uint64_t standstill_silent_since_ms (const standstill_t *still,
                                     uint64_t heard_ms);

/** Whether it woke less than @a within_ms ago. */
bool standstill_has_just_woken (const standstill_t *still,
                                uint32_t within_ms,
                                uint64_t now_ms);

#endif
