/* Checks the log sink with a reader that is slow, or does not read at all: a
 * write must never block, and dropped lines must be counted. */
#include <fcntl.h>
#include <glib.h>
#include <string.h>
#include <talloc.h>
#include <unistd.h>

#include "log-sink.h"

#define LINE_BYTES 100
#define LINES      20000

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
  log_sink_options_t options = { .buffer_bytes = 10000 };
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
  log_sink_options_t options = { .buffer_bytes = 1000 };
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

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/log-sink/stalled-pipe", test_stalled_pipe);
  g_test_add_func ("/log-sink/read-pipe", test_read_pipe);
  return g_test_run ();
}
