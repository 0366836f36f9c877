#include "lib-node-routes.h"

#include <string.h>

#define DEFAULT_TIMEOUT_MS 12000
#define GAP_TARGET_MS      250

typedef struct
{
  const char *name;
  const char *kind;
  const char *service;
  bool is_resumable;
} route_t;

static const route_t routes[] = {
  { "safe", "safe", "s", false },     { "unsafe", "unsafe", "s", false },
  { "stream", "stream", "s", false }, { "resumed", "stream", "s", true },
  { "prompt", "stream", "e", true },  { "paused", "stream", "p", false }
};

static const char engine[]
    = "{\"name\":\"e\",\"engine\":{\"slots\":16,\"" NODES_MEMBER_MEMORY "\":%d,"
      "\"stride\":43,\"models\":[{\"name\":\"m\"}],\"step_ms\":1.02,"
      "\"per_seq_ms\":0.00226,\"context_per_k\":0.00431,"
      "\"read_per_s\":206000.0,\"pairs_per_m\":0.138,\"chunk\":2048,"
      "\"usual\":{\"prompt\":12328,\"answer\":300}}}";

static bool
has_route (const node_routes_options_t *options, const route_t *route)
{
  bool is_plain_stream = strcmp (route->name, "stream") == 0
                         || strcmp (route->name, "resumed") == 0;

  if (options->has_no_streams && is_plain_stream)
    return false;
  return !options->has_no_service || strcmp (route->service, "p") != 0;
}

static void
append_route (GString *text,
              const nodes_t *nodes,
              const node_routes_options_t *options,
              const route_t *route)
{
  uint32_t timeout_ms
      = options->timeout_ms > 0 ? options->timeout_ms : DEFAULT_TIMEOUT_MS;

  g_string_append_printf (
      text,
      "%s{\"name\":\"%s\",\"host\":\"%s\",\"" NODES_MEMBER_PREFIX "\":\"/%s/\","
      "\"kind\":\"%s\",\"timeout-ms\":%u,\"service\":\"%s\",\"attempts\":2,"
      "\"resumable\":%s,\"gap-target-ms\":%d,\"public\":true}",
      text->len > 0 ? "," : "", route->name, nodes->ip[NODES_ENTRY],
      route->name, route->kind, timeout_ms, route->service,
      route->is_resumable ? "true" : "false",
      route->is_resumable ? GAP_TARGET_MS : 0);
}

int
node_routes_put (const nodes_t *nodes,
                 int index,
                 const node_routes_options_t *options)
{
  GString *list = g_string_new (NULL);
  GString *text = g_string_new (NULL);
  int status;

  for (size_t i = 0; i < G_N_ELEMENTS (routes); i++)
    if (has_route (options, &routes[i]))
      append_route (list, nodes, options, &routes[i]);
  g_string_printf (text, "{\"version\":%d,\"routes\":[%s],\"services\":[",
                   options->version, list->str);
  g_string_append (text, "{\"name\":\"s\"},");
  if (!options->has_no_service)
    g_string_append (text, "{\"name\":\"p\"},");
  g_string_append_printf (text, engine, NODE_ROUTES_ENGINE_TOKENS);
  g_string_append (text, "],\"limits\":{\"max-header-bytes\":16384,"
                         "\"max-body-bytes\":4194304,"
                         "\"header-timeout-ms\":3000,"
                         "\"idle-timeout-ms\":15000}}");
  status = nodes_call (nodes, index, 0, "POST", NODES_PATH_CONFIG, text->str);
  g_string_free (list, TRUE);
  g_string_free (text, TRUE);
  return status;
}
