#include <talloc.h>

#include "raft-internal.h"

static raft_peer_t
new_peer (const raft_t *raft, const Lwm__ControlMember *member)
{
  return (raft_peer_t){
    .id = member->incarnation,
    .next_index = raft_log_last_index (raft->log) + 1,
    .probing = true,
    .heard_ms = raft->now_ms,
  };
}

void
raft_internal_set_members (raft_t *raft,
                           Lwm__ControlMembership *members,
                           uint64_t index)
{
  raft_peer_t *peers
      = talloc_zero_array (raft, raft_peer_t, (unsigned)members->n_members + 1);

  for (size_t i = 0; i < members->n_members; i++)
    {
      const Lwm__ControlMember *member = members->members[i];
      const raft_peer_t *old
          = raft_internal_find_peer (raft, member->incarnation);

      peers[i] = old != NULL ? *old : new_peer (raft, member);
      peers[i].voter = member->voter;
    }
  talloc_free (raft->peers);
  raft->peers = peers;
  raft->peer_count = members->n_members;
  if (raft->members != members)
    talloc_free (raft->members);
  raft->members = members;
  raft->members_index = index;
}

Lwm__ControlMembership *
raft_internal_members_at (raft_t *raft, uint64_t index, uint64_t *found_index)
{
  for (*found_index = index; *found_index > raft_log_base_index (raft->log);
       (*found_index)--)
    {
      const Lwm__ControlEntry *entry = raft_log_get (raft->log, *found_index);
      Lwm__ControlMembership *members;

      if (entry == NULL
          || entry->kind != LWM__CONTROL_ENTRY_KIND__ENTRY_MEMBERSHIP)
        continue;
      members = membership_unpack (raft, entry->data.data, entry->data.len);
      if (members != NULL)
        return members;
    }
  return membership_copy (raft, raft->base_members);
}

void
raft_internal_append (raft_t *raft, const Lwm__ControlEntry *entry)
{
  Lwm__ControlMembership *members;

  raft_log_append (raft->log, entry);
  if (entry->kind != LWM__CONTROL_ENTRY_KIND__ENTRY_MEMBERSHIP)
    return;
  /* A membership takes effect when it is appended, not when it is committed. */
  members = membership_unpack (raft, entry->data.data, entry->data.len);
  if (members != NULL)
    raft_internal_set_members (raft, members, entry->index);
}
