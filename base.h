/**
 * @file base.h
 * Basics that every program uses: exit codes, error output, clocks and random
 * numbers. Depends on no other module.
 */
#ifndef BASE_H
#define BASE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/time.h>

#define LWM_VERSION "0.1"

/** Exit codes of every program. */
typedef enum
{
  EXIT_CODE_OK = 0,
  EXIT_CODE_FAILED = 1,      /**< the operation failed */
  EXIT_CODE_USAGE = 2,       /**< bad flag, setting or file */
  EXIT_CODE_CONFLICT = 3,    /**< refused: a conflicting or stale change */
  EXIT_CODE_UNAVAILABLE = 4, /**< no answer: unreachable or no quorum */
  EXIT_CODE_FATAL = 128,     /**< the process cannot continue */
} exit_code_t;

/**
 * Sets the program's name, which starts every message on stderr.
 * @param name kept by reference until the process ends
 */
void base_init (const char *name);

/** Returns the name given to base_init(), or "lacewingmast" before that. */
const char *base_program_name (void);

/**
 * Prints "PROGRAM: fatal: MESSAGE" to stderr and exits with EXIT_CODE_FATAL.
 */
void die (const char *fmt, ...)
    __attribute__ ((format (printf, 1, 2), noreturn));

/** Prints "PROGRAM: MESSAGE" to stderr. */
void print_error (const char *fmt, ...) __attribute__ ((format (printf, 1, 2)));

/** Returns the monotonic clock in milliseconds. */
uint64_t clock_mono_ms (void);

/** Converts @a ms milliseconds to the time type of libevent. */
struct timeval timeval_from_ms (uint64_t ms);

/** Returns the monotonic clock in microseconds. */
uint64_t clock_mono_us (void);

/** Returns the wall clock in milliseconds since the epoch. */
uint64_t clock_wall_ms (void);

/** Returns a random number that is never 0, for incarnations and ids. */
uint64_t random_id (void);

#endif
