/*
 * Clients outside the limits at the HTTP listener of lwm-entryd, which serves
 * callers, announcements and administration. Guards against an entry instance
 * that runs out of memory or descriptors.
 */
#include <signal.h>
#include <string.h>

#include "lib-entry.h"
#include "lib-http-crowd-cases.h"
#include "lib-http-socket.h"

#define BODY_BYTES     (3900u * 1024)
#define BODY_CLIENTS   40
#define SLOW_CLIENTS   300
#define ECHO_BYTES     900000
#define STREAM_CLIENTS 80
#define STREAM_TOKENS  "20000"
#define STREAM_MS      4000
#define SLOW_BYTES_S   1024
#define FAST_ENGINE    "--step-us=200"
#define HTTP_OK        200

typedef struct
{
  http_crowd_target_t target;
  deploy_t *deploy;
  char *get;
} fixture_t;

static bool
call_service (void *context)
{
  fixture_t *fixture = context;
  answer_t answer = cluster_call_with (
      fixture->deploy->address, "POST", "/v1/call/lookup/a",
      "X-Customer: counter\r\n", "{}", CLUSTER_WAIT_TIMEOUT_MS);
  bool is_ok = answer.status == HTTP_OK;

  cluster_answer_free (&answer);
  return is_ok;
}

/** Makes the instance keep a long answer; returns the path to fetch it. */
static char *
keep_long_answer (fixture_t *fixture)
{
  char *body = g_strnfill (ECHO_BYTES, 'x');
  char *head = g_strdup_printf (
      "POST /v1/call/lookup/a HTTP/1.1\r\nHost: x\r\nX-Customer: counter\r\n"
      "X-Request-Id: long\r\nConnection: close\r\n"
      "Content-Length: %d\r\n\r\n",
      ECHO_BYTES);
  http_socket_t *caller = http_socket_connect (fixture->deploy->address);
  http_message_t answer;
  char *id;
  char *path;

  g_assert_true (http_socket_send (caller, head, strlen (head)));
  g_assert_true (http_socket_send (caller, body, ECHO_BYTES));
  g_assert_true (http_socket_receive (
      caller, g_get_monotonic_time () + 20 * G_USEC_PER_SEC, &answer));
  g_assert_cmpint (answer.status, ==, HTTP_OK);
  id = http_message_field (&answer, "X-Request-Id");
  g_assert_nonnull (id);
  path = g_strdup_printf ("/v1/requests/%s", id);
  http_message_clear (&answer);
  http_socket_free (caller);
  g_free (id);
  g_free (head);
  g_free (body);
  return path;
}

static http_crowd_target_t *
set_up (void)
{
  fixture_t *fixture = g_new0 (fixture_t, 1);
  char *memory = g_strdup_printf ("%d", CROWD_MEMORY_MB);
  char *descriptors = g_strdup_printf ("%d", CROWD_MAX_DESCRIPTORS);

  g_setenv ("LWM_MEMORY_MB", memory, TRUE);
  g_setenv ("LWM_MAX_DESCRIPTORS", descriptors, TRUE);
  fixture->deploy = deploy_new ("--stop-timeout-ms=2000");
  g_unsetenv ("LWM_MEMORY_MB");
  g_unsetenv ("LWM_MAX_DESCRIPTORS");
  deploy_service (fixture->deploy, "lookup", NULL);
  fixture->get = keep_long_answer (fixture);
  fixture->target = (http_crowd_target_t){
    .process = fixture->deploy->process,
    .address = g_strdup (fixture->deploy->address),
    .post = "/v1/call/lookup/a",
    .post_json = "/v1/completions",
    .get = fixture->get,
    .body_bytes = BODY_BYTES,
    .body_clients = BODY_CLIENTS,
    .slow_clients = SLOW_CLIENTS,
    .call = call_service,
    .context = fixture,
  };
  g_free (memory);
  g_free (descriptors);
  return &fixture->target;
}

static void
tear_down (http_crowd_target_t *target)
{
  fixture_t *fixture = target->context;

  cluster_free (fixture->deploy->cluster);
  g_free (fixture->deploy);
  g_free (fixture->get);
  g_free (target->address);
  g_free (fixture);
}

static void
stop (http_crowd_target_t *target)
{
  fixture_t *fixture = target->context;

  process_signal (fixture->deploy->process, SIGTERM);
  process_expect_success (fixture->deploy->process);
}

/* Guards against streams whose callers read slowly: their tokens must wait at
 * the engine, not in the instance. */
static void
test_slow_streams (void)
{
  static const char body[]
      = PROMPT ("x", ",\"stream\":true,\"max_tokens\":" STREAM_TOKENS);
  http_crowd_target_t *target = set_up ();
  fixture_t *fixture = target->context;
  char *head = g_strdup_printf ("POST /v1/completions HTTP/1.1\r\nHost: x\r\n"
                                "Content-Length: %zu\r\n\r\n%s",
                                strlen (body), body);
  http_crowd_options_t options = { .address = target->address,
                                   .connections = STREAM_CLIENTS,
                                   .head = head,
                                   .read_bytes_s = SLOW_BYTES_S };
  http_crowd_t *crowd;

  deploy_engine (fixture->deploy, FAST_ENGINE, NULL);
  http_crowd_watch (target->process);
  crowd = http_crowd_start (&options);
  cluster_sleep_ms (STREAM_MS);
  http_crowd_wait (crowd);
  CLUSTER_WAIT (call_service (fixture));
  http_crowd_check_bounds (target);
  http_crowd_free (crowd);
  g_free (head);
  tear_down (target);
}

int
main (int argc, char **argv)
{
  static const http_crowd_program_t program = { .prefix = "crowd-entryd",
                                                .set_up = set_up,
                                                .tear_down = tear_down,
                                                .stop = stop };

  g_test_init (&argc, &argv, NULL);
  http_crowd_cases_add (&program);
  g_test_add_func ("/crowd-entryd/slow-streams", test_slow_streams);
  return g_test_run ();
}
