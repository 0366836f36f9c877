/* Runs the consensus core on a network with faults (lib-raft-net.h): it loses
 * messages, cuts links in one or both directions, and crashes replicas. */
#include <glib.h>
#include <string.h>

#include "lib-raft-net.h"
#include "members.h"
#include "raft.h"

static void
propose (uint32_t number)
{
  replica_t *at = &raft_net.replicas[g_rand_int_range (raft_net.random, 0,
                                                       (gint32)raft_net.count)];
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
  raft_resign (leader->raft, raft_net.now_ms);
  for (size_t i = 0; i < raft_net.count; i++)
    if (raft_net.replicas[i].raft != NULL && &raft_net.replicas[i] != leader)
      raft_expect_election (raft_net.replicas[i].raft, leader->number + 1,
                            raft_net.now_ms);
}

static void
inject_fault (void)
{
  size_t one
      = (size_t)g_rand_int_range (raft_net.random, 0, (gint32)raft_net.count);
  size_t other
      = (size_t)g_rand_int_range (raft_net.random, 0, (gint32)raft_net.count);
  replica_t *replica = &raft_net.replicas[one];

  switch (g_rand_int_range (raft_net.random, 0, 7))
    {
    case 0:
      if (replica->raft != NULL)
        raft_net_crash (replica);
      break;
    case 1:
      if (replica->raft == NULL)
        raft_net_start (replica);
      break;
    case 2:
      raft_net.cut[one][other] = true;
      break;
    case 3:
      memset (raft_net.cut, 0, sizeof raft_net.cut);
      break;
    case 4:
      for (size_t i = 0; i < raft_net.count; i++)
        raft_net.cut[one][i] = raft_net.cut[i][one] = true;
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
  memset (raft_net.cut, 0, sizeof raft_net.cut);
  raft_net.loss_percent = 0;
  for (size_t i = 0; i < raft_net.count; i++)
    if (raft_net.replicas[i].raft == NULL)
      raft_net_start (&raft_net.replicas[i]);
  raft_net_run_ms (5000);
}

static void
test_faults_keep_one_history (void)
{
  for (uint32_t seed = 1; seed <= 400; seed++)
    {
      guint before;

      raft_net_set_up (seed, seed % 2 == 0 ? 3 : 5);
      raft_net_run_ms (1000);
      raft_net.loss_percent = seed % 20;
      for (uint32_t i = 0; i < 3000; i++)
        {
          if (g_rand_int_range (raft_net.random, 0, 40) == 0)
            inject_fault ();
          propose (i);
          raft_net_step ();
        }
      heal_faults ();
      g_assert_nonnull (raft_net_leader ());
      before = raft_net.history->len;
      raft_propose (raft_net_leader ()->raft, (const uint8_t *)"last", 4);
      raft_net_run_ms (1000);
      g_assert_cmpuint (raft_net.history->len, >, before);
      for (size_t i = 0; i < raft_net.count; i++)
        g_assert_cmpuint (raft_status (raft_net.replicas[i].raft).commit, ==,
                          raft_net.history->len);
      raft_net_tear_down ();
    }
}

static void
test_cut_off_replica_raises_no_term (void)
{
  uint64_t term;

  raft_net_set_up (7, 3);
  raft_net_run_ms (2000);
  term = raft_status (raft_net_leader ()->raft).term;
  for (size_t i = 0; i < 3; i++)
    {
      size_t isolated = (raft_net_leader ()->number + 1) % 3;

      raft_net.cut[isolated][i] = raft_net.cut[i][isolated] = true;
    }
  raft_net_run_ms (5000);
  heal_faults ();
  g_assert_cmpuint (raft_status (raft_net_leader ()->raft).term, ==, term);
  raft_net_tear_down ();
}

static void
test_deaf_leader_steps_down (void)
{
  replica_t *old;

  raft_net_set_up (8, 3);
  raft_net_run_ms (2000);
  old = raft_net_leader ();
  /* The leader's messages still arrive: only check-quorum ends its term. */
  for (size_t i = 0; i < 3; i++)
    raft_net.cut[i][old->number] = true;
  raft_net_run_ms (3000);
  g_assert_cmpint (raft_status (old->raft).role, !=, RAFT_LEADER);
  g_assert_nonnull (raft_net_leader ());
  raft_net_tear_down ();
}

/* All replicas start at the same time: one election must suffice. */
static void
test_joint_start_has_one_election (void)
{
  for (uint32_t seed = 1; seed <= 20; seed++)
    {
      uint64_t elections = 0;

      raft_net_set_up (seed, 3);
      raft_net_run_ms (2000);
      raft_net.most_delay_ms = 6;
      raft_net.repeat_percent = 0;
      g_ptr_array_set_size (raft_net.packets, 0);
      for (size_t i = 0; i < 3; i++)
        raft_net_crash (&raft_net.replicas[i]);
      for (size_t i = 0; i < 3; i++)
        raft_net_start (&raft_net.replicas[i]);
      for (uint32_t i = 0; i < 100 && raft_net_leader () == NULL; i++)
        raft_net_step ();
      g_assert_nonnull (raft_net_leader ());
      for (size_t i = 0; i < 3; i++)
        elections += raft_status (raft_net.replicas[i].raft).elections;
      g_assert_cmpuint (elections, ==, 1);
      raft_net_tear_down ();
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

      raft_net_set_up (seed, 3);
      raft_net_run_ms (2000);
      raft_net.most_delay_ms = 6;
      raft_net.repeat_percent = 0;
      /* The announcement follows the leader's earlier messages. */
      g_ptr_array_set_size (raft_net.packets, 0);
      old = raft_net_leader ();
      stop_leading (old);
      for (uint32_t ms = 0;
           ms < RAFT_NET_ELECTION_MS && raft_net_leader () == NULL;
           ms += RAFT_NET_STEP_MS)
        raft_net_step ();
      g_assert_nonnull (raft_net_leader ());
      g_assert_true (raft_net_leader () != old);
      raft_net_tear_down ();
    }
}

static void
test_read_needs_a_quorum (void)
{
  replica_t *old;
  uint64_t round;

  raft_net_set_up (9, 3);
  raft_net_run_ms (2000);
  old = raft_net_leader ();
  round = raft_begin_read (old->raft, raft_net.now_ms);
  g_assert_cmpuint (round, >, 0);
  g_assert_cmpuint (raft_confirmed_read_round (old->raft), <, round);
  raft_net_run_ms (200);
  g_assert_cmpuint (raft_confirmed_read_round (old->raft), >=, round);
  for (size_t i = 0; i < 3; i++)
    raft_net.cut[i][old->number] = raft_net.cut[old->number][i] = true;
  g_ptr_array_set_size (raft_net.packets, 0);
  round = raft_begin_read (old->raft, raft_net.now_ms);
  raft_net_run_ms (100);
  g_assert_cmpuint (raft_confirmed_read_round (old->raft), <, round);
  raft_net_tear_down ();
}

static void
test_one_member_change_at_a_time (void)
{
  Lwm__ControlMembership *members;
  Lwm__ControlMembership *fewer;
  replica_t *at;

  raft_net_set_up (10, 5);
  raft_net_run_ms (2000);
  at = raft_net_leader ();
  members = membership_copy (raft_net.parent, raft_membership (at->raft));
  fewer = membership_copy (raft_net.parent, members);
  membership_remove (fewer, (at->number + 1) % 5 + 1);
  membership_remove (fewer, (at->number + 2) % 5 + 1);
  g_assert_cmpuint (raft_propose_membership (at->raft, fewer), ==, 0);
  membership_remove (members, (at->number + 1) % 5 + 1);
  g_assert_cmpuint (raft_propose_membership (at->raft, members), >, 0);
  membership_remove (members, (at->number + 2) % 5 + 1);
  g_assert_cmpuint (raft_propose_membership (at->raft, members), ==, 0);
  raft_net_run_ms (500);
  g_assert_cmpuint (raft_propose_membership (at->raft, members), >, 0);
  raft_net_run_ms (500);
  g_assert_cmpuint (raft_membership (at->raft)->n_members, ==, 3);
  raft_net_tear_down ();
}

static void
test_other_incarnation_gets_no_vote (void)
{
  Lwm__RaftMessage message = LWM__RAFT_MESSAGE__INIT;

  raft_net_set_up (11, 3);
  message.kind = LWM__RAFT_KIND__RAFT_VOTE;
  message.group = 77;
  message.from = 1;
  message.to = 99; /* the id in the lost folder of replica 2 */
  message.term = 9;
  raft_receive (raft_net.replicas[1].raft, &message, raft_net.now_ms);
  g_assert_cmpuint (raft_net.replicas[1].waiting->len, ==, 0);
  g_assert_cmpuint (raft_status (raft_net.replicas[1].raft).term, ==, 0);
  raft_net_tear_down ();
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

  raft_net_set_up (12, 3);
  raft = raft_net.replicas[1].raft;
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
  raft_receive (raft, &append, raft_net.now_ms);
  raft_net_save (&raft_net.replicas[1]);
  snapshot.kind = LWM__RAFT_KIND__RAFT_SNAPSHOT;
  snapshot.index = 3;
  snapshot.log_term = 2;
  snapshot.size = snapshot.chunk.len = 8;
  snapshot.chunk.data = (uint8_t *)"snapshot";
  raft_receive (raft, &snapshot, raft_net.now_ms);
  g_assert_false (raft_get_received (raft, &received));
  g_assert_cmpuint (raft_status (raft).commit, ==, 3);
  g_assert_cmpuint (raft_status (raft).last, ==, 5);
  raft_net_tear_down ();
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
