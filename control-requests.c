#include <string.h>
#include <talloc.h>

#include "base.h"
#include "control-internal.h"
#include "members.h"
#define LOG_PART "control"
#include "logging.h"

/* Limit of pending commands; pending reads have an equal limit. */
#define MAX_PENDING         20000
#define MAX_CLIENT_ID_BYTES 64
/* Delay that a client is asked to keep when too many requests are pending. */
#define BUSY_RETRY_MS 50

/** A client's request that is answered when its log entry is applied or its
 * read is confirmed. */
typedef struct
{
  uint64_t key;    /* index of the proposed entry */
  uint64_t term;   /* term of the proposed entry */
  uint64_t round;  /* round of a read; 0 until the round has started */
  uint64_t commit; /* index to be applied before a read is answered */
  uint64_t id;     /* id of the request, chosen by the client */
  uint64_t known;  /* number of the revision that the client has */
  uint8_t client[MAX_CLIENT_ID_BYTES]; /* ZeroMQ routing id of the client */
  size_t client_bytes;
} pending_request_t;

struct control_requests
{
  control_server_t *server;
  GHashTable *pending; /* entry index -> pending_request_t */
  GPtrArray *reads;    /* pending_request_t */
  bool was_leader;
};

static int
free_requests (control_requests_t *requests)
{
  g_hash_table_destroy (requests->pending);
  g_ptr_array_free (requests->reads, TRUE);
  return 0;
}

control_requests_t *
control_requests_new (control_server_t *server)
{
  control_requests_t *requests = talloc_zero (server, control_requests_t);

  requests->server = server;
  requests->pending
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  requests->reads = g_ptr_array_new_with_free_func (g_free);
  talloc_set_destructor (requests, free_requests);
  return requests;
}

static const Lwm__ControlMember *
find_leader (const control_server_t *server)
{
  return membership_find (raft_membership (server->raft),
                          raft_status (server->raft).leader);
}

static void
send_answer (control_requests_t *requests,
             const pending_request_t *to,
             Lwm__ControlAnswer *answer)
{
  answer->id = to->id;
  control_server_answer (requests->server, to->client, to->client_bytes,
                         answer);
}

/** Refers a client to the leader, if one is known.
 * @param maybe_done whether the request may still take effect */
static void
redirect_to_leader (control_requests_t *requests,
                    const pending_request_t *to,
                    bool maybe_done)
{
  Lwm__ControlAnswer answer = LWM__CONTROL_ANSWER__INIT;
  const Lwm__ControlMember *leader = find_leader (requests->server);

  answer.result = LWM__CONTROL_RESULT__RESULT_NOT_LEADER;
  answer.maybe_done = maybe_done;
  if (leader != NULL && leader->incarnation != requests->server->incarnation)
    {
      answer.leader = leader->name;
      answer.leader_address = leader->address;
    }
  send_answer (requests, to, &answer);
}

static void
reject_busy (control_requests_t *requests, const pending_request_t *to)
{
  Lwm__ControlAnswer answer = LWM__CONTROL_ANSWER__INIT;

  answer.result = LWM__CONTROL_RESULT__RESULT_NOT_READY;
  answer.detail = "too many requests are waiting";
  answer.retry_after_ms = BUSY_RETRY_MS;
  send_answer (requests, to, &answer);
}

/** Records a request until the log entry @a index is applied. */
static void
add_pending (control_requests_t *requests,
             const pending_request_t *from,
             uint64_t index)
{
  pending_request_t *pending = g_memdup2 (from, sizeof *from);

  pending->key = index;
  pending->term = raft_status (requests->server->raft).term;
  g_hash_table_replace (requests->pending, &pending->key, pending);
  control_server_schedule_flush (requests->server);
}

/** Proposes a client's command as a log entry, if this replica leads. */
static void
propose_command (control_requests_t *requests,
                 const pending_request_t *from,
                 Lwm__ControlCommand *command)
{
  control_server_t *server = requests->server;
  size_t size_bytes;
  uint8_t *data;
  uint64_t index;

  if (raft_status (server->raft).role != RAFT_LEADER)
    {
      redirect_to_leader (requests, from, false);
      return;
    }
  command->clock_ms = control_server_clock_ms (server);
  size_bytes = lwm__control_command__get_packed_size (command);
  data = g_malloc (size_bytes + 1);
  lwm__control_command__pack (command, data);
  index = g_hash_table_size (requests->pending) < MAX_PENDING
              ? raft_propose (server->raft, data, size_bytes)
              : 0;
  g_free (data);
  if (index == 0)
    reject_busy (requests, from);
  else
    add_pending (requests, from, index);
}

static void
change_member (control_requests_t *requests,
               const pending_request_t *from,
               const Lwm__ControlMemberChange *change)
{
  control_server_t *server = requests->server;
  Lwm__ControlAnswer answer = LWM__CONTROL_ANSWER__INIT;
  uint64_t index;

  if (raft_status (server->raft).role != RAFT_LEADER)
    {
      redirect_to_leader (requests, from, false);
      return;
    }
  index = control_group_change (server->group, change, &answer);
  if (index == 0)
    send_answer (requests, from, &answer);
  else
    add_pending (requests, from, index);
}

static void
answer_revision (control_requests_t *requests, const pending_request_t *to)
{
  control_server_t *server = requests->server;
  Lwm__ControlRevision *revision = statemachine_revision (server->machine);
  Lwm__ControlAnswer answer = LWM__CONTROL_ANSWER__INIT;
  Lwm__ControlRevision copy = *revision;

  answer.stale = control_server_is_stale (server);
  if (to->known == revision->number)
    copy.config.len = 0;
  answer.revision = &copy;
  if (revision->number == 0)
    {
      answer.result = LWM__CONTROL_RESULT__RESULT_NOT_FOUND;
      answer.revision = NULL;
    }
  send_answer (requests, to, &answer);
}

static void
read_revision (control_requests_t *requests,
               const pending_request_t *from,
               bool local)
{
  if (local)
    answer_revision (requests, from);
  else if (requests->reads->len >= MAX_PENDING)
    reject_busy (requests, from);
  else
    {
      g_ptr_array_add (requests->reads, g_memdup2 (from, sizeof *from));
      control_server_schedule_flush (requests->server);
    }
}

static void
answer_status (control_requests_t *requests, const pending_request_t *to)
{
  Lwm__ControlAnswer answer = LWM__CONTROL_ANSWER__INIT;

  answer.status = control_server_status (requests->server, requests);
  answer.stale = control_server_is_stale (requests->server);
  send_answer (requests, to, &answer);
  talloc_free (answer.status);
}

/** Converts a request to a command for the log.
 * @return false when the request is not a command */
static bool
request_to_command (const Lwm__ControlRequest *request,
                    Lwm__ControlCommand *command)
{
  switch (request->what_case)
    {
    case LWM__CONTROL_REQUEST__WHAT_APPLY:
      command->what_case = LWM__CONTROL_COMMAND__WHAT_APPLY;
      command->apply = request->apply;
      return true;
    case LWM__CONTROL_REQUEST__WHAT_CLAIM:
      command->what_case = LWM__CONTROL_COMMAND__WHAT_CLAIM;
      command->claim = request->claim;
      return true;
    case LWM__CONTROL_REQUEST__WHAT_FINISH:
      command->what_case = LWM__CONTROL_COMMAND__WHAT_FINISH;
      command->finish = request->finish;
      return true;
    case LWM__CONTROL_REQUEST__WHAT_LEASE:
      command->what_case = LWM__CONTROL_COMMAND__WHAT_LEASE;
      command->lease = request->lease;
      return true;
    case LWM__CONTROL_REQUEST__WHAT_DROP:
      command->what_case = LWM__CONTROL_COMMAND__WHAT_DROP;
      command->drop = request->drop;
      return true;
    case LWM__CONTROL_REQUEST__WHAT_ZONE_ORDER:
      command->what_case = LWM__CONTROL_COMMAND__WHAT_ZONE_ORDER;
      command->zone_order = request->zone_order;
      return true;
    default:
      return false;
    }
}

/** Returns whether the answer to a request may need other replicas. */
static bool
needs_other_replicas (const Lwm__ControlRequest *request)
{
  return request->what_case != LWM__CONTROL_REQUEST__WHAT_WATCH
         && request->what_case != LWM__CONTROL_REQUEST__WHAT_STATUS;
}

void
control_requests_receive (control_requests_t *requests,
                          const mq_frame_t *client,
                          const Lwm__ControlRequest *request)
{
  Lwm__ControlCommand command = LWM__CONTROL_COMMAND__INIT;
  pending_request_t from = { .id = request->id };

  if (client->size_bytes > sizeof from.client)
    return;
  memcpy (from.client, client->data, client->size_bytes);
  from.client_bytes = client->size_bytes;
  if (requests->server->disk_is_full && needs_other_replicas (request))
    {
      redirect_to_leader (requests, &from, false);
      return;
    }
  if (request_to_command (request, &command))
    {
      propose_command (requests, &from, &command);
      return;
    }
  switch (request->what_case)
    {
    case LWM__CONTROL_REQUEST__WHAT_MEMBER:
      change_member (requests, &from, request->member);
      break;
    case LWM__CONTROL_REQUEST__WHAT_GET:
      from.known = request->get->known;
      read_revision (requests, &from, request->get->local);
      break;
    case LWM__CONTROL_REQUEST__WHAT_WATCH:
      control_watch_receive (requests->server->watch, client, request->watch);
      break;
    case LWM__CONTROL_REQUEST__WHAT_STATUS:
      answer_status (requests, &from);
      break;
    default:
      break;
    }
}

void
control_requests_begin_reads (control_requests_t *requests)
{
  control_server_t *server = requests->server;
  uint64_t round = 0;

  for (guint i = 0; i < requests->reads->len;)
    {
      pending_request_t *read = g_ptr_array_index (requests->reads, i);

      if (read->round == 0 && round == 0)
        round = raft_begin_read (server->raft, clock_mono_ms ());
      if (read->round == 0 && round == 0)
        {
          redirect_to_leader (requests, read, false);
          g_ptr_array_remove_index_fast (requests->reads, i);
          continue;
        }
      if (read->round == 0)
        {
          read->round = round;
          read->commit = raft_status (server->raft).commit;
        }
      i++;
    }
}

void
control_requests_answer_reads (control_requests_t *requests)
{
  uint64_t confirmed = raft_confirmed_read_round (requests->server->raft);

  for (guint i = 0; i < requests->reads->len;)
    {
      pending_request_t *read = g_ptr_array_index (requests->reads, i);

      if (read->round == 0 || read->round > confirmed
          || requests->server->applied < read->commit)
        {
          i++;
          continue;
        }
      answer_revision (requests, read);
      g_ptr_array_remove_index_fast (requests->reads, i);
    }
}

void
control_requests_complete (control_requests_t *requests,
                           uint64_t index,
                           uint64_t term,
                           Lwm__ControlAnswer *answer)
{
  pending_request_t *pending = g_hash_table_lookup (requests->pending, &index);

  if (pending == NULL)
    return;
  /* An entry of another leader replaced the entry of this request. */
  if (pending->term != term)
    redirect_to_leader (requests, pending, false);
  else
    send_answer (requests, pending, answer);
  g_hash_table_remove (requests->pending, &index);
}

void
control_requests_redirect_all (control_requests_t *requests)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, requests->pending);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    redirect_to_leader (requests, value, true);
  g_hash_table_remove_all (requests->pending);
  for (guint i = 0; i < requests->reads->len; i++)
    redirect_to_leader (requests, g_ptr_array_index (requests->reads, i),
                        false);
  g_ptr_array_set_size (requests->reads, 0);
}

void
control_requests_check_role (control_requests_t *requests)
{
  bool is_leader = raft_status (requests->server->raft).role == RAFT_LEADER;

  if (requests->was_leader && !is_leader)
    control_requests_redirect_all (requests);
  requests->was_leader = is_leader;
}
