/**
 * @file http-connection.h
 * One connection of a client to an evhttp server: what it makes the process
 * hold, how fast its client is, and its end. See http-connections.h.
 *
 * The connection holds a reference to the bufferevent that evhttp uses, and
 * watches its buffers. From a callback of a buffer, evhttp must not be made to
 * free its connection; it is only marked then, and closed in the next turn of
 * the loop.
 */
#ifndef HTTP_CONNECTION_H
#define HTTP_CONNECTION_H

#include <stdbool.h>
#include <stdint.h>

#include "memory-account.h"
#include "tls.h"

struct bufferevent;
struct event;
struct event_base;

typedef struct http_connection http_connection_t;

/** Why a connection is closed. */
typedef enum
{
  HTTP_CLOSE_NOT,
  HTTP_CLOSE_MEMORY,       /**< the process holds too many bytes */
  HTTP_CLOSE_TOO_LARGE,    /**< a request does not end within the limits */
  HTTP_CLOSE_SLOW_REQUEST, /**< a request arrives too slowly */
  HTTP_CLOSE_SLOW_READER,  /**< an answer is read too slowly */
  HTTP_CLOSE_LIMIT,        /**< others wait to be accepted */
  HTTP_CLOSE_COUNT,
} http_close_t;

/** Returns the name of a reason in log lines and metrics. */
const char *http_close_name (http_close_t reason);

/** Parameters of the connections of a server, which must outlive them. */
typedef struct
{
  struct event_base *base;
  memory_account_t *account;
  tls_t *tls; /**< NULL for plain HTTP */
  uint32_t max_head_bytes;
  uint64_t max_body_bytes;
  /** Activated when http_connection_attend() must be called. */
  struct event *attention;
} http_connection_options_t;

/** Creates a connection for evhttp, freed with @a parent (talloc). */
http_connection_t *
http_connection_new (void *parent, const http_connection_options_t *options);

/** Returns the bufferevent, to which evhttp has a reference of its own. */
struct bufferevent *
http_connection_stream (const http_connection_t *connection);

/** States that a request has arrived whole. */
void http_connection_handle (http_connection_t *connection);

/** Marks the connection if its client is too slow. */
void http_connection_check_times (http_connection_t *connection,
                                  uint64_t now_ms);

/** Returns for how long the connection has had no progress, 0 if it must not be
 * closed for other clients. A connection between two requests, whose client has
 * kept to the rules, counts less. */
uint64_t http_connection_stalled_ms (http_connection_t *connection,
                                     uint64_t now_ms);

/** Marks the connection because other clients wait. */
void http_connection_yield (http_connection_t *connection);

/**
 * Closes the connection if it is marked.
 * @param closed set to the reason if it was closed now, else to HTTP_CLOSE_NOT
 * @return false when it has ended and is to be freed
 */
bool http_connection_attend (http_connection_t *connection,
                             uint64_t now_ms,
                             http_close_t *closed);

#endif
