/**
 * @file standin-private.h
 * Internal interface between the parts of the stand-in; only standin*.c include
 * it.
 */
#ifndef STANDIN_PRIVATE_H
#define STANDIN_PRIVATE_H

#include <event2/event.h>
#include <event2/http.h>
#include <json-glib/json-glib.h>

#include "announce.h"
#include "cache-events.h"
#include "engine.h"
#include "error.h"
#include "kv.h"
#include "misbehave.h"
#include "standin.h"

/** One periodic sample of the load, published with a delay of load_lag_ms. */
typedef struct
{
  engine_load_t load;
  uint64_t taken_us;
} load_sample_t;

/** Weights that the engine has loaded or is loading. */
typedef struct
{
  char *model;
  char *adapter;
  char *version;
  bool loading;
} weights_t;

struct standin
{
  const Lwm__UpstreamSettings *settings;
  daemon_t *daemon;
  struct event_base *base;
  uint64_t incarnation; /**< start time, so that a restart has a higher one */
  announce_t *announce;
  engine_t *engine;       /**< NULL for a plain service */
  kv_t *kv;               /**< NULL for a plain service */
  cache_events_t *events; /**< NULL for a plain service */
  misbehave_t *misbehave;
  struct event *step;  /**< timer for the end of the engine's step */
  struct event *leave; /**< timer that checks whether all work has ended */
  load_sample_t load_samples[2]; /**< the published sample and the next one */
  GPtrArray *weights;            /**< of weights_t */
  GPtrArray *orders;             /**< of order_t, in order of arrival */
  char *role;
  uint64_t last_fencing; /**< highest fencing token of any order */
  GHashTable *runs;      /**< request id to number of runs */
  GHashTable *keys;      /**< idempotency key to number of runs */
  uint64_t double_runs;  /**< runs beyond the first of work that must
                            run only once */
  uint32_t calls;        /**< calls of a plain service in progress */
  bool leaving;
  uint64_t leaving_since_us;
};

/** Answers with {"error":{"kind","not_run"}}; RAN_UNKNOWN omits not_run. */
void standin_refuse (struct evhttp_request *request,
                     int status,
                     const char *kind,
                     ran_t ran);

/** Answers 400 with @a message and states that the request did not run. */
void standin_refuse_bad (struct evhttp_request *request, const char *message);

/** Answers with the error that @a result stands for; not for ENGINE_OK. */
void standin_refuse_result (struct evhttp_request *request,
                            engine_result_t result);

/** Answers 200 with @a object and takes ownership of it. */
void standin_reply (struct evhttp_request *request, JsonObject *object);

/** Runs the engine up to the current time and sets its next timer. */
void standin_advance (standin_t *standin);

/** Counts one more run of @a id and returns the new count. */
uint32_t standin_count_run (GHashTable *runs, const char *id);

/** Returns the wall time for @a ms at the stand-in's time scale. */
struct timeval standin_scaled (const standin_t *standin, uint64_t ms);

/** Refuses a request if @a fault demands it; returns whether it did. */
bool standin_fault_refuses (struct evhttp_request *request,
                            const fault_t *fault);

/**
 * Resets the connection of a request. Must not be called from the callback of
 * the request.
 */
void standin_reset_connection (struct evhttp_request *request);

/** Adds a fault that applies to the next requests. */
void standin_misbehave (standin_t *standin,
                        struct evhttp_request *request,
                        JsonObject *body);

/* Streams: standin-stream.c. */

/** Sends new tokens or the end to all readers; an engine_progress_cb_t. */
void standin_stream_progress (engine_stream_t *stream, void *context);

void standin_post_stream (standin_t *standin,
                          struct evhttp_request *request,
                          JsonObject *body);
void standin_resume_stream (standin_t *standin,
                            struct evhttp_request *request,
                            const char *id);
void standin_delete_stream (standin_t *standin,
                            struct evhttp_request *request,
                            const char *id);

/* KV memory: standin-kv.c. */

void standin_reserve (standin_t *standin,
                      struct evhttp_request *request,
                      JsonObject *body);
void standin_export (standin_t *standin,
                     struct evhttp_request *request,
                     JsonObject *body);
void standin_import (standin_t *standin,
                     struct evhttp_request *request,
                     JsonObject *body);
void standin_get_kv (standin_t *standin,
                     struct evhttp_request *request,
                     const char *id);
void standin_release (standin_t *standin,
                      struct evhttp_request *request,
                      const char *id);

/* Orders: standin-order.c. */

void standin_order (standin_t *standin,
                    struct evhttp_request *request,
                    JsonObject *body);

/** Adds weights that are already loaded. */
void standin_add_weights (standin_t *standin,
                          const char *model,
                          const char *adapter,
                          const char *version);

/**
 * Returns the loaded weights that match, or NULL. The stand-in owns them.
 * @param model NULL or empty matches any
 * @param adapter must be equal; empty for weights without an adapter
 * @param version NULL or empty matches any
 */
const weights_t *standin_find_weights (const standin_t *standin,
                                       const char *model,
                                       const char *adapter,
                                       const char *version);

/** Returns all orders as JSON, for inspection; the caller owns the array. */
JsonArray *standin_orders_array (const standin_t *standin);

/** Frees the timers of all orders, and the lists of orders and weights. */
void standin_free_orders (standin_t *standin);

/* Calls of a plain service: standin-call.c. */

/** Serves a call; @a path is the part of the URL path after /call/. */
void standin_call (standin_t *standin,
                   struct evhttp_request *request,
                   const char *path);

/* Status reports: standin-report.c. */

/** Returns the current announcement; an announce_body_cb_t. */
JsonNode *standin_announcement (void *context);

/** Samples the load if the last sample is old enough. */
void standin_sample_load (standin_t *standin, uint64_t now_us);

void standin_get_load (standin_t *standin, struct evhttp_request *request);
void standin_get_events (standin_t *standin, struct evhttp_request *request);
void standin_inspect (standin_t *standin, struct evhttp_request *request);

/** Returns a number from the request's query, or 0 if it is missing. */
uint64_t standin_query_number (struct evhttp_request *request,
                               const char *name);

#endif
