/**
 * @file zones.h
 * Selects the delegates of a zone: the few instances that exchange gossip with
 * other zones.
 *
 * The delegates are the live instances with the highest rendezvous weight.
 * Instances that see the same members thus select the same delegates without
 * communication, and when a delegate fails, only that one is replaced. The
 * module does no I/O.
 */
#ifndef ZONES_H
#define ZONES_H

#include "gossip.h"

/** Maximum number of delegates of a zone. */
#define ZONES_DELEGATES 2

/**
 * Sets @a delegates to the delegates of @a zone, highest weight first, as this
 * instance sees them. The records stay the property of @a gossip.
 * @return number of delegates, at most ZONES_DELEGATES
 */
size_t zones_delegates (const gossip_t *gossip,
                        const char *zone,
                        const Lwm__InstanceRecord *delegates[ZONES_DELEGATES]);

/** Returns whether this instance is a delegate of its zone. */
bool zones_is_delegate (const gossip_t *gossip);

/** Returns the gossip address at which this instance reaches the instance of
 * @a record: in another zone its outside address, if it has one. */
const char *zones_address (const gossip_t *gossip,
                           const Lwm__InstanceRecord *record);

/** Returns the live instances (Lwm__InstanceRecord) of @a zone, or of all zones
 * if it is NULL, without this instance. The caller frees the array; the records
 * stay the property of @a gossip. */
GPtrArray *zones_other_instances (const gossip_t *gossip, const char *zone);

#endif
