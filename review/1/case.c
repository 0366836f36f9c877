/*
 * One of three control machines loses its disk, and loses it once more when it
 * has just joined again. The other two are never disturbed. Afterwards no
 * acknowledged configuration can be read and none is accepted.
 */
#include "harness.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define DOWN_MS    1000 /* of a machine that lost its disk */
#define JOIN_MS    10000
#define OPERATE_MS 30000

static const char config[]
    = "{\"version\":%d,\"routes\":[],\"services\":[]}";

/** Reads a metric of a control machine; -1 when there is none. */
static double
metric (const node_t *node, const char *name)
{
  message_t answer;
  double value = -1;
  size_t length = strlen (name);

  if (call (node->ip, PORT_CONTROL, "GET", "/metrics", "", 0, 300, &answer)
      == 200)
    for (const char *line = answer.body; line != NULL;
         line = strchr (line, '\n'))
      {
        line += *line == '\n';
        if (strncmp (line, name, length) == 0 && line[length] == ' ')
          value = atof (line + length);
      }
  message_free (&answer);
  return value;
}

static bool
put (int version)
{
  char text[128];
  int status = 0;

  snprintf (text, sizeof text, config, version);
  for (int i = 0; i < CONTROLS && status != 200; i++)
    {
      status = call (controls[i].ip, PORT_CONTROL, "POST", "/config/put", text,
                     strlen (text), 1000, NULL);
      record ("configuration %d sent to %s: answer %d", version,
              controls[i].name, status);
    }
  return status == 200;
}

/** Reads the configuration at every machine. Returns whether one gave it. */
static bool
can_read (int version)
{
  char expected[64];
  bool is_read = false;

  snprintf (expected, sizeof expected, "\"version\":%d,", version);
  for (int i = 0; i < CONTROLS; i++)
    {
      message_t answer;
      int status = call (controls[i].ip, PORT_CONTROL, "GET", "/config/get", "",
                         0, 1000, &answer);

      record ("configuration read at %s: answer %d %.45s", controls[i].name,
              status, answer.body != NULL ? answer.body : "");
      is_read = is_read
                || (status == 200 && strstr (answer.body, expected) != NULL);
      message_free (&answer);
    }
  return is_read;
}

/** Takes the power and the disk from a machine, and starts it again. */
static void
lose_disk (node_t *node)
{
  char command[600];

  node_signal (node, SIGKILL);
  node_wait (node, 1000);
  snprintf (command, sizeof command, "rm -rf '%s'", node->data);
  if (system (command) != 0)
    harness_fail ("cannot empty the disk");
  record ("%s has lost its disk", node->name);
  sleep_ms (DOWN_MS);
  node_start (node, false);
}

/** Waits until a machine has joined the group again. */
static void
wait_for_join (node_t *node)
{
  uint64_t until_ms = mono_ms () + JOIN_MS;

  while (metric (node, "lwm_control_applied_index") <= 0)
    {
      if (mono_ms () > until_ms)
        harness_fail ("%s does not join again", node->name);
      sleep_ms (2);
    }
  record ("%s has joined again", node->name);
}

static node_t *
find_follower (void)
{
  for (int i = 0; i < CONTROLS; i++)
    if (metric (&controls[i], "lwm_control_leader") == 0)
      return &controls[i];
  harness_fail ("no follower is found");
}

int
main (int argc, char **argv)
{
  uint64_t until_ms;
  bool is_read = false;
  bool is_put = false;

  harness_begin (argc > 1 ? argv[1] : ".");
  start_controls ();
  put_first_config ("{\"version\":1,\"routes\":[],\"services\":[]}");
  sleep_ms (4000);
  if (!put (2))
    harness_fail ("the second configuration was not acknowledged");
  if (trouble)
    {
      node_t *node = find_follower ();

      lose_disk (node);
      wait_for_join (node);
      lose_disk (node);
    }
  until_ms = mono_ms () + OPERATE_MS;
  while (mono_ms () < until_ms && !(is_read && is_put))
    {
      is_read = is_read || can_read (2);
      is_put = is_read && (is_put || put (3));
      sleep_ms (500);
    }
  record ("configuration 2 can be read: %d, a new one is accepted: %d", is_read,
          is_put);
  harness_end (is_read ? EXIT_HELD : EXIT_BROKEN);
}
