/**
 * @file placer-ranking.h
 * Knows the other entry instances, and which one chooses upstreams for a zone.
 *
 * All instances rank the instances of a zone in the same order, by a hash of
 * their addresses. The first usable one is the zone's placer, the next one its
 * stand-by. There is no election: an instance that loses contact with the
 * placer goes on to the stand-by by itself. No I/O; time is an argument.
 *
 * An instance is usable while it answers the updates that it gets (ShareAck). A
 * request that it does not answer in time makes it unusable until it answers an
 * update quickly again, so that a slow instance does not delay requests.
 */
#ifndef PLACER_RANKING_H
#define PLACER_RANKING_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/** Time without an acknowledgement after which an instance is not usable. */
#define PLACER_RANKING_ACK_TIMEOUT_MS 1800

/** Another entry instance. Only the ranking writes its fields. */
typedef struct
{
  char *address; /**< IP:PORT */
  char *zone;
  uint64_t rank;        /**< the lowest of a zone comes first */
  uint64_t acked_ms;    /**< when its last acknowledgement came, 0 for none */
  uint64_t added_ms;    /**< when it became known */
  uint64_t acting_ms;   /**< when it last reported its zone's jobs, 0: never */
  uint64_t reported_ms; /**< when it last reported all its jobs, 0: never */
  bool is_able;         /**< as it said in its last acknowledgement */
  bool is_slow;         /**< a request to it timed out */
} placer_peer_t;

typedef struct placer_ranking placer_ranking_t;

/** Creates a ranking without other instances; freed with @a parent (talloc). */
placer_ranking_t *placer_ranking_new (void *parent,
                                      const char *own_address,
                                      const char *own_zone);

/** Adds an instance, unless it is this one or known. Returns whether it was
 * added. */
bool placer_ranking_add (placer_ranking_t *ranking,
                         const char *address,
                         const char *zone,
                         uint64_t now_ms);

/** Returns the number of other instances. */
uint32_t placer_ranking_count (const placer_ranking_t *ranking);

/** Returns whether an instance is in the own zone. */
bool placer_ranking_is_own_zone (const placer_ranking_t *ranking,
                                 const placer_peer_t *peer);

/** Returns whether another instance of the own zone is known. */
bool placer_ranking_has_own_zone (const placer_ranking_t *ranking);

/** Returns whether all known instances of the own zone have reported their
 * jobs. */
bool placer_ranking_has_all_reports (const placer_ranking_t *ranking);

/** Returns whether no known instance of the own zone, usable or not, precedes
 * this one. */
bool placer_ranking_is_first (const placer_ranking_t *ranking);

/** Returns the instance with this address, or NULL. */
placer_peer_t *placer_ranking_find (const placer_ranking_t *ranking,
                                    const char *address);

/**
 * Returns the instance that chooses upstreams for this one.
 * @param skipped an instance to pass over, or NULL
 * @return NULL when this instance chooses itself: it is the placer of its zone,
 * or no other instance is usable
 */
placer_peer_t *placer_ranking_placer (const placer_ranking_t *ranking,
                                      const placer_peer_t *skipped,
                                      uint64_t now_ms);

/** Returns whether this instance is the placer of its zone, as far as it
 * knows. */
bool placer_ranking_is_placer (const placer_ranking_t *ranking,
                               uint64_t now_ms);

/**
 * Appends the instances of the own zone that must know the jobs of this one:
 * the placer, its stand-by, and unusable ones before them, which show by their
 * acknowledgements when they are usable again. An instance that has been silent
 * for long is included now and then.
 * @param peers array of placer_peer_t, which belong to the ranking
 */
void placer_ranking_own_targets (const placer_ranking_t *ranking,
                                 uint64_t now_ms,
                                 GPtrArray *peers);

/** Appends the instances of other zones that must know the jobs of this zone:
 * those that act as placers, and the first usable one of each zone. */
void placer_ranking_zone_targets (const placer_ranking_t *ranking,
                                  uint64_t now_ms,
                                  GPtrArray *peers);

/** Records that an instance acknowledged an update sent @a took_ms ago. */
void placer_ranking_on_ack (placer_peer_t *peer,
                            bool is_able,
                            uint32_t took_ms,
                            uint64_t now_ms);

/** Returns whether more than half of the instances of the own zone, this one
 * included, reported all their jobs lately. Those that were lost long ago do
 * not count. */
bool placer_ranking_has_majority (const placer_ranking_t *ranking,
                                  uint64_t now_ms);

/** Returns whether the own zone's placer is the one that counts the requests to
 * upstreams in @a zone: it is the same zone, or none of its instances is known
 * and the own zone is the first of those with instances. */
bool placer_ranking_counts_zone (const placer_ranking_t *ranking,
                                 const char *zone);

/** Returns the place of this instance among all known ones in an order that
 * differs for each @a seed. It is UINT32_MAX while no other is known. */
uint32_t placer_ranking_order (const placer_ranking_t *ranking, uint64_t seed);

/** Records that an instance reported the jobs of its zone. */
void placer_ranking_on_acting (placer_peer_t *peer, uint64_t now_ms);

/** Records that an instance of the own zone reported all its jobs. */
void placer_ranking_on_report (placer_peer_t *peer, uint64_t now_ms);

/** Records that an instance did not answer a request in time. */
void placer_ranking_on_timeout (placer_peer_t *peer);

#endif
