/**
 * @file number.h
 * Numbers of settings and messages that come from outside.
 *
 * A number that is whole by its meaning may arrive with a fraction, because its
 * sender computed it as a share of another one. Each reader states which whole
 * number stands for it.
 */
#ifndef NUMBER_H
#define NUMBER_H

#include <stdbool.h>
#include <stdint.h>

/** Which whole number stands for a number with a fraction. */
typedef enum
{
  NUMBER_EXACT,   /**< none: the number is invalid */
  NUMBER_DOWN,    /**< the next smaller one, as for a limit */
  NUMBER_UP,      /**< the next larger one, as for a need */
  NUMBER_NEAREST, /**< the nearest one, as for a duration in small units */
} number_rounding_t;

/** The valid values of a whole number. */
typedef struct
{
  uint64_t min;
  uint64_t max;
  number_rounding_t rounding;
} number_range_t;

/** Returns whether @a value is from 0 to 2^53, with or without a fraction. */
bool number_is_valid_real (double value);

/**
 * Converts @a value to a whole number.
 * @return false when number_is_valid_real() is, when @a value has a fraction
 * that the range does not accept, or when it is outside the range
 */
bool
number_from_real (double value, const number_range_t *range, uint64_t *number);

/**
 * Parses a text that is one number in decimal notation. Whole numbers are read
 * without loss up to the largest uint64_t.
 * @return false when the text is no number, or for the reasons of
 * number_from_real()
 */
bool
number_parse (const char *text, const number_range_t *range, uint64_t *number);

/**
 * Parses a text that is one real number from 0, in decimal notation.
 * @return false when it is not
 */
bool number_parse_real (const char *text, double *value);

#endif
