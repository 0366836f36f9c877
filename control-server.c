#include "control-server.h"

#include <errno.h>
#include <event2/event.h>
#include <string.h>
#include <talloc.h>
#include <zmq.h>

#include "base.h"
#include "control-internal.h"
#include "members.h"
#define LOG_PART "control"
#include "logging.h"

#define TICKS_PER_HEARTBEAT 4
#define MIN_TICK_MS         5
/* Interval at which the leader proposes to remove expired claims and leases. */
#define EXPIRE_INTERVAL_MS    10000
#define ROUTER_QUEUE_MESSAGES 1000

void
control_server_schedule_flush (control_server_t *server)
{
  event_active (server->flush, EV_TIMEOUT, 0);
}

uint64_t
control_server_clock_ms (const control_server_t *server)
{
  return server->clock_base_ms + (clock_mono_ms () - server->clock_mono_ms);
}

void
control_server_advance_clock (control_server_t *server, uint64_t clock_ms)
{
  if (clock_ms <= control_server_clock_ms (server))
    return;
  server->clock_base_ms = clock_ms;
  server->clock_mono_ms = clock_mono_ms ();
}

const char *
control_server_zone (const control_server_t *server)
{
  return server->options.zone != NULL ? server->options.zone : "";
}

static void
handle_peer_message (control_server_t *server,
                     const Lwm__ControlPeerMessage *message)
{
  if (*message->address != '\0')
    {
      control_peers_set_address (server->peers, message->incarnation,
                                 message->name, message->address);
      control_group_add_contact (server->group, message->name,
                                 message->address);
    }
  control_peers_mark_heard (server->peers, message->incarnation,
                            clock_mono_ms ());
  control_group_receive_presence (server->group, message);
  if (message->hello != NULL && *message->name != '\0')
    control_group_receive_hello (server->group, message);
  if (message->raft != NULL && message->raft->from == message->incarnation
      && !server->disk_is_full)
    {
      raft_receive (server->raft, message->raft, clock_mono_ms ());
      control_server_schedule_flush (server);
    }
}

static void
on_message (const mq_frame_t *frames, size_t count, void *context)
{
  control_server_t *server = context;
  Lwm__ControlMessage *message;

  if (count != 2)
    return;
  metric_add (server->counters.messages_in, 1);
  metric_add (server->counters.bytes_in, frames[1].size_bytes);
  message = lwm__control_message__unpack (NULL, frames[1].size_bytes,
                                          frames[1].data);
  if (message == NULL)
    {
      metric_add (server->counters.malformed, 1);
      return;
    }
  if (message->what_case == LWM__CONTROL_MESSAGE__WHAT_PEER)
    handle_peer_message (server, message->peer);
  else if (message->what_case == LWM__CONTROL_MESSAGE__WHAT_REQUEST)
    control_requests_receive (server->requests, &frames[0], message->request);
  lwm__control_message__free_unpacked (message, NULL);
}

static void
apply_command (control_server_t *server, const Lwm__ControlEntry *entry)
{
  Lwm__ControlCommand *command
      = lwm__control_command__unpack (NULL, entry->data.len, entry->data.data);
  Lwm__ControlAnswer answer = LWM__CONTROL_ANSWER__INIT;

  if (command == NULL)
    die ("log entry %ju is malformed", (uintmax_t)entry->index);
  statemachine_apply (server->machine, entry->index, command, &answer);
  control_server_advance_clock (server,
                                statemachine_clock_ms (server->machine));
  control_requests_complete (server->requests, entry->index, entry->term,
                             &answer);
  lwm__control_command__free_unpacked (command, NULL);
}

static void
apply_committed (control_server_t *server)
{
  const Lwm__ControlEntry *entry;
  Lwm__ControlAnswer answer = LWM__CONTROL_ANSWER__INIT;
  uint64_t before = statemachine_revision (server->machine)->number;
  uint64_t drains = statemachine_drains (server->machine)->version;

  while ((entry = raft_next_committed (server->raft)) != NULL)
    {
      server->applied = entry->index;
      if (entry->kind == LWM__CONTROL_ENTRY_KIND__ENTRY_COMMAND)
        apply_command (server, entry);
      else
        control_requests_complete (server->requests, entry->index, entry->term,
                                   &answer);
    }
  /* Only the last revision is pushed: after a restart, most applied revisions
   * are long out of date. */
  if (statemachine_revision (server->machine)->number != before)
    control_watch_push (server->watch);
  if (statemachine_drains (server->machine)->version != drains)
    control_watch_push_drains (server->watch);
}

/** When the membership has changed, records the addresses of its members and
 * forgets the hellos of replicas that are members now. */
static void
apply_membership_change (control_server_t *server)
{
  const Lwm__ControlMembership *members = raft_membership (server->raft);
  uint64_t index = raft_status (server->raft).members_index;

  if (index == server->members_index)
    return;
  server->members_index = index;
  control_group_set_members (server->group);
  for (size_t i = 0; i < members->n_members; i++)
    control_peers_set_address (server->peers, members->members[i]->incarnation,
                               members->members[i]->name,
                               members->members[i]->address);
}

static void
count_elections (control_server_t *server)
{
  uint64_t elections = raft_status (server->raft).elections;

  metric_add (server->counters.elections, elections - server->elections);
  server->elections = elections;
}

/** Returns the names of the voters, separated by commas. The caller frees the
 * string with talloc_free(). */
static char *
join_voter_names (const Lwm__ControlMembership *membership)
{
  char *text = talloc_strdup (NULL, "");

  for (size_t i = 0; i < membership->n_members; i++)
    if (membership->members[i]->voter)
      text = talloc_asprintf_append (text, "%s%s", text[0] != '\0' ? "," : "",
                                     membership->members[i]->name);
  return text;
}

static void
log_leader_change (control_server_t *server)
{
  raft_status_t status = raft_status (server->raft);
  char *voters;
  const Lwm__ControlMember *leader
      = membership_find (raft_membership (server->raft), status.leader);

  if (status.leader == server->leader && status.term == server->term)
    return;
  server->leader = status.leader;
  server->term = status.term;
  voters = join_voter_names (raft_membership (server->raft));
  log_info ("Leader or term changed. leader=%s term=%ju voters=%s",
            leader != NULL ? leader->name : "none", (uintmax_t)status.term,
            voters);
  talloc_free (voters);
}

/** Sends the revision to the clients that watched while this replica may have
 * been behind. */
static void
push_when_current (control_server_t *server)
{
  bool is_stale = control_server_is_stale (server);

  if (server->was_stale && !is_stale)
    control_watch_push (server->watch);
  server->was_stale = is_stale;
}

/** Saves and sends the results of one loop pass, and applies committed
 * entries. */
static void
on_flush (evutil_socket_t fd, short what, void *arg)
{
  control_server_t *server = arg;

  if (server->disk_is_full && !control_disk_save (server))
    return;
  control_requests_begin_reads (server->requests);
  /* Sent before this replica's own sync, so that the followers write in
   * parallel. */
  raft_flush (server->raft, clock_mono_ms ());
  if (!control_disk_save (server))
    return;
  apply_membership_change (server);
  control_send_held (server);
  apply_committed (server);
  count_elections (server);
  log_leader_change (server);
  control_requests_check_role (server->requests);
  control_requests_answer_reads (server->requests);
  push_when_current (server);
  control_disk_snapshot (server, clock_mono_ms ());
}

/** Proposes as leader, when due, to remove expired claims and leases. */
static void
propose_expiry (control_server_t *server, uint64_t now_ms)
{
  Lwm__ControlCommand command = LWM__CONTROL_COMMAND__INIT;
  Lwm__ControlExpire what = LWM__CONTROL_EXPIRE__INIT;
  uint8_t data[64];

  if (now_ms < server->expire_due_ms
      || raft_status (server->raft).role != RAFT_LEADER)
    return;
  server->expire_due_ms = now_ms + EXPIRE_INTERVAL_MS;
  if (statemachine_claim_count (server->machine) == 0
      && statemachine_lease_count (server->machine) == 0)
    return;
  command.clock_ms = control_server_clock_ms (server);
  command.what_case = LWM__CONTROL_COMMAND__WHAT_EXPIRE;
  command.expire = &what;
  raft_propose (server->raft, data,
                lwm__control_command__pack (&command, data));
}

static void
record_load (control_server_t *server, uint64_t now_ms)
{
  const control_counters_t *counters = &server->counters;
  control_load_totals_t totals
      = { .messages_in = (uint64_t)metric_value (counters->messages_in),
          .bytes_in = (uint64_t)metric_value (counters->bytes_in),
          .messages_out = (uint64_t)metric_value (counters->messages_out),
          .bytes_out = (uint64_t)metric_value (counters->bytes_out),
          .watches = (uint64_t)metric_value (counters->watches),
          .dropped = (uint64_t)metric_value (counters->dropped) };

  control_load_tick (&server->load, &totals,
                     control_watch_count (server->watch), now_ms);
}

static void
on_tick (evutil_socket_t fd, short what, void *arg)
{
  control_server_t *server = arg;
  uint64_t now_ms = clock_mono_ms ();

  record_load (server, now_ms);
  control_directory_tick (server->directory, now_ms);
  if (!server->disk_is_full)
    {
      raft_tick (server->raft, now_ms);
      control_group_tick (server->group, now_ms);
      propose_expiry (server, now_ms);
    }
  on_flush (fd, what, arg);
}

/** Opens the store and restores the Raft state, the state machine and the
 * control clock from it. */
static bool
recover_from_store (control_server_t *server, char **why)
{
  store_options_t options
      = { .folder = server->options.folder, .name = server->options.name };
  raft_options_t raft_options
      = { .heartbeat_ms = server->options.heartbeat_ms,
          .election_timeout_ms = server->options.election_timeout_ms,
          .seed = (uint32_t)random_id (),
          .send = control_send_raft,
          .context = server };
  Lwm__ControlSnapshot *snapshot = NULL;
  uint64_t begun_us = clock_mono_us ();

  server->store = store_open (server, &options, why);
  if (server->store == NULL)
    return false;
  server->incarnation = raft_options.id = store_incarnation (server->store);
  server->raft = raft_new (server, &raft_options);
  server->machine = statemachine_new (server);
  if (!store_recover (server->store, server->raft, &snapshot, why))
    return false;
  if (snapshot != NULL)
    {
      statemachine_restore (server->machine, snapshot->state);
      server->applied = server->snapshot_index = snapshot->index;
      lwm__control_snapshot__free_unpacked (snapshot, NULL);
    }
  server->clock_base_ms = statemachine_clock_ms (server->machine);
  server->clock_mono_ms = clock_mono_ms ();
  log_info ("Recovered the data folder. incarnation=%ju snapshot=%ju last=%ju "
            "cut_bytes=%ju took_us=%ju",
            (uintmax_t)server->incarnation, (uintmax_t)server->snapshot_index,
            (uintmax_t)raft_log_last_index (raft_log (server->raft)),
            (uintmax_t)store_cut_bytes (server->store),
            (uintmax_t)(clock_mono_us () - begun_us));
  return true;
}

static int
free_server (control_server_t *server)
{
  if (server->tick != NULL)
    event_free (server->tick);
  if (server->flush != NULL)
    event_free (server->flush);
  control_send_free (server);
  return 0;
}

static bool
bind_socket (control_server_t *server, char **why)
{
  mq_options_t options = { .base = server->options.base,
                           .type = ZMQ_ROUTER,
                           .bind = server->options.listen,
                           .queue_messages = ROUTER_QUEUE_MESSAGES,
                           .on_message = on_message,
                           .context = server };

  server->router = mq_new (server, &options);
  if (server->router == NULL)
    *why = talloc_asprintf (server, "cannot listen on '%s': %s",
                            server->options.listen, zmq_strerror (errno));
  return server->router != NULL;
}

static void
start_timers (control_server_t *server)
{
  uint32_t tick_ms = server->options.heartbeat_ms / TICKS_PER_HEARTBEAT;
  struct timeval every = timeval_from_ms (MAX (tick_ms, MIN_TICK_MS));

  server->tick
      = event_new (server->options.base, -1, EV_PERSIST, on_tick, server);
  event_add (server->tick, &every);
}

control_server_t *
control_server_new (void *parent, const control_server_options_t *options)
{
  control_server_t *server = talloc_zero (parent, control_server_t);
  control_peers_options_t peers_options
      = { .base = options->base,
          .members = options->members,
          .member_count = options->member_count };
  char *why = NULL;
  const char *address;

  server->options = *options;
  /* The caller may free its strings, as happens when settings are reloaded. */
  server->options.name = talloc_strdup (server, options->name);
  server->options.listen = talloc_strdup (server, options->listen);
  server->options.folder = talloc_strdup (server, options->folder);
  control_send_init (server);
  talloc_set_destructor (server, free_server);
  server->flush = event_new (options->base, -1, 0, on_flush, server);
  control_report_metrics (server);
  server->peers = control_peers_new (server, &peers_options, &why);
  if (server->peers == NULL || !recover_from_store (server, &why))
    goto failed;
  address = control_peers_address (server->peers, options->name);
  server->address
      = talloc_strdup (server, address != NULL ? address : options->listen);
  server->requests = control_requests_new (server);
  server->watch = control_watch_new (server);
  server->directory = control_directory_new (server);
  server->group = control_group_new (server);
  if (!bind_socket (server, &why))
    goto failed;
  apply_membership_change (server);
  start_timers (server);
  return server;

failed:
  print_error ("%s", why);
  talloc_free (server);
  return NULL;
}

directory_result_t
control_server_announce (control_server_t *server,
                         const directory_statement_t *statement)
{
  return control_directory_put (server->directory, statement);
}

error_kind_t
control_server_leave (control_server_t *server,
                      const char *id,
                      uint64_t born_ms)
{
  return control_directory_leave (server->directory, id, born_ms);
}

void
control_server_stop (control_server_t *server)
{
  control_group_stop (server->group);
}

bool
control_server_has_stopped (const control_server_t *server)
{
  return control_group_has_stopped (server->group);
}
