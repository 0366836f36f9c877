#include "entry-control.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <talloc.h>

#include "base.h"
#include "config.h"
#include "http.h"

#define CALL_TIMEOUT_MS   8000
#define STATUS_TIMEOUT_MS 2000

/** A call to the control group on behalf of an administration call. */
typedef struct
{
  control_client_t *client;
  admin_done_cb_t done;
  void *done_context;
  uint64_t number;      /* audit: revision that the answer must include */
  uint64_t deadline_ms; /* audit: time after which an answer without that
                           revision is accepted */
  char *operation;      /* member change: add, promote or remove */
  char *name;           /* member change: name of the member */
} pending_call_t;

static pending_call_t *
pending_new (control_client_t *client, admin_done_cb_t done, void *done_context)
{
  pending_call_t *pending = talloc_zero (client, pending_call_t);

  pending->client = client;
  pending->done = done;
  pending->done_context = done_context;
  return pending;
}

static void
complete_call (pending_call_t *pending,
               error_kind_t kind,
               const char *detail,
               JsonNode *node)
{
  pending->done (kind, detail, node, pending->done_context);
  talloc_free (pending);
}

static void
complete_with_error (pending_call_t *pending, const Lwm__ControlAnswer *answer)
{
  const char *detail = answer->detail[0] != '\0' ? answer->detail : NULL;

  switch (answer->result)
    {
    case LWM__CONTROL_RESULT__RESULT_CONFLICT:
      complete_call (pending, ERROR_NUMBER_CONFLICT, detail, NULL);
      break;
    case LWM__CONTROL_RESULT__RESULT_STALE:
      complete_call (pending, ERROR_STALE_NUMBER, detail, NULL);
      break;
    case LWM__CONTROL_RESULT__RESULT_NOT_FOUND:
      complete_call (pending, ERROR_NOT_FOUND, detail, NULL);
      break;
    case LWM__CONTROL_RESULT__RESULT_NO_QUORUM:
      if (answer->maybe_done)
        complete_call (pending, ERROR_OUTCOME_UNKNOWN,
                       "no quorum confirmed the change in time; send it again "
                       "unchanged",
                       NULL);
      else
        complete_call (pending, ERROR_NO_QUORUM, detail, NULL);
      break;
    default:
      complete_call (pending, ERROR_BAD_REQUEST,
                     detail != NULL ? detail
                                    : "the control group refused the change",
                     NULL);
      break;
    }
}

static JsonNode *
end_and_take_object (JsonBuilder *builder)
{
  JsonNode *node;

  json_builder_end_object (builder);
  node = json_builder_get_root (builder);
  g_object_unref (builder);
  return node;
}

static JsonNode *
revision_to_json (const Lwm__ControlAnswer *answer)
{
  JsonBuilder *builder = json_builder_new ();

  json_builder_begin_object (builder);
  http_json_add_text (
      builder, "result",
      answer->result == LWM__CONTROL_RESULT__RESULT_SAME ? "same" : "accepted");
  if (answer->revision != NULL)
    {
      http_json_add_number (builder, "number", answer->revision->number);
      http_json_add_text (builder, "digest", answer->revision->digest);
      http_json_add_text (builder, "who", answer->revision->who);
    }
  return end_and_take_object (builder);
}

static void
on_applied (const Lwm__ControlAnswer *answer, void *context)
{
  if (answer->result == LWM__CONTROL_RESULT__RESULT_OK
      || answer->result == LWM__CONTROL_RESULT__RESULT_SAME)
    complete_call (context, ERROR_NONE, NULL, revision_to_json (answer));
  else
    complete_with_error (context, answer);
}

void
entry_control_propose (control_client_t *client,
                       const Lwm__Config *config,
                       const char *proposer,
                       admin_done_cb_t done,
                       void *done_context)
{
  pending_call_t *pending = pending_new (client, done, done_context);
  Lwm__ControlApply apply = LWM__CONTROL_APPLY__INIT;
  char digest[CONFIG_DIGEST_SIZE];

  config_digest (config, digest);
  apply.number = config->number;
  apply.digest = digest;
  apply.config.data = config_pack (pending, config, &apply.config.len);
  apply.who = (char *)proposer;
  apply.when_ms = clock_wall_ms ();
  control_client_apply (client, &apply, CALL_TIMEOUT_MS, on_applied, pending);
}

static void
on_member_changed (const Lwm__ControlAnswer *answer, void *context)
{
  if (answer->result == LWM__CONTROL_RESULT__RESULT_OK)
    complete_call (context, ERROR_NONE, NULL, NULL);
  else
    complete_with_error (context, answer);
}

/** Returns the incarnation of a member or learner, 0 when it is unknown. */
static uint64_t
find_incarnation (const Lwm__ControlStatus *status, const char *name)
{
  for (size_t i = 0; i < status->n_members; i++)
    if (strcmp (status->members[i]->name, name) == 0)
      return status->members[i]->incarnation;
  return 0;
}

static void
on_member_status (const Lwm__ControlAnswer *answer, void *context)
{
  pending_call_t *pending = context;
  Lwm__ControlMemberChange change = LWM__CONTROL_MEMBER_CHANGE__INIT;

  if (answer->result != LWM__CONTROL_RESULT__RESULT_OK
      || answer->status == NULL)
    {
      complete_with_error (pending, answer);
      return;
    }
  change.name = pending->name;
  if (strcmp (pending->operation, "promote") == 0)
    change.kind = LWM__CONTROL_MEMBER_CHANGE_KIND__MEMBER_PROMOTE;
  if (strcmp (pending->operation, "remove") == 0)
    {
      change.kind = LWM__CONTROL_MEMBER_CHANGE_KIND__MEMBER_REMOVE;
      change.incarnation = find_incarnation (answer->status, pending->name);
    }
  /* The call may be a retry. An unknown member was then removed by the first
   * attempt, so the removal counts as done. */
  if (strcmp (pending->operation, "remove") == 0 && change.incarnation == 0)
    complete_call (pending, ERROR_NONE, NULL, NULL);
  else
    control_client_change_member (pending->client, &change, CALL_TIMEOUT_MS,
                                  on_member_changed, pending);
}

void
entry_control_member (control_client_t *client,
                      const admin_member_t *change,
                      admin_done_cb_t done,
                      void *done_context)
{
  pending_call_t *pending = pending_new (client, done, done_context);

  pending->operation = talloc_strdup (pending, change->operation);
  pending->name = talloc_strdup (pending, change->name);
  control_client_status (client, CALL_TIMEOUT_MS, on_member_status, pending);
}

static const char *
audit_result_name (Lwm__ControlResult result)
{
  return result == LWM__CONTROL_RESULT__RESULT_OK ? "accepted" : "refused";
}

/* Returns whether the replica that answered is behind the leader, so that the
 * group must be asked again. Any replica may answer. */
static bool
is_behind (const pending_call_t *pending, const Lwm__ControlAnswer *answer)
{
  return answer->status != NULL
         && answer->status->config_number < pending->number
         && clock_mono_ms () < pending->deadline_ms;
}

static void
on_audit (const Lwm__ControlAnswer *answer, void *context)
{
  pending_call_t *pending = context;
  JsonBuilder *builder;

  if (is_behind (pending, answer))
    {
      control_client_status (pending->client, STATUS_TIMEOUT_MS, on_audit,
                             pending);
      return;
    }
  if (answer->result != LWM__CONTROL_RESULT__RESULT_OK
      || answer->status == NULL)
    {
      complete_with_error (pending, answer);
      return;
    }
  builder = json_builder_new ();
  json_builder_begin_object (builder);
  json_builder_set_member_name (builder, "change");
  json_builder_begin_array (builder);
  for (size_t i = 0; i < answer->status->n_audit; i++)
    {
      const Lwm__ControlAudit *audit = answer->status->audit[i];

      json_builder_begin_object (builder);
      http_json_add_number (builder, "number", audit->number);
      http_json_add_text (builder, "digest", audit->digest);
      http_json_add_text (builder, "who", audit->who);
      http_json_add_number (builder, "when_ms", audit->when_ms);
      http_json_add_text (builder, "result", audit_result_name (audit->result));
      if (*audit->zone != '\0')
        {
          http_json_add_text (builder, "zone", audit->zone);
          http_json_add_text (builder, "order",
                              audit->drained ? "start" : "end");
        }
      json_builder_end_object (builder);
    }
  json_builder_end_array (builder);
  complete_call (context, ERROR_NONE, NULL, end_and_take_object (builder));
}

/** Stores the leader's last configuration number, which a quorum has confirmed,
 * and asks for the audit. */
static void
on_last_number (const Lwm__ControlAnswer *answer, void *context)
{
  pending_call_t *pending = context;

  if (answer->result == LWM__CONTROL_RESULT__RESULT_OK)
    pending->number = answer->revision->number;
  else if (answer->result != LWM__CONTROL_RESULT__RESULT_NOT_FOUND)
    {
      complete_with_error (pending, answer);
      return;
    }
  control_client_status (pending->client, STATUS_TIMEOUT_MS, on_audit, pending);
}

void
entry_control_audit (control_client_t *client,
                     admin_done_cb_t done,
                     void *done_context)
{
  pending_call_t *pending = pending_new (client, done, done_context);

  pending->deadline_ms = clock_mono_ms () + CALL_TIMEOUT_MS;
  control_client_get (client, UINT64_MAX, CALL_TIMEOUT_MS, on_last_number,
                      pending);
}

static size_t
count_voters (const Lwm__ControlStatus *status)
{
  size_t count = 0;

  for (size_t i = 0; i < status->n_members; i++)
    if (status->members[i]->voter)
      count++;
  return count;
}

static void
add_member (JsonBuilder *builder,
            const Lwm__ControlMember *member,
            const char *kind)
{
  json_builder_begin_object (builder);
  http_json_add_text (builder, "name", member->name);
  http_json_add_text (builder, "address", member->address);
  http_json_add_text (builder, "kind", kind);
  json_builder_end_object (builder);
}

static JsonNode *
status_to_json (const Lwm__ControlAnswer *answer)
{
  const Lwm__ControlStatus *status = answer->status;
  JsonBuilder *builder = json_builder_new ();

  json_builder_begin_object (builder);
  http_json_add_text (builder, "leader", status->leader);
  http_json_add_number (builder, "term", status->term);
  http_json_add_number (builder, "commit", status->commit);
  http_json_add_number (builder, "number", status->config_number);
  http_json_add_text (builder, "digest", status->config_digest);
  http_json_add_number (builder, "voters", count_voters (status));
  http_json_add_number (builder, "quorum", count_voters (status) / 2 + 1);
  json_builder_set_member_name (builder, "member");
  json_builder_begin_array (builder);
  for (size_t i = 0; i < status->n_members; i++)
    add_member (builder, status->members[i],
                status->members[i]->voter ? "voter" : "learner");
  for (size_t i = 0; i < status->n_waiting; i++)
    add_member (builder, status->waiting[i], "waiting");
  json_builder_end_array (builder);
  return end_and_take_object (builder);
}

static void
on_status (const Lwm__ControlAnswer *answer, void *context)
{
  if (answer->result == LWM__CONTROL_RESULT__RESULT_OK
      && answer->status != NULL)
    complete_call (context, ERROR_NONE, NULL, status_to_json (answer));
  else
    complete_with_error (context, answer);
}

void
entry_control_status (control_client_t *client,
                      admin_done_cb_t done,
                      void *done_context)
{
  control_client_status (client, STATUS_TIMEOUT_MS, on_status,
                         pending_new (client, done, done_context));
}
