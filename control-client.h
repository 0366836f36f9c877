/**
 * @file control-client.h
 * Asynchronous calls to the control group, for entry instances and the
 * operator's command.
 *
 * The client finds the leader by redirects, resends a call until its deadline
 * and then answers RESULT_NO_QUORUM. Every command is idempotent, so a resend
 * after a lost answer gets the first answer again. With RESULT_NO_QUORUM
 * `maybe_done` says whether the command may still take effect: false means
 * that no replica was ever given it.
 *
 * A client with on_revision also watches the configuration: one replica pushes
 * each new revision, and another takes its place when it falls silent or has
 * lost its leader. Revisions are handed on in rising order only.
 *
 * With on_directory it watches the upstreams at every control instance it
 * knows, and learns of new control instances from their answers.
 */
#ifndef CONTROL_CLIENT_H
#define CONTROL_CLIENT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "control.pb-c.h"
#include "metric.h"

struct event_base;

typedef struct control_client control_client_t;

/** The one end of a call; @a answer is valid only in the callback. */
typedef void (*control_answer_cb_t) (const Lwm__ControlAnswer *answer,
                                     void *context);

/** A revision above all before; valid only in the callback. */
typedef void (*control_revision_cb_t) (const Lwm__ControlRevision *revision,
                                       void *context);

/** Upstreams that changed, as one control instance tells; callback only. */
typedef void (*control_directory_cb_t) (const Lwm__ControlDirectory *part,
                                        void *context);

typedef struct
{
  struct event_base *base;
  char **peers; /**< control instances, "IP:PORT" */
  size_t peer_count;
  uint64_t known_number;               /**< revision already held, 0 for none */
  control_revision_cb_t on_revision;   /**< NULL: do not watch */
  control_directory_cb_t on_directory; /**< NULL: do not watch upstreams */
  const char *address; /**< where other entry instances reach this one */
  void *context;
  metrics_t *metrics; /**< lwm_control_client_* counters, or NULL */
} control_client_options_t;

/** A client, freed with @a parent (talloc); open calls then end unanswered. */
control_client_t *control_client_new (void *parent,
                                      const control_client_options_t *options);

/** Adds a control instance, unless it is known. */
void control_client_add_peer (control_client_t *client, const char *address);

/**
 * The general call. @a request is packed before this returns; its id is set by
 * the client.
 * @param timeout_ms time until RESULT_NO_QUORUM
 * @param done called once, later, never from within this call; may be NULL
 */
void control_client_call (control_client_t *client,
                          const Lwm__ControlRequest *request,
                          uint32_t timeout_ms,
                          control_answer_cb_t done,
                          void *context);

/**
 * Proposes a configuration. Answers: OK, SAME, CONFLICT (answer->revision names
 * the winner's digest and who), STALE, BAD_REQUEST, NO_QUORUM.
 */
void control_client_apply (control_client_t *client,
                           const Lwm__ControlApply *apply,
                           uint32_t timeout_ms,
                           control_answer_cb_t done,
                           void *context);

/**
 * Reads the last revision through the leader, confirmed by a quorum. Answers:
 * OK (config is left out when its number is @a known), NOT_FOUND, NO_QUORUM.
 */
void control_client_get (control_client_t *client,
                         uint64_t known,
                         uint32_t timeout_ms,
                         control_answer_cb_t done,
                         void *context);

/**
 * Claims a key before its request is sent. Answers: OK (granted, run it),
 * EXISTS (answer->claim: RUNNING, DONE with its outcome, or UNKNOWN), CONFLICT
 * (other digest), LIMIT, NO_QUORUM (do not run it; the client releases the
 * claim by itself should it be granted late).
 */
void control_client_claim (control_client_t *client,
                           const Lwm__ControlClaimTake *claim,
                           uint32_t timeout_ms,
                           control_answer_cb_t done,
                           void *context);

/** Records a claim's end. Answers: OK, NOT_OWNER, NOT_FOUND, NO_QUORUM. */
void control_client_finish (control_client_t *client,
                            const Lwm__ControlClaimFinish *finish,
                            uint32_t timeout_ms,
                            control_answer_cb_t done,
                            void *context);

/**
 * Takes or renews the right to order an upstream. Answers: OK (answer->lease
 * has the fencing number; the holder counts its time from before the call),
 * HELD (try again after retry_after_ms), LIMIT, NO_QUORUM.
 */
void control_client_lease (control_client_t *client,
                           const Lwm__ControlLeaseTake *lease,
                           uint32_t timeout_ms,
                           control_answer_cb_t done,
                           void *context);

/** Gives a lease back. Answers: OK, NOT_OWNER, NO_QUORUM. */
void control_client_drop (control_client_t *client,
                          const Lwm__ControlLeaseDrop *drop,
                          uint32_t timeout_ms,
                          control_answer_cb_t done,
                          void *context);

/**
 * Changes the control group by one member. Answers: OK, SAME (done before),
 * NOT_FOUND, NOT_READY (another change is under way, or the learner is behind),
 * NO_QUORUM. A removal by name alone asks for the status first, and means the
 * member of that name that was added first.
 */
void control_client_member (control_client_t *client,
                            const Lwm__ControlMemberChange *change,
                            uint32_t timeout_ms,
                            control_answer_cb_t done,
                            void *context);

/** Status of whichever replica answers first. */
void control_client_status (control_client_t *client,
                            uint32_t timeout_ms,
                            control_answer_cb_t done,
                            void *context);

#endif
