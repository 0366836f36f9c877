/**
 * @file control-internal.h
 * What the parts of a control replica share: control-server.c (loop, messages,
 * applying), control-disk.c (saving, snapshots), control-report.c (metrics,
 * status), control-requests.c (clients)
 * and control-group.c (founding, joining, membership). For those only.
 */
#ifndef CONTROL_INTERNAL_H
#define CONTROL_INTERNAL_H

#include <glib.h>

#include "control-directory.h"
#include "control-peers.h"
#include "control-server.h"
#include "mq.h"
#include "raft.h"
#include "statemachine.h"
#include "store.h"

struct event;

/** Counters and gauges that are not read on demand. */
typedef struct
{
  metric_t *messages_in;
  metric_t *messages_out;
  metric_t *bytes_in;
  metric_t *bytes_out;
  metric_t *syncs;
  metric_t *log_bytes;
  metric_t *elections;
  metric_t *snapshots;
  metric_t *snapshots_received;
  metric_t *malformed;
  metric_t *no_room;
} control_counters_t;

typedef struct control_requests control_requests_t;
typedef struct control_group control_group_t;

struct control_server
{
  control_server_options_t options;
  char *address; /* at which the others reach this replica */
  uint64_t incarnation;
  store_t *store;
  raft_t *raft;
  statemachine_t *machine;
  mq_t *router;
  control_peers_t *peers;
  control_requests_t *requests;
  control_group_t *group;
  control_directory_t *directory;
  struct event *tick;
  struct event *flush;
  GPtrArray *held; /* messages that wait for the sync */
  /* The disk is full: the replica takes no part in the group, as one that is
   * cut off, until it can save what it knows. */
  bool has_no_room;
  uint64_t applied;
  uint64_t snapshot_index;
  uint64_t snapshot_due_ms; /* not before, as there was no room */
  uint64_t members_index;   /* membership that the peers know of */
  uint64_t clock_base_ms;   /* control clock at clock_mono_ms */
  uint64_t clock_mono_ms;
  uint64_t expire_due_ms;
  uint64_t elections; /* counted so far */
  uint64_t leader;    /* logged last */
  uint64_t term;      /* logged last */
  control_counters_t counters;
};

/** Registers the replica's metrics. */
void control_report_metrics (control_server_t *server);

/** Runs a flush at the end of this loop pass. */
void control_server_wake (control_server_t *server);

/**
 * Makes all durable that is not yet, and installs a leader's snapshot.
 * @return false when the disk has no room; nothing may leave then
 */
bool control_disk_save (control_server_t *server);

/** Takes a snapshot if the log has grown enough since the last. */
void control_disk_snapshot (control_server_t *server, uint64_t now_ms);

/** Sets the control clock forward to what a leader has stamped. */
void control_server_follow_clock (control_server_t *server);

/** The control clock now. */
uint64_t control_server_clock_ms (const control_server_t *server);

/** Sends a peer message to an address or, when that is NULL, a replica. */
void control_server_send_peer (control_server_t *server,
                               Lwm__ControlPeerMessage *message,
                               const char *address,
                               uint64_t incarnation);

/** Sends an answer to a client of the router. */
void control_server_answer (control_server_t *server,
                            const uint8_t *client,
                            size_t client_bytes,
                            Lwm__ControlAnswer *answer);

/** Takes a request of a client. */
void control_requests_receive (control_requests_t *requests,
                               const mq_frame_t *client,
                               const Lwm__ControlRequest *request);

control_requests_t *control_requests_new (control_server_t *server);

/** Begins the reads that came in during this pass. */
void control_requests_begin_reads (control_requests_t *requests);

/** Answers reads that are confirmed by now. */
void control_requests_end_reads (control_requests_t *requests);

/** Tells who waits for @a index what came of it. */
void control_requests_applied (control_requests_t *requests,
                               uint64_t index,
                               uint64_t term,
                               Lwm__ControlAnswer *answer);

/** Redirects all who wait, when this replica leads no more. */
void control_requests_check_role (control_requests_t *requests);

/** Sends all who wait to others; the next leader may yet do what they asked. */
void control_requests_redirect_all (control_requests_t *requests);

/** Pushes the last revision to those who watch. */
void control_requests_push (control_requests_t *requests);

/** Pushes what changed in the directory to those who want it. */
void control_requests_push_directory (control_requests_t *requests);

/** Addresses of watching entry instances, owned by @a parent. */
char **control_requests_addresses (const control_requests_t *requests,
                                   void *parent,
                                   size_t *count);

size_t control_requests_watchers (const control_requests_t *requests);

control_group_t *control_group_new (control_server_t *server);
void control_group_tick (control_group_t *group, uint64_t now_ms);
void control_group_hello (control_group_t *group,
                          const Lwm__ControlPeerMessage *message);

/** The members changed: an old hello of a member must not add it again. */
void control_group_forget_members (control_group_t *group);

/**
 * Proposes a change of one member.
 * @param answer its result and detail are set unless the index is returned
 * @return index of the entry, or 0
 */
uint64_t control_group_change (control_group_t *group,
                               const Lwm__ControlMemberChange *change,
                               Lwm__ControlAnswer *answer);

/** Replicas that said hello and are not members; freed with @a parent. */
Lwm__ControlMember **control_group_waiting (const control_group_t *group,
                                            void *parent,
                                            size_t *count);

#endif
