/**
 * @file proxy-private.h
 * Internal interface between the routes (proxy.c) and the connections
 * (proxy-connection.c) of the fault proxy; only these two include it.
 */
#ifndef PROXY_PRIVATE_H
#define PROXY_PRIVATE_H

#include <event2/listener.h>
#include <glib.h>
#include <sys/socket.h>

#include "proxy.h"

typedef struct proxy_connection proxy_connection_t;

struct proxy_route
{
  proxy_t *proxy;
  char *name;
  char *listen;
  char *target;
  struct sockaddr_storage target_address;
  int target_size;
  struct evconnlistener *listener;
  GHashTable *connections; /* set of proxy_connection_t */
  proxy_faults_t faults;
  proxy_counts_t counts;
  uint64_t busy_in_us; /* time until which the bandwidth limit is used up */
  uint64_t busy_out_us;
};

struct proxy
{
  proxy_options_t options;
  GRand *random;
  GPtrArray *routes;
};

/** Accepts a new connection of the route that is the listener's context. */
void proxy_connection_accept (struct evconnlistener *listener,
                              evutil_socket_t fd,
                              struct sockaddr *address,
                              int size,
                              void *route);

/**
 * Applies changed faults of the route: delivers due data that a removed cut
 * held and restarts the byte count for truncation. It may free the connection.
 */
void proxy_connection_apply_faults (proxy_connection_t *connection);

/** Resets both ends and frees the connection. */
void proxy_connection_reset (proxy_connection_t *connection);

/** Sets the number of bytes that are held in each direction. */
void proxy_connection_held_bytes (const proxy_connection_t *connection,
                                  uint64_t *in_bytes,
                                  uint64_t *out_bytes);

#endif
