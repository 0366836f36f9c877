/*
 * What all instances together send again stays within the budget they share,
 * whatever fails.
 */
#include <glib.h>
#include <talloc.h>

#include "retry.h"

#define WINDOW_MS   10000
#define LENGTH_MS   60000
#define STEP_MS     50
#define SHARE       0.2
#define MAX_STEPS   (LENGTH_MS / STEP_MS)
#define MOST_A_STEP 4
#define SPARE       234
#define START_MS    1000000

/** Retries and requests of all instances in each step. */
typedef struct
{
  uint32_t requests[MAX_STEPS];
  uint32_t retries[MAX_STEPS];
} totals_t;

/** All that is asked fails, and may be sent again once. */
static void
play (uint32_t instances, uint32_t known, totals_t *totals)
{
  retry_budget_t part = retry_budget_part (20, SPARE, known);
  GRand *rand = g_rand_new_with_seed (instances);
  retry_t **retries = g_new0 (retry_t *, instances);

  for (uint32_t i = 0; i < instances; i++)
    retries[i] = retry_new (NULL, NULL);
  for (uint32_t step = 0; step < MAX_STEPS; step++)
    for (uint32_t n = (uint32_t)g_rand_int_range (rand, 0, MOST_A_STEP + 1);
         n-- > 0;)
      {
        retry_t *retry = retries[g_rand_int_range (rand, 0, (gint32)instances)];
        uint64_t now_ms = START_MS + step * STEP_MS;

        retry_record_request (retry, "s", now_ms);
        totals->requests[step]++;
        totals->retries[step]
            += retry_take (retry, "s", RETRY_BROKEN, &part, now_ms);
      }
  for (uint32_t i = 0; i < instances; i++)
    talloc_free (retries[i]);
  g_free (retries);
  g_rand_free (rand);
}

/** The bound holds for any window, however it lies. */
static void
check_windows (const totals_t *totals)
{
  uint32_t length = WINDOW_MS / STEP_MS;

  for (uint32_t from = 0; from + length <= MAX_STEPS; from++)
    {
      uint32_t requests = 0;
      uint32_t retries = 0;

      for (uint32_t step = from; step < from + length; step++)
        {
          requests += totals->requests[step];
          retries += totals->retries[step];
        }
      /* Requests may be counted in the window before, too. */
      for (uint32_t step = from >= length ? from - length : 0; step < from;
           step++)
        requests += totals->requests[step];
      g_assert_cmpfloat (retries, <=, SHARE * requests + SPARE);
    }
}

static uint32_t
sum_of (const uint32_t *counts)
{
  uint32_t sum = 0;

  for (uint32_t step = 0; step < MAX_STEPS; step++)
    sum += counts[step];
  return sum;
}

/* A service fails as a whole, at few instances and at many. */
static void
test_all_fails (void)
{
  static const uint32_t instances[] = { 1, 6, 79, 300 };

  for (size_t i = 0; i < G_N_ELEMENTS (instances); i++)
    {
      totals_t totals = { 0 };

      play (instances[i], instances[i], &totals);
      check_windows (&totals);
      g_assert_cmpuint (sum_of (totals.retries), >, 0);
    }
}

/* An instance that knows of no other takes least. */
static void
test_number_unknown (void)
{
  totals_t totals = { 0 };

  play (200, 0, &totals);
  check_windows (&totals);
}

/* What was spent at the end of a second counts until ten have passed. */
static void
test_window_edge (void)
{
  retry_budget_t budget = { .percent = 20, .spare = 3 };
  retry_t *retry = retry_new (NULL, NULL);

  for (int i = 0; i < 3; i++)
    g_assert_true (
        retry_take (retry, "s", RETRY_BROKEN, &budget, START_MS + 990));
  g_assert_false (
      retry_take (retry, "s", RETRY_BROKEN, &budget, START_MS + 10010));
  g_assert_true (
      retry_take (retry, "s", RETRY_BROKEN, &budget, START_MS + 11010));
  talloc_free (retry);
}

/* Few instances may use what many would share. */
static void
test_few_have_more (void)
{
  g_assert_cmpuint (retry_budget_part (20, 100, 6).spare, ==, 16);
  g_assert_cmpuint (retry_budget_part (20, 234, 79).spare, ==, 2);
  g_assert_cmpuint (retry_budget_part (20, 100, 300).spare, ==, 0);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/retry/all-fails", test_all_fails);
  g_test_add_func ("/retry/number-unknown", test_number_unknown);
  g_test_add_func ("/retry/window-edge", test_window_edge);
  g_test_add_func ("/retry/few-have-more", test_few_have_more);
  return g_test_run ();
}
