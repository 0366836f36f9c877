#include "status-line.h"

#include <string.h>

#define STATUS_DIGITS 3

/** Reads a byte of the status, which begins after any blanks before it. */
static void
read_status_byte (status_line_t *line, char byte)
{
  if (byte >= '0' && byte <= '9')
    {
      line->digit_count++;
      line->code = line->code * 10 + (uint32_t)(byte - '0');
    }
  else if (byte == '\0' || strchr (" \r\n", byte) == NULL)
    line->has_other_sign = true;
  else if (line->digit_count > 0 || byte != ' ')
    line->part = STATUS_LINE_REST;
}

void
status_line_read (status_line_t *line, const uint8_t *data, size_t size_bytes)
{
  for (size_t i = 0; i < size_bytes && line->part != STATUS_LINE_REST; i++)
    if (line->part == STATUS_LINE_DIGITS)
      read_status_byte (line, (char)data[i]);
    else if (data[i] == ' ')
      line->part = STATUS_LINE_DIGITS;
}

bool
status_line_is_valid (const status_line_t *line)
{
  return line->part == STATUS_LINE_REST && line->digit_count == STATUS_DIGITS
         && !line->has_other_sign;
}
