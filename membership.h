/**
 * @file membership.h
 * Cluster membership: the state that entry instances share by gossip, without
 * the control log. It covers the live instances, the announced upstreams, the
 * configuration in force and the owners of open streams.
 *
 * lwm-entryd needs no other header of it. It is built on gossip.h (the
 * records), failure.h (failure detection), gossip-net.h (ZeroMQ), revision.h
 * (the configuration in force) and owners.h (ownership of open streams).
 *
 * All callbacks run on the event loop, never from within membership_new().
 */
#ifndef MEMBERSHIP_H
#define MEMBERSHIP_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "config.pb-c.h"
#include "gossip.pb-c.h"
#include "metric.h"
#include "owners.h"

struct event_base;

typedef struct membership membership_t;

/** Current state of an upstream; valid only in the callback. */
typedef struct
{
  const Lwm__Announcement *announcement;
  uint32_t running;        /**< coarse unless announced to this instance */
  uint64_t waiting_tokens; /**< coarse unless announced to this instance */
  uint64_t kv_used_tokens; /**< coarse unless announced to this instance */
  uint64_t load_age_ms;    /**< age of the load */
  bool has_load;           /**< false: unknown load, as in other zones */
  bool direct;             /**< an announcement to this instance is the cause */
} membership_upstream_t;

/** Called when an upstream's state or load changed, or when it is leaving. */
typedef void (*membership_upstream_cb_t) (const membership_upstream_t *upstream,
                                          void *context);

/**
 * Called when an upstream has not announced itself to any instance for too
 * long.
 */
typedef void (*membership_upstream_gone_cb_t) (const char *upstream,
                                               uint64_t incarnation,
                                               void *context);

/** Called when an instance came up or went down (died or left). */
typedef void (*membership_instance_cb_t) (const Lwm__InstanceRecord *instance,
                                          bool is_up,
                                          void *context);

/**
 * Called when this instance's incarnation had to be raised because the clock
 * has gone back since the last start. This happens only before it serves.
 */
typedef void (*membership_incarnation_cb_t) (uint64_t incarnation,
                                             void *context);

/**
 * Called when a configuration comes into force on this instance. The arguments
 * stay valid until the next call.
 */
typedef void (*membership_config_cb_t) (const Lwm__Config *config,
                                        const char *digest,
                                        void *context);

/**
 * Called when the folder's configuration changed; @a config is valid only in
 * the callback.
 */
typedef void (*membership_folder_cb_t) (const Lwm__Config *config,
                                        void *context);

/**
 * Returns what other instances should know of requests that crash upstreams,
 * owned by @a parent (talloc); NULL if there is nothing to tell.
 */
typedef Lwm__CrashEvidence *(*membership_evidence_cb_t) (void *parent,
                                                         void *context);

/**
 * Called with what another instance knows of such requests. Returns whether
 * this instance knows more than it.
 */
typedef bool (*membership_on_evidence_cb_t) (const Lwm__CrashEvidence *evidence,
                                             void *context);

typedef struct
{
  struct event_base *base;
  metrics_t *metrics;
  const char *instance;
  const char *zone;
  const char *region;         /**< may be NULL or empty */
  const char *http;           /**< IP:PORT for callers */
  const char *gossip_listen;  /**< IP:PORT; NULL: no socket, no gossip */
  const char *gossip_outside; /**< IP:PORT for other zones; NULL: the same */
  const char *const *seeds;   /**< gossip addresses of other instances */
  size_t seed_count;
  /** Folder that stores the last revision; NULL: not stored. */
  const char *data_folder;
  /** Configuration folder, read and watched; NULL: none. */
  const char *config_folder;
  membership_upstream_cb_t on_upstream;
  membership_upstream_gone_cb_t on_upstream_gone;
  membership_instance_cb_t on_instance;
  membership_incarnation_cb_t on_incarnation;
  membership_config_cb_t on_config;
  /** Receives the folder's configurations, to propose them to the control log;
   * NULL: they come into force on this instance. */
  membership_folder_cb_t on_folder;
  owners_orphan_cb_t on_orphan;      /**< releases an object of a dead owner */
  membership_evidence_cb_t evidence; /**< NULL: evidence is not exchanged */
  membership_on_evidence_cb_t on_evidence;
  void *context;
} membership_options_t;

/** Numbers of live instances, among which limits are divided. */
typedef struct
{
  uint32_t zone_live; /**< live in the own zone, this one included */
  uint32_t all_live;  /**< live in all zones, by the latest records */
  uint32_t zones;     /**< zones with at least one live instance */
} membership_counts_t;

/**
 * Starts gossip. The result is a talloc child of @a parent, which must be freed
 * before the event loop.
 * @return NULL, after one line on stderr, when the address cannot be bound or
 *         the stored revision is damaged
 */
membership_t *membership_new (void *parent,
                              const membership_options_t *options);

/**
 * Loads the configuration folder immediately, as at startup and on SIGHUP;
 * on_config may be called before this returns.
 * @param mistakes set to the errors when false is returned; the caller frees
 *                 them with talloc_free()
 * @return false when the folder's configuration is invalid
 */
bool membership_load_folder (membership_t *membership, char **mistakes);

/**
 * Returns the incarnation of this start. Ids name their owner as
 * INSTANCE/INCARNATION.
 */
uint64_t membership_incarnation (const membership_t *membership);

/**
 * Returns whether this instance may serve: it has joined, and a revision is in
 * force that is as new as any known one. Ten seconds after the start, an older
 * revision suffices.
 */
bool membership_is_ready (const membership_t *membership);

/**
 * Records an announcement that an upstream sent to this instance. A changed
 * state is sent to the zone; a load is sent only when its coarse value changed.
 * @param load load in the announcement; its name and incarnation may be empty
 * @param load_age_ms age of the load
 * @param announce_ms announcement interval; 0 for 1000
 * @return false when a later incarnation of the upstream is known
 */
bool membership_put_announcement (membership_t *membership,
                                  const Lwm__Announcement *announcement,
                                  const Lwm__Load *load,
                                  uint64_t load_age_ms,
                                  uint32_t announce_ms);

/** Returns the numbers of live instances. */
membership_counts_t membership_counts (const membership_t *membership);

/**
 * Publishes whether this instance drains; a draining instance accepts no new
 * work.
 */
void membership_set_draining (membership_t *membership, bool draining);

/** Publishes at the end of a graceful shutdown that this instance left. */
void membership_leave (membership_t *membership);

/**
 * Offers a revision, such as one from the control log.
 * @return true when it is newer and came into force
 */
bool membership_offer_config (membership_t *membership,
                              const Lwm__Config *config);

/** Returns the number of the revision in force here, 0 for none. */
uint64_t membership_revision_number (const membership_t *membership);

/** Returns whether this instance is one of the delegates of its zone. */
bool membership_is_delegate (const membership_t *membership);

/**
 * Sends options.evidence to all instances soon, and repeats it a few times, so
 * that a lost message has no lasting effect.
 */
void membership_spread_evidence (membership_t *membership);

/** Returns the ownership records of this instance; see owners.h. */
owners_t *membership_owners (membership_t *membership);

/** Receives an instance's record and its revision number, 0 for unknown. */
typedef void (*membership_each_instance_cb_t) (
    const Lwm__InstanceRecord *instance,
    uint64_t config_number,
    void *context);

/** Calls @a each for every known instance, this one included. */
void membership_each_instance (const membership_t *membership,
                               membership_each_instance_cb_t each,
                               void *context);

#endif
