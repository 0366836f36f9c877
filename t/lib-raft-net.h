/**
 * @file lib-raft-net.h
 * Runs the consensus core of several replicas on a seeded in-memory network
 * that delays, reorders, repeats and loses messages, and checks that there is
 * at most one leader per term and one entry per index. Nothing here does I/O or
 * reads a clock.
 */
#ifndef LIB_RAFT_NET_H
#define LIB_RAFT_NET_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "raft.h"

#define RAFT_NET_MAX_REPLICAS 5
#define RAFT_NET_STEP_MS      10
#define RAFT_NET_ELECTION_MS  200

typedef struct
{
  size_t number;
  raft_t *raft;       /* NULL while crashed */
  GPtrArray *waiting; /* packets that must wait for durability */
  /* State that survives a crash: */
  uint64_t term, vote, group;
  raft_log_t *log;
  uint64_t snapshot_index, snapshot_term;
  Lwm__ControlMembership *snapshot_members;
} replica_t;

typedef struct
{
  void *parent;
  GRand *random;
  uint64_t now_ms;
  size_t count;
  replica_t replicas[RAFT_NET_MAX_REPLICAS];
  bool cut[RAFT_NET_MAX_REPLICAS]
          [RAFT_NET_MAX_REPLICAS]; /* whether [from][to] is cut */
  uint32_t loss_percent;
  uint32_t most_delay_ms;
  uint32_t repeat_percent; /* share of duplicated messages */
  GPtrArray *packets;
  GHashTable *leaders; /* term -> replica number + 1 */
  GPtrArray *history;  /* index - 1 -> "term:data" applied first */
} raft_net_t;

/** The one network of a test program. */
extern raft_net_t raft_net;

/** Creates @a count replicas, of which the first founds a group. */
void raft_net_set_up (uint32_t seed, size_t count);

void raft_net_tear_down (void);

/** Starts a replica, anew or from what it saved before it crashed. */
void raft_net_start (replica_t *replica);

void raft_net_crash (replica_t *replica);

/** Saves the changes of a replica, then sends what waited for that. */
void raft_net_save (replica_t *replica);

/** Lets RAFT_NET_STEP_MS pass, with the deliveries that are due. */
void raft_net_step (void);

void raft_net_run_ms (uint64_t ms);

/** Returns the leader of the highest term, or NULL. */
replica_t *raft_net_leader (void);

#endif
