/**
 * @file gateway-config.h
 * Routes, services and customers of a gateway, and finding them.
 *
 * A reader fills in the arrays and then calls gateway_config_seal(), which
 * checks them and builds the indexes. All belongs to the configuration's
 * talloc tree.
 */
#ifndef GATEWAY_CONFIG_H
#define GATEWAY_CONFIG_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "caller-server.h"
#include "engine-model.h"

/** What may be repeated. */
typedef enum
{
  ROUTE_SAFE,   /**< idempotent: may run more than once */
  ROUTE_UNSAFE, /**< may run once at most */
  ROUTE_STREAM, /**< a stream of events; unsafe unless it may be resumed */
} route_kind_t;

typedef struct
{
  const char *service;
  uint32_t weight;
} route_target_t;

typedef struct
{
  const char *name;
  const char *host;
  const char *path_prefix; /**< begins and ends with '/' */
  route_kind_t kind;
  bool is_resumable;
  bool is_public;         /**< needs no key */
  uint32_t timeout_ms;    /**< longest a request is kept waiting */
  uint32_t target_ms;     /**< of the answer, or of a stream's first event */
  uint32_t gap_target_ms; /**< longest pause between events that is in time */
  uint32_t priority;      /**< 0 is the highest */
  uint32_t attempts;      /**< upstreams one request may be sent to */
  route_target_t *targets;
  size_t target_count;
} gateway_route_t;

typedef struct
{
  const char *name;
  uint32_t max_connections; /**< of all callers to one upstream */
  engine_model_t *engine;   /**< NULL: a plain service */
  /** Shortest pause between events that a route to it aims at, or 0; set by
   * gateway_config_seal(). */
  uint32_t shortest_gap_ms;
} gateway_service_t;

typedef struct
{
  const char *name;
  uint32_t priority; /**< goes before the route's */
  const char **keys;
  size_t key_count;
} gateway_customer_t;

typedef struct gateway_index gateway_index_t;

typedef struct
{
  uint64_t number;
  gateway_route_t *routes;
  size_t route_count;
  gateway_service_t *services;
  size_t service_count;
  gateway_customer_t *customers;
  size_t customer_count;
  bool has_customers; /**< requests need keys */
  caller_limits_t limits;
  gateway_index_t *index;
} gateway_config_t;

typedef enum
{
  CONFIG_READING, /**< there is more to read */
  CONFIG_READ,
  CONFIG_UNREADABLE,
} config_progress_t;

/**
 * Reads texts into configurations, step by step: a step is short enough to be
 * taken between the events of streams.
 */
typedef struct
{
  /** Drops what was begun. @a text must stay until the end is reached. */
  void (*begin) (void *context, const uint8_t *text, size_t size_bytes);
  /**
   * Reads on.
   * @param config set with CONFIG_READ, a child of @a parent
   * @param why set with CONFIG_UNREADABLE, a child of @a parent
   */
  config_progress_t (*step) (void *context,
                             void *parent,
                             gateway_config_t **config,
                             char **why);
  void *context;
} gateway_config_reader_t;

/** An empty one, freed with @a parent (talloc). */
gateway_config_t *gateway_config_new (void *parent);

/**
 * Checks it and builds its indexes.
 * @return what is wrong with it, a child of @a config, or NULL
 */
const char *gateway_config_seal (gateway_config_t *config);

/** The route with the longest prefix for a host and a path, or NULL. */
const gateway_route_t *gateway_config_route (const gateway_config_t *config,
                                             const char *host,
                                             const char *target);

/** The customer that holds @a key, or NULL. */
const gateway_customer_t *
gateway_config_customer (const gateway_config_t *config, const char *key);

const gateway_service_t *gateway_config_service (const gateway_config_t *config,
                                                 const char *name);

/** A service of the route, drawn by weight with @a random. */
const gateway_service_t *gateway_config_draw (const gateway_config_t *config,
                                              const gateway_route_t *route,
                                              uint32_t random);

#endif
