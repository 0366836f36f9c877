#include "lib-zone-drain.h"

#include <signal.h>
#include <string.h>

#include "lib-http-socket.h"

#define SLOTS            8
#define REQUESTS_TO_EACH 12
#define REQUEST_MS       15000

static const char *const zone_names[ZONE_DRAIN_ZONES] = { "z", "z-b", "z-c" };

static gint next_id;

const char *
zone_drain_name (int zone)
{
  return zone_names[zone];
}

double
zone_drain_entry_metric (const zone_drain_t *fixture,
                         int entry,
                         const char *name)
{
  char *address = nodes_address (fixture->nodes, NODES_ENTRY + entry, 2);
  double value = cluster_metric (address, name);

  g_free (address);
  return value;
}

static bool
all_are_ready (const zone_drain_t *fixture)
{
  for (int i = 0; i < fixture->nodes->entries; i++)
    if (!nodes_is_ready (fixture->nodes, NODES_ENTRY + i))
      return false;
  return true;
}

/** Returns whether each upstream was used, so that it is known. */
static bool
all_are_used (const zone_drain_t *fixture)
{
  zone_drain_send_to_all (fixture);
  for (int i = 0; i < ZONE_DRAIN_ZONES; i++)
    if (node_upstreams_runs (fixture->upstreams, i) == 0)
      return false;
  return true;
}

zone_drain_t *
zone_drain_new (void)
{
  nodes_options_t options = { .version = 5,
                              .entries = ZONE_DRAIN_ZONES,
                              .zones = ZONE_DRAIN_ZONES,
                              .has_all_kinds = true };
  zone_drain_t *fixture = g_new0 (zone_drain_t, 1);

  fixture->nodes = nodes_new_with (&options);
  fixture->upstreams = node_upstreams_new (fixture->nodes, SLOTS);
  cluster_allow_self_kills (fixture->nodes->cluster);
  CLUSTER_WAIT (all_are_ready (fixture));
  CLUSTER_WAIT (all_are_used (fixture));
  return fixture;
}

void
zone_drain_free (zone_drain_t *fixture)
{
  for (int i = 0; i < fixture->nodes->entries; i++)
    process_signal (fixture->nodes->process[NODES_ENTRY + i], SIGKILL);
  node_upstreams_free (fixture->upstreams);
  nodes_free (fixture->nodes);
  g_free (fixture);
}

int
zone_drain_order (const zone_drain_t *fixture,
                  int control,
                  const char *zone,
                  bool is_drained)
{
  char *path = g_strdup_printf (NODES_PATH_DRAIN "%s/%s", zone,
                                is_drained ? "start" : "end");
  int status = nodes_call (fixture->nodes, control, 0, "POST", path, NULL);

  g_free (path);
  return status;
}

void
zone_drain_order_until_accepted (const zone_drain_t *fixture,
                                 const char *zone,
                                 bool is_drained)
{
  int control = 0;

  CLUSTER_WAIT (
      zone_drain_order (fixture, control++ % NODES_CONTROLS, zone, is_drained)
      == 200);
}

zone_drain_reply_t
zone_drain_request (const zone_drain_t *fixture, int entry, const char *path)
{
  const nodes_t *nodes = fixture->nodes;
  zone_drain_reply_t reply = { 0 };
  int64_t begun_us = g_get_monotonic_time ();
  char *address = nodes_address (nodes, NODES_ENTRY + entry, 3);
  char *id = g_strdup_printf ("d%06d", g_atomic_int_add (&next_id, 1));
  char *body = node_upstreams_request_body (id);
  char *text = g_strdup_printf (
      "POST %s HTTP/1.1\r\nHost: %s\r\n" NODES_FIELD_ID
      ": %s\r\n" NODES_FIELD_DEADLINE ": %d\r\nContent-Length: %zu\r\n\r\n%s",
      path, nodes->ip[NODES_ENTRY], id, REQUEST_MS, strlen (body), body);
  http_socket_t *socket = http_socket_connect (address);
  http_message_t answer = { 0 };

  if (socket != NULL && http_socket_send (socket, text, strlen (text))
      && http_socket_receive (socket, begun_us + REQUEST_MS * 1000, &answer))
    {
      reply.status = answer.status;
      reply.is_not_run = strstr (answer.body->str, "\"not_run\":true") != NULL;
    }
  reply.took_ms = (uint32_t)((g_get_monotonic_time () - begun_us) / 1000);
  http_message_clear (&answer);
  if (socket != NULL)
    http_socket_free (socket);
  g_free (text);
  g_free (body);
  g_free (id);
  g_free (address);
  return reply;
}

void
zone_drain_send_to_all (const zone_drain_t *fixture)
{
  for (int entry = 0; entry < fixture->nodes->entries; entry++)
    for (int i = 0; i < REQUESTS_TO_EACH; i++)
      g_assert_cmpint (zone_drain_request (fixture, entry, "/safe/0").status,
                       ==, 200);
}

static bool
is_in_force (const zone_drain_t *fixture, int zones)
{
  for (int i = 0; i < fixture->nodes->entries; i++)
    if ((int)zone_drain_entry_metric (fixture, i, "lwm_entry_drained_zones")
        != zones)
      return false;
  return true;
}

void
zone_drain_wait_in_force (const zone_drain_t *fixture, int zones)
{
  int64_t begun_us = g_get_monotonic_time ();
  int64_t took_ms;

  CLUSTER_WAIT (is_in_force (fixture, zones));
  took_ms = (g_get_monotonic_time () - begun_us) / 1000;
  g_test_message ("in force at all instances after %d ms", (int)took_ms);
  g_assert_cmpint (took_ms, <=, ZONE_DRAIN_REACTION_MS);
}

void
zone_drain_expect_unused (const zone_drain_t *fixture, int zone)
{
  int before = node_upstreams_runs (fixture->upstreams, zone);

  zone_drain_send_to_all (fixture);
  g_assert_cmpint (node_upstreams_runs (fixture->upstreams, zone), ==, before);
}

static bool
is_used (const zone_drain_t *fixture, int zone)
{
  int before = node_upstreams_runs (fixture->upstreams, zone);

  zone_drain_send_to_all (fixture);
  return node_upstreams_runs (fixture->upstreams, zone) > before;
}

void
zone_drain_expect_used (const zone_drain_t *fixture, int zone)
{
  CLUSTER_WAIT (is_used (fixture, zone));
}

void
zone_drain_restart_all (zone_drain_t *fixture)
{
  nodes_t *nodes = fixture->nodes;
  int count = NODES_ENTRY + nodes->entries;

  for (int i = 0; i < count; i++)
    process_signal (nodes->process[i], SIGSTOP);
  for (int i = 0; i < count; i++)
    process_signal (nodes->process[i], SIGKILL);
  for (int i = 0; i < count; i++)
    nodes_start (nodes, i, false);
  CLUSTER_WAIT (all_are_ready (fixture));
}
