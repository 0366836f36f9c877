/* Checks the ownership records: even if batches are lost, each recorder ends up
 * with exactly the open objects of the owner, and reports just those as orphans
 * when the owner is gone. */
#include <glib.h>
#include <talloc.h>

#include "message.h"
#include "owners.h"

#define INSTANCES 4

typedef struct fixture fixture_t;

typedef struct
{
  fixture_t *fixture;
  char name[8];
  owners_t *owners;
  GHashTable *orphans; /* set of sequence numbers */
} node_t;

struct fixture
{
  void *memory;
  GRand *rand;
  int loss_percent;
  uint64_t now_ms;
  node_t nodes[INSTANCES];
};

static void
on_send (const char *to, const Lwm__OwnedBatch *batch, void *context)
{
  node_t *from = context;
  fixture_t *fixture = from->fixture;
  node_t *node = &fixture->nodes[to[1] - '0'];
  /* Encodes and decodes the batch, like a message on the wire. */
  Lwm__OwnedBatch *copy = message_copy (fixture->memory, &batch->base);

  if (g_rand_int_range (fixture->rand, 0, 100) >= fixture->loss_percent)
    owners_receive (node->owners, from->name, 10, copy);
  talloc_free (copy);
}

static void
on_orphan (const owners_orphan_t *orphan, void *context)
{
  node_t *node = context;

  g_assert_cmpstr (orphan->owner, ==, "n0");
  g_assert_cmpuint (orphan->incarnation, ==, 10);
  /* open_object() opens sequence N at upstream "uM" with M = N modulo 7. */
  g_assert_cmpint (orphan->upstream[1] - '0', ==, orphan->sequence % 7);
  g_assert_cmpint (orphan->kind, ==, orphan->sequence % 3);
  g_assert_true (g_hash_table_add (node->orphans,
                                   GUINT_TO_POINTER ((guint)orphan->sequence)));
}

static void
set_up (fixture_t *fixture, gconstpointer data)
{
  fixture->memory = talloc_new (NULL);
  fixture->rand = g_rand_new_with_seed (11);
  fixture->now_ms = 1000;
  for (int i = 0; i < INSTANCES; i++)
    {
      node_t *node = &fixture->nodes[i];
      owners_options_t options = { .instance = node->name,
                                   .incarnation = 10,
                                   .send = on_send,
                                   .orphan = on_orphan,
                                   .orphan_context = node,
                                   .context = node };

      node->fixture = fixture;
      g_snprintf (node->name, sizeof node->name, "n%d", i);
      node->owners = owners_new (fixture->memory, &options);
      node->orphans = g_hash_table_new (NULL, NULL);
    }
}

static void
tear_down (fixture_t *fixture, gconstpointer data)
{
  for (int i = 0; i < INSTANCES; i++)
    g_hash_table_destroy (fixture->nodes[i].orphans);
  talloc_free (fixture->memory);
  g_rand_free (fixture->rand);
}

static uint64_t
open_object (fixture_t *fixture)
{
  owners_t *owners = fixture->nodes[0].owners;
  uint64_t sequence = owners_next_sequence (owners);
  char upstream[8];

  g_snprintf (upstream, sizeof upstream, "u%d", (int)(sequence % 7));
  owners_open (owners, sequence, upstream, (Lwm__ObjectKind)(sequence % 3));
  return sequence;
}

/** Opens and closes objects at random; returns the set that stays open. */
static GHashTable *
open_and_close_randomly (fixture_t *fixture, int steps)
{
  GHashTable *open = g_hash_table_new (NULL, NULL);

  for (int i = 0; i < steps; i++)
    {
      uint64_t sequence = open_object (fixture);
      uint64_t earlier
          = (uint64_t)g_rand_int_range (fixture->rand, 1, (gint32)sequence + 1);

      g_hash_table_add (open, GUINT_TO_POINTER ((guint)sequence));
      if (g_hash_table_remove (open, GUINT_TO_POINTER ((guint)earlier)))
        owners_close (fixture->nodes[0].owners, earlier);
      fixture->now_ms += (uint64_t)g_rand_int_range (fixture->rand, 1, 200);
      owners_tick (fixture->nodes[0].owners, fixture->now_ms);
    }
  return open;
}

/** Advances time enough for late closings, heartbeats and retransmissions. */
static void
run_until_settled (fixture_t *fixture)
{
  for (int i = 0; i < 200; i++)
    {
      fixture->now_ms += 100;
      owners_tick (fixture->nodes[0].owners, fixture->now_ms);
    }
}

static void
check_orphans (fixture_t *fixture, GHashTable *open, int recorders)
{
  int seen = 0;

  for (int i = 1; i < INSTANCES; i++)
    {
      node_t *node = &fixture->nodes[i];
      GHashTableIter iter;
      void *key;

      owners_report_dead_owner (node->owners, "n0", 10);
      if (g_hash_table_size (node->orphans) == 0)
        continue;
      seen++;
      g_assert_cmpuint (g_hash_table_size (node->orphans), ==,
                        g_hash_table_size (open));
      g_hash_table_iter_init (&iter, open);
      while (g_hash_table_iter_next (&iter, &key, NULL))
        g_assert_true (g_hash_table_contains (node->orphans, key));
    }
  g_assert_cmpint (seen, ==, recorders);
  g_hash_table_destroy (open);
}

static const char *const all[] = { "n0", "n1", "n2", "n3" };

static void
test_orphans_without_loss (fixture_t *fixture, gconstpointer data)
{
  GHashTable *open;

  owners_set_live (fixture->nodes[0].owners, all, 4);
  open = open_and_close_randomly (fixture, 300);
  run_until_settled (fixture);
  check_orphans (fixture, open, 2);
}

static void
test_orphans_with_lost_batches (fixture_t *fixture, gconstpointer data)
{
  GHashTable *open;

  owners_set_live (fixture->nodes[0].owners, all, 4);
  fixture->loss_percent = 40;
  open = open_and_close_randomly (fixture, 300);
  fixture->loss_percent = 0;
  /* One more change makes the recorders detect that they missed batches. */
  g_hash_table_add (open, GUINT_TO_POINTER ((guint)open_object (fixture)));
  run_until_settled (fixture);
  check_orphans (fixture, open, 2);
}

static void
test_recorder_dies (fixture_t *fixture, gconstpointer data)
{
  static const char *const remaining[] = { "n0", "n3" };
  GHashTable *open;

  owners_set_live (fixture->nodes[0].owners, all, 4);
  open = open_and_close_randomly (fixture, 300);
  owners_set_live (fixture->nodes[0].owners, remaining, 2);
  run_until_settled (fixture);
  /* Recorders that are no longer in use keep nothing; the remaining one has all
   * open objects. */
  check_orphans (fixture, open, 1);
  g_assert_cmpuint (g_hash_table_size (fixture->nodes[3].orphans), >, 0);
}

#define ADD(name, test)                                                        \
  g_test_add (name, fixture_t, NULL, set_up, test, tear_down)

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  ADD ("/owners/nothing-lost", test_orphans_without_loss);
  ADD ("/owners/batches-lost", test_orphans_with_lost_batches);
  ADD ("/owners/recorder-dies", test_recorder_dies);
  return g_test_run ();
}
