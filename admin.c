#define LOG_PART "admin"
#include "admin.h"

#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <stdio.h>
#include <string.h>
#include <talloc.h>

#include "auth.h"
#include "config.h"
#include "configdiff.h"
#include "http.h"
#include "logging.h"

#define PATH_PREFIX      "/admin/v1/"
#define MAX_FILES        256
#define NO_CONTROL_GROUP "this instance has no control group"

struct admin
{
  admin_hooks_t hooks;
  metric_t *calls;
  metric_t *refused;
  uint32_t open_calls;
};

/** An administration call that is being served. */
typedef struct
{
  admin_t *admin;
  struct evhttp_request *request; /* NULL once the caller has closed the
                                     connection */
  struct evhttp_connection *connection;
  const Lwm__Token *holder;
  JsonObject *body;
  const char *path_suffix; /* path after the route's prefix: a name */
} call_t;

typedef void (*serve_cb_t) (call_t *call);

typedef struct
{
  enum evhttp_cmd_type method;
  const char *path; /* ends in '/' when a name must follow */
  Lwm__Role min_role;
  serve_cb_t serve;
} route_t;

static int
free_call (call_t *call)
{
  if (call->connection != NULL)
    evhttp_connection_set_closecb (call->connection, NULL, NULL);
  g_clear_pointer (&call->body, json_object_unref);
  call->admin->open_calls--;
  return 0;
}

static void
on_connection_closed (struct evhttp_connection *connection, void *arg)
{
  call_t *call = arg;

  call->request = NULL;
  call->connection = NULL;
}

static void
refuse_call (call_t *call, error_kind_t kind, const char *detail)
{
  metric_add (call->admin->refused, 1);
  if (call->request != NULL)
    http_reply_error (call->request, kind, error_answer (kind)->ran, detail,
                      NULL, 0);
  talloc_free (call);
}

static void
answer_call (call_t *call, JsonNode *node)
{
  if (node == NULL)
    {
      node = json_node_new (JSON_NODE_OBJECT);
      json_node_take_object (node, json_object_new ());
    }
  if (call->request != NULL)
    http_reply_json (call->request, 200, node);
  else
    json_node_unref (node);
  talloc_free (call);
}

static void
on_done (error_kind_t kind,
         const char *detail,
         JsonNode *node,
         void *done_context)
{
  call_t *call = done_context;

  if (kind == ERROR_NONE)
    answer_call (call, node);
  else
    {
      g_clear_pointer (&node, json_node_unref);
      refuse_call (call, kind, detail);
    }
}

static bool
may_read (const char *customer, const void *holder)
{
  return auth_may_read_customer (holder, customer);
}

static void
reply_result (call_t *call, error_kind_t kind)
{
  if (kind == ERROR_NONE)
    answer_call (call, NULL);
  else
    refuse_call (call, kind, NULL);
}

static void
serve_status (call_t *call)
{
  answer_call (call, call->admin->hooks.status (call->admin->hooks.context));
}

static void
serve_explain (call_t *call)
{
  const admin_hooks_t *hooks = &call->admin->hooks;
  const char *customer = NULL;
  JsonNode *node
      = hooks->explain (call->path_suffix, &customer, hooks->context);

  if (node == NULL)
    refuse_call (call, ERROR_NOT_FOUND, "no such request is known here");
  else if (customer != NULL && !may_read (customer, call->holder))
    {
      json_node_unref (node);
      refuse_call (call, ERROR_FORBIDDEN, NULL);
    }
  else
    answer_call (call, node);
}

static void
serve_customers (call_t *call)
{
  const admin_hooks_t *hooks = &call->admin->hooks;

  answer_call (call, hooks->usage (may_read, call->holder, hooks->context));
}

static void
serve_audit (call_t *call)
{
  const admin_hooks_t *hooks = &call->admin->hooks;

  if (hooks->audit == NULL)
    refuse_call (call, ERROR_NO_QUORUM, NO_CONTROL_GROUP);
  else
    hooks->audit (on_done, call, hooks->context);
}

static void
serve_control (call_t *call)
{
  const admin_hooks_t *hooks = &call->admin->hooks;

  if (hooks->control == NULL)
    refuse_call (call, ERROR_NO_QUORUM, NO_CONTROL_GROUP);
  else
    hooks->control (on_done, call, hooks->context);
}

static void
serve_drain (call_t *call)
{
  const admin_hooks_t *hooks = &call->admin->hooks;

  reply_result (
      call, hooks->drain (http_json_bool_member (call->body, "draining", true),
                          hooks->context));
}

/** Returns whether the holder may act on the service of @a upstream; refuses
 * the call when not. */
static bool
check_upstream_access (call_t *call, const char *upstream)
{
  const admin_hooks_t *hooks = &call->admin->hooks;
  const char *service = hooks->upstream_service (upstream, hooks->context);

  if (service == NULL)
    refuse_call (call, ERROR_NOT_FOUND, "no such upstream is known here");
  else if (!auth_may_change_service (call->holder, service))
    refuse_call (call, ERROR_FORBIDDEN, NULL);
  else
    return true;
  return false;
}

static void
serve_drain_upstream (call_t *call)
{
  const admin_hooks_t *hooks = &call->admin->hooks;

  if (hooks->drain_upstream == NULL)
    refuse_call (call, ERROR_NOT_FOUND,
                 "upstreams cannot be drained from here yet: stop the upstream "
                 "itself, which then announces that it is leaving");
  else if (check_upstream_access (call, call->path_suffix))
    reply_result (call,
                  hooks->drain_upstream (
                      call->path_suffix,
                      http_json_bool_member (call->body, "draining", true),
                      hooks->context));
}

static void
serve_order (call_t *call)
{
  const admin_hooks_t *hooks = &call->admin->hooks;
  admin_order_t order = {
    .upstream = http_json_text_member (call->body, "upstream", ""),
    .kind = http_json_text_member (call->body, "kind", ""),
    .model = http_json_text_member (call->body, "model", ""),
    .adapter = http_json_text_member (call->body, "adapter", ""),
    .version = http_json_text_member (call->body, "version", ""),
    .role = http_json_text_member (call->body, "role", ""),
  };

  if (strcmp (order.kind, "load") != 0 && strcmp (order.kind, "unload") != 0
      && strcmp (order.kind, "role") != 0)
    refuse_call (call, ERROR_BAD_REQUEST,
                 "kind: expected load, unload or role");
  else if (hooks->order == NULL)
    refuse_call (call, ERROR_NO_QUORUM, NO_CONTROL_GROUP);
  else if (check_upstream_access (call, order.upstream))
    hooks->order (&order, on_done, call, hooks->context);
}

static void
serve_member_change (call_t *call)
{
  const admin_hooks_t *hooks = &call->admin->hooks;
  admin_member_t change = {
    .operation = http_json_text_member (call->body, "operation", ""),
    .name = http_json_text_member (call->body, "name", ""),
    .address = http_json_text_member (call->body, "address", ""),
  };

  if (strcmp (change.operation, "add") != 0
      && strcmp (change.operation, "promote") != 0
      && strcmp (change.operation, "remove") != 0)
    refuse_call (call, ERROR_BAD_REQUEST,
                 "operation: expected add, promote or remove");
  else if (change.name[0] == '\0')
    refuse_call (call, ERROR_BAD_REQUEST, "name: must be given");
  else if (hooks->member == NULL)
    refuse_call (call, ERROR_NO_QUORUM, NO_CONTROL_GROUP);
  else
    hooks->member (&change, on_done, call, hooks->context);
}

static JsonNode *
changes_to_json (const Lwm__Config *config,
                 const configdiff_change_t *changes,
                 size_t count)
{
  JsonBuilder *builder = json_builder_new ();
  char digest[CONFIG_DIGEST_SIZE];
  JsonNode *node;

  config_digest (config, digest);
  json_builder_begin_object (builder);
  json_builder_set_member_name (builder, "number");
  json_builder_add_int_value (builder, (gint64)config->number);
  json_builder_set_member_name (builder, "digest");
  json_builder_add_string_value (builder, digest);
  json_builder_set_member_name (builder, "changes");
  json_builder_begin_array (builder);
  for (size_t i = 0; i < count; i++)
    {
      json_builder_begin_object (builder);
      json_builder_set_member_name (builder, "change");
      json_builder_add_string_value (builder,
                                     configdiff_kind_name (changes[i].kind));
      json_builder_set_member_name (builder, "section");
      json_builder_add_string_value (builder, changes[i].section);
      json_builder_set_member_name (builder, "name");
      json_builder_add_string_value (
          builder, changes[i].name != NULL ? changes[i].name : "");
      json_builder_end_object (builder);
    }
  json_builder_end_array (builder);
  json_builder_end_object (builder);
  node = json_builder_get_root (builder);
  g_object_unref (builder);
  return node;
}

static gint
compare_names (gconstpointer left, gconstpointer right)
{
  return strcmp (left, right);
}

/** Loads the configuration in the member "files" of the body; returns NULL and
 * sets @a mistakes when it is invalid. */
static Lwm__Config *
load_posted_files (call_t *call, char **mistakes)
{
  JsonNode *member = json_object_get_member (call->body, "files");
  const char *names[MAX_FILES];
  const char *texts[MAX_FILES];
  JsonObject *files;
  GList *sorted;
  size_t count = 0;

  *mistakes = (char *)"files: expected an object of file names and texts";
  if (member == NULL || !JSON_NODE_HOLDS_OBJECT (member))
    return NULL;
  files = json_node_get_object (member);
  sorted = g_list_sort (json_object_get_members (files), compare_names);
  for (GList *item = sorted; item != NULL && count < MAX_FILES;
       item = item->next)
    {
      names[count] = item->data;
      texts[count] = http_json_text_member (files, item->data, NULL);
      if (texts[count] == NULL)
        break;
      count++;
    }
  if (count != g_list_length (sorted))
    count = 0;
  g_list_free (sorted);
  return count > 0 ? config_load_texts (call, count, names, texts, mistakes)
                   : NULL;
}

static void
propose_posted_config (call_t *call,
                       const Lwm__Config *config,
                       const configdiff_change_t *changes,
                       size_t count)
{
  const admin_hooks_t *hooks = &call->admin->hooks;
  const configdiff_change_t *refused = NULL;
  char detail[160];

  if (!auth_may_apply (call->holder, changes, count, &refused))
    {
      snprintf (detail, sizeof detail,
                "the token's scope does not hold %s '%s'", refused->section,
                refused->name != NULL ? refused->name : "");
      refuse_call (call, ERROR_FORBIDDEN, detail);
      return;
    }
  if (http_json_bool_member (call->body, "dry_run", false))
    {
      answer_call (call, changes_to_json (config, changes, count));
      return;
    }
  if (config->number == 0)
    {
      refuse_call (call, ERROR_BAD_REQUEST,
                   "number: must be given and above 0");
      return;
    }
  if (hooks->propose == NULL)
    {
      refuse_call (call, ERROR_NO_QUORUM, NO_CONTROL_GROUP);
      return;
    }
  log_info ("Change proposed. number=%llu who=%s changes=%zu",
            (unsigned long long)config->number, call->holder->name, count);
  hooks->propose (config, call->holder->name, on_done, call, hooks->context);
}

static void
serve_apply (call_t *call)
{
  const admin_hooks_t *hooks = &call->admin->hooks;
  char *mistakes = NULL;
  Lwm__Config *config = load_posted_files (call, &mistakes);
  configdiff_change_t *changes;
  int64_t number;
  size_t count;

  if (config == NULL)
    {
      refuse_call (call, ERROR_BAD_CONFIGURATION, mistakes);
      return;
    }
  number = http_json_number_member (call->body, "number", 0);
  if (number > 0)
    config->number = (uint64_t)number;
  changes
      = configdiff_list (call, hooks->config (hooks->context), config, &count);
  propose_posted_config (call, config, changes, count);
}

static void
serve_log_level (call_t *call)
{
  logging_level_t level;

  if (!logging_level_from_name (http_json_text_member (call->body, "level", ""),
                                &level))
    {
      refuse_call (call, ERROR_BAD_REQUEST,
                   "level: expected error, warn, info or debug");
      return;
    }
  logging_set_level (level);
  answer_call (call, NULL);
}

static const route_t routes[] = {
  { EVHTTP_REQ_GET, "status", LWM__ROLE__VIEWER, serve_status },
  { EVHTTP_REQ_GET, "customers", LWM__ROLE__VIEWER, serve_customers },
  { EVHTTP_REQ_GET, "explain/", LWM__ROLE__VIEWER, serve_explain },
  { EVHTTP_REQ_GET, "control", LWM__ROLE__VIEWER, serve_control },
  { EVHTTP_REQ_GET, "audit", LWM__ROLE__ADMINISTRATOR, serve_audit },
  { EVHTTP_REQ_POST, "configuration", LWM__ROLE__OPERATOR, serve_apply },
  { EVHTTP_REQ_POST, "drain", LWM__ROLE__ADMINISTRATOR, serve_drain },
  { EVHTTP_REQ_POST, "upstreams/drain/", LWM__ROLE__OPERATOR,
    serve_drain_upstream },
  { EVHTTP_REQ_POST, "upstreams/order", LWM__ROLE__OPERATOR, serve_order },
  { EVHTTP_REQ_POST, "members", LWM__ROLE__ADMINISTRATOR, serve_member_change },
  { EVHTTP_REQ_POST, "log-level", LWM__ROLE__ADMINISTRATOR, serve_log_level },
};

static bool
path_matches (const route_t *route, const char *path, const char **path_suffix)
{
  size_t length = strlen (route->path);

  if (route->path[length - 1] != '/')
    return strcmp (path, route->path) == 0;
  *path_suffix = path + length;
  return strncmp (path, route->path, length) == 0 && path[length] != '\0';
}

static const route_t *
find_route (enum evhttp_cmd_type method,
            const char *path,
            const char **path_suffix)
{
  for (size_t i = 0; i < G_N_ELEMENTS (routes); i++)
    if (routes[i].method == method
        && path_matches (&routes[i], path, path_suffix))
      return &routes[i];
  return NULL;
}

/**
 * Returns an administrator when the caller has a loopback address, else NULL.
 * Used while the configuration has no token, so that an operator on the same
 * machine can configure the first one.
 */
static const Lwm__Token *
find_loopback_holder (struct evhttp_request *request)
{
  static Lwm__Token local = LWM__TOKEN__INIT;
  char *peer = NULL;
  ev_uint16_t port;

  local.name = (char *)"local";
  local.role = LWM__ROLE__ADMINISTRATOR;
  evhttp_connection_get_peer (evhttp_request_get_connection (request), &peer,
                              &port);
  return peer != NULL
                 && (strncmp (peer, "127.", 4) == 0
                     || strcmp (peer, "::1") == 0)
             ? &local
             : NULL;
}

static const Lwm__Token *
find_holder (admin_t *admin, struct evhttp_request *request)
{
  const Lwm__Config *config = admin->hooks.config (admin->hooks.context);
  const char *header = http_header (request, "Authorization");

  if (config == NULL || config->n_tokens == 0)
    return find_loopback_holder (request);
  if (header == NULL || strncmp (header, "Bearer ", 7) != 0)
    return NULL;
  return auth_find (config, header + 7);
}

static JsonObject *
read_body (struct evhttp_request *request, char **error_text)
{
  if (evhttp_request_get_command (request) == EVHTTP_REQ_GET)
    return json_object_new ();
  return http_body_object (request, error_text);
}

static void
serve_route (call_t *call, const char *path)
{
  const route_t *route = find_route (evhttp_request_get_command (call->request),
                                     path, &call->path_suffix);
  char *error_text = NULL;

  if (call->holder == NULL)
    refuse_call (call, ERROR_UNAUTHORIZED, NULL);
  else if (route == NULL)
    refuse_call (call, ERROR_NOT_FOUND, "no such route");
  else if (call->holder->role < route->min_role)
    refuse_call (call, ERROR_FORBIDDEN, NULL);
  else if ((call->body = read_body (call->request, &error_text)) == NULL)
    refuse_call (call, ERROR_BAD_REQUEST, error_text);
  else
    route->serve (call);
  g_free (error_text);
}

bool
admin_serve (admin_t *admin, struct evhttp_request *request)
{
  const char *path
      = evhttp_uri_get_path (evhttp_request_get_evhttp_uri (request));
  call_t *call;

  if (path == NULL || strncmp (path, PATH_PREFIX, strlen (PATH_PREFIX)) != 0)
    return false;
  metric_add (admin->calls, 1);
  call = talloc_zero (admin, call_t);
  call->admin = admin;
  call->request = request;
  call->connection = evhttp_request_get_connection (request);
  call->holder = find_holder (admin, request);
  admin->open_calls++;
  talloc_set_destructor (call, free_call);
  evhttp_connection_set_closecb (call->connection, on_connection_closed, call);
  serve_route (call, path + strlen (PATH_PREFIX));
  return true;
}

uint32_t
admin_open_calls (const admin_t *admin)
{
  return admin->open_calls;
}

admin_t *
admin_new (void *parent, const admin_hooks_t *hooks, metrics_t *metrics)
{
  admin_t *admin = talloc_zero (parent, admin_t);

  admin->hooks = *hooks;
  admin->calls = metrics_counter (metrics, "lwm_admin_calls_total",
                                  "administration calls", NULL);
  admin->refused
      = metrics_counter (metrics, "lwm_admin_refused_total",
                         "administration calls that were refused", NULL);
  return admin;
}
