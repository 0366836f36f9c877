/**
 * @file control-internal.h
 * Interfaces shared by the source files that implement a control replica:
 * control-server.c (event loop, applying entries), control-send.c (messages to
 * replicas and clients), control-disk.c (saving, snapshots), control-report.c
 * (metrics, status, staleness), control-requests.c (client requests),
 * control-watch.c (clients that watch), control-drains.c (report of drained
 * zones), control-group.c (founding, joining, stopping) and
 * control-group-change.c (membership). Other files include control-server.h
 * instead.
 */
#ifndef CONTROL_INTERNAL_H
#define CONTROL_INTERNAL_H

#include <glib.h>

#include "control-directory.h"
#include "control-load.h"
#include "control-peers.h"
#include "control-server.h"
#include "mq.h"
#include "raft.h"
#include "statemachine.h"
#include "store.h"

struct event;

/** Metrics that the replica updates itself. The other metrics are read on
 * demand. */
typedef struct
{
  metric_t *messages_in;
  metric_t *messages_out;
  metric_t *bytes_in;
  metric_t *bytes_out;
  metric_t *syncs;
  metric_t *log_bytes;
  metric_t *elections;
  metric_t *refused_announcements;
  metric_t *snapshots;
  metric_t *snapshots_received;
  metric_t *malformed;
  metric_t *no_room;
  metric_t *watches;
  metric_t *dropped;
} control_counters_t;

typedef struct control_requests control_requests_t;
typedef struct control_watch control_watch_t;
typedef struct control_group control_group_t;

struct control_server
{
  control_server_options_t options;
  char *address; /* address at which other replicas reach this one */
  uint64_t incarnation;
  store_t *store;
  raft_t *raft;
  statemachine_t *machine;
  mq_t *router;
  control_peers_t *peers;
  control_requests_t *requests;
  control_watch_t *watch;
  control_group_t *group;
  control_directory_t *directory;
  struct event *tick;
  struct event *flush;
  GPtrArray *held; /* messages to send after the next sync */
  /* The disk is full. The replica takes no part in the group, like a replica
   * behind a network partition, until it can save its state. */
  bool disk_is_full;
  bool was_stale;           /* after the last pass of the loop */
  uint64_t applied;         /* index of the last applied log entry */
  uint64_t snapshot_index;  /* last log entry in the snapshot */
  uint64_t snapshot_due_ms; /* earliest next snapshot, after a full disk */
  uint64_t members_index;   /* log entry whose membership is set in peers */
  uint64_t clock_base_ms;   /* control clock at the time clock_mono_ms */
  uint64_t clock_mono_ms;
  uint64_t expire_due_ms;
  uint64_t elections; /* elections already added to the counter */
  uint64_t leader;    /* incarnation of the leader that was logged last */
  uint64_t term;      /* term that was logged last */
  control_counters_t counters;
  control_load_t load;
};

/** Registers the replica's metrics. */
void control_report_metrics (control_server_t *server);

/** Schedules a flush for the end of this pass of the event loop. */
void control_server_schedule_flush (control_server_t *server);

/**
 * Makes all unsaved state durable and installs a snapshot from the leader.
 * @return false when the disk is full; no message may be sent then
 */
bool control_disk_save (control_server_t *server);

/** Takes a snapshot if the log has grown enough since the last snapshot. */
void control_disk_snapshot (control_server_t *server, uint64_t now_ms);

/** Advances the control clock to a time that a leader wrote into the log, if
 * that is later. */
void control_server_advance_clock (control_server_t *server, uint64_t clock_ms);

/** Returns the present time of the control clock, in ms. */
uint64_t control_server_clock_ms (const control_server_t *server);

/** Creates the list of messages that wait for a sync. */
void control_send_init (control_server_t *server);
void control_send_free (control_server_t *server);

/** Sends the messages that had to wait for a sync. */
void control_send_held (control_server_t *server);

/** Sends a message of the consensus core, see raft_send_cb_t. @a context is the
 * replica. */
void control_send_raft (const Lwm__RaftMessage *raft,
                        bool after_sync,
                        void *context);

/** Sends a peer message to @a address or, when it is NULL, to the replica
 * @a incarnation. */
void control_server_send_peer (control_server_t *server,
                               Lwm__ControlPeerMessage *message,
                               const char *address,
                               uint64_t incarnation);

/** Sends an answer to a client, identified by its ZeroMQ routing id. The id of
 * the request must be set in @a answer; this function sets the name. */
void control_server_answer (control_server_t *server,
                            const uint8_t *client,
                            size_t client_bytes,
                            Lwm__ControlAnswer *answer);

/** Handles a client's request: answers it at once, or records it until its log
 * entry is applied or its read is confirmed. */
void control_requests_receive (control_requests_t *requests,
                               const mq_frame_t *client,
                               const Lwm__ControlRequest *request);

/** Creates the table of client requests, freed with @a server (talloc). */
control_requests_t *control_requests_new (control_server_t *server);

/** Starts a quorum round for the reads that arrived during this loop pass. */
void control_requests_begin_reads (control_requests_t *requests);

/** Answers the reads that a quorum has confirmed. */
void control_requests_answer_reads (control_requests_t *requests);

/** Sends @a answer to the client whose command was proposed as log entry
 * @a index, or a redirect when another leader's entry took that index. */
void control_requests_complete (control_requests_t *requests,
                                uint64_t index,
                                uint64_t term,
                                Lwm__ControlAnswer *answer);

/** Redirects all pending requests when this replica has lost the leadership. */
void control_requests_check_role (control_requests_t *requests);

/** Redirects all pending requests to the leader, if one is known. Proposed
 * commands are marked maybe_done, as the next leader may still commit them. */
void control_requests_redirect_all (control_requests_t *requests);

/** Creates the list of clients that watch, freed with @a server (talloc). */
control_watch_t *control_watch_new (control_server_t *server);

/** Handles a client's request to watch, and answers it. */
void control_watch_receive (control_watch_t *watch,
                            const mq_frame_t *client,
                            const Lwm__ControlWatch *request);

/** Pushes the last revision to the clients that watch the configuration, and
 * its number to the other clients. Does nothing while this replica may be
 * behind; it is called again when that ends. */
void control_watch_push (control_watch_t *watch);

/**
 * Pushes changed directory entries to the clients that watch the directory.
 * @param is_urgent pushes at once; otherwise changes of some milliseconds are
 * pushed together
 */
void control_watch_push_directory (control_watch_t *watch, bool is_urgent);

/** Returns the drained zones as this replica knows them, freed with @a parent
 * (talloc). It points into the state and is valid until the next change. */
Lwm__ControlDrainReport *control_drains_report (control_server_t *server,
                                                void *parent);

/** Logs the drained zones after a change. */
void control_drains_log (control_server_t *server, size_t watchers);

/** Pushes the drained zones to the clients that watch them. */
void control_watch_push_drains (control_watch_t *watch);

/** Returns the number of clients that watch the drained zones and have not
 * stated that they know the present ones. */
size_t control_watch_count_behind (const control_watch_t *watch);

/** Returns the number of clients that watch. */
size_t control_watch_count (const control_watch_t *watch);

/** Returns whether the replica has lost its leader, leads without a quorum, or
 * has not applied all entries that it knows to be committed. */
bool control_server_is_stale (const control_server_t *server);

/** Returns whether the replica may lack orders to drain zones that were
 * acknowledged some time ago. Unlike control_server_is_stale(), this is also so
 * until a new leader has committed an entry, and while a log is behind. */
bool control_server_may_lack_orders (const control_server_t *server);

/** Creates the membership part of a replica, freed with @a server (talloc). */
control_group_t *control_group_new (control_server_t *server);

/** Sends hellos, founds the group and changes its members when due. */
void control_group_tick (control_group_t *group, uint64_t now_ms);

/** Handles a hello message of another replica. */
void control_group_receive_hello (control_group_t *group,
                                  const Lwm__ControlPeerMessage *message);

/** Records the address of another replica, which is asked for the group while
 * this one has no contact to it. */
void control_group_add_contact (control_group_t *group,
                                const char *name,
                                const char *address);

/** To be called when the members have changed. */
void control_group_set_members (control_group_t *group);

/** Records that the sender of a message is present, and what it says of its own
 * end and of absent members. */
void control_group_receive_presence (control_group_t *group,
                                     const Lwm__ControlPeerMessage *message);

/** See control_server_stop(). */
void control_group_stop (control_group_t *group);

/** See control_server_has_stopped(). */
bool control_group_has_stopped (const control_group_t *group);

/** Returns the availability zone of this replica, "" when unknown. */
const char *control_server_zone (const control_server_t *server);

/**
 * Proposes to add, promote or remove one member.
 * @param answer its result and detail are set when 0 is returned
 * @return the index of the proposed log entry, or 0 when the change is refused
 */
uint64_t control_group_change (control_group_t *group,
                               const Lwm__ControlMemberChange *change,
                               Lwm__ControlAnswer *answer);

/** Returns the replicas that sent a hello and are not members, freed with
 * @a parent (talloc). */
Lwm__ControlMember **control_group_list_joiners (const control_group_t *group,
                                                 void *parent,
                                                 size_t *count);

#endif
