/**
 * @file logging.h
 * Structured logs: one line an event, over log4c.
 *
 * A line is "TIME LEVEL PART: Short sentence. key=value key=value". Each part
 * of the system has one fixed prefix, given as LOG_PART before including this
 * header. Lines go to stderr.
 */
#ifndef LOGGING_H
#define LOGGING_H

#include <stdbool.h>

typedef enum
{
  LOGGING_ERROR,
  LOGGING_WARN,
  LOGGING_INFO,
  LOGGING_DEBUG,
} logging_level_t;

/**
 * Sends lines to standard output from now on, and loses them rather than wait
 * for a reader; call before logging_init().
 */
void logging_use_stdout (void);

/** Sets up log4c; call once, after base_init(). */
void logging_init (logging_level_t level);

/** Changes the level at run time. */
void logging_set_level (logging_level_t level);

/** Reads "error", "warn", "info" or "debug"; false if it is none of them. */
bool logging_level_from_name (const char *name, logging_level_t *level);

/** Writes one line; use the macros below. */
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
