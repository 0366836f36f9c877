/**
 * @file lib-node-routes.h
 * The configuration for the upstreams of lib-node-upstreams.h with engines: the
 * routes of lib-nodes.h, and the resumable streams /resumed/ of the service "s"
 * and /prompt/ of the engines "e".
 */
#ifndef LIB_NODE_ROUTES_H
#define LIB_NODE_ROUTES_H

#include "lib-nodes.h"

/** Tokens of a prompt that one engine holds. */
#define NODE_ROUTES_ENGINE_TOKENS 100000

typedef struct
{
  int version;
  uint32_t timeout_ms; /**< of all routes, 0 for the default */
  bool has_no_streams; /**< without the routes /stream/ and /resumed/ */
  bool has_no_service; /**< without the service of /paused/, and that route */
} node_routes_options_t;

/** Sends the configuration to a control instance; returns the status. */
int node_routes_put (const nodes_t *nodes,
                     int index,
                     const node_routes_options_t *options);

#endif
