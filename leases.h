/**
 * @file leases.h
 * Leases on the right to send orders to an upstream, with increasing fencing
 * numbers.
 *
 * All upstreams share one counter of fencing numbers, so removing a lease from
 * the table never leads to a number being used twice. The lease on an upstream
 * that checks fencing numbers may pass to another holder at once. For an
 * upstream that ignores them, the next holder waits until the old lease has
 * ended and an order sent at its end has certainly arrived.
 *
 * The table is part of the replicated state. Its time is the control clock.
 */
#ifndef LEASES_H
#define LEASES_H

#include <stddef.h>
#include <stdint.h>

#include "control.pb-c.h"

#define LEASES_MAX        20000 /**< leases in the table */
#define LEASES_MAX_TTL_MS 600000
/** Longest time that an order may be in flight. */
#define LEASES_MAX_IN_FLIGHT_MS 60000

typedef struct leases leases_t;

/** Returns an empty table, freed with @a parent (talloc). */
leases_t *leases_new (void *parent);

/**
 * Grants or renews a lease.
 * @param current set to the upstream's lease after the call, owned by the
 * table, or NULL
 * @param wait_ms set to the time until the lease may be granted, with
 * RESULT_HELD; 0 otherwise
 */
Lwm__ControlResult leases_take (leases_t *leases,
                                const Lwm__ControlLeaseTake *take,
                                uint64_t now_ms,
                                Lwm__ControlLease **current,
                                uint32_t *wait_ms);

/** Ends a lease early; orders sent under it may still be in flight.
 * @return RESULT_NOT_OWNER when another holder or fencing number has it */
Lwm__ControlResult leases_drop (leases_t *leases,
                                const Lwm__ControlLeaseDrop *drop,
                                uint64_t now_ms);

/** Removes the leases under which no order can be in flight any more. */
void leases_expire (leases_t *leases, uint64_t now_ms);

/** Returns the number of leases. */
size_t leases_count (const leases_t *leases);

/** Returns the last fencing number that was granted. */
uint64_t leases_last_fencing (const leases_t *leases);

/** Returns all leases, owned by the table; the array is freed with @a parent
 * (talloc). */
Lwm__ControlLease **
leases_list (const leases_t *leases, void *parent, size_t *count);

/** Adds a copy of a lease from a snapshot. */
void leases_restore (leases_t *leases, const Lwm__ControlLease *lease);

/** Sets the last fencing number from a snapshot. */
void leases_restore_fencing (leases_t *leases, uint64_t last_fencing);

#endif
