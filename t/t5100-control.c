/* Tests a control group of real processes: each revision number is accepted
 * once, and no accepted revision is lost when leaders, replicas or all
 * processes are killed, paused or replaced. */
#include <glib.h>
#include <signal.h>
#include <string.h>
#include <talloc.h>

#include "lib-control-fixture.h"

#define ROUNDS 200

static control_fixture_t fixture;
/* Parts of the fixture. */
static group_t *group;
static control_client_t *client;
static history_t *history;

static void
set_up (size_t count)
{
  control_fixture_options_t options = { .replicas = count };

  control_fixture_start (&fixture, &options);
  group = fixture.group;
  client = fixture.client;
  history = fixture.history;
}

static void
tear_down (void)
{
  control_fixture_clear (&fixture);
}

static void
apply (uint64_t number)
{
  control_fixture_apply (&fixture, number);
}

/** Checks that the last accepted revision is in force and was observed. */
static void
check_last_revision (void)
{
  control_fixture_check_last (&fixture);
  group_wait_observer (group, &fixture.observer);
}

static void
test_same_conflict_and_stale (void)
{
  reply_t reply;

  set_up (3);
  apply (7);
  reply = group_apply (group, client, 7, "digest-7");
  g_assert_cmpint (reply.result, ==, LWM__CONTROL_RESULT__RESULT_SAME);
  reply = group_apply (group, client, 7, "other");
  g_assert_cmpint (reply.result, ==, LWM__CONTROL_RESULT__RESULT_CONFLICT);
  g_assert_cmpstr (reply.digest, ==, "digest-7");
  g_assert_cmpstr (reply.who, ==, "operator");
  reply = group_apply (group, client, 6, "digest-6");
  g_assert_cmpint (reply.result, ==, LWM__CONTROL_RESULT__RESULT_STALE);
  check_last_revision ();
  tear_down ();
}

static void
race_two_clients (control_client_t *other, uint64_t number, bool kill_leader)
{
  char one[32];
  char two[32];
  reply_t replies[2] = { 0 };
  const reply_t *winner;
  const reply_t *loser;
  size_t leader = kill_leader ? group_leader (group) : 0;

  g_snprintf (one, sizeof one, "one-%ju", (uintmax_t)number);
  g_snprintf (two, sizeof two, "two-%ju", (uintmax_t)number);
  group_propose (client, number, one, "ada", 20000, &replies[0]);
  group_propose (other, number, two, "ben", 20000, &replies[1]);
  if (kill_leader)
    {
      group_kill (group, leader, false);
      group_start (group, leader, NULL);
    }
  group_wait_reply (group, &replies[0]);
  group_wait_reply (group, &replies[1]);
  /* The winner may get SAME as the answer to a resend; the two clients never
   * both get OK. */
  winner = &replies[replies[0].result == LWM__CONTROL_RESULT__RESULT_CONFLICT];
  loser = &replies[winner == &replies[0]];
  g_assert_cmpint (winner->result, <=, LWM__CONTROL_RESULT__RESULT_SAME);
  g_assert_cmpint (loser->result, ==, LWM__CONTROL_RESULT__RESULT_CONFLICT);
  g_assert_cmpstr (loser->digest, ==, winner->digest);
  g_assert_cmpstr (winner->digest, ==, winner == &replies[0] ? one : two);
  history_record_accepted (history, number, winner->digest);
}

static void
test_race_has_one_winner (void)
{
  observer_t second = { 0 };
  control_client_t *other;

  set_up (3);
  second.history = history;
  other = group_client (group, &second);
  for (uint64_t number = 1; number <= ROUNDS; number++)
    race_two_clients (other, number, number % 50 == 25);
  check_last_revision ();
  group_wait_observer (group, &second);
  talloc_free (other);
  tear_down ();
}

static void
test_stopped_leader_does_not_revert (void)
{
  size_t leader;

  set_up (3);
  apply (1);
  leader = group_leader (group);
  process_signal (group->process[leader], SIGSTOP);
  apply (2);
  apply (3);
  process_signal (group->process[leader], SIGCONT);
  check_last_revision ();
  group_wait_settled (group);
  g_assert_cmpint (group_status (group, leader, "config_number"), ==, 3);
  tear_down ();
}

static void
test_minority_says_no_quorum (void)
{
  size_t leader;
  reply_t reply = { 0 };

  set_up (3);
  apply (1);
  leader = group_leader (group);
  for (size_t i = 0; i < 3; i++)
    if (i != leader)
      process_signal (group->process[i], SIGSTOP);
  group_propose (client, 2, "digest-2", "operator", 1500, &reply);
  group_wait_reply (group, &reply);
  g_assert_cmpint (reply.result, ==, LWM__CONTROL_RESULT__RESULT_NO_QUORUM);
  g_assert_true (reply.maybe_done);
  for (size_t i = 0; i < 3; i++)
    process_signal (group->process[i], SIGCONT);
  apply (2);
  check_last_revision ();
  tear_down ();
}

static void
test_all_killed_at_once (void)
{
  uint64_t fencing;

  set_up (3);
  for (uint64_t number = 1; number <= 120; number++)
    apply (number);
  fencing = group_lease (group, client, "engine-1", "x/1").fencing;
  g_assert_cmpint (group_claim (group, client, "k", "x/1", 5).result, ==, 0);
  group_finish (group, client, "k", "x/1", 5, "outcome");
  for (size_t i = 0; i < 3; i++)
    group_kill (group, i, false);
  group_start_all (group);
  check_last_revision ();
  g_assert_cmpuint (group_lease (group, client, "engine-1", "y/1").fencing, >,
                    fencing);
  {
    reply_t reply = group_claim (group, client, "k", "y/1", 6);

    g_assert_cmpint (reply.result, ==, LWM__CONTROL_RESULT__RESULT_EXISTS);
    g_assert_cmpint (reply.claim_state, ==,
                     LWM__CONTROL_CLAIM_STATE__CLAIM_DONE);
    g_assert_cmpstr (reply.outcome, ==, "outcome");
  }
  tear_down ();
}

/** While most replicas stand still, as in a sync of an overloaded disk, a
 * proposal ends without a quorum and may still take effect; then the group goes
 * on. */
static void
test_most_stand_still (void)
{
  reply_t reply = { 0 };

  set_up (3);
  apply (1);
  process_signal (group->process[0], SIGSTOP);
  process_signal (group->process[1], SIGSTOP);
  group_propose (client, 2, "digest-2", "operator", 1500, &reply);
  group_wait_reply (group, &reply);
  g_assert_cmpint (reply.result, ==, LWM__CONTROL_RESULT__RESULT_NO_QUORUM);
  process_signal (group->process[0], SIGCONT);
  process_signal (group->process[1], SIGCONT);
  apply (2);
  apply (3);
  check_last_revision ();
  tear_down ();
}

static void
test_replaced_then_another_lost (void)
{
  size_t joined;

  set_up (3);
  for (uint64_t number = 1; number <= 70; number++)
    apply (number);
  group_kill (group, 1, true);
  joined = group_join (group);
  group_change_member (group, client,
                       LWM__CONTROL_MEMBER_CHANGE_KIND__MEMBER_ADD, "d");
  group_change_member (group, client,
                       LWM__CONTROL_MEMBER_CHANGE_KIND__MEMBER_PROMOTE, "d");
  group_change_member (group, client,
                       LWM__CONTROL_MEMBER_CHANGE_KIND__MEMBER_REMOVE, "b");
  apply (71);
  group_kill (group, group_leader (group) == 2 ? 0 : 2, false);
  apply (72);
  check_last_revision ();
  g_assert_cmpint (group_status (group, joined, "config_number"), >=, 71);
  tear_down ();
}

static void
expect_no_quorum (uint64_t number)
{
  reply_t reply = { 0 };

  group_propose (client, number, "nobody", "operator", 1500, &reply);
  group_wait_reply (group, &reply);
  g_assert_cmpint (reply.result, ==, LWM__CONTROL_RESULT__RESULT_NO_QUORUM);
}

static void
test_lost_folder_does_not_vote (void)
{
  size_t leader;
  size_t lost;
  size_t late;

  set_up (3);
  apply (1);
  leader = group_leader (group);
  lost = (leader + 1) % 3;
  late = (leader + 2) % 3;
  process_signal (group->process[late], SIGSTOP);
  apply (2);
  /* Now only the leader has the second change: the two other replicas would
   * form a majority without it. */
  group_kill (group, lost, true);
  group_kill (group, leader, false);
  process_signal (group->process[late], SIGCONT);
  group_start (group, lost, NULL);
  expect_no_quorum (2);
  group_start (group, leader, NULL);
  check_last_revision ();
  g_assert_cmpint (group_status (group, lost, "config_number"), ==, 0);
  tear_down ();
}

static void
test_lost_founder_founds_no_second_group (void)
{
  answer_t answer;

  set_up (3);
  apply (1);
  group_kill (group, 0, true);
  group_start (group, 0, NULL);
  apply (2);
  cluster_sleep_ms (1000); /* long enough for several hellos */
  answer = cluster_call (group->http[0], "GET", "/v1/status", NULL);
  g_assert_cmpstr (json_object_get_string_member (answer.json, "group"), ==,
                   "0");
  cluster_answer_free (&answer);
  tear_down ();
}

static void
test_unanswered_claim_is_released (void)
{
  Lwm__ControlClaimTake take = LWM__CONTROL_CLAIM_TAKE__INIT;
  reply_t reply = { 0 };
  size_t leader;

  set_up (3);
  apply (1);
  leader = group_leader (group);
  for (size_t i = 0; i < 3; i++)
    if (i != leader)
      process_signal (group->process[i], SIGSTOP);
  take.customer = (char *)"trust";
  take.service = (char *)"rounds-ledger";
  take.key = (char *)"k";
  take.digest = 1;
  take.owner = (char *)"x/1";
  take.attempt = 1;
  take.keep_ms = 600000;
  control_client_claim (client, &take, 200, reply_store_answer, &reply);
  group_wait_reply (group, &reply);
  g_assert_cmpint (reply.result, ==, LWM__CONTROL_RESULT__RESULT_NO_QUORUM);
  for (size_t i = 0; i < 3; i++)
    process_signal (group->process[i], SIGCONT);
  /* The claim may be granted late; it must not block other owners for long. */
  for (int tries = 0; tries < 100; tries++)
    {
      reply = group_claim (group, client, "k", "y/1", 2);
      if (reply.result == LWM__CONTROL_RESULT__RESULT_OK)
        break;
      group_run_loop_ms (group, 50);
    }
  g_assert_cmpint (reply.result, ==, LWM__CONTROL_RESULT__RESULT_OK);
  tear_down ();
}

static void
test_old_hello_adds_no_member (void)
{
  Lwm__ControlMemberChange change = LWM__CONTROL_MEMBER_CHANGE__INIT;
  reply_t reply = { 0 };
  size_t lost;

  set_up (3);
  apply (1);
  lost = (group_leader (group) + 1) % 3;
  group_kill (group, lost, true);
  change.name = (char *)(const char *[]){ "a", "b", "c" }[lost];
  group_change_member (group, client,
                       LWM__CONTROL_MEMBER_CHANGE_KIND__MEMBER_REMOVE,
                       change.name);
  /* The last hello of the removed member is recent: it was sent when the group
   * was founded. */
  change.kind = LWM__CONTROL_MEMBER_CHANGE_KIND__MEMBER_ADD;
  control_client_change_member (client, &change, 5000, reply_store_answer,
                                &reply);
  group_wait_reply (group, &reply);
  g_assert_cmpint (reply.result, ==, LWM__CONTROL_RESULT__RESULT_NOT_FOUND);
  tear_down ();
}

static void
test_restart_after_500_changes (void)
{
  size_t leader;
  size_t at;

  set_up (3);
  group_claim (group, client, "k", "x/1", 1);
  for (uint64_t number = 1; number <= 500; number++)
    apply (number);
  leader = group_leader (group);
  at = (leader + 1) % 3;
  /* The replica recovers from its own snapshot and log. */
  group_kill (group, at, false);
  apply (501);
  group_start (group, at, NULL);
  CLUSTER_WAIT (group_status (group, at, "config_number") == 501);
  g_assert_cmpint (group_status (group, at, "claims"), ==, 1);
  /* Without its files, the replica recovers from another replica. */
  group_kill (group, at, true);
  group_start (group, at, NULL);
  group_change_member (group, client,
                       LWM__CONTROL_MEMBER_CHANGE_KIND__MEMBER_REMOVE,
                       (const char *[]){ "a", "b", "c" }[at]);
  group_change_member (group, client,
                       LWM__CONTROL_MEMBER_CHANGE_KIND__MEMBER_ADD,
                       (const char *[]){ "a", "b", "c" }[at]);
  CLUSTER_WAIT (group_status (group, at, "config_number") == 501);
  g_assert_cmpint ((int)cluster_metric (group->http[at],
                                        "lwm_control_snapshots_received_total"),
                   ==, 1);
  g_assert_cmpint (group_status (group, at, "claims"), ==, 1);
  check_last_revision ();
  tear_down ();
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/control/same-conflict-and-stale",
                   test_same_conflict_and_stale);
  g_test_add_func ("/control/race-has-one-winner", test_race_has_one_winner);
  g_test_add_func ("/control/stopped-leader-does-not-revert",
                   test_stopped_leader_does_not_revert);
  g_test_add_func ("/control/minority-says-no-quorum",
                   test_minority_says_no_quorum);
  g_test_add_func ("/control/all-killed-at-once", test_all_killed_at_once);
  g_test_add_func ("/control/most-stand-still", test_most_stand_still);
  g_test_add_func ("/control/replaced-then-another-lost",
                   test_replaced_then_another_lost);
  g_test_add_func ("/control/lost-folder-does-not-vote",
                   test_lost_folder_does_not_vote);
  g_test_add_func ("/control/lost-founder-founds-no-second-group",
                   test_lost_founder_founds_no_second_group);
  g_test_add_func ("/control/unanswered-claim-is-released",
                   test_unanswered_claim_is_released);
  g_test_add_func ("/control/old-hello-adds-nobody",
                   test_old_hello_adds_no_member);
  g_test_add_func ("/control/restart-after-500-changes",
                   test_restart_after_500_changes);
  return g_test_run ();
}
