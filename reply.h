/**
 * @file reply.h
 * Writes the response of a request to its caller: as server-sent events, as
 * one JSON object, or unchanged as a plain service returned it.
 *
 * A reply reads from the response stored in the request and keeps at most one
 * batch of it in the buffer of the connection. When a slow caller falls too far
 * behind, reading from the upstream pauses, which bounds the memory used.
 */
#ifndef REPLY_H
#define REPLY_H

#include <stdbool.h>
#include <stdint.h>

#include "dispatch.h"

struct evhttp_request;

typedef struct reply reply_t;

/**
 * Called once for each reply, when its response is written or its caller has
 * disconnected.
 */
typedef void (*reply_closed_cb_t) (void *context);

typedef struct
{
  dispatch_t *dispatch;
  struct evhttp_request *http;
  bool is_stream;           /**< write server-sent events */
  uint64_t offset;          /**< first token to write */
  reply_closed_cb_t closed; /**< may be NULL */
  void *context;            /**< passed to closed */
} reply_options_t;

/**
 * Creates a reply and starts to watch the connection for its closing. The reply
 * frees itself when the response is written or the caller has disconnected.
 * @param parent frees the reply early when freed itself (talloc)
 * @param options copied; the objects it points to are not
 */
reply_t *reply_new (void *parent, const reply_options_t *options);

/**
 * Returns the listener for the request that the reply writes, to be passed to
 * dispatch_submit() or dispatch_attach() before reply_start().
 */
request_listener_t reply_listener (reply_t *reply);

/**
 * Starts to write the response of @a request: the available part at once, the
 * rest as it arrives. May free the reply.
 */
void reply_start (reply_t *reply, request_t *request);

#endif
