/**
 * @file logging.h
 * Structured logging over log4c, with one line per event.
 *
 * A line is "TIME LEVEL PART: Short sentence. key=value key=value". Each part
 * of the system has one fixed prefix: a source file defines it as LOG_PART
 * before it includes this header. Lines go to stderr, and the process waits for
 * their reader; a daemon calls logging_use_stdout() or logging_use_stderr(),
 * after which logging never blocks.
 */
#ifndef LOGGING_H
#define LOGGING_H

#include <stdbool.h>
#include <stdint.h>

/** Severity of a line, highest first. */
typedef enum
{
  LOGGING_ERROR,
  LOGGING_WARN,
  LOGGING_INFO,
  LOGGING_DEBUG,
} logging_level_t;

/**
 * Each of these functions selects a descriptor for log lines, on which logging
 * never blocks. Lines that a slow reader does not take yet are buffered; when
 * the buffer is full, lines are dropped and counted. When the process exits,
 * the reader has a short time for the rest. Must be called before
 * logging_init().
 */
void logging_use_stdout (void);
void logging_use_stderr (void);

/** Called after a line that the reader does not take yet. */
typedef void (*logging_unwritten_cb_t) (void *context);

/** Sets what is called while lines wait for the reader; NULL for nothing. The
 * callee calls logging_flush() later. */
void logging_on_unwritten (logging_unwritten_cb_t callback, void *context);

/** Writes the lines that the reader takes now.
 * @return false if some still wait for it */
bool logging_flush (void);

/** Returns the number of lines that were dropped so far. */
uint64_t logging_dropped_lines (void);

/** Sets up log4c. Must be called once, after base_init(). */
void logging_init (logging_level_t level);

/** Changes the least severity that is logged. */
void logging_set_level (logging_level_t level);

/**
 * Converts "error", "warn", "info" or "debug" to a level.
 * @return false for any other name; @a level is unchanged then
 */
bool logging_level_from_name (const char *name, logging_level_t *level);

/** Writes one line. Call it through the macros below. */
void
logging_write (logging_level_t level, const char *part, const char *fmt, ...)
    __attribute__ ((format (printf, 3, 4)));

#ifndef LOG_PART
#define LOG_PART "main"
#endif

#define log_error(...) logging_write (LOGGING_ERROR, LOG_PART, __VA_ARGS__)
#define log_warn(...)  logging_write (LOGGING_WARN, LOG_PART, __VA_ARGS__)
#define log_info(...)  logging_write (LOGGING_INFO, LOG_PART, __VA_ARGS__)
#define log_debug(...) logging_write (LOGGING_DEBUG, LOG_PART, __VA_ARGS__)

#endif
