/**
 * @file gateway-config.h
 * Configuration of a gateway: its routes, services and customers, with lookup
 * functions.
 *
 * A reader fills in the arrays and then calls gateway_config_finalize(), which
 * checks them and builds the indexes. All memory belongs to the configuration's
 * talloc tree.
 */
#ifndef GATEWAY_CONFIG_H
#define GATEWAY_CONFIG_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "caller-server.h"
#include "engine-model.h"

/** States whether a route's requests may be retried. */
typedef enum
{
  ROUTE_SAFE,   /**< idempotent: may run more than once */
  ROUTE_UNSAFE, /**< may run at most once */
  ROUTE_STREAM, /**< an event stream; unsafe unless it can be resumed */
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
  bool is_resumable;      /**< a stream can resume after its last event */
  bool is_public;         /**< requests need no API key */
  uint32_t timeout_ms;    /**< longest deadline, from the arrival */
  uint32_t target_ms;     /**< target time of the answer, or of a stream's
                               first event */
  uint32_t gap_target_ms; /**< target for the longest pause between events */
  uint32_t patience_ms;   /**< callers leave a stream that has had no event for
                               this time; 0: they stay until the deadline */
  uint32_t priority;      /**< 0 is the highest */
  uint32_t attempts;      /**< upstreams to which one request may be sent */
  route_target_t *targets;
  size_t target_count;
} gateway_route_t;

typedef struct
{
  const char *name;
  uint32_t max_connections; /**< of all callers to one upstream */
  double cold_per_s;      /**< requests per second of a cold upstream; 0: any */
  double cold_start_s;    /**< time for which an upstream is cold */
  engine_model_t *engine; /**< NULL: a plain service */
  /** Shortest gap target of the routes to this service, or 0; set by
   * gateway_config_finalize(). */
  uint32_t shortest_gap_ms;
} gateway_service_t;

typedef struct
{
  const char *name;
  uint32_t priority; /**< overrides the route's priority */
  const char **keys; /**< API keys */
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
  bool has_customers; /**< requests need API keys */
  caller_limits_t limits;
  gateway_index_t *index;
} gateway_config_t;

typedef enum
{
  CONFIG_PARSING, /**< more steps are needed */
  CONFIG_PARSED,
  CONFIG_INVALID,
} config_progress_t;

/**
 * Parses a text into a configuration in steps. A step is short enough to run
 * between the events of streams.
 */
typedef struct
{
  /** Discards a configuration that is being read and starts with a new text.
   * @a text must stay valid until the last step. */
  void (*begin) (void *context, const uint8_t *text, size_t size_bytes);
  /**
   * Parses the next part of the text.
   * @param config set with CONFIG_PARSED, a child of @a parent
   * @param why set with CONFIG_INVALID, a child of @a parent
   */
  config_progress_t (*step) (void *context,
                             void *parent,
                             gateway_config_t **config,
                             char **why);
  void *context;
} gateway_config_reader_t;

/** Creates an empty configuration, freed with @a parent (talloc). */
gateway_config_t *gateway_config_new (void *parent);

/**
 * Checks the configuration and builds its indexes.
 * @return an error message, a child of @a config, or NULL if it is valid
 */
const char *gateway_config_finalize (gateway_config_t *config);

/**
 * Returns the route with the longest matching path prefix, or NULL.
 * @param host host name; a port is ignored
 * @param target request target; a query is ignored
 */
const gateway_route_t *gateway_config_route (const gateway_config_t *config,
                                             const char *host,
                                             const char *target);

/** Returns the customer that holds the API key @a key, or NULL. */
const gateway_customer_t *
gateway_config_customer (const gateway_config_t *config, const char *key);

/** Returns the service with this name, or NULL. */
const gateway_service_t *gateway_config_service (const gateway_config_t *config,
                                                 const char *name);

/**
 * Selects a service of the route by weight.
 * @param random a random number that determines the selection
 * @return NULL when the route's weights are all 0
 */
const gateway_service_t *
gateway_config_pick_service (const gateway_config_t *config,
                             const gateway_route_t *route,
                             uint32_t random);

#endif
