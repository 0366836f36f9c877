/**
 * @file lib-node-calls.h
 * Single requests to an entry instance at chosen times, on connections that are
 * open from the start, beside the callers of lib-node-callers.h, which records
 * and checks them.
 */
#ifndef LIB_NODE_CALLS_H
#define LIB_NODE_CALLS_H

#include "lib-node-callers.h"

typedef struct
{
  const char *path;
  const char *fields; /**< further lines of the head, or NULL */
  int entry;          /**< the entry instance, from 0 */
  uint32_t begin_ms;  /**< when it is sent */
  uint32_t body_ms;   /**< time in which its body is sent, in chunks; 0: at
                           once */
} node_call_t;

/** Starts a thread for each of a number of equal requests; they are sent
 * @a apart_ms after each other. node_callers_finish() waits for them. */
void node_calls_add (node_callers_t *callers,
                     const node_call_t *call,
                     uint32_t count,
                     uint32_t apart_ms);

/** Counts the requests whose path begins with a text, and those of them that
 * have a whole answer of an upstream. */
typedef struct
{
  uint32_t requests;
  uint32_t served;
} node_calls_count_t;

node_calls_count_t node_calls_count (const node_callers_t *callers,
                                     const char *path);

#endif
