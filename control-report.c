#include <json-glib/json-glib.h>
#include <talloc.h>

#include "base.h"
#include "control-internal.h"
#include "members.h"

static double
read_term (void *context)
{
  return (double)raft_status (((control_server_t *)context)->raft).term;
}

static double
read_leader (void *context)
{
  control_server_t *server = context;

  return raft_status (server->raft).role == RAFT_LEADER;
}

static double
read_commit (void *context)
{
  return (double)raft_status (((control_server_t *)context)->raft).commit;
}

static double
read_applied (void *context)
{
  return (double)((control_server_t *)context)->applied;
}

static double
read_watchers (void *context)
{
  control_server_t *server = context;

  return (double)control_watch_count (server->watch);
}

static double
read_claims (void *context)
{
  return (double)statemachine_claim_count (
      ((control_server_t *)context)->machine);
}

static double
read_drained_zones (void *context)
{
  const Lwm__ControlDrains *drains
      = statemachine_drains (((control_server_t *)context)->machine);
  size_t count = 0;

  for (size_t i = 0; i < drains->n_zones; i++)
    count += drains->zones[i]->drained;
  return (double)count;
}

static double
read_drains_version (void *context)
{
  return (double)statemachine_drains (((control_server_t *)context)->machine)
      ->version;
}

static double
read_watchers_behind (void *context)
{
  return (double)control_watch_count_behind (
      ((control_server_t *)context)->watch);
}

static double
read_voters (void *context)
{
  const control_server_t *server = context;

  return (double)membership_voter_count (raft_membership (server->raft));
}

static double
read_is_voter (void *context)
{
  const control_server_t *server = context;
  const Lwm__ControlMember *self
      = membership_find (raft_membership (server->raft), server->incarnation);

  return self != NULL && self->voter;
}

bool
control_server_is_stale (const control_server_t *server)
{
  return !raft_has_recent_contact (server->raft, clock_mono_ms ())
         || server->applied < raft_status (server->raft).commit;
}

bool
control_server_may_lack_orders (const control_server_t *server)
{
  return !raft_has_recent_commit (server->raft, clock_mono_ms ())
         || server->applied < raft_status (server->raft).commit;
}

void
control_report_metrics (control_server_t *server)
{
  metrics_t *metrics = server->options.metrics;
  control_counters_t *counters = &server->counters;

  metrics_gauge_read (metrics, "lwm_control_term", "Present term.", NULL,
                      read_term, server);
  metrics_gauge_read (metrics, "lwm_control_leader", "1 on the leader.", NULL,
                      read_leader, server);
  metrics_gauge_read (metrics, "lwm_control_voters",
                      "Voting members of the group.", NULL, read_voters,
                      server);
  metrics_gauge_read (metrics, "lwm_control_is_voter", "1 on a voting member.",
                      NULL, read_is_voter, server);
  metrics_gauge_read (metrics, "lwm_control_commit_index",
                      "Last committed log entry.", NULL, read_commit, server);
  metrics_gauge_read (metrics, "lwm_control_applied_index",
                      "Last applied log entry.", NULL, read_applied, server);
  metrics_gauge_read (metrics, "lwm_control_watchers",
                      "Clients that watch the configuration.", NULL,
                      read_watchers, server);
  metrics_gauge_read (metrics, "lwm_control_claims", "Claims kept.", NULL,
                      read_claims, server);
  metrics_gauge_read (metrics, "lwm_control_drained_zones",
                      "Availability zones that are drained.", NULL,
                      read_drained_zones, server);
  metrics_gauge_read (metrics, "lwm_control_drains_version",
                      "Log index of the last order to drain a zone.", NULL,
                      read_drains_version, server);
  metrics_gauge_read (metrics, "lwm_control_watchers_behind_drains",
                      "Clients that have not confirmed the drained zones.",
                      NULL, read_watchers_behind, server);
  counters->messages_in
      = metrics_counter (metrics, "lwm_control_messages_total",
                         "ZeroMQ messages.", "direction=\"in\"");
  counters->messages_out
      = metrics_counter (metrics, "lwm_control_messages_total",
                         "ZeroMQ messages.", "direction=\"out\"");
  counters->bytes_in
      = metrics_counter (metrics, "lwm_control_bytes_total",
                         "Bytes of ZeroMQ messages.", "direction=\"in\"");
  counters->bytes_out
      = metrics_counter (metrics, "lwm_control_bytes_total",
                         "Bytes of ZeroMQ messages.", "direction=\"out\"");
  counters->malformed = metrics_counter (metrics, "lwm_control_malformed_total",
                                         "Messages not understood.", NULL);
  counters->syncs = metrics_counter (metrics, "lwm_control_syncs_total",
                                     "Syncs of the log file.", NULL);
  counters->log_bytes
      = metrics_counter (metrics, "lwm_control_log_bytes_total",
                         "Bytes appended to the log file.", NULL);
  counters->refused_announcements = metrics_counter (
      metrics, "lwm_control_refused_announcements_total",
      "Announcements refused for their size, or for want of room.", NULL);
  counters->elections = metrics_counter (metrics, "lwm_control_elections_total",
                                         "Campaigns begun here.", NULL);
  counters->snapshots = metrics_counter (metrics, "lwm_control_snapshots_total",
                                         "Snapshots taken.", NULL);
  counters->no_room = metrics_counter (
      metrics, "lwm_control_no_room_total",
      "times the disk was full and the replica took no part in the group",
      NULL);
  counters->watches = metrics_counter (metrics, "lwm_control_watches_total",
                                       "Requests of clients that watch.", NULL);
  counters->dropped = metrics_counter (
      metrics, "lwm_control_dropped_total",
      "Messages not sent because the receiver's queue was full or gone.", NULL);
  counters->snapshots_received
      = metrics_counter (metrics, "lwm_control_snapshots_received_total",
                         "Snapshots installed from a leader.", NULL);
}

/** Returns the role that the status shows: a Raft role, "learner", or "waiting"
 * for a replica that is no member. */
static const char *
role_name (const control_server_t *server, const raft_status_t *status)
{
  if (status->role == RAFT_LEADER)
    return "leader";
  if (membership_find (raft_membership (server->raft), server->incarnation)
      == NULL)
    return "waiting";
  if (!status->voter)
    return "learner";
  return status->role == RAFT_FOLLOWER ? "follower" : "candidate";
}

Lwm__ControlStatus *
control_server_status (control_server_t *server, void *parent)
{
  Lwm__ControlStatus *status = talloc (parent, Lwm__ControlStatus);
  const Lwm__ControlMembership *members = raft_membership (server->raft);
  const Lwm__ControlRevision *revision
      = statemachine_revision (server->machine);
  raft_status_t raft = raft_status (server->raft);
  const Lwm__ControlMember *leader = membership_find (members, raft.leader);

  lwm__control_status__init (status);
  status->name = (char *)server->options.name;
  status->incarnation = server->incarnation;
  status->group = raft.group;
  status->role = (char *)role_name (server, &raft);
  status->term = raft.term;
  status->commit = raft.commit;
  status->applied = server->applied;
  status->last = raft.last;
  status->first = raft.first;
  if (leader != NULL)
    status->leader = leader->name;
  status->members = members->members;
  status->n_members = members->n_members;
  status->waiting
      = control_group_list_joiners (server->group, status, &status->n_waiting);
  status->config_number = revision->number;
  status->config_digest = revision->digest;
  status->claims = (uint32_t)statemachine_claim_count (server->machine);
  status->leases = (uint32_t)statemachine_lease_count (server->machine);
  status->drains = statemachine_drains (server->machine);
  status->audit = statemachine_audit (server->machine, &status->n_audit);
  return status;
}

static JsonArray *
members_json (Lwm__ControlMember *const *members, size_t count)
{
  JsonArray *array = json_array_new ();

  for (size_t i = 0; i < count; i++)
    {
      JsonObject *object = json_object_new ();
      char *incarnation
          = g_strdup_printf ("%ju", (uintmax_t)members[i]->incarnation);

      json_object_set_string_member (object, "name", members[i]->name);
      json_object_set_string_member (object, "incarnation", incarnation);
      json_object_set_string_member (object, "address", members[i]->address);
      json_object_set_boolean_member (object, "voter", members[i]->voter);
      json_array_add_object_element (array, object);
      g_free (incarnation);
    }
  return array;
}

static JsonArray *
audit_json (Lwm__ControlAudit *const *audit, size_t count)
{
  JsonArray *array = json_array_new ();

  for (size_t i = 0; i < count; i++)
    {
      JsonObject *object = json_object_new ();
      const char *result
          = audit[i]->result == LWM__CONTROL_RESULT__RESULT_OK ? "accepted"
            : audit[i]->result == LWM__CONTROL_RESULT__RESULT_CONFLICT
                ? "conflict"
                : "stale";

      json_object_set_int_member (object, "number", (gint64)audit[i]->number);
      json_object_set_string_member (object, "digest", audit[i]->digest);
      json_object_set_string_member (object, "who", audit[i]->who);
      json_object_set_int_member (object, "when_ms", (gint64)audit[i]->when_ms);
      json_object_set_string_member (object, "result", result);
      if (*audit[i]->zone != '\0')
        {
          json_object_set_string_member (object, "zone", audit[i]->zone);
          json_object_set_string_member (object, "order",
                                         audit[i]->drained ? "start" : "end");
        }
      json_array_add_object_element (array, object);
    }
  return array;
}

static void
set_number (JsonObject *object, const char *name, uint64_t number)
{
  json_object_set_int_member (object, name, (gint64)number);
}

static JsonNode *
status_json (const Lwm__ControlStatus *status)
{
  JsonObject *object = json_object_new ();
  JsonNode *node = json_node_new (JSON_NODE_OBJECT);
  /* Many JSON parsers round integers of more than 53 bits, so these are
   * strings. */
  char *incarnation = g_strdup_printf ("%ju", (uintmax_t)status->incarnation);
  char *group = g_strdup_printf ("%ju", (uintmax_t)status->group);

  json_object_set_string_member (object, "name", status->name);
  json_object_set_string_member (object, "incarnation", incarnation);
  json_object_set_string_member (object, "group", group);
  json_object_set_string_member (object, "role", status->role);
  json_object_set_string_member (object, "leader", status->leader);
  set_number (object, "term", status->term);
  set_number (object, "commit", status->commit);
  set_number (object, "applied", status->applied);
  set_number (object, "first", status->first);
  set_number (object, "last", status->last);
  set_number (object, "config_number", status->config_number);
  json_object_set_string_member (object, "config_digest",
                                 status->config_digest);
  set_number (object, "claims", status->claims);
  set_number (object, "leases", status->leases);
  json_object_set_array_member (
      object, "members", members_json (status->members, status->n_members));
  json_object_set_array_member (
      object, "waiting", members_json (status->waiting, status->n_waiting));
  json_object_set_array_member (object, "audit",
                                audit_json (status->audit, status->n_audit));
  json_node_take_object (node, object);
  g_free (incarnation);
  g_free (group);
  return node;
}

JsonNode *
control_server_status_json (control_server_t *server)
{
  Lwm__ControlStatus *status = control_server_status (server, server);
  JsonNode *node = status_json (status);

  talloc_free (status);
  return node;
}
