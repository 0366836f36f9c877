/* Tests that histograms are exact for small values and accurate to one bucket
 * for large values. */
#include <glib.h>
#include <talloc.h>

#include "hist.h"

#define SEED  11
#define COUNT 20000

static void
test_small_values_are_exact (void)
{
  hist_t *hist = hist_new (NULL);

  g_assert_cmpuint (hist_percentile (hist, 50), ==, 0);
  for (uint64_t value = 1; value <= 50; value++)
    hist_add (hist, value);
  g_assert_cmpuint (hist_percentile (hist, 50), ==, 25);
  g_assert_cmpuint (hist_percentile (hist, 95), ==, 48);
  g_assert_cmpuint (hist_percentile (hist, 100), ==, 50);
  talloc_free (hist);
}

static gint
compare_ascending (gconstpointer a, gconstpointer b)
{
  uint64_t left = *(const uint64_t *)a;
  uint64_t right = *(const uint64_t *)b;

  return left < right ? -1 : left > right;
}

/* Compares percentiles with those of the sorted values, over ten powers of
 * ten. */
static void
test_percentiles_match_sorted_values (void)
{
  static const double percents[] = { 1, 25, 50, 90, 99, 99.9 };
  hist_t *hist = hist_new (NULL);
  GRand *random = g_rand_new_with_seed (SEED);
  uint64_t *values = g_new (uint64_t, COUNT);

  for (guint i = 0; i < COUNT; i++)
    {
      uint64_t scale = UINT64_C (1) << g_rand_int_range (random, 0, 33);

      values[i] = (uint64_t)(g_rand_double (random) * (double)scale);
      hist_add (hist, values[i]);
    }
  qsort (values, COUNT, sizeof *values, compare_ascending);
  for (guint i = 0; i < G_N_ELEMENTS (percents); i++)
    {
      uint64_t exact = values[(guint)(COUNT * percents[i] / 100) - 1];
      uint64_t found = hist_percentile (hist, percents[i]);

      g_assert_cmpuint (found, >=, exact);
      g_assert_cmpuint (found, <=, exact + exact / HIST_SUB_BUCKETS);
    }
  g_assert_cmpuint (hist_max (hist), ==, values[COUNT - 1]);
  g_free (values);
  g_rand_free (random);
  talloc_free (hist);
}

static void
test_largest_value_fits (void)
{
  hist_t *hist = hist_new (NULL);

  hist_add (hist, UINT64_MAX);
  g_assert_cmpuint (hist_percentile (hist, 50), ==, UINT64_MAX);
  talloc_free (hist);
}

static void
test_merge_equals_adding_all_values (void)
{
  hist_t *all = hist_new (NULL);
  hist_t *part = hist_new (all);

  hist_add (all, 10);
  hist_add (part, 20);
  hist_add (part, 30);
  hist_merge (all, part);
  g_assert_cmpuint (hist_count (all), ==, 3);
  g_assert_cmpuint (hist_percentile (all, 50), ==, 20);
  g_assert_cmpuint (hist_max (all), ==, 30);
  talloc_free (all);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/hist/small-values-are-exact", test_small_values_are_exact);
  g_test_add_func ("/hist/near-the-sorted-values",
                   test_percentiles_match_sorted_values);
  g_test_add_func ("/hist/largest-value-fits", test_largest_value_fits);
  g_test_add_func ("/hist/merge-is-adding",
                   test_merge_equals_adding_all_values);
  return g_test_run ();
}
