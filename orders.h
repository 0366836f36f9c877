/**
 * @file orders.h
 * Sends orders (load, unload, role) to upstreams. Each order is sent under a
 * lease of the control group with the lease's fencing number, and is signed if
 * the service has an order key.
 */
#ifndef ORDERS_H
#define ORDERS_H

#include <stdbool.h>
#include <stdint.h>

#include "config.pb-c.h"
#include "control-client.h"
#include "metric.h"
#include "registry.h"
#include "upstream.h"
#include "weights.h"

typedef struct orders orders_t;

typedef enum
{
  ORDERS_DONE,        /**< the upstream accepted the order */
  ORDERS_NO_QUORUM,   /**< no lease: the control group was unreachable or
                           refused it */
  ORDERS_HELD,        /**< no lease: another instance holds it */
  ORDERS_NO_UPSTREAM, /**< the registry does not know the upstream */
  ORDERS_REFUSED,     /**< the upstream refused, e.g. a lower fencing number */
  ORDERS_NO_ANSWER,   /**< no answer: the upstream may have accepted it */
  ORDERS_RESULT_COUNT
} orders_result_t;

/** Called once with the result of an order.
 * @param fencing fencing number of the order, or 0 when it was not sent */
typedef void (*orders_done_cb_t) (orders_result_t result,
                                  uint64_t fencing,
                                  void *context);

typedef struct
{
  control_client_t *control;
  registry_t *registry;
  const upstream_ops_t *ops;
  void *ops_context;
  metrics_t *metrics;
  const char *holder; /**< INSTANCE/INCARNATION; must outlive the orders */
} orders_options_t;

/** An order to an upstream. Strings are copied. */
typedef struct
{
  const char *upstream;
  const char *kind; /**< load, unload or role */
  weights_t weights;
  const char *role;
} orders_order_t;

/** Returns an order sender, freed with @a parent (talloc). It must be freed
 * before the control client and the registry. */
orders_t *orders_new (void *parent, const orders_options_t *options);

/** Sets the configuration that holds the services' order keys; it must stay
 * valid until the next call. */
void orders_set_config (orders_t *orders, const Lwm__Config *config);

/** Sends an order; @a done is called once, after this function returns. */
void orders_send (orders_t *orders,
                  const orders_order_t *order,
                  orders_done_cb_t done,
                  void *context);

/** Returns the name of a result, as in metrics and logs. */
const char *orders_result_name (orders_result_t result);

#endif
