#include "placer-ranking.h"

#include <string.h>
#include <talloc.h>
#include <xxhash.h>

/** An acknowledgement within this time shows that an instance is not slow. */
#define QUICK_ACK_MS 60
/** Time for which an instance that reported its zone's jobs counts as acting.
 */
#define ACTING_MS 3000
/** Usable instances of the own zone that know its jobs. */
#define OWN_ZONE_TARGETS 2
/** Instances of a zone that get updates at most while none is usable. */
#define MAX_ZONE_TARGETS 4

/** Time without an acknowledgement after which an instance is taken for lost,
 * and the interval at which it is still tried, in LOST_TRY_UNIT_MS. */
#define LOST_MS          10000
#define LOST_TRY_UNIT_MS 1000
#define LOST_TRY_UNITS   8

/** Time without a whole report after which an instance is not in contact;
 * longer than the interval of these reports. */
#define HEARD_TIMEOUT_MS 1500
/** Time without one after which an instance does not count any more. */
#define FORGOTTEN_MS 60000
/** Places that are kept, so that they are not computed for each request. */
#define MAX_ORDERS 4096

struct placer_ranking
{
  char *own_zone;
  char *own_address;
  uint64_t own_rank;
  GPtrArray *peers; /* placer_peer_t, by zone and rank, children of ranking */
  GHashTable *by_address;
  GHashTable *orders; /* seed -> own place, see placer_ranking_order() */
};

static int
free_ranking (placer_ranking_t *ranking)
{
  g_ptr_array_free (ranking->peers, TRUE);
  g_hash_table_destroy (ranking->by_address);
  g_hash_table_destroy (ranking->orders);
  return 0;
}

static uint64_t
rank_of (const char *address)
{
  return XXH64 (address, strlen (address), 0);
}

placer_ranking_t *
placer_ranking_new (void *parent, const char *own_address, const char *own_zone)
{
  placer_ranking_t *ranking = talloc_zero (parent, placer_ranking_t);

  ranking->own_address = talloc_strdup (ranking, own_address);
  ranking->own_zone = talloc_strdup (ranking, own_zone);
  ranking->own_rank = rank_of (own_address);
  ranking->peers = g_ptr_array_new ();
  ranking->by_address = g_hash_table_new (g_str_hash, g_str_equal);
  ranking->orders
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, NULL);
  talloc_set_destructor (ranking, free_ranking);
  return ranking;
}

static gint
compare_peers (gconstpointer a, gconstpointer b)
{
  const placer_peer_t *one = *(const placer_peer_t *const *)a;
  const placer_peer_t *other = *(const placer_peer_t *const *)b;
  int by_zone = strcmp (one->zone, other->zone);

  if (by_zone != 0)
    return by_zone;
  return (one->rank > other->rank) - (one->rank < other->rank);
}

bool
placer_ranking_add (placer_ranking_t *ranking,
                    const char *address,
                    const char *zone,
                    uint64_t now_ms)
{
  placer_peer_t *peer;

  if (strcmp (address, ranking->own_address) == 0
      || g_hash_table_contains (ranking->by_address, address))
    return false;
  peer = talloc_zero (ranking, placer_peer_t);
  peer->address = talloc_strdup (peer, address);
  peer->zone = talloc_strdup (peer, zone);
  peer->rank = rank_of (address);
  peer->added_ms = now_ms;
  g_hash_table_insert (ranking->by_address, peer->address, peer);
  g_ptr_array_add (ranking->peers, peer);
  g_ptr_array_sort (ranking->peers, compare_peers);
  g_hash_table_remove_all (ranking->orders);
  return true;
}

uint32_t
placer_ranking_count (const placer_ranking_t *ranking)
{
  return ranking->peers->len;
}

placer_peer_t *
placer_ranking_find (const placer_ranking_t *ranking, const char *address)
{
  return g_hash_table_lookup (ranking->by_address, address);
}

bool
placer_ranking_is_own_zone (const placer_ranking_t *ranking,
                            const placer_peer_t *peer)
{
  return strcmp (peer->zone, ranking->own_zone) == 0;
}

bool
placer_ranking_has_own_zone (const placer_ranking_t *ranking)
{
  for (guint i = 0; i < ranking->peers->len; i++)
    if (placer_ranking_is_own_zone (ranking,
                                    g_ptr_array_index (ranking->peers, i)))
      return true;
  return false;
}

bool
placer_ranking_has_all_reports (const placer_ranking_t *ranking)
{
  for (guint i = 0; i < ranking->peers->len; i++)
    {
      const placer_peer_t *peer = g_ptr_array_index (ranking->peers, i);

      if (placer_ranking_is_own_zone (ranking, peer) && peer->reported_ms == 0)
        return false;
    }
  return true;
}

bool
placer_ranking_is_first (const placer_ranking_t *ranking)
{
  for (guint i = 0; i < ranking->peers->len; i++)
    {
      const placer_peer_t *peer = g_ptr_array_index (ranking->peers, i);

      if (placer_ranking_is_own_zone (ranking, peer)
          && peer->rank < ranking->own_rank)
        return false;
    }
  return true;
}

static bool
is_usable (const placer_peer_t *peer, uint64_t now_ms)
{
  return peer->is_able && !peer->is_slow
         && peer->acked_ms + PLACER_RANKING_ACK_TIMEOUT_MS > now_ms;
}

static bool
is_lost (const placer_peer_t *peer, uint64_t now_ms)
{
  return MAX (peer->acked_ms, peer->added_ms) + LOST_MS <= now_ms;
}

/** Returns whether an instance gets updates now, usable or not. */
static bool
is_tried (const placer_peer_t *peer, uint64_t now_ms)
{
  return !is_lost (peer, now_ms)
         || (now_ms / LOST_TRY_UNIT_MS + peer->rank) % LOST_TRY_UNITS == 0;
}

/** Counts the instances of a zone that are not usable and get updates. Lost
 * ones may be many, so they take no place of others. */
typedef struct
{
  uint32_t lost;
  uint32_t others;
} target_count_t;

/** Takes one of the places for instances that are not usable; returns whether
 * one was left. */
static bool
take_place (target_count_t *count, const placer_peer_t *peer, uint64_t now_ms)
{
  uint32_t *taken = is_lost (peer, now_ms) ? &count->lost : &count->others;

  return (*taken)++ < MAX_ZONE_TARGETS;
}

placer_peer_t *
placer_ranking_placer (const placer_ranking_t *ranking,
                       const placer_peer_t *skipped,
                       uint64_t now_ms)
{
  for (guint i = 0; i < ranking->peers->len; i++)
    {
      placer_peer_t *peer = g_ptr_array_index (ranking->peers, i);

      if (!placer_ranking_is_own_zone (ranking, peer) || peer == skipped
          || !is_usable (peer, now_ms))
        continue;
      return peer->rank < ranking->own_rank ? peer : NULL;
    }
  return NULL;
}

bool
placer_ranking_is_placer (const placer_ranking_t *ranking, uint64_t now_ms)
{
  return placer_ranking_placer (ranking, NULL, now_ms) == NULL;
}

void
placer_ranking_own_targets (const placer_ranking_t *ranking,
                            uint64_t now_ms,
                            GPtrArray *peers)
{
  uint32_t usable = 0;
  target_count_t count = { 0 };

  for (guint i = 0; i < ranking->peers->len && usable < OWN_ZONE_TARGETS; i++)
    {
      placer_peer_t *peer = g_ptr_array_index (ranking->peers, i);

      if (!placer_ranking_is_own_zone (ranking, peer)
          || !is_tried (peer, now_ms))
        continue;
      if (is_usable (peer, now_ms))
        usable++;
      else if (!take_place (&count, peer, now_ms))
        continue;
      g_ptr_array_add (peers, peer);
    }
}

void
placer_ranking_zone_targets (const placer_ranking_t *ranking,
                             uint64_t now_ms,
                             GPtrArray *peers)
{
  const char *zone = "";
  bool has_usable = false;
  target_count_t count = { 0 };

  for (guint i = 0; i < ranking->peers->len; i++)
    {
      placer_peer_t *peer = g_ptr_array_index (ranking->peers, i);
      bool is_acting
          = peer->acting_ms > 0 && peer->acting_ms + ACTING_MS > now_ms;

      if (placer_ranking_is_own_zone (ranking, peer))
        continue;
      if (strcmp (zone, peer->zone) != 0)
        {
          zone = peer->zone;
          has_usable = false;
          count = (target_count_t){ 0 };
        }
      if (!is_acting && !is_tried (peer, now_ms))
        continue;
      if (is_acting
          || (!has_usable
              && (is_usable (peer, now_ms)
                  || take_place (&count, peer, now_ms))))
        g_ptr_array_add (peers, peer);
      has_usable = has_usable || is_usable (peer, now_ms);
    }
}

void
placer_ranking_on_ack (placer_peer_t *peer,
                       bool is_able,
                       uint32_t took_ms,
                       uint64_t now_ms)
{
  peer->acked_ms = now_ms;
  peer->is_able = is_able;
  if (took_ms <= QUICK_ACK_MS)
    peer->is_slow = false;
}

bool
placer_ranking_has_majority (const placer_ranking_t *ranking, uint64_t now_ms)
{
  uint32_t known = 1;
  uint32_t heard = 1;

  for (guint i = 0; i < ranking->peers->len; i++)
    {
      const placer_peer_t *peer = g_ptr_array_index (ranking->peers, i);

      if (!placer_ranking_is_own_zone (ranking, peer))
        continue;
      known += MAX (peer->reported_ms, peer->added_ms) + FORGOTTEN_MS > now_ms;
      heard += peer->reported_ms > 0
               && peer->reported_ms + HEARD_TIMEOUT_MS > now_ms;
    }
  return 2 * heard > known;
}

bool
placer_ranking_counts_zone (const placer_ranking_t *ranking, const char *zone)
{
  bool is_first = true;

  if (strcmp (zone, ranking->own_zone) == 0)
    return true;
  for (guint i = 0; i < ranking->peers->len; i++)
    {
      const placer_peer_t *peer = g_ptr_array_index (ranking->peers, i);

      if (strcmp (peer->zone, zone) == 0)
        return false;
      if (strcmp (peer->zone, ranking->own_zone) < 0)
        is_first = false;
    }
  return is_first;
}

static uint32_t
compute_order (const placer_ranking_t *ranking, uint64_t seed)
{
  uint64_t own
      = XXH64 (ranking->own_address, strlen (ranking->own_address), seed);
  uint32_t before = 0;

  for (guint i = 0; i < ranking->peers->len; i++)
    {
      const placer_peer_t *peer = g_ptr_array_index (ranking->peers, i);

      before += XXH64 (peer->address, strlen (peer->address), seed) < own;
    }
  return before;
}

uint32_t
placer_ranking_order (const placer_ranking_t *ranking, uint64_t seed)
{
  gpointer known;
  uint32_t order;

  if (ranking->peers->len == 0)
    return UINT32_MAX;
  if (g_hash_table_lookup_extended (ranking->orders, &seed, NULL, &known))
    return GPOINTER_TO_UINT (known);
  if (g_hash_table_size (ranking->orders) >= MAX_ORDERS)
    g_hash_table_remove_all (ranking->orders);
  order = compute_order (ranking, seed);
  g_hash_table_insert (ranking->orders, g_memdup2 (&seed, sizeof seed),
                       GUINT_TO_POINTER (order));
  return order;
}

void
placer_ranking_on_acting (placer_peer_t *peer, uint64_t now_ms)
{
  peer->acting_ms = now_ms;
}

void
placer_ranking_on_report (placer_peer_t *peer, uint64_t now_ms)
{
  peer->reported_ms = now_ms;
}

void
placer_ranking_on_timeout (placer_peer_t *peer)
{
  peer->is_slow = true;
}
