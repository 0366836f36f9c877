/* Partitions replicas behind the fault proxy, in one or both directions,
 * without closing connections: the side with a quorum continues, late messages
 * of an old term change nothing, and all replicas converge after the partition
 * heals. */
#include <glib.h>
#include <string.h>
#include <talloc.h>

#include "lib-control-fixture.h"

#define REPLICAS 3

static control_fixture_t fixture;
/* Parts of the fixture. */
static group_t *group;
static control_client_t *client;
static history_t *history;

static void
set_up (void)
{
  control_fixture_options_t options
      = { .replicas = REPLICAS, .is_proxied = true };

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
apply_one (void)
{
  control_fixture_apply_next (&fixture);
}

/** Cuts or heals the incoming links of replica @a at, its outgoing links, or
 * both. */
static void
isolate (size_t at, bool incoming, bool outgoing, bool cut)
{
  for (size_t i = 0; i < REPLICAS; i++)
    if (i != at)
      {
        if (incoming)
          group_set_cut (group, i, at, cut);
        if (outgoing)
          group_set_cut (group, at, i, cut);
      }
}

static void
check_converged (void)
{
  control_fixture_check_last (&fixture);
  for (size_t i = 0; i < REPLICAS; i++)
    CLUSTER_WAIT (group_status (group, i, "config_number")
                  == (int64_t)history->accepted);
  group_wait_observer (group, &fixture.observer);
}

static void
check_isolated_leader (bool incoming, bool outgoing)
{
  size_t old;

  set_up ();
  apply_one ();
  old = group_leader (group);
  isolate (old, incoming, outgoing, true);
  apply_one ();
  apply_one ();
  /* The isolated replica commits nothing more, whatever it received before. */
  g_assert_cmpint (group_status (group, old, "config_number"), <=, 3);
  isolate (old, incoming, outgoing, false);
  check_converged ();
  tear_down ();
}

static void
test_leader_cut_both_ways (void)
{
  check_isolated_leader (true, true);
}

static void
test_leader_cut_incoming (void)
{
  check_isolated_leader (true, false);
}

static void
test_leader_cut_outgoing (void)
{
  check_isolated_leader (false, true);
}

static void
test_follower_cut_long_does_not_disturb (void)
{
  size_t leader;
  size_t isolated;
  int64_t term;

  set_up ();
  apply_one ();
  leader = group_leader (group);
  isolated = (leader + 1) % REPLICAS;
  term = group_status (group, leader, "term");
  isolate (isolated, true, true, true);
  /* Enough changes for a snapshot, which the replica then receives. */
  for (int i = 0; i < 120; i++)
    apply_one ();
  isolate (isolated, true, true, false);
  check_converged ();
  g_assert_cmpint (group_status (group, group_leader (group), "term"), ==,
                   term);
  tear_down ();
}

static void
test_minority_reports_no_quorum (void)
{
  reply_t reply = { 0 };
  reply_t claim = { 0 };
  control_client_options_t options = { 0 };
  Lwm__ControlClaimTake take = LWM__CONTROL_CLAIM_TAKE__INIT;
  control_client_t *minority;
  size_t old;

  set_up ();
  apply_one ();
  old = group_leader (group);
  options.base = group->base;
  options.peers = (char **)&group->control[old];
  options.peer_count = 1;
  minority = control_client_new (NULL, &options);
  isolate (old, true, true, true);
  group_propose (minority, 2, "minority", "ben", 2000, &reply);
  take.customer = (char *)"trust";
  take.service = (char *)"rounds-ledger";
  take.key = (char *)"k";
  take.owner = (char *)"m/1";
  take.attempt = 9;
  take.keep_ms = 60000;
  control_client_claim (minority, &take, 2000, reply_store_answer, &claim);
  group_wait_reply (group, &reply);
  group_wait_reply (group, &claim);
  g_assert_cmpint (reply.result, ==, LWM__CONTROL_RESULT__RESULT_NO_QUORUM);
  g_assert_cmpint (claim.result, ==, LWM__CONTROL_RESULT__RESULT_NO_QUORUM);
  /* The majority decides revision 2, and the key is free for other owners. */
  apply_one ();
  g_assert_cmpint (group_claim (group, client, "k", "n/1", 10).result, ==, 0);
  isolate (old, true, true, false);
  check_converged ();
  g_assert_cmpint (group_claim (group, client, "k", "o/1", 11).result, ==,
                   LWM__CONTROL_RESULT__RESULT_EXISTS);
  talloc_free (minority);
  tear_down ();
}

static void
test_seeded_cuts_keep_one_history (void)
{
  GRand *random = g_rand_new_with_seed (42);

  set_up ();
  apply_one (); /* the group is founded once all first members sent a hello */
  for (int i = 0; i < 12; i++)
    {
      size_t at = (size_t)g_rand_int_range (random, 0, REPLICAS);
      bool incoming = g_rand_boolean (random);
      bool outgoing = !incoming || g_rand_boolean (random);

      isolate (at, incoming, outgoing, true);
      for (int changes = 0; changes < 8; changes++)
        apply_one ();
      isolate (at, incoming, outgoing, false);
      for (int changes = 0; changes < 4; changes++)
        apply_one ();
    }
  check_converged ();
  g_rand_free (random);
  tear_down ();
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/control-cut/leader-cut-both-ways",
                   test_leader_cut_both_ways);
  g_test_add_func ("/control-cut/leader-hears-nothing",
                   test_leader_cut_incoming);
  g_test_add_func ("/control-cut/leader-is-not-heard",
                   test_leader_cut_outgoing);
  g_test_add_func ("/control-cut/follower-cut-long-does-not-disturb",
                   test_follower_cut_long_does_not_disturb);
  g_test_add_func ("/control-cut/client-of-the-minority-is-told",
                   test_minority_reports_no_quorum);
  g_test_add_func ("/control-cut/seeded-cuts-keep-one-history",
                   test_seeded_cuts_keep_one_history);
  return g_test_run ();
}
