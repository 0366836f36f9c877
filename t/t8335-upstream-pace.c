/*
 * Tests the limit on open requests after a start or return: it must neither
 * overload the upstream nor keep it idle.
 */
#include <glib.h>

#include "upstream-pace.h"

#define NOW_MS 50000
#define SLOTS  16

/** Answers as many requests as the limit allows; returns the rounds until the
 * limit has ended, or 100. */
static uint32_t
answer_rounds (upstream_pace_t *pace, double factor)
{
  uint32_t rounds = 0;

  while (pace->reason != PACE_NONE && rounds < 100)
    {
      uint32_t open = (uint32_t)pace->limit;

      rounds++;
      for (uint32_t i = 0; i < open; i++)
        upstream_pace_on_answer (pace, factor, open, SLOTS, NOW_MS);
    }
  return rounds;
}

static void
test_without_trouble (void)
{
  upstream_pace_t pace = { 0 };

  g_assert_true (upstream_pace_allows (&pace, 1000));
  g_assert_false (upstream_pace_on_answer (&pace, 9, 5, SLOTS, NOW_MS));
  upstream_pace_on_failure (&pace, NOW_MS);
  upstream_pace_on_late (&pace, NOW_MS);
  g_assert_false (upstream_pace_tick (&pace, SLOTS, NOW_MS));
  g_assert_true (upstream_pace_allows (&pace, 1000));
}

static void
test_growth (void)
{
  upstream_pace_t pace = { 0 };

  g_assert_true (upstream_pace_begin (&pace, PACE_STARTED, NOW_MS));
  g_assert_true (upstream_pace_allows (&pace, 0));
  g_assert_false (upstream_pace_allows (&pace, 1));
  g_assert_cmpuint (answer_rounds (&pace, 1.0), <=, 5);
  g_assert_true (upstream_pace_allows (&pace, 1000));
  upstream_pace_begin (&pace, PACE_STARTED, NOW_MS);
  g_assert_cmpuint (answer_rounds (&pace, 1.6), ==, 100);
  g_assert_false (upstream_pace_allows (&pace, 1));
}

static void
test_floor (void)
{
  upstream_pace_t pace = { 0 };

  upstream_pace_begin (&pace, PACE_RETURNED, NOW_MS);
  for (uint32_t i = 0; i < 50; i++)
    upstream_pace_on_failure (&pace, NOW_MS + i * 1000);
  g_assert_true (upstream_pace_allows (&pace, 0));
  g_assert_false (upstream_pace_allows (&pace, 1));
}

/** Several answers to requests of the same moment shrink the limit once; later
 * growth is slow. */
static void
test_shrink (void)
{
  upstream_pace_t pace = { 0 };
  double before;

  upstream_pace_begin (&pace, PACE_RETURNED, NOW_MS);
  for (uint32_t i = 0; i < 9; i++)
    upstream_pace_on_answer (&pace, 1, 15, SLOTS, NOW_MS);
  before = pace.limit;
  for (uint32_t i = 0; i < 9; i++)
    upstream_pace_on_answer (&pace, 5, 15, SLOTS, NOW_MS + i);
  g_assert_cmpfloat (pace.limit, <, before);
  g_assert_cmpfloat (pace.limit, >, before / 2);
  before = pace.limit;
  upstream_pace_on_answer (&pace, 1, 15, SLOTS, NOW_MS + 100);
  g_assert_cmpfloat (pace.limit, <, before + 0.5);
  upstream_pace_on_late (&pace, NOW_MS + 1000);
  g_assert_cmpfloat (pace.limit, <, before);
}

/** An instance that does not learn of answers must not keep a limit for good.
 */
static void
test_unused (void)
{
  upstream_pace_t pace = { 0 };
  uint64_t now_ms = NOW_MS;

  upstream_pace_begin (&pace, PACE_RETURNED, now_ms);
  while (!upstream_pace_tick (&pace, SLOTS, now_ms))
    now_ms += 200;
  g_assert_cmpuint (now_ms - NOW_MS, >=, 6000);
  g_assert_cmpuint (now_ms - NOW_MS, <=, 12000);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/upstream-pace/without-trouble", test_without_trouble);
  g_test_add_func ("/upstream-pace/growth", test_growth);
  g_test_add_func ("/upstream-pace/floor", test_floor);
  g_test_add_func ("/upstream-pace/shrink", test_shrink);
  g_test_add_func ("/upstream-pace/unused", test_unused);
  return g_test_run ();
}
