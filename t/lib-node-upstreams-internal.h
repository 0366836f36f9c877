/**
 * @file lib-node-upstreams-internal.h
 * Shared by lib-node-upstreams.c (listening, announcements and records),
 * lib-node-serve.c (requests) and lib-node-orders.c (reserved memory).
 */
#ifndef LIB_NODE_UPSTREAMS_INTERNAL_H
#define LIB_NODE_UPSTREAMS_INTERNAL_H

#include "lib-http-socket.h"
#include "lib-node-upstreams.h"

#define NODE_UPSTREAMS_LOOK_MS                                                 \
  50 /* between looks at whether the test is over */
#define NODE_UPSTREAMS_MAX 7

typedef struct
{
  node_upstreams_t *all;
  char id[16];
  const char *service;
  char *address;
  int slots;
  int sequence;
  int listener;
  gint is_leaving;
  gint runs; /* requests that it began to run */
  GThread *thread;
} node_upstream_t;

struct node_upstreams
{
  node_upstreams_options_t options;
  node_upstream_t upstreams[NODE_UPSTREAMS_MAX];
  int count;
  GThread *announcer;
  GMutex lock;
  GHashTable *runs;    /* id of a request -> node_run_t */
  GHashTable *tickets; /* id of a reservation -> end of its lease, int64_t */
  node_memory_t memory;
  gint orders;
  gint connections; /* threads that serve one */
  gint is_over;
};

/** A request that is being served. */
typedef struct
{
  node_upstream_t *upstream;
  http_socket_t *socket;
  http_message_t request;
  char *path;
  char *id;
} node_served_t;

bool node_upstreams_is_over (node_upstreams_t *all);

/** Returns the record of a request; the lock is held. */
node_run_t *node_upstreams_record (node_upstreams_t *all, const char *id);

/** Serves the requests of an accepted connection in a thread of its own. */
void node_serve_connection (node_upstream_t *upstream, int fd);

/** Answers an order; returns false if the connection has ended. */
bool node_orders_serve (const node_served_t *served);

/** Counts a request that comes with reservations. */
void node_orders_count_use (const node_served_t *served);

#endif
