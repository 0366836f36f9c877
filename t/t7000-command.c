/* Tests the operator's command: exit codes, stable output lines, and reports of
 * mistakes. */
#include <glib.h>
#include <string.h>

#include "base.h"
#include "lib-cluster.h"

static int
run_check (cluster_t *cluster, const char *folder, char **output)
{
  return cluster_run (cluster, output, "lacewingmast", "check", folder, NULL);
}

static void
test_check_examples (void)
{
  cluster_t *cluster = cluster_new ();
  char *output;

  g_assert_cmpint (run_check (cluster, "examples/trust", &output), ==,
                   EXIT_CODE_OK);
  g_assert_nonnull (strstr (
      output, "\nservice manual-assist kind=engine model=repair version=v1 "));
  g_free (output);
  g_assert_cmpint (run_check (cluster, "examples/registry", &output), ==,
                   EXIT_CODE_OK);
  g_assert_nonnull (
      strstr (output, "\ncustomer committee weight=2 priority=2 "));
  g_free (output);
  cluster_free (cluster);
}

static void
test_check_bad_folder (void)
{
  cluster_t *cluster = cluster_new ();
  const char *folder = cluster_subfolder (cluster, "conf");
  char *output;

  cluster_write (cluster, "conf/a.yaml", "zones: 3\ncolour: red\n");
  g_assert_cmpint (run_check (cluster, folder, &output), ==, EXIT_CODE_USAGE);
  g_assert_cmpstr (output, ==,
                   "a.yaml:1: zones: expected a list, got '3'\n"
                   "a.yaml:2: colour: unknown key of Config\n");
  g_free (output);
  cluster_free (cluster);
}

static void
test_wrong_usage (void)
{
  cluster_t *cluster = cluster_new ();
  char *output;

  g_assert_cmpint (cluster_run (cluster, &output, "lacewingmast", "chek", NULL),
                   ==, EXIT_CODE_USAGE);
  g_assert_nonnull (strstr (output, "lacewingmast: no such command 'chek'\n"));
  g_free (output);
  g_assert_cmpint (
      cluster_run (cluster, &output, "lacewingmast", "check", NULL), ==,
      EXIT_CODE_USAGE);
  g_assert_nonnull (strstr (output, "expected FOLDER, got 0 arguments"));
  g_free (output);
  cluster_free (cluster);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/command/check-examples", test_check_examples);
  g_test_add_func ("/command/check-bad-folder", test_check_bad_folder);
  g_test_add_func ("/command/wrong-usage", test_wrong_usage);
  return g_test_run ();
}
