#include <glib.h>

#include "control-keeper.h"

#define VOTERS 3

/** Returns a voter that has been up for long. */
static control_keeper_replica_t
make_voter (const char *name, uint64_t incarnation)
{
  return (control_keeper_replica_t){ .name = name,
                                     .zone = name,
                                     .incarnation = incarnation,
                                     .is_member = true,
                                     .is_voter = true,
                                     .is_settled = true };
}

static control_keeper_replica_t
make_joiner (const char *name, uint64_t incarnation)
{
  return (control_keeper_replica_t){ .name = name,
                                     .zone = name,
                                     .incarnation = incarnation };
}

static void
test_no_change (void)
{
  control_keeper_replica_t replicas[]
      = { make_voter ("a", 1), make_voter ("b", 2), make_voter ("c", 3) };
  size_t which;

  g_assert_cmpint (control_keeper_next_step (replicas, 3, VOTERS, &which), ==,
                   CONTROL_KEEPER_NOTHING);
}

/** A member that is only down is not replaced. */
static void
test_down_member_is_kept (void)
{
  control_keeper_replica_t replicas[]
      = { make_voter ("a", 1), make_voter ("b", 2), make_voter ("c", 3) };
  size_t which;

  replicas[2].is_silent = true;
  g_assert_cmpint (control_keeper_next_step (replicas, 3, VOTERS, &which), ==,
                   CONTROL_KEEPER_NOTHING);
}

/* Guards against: a new incarnation that votes beside the dead one, so that its
 * own loss leaves two dead voters of four (CONFIG). */
static void
test_lost_disk (void)
{
  control_keeper_replica_t replicas[]
      = { make_voter ("a", 1), make_voter ("b", 2), make_voter ("c", 3),
          make_joiner ("c", 4) };
  size_t which;

  g_assert_cmpint (control_keeper_next_step (replicas, 4, VOTERS, &which), ==,
                   CONTROL_KEEPER_REMOVE);
  g_assert_cmpuint (which, ==, 2);
  replicas[2] = replicas[3];
  g_assert_cmpint (control_keeper_next_step (replicas, 3, VOTERS, &which), ==,
                   CONTROL_KEEPER_ADD);
  g_assert_cmpuint (which, ==, 2);
  replicas[2].is_member = true;
  g_assert_cmpint (control_keeper_next_step (replicas, 3, VOTERS, &which), ==,
                   CONTROL_KEEPER_NOTHING);
  replicas[2].is_caught_up = true;
  g_assert_cmpint (control_keeper_next_step (replicas, 3, VOTERS, &which), ==,
                   CONTROL_KEEPER_PROMOTE);
  g_assert_cmpuint (which, ==, 2);
}

/** A permanently lost member is removed only when another can replace it, and
 * before that one votes. */
static void
test_lost_member_is_replaced (void)
{
  control_keeper_replica_t replicas[]
      = { make_voter ("a", 1), make_voter ("b", 2), make_voter ("c", 3),
          make_joiner ("d", 4) };
  size_t which;

  replicas[1].is_silent = true;
  replicas[3].is_member = true;
  g_assert_cmpint (control_keeper_next_step (replicas, 4, VOTERS, &which), ==,
                   CONTROL_KEEPER_NOTHING);
  replicas[3].is_caught_up = true;
  replicas[3].zone = "a";
  /* It may be the successor of another machine that is about to go. */
  g_assert_cmpint (control_keeper_next_step (replicas, 4, VOTERS, &which), ==,
                   CONTROL_KEEPER_NOTHING);
  replicas[3].is_settled = true;
  g_assert_cmpint (control_keeper_next_step (replicas, 4, VOTERS, &which), ==,
                   CONTROL_KEEPER_REMOVE);
  g_assert_cmpuint (which, ==, 1);
  replicas[3].is_settled = false;
  replicas[3].zone = "b";
  g_assert_cmpint (control_keeper_next_step (replicas, 4, VOTERS, &which), ==,
                   CONTROL_KEEPER_REMOVE);
  g_assert_cmpuint (which, ==, 1);
  replicas[1] = replicas[3];
  g_assert_cmpint (control_keeper_next_step (replicas, 3, VOTERS, &which), ==,
                   CONTROL_KEEPER_PROMOTE);
  g_assert_cmpuint (which, ==, 1);
}

/** A voter that is about to end gives its vote to a learner of its zone, but
 * not to one that may be lost again at any moment. */
static void
test_planned_stop (void)
{
  control_keeper_replica_t replicas[]
      = { make_voter ("a", 1), make_voter ("b", 2), make_voter ("c", 3),
          make_joiner ("d", 4) };
  size_t which;

  replicas[1].is_leaving = true;
  replicas[3].is_member = replicas[3].is_caught_up = true;
  replicas[3].is_settled = true;
  replicas[3].zone = "a";
  g_assert_cmpint (control_keeper_next_step (replicas, 4, VOTERS, &which), ==,
                   CONTROL_KEEPER_NOTHING);
  replicas[3].zone = "b";
  replicas[3].is_settled = false;
  g_assert_cmpint (control_keeper_next_step (replicas, 4, VOTERS, &which), ==,
                   CONTROL_KEEPER_NOTHING);
  replicas[3].is_settled = true;
  g_assert_cmpint (control_keeper_next_step (replicas, 4, VOTERS, &which), ==,
                   CONTROL_KEEPER_PROMOTE);
  g_assert_cmpuint (which, ==, 3);
  replicas[3].is_voter = true;
  g_assert_cmpint (control_keeper_next_step (replicas, 4, VOTERS, &which), ==,
                   CONTROL_KEEPER_REMOVE);
  g_assert_cmpuint (which, ==, 1);
}

/* Guards against: a voter that has just started and its successor, of which one
 * has been lost before unnoticed, vote at the same time and are lost at once
 * (CONFIG). */
static void
test_planned_stop_of_new_voter (void)
{
  control_keeper_replica_t replicas[]
      = { make_voter ("a", 1), make_voter ("b", 2), make_voter ("c", 3),
          make_joiner ("d", 4) };
  size_t which;

  replicas[1].is_leaving = true;
  replicas[1].is_settled = false;
  replicas[3].is_member = replicas[3].is_caught_up = true;
  replicas[3].is_settled = true;
  replicas[3].zone = "b";
  g_assert_cmpint (control_keeper_next_step (replicas, 4, VOTERS, &which), ==,
                   CONTROL_KEEPER_REMOVE);
  g_assert_cmpuint (which, ==, 1);
}

/* Guards against: two voters of one zone beside none of another one, so that
 * the loss of a machine in each of two zones costs three votes of five
 * (CONFIG). */
static void
test_vote_of_other_zone (void)
{
  control_keeper_replica_t replicas[]
      = { make_voter ("a", 1), make_voter ("b", 2), make_voter ("c", 3),
          make_voter ("d", 4), make_voter ("x", 5), make_joiner ("e", 6) };
  size_t which;

  replicas[4].zone = "d";
  replicas[4].is_settled = false;
  replicas[5].is_member = true;
  g_assert_cmpint (control_keeper_next_step (replicas, 6, 5, &which), ==,
                   CONTROL_KEEPER_NOTHING);
  replicas[5].is_caught_up = true;
  g_assert_cmpint (control_keeper_next_step (replicas, 6, 5, &which), ==,
                   CONTROL_KEEPER_REMOVE);
  g_assert_cmpuint (which, ==, 4);
  replicas[4].is_voter = replicas[4].is_member = false;
  g_assert_cmpint (control_keeper_next_step (replicas, 6, 5, &which), ==,
                   CONTROL_KEEPER_PROMOTE);
  g_assert_cmpuint (which, ==, 5);
}

/* Guards against: a learner that has been up for long takes the vote of another
 * zone after that one was removed, so that the group has fewer voters than
 * intended while all machines are up. */
static void
test_vote_of_other_zone_when_settled (void)
{
  control_keeper_replica_t replicas[]
      = { make_voter ("a", 1), make_voter ("b", 2), make_voter ("x", 3),
          make_joiner ("c", 4) };
  size_t which;

  replicas[2].zone = "b";
  replicas[3].is_member = replicas[3].is_caught_up = true;
  replicas[3].is_settled = true;
  g_assert_cmpint (control_keeper_next_step (replicas, 4, VOTERS, &which), ==,
                   CONTROL_KEEPER_PROMOTE);
  g_assert_cmpuint (which, ==, 3);
  replicas[3].is_voter = true;
  g_assert_cmpint (control_keeper_next_step (replicas, 4, VOTERS, &which), ==,
                   CONTROL_KEEPER_REMOVE);
  g_assert_cmpuint (which, ==, 1);
}

/* Guards against: a group that lacks a voter keeps a dead one beside its
 * successor, and later takes the vote from the successor (CONFIG). */
static void
test_lost_member_of_short_group (void)
{
  control_keeper_replica_t replicas[]
      = { make_voter ("a", 1), make_voter ("b", 2), make_voter ("c", 3),
          make_voter ("d", 4), make_joiner ("e", 5) };
  size_t which;

  replicas[3].is_silent = true;
  replicas[4].zone = "d";
  replicas[4].is_member = replicas[4].is_caught_up = true;
  g_assert_cmpint (control_keeper_next_step (replicas, 5, 5, &which), ==,
                   CONTROL_KEEPER_REMOVE);
  g_assert_cmpuint (which, ==, 3);
  replicas[3] = replicas[4];
  g_assert_cmpint (control_keeper_next_step (replicas, 4, 5, &which), ==,
                   CONTROL_KEEPER_PROMOTE);
  g_assert_cmpuint (which, ==, 3);
}

/* Guards against: a group that keeps more voters than intended, since the one
 * that was about to end has returned; and of two that are about to end, the
 * removal of the one without a successor. */
static void
test_surplus (void)
{
  control_keeper_replica_t replicas[]
      = { make_voter ("a", 1), make_voter ("b", 2), make_voter ("c", 3),
          make_voter ("x", 4) };
  size_t which;

  replicas[3].zone = "c";
  g_assert_cmpint (control_keeper_next_step (replicas, 4, VOTERS, &which), ==,
                   CONTROL_KEEPER_REMOVE);
  g_assert_cmpuint (which, ==, 2);
  replicas[0].is_leaving = replicas[3].is_leaving = true;
  g_assert_cmpint (control_keeper_next_step (replicas, 4, VOTERS, &which), ==,
                   CONTROL_KEEPER_REMOVE);
  g_assert_cmpuint (which, ==, 3);
}

/** A restart in place costs no vote: nobody is there to take it. */
static void
test_restart_in_place (void)
{
  control_keeper_replica_t replicas[]
      = { make_voter ("a", 1), make_voter ("b", 2), make_voter ("c", 3) };
  size_t which;

  replicas[1].is_leaving = replicas[1].is_silent = true;
  g_assert_cmpint (control_keeper_next_step (replicas, 3, VOTERS, &which), ==,
                   CONTROL_KEEPER_NOTHING);
}

/** With more instances than voters, the surplus instances replicate without a
 * vote, and one becomes a voter when a voter is gone. */
static void
test_spare_votes_only_when_needed (void)
{
  control_keeper_replica_t replicas[]
      = { make_voter ("a", 1), make_voter ("b", 2), make_voter ("c", 3),
          make_joiner ("d", 4) };
  size_t which;

  replicas[3].is_member = true;
  replicas[3].is_caught_up = true;
  g_assert_cmpint (control_keeper_next_step (replicas, 4, VOTERS, &which), ==,
                   CONTROL_KEEPER_NOTHING);
  g_assert_cmpint (control_keeper_next_step (replicas, 4, VOTERS + 2, &which),
                   ==, CONTROL_KEEPER_PROMOTE);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/control-keeper/calm", test_no_change);
  g_test_add_func ("/control-keeper/down", test_down_member_is_kept);
  g_test_add_func ("/control-keeper/lost-disk", test_lost_disk);
  g_test_add_func ("/control-keeper/exchanged", test_lost_member_is_replaced);
  g_test_add_func ("/control-keeper/planned-stop", test_planned_stop);
  g_test_add_func ("/control-keeper/planned-stop-new",
                   test_planned_stop_of_new_voter);
  g_test_add_func ("/control-keeper/other-zone", test_vote_of_other_zone);
  g_test_add_func ("/control-keeper/other-zone-settled",
                   test_vote_of_other_zone_when_settled);
  g_test_add_func ("/control-keeper/short-group",
                   test_lost_member_of_short_group);
  g_test_add_func ("/control-keeper/surplus", test_surplus);
  g_test_add_func ("/control-keeper/restart-in-place", test_restart_in_place);
  g_test_add_func ("/control-keeper/spare", test_spare_votes_only_when_needed);
  return g_test_run ();
}
