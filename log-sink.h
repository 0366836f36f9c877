/**
 * @file log-sink.h
 * Writes log lines to a file descriptor without blocking. Lines that the reader
 * does not take yet wait in a buffer. When the buffer is full, the sink drops
 * lines, counts them, and writes the count as soon as the reader catches up.
 */
#ifndef LOG_SINK_H
#define LOG_SINK_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

typedef struct log_sink log_sink_t;

/** Formats the line, with its newline, that reports @a count dropped lines.
 * @return its length without the NUL */
typedef size_t (*log_sink_report_cb_t) (char *line,
                                        size_t size_bytes,
                                        uint64_t count);

/** Parameters of log_sink_new(). */
typedef struct
{
  /** A pipe is opened once more; what is neither a pipe nor a terminal is set
   * to non-blocking mode. */
  int fd;
  size_t buffer_bytes; /**< bound of the lines that wait for the reader */
  log_sink_report_cb_t report;
} log_sink_options_t;

/**
 * Creates a sink.
 * @return freed with @a parent (talloc); the descriptor stays open
 */
log_sink_t *log_sink_new (void *parent, const log_sink_options_t *options);

/** Writes or buffers one line that ends with a newline, or drops it. */
void log_sink_write (log_sink_t *sink, const char *line, size_t size_bytes);

/**
 * Writes the buffered lines, and the count of dropped ones, as the reader takes
 * them.
 * @param timeout_ms longest wait for the reader; 0 does not wait
 * @return false if some of them still wait for the reader
 */
bool log_sink_flush (log_sink_t *sink, uint32_t timeout_ms);

/** Returns whether lines, or a count of dropped ones, wait for the reader. This
 * is false after a write failed for another reason, such as a closed pipe. */
bool log_sink_has_unwritten (const log_sink_t *sink);

/** Returns the number of lines dropped so far. */
uint64_t log_sink_dropped_lines (const log_sink_t *sink);

#endif
