/**
 * @file frontend.h
 * Serves the HTTP routes of an entry instance, for callers and for upstreams.
 *
 * | route | purpose |
 * | --- | --- |
 * | POST /v1/completions | sends a prompt to an engine |
 * | POST /v1/call/SERVICE/PATH | calls a plain service |
 * | POST /v1/announce | registers an upstream and its properties |
 * | GET /v1/requests/ID?offset=N | returns the response from token N on |
 * | GET /v1/explain/ID | returns the history of a request, with reasons |
 *
 * Requests are parsed by intake.h, run by dispatch.h and answered by reply.h.
 * A GET for a request that another instance handled is forwarded to that
 * instance (forward.h).
 */
#ifndef FRONTEND_H
#define FRONTEND_H

#include <stdbool.h>
#include <stdint.h>

#include "config.h"
#include "dispatch.h"
#include "registry.h"

struct evhttp_request;

typedef struct frontend frontend_t;

/**
 * Handles a request of a route.
 * @param rest path after the route's prefix
 */
typedef void (*frontend_route_cb_t) (struct evhttp_request *http,
                                     const char *rest,
                                     void *context);

/** Called after the registry accepted an announcement of an upstream. */
typedef void (*frontend_announced_cb_t) (
    const registry_announcement_t *announcement,
    void *context);

/**
 * Returns the IP:PORT of another instance, valid until the next call; NULL when
 * no request can be forwarded to @a instance, also because it is this one.
 */
typedef const char *(*frontend_address_cb_t) (const char *instance,
                                              void *context);

typedef struct
{
  dispatch_t *dispatch;
  registry_t *registry;
  const char *announce_secret;       /**< secret that announcements must carry;
                                          NULL or "" for none; must stay valid */
  frontend_announced_cb_t announced; /**< may be NULL */
  struct event_base *base;
  frontend_address_cb_t address_of; /**< NULL to forward no request */
  void (*idle) (void *context);     /**< called when the last open reply has
                                         ended; may be NULL */
  void *context;                    /**< passed to the callbacks */
} frontend_options_t;

/**
 * Creates the frontend with its routes.
 * @param parent owner (talloc); must be freed before the daemon and the
 *        dispatcher
 * @param options copied; the objects it points to are not
 */
frontend_t *frontend_new (void *parent, const frontend_options_t *options);

/**
 * Sets the configuration for new requests.
 * @param config not copied; NULL while no configuration is in force, which
 *        refuses new requests with ERROR_NO_CONFIGURATION
 */
void frontend_set_config (frontend_t *frontend, const Lwm__Config *config);

/** Sets whether every new request is refused with ERROR_STOPPING. */
void frontend_set_stopping (frontend_t *frontend, bool stopping);

/** Returns the number of replies that are not completely written yet. */
uint32_t frontend_open_replies (const frontend_t *frontend);

/**
 * Adds a route. The longest matching prefix wins.
 * @param method bit mask of enum evhttp_cmd_type
 * @param prefix path prefix if it ends in '/', else a whole path; not copied
 */
void frontend_add_route (frontend_t *frontend,
                         int method,
                         const char *prefix,
                         frontend_route_cb_t callback,
                         void *context);

/**
 * Passes a request to its route, or refuses it with ERROR_NOT_FOUND. Serves as
 * daemon_options_t.fallback.
 * @param context a frontend_t
 */
void frontend_handle (struct evhttp_request *http, void *context);

#endif
