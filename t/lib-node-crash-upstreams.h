/**
 * @file lib-node-crash-upstreams.h
 * Upstreams of the service "s" for tests of requests that crash their
 * upstreams. Each is a stand-in in the test's process. One that crashes closes
 * its listener and all its connections, and comes back some time later as a
 * new incarnation with another id and another address. It announces itself at
 * once.
 *
 * All other requests to /safe/DELAY/... are answered after DELAY milliseconds.
 */
#ifndef LIB_NODE_CRASH_UPSTREAMS_H
#define LIB_NODE_CRASH_UPSTREAMS_H

#include "lib-nodes.h"

#define CRASH_UPSTREAMS_MAX 9
/** Number of requests that crash their upstreams. */
#define CRASH_REQUESTS_MAX 4
/** Longest id of a request, with the end of the text. */
#define CRASH_ID_BYTES 32

typedef struct crash_upstreams crash_upstreams_t;

/** How far the answer to a crashing request comes. */
typedef enum
{
  CRASH_BEFORE_HEAD,
  CRASH_WITHIN_HEAD,
  CRASH_WITHIN_BODY,
} crash_point_t;

/** What makes a request, and how it is sent. */
typedef struct
{
  const char *method;
  const char *path;
  const char *key;      /**< API key, NULL for none */
  const char *customer; /**< that holds the key, NULL for none */
  const GString *body;  /**< NULL for none */
  bool is_chunked;      /**< most calls send it in chunks of varied size */
} crash_request_t;

typedef struct
{
  const nodes_t *nodes;
  int count; /**< number of upstreams */
  int slots; /**< of each of them */
  uint32_t restart_ms;
  const crash_request_t *crashing; /**< requests that crash their upstreams */
  int crashing_count;
  crash_point_t point;
} crash_upstreams_options_t;

/** A run of a crashing request that has begun, or the crash of an upstream at
 * which it ran. A crash is one event for each request that ran. */
typedef struct
{
  int request; /**< its index */
  int64_t time_us;
  char id[CRASH_ID_BYTES]; /**< of the request, "-" for a crash */
} crash_event_t;

crash_upstreams_t *
crash_upstreams_new (const crash_upstreams_options_t *options);
void crash_upstreams_free (crash_upstreams_t *upstreams);

/** Returns the runs of crashing requests in the order of their begin; free with
 * g_array_unref(). */
GArray *crash_upstreams_runs (crash_upstreams_t *upstreams);

/** Returns the crashes in their order; free with g_array_unref(). */
GArray *crash_upstreams_crashes (crash_upstreams_t *upstreams);

/** Returns how many runs of other requests ended with their upstreams. */
int crash_upstreams_cut_runs (crash_upstreams_t *upstreams);

/** Lets an upstream crash, which no request has caused, if it runs requests
 * that do not crash it; returns whether it did. */
bool crash_upstreams_crash (crash_upstreams_t *upstreams, int index);

/** Lets an upstream announce that it leaves, and say so in its answers; it
 * serves on. */
void crash_upstreams_leave (crash_upstreams_t *upstreams, int index);

/** Ends an upstream that leaves, also its runs. It comes back as after a
 * crash. */
void crash_upstreams_close (crash_upstreams_t *upstreams, int index);

#endif
