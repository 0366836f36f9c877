/**
 * @file log-sink.h
 * Writes log lines to a descriptor without ever waiting: a pipe that nobody
 * reads loses lines, which are counted and told of later, and delays nothing.
 */
#ifndef LOG_SINK_H
#define LOG_SINK_H

#include <stddef.h>
#include <stdint.h>

typedef struct log_sink log_sink_t;

typedef struct
{
  int fd;              /**< made non-blocking */
  size_t buffer_bytes; /**< lines that wait for the reader */
} log_sink_options_t;

/** Freed with @a parent (talloc); the descriptor stays open. */
log_sink_t *log_sink_new (void *parent, const log_sink_options_t *options);

/** Takes one line, with its newline, or counts it as left out. */
void log_sink_write (log_sink_t *sink, const char *line, size_t size_bytes);

/** Lines left out so far. */
uint64_t log_sink_left_out (const log_sink_t *sink);

#endif
