/**
 * @file forward.h
 * Forwards a caller's GET request to another instance and streams the response
 * back. Needed to fetch finished responses and explanations, which only the
 * instance that handled the request keeps.
 */
#ifndef FORWARD_H
#define FORWARD_H

#include <stdbool.h>

#include "reply.h"

struct event_base;
struct evhttp_request;

typedef struct
{
  struct event_base *base;
  struct evhttp_request *http; /**< the caller's request */
  const char *address;         /**< IP:PORT of the other instance */
  reply_closed_cb_t closed;    /**< called once, when the response is written
                                    or the caller has disconnected */
  void *context;               /**< passed to closed */
} forward_options_t;

/**
 * Returns whether another instance forwarded this request. Such a request must
 * not be forwarded again, which prevents forwarding loops.
 */
bool forward_is_forwarded (struct evhttp_request *http);

/**
 * Starts to forward the request. When the other instance cannot be reached, or
 * sends no valid response, the caller gets ERROR_NO_UPSTREAM.
 * @param parent frees the forwarding state early when freed itself (talloc);
 *        otherwise the state is freed just before options.closed is called
 * @param options copied; address is only read during the call
 */
void forward_start (void *parent, const forward_options_t *options);

#endif
