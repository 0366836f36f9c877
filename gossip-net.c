#include "gossip-net.h"

#include <glib.h>
#include <stdio.h>
#include <talloc.h>
#include <zmq.h>

#include "base.h"
#include "message.h"
#include "mq.h"

/* Limit of unsent messages for a peer that does not receive. */
#define MAX_QUEUED_MESSAGES 64
/* Time after which an unused connection is closed. */
#define PEER_IDLE_TIMEOUT_MS     120000
#define MAX_MESSAGE_BYTES        (1024 * 1024)
#define SHORT_FRAME_HEADER_BYTES 2 /* header of a short ZeroMQ frame */
#define LONG_FRAME_HEADER_BYTES  9
#define MAX_SHORT_FRAME_BYTES    255

typedef struct
{
  mq_t *socket;
  uint64_t used_at_ms;
} peer_t;

struct gossip_net
{
  gossip_net_options_t options;
  mq_t *socket;
  GHashTable *peers; /* address to peer_t */
  uint64_t swept_at_ms;
  metric_t *sent_bytes[GOSSIP_NET_KIND_COUNT];
  metric_t *sent_messages[GOSSIP_NET_KIND_COUNT];
  metric_t *received_bytes;
  metric_t *received_messages;
  metric_t *dropped;
  metric_t *malformed;
};

static const char *const kind_names[GOSSIP_NET_KIND_COUNT]
    = { "probe", "delta",  "sync",   "join",
        "zones", "config", "owners", "evidence" };

static uint64_t
framed_bytes (size_t size_bytes)
{
  return size_bytes
         + (size_bytes > MAX_SHORT_FRAME_BYTES ? LONG_FRAME_HEADER_BYTES
                                               : SHORT_FRAME_HEADER_BYTES);
}

static void
on_frames (const mq_frame_t *frames, size_t count, void *context)
{
  gossip_net_t *net = context;
  const mq_frame_t *body = &frames[count - 1];
  Lwm__Gossip *message = NULL;

  /* A ROUTER socket prepends a frame with the sender's routing id. */
  if (count == 2 && body->size_bytes <= MAX_MESSAGE_BYTES)
    message = message_unpack (net, &lwm__gossip__descriptor, body->data,
                              body->size_bytes);
  if (message == NULL)
    {
      metric_add (net->malformed, 1);
      return;
    }
  metric_add (net->received_messages, 1);
  metric_add (net->received_bytes, framed_bytes (body->size_bytes));
  net->options.on_message (message, net->options.context);
  talloc_free (message);
}

static void
add_metrics (gossip_net_t *net)
{
  metrics_t *metrics = net->options.metrics;
  char labels[32];

  for (int i = 0; i < GOSSIP_NET_KIND_COUNT; i++)
    {
      snprintf (labels, sizeof labels, "kind=\"%s\"", kind_names[i]);
      net->sent_bytes[i] = metrics_counter (
          metrics, "lwm_gossip_sent_bytes_total",
          "Gossip bytes sent, without TCP/IP headers.", labels);
      net->sent_messages[i]
          = metrics_counter (metrics, "lwm_gossip_sent_messages_total",
                             "Gossip messages sent.", labels);
    }
  net->received_bytes = metrics_counter (
      metrics, "lwm_gossip_received_bytes_total",
      "Gossip bytes received, without TCP/IP headers.", NULL);
  net->received_messages
      = metrics_counter (metrics, "lwm_gossip_received_messages_total",
                         "Gossip messages received.", NULL);
  net->dropped
      = metrics_counter (metrics, "lwm_gossip_dropped_messages_total",
                         "Gossip messages a full queue dropped.", NULL);
  net->malformed
      = metrics_counter (metrics, "lwm_gossip_malformed_messages_total",
                         "Gossip messages that could not be read.", NULL);
}

static int
free_net (gossip_net_t *net)
{
  g_hash_table_destroy (net->peers);
  return 0;
}

gossip_net_t *
gossip_net_new (void *parent, const gossip_net_options_t *options)
{
  gossip_net_t *net = talloc_zero (parent, gossip_net_t);
  mq_options_t socket = { .base = options->base,
                          .type = ZMQ_ROUTER,
                          .bind = options->listen,
                          .on_message = on_frames,
                          .context = net };

  net->options = *options;
  net->peers = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  talloc_set_destructor (net, free_net);
  add_metrics (net);
  net->socket = mq_new (net, &socket);
  if (net->socket == NULL)
    TALLOC_FREE (net);
  return net;
}

static peer_t *
find_or_connect_peer (gossip_net_t *net, const char *address)
{
  peer_t *peer = g_hash_table_lookup (net->peers, address);
  mq_options_t socket = { .base = net->options.base,
                          .type = ZMQ_DEALER,
                          .connect = address,
                          .queue_messages = MAX_QUEUED_MESSAGES };

  if (peer != NULL)
    return peer;
  peer = talloc_zero (net, peer_t);
  peer->socket = mq_new (peer, &socket);
  if (peer->socket == NULL)
    {
      talloc_free (peer);
      return NULL;
    }
  g_hash_table_insert (net->peers, g_strdup (address), peer);
  return peer;
}

static void
send_packed (gossip_net_t *net,
             const char *address,
             gossip_net_kind_t kind,
             const mq_frame_t *frame)
{
  peer_t *peer
      = address[0] != '\0' ? find_or_connect_peer (net, address) : NULL;

  if (peer == NULL || !mq_send (peer->socket, frame, 1))
    {
      metric_add (net->dropped, 1);
      return;
    }
  peer->used_at_ms = clock_mono_ms ();
  metric_add (net->sent_messages[kind], 1);
  metric_add (net->sent_bytes[kind], framed_bytes (frame->size_bytes));
}

void
gossip_net_send_all (gossip_net_t *net,
                     const char *const *addresses,
                     size_t count,
                     gossip_net_kind_t kind,
                     const Lwm__Gossip *message)
{
  mq_frame_t frame;
  uint8_t *data = message_pack (net, &message->base, &frame.size_bytes);

  frame.data = data;
  for (size_t i = 0; i < count; i++)
    send_packed (net, addresses[i], kind, &frame);
  talloc_free (data);
}

void
gossip_net_send (gossip_net_t *net,
                 const char *address,
                 gossip_net_kind_t kind,
                 const Lwm__Gossip *message)
{
  gossip_net_send_all (net, &address, 1, kind, message);
}

void
gossip_net_tick (gossip_net_t *net, uint64_t now_ms)
{
  GHashTableIter iter;
  void *value;

  if (now_ms < net->swept_at_ms + PEER_IDLE_TIMEOUT_MS / 4)
    return;
  net->swept_at_ms = now_ms;
  g_hash_table_iter_init (&iter, net->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      peer_t *peer = value;

      if (now_ms > peer->used_at_ms + PEER_IDLE_TIMEOUT_MS)
        {
          g_hash_table_iter_remove (&iter);
          talloc_free (peer);
        }
    }
}
