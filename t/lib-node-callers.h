/**
 * @file lib-node-callers.h
 * Callers of the entry instances for tests of planned stops. Each has a thread
 * and a connection, and records what it sent and got. They connect again after
 * the end of a connection, to the next instance if theirs does not listen,
 * until they are told to finish.
 */
#ifndef LIB_NODE_CALLERS_H
#define LIB_NODE_CALLERS_H

#include "lib-node-upstreams.h"

typedef struct node_callers node_callers_t;

typedef enum
{
  CALLER_BUSY,      /**< small requests of all kinds, one after the other */
  CALLER_STREAMS,   /**< long streams of small events */
  CALLER_PIPELINED, /**< several requests in one write */
  CALLER_CHUNKED,   /**< bodies in chunks that come slowly */
  CALLER_PAUSED,    /**< requests whose upstreams ask for a pause */
  CALLER_IDLE,      /**< a connection that is mostly idle */
  CALLER_SLOW,      /**< one large stream that is read slowly */
  /** Streams of any length with deadlines of many lengths, a quarter of them
   * with bodies in chunks. */
  CALLER_MIXED_STREAMS,
  CALLER_KINDS
} caller_kind_t;

/** The stream of a CALLER_SLOW and how it is read. */
typedef struct
{
  uint32_t events;
  uint32_t event_bytes;
  uint32_t read_bytes;
  uint32_t pause_ms; /**< between two reads */
} slow_read_t;

typedef struct
{
  const nodes_t *nodes;
  uint32_t seed;
  slow_read_t slow;
} node_callers_options_t;

/** A stop of an entry instance that the callers saw. */
typedef struct
{
  int entry; /**< which of the entry instances, from 0 */
  int64_t sigterm_us;
  uint32_t timeout_ms;
  uint32_t frozen_ms; /**< time for which the process was stopped */
} node_stop_t;

/** What the callers got. */
typedef struct
{
  uint32_t requests;
  uint32_t ran;       /**< have run at an upstream */
  uint32_t whole;     /**< whole answers */
  uint32_t refused;   /**< of these, with a status that says "not run" */
  uint32_t failed;    /**< of these, with another failure */
  uint32_t unread;    /**< not answered, not run, and perhaps not read */
  uint32_t after_end; /**< sent on a connection after its last answer */
  uint32_t partial;   /**< not sent whole */
  uint32_t expired;   /**< lost when their deadline came */
  uint32_t exempted;  /**< lost otherwise, which the rules allow */
  uint32_t faults;    /**< requests that were lost or handled wrongly */
} node_outcome_t;

node_callers_t *node_callers_new (const node_callers_options_t *options);
void
node_callers_add (node_callers_t *callers, caller_kind_t kind, uint32_t count);

/** Waits until the callers have got the answers to what they sent. */
void node_callers_finish (node_callers_t *callers);

/** Checks each request against what the upstreams ran, and prints the faults
 * and a summary. */
node_outcome_t node_callers_check (const node_callers_t *callers,
                                   node_upstreams_t *upstreams,
                                   const node_stop_t *stop);

/** Does the same for any number of stops, of several instances. */
node_outcome_t node_callers_check_stops (const node_callers_t *callers,
                                         node_upstreams_t *upstreams,
                                         const node_stop_t *stops,
                                         size_t count);
void node_callers_free (node_callers_t *callers);

/** Makes a request until it is answered with success. */
void node_callers_wait_served (const nodes_t *nodes, const char *path);

#endif
