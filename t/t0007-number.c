/* Tests numbers from outside: which fractions are accepted, and as what. */
#include <glib.h>

#include "number.h"

typedef struct
{
  const char *text;
  number_rounding_t rounding;
  bool valid;
  uint64_t number;
} case_t;

static void
check_case (const case_t *expected)
{
  number_range_t range = { 0, 100, expected->rounding };
  uint64_t number = 0;

  g_test_message ("'%s', rounding %d", expected->text, expected->rounding);
  g_assert_cmpint (number_parse (expected->text, &range, &number), ==,
                   expected->valid);
  if (expected->valid)
    g_assert_cmpuint (number, ==, expected->number);
}

static void
test_rounding (void)
{
  static const case_t cases[] = {
    { "34", NUMBER_EXACT, true, 34 },      { "34.0", NUMBER_EXACT, true, 34 },
    { "34.73", NUMBER_EXACT, false, 0 },   { "34.73", NUMBER_DOWN, true, 34 },
    { "34.21", NUMBER_UP, true, 35 },      { "34.5", NUMBER_NEAREST, true, 35 },
    { "34.49", NUMBER_NEAREST, true, 34 }, { "3.4e1", NUMBER_EXACT, true, 34 },
    { "100.2", NUMBER_DOWN, true, 100 },   { "100.2", NUMBER_UP, false, 0 },
    { "0.3", NUMBER_DOWN, true, 0 },       { "101", NUMBER_DOWN, false, 0 },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    check_case (&cases[i]);
}

static void
test_no_number (void)
{
  static const char *const texts[]
      = { "",    " 3",  "3 ",  "-1",    "+1",  "0x10", "1,5",
          "inf", "nan", "1e9", "1.2.3", "3ms", "-0.5", "." };

  for (size_t i = 0; i < G_N_ELEMENTS (texts); i++)
    check_case (&(case_t){ texts[i], NUMBER_NEAREST, false, 0 });
}

/** Numbers that a double cannot hold are read from their digits. */
static void
test_large_numbers (void)
{
  number_range_t range = { 0, UINT64_MAX, NUMBER_DOWN };
  uint64_t number = 0;

  g_assert_true (number_parse ("18446744073709551615", &range, &number));
  g_assert_cmpuint (number, ==, UINT64_MAX);
  g_assert_true (number_parse ("9007199254740993", &range, &number));
  g_assert_cmpuint (number, ==, 9007199254740993u);
  g_assert_false (number_parse ("18446744073709551616", &range, &number));
  g_assert_false (number_from_real (1e17, &range, &number));
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/number/rounding", test_rounding);
  g_test_add_func ("/number/no-number", test_no_number);
  g_test_add_func ("/number/large", test_large_numbers);
  return g_test_run ();
}
