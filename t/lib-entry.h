/**
 * @file lib-entry.h
 * A small deployment for tests of the entry daemon: one entry instance and
 * the stand-ins that announce themselves to it.
 */
#ifndef LIB_ENTRY_H
#define LIB_ENTRY_H

#include "lib-cluster.h"

/** Body of a prompt of customer "counter"; @a more is ",..." or "". */
#define PROMPT(text, more)                                                     \
  "{\"prompt\":\"" text "\",\"customer\":\"counter\"" more "}"

typedef struct
{
  cluster_t *cluster;
  const char *address; /**< of the entry instance */
  process_t *process;
  process_t *second;         /**< entry instance "e2", or NULL */
  const char *second_gossip; /**< its address for other instances */
  const char *gossip;        /**< its address for other instances */
  uint32_t upstreams;        /**< started so far */
  const char *proxy; /**< address that drives the fault proxy, or NULL */
} deploy_t;

/** A call under way in a thread of its own. */
typedef struct call call_t;

typedef struct
{
  const char *name;
  const char *address;
  process_t *process;
} upstream_process_t;

/**
 * Starts an entry instance. Services: "engines" (model "base"), "ledger"
 * (calls, not idempotent), "lookup" (calls, idempotent); customers: "counter"
 * and "history", which may use "engines" only.
 * @param flag one more flag, or NULL
 */
deploy_t *deploy_new (const char *flag);
void deploy_free (deploy_t *deploy);

/** Starts another instance of the zone, "e2"; its address. */
const char *deploy_second_entry (deploy_t *deploy);

/**
 * Starts the first entry instance again, which has ended, where it was; it is
 * told of the second one.
 */
void deploy_restart (deploy_t *deploy);

/** Starts an engine, with up to two more flags, and waits until it is known. */
upstream_process_t
deploy_engine (deploy_t *deploy, const char *flag, const char *flag2);

/**
 * Puts a fault proxy before each upstream started from now on; its route has
 * the upstream's name.
 */
void deploy_proxy (deploy_t *deploy);

/** Changes the faults of the route to @a upstream. */
void deploy_fault (deploy_t *deploy,
                   const upstream_process_t *upstream,
                   const char *faults);

/** Starts a plain service and waits until it is known. */
upstream_process_t
deploy_service (deploy_t *deploy, const char *service, const char *flag);

/** Announces an upstream that is not there. */
void deploy_ghost (deploy_t *deploy, const char *kind, const char *service);

/** POSTs a prompt. */
answer_t deploy_prompt (deploy_t *deploy, const char *body);

/** Opens a connection, POSTs a prompt and does not read; a socket. */
int prompt_without_reading (deploy_t *deploy, const char *body);

/** Reads what comes until the connection ends; closes it. */
answer_t read_rest (int fd);

/** Starts to POST; headers may be NULL. */
call_t *call_start (const char *address,
                    const char *path,
                    const char *headers,
                    const char *body);

/** Whether its answer has come, or will not. */
bool call_is_done (const call_t *call);

/** Waits for the answer; frees the call. */
answer_t call_finish (call_t *call);

/** Makes an upstream's next @a count requests go wrong. */
void misbehave (const upstream_process_t *upstream, const char *body);

/** Member of /v1/inspect: how many it lists, or its number. */
int64_t inspect_count (const upstream_process_t *upstream, const char *member);

/** Sum over "runs" of /v1/inspect. */
int64_t inspect_runs (const upstream_process_t *upstream);

/** Asserts status, error kind and `not_run` ("true", "false", "unknown"). */
void assert_error (const answer_t *answer,
                   int status,
                   const char *kind,
                   const char *not_run);

/** Texts of a stream's events put together; g_free(). */
char *stream_text (const answer_t *answer);

/** Number of times @a part is in the body. */
uint32_t count_in (const answer_t *answer, const char *part);

#endif
