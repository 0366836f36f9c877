/*
 * Checks on simulated engines that the largest prompts are served when a burst
 * of long prompts follows a wave of short ones.
 */
#include <glib.h>

#include "lib-prompt-sizes.h"

/* Guards against short requests that are left all over the fleet when their
 * wave has passed and a burst of long prompts begins: no engines are free at
 * the same moment for a prompt that needs several. */
static void
test_largest_served_after_wave (void)
{
  prompt_sizes_check_bursts (prompt_sizes_load_of_zones (), PROMPT_SIZES_MOST);
}

/* The same on a day on which more engines have left. */
static void
test_largest_served_after_wave_by_fewer (void)
{
  prompt_sizes_check_bursts (prompt_sizes_load_of_zones (), PROMPT_SIZES_FEWER);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/prompt-waves/largest-served-after-wave",
                   test_largest_served_after_wave);
  g_test_add_func ("/prompt-waves/largest-served-by-fewer",
                   test_largest_served_after_wave_by_fewer);
  return g_test_run ();
}
