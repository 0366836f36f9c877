/**
 * @file node-entry.h
 * An entry instance on a deployment of many machines: a gateway that follows
 * the control group's configuration and directory, says when it is ready, and
 * stops without cutting anything.
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
  node_settings_t *settings;
  const gateway_protocol_t *protocol;
  gateway_config_reader_t reader;
  const char *ready_path; /**< on the status address: 200 when ready */
} node_entry_options_t;

/** Runs until it is stopped; returns the exit code. */
int node_entry_run (void *parent, const node_entry_options_t *options);

#endif
