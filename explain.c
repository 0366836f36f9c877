#include "explain.h"

#include "dispatch.h"
#include "http.h"

static void
add_transition (JsonBuilder *builder,
                const request_t *request,
                const request_edge_t *edge)
{
  json_builder_begin_object (builder);
  http_json_add_number (builder, "after_ms",
                        edge->at_ms - request->received_ms);
  http_json_add_text (builder, "state", request_state_name (edge->state));
  http_json_add_text (builder, "reason", edge->reason);
  http_json_add_text (builder, "upstream", edge->upstream);
  json_builder_end_object (builder);
}

static void
add_history (JsonBuilder *builder, const request_t *request)
{
  json_builder_set_member_name (builder, "history");
  json_builder_begin_array (builder);
  for (guint i = 0; i < request->edges->len; i++)
    add_transition (builder, request,
                    &g_array_index (request->edges, request_edge_t, i));
  json_builder_end_array (builder);
}

static void
add_not_run (JsonBuilder *builder, ran_t ran)
{
  json_builder_set_member_name (builder, "not_run");
  if (ran == RAN_UNKNOWN)
    json_builder_add_string_value (builder, "unknown");
  else
    json_builder_add_boolean_value (builder, ran == RAN_NO);
}

static void
add_request_fields (JsonBuilder *builder, const request_t *request)
{
  http_json_add_text (builder, "id", request->id);
  http_json_add_text (builder, "service", request->service);
  http_json_add_text (builder, "customer", request->customer);
  http_json_add_text (builder, "model", request->model);
  http_json_add_text (builder, "adapter", request->adapter);
  http_json_add_text (builder, "version", request->version);
  http_json_add_number (builder, "priority", request->priority);
  http_json_add_number (builder, "prompt_tokens",
                        request_prompt_tokens (request));
  http_json_add_number (builder, "max_tokens", request->max_tokens);
  http_json_add_number (builder, "allotted_ms",
                        request->deadline_ms - request->received_ms);
  json_builder_set_member_name (builder, "idempotent");
  json_builder_add_boolean_value (builder, request->idempotent);
}

static void
add_spans (JsonBuilder *builder, const oversize_t *plan)
{
  json_builder_set_member_name (builder, "spans");
  json_builder_begin_array (builder);
  for (uint32_t i = 0; i < plan->span_count; i++)
    {
      const oversize_span_t *span = &plan->spans[i];

      json_builder_begin_object (builder);
      http_json_add_number (builder, "start_bytes", span->start_bytes);
      http_json_add_number (builder, "end_bytes", span->end_bytes);
      http_json_add_text (builder, "state", oversize_state_name (span->state));
      http_json_add_number (builder, "sends", span->sends);
      http_json_add_text (builder, "upstream", span->upstream);
      json_builder_end_object (builder);
    }
  json_builder_end_array (builder);
}

JsonNode *
explain_to_json (const request_t *request, ran_t ran)
{
  JsonBuilder *builder = json_builder_new ();
  JsonNode *node;

  json_builder_begin_object (builder);
  add_request_fields (builder, request);
  http_json_add_text (builder, "state", request_state_name (request->state));
  if (request->error != ERROR_NONE)
    http_json_add_text (builder, "error", error_name (request->error));
  add_not_run (builder, ran);
  http_json_add_number (builder, "sends", request->sends);
  http_json_add_text (builder, "upstream", request->attempt.upstream);
  if (request->first_token_at_ms > 0)
    http_json_add_number (builder, "first_token_ms",
                          request->first_token_at_ms - request->received_ms);
  if (dispatch_oversize_plan (request) != NULL)
    add_spans (builder, dispatch_oversize_plan (request));
  add_history (builder, request);
  json_builder_end_object (builder);
  node = json_builder_get_root (builder);
  g_object_unref (builder);
  return node;
}
