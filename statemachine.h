/**
 * @file statemachine.h
 * The replicated state: configuration, claims, order leases and drained zones.
 * Only committed commands change it.
 *
 * Its time is the control clock, which the leader writes into each command. The
 * clock never runs faster than real time and never goes back, so a lease or a
 * claim may last longer than its duration, but never shorter.
 */
#ifndef STATEMACHINE_H
#define STATEMACHINE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "control.pb-c.h"

#define STATEMACHINE_MAX_CONFIG_BYTES (4096u * 1024)
#define STATEMACHINE_MAX_AUDIT        64 /**< entries */

typedef struct statemachine statemachine_t;

/** Returns an empty state, freed with @a parent (talloc). */
statemachine_t *statemachine_new (void *parent);

/**
 * Applies the command of the log entry at @a index.
 * @param answer initialized by the caller and filled in; the data it points to
 * is owned by the state and valid until the next call, while detail is static
 */
void statemachine_apply (statemachine_t *machine,
                         uint64_t index,
                         const Lwm__ControlCommand *command,
                         Lwm__ControlAnswer *answer);

/** Returns the newest configuration revision, owned by the state; its number is
 * 0 when there is none. */
Lwm__ControlRevision *statemachine_revision (statemachine_t *machine);

/** Returns the control clock of the last command. */
uint64_t statemachine_clock_ms (const statemachine_t *machine);

/** Returns the number of claims. */
size_t statemachine_claim_count (const statemachine_t *machine);

/** Returns the number of leases. */
size_t statemachine_lease_count (const statemachine_t *machine);

/** Returns the last orders to drain zones, owned by the state and valid until
 * the next change. */
Lwm__ControlDrains *statemachine_drains (statemachine_t *machine);

/** Returns the audit entries, oldest first, owned by the state. */
Lwm__ControlAudit **statemachine_audit (const statemachine_t *machine,
                                        size_t *count);

/** Returns the whole state for a snapshot, freed with @a parent (talloc). It
 * points into @a machine and is valid until the next change. */
Lwm__ControlState *statemachine_export (statemachine_t *machine, void *parent);

/** Replaces the state by a copy of @a state. */
void statemachine_restore (statemachine_t *machine,
                           const Lwm__ControlState *state);

#endif
