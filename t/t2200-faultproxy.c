/* Checks the fault proxy in front of a plain service: it forwards all bytes,
 * cuts links silently, resets, truncates and delays connections. */
#include <arpa/inet.h>
#include <errno.h>
#include <glib.h>
#include <poll.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>
#include <zmq.h>

#include "lib-cluster.h"

#define SILENCE_MS 200

typedef struct
{
  cluster_t *cluster;
  const char *service;
  const char *driver;
  const char *front; /* the proxied address of the service */
} rig_t;

static void
set_up (rig_t *rig, gconstpointer data)
{
  char *route;

  rig->cluster = cluster_new ();
  rig->service = cluster_address (rig->cluster);
  rig->driver = cluster_address (rig->cluster);
  rig->front = cluster_address (rig->cluster);
  route = g_strdup_printf ("west=%s=%s", rig->front, rig->service);
  g_assert_nonnull (cluster_start (rig->cluster, "lwm-upstream", "--kind",
                                   "service", "--upstream", "k1", "--service",
                                   "kartei", "--zone", "hol-a", "--service-ms",
                                   "0", "--listen", rig->service, NULL));
  g_assert_nonnull (cluster_start (rig->cluster, "lwm-faultproxy", "--listen",
                                   rig->driver, "--route", route, "--seed", "7",
                                   NULL));
  g_free (route);
}

static void
tear_down (rig_t *rig, gconstpointer data)
{
  cluster_free (rig->cluster);
}

static int
call_driver (rig_t *rig, const char *path, const char *body)
{
  answer_t answer = cluster_call (rig->driver, "POST", path, body);
  int status = answer.status;

  cluster_answer_free (&answer);
  return status;
}

/** Sets the faults of the route; returns the HTTP status. */
static int
set_faults (rig_t *rig, const char *faults)
{
  return call_driver (rig, "/v1/routes/west", faults);
}

static int64_t
get_route_count (rig_t *rig, const char *member)
{
  answer_t answer = cluster_call (rig->driver, "GET", "/v1/routes", NULL);
  JsonArray *routes = json_object_get_array_member (answer.json, "routes");
  int64_t count = json_object_get_int_member (
      json_array_get_object_element (routes, 0), member);

  cluster_answer_free (&answer);
  return count;
}

static int64_t
count_runs (rig_t *rig, const char *id)
{
  answer_t answer = cluster_call (rig->service, "GET", "/v1/inspect", NULL);
  JsonObject *runs = json_object_get_object_member (answer.json, "runs");
  int64_t count = json_object_has_member (runs, id)
                      ? json_object_get_int_member (runs, id)
                      : 0;

  cluster_answer_free (&answer);
  return count;
}

static int
open_front (rig_t *rig)
{
  char **parts = g_strsplit (rig->front, ":", 2);
  struct sockaddr_in peer = { .sin_family = AF_INET };
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

  peer.sin_port = htons ((uint16_t)atoi (parts[1]));
  inet_pton (AF_INET, parts[0], &peer.sin_addr);
  g_assert_cmpint (connect (fd, (struct sockaddr *)&peer, sizeof peer), ==, 0);
  g_strfreev (parts);
  return fd;
}

/** Sends a call through the proxy and returns the connection. */
static int
send_call (rig_t *rig, const char *id)
{
  char *text = g_strdup_printf ("POST /call/x HTTP/1.1\r\nHost: h\r\n"
                                "Connection: close\r\nX-Request-Id: %s\r\n"
                                "Content-Length: 2\r\n\r\nhi",
                                id);
  int fd = open_front (rig);

  g_assert_cmpint (send (fd, text, strlen (text), MSG_NOSIGNAL), ==,
                   (gssize)strlen (text));
  g_free (text);
  return fd;
}

/** Reads to the end of a connection; returns -errno if reading fails. */
static int
read_to_end (int fd, GString *text)
{
  char chunk[4096];
  ssize_t received;

  while ((received = recv (fd, chunk, sizeof chunk, 0)) > 0)
    g_string_append_len (text, chunk, received);
  return received < 0 ? -errno : 0;
}

static bool
is_without_data (int fd)
{
  struct pollfd poller = { .fd = fd, .events = POLLIN };

  return poll (&poller, 1, SILENCE_MS) == 0;
}

static void
expect_answer (int fd)
{
  GString *text = g_string_new (NULL);

  g_assert_cmpint (read_to_end (fd, text), ==, 0);
  g_assert_true (g_str_has_prefix (text->str, "HTTP/1.1 200 "));
  g_assert_nonnull (strstr (text->str, "\"echo\":\"hi\""));
  g_string_free (text, TRUE);
  close (fd);
}

static void
test_cut_towards_target_holds_the_request (rig_t *rig, gconstpointer data)
{
  int fd;

  g_assert_cmpint (set_faults (rig, "{\"cut\":\"in\"}"), ==, 200);
  fd = send_call (rig, "a");
  CLUSTER_WAIT (get_route_count (rig, "held_in_bytes") > 0);
  g_assert_true (is_without_data (fd));
  g_assert_cmpint (count_runs (rig, "a"), ==, 0);
  g_assert_cmpint (set_faults (rig, "{\"cut\":\"none\"}"), ==, 200);
  expect_answer (fd);
  g_assert_cmpint (count_runs (rig, "a"), ==, 1);
}

static void
test_cut_from_target_holds_the_answer (rig_t *rig, gconstpointer data)
{
  int fd;

  g_assert_cmpint (set_faults (rig, "{\"cut\":\"out\"}"), ==, 200);
  fd = send_call (rig, "a");
  CLUSTER_WAIT (get_route_count (rig, "held_out_bytes") > 0);
  g_assert_cmpint (count_runs (rig, "a"), ==, 1);
  g_assert_true (is_without_data (fd));
  g_assert_cmpint (set_faults (rig, "{\"cut\":\"none\"}"), ==, 200);
  expect_answer (fd);
}

static void
test_end_is_held_by_a_cut (rig_t *rig, gconstpointer data)
{
  int fd = send_call (rig, "a");

  expect_answer (fd);
  CLUSTER_WAIT (get_route_count (rig, "connections") == 0);
  g_assert_cmpint (set_faults (rig, "{\"cut\":\"both\"}"), ==, 200);
  close (send_call (rig, "b"));
  CLUSTER_WAIT (get_route_count (rig, "held_in_bytes") > 0);
  cluster_sleep_ms (SILENCE_MS);
  g_assert_cmpint (get_route_count (rig, "connections"), ==, 1);
  g_assert_cmpint (set_faults (rig, "{\"cut\":\"none\"}"), ==, 200);
  CLUSTER_WAIT (count_runs (rig, "b") == 1);
  CLUSTER_WAIT (get_route_count (rig, "connections") == 0);
}

static void
test_reset_reaches_the_caller (rig_t *rig, gconstpointer data)
{
  GString *text = g_string_new (NULL);
  int fd;

  g_assert_cmpint (set_faults (rig, "{\"cut\":\"out\"}"), ==, 200);
  fd = send_call (rig, "a");
  CLUSTER_WAIT (get_route_count (rig, "held_out_bytes") > 0);
  g_assert_cmpint (set_faults (rig, "{\"reset\":true}"), ==, 200);
  g_assert_cmpint (read_to_end (fd, text), ==, -ECONNRESET);
  g_assert_cmpuint (text->len, ==, 0);
  g_assert_cmpint (get_route_count (rig, "connections"), ==, 0);
  g_assert_cmpint (get_route_count (rig, "resets"), ==, 1);
  g_string_free (text, TRUE);
  close (fd);
}

static void
test_refused_target_resets_the_caller (rig_t *rig, gconstpointer data)
{
  char *body = g_strdup_printf (
      "{\"name\":\"dead\",\"listen\":\"%s\",\"target\":\"%s\"}",
      rig->front = cluster_address (rig->cluster),
      cluster_address (rig->cluster));
  answer_t answer = cluster_call (rig->driver, "POST", "/v1/routes", body);
  GString *text = g_string_new (NULL);
  int fd;

  g_assert_cmpint (answer.status, ==, 200);
  fd = open_front (rig);
  g_assert_cmpint (read_to_end (fd, text), ==, -ECONNRESET);
  close (fd);
  g_string_free (text, TRUE);
  cluster_answer_free (&answer);
  g_free (body);
}

/* Messages sent during a cut must arrive after it ends, on the same
 * connection. */
static void
test_zeromq_messages_are_delayed (rig_t *rig, gconstpointer data)
{
  const char *target = cluster_address (rig->cluster);
  const char *front = cluster_address (rig->cluster);
  char *bind_to = g_strdup_printf ("tcp://%s", target);
  char *connect_to = g_strdup_printf ("tcp://%s", front);
  char *body = g_strdup_printf ("{\"name\":\"mq\",\"listen\":\"%s\","
                                "\"target\":\"%s\"}",
                                front, target);
  void *context = zmq_ctx_new ();
  void *pull = zmq_socket (context, ZMQ_PULL);
  void *push = zmq_socket (context, ZMQ_PUSH);
  int silence_ms = SILENCE_MS;
  int patience_ms = CLUSTER_WAIT_TIMEOUT_MS;
  char text[8] = "";

  g_assert_cmpint (call_driver (rig, "/v1/routes", body), ==, 200);
  g_assert_cmpint (zmq_bind (pull, bind_to), ==, 0);
  g_assert_cmpint (zmq_connect (push, connect_to), ==, 0);
  zmq_setsockopt (pull, ZMQ_RCVTIMEO, &patience_ms, sizeof patience_ms);
  zmq_send (push, "one", 3, 0);
  g_assert_cmpint (zmq_recv (pull, text, sizeof text, 0), ==, 3);
  call_driver (rig, "/v1/routes/mq", "{\"cut\":\"both\"}");
  zmq_send (push, "two", 3, 0);
  zmq_setsockopt (pull, ZMQ_RCVTIMEO, &silence_ms, sizeof silence_ms);
  g_assert_cmpint (zmq_recv (pull, text, sizeof text, 0), ==, -1);
  call_driver (rig, "/v1/routes/mq", "{\"cut\":\"none\"}");
  zmq_setsockopt (pull, ZMQ_RCVTIMEO, &patience_ms, sizeof patience_ms);
  g_assert_cmpint (zmq_recv (pull, text, sizeof text, 0), ==, 3);
  g_assert_cmpstr (text, ==, "two");
  zmq_close (push);
  zmq_close (pull);
  zmq_ctx_term (context);
  g_free (body);
  g_free (connect_to);
  g_free (bind_to);
}

static void
test_truncate_ends_after_byte_limit (rig_t *rig, gconstpointer data)
{
  GString *text = g_string_new (NULL);
  int fd;

  g_assert_cmpint (set_faults (rig, "{\"truncate_bytes\":25}"), ==, 200);
  fd = send_call (rig, "a");
  g_assert_cmpint (read_to_end (fd, text), ==, 0);
  g_assert_cmpuint (text->len, ==, 25);
  g_assert_cmpint (get_route_count (rig, "truncated"), ==, 1);
  g_assert_cmpint (get_route_count (rig, "bytes_out"), ==, 25);
  g_string_free (text, TRUE);
  close (fd);
}

static void
test_delayed_bytes_arrive_complete_and_in_order (rig_t *rig, gconstpointer data)
{
  GString *body = g_string_new (NULL);
  int64_t start_us;
  answer_t answer;

  for (int i = 0; i < 40000; i++)
    g_string_append_printf (body, "%d,", i);
  g_assert_cmpint (set_faults (rig, "{\"delay_ms\":100,\"jitter_ms\":20,"
                                    "\"stall_percent\":20,\"stall_ms\":30,"
                                    "\"bandwidth_bytes_s\":4000000}"),
                   ==, 200);
  start_us = g_get_monotonic_time ();
  answer = cluster_call_with (rig->front, "POST", "/call/x",
                              "X-Request-Id: a\r\n", body->str, 20000);
  /* Twice the delay is a lower bound, whatever the machine's load. */
  g_assert_cmpint (g_get_monotonic_time () - start_us, >=, 200000);
  g_assert_cmpint (answer.status, ==, 200);
  g_assert_cmpstr (json_object_get_string_member (answer.json, "echo"), ==,
                   body->str);
  g_assert_cmpint (get_route_count (rig, "bytes_in"), >, (gint64)body->len);
  cluster_answer_free (&answer);
  g_string_free (body, TRUE);
}

static void
test_bad_faults_change_nothing (rig_t *rig, gconstpointer data)
{
  answer_t answer;

  g_assert_cmpint (set_faults (rig, "{\"delay_ms\":7}"), ==, 200);
  g_assert_cmpint (set_faults (rig, "{\"delay_ms\":-1}"), ==, 400);
  g_assert_cmpint (set_faults (rig, "{\"cut\":\"sideways\",\"delay_ms\":9}"),
                   ==, 400);
  g_assert_cmpint (set_faults (rig, "{\"dealy_ms\":9}"), ==, 400);
  g_assert_cmpint (set_faults (rig, "not json"), ==, 400);
  g_assert_cmpint (get_route_count (rig, "delay_ms"), ==, 7);
  answer = cluster_call (rig->driver, "POST", "/v1/routes/east", "{}");
  g_assert_cmpint (answer.status, ==, 404);
  cluster_answer_free (&answer);
}

static void
add_case (const char *path, void (*test) (rig_t *, gconstpointer))
{
  g_test_add (path, rig_t, NULL, set_up, test, tear_down);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  add_case ("/faultproxy/cut-towards-target-holds-the-request",
            test_cut_towards_target_holds_the_request);
  add_case ("/faultproxy/cut-from-target-holds-the-answer",
            test_cut_from_target_holds_the_answer);
  add_case ("/faultproxy/end-is-held-by-a-cut", test_end_is_held_by_a_cut);
  add_case ("/faultproxy/reset-reaches-the-caller",
            test_reset_reaches_the_caller);
  add_case ("/faultproxy/refused-target-resets-the-caller",
            test_refused_target_resets_the_caller);
  add_case ("/faultproxy/zeromq-messages-come-late",
            test_zeromq_messages_are_delayed);
  add_case ("/faultproxy/truncate-ends-after-so-many-bytes",
            test_truncate_ends_after_byte_limit);
  add_case ("/faultproxy/delayed-bytes-come-whole-and-in-order",
            test_delayed_bytes_arrive_complete_and_in_order);
  add_case ("/faultproxy/bad-faults-change-nothing",
            test_bad_faults_change_nothing);
  return g_test_run ();
}
