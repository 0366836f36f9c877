/**
 * @file lib-node-upstreams.h
 * Upstreams of a platform's nodes for tests: they announce themselves, do what
 * the path of a request says, and record what they ran.
 *
 * Paths: /safe/DELAY and /unsafe/DELAY are answered after DELAY milliseconds;
 * /stream/EVENTS/BYTES/GAP is a stream of events with pauses of GAP
 * milliseconds, or as fast as it can be written; /paused/TIME is rejected with
 * 503 and a pause until a millisecond of the steady clock, and is then a short
 * stream.
 */
#ifndef LIB_NODE_UPSTREAMS_H
#define LIB_NODE_UPSTREAMS_H

#include "lib-nodes.h"

typedef struct node_upstreams node_upstreams_t;

/** What the upstreams know of the request with one id. */
typedef struct
{
  uint32_t runs;
  int64_t ended_us;   /**< end of the newest run, 0 while it lasts */
  bool has_been_sent; /**< a whole answer was written by some run */
  bool has_wrong_body;
} node_run_t;

/** Starts three upstreams of the service "s" and one of "p", each with a number
 * of slots. */
node_upstreams_t *node_upstreams_new (const nodes_t *nodes, int slots);

/** Ends the upstreams. The entry instance must have ended. */
void node_upstreams_free (node_upstreams_t *upstreams);

/** Returns what is known of a request. */
node_run_t node_upstreams_find_run (node_upstreams_t *upstreams,
                                    const char *id);

/** Returns the body that belongs to a request, freed with g_free(). */
char *node_upstreams_request_body (const char *id);

/** Returns the whole body of the answer to a request. */
GString *node_upstreams_answer_body (const char *path, const char *id);

#endif
