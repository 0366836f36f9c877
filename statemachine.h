/**
 * @file statemachine.h
 * The replicated state: configuration, claims and order leases, changed by
 * committed commands only.
 *
 * Its time is the control clock. The leader stamps each command with it; it
 * never runs faster than real time and never goes back, so that a lease or a
 * claim may last longer than it was given for, but not shorter.
 */
#ifndef STATEMACHINE_H
#define STATEMACHINE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "control.pb-c.h"

#define STATEMACHINE_MAX_CONFIG_BYTES (4096u * 1024)
#define STATEMACHINE_MAX_AUDIT        64

typedef struct statemachine statemachine_t;

/** An empty state, freed with @a parent (talloc). */
statemachine_t *statemachine_new (void *parent);

/**
 * Applies a command.
 * @param answer initialized by the caller; what it points to is owned by the
 * state and valid until the next call, but detail is static
 */
void statemachine_apply (statemachine_t *machine,
                         uint64_t index,
                         const Lwm__ControlCommand *command,
                         Lwm__ControlAnswer *answer);

/** The last revision, owned by the state; its number is 0 for none. */
Lwm__ControlRevision *statemachine_revision (statemachine_t *machine);

uint64_t statemachine_clock_ms (const statemachine_t *machine);
size_t statemachine_claims (const statemachine_t *machine);
size_t statemachine_leases (const statemachine_t *machine);

/** Audit entries, oldest first, owned by the state. */
Lwm__ControlAudit **statemachine_audit (const statemachine_t *machine,
                                        size_t *count);

/** The whole state, pointing into it; freed with @a parent. */
Lwm__ControlState *statemachine_export (statemachine_t *machine, void *parent);

/** Replaces the state by a copy of @a state. */
void statemachine_restore (statemachine_t *machine,
                           const Lwm__ControlState *state);

#endif
