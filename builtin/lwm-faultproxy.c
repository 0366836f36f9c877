/**
 * @file lwm-faultproxy.c
 * A TCP proxy that injects network faults. Routes use numeric IP addresses and
 * are controlled over HTTP:
 *
 *   GET  /v1/routes       returns every route, its faults and traffic counters
 *   POST /v1/routes       {"name","listen","target"} adds a route
 *   POST /v1/routes/NAME  {"delay_ms","jitter_ms","stall_percent","stall_ms",
 *                         "bandwidth_bytes_s","truncate_bytes",
 *                         "cut":"none|in|out|both","reset":true}
 *
 * The second POST changes the faults of a route. Faults that are not named keep
 * their value. "reset" resets every open connection of the route once.
 */
#include <errno.h>
#include <event2/http.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#include "base.h"
#include "daemon.h"
#include "http.h"
#include "proxy.h"
#include "settings.h"
#include "settings.pb-c.h"
#define LOG_PART "faultproxy"
#include "logging.h"

#define MAX_FAULT_MS    86400000
#define MAX_FAULT_BYTES ((int64_t)1 << 50)
#define MAX_PERCENT     100

static const setting_t settings_table[] = {
  { .field = "listen",
    .arg = "ADDRESS",
    .help = "HTTP address for control",
    .kind = SETTING_ADDRESS,
    .required = true },
  { .field = "route",
    .arg = "ROUTE",
    .help = "NAME=LISTEN-ADDRESS:PORT=TARGET-ADDRESS:PORT (repeatable)",
    .kind = SETTING_TEXT },
  { .field = "seed",
    .arg = "NUMBER",
    .help = "seed of the random numbers",
    .kind = SETTING_NUMBER,
    .fallback = "1",
    .max = UINT32_MAX },
  { .field = "log_level",
    .arg = "LEVEL",
    .help = "least severe level logged: error, warn, info or debug",
    .kind = SETTING_CHOICE,
    .fallback = "info",
    .choices = "error|warn|info|debug" },
  { .field = NULL },
};

/** A numeric fault parameter of the route API; valid from 0 to max. */
typedef struct
{
  const char *name;
  int64_t max;
} fault_parameter_t;

static const fault_parameter_t fault_parameters[] = {
  { "delay_ms", MAX_FAULT_MS },
  { "jitter_ms", MAX_FAULT_MS },
  { "stall_percent", MAX_PERCENT },
  { "stall_ms", MAX_FAULT_MS },
  { "bandwidth_bytes_s", MAX_FAULT_BYTES },
  { "truncate_bytes", MAX_FAULT_BYTES },
};

static JsonObject *
route_object (const proxy_route_t *route)
{
  JsonObject *object = json_object_new ();
  proxy_faults_t faults = proxy_route_faults (route);
  proxy_counts_t counts = proxy_route_counts (route);
  struct
  {
    const char *name;
    uint64_t value;
  } members[] = {
    { "delay_ms", faults.delay_ms },
    { "jitter_ms", faults.jitter_ms },
    { "stall_percent", faults.stall_percent },
    { "stall_ms", faults.stall_ms },
    { "bandwidth_bytes_s", faults.bandwidth_bytes_s },
    { "truncate_bytes", faults.truncate_bytes },
    { "bytes_in", counts.bytes_in },
    { "bytes_out", counts.bytes_out },
    { "held_in_bytes", counts.held_in_bytes },
    { "held_out_bytes", counts.held_out_bytes },
    { "connections", counts.connections },
    { "accepted", counts.accepted },
    { "resets", counts.resets },
    { "truncated", counts.truncated },
  };

  json_object_set_string_member (object, "name", proxy_route_name (route));
  json_object_set_string_member (object, "listen", proxy_route_listen (route));
  json_object_set_string_member (object, "target", proxy_route_target (route));
  json_object_set_string_member (object, "cut", proxy_cut_name (faults.cut));
  for (size_t i = 0; i < G_N_ELEMENTS (members); i++)
    json_object_set_int_member (object, members[i].name,
                                (gint64)members[i].value);
  return object;
}

static JsonNode *
make_node (JsonObject *object)
{
  JsonNode *node = json_node_init_object (json_node_alloc (), object);

  json_object_unref (object);
  return node;
}

static void
reply_bad_request (struct evhttp_request *request, const char *detail)
{
  http_reply_error (request, ERROR_BAD_REQUEST, RAN_NO, detail, NULL, 0);
}

static void
add_route_object (proxy_route_t *route, void *context)
{
  json_array_add_object_element (context, route_object (route));
}

static void
list_routes (proxy_t *proxy, struct evhttp_request *request)
{
  JsonObject *object = json_object_new ();
  JsonArray *routes = json_array_new ();

  proxy_each_route (proxy, add_route_object, routes);
  json_object_set_array_member (object, "routes", routes);
  http_reply_json (request, HTTP_OK, make_node (object));
}

static void
add_route (proxy_t *proxy, struct evhttp_request *request, JsonObject *body)
{
  const char *name = http_json_text_member (body, "name", "");
  const char *listen = http_json_text_member (body, "listen", "");
  const char *target = http_json_text_member (body, "target", "");
  proxy_route_t *route;
  char ip[64];
  uint16_t port;

  if (name[0] == '\0' || !settings_split_address (listen, ip, &port)
      || !settings_split_address (target, ip, &port))
    {
      reply_bad_request (
          request, "a route needs a name, and listen and target as IP:PORT");
      return;
    }
  route = proxy_add_route (proxy, name, listen, target);
  if (route == NULL)
    reply_bad_request (request, strerror (errno));
  else
    http_reply_json (request, HTTP_OK, make_node (route_object (route)));
}

static bool
is_out_of_range (JsonObject *body, const fault_parameter_t *member)
{
  int64_t value = http_json_number_member (body, member->name, -1);

  return json_object_has_member (body, member->name)
         && (value < 0 || value > member->max);
}

static bool
is_known_fault (const char *name)
{
  if (strcmp (name, "cut") == 0 || strcmp (name, "reset") == 0)
    return true;
  for (size_t i = 0; i < G_N_ELEMENTS (fault_parameters); i++)
    if (strcmp (name, fault_parameters[i].name) == 0)
      return true;
  return false;
}

/** Returns a member of @a body that is unknown or out of range, or NULL. */
static const char *
find_invalid_member (JsonObject *body)
{
  GList *names = json_object_get_members (body);
  proxy_cut_t cut;
  const char *invalid = NULL;

  for (GList *at = names; at != NULL; at = at->next)
    if (!is_known_fault (at->data))
      invalid = at->data;
  g_list_free (names);
  for (size_t i = 0; i < G_N_ELEMENTS (fault_parameters); i++)
    if (is_out_of_range (body, &fault_parameters[i]))
      invalid = fault_parameters[i].name;
  if (json_object_has_member (body, "cut")
      && !proxy_cut_from_name (http_json_text_member (body, "cut", ""), &cut))
    invalid = "cut";
  return invalid;
}

static void
set_faults (proxy_route_t *route, JsonObject *body)
{
  proxy_faults_t faults = proxy_route_faults (route);

  faults.delay_ms
      = (uint32_t)http_json_number_member (body, "delay_ms", faults.delay_ms);
  faults.jitter_ms
      = (uint32_t)http_json_number_member (body, "jitter_ms", faults.jitter_ms);
  faults.stall_percent = (uint32_t)http_json_number_member (
      body, "stall_percent", faults.stall_percent);
  faults.stall_ms
      = (uint32_t)http_json_number_member (body, "stall_ms", faults.stall_ms);
  faults.bandwidth_bytes_s = (uint64_t)http_json_number_member (
      body, "bandwidth_bytes_s", (int64_t)faults.bandwidth_bytes_s);
  faults.truncate_bytes = (uint64_t)http_json_number_member (
      body, "truncate_bytes", (int64_t)faults.truncate_bytes);
  proxy_cut_from_name (
      http_json_text_member (body, "cut", proxy_cut_name (faults.cut)),
      &faults.cut);
  log_info ("Faults changed. route=%s cut=%s delay_ms=%u",
            proxy_route_name (route), proxy_cut_name (faults.cut),
            faults.delay_ms);
  proxy_route_set_faults (route, &faults);
  if (http_json_bool_member (body, "reset", false))
    proxy_route_reset (route);
}

static void
change_route (proxy_t *proxy,
              struct evhttp_request *request,
              const char *name,
              JsonObject *body)
{
  proxy_route_t *route = proxy_route (proxy, name);
  const char *invalid = find_invalid_member (body);
  char *detail;

  if (route == NULL)
    {
      http_reply_error (request, ERROR_NOT_FOUND, RAN_NO, NULL, NULL, 0);
      return;
    }
  if (invalid != NULL)
    {
      detail = g_strdup_printf ("fault unknown or out of range: '%s'", invalid);
      reply_bad_request (request, detail);
      g_free (detail);
      return;
    }
  set_faults (route, body);
  http_reply_json (request, HTTP_OK, make_node (route_object (route)));
}

static void
serve_post (proxy_t *proxy, struct evhttp_request *request, const char *path)
{
  char *why = NULL;
  JsonObject *body = http_body_object (request, &why);

  if (body == NULL)
    reply_bad_request (request, why);
  else if (strcmp (path, "/v1/routes") == 0)
    add_route (proxy, request, body);
  else
    change_route (proxy, request, path + strlen ("/v1/routes/"), body);
  g_clear_pointer (&body, json_object_unref);
  g_free (why);
}

static void
serve (struct evhttp_request *request, void *context)
{
  proxy_t *proxy = *(proxy_t **)context;
  const char *path
      = evhttp_uri_get_path (evhttp_request_get_evhttp_uri (request));
  bool is_list = path != NULL && strcmp (path, "/v1/routes") == 0;
  bool is_route = path != NULL && g_str_has_prefix (path, "/v1/routes/");
  enum evhttp_cmd_type method = evhttp_request_get_command (request);

  if (method == EVHTTP_REQ_GET && is_list)
    list_routes (proxy, request);
  else if (method == EVHTTP_REQ_POST && (is_list || is_route))
    serve_post (proxy, request, path);
  else
    http_reply_error (request, ERROR_NOT_FOUND, RAN_NO, NULL, NULL, 0);
}

/** Adds a route given as NAME=LISTEN=TARGET; reports an error on stderr. */
static bool
add_route_from_text (proxy_t *proxy, const char *text)
{
  char **parts = g_strsplit (text, "=", 3);
  bool is_complete = g_strv_length (parts) == 3;
  char ip[64];
  uint16_t port;
  bool added = false;

  if (!is_complete || !settings_split_address (parts[1], ip, &port)
      || !settings_split_address (parts[2], ip, &port))
    print_error ("--route: expected NAME=ADDRESS:PORT=ADDRESS:PORT, got '%s'",
                 text);
  else if (proxy_add_route (proxy, parts[0], parts[1], parts[2]) == NULL)
    print_error ("--route: cannot add '%s': %s", text, strerror (errno));
  else
    added = true;
  g_strfreev (parts);
  return added;
}

static bool
add_configured_routes (proxy_t *proxy, const Lwm__ProxySettings *settings)
{
  bool all = true;

  for (size_t i = 0; i < settings->n_route; i++)
    all = add_route_from_text (proxy, settings->route[i]) && all;
  return all;
}

int
main (int argc, char **argv)
{
  void *root = talloc_new (NULL);
  Lwm__ProxySettings settings = LWM__PROXY_SETTINGS__INIT;
  settings_options_t parse
      = { .doc
          = "Proxies TCP connections and injects network faults on request.",
          .settings = settings_table,
          .parent = root };
  daemon_options_t options = { 0 };
  proxy_options_t proxy_options = { 0 };
  proxy_t *proxy = NULL;
  daemon_t *daemon;
  int code = EXIT_CODE_USAGE;

  logging_use_stderr ();
  base_init ("lwm-faultproxy");
  if (settings_parse (&parse, argc, argv, &settings.base) > 0)
    goto out;
  options.listen = settings.listen;
  options.log_level = settings.log_level;
  options.fallback = serve;
  options.context = &proxy;
  daemon = daemon_new (root, &options);
  code = EXIT_CODE_FAILED;
  if (daemon == NULL)
    goto out;
  proxy_options.base = daemon_base (daemon);
  proxy_options.seed = settings.seed;
  proxy = proxy_new (root, &proxy_options);
  if (add_configured_routes (proxy, &settings))
    code = daemon_run (daemon);
  talloc_free (proxy);
  talloc_free (daemon);

out:
  talloc_free (root);
  return code;
}
