#include "raft.h"

#include <string.h>
#include <talloc.h>

#include "raft-internal.h"

/** Limits the extra delay after a start; more steps would only delay the
 * election further. */
#define MAX_START_DELAY_STEPS 4

/** Sets the next election to a random time, @a least_ms to @a least_ms +
 * @a spread_ms from now. */
static void
set_election_deadline (raft_t *raft, uint32_t least_ms, uint32_t spread_ms)
{
  uint64_t random_ms
      = (uint64_t)g_rand_int_range (raft->random, 0, (gint32)spread_ms + 1);

  raft->deadline_ms = raft->now_ms + least_ms + random_ms;
}

void
raft_internal_reset_election_timer (raft_t *raft)
{
  set_election_deadline (raft, raft->options.election_timeout_ms,
                         raft->options.election_timeout_ms / 2);
}

raft_peer_t *
raft_internal_find_peer (const raft_t *raft, uint64_t id)
{
  for (size_t i = 0; i < raft->peer_count; i++)
    if (raft->peers[i].id == id)
      return &raft->peers[i];
  return NULL;
}

size_t
raft_internal_quorum (const raft_t *raft)
{
  size_t voters = 0;

  for (size_t i = 0; i < raft->peer_count; i++)
    voters += raft->peers[i].voter;
  return voters / 2 + 1;
}

bool
raft_internal_is_voter (const raft_t *raft)
{
  const raft_peer_t *self = raft_internal_find_peer (raft, raft->options.id);

  return self != NULL && self->voter;
}

void
raft_internal_send (raft_t *raft,
                    Lwm__RaftMessage *message,
                    uint64_t to,
                    bool after_sync)
{
  message->group = raft->group;
  message->from = raft->options.id;
  message->to = to;
  if (message->term == 0)
    message->term = raft->term;
  /* A crash must not lose the term of a message that was already sent. */
  after_sync = after_sync || raft->vote_unsaved;
  raft->options.send (message, after_sync, raft->options.context);
}

void
raft_internal_advance_commit (raft_t *raft, uint64_t index)
{
  for (uint64_t i = raft->commit_index + 1; i <= index; i++)
    {
      const Lwm__ControlEntry *entry = raft_log_get (raft->log, i);
      uint64_t bytes = entry != NULL ? entry->data.len : 0;

      raft->uncommitted_bytes -= MIN (bytes, raft->uncommitted_bytes);
    }
  raft->commit_index = index;
}

static int
free_raft (raft_t *raft)
{
  g_rand_free (raft->random);
  return 0;
}

raft_t *
raft_new (void *parent, const raft_options_t *options)
{
  raft_t *raft = talloc_zero (parent, raft_t);

  raft->options = *options;
  raft->random = g_rand_new_with_seed (options->seed);
  talloc_set_destructor (raft, free_raft);
  raft->log = raft_log_new (raft);
  raft->base_members = membership_copy (raft, NULL);
  raft_internal_set_members (raft, membership_copy (raft, NULL), 0);
  return raft;
}

void
raft_restore_vote (raft_t *raft, uint64_t term, uint64_t vote, uint64_t group)
{
  raft->term = term;
  raft->vote = vote;
  raft->group = group;
}

static void
set_snapshot (raft_t *raft,
              uint64_t index,
              uint64_t term,
              const uint8_t *data,
              size_t size_bytes)
{
  talloc_free (raft->snapshot);
  raft->snapshot = talloc_memdup (raft, data, size_bytes);
  raft->snapshot_bytes = size_bytes;
  raft->snapshot_index = index;
  raft->snapshot_term = term;
  for (size_t i = 0; i < raft->peer_count; i++)
    raft->peers[i].chunk_offset = 0;
}

void
raft_restore_snapshot (raft_t *raft,
                       uint64_t index,
                       uint64_t term,
                       const Lwm__ControlMembership *membership,
                       const uint8_t *data,
                       size_t size_bytes)
{
  raft_log_reset (raft->log, index, term);
  raft->commit_index = raft->applied_index = raft->saved_index = index;
  talloc_free (raft->base_members);
  raft->base_members = membership_copy (raft, membership);
  raft_internal_set_members (raft, membership_copy (raft, membership), index);
  set_snapshot (raft, index, term, data, size_bytes);
}

void
raft_restore_truncate (raft_t *raft, uint64_t index)
{
  raft_log_truncate (raft->log, index);
  raft->saved_index = raft_log_last_index (raft->log);
  if (raft->members_index >= index && index > raft_log_base_index (raft->log))
    {
      uint64_t found_index;
      Lwm__ControlMembership *members
          = raft_internal_members_at (raft, index - 1, &found_index);

      raft_internal_set_members (raft, members, found_index);
    }
}

void
raft_restore_entry (raft_t *raft, const Lwm__ControlEntry *entry)
{
  raft_restore_truncate (raft, entry->index);
  raft_internal_append (raft, entry);
  raft->saved_index = raft_log_last_index (raft->log);
}

void
raft_found_group (raft_t *raft,
                  uint64_t group,
                  const Lwm__ControlMembership *membership,
                  uint64_t now_ms)
{
  Lwm__ControlEntry entry = LWM__CONTROL_ENTRY__INIT;
  size_t size_bytes;

  raft->now_ms = now_ms;
  raft->group = group;
  raft->term = 1;
  raft->vote_unsaved = true;
  entry.kind = LWM__CONTROL_ENTRY_KIND__ENTRY_MEMBERSHIP;
  entry.index = 1;
  entry.term = 1;
  entry.data.data = membership_pack (raft, membership, &size_bytes);
  entry.data.len = size_bytes;
  raft_internal_append (raft, &entry);
  talloc_free (entry.data.data);
  raft->deadline_ms = now_ms;
}

void
raft_internal_become_follower (raft_t *raft, uint64_t term, uint64_t leader)
{
  if (term > raft->term)
    {
      raft->term = term;
      raft->vote = 0;
      raft->vote_unsaved = true;
    }
  raft->role = RAFT_FOLLOWER;
  raft->leader = leader;
  raft->leader_ends = false;
  raft_internal_reset_election_timer (raft);
}

static void
request_votes (raft_t *raft, Lwm__RaftKind kind, uint64_t term)
{
  for (size_t i = 0; i < raft->peer_count; i++)
    {
      raft_peer_t *peer = &raft->peers[i];
      Lwm__RaftMessage message = LWM__RAFT_MESSAGE__INIT;

      peer->granted = peer->id == raft->options.id;
      if (!peer->voter || peer->granted)
        continue;
      message.kind = kind;
      message.term = term;
      message.index = raft_log_last_index (raft->log);
      message.log_term = raft_log_last_term (raft->log);
      raft_internal_send (raft, &message, peer->id, true);
    }
}

static size_t
count_votes (const raft_t *raft)
{
  size_t count = 0;

  for (size_t i = 0; i < raft->peer_count; i++)
    count += raft->peers[i].voter && raft->peers[i].granted;
  return count;
}

static void
start_election (raft_t *raft)
{
  raft->role = RAFT_CANDIDATE;
  raft->leader = 0;
  raft->term++;
  raft->vote = raft->options.id;
  raft->vote_unsaved = true;
  raft->elections++;
  /* Retries soon, as the votes may be split or lost. */
  set_election_deadline (raft, raft->options.heartbeat_ms,
                         2 * raft->options.heartbeat_ms);
  request_votes (raft, LWM__RAFT_KIND__RAFT_VOTE, raft->term);
  if (count_votes (raft) >= raft_internal_quorum (raft))
    raft_leader_start (raft);
}

static void
start_pre_vote (raft_t *raft)
{
  raft->role = RAFT_PRE_CANDIDATE;
  raft->leader = 0;
  /* Other replicas may have heard the old leader a little later than this one.
   * A pre-vote changes no state, so it can be retried soon. */
  set_election_deadline (raft, raft->options.heartbeat_ms / 2,
                         raft->options.heartbeat_ms);
  request_votes (raft, LWM__RAFT_KIND__RAFT_PRE_VOTE, raft->term + 1);
  if (count_votes (raft) >= raft_internal_quorum (raft))
    start_election (raft);
}

/** Returns the number of voters with an id below this replica's. */
static uint32_t
voter_rank (const raft_t *raft)
{
  uint32_t rank = 0;

  for (size_t i = 0; i < raft->peer_count; i++)
    rank += raft->peers[i].voter && raft->peers[i].id < raft->options.id;
  return rank;
}

/** Sets the next election to @a least_ms from now and a delay by this replica's
 * rank, so that replicas that begin at the same time do not split the votes. */
static void
set_ranked_deadline (raft_t *raft, uint32_t least_ms)
{
  uint32_t step_ms = raft->options.heartbeat_ms / 2;
  uint32_t rank_ms = MIN (voter_rank (raft), MAX_START_DELAY_STEPS) * step_ms;

  set_election_deadline (raft, least_ms + rank_ms, step_ms / 4);
}

/**
 * Sets the first election after a start to a little more than one heartbeat
 * from now. This is enough, since an existing leader is heard within a
 * heartbeat and replicas that hear it refuse the pre-vote. When all replicas
 * start at the same time, as after a power failure, each voter adds a delay by
 * its rank, so that the votes are not split.
 */
static void
set_start_deadline (raft_t *raft)
{
  set_ranked_deadline (raft, raft->options.heartbeat_ms);
}

void
raft_tick (raft_t *raft, uint64_t now_ms)
{
  raft->now_ms = now_ms;
  if (raft->role == RAFT_LEADER)
    raft_leader_tick (raft);
  else if (raft->deadline_ms == 0)
    set_start_deadline (raft);
  else if (raft->deadline_ms <= now_ms && raft_internal_is_voter (raft))
    start_pre_vote (raft);
}

void
raft_resign (raft_t *raft, uint64_t now_ms)
{
  raft->now_ms = now_ms;
  if (raft->role == RAFT_LEADER)
    raft_internal_become_follower (raft, raft->term, 0);
}

void
raft_expect_election (raft_t *raft, uint64_t id, uint64_t now_ms)
{
  raft->now_ms = now_ms;
  if (raft->role != RAFT_FOLLOWER || raft->leader != id)
    return;
  raft->leader_ends = true;
  set_ranked_deadline (raft, 0);
}

bool
raft_has_recent_contact (const raft_t *raft, uint64_t now_ms)
{
  if (raft->role == RAFT_LEADER)
    return raft_leader_has_quorum (raft);
  return raft->leader != 0
         && raft->heard_leader_ms + raft->options.election_timeout_ms > now_ms;
}

bool
raft_has_recent_commit (const raft_t *raft, uint64_t now_ms)
{
  uint64_t term;

  /* Without a recent tick, the process did not run, and a leader does not know
   * yet whether a quorum still follows it. */
  return raft->now_ms + raft->options.election_timeout_ms > now_ms
         && raft_has_recent_contact (raft, now_ms)
         && raft->commit_index >= raft->leader_commit
         && raft_log_term (raft->log, raft->commit_index, &term)
         && term == raft->term;
}

static bool
is_log_up_to_date (const raft_t *raft, const Lwm__RaftMessage *message)
{
  uint64_t last_term = raft_log_last_term (raft->log);

  return message->log_term > last_term
         || (message->log_term == last_term
             && message->index >= raft_log_last_index (raft->log));
}

static void
on_vote_request (raft_t *raft, const Lwm__RaftMessage *message)
{
  bool pre = message->kind == LWM__RAFT_KIND__RAFT_PRE_VOTE;
  bool can_vote = pre ? message->term > raft->term
                      : raft->vote == 0 || raft->vote == message->from;
  Lwm__RaftMessage answer = LWM__RAFT_MESSAGE__INIT;

  answer.kind = pre ? LWM__RAFT_KIND__RAFT_PRE_VOTE_ANSWER
                    : LWM__RAFT_KIND__RAFT_VOTE_ANSWER;
  answer.reject = !can_vote || !is_log_up_to_date (raft, message);
  if (!answer.reject && !pre)
    {
      raft->vote = message->from;
      raft->vote_unsaved = true;
      raft_internal_reset_election_timer (raft);
    }
  /* A granted pre-vote carries the term that the candidate would get. */
  answer.term = pre && !answer.reject ? message->term : raft->term;
  raft_internal_send (raft, &answer, message->from, true);
}

static void
on_vote_answer (raft_t *raft, const Lwm__RaftMessage *message)
{
  bool pre = message->kind == LWM__RAFT_KIND__RAFT_PRE_VOTE_ANSWER;
  raft_peer_t *peer = raft_internal_find_peer (raft, message->from);

  if (peer == NULL || message->reject)
    return;
  if (raft->role != (pre ? RAFT_PRE_CANDIDATE : RAFT_CANDIDATE)
      || message->term != raft->term + (pre ? 1 : 0))
    return;
  peer->granted = true;
  if (count_votes (raft) < raft_internal_quorum (raft))
    return;
  if (pre)
    start_election (raft);
  else
    raft_leader_start (raft);
}

static bool
is_request_for_votes (const Lwm__RaftMessage *message)
{
  return message->kind == LWM__RAFT_KIND__RAFT_VOTE
         || message->kind == LWM__RAFT_KIND__RAFT_PRE_VOTE;
}

static bool
is_from_leader (const Lwm__RaftMessage *message)
{
  return message->kind == LWM__RAFT_KIND__RAFT_APPEND
         || message->kind == LWM__RAFT_KIND__RAFT_SNAPSHOT;
}

/** Adopts a newer term of a message; returns false when the message must be
 * ignored. */
static bool
check_term (raft_t *raft, const Lwm__RaftMessage *message)
{
  bool pre = message->kind == LWM__RAFT_KIND__RAFT_PRE_VOTE
             || (message->kind == LWM__RAFT_KIND__RAFT_PRE_VOTE_ANSWER
                 && !message->reject);

  /* A replica that hears a leader ignores vote requests (thesis, 4.2.3), unless
   * the leader itself has asked for an election (3.10). */
  if (is_request_for_votes (message) && !raft->leader_ends
      && raft_has_recent_contact (raft, raft->now_ms))
    return false;
  if (message->term > raft->term && !pre)
    raft_internal_become_follower (raft, message->term, 0);
  if (message->term >= raft->term || pre)
    return true;
  /* The rejection tells a leader of an old term the new one, so it steps
   * down. */
  if (is_from_leader (message))
    raft_follower_send_answer (raft, message, 0, true);
  return false;
}

static void
record_leader_contact (raft_t *raft, const Lwm__RaftMessage *message)
{
  if (raft->role != RAFT_FOLLOWER || raft->leader != message->from)
    raft_internal_become_follower (raft, message->term, message->from);
  raft->heard_leader_ms = raft->now_ms;
  if (!raft->leader_ends)
    raft_internal_reset_election_timer (raft);
}

static void
handle_message (raft_t *raft, const Lwm__RaftMessage *message)
{
  switch (message->kind)
    {
    case LWM__RAFT_KIND__RAFT_PRE_VOTE:
    case LWM__RAFT_KIND__RAFT_VOTE:
      on_vote_request (raft, message);
      break;
    case LWM__RAFT_KIND__RAFT_PRE_VOTE_ANSWER:
    case LWM__RAFT_KIND__RAFT_VOTE_ANSWER:
      on_vote_answer (raft, message);
      break;
    case LWM__RAFT_KIND__RAFT_APPEND:
      record_leader_contact (raft, message);
      raft_follower_handle_append (raft, message);
      break;
    case LWM__RAFT_KIND__RAFT_SNAPSHOT:
      record_leader_contact (raft, message);
      raft_follower_handle_snapshot (raft, message);
      break;
    case LWM__RAFT_KIND__RAFT_APPEND_ANSWER:
      if (raft->role == RAFT_LEADER)
        raft_leader_handle_append_answer (raft, message);
      break;
    case LWM__RAFT_KIND__RAFT_SNAPSHOT_ANSWER:
      if (raft->role == RAFT_LEADER)
        raft_leader_handle_snapshot_answer (raft, message);
      break;
    default:
      break;
    }
}

void
raft_receive (raft_t *raft, const Lwm__RaftMessage *message, uint64_t now_ms)
{
  raft->now_ms = now_ms;
  if (message->to != raft->options.id || message->from == raft->options.id
      || message->group == 0)
    return;
  if (raft->group == 0)
    {
      raft->group = message->group;
      raft->vote_unsaved = true;
    }
  if (message->group == raft->group && check_term (raft, message))
    handle_message (raft, message);
}

bool
raft_get_unsaved (raft_t *raft, raft_unsaved_t *unsaved)
{
  unsaved->term = raft->term;
  unsaved->vote = raft->vote;
  unsaved->group = raft->group;
  unsaved->entries = raft_log_entries_from (raft->log, raft->saved_index + 1,
                                            &unsaved->count);
  return raft->vote_unsaved || unsaved->count > 0;
}

void
raft_mark_saved (raft_t *raft)
{
  raft->vote_unsaved = false;
  raft->saved_index = raft_log_last_index (raft->log);
  if (raft->role == RAFT_LEADER)
    raft_leader_update_commit (raft);
}

const Lwm__ControlEntry *
raft_next_committed (raft_t *raft)
{
  if (raft->applied_index >= MIN (raft->commit_index, raft->saved_index))
    return NULL;
  raft->applied_index++;
  return raft_log_get (raft->log, raft->applied_index);
}

void
raft_compact (raft_t *raft,
              uint64_t index,
              uint64_t keep_entries,
              const uint8_t *data,
              size_t size_bytes)
{
  uint64_t base = index > keep_entries ? index - keep_entries : 0;
  uint64_t term = 0;
  uint64_t found_index;
  Lwm__ControlMembership *members;

  raft_log_term (raft->log, index, &term);
  set_snapshot (raft, index, term, data, size_bytes);
  if (base <= raft_log_base_index (raft->log))
    return;
  members = raft_internal_members_at (raft, base, &found_index);
  talloc_free (raft->base_members);
  raft->base_members = members;
  raft_log_compact (raft->log, base);
}

const Lwm__ControlMembership *
raft_membership (const raft_t *raft)
{
  return raft->members;
}

Lwm__ControlMembership *
raft_membership_at (raft_t *raft, uint64_t index, void *parent)
{
  uint64_t found_index;

  return talloc_steal (parent,
                       raft_internal_members_at (raft, index, &found_index));
}

raft_status_t
raft_status (const raft_t *raft)
{
  return (raft_status_t){
    .role = raft->role,
    .term = raft->term,
    .group = raft->group,
    .leader = raft->leader,
    .commit = raft->commit_index,
    .last = raft_log_last_index (raft->log),
    .first = raft_log_base_index (raft->log) + 1,
    .members_index = raft->members_index,
    .elections = raft->elections,
    .voter = raft_internal_is_voter (raft),
  };
}

const raft_log_t *
raft_log (const raft_t *raft)
{
  return raft->log;
}
