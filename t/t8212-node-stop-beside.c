/*
 * The planned stop of an entry instance beside other events, with real
 * processes: slow, silent, failing and leaving upstreams, reserved memory,
 * changes of settings and configuration, a late event loop, and stops in
 * series. Nothing that was read is lost or called not run though it ran. Issue
 * 49.
 *
 * LWM_BESIDE_ROUNDS sets how often each case stops the instance, and
 * LWM_BESIDE_SEED the seed of what is drawn.
 */
#include <glib/gstdio.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>

#include "lib-node-calls.h"
#include "lib-node-routes.h"

#define SLOTS             64
#define STOP_TIMEOUT_S    8
#define SHORT_TIMEOUT_S   6
#define LOOK_MS           5
#define FIRST_VERSION     5
#define UNANSWERED_ORDERS 3
/** A sanitized process looks for leaks after its last answer. */
#ifdef __SANITIZE_ADDRESS__
#define LEAK_CHECK_MS 5000
#else
#define LEAK_CHECK_MS 0
#endif
/** How many requests there are of a kind. */
#define FEW 3
/** When SIGTERM is sent, after the first requests. */
#define SIGTERM_MS 800
/** A long prompt, which needs the memory of two engines. */
#define LONG_PROMPT "Model: m\r\n" NODES_FIELD_TOKENS ": 150000,300\r\n"

/** The processes that all cases share; each case stops the entry instance. */
typedef struct
{
  nodes_t *nodes;
  node_upstreams_t *upstreams;
  int version; /* of the newest configuration */
} fixture_t;

static fixture_t shared;

static uint32_t
number_from_environment (const char *name, uint32_t value)
{
  const char *text = g_getenv (name);

  return text != NULL ? (uint32_t)strtoul (text, NULL, 10) : value;
}

static process_t *
entry_of (const fixture_t *fixture)
{
  return fixture->nodes->process[NODES_ENTRY];
}

static void
put_routes (fixture_t *fixture, node_routes_options_t options)
{
  options.version = ++fixture->version;
  CLUSTER_WAIT (node_routes_put (fixture->nodes, 0, &options) == 200);
}

static fixture_t *
set_up (uint32_t stop_timeout_s)
{
  fixture_t *fixture = &shared;

  if (fixture->nodes == NULL)
    {
      nodes_options_t nodes = { .version = FIRST_VERSION,
                                .stop_timeout_s = stop_timeout_s,
                                .has_all_kinds = true };
      node_upstreams_options_t upstreams
          = { .slots = SLOTS,
              .has_engines = true,
              .unanswered_orders = UNANSWERED_ORDERS };

      fixture->nodes = nodes_new_with (&nodes);
      upstreams.nodes = fixture->nodes;
      fixture->upstreams = node_upstreams_new_with (&upstreams);
      fixture->version = FIRST_VERSION;
    }
  else
    {
      fixture->nodes->stop_timeout_s = stop_timeout_s;
      nodes_start (fixture->nodes, NODES_ENTRY, false);
    }
  put_routes (fixture, (node_routes_options_t){ 0 });
  node_callers_wait_served (fixture->nodes, "/resumed/1/10/0");
  node_callers_wait_served (fixture->nodes, "/prompt/1/10/0");
  node_callers_wait_served (fixture->nodes, "/paused/0");
  return fixture;
}

static void
tear_down (void)
{
  if (shared.nodes == NULL)
    return;
  process_signal (entry_of (&shared), SIGKILL);
  node_upstreams_free (shared.upstreams);
  nodes_free (shared.nodes);
}

static node_callers_t *
new_callers (const fixture_t *fixture, uint32_t seed)
{
  node_callers_options_t options = { .nodes = fixture->nodes, .seed = seed };

  return node_callers_new (&options);
}

static uint32_t
passed_ms (const node_stop_t *stop)
{
  return (uint32_t)((g_get_monotonic_time () - stop->sigterm_us) / 1000);
}

static void
wait_until (const node_stop_t *stop, uint32_t time_ms)
{
  while (passed_ms (stop) < time_ms)
    cluster_sleep_ms (LOOK_MS);
}

static node_stop_t
begin_stop (const fixture_t *fixture)
{
  node_stop_t stop = { .sigterm_us = g_get_monotonic_time (),
                       .timeout_ms = fixture->nodes->stop_timeout_s * 1000 };

  process_signal (entry_of (fixture), SIGTERM);
  return stop;
}

/** Waits for the end of the process and kills it when the stop timeout is over;
 * returns whether it ended by itself. */
static bool
wait_end (const fixture_t *fixture, const node_stop_t *stop)
{
  process_t *entry = entry_of (fixture);

  while (process_running (entry)
         && passed_ms (stop) < stop->timeout_ms + LEAK_CHECK_MS)
    cluster_sleep_ms (LOOK_MS);
  g_test_message ("ended after %u ms", passed_ms (stop));
  if (process_running (entry))
    {
      process_print_log (entry);
      process_signal (entry, SIGKILL);
      return false;
    }
  process_expect_success (entry);
  return true;
}

/** Waits for the end, and checks what the callers got. */
static uint32_t
finish (const fixture_t *fixture,
        node_callers_t *callers,
        const node_stop_t *stop)
{
  bool has_ended = wait_end (fixture, stop);
  node_outcome_t outcome;

  node_callers_finish (callers);
  outcome = node_callers_check (callers, fixture->upstreams, stop);
  g_assert_cmpuint (outcome.requests, >, 0);
  return outcome.faults + !has_ended;
}

/** Adds a number of each of the requests, which are all served if the stop
 * takes nothing from them. */
static void
add_calls (node_callers_t *callers,
           const node_call_t *calls,
           size_t count,
           uint32_t each)
{
  for (size_t i = 0; i < count; i++)
    node_calls_add (callers, &calls[i], each, 30);
}

/** Returns how many of the requests were not served, and prints which. */
static uint32_t
count_unserved (const node_callers_t *callers,
                const node_call_t *calls,
                size_t count)
{
  uint32_t unserved = 0;

  for (size_t i = 0; i < count; i++)
    {
      node_calls_count_t of_path = node_calls_count (callers, calls[i].path);

      if (of_path.served < of_path.requests)
        g_printerr ("%s: %u of %u served\n", calls[i].path, of_path.served,
                    of_path.requests);
      unserved += of_path.requests - of_path.served;
    }
  return unserved;
}

/** One stop beside requests that end at least a second before its end. Each
 * has to be served. Returns the faults. */
static uint32_t
stop_beside_calls (fixture_t *fixture,
                   const node_call_t *calls,
                   size_t count,
                   uint32_t each)
{
  node_callers_t *callers = new_callers (fixture, 1);
  node_stop_t stop;
  uint32_t faults;

  add_calls (callers, calls, count, each);
  cluster_sleep_ms (SIGTERM_MS);
  stop = begin_stop (fixture);
  wait_until (&stop, 300);
  node_upstreams_set_leaving (fixture->upstreams, 1, true);
  faults = finish (fixture, callers, &stop);
  node_upstreams_set_leaving (fixture->upstreams, 1, false);
  faults += count_unserved (callers, calls, count);
  node_callers_free (callers);
  return faults;
}

static void
run_calls (const node_call_t *calls, size_t count, uint32_t each)
{
  uint32_t rounds = number_from_environment ("LWM_BESIDE_ROUNDS", 1);
  uint32_t faults = 0;

  for (uint32_t i = 0; i < rounds; i++)
    faults += stop_beside_calls (set_up (STOP_TIMEOUT_S), calls, count, each);
  g_assert_cmpuint (faults, ==, 0);
}

/** Guards against answers that are cut because their upstream is slow, silent
 * for seconds, leaves, or sends no length, while the instance stops. */
static void
test_slow_upstreams (void)
{
  static const node_call_t calls[]
      = { { .path = "/stream/3/40/1900" },
          { .path = "/stream/2/40/3200" },
          { .path = "/stream/20/40/200/close" },
          { .path = "/stream/3/41/1700/close" },
          { .path = "/unsafe/5000" },
          { .path = "/unsafe/3000/close" },
          { .path = "/safe/2000" },
          { .path = "/safe/1500/close" },
          { .path = "/stream/3/42/1500", .begin_ms = 1200, .body_ms = 400 },
          { .path = "/unsafe/2500", .begin_ms = 1600 } };

  run_calls (calls, G_N_ELEMENTS (calls), FEW);
}

/** Guards against streams that end early because they were resumed at another
 * upstream, or were to be, while the instance stops. Each is one, as an
 * instance without others has a small budget for retries. */
static void
test_resumed_streams (void)
{
  static const node_call_t calls[]
      = { { .path = "/resumed/40/40/100/break/3" },
          { .path = "/resumed/30/40/100/break/13" },
          { .path = "/resumed/4/40/1700" } };

  run_calls (calls, G_N_ELEMENTS (calls), 1);
}

/** Guards against a stream that is not moved whole to another upstream when its
 * own is silent while the instance stops. */
static void
test_silent_upstream (void)
{
  static const node_call_t calls[]
      = { { .path = "/resumed/20/40/100/silent/4/4000" } };

  run_calls (calls, G_N_ELEMENTS (calls), 1);
}

/** Guards against a stream that is cut because its upstream was silent and no
 * other one took it, though its own goes on. */
static void
test_silent_without_other (void)
{
  static const node_call_t calls[]
      = { { .path = "/resumed/20/40/100/silent/4/2500/alone" } };

  run_calls (calls, G_N_ELEMENTS (calls), FEW);
}

/** Guards against long prompts that lose their answer, or are called not run
 * though they ran, while memory is reserved or released for them. */
static void
test_reserved_memory (void)
{
  static const node_call_t calls[] = {
    { .path = "/prompt/30/40/100", .fields = LONG_PROMPT },
    { .path = "/prompt/50/40/100", .fields = LONG_PROMPT },
    { .path = "/prompt/20/41/100", .fields = LONG_PROMPT, .begin_ms = 760 },
    { .path = "/prompt/20/42/100", .fields = LONG_PROMPT, .begin_ms = 1200 },
    { .path = "/prompt/20/43/100", .begin_ms = 1000 }
  };
  fixture_t *fixture = set_up (STOP_TIMEOUT_S);
  node_callers_t *callers = new_callers (fixture, 1);
  node_memory_t memory;
  node_stop_t stop;
  uint32_t faults;

  add_calls (callers, calls, G_N_ELEMENTS (calls), FEW);
  cluster_sleep_ms (SIGTERM_MS);
  stop = begin_stop (fixture);
  faults = finish (fixture, callers, &stop);
  for (size_t i = 0; i < G_N_ELEMENTS (calls); i++)
    {
      node_calls_count_t count = node_calls_count (callers, calls[i].path);

      g_test_message ("%s: %u of %u served", calls[i].path, count.served,
                      count.requests);
    }
  memory = node_upstreams_memory (fixture->upstreams);
  g_test_message ("reserve=%u release=%u held=%u used=%u",
                  memory.reserve_orders, memory.release_orders, memory.held,
                  memory.used_ran);
  node_callers_free (callers);
  g_assert_cmpuint (memory.used_ran, >, 0);
  g_assert_cmpuint (faults, ==, 0);
}

/** How a settings file is spoiled. */
typedef enum
{
  SETTINGS_CUT_BEFORE_TIMEOUT, /* the rest is not written yet */
  SETTINGS_CUT_IN_LINE,
  SETTINGS_EMPTY,
  SETTINGS_GARBAGE,
  SETTINGS_SHORTER_TIMEOUT,
  SETTINGS_WHOLE,
  SETTINGS_KINDS
} settings_kind_t;

static char *
spoil (const char *text, settings_kind_t kind)
{
  const char *line = strstr (text, "stop_timeout_s:");
  char **parts;
  char *result;

  switch (kind)
    {
    case SETTINGS_CUT_BEFORE_TIMEOUT:
      return g_strndup (text, (gsize)(line - text));
    case SETTINGS_CUT_IN_LINE:
      return g_strndup (text, (gsize)(line - text) + 6);
    case SETTINGS_EMPTY:
      return g_strdup ("");
    case SETTINGS_GARBAGE:
      return g_strdup ("{[\n\001");
    case SETTINGS_SHORTER_TIMEOUT:
      parts = g_strsplit (text, "stop_timeout_s: ", 2);
      result = g_strdup_printf ("%sstop_timeout_s: 0.%s", parts[0], parts[1]);
      g_strfreev (parts);
      return result;
    default:
      return g_strdup (text);
    }
}

static void
write_settings (const fixture_t *fixture, settings_kind_t kind)
{
  char *path = nodes_write_settings (fixture->nodes, NODES_ENTRY, false);
  char *text;
  char *spoiled;

  g_assert_true (g_file_get_contents (path, &text, NULL, NULL));
  spoiled = spoil (text, kind);
  g_assert_true (g_file_set_contents (path, spoiled, -1, NULL));
  g_free (path);
  g_free (text);
  g_free (spoiled);
}

static const node_call_t calls_of_changes[]
    = { { .path = "/stream/35/40/100" },
        { .path = "/unsafe/3500" },
        { .path = "/stream/20/41/100", .begin_ms = 1000 },
        { .path = "/resumed/30/40/100/break/14" } };

/** Guards against a stop that cuts what is open because the settings file was
 * half written, or its stop timeout changed, before SIGTERM or after it. */
static uint32_t
stop_beside_settings (settings_kind_t kind, bool is_before)
{
  fixture_t *fixture = set_up (SHORT_TIMEOUT_S);
  node_callers_t *callers = new_callers (fixture, 1);
  node_stop_t stop;
  uint32_t faults;

  add_calls (callers, calls_of_changes, G_N_ELEMENTS (calls_of_changes), FEW);
  if (is_before)
    write_settings (fixture, kind);
  cluster_sleep_ms (SIGTERM_MS);
  stop = begin_stop (fixture);
  wait_until (&stop, 200);
  if (!is_before)
    write_settings (fixture, kind);
  wait_until (&stop, 1200);
  process_signal (entry_of (fixture), SIGHUP);
  faults = finish (fixture, callers, &stop);
  faults += count_unserved (callers, calls_of_changes,
                            G_N_ELEMENTS (calls_of_changes));
  node_callers_free (callers);
  return faults;
}

static void
test_half_written_settings (void)
{
  g_assert_cmpuint (stop_beside_settings (SETTINGS_CUT_BEFORE_TIMEOUT, true),
                    ==, 0);
}

static void
test_changed_timeout (void)
{
  g_assert_cmpuint (stop_beside_settings (SETTINGS_SHORTER_TIMEOUT, false), ==,
                    0);
}

/** Changes settings and configuration until 2.4 s after SIGTERM. */
static void
change_all (fixture_t *fixture, const node_stop_t *stop, GRand *random)
{
  static const node_routes_options_t options[] = { { .timeout_ms = 9000 },
                                                   { .has_no_service = true },
                                                   { .has_no_streams = true },
                                                   { .timeout_ms = 12000 } };

  for (uint32_t i = 0; i < 8; i++)
    {
      wait_until (stop, 300 * i);
      put_routes (fixture, options[i % G_N_ELEMENTS (options)]);
      write_settings (fixture, (settings_kind_t)g_rand_int_range (
                                   random, 0, SETTINGS_SHORTER_TIMEOUT));
      if (g_rand_boolean (random))
        process_signal (entry_of (fixture), SIGHUP);
    }
}

/** Guards against losses that a series of new configurations, reloads and
 * unreadable settings of the same instance causes during its stop. */
static void
test_series_of_changes (void)
{
  uint32_t rounds = number_from_environment ("LWM_BESIDE_ROUNDS", 1);
  uint32_t seed = number_from_environment ("LWM_BESIDE_SEED", 1);
  uint32_t faults = 0;

  for (uint32_t i = 0; i < rounds; i++)
    {
      fixture_t *fixture = set_up (SHORT_TIMEOUT_S);
      node_callers_t *callers = new_callers (fixture, seed + i);
      GRand *random = g_rand_new_with_seed (seed + i);
      node_stop_t stop;

      add_calls (callers, calls_of_changes, 2, FEW);
      node_callers_add (callers, CALLER_BUSY, 8);
      node_callers_add (callers, CALLER_CHUNKED, 4);
      cluster_sleep_ms (SIGTERM_MS);
      stop = begin_stop (fixture);
      change_all (fixture, &stop, random);
      faults += finish (fixture, callers, &stop);
      faults += count_unserved (callers, calls_of_changes, 2);
      node_callers_free (callers);
      g_rand_free (random);
    }
  g_assert_cmpuint (faults, ==, 0);
}

/** Streams that need longer than the stop, and are begun late in it. */
static void
add_late_streams (node_callers_t *callers, uint32_t begin_ms)
{
  node_call_t call = { .path = "/stream/80/40/100", .begin_ms = begin_ms };

  node_calls_add (callers, &call, 6, 20);
}

/** Stops the process for a while; the signals that come meanwhile are handled
 * late, as by a machine that is too busy. */
static void
freeze (const fixture_t *fixture, node_stop_t *stop, uint32_t until_ms)
{
  uint32_t from_ms = passed_ms (stop);

  process_signal (entry_of (fixture), SIGSTOP);
  wait_until (stop, until_ms);
  process_signal (entry_of (fixture), SIGCONT);
  stop->frozen_ms += until_ms - from_ms;
}

/** Guards against a stop whose time is counted from when SIGTERM was handled:
 * requests are taken too late, and the process is killed while it answers. */
static void
test_late_signal (void)
{
  fixture_t *fixture = set_up (SHORT_TIMEOUT_S);
  node_callers_t *callers = new_callers (fixture, 1);
  node_stop_t stop;
  uint32_t faults;

  add_calls (callers, calls_of_changes, 2, FEW);
  add_late_streams (callers, SIGTERM_MS + 3200);
  cluster_sleep_ms (SIGTERM_MS);
  process_signal (entry_of (fixture), SIGSTOP);
  stop = begin_stop (fixture);
  freeze (fixture, &stop, 1500);
  faults = finish (fixture, callers, &stop);
  node_callers_free (callers);
  g_assert_cmpuint (faults, ==, 0);
}

/** Guards against requests that are taken after the time for new requests,
 * because the event loop was late: they would be cut at the end. */
static void
test_late_turn (void)
{
  fixture_t *fixture = set_up (SHORT_TIMEOUT_S);
  node_callers_t *callers = new_callers (fixture, 1);
  node_stop_t stop;
  uint32_t faults;

  add_calls (callers, calls_of_changes, 2, FEW);
  add_late_streams (callers, SIGTERM_MS + 3200);
  cluster_sleep_ms (SIGTERM_MS);
  stop = begin_stop (fixture);
  wait_until (&stop, 2400);
  freeze (fixture, &stop, 3600);
  faults = finish (fixture, callers, &stop);
  node_callers_free (callers);
  g_assert_cmpuint (faults, ==, 0);
}

/** One life of a process that is told to stop soon after its start, in the
 * stop timeout of the one before. */
static uint32_t
run_short_life (fixture_t *fixture, uint32_t seed, uint32_t life_ms)
{
  static const int signals[] = { SIGTERM, SIGINT, SIGHUP };
  GRand *random = g_rand_new_with_seed (seed);
  node_callers_t *callers = new_callers (fixture, seed);
  node_stop_t stop;
  uint32_t faults;

  node_callers_add (callers, CALLER_BUSY, 16);
  node_callers_add (callers, CALLER_MIXED_STREAMS, 16);
  node_callers_add (callers, CALLER_PIPELINED, 4);
  nodes_start (fixture->nodes, NODES_ENTRY, false);
  cluster_sleep_ms (life_ms);
  if (g_rand_boolean (random))
    process_signal (entry_of (fixture), SIGHUP);
  stop = begin_stop (fixture);
  for (int i = 0; i < 4; i++)
    {
      cluster_sleep_ms ((uint32_t)g_rand_int_range (random, 0, 900));
      if (process_running (entry_of (fixture)))
        process_signal (entry_of (fixture),
                        signals[g_rand_int_range (random, 0, 3)]);
    }
  faults = finish (fixture, callers, &stop);
  node_callers_free (callers);
  g_rand_free (random);
  return faults;
}

/** Guards against losses of a process that is told to stop while it starts,
 * before its first configuration or just after it, and again and again. */
static void
test_stop_while_starting (void)
{
  static const uint32_t lives_ms[] = { 0, 60, 700, 20, 200, 1300 };
  uint32_t rounds = number_from_environment ("LWM_BESIDE_ROUNDS", 0);
  uint32_t seed = number_from_environment ("LWM_BESIDE_SEED", 1);
  fixture_t *fixture = set_up (SHORT_TIMEOUT_S);
  uint32_t faults = 0;

  process_signal (entry_of (fixture), SIGKILL);
  for (uint32_t i = 0; i < MAX (rounds, 2); i++)
    faults += run_short_life (fixture, seed + i,
                              lives_ms[i % G_N_ELEMENTS (lives_ms)]);
  g_assert_cmpuint (faults, ==, 0);
}

int
main (int argc, char **argv)
{
  int code;

  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/node-stop-beside/slow-upstreams", test_slow_upstreams);
  g_test_add_func ("/node-stop-beside/resumed-streams", test_resumed_streams);
  g_test_add_func ("/node-stop-beside/silent-upstream", test_silent_upstream);
  g_test_add_func ("/node-stop-beside/silent-without-other",
                   test_silent_without_other);
  g_test_add_func ("/node-stop-beside/reserved-memory", test_reserved_memory);
  g_test_add_func ("/node-stop-beside/half-written-settings",
                   test_half_written_settings);
  g_test_add_func ("/node-stop-beside/changed-timeout", test_changed_timeout);
  g_test_add_func ("/node-stop-beside/series-of-changes",
                   test_series_of_changes);
  g_test_add_func ("/node-stop-beside/late-signal", test_late_signal);
  g_test_add_func ("/node-stop-beside/late-turn", test_late_turn);
  g_test_add_func ("/node-stop-beside/stop-while-starting",
                   test_stop_while_starting);
  code = g_test_run ();
  tear_down ();
  return code;
}
