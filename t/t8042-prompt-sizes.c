/*
 * Checks on simulated engines that prompts of all sizes are served alike, up to
 * those that need the memory of several engines.
 */
#include <glib.h>

#include "lib-prompt-sizes.h"

/* Guards against refusing the largest prompts, which need the memory of several
 * engines at the same time, although the fleet has the time to read them. */
static void
test_largest_served_in_bursts (void)
{
  prompt_sizes_check_bursts (prompt_sizes_load (), PROMPT_SIZES_MOST);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/prompt-sizes/largest-served-in-bursts",
                   test_largest_served_in_bursts);
  return g_test_run ();
}
