/**
 * @file entry-orders.h
 * Sends an entry instance's orders to upstreams: orders from the operator, and
 * orders that keep the number of copies in its zone at the number that the
 * configuration demands.
 */
#ifndef ENTRY_ORDERS_H
#define ENTRY_ORDERS_H

#include "admin.h"
#include "config.pb-c.h"
#include "control-client.h"
#include "membership.h"
#include "registry.h"
#include "upstream.h"

typedef struct entry_orders entry_orders_t;

typedef struct
{
  struct event_base *base;
  control_client_t *control;
  registry_t *registry;
  membership_t *membership;
  const upstream_ops_t *ops;
  void *ops_context;
  metrics_t *metrics;
  const char *instance; /**< part of the holder name of order leases */
  const char *zone;     /**< zone whose copies are reconciled */
} entry_orders_options_t;

/** Creates the module, freed with @a parent (talloc). It must be freed before
 * the objects that the options point to. */
entry_orders_t *entry_orders_new (void *parent,
                                  const entry_orders_options_t *options);

/** Sets the configuration in force, which must stay valid until the next call.
 */
void entry_orders_set_config (entry_orders_t *orders,
                              const Lwm__Config *config);

/** Sends an operator's order and reports the result through @a done, as
 * admin_hooks_t.order does. */
void entry_orders_send (entry_orders_t *orders,
                        const admin_order_t *order,
                        admin_done_cb_t done,
                        void *done_context);

#endif
