/**
 * @file tunnel-server.h
 * Relays connections of other entry instances to upstreams, for instances that
 * cannot reach them themselves (upstream-path.h).
 *
 * An instance sends "CONNECT IP:PORT HTTP/1.1" (RFC 9110, section 9.3.6). After
 * the answer 200 all bytes are passed on both ways, those of the upstream in
 * frames, with a message at their end (tunnel-frames.h), so that an answer
 * without a length that broke off does not look complete. To an instance of an
 * earlier version, which asks for no frames, the end of the upstream's data is
 * passed on as an end, and a reset as a reset. Only upstreams that
 * this instance knows are connected to.
 */
#ifndef TUNNEL_SERVER_H
#define TUNNEL_SERVER_H

#include <stdbool.h>
#include <stdint.h>

#include "metric.h"

struct event_base;

typedef struct tunnel_server tunnel_server_t;

/** Statuses of answers to CONNECT other than 200. */
typedef enum
{
  TUNNEL_BAD_REQUEST = 400,
  TUNNEL_UNKNOWN_ADDRESS = 403, /**< no upstream is known there */
  TUNNEL_NOT_CONNECTED = 502,   /**< the upstream accepts no connection */
  TUNNEL_UNAVAILABLE = 503,     /**< this instance relays nothing now */
} tunnel_status_t;

typedef struct
{
  struct event_base *base;
  const char *listen; /**< IP:PORT */
  uint32_t max_tunnels;
  /** Returns whether this instance relays connections now. */
  bool (*may_relay) (void *context);
  /** Returns the key of the upstream at an address, 0 if there is none. */
  uint64_t (*find_upstream) (const char *address, void *context);
  /** A connection to an upstream was established, or failed. */
  void (*on_connect) (uint64_t upstream, bool is_connected, void *context);
  void *context;
  metrics_t *metrics; /**< may be NULL */
} tunnel_server_options_t;

/**
 * Starts to listen; freed with @a parent (talloc).
 * @return NULL, after one line on stderr, when the address cannot be bound
 */
tunnel_server_t *tunnel_server_new (void *parent,
                                    const tunnel_server_options_t *options);

/** Returns the number of tunnels that are open. */
uint32_t tunnel_server_open (const tunnel_server_t *server);

/** Tells the callers that this instance is going to stop. They use their
 * tunnels for no further request. */
void tunnel_server_stop (tunnel_server_t *server);

/** Returns whether requests go on over tunnels, after tunnel_server_stop(). Of
 * callers that get no frames: whether bytes were passed on lately. */
bool tunnel_server_is_busy (const tunnel_server_t *server, uint64_t now_ms);

#endif
