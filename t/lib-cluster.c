#include "lib-cluster.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <glib/gstdio.h>
#include <poll.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#define FIRST_PORT    20000
#define MAX_ARGUMENTS 96
/* How much of a failed process's log is printed: enough to include its first
 * error. */
#define LOG_TAIL_BYTES 6000
/* How long the reader of a process's output waits before it looks whether it is
 * held up. */
#define READER_WAIT_MS 20
/* The kernel rounds the size of a pipe up to a page. */
#define HELD_PIPE_BYTES 1
/* What was held up fits into it, so that its writer need not wait for a busy
 * test. */
#define RELEASED_PIPE_BYTES (1024 * 1024)

struct cluster
{
  char *folder;
  char *ip;
  uint16_t next_port;
  GPtrArray *processes;
  GPtrArray *texts; /* strings returned to callers, freed with the cluster */
  bool allow_kills; /* a process may kill itself with SIGKILL */
  bool merges_output;
};

struct process
{
  char *name;
  char *log_path;
  pid_t pid;
  int out;         /* read end of its stdout pipe */
  GThread *reader; /* copies stdout to the log, NULL once it has ended */
  GMutex reading;
  bool is_held; /* the reader waits */
  bool ended;
  int code;
  bool killed; /* the test killed it, so any exit code is accepted */
};

static char *
add_owned_text (cluster_t *cluster, char *text)
{
  g_ptr_array_add (cluster->texts, text);
  return text;
}

char *
cluster_ip (uint32_t index)
{
  /* The process id gives each test program its own addresses. Programs that run
   * at the same time differ in its lower 20 bits; the four bits above them
   * distinguish the addresses of one program. */
  uint32_t number = ((uint32_t)getpid () & 0xfffff) | index << 20;

  g_assert_cmpuint (index, <, CLUSTER_IPS);
  return g_strdup_printf ("127.%u.%u.%u", (1 + (number >> 16)) & 255,
                          (number >> 8) & 255, 1 + (number & 255) % 254);
}

cluster_t *
cluster_new (void)
{
  cluster_t *cluster = g_new0 (cluster_t, 1);

  cluster->folder = g_dir_make_tmp ("lwm-test-XXXXXX", NULL);
  g_assert_nonnull (cluster->folder);
  cluster->ip = cluster_ip (0);
  cluster->next_port = FIRST_PORT;
  cluster->processes = g_ptr_array_new ();
  cluster->texts = g_ptr_array_new_with_free_func (g_free);
  return cluster;
}

static void
remove_tree (const char *path)
{
  GDir *dir = g_dir_open (path, 0, NULL);
  const char *name;

  while (dir != NULL && (name = g_dir_read_name (dir)) != NULL)
    {
      char *child = g_build_filename (path, name, NULL);

      if (g_file_test (child, G_FILE_TEST_IS_DIR)
          && !g_file_test (child, G_FILE_TEST_IS_SYMLINK))
        remove_tree (child);
      else
        g_unlink (child);
      g_free (child);
    }
  if (dir != NULL)
    g_dir_close (dir);
  g_rmdir (path);
}

static bool
reports_sanitizer (process_t *process)
{
  char *log = process_log (process);
  bool found = strstr (log, "ERROR: AddressSanitizer") != NULL
               || strstr (log, "ERROR: LeakSanitizer") != NULL
               || strstr (log, "runtime error:") != NULL;

  if (found)
    g_test_message ("%s: %s", process->name, log);
  g_free (log);
  return found;
}

/** Copies what the pipe holds now to the log. Returns false at its end. */
static bool
copy_output (process_t *process, int log)
{
  char chunk[4096];
  ssize_t received = read (process->out, chunk, sizeof chunk);

  return received > 0 && write (log, chunk, (size_t)received) == received;
}

static void *
read_output (void *data)
{
  process_t *process = data;
  struct pollfd poller = { .fd = process->out, .events = POLLIN };
  int log = open (process->log_path, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC,
                  0600);
  bool has_ended = false;

  while (!has_ended)
    {
      bool is_readable = poll (&poller, 1, READER_WAIT_MS) > 0;
      bool is_held;

      g_mutex_lock (&process->reading);
      is_held = process->is_held;
      if (is_readable && !is_held)
        has_ended = !copy_output (process, log);
      g_mutex_unlock (&process->reading);
      if (is_held)
        g_usleep (1000);
    }
  close (log);
  return NULL;
}

/** Waits until all that an ended process wrote is in its log. */
static void
finish_reading (process_t *process)
{
  if (process->reader != NULL)
    g_thread_join (process->reader);
  process->reader = NULL;
}

void
process_hold_output (process_t *process)
{
  g_mutex_lock (&process->reading);
  /* This fails while the pipe holds more. */
  while (fcntl (process->out, F_SETPIPE_SZ, HELD_PIPE_BYTES) < 0)
    {
      g_mutex_unlock (&process->reading);
      cluster_sleep_ms (1);
      g_mutex_lock (&process->reading);
    }
  process->is_held = true;
  g_mutex_unlock (&process->reading);
}

void
process_release_output (process_t *process)
{
  g_mutex_lock (&process->reading);
  if (process->is_held)
    fcntl (process->out, F_SETPIPE_SZ, RELEASED_PIPE_BYTES);
  process->is_held = false;
  g_mutex_unlock (&process->reading);
}

static void
end_process (process_t *process, bool allow_kills)
{
  if (!process->ended)
    process_signal (process, SIGKILL);
  g_assert_false (reports_sanitizer (process));
  if (allow_kills && process->code == 128 + SIGKILL)
    process->killed = true;
  if (!process->killed && process->code > 128)
    g_test_message ("%s ended by signal %d", process->name,
                    process->code - 128);
  g_assert_true (process->killed || process->code <= 128);
  process_release_output (process);
  finish_reading (process);
  close (process->out);
  g_mutex_clear (&process->reading);
  g_free (process->name);
  g_free (process->log_path);
  g_free (process);
}

void
cluster_allow_self_kills (cluster_t *cluster)
{
  cluster->allow_kills = true;
}

void
cluster_free (cluster_t *cluster)
{
  for (guint i = 0; i < cluster->processes->len; i++)
    end_process (g_ptr_array_index (cluster->processes, i),
                 cluster->allow_kills);
  g_ptr_array_free (cluster->processes, TRUE);
  if (g_getenv ("LWM_KEEP") == NULL)
    remove_tree (cluster->folder);
  g_ptr_array_free (cluster->texts, TRUE);
  g_free (cluster->folder);
  g_free (cluster->ip);
  g_free (cluster);
}

const char *
cluster_folder (cluster_t *cluster)
{
  return cluster->folder;
}

const char *
cluster_subfolder (cluster_t *cluster, const char *name)
{
  char *path = add_owned_text (cluster,
                               g_build_filename (cluster->folder, name, NULL));

  g_assert_cmpint (g_mkdir_with_parents (path, 0700), ==, 0);
  return path;
}

void
cluster_write (cluster_t *cluster, const char *path, const char *text)
{
  char *full_path = g_build_filename (cluster->folder, path, NULL);
  char *folder = g_path_get_dirname (full_path);

  g_assert_cmpint (g_mkdir_with_parents (folder, 0700), ==, 0);
  g_assert_true (g_file_set_contents (full_path, text, -1, NULL));
  g_free (folder);
  g_free (full_path);
}

static bool
port_is_free (const char *ip, uint16_t port)
{
  struct sockaddr_in address
      = { .sin_family = AF_INET, .sin_port = htons (port) };
  int fd = socket (AF_INET, SOCK_STREAM, 0);
  bool is_free;

  inet_pton (AF_INET, ip, &address.sin_addr);
  is_free = bind (fd, (struct sockaddr *)&address, sizeof address) == 0;
  close (fd);
  return is_free;
}

const char *
cluster_address (cluster_t *cluster)
{
  while (!port_is_free (cluster->ip, cluster->next_port))
    cluster->next_port++;
  return add_owned_text (
      cluster, g_strdup_printf ("%s:%u", cluster->ip, cluster->next_port++));
}

static char *
get_program_path (const char *program)
{
  const char *build = g_getenv ("LWM_BUILD");

  return g_build_filename (build != NULL ? build : "build", program, NULL);
}

void
cluster_merge_output (cluster_t *cluster)
{
  cluster->merges_output = true;
}

/**
 * Starts a program. Its stdout goes to a pipe whose read end is stored in
 * @a out; its stderr goes to @a log_path, or to the pipe if that is NULL.
 */
static pid_t
spawn_program (char **argv, const char *log_path, int *out)
{
  int ends[2];
  pid_t pid;

  g_assert_cmpint (pipe2 (ends, O_CLOEXEC), ==, 0);
  pid = fork ();
  g_assert_cmpint (pid, >=, 0);
  if (pid == 0)
    {
      int log = log_path != NULL
                    ? open (log_path, O_WRONLY | O_CREAT | O_APPEND, 0600)
                    : ends[1];

      dup2 (ends[1], STDOUT_FILENO);
      dup2 (log, STDERR_FILENO);
      execv (argv[0], argv);
      _exit (127);
    }
  close (ends[1]);
  *out = ends[0];
  return pid;
}

/**
 * Reads stdout up to a line that starts with "ready". Returns false if stdout
 * ends or the wait times out first.
 */
static bool
wait_ready (process_t *process)
{
  char line[256];
  size_t used = 0;
  struct pollfd poller = { .fd = process->out, .events = POLLIN };

  while (poll (&poller, 1, CLUSTER_WAIT_TIMEOUT_MS) == 1)
    {
      if (read (process->out, &line[used], 1) != 1)
        return false;
      if (line[used] == '\n' || used == sizeof line - 2)
        {
          line[used] = '\0';
          if (g_str_has_prefix (line, "ready"))
            return true;
          used = 0;
        }
      else
        used++;
    }
  return false;
}

process_t *
cluster_startv (cluster_t *cluster, const char *program, char **arguments)
{
  process_t *process = g_new0 (process_t, 1);
  char *argv[MAX_ARGUMENTS + 2] = { get_program_path (program) };

  for (size_t i = 0; arguments[i] != NULL && i < MAX_ARGUMENTS; i++)
    argv[i + 1] = arguments[i];
  process->name = g_strdup_printf ("%s-%u", program, cluster->processes->len);
  process->log_path
      = g_strdup_printf ("%s/%s.log", cluster->folder, process->name);
  g_mutex_init (&process->reading);
  process->pid = spawn_program (
      argv, cluster->merges_output ? NULL : process->log_path, &process->out);
  g_free (argv[0]);
  g_ptr_array_add (cluster->processes, process);
  if (wait_ready (process))
    {
      process->reader = g_thread_new ("reader", read_output, process);
      return process;
    }
  process_wait (process);
  return NULL;
}

static size_t
collect_arguments (va_list args, char **arguments)
{
  size_t count = 0;

  do
    arguments[count] = va_arg (args, char *);
  while (arguments[count] != NULL && ++count < MAX_ARGUMENTS);
  arguments[count] = NULL;
  return count;
}

process_t *
cluster_start (cluster_t *cluster, const char *program, ...)
{
  char *arguments[MAX_ARGUMENTS + 1];
  va_list args;

  va_start (args, program);
  collect_arguments (args, arguments);
  va_end (args);
  return cluster_startv (cluster, program, arguments);
}

int
cluster_run (cluster_t *cluster, char **output, const char *program, ...)
{
  char *argv[MAX_ARGUMENTS + 2] = { get_program_path (program) };
  GString *text = g_string_new (NULL);
  char chunk[4096];
  ssize_t received;
  int status = 0;
  int out;
  pid_t pid;
  va_list args;

  va_start (args, program);
  collect_arguments (args, argv + 1);
  va_end (args);
  pid = spawn_program (argv, NULL, &out);
  while ((received = read (out, chunk, sizeof chunk)) > 0)
    g_string_append_len (text, chunk, received);
  close (out);
  waitpid (pid, &status, 0);
  g_free (argv[0]);
  *output = g_string_free (text, FALSE);
  return WIFEXITED (status) ? WEXITSTATUS (status) : 128 + WTERMSIG (status);
}

pid_t
process_pid (const process_t *process)
{
  return process->pid;
}

char *
process_log (process_t *process)
{
  char *text = NULL;

  if (process->ended && !process->is_held)
    finish_reading (process);

  if (!g_file_get_contents (process->log_path, &text, NULL, NULL))
    text = g_strdup ("");
  return text;
}

static void
record_exit_status (process_t *process, int status)
{
  process->ended = true;
  process->code
      = WIFEXITED (status) ? WEXITSTATUS (status) : 128 + WTERMSIG (status);
}

void
process_signal (process_t *process, int signal_number)
{
  if (process->ended)
    return;
  process->killed = process->killed || signal_number == SIGKILL;
  kill (process->pid, signal_number);
  if (signal_number == SIGKILL)
    process_wait (process);
}

int
process_wait (process_t *process)
{
  int status = 0;

  if (!process->ended)
    {
      waitpid (process->pid, &status, 0);
      record_exit_status (process, status);
    }
  return process->code;
}

void
process_print_log (process_t *process)
{
  char *log = process_log (process);
  size_t size = strlen (log);
  size_t start = size > LOG_TAIL_BYTES ? size - LOG_TAIL_BYTES : 0;

  g_printerr ("last lines of %s:\n%s\n", process->name, log + start);
  g_free (log);
}

void
process_expect_success (process_t *process)
{
  if (process_wait (process) != 0)
    process_print_log (process);
  g_assert_cmpint (process->code, ==, 0);
}

bool
process_running (process_t *process)
{
  int status = 0;

  if (!process->ended
      && waitpid (process->pid, &status, WNOHANG) == process->pid)
    record_exit_status (process, status);
  return !process->ended;
}

void
cluster_sleep_ms (uint32_t ms)
{
  g_usleep ((gulong)ms * 1000);
}

void
cluster_empty_folder (const char *folder)
{
  GDir *dir = g_dir_open (folder, 0, NULL);
  const char *name;

  while ((name = g_dir_read_name (dir)) != NULL)
    {
      char *path = g_build_filename (folder, name, NULL);

      g_unlink (path);
      g_free (path);
    }
  g_dir_close (dir);
}
