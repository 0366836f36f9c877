/**
 * @file raft.h
 * The consensus core of the control group, without I/O or clock.
 *
 * The rules are those of Ongaro and Ousterhout, "In Search of an
 * Understandable Consensus Algorithm" (USENIX ATC 2014), with pre-vote,
 * check-quorum, one-at-a-time membership changes and read confirmation as in
 * Ongaro's thesis, "Consensus: Bridging Theory and Practice" (2014), chapters
 * 4, 6 and 9.
 *
 * The driver passes in ticks, messages and proposals. It then does three steps
 * in this order: it makes the state from raft_get_unsaved() durable and calls
 * raft_mark_saved(); it sends the messages that the send callback got with
 * after_sync; and it applies the entries that raft_next_committed() returns.
 * Members are identified by their incarnation.
 *
 * The fields `index` and `log_term` of a message identify an entry: the one
 * before the new entries (append), the candidate's last entry (vote and
 * pre-vote), or the snapshot's last entry (snapshot). In an append answer,
 * `index` is the highest matching entry or, with reject, the entry to try next.
 */
#ifndef RAFT_H
#define RAFT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "control.pb-c.h"
#include "raft-log.h"

typedef struct raft raft_t;

typedef enum
{
  RAFT_FOLLOWER,
  RAFT_PRE_CANDIDATE,
  RAFT_CANDIDATE,
  RAFT_LEADER,
} raft_role_t;

/**
 * Sends @a message, which is valid only during the callback.
 * @param after_sync the message must not be sent before the state that is
 * unsaved at this moment is durable
 */
typedef void (*raft_send_cb_t) (const Lwm__RaftMessage *message,
                                bool after_sync,
                                void *context);

typedef struct
{
  uint64_t id;                  /**< this replica's incarnation */
  uint32_t heartbeat_ms;        /**< interval of a leader's heartbeats */
  uint32_t election_timeout_ms; /**< shortest time without a leader's
                                     message before an election */
  uint32_t seed; /**< seed for the random part of election timeouts */
  raft_send_cb_t send;
  void *context;
} raft_options_t;

/** State to be made durable; entries are valid until the next raft call. */
typedef struct
{
  uint64_t term;
  uint64_t vote;
  uint64_t group;
  Lwm__ControlEntry **entries; /**< replace the durable log from the index of
                                  the first entry on */
  size_t count;
} raft_unsaved_t;

/** A snapshot that was received completely from the leader. */
typedef struct
{
  uint64_t index;
  uint64_t term;
  const uint8_t *data; /**< bytes passed to raft_compact() on the leader */
  size_t size_bytes;
} raft_received_snapshot_t;

typedef struct
{
  raft_role_t role;
  uint64_t term;
  uint64_t group;
  uint64_t leader;        /**< 0 when unknown */
  uint64_t commit;        /**< index of the last committed entry */
  uint64_t last;          /**< index of the last entry in the log */
  uint64_t first;         /**< index of the first entry in the log */
  uint64_t members_index; /**< index of the entry that set the members */
  uint64_t elections;     /**< elections this replica has started */
  bool voter;             /**< whether this replica is a voter */
} raft_status_t;

/** Returns a replica without group, term or log, freed with @a parent
 * (talloc). */
raft_t *raft_new (void *parent, const raft_options_t *options);

/*
 * The raft_restore_ functions load the durable state. They are called before
 * the first tick.
 */

/** Sets the term, the vote in it and the group. */
void
raft_restore_vote (raft_t *raft, uint64_t term, uint64_t vote, uint64_t group);
/** Sets the log's base, the members and the snapshot to send to followers. */
void raft_restore_snapshot (raft_t *raft,
                            uint64_t index,
                            uint64_t term,
                            const Lwm__ControlMembership *membership,
                            const uint8_t *data,
                            size_t size_bytes);
/** Removes every entry from @a index on. */
void raft_restore_truncate (raft_t *raft, uint64_t index);
/** Stores a copy of @a entry at its index and removes all later entries. */
void raft_restore_entry (raft_t *raft, const Lwm__ControlEntry *entry);

/**
 * Starts a new group with the id @a group and the members @a membership. Must
 * be called only on a replica that has no group.
 */
void raft_found_group (raft_t *raft,
                       uint64_t group,
                       const Lwm__ControlMembership *membership,
                       uint64_t now_ms);

/** Advances the time and starts elections, heartbeats and quorum checks. */
void raft_tick (raft_t *raft, uint64_t now_ms);

/** Gives up the leadership, if this replica is the leader. It takes part in the
 * next election only after the election timeout. */
void raft_resign (raft_t *raft, uint64_t now_ms);

/** Records that @a id is about to end. If it is the leader, another one is
 * elected soon; until then this replica still follows it. */
void raft_expect_election (raft_t *raft, uint64_t id, uint64_t now_ms);

/** Handles a message; one for another replica or group is ignored. */
void
raft_receive (raft_t *raft, const Lwm__RaftMessage *message, uint64_t now_ms);

/**
 * Appends a command.
 * @return its index, or 0 when this replica is not the leader, the command is
 * too large, or too many entries or bytes are uncommitted
 */
uint64_t raft_propose (raft_t *raft, const uint8_t *data, size_t size_bytes);

/**
 * Appends a membership that differs by at most one voter from the current one.
 * @return its index, or 0 when this replica is not the leader, another change
 * is not committed yet, or nothing of this term is committed yet
 */
uint64_t raft_propose_membership (raft_t *raft,
                                  const Lwm__ControlMembership *membership);

/** Sends the entries proposed since the last call; call once per loop pass. */
void raft_flush (raft_t *raft, uint64_t now_ms);

/**
 * Tells whether any state must be made durable.
 * @param unsaved set to the state in either case
 */
bool raft_get_unsaved (raft_t *raft, raft_unsaved_t *unsaved);

/** Records that the state from raft_get_unsaved() is durable. */
void raft_mark_saved (raft_t *raft);

/** Returns the next committed and durable entry, each once, or NULL. */
const Lwm__ControlEntry *raft_next_committed (raft_t *raft);

/**
 * Starts a linearizable read (thesis, 6.4).
 * @return the read's round, which is confirmed once raft_confirmed_read_round()
 * returns it or a higher one, or 0 when this replica is not the leader or
 * nothing of this term is committed yet
 */
uint64_t raft_begin_read (raft_t *raft, uint64_t now_ms);

/** Returns the highest read round that a quorum confirmed in this leader's
 * term, or 0. */
uint64_t raft_confirmed_read_round (const raft_t *raft);

/**
 * Records that a snapshot up to @a index is durable. Keeps a copy of it for
 * slow followers, and removes the log up to @a index except its last
 * @a keep_entries entries.
 */
void raft_compact (raft_t *raft,
                   uint64_t index,
                   uint64_t keep_entries,
                   const uint8_t *data,
                   size_t size_bytes);

/**
 * Tells whether a complete snapshot has been received from the leader.
 * @param received set to the snapshot; its data is valid until
 * raft_finish_install()
 */
bool raft_get_received (raft_t *raft, raft_received_snapshot_t *received);

/**
 * Replaces the log by the received snapshot, which must be durable.
 * @param is_valid false to discard the snapshot; @a membership is ignored then
 */
void raft_finish_install (raft_t *raft,
                          const Lwm__ControlMembership *membership,
                          bool is_valid);

/** Returns the current members, owned by @a raft; valid until the next call. */
const Lwm__ControlMembership *raft_membership (const raft_t *raft);

/**
 * Returns the members as of the entry at @a index, which must be in the log or
 * be its base.
 * @return freed with @a parent (talloc)
 */
Lwm__ControlMembership *
raft_membership_at (raft_t *raft, uint64_t index, void *parent);

/**
 * Tells, on the leader, whether learner @a id lacks only a few entries and has
 * answered within the election timeout.
 */
bool raft_is_caught_up (const raft_t *raft, uint64_t id, uint64_t now_ms);

/**
 * Tells whether this replica has heard the leader within the election timeout
 * or, on the leader, whether a quorum has answered within it.
 */
bool raft_has_recent_contact (const raft_t *raft, uint64_t now_ms);

/**
 * Tells whether the commit index of this replica covers all entries that were
 * committed when it last heard the leader, or a quorum if it is the leader. A
 * replica that has just started, or whose log is behind, does not know this
 * until an entry of the leader's term is committed here.
 */
bool raft_has_recent_commit (const raft_t *raft, uint64_t now_ms);

/** Returns the current role, term and log indexes. */
raft_status_t raft_status (const raft_t *raft);

/** Returns the log, from which the storage rewrites its file. */
const raft_log_t *raft_log (const raft_t *raft);

#endif
