/**
 * @file node-control.h
 * Runs a control instance in a deployment of many machines: a replica of the
 * control group that also serves HTTP calls of operators and upstreams.
 */
#ifndef NODE_CONTROL_H
#define NODE_CONTROL_H

#include <glib.h>
#include <stddef.h>
#include <stdint.h>

#include "directory.h"
#include "error.h"
#include "node-settings.h"

struct evhttp_request;

typedef struct node_control node_control_t;

typedef struct
{
  node_settings_t *settings; /**< freed by node_control_run() */
  /** Handles an HTTP call, which may be answered after it returns. */
  void (*on_call) (node_control_t *control, struct evhttp_request *request);
} node_control_options_t;

/** Runs the instance until it is stopped. Returns the exit code. */
int node_control_run (void *parent, const node_control_options_t *options);

/** The result of a call to the control group; valid only in the callback. */
typedef struct
{
  error_kind_t kind; /**< ERROR_NONE on success */
  uint64_t number;   /**< number of the configuration in force, 0
                        for none */
  GBytes *text;      /**< text of the configuration, which all answers share;
                        NULL when the answer does not carry it */
} node_control_answer_t;

/** Receives the result of a call. */
typedef void (*node_control_done_cb_t) (const node_control_answer_t *answer,
                                        void *context);

/**
 * Proposes a configuration, which the caller has validated. A configuration
 * whose number is not higher than the present one is accepted and changes
 * nothing.
 * ERROR_NUMBER_CONFLICT means that the number is in use with other content,
 * ERROR_QUEUE_FULL that too many calls wait for the group.
 */
void node_control_apply (node_control_t *control,
                         uint64_t number,
                         const uint8_t *text,
                         size_t text_bytes,
                         node_control_done_cb_t done,
                         void *context);

/** Reads the last configuration, which a quorum confirms. ERROR_QUEUE_FULL
 * means that too many calls wait for the group. */
void node_control_read (node_control_t *control,
                        node_control_done_cb_t done,
                        void *context);

/**
 * Orders that the upstreams of an availability zone get no new requests, or
 * revokes that. It has succeeded once the order is durable at a quorum.
 * ERROR_NOT_FOUND means that the settings have no such zone.
 */
void node_control_order_zone (node_control_t *control,
                              const char *zone,
                              bool is_drained,
                              node_control_done_cb_t done,
                              void *context);

/** Passes an upstream's announcement to the directory of the control group. */
directory_result_t
node_control_announce (node_control_t *control,
                       const directory_statement_t *statement);

/**
 * Reports to the directory of this control instance that the upstream @a id
 * ends.
 * @param born_ms wall-clock time of the upstream's start, 0 for the last known
 * start
 * @return ERROR_NONE once this is on record, also across a restart of this
 * instance; otherwise the upstream must report to another one
 */
error_kind_t
node_control_leave (node_control_t *control, const char *id, uint64_t born_ms);

#endif
