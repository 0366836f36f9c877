/**
 * @file status-line.h
 * Counts the digits of the status in the first line of an HTTP response, whose
 * bytes come in pieces. Parsers tell a status as a number, which does not show
 * whether it was written in three digits (RFC 9112, section 4).
 */
#ifndef STATUS_LINE_H
#define STATUS_LINE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** Which part of the line comes next. */
typedef enum
{
  STATUS_LINE_VERSION,
  STATUS_LINE_DIGITS,
  STATUS_LINE_REST,
} status_line_part_t;

/** Zeroed at the beginning of a response. */
typedef struct
{
  status_line_part_t part;
  uint32_t digit_count;
  uint32_t code; /**< the digits as a number; wraps if they are too many */
  bool has_other_sign; /**< the status is not of digits alone */
} status_line_t;

/** Reads the next bytes of a response; those after the status are ignored. */
void
status_line_read (status_line_t *line, const uint8_t *data, size_t size_bytes);

/** Returns whether the status was read and has three digits. */
bool status_line_is_valid (const status_line_t *line);

#endif
