/**
 * @file lib-node-beside.h
 * One entry instance and its upstreams, shared by the cases of a test program
 * that stop the instance beside other events. LWM_BESIDE_ROUNDS sets how often
 * a case stops it, and LWM_BESIDE_SEED the seed of what is drawn.
 */
#ifndef LIB_NODE_BESIDE_H
#define LIB_NODE_BESIDE_H

#include "lib-node-calls.h"
#include "lib-node-routes.h"

/** How many requests there are of a kind. */
#define NODE_BESIDE_FEW 3
/** When SIGTERM is sent, after the first requests. */
#define NODE_BESIDE_SIGTERM_MS 800

/** The processes that all cases share; each case stops the entry instance. */
typedef struct
{
  nodes_t *nodes;
  node_upstreams_t *upstreams;
  int version; /* of the newest configuration */
} node_beside_t;

/** Returns a number of the environment, or @a value. */
uint32_t node_beside_number (const char *name, uint32_t value);

/** Starts what is not running yet, and waits until all kinds are served. */
node_beside_t *node_beside_set_up (uint32_t stop_timeout_s);

/** Ends all processes; called once, after the last case. */
void node_beside_tear_down (void);

process_t *node_beside_entry (const node_beside_t *fixture);

/** Puts a configuration with the next version in force. */
void node_beside_put_routes (node_beside_t *fixture,
                             node_routes_options_t options);

node_callers_t *node_beside_callers (const node_beside_t *fixture,
                                     uint32_t seed);

/** Adds a number of each of the requests, which are all served if the stop
 * takes nothing from them. */
void node_beside_add_calls (node_callers_t *callers,
                            const node_call_t *calls,
                            size_t count,
                            uint32_t each);

/** Returns how many of the requests were not served, and prints which. */
uint32_t node_beside_count_unserved (const node_callers_t *callers,
                                     const node_call_t *calls,
                                     size_t count);

/** Sends SIGTERM. */
node_stop_t node_beside_begin_stop (const node_beside_t *fixture);

/** Returns the time since SIGTERM. */
uint32_t node_beside_passed_ms (const node_stop_t *stop);

/** Waits until a time after SIGTERM. */
void node_beside_wait_until (const node_stop_t *stop, uint32_t time_ms);

/** Waits for the end of the process, which is killed when its stop timeout is
 * over, and checks what the callers got; returns the number of faults. */
uint32_t node_beside_finish (const node_beside_t *fixture,
                             node_callers_t *callers,
                             const node_stop_t *stop);

#endif
