/**
 * @file lib-node-upstreams.h
 * Upstreams of a platform's nodes for tests: they announce themselves, do what
 * the path of a request says, and record what they ran.
 *
 * Paths: /safe/DELAY and /unsafe/DELAY are answered after DELAY milliseconds;
 * /stream/EVENTS/BYTES/GAP is a stream of events with pauses of GAP
 * milliseconds, or as fast as it can be written; /resumed/... and /prompt/...
 * are such streams that go on after the last event that the request names;
 * /paused/TIME is rejected with 503 and a pause until a millisecond of the
 * steady clock, and is then a short stream.
 *
 * A path may end in /close (the answer has no length and ends with its
 * connection), /break/EVENTS (the first run breaks off in the event after
 * these), /silent/EVENTS/MS (the first run pauses after these) and
 * /silent/EVENTS/MS/alone (which also rejects all later attempts).
 */
#ifndef LIB_NODE_UPSTREAMS_H
#define LIB_NODE_UPSTREAMS_H

#include "lib-nodes.h"

typedef struct node_upstreams node_upstreams_t;

/** What the upstreams know of the request with one id. */
typedef struct
{
  uint32_t runs;
  int64_t ended_us;    /**< end of the newest run, 0 while it lasts */
  bool has_been_sent;  /**< a whole answer was written by some run */
  bool has_broken_off; /**< some run broke off by itself */
  bool has_wrong_body;
} node_run_t;

typedef struct
{
  const nodes_t *nodes;
  int slots;        /**< of each upstream */
  bool has_engines; /**< there are three upstreams of the service "e" too */
  /** One order in this number gets no answer, though it is carried out; 0 for
   * none. */
  uint32_t unanswered_orders;
} node_upstreams_options_t;

/** What the upstreams know of the memory that was reserved at them. */
typedef struct
{
  uint32_t reserve_orders;
  uint32_t release_orders;
  uint32_t held;     /**< reservations whose lease goes on */
  uint32_t used_ran; /**< requests that ran with reservations */
} node_memory_t;

/** Starts three upstreams of the service "s", one of "p", and others. */
node_upstreams_t *
node_upstreams_new_with (const node_upstreams_options_t *options);

/** Does the same with default options and a number of slots. */
node_upstreams_t *node_upstreams_new (const nodes_t *nodes, int slots);

/** Ends the upstreams. The entry instances must have ended. */
void node_upstreams_free (node_upstreams_t *upstreams);

/** Returns what is known of a request. */
node_run_t node_upstreams_find_run (node_upstreams_t *upstreams,
                                    const char *id);

/** Returns what is known of reserved memory. */
node_memory_t node_upstreams_memory (node_upstreams_t *upstreams);

/** Lets an upstream of "s" leave, from 0 to 2, or be there again: one that
 * leaves says so when it announces itself and in its answers, and serves on. */
void node_upstreams_set_leaving (node_upstreams_t *upstreams,
                                 int index,
                                 bool is_leaving);

/** Returns how many requests an upstream has begun to run; the upstreams of "s"
 * are 0 to 2, that of "p" is 3 and those of "e" are 4 to 6. */
int node_upstreams_runs (node_upstreams_t *upstreams, int index);

/** Returns the body that belongs to a request, freed with g_free(). */
char *node_upstreams_request_body (const char *id);

/** Returns the whole body of the answer to a request. */
GString *node_upstreams_answer_body (const char *path, const char *id);

#endif
