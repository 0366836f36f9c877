#include "entry-admin.h"

#include <talloc.h>

#include "config.h"
#include "entry-control.h"
#include "explain.h"
#include "http.h"

struct entry_admin
{
  entry_admin_options_t options;
  const Lwm__Config *config;
  admin_t *api;
};

static JsonNode *
end_and_take_object (JsonBuilder *builder)
{
  JsonNode *node;

  json_builder_end_object (builder);
  node = json_builder_get_root (builder);
  g_object_unref (builder);
  return node;
}

static JsonBuilder *
begin_object (void)
{
  JsonBuilder *builder = json_builder_new ();

  json_builder_begin_object (builder);
  return builder;
}

static void
add_weights (JsonBuilder *builder, const weights_t *weights)
{
  json_builder_begin_object (builder);
  http_json_add_text (builder, "model", weights->model);
  http_json_add_text (builder, "adapter", weights->adapter);
  http_json_add_text (builder, "version", weights->version);
  json_builder_end_object (builder);
}

static void
add_upstream (const registry_upstream_t *upstream, void *context)
{
  JsonBuilder *builder = context;

  json_builder_begin_object (builder);
  http_json_add_text (builder, "name", upstream->name);
  http_json_add_text (builder, "zone", upstream->zone);
  http_json_add_text (builder, "service", upstream->service);
  http_json_add_text (builder, "address", upstream->address);
  json_builder_set_member_name (builder, "loaded");
  json_builder_begin_array (builder);
  for (size_t i = 0; i < upstream->loaded_count; i++)
    add_weights (builder, &upstream->loaded[i]);
  json_builder_end_array (builder);
  http_json_add_text (builder, "role", upstream->role);
  http_json_add_flag (builder, "leaving", upstream->leaving);
  http_json_add_flag (builder, "suspect", upstream->suspect);
  http_json_add_number (builder, "running", upstream->load.running);
  http_json_add_number (builder, "kv_used_tokens",
                        upstream->load.kv_used_tokens);
  http_json_add_number (builder, "kv_tokens", upstream->kv_tokens);
  json_builder_end_object (builder);
}

static void
add_instance (const Lwm__InstanceRecord *instance,
              uint64_t number,
              void *context)
{
  static const char *const states[] = { "alive", "suspect", "dead", "left" };
  JsonBuilder *builder = context;

  json_builder_begin_object (builder);
  http_json_add_text (builder, "name", instance->instance);
  http_json_add_text (builder, "zone", instance->zone);
  http_json_add_text (builder, "address", instance->http);
  http_json_add_text (builder, "state", states[instance->state]);
  http_json_add_flag (builder, "draining", instance->draining);
  /* Gossip carries the revision of an instance only inside its zone. Other
   * zones receive only the revision of the zone as a whole. */
  if (number > 0)
    http_json_add_number (builder, "revision", number);
  json_builder_end_object (builder);
}

static void
add_revision (JsonBuilder *builder, const Lwm__Config *config)
{
  char digest[CONFIG_DIGEST_SIZE] = "";

  if (config != NULL)
    config_digest (config, digest);
  json_builder_set_member_name (builder, "revision");
  json_builder_begin_object (builder);
  http_json_add_number (builder, "number", config != NULL ? config->number : 0);
  http_json_add_text (builder, "digest", digest);
  json_builder_end_object (builder);
}

static JsonNode *
build_status (void *context)
{
  entry_admin_t *admin = context;
  const entry_admin_options_t *options = &admin->options;
  JsonBuilder *builder = begin_object ();

  http_json_add_text (builder, "name", options->instance);
  http_json_add_text (builder, "zone", options->zone);
  http_json_add_flag (builder, "draining",
                      options->is_draining (options->context));
  http_json_add_number (builder, "live_requests",
                        dispatch_live_count (options->dispatch));
  http_json_add_number (builder, "unconfirmed_cancels",
                        dispatch_open_cancels (options->dispatch));
  http_json_add_flag (builder, "has_control_group", options->control != NULL);
  add_revision (builder, admin->config);
  json_builder_set_member_name (builder, "member");
  json_builder_begin_array (builder);
  membership_each_instance (options->membership, add_instance, builder);
  json_builder_end_array (builder);
  json_builder_set_member_name (builder, "upstream");
  json_builder_begin_array (builder);
  registry_each (options->registry, add_upstream, builder);
  json_builder_end_array (builder);
  return end_and_take_object (builder);
}

static JsonNode *
explain_request (const char *request_id, const char **customer, void *context)
{
  entry_admin_t *admin = context;
  request_t *request = dispatch_find (admin->options.dispatch, request_id);

  if (request == NULL)
    return NULL;
  *customer = request->customer;
  return explain_to_json (
      request, dispatch_run_state (admin->options.dispatch, request));
}

static JsonNode *
list_customers (admin_may_read_cb_t may_read, const void *holder, void *context)
{
  entry_admin_t *admin = context;
  const Lwm__Config *config = admin->config;
  JsonBuilder *builder = begin_object ();

  json_builder_set_member_name (builder, "customer");
  json_builder_begin_array (builder);
  for (size_t i = 0; config != NULL && i < config->n_customers; i++)
    {
      const Lwm__Customer *customer = config->customers[i];

      if (!may_read (customer->name, holder))
        continue;
      json_builder_begin_object (builder);
      http_json_add_text (builder, "name", customer->name);
      http_json_add_number (builder, "weight", customer->weight);
      http_json_add_number (builder, "priority", customer->priority);
      http_json_add_number (builder, "limit_tokens_per_s",
                            customer->tokens_per_s);
      http_json_add_number (builder, "limit_requests_per_s",
                            customer->requests_per_s);
      json_builder_end_object (builder);
    }
  json_builder_end_array (builder);
  return end_and_take_object (builder);
}

static const Lwm__Config *
current_config (void *context)
{
  entry_admin_t *admin = context;

  return admin->config;
}

static error_kind_t
set_draining (bool draining, void *context)
{
  entry_admin_t *admin = context;

  admin->options.drain (draining, admin->options.context);
  return ERROR_NONE;
}

static const char *
find_service (const char *upstream, void *context)
{
  entry_admin_t *admin = context;
  const registry_upstream_t *found
      = registry_find (admin->options.registry, upstream);

  return found != NULL ? found->service : NULL;
}

static void
propose_config (const Lwm__Config *config,
                const char *proposer,
                admin_done_cb_t done,
                void *done_context,
                void *context)
{
  entry_admin_t *admin = context;

  entry_control_propose (admin->options.control, config, proposer, done,
                         done_context);
}

static void
change_member (const admin_member_t *change,
               admin_done_cb_t done,
               void *done_context,
               void *context)
{
  entry_admin_t *admin = context;

  entry_control_member (admin->options.control, change, done, done_context);
}

static void
send_order (const admin_order_t *order,
            admin_done_cb_t done,
            void *done_context,
            void *context)
{
  entry_admin_t *admin = context;

  entry_orders_send (admin->options.orders, order, done, done_context);
}

static void
list_audit (admin_done_cb_t done, void *done_context, void *context)
{
  entry_admin_t *admin = context;

  entry_control_audit (admin->options.control, done, done_context);
}

static void
describe_control_group (admin_done_cb_t done, void *done_context, void *context)
{
  entry_admin_t *admin = context;

  entry_control_status (admin->options.control, done, done_context);
}

void
entry_admin_set_config (entry_admin_t *admin, const Lwm__Config *config)
{
  admin->config = config;
}

bool
entry_admin_serve (entry_admin_t *admin, struct evhttp_request *request)
{
  return admin_serve (admin->api, request);
}

uint32_t
entry_admin_open_calls (const entry_admin_t *admin)
{
  return admin_open_calls (admin->api);
}

entry_admin_t *
entry_admin_new (void *parent, const entry_admin_options_t *options)
{
  entry_admin_t *admin = talloc_zero (parent, entry_admin_t);
  admin_hooks_t hooks = {
    .config = current_config,
    .status = build_status,
    .explain = explain_request,
    .usage = list_customers,
    .drain = set_draining,
    .upstream_service = find_service,
    .context = admin,
  };

  if (options->control != NULL)
    {
      hooks.propose = propose_config;
      hooks.member = change_member;
      hooks.order = send_order;
      hooks.audit = list_audit;
      hooks.control = describe_control_group;
    }
  admin->options = *options;
  admin->api = admin_new (admin, &hooks, options->metrics);
  return admin;
}
