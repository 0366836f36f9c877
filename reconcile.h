/**
 * @file reconcile.h
 * Plans the orders that bring the engines of a zone to the copies of weights
 * that the configuration wants. No I/O; reconciler.h sends the orders.
 *
 * Each plan is computed anew from the announced state of the upstreams. The
 * module therefore keeps no state, and repeats an order until an announcement
 * shows its effect. Only models that the configuration lists for the zone are
 * changed.
 */
#ifndef RECONCILE_H
#define RECONCILE_H

#include <stdbool.h>
#include <stddef.h>

#include "config.pb-c.h"
#include "weights.h"

/** Kind of an order. */
typedef enum
{
  RECONCILE_LOAD,
  RECONCILE_UNLOAD,
  RECONCILE_ROLE,
} reconcile_kind_t;

/** An engine as it announces itself. */
typedef struct
{
  const char *upstream;
  const char *zone;
  const char *role; /**< both, prefill or decode */
  const weights_t *loaded;
  size_t loaded_count;
  bool leaving;
  bool busy; /**< an order was sent whose effect is not announced yet */
} reconcile_upstream_t;

/** An order to one upstream. */
typedef struct
{
  reconcile_kind_t kind;
  const char *upstream;
  weights_t weights; /**< weights to load or unload */
  const char *role;  /**< new role, with a role change */
} reconcile_order_t;

/** Input of a plan. */
typedef struct
{
  const Lwm__Config *config;
  const char *zone;
  const reconcile_upstream_t *upstreams;
  size_t upstream_count;
  size_t loads_allowed; /**< weight-store loads that may start now */
} reconcile_options_t;

/**
 * Plans the next orders, at most one per upstream. A copy is unloaded only when
 * every wanted copy of its model is served in the zone.
 * @param count set to the number of orders
 * @return the orders, a child of @a parent (talloc); their strings point into
 * the options
 */
reconcile_order_t *reconcile_plan (void *parent,
                                   const reconcile_options_t *options,
                                   size_t *count);

#endif
