/* Sound requests are refused for long because they share the first part of
 * their prompts with requests that crash servers. */
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../lib-2/harness.h"

#define SERVERS  12
#define EDGES    3
#define DOWN_MS  2500
#define QUIET_MS 62000 /* without a request with the first part */
#define GAP_MS   400   /* between the requests with the part */
#define MANY     30 /* sound requests with the first part, before and after */
#define FIRST    "a1:40"
#define PART     "dead01:400"

static const char config[]
    = "{\"version\":3,\"routes\":[{\"name\":\"r-stream\",\"host\":\"a."
      "example\","
      "\"path-prefix\":\"/s/\",\"kind\":\"stream\",\"timeout-ms\":10000,"
      "\"goal-ms\":300,\"priority\":1,\"service\":\"assist\",\"attempts\":2,"
      "\"public\":true,\"sticky\":true,\"resumable\":true,"
      "\"gap-target-ms\":250}],"
      "\"services\":[{\"name\":\"assist\","
      "\"health-path\":\"/health\",\"max-conns\":264,\"protocol\":\"h1\","
      "\"tls\":false,\"engine\":{\"slots\":16,\"kv-capacity\":232000,"
      "\"stride\":43,\"step_ms\":1.02,\"per_seq_ms\":0.00226,"
      "\"context_per_k\":0.00431,\"read_per_s\":206000.0,\"pairs_per_m\":0.138,"
      "\"chunk\":2048,\"usual\":{\"prompt\":5000,\"answer\":1300}}}],"
      "\"limits\":{\"max-header-bytes\":16384,\"max-body-bytes\":4194304,"
      "\"header-timeout-ms\":3000,\"idle-timeout-ms\":15000}}";

static server_t servers[SERVERS];
static machine_t *edges[EDGES];
static volatile int crashes;
static volatile uint64_t crashed_ms; /* time of the last crash */
static volatile int refused; /* requests with the part that were not sent */
static volatile int begun;   /* sound requests with the first part */
static volatile bool sends_poison;
static int sent;

/** Writes one event of a stream. */
static bool
write_event (const request_t *request, int number)
{
  char event[128];
  char text[256];

  snprintf (event, sizeof event, "id: %d\ndata: piece %d\n\n", number, number);
  snprintf (text, sizeof text, "%zx\r\n%s\r\n", strlen (event), event);
  return write_bytes (request->fd, text, strlen (text));
}

/** Answers a stream of ten events in half a second. A request with the part
 * crashes the server when it is to write the first event. */
static int
work (const request_t *request)
{
  char text[512];
  char parts[128] = "";

  find_field (request->head, "Prefix-Hash", parts, sizeof parts);
  sleep_ms (40);
  if (has_crashed (request))
    return WORK_RESET;
  if (strstr (parts, "dead01") != NULL && has_trouble)
    {
      __sync_fetch_and_add (&crashes, 1);
      crashed_ms = now_ms ();
      server_crash (request->server, DOWN_MS);
      return WORK_RESET;
    }
  if (strncmp (parts, FIRST, strlen (FIRST)) == 0
      && strstr (parts, "dead01") == NULL)
    __sync_fetch_and_add (&begun, 1);
  snprintf (text, sizeof text,
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
            "Request-Id: %s\r\nServer-Stamp: %s.%s\r\n"
            "Transfer-Encoding: chunked\r\n\r\n",
            request->id, request->server->id, request->id);
  if (!write_bytes (request->fd, text, strlen (text)))
    return WORK_RESET;
  for (int i = 0; i < 10; i++)
    {
      if (has_crashed (request) || !write_event (request, i))
        return WORK_RESET;
      sleep_ms (50);
    }
  write_bytes (request->fd, "0\r\n\r\n", 5);
  return WORK_ANSWERED;
}

static answer_t
send_stream (int edge, const char *parts, int tokens)
{
  char fields[512];
  char id[32];
  char body[64];
  answer_t answer;

  snprintf (id, sizeof id, "q%05d", __sync_add_and_fetch (&sent, 1));
  snprintf (fields, sizeof fields,
            "Host: a.example\r\nRequest-Id: %s\r\nDeadline-Ms: 8000\r\n"
            "Model: m\r\nToken-Count: %d,430\r\nPrefix-Hash: %s\r\n",
            id, tokens, parts);
  snprintf (body, sizeof body, "{\"prompt\":\"text of %s\"}", id);
  answer = http_call (edges[edge]->ip, front_port (), "POST", "/s/x", fields,
                      body, 8000);
  record ("client sends %s (%s) to %s: %d%s", id, parts, edges[edge]->name,
          answer.status, answer.is_complete ? "" : " broken off");
  return answer;
}

/** Sends requests with the part, one after the other, no two alike. */
static void *
send_poison (void *context)
{
  (void)context;
  for (int i = 0; sends_poison; i++)
    {
      char parts[128];

      snprintf (parts, sizeof parts, FIRST "," PART ",b%x:%d", 0x1000 + i,
                60000 + i);
      if (send_stream (i % EDGES, parts, 60440 + i).status == 503)
        __sync_fetch_and_add (&refused, 1);
      sleep_ms (GAP_MS);
    }
  return NULL;
}

/** Sends sound streams with other first parts all the time. */
static void *
send_others (void *context)
{
  int edge = (int)(intptr_t)context;

  for (int i = 0;; i++)
    {
      char parts[128];

      snprintf (parts, sizeof parts, "a%x:40,c%x%x:900", 2 + i % 6, edge,
                4096 + i);
      send_stream (edge % EDGES, parts, 1000);
    }
  return NULL;
}

static void *
send_one (void *context)
{
  int number = (int)(intptr_t)context;
  char parts[128];

  snprintf (parts, sizeof parts, FIRST ",d%x:900", 4096 + number);
  send_stream (number % EDGES, parts, 940);
  return NULL;
}

/** Sends sound streams with the first part; returns how many began to run at
 * the first attempt. */
static int
send_sound (int first)
{
  int before = begun;

  for (int i = 0; i < MANY; i++)
    {
      start_thread (send_one, (void *)(intptr_t)(first + i));
      sleep_ms (200);
    }
  sleep_ms (1500);
  return begun - before;
}

int
main (int argc, char **argv)
{
  int calm;
  int late;
  int late_crashes;
  static const char *const zones[] = { "za", "zb", "zc" };
  char name[32];

  harness_begin (argc > 1 ? argv[1] : ".");
  for (int i = 0; i < 3; i++)
    {
      snprintf (name, sizeof name, "core-%d", i + 1);
      add_machine (name, zones[i], true);
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
      snprintf (servers[i].service, sizeof servers[i].service, "assist");
      snprintf (servers[i].zone, sizeof servers[i].zone, "%s", zones[i % 3]);
      servers[i].work = work;
      server_start (&servers[i]);
    }
  for (int i = 0; i < EDGES; i++)
    if (!wait_ready (edges[i], 10000))
      fail_case ("an edge machine is not ready");
  sleep_ms (CONTACT_MS);
  for (int i = 0; i < 6; i++)
    start_thread (send_others, (void *)(intptr_t)i);
  calm = send_sound (0);
  record ("before: of %d sound requests with the first part, %d began", MANY,
          calm);
  sleep_ms (QUIET_MS);

  /* The disruption: requests with the part come, one at a time. */
  sends_poison = true;
  start_thread (send_poison, NULL);
  sleep_ms (8000);
  record ("%d servers crashed so far, %d requests with the part were refused",
          crashes, refused);
  while (has_trouble && now_ms () < crashed_ms + 2 * CONTACT_MS + 100)
    sleep_ms (20);
  late_crashes = crashes;
  late = send_sound (1000);
  record ("from 2 x contact-ms after the last crash, while requests with the "
          "part come: of %d sound requests with the first part, %d began",
          MANY, late);
  if (crashes != late_crashes)
    fail_case ("servers crash still");
  if (calm < 20)
    fail_case ("too few sound requests ran before");
  /* As many were sent in both. */
  if (2 * late < calm)
    record ("BROKEN: less than half as many sound requests begin");
  harness_end (2 * late < calm ? 1 : 0);
}
