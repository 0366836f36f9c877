/* Packs and sends the messages of a control replica to other replicas and to
 * clients. */
#include <string.h>

#include "base.h"
#include "control-internal.h"
#include "members.h"

/* Time without a message of a replica after which messages to it include this
 * replica's name and address again. */
#define INTRODUCE_AFTER_MS 2000

/** A packed message to another replica that is sent after the next sync. */
typedef struct
{
  uint64_t to; /* incarnation of the replica */
  uint8_t *data;
  size_t size_bytes;
} held_message_t;

static void
free_held_message (void *data)
{
  held_message_t *held = data;

  g_free (held->data);
  g_free (held);
}

void
control_send_init (control_server_t *server)
{
  server->held = g_ptr_array_new_with_free_func (free_held_message);
}

void
control_send_free (control_server_t *server)
{
  g_ptr_array_free (server->held, TRUE);
}

static uint8_t *
pack_message (const Lwm__ControlMessage *message, size_t *size_bytes)
{
  uint8_t *data;

  *size_bytes = lwm__control_message__get_packed_size (message);
  data = g_malloc (*size_bytes + 1);
  lwm__control_message__pack (message, data);
  return data;
}

static void
count_sent_message (control_server_t *server, size_t size_bytes)
{
  metric_add (server->counters.messages_out, 1);
  metric_add (server->counters.bytes_out, size_bytes);
}

/** Stores the address of a member that had to make room for other replicas. */
static void
restore_address (control_server_t *server, uint64_t incarnation)
{
  const Lwm__ControlMember *member
      = membership_find (raft_membership (server->raft), incarnation);

  if (member != NULL && !control_peers_has (server->peers, incarnation))
    control_peers_set_address (server->peers, incarnation, member->name,
                               member->address);
}

/** Sends a packed message to @a address or, when it is NULL, to the replica
 * @a incarnation. */
static void
send_to_replica (control_server_t *server,
                 const char *address,
                 uint64_t incarnation,
                 const uint8_t *data,
                 size_t size_bytes)
{
  bool sent;

  if (address == NULL)
    restore_address (server, incarnation);
  sent
      = address != NULL
            ? control_peers_send_to (server->peers, address, data, size_bytes)
            : control_peers_send (server->peers, incarnation, data, size_bytes);

  if (sent)
    count_sent_message (server, size_bytes);
  else
    metric_add (server->counters.dropped, 1);
}

/** Packs a message to another replica.
 * @param introduce whether to include this replica's name and address */
static uint8_t *
pack_peer_message (control_server_t *server,
                   Lwm__ControlPeerMessage *message,
                   bool introduce,
                   size_t *size_bytes)
{
  Lwm__ControlMessage outer = LWM__CONTROL_MESSAGE__INIT;

  message->incarnation = server->incarnation;
  if (introduce)
    {
      message->name = (char *)server->options.name;
      message->address = server->address;
      message->zone = (char *)control_server_zone (server);
    }
  outer.what_case = LWM__CONTROL_MESSAGE__WHAT_PEER;
  outer.peer = message;
  return pack_message (&outer, size_bytes);
}

void
control_server_send_peer (control_server_t *server,
                          Lwm__ControlPeerMessage *message,
                          const char *address,
                          uint64_t incarnation)
{
  size_t size_bytes;
  uint8_t *data = pack_peer_message (server, message, true, &size_bytes);

  send_to_replica (server, address, incarnation, data, size_bytes);
  g_free (data);
}

void
control_send_raft (const Lwm__RaftMessage *raft, bool after_sync, void *context)
{
  control_server_t *server = context;
  Lwm__ControlPeerMessage message = LWM__CONTROL_PEER_MESSAGE__INIT;
  /* Name and address are long compared with a heartbeat, so they are sent only
   * to a replica that may not know them yet. */
  bool introduce = !control_peers_heard_within (
      server->peers, raft->to, clock_mono_ms (), INTRODUCE_AFTER_MS);
  size_t size_bytes;
  uint8_t *data;

  message.raft = (Lwm__RaftMessage *)raft;
  data = pack_peer_message (server, &message, introduce, &size_bytes);
  if (after_sync)
    {
      held_message_t *held = g_new0 (held_message_t, 1);

      held->to = raft->to;
      held->data = data;
      held->size_bytes = size_bytes;
      g_ptr_array_add (server->held, held);
      return;
    }
  send_to_replica (server, NULL, raft->to, data, size_bytes);
  g_free (data);
}

void
control_server_answer (control_server_t *server,
                       const uint8_t *client,
                       size_t client_bytes,
                       Lwm__ControlAnswer *answer)
{
  Lwm__ControlMessage outer = LWM__CONTROL_MESSAGE__INIT;
  mq_frame_t frames[2] = { { .data = client, .size_bytes = client_bytes } };
  size_t size_bytes;
  uint8_t *data;

  answer->name = (char *)server->options.name;
  outer.what_case = LWM__CONTROL_MESSAGE__WHAT_ANSWER;
  outer.answer = answer;
  data = pack_message (&outer, &size_bytes);
  frames[1].data = data;
  frames[1].size_bytes = size_bytes;
  if (mq_send (server->router, frames, 2))
    count_sent_message (server, size_bytes);
  else
    metric_add (server->counters.dropped, 1);
  g_free (data);
}

void
control_send_held (control_server_t *server)
{
  for (guint i = 0; i < server->held->len; i++)
    {
      const held_message_t *held = g_ptr_array_index (server->held, i);

      send_to_replica (server, NULL, held->to, held->data, held->size_bytes);
    }
  g_ptr_array_set_size (server->held, 0);
}
