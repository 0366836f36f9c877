#include "lib-control.h"

#include <event2/event.h>
#include <glib.h>
#include <glib/gstdio.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#define HEARTBEAT_MS 50
#define ELECTION_MS  300
#define TIMEOUT_MS   20000
#define CLAIM_MS     600000

static const char *const names[GROUP_MAX] = { "a", "b", "c", "d", "e", "f" };

static void
assign_addresses (group_t *group, size_t replica)
{
  group->http[replica] = cluster_address (group->cluster);
  group->control[replica] = cluster_address (group->cluster);
  group->folder[replica] = cluster_subfolder (group->cluster, names[replica]);
}

static void
start_proxy (group_t *group)
{
  char *arguments[GROUP_MAX * GROUP_MAX + 4] = { (char *)"--listen" };
  size_t used = 2;

  group->proxy = arguments[1] = (char *)cluster_address (group->cluster);
  for (size_t from = 0; from < group->count; from++)
    for (size_t to = 0; to < group->count; to++)
      {
        group->link[from][to] = cluster_address (group->cluster);
        arguments[used++]
            = g_strdup_printf ("--route=%s-%s=%s=%s", names[from], names[to],
                               group->link[from][to], group->control[to]);
      }
  g_assert_nonnull (
      cluster_startv (group->cluster, "lwm-faultproxy", arguments));
  while (used > 2)
    g_free (arguments[--used]);
}

group_t *
group_new (cluster_t *cluster, size_t count, bool proxied)
{
  group_t *group = g_new0 (group_t, 1);

  group->cluster = cluster;
  group->base = event_base_new ();
  group->count = count;
  group->proxied = proxied;
  group->snapshot_entries = 50;
  group->heartbeat_ms = HEARTBEAT_MS;
  group->election_timeout_ms = ELECTION_MS;
  for (size_t i = 0; i < count; i++)
    assign_addresses (group, i);
  if (proxied)
    start_proxy (group);
  return group;
}

void
group_free (group_t *group)
{
  event_base_free (group->base);
  g_free (group);
}

static void
start_replica (group_t *group, size_t replica, const char *fault, bool join)
{
  char *arguments[24];
  size_t used = 0;
  const char *program = fault != NULL ? "lwm-controld-faults" : "lwm-controld";

  arguments[used++] = g_strdup_printf ("--instance=%s", names[replica]);
  arguments[used++] = g_strdup_printf ("--listen=%s", group->http[replica]);
  arguments[used++]
      = g_strdup_printf ("--control-listen=%s", group->control[replica]);
  arguments[used++]
      = g_strdup_printf ("--data-folder=%s", group->folder[replica]);
  arguments[used++]
      = g_strdup_printf ("--snapshot-entries=%u", group->snapshot_entries);
  arguments[used++]
      = g_strdup_printf ("--heartbeat-ms=%u", group->heartbeat_ms);
  arguments[used++] = g_strdup_printf ("--election-timeout-ms=%u",
                                       group->election_timeout_ms);
  for (size_t i = 0; i < group->count; i++)
    arguments[used++] = g_strdup_printf ("--member=%s=%s", names[i],
                                         group->proxied && i != replica
                                             ? group->link[replica][i]
                                             : group->control[i]);
  if (join)
    arguments[used++] = g_strdup ("--join");
  arguments[used] = NULL;
  if (fault != NULL)
    g_setenv ("LWM_FAULT", fault, TRUE);
  group->process[replica] = cluster_startv (group->cluster, program, arguments);
  g_unsetenv ("LWM_FAULT");
  while (used > 0)
    g_free (arguments[--used]);
}

void
group_start (group_t *group, size_t replica, const char *fault)
{
  start_replica (group, replica, fault, false);
}

void
group_start_all (group_t *group)
{
  for (size_t i = 0; i < group->count; i++)
    group_start (group, i, NULL);
}

size_t
group_join (group_t *group)
{
  size_t replica = group->count++;

  assign_addresses (group, replica);
  start_replica (group, replica, NULL, true);
  return replica;
}

void
group_kill (group_t *group, size_t replica, bool lose_folder)
{
  static const char *const files[] = { "identity", "log", "snapshot" };

  process_signal (group->process[replica], SIGKILL);
  group->process[replica] = NULL;
  for (size_t i = 0; lose_folder && i < G_N_ELEMENTS (files); i++)
    {
      char *path = g_strdup_printf ("%s/%s", group->folder[replica], files[i]);

      g_remove (path);
      g_free (path);
    }
}

static answer_t
ask_status (group_t *group, size_t replica)
{
  answer_t none = { 0 };

  if (group->process[replica] == NULL
      || !process_running (group->process[replica]))
    return none;
  return cluster_call_with (group->http[replica], "GET", "/v1/status", NULL,
                            NULL, 500);
}

int64_t
group_status (group_t *group, size_t replica, const char *member)
{
  answer_t answer = ask_status (group, replica);
  int64_t value = -1;

  if (answer.json != NULL)
    value = json_object_get_int_member (answer.json, member);
  cluster_answer_free (&answer);
  return value;
}

void
group_print_state (group_t *group)
{
  for (size_t i = 0; i < group->count; i++)
    {
      answer_t answer = ask_status (group, i);

      g_test_message ("replica %s: %s", names[i],
                      answer.body != NULL ? answer.body : "not running");
      cluster_answer_free (&answer);
      if (group->process[i] != NULL)
        process_print_log (group->process[i]);
    }
}

static size_t
find_leader (group_t *group)
{
  size_t found = SIZE_MAX;
  int64_t term = 0;

  for (size_t i = 0; i < group->count; i++)
    {
      answer_t answer = ask_status (group, i);

      if (answer.json != NULL
          && strcmp (json_object_get_string_member (answer.json, "role"),
                     "leader")
                 == 0
          && json_object_get_int_member (answer.json, "term") > term)
        {
          found = i;
          term = json_object_get_int_member (answer.json, "term");
        }
      cluster_answer_free (&answer);
    }
  return found;
}

size_t
group_leader (group_t *group)
{
  size_t leader = SIZE_MAX;

  CLUSTER_WAIT ((leader = find_leader (group)) != SIZE_MAX);
  return leader;
}

static bool
is_settled (group_t *group)
{
  int64_t applied = -1;

  for (size_t i = 0; i < group->count; i++)
    {
      int64_t replica_applied;

      if (group->process[i] == NULL || !process_running (group->process[i]))
        continue;
      replica_applied = group_status (group, i, "applied");
      if (replica_applied < 1
          || replica_applied != group_status (group, i, "last")
          || (applied != -1 && replica_applied != applied))
        return false;
      applied = replica_applied;
    }
  return true;
}

void
group_wait_settled (group_t *group)
{
  group_leader (group);
  CLUSTER_WAIT (is_settled (group));
}

static void
set_faults (group_t *group, size_t from, size_t to, const char *faults)
{
  char *path = g_strdup_printf ("/v1/routes/%s-%s", names[from], names[to]);
  answer_t answer = cluster_call (group->proxy, "POST", path, faults);

  g_assert_cmpint (answer.status, ==, 200);
  cluster_answer_free (&answer);
  g_free (path);
}

void
group_set_cut (group_t *group, size_t from, size_t to, bool cut)
{
  set_faults (group, from, to,
              cut ? "{\"cut\":\"both\"}" : "{\"cut\":\"none\"}");
}

void
group_set_delay (group_t *group,
                 size_t from,
                 size_t to,
                 uint32_t delay_ms,
                 uint32_t stall_percent,
                 uint32_t stall_ms)
{
  char *faults = g_strdup_printf (
      "{\"delay_ms\":%u,\"stall_percent\":%u,\"stall_ms\":%u}", delay_ms,
      stall_percent, stall_ms);

  set_faults (group, from, to, faults);
  g_free (faults);
}

static void
on_revision (const Lwm__ControlRevision *revision, void *context)
{
  observer_t *observer = context;
  const char *winner
      = g_hash_table_lookup (observer->history->winners, &revision->number);

  g_assert_cmpuint (revision->number, >, observer->number);
  if (winner != NULL)
    g_assert_cmpstr (revision->digest, ==, winner);
  observer->number = revision->number;
  observer->count++;
}

control_client_t *
group_client (group_t *group, observer_t *observer)
{
  control_client_options_t options
      = { .base = group->base,
          .peers = (char **)group->control,
          .peer_count = group->count,
          .on_revision = observer != NULL ? on_revision : NULL,
          .context = observer };

  return control_client_new (NULL, &options);
}

void
reply_store_answer (const Lwm__ControlAnswer *answer, void *context)
{
  reply_t *reply = context;

  g_assert_false (reply->done);
  reply->done = true;
  reply->result = answer->result;
  reply->maybe_done = answer->maybe_done;
  reply->retry_after_ms = answer->retry_after_ms;
  if (answer->revision != NULL)
    {
      reply->number = answer->revision->number;
      g_strlcpy (reply->digest, answer->revision->digest, sizeof reply->digest);
      g_strlcpy (reply->who, answer->revision->who, sizeof reply->who);
    }
  if (answer->lease != NULL)
    reply->fencing = answer->lease->fencing;
  if (answer->claim != NULL)
    {
      reply->claim_state = answer->claim->state;
      if (answer->claim->outcome.len > 0)
        memcpy (reply->outcome, answer->claim->outcome.data,
                MIN (answer->claim->outcome.len, sizeof reply->outcome - 1));
    }
}

void
group_wait_reply (group_t *group, const reply_t *reply)
{
  while (!reply->done)
    event_base_loop (group->base, EVLOOP_ONCE);
}

void
group_run_loop_ms (group_t *group, uint32_t ms)
{
  struct timeval time = { .tv_sec = ms / 1000, .tv_usec = (ms % 1000) * 1000 };

  event_base_loopexit (group->base, &time);
  event_base_dispatch (group->base);
}

void
group_propose (control_client_t *client,
               uint64_t number,
               const char *digest,
               const char *who,
               uint32_t timeout_ms,
               reply_t *reply)
{
  Lwm__ControlApply apply = LWM__CONTROL_APPLY__INIT;
  uint8_t config[200];

  memset (config, 'c', sizeof config);
  apply.number = number;
  apply.digest = (char *)digest;
  apply.who = (char *)who;
  apply.config.data = config;
  apply.config.len = sizeof config;
  control_client_apply (client, &apply, timeout_ms, reply_store_answer, reply);
}

reply_t
group_apply (group_t *group,
             control_client_t *client,
             uint64_t number,
             const char *digest)
{
  reply_t reply = { 0 };

  group_propose (client, number, digest, "operator", TIMEOUT_MS, &reply);
  group_wait_reply (group, &reply);
  return reply;
}

reply_t
group_get (group_t *group, control_client_t *client)
{
  reply_t reply = { 0 };

  control_client_get (client, 0, TIMEOUT_MS, reply_store_answer, &reply);
  group_wait_reply (group, &reply);
  return reply;
}

reply_t
group_claim (group_t *group,
             control_client_t *client,
             const char *key,
             const char *owner,
             uint64_t attempt)
{
  Lwm__ControlClaimTake claim = LWM__CONTROL_CLAIM_TAKE__INIT;
  reply_t reply = { 0 };

  claim.customer = (char *)"trust";
  claim.service = (char *)"rounds-ledger";
  claim.key = (char *)key;
  claim.digest = 1;
  claim.owner = (char *)owner;
  claim.attempt = attempt;
  claim.keep_ms = CLAIM_MS;
  control_client_claim (client, &claim, TIMEOUT_MS, reply_store_answer, &reply);
  group_wait_reply (group, &reply);
  return reply;
}

reply_t
group_finish (group_t *group,
              control_client_t *client,
              const char *key,
              const char *owner,
              uint64_t attempt,
              const char *outcome)
{
  Lwm__ControlClaimFinish finish = LWM__CONTROL_CLAIM_FINISH__INIT;
  reply_t reply = { 0 };

  finish.customer = (char *)"trust";
  finish.service = (char *)"rounds-ledger";
  finish.key = (char *)key;
  finish.owner = (char *)owner;
  finish.attempt = attempt;
  finish.state = LWM__CONTROL_CLAIM_STATE__CLAIM_DONE;
  finish.outcome.data = (uint8_t *)outcome;
  finish.outcome.len = strlen (outcome);
  control_client_finish_claim (client, &finish, TIMEOUT_MS, reply_store_answer,
                               &reply);
  group_wait_reply (group, &reply);
  return reply;
}

reply_t
group_lease (group_t *group,
             control_client_t *client,
             const char *upstream,
             const char *holder)
{
  Lwm__ControlLeaseTake lease = LWM__CONTROL_LEASE_TAKE__INIT;
  reply_t reply = { 0 };

  lease.upstream = (char *)upstream;
  lease.holder = (char *)holder;
  lease.ttl_ms = 1000;
  lease.checks_fencing = true;
  control_client_take_lease (client, &lease, TIMEOUT_MS, reply_store_answer,
                             &reply);
  group_wait_reply (group, &reply);
  return reply;
}

void
group_change_member (group_t *group,
                     control_client_t *client,
                     Lwm__ControlMemberChangeKind kind,
                     const char *name)
{
  Lwm__ControlMemberChange change = LWM__CONTROL_MEMBER_CHANGE__INIT;
  reply_t reply = { .result = LWM__CONTROL_RESULT__RESULT_NOT_READY };

  change.kind = kind;
  change.name = (char *)name;
  for (int tries = 0; tries < 100; tries++)
    {
      reply = (reply_t){ 0 };
      control_client_change_member (client, &change, TIMEOUT_MS,
                                    reply_store_answer, &reply);
      group_wait_reply (group, &reply);
      if (reply.result != LWM__CONTROL_RESULT__RESULT_NOT_READY
          && reply.result != LWM__CONTROL_RESULT__RESULT_NOT_FOUND)
        break;
      group_run_loop_ms (group, 50);
    }
  g_assert_cmpint (reply.result, <=, LWM__CONTROL_RESULT__RESULT_SAME);
}

history_t *
history_new (void)
{
  history_t *history = g_new0 (history_t, 1);

  history->winners
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
  return history;
}

void
history_free (history_t *history)
{
  g_hash_table_destroy (history->winners);
  g_free (history);
}

void
history_record_accepted (history_t *history,
                         uint64_t number,
                         const char *digest)
{
  const char *winner = g_hash_table_lookup (history->winners, &number);

  if (winner != NULL)
    g_assert_cmpstr (winner, ==, digest);
  else
    g_hash_table_insert (history->winners, g_memdup2 (&number, sizeof number),
                         g_strdup (digest));
  history->accepted = MAX (history->accepted, number);
}

void
group_wait_observer (group_t *group, const observer_t *observer)
{
  int64_t deadline_us
      = g_get_monotonic_time () + CLUSTER_WAIT_TIMEOUT_MS * 1000;

  while (observer->number < observer->history->accepted
         && g_get_monotonic_time () < deadline_us)
    event_base_loop (group->base, EVLOOP_ONCE);
  g_assert_cmpuint (observer->number, >=, observer->history->accepted);
}
