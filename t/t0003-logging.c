/* Checks that a logged line is written to stderr with its part and level, and
 * that a line below the level is not. */
#include <fcntl.h>
#include <glib.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

#include "base.h"
#define LOG_PART "part"
#include "logging.h"

static void
test_line_reaches_stderr (void)
{
  if (g_test_subprocess ())
    {
      base_init ("t0003");
      logging_init (LOGGING_INFO);
      log_info ("Something happened. count=%d", 3);
      log_debug ("Too small to tell.");
      return;
    }
  g_test_trap_subprocess (NULL, 0, 0);
  g_test_trap_assert_passed ();
  g_test_trap_assert_stderr ("*INFO*part: Something happened. count=3\n*");
  g_test_trap_assert_stderr_unmatched ("*Too small*");
}

#define LINES 1000
/** Size of a pipe that holds all lines. */
#define LARGE_PIPE_BYTES (512 * 1024)

/** Stands for a reader that goes on reading when the process exits. */
static void
make_room (void)
{
  g_assert_cmpint (fcntl (STDOUT_FILENO, F_SETPIPE_SZ, LARGE_PIPE_BYTES), >, 0);
}

/** Writes more lines than the pipe takes, and exits. */
static void
write_and_exit (int lines)
{
  dup2 (lines, STDOUT_FILENO);
  logging_use_stdout ();
  atexit (make_room); /* runs before what logging has registered */
  base_init ("t0003");
  logging_init (LOGGING_INFO);
  for (int i = 0; i < LINES; i++)
    log_info ("Something happened, and here is what there is to say. number=%d",
              i);
  exit (0);
}

/** Guards against a process that exits with lines in its buffer. */
static void
test_lines_at_exit (void)
{
  int lines[2];
  GString *text = g_string_new (NULL);
  char block[4096];
  ssize_t got;
  int status = -1;
  pid_t pid;

  g_assert_cmpint (pipe (lines), ==, 0);
  pid = fork ();
  if (pid == 0)
    write_and_exit (lines[1]);
  close (lines[1]);
  waitpid (pid, &status, 0);
  g_assert_cmpint (status, ==, 0);
  while ((got = read (lines[0], block, sizeof block)) > 0)
    g_string_append_len (text, block, got);
  g_assert_nonnull (strstr (text->str, "number=999\n"));
  g_string_free (text, TRUE);
  close (lines[0]);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/logging/line-reaches-stderr", test_line_reaches_stderr);
  g_test_add_func ("/logging/lines-at-exit", test_lines_at_exit);
  return g_test_run ();
}
