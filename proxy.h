/**
 * @file proxy.h
 * A TCP proxy that injects network faults for tests. It has named routes from a
 * listen address to a target address. Each route has its own faults, which can
 * change while connections are open.
 *
 * A cut simulates a network partition: bytes, end of stream and connection
 * attempts are held, nothing is reset, and delivery resumes when the cut is
 * removed. The kernel still accepts a connection during a cut, so the client
 * sees an open connection without data. The order of bytes on a connection
 * never changes, as with TCP.
 */
#ifndef PROXY_H
#define PROXY_H

#include <stdbool.h>
#include <stdint.h>

struct event_base;

typedef struct proxy proxy_t;
typedef struct proxy_route proxy_route_t;

/** The directions in which a route holds all data back. */
typedef enum
{
  PROXY_CUT_NONE,
  PROXY_CUT_IN,  /**< towards the target */
  PROXY_CUT_OUT, /**< from the target */
  PROXY_CUT_BOTH,
} proxy_cut_t;

typedef struct
{
  uint32_t delay_ms;      /**< one-way delay, in each direction */
  uint32_t jitter_ms;     /**< maximum of the random extra delay */
  uint32_t stall_percent; /**< share of the received chunks that stall, as if
                               lost and retransmitted */
  uint32_t stall_ms;      /**< extra delay of a stalled chunk */
  uint64_t bandwidth_bytes_s; /**< limit of the route in each direction; 0 for
                                   none */
  uint64_t truncate_bytes;    /**< each connection is closed after this many
                                   bytes from the target, counted since the
                                   faults were set; 0 for never */
  proxy_cut_t cut;
} proxy_faults_t;

/** Traffic counters of a route since it was added. */
typedef struct
{
  uint64_t bytes_in;       /**< delivered to the target */
  uint64_t bytes_out;      /**< delivered from the target */
  uint64_t held_in_bytes;  /**< held now, towards the target */
  uint64_t held_out_bytes; /**< held now, from the target */
  uint32_t connections;    /**< open now */
  uint64_t accepted;
  uint64_t resets;
  uint64_t truncated;
} proxy_counts_t;

typedef struct
{
  struct event_base *base;
  uint64_t seed;
} proxy_options_t;

/**
 * Returns a proxy without routes, freed with @a parent (talloc). It must be
 * freed before its event loop.
 */
proxy_t *proxy_new (void *parent, const proxy_options_t *options);

/**
 * Adds a route and starts to listen.
 * @param listen IP:PORT
 * @param target IP:PORT
 * @return the route, owned by @a proxy, or NULL with errno set: EEXIST if the
 *         name is in use, otherwise the reason why it cannot listen
 */
proxy_route_t *proxy_add_route (proxy_t *proxy,
                                const char *name,
                                const char *listen,
                                const char *target);

/** Returns the route with @a name, or NULL. */
proxy_route_t *proxy_route (proxy_t *proxy, const char *name);

/** Calls @a visit for every route in the order in which they were added. */
void proxy_each_route (proxy_t *proxy,
                       void (*visit) (proxy_route_t *route, void *context),
                       void *context);

const char *proxy_route_name (const proxy_route_t *route);
const char *proxy_route_listen (const proxy_route_t *route);
const char *proxy_route_target (const proxy_route_t *route);
proxy_faults_t proxy_route_faults (const proxy_route_t *route);
proxy_counts_t proxy_route_counts (const proxy_route_t *route);

/**
 * Replaces the faults of a route. When the new faults no longer cut a
 * direction, the data that was held because of the cut is delivered. Data that
 * already has a delivery time keeps it.
 */
void proxy_route_set_faults (proxy_route_t *route,
                             const proxy_faults_t *faults);

/** Resets both ends of every open connection of the route. */
void proxy_route_reset (proxy_route_t *route);

/** Returns the name of a cut in settings: none, in, out or both. */
const char *proxy_cut_name (proxy_cut_t cut);

/** Sets @a cut by its name; returns false if the name is unknown. */
bool proxy_cut_from_name (const char *name, proxy_cut_t *cut);

#endif
