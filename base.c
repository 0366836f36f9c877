#include "base.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/random.h>
#include <time.h>

static const char *program_name = "lacewingmast";

void
base_init (const char *name)
{
  program_name = name;
}

const char *
base_program_name (void)
{
  return program_name;
}

void
die (const char *fmt, ...)
{
  va_list args;

  va_start (args, fmt);
  fprintf (stderr, "%s: fatal: ", program_name);
  vfprintf (stderr, fmt, args);
  fputc ('\n', stderr);
  va_end (args);
  exit (EXIT_CODE_FATAL);
}

void
print_error (const char *fmt, ...)
{
  va_list args;

  va_start (args, fmt);
  fprintf (stderr, "%s: ", program_name);
  vfprintf (stderr, fmt, args);
  fputc ('\n', stderr);
  va_end (args);
}

static uint64_t
clock_us (clockid_t clock)
{
  struct timespec now;

  clock_gettime (clock, &now);
  return (uint64_t)now.tv_sec * 1000000 + (uint64_t)now.tv_nsec / 1000;
}

uint64_t
clock_mono_ms (void)
{
  return clock_us (CLOCK_MONOTONIC) / 1000;
}

struct timeval
timeval_from_ms (uint64_t ms)
{
  return (struct timeval){ .tv_sec = (time_t)(ms / 1000),
                           .tv_usec = (suseconds_t)(ms % 1000) * 1000 };
}

uint64_t
clock_mono_us (void)
{
  return clock_us (CLOCK_MONOTONIC);
}

uint64_t
clock_wall_ms (void)
{
  return clock_us (CLOCK_REALTIME) / 1000;
}

uint64_t
random_id (void)
{
  uint64_t id = 0;

  while (id == 0)
    if (getrandom (&id, sizeof id, 0) != sizeof id)
      die ("cannot read random numbers");
  return id;
}
