/**
 * @file daemon.h
 * Common parts of every daemon: the event loop, an HTTP server with /healthz
 * and /metrics, signal handlers, and the line on stdout that reports readiness.
 */
#ifndef DAEMON_H
#define DAEMON_H

#include <stdbool.h>
#include <stdint.h>

#include "metric.h"

struct event_base;
struct evhttp;
struct evhttp_request;

typedef struct daemon daemon_t;

/** Handles a request and must answer it. */
typedef void (*daemon_route_cb_t) (struct evhttp_request *request,
                                   void *context);

/**
 * Called on SIGTERM or SIGINT. The callee must call daemon_exit() when all work
 * is done.
 */
typedef void (*daemon_stop_cb_t) (void *context);

/** Called on SIGHUP, after the certificates were reloaded. */
typedef void (*daemon_reload_cb_t) (void *context);

/** Parameters of daemon_new(). */
typedef struct
{
  const char *listen;          /**< IP:PORT of the HTTP server */
  const char *log_level;       /**< valid name of a level of logging.h */
  const char *tls_certificate; /**< PEM file, or NULL or "" for plain HTTP */
  const char *tls_key;         /**< PEM file */
  uint64_t max_body_bytes;     /**< 0 for 1 MiB */
  uint32_t idle_timeout_ms;    /**< of an HTTP connection; 0 for 60 s */
  /** Memory and descriptors that the process may use, of which clients may
   * take a part; 0: no limit. */
  uint32_t memory_mb;
  uint32_t max_descriptors;
  bool is_secondary; /**< clients have another listener, which takes most */
  daemon_route_cb_t fallback;   /**< all paths except /healthz and /metrics */
  daemon_stop_cb_t on_stop;     /**< NULL: exit immediately */
  daemon_reload_cb_t on_reload; /**< may be NULL */
  void *context;
} daemon_options_t;

/**
 * Sets up logging, the event loop, signal handlers and the HTTP server.
 * @return freed with @a parent (talloc); NULL, after a line on stderr, when the
 * address cannot be bound or the certificate cannot be used
 */
daemon_t *daemon_new (void *parent, const daemon_options_t *options);

/** Each of these functions returns an object that the daemon owns. */
struct event_base *daemon_base (daemon_t *daemon);
struct evhttp *daemon_http (daemon_t *daemon);
metrics_t *daemon_metrics (daemon_t *daemon);

/** Sets the state that /healthz reports: 200 when healthy, else 503. */
void daemon_set_healthy (daemon_t *daemon, bool healthy);

/**
 * Prints "ready ADDRESS" on stdout and runs the event loop.
 * @return the exit code given to daemon_exit()
 */
int daemon_run (daemon_t *daemon);

/**
 * Ends daemon_run(), which then returns @a exit_code. Requests that have
 * arrived are still handled and the answers and log lines are written first,
 * for a few seconds at most from the stop signal on.
 */
void daemon_exit (daemon_t *daemon, int exit_code);

/** Ends daemon_run() at once, also during the wait of daemon_exit(). */
void daemon_exit_now (daemon_t *daemon, int exit_code);

#endif
