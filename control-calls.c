/**
 * @file control-calls.c
 * Calls of the control client: one function for each kind of request, all of
 * which use control_client_call().
 */
#include <string.h>
#include <talloc.h>

#include "base.h"
#include "control-client.h"

/* Time for which the client tries to release a claim that may be granted after
 * its call has ended. */
#define RELEASE_TIMEOUT_MS 60000

void
control_client_apply (control_client_t *client,
                      const Lwm__ControlApply *apply,
                      uint32_t timeout_ms,
                      control_answer_cb_t done,
                      void *context)
{
  Lwm__ControlRequest request = LWM__CONTROL_REQUEST__INIT;

  request.what_case = LWM__CONTROL_REQUEST__WHAT_APPLY;
  request.apply = (Lwm__ControlApply *)apply;
  control_client_call (client, &request, timeout_ms, done, context);
}

void
control_client_get (control_client_t *client,
                    uint64_t known,
                    uint32_t timeout_ms,
                    control_answer_cb_t done,
                    void *context)
{
  Lwm__ControlRequest request = LWM__CONTROL_REQUEST__INIT;
  Lwm__ControlGet get = LWM__CONTROL_GET__INIT;

  get.known = known;
  request.what_case = LWM__CONTROL_REQUEST__WHAT_GET;
  request.get = &get;
  control_client_call (client, &request, timeout_ms, done, context);
}

/** A claim call in progress, with the request that would release the claim. */
typedef struct
{
  control_client_t *client;
  Lwm__ControlClaimFinish release;
  control_answer_cb_t done;
  void *context;
} pending_claim_t;

/** Ends a claim call. When the claim may still be granted after the timeout, it
 * is released, because the caller will not run its request. */
static void
on_claimed (const Lwm__ControlAnswer *answer, void *context)
{
  pending_claim_t *pending = context;

  if (answer->result == LWM__CONTROL_RESULT__RESULT_NO_QUORUM
      && answer->maybe_done)
    control_client_finish_claim (pending->client, &pending->release,
                                 RELEASE_TIMEOUT_MS, NULL, NULL);
  if (pending->done != NULL)
    pending->done (answer, pending->context);
  talloc_free (pending);
}

void
control_client_claim (control_client_t *client,
                      const Lwm__ControlClaimTake *claim,
                      uint32_t timeout_ms,
                      control_answer_cb_t done,
                      void *context)
{
  Lwm__ControlRequest request = LWM__CONTROL_REQUEST__INIT;
  pending_claim_t *pending = talloc_zero (client, pending_claim_t);
  Lwm__ControlClaimFinish *release = &pending->release;

  pending->client = client;
  pending->done = done;
  pending->context = context;
  lwm__control_claim_finish__init (release);
  release->customer = talloc_strdup (pending, claim->customer);
  release->service = talloc_strdup (pending, claim->service);
  release->key = talloc_strdup (pending, claim->key);
  release->owner = talloc_strdup (pending, claim->owner);
  release->attempt = claim->attempt;
  release->state = LWM__CONTROL_CLAIM_STATE__CLAIM_RELEASED;
  release->keep_ms = claim->keep_ms;
  request.what_case = LWM__CONTROL_REQUEST__WHAT_CLAIM;
  request.claim = (Lwm__ControlClaimTake *)claim;
  control_client_call (client, &request, timeout_ms, on_claimed, pending);
}

void
control_client_finish_claim (control_client_t *client,
                             const Lwm__ControlClaimFinish *finish,
                             uint32_t timeout_ms,
                             control_answer_cb_t done,
                             void *context)
{
  Lwm__ControlRequest request = LWM__CONTROL_REQUEST__INIT;

  request.what_case = LWM__CONTROL_REQUEST__WHAT_FINISH;
  request.finish = (Lwm__ControlClaimFinish *)finish;
  control_client_call (client, &request, timeout_ms, done, context);
}

void
control_client_take_lease (control_client_t *client,
                           const Lwm__ControlLeaseTake *lease,
                           uint32_t timeout_ms,
                           control_answer_cb_t done,
                           void *context)
{
  Lwm__ControlRequest request = LWM__CONTROL_REQUEST__INIT;

  request.what_case = LWM__CONTROL_REQUEST__WHAT_LEASE;
  request.lease = (Lwm__ControlLeaseTake *)lease;
  control_client_call (client, &request, timeout_ms, done, context);
}

void
control_client_drop_lease (control_client_t *client,
                           const Lwm__ControlLeaseDrop *drop,
                           uint32_t timeout_ms,
                           control_answer_cb_t done,
                           void *context)
{
  Lwm__ControlRequest request = LWM__CONTROL_REQUEST__INIT;

  request.what_case = LWM__CONTROL_REQUEST__WHAT_DROP;
  request.drop = (Lwm__ControlLeaseDrop *)drop;
  control_client_call (client, &request, timeout_ms, done, context);
}

/** An order for a zone that has not ended. */
typedef struct
{
  control_client_t *client;
  Lwm__ControlZoneOrder order;
  uint64_t deadline_ms;
  control_answer_cb_t done;
  void *context;
} pending_order_t;

static void send_order (pending_order_t *pending);

/** Ends an order, or sends it again when another order for the zone, or an
 * earlier copy of this one, was accepted before it. */
static void
on_ordered (const Lwm__ControlAnswer *answer, void *context)
{
  pending_order_t *pending = context;

  if (answer->result == LWM__CONTROL_RESULT__RESULT_CONFLICT
      && clock_mono_ms () < pending->deadline_ms)
    {
      pending->order.known_index
          = answer->zone_drain != NULL ? answer->zone_drain->index : 0;
      send_order (pending);
      return;
    }
  if (pending->done != NULL)
    pending->done (answer, pending->context);
  talloc_free (pending);
}

static void
send_order (pending_order_t *pending)
{
  Lwm__ControlRequest request = LWM__CONTROL_REQUEST__INIT;
  uint64_t now_ms = clock_mono_ms ();
  uint64_t left_ms
      = pending->deadline_ms > now_ms ? pending->deadline_ms - now_ms : 0;

  request.what_case = LWM__CONTROL_REQUEST__WHAT_ZONE_ORDER;
  request.zone_order = &pending->order;
  control_client_call (pending->client, &request, (uint32_t)left_ms, on_ordered,
                       pending);
}

void
control_client_order_zone (control_client_t *client,
                           const Lwm__ControlZoneOrder *order,
                           uint32_t timeout_ms,
                           control_answer_cb_t done,
                           void *context)
{
  pending_order_t *pending = talloc_zero (client, pending_order_t);

  pending->client = client;
  pending->done = done;
  pending->context = context;
  pending->deadline_ms = clock_mono_ms () + timeout_ms;
  lwm__control_zone_order__init (&pending->order);
  pending->order.zone = talloc_strdup (pending, order->zone);
  pending->order.drained = order->drained;
  pending->order.who = talloc_strdup (pending, order->who);
  pending->order.when_ms = order->when_ms;
  send_order (pending);
}

/** A removal by name that waits for a status with the member's incarnation. */
typedef struct
{
  control_client_t *client;
  char *name;
  uint32_t timeout_ms;
  control_answer_cb_t done;
  void *context;
} pending_removal_t;

static void
change_member (control_client_t *client,
               const Lwm__ControlMemberChange *change,
               uint32_t timeout_ms,
               control_answer_cb_t done,
               void *context)
{
  Lwm__ControlRequest request = LWM__CONTROL_REQUEST__INIT;

  request.what_case = LWM__CONTROL_REQUEST__WHAT_MEMBER;
  request.member = (Lwm__ControlMemberChange *)change;
  control_client_call (client, &request, timeout_ms, done, context);
}

/** Returns the incarnation of the first member with that name, or 0. */
static uint64_t
find_incarnation (const Lwm__ControlStatus *status, const char *name)
{
  for (size_t i = 0; status != NULL && i < status->n_members; i++)
    if (strcmp (status->members[i]->name, name) == 0)
      return status->members[i]->incarnation;
  return 0;
}

static void
on_removal_status (const Lwm__ControlAnswer *answer, void *context)
{
  pending_removal_t *removal = context;
  Lwm__ControlMemberChange change = LWM__CONTROL_MEMBER_CHANGE__INIT;
  Lwm__ControlAnswer not_found = LWM__CONTROL_ANSWER__INIT;

  change.kind = LWM__CONTROL_MEMBER_CHANGE_KIND__MEMBER_REMOVE;
  change.name = removal->name;
  change.incarnation = find_incarnation (answer->status, removal->name);
  not_found.result = LWM__CONTROL_RESULT__RESULT_NOT_FOUND;
  not_found.detail = "no such member";
  if (change.incarnation != 0)
    change_member (removal->client, &change, removal->timeout_ms, removal->done,
                   removal->context);
  else if (removal->done != NULL)
    removal->done (answer->status != NULL ? &not_found : answer,
                   removal->context);
  talloc_free (removal);
}

void
control_client_change_member (control_client_t *client,
                              const Lwm__ControlMemberChange *change,
                              uint32_t timeout_ms,
                              control_answer_cb_t done,
                              void *context)
{
  pending_removal_t *removal;

  if (change->kind != LWM__CONTROL_MEMBER_CHANGE_KIND__MEMBER_REMOVE
      || change->incarnation != 0)
    {
      change_member (client, change, timeout_ms, done, context);
      return;
    }
  removal = talloc_zero (client, pending_removal_t);
  removal->client = client;
  removal->name = talloc_strdup (removal, change->name);
  removal->timeout_ms = timeout_ms;
  removal->done = done;
  removal->context = context;
  control_client_status (client, timeout_ms, on_removal_status, removal);
}

void
control_client_status (control_client_t *client,
                       uint32_t timeout_ms,
                       control_answer_cb_t done,
                       void *context)
{
  Lwm__ControlRequest request = LWM__CONTROL_REQUEST__INIT;
  Lwm__ControlStatusAsk status = LWM__CONTROL_STATUS_ASK__INIT;

  request.what_case = LWM__CONTROL_REQUEST__WHAT_STATUS;
  request.status = &status;
  control_client_call (client, &request, timeout_ms, done, context);
}
