/**
 * @file raft-internal.h
 * Types and functions shared by the parts of the consensus core: raft.c (roles,
 * elections), raft-leader.c (replication, commit, reads), raft-follower.c
 * (appends, snapshots) and raft-members.c (members). No other file includes it.
 */
#ifndef RAFT_INTERNAL_H
#define RAFT_INTERNAL_H

#include <glib.h>

#include "members.h"
#include "raft.h"

/** The replication state of a member; this replica has an entry as well. */
typedef struct
{
  uint64_t id;
  bool voter;
  bool granted; /**< the member voted for this replica in the current election
                   or pre-vote */
  uint64_t match_index;  /**< last entry known to be in the member's log */
  uint64_t next_index;   /**< first entry of the next append */
  bool probing;          /**< one append at a time, until one is accepted */
  uint32_t in_flight;    /**< appends with entries, or snapshot chunks, that
                            are not answered yet */
  uint64_t sent_ms;      /**< time of the last append with entries or chunk */
  uint64_t heard_ms;     /**< time of the last answer in this leader's term */
  uint64_t read_round;   /**< highest read round the member confirmed */
  bool in_snapshot;      /**< the member is receiving the snapshot */
  uint64_t chunk_offset; /**< offset of the next chunk, bytes */
} raft_peer_t;

struct raft
{
  raft_options_t options;
  GRand *random;
  raft_role_t role;
  uint64_t now_ms;
  uint64_t term;
  uint64_t vote;
  uint64_t group;
  bool vote_unsaved; /**< term, vote or group is not durable yet */
  uint64_t leader;
  bool leader_ends; /**< the leader has announced its end */
  uint64_t heard_leader_ms;
  uint64_t deadline_ms;       /**< when the next election starts; 0 before the
                                   first tick */
  uint64_t heartbeat_due_ms;  /**< when the leader's next heartbeat is due */
  uint64_t quorum_checked_ms; /**< when the leader last checked its quorum */
  uint64_t elections;
  raft_log_t *log;
  uint64_t saved_index; /**< last durable entry */
  uint64_t commit_index;
  uint64_t leader_commit; /**< highest commit index that a leader stated; this
                             log may not have its entry yet */
  uint64_t applied_index; /**< last entry that raft_next_committed() returned */
  uint64_t uncommitted_bytes;
  uint64_t flushed_index;   /**< last entry the leader has broadcast */
  uint64_t read_round;      /**< last read round started */
  uint64_t read_round_base; /**< last read round of earlier terms */
  /** Newest membership in the log, committed or not. */
  Lwm__ControlMembership *members;
  uint64_t members_index;
  Lwm__ControlMembership *base_members; /**< members as of the log's base */
  raft_peer_t *peers;
  size_t peer_count;
  uint8_t *snapshot; /**< last snapshot taken or installed, as bytes */
  size_t snapshot_bytes;
  uint64_t snapshot_index;
  uint64_t snapshot_term;
  uint8_t *incoming;     /**< snapshot that is being received */
  size_t incoming_bytes; /**< bytes of the snapshot received so far */
  size_t incoming_size;  /**< size of the whole snapshot, bytes */
  uint64_t incoming_index;
  uint64_t incoming_term;
};

/** Makes this replica a follower of @a leader (0 for unknown) in @a term. */
void
raft_internal_become_follower (raft_t *raft, uint64_t term, uint64_t leader);
/** Fills in the addresses and the term, when it is 0, and sends @a message. */
void raft_internal_send (raft_t *raft,
                         Lwm__RaftMessage *message,
                         uint64_t to,
                         bool after_sync);
/** Appends a copy of @a entry; a membership takes effect at once. */
void raft_internal_append (raft_t *raft, const Lwm__ControlEntry *entry);
/** Advances the commit index to @a index. */
void raft_internal_advance_commit (raft_t *raft, uint64_t index);
/** Returns the member with the incarnation @a id, or NULL. */
raft_peer_t *raft_internal_find_peer (const raft_t *raft, uint64_t id);
/** Returns the number of voters that form a majority. */
size_t raft_internal_quorum (const raft_t *raft);
/** Tells whether this replica is a voter. */
bool raft_internal_is_voter (const raft_t *raft);

/** Restarts the election timer with a random timeout. */
void raft_internal_reset_election_timer (raft_t *raft);

/** Takes ownership of @a members, which the log entry at @a index holds, and
 * updates the peers. */
void raft_internal_set_members (raft_t *raft,
                                Lwm__ControlMembership *members,
                                uint64_t index);

/**
 * Returns a copy of the members as of the entry at @a index.
 * @param found_index set to the index of the entry that holds them, or of the
 * log's base
 * @return owned by @a raft
 */
Lwm__ControlMembership *
raft_internal_members_at (raft_t *raft, uint64_t index, uint64_t *found_index);

/** Handles an append of the leader. */
void raft_follower_handle_append (raft_t *raft,
                                  const Lwm__RaftMessage *message);
/** Handles a snapshot chunk of the leader. */
void raft_follower_handle_snapshot (raft_t *raft,
                                    const Lwm__RaftMessage *message);
/** Sends an append answer for @a message to its sender. */
void raft_follower_send_answer (raft_t *raft,
                                const Lwm__RaftMessage *message,
                                uint64_t index,
                                bool reject);

/** Makes this replica the leader of its term. */
void raft_leader_start (raft_t *raft);
/** Sends heartbeats that are due, and steps down without a quorum. */
void raft_leader_tick (raft_t *raft);
/** Handles a follower's answer to an append. */
void raft_leader_handle_append_answer (raft_t *raft,
                                       const Lwm__RaftMessage *message);
/** Handles a follower's answer to a snapshot chunk. */
void raft_leader_handle_snapshot_answer (raft_t *raft,
                                         const Lwm__RaftMessage *message);
/** Commits the entries of this term that a quorum has made durable. */
void raft_leader_update_commit (raft_t *raft);
/** Tells whether a quorum has answered within the election timeout. */
bool raft_leader_has_quorum (const raft_t *raft);

#endif
