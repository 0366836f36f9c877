/* Checks the earliest time of a signal that a process handles late, with an
 * event loop that ticks. */
#include <event2/event.h>
#include <glib.h>
#include <inttypes.h>
#include <signal.h>
#include <stdio.h>
#include <sys/wait.h>
#include <unistd.h>

#include "base.h"
#include "signal-time.h"

#define TICK_MS     50
#define RUN_MS      500
#define PAUSE_MS    1000
#define LONG_GAP_MS 300

typedef struct
{
  signal_time_t times;
  uint32_t work_ms; /* in the first turn after a pause */
  int told;
} process_state_t;

static void
on_tick (evutil_socket_t fd, short what, void *context)
{
  process_state_t *state = context;
  uint64_t before_ms = state->times.ticks_ms[0];
  uint64_t now_ms = clock_mono_ms ();

  signal_time_tick (&state->times, now_ms);
  if (before_ms > 0 && now_ms - before_ms > LONG_GAP_MS)
    g_usleep (state->work_ms * 1000);
}

/** Tells the earliest time of the signal, and ends the process. */
static void
on_signal (evutil_socket_t fd, short what, void *context)
{
  process_state_t *state = context;
  uint64_t earliest_ms = signal_time_earliest_ms (&state->times);

  _exit (write (state->told, &earliest_ms, sizeof earliest_ms)
                 == sizeof earliest_ms
             ? 0
             : 1);
}

static void
run_loop (process_state_t *state)
{
  struct event_base *base = event_base_new ();
  struct timeval interval = timeval_from_ms (TICK_MS);

  event_add (event_new (base, -1, EV_PERSIST, on_tick, state), &interval);
  event_add (evsignal_new (base, SIGTERM, on_signal, state), NULL);
  event_base_dispatch (base);
  _exit (1);
}

/** Sends SIGTERM to a process that does not run until a while later, and that
 * is busy then. */
static void
expect_early_enough (uint32_t work_ms)
{
  process_state_t state = { .work_ms = work_ms };
  uint64_t earliest_ms;
  uint64_t sent_ms;
  int ends[2];
  pid_t pid;

  g_assert_cmpint (pipe (ends), ==, 0);
  state.told = ends[1];
  pid = fork ();
  if (pid == 0)
    run_loop (&state);
  g_usleep (RUN_MS * 1000);
  kill (pid, SIGSTOP);
  sent_ms = clock_mono_ms ();
  kill (pid, SIGTERM);
  g_usleep (PAUSE_MS * 1000);
  kill (pid, SIGCONT);
  g_assert_cmpint (read (ends[0], &earliest_ms, sizeof earliest_ms), ==,
                   sizeof earliest_ms);
  waitpid (pid, NULL, 0);
  g_assert_cmpuint (earliest_ms, >, 0);
  g_assert_cmpuint (earliest_ms, <=, sent_ms);
  close (ends[0]);
  close (ends[1]);
}

/** Guards against a stop that is counted from too late a time: the ticks that
 * were due during a pause come before the signal that was sent in it. */
static void
test_after_pause (void)
{
  expect_early_enough (0);
  expect_early_enough (TICK_MS / 2);
}

/** The same when the first turn after the pause takes longer than a tick, so
 * that another tick comes before the signal. */
static void
test_busy_after_pause (void)
{
  expect_early_enough (2 * TICK_MS);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/signal-time/after-pause", test_after_pause);
  g_test_add_func ("/signal-time/busy-after-pause", test_busy_after_pause);
  return g_test_run ();
}
