/*
 * Clients outside the limits at the status listener of lwm-platform-entry.
 * Guards against an entry instance that runs out of memory or descriptors, or
 * stops reporting its readiness.
 */
#include <signal.h>

#include "lib-http-crowd-cases.h"
#include "lib-nodes.h"

#define BODY_BYTES    (960u * 1024)
#define BODY_CLIENTS  160
#define SLOW_CLIENTS  300
#define OFFSET_STATUS 2

typedef struct
{
  http_crowd_target_t target;
  nodes_t *nodes;
} fixture_t;

static bool
is_ready (void *context)
{
  fixture_t *fixture = context;

  return nodes_is_ready (fixture->nodes, NODES_ENTRY);
}

static http_crowd_target_t *
set_up (void)
{
  fixture_t *fixture = g_new0 (fixture_t, 1);
  nodes_options_t options = { .version = 1,
                              .memory_mb = CROWD_MEMORY_MB,
                              .max_descriptors = CROWD_MAX_DESCRIPTORS };

  fixture->nodes = nodes_new_with (&options);
  fixture->target = (http_crowd_target_t){
    .process = fixture->nodes->process[NODES_ENTRY],
    .address = nodes_address (fixture->nodes, NODES_ENTRY, OFFSET_STATUS),
    .post = "/ready",
    .post_json = "/ready",
    .get = "/metrics",
    .body_bytes = BODY_BYTES,
    .body_clients = BODY_CLIENTS,
    .slow_clients = SLOW_CLIENTS,
    .call = is_ready,
    .context = fixture,
  };
  return &fixture->target;
}

static void
tear_down (http_crowd_target_t *target)
{
  fixture_t *fixture = target->context;

  nodes_free (fixture->nodes);
  g_free (target->address);
  g_free (fixture);
}

static void
stop (http_crowd_target_t *target)
{
  fixture_t *fixture = target->context;

  process_signal (fixture->nodes->process[NODES_ENTRY], SIGTERM);
  process_expect_success (fixture->nodes->process[NODES_ENTRY]);
}

int
main (int argc, char **argv)
{
  static const http_crowd_program_t program = { .prefix = "crowd-status",
                                                .set_up = set_up,
                                                .tear_down = tear_down,
                                                .stop = stop };

  g_test_init (&argc, &argv, NULL);
  http_crowd_cases_add (&program);
  return g_test_run ();
}
