/**
 * @file upstream-pace.h
 * Limits the open requests at an upstream that has just started or returned, by
 * the answers that it gives. No I/O; time is an argument.
 *
 * The limit starts small. Until the first sign of overload, each good answer
 * adds one, so that it doubles in the time of an answer, as in TCP's slow
 * start. Later it grows by one in the time of an answer and shrinks by a
 * factor, as in additive-increase multiplicative-decrease. An upstream whose
 * limit reaches its slots, or that has no recent trouble, has none.
 */
#ifndef UPSTREAM_PACE_H
#define UPSTREAM_PACE_H

#include <stdbool.h>
#include <stdint.h>

/** Why an upstream has a limit. */
typedef enum
{
  PACE_NONE, /**< it has none */
  PACE_STARTED,
  PACE_RETURNED, /**< from ejection, silence, or after leaving the service */
  PACE_PAUSED,   /**< it had asked for a pause */
  PACE_COLD,
  PACE_REASON_COUNT,
} pace_reason_t;

/** State of one upstream; all fields are 0 at first. */
typedef struct
{
  pace_reason_t reason;
  double limit;        /**< open requests */
  bool is_probing;     /* no overload was seen yet */
  uint64_t shrunk_ms;  /* when the limit last shrank */
  uint64_t verdict_ms; /* when an answer last showed something */
} upstream_pace_t;

/** Returns the name of a reason in log lines and metrics. */
const char *upstream_pace_reason_name (pace_reason_t reason);

/**
 * Starts with the smallest limit.
 * @return whether there was no limit
 */
bool upstream_pace_begin (upstream_pace_t *pace,
                          pace_reason_t reason,
                          uint64_t now_ms);

/**
 * Records an answer that took @a factor times the predicted time.
 * @param open requests open at the upstream
 * @param slots requests that it takes at the same time
 * @return whether the limit has ended
 */
bool upstream_pace_on_answer (upstream_pace_t *pace,
                              double factor,
                              uint32_t open,
                              uint32_t slots,
                              uint64_t now_ms);

/** Records that the upstream was silent for too long within an answer. */
void upstream_pace_on_late (upstream_pace_t *pace, uint64_t now_ms);

/** Records that the upstream refused or failed a request. */
void upstream_pace_on_failure (upstream_pace_t *pace, uint64_t now_ms);

/**
 * Lets the limit grow if no answers come, as where requests are placed by
 * others. To be called a few times a second.
 * @return whether the limit has ended
 */
bool
upstream_pace_tick (upstream_pace_t *pace, uint32_t slots, uint64_t now_ms);

/** Returns whether another request may be sent when @a open ones are there. */
bool upstream_pace_allows (const upstream_pace_t *pace, uint32_t open);

#endif
