#include "log-sink.h"

#include <errno.h>
#include <fcntl.h>
#include <poll.h>
#include <stdio.h>
#include <string.h>
#include <sys/stat.h>
#include <talloc.h>
#include <unistd.h>

#include "base.h"

#define MAX_REPORT_BYTES 128

struct log_sink
{
  int fd;
  bool owns_fd; /* opened by the sink */
  log_sink_report_cb_t report;
  char *buffer;
  size_t capacity;
  size_t used;
  uint64_t dropped;          /* lines dropped because the buffer was full */
  uint64_t reported_dropped; /* dropped lines that the output already reports */
  bool has_failed;           /* the last write, and not for a slow reader */
};

/** Opens a pipe once more, in non-blocking mode. The mode of an open file
 * belongs to all programs that share it, such as the one that started this one.
 * Returns -1 if @a fd is no pipe or cannot be opened. */
static int
reopen_pipe (int fd)
{
  struct stat status;
  char path[64];

  if (fstat (fd, &status) != 0 || !S_ISFIFO (status.st_mode))
    return -1;
  snprintf (path, sizeof path, "/proc/self/fd/%d", fd);
  return open (path, O_WRONLY | O_NONBLOCK | O_CLOEXEC);
}

static void
set_non_blocking (int fd)
{
  int flags = fcntl (fd, F_GETFL);

  /* A terminal is shared with the shell, which expects it to block. */
  if (flags >= 0 && !isatty (fd))
    fcntl (fd, F_SETFL, flags | O_NONBLOCK);
}

static int
free_sink (log_sink_t *sink)
{
  if (sink->owns_fd)
    close (sink->fd);
  return 0;
}

log_sink_t *
log_sink_new (void *parent, const log_sink_options_t *options)
{
  log_sink_t *sink = talloc_zero (parent, log_sink_t);
  int own = reopen_pipe (options->fd);

  sink->owns_fd = own >= 0;
  sink->fd = sink->owns_fd ? own : options->fd;
  if (!sink->owns_fd)
    set_non_blocking (sink->fd);
  talloc_set_destructor (sink, free_sink);
  sink->report = options->report;
  sink->capacity = options->buffer_bytes;
  sink->buffer = talloc_size (sink, options->buffer_bytes);
  return sink;
}

/** Writes as much of the buffer as the reader takes now. */
static void
write_buffered_lines (log_sink_t *sink)
{
  while (sink->used > 0)
    {
      ssize_t written = write (sink->fd, sink->buffer, sink->used);

      sink->has_failed = written < 0 && errno != EAGAIN && errno != EINTR;
      if (written <= 0)
        return;
      sink->used -= (size_t)written;
      memmove (sink->buffer, sink->buffer + written, sink->used);
    }
}

/** Appends to the buffer; returns false when there is no room. */
static bool
append_text (log_sink_t *sink, const char *text, size_t size_bytes)
{
  if (size_bytes > sink->capacity - sink->used)
    return false;
  memcpy (sink->buffer + sink->used, text, size_bytes);
  sink->used += size_bytes;
  return true;
}

/** Adds a line with the number of lines dropped since the last such line. */
static void
report_dropped (log_sink_t *sink)
{
  char line[MAX_REPORT_BYTES];
  size_t length;

  if (sink->dropped == sink->reported_dropped)
    return;
  length = sink->report (line, sizeof line,
                         sink->dropped - sink->reported_dropped);
  if (append_text (sink, line, length))
    sink->reported_dropped = sink->dropped;
}

void
log_sink_write (log_sink_t *sink, const char *line, size_t size_bytes)
{
  write_buffered_lines (sink);
  report_dropped (sink);
  if (!append_text (sink, line, size_bytes))
    sink->dropped++;
  write_buffered_lines (sink);
}

/** Writes what the reader takes now; returns false if a rest waits for it. */
static bool
write_all (log_sink_t *sink)
{
  write_buffered_lines (sink);
  report_dropped (sink);
  write_buffered_lines (sink);
  return !log_sink_has_unwritten (sink);
}

bool
log_sink_flush (log_sink_t *sink, uint32_t timeout_ms)
{
  uint64_t end_ms = clock_mono_ms () + timeout_ms;
  struct pollfd reader = { .fd = sink->fd, .events = POLLOUT };

  while (!write_all (sink))
    {
      uint64_t now_ms = clock_mono_ms ();

      if (now_ms >= end_ms)
        return false;
      if (poll (&reader, 1, (int)(end_ms - now_ms)) < 0 && errno != EINTR)
        return false;
    }
  return true;
}

bool
log_sink_has_unwritten (const log_sink_t *sink)
{
  return !sink->has_failed
         && (sink->used > 0 || sink->dropped > sink->reported_dropped);
}

uint64_t
log_sink_dropped_lines (const log_sink_t *sink)
{
  return sink->dropped;
}
