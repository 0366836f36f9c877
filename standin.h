/**
 * @file standin.h
 * Implements the HTTP interface of `lwm-upstream`, a stand-in that simulates a
 * model engine or a plain service in tests and experiments. docs/UPSTREAM.md
 * describes the protocol.
 *
 * standin.c has the routes and the lifetime. The other standin-*.c files serve
 * one kind of request each, for example streams (standin-stream.c) and calls of
 * a plain service (standin-call.c). They share standin-private.h.
 */
#ifndef STANDIN_H
#define STANDIN_H

#include "daemon.h"
#include "settings.pb-c.h"

struct evhttp_request;

typedef struct standin standin_t;

/**
 * Returns a stand-in that is not yet started, freed with @a parent (talloc).
 * The settings must outlive it.
 */
standin_t *standin_new (void *parent, const Lwm__UpstreamSettings *settings);

/**
 * Starts the stand-in and its announcements. The stand-in must be freed before
 * @a daemon.
 */
void standin_start (standin_t *standin, daemon_t *daemon);

/** Serves one request; a daemon_route_cb_t with the stand-in as context. */
void standin_serve (struct evhttp_request *request, void *context);

/**
 * Starts a graceful stop: refuses new work, finishes the work in progress, then
 * exits the daemon. A daemon_stop_cb_t with the stand-in as context.
 */
void standin_stop (void *context);

#endif
