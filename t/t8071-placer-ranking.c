/*
 * Tests which instance chooses upstreams for a zone: all instances agree on it
 * without messages, and each goes on to the next one by itself when it is lost
 * or slow.
 */
#include <glib.h>
#include <stdio.h>
#include <talloc.h>

#include "placer-ranking.h"

#define INSTANCES   60
#define NOW_MS      100000
#define UPDATE_MS   1000
#define QUICK_MS    5
#define SLOW_ACK_MS 400

static void
write_address (uint32_t index, char address[32])
{
  snprintf (address, 32, "10.0.%u.%u:7340", index / 200, index % 200);
}

/** Returns the view that the instance @a own has of a zone. */
static placer_ranking_t *
make_view (uint32_t own, uint32_t count)
{
  placer_ranking_t *ranking;
  char address[32];

  write_address (own, address);
  ranking = placer_ranking_new (NULL, address, "a");
  for (uint32_t i = 0; i < count; i++)
    {
      write_address (i, address);
      g_assert_true (placer_ranking_add (ranking, address, "a", NOW_MS)
                     == (i != own));
    }
  return ranking;
}

static void
ack_all (placer_ranking_t *ranking, uint32_t count, uint64_t now_ms)
{
  char address[32];

  for (uint32_t i = 0; i < count; i++)
    {
      placer_peer_t *peer;

      write_address (i, address);
      peer = placer_ranking_find (ranking, address);
      if (peer != NULL)
        placer_ranking_on_ack (peer, true, QUICK_MS, now_ms);
    }
}

/** Returns the address of the placer in the view of @a own. */
static const char *
placer_of (const placer_ranking_t *ranking, uint64_t now_ms)
{
  const placer_peer_t *peer = placer_ranking_placer (ranking, NULL, now_ms);

  return peer != NULL ? peer->address : "self";
}

/** Exactly one instance takes itself for the placer, and all others take it. */
static void
test_all_agree (void)
{
  placer_ranking_t *views[INSTANCES];
  const char *chosen = NULL;
  uint32_t selves = 0;

  for (uint32_t i = 0; i < INSTANCES; i++)
    {
      views[i] = make_view (i, INSTANCES);
      ack_all (views[i], INSTANCES, NOW_MS);
    }
  for (uint32_t i = 0; i < INSTANCES; i++)
    {
      const char *placer = placer_of (views[i], NOW_MS);

      selves += placer_ranking_is_placer (views[i], NOW_MS);
      if (g_str_equal (placer, "self"))
        continue;
      if (chosen == NULL)
        chosen = placer;
      g_assert_cmpstr (placer, ==, chosen);
    }
  g_assert_cmpuint (selves, ==, 1);
  for (uint32_t i = 0; i < INSTANCES; i++)
    talloc_free (views[i]);
}

/** Returns the view of an instance that is neither placer nor stand-by, and the
 * instances ranked before it. */
static placer_ranking_t *
make_member_view (placer_peer_t *ranked[2])
{
  for (uint32_t own = 0; own < INSTANCES; own++)
    {
      placer_ranking_t *view = make_view (own, INSTANCES);

      ack_all (view, INSTANCES, NOW_MS);
      ranked[0] = placer_ranking_placer (view, NULL, NOW_MS);
      ranked[1] = placer_ranking_placer (view, ranked[0], NOW_MS);
      if (ranked[0] != NULL && ranked[1] != NULL)
        return view;
      talloc_free (view);
    }
  g_assert_not_reached ();
}

/** Decider lost: its silence makes the stand-by the placer; its next quick
 * acknowledgement makes it the placer again. */
static void
test_placer_lost (void)
{
  placer_peer_t *ranked[2];
  placer_ranking_t *view = make_member_view (ranked);
  uint64_t now_ms = NOW_MS + 3 * UPDATE_MS;

  placer_ranking_on_ack (ranked[1], true, QUICK_MS, now_ms);
  g_assert_cmpstr (placer_of (view, now_ms), ==, ranked[1]->address);
  placer_ranking_on_ack (ranked[0], true, QUICK_MS, now_ms);
  g_assert_cmpstr (placer_of (view, now_ms), ==, ranked[0]->address);
  talloc_free (view);
}

/** Decider slow: after one request without an answer it gets none until it
 * acknowledges an update quickly. */
static void
test_placer_slow (void)
{
  placer_peer_t *ranked[2];
  placer_ranking_t *view = make_member_view (ranked);

  placer_ranking_on_timeout (ranked[0]);
  g_assert_cmpstr (placer_of (view, NOW_MS), ==, ranked[1]->address);
  placer_ranking_on_ack (ranked[0], true, SLOW_ACK_MS, NOW_MS);
  g_assert_cmpstr (placer_of (view, NOW_MS), ==, ranked[1]->address);
  placer_ranking_on_ack (ranked[0], true, QUICK_MS, NOW_MS);
  g_assert_cmpstr (placer_of (view, NOW_MS), ==, ranked[0]->address);
  talloc_free (view);
}

/** Newcomer: an instance that does not know the zone's jobs yet decides for
 * nobody. */
static void
test_newcomer (void)
{
  placer_peer_t *ranked[2];
  placer_ranking_t *view = make_member_view (ranked);

  placer_ranking_on_ack (ranked[0], false, QUICK_MS, NOW_MS);
  g_assert_cmpstr (placer_of (view, NOW_MS), ==, ranked[1]->address);
  talloc_free (view);
}

/** Without any usable instance, each one decides for itself. */
static void
test_nobody_usable (void)
{
  placer_ranking_t *view = make_view (7, INSTANCES);

  g_assert_cmpstr (placer_of (view, NOW_MS), ==, "self");
  talloc_free (view);
}

/** An instance reports its jobs to two others of its zone, however many there
 * are, and further ones only while those before them do not answer. */
static void
test_few_receivers (void)
{
  placer_peer_t *ranked[2];
  placer_ranking_t *view = make_member_view (ranked);
  GPtrArray *peers = g_ptr_array_new ();

  placer_ranking_own_targets (view, NOW_MS, peers);
  g_assert_cmpuint (peers->len, ==, 2);
  g_assert_true (g_ptr_array_index (peers, 0) == ranked[0]);
  g_assert_true (g_ptr_array_index (peers, 1) == ranked[1]);
  placer_ranking_on_timeout (ranked[0]);
  g_ptr_array_set_size (peers, 0);
  placer_ranking_own_targets (view, NOW_MS, peers);
  g_assert_cmpuint (peers->len, ==, 3);
  g_ptr_array_free (peers, TRUE);
  talloc_free (view);
}

/** However many instances were lost for good, one that lives is found, and lost
 * ones are still tried. */
static void
test_lost_for_good (void)
{
  placer_ranking_t *view = make_view (3, INSTANCES);
  GPtrArray *peers = g_ptr_array_new ();
  GHashTable *tried = g_hash_table_new (NULL, NULL);
  uint64_t now_ms = NOW_MS;

  for (int second = 0; second < 30; second++)
    {
      now_ms += UPDATE_MS;
      g_ptr_array_set_size (peers, 0);
      placer_ranking_own_targets (view, now_ms, peers);
      g_assert_cmpuint (peers->len, <=, 4);
      for (guint i = 0; i < peers->len; i++)
        g_hash_table_add (tried, g_ptr_array_index (peers, i));
    }
  g_assert_cmpuint (g_hash_table_size (tried), >, 8);
  g_hash_table_destroy (tried);
  g_ptr_array_free (peers, TRUE);
  talloc_free (view);
}

/** A zone's jobs are reported to one instance of each other zone, and to one
 * that acts as a second placer there. */
static void
test_other_zones (void)
{
  placer_ranking_t *view = make_view (0, 10);
  GPtrArray *peers = g_ptr_array_new ();
  char address[32];
  placer_peer_t *last = NULL;

  for (uint32_t i = 100; i < 140; i++)
    {
      write_address (i, address);
      placer_ranking_add (view, address, i % 2 == 0 ? "b" : "c", NOW_MS);
      last = placer_ranking_find (view, address);
      placer_ranking_on_ack (last, true, QUICK_MS, NOW_MS);
    }
  placer_ranking_zone_targets (view, NOW_MS, peers);
  g_assert_cmpuint (peers->len, ==, 2);
  g_assert_false (g_ptr_array_find (peers, last, NULL));
  placer_ranking_on_acting (last, NOW_MS);
  g_ptr_array_set_size (peers, 0);
  placer_ranking_zone_targets (view, NOW_MS, peers);
  g_assert_cmpuint (peers->len, ==, 3);
  g_assert_true (g_ptr_array_find (peers, last, NULL));
  g_ptr_array_free (peers, TRUE);
  talloc_free (view);
}

/** Returns in how many of the seconds from @a now_ms on an instance that
 * answers each update gets one. */
static uint32_t
count_targeted (placer_ranking_t *ranking,
                placer_peer_t *live,
                uint64_t now_ms,
                uint32_t seconds)
{
  uint32_t targeted = 0;

  for (uint32_t i = 0; i < seconds; i++, now_ms += UPDATE_MS)
    {
      GPtrArray *targets = g_ptr_array_new ();

      if (placer_ranking_is_own_zone (ranking, live))
        placer_ranking_own_targets (ranking, now_ms, targets);
      else
        placer_ranking_zone_targets (ranking, now_ms, targets);
      if (g_ptr_array_find (targets, live, NULL))
        {
          targeted++;
          placer_ranking_on_ack (live, true, QUICK_MS, now_ms + QUICK_MS);
        }
      g_ptr_array_free (targets, TRUE);
    }
  return targeted;
}

/* Guards against: a usable instance that gets no updates because many others of
 * its zone were lost for good before it started (CONFIG, issue 58). */
static void
test_many_lost (void)
{
  static const char *const zones[] = { "a", "b" };

  for (size_t i = 0; i < G_N_ELEMENTS (zones); i++)
    {
      placer_ranking_t *ranking
          = placer_ranking_new (NULL, "10.9.9.9:7340", "a");
      uint32_t seconds = 60;

      for (uint32_t j = 0; j < 4 * INSTANCES; j++)
        {
          char address[32];

          write_address (j, address);
          placer_ranking_add (ranking, address, zones[i], 0);
        }
      placer_ranking_add (ranking, "10.8.8.8:7340", zones[i], NOW_MS);
      g_assert_cmpuint (
          count_targeted (ranking,
                          placer_ranking_find (ranking, "10.8.8.8:7340"),
                          NOW_MS + UPDATE_MS, seconds),
          ==, seconds);
      talloc_free (ranking);
    }
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/placer-ranking/all-agree", test_all_agree);
  g_test_add_func ("/placer-ranking/placer-lost", test_placer_lost);
  g_test_add_func ("/placer-ranking/placer-slow", test_placer_slow);
  g_test_add_func ("/placer-ranking/newcomer", test_newcomer);
  g_test_add_func ("/placer-ranking/nobody-usable", test_nobody_usable);
  g_test_add_func ("/placer-ranking/few-receivers", test_few_receivers);
  g_test_add_func ("/placer-ranking/lost-for-good", test_lost_for_good);
  g_test_add_func ("/placer-ranking/other-zones", test_other_zones);
  g_test_add_func ("/placer-ranking/many-lost", test_many_lost);
  return g_test_run ();
}
