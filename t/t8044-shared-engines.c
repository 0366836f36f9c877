/*
 * Tests how requests share engines, so that long prompts, which need several of
 * them at the same moment, find some and are read when they were told.
 */
#include <glib.h>

#include "lib-choice.h"

static bool
is_in_zone (const upstream_member_t *member, const char *zone)
{
  return g_str_equal (member->zone, zone);
}

/* Guards against placers of two zones that choose the same engines because they
 * learn of each other's choices late: both have engines of their own for short
 * requests and for parts of long prompts, also beside other requests. */
static void
test_placers_choose_own_engines (void)
{
  static const char *const zones[] = { "a", "b" };

  for (uint32_t i = 0; i < G_N_ELEMENTS (zones); i++)
    {
      choice_fixture_t *fixture = choice_fixture_new ();
      choice_request_t brief = choice_short_request ();
      choice_request_t large = choice_long_request (CHOICE_LONG_TOKENS);
      choice_t choice;

      brief.zone = large.zone = zones[i];
      for (uint32_t j = 0; j < CHOICE_ENGINES; j++)
        if (j % 2 != i)
          choice_start_job (fixture, fixture->keys[j], &brief, 1, false, true);
      choice = upstream_choose (fixture->set, &brief, CHOICE_NOW_MS);
      g_assert_true (is_in_zone (choice.member, zones[i]));
      choice = upstream_choose (fixture->set, &large, CHOICE_NOW_MS);
      g_assert_true (is_in_zone (choice.member, zones[i]));
      for (uint32_t j = 0; j < choice.helper_count; j++)
        g_assert_true (is_in_zone (choice.helpers[j], zones[i]));
      choice_fixture_free (fixture);
    }
}

/* Guards against a promise that is too early: the pass that prefills a part
 * ends when the parts that waited before it are prefilled, too. */
static void
test_part_waits_for_pass (void)
{
  choice_fixture_t *fixture = choice_fixture_new ();
  choice_request_t before = choice_long_request (CHOICE_LONG_TOKENS);
  choice_request_t request = choice_long_request (CHOICE_LARGEST_TOKENS);
  double before_ms = engine_prefill_ms (&choice_model, CHOICE_LONG_TOKENS) / 2;
  double own_ms = engine_prefill_ms (&choice_model, CHOICE_LARGEST_TOKENS)
                  / CHOICE_ENGINES;
  choice_t choice;

  for (uint32_t i = 0; i < CHOICE_ENGINES; i++)
    choice_start_job (fixture, fixture->keys[i], &before, 2, true, false);
  choice = upstream_choose (fixture->set, &request, CHOICE_NOW_MS);
  g_assert_nonnull (choice.member);
  g_assert_cmpfloat (choice.first_ms, >=, before_ms + own_ms);
  choice_fixture_free (fixture);
}

/* Guards against counting the delay of a part at an engine that is not the last
 * one of its prompt: the first event comes no later. */
static void
test_part_beside_last_one (void)
{
  choice_fixture_t *fixture = choice_fixture_new ();
  choice_request_t before = choice_long_request (CHOICE_LARGEST_TOKENS);
  choice_request_t request = choice_long_request (CHOICE_HUGE_TOKENS);
  choice_t choice;

  for (uint32_t i = 0; i < CHOICE_ENGINES; i++)
    choice_start_job (fixture, fixture->keys[i], &before, 11, true, false);
  choice_start_job (fixture, fixture->keys[CHOICE_ENGINES - 1], &before, 22,
                    true, false);
  choice = upstream_choose (fixture->set, &request, CHOICE_NOW_MS);
  g_assert_nonnull (choice.member);
  g_assert_cmpfloat (choice.damage_waiting, ==, 0);
  choice_fixture_free (fixture);
}

/* Guards against engines that read for a caller who will have left before the
 * first event: a request waits, as engines may become free sooner. */
static void
test_first_event_after_caller_left (void)
{
  static const uint32_t tokens[]
      = { CHOICE_SHORT_TOKENS, CHOICE_LONG_TOKENS, CHOICE_LARGEST_TOKENS };

  for (uint32_t i = 0; i < G_N_ELEMENTS (tokens); i++)
    {
      choice_fixture_t *fixture = choice_fixture_new ();
      choice_request_t before = choice_long_request (CHOICE_LONG_TOKENS);
      choice_request_t request = choice_long_request (tokens[i]);
      choice_t choice;

      for (uint32_t j = 0; j < CHOICE_ENGINES; j++)
        choice_start_job (fixture, fixture->keys[j], &before, 2, true, false);
      request.waited_ms = 11500;
      request.left_ms = 500;
      choice = upstream_choose (fixture->set, &request, CHOICE_NOW_MS);
      g_assert_cmpint (choice.kind, !=, CHOICE_SEND);
      choice_fixture_free (fixture);
    }
}

/* Guards against short requests that are left on all engines, a few on each,
 * when most of a wave has ended: new ones join the engines that hold most of
 * them, so that the others become free for long prompts. */
static void
test_short_requests_leave_engines_free (void)
{
  choice_fixture_t *fixture = choice_fixture_new ();
  choice_request_t request = choice_short_request ();
  uint32_t full = choice_model.slots / 2;

  for (uint32_t i = 0; i < CHOICE_ENGINES; i++)
    for (uint32_t j = 0; j < (i < 2 ? full - 2 : 1); j++)
      choice_start_job (fixture, fixture->keys[i], &request, 1, false, true);
  for (int i = 0; i < 4; i++)
    {
      choice_t choice;

      request.random = (uint32_t)i;
      choice = upstream_choose (fixture->set, &request, CHOICE_NOW_MS);
      g_assert_cmpint (choice.kind, ==, CHOICE_SEND);
      g_assert_true (choice.member->key == fixture->keys[0]
                     || choice.member->key == fixture->keys[1]);
      choice_start_job (fixture, choice.member->key, &request, 1, false, true);
    }
  choice_fixture_free (fixture);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/choice/own-engines-first",
                   test_placers_choose_own_engines);
  g_test_add_func ("/choice/part-waits-for-pass", test_part_waits_for_pass);
  g_test_add_func ("/choice/part-beside-last-one", test_part_beside_last_one);
  g_test_add_func ("/choice/first-event-after-caller-left",
                   test_first_event_after_caller_left);
  g_test_add_func ("/choice/engines-left-free",
                   test_short_requests_leave_engines_free);
  return g_test_run ();
}
