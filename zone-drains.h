/**
 * @file zone-drains.h
 * Availability zones that operators have drained: their upstreams get no new
 * requests. The table is part of the replicated state. No I/O.
 *
 * Orders take effect in the order of the log. The last order for a zone is kept
 * after its drain has ended: an order states the index of the one before it, so
 * that a copy that a cut link or a paused process delays has no effect once a
 * later order was accepted.
 */
#ifndef ZONE_DRAINS_H
#define ZONE_DRAINS_H

#include <stddef.h>
#include <stdint.h>

#include "control.pb-c.h"

#define ZONE_DRAINS_MAX            256 /**< zones in the table */
#define ZONE_DRAINS_MAX_NAME_BYTES 128

typedef struct zone_drains zone_drains_t;

/** Returns an empty table, freed with @a parent (talloc). */
zone_drains_t *zone_drains_new (void *parent);

/**
 * Applies the order of the log entry at @a index.
 * @param current set to the last order for the zone after the call, owned by
 * the table, or NULL
 * @return RESULT_OK; RESULT_SAME when the zone was in that state before;
 * RESULT_CONFLICT when the order does not state the index of the last order;
 * RESULT_BAD_REQUEST; RESULT_LIMIT
 */
Lwm__ControlResult zone_drains_apply (zone_drains_t *drains,
                                      uint64_t index,
                                      const Lwm__ControlZoneOrder *order,
                                      Lwm__ControlZoneDrain **current);

/** Returns the table as a message, owned by the table and valid until the next
 * change. */
Lwm__ControlDrains *zone_drains_state (zone_drains_t *drains);

/** Replaces the content of the table by a copy of @a state; NULL: by none. */
void zone_drains_restore (zone_drains_t *drains,
                          const Lwm__ControlDrains *state);

/** Returns the names of the zones that are drained now. The array and the names
 * are freed with @a parent (talloc). */
char **zone_drains_names (void *parent,
                          const Lwm__ControlDrains *state,
                          size_t *count);

/** Returns names of zones as one text for log lines, "none" without any; freed
 * with @a parent (talloc). */
char *zone_drains_text (void *parent, char *const *names, size_t count);

#endif
