/**
 * @file reconciler.h
 * Keeps the engines of a zone at the copies of weights that the configuration
 * wants: periodically plans orders with reconcile.h and sends them with
 * orders.h, until the announced state agrees with the configuration.
 *
 * Only one instance of a zone does so at a time: the holder of the zone's
 * lease. Each zone may use an equal share of the deployment's limit on
 * weight-store loads. So the sum stays within the limit even during a partition
 * between zones.
 */
#ifndef RECONCILER_H
#define RECONCILER_H

#include <stdbool.h>

#include "config.pb-c.h"
#include "control-client.h"
#include "orders.h"
#include "registry.h"

struct event_base;

typedef struct reconciler reconciler_t;

/** Returns whether this instance may take the zone's lease and send orders
 * now. */
typedef bool (*reconciler_may_order_cb_t) (void *context);

typedef struct
{
  struct event_base *base;
  control_client_t *control;
  registry_t *registry;
  orders_t *orders;
  const char *zone;
  const char *holder; /**< INSTANCE/INCARNATION, must stay valid */
  reconciler_may_order_cb_t may;
  void *context;
} reconciler_options_t;

/** Creates a reconciler, freed with @a parent (talloc). It must be freed before
 * the orders. */
reconciler_t *reconciler_new (void *parent,
                              const reconciler_options_t *options);

/** Sets the configuration in force, which must stay valid until the next
 * call. */
void reconciler_set_config (reconciler_t *reconciler,
                            const Lwm__Config *config);

#endif
