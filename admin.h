/**
 * @file admin.h
 * Serves the administration API of an entry instance, under /admin/v1/.
 *
 * This module parses routes and checks tokens and their scopes. The operations
 * themselves are callbacks in admin_hooks_t, which entry-admin.h provides.
 * docs/ADMIN-API.md documents every route.
 */
#ifndef ADMIN_H
#define ADMIN_H

#include <json-glib/json-glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "config.pb-c.h"
#include "error.h"
#include "metric.h"

struct evhttp_request;

typedef struct admin admin_t;

/**
 * Reports the result of an asynchronous operation. The operation must call it
 * exactly once.
 * @param kind ERROR_NONE on success
 * @param detail one sentence that explains an error, or NULL
 * @param node answer on success, NULL for an empty object; ownership passes to
 *        the callback
 * @param done_context the value passed to the operation along with the callback
 */
typedef void (*admin_done_cb_t) (error_kind_t kind,
                                 const char *detail,
                                 JsonNode *node,
                                 void *done_context);

/** Returns whether the token holder may read data of a customer. */
typedef bool (*admin_may_read_cb_t) (const char *customer, const void *holder);

/** A change of one member of the control group. */
typedef struct
{
  const char *operation; /**< add, promote or remove */
  const char *name;      /**< the member's name */
  const char *address;   /**< IP:PORT, for add */
} admin_member_t;

/** An operator's order to an upstream. */
typedef struct
{
  const char *upstream;
  const char *kind;  /**< load, unload or role */
  const char *model; /**< for load and unload, as adapter and version */
  const char *adapter;
  const char *version;
  const char *role; /**< new role, for role */
} admin_order_t;

/**
 * The operations behind the API. Those that need the control group (propose,
 * member, order, audit, control) may be NULL, and their routes then answer
 * ERROR_NO_QUORUM. drain_upstream may be NULL, and its route then answers
 * ERROR_NOT_FOUND.
 */
typedef struct
{
  /** Returns the configuration that this instance applies, or NULL. */
  const Lwm__Config *(*config) (void *context);
  /** Returns the state of this instance; the caller owns the node. */
  JsonNode *(*status) (void *context);
  /**
   * Explains how a request was scheduled.
   * @param customer set to the customer that sent the request; unchanged when
   *        the request is unknown
   * @return owned by the caller; NULL when this instance does not know the
   *         request
   */
  JsonNode *(*explain) (const char *request_id,
                        const char **customer,
                        void *context);
  /** Returns the settings of every customer that @a may_read allows; the
   * caller owns the node. */
  JsonNode *(*usage) (admin_may_read_cb_t may_read,
                      const void *holder,
                      void *context);
  /**
   * Proposes a configuration to the control group.
   * @param proposer name of the token or the instance, for the audit
   */
  void (*propose) (const Lwm__Config *config,
                   const char *proposer,
                   admin_done_cb_t done,
                   void *done_context,
                   void *context);
  /** Adds, promotes or removes a member of the control group. */
  void (*member) (const admin_member_t *change,
                  admin_done_cb_t done,
                  void *done_context,
                  void *context);
  /** Sends an order to an upstream. */
  void (*order) (const admin_order_t *order,
                 admin_done_cb_t done,
                 void *done_context,
                 void *context);
  /** Stops or resumes accepting new requests at this instance. */
  error_kind_t (*drain) (bool draining, void *context);
  /** Returns the service of an upstream, or NULL when it is unknown. */
  const char *(*upstream_service) (const char *upstream, void *context);
  /** Stops or resumes sending new requests to an upstream. */
  error_kind_t (*drain_upstream) (const char *upstream,
                                  bool draining,
                                  void *context);
  /** Lists the last changes that were proposed to the control group. */
  void (*audit) (admin_done_cb_t done, void *done_context, void *context);
  /** Describes the control group as one of its replicas sees it. */
  void (*control) (admin_done_cb_t done, void *done_context, void *context);
  void *context; /**< passed to the callbacks */
} admin_hooks_t;

/**
 * Creates the API.
 * @param parent owner (talloc)
 * @param hooks copied
 * @param metrics registry for the counters of calls and refused calls
 */
admin_t *
admin_new (void *parent, const admin_hooks_t *hooks, metrics_t *metrics);

/**
 * Serves a request whose path is under /admin/v1/.
 * @return false when the path is not under /admin/v1/; the request is then
 *         untouched
 */
bool admin_serve (admin_t *admin, struct evhttp_request *request);

/** Returns the number of calls that are not answered yet. */
uint32_t admin_open_calls (const admin_t *admin);

#endif
