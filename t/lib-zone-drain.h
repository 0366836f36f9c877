/**
 * @file lib-zone-drain.h
 * Real processes in three zones for tests of drained zones: a control instance,
 * an entry instance and an upstream of "s" in each.
 */
#ifndef LIB_ZONE_DRAIN_H
#define LIB_ZONE_DRAIN_H

#include "lib-node-upstreams.h"

#define ZONE_DRAIN_ZONES 3
/** Time from the acknowledgement of an order to the last request that an
 * instance may send against it. */
#define ZONE_DRAIN_REACTION_MS 5000

typedef struct
{
  nodes_t *nodes;
  node_upstreams_t *upstreams;
} zone_drain_t;

/** The answer to a request. */
typedef struct
{
  int status;
  uint32_t took_ms;
  bool is_not_run; /**< it says that the request has not run */
} zone_drain_reply_t;

/** Starts all processes and waits until the entry instances are ready and know
 * all upstreams. */
zone_drain_t *zone_drain_new (void);
void zone_drain_free (zone_drain_t *fixture);

/** Returns the name of a zone, from 0 to 2. Instances and upstreams with that
 * number are in it. */
const char *zone_drain_name (int zone);

/** Sends an order of an operator to a control instance; returns the status. */
int zone_drain_order (const zone_drain_t *fixture,
                      int control,
                      const char *zone,
                      bool is_drained);

/** Sends the order to all control instances in turn until it is acknowledged.
 */
void zone_drain_order_until_accepted (const zone_drain_t *fixture,
                                      const char *zone,
                                      bool is_drained);

/** Sends a request to an entry instance, from 0 to 2. */
zone_drain_reply_t
zone_drain_request (const zone_drain_t *fixture, int entry, const char *path);

/** Sends some requests to each entry instance that runs and asserts that each
 * is served. */
void zone_drain_send_to_all (const zone_drain_t *fixture);

/** Returns a metric of an entry instance, -1 for none. */
double zone_drain_entry_metric (const zone_drain_t *fixture,
                                int entry,
                                const char *name);

/** Waits until all entry instances have this number of drained zones in force,
 * and asserts that they have it in time if it was acknowledged now. */
void zone_drain_wait_in_force (const zone_drain_t *fixture, int zones);

/** Asserts that the upstream of a zone gets none of the requests sent now. */
void zone_drain_expect_unused (const zone_drain_t *fixture, int zone);

/** Asserts that requests sent now come to the upstream of a zone again. */
void zone_drain_expect_used (const zone_drain_t *fixture, int zone);

/** Kills control and entry instances, all at the same time, and starts them
 * again. */
void zone_drain_restart_all (zone_drain_t *fixture);

#endif
