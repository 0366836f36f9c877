/* Runs the consensus core on a seeded in-memory network that delays, reorders,
 * repeats and loses messages, cuts links in one or both directions, and crashes
 * replicas: at most one leader per term, and one entry per index. */
#include <glib.h>
#include <string.h>
#include <talloc.h>

#include "members.h"
#include "raft.h"

#define MAX_REPLICAS 5
#define STEP_MS      10
#define ELECTION_MS  200
#define HEARTBEAT_MS 40

typedef struct
{
  GBytes *bytes;
  uint64_t due_ms;
  size_t from;
  size_t to;
} packet_t;

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
  replica_t replicas[MAX_REPLICAS];
  bool cut[MAX_REPLICAS][MAX_REPLICAS]; /* whether [from][to] is cut */
  uint32_t loss_percent;
  uint32_t most_delay_ms;
  uint32_t repeat_percent; /* share of duplicated messages */
  GPtrArray *packets;
  GHashTable *leaders; /* term -> replica number + 1 */
  GPtrArray *history;  /* index - 1 -> "term:data" applied first */
} net_t;

static net_t net;

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
  bool lost = net.cut[packet->from][packet->to]
              || g_rand_int_range (net.random, 0, 100) < (int)net.loss_percent;

  packet->due_ms
      = net.now_ms
        + (uint64_t)g_rand_int_range (net.random, 1, (gint32)net.most_delay_ms);
  if (lost)
    free_packet (packet);
  else
    g_ptr_array_add (net.packets, packet);
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

static void
start (replica_t *replica)
{
  raft_options_t options = { .id = replica->number + 1,
                             .heartbeat_ms = HEARTBEAT_MS,
                             .election_timeout_ms = ELECTION_MS,
                             .seed = g_rand_int (net.random),
                             .send = on_send,
                             .context = replica };

  replica->raft = raft_new (net.parent, &options);
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

static void
crash (replica_t *replica)
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

  g_assert_cmpuint (entry->index, <=, net.history->len + 1);
  if (entry->index > net.history->len)
    g_ptr_array_add (net.history, text);
  else
    {
      g_assert_cmpstr (g_ptr_array_index (net.history, entry->index - 1), ==,
                       text);
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
  at = g_ptr_array_index (net.history, received.index - 1);
  g_assert_cmpuint (strtoull (at, NULL, 10), ==, received.term);
  replica->snapshot_index = received.index;
  replica->snapshot_term = received.term;
  raft_log_reset (replica->log, received.index, received.term);
  raft_finish_install (replica->raft, replica->snapshot_members, true);
}

static void
save (replica_t *replica)
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
  known = g_hash_table_lookup (net.leaders, GUINT_TO_POINTER (status.term));
  if (known != NULL)
    g_assert_cmpuint (GPOINTER_TO_UINT (known), ==, replica->number + 1);
  g_hash_table_insert (net.leaders, GUINT_TO_POINTER (status.term),
                       GUINT_TO_POINTER (replica->number + 1));
}

static void
advance_replica (replica_t *replica)
{
  const Lwm__ControlEntry *entry;

  raft_tick (replica->raft, net.now_ms);
  raft_flush (replica->raft, net.now_ms);
  check_leader (replica);
  save (replica);
  while ((entry = raft_next_committed (replica->raft)) != NULL)
    apply (entry);
}

static void
deliver (void)
{
  for (guint i = 0; i < net.packets->len;)
    {
      packet_t *packet = g_ptr_array_index (net.packets, i);
      replica_t *to = &net.replicas[packet->to];
      gsize size;
      const uint8_t *data = g_bytes_get_data (packet->bytes, &size);
      Lwm__RaftMessage *message;

      if (packet->due_ms > net.now_ms)
        {
          i++;
          continue;
        }
      message = lwm__raft_message__unpack (NULL, size, data);
      if (to->raft != NULL)
        raft_receive (to->raft, message, net.now_ms);
      lwm__raft_message__free_unpacked (message, NULL);
      /* Some messages arrive again much later, maybe from an old term. */
      if (g_rand_int_range (net.random, 0, 100) < (int)net.repeat_percent)
        packet->due_ms
            = net.now_ms + (uint64_t)g_rand_int_range (net.random, 1, 3000);
      else
        g_ptr_array_remove_index_fast (net.packets, i);
    }
}

static void
step (void)
{
  net.now_ms += STEP_MS;
  deliver ();
  for (size_t i = 0; i < net.count; i++)
    if (net.replicas[i].raft != NULL)
      advance_replica (&net.replicas[i]);
}

static replica_t *
find_leader (void)
{
  replica_t *found = NULL;
  uint64_t term = 0;

  for (size_t i = 0; i < net.count; i++)
    if (net.replicas[i].raft != NULL
        && raft_status (net.replicas[i].raft).role == RAFT_LEADER
        && raft_status (net.replicas[i].raft).term > term)
      {
        found = &net.replicas[i];
        term = raft_status (found->raft).term;
      }
  return found;
}

static void
set_up (uint32_t seed, size_t count)
{
  Lwm__ControlMembership *members;

  net = (net_t){
    .count = count, .now_ms = 1, .most_delay_ms = 60, .repeat_percent = 10
  };
  net.parent = talloc_new (NULL);
  net.random = g_rand_new_with_seed (seed);
  net.packets = g_ptr_array_new_with_free_func (free_packet);
  net.history = g_ptr_array_new_with_free_func (g_free);
  net.leaders = g_hash_table_new (NULL, NULL);
  members = membership_copy (net.parent, NULL);
  for (size_t i = 0; i < count; i++)
    {
      Lwm__ControlMember member = LWM__CONTROL_MEMBER__INIT;

      member.incarnation = i + 1;
      member.voter = true;
      membership_add (members, &member);
    }
  for (size_t i = 0; i < count; i++)
    {
      net.replicas[i].number = i;
      net.replicas[i].log = raft_log_new (net.parent);
      net.replicas[i].waiting = g_ptr_array_new_with_free_func (free_packet);
      net.replicas[i].snapshot_members = members;
      start (&net.replicas[i]);
    }
  raft_found_group (net.replicas[0].raft, 77, members, net.now_ms);
}

static void
tear_down (void)
{
  for (size_t i = 0; i < net.count; i++)
    g_ptr_array_free (net.replicas[i].waiting, TRUE);
  g_ptr_array_free (net.packets, TRUE);
  g_ptr_array_free (net.history, TRUE);
  g_hash_table_destroy (net.leaders);
  g_rand_free (net.random);
  talloc_free (net.parent);
}

static void
run_ms (uint64_t ms)
{
  for (uint64_t end_ms = net.now_ms + ms; net.now_ms < end_ms;)
    step ();
}

static void
propose (uint32_t number)
{
  replica_t *at
      = &net.replicas[g_rand_int_range (net.random, 0, (gint32)net.count)];
  char text[16];

  g_snprintf (text, sizeof text, "c%u", number);
  if (at->raft != NULL)
    raft_propose (at->raft, (const uint8_t *)text, strlen (text));
}

static void
compact (replica_t *replica)
{
  uint64_t applied = MIN (raft_status (replica->raft).commit,
                          raft_log_last_index (replica->log));

  if (applied < replica->snapshot_index + 20)
    return;
  raft_log_term (replica->log, applied, &replica->snapshot_term);
  replica->snapshot_index = applied;
  raft_log_compact (replica->log, applied);
  raft_compact (replica->raft, applied, 4, (const uint8_t *)"snapshot", 8);
}

/** The leader gives up its leadership, and the others hear of it. */
static void
stop_leading (replica_t *leader)
{
  raft_resign (leader->raft, net.now_ms);
  for (size_t i = 0; i < net.count; i++)
    if (net.replicas[i].raft != NULL && &net.replicas[i] != leader)
      raft_expect_election (net.replicas[i].raft, leader->number + 1,
                            net.now_ms);
}

static void
inject_fault (void)
{
  size_t one = (size_t)g_rand_int_range (net.random, 0, (gint32)net.count);
  size_t other = (size_t)g_rand_int_range (net.random, 0, (gint32)net.count);
  replica_t *replica = &net.replicas[one];

  switch (g_rand_int_range (net.random, 0, 7))
    {
    case 0:
      if (replica->raft != NULL)
        crash (replica);
      break;
    case 1:
      if (replica->raft == NULL)
        start (replica);
      break;
    case 2:
      net.cut[one][other] = true;
      break;
    case 3:
      memset (net.cut, 0, sizeof net.cut);
      break;
    case 4:
      for (size_t i = 0; i < net.count; i++)
        net.cut[one][i] = net.cut[i][one] = true;
      break;
    case 5:
      if (replica->raft != NULL)
        stop_leading (replica);
      break;
    default:
      if (replica->raft != NULL)
        compact (replica);
    }
}

static void
heal_faults (void)
{
  memset (net.cut, 0, sizeof net.cut);
  net.loss_percent = 0;
  for (size_t i = 0; i < net.count; i++)
    if (net.replicas[i].raft == NULL)
      start (&net.replicas[i]);
  run_ms (5000);
}

static void
test_faults_keep_one_history (void)
{
  for (uint32_t seed = 1; seed <= 400; seed++)
    {
      guint before;

      set_up (seed, seed % 2 == 0 ? 3 : 5);
      run_ms (1000);
      net.loss_percent = seed % 20;
      for (uint32_t i = 0; i < 3000; i++)
        {
          if (g_rand_int_range (net.random, 0, 40) == 0)
            inject_fault ();
          propose (i);
          step ();
        }
      heal_faults ();
      g_assert_nonnull (find_leader ());
      before = net.history->len;
      raft_propose (find_leader ()->raft, (const uint8_t *)"last", 4);
      run_ms (1000);
      g_assert_cmpuint (net.history->len, >, before);
      for (size_t i = 0; i < net.count; i++)
        g_assert_cmpuint (raft_status (net.replicas[i].raft).commit, ==,
                          net.history->len);
      tear_down ();
    }
}

static void
test_cut_off_replica_raises_no_term (void)
{
  uint64_t term;

  set_up (7, 3);
  run_ms (2000);
  term = raft_status (find_leader ()->raft).term;
  for (size_t i = 0; i < 3; i++)
    {
      size_t isolated = (find_leader ()->number + 1) % 3;

      net.cut[isolated][i] = net.cut[i][isolated] = true;
    }
  run_ms (5000);
  heal_faults ();
  g_assert_cmpuint (raft_status (find_leader ()->raft).term, ==, term);
  tear_down ();
}

static void
test_deaf_leader_steps_down (void)
{
  replica_t *old;

  set_up (8, 3);
  run_ms (2000);
  old = find_leader ();
  /* The leader's messages still arrive: only check-quorum ends its term. */
  for (size_t i = 0; i < 3; i++)
    net.cut[i][old->number] = true;
  run_ms (3000);
  g_assert_cmpint (raft_status (old->raft).role, !=, RAFT_LEADER);
  g_assert_nonnull (find_leader ());
  tear_down ();
}

/* All replicas start at the same time: one election must suffice. */
static void
test_joint_start_has_one_election (void)
{
  for (uint32_t seed = 1; seed <= 20; seed++)
    {
      uint64_t elections = 0;

      set_up (seed, 3);
      run_ms (2000);
      net.most_delay_ms = 6;
      net.repeat_percent = 0;
      g_ptr_array_set_size (net.packets, 0);
      for (size_t i = 0; i < 3; i++)
        crash (&net.replicas[i]);
      for (size_t i = 0; i < 3; i++)
        start (&net.replicas[i]);
      for (uint32_t i = 0; i < 100 && find_leader () == NULL; i++)
        step ();
      g_assert_nonnull (find_leader ());
      for (size_t i = 0; i < 3; i++)
        elections += raft_status (net.replicas[i].raft).elections;
      g_assert_cmpuint (elections, ==, 1);
      tear_down ();
    }
}

/* Guards against: a group without a leader for an election timeout after each
 * planned stop of a leader. */
static void
test_planned_stop_elects_soon (void)
{
  for (uint32_t seed = 1; seed <= 20; seed++)
    {
      replica_t *old;

      set_up (seed, 3);
      run_ms (2000);
      net.most_delay_ms = 6;
      net.repeat_percent = 0;
      /* The announcement follows the leader's earlier messages. */
      g_ptr_array_set_size (net.packets, 0);
      old = find_leader ();
      stop_leading (old);
      for (uint32_t ms = 0; ms < ELECTION_MS && find_leader () == NULL;
           ms += STEP_MS)
        step ();
      g_assert_nonnull (find_leader ());
      g_assert_true (find_leader () != old);
      tear_down ();
    }
}

static void
test_read_needs_a_quorum (void)
{
  replica_t *old;
  uint64_t round;

  set_up (9, 3);
  run_ms (2000);
  old = find_leader ();
  round = raft_begin_read (old->raft, net.now_ms);
  g_assert_cmpuint (round, >, 0);
  g_assert_cmpuint (raft_confirmed_read_round (old->raft), <, round);
  run_ms (200);
  g_assert_cmpuint (raft_confirmed_read_round (old->raft), >=, round);
  for (size_t i = 0; i < 3; i++)
    net.cut[i][old->number] = net.cut[old->number][i] = true;
  g_ptr_array_set_size (net.packets, 0);
  round = raft_begin_read (old->raft, net.now_ms);
  run_ms (100);
  g_assert_cmpuint (raft_confirmed_read_round (old->raft), <, round);
  tear_down ();
}

static void
test_one_member_change_at_a_time (void)
{
  Lwm__ControlMembership *members;
  Lwm__ControlMembership *fewer;
  replica_t *at;

  set_up (10, 5);
  run_ms (2000);
  at = find_leader ();
  members = membership_copy (net.parent, raft_membership (at->raft));
  fewer = membership_copy (net.parent, members);
  membership_remove (fewer, (at->number + 1) % 5 + 1);
  membership_remove (fewer, (at->number + 2) % 5 + 1);
  g_assert_cmpuint (raft_propose_membership (at->raft, fewer), ==, 0);
  membership_remove (members, (at->number + 1) % 5 + 1);
  g_assert_cmpuint (raft_propose_membership (at->raft, members), >, 0);
  membership_remove (members, (at->number + 2) % 5 + 1);
  g_assert_cmpuint (raft_propose_membership (at->raft, members), ==, 0);
  run_ms (500);
  g_assert_cmpuint (raft_propose_membership (at->raft, members), >, 0);
  run_ms (500);
  g_assert_cmpuint (raft_membership (at->raft)->n_members, ==, 3);
  tear_down ();
}

static void
test_other_incarnation_gets_no_vote (void)
{
  Lwm__RaftMessage message = LWM__RAFT_MESSAGE__INIT;

  set_up (11, 3);
  message.kind = LWM__RAFT_KIND__RAFT_VOTE;
  message.group = 77;
  message.from = 1;
  message.to = 99; /* the id in the lost folder of replica 2 */
  message.term = 9;
  raft_receive (net.replicas[1].raft, &message, net.now_ms);
  g_assert_cmpuint (net.replicas[1].waiting->len, ==, 0);
  g_assert_cmpuint (raft_status (net.replicas[1].raft).term, ==, 0);
  tear_down ();
}

static void
test_snapshot_drops_no_acknowledged_entry (void)
{
  Lwm__ControlEntry entries[5];
  Lwm__ControlEntry *pointers[5];
  Lwm__RaftMessage append = LWM__RAFT_MESSAGE__INIT;
  Lwm__RaftMessage snapshot = LWM__RAFT_MESSAGE__INIT;
  raft_received_snapshot_t received;
  raft_t *raft;

  set_up (12, 3);
  raft = net.replicas[1].raft;
  for (size_t i = 0; i < 5; i++)
    {
      lwm__control_entry__init (&entries[i]);
      entries[i].index = i + 1;
      entries[i].term = 2;
      pointers[i] = &entries[i];
    }
  append.kind = LWM__RAFT_KIND__RAFT_APPEND;
  append.group = snapshot.group = 77;
  append.from = snapshot.from = 1;
  append.to = snapshot.to = 2;
  append.term = snapshot.term = 2;
  append.entries = pointers;
  append.n_entries = 5;
  raft_receive (raft, &append, net.now_ms);
  save (&net.replicas[1]);
  snapshot.kind = LWM__RAFT_KIND__RAFT_SNAPSHOT;
  snapshot.index = 3;
  snapshot.log_term = 2;
  snapshot.size = snapshot.chunk.len = 8;
  snapshot.chunk.data = (uint8_t *)"snapshot";
  raft_receive (raft, &snapshot, net.now_ms);
  g_assert_false (raft_get_received (raft, &received));
  g_assert_cmpuint (raft_status (raft).commit, ==, 3);
  g_assert_cmpuint (raft_status (raft).last, ==, 5);
  tear_down ();
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/raft/planned-stop-elects-soon",
                   test_planned_stop_elects_soon);
  g_test_add_func ("/raft/faults-keep-one-history",
                   test_faults_keep_one_history);
  g_test_add_func ("/raft/cut-off-replica-raises-no-term",
                   test_cut_off_replica_raises_no_term);
  g_test_add_func ("/raft/deaf-leader-steps-down", test_deaf_leader_steps_down);
  g_test_add_func ("/raft/start-together", test_joint_start_has_one_election);
  g_test_add_func ("/raft/read-needs-a-quorum", test_read_needs_a_quorum);
  g_test_add_func ("/raft/one-member-change-at-a-time",
                   test_one_member_change_at_a_time);
  g_test_add_func ("/raft/other-incarnation-gets-no-vote",
                   test_other_incarnation_gets_no_vote);
  g_test_add_func ("/raft/snapshot-drops-no-acknowledged-entry",
                   test_snapshot_drops_no_acknowledged_entry);
  return g_test_run ();
}
