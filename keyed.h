/**
 * @file keyed.h
 * At-most-once for non-idempotent requests that carry an idempotency key.
 *
 * Before such a request is sent its key is claimed in the control log, by a
 * quorum. A resend, at any instance, finds the claim and gets the recorded
 * answer, or is told that the outcome is unknown; it never runs again. A
 * request that surely did not run gives its key back.
 *
 * An answer leaves before its record is committed, so a resend may find the
 * claim of a request that is over or nearly so. It asks again for
 * KEYED_RUNNING_WAIT_MS before it is told that the key is in progress.
 */
#ifndef KEYED_H
#define KEYED_H

#include <stdbool.h>
#include <stdint.h>

#include "control-client.h"
#include "error.h"
#include "keyed.pb-c.h"
#include "metric.h"
#include "request.h"

struct event_base;

/** Some elections of the control group long, and short beside deadlines. */
#define KEYED_RUNNING_WAIT_MS 2000

typedef struct keyed keyed_t;

typedef enum
{
  KEYED_RUN,    /**< the key is this request's: run it */
  KEYED_ANSWER, /**< an earlier request ran: here is its answer */
  KEYED_REFUSE, /**< not run, for the error given */
} keyed_verdict_t;

/**
 * The end of a claim.
 * @param answer with KEYED_ANSWER; valid only in the callback
 * @param refusal with KEYED_REFUSE
 * @return false when there is no such request any more: the key is given back
 */
typedef bool (*keyed_verdict_cb_t) (uint64_t sequence,
                                    keyed_verdict_t verdict,
                                    const Lwm__RecordedAnswer *answer,
                                    error_kind_t refusal,
                                    void *context);

/** Whether INSTANCE/INCARNATION is, as far as is known, still running. */
typedef bool (*keyed_is_live_cb_t) (const char *owner, void *context);

typedef struct
{
  struct event_base *base;
  control_client_t *control;
  metrics_t *metrics;
  keyed_verdict_cb_t verdict;
  void *context;
  keyed_is_live_cb_t is_live; /**< NULL: every owner counts as running */
  void *is_live_context;
} keyed_options_t;

/** Freed with @a parent (talloc), before the control client. */
keyed_t *keyed_new (void *parent, const keyed_options_t *options);

/** Whether a request has to be claimed before it is sent. */
bool keyed_applies (const request_t *request);

/**
 * Claims the request's key; the verdict comes later, once.
 * @param owner INSTANCE/INCARNATION
 * @param timeout_ms time until the group counts as out of reach
 * @param keep_ms how long the key is kept
 */
void keyed_claim (keyed_t *keyed,
                  const request_t *request,
                  const char *owner,
                  uint32_t timeout_ms,
                  uint32_t keep_ms);

/** Records how a request that was told KEYED_RUN ended. */
void keyed_end (keyed_t *keyed, const request_t *request, const char *owner);

#endif
