/* A configuration that cannot be read in full is acknowledged, obeyed, and read
 * back as it is. */
#include <stdio.h>
#include <string.h>

#include "../lib-2/harness.h"

#define CONFIG_MS 2000
#define REQUESTS  20

/** The rest of a body that was cut short after its first object. */
static const char cut_rest[] = "\"checksum: 5f1c";

static machine_t *controls[3];
static machine_t *edge;
static server_t servers[2];
static int sent;

static void
write_config (char *text, size_t size, int version, const char *service)
{
  snprintf (
      text, size,
      "{\"version\":%d,\"routes\":[{\"name\":\"r-look\",\"host\":"
      "\"a.example\",\"path-prefix\":\"/look/\",\"kind\":\"safe\","
      "\"timeout-ms\":2000,\"goal-ms\":300,\"priority\":2,\"service\":"
      "\"%s\",\"attempts\":2,\"public\":true}],\"services\":["
      "{\"name\":\"ledger\",\"health-path\":\"/health\",\"max-conns\":96,"
      "\"protocol\":\"h1\",\"tls\":false},"
      "{\"name\":\"archive\",\"health-path\":\"/health\",\"max-conns\":96,"
      "\"protocol\":\"h1\",\"tls\":false}]}",
      version, service);
}

/** Returns whether the text is one object, with nothing but blanks behind it.
 * Within the object it only finds strings and brackets. */
static bool
is_one_object (const char *text)
{
  int depth = 0;
  bool is_string = false;

  for (; *text != '\0'; text++)
    {
      if (is_string && *text == '\\' && text[1] != '\0')
        text++;
      else if (*text == '"')
        is_string = !is_string;
      else if (!is_string && (*text == '{' || *text == '['))
        depth++;
      else if (!is_string && (*text == '}' || *text == ']') && --depth == 0)
        break;
    }
  return *text == '}' && text[1 + strspn (text + 1, " \t\r\n")] == '\0';
}

static int
put (const char *text, const machine_t *control)
{
  int status = http_call (control->ip, control_port (), "POST", "/config/put",
                          "Content-Type: application/json\r\n", text, 1000)
                   .status;

  record ("operator sends to %s: %s", control->name, text);
  record ("answer: %d", status);
  return status;
}

/** Sends requests; returns how many a server ran. */
static int
count_runs (const server_t *server)
{
  int before;
  int after;
  int runs = 0;
  const arrival_t *list;

  arrivals (&before);
  for (int i = 0; i < REQUESTS; i++)
    {
      char fields[256];
      int status;

      snprintf (fields, sizeof fields,
                "Host: a.example\r\nRequest-Id: q%05d\r\nDeadline-Ms: 2000\r\n",
                ++sent);
      status = http_call (edge->ip, front_port (), "GET", "/look/x", fields,
                          NULL, 2000)
                   .status;
      record ("client sends q%05d to %s: %d", sent, edge->name, status);
    }
  list = arrivals (&after);
  for (int i = before; i < after; i++)
    runs += strcmp (list[i].server, server->id) == 0;
  record ("server %s of service %s ran %d of %d requests", server->id,
          server->service, runs, REQUESTS);
  return runs;
}

int
main (int argc, char **argv)
{
  static const char *const zones[] = { "za", "zb", "zc" };
  static char text[4096];
  char name[32];
  int status;
  int unreadable = 0;
  int obeyed;

  harness_begin (argc > 1 ? argv[1] : ".");
  for (int i = 0; i < 3; i++)
    {
      snprintf (name, sizeof name, "core-%d", i + 1);
      controls[i] = add_machine (name, zones[i], true);
    }
  edge = add_machine ("edge-1", "za", false);
  for (int i = 0; i < machine_count; i++)
    start_machine (&machines[i], true);
  write_config (text, sizeof text, 3, "ledger");
  if (!put_config (text, 15000))
    fail_case ("the first configuration is not acknowledged");
  for (int i = 0; i < 2; i++)
    {
      snprintf (servers[i].id, sizeof servers[i].id, "i-%d", i + 1);
      snprintf (servers[i].service, sizeof servers[i].service, "%s",
                i == 0 ? "ledger" : "archive");
      snprintf (servers[i].zone, sizeof servers[i].zone, "%s", zones[i]);
      servers[i].work_ms = 10;
      server_start (&servers[i]);
    }
  if (!wait_ready (edge, 10000))
    fail_case ("the edge machine is not ready");
  sleep_ms (2 * HEARTBEAT_MS + CONTACT_MS);
  if (count_runs (&servers[0]) < REQUESTS)
    fail_case ("the calm system does not serve");

  /* The disruption: a configuration that cannot be read in full. */
  write_config (text, sizeof text, 5, "archive");
  if (has_trouble)
    strcat (text, cut_rest);
  status = put (text, controls[0]);
  sleep_ms (CONFIG_MS + 100);
  for (int i = 0; i < 3; i++)
    {
      answer_t answer = http_call (controls[i]->ip, control_port (), "GET",
                                   "/config/get", NULL, NULL, 1000);

      record ("operator reads from %s: %d %s", controls[i]->name, answer.status,
              answer.body);
      if (answer.status == 200 && !is_one_object (answer.body))
        unreadable++;
    }
  obeyed = count_runs (&servers[1]);
  if (!has_trouble)
    {
      if (status != 200 || obeyed < REQUESTS || unreadable > 0)
        fail_case ("the valid configuration is not in force");
      harness_end (0);
    }
  if (status == 200)
    record ("BROKEN: what is invalid is acknowledged");
  if (obeyed > 0)
    record ("BROKEN: what is invalid is in force");
  if (unreadable > 0)
    record ("BROKEN: %d of 3 reads give what cannot be read", unreadable);
  harness_end (status == 200 || obeyed > 0 || unreadable > 0 ? 1 : 0);
}
