#include "lib-crashing.h"

#include <arpa/inet.h>
#include <errno.h>
#include <glib.h>
#include <poll.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "lib-cluster.h"

#define MAX_UPSTREAMS   8
#define ANNOUNCE_MS     200
#define ACCEPT_POLL_MS  20
#define READ_TIMEOUT_MS 1000
/* Time between the announcement that an upstream leaves and its end. */
#define LEAVE_MS      50
#define ANSWER_TEXT   "{\"answer\":\"whole\"}"
#define THIRD_RUN     2
#define US_PER_MS     1000
#define REQUEST_BYTES 65536

typedef struct
{
  crashing_t *crashing;
  GThread *thread;
  char name[16];
  struct sockaddr_in address;
  uint64_t incarnation;
  int listener;
  int64_t announce_us; /* time of the next announcement */
} upstream_t;

struct crashing
{
  crashing_options_t options;
  upstream_t upstreams[MAX_UPSTREAMS];
  GMutex lock;
  GArray *runs; /* times of runs of harmful requests, guarded by lock */
  gint is_harmful;
  gint is_stopping;
};

static void
announce (upstream_t *upstream, const char *state)
{
  const crashing_options_t *options = &upstream->crashing->options;
  char *body = g_strdup_printf (
      "{\"upstream\":\"%s\",\"incarnation\":%" G_GUINT64_FORMAT
      ",\"address\":\"127.0.0.1:%u\",\"zone\":\"here\",\"service\":\"%s\","
      "\"kind\":\"%s\",\"state\":\"%s\",\"loaded\":[{\"model\":\"base\","
      "\"version\":\"1\"}],\"kv_tokens\":400000,\"max_batch\":64,"
      "\"prefill_tokens_s\":90000,\"step_us\":100,\"announce_ms\":%u}",
      upstream->name, upstream->incarnation, ntohs (upstream->address.sin_port),
      options->service, options->is_engine ? "engine" : "service", state,
      ANNOUNCE_MS);

  for (uint32_t i = 0; options->entries[i] != NULL; i++)
    {
      answer_t answer
          = cluster_call (options->entries[i], "POST", "/v1/announce", body);

      cluster_answer_free (&answer);
    }
  upstream->announce_us = g_get_monotonic_time () + ANNOUNCE_MS * US_PER_MS;
  g_free (body);
}

/** Listens at the address of the upstream, which the first call sets. */
static void
start_listening (upstream_t *upstream)
{
  socklen_t length = sizeof upstream->address;
  int on = 1;

  upstream->listener = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  setsockopt (upstream->listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  g_assert_cmpint (
      bind (upstream->listener, (struct sockaddr *)&upstream->address, length),
      ==, 0);
  g_assert_cmpint (listen (upstream->listener, SOMAXCONN), ==, 0);
  getsockname (upstream->listener, (struct sockaddr *)&upstream->address,
               &length);
}

/** Returns whether the text is a whole request. */
static bool
is_whole_request (const GString *text)
{
  const char *end = strstr (text->str, "\r\n\r\n");
  const char *length = strstr (text->str, "Content-Length: ");
  size_t body_bytes = 0;

  if (end == NULL)
    return false;
  if (length != NULL && length < end)
    body_bytes = strtoul (length + strlen ("Content-Length: "), NULL, 10);
  return strlen (end + 4) >= body_bytes;
}

static GString *
read_request (int fd)
{
  GString *text = g_string_new (NULL);
  char chunk[4096];

  while (!is_whole_request (text) && text->len < REQUEST_BYTES)
    {
      struct pollfd wait = { .fd = fd, .events = POLLIN };
      ssize_t received = 0;

      if (poll (&wait, 1, READ_TIMEOUT_MS) > 0)
        received = read (fd, chunk, sizeof chunk);
      if (received <= 0)
        break;
      g_string_append_len (text, chunk, received);
    }
  return text;
}

static void
send_text (int fd, const char *text)
{
  send (fd, text, strlen (text), MSG_NOSIGNAL);
}

/** Returns the value of a text member of a request's body, or "". */
static char *
copy_member (const GString *request, const char *name)
{
  char *pattern = g_strdup_printf ("\"%s\":\"", name);
  const char *start = strstr (request->str, pattern);
  const char *end = NULL;
  char *value = NULL;

  if (start != NULL)
    {
      start += strlen (pattern);
      end = strchr (start, '"');
    }
  if (end != NULL)
    value = g_strndup (start, (gsize)(end - start));
  g_free (pattern);
  return value != NULL ? value : g_strdup ("");
}

/** Answers a stream with one token; leaves out its end if not @a is_whole. */
static void
send_stream (int fd, const GString *request, bool is_whole)
{
  char *id = copy_member (request, "request_id");
  char *text = g_strdup_printf (
      "data: {\"request_id\":\"%s\",\"offset\":0,\"token\":\"x\"}\n\n%s%s%s",
      id, is_whole ? "data: {\"request_id\":\"" : "", is_whole ? id : "",
      is_whole ? "\",\"offset\":1,\"done\":true}\n\n" : "");

  send_text (fd, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                 "Connection: close\r\n\r\n");
  send_text (fd, text);
  g_free (text);
  g_free (id);
}

static void
send_answer (int fd, const GString *request)
{
  if (g_str_has_prefix (request->str, "POST /v1/streams "))
    send_stream (fd, request, true);
  else if (g_str_has_prefix (request->str, "POST /call/"))
    send_text (fd,
               "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
               "Content-Length: 18\r\nConnection: close\r\n\r\n" ANSWER_TEXT);
  else
    send_text (fd, "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n"
                   "Connection: close\r\n\r\n");
}

/** Sends what the upstream sends of its answer before it ends. */
static void
send_before_end (upstream_t *upstream, int fd, const GString *request)
{
  switch (upstream->crashing->options.end)
    {
    case CRASHING_IN_HEAD:
      send_text (fd, "HTTP/1.1 200 OK\r\nContent-Ty");
      break;
    case CRASHING_IN_BODY:
      send_text (fd, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                     "Content-Length: 18\r\n\r\n{\"answer\"");
      break;
    case CRASHING_IN_STREAM:
      send_stream (fd, request, false);
      break;
    case CRASHING_LEAVES:
      announce (upstream, "leaving");
      g_usleep (LEAVE_MS * US_PER_MS);
      break;
    default:
      break;
    }
}

static void
record_run (crashing_t *crashing)
{
  int64_t now_us = g_get_monotonic_time ();

  g_mutex_lock (&crashing->lock);
  g_array_append_val (crashing->runs, now_us);
  g_mutex_unlock (&crashing->lock);
}

/** Ends the upstream's incarnation and starts the next one. */
static void
restart (upstream_t *upstream)
{
  close (upstream->listener);
  g_usleep (CRASHING_DOWN_MS * US_PER_MS);
  upstream->incarnation++;
  start_listening (upstream);
  announce (upstream, "ready");
}

static void
serve (upstream_t *upstream, int fd)
{
  crashing_t *crashing = upstream->crashing;
  GString *request = read_request (fd);
  bool is_run = g_str_has_prefix (request->str, "POST /call/")
                || g_str_has_prefix (request->str, "POST /v1/streams ");
  bool ends = false;

  if (is_run && strstr (request->str, CRASHING_MARK) != NULL)
    {
      record_run (crashing);
      ends = g_atomic_int_get (&crashing->is_harmful) != 0;
    }
  if (ends)
    send_before_end (upstream, fd, request);
  else
    send_answer (fd, request);
  close (fd);
  g_string_free (request, TRUE);
  if (ends)
    restart (upstream);
}

static gpointer
run_upstream (gpointer data)
{
  upstream_t *upstream = data;

  while (g_atomic_int_get (&upstream->crashing->is_stopping) == 0)
    {
      struct pollfd wait = { .fd = upstream->listener, .events = POLLIN };
      int fd = -1;

      if (g_get_monotonic_time () >= upstream->announce_us)
        announce (upstream, "ready");
      if (poll (&wait, 1, ACCEPT_POLL_MS) > 0)
        fd = accept (upstream->listener, NULL, NULL);
      if (fd >= 0)
        serve (upstream, fd);
    }
  close (upstream->listener);
  return NULL;
}

crashing_t *
crashing_new (const crashing_options_t *options)
{
  crashing_t *crashing = g_new0 (crashing_t, 1);

  g_assert_cmpuint (options->upstreams, <=, MAX_UPSTREAMS);
  crashing->options = *options;
  crashing->is_harmful = 1;
  crashing->runs = g_array_new (FALSE, FALSE, sizeof (int64_t));
  g_mutex_init (&crashing->lock);
  for (uint32_t i = 0; i < options->upstreams; i++)
    {
      upstream_t *upstream = &crashing->upstreams[i];

      upstream->crashing = crashing;
      g_snprintf (upstream->name, sizeof upstream->name, "c%u", i);
      upstream->address.sin_family = AF_INET;
      upstream->address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
      upstream->incarnation = 1;
      start_listening (upstream);
      announce (upstream, "ready");
      upstream->thread = g_thread_new (upstream->name, run_upstream, upstream);
    }
  return crashing;
}

void
crashing_free (crashing_t *crashing)
{
  g_atomic_int_set (&crashing->is_stopping, 1);
  for (uint32_t i = 0; i < crashing->options.upstreams; i++)
    g_thread_join (crashing->upstreams[i].thread);
  g_array_free (crashing->runs, TRUE);
  g_mutex_clear (&crashing->lock);
  g_free (crashing);
}

void
crashing_set_harmful (crashing_t *crashing, bool is_harmful)
{
  g_atomic_int_set (&crashing->is_harmful, is_harmful);
}

uint32_t
crashing_runs (crashing_t *crashing)
{
  uint32_t runs;

  g_mutex_lock (&crashing->lock);
  runs = crashing->runs->len;
  g_mutex_unlock (&crashing->lock);
  return runs;
}

uint32_t
crashing_runs_after_third (crashing_t *crashing, uint32_t after_ms)
{
  uint32_t runs = 0;
  int64_t from_us;

  g_mutex_lock (&crashing->lock);
  for (guint i = THIRD_RUN; i < crashing->runs->len; i++)
    {
      from_us = g_array_index (crashing->runs, int64_t, THIRD_RUN)
                + (int64_t)after_ms * US_PER_MS;
      if (g_array_index (crashing->runs, int64_t, i) > from_us)
        runs++;
    }
  g_mutex_unlock (&crashing->lock);
  return runs;
}
