/**
 * @file lib-node-crash-check.h
 * Evaluates what the upstreams of lib-node-crash-upstreams.h ran and what the
 * callers of lib-node-crash-callers.h were told, by the rules of
 * docs/design/88-crashing-requests.md.
 */
#ifndef LIB_NODE_CRASH_CHECK_H
#define LIB_NODE_CRASH_CHECK_H

#include "lib-node-crash-callers.h"

/** Crashes that prove that a request is their cause. */
#define CRASH_CHECK_PROOF 3
/** Time after the last of these until all entry instances know them
 * (contact-ms). */
#define CRASH_CHECK_CONTACT_MS 3000
/** Time after the start of an entry instance until it knows what the others do.
 * With CRASH_CHECK_CONTACT_MS, an instance that learns nothing at its start
 * would not be found: it sees the crashes that its own runs cause. */
#define CRASH_CHECK_LEARN_MS 1000
/** Runs that may begin after that time. */
#define CRASH_CHECK_MAX_LATE 3

#define CRASH_CHECK_MAX_KILLS 64

/** An entry instance that was killed, and was ready again later. */
typedef struct
{
  int entry;
  int64_t killed_us;
  int64_t ready_us;
} crash_kill_t;

typedef struct
{
  crash_upstreams_t *upstreams;
  crash_callers_t *callers;
  crash_kill_t kills[CRASH_CHECK_MAX_KILLS];
  int kill_count;
} crash_check_t;

/** Results of calls. Those whose entry instance was killed meanwhile are left
 * out. */
typedef struct
{
  int sent;
  int served;
  int quarantined;    /**< refused with this error */
  int false_refusals; /**< of these, without Retry-After or though it ran */
} crash_tally_t;

/** Returns the time of the crash that proves that a crashing request is the
 * cause, 0 if it has not come. */
int64_t crash_check_proof_us (const crash_check_t *check, int request);

/**
 * Returns how many runs of a crashing request began later than
 * CRASH_CHECK_CONTACT_MS after the proof, and prints it. Runs that were sent by
 * entry instances which had not run for CRASH_CHECK_LEARN_MS are not counted.
 */
int crash_check_late_runs (const crash_check_t *check, int request);

/** Returns the results of the calls of a series that began at @a from_us or
 * later. All calls must have ended. */
crash_tally_t
crash_check_tally (const crash_check_t *check, int series, int64_t from_us);

#endif
