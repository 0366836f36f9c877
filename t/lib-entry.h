/**
 * @file lib-entry.h
 * Runs a small deployment for tests of the entry daemon: one or two entry
 * instances and the simulated upstreams that announce themselves to them.
 */
#ifndef LIB_ENTRY_H
#define LIB_ENTRY_H

#include "lib-cluster.h"

/**
 * Request body with a prompt of customer "counter"; @a more is further JSON
 * members (",...") or "".
 */
#define PROMPT(text, more)                                                     \
  "{\"prompt\":\"" text "\",\"customer\":\"counter\"" more "}"

typedef struct
{
  cluster_t *cluster;
  const char *address; /**< address of the entry instance that the test calls */
  process_t *process;
  process_t *second;         /**< entry instance "e2", or NULL */
  const char *second_gossip; /**< gossip address of "e2" */
  const char *gossip;        /**< gossip address of the first instance */
  uint32_t upstreams;        /**< number of upstreams started so far */
  const char *proxy;         /**< control address of the fault proxy, or NULL */
} deploy_t;

/** A call in progress in its own thread. */
typedef struct call call_t;

typedef struct
{
  const char *name;
  const char *address;
  process_t *process;
} upstream_process_t;

/**
 * Starts an entry instance. Services: "engines" (model "base"), "ledger"
 * (calls, not idempotent), "lookup" (calls, idempotent); customers: "counter",
 * "archive", and "history", which may use "engines" only.
 * @param flag an additional flag, or NULL
 */
deploy_t *deploy_new (const char *flag);
void deploy_free (deploy_t *deploy);

/** Starts a second entry instance of the zone, "e2"; returns its address. */
const char *deploy_second_entry (deploy_t *deploy);

/**
 * Restarts the first entry instance, which must have ended, on the same
 * addresses, with the second one as its gossip peer.
 */
void deploy_restart (deploy_t *deploy);

/**
 * Starts an engine with up to two additional flags (or NULL) and waits until
 * the entry instance knows it.
 */
upstream_process_t
deploy_engine (deploy_t *deploy, const char *flag, const char *flag2);

/**
 * Routes the connections to each upstream started after this call through a
 * fault proxy; a route has the name of its upstream.
 */
void deploy_proxy (deploy_t *deploy);

/** Sets the faults (JSON) of the route to @a upstream. */
void deploy_fault (deploy_t *deploy,
                   const upstream_process_t *upstream,
                   const char *faults);

/** Starts a plain service and waits until the entry instance knows it. */
upstream_process_t
deploy_service (deploy_t *deploy, const char *service, const char *flag);

/** Announces an upstream at an address where nothing listens. */
void deploy_unreachable_upstream (deploy_t *deploy,
                                  const char *kind,
                                  const char *service);

/** Sends a prompt to the first entry instance and returns the answer. */
answer_t deploy_prompt (deploy_t *deploy, const char *body);

/** Sends a POST request that names a host and returns the socket without
 * reading the answer. */
int call_without_reading (const char *address,
                          const char *host,
                          const char *path,
                          const char *body);

/** Sends a prompt and returns the socket without reading the answer. */
int prompt_without_reading (deploy_t *deploy, const char *body);

/** Reads until the peer closes the connection, then closes the socket. */
answer_t read_until_close (int fd);

/** Starts a POST request in its own thread; @a headers may be NULL. */
call_t *call_start (const char *address,
                    const char *path,
                    const char *headers,
                    const char *body);

/** Returns whether the call has ended, with an answer or without. */
bool call_is_done (const call_t *call);

/** Waits for the answer, frees the call and returns the answer. */
answer_t call_finish (call_t *call);

/** Makes an upstream mishandle its next requests, as @a body (JSON) says. */
void misbehave (const upstream_process_t *upstream, const char *body);

/**
 * Returns a member of /v1/inspect: the size of an array or object, else the
 * number; -1 if absent.
 */
int64_t inspect_count (const upstream_process_t *upstream, const char *member);

/** Returns the sum over "runs" of /v1/inspect. */
int64_t inspect_runs (const upstream_process_t *upstream);

/** Asserts status, error kind and `not_run` ("true", "false", "unknown"). */
void assert_error (const answer_t *answer,
                   int status,
                   const char *kind,
                   const char *not_run);

/** Returns the joined texts of a stream's events; free with g_free(). */
char *stream_text (const answer_t *answer);

/** Returns how often @a part occurs in the body. */
uint32_t count_occurrences (const answer_t *answer, const char *part);

#endif
