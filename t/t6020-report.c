/* Tests the data files of a report that is made from two small record files. */
#include <glib.h>
#include <string.h>

#include "lib-cluster.h"

#define HEAD                                                                   \
  "number\tintended_ms\tkind\tprompt_tokens\toutcome\tfirst_token_ms\t"        \
  "end_ms\ttokens\tin_time\n"

static char *
read_file (cluster_t *cluster, const char *name)
{
  char *path = g_build_filename (cluster_folder (cluster), name, NULL);
  char *text = NULL;

  g_assert_true (g_file_get_contents (path, &text, NULL, NULL));
  g_free (path);
  return text;
}

static int
run_report (cluster_t *cluster,
            const char *first,
            const char *second,
            char **output)
{
  return cluster_run (cluster, output, "lacewingmast", "report", "--output",
                      cluster_folder (cluster), first, second, NULL);
}

static void
test_plots_side_by_side (void)
{
  cluster_t *cluster = cluster_new ();
  char *one = g_strdup_printf ("predicted=%s/a.tsv", cluster_folder (cluster));
  char *two = g_strdup_printf ("random=%s/b.tsv", cluster_folder (cluster));
  char *output = NULL;
  char *text;

  cluster_write (cluster, "a.tsv",
                 HEAD "1\t100\tshort\t1000\tok\t10\t500\t20\t1\n"
                      "2\t900\tshort\t1000\tok\t20\t600\t30\t1\n"
                      "3\t950\tlong\t90000\trefused\t0\t60\t0\t0\n");
  cluster_write (cluster, "b.tsv",
                 HEAD "1\t100\tshort\t1000\tok\t40\t500\t20\t0\n");
  g_assert_cmpint (run_report (cluster, one, two, &output), ==, 0);
  text = read_file (cluster, "first-token.dat");
  g_assert_cmpstr (text, ==, "class\tpredicted\trandom\nshort\t20.0\t40.0\n");
  g_free (text);
  text = read_file (cluster, "seconds-0.dat");
  g_assert_cmpstr (text, ==, "0\t1020\t0\n1\t1030\t1\n");
  g_free (text);
  text = read_file (cluster, "report.gp");
  g_assert_nonnull (strstr (text, "'seconds-1.dat' using 1:3"));
  g_free (text);
  g_free (output);
  g_free (one);
  g_free (two);
  cluster_free (cluster);
}

static void
test_bad_file_is_named (void)
{
  cluster_t *cluster = cluster_new ();
  char *one = g_strdup_printf ("a=%s/a.tsv", cluster_folder (cluster));
  char *output = NULL;

  cluster_write (cluster, "a.tsv", HEAD "1\t100\tshort\n");
  g_assert_cmpint (run_report (cluster, one, one, &output), ==, 2);
  g_assert_nonnull (strstr (output, "a.tsv:2: expected a line of records"));
  g_free (output);
  g_free (one);
  cluster_free (cluster);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/report/plots-side-by-side", test_plots_side_by_side);
  g_test_add_func ("/report/bad-file-is-named", test_bad_file_is_named);
  return g_test_run ();
}
