/*
 * Requests that crash each upstream that begins to run them, with real entry
 * and control instances and upstreams that come back after each crash. Such a
 * request must not run much more often than the three times that prove it, and
 * sound requests are served as before. Issue 58; the bounds are those of
 * docs/design/88-crashing-requests.md.
 */
#include <glib.h>
#include <signal.h>
#include <string.h>

#include "lib-node-crash-callers.h"

#define ENTRIES    6
#define ZONES      3
#define UPSTREAMS  9
#define SLOTS      64
#define RESTART_MS 2000

/** Crashes that prove that a request is their cause, and the runs that may
 * begin later than CONTACT_MS after the last of these. */
#define CRASHES_TO_BLOCK 3
#define CONTACT_MS       3000
#define MAX_LATE_RUNS    3
/** Sound requests of a hundred that are to be served from then on. */
#define MIN_SERVED_PERCENT 95

#define SOUND_EVERY_MS 25
#define EARLIER_MS     2000 /* with sound requests alone */
#define OBSERVE_MS     8000 /* after CONTACT_MS */
#define OFTEN_MS       250
#define EACH_MS        600
#define KILL_EVERY_MS  1500
#define LOOK_MS        20
#define LEAVE_MS       2000 /* from the announcement to the end */
#define OWN_CRASHES    4
#define BETWEEN_MS     1500
#define LARGE_BYTES    (1024u * 1024)
#define MAX_KILLS      64

/** An entry instance that was killed, and ready again. */
typedef struct
{
  int entry;
  int64_t killed_us;
  int64_t ready_us; /* 0 while it starts */
} kill_t;

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
  crash_upstreams_t *upstreams;
  crash_callers_t *callers;
  int sound_series;
  kill_t kills[MAX_KILLS];
  int kill_count;
  int64_t next_kill_us;
} fixture_t;

/** Results of the calls of a series from a time on. */
typedef struct
{
  int sent;
  int served;
  int quarantined;
  int false_refusals; /* "quarantined" without Retry-After, or though it ran */
} tally_t;

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
  fixture->upstreams = crash_upstreams_new (&upstreams);
  fixture->callers = crash_callers_new (fixture->nodes);
  return fixture;
}

/** Returns whether an entry instance serves. */
static bool
is_served_by (const fixture_t *fixture, int entry)
{
  static const crash_request_t first = { .method = "GET", .path = "/safe/0" };
  crash_call_t call = crash_callers_call (fixture->callers, &first, entry);

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
      fixture->callers, fixture->test->sound, fixture->test->sound_count,
      fixture->test->sound_every_ms);
  cluster_sleep_ms (EARLIER_MS);
}

static void
begin_crashing (fixture_t *fixture)
{
  for (int i = 0; i < fixture->test->crashing_count; i++)
    crash_callers_add (fixture->callers, &fixture->test->crashing[i], 1,
                       fixture->test->every_ms);
}

/** Kills the entry instance whose turn it is, and starts it again. */
static void
kill_entry (fixture_t *fixture)
{
  kill_t *record = &fixture->kills[fixture->kill_count];
  int entry = fixture->kill_count % ENTRIES;

  g_assert_cmpint (fixture->kill_count, <, MAX_KILLS);
  fixture->kill_count++;
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

/** Returns the time of the crash that proves that a request is the cause, 0 if
 * it has not come. */
static int64_t
find_proof_us (fixture_t *fixture, int request)
{
  GArray *crashes = crash_upstreams_crashes (fixture->upstreams);
  int64_t time_us = 0;
  int count = 0;

  for (guint i = 0; i < crashes->len && time_us == 0; i++)
    {
      const crash_event_t *event = &g_array_index (crashes, crash_event_t, i);

      if (event->request == request && ++count == CRASHES_TO_BLOCK)
        time_us = event->time_us;
    }
  g_array_unref (crashes);
  return time_us;
}

/** Returns the time from which the bounds hold for a request. */
static int64_t
find_bound_us (fixture_t *fixture, int request)
{
  return find_proof_us (fixture, request) + (int64_t)CONTACT_MS * 1000;
}

/** Waits until each crashing request has crashed as many upstreams as prove
 * it. */
static void
wait_for_proofs (fixture_t *fixture)
{
  int64_t end_us
      = g_get_monotonic_time () + (int64_t)CLUSTER_WAIT_TIMEOUT_MS * 1000;

  for (int i = 0; i < fixture->test->crashing_count; i++)
    while (find_proof_us (fixture, i) == 0)
      {
        g_assert_cmpint (g_get_monotonic_time (), <, end_us);
        step (fixture);
      }
}

/** Returns whether the entry instance that sent a run has run for CONTACT_MS:
 * it takes this time at most to learn what the others know. */
static bool
is_from_settled_entry (const fixture_t *fixture, const crash_event_t *run)
{
  int entry = crash_callers_entry_of (run->id);

  for (int i = 0; i < fixture->kill_count; i++)
    {
      const kill_t *record = &fixture->kills[i];
      int64_t settled_us = record->ready_us + (int64_t)CONTACT_MS * 1000;

      if (record->entry == entry && run->time_us >= record->killed_us
          && run->time_us < settled_us)
        return false;
    }
  return true;
}

/** Counts the runs of a request that began too late. */
static int
count_late_runs (fixture_t *fixture, int request)
{
  GArray *runs = crash_upstreams_runs (fixture->upstreams);
  int64_t bound_us = find_bound_us (fixture, request);
  int all = 0;
  int after_bound = 0;
  int late = 0;

  for (guint i = 0; i < runs->len; i++)
    {
      const crash_event_t *run = &g_array_index (runs, crash_event_t, i);

      if (run->request != request)
        continue;
      all++;
      after_bound += run->time_us > bound_us;
      late += run->time_us > bound_us && is_from_settled_entry (fixture, run);
    }
  g_printerr ("# request %d: %d runs, %d after the third crash and %d ms, %d "
              "of them by settled instances (at most %d)\n",
              request, all, after_bound, CONTACT_MS, late, MAX_LATE_RUNS);
  g_array_unref (runs);
  return late;
}

/** Returns whether the entry instance of a call was killed meanwhile. */
static bool
is_cut_by_kill (const fixture_t *fixture, const crash_call_t *call)
{
  for (int i = 0; i < fixture->kill_count; i++)
    if (fixture->kills[i].entry == call->entry
        && fixture->kills[i].killed_us >= call->begun_us
        && fixture->kills[i].killed_us <= call->ended_us)
      return true;
  return false;
}

static bool
has_run (const GArray *runs, const char *id)
{
  for (guint i = 0; i < runs->len; i++)
    if (strcmp (g_array_index (runs, crash_event_t, i).id, id) == 0)
      return true;
  return false;
}

/** Counts the calls of the sound series, or of all others, that began after a
 * time. */
static tally_t
tally_calls (const fixture_t *fixture, bool is_sound, int64_t from_us)
{
  const GArray *calls = crash_callers_calls (fixture->callers);
  GArray *runs = crash_upstreams_runs (fixture->upstreams);
  tally_t tally = { 0 };

  for (guint i = 0; i < calls->len; i++)
    {
      const crash_call_t *call = &g_array_index (calls, crash_call_t, i);

      if ((call->series == fixture->sound_series) != is_sound
          || call->begun_us < from_us || is_cut_by_kill (fixture, call))
        continue;
      tally.sent++;
      tally.served += call->is_served;
      tally.quarantined += call->is_quarantined;
      tally.false_refusals
          += call->is_quarantined
             && (!call->has_retry_after || has_run (runs, call->id));
    }
  g_array_unref (runs);
  return tally;
}

static void
tear_down (fixture_t *fixture)
{
  for (int i = 0; i < ENTRIES; i++)
    process_signal (fixture->nodes->process[NODES_ENTRY + i], SIGKILL);
  crash_callers_free (fixture->callers);
  crash_upstreams_free (fixture->upstreams);
  nodes_free (fixture->nodes);
  g_free (fixture);
}

/** Returns the time from which sound requests have to be served. */
static int64_t
find_last_bound_us (fixture_t *fixture)
{
  int64_t last_us = 0;

  for (int i = 0; i < fixture->test->crashing_count; i++)
    last_us = MAX (last_us, find_bound_us (fixture, i));
  return last_us;
}

/** Checks what came after the third crash of each crashing request, and frees
 * the fixture. */
static void
check_and_tear_down (fixture_t *fixture)
{
  int count = fixture->test->crashing_count;
  int late[CRASH_UPSTREAMS_MAX] = { 0 };
  tally_t sound = tally_calls (fixture, true, find_last_bound_us (fixture));
  tally_t crashing = tally_calls (fixture, false, 0);

  for (int i = 0; i < count; i++)
    late[i] = count_late_runs (fixture, i);
  g_printerr ("# sound: %d of %d served (at least %d of 100), %d refused as "
              "quarantined; crashing: %d of %d refused so, %d falsely\n",
              sound.served, sound.sent, MIN_SERVED_PERCENT, sound.quarantined,
              crashing.quarantined, crashing.sent, crashing.false_refusals);
  tear_down (fixture);
  g_assert_cmpint (crashing.false_refusals, ==, 0);
  for (int i = 0; i < count; i++)
    g_assert_cmpint (late[i], <=, MAX_LATE_RUNS);
  g_assert_cmpint (sound.sent, >, 0);
  g_assert_cmpint (sound.served * 100, >=, sound.sent * MIN_SERVED_PERCENT);
}

static void
run_case (const case_t *test)
{
  fixture_t *fixture = set_up (test);

  begin_sound (fixture);
  begin_crashing (fixture);
  wait_for_proofs (fixture);
  run_for (fixture, CONTACT_MS + OBSERVE_MS);
  crash_callers_finish (fixture->callers);
  check_and_tear_down (fixture);
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
  int cut_runs = crash_upstreams_cut_runs (fixture->upstreams);
  tally_t sound;

  crash_callers_finish (fixture->callers);
  sound = tally_calls (fixture, true, 0);
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
    crash_upstreams_leave (fixture->upstreams, i);
  run_for (fixture, LEAVE_MS);
  for (int i = 0; i < count; i++)
    crash_upstreams_close (fixture->upstreams, i);
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
  expect_not_refused (fixture, 2 * CRASHES_TO_BLOCK);
}

/* Guards against: crashes of one upstream for reasons of its own being held
 * against a request that others answer. */
static void
test_own_crashes (void)
{
  static const crash_request_t sound
      = { .method = "GET", .path = "/safe/1500/sound", .key = "key-a" };
  case_t test = { .sound = &sound, .sound_count = 1, .sound_every_ms = 100 };
  fixture_t *fixture = set_up (&test);

  begin_sound (fixture);
  for (int i = 0; i < OWN_CRASHES; i++)
    {
      run_for (fixture, RESTART_MS + BETWEEN_MS);
      crash_upstreams_crash (fixture->upstreams, 0);
    }
  run_for (fixture, BETWEEN_MS);
  expect_not_refused (fixture, CRASHES_TO_BLOCK);
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
