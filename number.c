#include "number.h"

#include <errno.h>
#include <glib.h>
#include <math.h>

/** 2^53: a double holds all whole numbers up to it exactly. */
#define MAX_EXACT_REAL 9007199254740992.0

static double
round_real (double value, number_rounding_t rounding)
{
  switch (rounding)
    {
    case NUMBER_DOWN:
      return floor (value);
    case NUMBER_UP:
      return ceil (value);
    case NUMBER_NEAREST:
      return round (value);
    case NUMBER_EXACT:
      break;
    }
  return value;
}

bool
number_is_valid_real (double value)
{
  return isfinite (value) && value >= 0 && value <= MAX_EXACT_REAL;
}

bool
number_from_real (double value, const number_range_t *range, uint64_t *number)
{
  double whole;

  if (!number_is_valid_real (value))
    return false;
  whole = round_real (value, range->rounding);
  if (whole != floor (whole))
    return false;
  *number = (uint64_t)whole;
  return *number >= range->min && *number <= range->max;
}

/** Reads digits only. Returns false when there is anything else. */
static bool
parse_digits (const char *text, uint64_t *number)
{
  char *end;

  if (!g_ascii_isdigit (*text))
    return false;
  errno = 0;
  *number = g_ascii_strtoull (text, &end, 10);
  return *end == '\0' && errno == 0;
}

bool
number_parse_real (const char *text, double *value)
{
  char *end;

  if (!g_ascii_isdigit (*text) && *text != '.')
    return false;
  /* A prefix such as "0x" starts another notation. */
  if (text[0] == '0' && g_ascii_isalpha (text[1]) && text[1] != 'e')
    return false;
  *value = g_ascii_strtod (text, &end);
  return end != text && *end == '\0' && isfinite (*value);
}

bool
number_parse (const char *text, const number_range_t *range, uint64_t *number)
{
  double value;

  if (parse_digits (text, number))
    return *number >= range->min && *number <= range->max;
  return number_parse_real (text, &value)
         && number_from_real (value, range, number);
}
