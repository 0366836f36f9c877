/**
 * @file control-client.h
 * Asynchronous client of the control group, for entry instances and the
 * operator's command. control-client.c sends calls and watches the group;
 * control-calls.c has one function for each kind of call.
 *
 * The client finds the leader by redirects, resends a call until its deadline
 * and then ends it with RESULT_NO_QUORUM. Every command is idempotent, so a
 * resend after a lost answer gets the first answer again. With
 * RESULT_NO_QUORUM, `maybe_done` says whether the command may still take
 * effect: false means that no replica ever accepted it.
 *
 * A client with on_revision also watches the configuration. One replica pushes
 * each new revision to it. The client switches to another replica when that one
 * stops answering or has lost its leader. It passes revisions on in rising
 * order only.
 *
 * A client with on_directory watches the upstreams at every control instance
 * that it knows, and learns of new control instances from their answers.
 *
 * A client with on_drains as well watches the drained zones at each of them.
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

/** Called once when a call ends. @a answer is valid only in the callback. */
typedef void (*control_answer_cb_t) (const Lwm__ControlAnswer *answer,
                                     void *context);

/** Called with each revision whose number is above all earlier ones.
 * @a revision is valid only in the callback. */
typedef void (*control_revision_cb_t) (const Lwm__ControlRevision *revision,
                                       void *context);

/** Called with the upstreams that changed at one control instance. @a part is
 * valid only in the callback. */
typedef void (*control_directory_cb_t) (const Lwm__ControlDirectory *part,
                                        void *context);

/** Availability zones whose upstreams get no new requests. */
typedef struct
{
  uint64_t version; /**< log index of the last order */
  char *const *zones;
  size_t count;
  /** A replica that was up to date has reported them or earlier ones. If not,
   * zones of orders that may not be committed are included. */
  bool is_confirmed;
} control_drains_t;

/** Called with the drained zones when they are first known, and when they may
 * have changed. @a drains is valid only in the callback. */
typedef void (*control_drains_cb_t) (const control_drains_t *drains,
                                     void *context);

typedef struct
{
  struct event_base *base;
  char **peers; /**< addresses of control instances, "IP:PORT" */
  size_t peer_count;
  uint64_t known_number; /**< number of the last known revision, or 0 */
  control_revision_cb_t on_revision;   /**< NULL: do not watch */
  control_directory_cb_t on_directory; /**< NULL: do not watch upstreams */
  control_drains_cb_t on_drains;       /**< NULL: do not watch drained zones */
  /** Address at which other entry instances reach this instance, or NULL. */
  const char *address;
  const char *zone; /**< availability zone of this instance, or NULL */
  void *context;
  metrics_t *metrics; /**< lwm_control_client_* counters, or NULL */
} control_client_options_t;

/**
 * Creates a client, freed with @a parent (talloc). Calls that are open then end
 * without their callback. The address and
 * the zone in @a options must stay valid.
 */
control_client_t *control_client_new (void *parent,
                                      const control_client_options_t *options);

/** Adds a control instance, unless the client knows its address already. */
void control_client_add_peer (control_client_t *client, const char *address);

/**
 * Sends any request to the control group. The client sets the request's id and
 * packs it before this function returns.
 * @param timeout_ms time until the call ends with RESULT_NO_QUORUM
 * @param done called once, later, never from within this call; may be NULL
 */
void control_client_call (control_client_t *client,
                          const Lwm__ControlRequest *request,
                          uint32_t timeout_ms,
                          control_answer_cb_t done,
                          void *context);

/**
 * Proposes a configuration. Answers: OK, SAME, CONFLICT (answer->revision has
 * the digest of the accepted revision and who proposed it), STALE, BAD_REQUEST,
 * NO_QUORUM.
 */
void control_client_apply (control_client_t *client,
                           const Lwm__ControlApply *apply,
                           uint32_t timeout_ms,
                           control_answer_cb_t done,
                           void *context);

/**
 * Reads the last revision through the leader, confirmed by a quorum. Answers:
 * OK (config is empty when its number is @a known), NOT_FOUND, NO_QUORUM.
 */
void control_client_get (control_client_t *client,
                         uint64_t known,
                         uint32_t timeout_ms,
                         control_answer_cb_t done,
                         void *context);

/**
 * Claims an idempotency key before its request is sent to an upstream. Answers:
 * OK (granted, the request may run), EXISTS (answer->claim: RUNNING, DONE with
 * its outcome, or UNKNOWN), CONFLICT (the key was claimed with another digest),
 * LIMIT, NO_QUORUM (the request must not run; the client releases the claim
 * itself if the group may still grant it).
 */
void control_client_claim (control_client_t *client,
                           const Lwm__ControlClaimTake *claim,
                           uint32_t timeout_ms,
                           control_answer_cb_t done,
                           void *context);

/** Records the end of a claim. Answers: OK, NOT_OWNER, NOT_FOUND, NO_QUORUM. */
void control_client_finish_claim (control_client_t *client,
                                  const Lwm__ControlClaimFinish *finish,
                                  uint32_t timeout_ms,
                                  control_answer_cb_t done,
                                  void *context);

/**
 * Takes or renews the lease that allows its holder to send orders to an
 * upstream. Answers: OK (answer->lease has the fencing number; the holder must
 * count the lease's time from before the call), HELD (by another holder; retry
 * after retry_after_ms), LIMIT, NO_QUORUM.
 */
void control_client_take_lease (control_client_t *client,
                                const Lwm__ControlLeaseTake *lease,
                                uint32_t timeout_ms,
                                control_answer_cb_t done,
                                void *context);

/** Releases a lease. Answers: OK, NOT_OWNER, NO_QUORUM. */
void control_client_drop_lease (control_client_t *client,
                                const Lwm__ControlLeaseDrop *drop,
                                uint32_t timeout_ms,
                                control_answer_cb_t done,
                                void *context);

/**
 * Orders that a zone's upstreams get no new requests, or revokes that. The
 * known index in @a order is not used: the call finds it out. Answers: OK, SAME
 * (the zone was in that state before), BAD_REQUEST, LIMIT, NO_QUORUM, CONFLICT
 * (other orders for the zone came first until the end of the time).
 */
void control_client_order_zone (control_client_t *client,
                                const Lwm__ControlZoneOrder *order,
                                uint32_t timeout_ms,
                                control_answer_cb_t done,
                                void *context);

/**
 * Adds, promotes or removes one member of the control group. Answers: OK, SAME
 * (the change was made before), NOT_FOUND, NOT_READY (another change is in
 * progress, or the learner's log is behind), NO_QUORUM. A removal without an
 * incarnation asks for the status first and removes the member of that name
 * that was added first.
 */
void control_client_change_member (control_client_t *client,
                                   const Lwm__ControlMemberChange *change,
                                   uint32_t timeout_ms,
                                   control_answer_cb_t done,
                                   void *context);

/** Asks for the status of any one replica: the first that answers. */
void control_client_status (control_client_t *client,
                            uint32_t timeout_ms,
                            control_answer_cb_t done,
                            void *context);

#endif
