/**
 * @file lib-node-callers-internal.h
 * The record of a request, shared by the two files of the callers.
 */
#ifndef LIB_NODE_CALLERS_INTERNAL_H
#define LIB_NODE_CALLERS_INTERNAL_H

#include "lib-node-callers.h"

/** Time that callers give their requests, if they have no other. */
#define CALLERS_DEADLINE_MS 12000

typedef struct
{
  caller_kind_t caller;
  int entry; /* the entry instance that it was sent to, from 0 */
  uint32_t deadline_ms;
  char *id;
  char *path;
  int64_t begun_us;
  int64_t sent_us;  /* when its last byte was sent, 0 if it was not */
  int64_t ended_us; /* when the answer was whole or the connection ended */
  int status;       /* of the answer, 0 for none */
  bool is_whole;
  bool is_right;     /* a success has the id and the body that belong to it */
  bool is_after_end; /* sent on a connection whose last answer came before */
  size_t got_bytes;  /* of the body */
} caller_record_t;

struct node_callers
{
  node_callers_options_t options;
  char *host;
  GPtrArray *threads;
  GMutex lock;
  GPtrArray *records; /* caller_record_t */
  gint is_over;
};

#endif
