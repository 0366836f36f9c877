/**
 * @file control-server.h
 * One replica of the control group: storage, consensus, state and clients.
 *
 * Messages and requests of one loop pass share one write and sync (group
 * commit); nothing is acknowledged before its sync.
 */
#ifndef CONTROL_SERVER_H
#define CONTROL_SERVER_H

#include <json-glib/json-glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "control.pb-c.h"
#include "directory.h"
#include "metric.h"

struct event_base;

typedef struct control_server control_server_t;

typedef struct
{
  struct event_base *base;
  const char *name;   /**< of this replica */
  const char *listen; /**< IP:PORT for replicas and clients */
  const char *folder; /**< data folder */
  char **members;     /**< first members, "NAME=ADDRESS:PORT" */
  size_t member_count;
  bool join; /**< never founds a group */
  uint32_t heartbeat_ms;
  uint32_t election_timeout_ms;
  uint32_t snapshot_entries; /**< log entries between snapshots */
  uint32_t announce_ms;      /**< between an upstream's announcements, or 0 */
  /**
   * Voters the group keeps by itself: joiners are added, and take the place of
   * members that are gone for good. 0: members change by command only.
   */
  uint32_t keep_voters;
  metrics_t *metrics;
} control_server_options_t;

/**
 * Recovers the data folder and starts to listen; freed with @a parent (talloc).
 * @return NULL, after one line on stderr
 */
control_server_t *control_server_new (void *parent,
                                      const control_server_options_t *options);

/** An upstream announced itself here; entry instances that watch are told. */
directory_result_t
control_server_announce (control_server_t *server,
                         const directory_statement_t *statement);

/** An upstream ends; @a born_ms 0 means the last one of that id. */
bool control_server_leave (control_server_t *server,
                           const char *id,
                           uint64_t born_ms);

/** The present status, freed with @a parent. */
Lwm__ControlStatus *control_server_status (control_server_t *server,
                                           void *parent);

/** The same as JSON; the caller frees the node. */
JsonNode *control_server_status_json (control_server_t *server);

#endif
