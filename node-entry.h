/**
 * @file node-entry.h
 * Runs an entry instance in a deployment of many machines: a gateway that
 * follows the configuration and the directory of the control group, reports
 * when it is ready, and shuts down gracefully, without interrupting open
 * requests.
 */
#ifndef NODE_ENTRY_H
#define NODE_ENTRY_H

#include <stdbool.h>
#include <stdint.h>

#include "gateway.h"
#include "node-settings.h"

struct evhttp_request;

typedef struct node_entry node_entry_t;

typedef struct
{
  node_settings_t *settings; /**< freed by node_entry_run() */
  const gateway_protocol_t *protocol;
  gateway_config_reader_t reader; /**< parses configurations in steps */
  const char *ready_path; /**< path on the status address that answers 200
                               when the instance is ready */
} node_entry_options_t;

/** Runs the instance until it is stopped. Returns the exit code. */
int node_entry_run (void *parent, const node_entry_options_t *options);

#endif
