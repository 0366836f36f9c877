/*
 * Clients outside the limits at the listener of lwm-platform-control, which
 * serves operators and upstreams. Guards against a control instance that runs
 * out of memory or descriptors, or stops serving announcements.
 */
#include <signal.h>
#include <string.h>

#include "lib-http-crowd-cases.h"
#include "lib-nodes.h"

#define ROUTES           14000
#define BODY_BYTES       (3900u * 1024)
#define BODY_CLIENTS     40
#define SLOW_CLIENTS     100
#define OPERATORS        3
#define MAX_CONFIG_BYTES (4096u * 1024)
#define HTTP_OK          200

typedef struct
{
  http_crowd_target_t target;
  nodes_t *nodes;
  int sequence;
} fixture_t;

/** Returns a configuration of some 2.4 MB; free with g_free(). */
static char *
make_large_config (const nodes_t *nodes, int version)
{
  GString *text = g_string_new (NULL);

  g_string_printf (text, "{\"version\":%d,\"routes\":[", version);
  for (int i = 0; i < ROUTES; i++)
    g_string_append_printf (
        text,
        "%s{\"name\":\"r-%d\",\"host\":\"%s\",\"" NODES_MEMBER_PREFIX
        "\":\"/a/%d/\","
        "\"kind\":\"safe\",\"timeout-ms\":3000,\"service\":\"s\","
        "\"public\":true}",
        i > 0 ? "," : "", i, nodes->ip[NODES_ENTRY], i);
  g_string_append (text, "],\"services\":[{\"name\":\"s\"}]}");
  return g_string_free (text, FALSE);
}

/** Announces an upstream; returns whether that was accepted. */
static bool
announce (void *context)
{
  fixture_t *fixture = context;
  char *address = nodes_address (fixture->nodes, NODES_ENTRY, 9);
  nodes_announcement_t announcement = { .id = "u",
                                        .service = "s",
                                        .address = address,
                                        .slots = 4,
                                        .sequence = ++fixture->sequence };
  int status = nodes_announce (fixture->nodes, 0, &announcement);

  g_free (address);
  return status == HTTP_OK;
}

static http_crowd_target_t *
set_up (void)
{
  fixture_t *fixture = g_new0 (fixture_t, 1);
  nodes_options_t options = { .version = 1,
                              .memory_mb = CROWD_MEMORY_MB,
                              .max_descriptors = CROWD_MAX_DESCRIPTORS };
  char *config;

  fixture->nodes = nodes_new_with (&options);
  config = make_large_config (fixture->nodes, 2);
  g_assert_cmpint (
      nodes_call (fixture->nodes, 0, 0, "POST", NODES_PATH_CONFIG, config), ==,
      HTTP_OK);
  g_free (config);
  fixture->target = (http_crowd_target_t){
    .process = fixture->nodes->process[0],
    .address = nodes_address (fixture->nodes, 0, 0),
    .post = NODES_PATH_CONFIG,
    .post_json = NODES_PATH_CONFIG,
    .get = NODES_PATH_READ_CONFIG,
    .body_bytes = BODY_BYTES,
    .body_clients = BODY_CLIENTS,
    .slow_clients = SLOW_CLIENTS,
    .call = announce,
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

  process_signal (fixture->nodes->process[0], SIGTERM);
  process_expect_success (fixture->nodes->process[0]);
}

/* Guards against limits that an operator within them meets: the largest
 * configuration is put, read by several operators at once, and replaced. */
static void
test_largest_config (void)
{
  http_crowd_target_t *target = set_up ();
  fixture_t *fixture = target->context;
  GString *config = g_string_new (NULL);
  char *large = make_large_config (fixture->nodes, 3);
  call_t *calls[OPERATORS];

  /* Blanks at the end do not change the meaning. */
  g_string_append (config, large);
  while (config->len < MAX_CONFIG_BYTES)
    g_string_append_c (config, ' ');
  for (int i = 0; i < OPERATORS; i++)
    calls[i]
        = call_start (target->address, NODES_PATH_CONFIG, NULL, config->str);
  for (int i = 0; i < OPERATORS; i++)
    {
      answer_t answer = call_finish (calls[i]);

      g_assert_cmpint (answer.status, ==, HTTP_OK);
      cluster_answer_free (&answer);
    }
  g_assert_cmpint (nodes_read_version (fixture->nodes, 0), ==, 3);
  g_free (large);
  g_string_free (config, TRUE);
  tear_down (target);
}

int
main (int argc, char **argv)
{
  static const http_crowd_program_t program = { .prefix = "crowd-control",
                                                .set_up = set_up,
                                                .tear_down = tear_down,
                                                .stop = stop };

  g_test_init (&argc, &argv, NULL);
  http_crowd_cases_add (&program);
  g_test_add_func ("/crowd-control/largest-config", test_largest_config);
  return g_test_run ();
}
