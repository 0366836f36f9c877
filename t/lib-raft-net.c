#include "lib-raft-net.h"

#include <stdlib.h>
#include <talloc.h>

#include "members.h"

#define HEARTBEAT_MS 40

typedef struct
{
  GBytes *bytes;
  uint64_t due_ms;
  size_t from;
  size_t to;
} packet_t;

raft_net_t raft_net;

static void
free_packet (void *data)
{
  packet_t *packet = data;

  g_bytes_unref (packet->bytes);
  g_free (packet);
}

static void
transmit (packet_t *packet)
{
  bool lost = raft_net.cut[packet->from][packet->to]
              || g_rand_int_range (raft_net.random, 0, 100)
                     < (int)raft_net.loss_percent;

  packet->due_ms = raft_net.now_ms
                   + (uint64_t)g_rand_int_range (
                       raft_net.random, 1, (gint32)raft_net.most_delay_ms);
  if (lost)
    free_packet (packet);
  else
    g_ptr_array_add (raft_net.packets, packet);
}

static void
on_send (const Lwm__RaftMessage *message, bool after_sync, void *context)
{
  replica_t *replica = context;
  packet_t *packet = g_new0 (packet_t, 1);
  size_t size = lwm__raft_message__get_packed_size (message);
  uint8_t *data = g_malloc (size);

  lwm__raft_message__pack (message, data);
  packet->bytes = g_bytes_new_take (data, size);
  packet->from = replica->number;
  packet->to = message->to - 1;
  if (after_sync)
    g_ptr_array_add (replica->waiting, packet);
  else
    transmit (packet);
}

void
raft_net_start (replica_t *replica)
{
  raft_options_t options = { .id = replica->number + 1,
                             .heartbeat_ms = HEARTBEAT_MS,
                             .election_timeout_ms = RAFT_NET_ELECTION_MS,
                             .seed = g_rand_int (raft_net.random),
                             .send = on_send,
                             .context = replica };

  replica->raft = raft_new (raft_net.parent, &options);
  raft_restore_vote (replica->raft, replica->term, replica->vote,
                     replica->group);
  if (replica->snapshot_index > 0)
    raft_restore_snapshot (replica->raft, replica->snapshot_index,
                           replica->snapshot_term, replica->snapshot_members,
                           (const uint8_t *)"snapshot", 8);
  for (uint64_t i = replica->snapshot_index + 1;
       i <= raft_log_last_index (replica->log); i++)
    raft_restore_entry (replica->raft, raft_log_get (replica->log, i));
}

void
raft_net_crash (replica_t *replica)
{
  talloc_free (replica->raft);
  replica->raft = NULL;
  g_ptr_array_set_size (replica->waiting, 0);
}

static void
apply (const Lwm__ControlEntry *entry)
{
  char *text = g_strdup_printf ("%ju:%.*s", (uintmax_t)entry->term,
                                (int)entry->data.len, entry->data.data);

  g_assert_cmpuint (entry->index, <=, raft_net.history->len + 1);
  if (entry->index > raft_net.history->len)
    g_ptr_array_add (raft_net.history, text);
  else
    {
      g_assert_cmpstr (g_ptr_array_index (raft_net.history, entry->index - 1),
                       ==, text);
      g_free (text);
    }
}

static void
install_received (replica_t *replica)
{
  raft_received_snapshot_t received;
  const char *at;

  if (!raft_get_received (replica->raft, &received))
    return;
  /* The snapshot holds the members; here these are the whole group. */
  at = g_ptr_array_index (raft_net.history, received.index - 1);
  g_assert_cmpuint (strtoull (at, NULL, 10), ==, received.term);
  replica->snapshot_index = received.index;
  replica->snapshot_term = received.term;
  raft_log_reset (replica->log, received.index, received.term);
  raft_finish_install (replica->raft, replica->snapshot_members, true);
}

void
raft_net_save (replica_t *replica)
{
  raft_unsaved_t unsaved;

  install_received (replica);
  if (raft_get_unsaved (replica->raft, &unsaved))
    {
      replica->term = unsaved.term;
      replica->vote = unsaved.vote;
      replica->group = unsaved.group;
      if (unsaved.count > 0)
        raft_log_truncate (replica->log, unsaved.entries[0]->index);
      for (size_t i = 0; i < unsaved.count; i++)
        raft_log_append (replica->log, unsaved.entries[i]);
      raft_mark_saved (replica->raft);
    }
  for (guint i = 0; i < replica->waiting->len; i++)
    transmit (g_ptr_array_index (replica->waiting, i));
  g_ptr_array_set_free_func (replica->waiting, NULL);
  g_ptr_array_set_size (replica->waiting, 0);
  g_ptr_array_set_free_func (replica->waiting, free_packet);
}

static void
check_leader (replica_t *replica)
{
  raft_status_t status = raft_status (replica->raft);
  gpointer known;

  if (status.role != RAFT_LEADER)
    return;
  known
      = g_hash_table_lookup (raft_net.leaders, GUINT_TO_POINTER (status.term));
  if (known != NULL)
    g_assert_cmpuint (GPOINTER_TO_UINT (known), ==, replica->number + 1);
  g_hash_table_insert (raft_net.leaders, GUINT_TO_POINTER (status.term),
                       GUINT_TO_POINTER (replica->number + 1));
}

static void
advance_replica (replica_t *replica)
{
  const Lwm__ControlEntry *entry;

  raft_tick (replica->raft, raft_net.now_ms);
  raft_flush (replica->raft, raft_net.now_ms);
  check_leader (replica);
  raft_net_save (replica);
  while ((entry = raft_next_committed (replica->raft)) != NULL)
    apply (entry);
}

static void
deliver (void)
{
  for (guint i = 0; i < raft_net.packets->len;)
    {
      packet_t *packet = g_ptr_array_index (raft_net.packets, i);
      replica_t *to = &raft_net.replicas[packet->to];
      gsize size;
      const uint8_t *data = g_bytes_get_data (packet->bytes, &size);
      Lwm__RaftMessage *message;

      if (packet->due_ms > raft_net.now_ms)
        {
          i++;
          continue;
        }
      message = lwm__raft_message__unpack (NULL, size, data);
      if (to->raft != NULL)
        raft_receive (to->raft, message, raft_net.now_ms);
      lwm__raft_message__free_unpacked (message, NULL);
      /* Some messages arrive again much later, maybe from an old term. */
      if (g_rand_int_range (raft_net.random, 0, 100)
          < (int)raft_net.repeat_percent)
        packet->due_ms
            = raft_net.now_ms
              + (uint64_t)g_rand_int_range (raft_net.random, 1, 3000);
      else
        g_ptr_array_remove_index_fast (raft_net.packets, i);
    }
}

void
raft_net_step (void)
{
  raft_net.now_ms += RAFT_NET_STEP_MS;
  deliver ();
  for (size_t i = 0; i < raft_net.count; i++)
    if (raft_net.replicas[i].raft != NULL)
      advance_replica (&raft_net.replicas[i]);
}

replica_t *
raft_net_leader (void)
{
  replica_t *found = NULL;
  uint64_t term = 0;

  for (size_t i = 0; i < raft_net.count; i++)
    if (raft_net.replicas[i].raft != NULL
        && raft_status (raft_net.replicas[i].raft).role == RAFT_LEADER
        && raft_status (raft_net.replicas[i].raft).term > term)
      {
        found = &raft_net.replicas[i];
        term = raft_status (found->raft).term;
      }
  return found;
}

void
raft_net_set_up (uint32_t seed, size_t count)
{
  Lwm__ControlMembership *members;

  raft_net = (raft_net_t){
    .count = count, .now_ms = 1, .most_delay_ms = 60, .repeat_percent = 10
  };
  raft_net.parent = talloc_new (NULL);
  raft_net.random = g_rand_new_with_seed (seed);
  raft_net.packets = g_ptr_array_new_with_free_func (free_packet);
  raft_net.history = g_ptr_array_new_with_free_func (g_free);
  raft_net.leaders = g_hash_table_new (NULL, NULL);
  members = membership_copy (raft_net.parent, NULL);
  for (size_t i = 0; i < count; i++)
    {
      Lwm__ControlMember member = LWM__CONTROL_MEMBER__INIT;

      member.incarnation = i + 1;
      member.voter = true;
      membership_add (members, &member);
    }
  for (size_t i = 0; i < count; i++)
    {
      raft_net.replicas[i].number = i;
      raft_net.replicas[i].log = raft_log_new (raft_net.parent);
      raft_net.replicas[i].waiting
          = g_ptr_array_new_with_free_func (free_packet);
      raft_net.replicas[i].snapshot_members = members;
      raft_net_start (&raft_net.replicas[i]);
    }
  raft_found_group (raft_net.replicas[0].raft, 77, members, raft_net.now_ms);
}

void
raft_net_tear_down (void)
{
  for (size_t i = 0; i < raft_net.count; i++)
    g_ptr_array_free (raft_net.replicas[i].waiting, TRUE);
  g_ptr_array_free (raft_net.packets, TRUE);
  g_ptr_array_free (raft_net.history, TRUE);
  g_hash_table_destroy (raft_net.leaders);
  g_rand_free (raft_net.random);
  talloc_free (raft_net.parent);
}

void
raft_net_run_ms (uint64_t ms)
{
  for (uint64_t end_ms = raft_net.now_ms + ms; raft_net.now_ms < end_ms;)
    raft_net_step ();
}
