/*
 * Two control machines are replaced by new ones, one after the other. Each new
 * machine starts first and has catch-up-s before the next replacement begins.
 * Afterwards no acknowledged configuration can be read and none is accepted.
 */
#include "harness.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define REPLACEMENTS 2
#define CATCH_UP_MS  4000 /* from the start of a new machine */
#define STOP_MS      1000 /* from the start of a new machine to SIGTERM */
#define OPERATE_MS   30000

static const char config[]
    = "{\"version\":%d,\"routes\":[],\"services\":[]}";

static node_t added[REPLACEMENTS];
static const node_t *group[CONTROLS];

/** Returns whether a control machine says that it leads. */
static bool
is_leader (const node_t *node)
{
  static const char name[] = "\nlwm_control_leader 1";
  message_t answer;
  bool leads = call (node->ip, PORT_CONTROL, "GET", "/metrics", "", 0, 300,
                     &answer)
                   == 200
               && strstr (answer.body, name) != NULL;

  message_free (&answer);
  return leads;
}

static bool
put (int version)
{
  char text[128];
  int status = 0;

  snprintf (text, sizeof text, config, version);
  for (int i = 0; i < CONTROLS && status != 200; i++)
    {
      status = call (group[i]->ip, PORT_CONTROL, "POST", "/config/put", text,
                     strlen (text), 1000, NULL);
      record ("configuration %d sent to %s: answer %d", version, group[i]->name,
              status);
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
      int status = call (group[i]->ip, PORT_CONTROL, "GET", "/config/get", "", 0,
                         1000, &answer);

      record ("configuration read at %s: answer %d %.45s", group[i]->name,
              status, answer.body != NULL ? answer.body : "");
      is_read = is_read
                || (status == 200 && strstr (answer.body, expected) != NULL);
      message_free (&answer);
    }
  return is_read;
}

/** Starts a new machine, and then stops the one at @a place for good. */
static void
replace (int place, node_t *node)
{
  node_t *old = (node_t *)group[place];
  uint64_t started_ms = mono_ms ();

  node_start (node, false);
  sleep_ms (STOP_MS);
  node_signal (old, SIGTERM);
  if (node_wait (old, 2000) == -1)
    harness_fail ("%s does not stop", old->name);
  record ("%s has ended and does not come back", old->name);
  group[place] = node;
  for (int i = 0; i < CONTROLS; i++)
    seeds[i] = group[i];
  for (int i = 0; i < CONTROLS; i++)
    {
      node_write_settings (group[i], false);
      kill (group[i]->pid, SIGHUP);
    }
  sleep_ms (started_ms + CATCH_UP_MS - mono_ms ());
}

int
main (int argc, char **argv)
{
  uint64_t until_ms;
  bool is_read = false;
  bool is_put = false;
  int next = 0;

  harness_begin (argc > 1 ? argv[1] : ".");
  start_controls ();
  for (int i = 0; i < CONTROLS; i++)
    group[i] = &controls[i];
  put_first_config ("{\"version\":1,\"routes\":[],\"services\":[]}");
  sleep_ms (CATCH_UP_MS);
  if (!put (2))
    harness_fail ("the second configuration was not acknowledged");
  for (int i = 0; trouble && i < CONTROLS && next < REPLACEMENTS; i++)
    if (!is_leader (group[i]))
      {
        node_init (&added[next], ROLE_CONTROL, 41 + next, group[i]->zone);
        replace (i, &added[next++]);
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
