/* One heartbeat of another writer, with a service that isn't named, takes a
 * sound server out of use. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "../lib-2/harness.h"

#define SERVERS    6
#define EDGES      2
#define TRAFFIC_MS 40000
#define GAP_MS     250

static const char config[]
    = "{\"version\":3,\"routes\":["
      "{\"name\":\"r-stream\",\"host\":\"a.example\",\"path-prefix\":\"/s/\","
      "\"kind\":\"stream\",\"timeout-ms\":10000,\"goal-ms\":300,\"priority\":1,"
      "\"service\":\"assist\",\"attempts\":2,\"public\":true,\"sticky\":true,"
      "\"resumable\":true,\"gap-target-ms\":250},"
      "{\"name\":\"r-issue\",\"host\":\"a.example\",\"path-prefix\":\"/issue/"
      "\","
      "\"kind\":\"unsafe\",\"timeout-ms\":2000,\"goal-ms\":300,\"priority\":2,"
      "\"service\":\"ledger\",\"attempts\":1,\"public\":true},"
      "{\"name\":\"r-look\",\"host\":\"a.example\",\"path-prefix\":\"/look/\","
      "\"kind\":\"safe\",\"timeout-ms\":2000,\"goal-ms\":300,\"priority\":2,"
      "\"service\":\"ledger\",\"attempts\":2,\"public\":true}],"
      "\"services\":[{\"name\":\"assist\",\"health-path\":\"/health\","
      "\"max-conns\":264,\"protocol\":\"h1\",\"tls\":false,\"engine\":{"
      "\"slots\":16,\"kv-capacity\":232000,\"stride\":43,\"step_ms\":1.02,"
      "\"per_seq_ms\":0.00226,\"context_per_k\":0.00431,"
      "\"read_per_s\":206000.0,\"pairs_per_m\":0.138,\"chunk\":2048,"
      "\"usual\":{\"prompt\":5000,\"answer\":1300}}},"
      "{\"name\":\"ledger\",\"health-path\":\"/health\",\"max-conns\":96,"
      "\"protocol\":\"h1\",\"tls\":false}],"
      "\"limits\":{\"max-header-bytes\":16384,\"max-body-bytes\":4194304,"
      "\"header-timeout-ms\":3000,\"idle-timeout-ms\":15000}}";

static server_t servers[SERVERS];
static machine_t *controls[3];
static machine_t *edges[EDGES];
static volatile int open_requests;
static volatile int done;
static volatile int served;
static int sent;

/** Answers a stream of ten events in half a second, other requests at once. */
static int
work (const request_t *request)
{
  char text[512];

  sleep_ms (40);
  if (strncmp (request->path, "/s/", 3) != 0)
    return 200;
  snprintf (text, sizeof text,
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
            "Request-Id: %s\r\nServer-Stamp: %s.%s\r\n"
            "Transfer-Encoding: chunked\r\n\r\n",
            request->id, request->server->id, request->id);
  if (!write_bytes (request->fd, text, strlen (text)))
    return WORK_RESET;
  for (int i = 0; i < 10; i++)
    {
      char event[128];

      snprintf (event, sizeof event, "id: %d\ndata: piece %d\n\n", i, i);
      snprintf (text, sizeof text, "%zx\r\n%s\r\n", strlen (event), event);
      if (!write_bytes (request->fd, text, strlen (text)))
        return WORK_RESET;
      sleep_ms (50);
    }
  write_bytes (request->fd, "0\r\n\r\n", 5);
  return WORK_ANSWERED;
}

static void *
send_one (void *context)
{
  static const char *const paths[] = { "/s/x", "/issue/x", "/look/x" };
  int number = (int)(intptr_t)context;
  const machine_t *edge = edges[number % EDGES];
  int kind = number / EDGES % 3;
  char fields[512];
  answer_t answer;

  snprintf (fields, sizeof fields,
            "Host: a.example\r\nRequest-Id: q%05d\r\nDeadline-Ms: 4000\r\n%s",
            number,
            kind == 0 ? "Model: m\r\nToken-Count: 940,430\r\n"
                        "Prefix-Hash: a1:40,b1:900\r\n"
                      : "");
  answer
      = http_call (edge->ip, front_port (), kind == 2 ? "GET" : "POST",
                   paths[kind], fields, kind == 2 ? NULL : "{\"n\":1}", 5000);
  record ("client sends q%05d (%s) to %s: %d%s", number, paths[kind],
          edge->name, answer.status,
          answer.is_complete ? "" : ", no complete answer");
  if (answer.status == 200 && answer.is_complete)
    __sync_fetch_and_add (&served, 1);
  __sync_fetch_and_add (&done, 1);
  __sync_fetch_and_sub (&open_requests, 1);
  return NULL;
}

/** Sends one heartbeat for the address of a server, as of a service that no
 * configuration names. */
static void
send_stray_heartbeat (int index)
{
  const machine_t *control = controls[index % 3];
  struct timespec now;
  char path[64];
  char body[512];
  int status;

  clock_gettime (CLOCK_REALTIME, &now);
  snprintf (path, sizeof path, "/instances/x-%d/heartbeat", index + 1);
  snprintf (body, sizeof body,
            "{\"service\":\"inventory\",\"addr\":\"%s:%d\",\"zone\":\"%s\","
            "\"version\":\"v1\",\"slots\":8,\"state\":\"ready\","
            "\"cold-left-ms\":0,\"seq\":1,\"born\":%lld}",
            servers[index].ip, servers[index].port, servers[index].zone,
            (long long)now.tv_sec * 1000 + now.tv_nsec / 1000000);
  status = http_call (control->ip, control_port (), "POST", path,
                      "Content-Type: application/json\r\n", body, 1000)
               .status;
  record ("another writer sends %s to %s: %s: %d", path, control->name, body,
          status);
}

int
main (int argc, char **argv)
{
  static const char *const zones[] = { "za", "zb", "zc" };
  char name[32];
  uint64_t end_ms;
  int count;

  harness_begin (argc > 1 ? argv[1] : ".");
  for (int i = 0; i < 3; i++)
    {
      snprintf (name, sizeof name, "core-%d", i + 1);
      controls[i] = add_machine (name, zones[i], true);
    }
  for (int i = 0; i < EDGES; i++)
    {
      snprintf (name, sizeof name, "edge-%d", i + 1);
      edges[i] = add_machine (name, zones[i], false);
    }
  for (int i = 0; i < machine_count; i++)
    start_machine (&machines[i], true);
  if (!put_config (config, 15000))
    fail_case ("the configuration is not acknowledged");
  for (int i = 0; i < SERVERS; i++)
    {
      snprintf (servers[i].id, sizeof servers[i].id, "i-%d", i + 1);
      snprintf (servers[i].service, sizeof servers[i].service, "%s",
                i < SERVERS / 2 ? "assist" : "ledger");
      snprintf (servers[i].zone, sizeof servers[i].zone, "%s", zones[i % 3]);
      servers[i].work = work;
      server_start (&servers[i]);
    }
  for (int i = 0; i < EDGES; i++)
    if (!wait_ready (edges[i], 10000))
      fail_case ("an edge machine is not ready");
  sleep_ms (3 * HEARTBEAT_MS + CONTACT_MS);

  /* The disruption: six heartbeats, one for each server's address. */
  for (int i = 0; has_trouble && i < SERVERS; i++)
    send_stray_heartbeat (i);
  sleep_ms (1000);

  /* The day's traffic. The servers run, and go on to send heartbeats. */
  end_ms = now_ms () + TRAFFIC_MS;
  while (now_ms () < end_ms)
    {
      __sync_fetch_and_add (&open_requests, 1);
      start_thread (send_one, (void *)(intptr_t)sent++);
      sleep_ms (GAP_MS);
    }
  while (open_requests > 0)
    sleep_ms (20);
  for (int i = 0; i < SERVERS; i++)
    record ("heartbeat of server %s: %d", servers[i].id,
            server_beat (&servers[i], controls[i % 3], "ready"));
  arrivals (&count);
  record ("of %d requests, %d reached a server, and %d were served", done,
          count, served);
  if (!has_trouble && served < done)
    fail_case ("the calm system does not serve all");
  if (served == 0)
    record ("BROKEN: no request is served");
  harness_end (served == 0 ? 1 : 0);
}
