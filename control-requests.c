#include <string.h>
#include <talloc.h>

#include "base.h"
#include "control-internal.h"
#include "members.h"
#define LOG_PART "control"
#include "logging.h"

#define MAX_WAITING    20000
#define MAX_WATCHERS   4096
#define WATCH_VALID_MS 5000
#define MAX_CLIENT_ID  64
#define BUSY_RETRY_MS  50
#define MAX_ADDRESS    64

/** A client's request that an entry or a read round will answer. */
typedef struct
{
  uint64_t key; /* index of the entry */
  uint64_t term;
  uint64_t round;  /* of a read; 0 until begun */
  uint64_t commit; /* that the state must have reached for a read */
  uint64_t id;
  uint64_t known;
  uint8_t client[MAX_CLIENT_ID];
  size_t client_bytes;
} waiting_t;

typedef struct
{
  uint64_t known; /* number last sent, or held by the client */
  uint64_t until_ms;
  bool wants_config;
  bool wants_directory;
  uint64_t version;          /* of the directory, last sent */
  char address[MAX_ADDRESS]; /* for other entry instances, or empty */
} watcher_t;

struct control_requests
{
  control_server_t *server;
  GHashTable *waiting;  /* entry index -> waiting_t */
  GPtrArray *reads;     /* waiting_t */
  GHashTable *watchers; /* GBytes client -> watcher_t */
  bool was_leader;
};

static int
free_requests (control_requests_t *requests)
{
  g_hash_table_destroy (requests->waiting);
  g_hash_table_destroy (requests->watchers);
  g_ptr_array_free (requests->reads, TRUE);
  return 0;
}

control_requests_t *
control_requests_new (control_server_t *server)
{
  control_requests_t *requests = talloc_zero (server, control_requests_t);

  requests->server = server;
  requests->waiting
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  requests->reads = g_ptr_array_new_with_free_func (g_free);
  requests->watchers = g_hash_table_new_full (
      g_bytes_hash, g_bytes_equal, (GDestroyNotify)g_bytes_unref, g_free);
  talloc_set_destructor (requests, free_requests);
  return requests;
}

static const Lwm__ControlMember *
leader_of (const control_server_t *server)
{
  return membership_find (raft_membership (server->raft),
                          raft_status (server->raft).leader);
}

static void
send_answer (control_requests_t *requests,
             const waiting_t *to,
             Lwm__ControlAnswer *answer)
{
  answer->id = to->id;
  control_server_answer (requests->server, to->client, to->client_bytes,
                         answer);
}

static void
redirect (control_requests_t *requests, const waiting_t *to, bool maybe_done)
{
  Lwm__ControlAnswer answer = LWM__CONTROL_ANSWER__INIT;
  const Lwm__ControlMember *leader = leader_of (requests->server);

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
refuse_busy (control_requests_t *requests, const waiting_t *to)
{
  Lwm__ControlAnswer answer = LWM__CONTROL_ANSWER__INIT;

  answer.result = LWM__CONTROL_RESULT__RESULT_NOT_READY;
  answer.detail = "too many requests are waiting";
  answer.retry_after_ms = BUSY_RETRY_MS;
  send_answer (requests, to, &answer);
}

static void
wait_for (control_requests_t *requests, const waiting_t *from, uint64_t index)
{
  waiting_t *waiting = g_memdup2 (from, sizeof *from);

  waiting->key = index;
  waiting->term = raft_status (requests->server->raft).term;
  g_hash_table_replace (requests->waiting, &waiting->key, waiting);
  control_server_wake (requests->server);
}

static void
propose (control_requests_t *requests,
         const waiting_t *from,
         Lwm__ControlCommand *command)
{
  control_server_t *server = requests->server;
  size_t size_bytes;
  uint8_t *data;
  uint64_t index;

  if (raft_status (server->raft).role != RAFT_LEADER)
    {
      redirect (requests, from, false);
      return;
    }
  command->clock_ms = control_server_clock_ms (server);
  size_bytes = lwm__control_command__get_packed_size (command);
  data = g_malloc (size_bytes + 1);
  lwm__control_command__pack (command, data);
  index = g_hash_table_size (requests->waiting) < MAX_WAITING
              ? raft_propose (server->raft, data, size_bytes)
              : 0;
  g_free (data);
  if (index == 0)
    refuse_busy (requests, from);
  else
    wait_for (requests, from, index);
}

static void
change_member (control_requests_t *requests,
               const waiting_t *from,
               const Lwm__ControlMemberChange *change)
{
  control_server_t *server = requests->server;
  Lwm__ControlAnswer answer = LWM__CONTROL_ANSWER__INIT;
  uint64_t index;

  if (raft_status (server->raft).role != RAFT_LEADER)
    {
      redirect (requests, from, false);
      return;
    }
  index = control_group_change (server->group, change, &answer);
  if (index == 0)
    send_answer (requests, from, &answer);
  else
    wait_for (requests, from, index);
}

/** Whether the replica has lost its leader, leads without a quorum, or has not
 * applied yet what it knows to be committed. */
static bool
is_stale (const control_server_t *server)
{
  return !raft_in_touch (server->raft, clock_mono_ms ())
         || server->applied < raft_status (server->raft).commit;
}

static void
answer_revision (control_requests_t *requests, const waiting_t *to)
{
  control_server_t *server = requests->server;
  Lwm__ControlRevision *revision = statemachine_revision (server->machine);
  Lwm__ControlAnswer answer = LWM__CONTROL_ANSWER__INIT;
  Lwm__ControlRevision summary = *revision;

  answer.stale = is_stale (server);
  if (to->known == revision->number)
    summary.config.len = 0;
  answer.revision = &summary;
  if (revision->number == 0)
    {
      answer.result = LWM__CONTROL_RESULT__RESULT_NOT_FOUND;
      answer.revision = NULL;
    }
  send_answer (requests, to, &answer);
}

/** The watcher of that client, made when there is room; NULL when not. */
static watcher_t *
find_watcher (control_requests_t *requests, const waiting_t *from)
{
  GBytes *client = g_bytes_new (from->client, from->client_bytes);
  watcher_t *watcher = g_hash_table_lookup (requests->watchers, client);

  if (watcher == NULL && g_hash_table_size (requests->watchers) < MAX_WATCHERS)
    {
      watcher = g_new0 (watcher_t, 1);
      g_hash_table_insert (requests->watchers, g_bytes_ref (client), watcher);
    }
  g_bytes_unref (client);
  return watcher;
}

static void
add_directory (control_requests_t *requests,
               uint64_t since_version,
               void *parent,
               Lwm__ControlAnswer *answer)
{
  Lwm__ControlDirectory *part = control_directory_since (
      requests->server->directory, since_version, parent);

  part->config_number
      = statemachine_revision (requests->server->machine)->number;
  part->watchers
      = control_requests_watcher_addresses (requests, part, &part->n_watchers);
  answer->directory = part;
}

static void
watch (control_requests_t *requests,
       waiting_t *from,
       const Lwm__ControlWatch *request)
{
  control_server_t *server = requests->server;
  watcher_t *watcher = find_watcher (requests, from);
  Lwm__ControlRevision *revision = statemachine_revision (server->machine);
  Lwm__ControlAnswer answer = LWM__CONTROL_ANSWER__INIT;
  void *scratch = talloc_new (requests);

  if (watcher != NULL)
    {
      watcher->known = MAX (from->known, revision->number);
      watcher->until_ms = clock_mono_ms () + WATCH_VALID_MS;
      watcher->wants_config = !request->no_config;
      watcher->wants_directory = request->directory;
      watcher->version = control_directory_version (server->directory);
      g_strlcpy (watcher->address, request->address, sizeof watcher->address);
    }
  answer.stale = is_stale (server);
  if (!request->no_config && revision->number > from->known)
    answer.revision = revision;
  if (request->directory)
    add_directory (requests,
                   request->epoch == control_directory_epoch (server->directory)
                       ? request->version
                       : 0,
                   scratch, &answer);
  send_answer (requests, from, &answer);
  talloc_free (scratch);
}

static void
read_state (control_requests_t *requests, const waiting_t *from, bool local)
{
  if (local)
    answer_revision (requests, from);
  else if (requests->reads->len >= MAX_WAITING)
    refuse_busy (requests, from);
  else
    {
      g_ptr_array_add (requests->reads, g_memdup2 (from, sizeof *from));
      control_server_wake (requests->server);
    }
}

static void
answer_status (control_requests_t *requests, const waiting_t *to)
{
  Lwm__ControlAnswer answer = LWM__CONTROL_ANSWER__INIT;

  answer.status = control_server_status (requests->server, requests);
  answer.stale = is_stale (requests->server);
  send_answer (requests, to, &answer);
  talloc_free (answer.status);
}

static bool
is_command (const Lwm__ControlRequest *request, Lwm__ControlCommand *command)
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
    default:
      return false;
    }
}

/** Whether it takes more than what this replica knows. */
static bool
needs_group (const Lwm__ControlRequest *request)
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
  waiting_t from = { .id = request->id };

  if (client->size_bytes > sizeof from.client)
    return;
  memcpy (from.client, client->data, client->size_bytes);
  from.client_bytes = client->size_bytes;
  if (requests->server->has_no_room && needs_group (request))
    {
      redirect (requests, &from, false);
      return;
    }
  if (is_command (request, &command))
    {
      propose (requests, &from, &command);
      return;
    }
  switch (request->what_case)
    {
    case LWM__CONTROL_REQUEST__WHAT_MEMBER:
      change_member (requests, &from, request->member);
      break;
    case LWM__CONTROL_REQUEST__WHAT_GET:
      from.known = request->get->known;
      read_state (requests, &from, request->get->local);
      break;
    case LWM__CONTROL_REQUEST__WHAT_WATCH:
      from.known = request->watch->known;
      watch (requests, &from, request->watch);
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
      waiting_t *read = g_ptr_array_index (requests->reads, i);

      if (read->round == 0 && round == 0)
        round = raft_read (server->raft, clock_mono_ms ());
      if (read->round == 0 && round == 0)
        {
          redirect (requests, read, false);
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
control_requests_end_reads (control_requests_t *requests)
{
  uint64_t confirmed = raft_read_confirmed (requests->server->raft);

  for (guint i = 0; i < requests->reads->len;)
    {
      waiting_t *read = g_ptr_array_index (requests->reads, i);

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
control_requests_applied (control_requests_t *requests,
                          uint64_t index,
                          uint64_t term,
                          Lwm__ControlAnswer *answer)
{
  waiting_t *waiting = g_hash_table_lookup (requests->waiting, &index);

  if (waiting == NULL)
    return;
  /* Another leader's entry took the place of the one proposed here. */
  if (waiting->term != term)
    redirect (requests, waiting, false);
  else
    send_answer (requests, waiting, answer);
  g_hash_table_remove (requests->waiting, &index);
}

void
control_requests_redirect_all (control_requests_t *requests)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, requests->waiting);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    redirect (requests, value, true);
  g_hash_table_remove_all (requests->waiting);
  for (guint i = 0; i < requests->reads->len; i++)
    redirect (requests, g_ptr_array_index (requests->reads, i), false);
  g_ptr_array_set_size (requests->reads, 0);
}

void
control_requests_check_role (control_requests_t *requests)
{
  bool leads = raft_status (requests->server->raft).role == RAFT_LEADER;

  if (requests->was_leader && !leads)
    control_requests_redirect_all (requests);
  requests->was_leader = leads;
}

/** Removes those that have not asked again in time. */
static void
drop_late_watchers (control_requests_t *requests)
{
  uint64_t now_ms = clock_mono_ms ();
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, requests->watchers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (((watcher_t *)value)->until_ms < now_ms)
      g_hash_table_iter_remove (&iter);
}

char **
control_requests_watcher_addresses (const control_requests_t *requests,
                                    void *parent,
                                    size_t *count)
{
  char **addresses = talloc_array (parent, char *,
                                   g_hash_table_size (requests->watchers) + 1);
  GHashTableIter iter;
  gpointer value;

  *count = 0;
  g_hash_table_iter_init (&iter, requests->watchers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const watcher_t *watcher = value;

      if (watcher->address[0] != '\0')
        addresses[(*count)++] = talloc_strdup (addresses, watcher->address);
    }
  return addresses;
}

void
control_requests_push (control_requests_t *requests)
{
  control_server_t *server = requests->server;
  Lwm__ControlRevision *revision = statemachine_revision (server->machine);
  GHashTableIter iter;
  gpointer key;
  gpointer value;

  drop_late_watchers (requests);
  g_hash_table_iter_init (&iter, requests->watchers);
  while (g_hash_table_iter_next (&iter, &key, &value))
    {
      watcher_t *watcher = value;
      Lwm__ControlAnswer answer = LWM__CONTROL_ANSWER__INIT;
      Lwm__ControlDirectory number = LWM__CONTROL_DIRECTORY__INIT;
      gsize size_bytes;
      const uint8_t *client = g_bytes_get_data (key, &size_bytes);

      if (watcher->known >= revision->number)
        continue;
      watcher->known = revision->number;
      number.epoch = control_directory_epoch (server->directory);
      number.since = number.version = watcher->version;
      number.config_number = revision->number;
      if (watcher->wants_config)
        answer.revision = revision;
      else
        answer.directory = &number;
      control_server_answer (server, client, size_bytes, &answer);
    }
}

void
control_requests_push_directory (control_requests_t *requests)
{
  control_server_t *server = requests->server;
  GHashTableIter iter;
  gpointer key;
  gpointer value;

  drop_late_watchers (requests);
  g_hash_table_iter_init (&iter, requests->watchers);
  while (g_hash_table_iter_next (&iter, &key, &value))
    {
      watcher_t *watcher = value;
      Lwm__ControlAnswer answer = LWM__CONTROL_ANSWER__INIT;
      void *scratch = talloc_new (requests);
      gsize size_bytes;
      const uint8_t *client = g_bytes_get_data (key, &size_bytes);

      if (watcher->wants_directory)
        {
          add_directory (requests, watcher->version, scratch, &answer);
          watcher->version = control_directory_version (server->directory);
          control_server_answer (server, client, size_bytes, &answer);
        }
      talloc_free (scratch);
    }
}

size_t
control_requests_watcher_count (const control_requests_t *requests)
{
  return g_hash_table_size (requests->watchers);
}
