/* Checks the log sink with a reader that is slow, or does not read at all: a
 * write must never block, and dropped lines must be counted. */
#include <fcntl.h>
#include <glib.h>
#include <inttypes.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <talloc.h>
#include <unistd.h>

#include "log-sink.h"

#define LINE_BYTES 100
#define LINES      20000

/** When a late reader begins, and longest wait for it. */
#define READER_DELAY_MS 100
#define LONG_WAIT_MS    20000
/** Wait for a reader that never reads, and upper bound of the time taken. */
#define SHORT_WAIT_MS 50
#define BOUND_MS      2000

static size_t
report_count (char *line, size_t size_bytes, uint64_t count)
{
  return (size_t)snprintf (line, size_bytes,
                           "lines left out. count=%" PRIu64 "\n", count);
}

static void
write_lines (log_sink_t *sink, uint32_t count)
{
  char line[LINE_BYTES];

  memset (line, 'x', sizeof line);
  line[sizeof line - 1] = '\n';
  for (uint32_t i = 0; i < count; i++)
    log_sink_write (sink, line, sizeof line);
}

/** Reads everything that the pipe holds now. */
static GString *
read_available (int fd)
{
  GString *text = g_string_new (NULL);
  char block[4096];
  ssize_t got;

  while ((got = read (fd, block, sizeof block)) > 0)
    g_string_append_len (text, block, got);
  return text;
}

/**
 * Nothing reads the pipe: the writer must not block, and the number of dropped
 * lines must be logged once the pipe has room again.
 */
static void
test_stalled_pipe (void)
{
  int fds[2];
  log_sink_options_t options
      = { .buffer_bytes = 10000, .report = report_count };
  log_sink_t *sink;
  GString *text;
  uint64_t dropped;

  g_assert_cmpint (pipe2 (fds, O_NONBLOCK), ==, 0);
  options.fd = fds[1];
  sink = log_sink_new (NULL, &options);
  write_lines (sink, LINES);
  dropped = log_sink_dropped_lines (sink);
  g_assert_cmpuint (dropped, >, 0);
  g_assert_cmpuint (dropped, <, LINES);
  text = read_available (fds[0]);
  g_string_free (text, TRUE);
  write_lines (sink, 1);
  text = read_available (fds[0]);
  g_assert_nonnull (strstr (text->str, "lines left out. count="));
  g_assert_true (g_str_has_suffix (text->str, "x\n"));
  g_string_free (text, TRUE);
  talloc_free (sink);
  close (fds[0]);
  close (fds[1]);
}

static void
test_read_pipe (void)
{
  int fds[2];
  log_sink_options_t options = { .buffer_bytes = 1000, .report = report_count };
  log_sink_t *sink;
  GString *text;

  g_assert_cmpint (pipe2 (fds, O_NONBLOCK), ==, 0);
  options.fd = fds[1];
  sink = log_sink_new (NULL, &options);
  write_lines (sink, 3);
  text = read_available (fds[0]);
  g_assert_cmpuint (text->len, ==, 3 * LINE_BYTES);
  g_assert_cmpuint (log_sink_dropped_lines (sink), ==, 0);
  g_string_free (text, TRUE);
  talloc_free (sink);
  close (fds[0]);
  close (fds[1]);
}

/** Reads a pipe to its end, from a while later on. */
static void *
read_late (void *data)
{
  int fd = GPOINTER_TO_INT (data);
  GString *text = g_string_new (NULL);
  char block[4096];
  ssize_t got;

  g_usleep (READER_DELAY_MS * 1000);
  while ((got = read (fd, block, sizeof block)) > 0)
    g_string_append_len (text, block, got);
  return text;
}

/** Guards against lines, and a count of dropped ones, that are left behind when
 * a process ends. */
static void
test_flush_waits (void)
{
  int fds[2];
  log_sink_options_t options
      = { .buffer_bytes = 10000, .report = report_count };
  log_sink_t *sink;
  GThread *reader;
  GString *text;
  uint64_t dropped;

  g_assert_cmpint (pipe (fds), ==, 0);
  options.fd = fds[1];
  sink = log_sink_new (NULL, &options);
  write_lines (sink, LINES);
  g_assert_true (log_sink_has_unwritten (sink));
  reader = g_thread_new ("reader", read_late, GINT_TO_POINTER (fds[0]));
  g_assert_true (log_sink_flush (sink, LONG_WAIT_MS));
  g_assert_false (log_sink_has_unwritten (sink));
  dropped = log_sink_dropped_lines (sink);
  talloc_free (sink);
  close (fds[1]);
  text = g_thread_join (reader);
  g_assert_cmpuint (text->len, >, (LINES - dropped) * LINE_BYTES);
  g_assert_nonnull (strstr (text->str, "lines left out. count="));
  g_string_free (text, TRUE);
  close (fds[0]);
}

/** Guards against an end that waits for a reader which never reads. */
static void
test_flush_is_bounded (void)
{
  int fds[2];
  log_sink_options_t options = { .buffer_bytes = 1000, .report = report_count };
  log_sink_t *sink;
  int64_t start_us;

  g_assert_cmpint (pipe (fds), ==, 0);
  options.fd = fds[1];
  sink = log_sink_new (NULL, &options);
  write_lines (sink, LINES);
  start_us = g_get_monotonic_time ();
  g_assert_false (log_sink_flush (sink, SHORT_WAIT_MS));
  g_assert_cmpint (g_get_monotonic_time () - start_us, <, BOUND_MS * 1000);
  talloc_free (sink);
  close (fds[0]);
  close (fds[1]);
}

/** Guards against an end that waits for a reader which has gone. */
static void
test_flush_without_reader (void)
{
  int fds[2];
  log_sink_options_t options = { .buffer_bytes = 1000, .report = report_count };
  log_sink_t *sink;
  int64_t start_us;

  signal (SIGPIPE, SIG_IGN);
  g_assert_cmpint (pipe (fds), ==, 0);
  options.fd = fds[1];
  sink = log_sink_new (NULL, &options);
  write_lines (sink, LINES);
  close (fds[0]);
  start_us = g_get_monotonic_time ();
  g_assert_true (log_sink_flush (sink, LONG_WAIT_MS));
  g_assert_cmpint (g_get_monotonic_time () - start_us, <, BOUND_MS * 1000);
  g_assert_false (log_sink_has_unwritten (sink));
  talloc_free (sink);
  close (fds[1]);
}

/** Guards against other programs that write to the same pipe, such as the
 * script that started this one, and whose writes fail because a sink changed
 * the mode that all of them share. */
static void
test_shared_pipe (void)
{
  int fds[2];
  log_sink_options_t options = { .buffer_bytes = 1000, .report = report_count };
  log_sink_t *sink;
  int shared;

  g_assert_cmpint (pipe (fds), ==, 0);
  shared = dup (fds[1]);
  options.fd = fds[1];
  sink = log_sink_new (NULL, &options);
  write_lines (sink, LINES);
  g_assert_cmpint (fcntl (shared, F_GETFL) & O_NONBLOCK, ==, 0);
  talloc_free (sink);
  close (shared);
  close (fds[0]);
  close (fds[1]);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/log-sink/stalled-pipe", test_stalled_pipe);
  g_test_add_func ("/log-sink/read-pipe", test_read_pipe);
  g_test_add_func ("/log-sink/flush-waits", test_flush_waits);
  g_test_add_func ("/log-sink/flush-is-bounded", test_flush_is_bounded);
  g_test_add_func ("/log-sink/flush-without-reader", test_flush_without_reader);
  g_test_add_func ("/log-sink/shared-pipe", test_shared_pipe);
  return g_test_run ();
}
