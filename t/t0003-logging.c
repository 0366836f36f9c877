/* Checks that a logged line is written to stderr with its part and level, and
 * that a line below the level is not. */
#include <glib.h>
#include <string.h>

#include "base.h"
#define LOG_PART "part"
#include "logging.h"

static void
test_line_reaches_stderr (void)
{
  if (g_test_subprocess ())
    {
      base_init ("t0003");
      logging_init (LOGGING_INFO);
      log_info ("Something happened. count=%d", 3);
      log_debug ("Too small to tell.");
      return;
    }
  g_test_trap_subprocess (NULL, 0, 0);
  g_test_trap_assert_passed ();
  g_test_trap_assert_stderr ("*INFO*part: Something happened. count=3\n*");
  g_test_trap_assert_stderr_unmatched ("*Too small*");
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/logging/line-reaches-stderr", test_line_reaches_stderr);
  return g_test_run ();
}
