/**
 * @file upstream-path.h
 * Decides whether this instance connects to upstreams itself or through another
 * entry instance, its relay.
 *
 * An instance may be cut off from some upstreams, or from all, while callers
 * and the other instances still reach it. It uses a relay for an upstream to
 * which its last connection has failed. It counts as cut off from all when
 * connections to several upstreams have failed and none was established in
 * between. Probes find out when upstreams can be reached again. An upstream
 * that accepts a connection and does not answer says nothing about the path. No
 * I/O; time is an argument.
 */
#ifndef UPSTREAM_PATH_H
#define UPSTREAM_PATH_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "metric.h"

typedef struct upstream_path upstream_path_t;

typedef struct
{
  /** Orders the relays, so that different instances use different ones. */
  uint64_t seed;
  /** The instance is cut off from all upstreams now, or no longer; may be NULL.
   */
  void (*on_change) (bool is_cut, void *context);
  void *context;
  metrics_t *metrics; /**< may be NULL */
} upstream_path_options_t;

/** Creates a path that is not cut off; freed with @a parent (talloc). */
upstream_path_t *upstream_path_new (void *parent,
                                    const upstream_path_options_t *options);

/** Adds another instance that can be a relay; a known address is ignored.
 * @param address IP:PORT at which it accepts tunnels
 * @param is_near it is in the own availability zone */
void upstream_path_add_relay (upstream_path_t *path,
                              const char *address,
                              bool is_near);

/** Records whether a connection of this instance to the upstream with the key
 * @a upstream was established. */
void upstream_path_record (upstream_path_t *path,
                           uint64_t upstream,
                           bool is_connected,
                           uint64_t now_ms);

/** Records that a relay cannot be reached or takes no tunnels: it is not used
 * for a while. */
void upstream_path_relay_failed (upstream_path_t *path,
                                 const char *address,
                                 uint64_t now_ms);

/** Returns whether this instance is cut off from all upstreams. */
bool upstream_path_is_cut (const upstream_path_t *path);

/** Returns the relay for a new connection to the upstream with the key @a
 * upstream, which belongs to the path; NULL: it is to be connected to
 * directly. */
const char *upstream_path_relay (const upstream_path_t *path,
                                 uint64_t upstream,
                                 uint64_t now_ms);

/** Returns whether a probe of an upstream is due, and counts it as made. In
 * doubt, one whose last connection has not failed is to be probed; while the
 * instance is cut off any one, else one that has failed. */
bool upstream_path_takes_probe (upstream_path_t *path, uint64_t now_ms);

/** Returns whether the instance may be cut off. */
bool upstream_path_is_doubtful (const upstream_path_t *path);

/** Returns whether the last connection to an upstream has failed. */
bool upstream_path_has_failed (const upstream_path_t *path, uint64_t upstream);

#endif
