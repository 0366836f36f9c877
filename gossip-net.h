/**
 * @file gossip-net.h
 * Sends and receives gossip messages between instances. One ZeroMQ ROUTER
 * socket listens; one DEALER socket per destination address sends and is closed
 * when it is idle.
 *
 * Messages may be lost or delayed, for example by a network partition, so
 * receivers must compare incarnations and versions. The byte counters include
 * the payload and ZeroMQ's frame header but not the TCP/IP headers.
 */
#ifndef GOSSIP_NET_H
#define GOSSIP_NET_H

#include <stdint.h>

#include "gossip.pb-c.h"
#include "metric.h"

struct event_base;

typedef struct gossip_net gossip_net_t;

/** Purpose of a message; the `kind` label of its counters. */
typedef enum
{
  GOSSIP_NET_PROBE,
  GOSSIP_NET_DELTA,
  GOSSIP_NET_SYNC,
  GOSSIP_NET_JOIN,
  GOSSIP_NET_ZONES,
  GOSSIP_NET_CONFIG,
  GOSSIP_NET_OWNERS,
  GOSSIP_NET_EVIDENCE,
  GOSSIP_NET_KIND_COUNT
} gossip_net_kind_t;

/** Called for each received message, which is valid only in the callback. */
typedef void (*gossip_net_message_cb_t) (const Lwm__Gossip *message,
                                         void *context);

typedef struct
{
  struct event_base *base;
  metrics_t *metrics;
  const char *listen; /**< IP:PORT */
  gossip_net_message_cb_t on_message;
  void *context;
} gossip_net_options_t;

/**
 * Starts listening; the result is a talloc child of @a parent.
 * @return NULL, with errno set, when the address cannot be bound
 */
gossip_net_t *gossip_net_new (void *parent,
                              const gossip_net_options_t *options);

/** Sends a message to one address; drops it when the send queue is full. */
void gossip_net_send (gossip_net_t *net,
                      const char *address,
                      gossip_net_kind_t kind,
                      const Lwm__Gossip *message);

/** Sends a message to several addresses and serializes it only once. */
void gossip_net_send_all (gossip_net_t *net,
                          const char *const *addresses,
                          size_t count,
                          gossip_net_kind_t kind,
                          const Lwm__Gossip *message);

/** Closes idle connections. */
void gossip_net_tick (gossip_net_t *net, uint64_t now_ms);

#endif
