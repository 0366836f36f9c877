/*
 * Tests the limit on simulated upstreams: it must make fewer requests late than
 * no limit where upstreams start slowly, and must not waste those that start
 * fast.
 */
#include <glib.h>

#include "lib-pace.h"

#define SEEDS 3

static pace_result_t
play_all (pace_case_t kind, pace_policy_t policy)
{
  pace_result_t sum = { 0 };

  for (uint32_t seed = 1; seed <= SEEDS; seed++)
    {
      pace_result_t result = pace_play (kind, policy, seed);

      sum.requests += result.requests;
      sum.in_time += result.in_time;
      sum.late += result.late;
      sum.failed += result.failed;
      sum.errors += result.errors;
      sum.used += result.used / SEEDS;
      sum.most_over += result.most_over / SEEDS;
    }
  g_test_message ("case=%s policy=%s requests=%u in_time=%u late=%u failed=%u "
                  "errors=%u used=%.2f over=%.1f",
                  pace_case_name (kind), pace_policy_name (policy),
                  sum.requests, sum.in_time, sum.late, sum.failed, sum.errors,
                  sum.used, sum.most_over);
  return sum;
}

static void
test_fast (void)
{
  pace_result_t result = play_all (PACE_CASE_FAST, PACE_POLICY_PRODUCT);

  g_assert_cmpuint (result.late + result.failed, ==, 0);
  g_assert_cmpfloat (result.used, >=, 0.9);
}

static void
test_slow (pace_case_t kind)
{
  pace_result_t without = play_all (kind, PACE_POLICY_NO_LIMIT);
  pace_result_t result = play_all (kind, PACE_POLICY_PRODUCT);

  g_assert_cmpuint (result.late + result.failed, <,
                    without.late + without.failed);
  g_assert_cmpfloat (result.most_over, <, without.most_over);
}

static void
test_slow_starter (void)
{
  test_slow (PACE_CASE_SLOW);
}

static void
test_slow_for_good (void)
{
  test_slow (PACE_CASE_WEAK);
}

static void
test_replaced_in_turn (void)
{
  test_slow (PACE_CASE_ROLLING);
}

static void
test_flapping (void)
{
  pace_result_t without = play_all (PACE_CASE_FLAPPING, PACE_POLICY_NO_LIMIT);
  pace_result_t result = play_all (PACE_CASE_FLAPPING, PACE_POLICY_PRODUCT);

  g_assert_cmpuint (result.errors, <=, without.errors);
  g_assert_cmpuint (result.failed, <=, without.failed);
}

/** All upstreams start, so that a limit would only refuse requests. */
static void
test_all_start (void)
{
  pace_result_t without = play_all (PACE_CASE_TOGETHER, PACE_POLICY_NO_LIMIT);
  pace_result_t result = play_all (PACE_CASE_TOGETHER, PACE_POLICY_PRODUCT);

  g_assert_cmpuint (result.in_time, >=, without.in_time);
  g_assert_cmpuint (result.failed, <=, without.failed);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/pace-policies/fast", test_fast);
  g_test_add_func ("/pace-policies/slow-starter", test_slow_starter);
  g_test_add_func ("/pace-policies/slow-for-good", test_slow_for_good);
  g_test_add_func ("/pace-policies/replaced-in-turn", test_replaced_in_turn);
  g_test_add_func ("/pace-policies/flapping", test_flapping);
  g_test_add_func ("/pace-policies/all-start", test_all_start);
  return g_test_run ();
}
