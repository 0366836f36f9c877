/**
 * @file gossip.h
 * Replicates the records that instances share: instances, announced upstreams,
 * coarse upstream loads and the configuration revision of each instance.
 *
 * Records are totally ordered by (incarnation, version, state). Merging is
 * therefore commutative and idempotent, and replicas converge when messages are
 * lost, duplicated or delayed. Changes are sent as deltas; hashes over each
 * zone's records detect lost deltas (anti-entropy). Push of deltas and
 * reconciliation by digests follow Demers et al., "Epidemic algorithms for
 * replicated database maintenance", PODC 1987.
 *
 * The module does no I/O and reads no clock: it takes the time as an argument,
 * reports changes by callback and queues outgoing records in an outbox.
 */
#ifndef GOSSIP_H
#define GOSSIP_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "gossip.pb-c.h"

typedef struct gossip gossip_t;

/** One known instance, this one included. */
typedef struct
{
  Lwm__InstanceRecord *record;
  /** Revision in force on that instance; 0: none known. */
  uint64_t revision_number;
  char *revision_digest;
  uint64_t changed_at_ms;
} gossip_instance_t;

/** One known upstream: its replicated record and its direct announcements. */
typedef struct
{
  Lwm__UpstreamRecord *record; /**< NULL: not yet published by any instance */
  Lwm__Load *load;             /**< coarse, as published; NULL: none */
  Lwm__Load *next_load;        /**< load to publish when the outbox is taken */
  uint64_t load_at_ms;
  uint64_t changed_at_ms;
  Lwm__Announcement *direct; /**< last announcement received here; NULL: none */
  Lwm__Load *direct_load;
  uint64_t direct_at_ms;
  uint64_t direct_load_ms; /**< time at which direct_load was sampled */
  uint32_t announce_ms;
  uint64_t publish_at_ms;        /**< 0: nothing to publish */
  uint64_t load_unchanged_at_ms; /**< when direct load last matched load */
  uint64_t load_published_ms;
  uint32_t content;     /**< hash of the record */
  bool reported_gone;   /**< value of is_gone at the last callback */
  bool reported_direct; /**< whether heard directly at the last callback */
} gossip_upstream_t;

/** Result of merging a received record into the local replica. */
typedef enum
{
  GOSSIP_SAME,  /**< already known, or ignored */
  GOSSIP_NEWER, /**< the received record replaced the local one */
  GOSSIP_OLDER, /**< the local record is newer */
} gossip_merge_t;

/**
 * Called when an instance's record changed.
 * @param before state before the change
 * @param is_new whether the instance or its incarnation was unknown before
 */
typedef void (*gossip_instance_cb_t) (const gossip_instance_t *instance,
                                      Lwm__InstanceState before,
                                      bool is_new,
                                      void *context);

/**
 * Called when an upstream changed.
 * @param is_gone whether no instance receives its announcements any more
 * @param direct whether an announcement received by this instance is the cause
 */
typedef void (*gossip_upstream_cb_t) (const gossip_upstream_t *upstream,
                                      bool is_gone,
                                      bool direct,
                                      void *context);

typedef struct
{
  const char *instance;
  uint64_t incarnation;
  const char *zone;
  const char *region;
  const char *http;
  const char *gossip;         /**< IP:PORT for instances of the same zone */
  const char *gossip_outside; /**< IP:PORT for other zones; NULL: the same */
  uint64_t seed;              /**< seed of the random jitter */
  gossip_instance_cb_t on_instance;
  gossip_upstream_cb_t on_upstream;
  void *context;
} gossip_options_t;

/**
 * Creates the replica with this instance's own record in it, as a talloc child
 * of @a parent.
 */
gossip_t *gossip_new (void *parent, const gossip_options_t *options);

/**
 * Returns this instance's record. Its incarnation may be raised until
 * gossip_freeze_incarnation() is called.
 */
const Lwm__InstanceRecord *gossip_self (const gossip_t *gossip);

/** Changes this instance's state and draining flag under a new version. */
void gossip_set_self (gossip_t *gossip,
                      Lwm__InstanceState state,
                      bool draining,
                      uint64_t now_ms);

/**
 * Freezes this instance's incarnation: a higher one in a received record no
 * longer raises it.
 */
void gossip_freeze_incarnation (gossip_t *gossip);

/** Publishes the configuration revision in force on this instance. */
void
gossip_set_revision (gossip_t *gossip, uint64_t number, const char *digest);

/** Return the named instance or upstream, or NULL when it is unknown. */
const gossip_instance_t *gossip_instance (const gossip_t *gossip,
                                          const char *name);
const gossip_upstream_t *gossip_upstream (const gossip_t *gossip,
                                          const char *name);

/**
 * Return the tables from name to gossip_instance_t and to gossip_upstream_t.
 * The caller must not change them.
 */
GHashTable *gossip_instances (const gossip_t *gossip);
GHashTable *gossip_upstreams (const gossip_t *gossip);

/**
 * Raises an instance's state, such as to suspect or dead, unless its record
 * changed meanwhile.
 * @return false when the instance is unknown or this one, its incarnation or
 *         version differs, or its state is not lower than @a state
 */
bool gossip_mark_instance (gossip_t *gossip,
                           const char *name,
                           uint64_t incarnation,
                           uint32_t version,
                           Lwm__InstanceState state,
                           uint64_t now_ms);

/** Merge a received record into the replica; newer records are copied. */
gossip_merge_t gossip_merge_instance (gossip_t *gossip,
                                      const Lwm__InstanceRecord *record,
                                      uint64_t now_ms);
gossip_merge_t gossip_merge_upstream (gossip_t *gossip,
                                      const Lwm__UpstreamRecord *record,
                                      uint64_t now_ms);
gossip_merge_t
gossip_merge_load (gossip_t *gossip, const Lwm__Load *load, uint64_t now_ms);
gossip_merge_t gossip_merge_progress (gossip_t *gossip,
                                      const Lwm__Progress *progress);

/**
 * Records an announcement that the upstream sent to this instance.
 * @param load NULL: the announcement carries no load
 * @param load_age_ms age of the load
 * @param announce_ms announcement interval; 0 for 1000
 * @return false when a later incarnation of the upstream is known
 */
bool gossip_put_announcement (gossip_t *gossip,
                              const Lwm__Announcement *announcement,
                              const Lwm__Load *load,
                              uint64_t load_age_ms,
                              uint32_t announce_ms,
                              uint64_t now_ms);

/**
 * Returns whether the last direct announcement of the upstream to this
 * instance is at most three announcement intervals old.
 */
bool gossip_hears_directly (const gossip_upstream_t *upstream, uint64_t now_ms);

/**
 * Returns the announcement to use for an upstream: a recent direct one, unless
 * the published one has a later incarnation or, in the same incarnation, says
 * that the upstream is leaving. Without a published one, returns the last
 * direct one, or NULL when there is none.
 */
const Lwm__Announcement *
gossip_effective_announcement (const gossip_upstream_t *upstream,
                               uint64_t now_ms);

/**
 * Publishes due records, marks upstreams that stopped announcing as gone and
 * removes records whose retention time is over.
 */
void gossip_tick (gossip_t *gossip, uint64_t now_ms);

/** Queue a record in the outbox, for example to forward a merged record. */
void gossip_forward_instance (gossip_t *gossip, const char *name);
void gossip_forward_upstream (gossip_t *gossip, const char *name);

/**
 * Returns whether the outbox holds records.
 * @param urgent set to whether it holds more than loads
 */
bool gossip_has_pending (const gossip_t *gossip, bool *urgent);

/** Moves the outbox into @a message as copies; @a scratch owns them. */
void gossip_take_outbox (gossip_t *gossip, void *scratch, Lwm__Gossip *message);

#endif
