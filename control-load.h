/**
 * @file control-load.h
 * Logs what a control instance handled lately, when it was busy or held up.
 */
#ifndef CONTROL_LOAD_H
#define CONTROL_LOAD_H

#include <stddef.h>
#include <stdint.h>

/** Totals since the start of the process. */
typedef struct
{
  uint64_t messages_in;
  uint64_t bytes_in;
  uint64_t messages_out;
  uint64_t bytes_out;
  uint64_t watches; /**< requests of watching clients, part of messages_in */
  uint64_t dropped; /**< messages whose queue was full */
} control_load_totals_t;

typedef struct
{
  control_load_totals_t logged; /**< totals at the last line */
  uint64_t logged_ms;
  uint64_t logged_cpu_ms;
  uint64_t ticked_ms;
  uint64_t longest_gap_ms; /**< between two ticks, since the last line */
} control_load_t;

/**
 * Records a tick of the event loop, and writes a line when the loop was held up
 * or many messages passed since the last one. The first call only starts.
 */
void control_load_tick (control_load_t *load,
                        const control_load_totals_t *totals,
                        size_t watchers,
                        uint64_t now_ms);

#endif
