/**
 * @file claims.h
 * Claims on idempotency keys. Each attempt to run a keyed request first claims
 * its key, and only one attempt at a time is granted.
 *
 * The table is part of the replicated state: the same calls in the same order
 * give the same table. The time is the control clock, passed in by the caller.
 */
#ifndef CLAIMS_H
#define CLAIMS_H

#include <stddef.h>
#include <stdint.h>

#include "control.pb-c.h"

#define CLAIMS_MAX               100000 /**< claims in the table */
#define CLAIMS_MAX_OUTCOME_BYTES 4096
#define CLAIMS_MAX_TOTAL_BYTES   (32u * 1024 * 1024)

typedef struct claims claims_t;

/** Returns an empty table, freed with @a parent (talloc). */
claims_t *claims_new (void *parent);

/**
 * Grants a key to an attempt, or returns the claim that holds it.
 * @param current set to the key's claim after the call, owned by the table, or
 * NULL
 */
Lwm__ControlResult claims_take (claims_t *claims,
                                const Lwm__ControlClaimTake *take,
                                uint64_t now_ms,
                                Lwm__ControlClaim **current);

/**
 * Records the end of an attempt. A release that arrives before its claim is
 * stored as a released claim, so that the late claim is not granted.
 * @param current as for claims_take()
 */
Lwm__ControlResult claims_finish (claims_t *claims,
                                  const Lwm__ControlClaimFinish *finish,
                                  uint64_t now_ms,
                                  Lwm__ControlClaim **current);

/** Removes expired claims. */
void claims_expire (claims_t *claims, uint64_t now_ms);

/** Returns the number of claims. */
size_t claims_count (const claims_t *claims);

/** Returns all claims, owned by the table; the array is freed with @a parent
 * (talloc). */
Lwm__ControlClaim **
claims_list (const claims_t *claims, void *parent, size_t *count);

/** Adds a copy of a claim from a snapshot. */
void claims_restore (claims_t *claims, const Lwm__ControlClaim *claim);

#endif
