/**
 * @file gossip-sync.h
 * Anti-entropy over the records of gossip.h: a hash per zone, summaries of a
 * zone, and the records that the sender of a summary lacks. The module does no
 * I/O.
 *
 * Hashes leave out suspicions, which are transient, and dead or gone records,
 * which replicas remove at different times. Instances of the same zone also
 * compare loads and revisions (detail); other zones compare only the records
 * needed for routing.
 */
#ifndef GOSSIP_SYNC_H
#define GOSSIP_SYNC_H

#include "gossip.h"

/** Returns a hash over a zone's records. */
uint64_t
gossip_zone_hash (const gossip_t *gossip, const char *zone, bool detail);

/** Returns a hash over all zones; @a detail applies to the own zone only. */
uint64_t gossip_state_hash (const gossip_t *gossip, bool detail);

/**
 * Returns the set of the names of all zones. The caller destroys the set; the
 * records own the strings.
 */
GHashTable *gossip_zones (const gossip_t *gossip);

/** Adds one zone's hash to @a message as a talloc child of @a scratch. */
void gossip_put_hash (const gossip_t *gossip,
                      void *scratch,
                      const char *zone,
                      bool detail,
                      Lwm__Gossip *message);

/** Adds every zone's hash to @a message as talloc children of @a scratch. */
void gossip_put_hashes (const gossip_t *gossip,
                        void *scratch,
                        bool detail,
                        Lwm__Gossip *message);

/**
 * Returns a summary of a zone, the key and stamp of every record, as a talloc
 * child of @a scratch.
 */
Lwm__ZoneSummary *gossip_summary (const gossip_t *gossip,
                                  void *scratch,
                                  const char *zone,
                                  bool detail);

/**
 * Adds to @a message the records that differ from @a summary, and the keys in
 * @a summary that are unknown here.
 * @param max_records limit for live records; dead and gone ones do not count
 * @return whether anything was added
 */
bool gossip_answer_summary (const gossip_t *gossip,
                            void *scratch,
                            const Lwm__ZoneSummary *summary,
                            size_t max_records,
                            Lwm__Gossip *message);

/** Adds the records with the given keys to @a message. */
void gossip_answer_wanted (const gossip_t *gossip,
                           void *scratch,
                           const uint32_t *keys,
                           size_t key_count,
                           Lwm__Gossip *message);

/** Add a copy of one record to a message; @a scratch owns the arrays. */
void gossip_add_instance (void *scratch,
                          Lwm__Gossip *message,
                          const gossip_instance_t *instance,
                          bool detail);
void gossip_add_upstream (void *scratch,
                          Lwm__Gossip *message,
                          const gossip_upstream_t *upstream,
                          bool detail);

#endif
