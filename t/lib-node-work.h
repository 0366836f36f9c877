/**
 * @file lib-node-work.h
 * What the path of a request asks of an upstream of lib-node-upstreams.h, and
 * the bytes that this makes of the answer.
 */
#ifndef LIB_NODE_WORK_H
#define LIB_NODE_WORK_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/** The answer that a path asks for. What is said of the first run does not hold
 * for the later runs of the same request. */
typedef struct
{
  bool is_stream;
  uint32_t delay_ms; /**< before the answer, or between two events */
  uint32_t events;
  uint32_t event_bytes;
  int64_t busy_until_ms;  /**< rejected before this time */
  bool has_no_length;     /**< the answer ends with its connection */
  uint32_t break_after;   /**< the first run breaks off in the event after this
                               number of events, 0 for never */
  uint32_t silence_after; /**< the first run pauses after this number */
  uint32_t silence_ms;
  bool is_alone; /**< all attempts after the first one are rejected */
} node_work_t;

node_work_t node_work_parse (const char *path);

/** Returns whether a request with the path may run more than once. */
bool node_work_is_repeatable (const char *path);

/** Appends one event of a stream. */
void node_work_append_event (GString *text,
                             const node_work_t *work,
                             uint32_t number);

#endif
