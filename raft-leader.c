#include "raft-internal.h"

#include <talloc.h>

#define MAX_MESSAGE_BYTES       (512 * 1024)
#define MAX_MESSAGE_ENTRIES     256
#define MAX_IN_FLIGHT_APPENDS   8 /* limit for each follower */
#define MAX_UNCOMMITTED_ENTRIES 4096
#define MAX_UNCOMMITTED_BYTES   (8 * 1024 * 1024)
#define SNAPSHOT_CHUNK_BYTES    (256 * 1024)
/* Maximum number of entries that a learner may lack and still count as caught
 * up. */
#define MAX_CAUGHT_UP_LAG_ENTRIES 16
/* Heartbeat intervals after which an unanswered append counts as lost. */
#define LOST_AFTER_HEARTBEATS 3
#define MAX_ENTRY_BYTES       (2 * 1024 * 1024)

static bool
has_answered_recently (const raft_t *raft, const raft_peer_t *peer)
{
  return peer->heard_ms + raft->options.election_timeout_ms >= raft->now_ms;
}

static void
fill_entries (raft_t *raft, raft_peer_t *peer, Lwm__RaftMessage *message)
{
  size_t count;
  Lwm__ControlEntry **entries
      = raft_log_entries_from (raft->log, peer->next_index, &count);
  uint64_t bytes = 0;

  while (message->n_entries < count && message->n_entries < MAX_MESSAGE_ENTRIES)
    {
      bytes += entries[message->n_entries]->data.len;
      if (message->n_entries > 0 && bytes > MAX_MESSAGE_BYTES)
        break;
      message->n_entries++;
    }
  message->entries = entries;
}

static bool
needs_snapshot (const raft_t *raft, const raft_peer_t *peer)
{
  uint64_t term;

  return !raft_log_term (raft->log, peer->next_index - 1, &term);
}

static void
send_append (raft_t *raft, raft_peer_t *peer, bool with_entries)
{
  Lwm__RaftMessage message = LWM__RAFT_MESSAGE__INIT;

  message.kind = LWM__RAFT_KIND__RAFT_APPEND;
  message.commit = raft->commit_index;
  message.round = raft->read_round;
  /* Every log matches at index 0, so a follower that needs the snapshot is sent
   * that index. */
  message.index = peer->in_snapshot || needs_snapshot (raft, peer)
                      ? 0
                      : peer->next_index - 1;
  raft_log_term (raft->log, message.index, &message.log_term);
  if (with_entries)
    fill_entries (raft, peer, &message);
  if (message.n_entries > 0)
    {
      peer->sent_ms = raft->now_ms;
      peer->in_flight++;
      peer->next_index += peer->probing ? 0 : message.n_entries;
    }
  raft_internal_send (raft, &message, peer->id, false);
}

static void
send_snapshot_chunk (raft_t *raft, raft_peer_t *peer)
{
  Lwm__RaftMessage message = LWM__RAFT_MESSAGE__INIT;
  size_t remaining = raft->snapshot_bytes - peer->chunk_offset;

  message.kind = LWM__RAFT_KIND__RAFT_SNAPSHOT;
  message.index = raft->snapshot_index;
  message.log_term = raft->snapshot_term;
  message.round = raft->read_round;
  message.offset = peer->chunk_offset;
  message.size = raft->snapshot_bytes;
  message.chunk.data = raft->snapshot + peer->chunk_offset;
  message.chunk.len
      = remaining < SNAPSHOT_CHUNK_BYTES ? remaining : SNAPSHOT_CHUNK_BYTES;
  peer->sent_ms = raft->now_ms;
  peer->in_flight = 1;
  raft_internal_send (raft, &message, peer->id, false);
}

/** Sends the next appends or the next snapshot chunk to @a peer, if allowed. */
static void
replicate_to_peer (raft_t *raft, raft_peer_t *peer)
{
  if (!has_answered_recently (raft, peer))
    return;
  if (peer->in_snapshot || needs_snapshot (raft, peer))
    {
      if (!peer->in_snapshot)
        peer->chunk_offset = 0;
      if (!peer->in_snapshot || peer->in_flight == 0)
        {
          peer->in_snapshot = true;
          send_snapshot_chunk (raft, peer);
        }
      return;
    }
  while (peer->next_index <= raft_log_last_index (raft->log)
         && peer->in_flight < (peer->probing ? 1 : MAX_IN_FLIGHT_APPENDS))
    send_append (raft, peer, true);
}

static void
restart_probing (raft_peer_t *peer)
{
  peer->probing = true;
  peer->in_flight = 0;
  peer->next_index = peer->match_index + 1;
}

static void
send_heartbeats (raft_t *raft)
{
  uint64_t lost_ms
      = (uint64_t)LOST_AFTER_HEARTBEATS * raft->options.heartbeat_ms;

  for (size_t i = 0; i < raft->peer_count; i++)
    {
      raft_peer_t *peer = &raft->peers[i];

      if (peer->id == raft->options.id)
        continue;
      if (peer->in_flight > 0 && peer->sent_ms + lost_ms <= raft->now_ms)
        restart_probing (peer);
      send_append (raft, peer, false);
      replicate_to_peer (raft, peer);
    }
  raft->heartbeat_due_ms = raft->now_ms + raft->options.heartbeat_ms;
}

void
raft_leader_start (raft_t *raft)
{
  Lwm__ControlEntry entry = LWM__CONTROL_ENTRY__INIT;

  raft->role = RAFT_LEADER;
  raft->leader = raft->options.id;
  raft->quorum_checked_ms = raft->now_ms;
  raft->read_round_base = raft->read_round;
  raft->uncommitted_bytes = 0;
  for (size_t i = 0; i < raft->peer_count; i++)
    {
      raft_peer_t *peer = &raft->peers[i];

      peer->match_index = 0;
      peer->next_index = raft_log_last_index (raft->log) + 1;
      peer->probing = true;
      peer->in_flight = 0;
      peer->in_snapshot = false;
      peer->heard_ms = raft->now_ms;
      peer->read_round = 0;
    }
  /* A leader may commit earlier entries only together with an entry of its own
   * term (paper, 5.4.2). */
  entry.kind = LWM__CONTROL_ENTRY_KIND__ENTRY_NOOP;
  entry.index = raft_log_last_index (raft->log) + 1;
  entry.term = raft->term;
  raft_internal_append (raft, &entry);
  raft->flushed_index = entry.index;
  send_heartbeats (raft);
}

bool
raft_leader_has_quorum (const raft_t *raft)
{
  size_t heard = 0;

  for (size_t i = 0; i < raft->peer_count; i++)
    if (raft->peers[i].voter
        && (raft->peers[i].id == raft->options.id
            || has_answered_recently (raft, &raft->peers[i])))
      heard++;
  return heard >= raft_internal_quorum (raft);
}

void
raft_leader_tick (raft_t *raft)
{
  if (raft->quorum_checked_ms + raft->options.election_timeout_ms
      <= raft->now_ms)
    {
      raft->quorum_checked_ms = raft->now_ms;
      if (!raft_leader_has_quorum (raft))
        {
          raft_internal_become_follower (raft, raft->term, 0);
          return;
        }
    }
  if (raft->heartbeat_due_ms <= raft->now_ms)
    send_heartbeats (raft);
}

static int
compare_descending (const void *a, const void *b)
{
  uint64_t one = *(const uint64_t *)a;
  uint64_t other = *(const uint64_t *)b;

  return one < other ? 1 : one > other ? -1 : 0;
}

typedef uint64_t (*peer_value_t) (const raft_t *raft, const raft_peer_t *peer);

/** Returns the highest value that a quorum of voters has reached. */
static uint64_t
find_quorum_value (const raft_t *raft, peer_value_t value)
{
  uint64_t *values = g_new0 (uint64_t, raft->peer_count + 1);
  size_t voters = 0;
  uint64_t reached = 0;

  for (size_t i = 0; i < raft->peer_count; i++)
    if (raft->peers[i].voter)
      values[voters++] = value (raft, &raft->peers[i]);
  if (voters > 0)
    {
      qsort (values, voters, sizeof *values, compare_descending);
      reached = values[raft_internal_quorum (raft) - 1];
    }
  g_free (values);
  return reached;
}

static uint64_t
get_match_index (const raft_t *raft, const raft_peer_t *peer)
{
  return peer->id == raft->options.id ? raft->saved_index : peer->match_index;
}

static uint64_t
get_read_round (const raft_t *raft, const raft_peer_t *peer)
{
  return peer->id == raft->options.id ? raft->read_round : peer->read_round;
}

void
raft_leader_update_commit (raft_t *raft)
{
  uint64_t index = find_quorum_value (raft, get_match_index);
  uint64_t term;

  if (index <= raft->commit_index || !raft_log_term (raft->log, index, &term)
      || term != raft->term)
    return;
  raft_internal_advance_commit (raft, index);
  /* A leader that removed itself steps down once the removal is committed. */
  if (!raft_internal_is_voter (raft)
      && raft->members_index <= raft->commit_index)
    {
      send_heartbeats (raft);
      raft_internal_become_follower (raft, raft->term, 0);
    }
}

static void
update_match_index (raft_t *raft, raft_peer_t *peer, uint64_t index)
{
  if (index > raft_log_last_index (raft->log))
    return;
  if (index > peer->match_index)
    peer->match_index = index;
  if (peer->next_index <= peer->match_index)
    peer->next_index = peer->match_index + 1;
  if (peer->in_snapshot && peer->match_index >= raft_log_base_index (raft->log))
    {
      peer->in_snapshot = false;
      peer->in_flight = 0;
    }
  if (!peer->in_snapshot)
    peer->probing = false;
}

void
raft_leader_handle_append_answer (raft_t *raft, const Lwm__RaftMessage *message)
{
  raft_peer_t *peer = raft_internal_find_peer (raft, message->from);

  if (peer == NULL)
    return;
  peer->heard_ms = raft->now_ms;
  if (message->round > peer->read_round && message->round <= raft->read_round)
    peer->read_round = message->round;
  if (peer->in_flight > 0 && !peer->in_snapshot)
    peer->in_flight--;
  if (!message->reject)
    update_match_index (raft, peer, message->index);
  else if (!peer->in_snapshot && message->index < peer->next_index)
    {
      /* The hint may come from a delayed answer: next_index never goes below an
       * entry that is known to match. */
      peer->probing = true;
      peer->in_flight = 0;
      peer->next_index = MAX (message->index, peer->match_index) + 1;
    }
  raft_leader_update_commit (raft);
  if (raft->role == RAFT_LEADER)
    replicate_to_peer (raft, peer);
}

void
raft_leader_handle_snapshot_answer (raft_t *raft,
                                    const Lwm__RaftMessage *message)
{
  raft_peer_t *peer = raft_internal_find_peer (raft, message->from);

  if (peer == NULL)
    return;
  peer->heard_ms = raft->now_ms;
  if (!peer->in_snapshot)
    return;
  /* A newer snapshot replaces one that is partly sent. */
  if (message->index != raft->snapshot_index
      || message->offset >= raft->snapshot_bytes)
    peer->chunk_offset = 0;
  else
    peer->chunk_offset = message->offset;
  send_snapshot_chunk (raft, peer);
}

static uint64_t
append_entry (raft_t *raft,
              Lwm__ControlEntryKind kind,
              const uint8_t *data,
              size_t size_bytes)
{
  Lwm__ControlEntry entry = LWM__CONTROL_ENTRY__INIT;

  entry.kind = kind;
  entry.index = raft_log_last_index (raft->log) + 1;
  entry.term = raft->term;
  entry.data.data = (uint8_t *)data;
  entry.data.len = size_bytes;
  raft_internal_append (raft, &entry);
  return entry.index;
}

uint64_t
raft_propose (raft_t *raft, const uint8_t *data, size_t size_bytes)
{
  if (raft->role != RAFT_LEADER || size_bytes > MAX_ENTRY_BYTES
      || raft_log_last_index (raft->log) - raft->commit_index
             >= MAX_UNCOMMITTED_ENTRIES
      || raft->uncommitted_bytes + size_bytes > MAX_UNCOMMITTED_BYTES)
    return 0;
  raft->uncommitted_bytes += size_bytes;
  return append_entry (raft, LWM__CONTROL_ENTRY_KIND__ENTRY_COMMAND, data,
                       size_bytes);
}

static bool
has_committed_in_term (const raft_t *raft)
{
  uint64_t term;

  return raft_log_term (raft->log, raft->commit_index, &term)
         && term == raft->term;
}

uint64_t
raft_propose_membership (raft_t *raft, const Lwm__ControlMembership *membership)
{
  uint8_t *data;
  size_t size_bytes;
  uint64_t index;

  /* The leader must first commit an entry of its own term. Otherwise changes of
   * two leaders could each reach a quorum (erratum to the thesis, raft-dev,
   * 2015). */
  if (raft->role != RAFT_LEADER || raft->members_index > raft->commit_index
      || !has_committed_in_term (raft)
      || membership_voter_changes (raft->members, membership) > 1)
    return 0;
  data = membership_pack (NULL, membership, &size_bytes);
  index = append_entry (raft, LWM__CONTROL_ENTRY_KIND__ENTRY_MEMBERSHIP, data,
                        size_bytes);
  talloc_free (data);
  return index;
}

void
raft_flush (raft_t *raft, uint64_t now_ms)
{
  raft->now_ms = now_ms;
  if (raft->role != RAFT_LEADER
      || raft->flushed_index >= raft_log_last_index (raft->log))
    return;
  raft->flushed_index = raft_log_last_index (raft->log);
  for (size_t i = 0; i < raft->peer_count; i++)
    if (raft->peers[i].id != raft->options.id)
      replicate_to_peer (raft, &raft->peers[i]);
}

uint64_t
raft_begin_read (raft_t *raft, uint64_t now_ms)
{
  raft->now_ms = now_ms;
  if (raft->role != RAFT_LEADER || !has_committed_in_term (raft))
    return 0;
  raft->read_round++;
  send_heartbeats (raft);
  return raft->read_round;
}

uint64_t
raft_confirmed_read_round (const raft_t *raft)
{
  uint64_t round;

  if (raft->role != RAFT_LEADER)
    return 0;
  round = find_quorum_value (raft, get_read_round);
  return round > raft->read_round_base ? round : 0;
}

bool
raft_is_caught_up (const raft_t *raft, uint64_t id, uint64_t now_ms)
{
  const raft_peer_t *peer = raft_internal_find_peer (raft, id);

  return peer != NULL && raft->role == RAFT_LEADER && !peer->in_snapshot
         && peer->heard_ms + raft->options.election_timeout_ms >= now_ms
         && peer->match_index >= raft->members_index
         && peer->match_index + MAX_CAUGHT_UP_LAG_ENTRIES
                >= raft_log_last_index (raft->log);
}
