/**
 * @file membership-internal.h
 * Internal state and functions of the membership module; only membership*.c
 * include it.
 */
#ifndef MEMBERSHIP_INTERNAL_H
#define MEMBERSHIP_INTERNAL_H

#include "config-watch.h"
#include "failure.h"
#include "gossip-net.h"
#include "gossip-sync.h"
#include "gossip.h"
#include "membership.h"
#include "revision-fetch.h"
#include "revision.h"
#include "zones.h"

struct event;

#define MAX_RELAYED_PROBES 32

/** Progress of this instance in joining the cluster. */
typedef enum
{
  JOIN_DISCOVERING, /**< sending discovery pings to the seeds */
  JOIN_SYNCING,     /**< waiting for the whole state from one instance */
  JOIN_DONE,
} join_phase_t;

/** Whether and how soon the outbox is going to be flushed. */
typedef enum
{
  FLUSH_NONE,
  FLUSH_LATER,
  FLUSH_SOON,
} flush_t;

/** An indirect probe made on behalf of another instance. */
typedef struct
{
  uint32_t sequence; /* sequence of this instance's ping; 0: never used */
  char origin[64];   /* instance that requested the probe; empty: none */
  uint32_t origin_sequence;
  char target[64];
} relayed_probe_t;

struct membership
{
  membership_options_t options;
  char **seeds;
  gossip_t *gossip;
  failure_t *failure;
  gossip_net_t *net; /* NULL: no gossip with other instances */
  revision_t *revision;
  revision_fetch_t *fetch;
  char *fetch_source; /* instance that reported the revision being fetched; it
                         is asked if no instance of the zone has it */
  owners_t *owners;
  config_watch_t *watch;
  GRand *rand;
  struct event *timer;
  struct event *flush;
  struct event *owners_event;
  struct event *evidence_event;
  uint32_t evidence_sent; /* messages to all instances since the last news */
  flush_t flush_pending;
  uint64_t started_ms;
  uint64_t incarnation;
  /* Progress of joining. */
  join_phase_t phase;
  uint64_t phase_until_ms;
  char *other_zone_instance; /* instance of another zone that answered a
                                discovery ping, or NULL */
  uint64_t highest_known;    /* highest revision number known at any instance */
  uint64_t delivered;        /* revision number passed to on_config */
  uint32_t join_answers;     /* join answers still allowed in this second */
  uint64_t join_answers_since_ms;
  /* Next times of the periodic tasks. */
  uint64_t ping_at_ms;
  uint64_t zone_sync_at_ms;
  uint64_t refresh_at_ms;
  uint64_t fetch_check_at_ms;
  /* Changes in the own zone to send to other zones: sets of names. */
  GHashTable *cross_zone_instances;
  GHashTable *cross_zone_upstreams;
  uint64_t cross_zone_since_ms;
  relayed_probe_t relays[MAX_RELAYED_PROBES];
  uint32_t relay_sequence;
  metric_t *cpu_seconds;
  double cpu_used_s;
};

/** Initializes an empty message with this instance as the sender. */
void membership_message (const membership_t *membership, Lwm__Gossip *message);

/** Sends a message to an instance; drops it when the instance is unknown. */
void membership_send (membership_t *membership,
                      const char *instance,
                      gossip_net_kind_t kind,
                      const Lwm__Gossip *message);

/** Sends a message to all other live instances of the own zone. */
void membership_send_zone (membership_t *membership,
                           gossip_net_kind_t kind,
                           const Lwm__Gossip *message);

/** Sends the outbox to the zone and clears the pending flush. */
void membership_flush (membership_t *membership);

/** Schedules a flush of the outbox unless it is empty. */
void membership_schedule_flush (membership_t *membership);

/**
 * Queue a changed record of the own zone for other zones, if this instance is a
 * delegate.
 */
void membership_announce_instance_to_other_zones (membership_t *membership,
                                                  const char *name);
void membership_announce_upstream_to_other_zones (membership_t *membership,
                                                  const char *name);

/** Schedules a message to other zones about a new revision in force. */
void membership_schedule_cross_zone (membership_t *membership);

/** Sends queued changes to other zones and periodically compares hashes. */
void membership_tick_zones (membership_t *membership, uint64_t now_ms);

/** Drives joining; sends discovery pings to seeds and to dead instances. */
void membership_tick_join (membership_t *membership, uint64_t now_ms);

/** Handles an instance's answer to a discovery ping. */
void membership_on_discovered (membership_t *membership,
                               const Lwm__InstanceRecord *by,
                               uint64_t now_ms);

/** Answers a join request with the whole state. */
void membership_answer_join (membership_t *membership,
                             const Lwm__InstanceRecord *to,
                             uint64_t now_ms);

/**
 * Completes joining, when the whole state was received or there is no instance
 * to ask. @a how is the reason to log.
 */
void membership_joined (membership_t *membership, const char *how);

/** Registers the metrics of this module. */
void membership_add_metrics (membership_t *membership);

/** Returns the CPU time of this thread in seconds. */
double membership_thread_cpu_s (void);

/** Adds the CPU time since @a since_s to the time spent on gossip. */
void membership_add_cpu (membership_t *membership, double since_s);

/** Creates the timer that sends evidence. */
void membership_add_evidence (membership_t *membership);

/** Adds what other instances should know of requests that crash upstreams to a
 * message; it is owned by @a scratch. Returns whether there is any. */
bool membership_put_evidence (membership_t *membership,
                              void *scratch,
                              Lwm__Gossip *message);

/** Merges the evidence in a message, and answers it if more is known here. */
void membership_take_evidence (membership_t *membership,
                               const Lwm__Gossip *message);

/** Handles a received message; a gossip_net_message_cb_t. */
void membership_on_message (const Lwm__Gossip *message, void *context);

/**
 * Creates the revision store, the fetcher and the folder watch.
 * @return false, after one line on stderr, when the stored revision is damaged
 */
bool membership_add_revision (membership_t *membership, uint64_t seed);

/** Continues a fetch, or restarts one that was abandoned. */
void membership_tick_config (membership_t *membership, uint64_t now_ms);

/** Passes the revision in force to on_config once this instance may serve. */
void membership_deliver_config (membership_t *membership);

/** Records that @a instance has a revision and fetches it if it is newer. */
void membership_learn_revision (membership_t *membership,
                                const char *instance,
                                const Lwm__Revision *revision,
                                uint64_t now_ms);

#endif
