/*
 * Callers that keep to no limit, against the real processes: an entry instance
 * ran out of memory under them. The process lives, its memory and descriptors
 * stay within those of its machine, and an ordinary request is answered beside
 * them and served after them. Issue 53.
 *
 * LWM_CROWD_PRINT=1 prints what was seen; LWM_CROWD_COUNT=N lets N connections
 * of each case come instead, and LWM_CROWD_MEMORY_MB sets another memory, for
 * measurements.
 */
#include <dirent.h>
#include <glib.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>

#include "lib-crowd.h"
#include "lib-http-socket.h"
#include "lib-node-callers.h"

#define FIRST_VERSION 5
#define SLOTS         100
/** The machine of the instance, in the settings. A sanitized process uses
 * memory of its own, so that only its life is checked. */
#define MEMORY_MB       64u
#define MAX_DESCRIPTORS 1000u
/** The platform reserves these for files. */
#define RESERVED_DESCRIPTORS 200u
#define HOLD_MS              2500
#define LOOK_MS              20
#define ANSWER_MS            15000
#define WORK_MS              "1500"
#define EXIT_TIMEOUT_S       8
#define PIECE_BYTES          (64u * 1024)
#define TOO_MANY_PIECES      128
#define TRICKLE_MS           300
#define LARGE_BYTES          4000000u
#define LARGE_REQUESTS       30

typedef struct
{
  nodes_t *nodes;
  node_upstreams_t *upstreams;
  crowd_t *crowd;
  uint32_t memory_mb;
  uint32_t most_descriptors;
} fixture_t;

static fixture_t shared;
static int next_id;

static uint32_t
number_of (const char *name, uint32_t value)
{
  const char *text = g_getenv (name);

  return text != NULL ? (uint32_t)strtoul (text, NULL, 10) : value;
}

/** Starts an entry instance whose peak memory is its own. */
static fixture_t *
set_up (uint32_t max_descriptors)
{
  fixture_t *fixture = &shared;

  fixture->memory_mb = number_of ("LWM_CROWD_MEMORY_MB", MEMORY_MB);
  if (fixture->nodes == NULL)
    {
      nodes_options_t options = { .version = FIRST_VERSION,
                                  .stop_timeout_s = EXIT_TIMEOUT_S,
                                  .memory_mb = fixture->memory_mb,
                                  .max_descriptors = max_descriptors,
                                  .has_all_kinds = true };

      fixture->nodes = nodes_new_with (&options);
      fixture->upstreams = node_upstreams_new (fixture->nodes, SLOTS);
    }
  else
    {
      fixture->nodes->max_descriptors = max_descriptors;
      nodes_start (fixture->nodes, NODES_ENTRY, false);
    }
  fixture->most_descriptors = 0;
  node_callers_wait_served (fixture->nodes, "/safe/0");
  return fixture;
}

static process_t *
entry_of (const fixture_t *fixture)
{
  return fixture->nodes->process[NODES_ENTRY];
}

static void
tear_down (void)
{
  if (shared.nodes == NULL)
    return;
  node_upstreams_free (shared.upstreams);
  nodes_free (shared.nodes);
}

/** Returns the peak of the resident memory. */
static uint32_t
peak_kib (const fixture_t *fixture)
{
  char *path = g_strdup_printf ("/proc/%d/status",
                                (int)process_pid (entry_of (fixture)));
  char *text = NULL;
  const char *line;
  uint32_t kib = 0;

  if (g_file_get_contents (path, &text, NULL, NULL))
    {
      line = strstr (text, "VmHWM:");
      kib = line != NULL
                ? (uint32_t)strtoul (line + strlen ("VmHWM:"), NULL, 10)
                : 0;
    }
  g_free (text);
  g_free (path);
  return kib;
}

static uint32_t
count_descriptors (const fixture_t *fixture)
{
  char *path
      = g_strdup_printf ("/proc/%d/fd", (int)process_pid (entry_of (fixture)));
  GDir *folder = g_dir_open (path, 0, NULL);
  uint32_t count = 0;

  while (folder != NULL && g_dir_read_name (folder) != NULL)
    count++;
  if (folder != NULL)
    g_dir_close (folder);
  g_free (path);
  return count;
}

static void
watch_for (fixture_t *fixture, uint32_t time_ms)
{
  int64_t until_us = g_get_monotonic_time () + (int64_t)time_ms * 1000;

  while (g_get_monotonic_time () < until_us)
    {
      fixture->most_descriptors
          = MAX (fixture->most_descriptors, count_descriptors (fixture));
      cluster_sleep_ms (LOOK_MS);
    }
}

static void
start_crowd (fixture_t *fixture, const uint32_t connections[CROWD_WAYS])
{
  crowd_options_t options = { .host = fixture->nodes->ip[NODES_ENTRY] };
  char *address = nodes_address (fixture->nodes, NODES_ENTRY, 3);

  options.address = address;
  for (int way = 0; way < CROWD_WAYS; way++)
    options.connections[way]
        = connections[way] > 0 ? number_of ("LWM_CROWD_COUNT", connections[way])
                               : 0;
  fixture->crowd = crowd_start (&options);
  crowd_wait_sent (fixture->crowd);
  watch_for (fixture, HOLD_MS);
  g_free (address);
}

/** Checks an answer: a refusal is true. Returns whether it is a success. */
static bool
check_answer (const fixture_t *fixture, const char *id, int status)
{
  static const int refusals[] = { 408, 413, 421, 429, 503 };
  uint32_t runs = node_upstreams_find_run (fixture->upstreams, id).runs;

  for (size_t i = 0; i < G_N_ELEMENTS (refusals); i++)
    if (status == refusals[i])
      g_assert_cmpuint (runs, ==, 0);
  g_assert_true (status != 200 || runs > 0);
  return status == 200;
}

/** Sends an ordinary request; returns NULL if it cannot connect. */
static http_socket_t *
send_ordinary (const fixture_t *fixture, const char *path, const char *id)
{
  char *address = nodes_address (fixture->nodes, NODES_ENTRY, 3);
  char *body = node_upstreams_request_body (id);
  char *text = g_strdup_printf (
      "POST %s HTTP/1.1\r\nHost: %s\r\n" NODES_FIELD_ID
      ": %s\r\nContent-Length: %zu\r\n\r\n%s",
      path, fixture->nodes->ip[NODES_ENTRY], id, strlen (body), body);
  http_socket_t *caller = http_socket_connect (address);

  if (caller != NULL)
    http_socket_send (caller, text, strlen (text));
  g_free (text);
  g_free (body);
  g_free (address);
  return caller;
}

/** Returns the status of an answer, 0 if there is none. */
static int
receive_status (http_socket_t *caller)
{
  http_message_t answer = { 0 };
  int status = 0;

  if (caller != NULL
      && http_socket_receive (
          caller, g_get_monotonic_time () + (int64_t)ANSWER_MS * 1000, &answer))
    status = answer.status;
  http_message_clear (&answer);
  http_socket_free (caller);
  return status;
}

/** Makes an ordinary request; returns whether it is served. */
static bool
is_served (const fixture_t *fixture)
{
  char *id = g_strdup_printf ("ordinary-%d", ++next_id);
  int status = receive_status (send_ordinary (fixture, "/safe/0", id));
  bool served = check_answer (fixture, id, status);

  g_free (id);
  return served;
}

static void
print_seen (const fixture_t *fixture)
{
  if (number_of ("LWM_CROWD_PRINT", 0) > 0)
    g_printerr ("# peak_mib=%.1f descriptors=%u\n", peak_kib (fixture) / 1024.0,
                fixture->most_descriptors);
}

/** Fails the case, which goes on so that it ends its processes. */
static void
expect_at_most (const char *what, uint32_t value, uint32_t bound)
{
  if (value <= bound)
    return;
  g_printerr ("# %s: %u, at most %u allowed\n", what, value, bound);
  g_test_fail ();
}

static void
check_memory (const fixture_t *fixture)
{
  print_seen (fixture);
#ifndef __SANITIZE_ADDRESS__
  expect_at_most ("peak resident KiB", peak_kib (fixture),
                  fixture->memory_mb * 1024);
#endif
}

/** Checks what holds beside the crowd, and after it. */
static void
finish (fixture_t *fixture)
{
  g_assert_true (process_running (entry_of (fixture)));
  check_memory (fixture);
  expect_at_most ("open descriptors", fixture->most_descriptors,
                  fixture->nodes->max_descriptors - RESERVED_DESCRIPTORS);
  is_served (fixture);
  crowd_free (fixture->crowd);
  CLUSTER_WAIT (is_served (fixture));
  g_assert_true (process_running (entry_of (fixture)));
  check_memory (fixture);
  process_signal (entry_of (fixture), SIGKILL);
}

static void
run_crowd (const uint32_t connections[CROWD_WAYS])
{
  fixture_t *fixture = set_up (MAX_DESCRIPTORS);

  start_crowd (fixture, connections);
  finish (fixture);
}

static void
test_chunks (void)
{
  run_crowd ((uint32_t[CROWD_WAYS]){ [CROWD_CHUNKS] = 30 });
}

static void
test_tiny_chunks (void)
{
  run_crowd ((uint32_t[CROWD_WAYS]){ [CROWD_TINY_CHUNKS] = 120 });
}

static void
test_declared (void)
{
  run_crowd ((uint32_t[CROWD_WAYS]){ [CROWD_DECLARED] = 30 });
}

static void
test_declared_past (void)
{
  run_crowd ((uint32_t[CROWD_WAYS]){ [CROWD_DECLARED_PAST] = 30 });
}

static void
test_chunked_past (void)
{
  run_crowd ((uint32_t[CROWD_WAYS]){ [CROWD_CHUNKED_PAST] = 30 });
}

static void
test_trickle (void)
{
  run_crowd ((uint32_t[CROWD_WAYS]){ [CROWD_TRICKLE] = 30 });
}

static void
test_heads (void)
{
  run_crowd ((uint32_t[CROWD_WAYS]){ [CROWD_HEADS] = 300 });
}

static void
test_slow_readers (void)
{
  run_crowd ((uint32_t[CROWD_WAYS]){ [CROWD_SLOW_READERS] = 200 });
}

static const uint32_t mix[CROWD_WAYS] = {
  [CROWD_CHUNKS] = 10,       [CROWD_TINY_CHUNKS] = 20,  [CROWD_DECLARED] = 10,
  [CROWD_DECLARED_PAST] = 5, [CROWD_CHUNKED_PAST] = 5,  [CROWD_TRICKLE] = 10,
  [CROWD_HEADS] = 60,        [CROWD_SLOW_READERS] = 30,
};

static void
test_mix (void)
{
  run_crowd (mix);
}

/** A planned stop beside the crowd ends in its time, and a request that runs
 * when it begins is answered. */
static void
test_stop (void)
{
  fixture_t *fixture = set_up (MAX_DESCRIPTORS);
  http_socket_t *caller;
  int status;

  start_crowd (fixture, mix);
  caller = send_ordinary (fixture, "/safe/" WORK_MS, "beside-stop");
  cluster_sleep_ms (LOOK_MS);
  check_memory (fixture);
  process_signal (entry_of (fixture), SIGTERM);
  status = receive_status (caller);
  g_assert_cmpint (status, !=, 0);
  check_answer (fixture, "beside-stop", status);
  process_expect_success (entry_of (fixture));
  crowd_free (fixture->crowd);
}

/** Connections of callers leave descriptors to upstreams, peers and the log. */
static void
test_descriptors (void)
{
  fixture_t *fixture = set_up (400);

  start_crowd (fixture, (uint32_t[CROWD_WAYS]){
                            [CROWD_IDLE] = 200, [CROWD_HEADS] = 100 });
  finish (fixture);
}

/** Sends a large request that runs for a while. */
static http_socket_t *
send_large (const fixture_t *fixture, const char *id)
{
  char *address = nodes_address (fixture->nodes, NODES_ENTRY, 3);
  char *head = g_strdup_printf (
      "POST /unsafe/" WORK_MS " HTTP/1.1\r\nHost: %s\r\n" NODES_FIELD_ID
      ": %s\r\nContent-Length: %u\r\n\r\n",
      fixture->nodes->ip[NODES_ENTRY], id, LARGE_BYTES);
  char *body = g_strnfill (LARGE_BYTES, 'x');
  http_socket_t *caller = http_socket_connect (address);

  http_socket_send (caller, head, strlen (head));
  http_socket_send (caller, body, LARGE_BYTES);
  g_free (body);
  g_free (head);
  g_free (address);
  return caller;
}

/** Complete requests that give way are refused truly: none that reached an
 * upstream is said not to have run. */
static void
test_complete_requests (void)
{
  fixture_t *fixture = set_up (MAX_DESCRIPTORS);
  http_socket_t *callers[LARGE_REQUESTS];
  char id[32];

  for (int i = 0; i < LARGE_REQUESTS; i++)
    {
      g_snprintf (id, sizeof id, "large-%d", i);
      callers[i] = send_large (fixture, id);
    }
  for (int i = 0; i < LARGE_REQUESTS; i++)
    {
      int status = receive_status (callers[i]);

      g_snprintf (id, sizeof id, "large-%d", i);
      check_answer (fixture, id, status);
      if (number_of ("LWM_CROWD_PRINT", 0) > 0)
        g_printerr ("# status=%d\n", status);
    }
  check_memory (fixture);
  CLUSTER_WAIT (is_served (fixture));
  process_signal (entry_of (fixture), SIGKILL);
}

/** Sends a head and a body of more than the limit in pieces; returns the status
 * that the caller reads after it. */
static int
send_too_much (const fixture_t *fixture,
               const char *framing,
               const char *before,
               const char *after)
{
  char *address = nodes_address (fixture->nodes, NODES_ENTRY, 3);
  char *head
      = g_strdup_printf ("POST /safe/0 HTTP/1.1\r\nHost: %s\r\n" NODES_FIELD_ID
                         ": too-much\r\n%s\r\n\r\n",
                         fixture->nodes->ip[NODES_ENTRY], framing);
  char *piece = g_strnfill (PIECE_BYTES, 'x');
  http_socket_t *caller = http_socket_connect (address);
  bool goes_on = http_socket_send (caller, head, strlen (head));

  for (int i = 0; i < TOO_MANY_PIECES && goes_on; i++)
    goes_on = http_socket_send (caller, before, strlen (before))
              && http_socket_send (caller, piece, PIECE_BYTES)
              && http_socket_send (caller, after, strlen (after));
  g_free (piece);
  g_free (head);
  g_free (address);
  return receive_status (caller);
}

/** A caller that goes on sending a body that is too large can read that it was
 * refused. */
static void
test_refusal_is_read (void)
{
  fixture_t *fixture = set_up (MAX_DESCRIPTORS);

  g_assert_cmpint (send_too_much (fixture, "Content-Length: 400000000", "", ""),
                   ==, 413);
  g_assert_cmpint (send_too_much (fixture, "Transfer-Encoding: chunked",
                                  "10000\r\n", "\r\n"),
                   ==, 413);
  g_assert_cmpuint (
      node_upstreams_find_run (fixture->upstreams, "too-much").runs, ==, 0);
  process_signal (entry_of (fixture), SIGKILL);
}

/** A head that comes byte by byte is refused, though its caller is never silent
 * for long. */
static void
test_trickled_head (void)
{
  static const char line[] = "X-Filler: ";
  fixture_t *fixture = set_up (MAX_DESCRIPTORS);
  char *address = nodes_address (fixture->nodes, NODES_ENTRY, 3);
  http_socket_t *caller = http_socket_connect (address);
  int64_t until_us = g_get_monotonic_time () + (int64_t)ANSWER_MS * 1000;

  http_socket_send (caller, "POST /safe/0 HTTP/1.1\r\n", 23);
  http_socket_send (caller, line, strlen (line));
  while (g_get_monotonic_time () < until_us
         && !http_socket_wait (caller, TRICKLE_MS))
    http_socket_send (caller, "x", 1);
  g_assert_cmpint (receive_status (caller), ==, 408);
  g_free (address);
  process_signal (entry_of (fixture), SIGKILL);
}

int
main (int argc, char **argv)
{
  int result;

  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/uncontrolled-callers/chunks", test_chunks);
  g_test_add_func ("/uncontrolled-callers/tiny-chunks", test_tiny_chunks);
  g_test_add_func ("/uncontrolled-callers/declared", test_declared);
  g_test_add_func ("/uncontrolled-callers/declared-past", test_declared_past);
  g_test_add_func ("/uncontrolled-callers/chunked-past", test_chunked_past);
  g_test_add_func ("/uncontrolled-callers/trickle", test_trickle);
  g_test_add_func ("/uncontrolled-callers/heads", test_heads);
  g_test_add_func ("/uncontrolled-callers/slow-readers", test_slow_readers);
  g_test_add_func ("/uncontrolled-callers/mix", test_mix);
  g_test_add_func ("/uncontrolled-callers/stop", test_stop);
  g_test_add_func ("/uncontrolled-callers/descriptors", test_descriptors);
  g_test_add_func ("/uncontrolled-callers/complete-requests",
                   test_complete_requests);
  g_test_add_func ("/uncontrolled-callers/refusal-is-read",
                   test_refusal_is_read);
  g_test_add_func ("/uncontrolled-callers/trickled-head", test_trickled_head);
  result = g_test_run ();
  tear_down ();
  return result;
}
