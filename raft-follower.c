#include <string.h>
#include <talloc.h>

#include "base.h"
#include "raft-internal.h"

#define MAX_SNAPSHOT_BYTES (128 * 1024 * 1024)

void
raft_follower_send_answer (raft_t *raft,
                           const Lwm__RaftMessage *message,
                           uint64_t index,
                           bool reject)
{
  Lwm__RaftMessage answer = LWM__RAFT_MESSAGE__INIT;

  answer.kind = LWM__RAFT_KIND__RAFT_APPEND_ANSWER;
  answer.index = index;
  answer.reject = reject;
  answer.round = message->round;
  raft_internal_send (raft, &answer, message->from, true);
}

/** Returns the index at which the leader should look next for a common entry,
 * for a rejected append. */
static uint64_t
find_common_hint (const raft_t *raft, const Lwm__RaftMessage *message)
{
  uint64_t hint = MIN (raft_log_last_index (raft->log), message->index - 1);
  uint64_t term;

  while (hint > raft->commit_index && raft_log_term (raft->log, hint, &term)
         && term > message->log_term)
    hint--;
  return hint;
}

static void
append_entries (raft_t *raft, const Lwm__RaftMessage *message)
{
  for (size_t i = 0; i < message->n_entries; i++)
    {
      const Lwm__ControlEntry *entry = message->entries[i];
      uint64_t term;

      if (entry->index != message->index + 1 + i)
        return;
      if (raft_log_term (raft->log, entry->index, &term))
        {
          uint64_t found_index;
          Lwm__ControlMembership *members;

          if (term == entry->term)
            continue;
          if (entry->index <= raft->commit_index)
            die ("committed log entry %ju conflicts with the leader's entry",
                 (uintmax_t)entry->index);
          raft_log_truncate (raft->log, entry->index);
          raft->saved_index = MIN (raft->saved_index, entry->index - 1);
          if (raft->members_index >= entry->index)
            {
              members = raft_internal_members_at (raft, entry->index - 1,
                                                  &found_index);
              raft_internal_set_members (raft, members, found_index);
            }
        }
      raft_internal_append (raft, entry);
    }
}

void
raft_follower_handle_append (raft_t *raft, const Lwm__RaftMessage *message)
{
  uint64_t term;
  uint64_t end = message->index + message->n_entries;

  raft->leader_commit = MAX (raft->leader_commit, message->commit);
  if (message->index < raft->commit_index)
    {
      raft_follower_send_answer (raft, message, raft->commit_index, false);
      return;
    }
  if (!raft_log_term (raft->log, message->index, &term)
      || term != message->log_term)
    {
      raft_follower_send_answer (raft, message,
                                 find_common_hint (raft, message), true);
      return;
    }
  append_entries (raft, message);
  end = MIN (end, raft_log_last_index (raft->log));
  if (MIN (message->commit, end) > raft->commit_index)
    raft_internal_advance_commit (raft, MIN (message->commit, end));
  raft_follower_send_answer (raft, message, end, false);
}

static void
discard_incoming_snapshot (raft_t *raft)
{
  talloc_free (raft->incoming);
  raft->incoming = NULL;
  raft->incoming_bytes = raft->incoming_size = 0;
}

static void
start_incoming_snapshot (raft_t *raft, const Lwm__RaftMessage *message)
{
  discard_incoming_snapshot (raft);
  raft->incoming_index = message->index;
  raft->incoming_term = message->log_term;
  raft->incoming_size = message->size;
  raft->incoming = talloc_size (raft, message->size);
}

void
raft_follower_handle_snapshot (raft_t *raft, const Lwm__RaftMessage *message)
{
  Lwm__RaftMessage answer = LWM__RAFT_MESSAGE__INIT;
  uint64_t term;

  raft->leader_commit = MAX (raft->leader_commit, message->index);
  /* A log that contains the snapshot's last entry contains all entries before
   * it. It may also hold acknowledged entries after it, which installing the
   * snapshot would remove. */
  if (message->index > raft->commit_index
      && raft_log_term (raft->log, message->index, &term)
      && term == message->log_term)
    raft_internal_advance_commit (raft, message->index);
  if (message->index <= raft->commit_index)
    {
      raft_follower_send_answer (raft, message, raft->commit_index, false);
      return;
    }
  if (message->size == 0 || message->size > MAX_SNAPSHOT_BYTES)
    return;
  if (raft->incoming == NULL || raft->incoming_index != message->index
      || raft->incoming_term != message->log_term
      || raft->incoming_size != message->size)
    start_incoming_snapshot (raft, message);
  if (message->offset == raft->incoming_bytes
      && message->chunk.len <= raft->incoming_size - raft->incoming_bytes)
    {
      memcpy (raft->incoming + raft->incoming_bytes, message->chunk.data,
              message->chunk.len);
      raft->incoming_bytes += message->chunk.len;
    }
  if (raft->incoming_bytes == raft->incoming_size)
    return;
  answer.kind = LWM__RAFT_KIND__RAFT_SNAPSHOT_ANSWER;
  answer.index = message->index;
  answer.offset = raft->incoming_bytes;
  raft_internal_send (raft, &answer, message->from, true);
}

bool
raft_get_received (raft_t *raft, raft_received_snapshot_t *received)
{
  uint64_t term;

  /* Appends may have passed the snapshot in the meantime. */
  if (raft->incoming != NULL
      && (raft->incoming_index <= raft->commit_index
          || (raft_log_term (raft->log, raft->incoming_index, &term)
              && term == raft->incoming_term)))
    discard_incoming_snapshot (raft);
  received->index = raft->incoming_index;
  received->term = raft->incoming_term;
  received->data = raft->incoming;
  received->size_bytes = raft->incoming_size;
  return raft->incoming != NULL && raft->incoming_bytes == raft->incoming_size;
}

static void
send_installed_answer (raft_t *raft)
{
  Lwm__RaftMessage answer = LWM__RAFT_MESSAGE__INIT;

  answer.kind = LWM__RAFT_KIND__RAFT_APPEND_ANSWER;
  answer.index = raft->commit_index;
  if (raft->leader != 0)
    raft_internal_send (raft, &answer, raft->leader, true);
}

void
raft_finish_install (raft_t *raft,
                     const Lwm__ControlMembership *membership,
                     bool is_valid)
{
  uint64_t index = raft->incoming_index;
  uint64_t term = raft->incoming_term;

  if (is_valid)
    {
      raft_restore_snapshot (raft, index, term, membership, raft->incoming,
                             raft->incoming_size);
      send_installed_answer (raft);
    }
  discard_incoming_snapshot (raft);
}
