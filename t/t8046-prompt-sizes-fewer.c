/*
 * Checks on simulated engines that prompts of all sizes are served alike on a
 * day on which many engines have left.
 */
#include <glib.h>

#include "lib-prompt-sizes.h"

/* Guards against limits that a waiting prompt never meets while the fleet is
 * busy, however long it waits. */
static void
test_largest_served_by_fewer (void)
{
  prompt_sizes_check_bursts (prompt_sizes_load (), PROMPT_SIZES_FEWER);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/prompt-sizes/largest-served-by-fewer",
                   test_largest_served_by_fewer);
  return g_test_run ();
}
