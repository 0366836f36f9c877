/*
 * Tests which engine is chosen for a prompt under typical daily loads.
 */
#include <glib.h>
#include <stdio.h>
#include <string.h>
#include <talloc.h>

#include "engine-load.h"
#include "lib-choice.h"
#include "lib-engines.h"
#include "upstream-choice.h"

#define QUIET_ENGINES 3

/** Returns the longest pass that a choice causes on any of its engines. */
static double
longest_pass_ms (const choice_request_t *request, const choice_t *choice)
{
  return engine_pass_decode_ms (&choice_model, 2, 2 * CHOICE_SHORT_TOKENS)
         + engine_load_part_pass_ms (&choice_model, request->prompt_tokens,
                                     request->prompt_tokens
                                         / (choice->helper_count + 1.0));
}

/** While long prompts become more frequent, the prefill of each is split over
 * several engines, so that short answers continue in time. */
static void
test_long_beside_short (void)
{
  choice_fixture_t *fixture = choice_fixture_new ();
  choice_request_t brief = choice_short_request ();
  choice_request_t request = choice_long_request (CHOICE_LONG_TOKENS);
  choice_t choice;

  for (uint32_t i = 0; i < CHOICE_ENGINES; i++)
    for (int j = 0; j < 3; j++)
      choice_start_job (fixture, fixture->keys[i], &brief, 1, false, true);
  choice = upstream_choose (fixture->set, &request, CHOICE_NOW_MS);
  g_assert_cmpint (choice.kind, ==, CHOICE_SEND);
  g_assert_cmpuint (choice.helper_count, ==, CHOICE_ENGINES - 1);
  g_assert_cmpfloat (longest_pass_ms (&request, &choice), <,
                     brief.gap_target_ms);
  /* Prefill on a single engine would delay the answers it decodes. */
  g_assert_cmpfloat (engine_pass_prefill_ms (&choice_model, CHOICE_LONG_TOKENS),
                     >, brief.gap_target_ms);
  choice_fixture_free (fixture);
}

/** Concurrent long prompts are not placed on the same engines. */
static void
test_long_after_long (void)
{
  choice_fixture_t *fixture = choice_fixture_new ();
  choice_request_t brief = choice_short_request ();
  choice_request_t request = choice_long_request (CHOICE_LONG_TOKENS);
  choice_t first;
  choice_t second;

  for (uint32_t i = 0; i < CHOICE_ENGINES; i++)
    for (int j = 0; j < 3; j++)
      choice_start_job (fixture, fixture->keys[i], &brief, 1, false, true);
  first = upstream_choose (fixture->set, &request, CHOICE_NOW_MS);
  choice_start_chosen_jobs (fixture, &request, &first);
  second = upstream_choose (fixture->set, &request, CHOICE_NOW_MS + 5);
  g_assert_cmpint (second.kind, ==, CHOICE_SEND);
  g_assert_cmpuint (second.helper_count, <, CHOICE_ENGINES / 2);
  choice_fixture_free (fixture);
}

/** A short request avoids an engine that is in prefill of a long prompt. */
static void
test_short_beside_long (void)
{
  choice_fixture_t *fixture = choice_fixture_new ();
  choice_request_t whole = choice_long_request (CHOICE_LONG_TOKENS);
  choice_request_t request = choice_short_request ();

  for (uint32_t i = 0; i < CHOICE_ENGINES; i++)
    if (i != 5)
      choice_start_job (fixture, fixture->keys[i], &whole, 1, false, false);
  for (request.random = 0; request.random < 50; request.random++)
    {
      choice_t choice = upstream_choose (fixture->set, &request, CHOICE_NOW_MS);

      g_assert_cmpint (choice.kind, ==, CHOICE_SEND);
      g_test_message (
          "first %.0f damage %.0f loss %.0f helpers %u jobs %u zone %s",
          choice.first_ms, choice.damage, choice.loss, choice.helper_count,
          choice.member->jobs->len, choice.member->zone);
      g_assert_true (choice.member->key == fixture->keys[5]);
    }
  choice_fixture_free (fixture);
}

/** With many concurrent users, no engine gets more requests than its slots. */
static void
test_short_burst (void)
{
  choice_fixture_t *fixture = choice_fixture_new ();
  choice_request_t request = choice_short_request ();
  uint32_t sent = 0;
  size_t count;

  for (; sent < 1000; sent++)
    {
      choice_t choice;

      request.random = sent;
      choice = upstream_choose (fixture->set, &request, CHOICE_NOW_MS);
      if (choice.kind != CHOICE_SEND)
        break;
      choice_start_job (fixture, choice.member->key, &request, 1, false, true);
    }
  g_assert_cmpuint (sent, ==, CHOICE_ENGINES * 16);
  for (uint32_t i = 0; i < CHOICE_ENGINES; i++)
    g_assert_cmpuint (upstream_set_members (fixture->set, &count)[i]->jobs->len,
                      ==, 16);
  choice_fixture_free (fixture);
}

/**
 * Places a burst of long prompts over running short answers by the given policy
 * (the product's, random, or fewest requests) and returns how many short
 * answers get a gap between events over their target.
 */
static uint32_t
count_late (uint32_t (*pick) (choice_fixture_t *,
                              const choice_request_t *,
                              uint32_t),
            uint32_t arrivals)
{
  choice_fixture_t *fixture = choice_fixture_new ();
  choice_request_t brief = choice_short_request ();
  uint32_t late = 0;

  for (uint32_t i = 0; i < CHOICE_ENGINES; i++)
    for (int j = 0; j < 4; j++)
      choice_start_job (fixture, fixture->keys[i], &brief, 1, false, true);
  for (uint32_t n = 0; n < arrivals; n++)
    {
      choice_request_t request = choice_long_request (60000 + 15000 * n);

      late += pick (fixture, &request, n);
    }
  choice_fixture_free (fixture);
  return late;
}

/** Returns the number of short answers on an engine whose gap target is
 * exceeded by a pass with the given prefill time. */
static uint32_t
count_late_on (choice_fixture_t *fixture, uint64_t key, double pass_prefill_ms)
{
  const upstream_member_t *member = upstream_set_find (fixture->set, key);
  double pass_ms
      = engine_pass_decode_ms (&choice_model, 4, 4 * CHOICE_SHORT_TOKENS)
        + pass_prefill_ms;
  uint32_t late = 0;

  for (guint i = 0; i < member->jobs->len; i++)
    {
      const upstream_job_t *job = g_ptr_array_index (member->jobs, i);

      late += job->first_ms > 0 && pass_ms > job->gap_target_ms;
    }
  return late;
}

static uint32_t
pick_product (choice_fixture_t *fixture,
              const choice_request_t *request,
              uint32_t n)
{
  choice_t choice = upstream_choose (fixture->set, request, CHOICE_NOW_MS);
  double read_ms;
  uint32_t late;

  g_assert_nonnull (choice.member);
  read_ms = engine_load_part_pass_ms (&choice_model, request->prompt_tokens,
                                      request->prompt_tokens
                                          / (choice.helper_count + 1.0));
  late = count_late_on (fixture, choice.member->key, read_ms);
  for (uint32_t i = 0; i < choice.helper_count; i++)
    late += count_late_on (fixture, choice.helpers[i]->key, read_ms);
  return late;
}

static uint32_t
pick_random (choice_fixture_t *fixture,
             const choice_request_t *request,
             uint32_t n)
{
  uint64_t key = fixture->keys[(n * 7 + 3) % CHOICE_ENGINES];

  return count_late_on (
      fixture, key,
      engine_pass_prefill_ms (&choice_model, request->prompt_tokens));
}

static uint32_t
pick_least (choice_fixture_t *fixture,
            const choice_request_t *request,
            uint32_t n)
{
  size_t count;
  const upstream_member_t *const *members
      = upstream_set_members (fixture->set, &count);
  const upstream_member_t *least = members[0];

  for (size_t i = 1; i < count; i++)
    if (members[i]->jobs->len < least->jobs->len)
      least = members[i];
  return count_late_on (
      fixture, least->key,
      engine_pass_prefill_ms (&choice_model, request->prompt_tokens));
}

static void
test_against_baselines (void)
{
  uint32_t product = count_late (pick_product, 6);
  uint32_t chance = count_late (pick_random, 6);
  uint32_t least = count_late (pick_least, 6);

  g_test_message ("late short answers: product %u, random %u, least "
                  "outstanding %u",
                  product, chance, least);
  g_assert_cmpuint (product, ==, 0);
  g_assert_cmpuint (chance, >=, 20);
  g_assert_cmpuint (least, >=, 20);
}

/** No other prompt goes to an engine whose memory a prompt nearly fills. */
static void
test_full_engine_memory (void)
{
  choice_fixture_t *fixture = choice_fixture_new ();
  choice_request_t request = choice_long_request (200000);
  choice_t choice;

  for (uint32_t i = 0; i < CHOICE_ENGINES; i++)
    if (i != 3)
      choice_start_job (fixture, fixture->keys[i], &request, 1, false, true);
  choice = upstream_choose (fixture->set, &request, CHOICE_NOW_MS);
  g_assert_nonnull (choice.member);
  g_assert_true (choice.member->key == fixture->keys[3]);
  choice_start_job (fixture, fixture->keys[3], &request, 1, false, true);
  choice = upstream_choose (fixture->set, &request, CHOICE_NOW_MS);
  g_assert_cmpint (choice.kind, ==, CHOICE_WAIT);
  g_assert_null (choice.member);
  choice_fixture_free (fixture);
}

/** For a prompt larger than any engine's memory, reservations on other engines
 * hold the part that does not fit on the decoding engine. */
static void
test_oversize_prompt (void)
{
  choice_fixture_t *fixture = choice_fixture_new ();
  choice_request_t request = choice_long_request (CHOICE_HUGE_TOKENS);
  choice_t choice = upstream_choose (fixture->set, &request, CHOICE_NOW_MS);
  uint64_t reserved = 0;

  g_assert_cmpint (choice.kind, ==, CHOICE_SEND);
  g_assert_cmpuint (choice.memory_count, >=, 1);
  g_assert_cmpuint (choice.memory_count, <=, choice.helper_count);
  for (uint32_t i = 0; i < choice.memory_count; i++)
    reserved += choice.memory_tokens[i];
  g_assert_cmpuint (reserved + choice_model.kv_tokens, >=,
                    CHOICE_HUGE_TOKENS + CHOICE_LONG_ANSWER_TOKENS);
  choice_fixture_free (fixture);
}

/** At peak load a prompt that would delay many answers waits as long as the
 * engines can read it before its deadline, and is then refused at once. */
static void
test_oversize_prompt_at_peak (void)
{
  choice_fixture_t *fixture = choice_fixture_new ();
  choice_request_t brief = choice_short_request ();
  choice_request_t request = choice_long_request (CHOICE_HUGE_TOKENS);

  for (uint32_t i = 0; i < CHOICE_ENGINES; i++)
    for (int j = 0; j < 12; j++)
      choice_start_job (fixture, fixture->keys[i], &brief, 1, false, true);
  g_assert_cmpint (upstream_choose (fixture->set, &request, CHOICE_NOW_MS).kind,
                   ==, CHOICE_WAIT);
  request.left_ms
      = (uint32_t)(engine_prefill_ms (&choice_model, CHOICE_HUGE_TOKENS)
                   / CHOICE_ENGINES)
        + 1;
  request.waited_ms = 15000 - request.left_ms;
  g_assert_cmpint (upstream_choose (fixture->set, &request, CHOICE_NOW_MS).kind,
                   ==, CHOICE_WAIT);
  request.left_ms--;
  g_assert_cmpint (upstream_choose (fixture->set, &request, CHOICE_NOW_MS).kind,
                   ==, CHOICE_UNMEETABLE);
  choice_fixture_free (fixture);
}

/* Guards against giving a few engines to an oversize prompt for many seconds at
 * the start of a burst of short ones, which then find too few engines: it is
 * split over more engines or waits. */
static void
test_oversize_prompt_is_brief (void)
{
  choice_fixture_t *fixture = choice_fixture_new ();
  choice_request_t brief = choice_short_request ();
  choice_request_t request = choice_long_request (CHOICE_LARGEST_TOKENS);
  choice_t choice;

  for (uint32_t i = QUIET_ENGINES; i < CHOICE_ENGINES; i++)
    choice_start_job (fixture, fixture->keys[i], &brief, 1, false, true);
  choice = upstream_choose (fixture->set, &request, CHOICE_NOW_MS);
  if (choice.kind == CHOICE_SEND)
    g_assert_cmpfloat (choice.first_ms, <=, request.target_ms);
  else
    g_assert_cmpint (choice.kind, ==, CHOICE_WAIT);
  choice_fixture_free (fixture);
}

/** A burst of long prompts while short ones are few: a third of the engines is
 * in prefill, another third decodes and has room, so the remaining engines also
 * take the prefill of the largest prompts. */
static void
test_oversize_in_long_wave (void)
{
  choice_fixture_t *fixture = choice_fixture_new ();
  choice_request_t brief = choice_short_request ();
  choice_request_t large = choice_long_request (CHOICE_LONG_TOKENS);
  choice_request_t request = choice_long_request (CHOICE_HUGE_TOKENS);

  for (uint32_t i = 0; i < 2 * CHOICE_ENGINES / 3; i++)
    if (i < CHOICE_ENGINES / 3)
      choice_start_job (fixture, fixture->keys[i], &brief, 1, false, true);
    else
      choice_start_job (fixture, fixture->keys[i], &large, 1, false, false);
  g_assert_cmpint (upstream_choose (fixture->set, &request, CHOICE_NOW_MS).kind,
                   ==, CHOICE_SEND);
  choice_fixture_free (fixture);
}

/** Failing upstreams are detected within a few requests and then get one
 * trial request at a time. */
static void
test_failing_upstreams_get_trial_requests (void)
{
  choice_fixture_t *fixture = choice_fixture_new ();
  choice_request_t request = choice_short_request ();
  uint64_t bad = fixture->keys[2];
  const upstream_member_t *member = upstream_set_find (fixture->set, bad);
  uint64_t id;

  for (int i = 0; i < 2; i++)
    {
      id = choice_start_job (fixture, bad, &request, 1, false, false);
      upstream_set_end (fixture->set, id, UPSTREAM_JOB_FAILED, CHOICE_NOW_MS);
    }
  g_assert_cmpint (member->trust, ==, UPSTREAM_EJECTED);
  for (request.random = 0; request.random < 50; request.random++)
    g_assert_true (
        upstream_choose (fixture->set, &request, CHOICE_NOW_MS).member->key
        != bad);
  upstream_set_tick (fixture->set, member->ejected_until_ms);
  g_assert_cmpint (member->trust, ==, UPSTREAM_ON_TRIAL);
  id = choice_start_job (fixture, bad, &request, 1, false, false);
  for (request.random = 0; request.random < 50; request.random++)
    g_assert_true (
        upstream_choose (fixture->set, &request, CHOICE_NOW_MS).member->key
        != bad);
  upstream_set_end (fixture->set, id, UPSTREAM_JOB_GOOD, CHOICE_NOW_MS);
  g_assert_cmpint (member->trust, ==, UPSTREAM_TRUSTED);
  choice_fixture_free (fixture);
}

/** An engine that a decoding engine reported as gone is immediately no longer
 * chosen as a helper. */
static void
test_lost_helper_engine_is_not_chosen (void)
{
  choice_fixture_t *fixture = choice_fixture_new ();
  choice_request_t request = choice_long_request (CHOICE_LONG_TOKENS);
  uint64_t dead = fixture->keys[4];
  uint64_t id
      = choice_start_job (fixture, dead, &request, CHOICE_ENGINES, true, false);
  choice_t choice;

  upstream_set_end (fixture->set, id, UPSTREAM_JOB_DEAD, CHOICE_NOW_MS);
  choice = upstream_choose (fixture->set, &request, CHOICE_NOW_MS);
  g_assert_cmpint (choice.kind, ==, CHOICE_SEND);
  g_assert_true (choice.member->key != dead);
  for (uint32_t i = 0; i < choice.helper_count; i++)
    g_assert_true (choice.helpers[i]->key != dead);
  choice_fixture_free (fixture);
}

/** When all upstreams fail, a failing upstream is still chosen. */
static void
test_all_upstreams_failing (void)
{
  choice_fixture_t *fixture = choice_fixture_new ();
  choice_request_t request = choice_short_request ();

  for (uint32_t i = 0; i < CHOICE_ENGINES; i++)
    upstream_set_end (
        fixture->set,
        choice_start_job (fixture, fixture->keys[i], &request, 1, true, false),
        UPSTREAM_JOB_DEAD, CHOICE_NOW_MS);
  g_assert_cmpint (upstream_choose (fixture->set, &request, CHOICE_NOW_MS).kind,
                   ==, CHOICE_SEND);
  request.service = "nobody";
  g_assert_cmpint (upstream_choose (fixture->set, &request, CHOICE_NOW_MS).kind,
                   ==, CHOICE_NONE);
  choice_fixture_free (fixture);
}

/** A plain call goes to the local zone unless that zone is slow or full. */
static void
test_plain_call_prefers_local_zone (void)
{
  choice_fixture_t *fixture = choice_fixture_new ();
  choice_request_t request = choice_short_request ();
  choice_t choice;

  request.model = NULL;
  choice = upstream_choose (fixture->set, &request, CHOICE_NOW_MS);
  g_assert_cmpstr (choice.member->zone, ==, "a");
  for (uint32_t i = 0; i < CHOICE_ENGINES; i++)
    upstream_set_add_call_time (fixture->set, fixture->keys[i],
                                i % 2 == 0 ? 400 : 50, CHOICE_NOW_MS);
  choice = upstream_choose (fixture->set, &request, CHOICE_NOW_MS);
  g_assert_cmpstr (choice.member->zone, ==, "b");
  choice_fixture_free (fixture);
}

static bool
has_source (const upstream_job_t *job, void *context)
{
  return job->source == *(const uint64_t *)context;
}

/** The jobs that an instance reported are removed when it has timed out. */
static void
test_jobs_of_lost_instance_are_removed (void)
{
  choice_fixture_t *fixture = choice_fixture_new ();
  upstream_job_t job = { .id = 77,
                         .source = 5,
                         .upstream = fixture->keys[0],
                         .sent_ms = CHOICE_NOW_MS };
  uint64_t lost = 5;
  uint64_t other = 6;

  g_assert_true (upstream_set_begin (fixture->set, &job));
  g_assert_false (upstream_set_begin (fixture->set, &job));
  g_assert_nonnull (upstream_set_job (fixture->set, 77));
  upstream_set_drop_jobs (fixture->set, has_source, &other);
  g_assert_nonnull (upstream_set_job (fixture->set, 77));
  upstream_set_drop_jobs (fixture->set, has_source, &lost);
  g_assert_null (upstream_set_job (fixture->set, 77));
  upstream_set_end (fixture->set, 77, UPSTREAM_JOB_GOOD, CHOICE_NOW_MS);
  choice_fixture_free (fixture);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/choice/long-beside-short", test_long_beside_short);
  g_test_add_func ("/choice/long-after-long", test_long_after_long);
  g_test_add_func ("/choice/short-beside-long", test_short_beside_long);
  g_test_add_func ("/choice/short-burst", test_short_burst);
  g_test_add_func ("/choice/against-baselines", test_against_baselines);
  g_test_add_func ("/choice/memory", test_full_engine_memory);
  g_test_add_func ("/choice/oversize", test_oversize_prompt);
  g_test_add_func ("/choice/oversize-at-crest", test_oversize_prompt_at_peak);
  g_test_add_func ("/choice/oversize-is-brief", test_oversize_prompt_is_brief);
  g_test_add_func ("/choice/oversize-in-long-wave", test_oversize_in_long_wave);
  g_test_add_func ("/choice/failing",
                   test_failing_upstreams_get_trial_requests);
  g_test_add_func ("/choice/dead-helper",
                   test_lost_helper_engine_is_not_chosen);
  g_test_add_func ("/choice/all-failing", test_all_upstreams_failing);
  g_test_add_func ("/choice/plain", test_plain_call_prefers_local_zone);
  g_test_add_func ("/choice/lost-instance",
                   test_jobs_of_lost_instance_are_removed);
  return g_test_run ();
}
