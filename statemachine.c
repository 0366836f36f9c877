#include "statemachine.h"

#include <string.h>
#include <talloc.h>

#include "claims.h"
#include "leases.h"
#include "zone-drains.h"

#define MAX_DIGEST_BYTES 128
#define MAX_WHO_BYTES    128

struct statemachine
{
  uint64_t clock_ms;
  Lwm__ControlRevision *revision;
  Lwm__ControlRevision summary; /* the revision without its configuration */
  Lwm__ControlAudit *audit[STATEMACHINE_MAX_AUDIT];
  size_t audit_count;
  claims_t *claims;
  leases_t *leases;
  zone_drains_t *drains;
};

static Lwm__ControlRevision *
copy_revision (void *parent, const Lwm__ControlRevision *revision)
{
  Lwm__ControlRevision *copy = talloc (parent, Lwm__ControlRevision);

  lwm__control_revision__init (copy);
  copy->number = revision->number;
  copy->digest = talloc_strdup (copy, revision->digest);
  copy->who = talloc_strdup (copy, revision->who);
  copy->when_ms = revision->when_ms;
  copy->index = revision->index;
  copy->config.len = revision->config.len;
  copy->config.data
      = talloc_memdup (copy, revision->config.data, revision->config.len);
  return copy;
}

static void
set_revision (statemachine_t *machine, const Lwm__ControlRevision *revision)
{
  talloc_free (machine->revision);
  machine->revision = copy_revision (machine, revision);
  machine->summary = *machine->revision;
  machine->summary.config.len = 0;
}

statemachine_t *
statemachine_new (void *parent)
{
  statemachine_t *machine = talloc_zero (parent, statemachine_t);
  Lwm__ControlRevision none = LWM__CONTROL_REVISION__INIT;

  machine->claims = claims_new (machine);
  machine->leases = leases_new (machine);
  machine->drains = zone_drains_new (machine);
  set_revision (machine, &none);
  return machine;
}

static void
add_audit (statemachine_t *machine, const Lwm__ControlAudit *audit)
{
  Lwm__ControlAudit *copy = talloc (machine, Lwm__ControlAudit);

  lwm__control_audit__init (copy);
  copy->number = audit->number;
  copy->digest = talloc_strdup (copy, audit->digest);
  copy->who = talloc_strdup (copy, audit->who);
  copy->when_ms = audit->when_ms;
  copy->result = audit->result;
  copy->zone = talloc_strdup (copy, audit->zone);
  copy->drained = audit->drained;
  if (machine->audit_count == STATEMACHINE_MAX_AUDIT)
    {
      talloc_free (machine->audit[0]);
      memmove (machine->audit, machine->audit + 1,
               sizeof machine->audit - sizeof *machine->audit);
      machine->audit_count--;
    }
  machine->audit[machine->audit_count++] = copy;
}

static Lwm__ControlResult
check_revision (const statemachine_t *machine, const Lwm__ControlApply *apply)
{
  const Lwm__ControlRevision *last = machine->revision;

  if (apply->number == 0 || *apply->digest == '\0'
      || strlen (apply->digest) > MAX_DIGEST_BYTES
      || strlen (apply->who) > MAX_WHO_BYTES
      || apply->config.len > STATEMACHINE_MAX_CONFIG_BYTES)
    return LWM__CONTROL_RESULT__RESULT_BAD_REQUEST;
  if (apply->number < last->number)
    return LWM__CONTROL_RESULT__RESULT_STALE;
  if (apply->number > last->number)
    return LWM__CONTROL_RESULT__RESULT_OK;
  return strcmp (apply->digest, last->digest) == 0
             ? LWM__CONTROL_RESULT__RESULT_SAME
             : LWM__CONTROL_RESULT__RESULT_CONFLICT;
}

static void
apply_configuration (statemachine_t *machine,
                     uint64_t index,
                     const Lwm__ControlApply *apply,
                     Lwm__ControlAnswer *answer)
{
  Lwm__ControlAudit audit = LWM__CONTROL_AUDIT__INIT;
  Lwm__ControlRevision revision = LWM__CONTROL_REVISION__INIT;

  answer->result = check_revision (machine, apply);
  if (answer->result == LWM__CONTROL_RESULT__RESULT_BAD_REQUEST)
    {
      answer->detail = "number, digest, author or size is out of bounds";
      return;
    }
  if (answer->result == LWM__CONTROL_RESULT__RESULT_OK)
    {
      revision.number = apply->number;
      revision.digest = apply->digest;
      revision.config = apply->config;
      revision.who = apply->who;
      revision.when_ms = apply->when_ms;
      revision.index = index;
      set_revision (machine, &revision);
    }
  answer->revision = &machine->summary;
  if (answer->result == LWM__CONTROL_RESULT__RESULT_SAME)
    return;
  audit.number = apply->number;
  audit.digest = apply->digest;
  audit.who = apply->who;
  audit.when_ms = apply->when_ms;
  audit.result = answer->result;
  add_audit (machine, &audit);
}

static void
apply_zone_order (statemachine_t *machine,
                  uint64_t index,
                  const Lwm__ControlZoneOrder *order,
                  Lwm__ControlAnswer *answer)
{
  Lwm__ControlAudit audit = LWM__CONTROL_AUDIT__INIT;

  if (strlen (order->who) > MAX_WHO_BYTES)
    {
      answer->result = LWM__CONTROL_RESULT__RESULT_BAD_REQUEST;
      answer->detail = "author is out of bounds";
      return;
    }
  answer->result
      = zone_drains_apply (machine->drains, index, order, &answer->zone_drain);
  if (answer->result != LWM__CONTROL_RESULT__RESULT_OK)
    return;
  audit.who = order->who;
  audit.when_ms = order->when_ms;
  audit.result = answer->result;
  audit.zone = order->zone;
  audit.drained = order->drained;
  add_audit (machine, &audit);
}

void
statemachine_apply (statemachine_t *machine,
                    uint64_t index,
                    const Lwm__ControlCommand *command,
                    Lwm__ControlAnswer *answer)
{
  uint64_t now_ms;

  if (command->clock_ms > machine->clock_ms)
    machine->clock_ms = command->clock_ms;
  now_ms = machine->clock_ms;
  switch (command->what_case)
    {
    case LWM__CONTROL_COMMAND__WHAT_APPLY:
      apply_configuration (machine, index, command->apply, answer);
      break;
    case LWM__CONTROL_COMMAND__WHAT_CLAIM:
      answer->result = claims_take (machine->claims, command->claim, now_ms,
                                    &answer->claim);
      break;
    case LWM__CONTROL_COMMAND__WHAT_FINISH:
      answer->result = claims_finish (machine->claims, command->finish, now_ms,
                                      &answer->claim);
      break;
    case LWM__CONTROL_COMMAND__WHAT_LEASE:
      answer->result = leases_take (machine->leases, command->lease, now_ms,
                                    &answer->lease, &answer->retry_after_ms);
      break;
    case LWM__CONTROL_COMMAND__WHAT_DROP:
      answer->result = leases_drop (machine->leases, command->drop, now_ms);
      break;
    case LWM__CONTROL_COMMAND__WHAT_EXPIRE:
      claims_expire (machine->claims, now_ms);
      leases_expire (machine->leases, now_ms);
      break;
    case LWM__CONTROL_COMMAND__WHAT_ZONE_ORDER:
      apply_zone_order (machine, index, command->zone_order, answer);
      break;
    default:
      answer->result = LWM__CONTROL_RESULT__RESULT_BAD_REQUEST;
      answer->detail = "unknown command";
    }
}

Lwm__ControlRevision *
statemachine_revision (statemachine_t *machine)
{
  return machine->revision;
}

uint64_t
statemachine_clock_ms (const statemachine_t *machine)
{
  return machine->clock_ms;
}

size_t
statemachine_claim_count (const statemachine_t *machine)
{
  return claims_count (machine->claims);
}

size_t
statemachine_lease_count (const statemachine_t *machine)
{
  return leases_count (machine->leases);
}

Lwm__ControlDrains *
statemachine_drains (statemachine_t *machine)
{
  return zone_drains_state (machine->drains);
}

Lwm__ControlAudit **
statemachine_audit (const statemachine_t *machine, size_t *count)
{
  *count = machine->audit_count;
  return (Lwm__ControlAudit **)machine->audit;
}

Lwm__ControlState *
statemachine_export (statemachine_t *machine, void *parent)
{
  Lwm__ControlState *state = talloc (parent, Lwm__ControlState);

  lwm__control_state__init (state);
  state->clock_ms = machine->clock_ms;
  state->revision = machine->revision;
  state->audit = statemachine_audit (machine, &state->n_audit);
  state->claims = claims_list (machine->claims, state, &state->n_claims);
  state->leases = leases_list (machine->leases, state, &state->n_leases);
  state->last_fencing = leases_last_fencing (machine->leases);
  state->drains = statemachine_drains (machine);
  return state;
}

void
statemachine_restore (statemachine_t *machine, const Lwm__ControlState *state)
{
  Lwm__ControlRevision none = LWM__CONTROL_REVISION__INIT;

  machine->clock_ms = state->clock_ms;
  set_revision (machine, state->revision != NULL ? state->revision : &none);
  for (size_t i = 0; i < machine->audit_count; i++)
    talloc_free (machine->audit[i]);
  machine->audit_count = 0;
  for (size_t i = 0; i < state->n_audit; i++)
    add_audit (machine, state->audit[i]);
  talloc_free (machine->claims);
  machine->claims = claims_new (machine);
  for (size_t i = 0; i < state->n_claims; i++)
    claims_restore (machine->claims, state->claims[i]);
  talloc_free (machine->leases);
  machine->leases = leases_new (machine);
  for (size_t i = 0; i < state->n_leases; i++)
    leases_restore (machine->leases, state->leases[i]);
  leases_restore_fencing (machine->leases, state->last_fencing);
  zone_drains_restore (machine->drains, state->drains);
}
