/*
 * Finds the part of prompts on which upstreams crash, among requests that share
 * their other parts with sound ones.
 */
#include <event2/buffer.h>
#include <glib.h>
#include <string.h>
#include <talloc.h>

#include "quarantine.h"

#define COMMON_PART 1
#define DEADLY_PART 2
#define OTHER_PART  3
#define KEPT_METRIC "lwm_quarantine_suspects"
#define MAX_KEPT    4096
#define HOUR_MS     (60u * 60 * 1000)
/** Between crashes that have no common cause. */
#define CRASH_GAP_MS 600
#define FAST_GAP_MS  400

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

/** Returns the parts of a prompt, whose list is freed after the case. */
static prompt_parts_t
parts_of (uint64_t first, uint64_t second)
{
  const uint64_t ids[] = { first, second };
  uint64_t *list = g_memdup2 (ids, sizeof ids);

  g_test_queue_free (list);
  return (prompt_parts_t){ .ids = list, .count = second != 0 ? 2 : 1 };
}

static void
crash (uint64_t first, uint64_t second, uint64_t upstream)
{
  prompt_parts_t parts = parts_of (first, second);

  quarantine_add_crash (quarantine, &parts, upstream, now_ms);
}

/** An answer that is complete. */
static void
answer (uint64_t first, uint64_t second, uint64_t upstream)
{
  prompt_parts_t parts = parts_of (first, second);

  quarantine_add_success (quarantine, &parts, upstream, now_ms);
}

static quarantine_level_t
level (uint64_t first, uint64_t second)
{
  prompt_parts_t parts = parts_of (first, second);

  return quarantine_level (quarantine, &parts);
}

/* Guards against: requests of one kind that crash upstream after upstream
 * (BUDGET), and sound ones that are refused because they share a part with them
 * (LOST). */
static void
test_deadly_part_is_found (void)
{
  set_up ();
  answer (COMMON_PART, 0, 100);
  crash (COMMON_PART, DEADLY_PART, 101);
  g_assert_cmpint (level (COMMON_PART, DEADLY_PART), ==, QUARANTINE_CLEAR);
  crash (COMMON_PART, DEADLY_PART, 102);
  g_assert_cmpint (level (COMMON_PART, DEADLY_PART), ==, QUARANTINE_SUSPECT);
  crash (COMMON_PART, DEADLY_PART, 103);
  g_assert_cmpint (level (COMMON_PART, DEADLY_PART), ==, QUARANTINE_BLOCKED);
  g_assert_cmpint (level (COMMON_PART, OTHER_PART), ==, QUARANTINE_CLEAR);
  answer (COMMON_PART, OTHER_PART, 104);
  g_assert_cmpint (level (COMMON_PART, DEADLY_PART), ==, QUARANTINE_BLOCKED);
  tear_down ();
}

/* Guards against: a key or first part that is refused altogether because its
 * sound requests waited at upstreams that crashed (LOST). */
static void
test_common_part_stays_clear (void)
{
  set_up ();
  answer (COMMON_PART, 0, 100);
  for (uint64_t upstream = 101; upstream < 120; upstream++)
    crash (COMMON_PART, DEADLY_PART, upstream);
  g_assert_cmpint (level (COMMON_PART, DEADLY_PART), ==, QUARANTINE_BLOCKED);
  g_assert_cmpint (level (COMMON_PART, OTHER_PART), ==, QUARANTINE_CLEAR);
  tear_down ();
}

/** Requests that were cut off by the crashes of another one. */
static void
test_bystander_is_no_suspect (void)
{
  set_up ();
  for (uint64_t upstream = 101; upstream < 104; upstream++)
    {
      crash (DEADLY_PART, 0, upstream);
      crash (OTHER_PART, 0, upstream);
    }
  crash (DEADLY_PART, 0, 104);
  g_assert_cmpint (level (DEADLY_PART, 0), ==, QUARANTINE_BLOCKED);
  g_assert_cmpint (level (OTHER_PART, 0), ==, QUARANTINE_CLEAR);
  tear_down ();
}

/** Upstreams that lose power or are replaced cut off different requests. */
static void
test_other_crashes_suspect_nobody (void)
{
  set_up ();
  for (uint64_t upstream = 1; upstream <= 50; upstream++)
    {
      now_ms += 2000;
      for (uint64_t i = 0; i < 4; i++)
        crash (COMMON_PART, 1000 * upstream + i, upstream);
      answer (COMMON_PART, 0, 500 + upstream);
    }
  g_assert_cmpint (level (COMMON_PART, 0), ==, QUARANTINE_CLEAR);
  g_assert_cmpint (level (COMMON_PART, 50000), ==, QUARANTINE_CLEAR);
  tear_down ();
}

/** A connection that was reset shows no crash when its upstream answers on. */
static void
test_living_upstream_has_not_crashed (void)
{
  set_up ();
  for (uint64_t upstream = 101; upstream < 104; upstream++)
    crash (DEADLY_PART, 0, upstream);
  now_ms += 2000;
  answer (OTHER_PART, 0, 102);
  answer (OTHER_PART, 0, 103);
  g_assert_cmpint (level (DEADLY_PART, 0), ==, QUARANTINE_CLEAR);
  tear_down ();
}

/** A part is blocked also when it was sound before. */
static void
test_part_that_becomes_deadly (void)
{
  set_up ();
  answer (DEADLY_PART, 0, 100);
  for (uint64_t upstream = 101; upstream < 106; upstream++)
    {
      now_ms += CRASH_GAP_MS;
      crash (DEADLY_PART, 0, upstream);
    }
  g_assert_cmpint (level (DEADLY_PART, 0), ==, QUARANTINE_SUSPECT);
  now_ms += CRASH_GAP_MS;
  crash (DEADLY_PART, 0, 106);
  g_assert_cmpint (level (DEADLY_PART, 0), ==, QUARANTINE_BLOCKED);
  tear_down ();
}

/* Guards against: a part that proved sound and then crashes upstreams so fast
 * that all crashes pass for one moment (BUDGET). */
static void
test_fast_crashes (void)
{
  set_up ();
  answer (DEADLY_PART, 0, 100);
  for (uint64_t upstream = 101; upstream < 113; upstream++)
    {
      now_ms += FAST_GAP_MS;
      crash (DEADLY_PART, 0, upstream);
    }
  g_assert_cmpint (level (DEADLY_PART, 0), ==, QUARANTINE_BLOCKED);
  tear_down ();
}

/* Guards against: a part on which upstreams crash after the first event of the
 * answer, which is taken for sound each time (BUDGET). */
static void
test_first_event_proves_nothing (void)
{
  set_up ();
  for (uint64_t upstream = 101; upstream < 104; upstream++)
    {
      now_ms += CRASH_GAP_MS;
      quarantine_add_answer (quarantine, upstream, now_ms);
      now_ms += 20;
      crash (COMMON_PART, DEADLY_PART, upstream);
      answer (COMMON_PART, OTHER_PART, 200 + upstream);
    }
  g_assert_cmpint (level (COMMON_PART, DEADLY_PART), ==, QUARANTINE_BLOCKED);
  g_assert_cmpint (level (COMMON_PART, OTHER_PART), ==, QUARANTINE_CLEAR);
  tear_down ();
}

/* Guards against: sound parts that are refused after all upstreams lost power,
 * or an instance its network, at one moment (LOST). */
static void
test_common_cause (void)
{
  set_up ();
  answer (COMMON_PART, 0, 100);
  for (uint64_t upstream = 101; upstream < 130; upstream++)
    {
      now_ms += 10;
      crash (COMMON_PART, 0, upstream);
    }
  g_assert_cmpint (level (COMMON_PART, 0), ==, QUARANTINE_CLEAR);
  /* Neither that of a part which was never answered and was not at all. */
  crash (OTHER_PART, 0, 101);
  crash (OTHER_PART, 0, 102);
  crash (OTHER_PART, 0, 103);
  g_assert_cmpint (level (OTHER_PART, 0), ==, QUARANTINE_CLEAR);
  tear_down ();
}

/* Guards against: sound prompts that are refused because their first part was
 * not used for a while when a deadly one came with it (LOST). */
static void
test_proof_is_kept (void)
{
  set_up ();
  answer (COMMON_PART, 0, 100);
  now_ms += 10u * 60 * 1000;
  quarantine_tick (quarantine, now_ms);
  for (uint64_t upstream = 101; upstream < 110; upstream++)
    {
      now_ms += CRASH_GAP_MS;
      crash (COMMON_PART, DEADLY_PART, upstream);
    }
  g_assert_cmpint (level (COMMON_PART, DEADLY_PART), ==, QUARANTINE_BLOCKED);
  g_assert_cmpint (level (COMMON_PART, OTHER_PART), ==, QUARANTINE_CLEAR);
  tear_down ();
}

/* Guards against: a crash that is counted again, as another instance reports it
 * with a later one after an answer has withdrawn it. */
static void
test_report_with_disproved_crashes (void)
{
  quarantine_suspect_t reported
      = { .part = COMMON_PART,
          .crashes = { 101, 102, 103 },
          .crashed_ms = { HOUR_MS, HOUR_MS + 10, HOUR_MS + 3000 },
          .crash_count = 3,
          .last_ms = HOUR_MS + 3000 };

  set_up ();
  now_ms += 2000;
  answer (COMMON_PART, 0, 100);
  now_ms += 2000;
  quarantine_merge (quarantine, &reported, now_ms);
  g_assert_cmpint (level (COMMON_PART, 0), ==, QUARANTINE_CLEAR);
  tear_down ();
}

/** Reports of the same crash count once, in any order. */
static void
test_reports_are_merged (void)
{
  quarantine_suspect_t one = { .part = DEADLY_PART,
                               .crashes = { 101, 102 },
                               .crashed_ms = { HOUR_MS, HOUR_MS },
                               .crash_count = 2,
                               .last_ms = HOUR_MS };
  quarantine_suspect_t other = { .part = DEADLY_PART,
                                 .crashes = { 102, 103 },
                                 .crashed_ms = { HOUR_MS, HOUR_MS },
                                 .crash_count = 2,
                                 .last_ms = HOUR_MS };

  set_up ();
  for (int i = 0; i < 3; i++)
    quarantine_merge (quarantine, &one, now_ms);
  g_assert_cmpint (level (DEADLY_PART, 0), ==, QUARANTINE_SUSPECT);
  quarantine_merge (quarantine, &other, now_ms);
  g_assert_cmpint (level (DEADLY_PART, 0), ==, QUARANTINE_BLOCKED);
  quarantine_merge_part_success (quarantine, DEADLY_PART, HOUR_MS - 1);
  g_assert_cmpint (level (DEADLY_PART, 0), ==, QUARANTINE_BLOCKED);
  quarantine_merge_part_success (quarantine, DEADLY_PART, HOUR_MS + 1);
  g_assert_cmpint (level (DEADLY_PART, 0), ==, QUARANTINE_CLEAR);
  /* A late report of what the answer has disproved. */
  quarantine_merge (quarantine, &one, now_ms);
  g_assert_cmpint (level (DEADLY_PART, 0), ==, QUARANTINE_CLEAR);
  tear_down ();
}

/** There is a way back: the part is tried again, and blocked by one crash. */
static void
test_quarantine_ends (void)
{
  prompt_parts_t parts = parts_of (DEADLY_PART, 0);

  set_up ();
  for (uint64_t upstream = 101; upstream < 104; upstream++)
    crash (DEADLY_PART, 0, upstream);
  g_assert_cmpuint (quarantine_remaining_ms (quarantine, &parts, now_ms), >, 0);
  now_ms += quarantine_remaining_ms (quarantine, &parts, now_ms);
  quarantine_tick (quarantine, now_ms);
  g_assert_cmpint (level (DEADLY_PART, 0), ==, QUARANTINE_SUSPECT);
  g_assert_cmpuint (quarantine_remaining_ms (quarantine, &parts, now_ms), ==,
                    0);
  crash (DEADLY_PART, 0, 104);
  g_assert_cmpint (level (DEADLY_PART, 0), ==, QUARANTINE_BLOCKED);
  now_ms += HOUR_MS;
  quarantine_tick (quarantine, now_ms);
  answer (DEADLY_PART, 0, 105);
  g_assert_cmpint (level (DEADLY_PART, 0), ==, QUARANTINE_CLEAR);
  tear_down ();
}

static void
count_suspect (const quarantine_suspect_t *suspect, void *context)
{
  (*(uint32_t *)context)++;
}

/** Returns the number of parts with evidence. */
static double
count_kept (metrics_t *metrics)
{
  struct evbuffer *out = evbuffer_new ();
  const char *line;
  double count;

  metrics_write (metrics, out);
  evbuffer_add (out, "", 1);
  line = strstr ((char *)evbuffer_pullup (out, -1), "\n" KEPT_METRIC " ");
  g_assert_nonnull (line);
  count = g_ascii_strtod (line + 1 + strlen (KEPT_METRIC), NULL);
  evbuffer_free (out);
  return count;
}

/** Callers cannot fill the memory, nor push out what is blocked. */
static void
test_memory_is_bounded (void)
{
  metrics_t *metrics = metrics_new (NULL);
  uint32_t suspects = 0;

  set_up ();
  talloc_free (quarantine);
  quarantine = quarantine_new (NULL, metrics);
  for (uint64_t upstream = 101; upstream < 104; upstream++)
    crash (DEADLY_PART, 0, upstream);
  now_ms += CRASH_GAP_MS;
  for (uint64_t part = 1000; part < 50000; part++)
    {
      now_ms++;
      crash (part, 0, 1000 + part % 7);
      answer (100000 + part, 0, 99);
    }
  quarantine_each_suspect (quarantine, count_suspect, &suspects);
  g_assert_cmpuint (suspects, <=, 256);
  g_assert_cmpfloat (count_kept (metrics), <=, MAX_KEPT);
  g_assert_cmpint (level (DEADLY_PART, 0), ==, QUARANTINE_BLOCKED);
  tear_down ();
  talloc_free (metrics);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/quarantine/deadly-part-is-found",
                   test_deadly_part_is_found);
  g_test_add_func ("/quarantine/common-part-stays-clear",
                   test_common_part_stays_clear);
  g_test_add_func ("/quarantine/bystander-is-no-suspect",
                   test_bystander_is_no_suspect);
  g_test_add_func ("/quarantine/other-crashes-suspect-nobody",
                   test_other_crashes_suspect_nobody);
  g_test_add_func ("/quarantine/living-upstream-has-not-crashed",
                   test_living_upstream_has_not_crashed);
  g_test_add_func ("/quarantine/part-that-becomes-deadly",
                   test_part_that_becomes_deadly);
  g_test_add_func ("/quarantine/first-event-proves-nothing",
                   test_first_event_proves_nothing);
  g_test_add_func ("/quarantine/fast-crashes", test_fast_crashes);
  g_test_add_func ("/quarantine/common-cause", test_common_cause);
  g_test_add_func ("/quarantine/proof-is-kept", test_proof_is_kept);
  g_test_add_func ("/quarantine/report-with-disproved-crashes",
                   test_report_with_disproved_crashes);
  g_test_add_func ("/quarantine/reports-are-merged", test_reports_are_merged);
  g_test_add_func ("/quarantine/ends", test_quarantine_ends);
  g_test_add_func ("/quarantine/memory-is-bounded", test_memory_is_bounded);
  return g_test_run ();
}
