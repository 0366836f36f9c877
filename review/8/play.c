/* A part of prompts that crashes servers just after they have begun to write
 * the answer is never held back. */
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../lib-2/harness.h"

#define SERVERS  12
#define EDGES    3
#define DOWN_MS  2500
#define STEP_MS  20 /* from the first event to the crash */
#define REQUESTS 40
#define GAP_MS   400 /* between the requests with the part */
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
static volatile uint64_t fifth_ms; /* time of the fifth crash */
static volatile int poison_arrivals;
static volatile int poison_late; /* in the judged time */
static volatile int sound_cut;
static volatile int sound_done;
static int sent;

static bool
is_judged (void)
{
  return fifth_ms > 0 && now_ms () > fifth_ms + CONTACT_MS;
}

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
 * crashes the server as soon as it has begun to write its answer. */
static int
work (const request_t *request)
{
  char text[512];
  char parts[128] = "";
  bool has_part;

  find_field (request->head, "Prefix-Hash", parts, sizeof parts);
  has_part = strstr (parts, "dead01") != NULL;
  if (has_part)
    {
      __sync_fetch_and_add (&poison_arrivals, 1);
      record ("%s with the part reaches server %s%s", request->id,
              request->server->id, is_judged () ? ": COUNTED" : "");
      if (is_judged ())
        __sync_fetch_and_add (&poison_late, 1);
    }
  sleep_ms (40);
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
      if (has_part && has_trouble)
        {
          sleep_ms (STEP_MS);
          if (has_crashed (request))
            return WORK_RESET;
          if (__sync_add_and_fetch (&crashes, 1) == 5)
            fifth_ms = now_ms ();
          server_crash (request->server, DOWN_MS);
          return WORK_RESET;
        }
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

static void *
send_poison (void *context)
{
  int number = (int)(intptr_t)context;
  char parts[128];

  snprintf (parts, sizeof parts, "a%x:40," PART ",b%x:%d", number % 7,
            0x1000 + number, 60000 + number);
  send_stream (number % EDGES, parts, 60440 + number);
  return NULL;
}

static void *
send_sound (void *context)
{
  int edge = (int)(intptr_t)context;

  for (int i = 0;; i++)
    {
      char parts[128];
      answer_t answer;

      snprintf (parts, sizeof parts, "a%x:40,c%x%x:900", i % 7, edge, 4096 + i);
      answer = send_stream (edge % EDGES, parts, 1000);
      if (answer.status != 200)
        sleep_ms (200);
      if (!is_judged ())
        continue;
      if (answer.is_complete && answer.status == 200)
        __sync_fetch_and_add (&sound_done, 1);
      else if (answer.status == 200 || answer.status == 502)
        __sync_fetch_and_add (&sound_cut, 1);
    }
  return NULL;
}

int
main (int argc, char **argv)
{
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
  for (int i = 0; i < 9; i++)
    start_thread (send_sound, (void *)(intptr_t)i);
  sleep_ms (3000);

  /* The disruption: requests with the part come, one at a time. */
  for (int i = 0; i < REQUESTS; i++)
    {
      start_thread (send_poison, (void *)(intptr_t)i);
      sleep_ms (GAP_MS);
    }
  sleep_ms (1000);
  record ("%d requests with the part reached servers, %d servers crashed",
          poison_arrivals, crashes);
  if (has_trouble && crashes < 5)
    fail_case ("fewer than five crashes");
  record ("later than contact-ms after the fifth crash, %d requests with the "
          "part reached servers, %d sound streams were cut, %d were whole",
          poison_late, sound_cut, sound_done);
  if (poison_late > 3)
    record ("BROKEN: more than three requests with the part reach servers");
  harness_end (poison_late > 3 ? 1 : 0);
}
