/*
 * The planned stop of an entry instance, with real processes: no request that
 * was read loses its answer, and none that is called not run has run. Issue 45.
 *
 * LWM_STOP_SEEDS and LWM_STOP_FIRST_SEED set the seeds of the soak.
 */
#include <signal.h>
#include <stdlib.h>
#include <string.h>

#include "lib-node-callers.h"

#define STOP_TIMEOUT_S  8
#define STOP_TIMEOUT_MS (STOP_TIMEOUT_S * 1000)
#define LOOK_MS         5
/** A sanitized process looks for leaks after its last answer. */
#ifdef __SANITIZE_ADDRESS__
#define LEAK_CHECK_MS 5000
#else
#define LEAK_CHECK_MS 0
#endif

#define SLOW_CALLERS     8
#define BUSY_CALLERS     40
#define MANY_SLOTS       64
#define FEW_SLOTS        20 /* fewer in all than the busy callers use */
#define SOAK_SLOTS       12
#define DEFAULT_SEEDS    1
#define ROUNDS_PER_SEED  2
#define FREEZE_MS        700
#define MAX_SIGNALS      4
#define LAST_SIGNAL_MS   4000
#define AFTER_RESTART_MS 700

typedef struct
{
  nodes_t *nodes;
  node_upstreams_t *upstreams;
} fixture_t;

static fixture_t
set_up (int slots)
{
  nodes_options_t options = { .version = 5,
                              .stop_timeout_s = STOP_TIMEOUT_S,
                              .has_all_kinds = true };
  fixture_t fixture = { .nodes = nodes_new_with (&options) };

  fixture.upstreams = node_upstreams_new (fixture.nodes, slots);
  node_callers_wait_served (fixture.nodes, "/safe/0");
  node_callers_wait_served (fixture.nodes, "/paused/0");
  return fixture;
}

static void
tear_down (fixture_t *fixture)
{
  process_signal (fixture->nodes->process[NODES_ENTRY], SIGKILL);
  node_upstreams_free (fixture->upstreams);
  nodes_free (fixture->nodes);
}

static process_t *
entry_of (const fixture_t *fixture)
{
  return fixture->nodes->process[NODES_ENTRY];
}

static node_stop_t
begin_stop (const fixture_t *fixture)
{
  node_stop_t stop = { .sigterm_us = g_get_monotonic_time (),
                       .timeout_ms = STOP_TIMEOUT_MS };

  process_signal (entry_of (fixture), SIGTERM);
  return stop;
}

static uint32_t
passed_ms (const node_stop_t *stop)
{
  return (uint32_t)((g_get_monotonic_time () - stop->sigterm_us) / 1000);
}

/** Waits for the end of the process, which must come by itself and in time. */
static void
expect_end (const fixture_t *fixture, const node_stop_t *stop)
{
  process_t *entry = entry_of (fixture);

  while (process_running (entry)
         && passed_ms (stop) < STOP_TIMEOUT_MS + LEAK_CHECK_MS)
    cluster_sleep_ms (LOOK_MS);
  g_test_message ("ended after %u ms", passed_ms (stop));
  if (process_running (entry))
    process_print_log (entry);
  g_assert_false (process_running (entry));
  process_expect_success (entry);
}

/** Guards against the loss of answers that callers were still reading slowly:
 * the process ended while the rest was in its buffers. */
static void
test_slow_readers (void)
{
  fixture_t fixture = set_up (MANY_SLOTS);
  node_callers_options_t options = { .nodes = fixture.nodes,
                                     .slow = { .events = 20000,
                                               .event_bytes = 285,
                                               .read_bytes = 32 * 1024,
                                               .pause_ms = 45 } };
  node_callers_t *callers = node_callers_new (&options);
  node_outcome_t outcome;
  node_stop_t stop;

  node_callers_add (callers, CALLER_SLOW, SLOW_CALLERS);
  cluster_sleep_ms (150);
  stop = begin_stop (&fixture);
  expect_end (&fixture, &stop);
  node_callers_finish (callers);
  outcome = node_callers_check (callers, fixture.upstreams, &stop);
  node_callers_free (callers);
  tear_down (&fixture);
  g_assert_cmpuint (outcome.requests, ==, SLOW_CALLERS);
  g_assert_cmpuint (outcome.whole - outcome.refused - outcome.failed, ==,
                    SLOW_CALLERS);
  g_assert_cmpuint (outcome.faults, ==, 0);
}

/** Guards against small answers that are lost, and requests that are called not
 * run though they ran, when a busy process stops. */
static void
test_busy_small_answers (void)
{
  fixture_t fixture = set_up (FEW_SLOTS);
  node_callers_options_t options = { .nodes = fixture.nodes, .seed = 1 };
  node_callers_t *callers = node_callers_new (&options);
  node_outcome_t outcome;
  node_stop_t stop;

  node_callers_add (callers, CALLER_BUSY, BUSY_CALLERS);
  node_callers_add (callers, CALLER_STREAMS, BUSY_CALLERS);
  node_callers_add (callers, CALLER_CHUNKED, BUSY_CALLERS / 4);
  cluster_sleep_ms (1500);
  stop = begin_stop (&fixture);
  expect_end (&fixture, &stop);
  node_callers_finish (callers);
  outcome = node_callers_check (callers, fixture.upstreams, &stop);
  node_callers_free (callers);
  tear_down (&fixture);
  g_assert_cmpuint (outcome.whole, >, BUSY_CALLERS);
  g_assert_cmpuint (outcome.faults, ==, 0);
}

/** A signal that a round sends, at a time after SIGTERM. */
typedef struct
{
  int32_t at_ms;
  int number;
} drawn_signal_t;

static int
compare_signals (const void *first, const void *second)
{
  const drawn_signal_t *a = first;
  const drawn_signal_t *b = second;

  return (a->at_ms > b->at_ms) - (a->at_ms < b->at_ms);
}

/** Draws the signals after SIGTERM, in the order of their times. */
static uint32_t
draw_signals (GRand *random, drawn_signal_t signals[MAX_SIGNALS])
{
  static const int numbers[] = { SIGTERM, SIGHUP, SIGINT, SIGSTOP };
  uint32_t count = (uint32_t)g_rand_int_range (random, 0, MAX_SIGNALS + 1);

  for (uint32_t i = 0; i < count; i++)
    {
      signals[i].at_ms = g_rand_int_range (random, 0, LAST_SIGNAL_MS);
      signals[i].number
          = numbers[g_rand_int_range (random, 0, G_N_ELEMENTS (numbers))];
    }
  qsort (signals, count, sizeof *signals, compare_signals);
  return count;
}

static void
send_signal (const fixture_t *fixture, int number, node_stop_t *stop)
{
  g_test_message ("%s at %u ms", g_strsignal (number), passed_ms (stop));
  process_signal (entry_of (fixture), number);
  if (number != SIGSTOP)
    return;
  cluster_sleep_ms (FREEZE_MS);
  process_signal (entry_of (fixture), SIGCONT);
  stop->frozen_ms += FREEZE_MS;
}

/** Sends SIGTERM and what else was drawn, until the process has ended. */
static node_stop_t
stop_with_signals (const fixture_t *fixture, GRand *random)
{
  drawn_signal_t signals[MAX_SIGNALS] = { 0 };
  uint32_t count = draw_signals (random, signals);
  node_stop_t stop;

  if (g_rand_boolean (random))
    process_signal (entry_of (fixture), SIGHUP);
  stop = begin_stop (fixture);
  for (uint32_t i = 0; i < count; i++)
    {
      while (process_running (entry_of (fixture))
             && (int32_t)passed_ms (&stop) < signals[i].at_ms)
        cluster_sleep_ms (LOOK_MS);
      if (process_running (entry_of (fixture)))
        send_signal (fixture, signals[i].number, &stop);
    }
  expect_end (fixture, &stop);
  return stop;
}

static node_callers_t *
start_drawn_callers (const fixture_t *fixture, GRand *random)
{
  node_callers_options_t options
      = { .nodes = fixture->nodes,
          .seed = g_rand_int (random),
          .slow = { .events = (uint32_t)g_rand_int_range (random, 2000, 16000),
                    .event_bytes = 285,
                    .read_bytes = 32 * 1024,
                    .pause_ms = (uint32_t)g_rand_int_range (random, 5, 40) } };
  node_callers_t *callers = node_callers_new (&options);

  for (int kind = 0; kind < CALLER_KINDS; kind++)
    node_callers_add (callers, (caller_kind_t)kind,
                      (uint32_t)g_rand_int_range (random, 0, 9));
  node_callers_add (callers, CALLER_BUSY, 4);
  return callers;
}

static void
restart (const fixture_t *fixture)
{
  nodes_start (fixture->nodes, NODES_ENTRY, false);
}

/** One life of the process, between a start and the end of its stop. */
static uint32_t
run_round (const fixture_t *fixture, GRand *random)
{
  node_callers_t *callers = start_drawn_callers (fixture, random);
  bool is_restarted_in_use = g_rand_boolean (random);
  node_outcome_t outcome;
  node_stop_t stop;

  cluster_sleep_ms ((uint32_t)g_rand_int_range (random, 50, 1500));
  stop = stop_with_signals (fixture, random);
  if (is_restarted_in_use)
    {
      restart (fixture);
      cluster_sleep_ms (AFTER_RESTART_MS);
    }
  node_callers_finish (callers);
  outcome = node_callers_check (callers, fixture->upstreams, &stop);
  node_callers_free (callers);
  if (!is_restarted_in_use)
    restart (fixture);
  node_callers_wait_served (fixture->nodes, "/safe/0");
  return outcome.faults;
}

static uint32_t
number_from_environment (const char *name, uint32_t value)
{
  const char *text = g_getenv (name);

  return text != NULL ? (uint32_t)strtoul (text, NULL, 10) : value;
}

/** Guards against losses that only some mix of callers and signals shows. */
static void
test_soak (void)
{
  uint32_t first = number_from_environment ("LWM_STOP_FIRST_SEED", 1);
  uint32_t seeds = number_from_environment ("LWM_STOP_SEEDS", DEFAULT_SEEDS);
  fixture_t fixture = set_up (SOAK_SLOTS);
  uint32_t failed_seeds = 0;

  for (uint32_t seed = first; seed < first + seeds; seed++)
    {
      GRand *random = g_rand_new_with_seed (seed);
      uint32_t faults = 0;

      g_test_message ("seed %u", seed);
      for (uint32_t round = 0; round < ROUNDS_PER_SEED; round++)
        faults += run_round (&fixture, random);
      if (faults > 0)
        g_printerr ("seed %u: %u faults\n", seed, faults);
      failed_seeds += faults > 0;
      g_rand_free (random);
    }
  tear_down (&fixture);
  g_assert_cmpuint (failed_seeds, ==, 0);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/node-stop/slow-readers", test_slow_readers);
  g_test_add_func ("/node-stop/busy-small-answers", test_busy_small_answers);
  g_test_add_func ("/node-stop/soak", test_soak);
  return g_test_run ();
}
