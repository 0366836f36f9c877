/**
 * @file control-server.h
 * One replica of the control group: storage, consensus, state machine and
 * clients.
 *
 * Messages and requests of one pass of the event loop share one write and one
 * sync (group commit). Nothing is acknowledged before it is synced.
 */
#ifndef CONTROL_SERVER_H
#define CONTROL_SERVER_H

#include <json-glib/json-glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "control.pb-c.h"
#include "directory.h"
#include "error.h"
#include "metric.h"

struct event_base;

typedef struct control_server control_server_t;

typedef struct
{
  struct event_base *base;
  const char *name;   /**< name of this replica */
  const char *zone;   /**< availability zone of this replica, or NULL; kept */
  const char *listen; /**< IP:PORT for replicas and clients */
  const char *folder; /**< folder in which the replica stores its state */
  char **members;     /**< initial members, "NAME=ADDRESS:PORT" */
  size_t member_count;
  bool join; /**< join an existing group, never found one */
  uint32_t heartbeat_ms;
  uint32_t election_timeout_ms;
  uint32_t snapshot_entries; /**< log entries between snapshots */
  /** Time between announcements of an upstream; 0 for the default. */
  uint32_t announce_ms;
  /**
   * Number of voters that the group keeps without an operator: replicas that
   * ask to join are added, and replace members that stopped for good. 0:
   * members change by command only.
   */
  uint32_t target_voters;
  /** Time after the start or return of a replica in which no other replica is
   * lost; 0 for the default. */
  uint32_t catch_up_ms;
  metrics_t *metrics;
} control_server_options_t;

/**
 * Recovers the data folder and starts to listen. The server is freed with
 * @a parent (talloc).
 * @return NULL on failure, after one line on stderr
 */
control_server_t *control_server_new (void *parent,
                                      const control_server_options_t *options);

/** Stores an upstream's announcement, and pushes a change to the entry
 * instances that watch. */
directory_result_t
control_server_announce (control_server_t *server,
                         const directory_statement_t *statement);

/** Records that an upstream shuts down; see control_directory_leave(). */
error_kind_t control_server_leave (control_server_t *server,
                                   const char *id,
                                   uint64_t born_ms);

/** Announces to the other replicas that this one is about to end. They elect
 * another leader, and give its vote to a learner of its availability zone. The
 * replica takes part until it is freed. */
void control_server_stop (control_server_t *server);

/** Tells, after control_server_stop(), whether there is no reason to wait any
 * longer: the vote is given away, nobody can take it, or the time is over. */
bool control_server_has_stopped (const control_server_t *server);

/** Returns the present status, freed with @a parent (talloc). It points into
 * the server's state and is valid until the server runs again. */
Lwm__ControlStatus *control_server_status (control_server_t *server,
                                           void *parent);

/** Returns the present status as JSON. The caller frees the node. */
JsonNode *control_server_status_json (control_server_t *server);

#endif
