/**
 * @file keyed.h
 * At-most-once execution of non-idempotent requests that carry an idempotency
 * key.
 *
 * Before such a request is sent, its key is claimed in the control log, which
 * needs a quorum. A resend that reaches any instance finds the claim and gets
 * the recorded answer or an error saying that the outcome is unknown; it never
 * runs a second time. A request that certainly did not run releases its key.
 *
 * The caller gets an answer before the record of it is committed, so a resend
 * may find the claim still running although the request has ended or is about
 * to end. The resend therefore reads the claim again for up to
 * KEYED_RUNNING_WAIT_MS before it is refused with "key in progress".
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

/** Longest wait of a resend for a running claim to end. It covers several
 * leader elections of the control group and is short compared with usual
 * deadlines. */
#define KEYED_RUNNING_WAIT_MS 2000

typedef struct keyed keyed_t;

/** What to do with a request after its key was looked up. */
typedef enum
{
  KEYED_RUN,    /**< this request holds the claim: run it */
  KEYED_ANSWER, /**< an earlier request ran: return its recorded answer */
  KEYED_REFUSE, /**< do not run it: return the given error */
} keyed_verdict_t;

/**
 * Receives the verdict on a request whose key was claimed.
 * @param sequence sequence number of the request
 * @param answer recorded answer with KEYED_ANSWER, otherwise NULL; valid only
 *   during the callback
 * @param refusal error with KEYED_REFUSE, otherwise ERROR_NONE
 * @return false when the request no longer exists; after KEYED_RUN the key is
 *   then released
 */
typedef bool (*keyed_verdict_cb_t) (uint64_t sequence,
                                    keyed_verdict_t verdict,
                                    const Lwm__RecordedAnswer *answer,
                                    error_kind_t refusal,
                                    void *context);

/** Returns whether @a owner (INSTANCE/INCARNATION) is still running, as far as
 * this instance knows. */
typedef bool (*keyed_is_live_cb_t) (const char *owner, void *context);

/** Components and callbacks that the module uses. */
typedef struct
{
  struct event_base *base;
  control_client_t *control;
  metrics_t *metrics;
  keyed_verdict_cb_t verdict;
  void *context;
  keyed_is_live_cb_t is_live; /**< NULL: every owner is taken as running */
  void *is_live_context;
} keyed_options_t;

/** Creates the module's state; freed with @a parent (talloc). It must be freed
 * before the control client. */
keyed_t *keyed_new (void *parent, const keyed_options_t *options);

/** Returns whether the key of a request must be claimed before it is sent. */
bool keyed_needs_claim (const request_t *request);

/**
 * Claims the key of a request. The verdict callback is called once, later.
 * @param owner this instance as INSTANCE/INCARNATION; copied
 * @param timeout_ms time after which each call to the control group fails and
 *   the request is refused with ERROR_NO_QUORUM
 * @param keep_ms how long the control log keeps the key
 */
void keyed_claim (keyed_t *keyed,
                  const request_t *request,
                  const char *owner,
                  uint32_t timeout_ms,
                  uint32_t keep_ms);

/** Records in the control log how a request with verdict KEYED_RUN ended. */
void
keyed_record_end (keyed_t *keyed, const request_t *request, const char *owner);

#endif
