/*
 * Log lines of real processes whose reader stands still for a while, or for
 * good.
 */
#include <signal.h>
#include <string.h>

#include "lib-nodes.h"

/** Enough lines to fill a held pipe, and not the buffer of the process. */
#define SOME_LINES 200
/** Enough lines to fill both. */
#define MANY_LINES 2000
/** Longest time until lines are written that their reader can take. Another
 * line must not come meanwhile. */
#define QUIET_MS        1000
#define LOOK_MS         5
#define MAX_WAIT_MS     10000
#define STOP_TIMEOUT_MS 4000
/** Offsets of the ports of lib-nodes.h. */
#define PORT_STATUS   2
#define PORT_CALLERS  3
#define DROPPED_LINES "lwm_log_lines_dropped_total"

static process_t *
entry_of (const nodes_t *nodes)
{
  return nodes->process[NODES_ENTRY];
}

/** Starts nodes, and holds up the output of the entry instance once it has its
 * configuration. */
static nodes_t *
start_held (void)
{
  nodes_t *nodes = nodes_new (1);

  CLUSTER_WAIT (
      nodes_call (nodes, NODES_ENTRY, PORT_CALLERS, "GET", "/none", NULL)
      == 404);
  process_hold_output (entry_of (nodes));
  return nodes;
}

/** Makes the entry instance write a line for each of a number of requests. */
static void
write_lines (const nodes_t *nodes, uint32_t count)
{
  char *address = nodes_address (nodes, NODES_ENTRY, PORT_CALLERS);

  for (uint32_t i = 0; i < count; i++)
    {
      char *id = g_strdup_printf (NODES_FIELD_ID ": line-%u\r\n", i);
      answer_t answer
          = cluster_call_with (address, "GET", "/none", id, NULL, MAX_WAIT_MS);

      g_assert_cmpint (answer.status, ==, 404);
      cluster_answer_free (&answer);
      g_free (id);
    }
  g_free (address);
}

/** Returns whether a process has logged a request of write_lines(). */
static bool
has_logged (process_t *process, uint32_t number)
{
  char *text = g_strdup_printf ("request=line-%u ", number);
  char *log = process_log (process);
  bool found = strstr (log, text) != NULL;

  g_free (text);
  g_free (log);
  return found;
}

static bool
log_contains (process_t *process, const char *text)
{
  char *log = process_log (process);
  bool found = strstr (log, text) != NULL;

  g_free (log);
  return found;
}

/** Returns whether nothing listens for callers any more, as late in a stop. */
static bool
is_closed (const nodes_t *nodes)
{
  return nodes_call (nodes, NODES_ENTRY, PORT_CALLERS, "GET", "/none", NULL)
         == 0;
}

/** Waits until a process has ended; returns the time taken. */
static uint32_t
wait_for_end (process_t *process)
{
  int64_t start_us = g_get_monotonic_time ();

  while (process_running (process)
         && g_get_monotonic_time () - start_us < MAX_WAIT_MS * 1000)
    cluster_sleep_ms (LOOK_MS);
  return (uint32_t)((g_get_monotonic_time () - start_us) / 1000);
}

/** Guards against a process that ends with lines in its buffer, among them
 * those of its stop, because their reader stood still for a moment. */
static void
test_reader_late_at_the_end (void)
{
  nodes_t *nodes = start_held ();
  process_t *entry = entry_of (nodes);

  write_lines (nodes, SOME_LINES);
  process_signal (entry, SIGTERM);
  CLUSTER_WAIT (is_closed (nodes));
  process_release_output (entry);
  process_expect_success (entry);
  g_assert_true (has_logged (entry, SOME_LINES - 1));
  g_assert_true (log_contains (entry, "entry: Stopped."));
  nodes_free (nodes);
}

/** Guards against lines that wait for the next line although their reader has
 * caught up. */
static void
test_quiet_process (void)
{
  nodes_t *nodes = start_held ();
  process_t *entry = entry_of (nodes);

  write_lines (nodes, SOME_LINES);
  process_release_output (entry);
  cluster_sleep_ms (QUIET_MS);
  g_assert_true (has_logged (entry, SOME_LINES - 1));
  nodes_free (nodes);
}

/** Guards against lines that are left out unnoticed: the notice must have a
 * level, come without another line, and the count be a metric. */
static void
test_left_out (void)
{
  nodes_t *nodes = start_held ();
  process_t *entry = entry_of (nodes);
  char *status = nodes_address (nodes, NODES_ENTRY, PORT_STATUS);

  write_lines (nodes, MANY_LINES);
  g_assert_cmpfloat (cluster_metric (status, DROPPED_LINES), >, 0);
  process_release_output (entry);
  CLUSTER_WAIT (log_contains (entry, "Z WARN log: lines left out. count="));
  g_free (status);
  nodes_free (nodes);
}

/** Guards against a stop that waits for a reader which never reads. */
static void
test_stuck_reader_at_the_end (void)
{
  nodes_t *nodes = start_held ();
  process_t *entry = entry_of (nodes);

  write_lines (nodes, SOME_LINES);
  process_signal (entry, SIGTERM);
  g_assert_cmpuint (wait_for_end (entry), <, STOP_TIMEOUT_MS);
  process_expect_success (entry);
  nodes_free (nodes);
}

/** Starts a product's entry instance whose reader of stderr stands still, and
 * has it write more than the pipe takes. */
static process_t *
start_with_stuck_stderr (cluster_t *cluster, const char *address)
{
  process_t *process;

  cluster_merge_output (cluster);
  process = cluster_start (cluster, "lwm-entryd", "--instance", "a", "--zone",
                           "z", "--listen", address, NULL);
  g_assert_nonnull (process);
  process_hold_output (process);
  for (uint32_t i = 0; i < SOME_LINES; i++)
    {
      char *body = g_strdup_printf (
          "{\"upstream\":\"u%u\",\"incarnation\":1,\"address\":\"%s\","
          "\"zone\":\"z\",\"service\":\"s\",\"kind\":\"service\","
          "\"state\":\"ready\"}",
          i, address);
      answer_t answer = cluster_call_with (address, "POST", "/v1/announce",
                                           NULL, body, MAX_WAIT_MS);

      g_assert_cmpint (answer.status, ==, 200);
      cluster_answer_free (&answer);
      g_free (body);
    }
  return process;
}

/** Guards against a process that stands still, deaf to calls and to SIGTERM,
 * because nobody reads its stderr. */
static void
test_stuck_stderr (void)
{
  cluster_t *cluster = cluster_new ();
  const char *address = cluster_address (cluster);
  process_t *process = start_with_stuck_stderr (cluster, address);

  process_signal (process, SIGTERM);
  g_assert_cmpuint (wait_for_end (process), <, STOP_TIMEOUT_MS);
  process_expect_success (process);
  cluster_free (cluster);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/log-lines/reader-late-at-the-end",
                   test_reader_late_at_the_end);
  g_test_add_func ("/log-lines/quiet-process", test_quiet_process);
  g_test_add_func ("/log-lines/left-out", test_left_out);
  g_test_add_func ("/log-lines/stuck-reader-at-the-end",
                   test_stuck_reader_at_the_end);
  g_test_add_func ("/log-lines/stuck-stderr", test_stuck_stderr);
  return g_test_run ();
}
