#include "log-sink.h"

#include <fcntl.h>
#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <talloc.h>
#include <unistd.h>

struct log_sink
{
  int fd;
  char *buffer;
  size_t capacity;
  size_t used;
  uint64_t dropped;          /* lines dropped because the buffer was full */
  uint64_t reported_dropped; /* dropped lines that the output already reports */
};

log_sink_t *
log_sink_new (void *parent, const log_sink_options_t *options)
{
  log_sink_t *sink = talloc_zero (parent, log_sink_t);
  int flags = fcntl (options->fd, F_GETFL);

  sink->fd = options->fd;
  sink->capacity = options->buffer_bytes;
  sink->buffer = talloc_size (sink, options->buffer_bytes);
  if (flags >= 0)
    fcntl (options->fd, F_SETFL, flags | O_NONBLOCK);
  return sink;
}

/** Writes as much of the buffer as the reader takes now. */
static void
write_buffered_lines (log_sink_t *sink)
{
  while (sink->used > 0)
    {
      ssize_t written = write (sink->fd, sink->buffer, sink->used);

      if (written <= 0)
        return;
      sink->used -= (size_t)written;
      memmove (sink->buffer, sink->buffer + written, sink->used);
    }
}

/** Appends to the buffer; returns 0 when there is no room. */
static int
append_text (log_sink_t *sink, const char *text, size_t size_bytes)
{
  if (size_bytes > sink->capacity - sink->used)
    return 0;
  memcpy (sink->buffer + sink->used, text, size_bytes);
  sink->used += size_bytes;
  return 1;
}

/** Adds a line with the number of lines dropped since the last such line. */
static void
report_dropped (log_sink_t *sink)
{
  char line[64];
  int length;

  if (sink->dropped == sink->reported_dropped)
    return;
  length = snprintf (line, sizeof line, "lines left out. count=%" PRIu64 "\n",
                     sink->dropped - sink->reported_dropped);
  if (append_text (sink, line, (size_t)length))
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

uint64_t
log_sink_dropped_lines (const log_sink_t *sink)
{
  return sink->dropped;
}
