/*
 * A heartbeat with bytes that cannot be read ends the process of a control
 * machine. Its sender then calls the next one, as servers do.
 */
#include "harness.h"

#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>

#define BODY_BYTES    (600 * 1024)
#define HEARTBEAT_MS  1200
#define ROUNDS        6
#define RESTART_MS    300
#define MAX_OWN_ENDS  3 /* in the day, on half of the core */

static const char config[]
    = "{\"version\":1,\"routes\":[],\"services\":[]}";

static int own_ends[CONTROLS];
static volatile bool is_over;

/** Starts a process again that has ended, as the platform does. */
static void *
watch_controls (void *context)
{
  while (!is_over)
    {
      for (int i = 0; i < CONTROLS; i++)
        {
          int status = node_wait (&controls[i], 0);

          if (status == -1)
            continue;
          own_ends[i]++;
          record ("%s has ended by itself: %s", controls[i].name,
                  WIFSIGNALED (status) ? strsignal (WTERMSIG (status))
                                       : "exit");
          sleep_ms (RESTART_MS);
          node_start (&controls[i], false);
        }
      sleep_ms (10);
    }
  return NULL;
}

/** Returns bytes that are no JSON. With the disruption, they begin with a
 * comment that holds a quotation mark. */
static char *
new_body (void)
{
  const char *start = trouble ? "{\"service\":/*\"*/" : "{\"service\":";
  char *body = malloc (BODY_BYTES);

  memset (body, '[', BODY_BYTES);
  memcpy (body, start, strlen (start));
  return body;
}

int
main (int argc, char **argv)
{
  char *body;
  pthread_t watcher;
  int bad = 0;

  harness_begin (argc > 1 ? argv[1] : ".");
  body = new_body ();
  start_controls ();
  put_first_config (config);
  sleep_ms (4000); /* contact-ms */
  pthread_create (&watcher, NULL, watch_controls, NULL);
  for (int round = 0; round < ROUNDS; round++)
    {
      for (int i = 0; i < CONTROLS; i++)
        {
          int status = call (controls[i].ip, PORT_CONTROL, "POST",
                             "/instances/i-9/heartbeat", body, BODY_BYTES, 1000,
                             NULL);

          record ("a heartbeat of %d bytes to %s: answer %d", BODY_BYTES,
                  controls[i].name, status);
        }
      sleep_ms (HEARTBEAT_MS);
    }
  is_over = true;
  pthread_join (watcher, NULL);
  for (int i = 0; i < CONTROLS; i++)
    {
      record ("%s: %d ends of its own", controls[i].name, own_ends[i]);
      bad += own_ends[i] >= MAX_OWN_ENDS;
    }
  free (body);
  harness_end (2 * bad >= CONTROLS ? EXIT_BROKEN : EXIT_HELD);
}
