/**
 * @file exchange.h
 * Requests to upstreams over pooled HTTP/1.1 connections, passed on in pieces.
 *
 * A connection is used again only after an answer that ended where it had to:
 * with its request sent in full, nothing after it, and no wish to close. What
 * follows an answer belongs to nobody.
 */
#ifndef EXCHANGE_H
#define EXCHANGE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "http-reader.h"

struct event_base;

typedef struct exchange_pool exchange_pool_t;
typedef struct exchange exchange_t;

/** How an exchange failed. */
typedef enum
{
  EXCHANGE_NOT_SENT,  /**< no byte of the request left: it has not run */
  EXCHANGE_NO_ANSWER, /**< it may have run; no head of an answer came */
  EXCHANGE_BROKEN,    /**< the answer broke off */
} exchange_failure_t;

/** What happens to an exchange; after on_end or on_failed it is gone. */
typedef struct
{
  /** The answer's head. */
  void (*on_head) (exchange_t *exchange, void *context);
  void (*on_body) (exchange_t *exchange,
                   const uint8_t *data,
                   size_t size_bytes,
                   void *context);
  /** The answer is whole. */
  void (*on_end) (exchange_t *exchange, void *context);
  void (*on_failed) (exchange_t *exchange,
                     exchange_failure_t how,
                     void *context);
} exchange_callbacks_t;

typedef struct
{
  struct event_base *base;
  uint32_t connect_timeout_ms;
  uint32_t idle_timeout_ms; /**< of a kept connection whose peer says none */
} exchange_pool_options_t;

typedef struct
{
  const char *address; /**< IP:PORT */
  uint64_t owner;      /**< of the address; kept connections are its alone */
  const char *method;
  const char *target;
  const http_fields_t *fields;
  const uint8_t *body; /**< copied */
  size_t body_bytes;
  bool has_length; /**< say Content-Length also for an empty body */
  bool fresh;      /**< on a new connection */
  const exchange_callbacks_t *callbacks;
  void *context;
} exchange_options_t;

exchange_pool_t *exchange_pool_new (void *parent,
                                    const exchange_pool_options_t *options);

/** Closes kept connections to @a owner. */
void exchange_pool_forget (exchange_pool_t *pool, uint64_t owner);

/** Sends a request; callbacks come later, never from within this call. */
exchange_t *exchange_send (exchange_pool_t *pool,
                           const exchange_options_t *options);

/** Ends it at once by closing its connection; no callback follows. */
void exchange_cancel (exchange_t *exchange);

/** Stops or goes on reading the answer. */
void exchange_hold (exchange_t *exchange, bool hold);

uint32_t exchange_status (const exchange_t *exchange);
const char *exchange_reason (const exchange_t *exchange);
const http_fields_t *exchange_fields (const exchange_t *exchange);

#endif
