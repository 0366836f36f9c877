/* Sends hostile and malformed input to a real entry instance. It must answer
 * with a clear error or close the connection, keep its memory bounded, and go
 * on serving other callers. */
#include <arpa/inet.h>
#include <glib.h>
#include <netinet/in.h>
#include <poll.h>
#include <string.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#include "lib-cluster.h"

#define IDLE_CONNECTIONS 10000
#define ANSWER_WAIT_MS   10000
/* Memory bound of an idle connection, without the parts of evhttp and the
 * kernel. */
#define IDLE_CONNECTION_BYTES (16 * 1024)

#define CONFIG                                                                 \
  "number: 1\n"                                                                \
  "zones: [{name: z}]\n"                                                       \
  "size_classes: [{name: s, up_to_tokens: 100000, deadline_ms: 9000}]\n"       \
  "services: [{name: ledger, kind: plain, deadline_ms: 5000}, {name: chat, "   \
  "kind: engine}]\n"                                                           \
  "customers: [{name: mine}]\n"

typedef struct
{
  cluster_t *cluster;
  const char *address;
  process_t *entry;
} fixture_t;

static bool
can_call (fixture_t *fixture)
{
  answer_t answer
      = cluster_call_with (fixture->address, "POST", "/v1/call/ledger/x",
                           "X-Customer: mine\r\n", "{}", 5000);
  bool good = answer.status == 200;

  cluster_answer_free (&answer);
  return good;
}

static void
set_up (fixture_t *fixture, gconstpointer data)
{
  const char *folder;
  const char *service;

  fixture->cluster = cluster_new ();
  folder = cluster_subfolder (fixture->cluster, "conf");
  fixture->address = cluster_address (fixture->cluster);
  service = cluster_address (fixture->cluster);
  cluster_write (fixture->cluster, "conf/a.yaml", CONFIG);
  fixture->entry
      = cluster_start (fixture->cluster, "lwm-entryd", "--instance", "a",
                       "--zone", "z", "--listen", fixture->address,
                       "--config-folder", folder, "--log-level", "warn", NULL);
  g_assert_nonnull (fixture->entry);
  g_assert_nonnull (cluster_start (
      fixture->cluster, "lwm-upstream", "--upstream", "s", "--kind", "service",
      "--service", "ledger", "--zone", "z", "--listen", service,
      "--announce-to", fixture->address, NULL));
  CLUSTER_WAIT (can_call (fixture));
}

static void
tear_down (fixture_t *fixture, gconstpointer data)
{
  /* The instance must still serve callers, whatever input it received. */
  g_assert_true (can_call (fixture));
  g_assert_true (process_running (fixture->entry));
  cluster_free (fixture->cluster);
}

static int
connect_to (const char *address)
{
  struct sockaddr_in peer = { .sin_family = AF_INET };
  char *ip = g_strdup (address);
  char *colon = strrchr (ip, ':');
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

  *colon = '\0';
  peer.sin_port = htons ((uint16_t)g_ascii_strtoull (colon + 1, NULL, 10));
  inet_pton (AF_INET, ip, &peer.sin_addr);
  g_free (ip);
  if (connect (fd, (struct sockaddr *)&peer, sizeof peer) == 0)
    return fd;
  close (fd);
  return -1;
}

/** Sends raw bytes and returns what the server sends until it closes the
 * connection or sends nothing for @a idle_ms. The caller frees it. */
static char *
send_raw (fixture_t *fixture, const char *bytes, size_t size, int idle_ms)
{
  GString *text = g_string_new (NULL);
  int fd = connect_to (fixture->address);
  struct pollfd poller = { .fd = fd, .events = POLLIN };
  char chunk[4096];
  ssize_t got;

  g_assert_cmpint (fd, >=, 0);
  while (size > 0 && (got = send (fd, bytes, size, MSG_NOSIGNAL)) > 0)
    {
      bytes += got;
      size -= (size_t)got;
    }
  while (poll (&poller, 1, idle_ms) == 1
         && (got = read (fd, chunk, sizeof chunk)) > 0)
    g_string_append_len (text, chunk, got);
  close (fd);
  return g_string_free (text, FALSE);
}

static guint
count_answers (const char *text)
{
  guint count = 0;

  for (const char *at = text; (at = strstr (at, "HTTP/1.1 ")) != NULL; at++)
    count++;
  return count;
}

static void
expect_body (fixture_t *fixture, const char *body, const char *part)
{
  answer_t answer = cluster_call_with (
      fixture->address, "POST", "/v1/completions",
      "X-Customer: mine\r\nX-Service: chat\r\n", body, ANSWER_WAIT_MS);

  if (answer.status != 400 || strstr (answer.body, part) == NULL)
    g_test_message ("%.60s: %d %s", body, answer.status, answer.body);
  g_assert_cmpint (answer.status, ==, 400);
  g_assert_nonnull (strstr (answer.body, part));
  g_assert_nonnull (strstr (answer.body, "\"not_run\":true"));
  cluster_answer_free (&answer);
}

static void
test_bad_json (fixture_t *fixture, gconstpointer data)
{
  char *deep = g_strnfill (1000000, '[');
  char *nested = g_strdup_printf ("{\"prompt\":%s", deep);

  expect_body (fixture, nested, "nested");
  expect_body (fixture, "{\"prompt\":\"\xff\xfe\"}", "UTF-8");
  expect_body (fixture, "{\"prompt\":\"x\",\"max_tokens\":1e400}",
               "max_tokens");
  expect_body (fixture,
               "{\"prompt\":\"x\",\"max_tokens\":99999999999999999999}",
               "max_tokens");
  expect_body (fixture, "{\"prompt\":\"x\",\"max_tokens\":-5}", "max_tokens");
  expect_body (fixture, "{\"prompt\":7}", "prompt");
  expect_body (fixture, "[]", "object");
  g_free (nested);
  g_free (deep);
}

static void
test_smuggling_forms (fixture_t *fixture, gconstpointer data)
{
  static const char inner[] = "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n";
  static const char *const heads[] = {
    "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n",
    "Content-Length: 0\r\nContent-Length: 40\r\n",
    "Transfer-Encoding: xchunked\r\nContent-Length: 0\r\n",
    "Transfer-Encoding : chunked\r\nContent-Length: 0\r\n",
    "Content-Length: -1\r\n",
    "Content-Length: 0x10\r\n",
    "Content-Length: 99999999999999999999\r\n",
  };

  for (size_t i = 0; i < G_N_ELEMENTS (heads); i++)
    {
      char *text
          = g_strdup_printf ("POST /v1/call/ledger/x HTTP/1.1\r\nHost: "
                             "x\r\nX-Customer: mine\r\n%s\r\n0\r\n\r\n%s",
                             heads[i], inner);
      char *answer = send_raw (fixture, text, strlen (text), 300);

      g_test_message ("%s -> %s", heads[i], answer);
      /* At most one error: the bytes that follow must not be parsed as a
       * request. */
      g_assert_null (strstr (answer, "HTTP/1.1 200"));
      g_assert_cmpuint (count_answers (answer), <=, 1);
      g_free (answer);
      g_free (text);
    }
}

static void
test_header_flood (fixture_t *fixture, gconstpointer data)
{
  GString *text = g_string_new ("GET /healthz HTTP/1.1\r\nHost: x\r\n");
  char *answer;

  for (int i = 0; i < 100000; i++)
    g_string_append_printf (text, "X-Flood-%d: %d\r\n", i, i);
  g_string_append (text, "\r\n");
  answer = send_raw (fixture, text->str, text->len, 2000);
  g_assert_null (strstr (answer, "HTTP/1.1 200"));
  g_free (answer);
  g_string_free (text, TRUE);
}

static void
test_garbage_bytes (fixture_t *fixture, gconstpointer data)
{
  GRand *random = g_rand_new_with_seed (7);
  char bytes[512];

  for (int round = 0; round < 100; round++)
    {
      char *answer;

      for (size_t i = 0; i < sizeof bytes; i++)
        bytes[i] = (char)g_rand_int_range (random, 0, 256);
      bytes[sizeof bytes - 2] = '\r';
      bytes[sizeof bytes - 1] = '\n';
      answer = send_raw (fixture, bytes, sizeof bytes, 20);
      g_assert_null (strstr (answer, "HTTP/1.1 200"));
      g_free (answer);
    }
  g_rand_free (random);
}

static void
test_idle_connections (fixture_t *fixture, gconstpointer data)
{
  struct rlimit limit;
  double before
      = cluster_metric (fixture->address, "process_resident_memory_bytes");
  int *fds = g_new (int, IDLE_CONNECTIONS);
  int count = 0;

  getrlimit (RLIMIT_NOFILE, &limit);
  limit.rlim_cur = limit.rlim_max;
  setrlimit (RLIMIT_NOFILE, &limit);
  /* Each connection sends a partial request, so that the server keeps state for
   * all connections. */
  while (count < IDLE_CONNECTIONS && (rlim_t)count + 100 < limit.rlim_cur)
    {
      fds[count] = connect_to (fixture->address);
      g_assert_cmpint (fds[count], >=, 0);
      g_assert_cmpint (send (fds[count], "GET /hea", 8, MSG_NOSIGNAL), ==, 8);
      count++;
    }
  g_test_message ("%d idle connections", count);
  g_assert_true (can_call (fixture));
  g_assert_cmpfloat (
      cluster_metric (fixture->address, "process_resident_memory_bytes")
          - before,
      <, (double)count * IDLE_CONNECTION_BYTES + 16 * 1024 * 1024);
  while (count > 0)
    close (fds[--count]);
  g_free (fds);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add ("/hostile/bad-json", fixture_t, NULL, set_up, test_bad_json,
              tear_down);
  g_test_add ("/hostile/smuggling-forms", fixture_t, NULL, set_up,
              test_smuggling_forms, tear_down);
  g_test_add ("/hostile/header-flood", fixture_t, NULL, set_up,
              test_header_flood, tear_down);
  g_test_add ("/hostile/garbage", fixture_t, NULL, set_up, test_garbage_bytes,
              tear_down);
  g_test_add ("/hostile/idle-connections", fixture_t, NULL, set_up,
              test_idle_connections, tear_down);
  return g_test_run ();
}
