/*
 * Requests that crash each upstream that begins to run them, with real entry
 * and control instances and upstreams that come back after each crash. Such a
 * request must not run much more often than the three times that prove it, and
 * sound requests are served as before. Issue 58; the bounds are those of
 * docs/design/88-crashing-requests.md.
 */
#include <glib.h>
#include <signal.h>

#include "lib-node-crash-check.h"

#define ENTRIES    6
#define ZONES      3
#define UPSTREAMS  9
#define SLOTS      64
#define RESTART_MS 2000

/** Sound requests of a hundred that are to be served from then on. */
#define MIN_SERVED_PERCENT 95

#define SOUND_EVERY_MS 25
#define EARLIER_MS     2000 /* with sound requests alone */
#define OBSERVE_MS     8000 /* after the bounds hold */
#define OFTEN_MS       250
#define EACH_MS        600
#define KILL_EVERY_MS  1500
#define LOOK_MS        20
#define LEAVE_MS       2000 /* from the announcement to the end */
#define OWN_CRASHES    4
#define BETWEEN_MS     1500
#define LARGE_BYTES    (1024u * 1024)

typedef struct
{
  const crash_request_t *crashing;
  int crashing_count;
  uint32_t every_ms; /* of each crashing request */
  const crash_request_t *sound;
  int sound_count;
  uint32_t sound_every_ms;
  crash_point_t point;
  bool kills_entries;
} case_t;

typedef struct
{
  const case_t *test;
  nodes_t *nodes;
  crash_check_t check;
  int sound_series;
  int series[CRASH_REQUESTS_MAX]; /* of the crashing requests */
  int64_t next_kill_us;
} fixture_t;

static const crash_request_t crashing_get = { .method = "GET",
                                              .path = "/safe/20/crash",
                                              .key = "key-a",
                                              .customer = "c-a" };

/** Returns a large body. Two of them differ in their last byte only. */
static GString *
new_large_body (char last)
{
  GString *body = g_string_sized_new (LARGE_BYTES);

  for (guint i = 0; i < LARGE_BYTES - 1; i++)
    g_string_append_c (body, (char)('a' + i % 23));
  return g_string_append_c (body, last);
}

static fixture_t *
set_up (const case_t *test)
{
  nodes_options_t nodes = { .version = 5,
                            .entries = ENTRIES,
                            .zones = ZONES,
                            .has_all_kinds = true,
                            .has_customers = true };
  crash_upstreams_options_t upstreams
      = { .count = UPSTREAMS,
          .slots = SLOTS,
          .restart_ms = RESTART_MS,
          .crashing = test->crashing,
          .crashing_count = test->crashing_count,
          .point = test->point };
  fixture_t *fixture = g_new0 (fixture_t, 1);

  fixture->test = test;
  fixture->nodes = nodes_new_with (&nodes);
  upstreams.nodes = fixture->nodes;
  fixture->check.upstreams = crash_upstreams_new (&upstreams);
  fixture->check.callers = crash_callers_new (fixture->nodes);
  return fixture;
}

/** Returns whether an entry instance serves. */
static bool
is_served_by (fixture_t *fixture, int entry)
{
  static const crash_request_t first = { .method = "GET", .path = "/safe/0" };
  crash_call_t call
      = crash_callers_call (fixture->check.callers, &first, entry);

  return call.is_served && call.entry == entry;
}

/** Waits until all entry instances serve, and sends sound requests for a
 * while. */
static void
begin_sound (fixture_t *fixture)
{
  for (int i = 0; i < ENTRIES; i++)
    CLUSTER_WAIT (is_served_by (fixture, i));
  fixture->sound_series = crash_callers_add (
      fixture->check.callers, fixture->test->sound, fixture->test->sound_count,
      fixture->test->sound_every_ms);
  cluster_sleep_ms (EARLIER_MS);
}

static void
begin_crashing (fixture_t *fixture)
{
  for (int i = 0; i < fixture->test->crashing_count; i++)
    fixture->series[i] = crash_callers_add (fixture->check.callers,
                                            &fixture->test->crashing[i], 1,
                                            fixture->test->every_ms);
}

/** Kills the entry instance whose turn it is, and starts it again. */
static void
kill_entry (fixture_t *fixture)
{
  crash_kill_t *record = &fixture->check.kills[fixture->check.kill_count];
  int entry = fixture->check.kill_count % ENTRIES;

  g_assert_cmpint (fixture->check.kill_count, <, CRASH_CHECK_MAX_KILLS);
  fixture->check.kill_count++;
  record->entry = entry;
  record->killed_us = g_get_monotonic_time ();
  nodes_kill (fixture->nodes, NODES_ENTRY + entry, false);
  nodes_start (fixture->nodes, NODES_ENTRY + entry, false);
  record->ready_us = g_get_monotonic_time ();
}

/** Does what a case does regularly, once. */
static void
step (fixture_t *fixture)
{
  int64_t now_us = g_get_monotonic_time ();

  if (fixture->test->kills_entries && now_us >= fixture->next_kill_us)
    {
      fixture->next_kill_us = now_us + (int64_t)KILL_EVERY_MS * 1000;
      kill_entry (fixture);
    }
  cluster_sleep_ms (LOOK_MS);
}

static void
run_for (fixture_t *fixture, uint32_t ms)
{
  int64_t end_us = g_get_monotonic_time () + (int64_t)ms * 1000;

  while (g_get_monotonic_time () < end_us)
    step (fixture);
}

/** Returns whether a request has crashed as many upstreams as prove it, or is
 * refused before: an instance also counts crashes that came while the request
 * was on its way to the upstream. */
static bool
is_proven (const fixture_t *fixture, int request)
{
  return crash_check_proof_us (&fixture->check, request) > 0
         || crash_check_tally (&fixture->check, fixture->series[request], 0)
                    .quarantined
                > 0;
}

/** Runs the case until each crashing request is proven; returns whether that
 * came to pass. */
static bool
wait_for_proofs (fixture_t *fixture)
{
  int64_t end_us
      = g_get_monotonic_time () + (int64_t)CLUSTER_WAIT_TIMEOUT_MS * 1000;

  for (int i = 0; i < fixture->test->crashing_count; i++)
    while (!is_proven (fixture, i))
      {
        if (g_get_monotonic_time () > end_us)
          return false;
        step (fixture);
      }
  return true;
}

static void
tear_down (fixture_t *fixture)
{
  for (int i = 0; i < ENTRIES; i++)
    process_signal (fixture->nodes->process[NODES_ENTRY + i], SIGKILL);
  crash_callers_free (fixture->check.callers);
  crash_upstreams_free (fixture->check.upstreams);
  nodes_free (fixture->nodes);
  g_free (fixture);
}

/** Returns what was told to the callers of crashing requests. */
static crash_tally_t
tally_crashing (const fixture_t *fixture)
{
  crash_tally_t sum = { 0 };

  for (int i = 0; i < fixture->test->crashing_count; i++)
    {
      crash_tally_t tally
          = crash_check_tally (&fixture->check, fixture->series[i], 0);

      sum.sent += tally.sent;
      sum.quarantined += tally.quarantined;
      sum.false_refusals += tally.false_refusals;
    }
  return sum;
}

/** Checks the results of a case, and frees the fixture.
 * @param from_us time from which sound requests have to be served */
static void
check_and_tear_down (fixture_t *fixture, int64_t from_us)
{
  int count = fixture->test->crashing_count;
  int late[CRASH_REQUESTS_MAX] = { 0 };
  crash_tally_t sound
      = crash_check_tally (&fixture->check, fixture->sound_series, from_us);
  crash_tally_t crashing = tally_crashing (fixture);

  for (int i = 0; i < count; i++)
    late[i] = crash_check_late_runs (&fixture->check, i);
  g_printerr ("# sound: %d of %d served (at least %d of 100), %d refused as "
              "quarantined; crashing: %d of %d refused so, %d falsely\n",
              sound.served, sound.sent, MIN_SERVED_PERCENT, sound.quarantined,
              crashing.quarantined, crashing.sent, crashing.false_refusals);
  tear_down (fixture);
  g_assert_cmpint (crashing.false_refusals, ==, 0);
  for (int i = 0; i < count; i++)
    g_assert_cmpint (late[i], <=, CRASH_CHECK_MAX_LATE);
  g_assert_cmpint (sound.sent, >, 0);
  g_assert_cmpint (sound.served * 100, >=, sound.sent * MIN_SERVED_PERCENT);
}

static void
run_case (const case_t *test)
{
  fixture_t *fixture = set_up (test);
  bool is_each_proven;
  int64_t from_us;

  begin_sound (fixture);
  begin_crashing (fixture);
  is_each_proven = wait_for_proofs (fixture);
  run_for (fixture, CRASH_CHECK_CONTACT_MS);
  from_us = g_get_monotonic_time ();
  run_for (fixture, OBSERVE_MS);
  crash_callers_finish (fixture->check.callers);
  check_and_tear_down (fixture, from_us);
  g_assert_true (is_each_proven);
}

/** Runs a case with one crashing GET beside sound requests of other paths, of
 * the same path with a body, and of the same path by another customer. */
static void
run_get_case (crash_point_t point, bool kills_entries)
{
  GString *body = g_string_new ("another body");
  crash_request_t sound[]
      = { { .method = "GET", .path = "/safe/20/sound", .key = "key-a" },
          { .method = "POST",
            .path = "/safe/20/crash",
            .key = "key-a",
            .body = body },
          { .method = "GET", .path = "/safe/20/crash", .key = "key-b" },
          { .method = "GET", .path = "/safe/20/crash" },
          { .method = "GET", .path = "/safe/20/sound?of=nobody" } };
  case_t test = { .crashing = &crashing_get,
                  .crashing_count = 1,
                  .every_ms = OFTEN_MS,
                  .sound = sound,
                  .sound_count = G_N_ELEMENTS (sound),
                  .sound_every_ms = SOUND_EVERY_MS,
                  .point = point,
                  .kills_entries = kills_entries };

  run_case (&test);
  g_string_free (body, TRUE);
}

/* Guards against: a request that is sent again at any entry instance and each
 * time crashes one or two more upstreams, until none serves. */
static void
test_often (void)
{
  run_get_case (CRASH_BEFORE_HEAD, false);
}

/* Guards against: crashes that are not held against a request because a part of
 * the head of the answer came before. */
static void
test_within_head (void)
{
  run_get_case (CRASH_WITHIN_HEAD, false);
}

/* Guards against: the same with a part of the body. */
static void
test_within_body (void)
{
  run_get_case (CRASH_WITHIN_BODY, false);
}

/* Guards against: what is known of a request being lost with the entry
 * instances that saw its crashes. */
static void
test_killed_entries (void)
{
  run_get_case (CRASH_BEFORE_HEAD, true);
}

/* Guards against: several crashing requests, which come rarely enough that each
 * crash could have been caused by each of the others. */
static void
test_three (void)
{
  static const crash_request_t crashing[]
      = { { .method = "GET",
            .path = "/safe/20/crash-1",
            .key = "key-a",
            .customer = "c-a" },
          { .method = "GET", .path = "/safe/20/crash-2" },
          { .method = "GET",
            .path = "/safe/20/crash-3",
            .key = "key-b",
            .customer = "c-b" } };
  GString *body = g_string_new ("another body");
  crash_request_t sound[]
      = { { .method = "GET", .path = "/safe/20/sound", .key = "key-a" },
          { .method = "POST", .path = "/safe/20/crash-2", .body = body },
          { .method = "GET", .path = "/safe/20/crash-1", .key = "key-b" },
          { .method = "GET", .path = "/safe/20/crash-3", .key = "key-a" } };
  case_t test = { .crashing = crashing,
                  .crashing_count = G_N_ELEMENTS (crashing),
                  .every_ms = EACH_MS,
                  .sound = sound,
                  .sound_count = G_N_ELEMENTS (sound),
                  .sound_every_ms = SOUND_EVERY_MS };

  run_case (&test);
  g_string_free (body, TRUE);
}

/* Guards against: a body of which only a part or the chunks are compared, so
 * that the crashing request is not recognized, or sound ones are refused. */
static void
test_large_body (void)
{
  GString *body = new_large_body ('x');
  GString *other = new_large_body ('y');
  crash_request_t crashing = { .method = "POST",
                               .path = "/safe/20/crash",
                               .key = "key-a",
                               .customer = "c-a",
                               .body = body,
                               .is_chunked = true };
  crash_request_t sound[] = { crashing,
                              crashing,
                              { .method = "GET", .path = "/safe/20/sound" },
                              { .method = "GET", .path = "/safe/20/crash" },
                              { .method = "GET", .path = "/safe/20/sound-2" } };
  case_t test = { .crashing = &crashing,
                  .crashing_count = 1,
                  .every_ms = OFTEN_MS,
                  .sound = sound,
                  .sound_count = G_N_ELEMENTS (sound),
                  .sound_every_ms = SOUND_EVERY_MS };

  sound[0].body = other;
  sound[1].key = "key-b";
  run_case (&test);
  g_string_free (body, TRUE);
  g_string_free (other, TRUE);
}

/** Expects that no request was refused as quarantined, and that upstreams cut
 * runs, which is what the case is about. */
static void
expect_not_refused (fixture_t *fixture, int min_cut_runs)
{
  int cut_runs = crash_upstreams_cut_runs (fixture->check.upstreams);
  crash_tally_t sound;

  crash_callers_finish (fixture->check.callers);
  sound = crash_check_tally (&fixture->check, fixture->sound_series, 0);
  g_printerr ("# sound: %d of %d served, %d refused as quarantined; %d runs "
              "were cut\n",
              sound.served, sound.sent, sound.quarantined, cut_runs);
  tear_down (fixture);
  g_assert_cmpint (cut_runs, >=, min_cut_runs);
  g_assert_cmpint (sound.quarantined, ==, 0);
}

/** Lets the first upstreams leave at the same time, with the runs that began
 * before, and waits until they are back. */
static void
replace_upstreams (fixture_t *fixture, int count)
{
  run_for (fixture, EARLIER_MS);
  for (int i = 0; i < count; i++)
    crash_upstreams_leave (fixture->check.upstreams, i);
  run_for (fixture, LEAVE_MS);
  for (int i = 0; i < count; i++)
    crash_upstreams_close (fixture->check.upstreams, i);
  run_for (fixture, RESTART_MS + EARLIER_MS);
}

/* Guards against: upstreams that end as planned being taken for crashed, though
 * they cut runs. Most leave at the same time, then all, so that no answer
 * withdraws what would be held against the request. */
static void
test_leaving (void)
{
  static const crash_request_t sound
      = { .method = "GET", .path = "/safe/4000/sound", .key = "key-a" };
  case_t test = { .sound = &sound, .sound_count = 1, .sound_every_ms = 100 };
  fixture_t *fixture = set_up (&test);

  begin_sound (fixture);
  replace_upstreams (fixture, UPSTREAMS - ZONES);
  replace_upstreams (fixture, UPSTREAMS);
  expect_not_refused (fixture, 2 * CRASH_CHECK_PROOF);
}

/** Lets the first upstream crash while it runs requests, and waits until it is
 * back; returns whether it ran any within a time. */
static bool
crash_first_upstream (fixture_t *fixture)
{
  int64_t end_us
      = g_get_monotonic_time () + (int64_t)CLUSTER_WAIT_TIMEOUT_MS * 1000;
  bool has_crashed = false;

  while (!has_crashed && g_get_monotonic_time () < end_us)
    {
      step (fixture);
      has_crashed = crash_upstreams_crash (fixture->check.upstreams, 0);
    }
  run_for (fixture, RESTART_MS + BETWEEN_MS);
  return has_crashed;
}

/* Guards against: crashes of one upstream for reasons of its own being held
 * against a request that others answer in between. */
static void
test_own_crashes (void)
{
  static const crash_request_t sound
      = { .method = "GET", .path = "/safe/1500/sound", .key = "key-a" };
  case_t test = { .sound = &sound, .sound_count = 1, .sound_every_ms = 100 };
  fixture_t *fixture = set_up (&test);
  bool has_crashed = true;

  begin_sound (fixture);
  for (int i = 0; i < OWN_CRASHES && has_crashed; i++)
    has_crashed = crash_first_upstream (fixture);
  expect_not_refused (fixture, OWN_CRASHES);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/crashing-requests/often", test_often);
  g_test_add_func ("/crashing-requests/within-head", test_within_head);
  g_test_add_func ("/crashing-requests/within-body", test_within_body);
  g_test_add_func ("/crashing-requests/killed-entries", test_killed_entries);
  g_test_add_func ("/crashing-requests/three", test_three);
  g_test_add_func ("/crashing-requests/large-body", test_large_body);
  g_test_add_func ("/crashing-requests/leaving", test_leaving);
  g_test_add_func ("/crashing-requests/own-crashes", test_own_crashes);
  return g_test_run ();
}
