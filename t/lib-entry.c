#include "lib-entry.h"

#include <arpa/inet.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "http.h"

static const char config_text[] = "number: 1\n"
                                  "zones:\n"
                                  "  - name: here\n"
                                  "    region: r\n"
                                  "size_classes:\n"
                                  "  - name: any\n"
                                  "    up_to_tokens: 1000000\n"
                                  "    first_token_ms: 5000\n"
                                  "    deadline_ms: 20000\n"
                                  "services:\n"
                                  "  - name: engines\n"
                                  "    kind: engine\n"
                                  "    model: base\n"
                                  "  - name: ledger\n"
                                  "    kind: plain\n"
                                  "    deadline_ms: 5000\n"
                                  "    idempotent: false\n"
                                  "  - name: lookup\n"
                                  "    kind: plain\n"
                                  "    deadline_ms: 5000\n"
                                  "    idempotent: true\n"
                                  "customers:\n"
                                  "  - name: counter\n"
                                  "    weight: 1\n"
                                  "    priority: 5\n"
                                  "  - name: archive\n"
                                  "    weight: 1\n"
                                  "    priority: 5\n"
                                  "  - name: history\n"
                                  "    weight: 1\n"
                                  "    priority: 1\n"
                                  "    service: [engines]\n";

static process_t *
start_entry (deploy_t *deploy,
             const char *name,
             const char *address,
             const char *gossip,
             const char *flag)
{
  char *folder = g_strdup_printf ("--config-folder=%s/config",
                                  cluster_folder (deploy->cluster));
  process_t *process = cluster_start (
      deploy->cluster, "lwm-entryd", "--instance", name, "--zone", "here",
      "--listen", address, "--gossip-listen", gossip, folder, flag, NULL);

  g_assert_nonnull (process);
  g_free (folder);
  return process;
}

const char *
deploy_second_entry (deploy_t *deploy)
{
  const char *address = cluster_address (deploy->cluster);
  char *peer = g_strdup_printf ("--gossip-peer=%s", deploy->gossip);

  deploy->second_gossip = cluster_address (deploy->cluster);
  deploy->second
      = start_entry (deploy, "e2", address, deploy->second_gossip, peer);
  g_free (peer);
  return address;
}

void
deploy_restart (deploy_t *deploy)
{
  char *peer = NULL;

  if (deploy->second != NULL)
    peer = g_strdup_printf ("--gossip-peer=%s", deploy->second_gossip);
  deploy->process
      = start_entry (deploy, "e1", deploy->address, deploy->gossip, peer);
  g_free (peer);
}

deploy_t *
deploy_new (const char *flag)
{
  deploy_t *deploy = g_new0 (deploy_t, 1);

  deploy->cluster = cluster_new ();
  deploy->address = cluster_address (deploy->cluster);
  cluster_write (deploy->cluster, "config/10.yaml", config_text);
  deploy->gossip = cluster_address (deploy->cluster);
  deploy->process
      = start_entry (deploy, "e1", deploy->address, deploy->gossip, flag);
  return deploy;
}

void
deploy_free (deploy_t *deploy)
{
  process_signal (deploy->process, SIGTERM);
  process_expect_success (deploy->process);
  cluster_free (deploy->cluster);
  g_free (deploy);
}

void
deploy_proxy (deploy_t *deploy)
{
  deploy->proxy = cluster_address (deploy->cluster);
  g_assert_nonnull (cluster_start (deploy->cluster, "lwm-faultproxy",
                                   "--listen", deploy->proxy, NULL));
}

static void
post_to_proxy (deploy_t *deploy, const char *path, const char *body)
{
  answer_t answer = cluster_call (deploy->proxy, "POST", path, body);

  g_assert_cmpint (answer.status, ==, 200);
  cluster_answer_free (&answer);
}

void
deploy_fault (deploy_t *deploy,
              const upstream_process_t *upstream,
              const char *faults)
{
  char *path = g_strdup_printf ("/v1/routes/%s", upstream->name);

  post_to_proxy (deploy, path, faults);
  g_free (path);
}

/**
 * Returns the address to advertise for an upstream: that of a new proxy route
 * to it, or the upstream's own address if there is no proxy.
 */
static const char *
add_route (deploy_t *deploy, const upstream_process_t *upstream)
{
  const char *address;
  char *body;

  if (deploy->proxy == NULL)
    return upstream->address;
  address = cluster_address (deploy->cluster);
  body = g_strdup_printf (
      "{\"name\":\"%s\",\"listen\":\"%s\",\"target\":\"%s\"}", upstream->name,
      address, upstream->address);
  post_to_proxy (deploy, "/v1/routes", body);
  g_free (body);
  return address;
}

static upstream_process_t
start_upstream (deploy_t *deploy,
                const char *kind,
                const char *service,
                const char *flag,
                const char *flag2)
{
  static const char *const names[] = { "u1", "u2", "u3", "u4" };
  upstream_process_t upstream = { .name = names[deploy->upstreams++] };
  const char *advertise;

  upstream.address = cluster_address (deploy->cluster);
  advertise = add_route (deploy, &upstream);
  upstream.process = cluster_start (
      deploy->cluster, "lwm-upstream", "--upstream", upstream.name, "--kind",
      kind, "--service", service, "--zone", "here", "--listen",
      upstream.address, "--announce-to", deploy->address, "--announce-ms",
      "300", "--time-scale-percent", "20", "--advertise", advertise, flag,
      flag2, NULL);
  g_assert_nonnull (upstream.process);
  CLUSTER_WAIT (cluster_metric (deploy->address, "lwm_upstreams")
                >= deploy->upstreams);
  return upstream;
}

upstream_process_t
deploy_engine (deploy_t *deploy, const char *flag, const char *flag2)
{
  return start_upstream (deploy, "engine", "engines", flag, flag2);
}

upstream_process_t
deploy_service (deploy_t *deploy, const char *service, const char *flag)
{
  return start_upstream (deploy, "service", service, flag, NULL);
}

void
deploy_unreachable_upstream (deploy_t *deploy,
                             const char *kind,
                             const char *service)
{
  char *announcement = g_strdup_printf (
      "{\"upstream\":\"ghost\",\"incarnation\":1,\"address\":\"%s\","
      "\"zone\":\"here\",\"service\":\"%s\",\"kind\":\"%s\","
      "\"state\":\"ready\",\"loaded\":[{\"model\":\"base\","
      "\"version\":\"1\"}],\"kv_tokens\":400000,\"max_batch\":64,"
      "\"prefill_tokens_s\":90000,\"step_us\":100}",
      cluster_address (deploy->cluster), service, kind);
  answer_t answer
      = cluster_call (deploy->address, "POST", "/v1/announce", announcement);

  g_assert_cmpint (answer.status, ==, 200);
  cluster_answer_free (&answer);
  g_free (announcement);
}

int
call_without_reading (const char *address,
                      const char *host,
                      const char *path,
                      const char *body)
{
  char **parts = g_strsplit (address, ":", 2);
  struct sockaddr_in peer = { .sin_family = AF_INET,
                              .sin_port = htons ((uint16_t)atoi (parts[1])) };
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  char *request
      = g_strdup_printf ("POST %s HTTP/1.1\r\nHost: %s\r\nConnection: close\r\n"
                         "Content-Length: %zu\r\n\r\n%s",
                         path, host, strlen (body), body);

  inet_pton (AF_INET, parts[0], &peer.sin_addr);
  g_assert_cmpint (connect (fd, (struct sockaddr *)&peer, sizeof peer), ==, 0);
  g_assert_cmpint (write (fd, request, strlen (request)), ==,
                   (ssize_t)strlen (request));
  g_free (request);
  g_strfreev (parts);
  return fd;
}

int
prompt_without_reading (deploy_t *deploy, const char *body)
{
  return call_without_reading (deploy->address, "x", "/v1/completions", body);
}

answer_t
read_until_close (int fd)
{
  GString *text = g_string_new (NULL);
  answer_t answer = { 0 };
  char chunk[65536];
  ssize_t received;

  while ((received = read (fd, chunk, sizeof chunk)) > 0)
    g_string_append_len (text, chunk, received);
  close (fd);
  answer.body = g_string_free (text, FALSE);
  return answer;
}

answer_t
deploy_prompt (deploy_t *deploy, const char *body)
{
  return cluster_call (deploy->address, "POST", "/v1/completions", body);
}

struct call
{
  GThread *thread;
  char *address;
  char *path;
  char *headers;
  char *body;
  answer_t answer;
  gint is_done; /* set by the thread of the call at its end */
};

static gpointer
run_call (gpointer data)
{
  call_t *call = data;

  call->answer = cluster_call_with (call->address, "POST", call->path,
                                    call->headers, call->body, 60000);
  g_atomic_int_set (&call->is_done, 1);
  return NULL;
}

bool
call_is_done (const call_t *call)
{
  return g_atomic_int_get (&call->is_done) != 0;
}

call_t *
call_start (const char *address,
            const char *path,
            const char *headers,
            const char *body)
{
  call_t *call = g_new0 (call_t, 1);

  call->address = g_strdup (address);
  call->path = g_strdup (path);
  call->headers = g_strdup (headers);
  call->body = g_strdup (body);
  call->thread = g_thread_new ("call", run_call, call);
  return call;
}

answer_t
call_finish (call_t *call)
{
  answer_t answer;

  g_thread_join (call->thread);
  answer = call->answer;
  g_free (call->address);
  g_free (call->path);
  g_free (call->headers);
  g_free (call->body);
  g_free (call);
  return answer;
}

void
misbehave (const upstream_process_t *upstream, const char *body)
{
  answer_t answer
      = cluster_call (upstream->address, "POST", "/v1/misbehave", body);

  g_assert_cmpint (answer.status, ==, 200);
  cluster_answer_free (&answer);
}

int64_t
inspect_count (const upstream_process_t *upstream, const char *member)
{
  answer_t answer
      = cluster_call (upstream->address, "GET", "/v1/inspect", NULL);
  JsonNode *node = answer.json != NULL
                       ? json_object_get_member (answer.json, member)
                       : NULL;
  int64_t count = -1;

  if (node != NULL && JSON_NODE_HOLDS_ARRAY (node))
    count = json_array_get_length (json_node_get_array (node));
  else if (node != NULL && JSON_NODE_HOLDS_OBJECT (node))
    count = json_object_get_size (json_node_get_object (node));
  else if (node != NULL)
    count = json_node_get_int (node);
  cluster_answer_free (&answer);
  return count;
}

int64_t
inspect_runs (const upstream_process_t *upstream)
{
  answer_t answer
      = cluster_call (upstream->address, "GET", "/v1/inspect", NULL);
  JsonObject *runs = json_object_get_object_member (answer.json, "runs");
  JsonObjectIter iter;
  JsonNode *node;
  int64_t sum = 0;

  json_object_iter_init (&iter, runs);
  while (json_object_iter_next (&iter, NULL, &node))
    sum += json_node_get_int (node);
  cluster_answer_free (&answer);
  return sum;
}

void
assert_error (const answer_t *answer,
              int status,
              const char *kind,
              const char *not_run)
{
  JsonObject *error;
  JsonNode *ran;
  const char *actual;

  g_test_message ("answer %d %s", answer->status, answer->body);
  g_assert_cmpint (answer->status, ==, status);
  g_assert_nonnull (answer->json);
  error = json_object_get_object_member (answer->json, "error");
  g_assert_cmpstr (http_json_text_member (error, "kind", ""), ==, kind);
  ran = json_object_get_member (error, "not_run");
  if (json_node_get_value_type (ran) == G_TYPE_STRING)
    actual = json_node_get_string (ran);
  else
    actual = json_node_get_boolean (ran) ? "true" : "false";
  g_assert_cmpstr (actual, ==, not_run);
}

char *
stream_text (const answer_t *answer)
{
  GString *text = g_string_new (NULL);
  char **lines = g_strsplit (answer->body, "\n", -1);

  for (size_t i = 0; lines[i] != NULL; i++)
    {
      const char *at = strstr (lines[i], "\"text\":\"");
      const char *end = at != NULL ? strchr (at + 8, '"') : NULL;

      if (end != NULL)
        g_string_append_len (text, at + 8, end - at - 8);
    }
  g_strfreev (lines);
  return g_string_free (text, FALSE);
}

uint32_t
count_occurrences (const answer_t *answer, const char *part)
{
  const char *at = answer->body;
  const char *end = at + strlen (at);
  uint32_t count = 0;

  /* Not strstr(): the sanitizers take the length of the whole rest at every
   * call. */
  while ((at = g_strstr_len (at, end - at, part)) != NULL)
    {
      at += strlen (part);
      count++;
    }
  return count;
}
