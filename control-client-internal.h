/**
 * @file control-client-internal.h
 * Shared by control-client.c (calls, connections), control-client-watch.c
 * (watching revisions and upstreams) and control-client-drains.c (drained
 * zones). No other file includes this header.
 */
#ifndef CONTROL_CLIENT_INTERNAL_H
#define CONTROL_CLIENT_INTERNAL_H

#include <glib.h>

#include "control-client.h"
#include "mq.h"
#include "zone-drains.h"

#define CONTROL_CLIENT_MAX_PEERS 16
/** Time from the start in which the statements of replicas that may be behind
 * are not used, as another replica may answer. */
#define CONTROL_CLIENT_REJECT_STALE_MS 2000

struct event;

/** A control instance and the connection to it. */
typedef struct
{
  control_client_t *client;
  size_t index; /* position in control_client_t.peers */
  char *address;
  char *name; /* name from the answers of this instance, or NULL */
  mq_t *mq;
  uint64_t unanswered_since_ms; /* time of oldest unanswered message, or 0 */
  uint64_t known_ms;            /* when it was named or heard last */
  uint64_t sent_ms;             /* time of the last message sent */
  uint64_t watch_sent_ms;       /* time of the last watch, or 0 */
  uint64_t watch_due_ms;
  uint32_t fruitless_watches; /* sent in a row without a usable answer */
  uint64_t epoch;             /* epoch of the directory last received */
  uint64_t version;           /* version of the directory last received */
  uint64_t watchers_version;  /* version of the watchers last received */
  bool is_own_zone;           /* in the availability zone of the client */
} control_peer_t;

typedef struct
{
  metric_t *messages_in;
  metric_t *messages_out;
  metric_t *bytes_in;
  metric_t *bytes_out;
  metric_t *resends;
  metric_t *no_quorum;
} control_client_counters_t;

struct control_client
{
  control_client_options_t options;
  control_peer_t *peers[CONTROL_CLIENT_MAX_PEERS];
  size_t peer_count;
  size_t leader;      /* peer to which commands are sent first, or NO_PEER */
  size_t round_robin; /* position of the round robin over the peers */
  GHashTable *calls;  /* id -> call_t, children of the client */
  uint64_t last_id;
  struct event *tick;
  size_t source; /* revision source: peer that pushes revisions */
  uint64_t started_ms;
  uint64_t source_heard_ms;
  uint64_t source_since_ms; /* when it became the source; 0: at the start */
  uint64_t known;           /* number of the last revision, or 0 */
  uint64_t behind_since_ms; /* since another peer has a later revision, or 0 */
  /* The drained zones with the highest version that was reported. */
  zone_drains_t *drains;
  /* Names of zones that orders drain which may not be committed; only while no
     replica that is up to date has answered. */
  GHashTable *uncommitted_drains;
  uint64_t drains_group; /* group that the version is of, 0 for none yet */
  bool knows_drains;     /* they were passed on */
  bool confirmed_drains; /* a replica that was up to date has reported them */
  control_client_counters_t counters;
};

/** Sends a packed message to the peer at @a index. Returns false when it was
 * dropped. */
bool control_client_send (control_client_t *client,
                          size_t index,
                          const uint8_t *data,
                          size_t size_bytes);

/** Packs a request; the result is a child of @a parent (talloc). */
uint8_t *control_client_pack (void *parent,
                              const Lwm__ControlRequest *request,
                              size_t *size_bytes);

/** Passes a revision on, if it is newer than the last one. */
void control_client_accept_revision (control_client_t *client,
                                     const Lwm__ControlRevision *revision);

/** Handles a report of drained zones, and passes them on when they change. */
void control_client_accept_drains (control_client_t *client,
                                   const Lwm__ControlDrainReport *report);

/** Handles the answer of a peer to a watch request, or its later push. */
void control_client_watch_answered (control_client_t *client,
                                    control_peer_t *peer,
                                    const Lwm__ControlAnswer *answer);

/** Renews the watches that are due, and replaces a silent revision source. */
void control_client_update_watches (control_client_t *client, uint64_t now_ms);

#endif
