#include <glib.h>

#include "control-keeper.h"

#define KEEP 3

static control_keeper_replica_t
voter (const char *name, uint64_t incarnation)
{
  return (control_keeper_replica_t){ .name = name,
                                     .incarnation = incarnation,
                                     .is_member = true,
                                     .is_voter = true };
}

static control_keeper_replica_t
joiner (const char *name, uint64_t incarnation)
{
  return (control_keeper_replica_t){ .name = name, .incarnation = incarnation };
}

static void
test_calm (void)
{
  control_keeper_replica_t replicas[]
      = { voter ("a", 1), voter ("b", 2), voter ("c", 3) };
  size_t which;

  g_assert_cmpint (control_keeper_next_step (replicas, 3, KEEP, &which), ==,
                   CONTROL_KEEPER_NOTHING);
}

/** A member that is merely down is waited for. */
static void
test_down (void)
{
  control_keeper_replica_t replicas[]
      = { voter ("a", 1), voter ("b", 2), voter ("c", 3) };
  size_t which;

  replicas[2].is_silent = true;
  g_assert_cmpint (control_keeper_next_step (replicas, 3, KEEP, &which), ==,
                   CONTROL_KEEPER_NOTHING);
}

/** A lost disk: added, promoted, and its old self removed, in this order. */
static void
test_lost_disk (void)
{
  control_keeper_replica_t replicas[]
      = { voter ("a", 1), voter ("b", 2), voter ("c", 3), joiner ("c", 4) };
  size_t which;

  g_assert_cmpint (control_keeper_next_step (replicas, 4, KEEP, &which), ==,
                   CONTROL_KEEPER_ADD);
  g_assert_cmpuint (which, ==, 3);
  replicas[3].is_member = true;
  g_assert_cmpint (control_keeper_next_step (replicas, 4, KEEP, &which), ==,
                   CONTROL_KEEPER_NOTHING);
  replicas[3].is_caught_up = true;
  g_assert_cmpint (control_keeper_next_step (replicas, 4, KEEP, &which), ==,
                   CONTROL_KEEPER_PROMOTE);
  g_assert_cmpuint (which, ==, 3);
  replicas[3].is_voter = true;
  g_assert_cmpint (control_keeper_next_step (replicas, 4, KEEP, &which), ==,
                   CONTROL_KEEPER_REMOVE);
  g_assert_cmpuint (which, ==, 2);
}

/** Gone for good: removed only when another has taken its place. */
static void
test_exchanged (void)
{
  control_keeper_replica_t replicas[]
      = { voter ("a", 1), voter ("b", 2), voter ("c", 3), joiner ("d", 4) };
  size_t which;

  replicas[1].is_silent = true;
  replicas[3].is_member = true;
  replicas[3].is_caught_up = true;
  g_assert_cmpint (control_keeper_next_step (replicas, 4, KEEP, &which), ==,
                   CONTROL_KEEPER_PROMOTE);
  g_assert_cmpuint (which, ==, 3);
  replicas[3].is_voter = true;
  g_assert_cmpint (control_keeper_next_step (replicas, 4, KEEP, &which), ==,
                   CONTROL_KEEPER_REMOVE);
  g_assert_cmpuint (which, ==, 1);
}

/** More instances than voters: they follow, and vote when one is gone. */
static void
test_spare (void)
{
  control_keeper_replica_t replicas[]
      = { voter ("a", 1), voter ("b", 2), voter ("c", 3), joiner ("d", 4) };
  size_t which;

  replicas[3].is_member = true;
  replicas[3].is_caught_up = true;
  g_assert_cmpint (control_keeper_next_step (replicas, 4, KEEP, &which), ==,
                   CONTROL_KEEPER_NOTHING);
  g_assert_cmpint (control_keeper_next_step (replicas, 4, KEEP + 2, &which), ==,
                   CONTROL_KEEPER_PROMOTE);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/control-keeper/calm", test_calm);
  g_test_add_func ("/control-keeper/down", test_down);
  g_test_add_func ("/control-keeper/lost-disk", test_lost_disk);
  g_test_add_func ("/control-keeper/exchanged", test_exchanged);
  g_test_add_func ("/control-keeper/spare", test_spare);
  return g_test_run ();
}
