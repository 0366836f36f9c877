/**
 * @file http-connections.h
 * Bounds what the clients of an evhttp server make the process hold: the number
 * of connections, the bytes in their buffers and requests, and the time in
 * which a request must arrive and an answer must be taken.
 *
 * evhttp reports neither a new connection nor the end of one. This module
 * therefore creates the bufferevents of the server, watches their buffers, and
 * keeps a reference to each. A connection that evhttp has freed is read for a
 * moment longer, so that its client can read an answer that was sent while it
 * was still sending: a close with unread bytes would reset the connection.
 */
#ifndef HTTP_CONNECTIONS_H
#define HTTP_CONNECTIONS_H

#include <stdint.h>

#include "memory-account.h"
#include "metric.h"
#include "tls.h"

struct event_base;
struct evhttp;
struct evhttp_bound_socket;
struct evhttp_request;

typedef struct http_connections http_connections_t;

/** Parameters of http_connections_new(). */
typedef struct
{
  struct event_base *base;
  struct evhttp *http; /**< must have no connection yet */
  memory_account_t *account;
  metrics_t *metrics;
  tls_t *tls;               /**< NULL for plain HTTP */
  uint32_t max_connections; /**< 0: no limit */
  uint32_t max_head_bytes;
  uint64_t max_body_bytes;
} http_connections_options_t;

/**
 * Sets the limits of the server and watches its connections.
 * @return freed with @a parent (talloc), which must be after the server and
 * before the loop
 */
http_connections_t *
http_connections_new (void *parent, const http_connections_options_t *options);

/** Watches the listening socket, on which no connection is accepted while there
 * are as many as allowed. */
void http_connections_listen (http_connections_t *connections,
                              struct evhttp_bound_socket *socket);

/** States that @a request has arrived whole. Must be called before it is
 * answered. */
void http_connections_handle (http_connections_t *connections,
                              struct evhttp_request *request);

/**
 * Returns how many clients may be connected to the main listener of a process
 * that may open @a max_descriptors: half of what is left after the files, so
 * that upstreams, peers and the log keep the other half.
 * @return 0, no limit, for 0
 */
uint32_t http_connections_share (uint32_t max_descriptors);

/** Returns the same for a listener beside the main one, which takes a small
 * part of the other half. */
uint32_t http_connections_small_share (uint32_t max_descriptors);

/** Returns how many bytes the clients of the main listener may make a process
 * hold on a machine with @a memory_mb: a third. Returns 0, no limit, for 0. */
uint64_t http_connections_memory_limit (uint32_t memory_mb);

/** Returns the same for a listener beside the main one, whose clients have an
 * account of their own: they are served also when the main one is full. */
uint64_t http_connections_small_memory_limit (uint32_t memory_mb);

#endif
