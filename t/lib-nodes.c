#include "lib-nodes.h"

#include <signal.h>
#include <string.h>

static const char config[]
    = "{\"version\":%d,\"routes\":[{\"name\":\"r\",\"host\":\"%s\","
      "\"path-prefix\":\"/a/\",\"kind\":\"safe\",\"timeout-ms\":3000,"
      "\"service\":\"s\",\"public\":true}],\"services\":[{\"name\":\"s\"}]}";

#define DEFAULT_STOP_TIMEOUT_S 4
#define MAX_ZONES              3
#define DEFAULT_BORN_MS        1000

static const char *const zone_names[MAX_ZONES] = { "z", "z-b", "z-c" };

static const char config_of_all_kinds[]
    = "{\"version\":%d,\"routes\":[%s],\"services\":[{\"name\":\"s\"},"
      "{\"name\":\"p\"}],\"limits\":{\"max-header-bytes\":16384,"
      "\"max-body-bytes\":4194304,\"header-timeout-ms\":3000,"
      "\"idle-timeout-ms\":15000}%s}";

static const char customers[]
    = ",\"tenants\":[{\"name\":\"c-a\",\"api-keys\":[\"key-a\"]},"
      "{\"name\":\"c-b\",\"api-keys\":[\"key-b\"]}]";

static const char route[]
    = "%s{\"name\":\"%s\",\"host\":\"%s\",\"path-prefix\":\"/%s/\","
      "\"kind\":\"%s\",\"timeout-ms\":12000,\"service\":\"%s\","
      "\"attempts\":2,\"public\":true}";

static bool
is_entry (const nodes_t *nodes, int index)
{
  return index >= NODES_ENTRY && index < NODES_ENTRY + nodes->entries;
}

static void
choose_addresses (nodes_t *nodes)
{
  const char *port = strrchr (cluster_address (nodes->cluster), ':');

  nodes->port = atoi (port + 1);
  for (uint32_t i = 0; i < NODES_MAX; i++)
    {
      nodes->ip[i] = cluster_ip (i);
      nodes->zone[i] = zone_names[i % nodes->zones];
    }
}

char *
nodes_write_settings (nodes_t *nodes, int index, bool found)
{
  GString *text = g_string_new (NULL);
  char *name = g_strdup_printf ("node-%d", index);
  char *file = g_strdup_printf ("%s.yaml", name);
  char *path;

  g_string_append_printf (
      text,
      "instance: %s\nzone: %s\naddress: %s\nfirst_port: %d\nlast_port: %d\n"
      "callers: \"%s:%d\"\nstatus: \"%s:%d\"\ncontrol: \"%s:%d\"\n"
      "found: %s\n"
      "log_level: info\nannounce_ms: 1000\nstop_timeout_s: %u\ncatch_up_s: "
      "4\nlost_machines: %d\nlost_zones: %d\n"
      "retry_share: 0.2\nspare_retries: 100\nkeeps_state: %s\nseeds: [",
      name, nodes->zone[index], nodes->ip[index], nodes->port + 1,
      nodes->port + 9, nodes->ip[index], nodes->port + 3, nodes->ip[index],
      nodes->port + 2, nodes->ip[index], nodes->port, found ? "true" : "false",
      nodes->stop_timeout_s, nodes->lost_machines, nodes->zones > 1 ? 1 : 0,
      is_entry (nodes, index) ? "false" : "true");
  for (int i = 0; i < NODES_CONTROLS; i++)
    g_string_append_printf (text, "%s\"%s:%d\"", i > 0 ? ", " : "",
                            nodes->ip[nodes->seeds[i]], nodes->port);
  g_string_append (text, "]\nzones: [");
  for (int i = 0; i < nodes->zones && i < MAX_ZONES; i++)
    g_string_append_printf (text, "%s%s", i > 0 ? ", " : "", zone_names[i]);
  g_string_append_printf (text, "]\nmemory_mb: %u\nmax_descriptors: %u\n",
                          nodes->memory_mb, nodes->max_descriptors);
  if (!is_entry (nodes, index))
    g_string_append_printf (text, "data_folder: \"%s\"\n",
                            cluster_subfolder (nodes->cluster, name));
  cluster_write (nodes->cluster, file, text->str);
  path = g_strdup_printf ("%s/%s", cluster_folder (nodes->cluster), file);
  g_string_free (text, TRUE);
  g_free (name);
  g_free (file);
  return path;
}

process_t *
nodes_start (nodes_t *nodes, int index, bool found)
{
  char *path = nodes_write_settings (nodes, index, found);
  process_t *process;

  g_setenv ("LACEWINGMAST_NODE_FILE", path, TRUE);
  process = nodes->process[index] = cluster_start (
      nodes->cluster,
      is_entry (nodes, index) ? "lwm-platform-entry" : "lwm-platform-control",
      NULL);
  g_unsetenv ("LACEWINGMAST_NODE_FILE");
  g_assert_nonnull (process);
  g_free (path);
  return process;
}

void
nodes_kill (nodes_t *nodes, int index, bool lose_disk)
{
  char *name = g_strdup_printf ("node-%d", index);

  process_signal (nodes->process[index], SIGKILL);
  if (lose_disk)
    cluster_empty_folder (cluster_subfolder (nodes->cluster, name));
  g_free (name);
}

char *
nodes_address (const nodes_t *nodes, int index, int offset)
{
  return g_strdup_printf ("%s:%d", nodes->ip[index], nodes->port + offset);
}

int
nodes_call (const nodes_t *nodes,
            int index,
            int offset,
            const char *method,
            const char *path,
            const char *body)
{
  char *address = nodes_address (nodes, index, offset);
  answer_t answer = cluster_call (address, method, path, body);
  int status = answer.status;

  cluster_answer_free (&answer);
  g_free (address);
  return status;
}

bool
nodes_is_ready (const nodes_t *nodes, int index)
{
  return nodes_call (nodes, index, 2, "GET", "/ready", NULL) == 200;
}

static char *
write_config_of_all_kinds (const nodes_t *nodes, int version)
{
  static const struct
  {
    const char *name;
    const char *kind;
    const char *service;
  } routes[] = { { "safe", "safe", "s" },
                 { "unsafe", "unsafe", "s" },
                 { "stream", "stream", "s" },
                 { "paused", "stream", "p" } };
  GString *list = g_string_new (NULL);
  char *text;

  for (size_t i = 0; i < G_N_ELEMENTS (routes); i++)
    g_string_append_printf (list, route, i > 0 ? "," : "", routes[i].name,
                            nodes->ip[NODES_ENTRY], routes[i].name,
                            routes[i].kind, routes[i].service);
  text = g_strdup_printf (config_of_all_kinds, version, list->str,
                          nodes->has_customers ? customers : "");
  g_string_free (list, TRUE);
  return text;
}

/** Returns the zone of the machine that has an address. */
static const char *
find_zone (const nodes_t *nodes, const char *address)
{
  for (int i = 0; i < NODES_MAX; i++)
    {
      size_t length = strlen (nodes->ip[i]);

      if (strncmp (address, nodes->ip[i], length) == 0
          && address[length] == ':')
        return nodes->zone[i];
    }
  return zone_names[0];
}

int
nodes_announce (const nodes_t *nodes,
                int index,
                const nodes_announcement_t *announcement)
{
  char *path = g_strdup_printf ("/instances/%s/heartbeat", announcement->id);
  char *body = g_strdup_printf (
      "{\"service\":\"%s\",\"addr\":\"%s\",\"zone\":\"%s\","
      "\"version\":\"v1\",\"slots\":%d,\"state\":\"%s\",\"seq\":%d,"
      "\"born\":%" G_GINT64_FORMAT "}",
      announcement->service, announcement->address,
      find_zone (nodes, announcement->address), announcement->slots,
      announcement->is_leaving ? "draining" : "ready", announcement->sequence,
      announcement->born_ms > 0 ? announcement->born_ms
                                : (gint64)DEFAULT_BORN_MS);
  int status = nodes_call (nodes, index, 0, "POST", path, body);

  g_free (path);
  g_free (body);
  return status;
}

int
nodes_put_config (const nodes_t *nodes, int index, int version)
{
  char *body = nodes->has_all_kinds
                   ? write_config_of_all_kinds (nodes, version)
                   : g_strdup_printf (config, version, nodes->ip[NODES_ENTRY]);
  int status = nodes_call (nodes, index, 0, "POST", "/config/put", body);

  g_free (body);
  return status;
}

call_t *
nodes_start_put_config (const nodes_t *nodes, int index, int version)
{
  char *body = g_strdup_printf (config, version, nodes->ip[NODES_ENTRY]);
  char *address = nodes_address (nodes, index, 0);
  call_t *call = call_start (address, "/config/put", NULL, body);

  g_free (address);
  g_free (body);
  return call;
}

/** Returns the number of the configuration an instance reads, 0 for none. */
int64_t
nodes_read_version (const nodes_t *nodes, int index)
{
  char *address = nodes_address (nodes, index, 0);
  answer_t answer = cluster_call (address, "GET", "/config/get", NULL);
  int64_t version = answer.status == 200 && answer.json != NULL
                        ? json_object_get_int_member (answer.json, "version")
                        : 0;

  cluster_answer_free (&answer);
  g_free (address);
  return version;
}

double
nodes_metric (const nodes_t *nodes, int index, const char *name)
{
  char *address = nodes_address (nodes, index, 0);
  double value = cluster_metric (address, name);

  g_free (address);
  return value;
}

nodes_t *
nodes_new_with (const nodes_options_t *options)
{
  nodes_t *nodes = g_new0 (nodes_t, 1);

  nodes->stop_timeout_s = options->stop_timeout_s > 0 ? options->stop_timeout_s
                                                      : DEFAULT_STOP_TIMEOUT_S;
  nodes->has_all_kinds = options->has_all_kinds;
  nodes->has_customers = options->has_customers;
  nodes->memory_mb = options->memory_mb;
  nodes->max_descriptors = options->max_descriptors;
  nodes->entries = MAX (options->entries, 1);
  nodes->more_controls = options->more_controls;
  nodes->lost_machines = MAX (options->lost_machines, 1);
  nodes->cluster = cluster_new ();
  nodes->zones = CLAMP (options->zones, 1, MAX_ZONES);
  choose_addresses (nodes);
  for (int i = 0; i < NODES_CONTROLS; i++)
    nodes->seeds[i] = i;
  for (int i = 0; i < NODES_ENTRY + nodes->entries + nodes->more_controls; i++)
    nodes_start (nodes, i, true);
  CLUSTER_WAIT (nodes_put_config (nodes, 0, options->version) == 200);
  return nodes;
}

nodes_t *
nodes_new (int version)
{
  nodes_options_t options = { .version = version };

  return nodes_new_with (&options);
}

void
nodes_free (nodes_t *nodes)
{
  cluster_free (nodes->cluster);
  for (int i = 0; i < NODES_MAX; i++)
    g_free (nodes->ip[i]);
  g_free (nodes);
}
