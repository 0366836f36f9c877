/**
 * @file log-sink.h
 * Writes log lines to a file descriptor without blocking. When the reader of a
 * pipe is too slow, the sink drops lines, counts them, and writes the count as
 * soon as the reader catches up.
 */
#ifndef LOG_SINK_H
#define LOG_SINK_H

#include <stddef.h>
#include <stdint.h>

typedef struct log_sink log_sink_t;

/** Parameters of log_sink_new(). */
typedef struct
{
  int fd;              /**< set to non-blocking mode */
  size_t buffer_bytes; /**< bound of the lines that wait for the reader */
} log_sink_options_t;

/**
 * Creates a sink.
 * @return freed with @a parent (talloc); the descriptor stays open
 */
log_sink_t *log_sink_new (void *parent, const log_sink_options_t *options);

/** Writes or buffers one line that ends with a newline, or drops it. */
void log_sink_write (log_sink_t *sink, const char *line, size_t size_bytes);

/** Returns the number of lines dropped so far. */
uint64_t log_sink_dropped_lines (const log_sink_t *sink);

#endif
