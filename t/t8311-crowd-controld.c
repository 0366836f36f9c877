/*
 * Clients outside the limits at the HTTP listener of lwm-controld. Guards
 * against a control instance that runs out of memory or descriptors.
 */
#include <signal.h>

#include "lib-http-crowd-cases.h"

#define BODY_BYTES     (960u * 1024)
#define BODY_CLIENTS   160
#define SLOW_CLIENTS   300
#define STATUS_TIMEOUT 408
#define HTTP_OK        200

typedef struct
{
  http_crowd_target_t target;
  cluster_t *cluster;
  process_t *process;
} fixture_t;

static bool
read_status (void *context)
{
  fixture_t *fixture = context;
  answer_t answer
      = cluster_call (fixture->target.address, "GET", "/v1/status", NULL);
  bool is_ok = answer.status == HTTP_OK;

  cluster_answer_free (&answer);
  return is_ok;
}

static http_crowd_target_t *
set_up (void)
{
  fixture_t *fixture = g_new0 (fixture_t, 1);
  cluster_t *cluster = fixture->cluster = cluster_new ();
  const char *address = cluster_address (cluster);
  const char *peers = cluster_address (cluster);
  char *member = g_strdup_printf ("c1=%s", peers);
  char *memory = g_strdup_printf ("--memory-mb=%d", CROWD_MEMORY_MB);
  char *descriptors
      = g_strdup_printf ("--max-descriptors=%d", CROWD_MAX_DESCRIPTORS);

  fixture->process = cluster_start (
      cluster, "lwm-controld", "--instance", "c1", "--zone", "z", "--listen",
      address, "--control-listen", peers, "--member", member, "--data-folder",
      cluster_subfolder (cluster, "c1"), memory, descriptors, NULL);
  g_assert_nonnull (fixture->process);
  fixture->target = (http_crowd_target_t){
    .process = fixture->process,
    .address = g_strdup (address),
    .post = "/v1/status",
    .post_json = "/v1/status",
    .get = "/metrics",
    .body_bytes = BODY_BYTES,
    .body_clients = BODY_CLIENTS,
    .slow_clients = SLOW_CLIENTS,
    .call = read_status,
    .context = fixture,
  };
  g_free (member);
  g_free (memory);
  g_free (descriptors);
  return &fixture->target;
}

static void
tear_down (http_crowd_target_t *target)
{
  fixture_t *fixture = target->context;

  cluster_free (fixture->cluster);
  g_free (target->address);
  g_free (fixture);
}

static void
stop (http_crowd_target_t *target)
{
  fixture_t *fixture = target->context;

  process_signal (fixture->process, SIGTERM);
  process_expect_success (fixture->process);
}

/* Guards against a request that never ends: its client is told so, and the
 * connection does not stay open. */
static void
test_silent_request (void)
{
  http_crowd_target_t *target = set_up ();
  http_crowd_options_t options
      = { .address = target->address, .head = "GET /metrics HTTP/1.1\r\nA: " };

  g_assert_cmpint (http_crowd_send_one (&options), ==, STATUS_TIMEOUT);
  CLUSTER_WAIT (target->call (target->context));
  tear_down (target);
}

int
main (int argc, char **argv)
{
  static const http_crowd_program_t program = { .prefix = "crowd-controld",
                                                .set_up = set_up,
                                                .tear_down = tear_down,
                                                .stop = stop };

  g_test_init (&argc, &argv, NULL);
  http_crowd_cases_add (&program);
  g_test_add_func ("/crowd-controld/silent-request", test_silent_request);
  return g_test_run ();
}
