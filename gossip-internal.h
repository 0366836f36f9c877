/**
 * @file gossip-internal.h
 * Internal state and functions of the gossip module; only gossip*.c include it.
 */
#ifndef GOSSIP_INTERNAL_H
#define GOSSIP_INTERNAL_H

#include "gossip.h"

struct gossip
{
  gossip_options_t options;
  gossip_instance_t *self;
  bool incarnation_fixed;
  GRand *rand;
  GHashTable *instances;
  GHashTable *upstreams;
  /* Outbox: sets of the names of records to send. */
  GHashTable *out_instances;
  GHashTable *out_upstreams;
  GHashTable *out_loads;
};

/** Adds a copy of @a name to a set of the outbox. */
void gossip_add_name (GHashTable *set, const char *name);

/** Returns -1, 0 or 1 when @a a is less than, equal to or greater than @a b. */
int gossip_compare (uint64_t a, uint64_t b);

/**
 * Replaces the published load by the pending one. Call it only when the load
 * is sent: before that, the zone's hashes would differ between instances.
 */
void gossip_commit_load (gossip_upstream_t *upstream);

/**
 * Publishes a due record of the upstream and checks whether it still announces
 * itself.
 * @return whether the upstream can be removed
 */
bool gossip_tick_upstream (gossip_t *gossip,
                           gossip_upstream_t *upstream,
                           uint64_t now_ms);

#endif
