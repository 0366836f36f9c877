/* Checks that a logged line is written to stderr with its part and level, and
 * that a line below the level is not. */
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

/** Writes more lines than the pipe takes, says so on @a told, and exits. */
static void
write_and_exit (int lines, int told)
{
  dup2 (lines, STDOUT_FILENO);
  logging_use_stdout ();
  base_init ("t0003");
  logging_init (LOGGING_INFO);
  for (int i = 0; i < LINES; i++)
    log_info ("Something happened, and here is what there is to say. number=%d",
              i);
  g_assert_cmpint (write (told, "x", 1), ==, 1);
  exit (0);
}

/** Guards against a process that exits with lines in its buffer. */
static void
test_lines_at_exit (void)
{
  int lines[2];
  int told[2];
  GString *text = g_string_new (NULL);
  char block[4096];
  ssize_t got;
  pid_t pid;

  g_assert_cmpint (pipe (lines), ==, 0);
  g_assert_cmpint (pipe (told), ==, 0);
  pid = fork ();
  if (pid == 0)
    write_and_exit (lines[1], told[1]);
  close (lines[1]);
  g_assert_cmpint (read (told[0], block, 1), ==, 1);
  while ((got = read (lines[0], block, sizeof block)) > 0)
    g_string_append_len (text, block, got);
  waitpid (pid, NULL, 0);
  g_assert_nonnull (strstr (text->str, "number=999\n"));
  g_string_free (text, TRUE);
  close (lines[0]);
  close (told[0]);
  close (told[1]);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/logging/line-reaches-stderr", test_line_reaches_stderr);
  g_test_add_func ("/logging/lines-at-exit", test_lines_at_exit);
  return g_test_run ();
}
