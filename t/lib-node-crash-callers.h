/**
 * @file lib-node-crash-callers.h
 * Callers of the entry instances for tests of requests that crash their
 * upstreams. They send requests at fixed intervals, whatever the answers are,
 * to the entry instances in turn, each on a connection of its own. If an
 * instance does not listen, the next one is called.
 */
#ifndef LIB_NODE_CRASH_CALLERS_H
#define LIB_NODE_CRASH_CALLERS_H

#include "lib-node-crash-upstreams.h"

typedef struct crash_callers crash_callers_t;

/** A request that was sent, and its answer. */
typedef struct
{
  int series;
  int entry; /**< the entry instance, from 0 */
  int64_t begun_us;
  int64_t ended_us;
  int status;           /**< of a complete answer, else 0 */
  bool is_served;       /**< with 200 and the right body */
  bool is_quarantined;  /**< refused with this error */
  bool has_retry_after; /**< the answer says when to try again */
  char id[CRASH_ID_BYTES];
} crash_call_t;

crash_callers_t *crash_callers_new (const nodes_t *nodes);

/** Begins to send a number of requests in turn, one each @a every_ms; returns
 * the index of the series. */
int crash_callers_add (crash_callers_t *callers,
                       const crash_request_t *requests,
                       int count,
                       uint32_t every_ms);

/** Sends one request, which crash_callers_calls() does not return, to an entry
 * instance, and waits for its answer. */
crash_call_t crash_callers_call (crash_callers_t *callers,
                                 const crash_request_t *request,
                                 int entry);

/** Ends all series and waits for the answers. */
void crash_callers_finish (crash_callers_t *callers);
void crash_callers_free (crash_callers_t *callers);

/** Returns the calls that have ended, as crash_call_t; free with
 * g_array_unref(). */
GArray *crash_callers_calls (crash_callers_t *callers);

/** Returns the entry instance to which the request with an id was sent. */
int crash_callers_entry_of (const char *id);

#endif
