/*
 * Checks the evidence that entry instances exchange about requests that crash
 * upstreams. No network: the messages are passed from one to the other.
 */
#include <glib.h>
#include <talloc.h>

#include "request-crashes.h"

#define INSTANCES    3
#define REQUEST      1
#define OTHER        2
#define START_MS     (60u * 60 * 1000)
#define MAX_SUSPECTS 32
/* Requests that crash one upstream each. */
#define FLOOD 300

static request_crashes_t *instances[INSTANCES];
static uint32_t news;
static uint64_t now_ms;

static void
on_news (void *context)
{
  news++;
}

static void
set_up (void)
{
  request_crashes_options_t options = { .news = on_news };

  for (uint32_t i = 0; i < INSTANCES; i++)
    instances[i] = request_crashes_new (NULL, &options);
  news = 0;
  now_ms = START_MS;
}

static void
tear_down (void)
{
  for (uint32_t i = 0; i < INSTANCES; i++)
    talloc_free (instances[i]);
}

static void
crash (uint32_t instance, uint64_t request, uint64_t incarnation)
{
  request_crashes_add (instances[instance], request, "u", incarnation, now_ms);
}

static void
answer (uint32_t instance, uint64_t request, uint64_t incarnation)
{
  request_crashes_add_success (instances[instance], request, "u", incarnation,
                               now_ms);
}

static quarantine_level_t
level (uint32_t instance, uint64_t request)
{
  return request_crashes_level (instances[instance], request);
}

/** Passes what one instance knows to another; returns whether that one knows
 * more. */
static bool
tell (uint32_t from, uint32_t to)
{
  void *scratch = talloc_new (NULL);
  Lwm__CrashEvidence *evidence
      = request_crashes_to_message (instances[from], now_ms, scratch);
  bool knows_more = false;

  if (evidence != NULL)
    knows_more = request_crashes_merge (instances[to], evidence, now_ms);
  talloc_free (scratch);
  return knows_more;
}

static void
tell_all (uint32_t from)
{
  for (uint32_t i = 0; i < INSTANCES; i++)
    if (i != from)
      tell (from, i);
}

/* Guards against a request that each instance sends until it has seen three
 * crashes itself. */
static void
test_crashes_add_up (void)
{
  set_up ();
  for (uint32_t i = 0; i < INSTANCES; i++)
    {
      crash (i, REQUEST, i);
      tell_all (i);
      /* A repeated message changes nothing. */
      tell_all (i);
    }
  for (uint32_t i = 0; i < INSTANCES; i++)
    {
      g_assert_cmpint (level (i, REQUEST), ==, QUARANTINE_BLOCKED);
      g_assert_cmpint (level (i, OTHER), ==, QUARANTINE_CLEAR);
      g_assert_cmpuint (
          request_crashes_remaining_ms (instances[i], REQUEST, now_ms), >, 0);
    }
  tear_down ();
}

/* Guards against one crash that is counted once for each instance that saw it.
 */
static void
test_one_crash_counts_once (void)
{
  set_up ();
  for (uint32_t i = 0; i < INSTANCES; i++)
    crash (i, REQUEST, 7);
  for (uint32_t i = 0; i < INSTANCES; i++)
    tell_all (i);
  for (uint32_t i = 0; i < INSTANCES; i++)
    g_assert_cmpint (level (i, REQUEST), ==, QUARANTINE_CLEAR);
  tear_down ();
}

/* Guards against evidence that stays at the other instances when the request
 * was answered, also against a single crash, and in a late message. */
static void
test_answer_clears_everywhere (void)
{
  set_up ();
  for (uint32_t crashes = 1; crashes <= 3; crashes++)
    {
      now_ms += START_MS;
      for (uint32_t i = 0; i < crashes; i++)
        crash (0, REQUEST, 10 * crashes + i);
      tell_all (0);
      now_ms += 10;
      answer (1, REQUEST, 100);
      tell_all (1);
      tell_all (2);
      tell_all (0);
      crash (0, REQUEST, 10 * crashes + 5);
      tell_all (0);
      for (uint32_t i = 0; i < INSTANCES; i++)
        g_assert_cmpint (level (i, REQUEST), ==, QUARANTINE_CLEAR);
      now_ms += 10;
      answer (0, REQUEST, 100);
      tell_all (0);
    }
  tear_down ();
}

/* Guards against an instance that started after the others were told and does
 * not learn the evidence: a message that shows that it lacks some is answered.
 */
static void
test_less_is_answered (void)
{
  set_up ();
  crash (0, REQUEST, 1);
  crash (0, REQUEST, 2);
  crash (0, REQUEST, 3);
  crash (1, REQUEST, 4);
  g_assert_true (tell (1, 0));
  g_assert_false (tell (0, 1));
  g_assert_cmpint (level (1, REQUEST), ==, QUARANTINE_BLOCKED);
  /* Both know the same now, so that no answer follows the answer. */
  g_assert_false (tell (1, 0));
  g_assert_false (tell (0, 1));
  tear_down ();
}

/* Guards against messages that grow with the number of requests, and against
 * single crashes in place of the evidence that blocks a request. */
static void
test_messages_are_bounded (void)
{
  void *scratch = talloc_new (NULL);
  Lwm__CrashEvidence *evidence;

  set_up ();
  crash (0, REQUEST, 1);
  crash (0, REQUEST, 2);
  crash (0, REQUEST, 3);
  crash (0, OTHER, 1);
  crash (0, OTHER, 2);
  for (uint64_t i = 0; i < FLOOD; i++)
    {
      now_ms++;
      crash (0, 1000 + i, 2000 + i);
    }
  evidence = request_crashes_to_message (instances[0], now_ms, scratch);
  g_assert_cmpuint (evidence->n_suspects, ==, MAX_SUSPECTS);
  g_assert_cmpuint (evidence->suspects[0]->part, ==, REQUEST);
  g_assert_cmpuint (evidence->suspects[1]->part, ==, OTHER);
  /* The latest single crash comes first. */
  g_assert_cmpuint (evidence->suspects[2]->part, ==, 1000 + FLOOD - 1);
  talloc_free (scratch);
  tear_down ();
}

/* Guards against single crashes that are told for ever. */
static void
test_old_single_crash_is_not_told (void)
{
  void *scratch = talloc_new (NULL);

  set_up ();
  g_assert_null (request_crashes_to_message (instances[0], now_ms, scratch));
  crash (0, REQUEST, 1);
  g_assert_nonnull (request_crashes_to_message (instances[0], now_ms, scratch));
  now_ms += 2 * 60 * 1000;
  g_assert_null (request_crashes_to_message (instances[0], now_ms, scratch));
  talloc_free (scratch);
  tear_down ();
}

/* Guards against messages for each answer: only evidence is news. */
static void
test_news (void)
{
  set_up ();
  answer (0, REQUEST, 1);
  crash (0, 0, 1);
  answer (0, 0, 1);
  g_assert_cmpuint (news, ==, 0);
  g_assert_cmpint (level (0, 0), ==, QUARANTINE_CLEAR);
  crash (0, REQUEST, 1);
  g_assert_cmpuint (news, ==, 1);
  now_ms += 10;
  answer (0, REQUEST, 2);
  g_assert_cmpuint (news, ==, 2);
  answer (0, REQUEST, 2);
  g_assert_cmpuint (news, ==, 2);
  tear_down ();
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/request-crashes/add-up", test_crashes_add_up);
  g_test_add_func ("/request-crashes/once", test_one_crash_counts_once);
  g_test_add_func ("/request-crashes/answer", test_answer_clears_everywhere);
  g_test_add_func ("/request-crashes/less", test_less_is_answered);
  g_test_add_func ("/request-crashes/bounded", test_messages_are_bounded);
  g_test_add_func ("/request-crashes/old", test_old_single_crash_is_not_told);
  g_test_add_func ("/request-crashes/news", test_news);
  return g_test_run ();
}
