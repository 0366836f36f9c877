/**
 * @file upstream-http.h
 * Implements the callback table of upstream.h over HTTP/1.1, as specified in
 * docs/UPSTREAM.md.
 *
 * Each stream and call opens its own connection. A request written to a
 * kept-alive connection while the peer closes it may or may not have run. The
 * caller could then not be told whether the request ran. This uncertainty would
 * cost more than the round trip for a new connection.
 */
#ifndef UPSTREAM_HTTP_H
#define UPSTREAM_HTTP_H

#include "upstream.h"

struct event_base;

typedef struct upstream_http upstream_http_t;

/** Callback table for HTTP upstreams. Its context is an upstream_http_t. */
extern const upstream_ops_t upstream_http_ops;

/**
 * Creates the context of the callback table.
 * @param parent owner (talloc); must be freed before @a base
 * @param base event loop that runs all streams and calls
 */
upstream_http_t *upstream_http_new (void *parent, struct event_base *base);

#endif
