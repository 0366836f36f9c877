/**
 * @file caller-server.h
 * HTTP/1.1 server for callers, whose requests are forwarded unchanged.
 *
 * A connection has at most one open request. The answer is sent in pieces; an
 * aborted answer never looks complete to the caller. The server reports a
 * closed connection at once, also while its request waits. After the last
 * answer of a connection only the sending side is shut, and what the caller
 * still sends is read for a while.
 */
#ifndef CALLER_SERVER_H
#define CALLER_SERVER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "http-reader.h"
#include "memory-account.h"
#include "metric.h"
#include "shared-bytes.h"

struct event_base;

typedef struct caller_server caller_server_t;
typedef struct caller_request caller_request_t;

/** Limits on the size of a request and on its timing. */
typedef struct
{
  uint32_t max_head_bytes;
  uint64_t max_body_bytes;
  uint32_t head_timeout_ms; /**< longest time from the first byte to the
                               complete head */
  uint32_t idle_timeout_ms; /**< longest idle time between two requests */
} caller_limits_t;

typedef struct
{
  struct event_base *base;
  const char *listen; /**< IP:PORT */
  caller_limits_t limits;
  /** A request is complete and may be answered now or later. */
  void (*on_request) (caller_request_t *request, void *context);
  /** The caller closed the connection; the request is freed after the callback
   * returns. */
  void (*on_gone) (caller_request_t *request, void *context);
  /** Returns the id of a request, for log lines; it may be NULL. */
  const char *(*request_id) (const http_fields_t *fields, void *context);
  /** All data written to the caller has been sent. */
  void (*on_drained) (caller_request_t *request, void *context);
  /** The request holds too much memory: it must be ended now, with an answer or
   * with caller_reply_abort(). */
  void (*on_reclaim) (caller_request_t *request, void *context);
  void *context;
  metrics_t *metrics;
  memory_account_t *memory; /**< of the bytes that callers make it hold; NULL:
                                 no limit */
  uint32_t max_connections; /**< 0: no limit */
} caller_server_options_t;

/**
 * Creates a server and opens its listening socket. The server is freed with
 * @a parent (talloc).
 * @return NULL, after one line on stderr, when the address cannot be bound
 */
caller_server_t *caller_server_new (void *parent,
                                    const caller_server_options_t *options);

/** Sets limits, which apply to new connections at once and to present ones when
 * they are next idle. */
void caller_server_set_limits (caller_server_t *server,
                               const caller_limits_t *limits);

/** Adds "Connection: close" to each answer from now on, except where the next
 * request is there already. */
void caller_server_drain (caller_server_t *server);

/** Closes the listening socket: callers then try another instance at once. */
void caller_server_close_listener (caller_server_t *server);

/** Closes the connections without an open or partly received request and
 * without a part of an answer that is still to be written. */
void caller_server_close_idle (caller_server_t *server);

/** Refuses each request that is partly received, with status 503; its
 * connection is then closed. */
void caller_server_refuse_partial (caller_server_t *server);

/** Returns whether a request is being received or answered, an answer is not
 * written to its connection yet, or a caller may not have received the last
 * answer: one that is closed now could lose it. */
bool caller_server_is_busy (const caller_server_t *server);

/** Returns the number of requests that are being answered. */
uint32_t caller_server_open_requests (const caller_server_t *server);

/** Each of these functions returns a part of the request, which stays valid
 * until the request ends. */
const char *caller_request_method (const caller_request_t *request);
const char *caller_request_target (const caller_request_t *request);
const http_fields_t *caller_request_fields (const caller_request_t *request);
shared_bytes_t *caller_request_body (const caller_request_t *request);

/** Returns when the first byte of the request arrived, on the steady clock. */
uint64_t caller_request_arrived_ms (const caller_request_t *request);

/** These functions set and return a pointer that the user of the server
 * attaches to the request. */
void caller_request_set_data (caller_request_t *request, void *data);
void *caller_request_data (const caller_request_t *request);

/** Sets the id of the request in log lines about its connection. */
void caller_request_set_id (caller_request_t *request, const char *id);

/**
 * Sends the head of the answer.
 * @param fields header fields without hop-by-hop fields
 * (http_field_is_hop_by_hop())
 * @param length_bytes size of the body, or -1 if it is not known yet
 */
void caller_reply_begin (caller_request_t *request,
                         uint32_t status,
                         const char *reason,
                         const http_fields_t *fields,
                         int64_t length_bytes);

/** Sends a piece of the answer's body. */
void caller_reply_data (caller_request_t *request,
                        const void *data,
                        size_t size_bytes);

/** Does the same without a copy. */
void caller_reply_shared (caller_request_t *request, shared_bytes_t *data);

/** States how many bytes the user of the server keeps for the request, such as
 * an answer that is not complete. */
void caller_request_set_kept (caller_request_t *request, size_t size_bytes);

/** Completes the answer; @a request is no longer valid. */
void caller_reply_end (caller_request_t *request);

/** Closes the connection without completing the answer; @a request is no longer
 * valid. */
void caller_reply_abort (caller_request_t *request);

/** Returns the number of answer bytes that are buffered but not sent yet. */
size_t caller_reply_pending_bytes (const caller_request_t *request);

#endif
