/*
 * Finds the requests on which upstreams crash as a whole, whether or not they
 * have shared parts of prompts, and tells other instances of them.
 */
#include <glib.h>
#include <talloc.h>

#include "quarantine-message.h"
#include "quarantine.h"

#define COMMON_PART 1
#define DEADLY_PART 2
#define DEADLY      77 /* signatures of requests */
#define SOUND       78
#define MINUTE_MS   (60u * 1000)
#define HOUR_MS     (60u * MINUTE_MS)

static quarantine_t *quarantine;
static uint64_t now_ms;

static void
set_up (void)
{
  quarantine = quarantine_new (NULL, NULL);
  now_ms = HOUR_MS;
}

static void
tear_down (void)
{
  talloc_free (quarantine);
}

/** Returns what is known of a request by; the list of its part is freed after
 * the case. */
static prompt_parts_t
request_of (uint64_t request, uint64_t part)
{
  uint64_t *list = g_memdup2 (&part, sizeof part);

  g_test_queue_free (list);
  return (prompt_parts_t){ .ids = list,
                           .count = part != 0 ? 1 : 0,
                           .request = request };
}

static void
crash_request (uint64_t request, uint64_t part, uint64_t upstream)
{
  prompt_parts_t parts = request_of (request, part);

  quarantine_add_crash (quarantine, &parts, upstream, now_ms);
}

static void
complete_request (uint64_t request, uint64_t upstream)
{
  prompt_parts_t parts = request_of (request, 0);

  quarantine_add_success (quarantine, &parts, upstream, now_ms);
}

static quarantine_level_t
request_level (uint64_t request, uint64_t part)
{
  prompt_parts_t parts = request_of (request, part);

  return quarantine_level (quarantine, &parts);
}

static uint32_t
request_remaining_ms (uint64_t request)
{
  prompt_parts_t parts = request_of (request, 0);

  return quarantine_remaining_ms (quarantine, &parts, now_ms);
}

/* Guards against: one request without shared parts that crashes upstream after
 * upstream (BUDGET), and sound ones that are refused with it (LOST). */
static void
test_same_request_is_found (void)
{
  set_up ();
  crash_request (DEADLY, 0, 101);
  crash_request (DEADLY, 0, 101);
  g_assert_cmpint (request_level (DEADLY, 0), ==, QUARANTINE_CLEAR);
  crash_request (DEADLY, 0, 102);
  g_assert_cmpint (request_level (DEADLY, 0), ==, QUARANTINE_SUSPECT);
  crash_request (DEADLY, 0, 103);
  g_assert_cmpint (request_level (DEADLY, 0), ==, QUARANTINE_BLOCKED);
  g_assert_cmpint (request_level (SOUND, 0), ==, QUARANTINE_CLEAR);
  g_assert_cmpint (request_level (0, 0), ==, QUARANTINE_CLEAR);
  /* A part may have the same number as a signature. */
  g_assert_cmpint (request_level (SOUND, DEADLY), ==, QUARANTINE_CLEAR);
  tear_down ();
}

/* Guards against: a sound request that is refused because it was at upstreams
 * when another one crashed them (LOST). */
static void
test_request_beside_deadly_one (void)
{
  set_up ();
  for (uint64_t upstream = 101; upstream < 104; upstream++)
    {
      crash_request (SOUND, 0, upstream);
      crash_request (DEADLY, 0, upstream);
    }
  crash_request (DEADLY, 0, 104);
  g_assert_cmpint (request_level (SOUND, 0), ==, QUARANTINE_CLEAR);
  g_assert_cmpint (request_level (DEADLY, 0), ==, QUARANTINE_BLOCKED);
  tear_down ();
}

/* Guards against: a part that is refused for the request as a whole (LOST), and
 * one that is not found because such a request held it too (BUDGET). */
static void
test_request_explains_its_part (void)
{
  set_up ();
  for (uint64_t upstream = 101; upstream < 104; upstream++)
    crash_request (DEADLY, COMMON_PART, upstream);
  g_assert_cmpint (request_level (DEADLY, COMMON_PART), ==, QUARANTINE_BLOCKED);
  g_assert_cmpint (request_level (DEADLY, 0), ==, QUARANTINE_BLOCKED);
  g_assert_cmpint (request_level (SOUND, COMMON_PART), ==, QUARANTINE_CLEAR);
  crash_request (SOUND, COMMON_PART, 104);
  g_assert_cmpint (request_level (SOUND, COMMON_PART), ==, QUARANTINE_BLOCKED);
  g_assert_cmpint (request_level (DEADLY, 0), ==, QUARANTINE_CLEAR);
  tear_down ();
}

/* Guards against: a deadly part in requests that differ otherwise, of which
 * each crashes an upstream or two (BUDGET). */
static void
test_part_explains_requests (void)
{
  set_up ();
  for (uint64_t upstream = 101; upstream < 104; upstream++)
    crash_request (1000 + upstream, DEADLY_PART, upstream);
  g_assert_cmpint (request_level (SOUND, DEADLY_PART), ==, QUARANTINE_BLOCKED);
  g_assert_cmpint (request_level (1101, 0), ==, QUARANTINE_CLEAR);
  g_assert_cmpint (request_level (SOUND, COMMON_PART), ==, QUARANTINE_CLEAR);
  tear_down ();
}

/* Guards against: a deadly request that passes for a bystander of a sound part
 * that it shares with others (BUDGET). */
static void
test_proven_part_explains_no_request (void)
{
  prompt_parts_t common = request_of (0, COMMON_PART);

  set_up ();
  quarantine_add_success (quarantine, &common, 100, now_ms);
  for (uint64_t upstream = 101; upstream < 104; upstream++)
    crash_request (DEADLY, COMMON_PART, upstream);
  crash_request (SOUND, COMMON_PART, 104);
  g_assert_cmpint (request_level (DEADLY, COMMON_PART), ==, QUARANTINE_BLOCKED);
  g_assert_cmpint (request_level (SOUND, COMMON_PART), <, QUARANTINE_BLOCKED);
  tear_down ();
}

/* Guards against: a request that is refused although it is answered (LOST), and
 * one that begins its answer each time before it crashes the upstream
 * (BUDGET). */
static void
test_only_complete_answer_withdraws (void)
{
  set_up ();
  crash_request (DEADLY, 0, 101);
  crash_request (DEADLY, 0, 102);
  quarantine_add_answer (quarantine, 103, now_ms);
  crash_request (DEADLY, 0, 103);
  g_assert_cmpint (request_level (DEADLY, 0), ==, QUARANTINE_BLOCKED);
  complete_request (DEADLY, 104);
  g_assert_cmpint (request_level (DEADLY, 0), ==, QUARANTINE_CLEAR);
  crash_request (DEADLY, 0, 105);
  crash_request (DEADLY, 0, 106);
  g_assert_cmpint (request_level (DEADLY, 0), ==, QUARANTINE_SUSPECT);
  /* That it was answered last time has no weight. */
  crash_request (DEADLY, 0, 107);
  g_assert_cmpint (request_level (DEADLY, 0), ==, QUARANTINE_BLOCKED);
  tear_down ();
}

/* Guards against: a request that is refused because upstreams were cut off for
 * a while and did not crash (LOST), and crashes that are forgotten because a
 * process that has started again answers before it is announced (BUDGET). */
static void
test_request_at_living_upstreams (void)
{
  set_up ();
  for (uint64_t upstream = 101; upstream < 104; upstream++)
    crash_request (DEADLY, 0, upstream);
  now_ms += 3000;
  complete_request (SOUND, 102);
  complete_request (SOUND, 103);
  g_assert_cmpint (request_level (DEADLY, 0), ==, QUARANTINE_BLOCKED);
  now_ms += 8000;
  complete_request (SOUND, 102);
  complete_request (SOUND, 103);
  g_assert_cmpint (request_level (DEADLY, 0), ==, QUARANTINE_CLEAR);
  tear_down ();
}

/* Guards against: a request that is blocked for good (LOST), or that is tried
 * again each minute for ever (BUDGET). */
static void
test_block_doubles (void)
{
  static const uint32_t minutes[] = { 1, 2, 4, 8, 10, 10, 10 };
  uint64_t upstream = 101;

  set_up ();
  crash_request (DEADLY, 0, upstream++);
  crash_request (DEADLY, 0, upstream++);
  for (size_t i = 0; i < G_N_ELEMENTS (minutes); i++)
    {
      crash_request (DEADLY, 0, upstream++);
      g_assert_cmpint (request_level (DEADLY, 0), ==, QUARANTINE_BLOCKED);
      g_assert_cmpuint (request_remaining_ms (DEADLY), ==,
                        minutes[i] * MINUTE_MS);
      now_ms += minutes[i] * MINUTE_MS - 1;
      quarantine_tick (quarantine, now_ms);
      g_assert_cmpint (request_level (DEADLY, 0), ==, QUARANTINE_BLOCKED);
      now_ms++;
      quarantine_tick (quarantine, now_ms);
      g_assert_cmpint (request_level (DEADLY, 0), ==, QUARANTINE_SUSPECT);
      g_assert_cmpuint (request_remaining_ms (DEADLY), ==, 0);
      now_ms += 5 * MINUTE_MS;
      quarantine_tick (quarantine, now_ms);
    }
  complete_request (DEADLY, upstream);
  g_assert_cmpint (request_level (DEADLY, 0), ==, QUARANTINE_CLEAR);
  tear_down ();
}

/* Guards against: a first block that is longer because several runs had begun
 * when the request was blocked (LOST). */
static void
test_runs_that_had_begun_do_not_renew (void)
{
  set_up ();
  for (uint64_t upstream = 101; upstream < 108; upstream++)
    crash_request (DEADLY, 0, upstream);
  g_assert_cmpuint (request_remaining_ms (DEADLY), ==, MINUTE_MS);
  tear_down ();
}

/* Guards against: a request that crashes one upstream each few minutes, and
 * gets three of them again and again (BUDGET). */
static void
test_seldom_request_is_found (void)
{
  set_up ();
  for (uint64_t upstream = 101; upstream < 104; upstream++)
    {
      crash_request (DEADLY, 0, upstream);
      for (uint32_t minute = 0; minute < 5 && upstream < 103; minute++)
        quarantine_tick (quarantine, now_ms += MINUTE_MS);
    }
  g_assert_cmpint (request_level (DEADLY, 0), ==, QUARANTINE_BLOCKED);
  now_ms += HOUR_MS;
  quarantine_tick (quarantine, now_ms);
  g_assert_cmpint (request_level (DEADLY, 0), ==, QUARANTINE_CLEAR);
  tear_down ();
}

/** Passes what an instance knows to another, as an acknowledgement does. */
static size_t
tell (const quarantine_t *teller, quarantine_t *receiver)
{
  Lwm__ShareAck ack = LWM__SHARE_ACK__INIT;
  void *scratch = talloc_new (NULL);
  size_t count;

  quarantine_to_ack (teller, now_ms, scratch, &ack);
  count = ack.n_suspects;
  quarantine_from_ack (receiver, &ack, now_ms);
  talloc_free (scratch);
  return count;
}

/* Guards against: instances that each know of too few crashes to refuse the
 * request (BUDGET), and crashes that count twice as two have seen them
 * (LOST). */
static void
test_instances_tell_each_other (void)
{
  prompt_parts_t parts = request_of (DEADLY, 0);
  quarantine_t *other = quarantine_new (NULL, NULL);

  set_up ();
  crash_request (DEADLY, 0, 101);
  crash_request (DEADLY, 0, 102);
  quarantine_add_crash (other, &parts, 101, now_ms);
  for (int i = 0; i < 3; i++)
    {
      now_ms += 1000;
      tell (quarantine, other);
      tell (other, quarantine);
    }
  g_assert_cmpint (quarantine_level (other, &parts), ==, QUARANTINE_SUSPECT);
  g_assert_cmpint (request_level (DEADLY, 0), ==, QUARANTINE_SUSPECT);
  quarantine_add_crash (other, &parts, 103, now_ms);
  tell (other, quarantine);
  g_assert_cmpint (request_level (DEADLY, 0), ==, QUARANTINE_BLOCKED);
  g_assert_cmpuint (request_remaining_ms (DEADLY), ==, MINUTE_MS);
  talloc_free (other);
  tear_down ();
}

/* Guards against: an instance that forgets how often a request was blocked when
 * it starts again (BUDGET). */
static void
test_new_instance_learns_block (void)
{
  prompt_parts_t parts = request_of (DEADLY, 0);
  quarantine_t *other = quarantine_new (NULL, NULL);

  set_up ();
  for (uint64_t upstream = 101; upstream < 104; upstream++)
    crash_request (DEADLY, 0, upstream);
  now_ms += MINUTE_MS;
  crash_request (DEADLY, 0, 104);
  tell (quarantine, other);
  g_assert_cmpuint (quarantine_remaining_ms (other, &parts, now_ms), ==,
                    2 * MINUTE_MS);
  talloc_free (other);
  tear_down ();
}

/* Guards against: a late report that brings back what a complete answer has
 * withdrawn (LOST). */
static void
test_late_report_after_answer (void)
{
  prompt_parts_t parts = request_of (DEADLY, 0);
  quarantine_t *other = quarantine_new (NULL, NULL);
  quarantine_t *late = quarantine_new (NULL, NULL);

  set_up ();
  for (uint64_t upstream = 101; upstream < 104; upstream++)
    crash_request (DEADLY, 0, upstream);
  tell (quarantine, other);
  tell (quarantine, late);
  now_ms += 100;
  complete_request (DEADLY, 105);
  tell (late, quarantine);
  g_assert_cmpint (request_level (DEADLY, 0), ==, QUARANTINE_CLEAR);
  tell (quarantine, other);
  g_assert_cmpint (quarantine_level (other, &parts), ==, QUARANTINE_CLEAR);
  /* One that was cut off for longer than the answer is told. */
  now_ms += 5 * MINUTE_MS;
  tell (late, quarantine);
  tell (late, other);
  g_assert_cmpint (request_level (DEADLY, 0), ==, QUARANTINE_CLEAR);
  g_assert_cmpint (quarantine_level (other, &parts), ==, QUARANTINE_CLEAR);
  talloc_free (other);
  talloc_free (late);
  tear_down ();
}

static void
count_suspect (const quarantine_suspect_t *suspect, void *context)
{
  (*(uint32_t *)context)++;
}

/* Guards against: callers that push out, with other requests, the evidence
 * against one that is blocked (BUDGET), and memory that grows with what they
 * send. */
static void
test_flood_of_requests (void)
{
  quarantine_t *other = quarantine_new (NULL, NULL);
  prompt_parts_t parts = request_of (DEADLY, 0);
  uint32_t requests = 0;

  set_up ();
  for (uint64_t upstream = 101; upstream < 104; upstream++)
    crash_request (DEADLY, 0, upstream);
  for (uint64_t request = 1000; request < 20000; request++)
    {
      now_ms++;
      crash_request (request, 0, 1000 + request % 7);
      crash_request (request, 0, 2000 + request % 7);
      if (request % 3 == 0)
        complete_request (request, 99);
    }
  quarantine_each_request (quarantine, count_suspect, &requests);
  g_assert_cmpuint (requests, <=, 256);
  g_assert_cmpuint (requests, >=, 128);
  g_assert_cmpint (request_level (DEADLY, 0), ==, QUARANTINE_BLOCKED);
  /* The worst is among the few that others are told of. */
  g_assert_cmpuint (tell (quarantine, other), ==, 32);
  g_assert_cmpint (quarantine_level (other, &parts), ==, QUARANTINE_BLOCKED);
  /* A full table of worse ones does not make room for a report. */
  for (int i = 0; i < 3; i++)
    tell (other, quarantine);
  g_assert_cmpint (request_level (DEADLY, 0), ==, QUARANTINE_BLOCKED);
  talloc_free (other);
  tear_down ();
}

/* Guards against: a message without a signature that blocks every request which
 * has none (LOST). */
static void
test_report_without_signature (void)
{
  quarantine_suspect_t reported = { .is_request = true,
                                    .crashes = { 101, 102, 103 },
                                    .crash_count = 3,
                                    .last_ms = HOUR_MS };

  set_up ();
  quarantine_merge (quarantine, &reported, now_ms);
  g_assert_cmpint (request_level (0, COMMON_PART), ==, QUARANTINE_CLEAR);
  tear_down ();
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/quarantine-requests/same-request-is-found",
                   test_same_request_is_found);
  g_test_add_func ("/quarantine-requests/request-beside-deadly-one",
                   test_request_beside_deadly_one);
  g_test_add_func ("/quarantine-requests/request-explains-its-part",
                   test_request_explains_its_part);
  g_test_add_func ("/quarantine-requests/part-explains-requests",
                   test_part_explains_requests);
  g_test_add_func ("/quarantine-requests/proven-part-explains-no-request",
                   test_proven_part_explains_no_request);
  g_test_add_func ("/quarantine-requests/only-complete-answer-withdraws",
                   test_only_complete_answer_withdraws);
  g_test_add_func ("/quarantine-requests/request-at-living-upstreams",
                   test_request_at_living_upstreams);
  g_test_add_func ("/quarantine-requests/block-doubles", test_block_doubles);
  g_test_add_func ("/quarantine-requests/runs-that-had-begun",
                   test_runs_that_had_begun_do_not_renew);
  g_test_add_func ("/quarantine-requests/seldom-request-is-found",
                   test_seldom_request_is_found);
  g_test_add_func ("/quarantine-requests/instances-tell-each-other",
                   test_instances_tell_each_other);
  g_test_add_func ("/quarantine-requests/new-instance-learns-block",
                   test_new_instance_learns_block);
  g_test_add_func ("/quarantine-requests/late-report-after-answer",
                   test_late_report_after_answer);
  g_test_add_func ("/quarantine-requests/flood-of-requests",
                   test_flood_of_requests);
  g_test_add_func ("/quarantine-requests/report-without-signature",
                   test_report_without_signature);
  return g_test_run ();
}
