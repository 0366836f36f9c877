/* A server's departure that a control machine has acknowledged is not known to
 * an edge machine that is added while that control machine stands still. */
#include <signal.h>
#include <stdio.h>
#include <string.h>

#include "../lib-2/harness.h"

/** The freeze of a core machine in the site file's days. */
#define FREEZE_MS 7300
/** How long the leaving server goes on to serve. */
#define LINGER_MS 9000

static const char config[]
    = "{\"version\":3,\"routes\":[{\"name\":\"r-safe\",\"host\":\"a.example\","
      "\"path-prefix\":\"/safe/\",\"kind\":\"safe\",\"timeout-ms\":2000,"
      "\"goal-ms\":300,\"priority\":2,\"service\":\"ledger\",\"attempts\":2,"
      "\"public\":true}],\"services\":[{\"name\":\"ledger\","
      "\"health-path\":\"/health\",\"max-conns\":96,\"protocol\":\"h1\","
      "\"tls\":false}],\"limits\":{\"max-header-bytes\":16384,"
      "\"max-body-bytes\":4194304,\"header-timeout-ms\":3000,"
      "\"idle-timeout-ms\":15000}}";

static int sent;

static int
send_request (const machine_t *edge)
{
  char fields[256];
  char id[32];
  answer_t answer;

  snprintf (id, sizeof id, "q%05d", ++sent);
  snprintf (fields, sizeof fields,
            "Host: a.example\r\nRequest-Id: %s\r\nDeadline-Ms: 2000\r\n", id);
  answer = http_call (edge->ip, front_port (), "GET", "/safe/x", fields, NULL,
                      2000);
  record ("client sends %s to %s: %d", id, edge->name, answer.status);
  return answer.status;
}

int
main (int argc, char **argv)
{
  static server_t servers[3];
  machine_t *controls[3];
  machine_t *edge;
  machine_t *added;
  uint64_t left_ms;
  uint64_t frozen_ms;
  uint64_t started_ms;
  int count;
  int before;
  int late = 0;
  int answered = 0;
  const arrival_t *list;

  harness_begin (argc > 1 ? argv[1] : ".");
  controls[0] = add_machine ("core-1", "za", true);
  controls[1] = add_machine ("core-2", "zb", true);
  controls[2] = add_machine ("core-3", "zc", true);
  edge = add_machine ("edge-1", "za", false);
  for (int i = 0; i < machine_count; i++)
    start_machine (&machines[i], true);
  added = add_machine ("edge-2", "zb", false);
  if (!put_config (config, 15000))
    fail_case ("the configuration is not acknowledged");
  for (int i = 0; i < 3; i++)
    {
      snprintf (servers[i].id, sizeof servers[i].id, "i-%d", i + 1);
      snprintf (servers[i].service, sizeof servers[i].service, "ledger");
      snprintf (servers[i].zone, sizeof servers[i].zone, "z%c", 'a' + i);
      servers[i].work_ms = 40;
      server_start (&servers[i]);
    }
  if (!wait_ready (edge, 10000))
    fail_case ("the edge machine is not ready");
  /* Each server has reported to each control machine by then, and all machines
     have been calm for contact-ms. */
  sleep_ms (3 * HEARTBEAT_MS + CONTACT_MS);
  for (int i = 0; i < 20; i++)
    answered += send_request (edge) == 200;
  if (answered < 18)
    fail_case ("the calm system does not serve");

  /* Planned: a server leaves. It says so to one control machine, which
     acknowledges it, goes on to serve for a while and says in all its answers
     that it leaves. */
  servers[1].beats = false;
  sleep_ms (100);
  if (server_beat (&servers[1], controls[0], "ready") != 200)
    fail_case ("the last heartbeat is not acknowledged");
  record ("server %s sends its last heartbeat to %s", servers[1].id,
          controls[0]->name);
  servers[1].is_ending = true;
  if (server_leave (&servers[1], controls[1]) != 200)
    fail_case ("the departure is not acknowledged");
  left_ms = now_ms ();
  sleep_ms (50);

  /* The disruption: that control machine freezes. */
  if (has_trouble)
    signal_machine (controls[1], SIGSTOP);
  frozen_ms = now_ms ();
  /* Planned: a machine is added. */
  start_machine (added, false);
  started_ms = now_ms ();
  if (!wait_ready (added, 6000))
    fail_case ("the added machine is not ready");
  /* Until the core has been stable, and the added machine in touch, for
     contact-ms. */
  while (now_ms () < started_ms + CONTACT_MS + 50
         || now_ms () < frozen_ms + CONTACT_MS + 50)
    sleep_ms (20);
  arrivals (&before);
  while (now_ms () < frozen_ms + FREEZE_MS - 500)
    {
      send_request (added);
      send_request (edge);
      sleep_ms (60);
    }
  list = arrivals (&count);
  for (int i = before; i < count; i++)
    if (strcmp (list[i].server, servers[1].id) == 0
        && list[i].at_ms > left_ms + DRAIN_MS)
      {
        late++;
        record ("BROKEN: %s reaches server %s %llu ms after its departure was "
                "acknowledged",
                list[i].id, list[i].server,
                (unsigned long long)(list[i].at_ms - left_ms));
      }
  if (has_trouble)
    signal_machine (controls[1], SIGCONT);
  while (now_ms () < left_ms + LINGER_MS)
    sleep_ms (50);
  servers[1].is_gone = true;
  record ("requests that reached the server that had left: %d of %d", late,
          count - before);
  harness_end (late > 0 ? 1 : 0);
}
