/**
 * @file fault.h
 * Fault injection for tests, compiled in only with -DLWM_FAULTS.
 *
 * The environment variable LWM_FAULT names one fault point, the pass through it
 * that triggers the fault, and optionally an error: "log-sync:3" kills the
 * process with SIGKILL at the third pass, "log-write:3:ENOSPC" makes the third
 * write fail with that error.
 */
#ifndef FAULT_H
#define FAULT_H

#ifdef LWM_FAULTS
/** Kills the process if LWM_FAULT names this point and pass, and no error. */
void fault_point (const char *prefix, const char *step);

/** Returns the errno value that LWM_FAULT gives for this pass, or 0. */
int fault_error (const char *prefix, const char *step);
#else
static inline void
fault_point (const char *prefix, const char *step)
{
}

static inline int
fault_error (const char *prefix, const char *step)
{
  return 0;
}
#endif

#endif
