/*
 * Tests that the retries of all instances together stay within their shared
 * budget, whatever fails.
 */
#include <glib.h>
#include <talloc.h>

#include "retry.h"

#define WINDOW_MS             10000
#define LENGTH_MS             60000
#define STEP_MS               50
#define RETRY_SHARE           0.2
#define MAX_STEPS             (LENGTH_MS / STEP_MS)
#define MAX_REQUESTS_PER_STEP 4
#define SPARE_RETRIES         234
#define START_MS              1000000

/** Retries and requests of all instances in each step. */
typedef struct
{
  uint32_t requests[MAX_STEPS];
  uint32_t retries[MAX_STEPS];
} totals_t;

/** Simulates instances whose requests all fail and may be retried once. */
static void
simulate_retries (uint32_t instances, uint32_t known, totals_t *totals)
{
  retry_budget_t part = retry_budget_part (20, SPARE_RETRIES, known);
  GRand *rand = g_rand_new_with_seed (instances);
  retry_t **retries = g_new0 (retry_t *, instances);

  for (uint32_t i = 0; i < instances; i++)
    retries[i] = retry_new (NULL, NULL);
  for (uint32_t step = 0; step < MAX_STEPS; step++)
    for (uint32_t n
         = (uint32_t)g_rand_int_range (rand, 0, MAX_REQUESTS_PER_STEP + 1);
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

/** Checks that the bound holds for every window, wherever it starts. */
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
      /* Requests of the previous window may count, too. */
      for (uint32_t step = from >= length ? from - length : 0; step < from;
           step++)
        requests += totals->requests[step];
      g_assert_cmpfloat (retries, <=, RETRY_SHARE * requests + SPARE_RETRIES);
    }
}

static uint32_t
sum_steps (const uint32_t *counts)
{
  uint32_t sum = 0;

  for (uint32_t step = 0; step < MAX_STEPS; step++)
    sum += counts[step];
  return sum;
}

/* A whole service fails, with few instances and with many. */
static void
test_budget_holds_when_all_requests_fail (void)
{
  static const uint32_t instances[] = { 1, 6, 79, 300 };

  for (size_t i = 0; i < G_N_ELEMENTS (instances); i++)
    {
      totals_t totals = { 0 };

      simulate_retries (instances[i], instances[i], &totals);
      check_windows (&totals);
      g_assert_cmpuint (sum_steps (totals.retries), >, 0);
    }
}

/* An instance that knows no other instance takes the smallest part of the
 * budget. */
static void
test_unknown_instance_count_gets_smallest_part (void)
{
  totals_t totals = { 0 };

  simulate_retries (200, 0, &totals);
  check_windows (&totals);
}

/* A retry at the end of a second counts until ten seconds have passed. */
static void
test_retry_counts_for_whole_window (void)
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

/* With few instances, each gets a larger part of the shared budget. */
static void
test_few_instances_get_larger_parts (void)
{
  g_assert_cmpuint (retry_budget_part (20, 100, 6).spare, ==, 16);
  g_assert_cmpuint (retry_budget_part (20, 234, 79).spare, ==, 2);
  g_assert_cmpuint (retry_budget_part (20, 100, 300).spare, ==, 0);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/retry/all-fails",
                   test_budget_holds_when_all_requests_fail);
  g_test_add_func ("/retry/number-unknown",
                   test_unknown_instance_count_gets_smallest_part);
  g_test_add_func ("/retry/window-edge", test_retry_counts_for_whole_window);
  g_test_add_func ("/retry/few-have-more", test_few_instances_get_larger_parts);
  return g_test_run ();
}
