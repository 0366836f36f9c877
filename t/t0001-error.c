/* Checks that the error table has a row for every kind, and that each name
 * maps back to its kind. */
#include <glib.h>

#include "error.h"

static void
test_every_kind_has_its_row (void)
{
  for (int kind = 0; kind < ERROR_KIND_COUNT; kind++)
    {
      const error_answer_t *answer = error_answer ((error_kind_t)kind);

      g_assert_cmpint (answer->kind, ==, kind);
      g_assert_nonnull (answer->name);
      g_assert_cmpint (error_from_name (answer->name), ==, kind);
    }
}

static void
test_out_of_range_is_internal (void)
{
  g_assert_cmpint (error_answer (ERROR_KIND_COUNT)->kind, ==, ERROR_INTERNAL);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/error/every-kind-has-its-row",
                   test_every_kind_has_its_row);
  g_test_add_func ("/error/out-of-range-is-internal",
                   test_out_of_range_is_internal);
  return g_test_run ();
}
