/*
 * The planned stop of an entry instance beside changes of its settings and its
 * configuration, a late event loop, and stops in series, with real processes.
 * Nothing that was read is lost or called not run though it ran. Issue 49.
 */
#include <signal.h>
#include <string.h>

#include "lib-node-beside.h"

#define STOP_TIMEOUT_S 6

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
write_settings (const node_beside_t *fixture, settings_kind_t kind)
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
  node_beside_t *fixture = node_beside_set_up (STOP_TIMEOUT_S);
  node_callers_t *callers = node_beside_callers (fixture, 1);
  node_stop_t stop;
  uint32_t faults;

  node_beside_add_calls (callers, calls_of_changes,
                         G_N_ELEMENTS (calls_of_changes), NODE_BESIDE_FEW);
  if (is_before)
    write_settings (fixture, kind);
  cluster_sleep_ms (NODE_BESIDE_SIGTERM_MS);
  stop = node_beside_begin_stop (fixture);
  node_beside_wait_until (&stop, 200);
  if (!is_before)
    write_settings (fixture, kind);
  node_beside_wait_until (&stop, 1200);
  process_signal (node_beside_entry (fixture), SIGHUP);
  faults = node_beside_finish (fixture, callers, &stop);
  faults += node_beside_count_unserved (callers, calls_of_changes,
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
change_all (node_beside_t *fixture, const node_stop_t *stop, GRand *random)
{
  static const node_routes_options_t options[] = { { .timeout_ms = 9000 },
                                                   { .has_no_service = true },
                                                   { .has_no_streams = true },
                                                   { .timeout_ms = 12000 } };

  for (uint32_t i = 0; i < 8; i++)
    {
      node_beside_wait_until (stop, 300 * i);
      node_beside_put_routes (fixture, options[i % G_N_ELEMENTS (options)]);
      write_settings (fixture, (settings_kind_t)g_rand_int_range (
                                   random, 0, SETTINGS_SHORTER_TIMEOUT));
      if (g_rand_boolean (random))
        process_signal (node_beside_entry (fixture), SIGHUP);
    }
}

/** Guards against losses that a series of new configurations, reloads and
 * unreadable settings of the same instance causes during its stop. */
static void
test_series_of_changes (void)
{
  uint32_t rounds = node_beside_number ("LWM_BESIDE_ROUNDS", 1);
  uint32_t seed = node_beside_number ("LWM_BESIDE_SEED", 1);
  uint32_t faults = 0;

  for (uint32_t i = 0; i < rounds; i++)
    {
      node_beside_t *fixture = node_beside_set_up (STOP_TIMEOUT_S);
      node_callers_t *callers = node_beside_callers (fixture, seed + i);
      GRand *random = g_rand_new_with_seed (seed + i);
      node_stop_t stop;

      node_beside_add_calls (callers, calls_of_changes, 2, NODE_BESIDE_FEW);
      node_callers_add (callers, CALLER_BUSY, 8);
      node_callers_add (callers, CALLER_CHUNKED, 4);
      cluster_sleep_ms (NODE_BESIDE_SIGTERM_MS);
      stop = node_beside_begin_stop (fixture);
      change_all (fixture, &stop, random);
      faults += node_beside_finish (fixture, callers, &stop);
      faults += node_beside_count_unserved (callers, calls_of_changes, 2);
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
freeze (const node_beside_t *fixture, node_stop_t *stop, uint32_t until_ms)
{
  uint32_t from_ms = node_beside_passed_ms (stop);

  process_signal (node_beside_entry (fixture), SIGSTOP);
  node_beside_wait_until (stop, until_ms);
  process_signal (node_beside_entry (fixture), SIGCONT);
  stop->frozen_ms += until_ms - from_ms;
}

/** Guards against a stop whose time is counted from when SIGTERM was handled:
 * requests are taken too late, and the process is killed while it answers. */
static void
test_late_signal (void)
{
  node_beside_t *fixture = node_beside_set_up (STOP_TIMEOUT_S);
  node_callers_t *callers = node_beside_callers (fixture, 1);
  node_stop_t stop;
  uint32_t faults;

  node_beside_add_calls (callers, calls_of_changes, 2, NODE_BESIDE_FEW);
  add_late_streams (callers, NODE_BESIDE_SIGTERM_MS + 3200);
  cluster_sleep_ms (NODE_BESIDE_SIGTERM_MS);
  process_signal (node_beside_entry (fixture), SIGSTOP);
  stop = node_beside_begin_stop (fixture);
  freeze (fixture, &stop, 1500);
  faults = node_beside_finish (fixture, callers, &stop);
  node_callers_free (callers);
  g_assert_cmpuint (faults, ==, 0);
}

/** Guards against requests that are taken after the time for new requests,
 * because the event loop was late: they would be cut at the end. */
static void
test_late_turn (void)
{
  node_beside_t *fixture = node_beside_set_up (STOP_TIMEOUT_S);
  node_callers_t *callers = node_beside_callers (fixture, 1);
  node_stop_t stop;
  uint32_t faults;

  node_beside_add_calls (callers, calls_of_changes, 2, NODE_BESIDE_FEW);
  add_late_streams (callers, NODE_BESIDE_SIGTERM_MS + 3200);
  cluster_sleep_ms (NODE_BESIDE_SIGTERM_MS);
  stop = node_beside_begin_stop (fixture);
  node_beside_wait_until (&stop, 2400);
  freeze (fixture, &stop, 3600);
  faults = node_beside_finish (fixture, callers, &stop);
  node_callers_free (callers);
  g_assert_cmpuint (faults, ==, 0);
}

/** One life of a process that is told to stop soon after its start, in the
 * stop timeout of the one before. */
static uint32_t
run_short_life (node_beside_t *fixture, uint32_t seed, uint32_t life_ms)
{
  static const int signals[] = { SIGTERM, SIGINT, SIGHUP };
  GRand *random = g_rand_new_with_seed (seed);
  node_callers_t *callers = node_beside_callers (fixture, seed);
  node_stop_t stop;
  uint32_t faults;

  node_callers_add (callers, CALLER_BUSY, 16);
  node_callers_add (callers, CALLER_MIXED_STREAMS, 16);
  node_callers_add (callers, CALLER_PIPELINED, 4);
  nodes_start (fixture->nodes, NODES_ENTRY, false);
  cluster_sleep_ms (life_ms);
  if (g_rand_boolean (random))
    process_signal (node_beside_entry (fixture), SIGHUP);
  stop = node_beside_begin_stop (fixture);
  for (int i = 0; i < 4; i++)
    {
      cluster_sleep_ms ((uint32_t)g_rand_int_range (random, 0, 900));
      if (process_running (node_beside_entry (fixture)))
        process_signal (node_beside_entry (fixture),
                        signals[g_rand_int_range (random, 0, 3)]);
    }
  faults = node_beside_finish (fixture, callers, &stop);
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
  uint32_t rounds = node_beside_number ("LWM_BESIDE_ROUNDS", 0);
  uint32_t seed = node_beside_number ("LWM_BESIDE_SEED", 1);
  node_beside_t *fixture = node_beside_set_up (STOP_TIMEOUT_S);
  uint32_t faults = 0;

  process_signal (node_beside_entry (fixture), SIGKILL);
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
  g_test_add_func ("/node-stop-changes/half-written-settings",
                   test_half_written_settings);
  g_test_add_func ("/node-stop-changes/changed-timeout", test_changed_timeout);
  g_test_add_func ("/node-stop-changes/series-of-changes",
                   test_series_of_changes);
  g_test_add_func ("/node-stop-changes/late-signal", test_late_signal);
  g_test_add_func ("/node-stop-changes/late-turn", test_late_turn);
  g_test_add_func ("/node-stop-changes/stop-while-starting",
                   test_stop_while_starting);
  code = g_test_run ();
  node_beside_tear_down ();
  return code;
}
