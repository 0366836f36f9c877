/**
 * @file node-control.h
 * A control instance on a deployment of many machines: a replica of the control
 * group, with calls for operators and upstreams on an HTTP address.
 */
#ifndef NODE_CONTROL_H
#define NODE_CONTROL_H

#include <stddef.h>
#include <stdint.h>

#include "directory.h"
#include "error.h"
#include "node-settings.h"

struct evhttp_request;

typedef struct node_control node_control_t;

typedef struct
{
  node_settings_t *settings;
  /** An HTTP call came; it is answered now or later. */
  void (*on_call) (node_control_t *control, struct evhttp_request *request);
} node_control_options_t;

/** Runs until it is stopped; returns the exit code. */
int node_control_run (void *parent, const node_control_options_t *options);

/** The end of a call to the group; valid only in the callback. */
typedef struct
{
  error_kind_t kind;   /**< ERROR_NONE when it is done */
  uint64_t number;     /**< of the configuration */
  const uint8_t *text; /**< of the configuration, when it was asked for */
  size_t text_bytes;
} node_control_answer_t;

typedef void (*node_control_done_cb_t) (const node_control_answer_t *answer,
                                        void *context);

/**
 * Proposes a configuration that was checked. One that is not above the present
 * one is accepted and changes nothing; ERROR_NUMBER_CONFLICT says that its
 * number has other content.
 */
void node_control_apply (node_control_t *control,
                         uint64_t number,
                         const uint8_t *text,
                         size_t text_bytes,
                         node_control_done_cb_t done,
                         void *context);

/** Reads the last configuration, confirmed by a quorum. */
void node_control_read (node_control_t *control,
                        node_control_done_cb_t done,
                        void *context);

/** What an upstream says of itself. */
directory_result_t
node_control_announce (node_control_t *control,
                       const directory_statement_t *statement);

void
node_control_leave (node_control_t *control, const char *id, uint64_t born_ms);

#endif
