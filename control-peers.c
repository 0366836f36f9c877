#include "control-peers.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>
#include <zmq.h>

#include "mq.h"
#include "settings.h"

/** The tables hold more entries than a group has members; the entry that was
 * used longest ago makes room. */
#define MAX_SOCKETS    64
#define MAX_PEERS      128
#define QUEUE_MESSAGES 64 /* limit of unsent messages per socket */

/** The address of a replica, and when its last message arrived. */
typedef struct
{
  uint64_t incarnation;
  char *address;
  uint64_t heard_ms;
  uint64_t used; /* see control_peers_t */
} peer_t;

/** A connection to an address. */
typedef struct
{
  char *address;
  mq_t *mq;
  uint64_t used; /* see control_peers_t */
} socket_t;

struct control_peers
{
  struct event_base *base;
  control_initial_member_t *initial_members;
  size_t initial_member_count;
  GHashTable *sockets; /* address -> socket_t, children of peers */
  GHashTable *peers;   /* incarnation -> peer_t, children of peers */
  uint64_t uses;       /* orders the uses of entries of both tables */
};

static int
free_peers (control_peers_t *peers)
{
  g_hash_table_destroy (peers->sockets);
  g_hash_table_destroy (peers->peers);
  return 0;
}

static int
compare_initial_members (const void *a, const void *b)
{
  const control_initial_member_t *one = a;
  const control_initial_member_t *other = b;

  return strcmp (one->name, other->name);
}

static bool
parse_initial_member (control_peers_t *peers, const char *member, char **why)
{
  control_initial_member_t *initial_member
      = &peers->initial_members[peers->initial_member_count];
  const char *equals = strchr (member, '=');
  char ip[64];
  uint16_t port;

  if (equals == NULL || equals == member
      || !settings_split_address (equals + 1, ip, &port) || port == 0)
    {
      *why = talloc_asprintf (talloc_parent (peers),
                              "member '%s' is not NAME=ADDRESS:PORT", member);
      return false;
    }
  initial_member->name
      = talloc_strndup (peers, member, (size_t)(equals - member));
  initial_member->address = talloc_strdup (peers, equals + 1);
  if (control_peers_address (peers, initial_member->name) != NULL)
    {
      *why = talloc_asprintf (talloc_parent (peers),
                              "member '%s' is given twice",
                              initial_member->name);
      return false;
    }
  peers->initial_member_count++;
  return true;
}

control_peers_t *
control_peers_new (void *parent,
                   const control_peers_options_t *options,
                   char **why)
{
  control_peers_t *peers = talloc_zero (parent, control_peers_t);

  peers->base = options->base;
  peers->sockets = g_hash_table_new (g_str_hash, g_str_equal);
  peers->peers = g_hash_table_new (g_int64_hash, g_int64_equal);
  talloc_set_destructor (peers, free_peers);
  peers->initial_members = talloc_array (peers, control_initial_member_t,
                                         (unsigned)options->member_count + 1);
  for (size_t i = 0; i < options->member_count; i++)
    if (!parse_initial_member (peers, options->members[i], why))
      {
        talloc_free (peers);
        return NULL;
      }
  qsort (peers->initial_members, peers->initial_member_count,
         sizeof *peers->initial_members, compare_initial_members);
  return peers;
}

const control_initial_member_t *
control_peers_initial_members (const control_peers_t *peers, size_t *count)
{
  *count = peers->initial_member_count;
  return peers->initial_members;
}

const char *
control_peers_address (const control_peers_t *peers, const char *name)
{
  for (size_t i = 0; i < peers->initial_member_count; i++)
    if (strcmp (peers->initial_members[i].name, name) == 0)
      return peers->initial_members[i].address;
  return NULL;
}

static void
remove_oldest_peer (control_peers_t *peers)
{
  peer_t *oldest = NULL;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, peers->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (oldest == NULL || ((peer_t *)value)->used < oldest->used)
      oldest = value;
  g_hash_table_remove (peers->peers, &oldest->incarnation);
  talloc_free (oldest);
}

static peer_t *
find_or_add_peer (control_peers_t *peers, uint64_t incarnation)
{
  peer_t *peer = g_hash_table_lookup (peers->peers, &incarnation);

  if (peer != NULL)
    return peer;
  if (g_hash_table_size (peers->peers) >= MAX_PEERS)
    remove_oldest_peer (peers);
  peer = talloc_zero (peers, peer_t);
  peer->incarnation = incarnation;
  g_hash_table_insert (peers->peers, &peer->incarnation, peer);
  return peer;
}

void
control_peers_set_address (control_peers_t *peers,
                           uint64_t incarnation,
                           const char *name,
                           const char *address)
{
  const char *given = control_peers_address (peers, name);
  peer_t *peer;
  char ip[64];
  uint16_t port;

  address = given != NULL ? given : address;
  if (incarnation == 0 || !settings_split_address (address, ip, &port))
    return;
  peer = find_or_add_peer (peers, incarnation);
  peer->used = ++peers->uses;
  if (peer->address != NULL && strcmp (peer->address, address) == 0)
    return;
  talloc_free (peer->address);
  peer->address = talloc_strdup (peer, address);
}

void
control_peers_mark_heard (control_peers_t *peers,
                          uint64_t incarnation,
                          uint64_t now_ms)
{
  peer_t *peer = g_hash_table_lookup (peers->peers, &incarnation);

  if (peer != NULL)
    peer->heard_ms = now_ms;
}

bool
control_peers_heard_within (const control_peers_t *peers,
                            uint64_t incarnation,
                            uint64_t now_ms,
                            uint32_t window_ms)
{
  const peer_t *peer = g_hash_table_lookup (peers->peers, &incarnation);

  return peer != NULL && peer->heard_ms > 0
         && peer->heard_ms + window_ms >= now_ms;
}

static void
close_oldest_socket (control_peers_t *peers)
{
  socket_t *oldest = NULL;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, peers->sockets);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (oldest == NULL || ((socket_t *)value)->used < oldest->used)
      oldest = value;
  g_hash_table_remove (peers->sockets, oldest->address);
  talloc_free (oldest);
}

static socket_t *
open_socket (control_peers_t *peers, const char *address)
{
  socket_t *opened = talloc_zero (peers, socket_t);
  mq_options_t options = { .base = peers->base,
                           .type = ZMQ_DEALER,
                           .connect = address,
                           .queue_messages = QUEUE_MESSAGES };

  opened->address = talloc_strdup (opened, address);
  opened->mq = mq_new (opened, &options);
  if (opened->mq == NULL)
    {
      talloc_free (opened);
      return NULL;
    }
  if (g_hash_table_size (peers->sockets) >= MAX_SOCKETS)
    close_oldest_socket (peers);
  g_hash_table_insert (peers->sockets, opened->address, opened);
  return opened;
}

bool
control_peers_send_to (control_peers_t *peers,
                       const char *address,
                       const uint8_t *data,
                       size_t size_bytes)
{
  socket_t *connected = g_hash_table_lookup (peers->sockets, address);
  mq_frame_t frame = { .data = data, .size_bytes = size_bytes };

  if (connected == NULL)
    connected = open_socket (peers, address);
  if (connected == NULL)
    return false;
  connected->used = ++peers->uses;
  return mq_send (connected->mq, &frame, 1);
}

bool
control_peers_send (control_peers_t *peers,
                    uint64_t incarnation,
                    const uint8_t *data,
                    size_t size_bytes)
{
  peer_t *peer = g_hash_table_lookup (peers->peers, &incarnation);

  if (peer == NULL)
    return false;
  peer->used = ++peers->uses;
  return control_peers_send_to (peers, peer->address, data, size_bytes);
}
