/**
 * @file exchange.h
 * HTTP/1.1 client for requests to upstreams, with a pool of idle connections.
 * Answers are delivered in pieces as they arrive.
 *
 * A connection is reused only if the request was sent in full, the answer ended
 * at its proper end with no bytes after it, and neither side asked to close.
 * Bytes after an answer belong to no request. Bytes that an upstream sends only
 * after the next request cannot be told from its answer here: the id in an
 * answer tells them apart. So an answer without an id must not leave a
 * connection for others (close_after), and a request must not go out on a
 * connection that may carry a second answer to the same request
 * (use_new_connection).
 *
 * An answer without a length ends with its connection. It is complete if the
 * upstream shuts its sending side in order and takes the rest of the request;
 * it is broken if the connection fails before the request is written.
 *
 * A request is written once its connection is established, to the upstream or
 * through a relay. Until then another way to the upstream may be tried.
 */
#ifndef EXCHANGE_H
#define EXCHANGE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "http-reader.h"
#include "shared-bytes.h"
#include "upstream-path.h"

struct event_base;

typedef struct exchange_pool exchange_pool_t;
typedef struct exchange exchange_t;

/** How an exchange failed. */
typedef enum
{
  EXCHANGE_NOT_SENT,  /**< no byte was sent: the request has not run */
  EXCHANGE_NO_ANSWER, /**< no answer head arrived; the request may have run */
  EXCHANGE_BROKEN,    /**< the answer is incomplete */
} exchange_failure_t;

/** Callbacks of an exchange, which is freed after on_end or on_failed. */
typedef struct
{
  /** The answer's head has arrived. */
  void (*on_head) (exchange_t *exchange, void *context);
  /** A piece of the answer's body has arrived. */
  void (*on_body) (exchange_t *exchange,
                   const uint8_t *data,
                   size_t size_bytes,
                   void *context);
  /** The answer is complete. */
  void (*on_end) (exchange_t *exchange, void *context);
  /** The exchange failed. */
  void (*on_failed) (exchange_t *exchange,
                     exchange_failure_t how,
                     void *context);
} exchange_callbacks_t;

typedef struct
{
  struct event_base *base;
  uint32_t connect_timeout_ms;
  /** Time an idle connection is kept if its peer states no timeout. */
  uint32_t idle_timeout_ms;
  /** Size of the kernel's receive buffer, which fills while an answer is not
   * read; 0: the kernel chooses. */
  uint32_t receive_buffer_bytes;
  /** Whether connections are opened through a relay, see tunnel-server.h; NULL:
   * never. Records whether connections were established. */
  upstream_path_t *path;
} exchange_pool_options_t;

typedef struct
{
  const char *address; /**< IP:PORT */
  uint64_t owner; /**< key of the upstream at the address; idle connections are
                       reused for the same key only */
  const char *method;
  const char *target;
  const http_fields_t *fields;
  const uint8_t *body; /**< copied */
  size_t body_bytes;
  shared_bytes_t *shared_body; /**< sent without a copy; NULL: body is sent */
  bool always_send_length; /**< send Content-Length also for an empty body */
  bool use_new_connection; /**< do not reuse an idle connection */
  bool close_after;        /**< do not keep the connection after the answer */
  const exchange_callbacks_t *callbacks;
  void *context;
} exchange_options_t;

/** Creates a pool of connections, freed with @a parent (talloc). */
exchange_pool_t *exchange_pool_new (void *parent,
                                    const exchange_pool_options_t *options);

/** Closes all idle connections to the upstream with the key @a owner. */
void exchange_pool_close_idle (exchange_pool_t *pool, uint64_t owner);

/** Closes all idle connections. */
void exchange_pool_close_all_idle (exchange_pool_t *pool);

/** Sends a request; callbacks are never called from within this function. */
exchange_t *exchange_send (exchange_pool_t *pool,
                           const exchange_options_t *options);

/** Cancels an exchange and closes its connection; no callback follows. */
void exchange_cancel (exchange_t *exchange);

/** Closes the connection after the answer, like the option close_after. */
void exchange_close_after (exchange_t *exchange);

/** Pauses or resumes reading the answer. */
void exchange_set_paused (exchange_t *exchange, bool is_paused);

/** Returns, in on_end and on_failed, whether the peer has closed or reset the
 * connection, as it does when its process ends. An invalid answer does not show
 * this, nor a peer that cannot be reached any more. */
bool exchange_was_closed (const exchange_t *exchange);

/** Return parts of the answer's head, valid until the exchange ends. */
uint32_t exchange_status (const exchange_t *exchange);
const char *exchange_reason (const exchange_t *exchange);
const http_fields_t *exchange_fields (const exchange_t *exchange);

#endif
