/* Checks the simulated upstream as a process: streams, memory, orders, faults,
 * leaving. */
#include <arpa/inet.h>
#include <errno.h>
#include <glib.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "lib-cluster.h"

#define CALL_TIMEOUT_MS  10000
#define HANG_UP_AFTER_MS 150

typedef struct
{
  cluster_t *cluster;
  process_t *process;
  const char *address;
} rig_t;

static process_t *
start_engine (rig_t *rig, const char *address, const char *fencing)
{
  return cluster_start (
      rig->cluster, "lwm-upstream", "--kind", "engine", "--upstream", "e1",
      "--service", "lacewing", "--zone", "hol-a", "--kv-tokens", "4000",
      "--step-us", "2000", "--time-scale-percent", "50", "--load-lag-ms", "0",
      "--event-lag-ms", "0", "--event-loss-percent", "0", "--load-ms", "40",
      "--leak-ms", "1", "--fencing", fencing, "--listen", address, NULL);
}

static void
set_up (rig_t *rig, gconstpointer fencing)
{
  rig->cluster = cluster_new ();
  rig->address = cluster_address (rig->cluster);
  rig->process = start_engine (rig, rig->address, fencing);
  g_assert_nonnull (rig->process);
}

static void
tear_down (rig_t *rig, gconstpointer data)
{
  cluster_free (rig->cluster);
}

/** Makes a call and returns its status; copies the answer to @a body. */
static int
call (const char *address,
      const char *method,
      const char *path,
      const char *text,
      char **body)
{
  answer_t answer
      = cluster_call_with (address, method, path, NULL, text, CALL_TIMEOUT_MS);
  int status = answer.status;

  if (body != NULL)
    *body = g_strdup (answer.body);
  cluster_answer_free (&answer);
  return status;
}

static int
post (rig_t *rig, const char *path, const char *text)
{
  return call (rig->address, "POST", path, text, NULL);
}

static int64_t
inspect_member_at (const char *address, const char *member)
{
  answer_t answer = cluster_call (address, "GET", "/v1/inspect", NULL);
  int64_t number = json_object_get_int_member (answer.json, member);

  cluster_answer_free (&answer);
  return number;
}

static int64_t
inspect (rig_t *rig, const char *member)
{
  return inspect_member_at (rig->address, member);
}

static bool
inspect_shows (rig_t *rig, const char *text)
{
  char *body;
  bool shows;

  call (rig->address, "GET", "/v1/inspect", NULL, &body);
  shows = strstr (body, text) != NULL;
  g_free (body);
  return shows;
}

static char *
stream_body (const char *id, int max_tokens, const char *more)
{
  return g_strdup_printf ("{\"request_id\":\"%s\",\"owner\":\"en-1/1\","
                          "\"prompt\":\"which roses are red\","
                          "\"max_tokens\":%d%s}",
                          id, max_tokens, more);
}

/** Opens a stream, reads it for up to @a timeout_ms and returns its events. */
static char *
stream (const char *address,
        const char *id,
        int max_tokens,
        const char *more,
        uint32_t timeout_ms)
{
  char *body = stream_body (id, max_tokens, more);
  answer_t answer = cluster_call_with (address, "POST", "/v1/streams", NULL,
                                       body, timeout_ms);
  char *events = g_strdup (answer.body);

  g_free (body);
  cluster_answer_free (&answer);
  return events;
}

/** Opens a stream and closes the connection before its end. */
static void
stream_and_hang_up (rig_t *rig, const char *id, int max_tokens)
{
  g_free (stream (rig->address, id, max_tokens, "", HANG_UP_AFTER_MS));
}

static bool
is_stream_complete (const char *events)
{
  return strstr (events, "\"done\":true") != NULL;
}

static void
test_stream_is_complete_and_can_be_read_again (rig_t *rig, gconstpointer data)
{
  char *first = stream (rig->address, "a", 5, "", CALL_TIMEOUT_MS);
  char *other = stream (rig->address, "a2", 5, "", CALL_TIMEOUT_MS);
  char *rest;
  char *from_2 = strstr (first, "data: {\"request_id\":\"a\",\"offset\":2");
  char **parts = g_strsplit (other, "\"a2\"", -1);
  char *renamed = g_strjoinv ("\"a\"", parts);

  g_assert_true (is_stream_complete (first));
  g_assert_cmpstr (renamed, ==, first);
  g_assert_cmpint (
      call (rig->address, "GET", "/v1/streams/a?offset=2", NULL, &rest), ==,
      200);
  g_assert_cmpstr (rest, ==, from_2);
  g_assert_cmpint (inspect (rig, "kv_used_tokens"), ==, 0);
  g_assert_true (inspect_shows (rig, "\"runs\":{\"a\":1,\"a2\":1}")
                 || inspect_shows (rig, "\"runs\":{\"a2\":1,\"a\":1}"));
  g_strfreev (parts);
  g_free (renamed);
  g_free (first);
  g_free (other);
  g_free (rest);
}

static void
test_hang_up_holds_memory_until_read_or_cancelled (rig_t *rig,
                                                   gconstpointer data)
{
  char *events;

  stream_and_hang_up (rig, "a", 300);
  g_assert_cmpint (inspect (rig, "kv_used_tokens"), ==, 305);
  CLUSTER_WAIT (inspect (rig, "leaked_tokens") == 305);
  g_assert_cmpint (
      call (rig->address, "GET", "/v1/streams/a?offset=0", NULL, &events), ==,
      200);
  g_assert_true (is_stream_complete (events));
  g_assert_cmpint (inspect (rig, "kv_used_tokens"), ==, 0);
  stream_and_hang_up (rig, "b", 3000);
  g_assert_cmpint (inspect (rig, "kv_used_tokens"), ==, 3005);
  g_assert_cmpint (call (rig->address, "DELETE", "/v1/streams/b", NULL, NULL),
                   ==, 200);
  g_assert_cmpint (inspect (rig, "kv_used_tokens"), ==, 0);
  g_assert_cmpint (call (rig->address, "GET", "/v1/streams/b", NULL, NULL), ==,
                   404);
  g_assert_cmpint (
      call (rig->address, "DELETE", "/v1/streams/never", NULL, NULL), ==, 200);
  g_free (events);
}

static void
test_refusals_say_that_nothing_ran (rig_t *rig, gconstpointer data)
{
  char *events = stream (rig->address, "a", 5000, "", CALL_TIMEOUT_MS);
  char *body;

  g_assert_nonnull (strstr (events, "\"too_large\",\"not_run\":true"));
  g_free (events);
  stream_and_hang_up (rig, "b", 3000);
  events = stream (rig->address, "c", 3000, "", CALL_TIMEOUT_MS);
  g_assert_nonnull (strstr (events, "\"busy\",\"not_run\":true"));
  g_free (events);
  events = stream (rig->address, "b", 1, "", CALL_TIMEOUT_MS);
  g_assert_nonnull (strstr (events, "\"duplicate\",\"not_run\":false"));
  g_free (events);
  events = stream (rig->address, "d", 1, ",\"model\":\"x\"", CALL_TIMEOUT_MS);
  g_assert_nonnull (strstr (events, "\"not_loaded\",\"not_run\":true"));
  g_free (events);
  g_assert_cmpint (post (rig, "/v1/streams", "{\"request_id\":\"e\"}"), ==,
                   400);
  g_assert_cmpint (post (rig, "/v1/streams", "{"), ==, 400);
  g_assert_cmpint (call (rig->address, "GET", "/v1/owners/x", NULL, &body), ==,
                   404);
  g_assert_true (inspect_shows (rig, "\"runs\":{\"b\":1}"));
  g_free (body);
}

static void
test_reservation_is_renewed_and_used (rig_t *rig, gconstpointer data)
{
  const char *body = "{\"id\":\"r\",\"owner\":\"en-1/1\",\"tokens\":3000,"
                     "\"lease_ms\":60000}";
  char *events;

  g_assert_cmpint (post (rig, "/v1/reservations", body), ==, 200);
  g_assert_cmpint (post (rig, "/v1/reservations", body), ==, 200);
  g_assert_cmpint (inspect (rig, "kv_used_tokens"), ==, 3000);
  events = stream (rig->address, "a", 2000, "", CALL_TIMEOUT_MS);
  g_assert_nonnull (strstr (events, "busy"));
  g_free (events);
  events = stream (rig->address, "b", 1500, ",\"reservation\":\"r\"",
                   HANG_UP_AFTER_MS);
  g_assert_cmpint (inspect (rig, "kv_used_tokens"), ==, 3000);
  g_free (events);
  call (rig->address, "DELETE", "/v1/streams/b", NULL, NULL);
  call (rig->address, "DELETE", "/v1/reservations/r", NULL, NULL);
  g_assert_cmpint (inspect (rig, "kv_used_tokens"), ==, 0);
  post (rig, "/v1/reservations", "{\"id\":\"s\",\"tokens\":9,\"lease_ms\":1}");
  CLUSTER_WAIT (inspect (rig, "kv_used_tokens") == 0);
}

static void
test_kv_is_copied_between_engines (rig_t *rig, gconstpointer data)
{
  const char *second = cluster_address (rig->cluster);
  char *prompt = g_strnfill (2048, 'x');
  char *body = g_strdup_printf ("{\"request_id\":\"a\",\"prompt\":\"%s\","
                                "\"max_tokens\":1,\"hold\":true}",
                                prompt);
  char *import = g_strdup_printf (
      "{\"id\":\"k\",\"from\":\"%s\",\"tokens\":600}", rig->address);
  char *events;

  g_assert_nonnull (start_engine (rig, second, "check"));
  g_assert_cmpint (post (rig, "/v1/streams", body), ==, 200);
  g_assert_cmpint (inspect (rig, "kv_used_tokens"), ==, 513);
  g_assert_cmpint (
      post (rig, "/v1/kv/export", "{\"id\":\"k\",\"request_id\":\"a\"}"), ==,
      200);
  g_assert_cmpint (call (second, "POST", "/v1/kv/import", import, NULL), ==,
                   200);
  g_assert_cmpint (inspect_member_at (second, "kv_used_tokens"), ==, 600);
  g_free (body);
  body = g_strdup_printf ("{\"request_id\":\"b\",\"prompt\":\"%s\","
                          "\"max_tokens\":2,\"import\":\"k\"}",
                          prompt);
  g_assert_cmpint (call (second, "POST", "/v1/streams", body, &events), ==,
                   200);
  g_assert_nonnull (strstr (events, "\"cached_tokens\":511"));
  g_assert_cmpint (inspect_member_at (second, "kv_used_tokens"), ==, 0);
  g_free (import);
  import = g_strdup_printf ("{\"id\":\"l\",\"from\":\"%s\",\"tokens\":100}",
                            rig->address);
  g_assert_cmpint (call (second, "POST", "/v1/kv/import", import, NULL), ==,
                   502);
  g_assert_cmpint (inspect_member_at (second, "kv_used_tokens"), ==, 0);
  g_assert_cmpint (call (rig->address, "DELETE", "/v1/kv/k", NULL, NULL), ==,
                   200);
  g_assert_cmpint (inspect (rig, "kv_used_tokens"), ==, 0);
  g_free (events);
  g_free (import);
  g_free (body);
  g_free (prompt);
}

static int64_t
get_reported_running (const char *address)
{
  answer_t answer = cluster_call (address, "GET", "/v1/load", NULL);
  int64_t running = json_object_get_int_member (answer.json, "running");

  cluster_answer_free (&answer);
  return running;
}

static void
test_load_report_lags (rig_t *rig, gconstpointer data)
{
  const char *lagging = cluster_address (rig->cluster);

  g_assert_nonnull (cluster_start (
      rig->cluster, "lwm-upstream", "--upstream", "e2", "--service", "lacewing",
      "--zone", "hol-a", "--load-lag-ms", "60000", "--listen", lagging, NULL));
  g_assert_cmpint (get_reported_running (lagging), ==, 0);
  g_free (stream (lagging, "a", 3000, "", HANG_UP_AFTER_MS));
  g_free (stream (rig->address, "a", 3000, "", HANG_UP_AFTER_MS));
  g_assert_cmpint (inspect_member_at (lagging, "kv_used_tokens"), ==, 3005);
  g_assert_cmpint (get_reported_running (lagging), ==, 0);
  g_assert_cmpint (get_reported_running (rig->address), ==, 1);
}

static void
test_cache_events_name_prefixes (rig_t *rig, gconstpointer data)
{
  char *prompt = g_strnfill (2048, 'x');
  char *body = g_strdup_printf (
      "{\"request_id\":\"a\",\"prompt\":\"%s\",\"max_tokens\":1}", prompt);
  answer_t answer;
  JsonArray *events;

  g_assert_cmpint (post (rig, "/v1/streams", body), ==, 200);
  answer = cluster_call (rig->address, "GET", "/v1/events?since=0", NULL);
  events = json_object_get_array_member (answer.json, "events");
  g_assert_cmpuint (json_array_get_length (events), ==, 2);
  g_assert_cmpint (json_object_get_int_member (answer.json, "next"), ==, 2);
  g_assert_cmpint (json_object_get_int_member (
                       json_array_get_object_element (events, 1), "tokens"),
                   ==, 512);
  cluster_answer_free (&answer);
  g_free (body);
  g_free (prompt);
}

static const char old_order[]
    = "{\"id\":\"o1\",\"kind\":\"load\",\"model\":\"base\",\"adapter\":\"x\","
      "\"version\":\"2\",\"fencing\":4}";
static const char new_order[]
    = "{\"id\":\"o2\",\"kind\":\"role\",\"role\":\"prefill\",\"fencing\":5}";

static void
test_orders_are_fenced (rig_t *rig, gconstpointer data)
{
  g_assert_cmpint (post (rig, "/v1/orders", new_order), ==, 200);
  g_assert_cmpint (post (rig, "/v1/orders", new_order), ==, 200);
  g_assert_true (inspect_shows (rig, "\"role\":\"prefill\""));
  g_assert_cmpint (post (rig, "/v1/orders", old_order), ==, 409);
  g_assert_false (inspect_shows (rig, "\"o1\""));
  g_assert_cmpint (inspect (rig, "last_fencing"), ==, 5);
  g_assert_cmpint (
      post (rig, "/v1/orders", "{\"id\":\"o3\",\"kind\":\"jump\"}"), ==, 400);
}

static void
test_orders_load_and_unload_model (rig_t *rig, gconstpointer data)
{
  const char *more = ",\"adapter\":\"x\",\"version\":\"2\"";
  char *events;

  g_assert_cmpint (post (rig, "/v1/orders", new_order), ==, 200);
  /* This engine ignores the fencing number, so it accepts the older order. */
  g_assert_cmpint (post (rig, "/v1/orders", old_order), ==, 200);
  CLUSTER_WAIT (inspect_shows (rig, "\"adapter\":\"x\",\"version\":\"2\""));
  events = stream (rig->address, "a", 2, more, CALL_TIMEOUT_MS);
  g_assert_true (is_stream_complete (events));
  g_free (events);
  g_assert_cmpint (post (rig, "/v1/orders",
                         "{\"id\":\"o4\",\"kind\":\"unload\",\"model\":"
                         "\"base\",\"adapter\":\"x\",\"version\":\"2\"}"),
                   ==, 200);
  events = stream (rig->address, "b", 2, more, CALL_TIMEOUT_MS);
  g_assert_nonnull (strstr (events, "not_loaded"));
  g_free (events);
}

static void
misbehave (rig_t *rig, const char *kind, int after_tokens)
{
  char *body = g_strdup_printf (
      "{\"kind\":\"%s\",\"count\":1,\"after_tokens\":%d,\"ms\":50}", kind,
      after_tokens);

  g_assert_cmpint (post (rig, "/v1/misbehave", body), ==, 200);
  g_free (body);
}

static void
test_streams_misbehave_on_request (rig_t *rig, gconstpointer data)
{
  static const char *const cut_short[] = { "stall", "reset", "truncate" };
  char *events;

  for (size_t i = 0; i < G_N_ELEMENTS (cut_short); i++)
    {
      misbehave (rig, cut_short[i], 2);
      events = stream (rig->address, cut_short[i], 4, "", HANG_UP_AFTER_MS);
      g_assert_nonnull (strstr (events, "\"offset\":1,"));
      g_assert_null (strstr (events, "\"offset\":2"));
      g_free (events);
      g_assert_cmpint (inspect (rig, "kv_used_tokens"), ==, 9);
      call (rig->address, "GET",
            events = g_strdup_printf ("/v1/streams/%s", cut_short[i]), NULL,
            NULL);
      g_free (events);
      g_assert_cmpint (inspect (rig, "kv_used_tokens"), ==, 0);
    }
  misbehave (rig, "crossed", 1);
  events = stream (rig->address, "a", 3, "", CALL_TIMEOUT_MS);
  g_assert_nonnull (strstr (events, "\"a\",\"offset\":0"));
  g_assert_nonnull (strstr (events, "\"crossed\",\"offset\":1"));
  g_free (events);
  misbehave (rig, "late", 0);
  events = stream (rig->address, "b", 3, "", CALL_TIMEOUT_MS);
  g_assert_true (is_stream_complete (events));
  g_free (events);
  misbehave (rig, "busy", 0);
  misbehave (rig, "error", 0);
  events = stream (rig->address, "c", 3, "", CALL_TIMEOUT_MS);
  g_assert_nonnull (strstr (events, "\"busy\",\"not_run\":true"));
  g_free (events);
  events = stream (rig->address, "c", 3, "", CALL_TIMEOUT_MS);
  g_assert_nonnull (strstr (events, "{\"kind\":\"error\"}"));
  g_free (events);
  g_assert_false (inspect_shows (rig, "\"c\":1"));
  misbehave (rig, "die", 1);
  g_free (stream (rig->address, "d", 3, "", CALL_TIMEOUT_MS));
  g_assert_cmpint (process_wait (rig->process), ==, 1);
}

static void
test_leaving_engine_finishes_running_streams (rig_t *rig, gconstpointer data)
{
  char *body = stream_body ("a", 400, "");
  char *request = g_strdup_printf ("POST /v1/streams HTTP/1.1\r\nHost: h\r\n"
                                   "Content-Length: %zu\r\n"
                                   "Connection: close\r\n\r\n%s",
                                   strlen (body), body);
  char **parts = g_strsplit (rig->address, ":", 2);
  struct sockaddr_in peer = { .sin_family = AF_INET };
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  GString *events = g_string_new (NULL);
  char chunk[4096];
  ssize_t got;

  peer.sin_port = htons ((uint16_t)atoi (parts[1]));
  inet_pton (AF_INET, parts[0], &peer.sin_addr);
  g_assert_cmpint (connect (fd, (struct sockaddr *)&peer, sizeof peer), ==, 0);
  g_assert_cmpint (send (fd, request, strlen (request), MSG_NOSIGNAL), ==,
                   (gssize)strlen (request));
  CLUSTER_WAIT (inspect (rig, "kv_used_tokens") > 0);
  process_signal (rig->process, SIGTERM);
  while ((got = recv (fd, chunk, sizeof chunk, 0)) > 0)
    g_string_append_len (events, chunk, got);
  g_assert_true (is_stream_complete (events->str));
  process_expect_success (rig->process);
  close (fd);
  g_string_free (events, TRUE);
  g_strfreev (parts);
  g_free (request);
  g_free (body);
}

static int64_t
inspect_count_of (const char *address, const char *table, const char *id)
{
  answer_t answer = cluster_call (address, "GET", "/v1/inspect", NULL);
  JsonObject *counts = json_object_get_object_member (answer.json, table);
  int64_t count = json_object_has_member (counts, id)
                      ? json_object_get_int_member (counts, id)
                      : 0;

  cluster_answer_free (&answer);
  return count;
}

static int
call_service (const char *address, const char *headers)
{
  answer_t answer = cluster_call_with (address, "POST", "/call/issue", headers,
                                       "5 flippers", CALL_TIMEOUT_MS);
  int status = answer.status;

  cluster_answer_free (&answer);
  return status;
}

static void
test_service_counts_its_runs (rig_t *rig, gconstpointer data)
{
  const char *address = cluster_address (rig->cluster);
  const char *wrong = "{\"kind\":\"%s\"}";
  const char *entry = cluster_address (rig->cluster);

  /* No peer accepts its announcements, which must not affect the service. */
  g_assert_nonnull (cluster_start (
      rig->cluster, "lwm-upstream", "--kind", "service", "--upstream", "k1",
      "--service", "kartei", "--zone", "hol-a", "--listen", address,
      "--announce-to", entry, "--announce-to", rig->address, "--announce-ms",
      "20", NULL));
  g_assert_cmpint (call_service (address, "X-Request-Id: a\r\n"), ==, 200);
  g_assert_cmpint (call_service (address, NULL), ==, 400);
  g_assert_cmpint (call_service (address, "X-Request-Id: b\r\n"
                                          "X-Idempotent: true\r\n"),
                   ==, 200);
  g_assert_cmpint (call_service (address, "X-Request-Id: b\r\n"
                                          "X-Idempotent: true\r\n"),
                   ==, 200);
  g_assert_cmpint (inspect_member_at (address, "double_runs"), ==, 0);
  g_assert_cmpint (call_service (address, "X-Request-Id: a\r\n"), ==, 200);
  g_assert_cmpint (inspect_member_at (address, "double_runs"), ==, 1);
  g_assert_cmpint (call_service (address, "X-Request-Id: c\r\n"
                                          "Idempotency-Key: k\r\n"),
                   ==, 200);
  g_assert_cmpint (call_service (address, "X-Request-Id: d\r\n"
                                          "Idempotency-Key: k\r\n"),
                   ==, 200);
  g_assert_cmpint (inspect_member_at (address, "double_runs"), ==, 2);
  g_assert_cmpint (inspect_count_of (address, "runs", "a"), ==, 2);
  g_assert_cmpint (inspect_count_of (address, "keys", "k"), ==, 2);
  g_assert_cmpint (call (address, "POST", "/v1/misbehave", wrong, NULL), ==,
                   400);
  call (address, "POST", "/v1/misbehave", "{\"kind\":\"reset\"}", NULL);
  g_assert_cmpint (call_service (address, "X-Request-Id: e\r\n"), ==, 0);
  g_assert_cmpint (inspect_count_of (address, "runs", "e"), ==, 1);
  call (address, "POST", "/v1/misbehave", "{\"kind\":\"error\"}", NULL);
  g_assert_cmpint (call_service (address, "X-Request-Id: f\r\n"), ==, 500);
  g_assert_cmpint (inspect_count_of (address, "runs", "f"), ==, 0);
}

static void
add_case (const char *path,
          const char *fencing,
          void (*test) (rig_t *, gconstpointer))
{
  g_test_add (path, rig_t, fencing, set_up, test, tear_down);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  add_case ("/upstream/stream-is-whole-and-can-be-read-again", "check",
            test_stream_is_complete_and_can_be_read_again);
  add_case ("/upstream/hang-up-holds-memory-until-read-or-cancelled", "check",
            test_hang_up_holds_memory_until_read_or_cancelled);
  add_case ("/upstream/refusals-say-that-nothing-ran", "check",
            test_refusals_say_that_nothing_ran);
  add_case ("/upstream/reservation-is-renewed-and-used", "check",
            test_reservation_is_renewed_and_used);
  add_case ("/upstream/kv-goes-from-engine-to-engine", "check",
            test_kv_is_copied_between_engines);
  add_case ("/upstream/load-report-lags", "check", test_load_report_lags);
  add_case ("/upstream/cache-events-name-prefixes", "check",
            test_cache_events_name_prefixes);
  add_case ("/upstream/orders-are-fenced", "check", test_orders_are_fenced);
  add_case ("/upstream/orders-load-and-unload", "ignore",
            test_orders_load_and_unload_model);
  add_case ("/upstream/streams-go-wrong-on-request", "check",
            test_streams_misbehave_on_request);
  add_case ("/upstream/leaving-finishes-what-runs", "check",
            test_leaving_engine_finishes_running_streams);
  add_case ("/upstream/service-counts-its-runs", "check",
            test_service_counts_its_runs);
  return g_test_run ();
}
