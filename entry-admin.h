/**
 * @file entry-admin.h
 * Implements the operations of the administration API at an entry instance: the
 * callbacks of admin.h, which call the instance's other modules.
 */
#ifndef ENTRY_ADMIN_H
#define ENTRY_ADMIN_H

#include <stdbool.h>

#include "admin.h"
#include "config.pb-c.h"
#include "control-client.h"
#include "dispatch.h"
#include "entry-orders.h"
#include "membership.h"
#include "metric.h"
#include "registry.h"

typedef struct entry_admin entry_admin_t;

typedef struct
{
  const char *instance;
  const char *zone;
  dispatch_t *dispatch;
  registry_t *registry;
  metrics_t *metrics;
  membership_t *membership;  /**< source of the instances that status lists */
  control_client_t *control; /**< NULL without a control group */
  entry_orders_t *orders;    /**< NULL without a control group */
  /** Stops or resumes accepting new requests at this instance. */
  void (*drain) (bool draining, void *context);
  /** Returns whether this instance drains or is stopping. */
  bool (*is_draining) (void *context);
  void *context; /**< passed to the callbacks */
} entry_admin_options_t;

/** Creates the API, freed with @a parent (talloc). It must be freed before the
 * dispatcher. */
entry_admin_t *entry_admin_new (void *parent,
                                const entry_admin_options_t *options);

/** Sets the configuration in force, which must stay valid until the next call.
 */
void entry_admin_set_config (entry_admin_t *admin, const Lwm__Config *config);

/** Serves a request under /admin/v1/. Returns false, with the request
 * untouched, when its path is not under /admin/v1/. */
bool entry_admin_serve (entry_admin_t *admin, struct evhttp_request *request);

/** Returns the number of calls that are not answered yet. */
uint32_t entry_admin_open_calls (const entry_admin_t *admin);

#endif
