#include "lib-node-upstreams.h"

#include <event2/util.h>
#include <netinet/in.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "lib-http-socket.h"

#define UPSTREAMS       4
#define LISTEN_BACKLOG  256
#define ANNOUNCE_MS     500
#define LOOK_MS         50 /* between two looks at whether the test is over */
#define RECEIVE_MS      20000
#define BATCH_BYTES     (16u * 1024)
#define MAX_PAUSE_S     8
#define PAUSED_EVENTS   3
#define PAUSED_BYTES    20
#define FIRST_ADDRESS   (NODES_ENTRY + 1)
#define UPSTREAM_OFFSET 4 /* of its port */

/** The answer that a path asks for. */
typedef struct
{
  bool is_stream;
  uint32_t delay_ms; /* before the answer, or between two events */
  uint32_t events;
  uint32_t event_bytes;
  int64_t busy_until_ms; /* rejected before this time */
} work_t;

typedef struct
{
  node_upstreams_t *all;
  char id[16];
  const char *service;
  char *address;
  int slots;
  int sequence;
  int listener;
  GThread *thread;
} upstream_t;

struct node_upstreams
{
  const nodes_t *nodes;
  upstream_t upstreams[UPSTREAMS];
  GThread *announcer;
  GMutex lock;
  GHashTable *runs; /* id -> node_run_t */
  gint connections; /* threads that serve one */
  gint is_over;
};

typedef struct
{
  upstream_t *upstream;
  http_socket_t *socket;
  http_message_t request;
  char *path;
  char *id;
} served_t;

static bool
is_over (node_upstreams_t *all)
{
  return g_atomic_int_get (&all->is_over) != 0;
}

static int64_t
now_ms (void)
{
  return g_get_monotonic_time () / 1000;
}

static work_t
parse_path (const char *path)
{
  work_t work = { 0 };
  long long until_ms;

  if (sscanf (path, "/safe/%u", &work.delay_ms) == 1
      || sscanf (path, "/unsafe/%u", &work.delay_ms) == 1)
    return work;
  work.is_stream = true;
  if (sscanf (path, "/stream/%u/%u/%u", &work.events, &work.event_bytes,
              &work.delay_ms)
      == 3)
    return work;
  work.events = PAUSED_EVENTS;
  work.event_bytes = PAUSED_BYTES;
  if (sscanf (path, "/paused/%lld", &until_ms) == 1)
    work.busy_until_ms = until_ms;
  return work;
}

static void
append_event (GString *text, const work_t *work, uint32_t number)
{
  g_string_append_printf (text, "id: %u\ndata: ", number);
  for (uint32_t i = 0; i < work->event_bytes; i++)
    g_string_append_c (text, (char)('a' + (number + i) % 26));
  g_string_append (text, "\n\n");
}

char *
node_upstreams_request_body (const char *id)
{
  return g_strdup_printf ("%s.", id);
}

GString *
node_upstreams_answer_body (const char *path, const char *id)
{
  work_t work = parse_path (path);
  GString *text = g_string_new (NULL);

  if (!work.is_stream)
    g_string_printf (text, "answer to %s", id);
  for (uint32_t i = 1; i <= work.events; i++)
    append_event (text, &work, i);
  return text;
}

/** Returns the record of a request; the lock is held. */
static node_run_t *
find_record (node_upstreams_t *all, const char *id)
{
  node_run_t *run = g_hash_table_lookup (all->runs, id);

  if (run == NULL)
    {
      run = g_new0 (node_run_t, 1);
      g_hash_table_insert (all->runs, g_strdup (id), run);
    }
  return run;
}

node_run_t
node_upstreams_find_run (node_upstreams_t *all, const char *id)
{
  node_run_t run;

  g_mutex_lock (&all->lock);
  run = *find_record (all, id);
  g_mutex_unlock (&all->lock);
  return run;
}

static void
record_begin (const served_t *served)
{
  node_upstreams_t *all = served->upstream->all;
  char *body = node_upstreams_request_body (served->id);
  node_run_t *run;

  g_mutex_lock (&all->lock);
  run = find_record (all, served->id);
  run->runs++;
  run->ended_us = 0;
  run->has_wrong_body
      = run->has_wrong_body || strcmp (served->request.body->str, body) != 0;
  g_mutex_unlock (&all->lock);
  g_free (body);
}

static void
record_end (const served_t *served, bool is_sent)
{
  node_upstreams_t *all = served->upstream->all;
  node_run_t *run;

  g_mutex_lock (&all->lock);
  run = find_record (all, served->id);
  run->ended_us = g_get_monotonic_time ();
  run->has_been_sent = run->has_been_sent || is_sent;
  g_mutex_unlock (&all->lock);
}

static bool
send_text (const served_t *served, const GString *text)
{
  return http_socket_send (served->socket, text->str, text->len);
}

/** Sends an answer without a body and without a signature. */
static bool
reject (const served_t *served, int status, int pause_s)
{
  GString *text = g_string_new (NULL);
  bool is_sent;

  g_string_printf (text,
                   "HTTP/1.1 %d Rejected\r\n" NODES_FIELD_ID
                   ": %s\r\n" NODES_FIELD_NOT_RUN ": 1\r\n",
                   status, served->id);
  if (pause_s > 0)
    g_string_append_printf (text, "Retry-After: %d\r\n", pause_s);
  g_string_append (text, "Content-Length: 0\r\n\r\n");
  is_sent = send_text (served, text);
  g_string_free (text, TRUE);
  return is_sent;
}

static void
append_head (GString *text, const served_t *served)
{
  g_string_append_printf (text,
                          "HTTP/1.1 200 OK\r\n" NODES_FIELD_ID
                          ": %s\r\n" NODES_FIELD_SIGNATURE ": s.1\r\n",
                          served->id);
}

/** Works for a while; returns false if the connection ends before. */
static bool
work_for (const served_t *served, uint32_t ms)
{
  return ms == 0 || !http_socket_wait (served->socket, ms);
}

static bool
answer_call (const served_t *served, const work_t *work)
{
  GString *body = node_upstreams_answer_body (served->path, served->id);
  GString *text = g_string_new (NULL);
  bool is_sent = false;

  append_head (text, served);
  g_string_append_printf (text, "Content-Length: %zu\r\n\r\n%s", body->len,
                          body->str);
  if (work_for (served, work->delay_ms))
    is_sent = send_text (served, text);
  g_string_free (body, TRUE);
  g_string_free (text, TRUE);
  return is_sent;
}

/** Moves the events that are ready into the next chunk. */
static void
append_chunk (GString *text, GString *events)
{
  if (events->len == 0)
    return;
  g_string_append_printf (text, "%zx\r\n%s\r\n", events->len, events->str);
  g_string_truncate (events, 0);
}

static bool
answer_stream (const served_t *served, const work_t *work)
{
  GString *text = g_string_new (NULL);
  GString *events = g_string_new (NULL);
  bool is_sent = true;

  append_head (text, served);
  g_string_append (text, "Content-Type: text/event-stream\r\n"
                         "Transfer-Encoding: chunked\r\n\r\n");
  for (uint32_t i = 1; i <= work->events && is_sent; i++)
    {
      append_event (events, work, i);
      if (work->delay_ms == 0 && events->len < BATCH_BYTES)
        continue;
      append_chunk (text, events);
      is_sent = send_text (served, text) && work_for (served, work->delay_ms);
      g_string_truncate (text, 0);
    }
  append_chunk (text, events);
  g_string_append (text, "0\r\n\r\n");
  is_sent = is_sent && send_text (served, text);
  g_string_free (text, TRUE);
  g_string_free (events, TRUE);
  return is_sent;
}

/** Answers a request; returns false if the connection has ended. */
static bool
answer (const served_t *served)
{
  work_t work = parse_path (served->path);
  int64_t pause_ms = work.busy_until_ms - now_ms ();
  bool is_sent;

  if (pause_ms > 0)
    return reject (served, 503,
                   (int)CLAMP (pause_ms / 1000 + 1, 1, MAX_PAUSE_S));
  record_begin (served);
  is_sent = work.is_stream ? answer_stream (served, &work)
                           : answer_call (served, &work);
  record_end (served, is_sent);
  return is_sent;
}

static bool
serve_request (served_t *served)
{
  char *wanted = http_message_field (&served->request, NODES_FIELD_UPSTREAM);
  char **words = g_strsplit (served->request.head, " ", 3);
  bool goes_on;

  served->id = http_message_field (&served->request, NODES_FIELD_ID);
  served->path = g_strdup (words[1]);
  if (served->id == NULL
      || (wanted != NULL && strcmp (wanted, served->upstream->id) != 0))
    goes_on = reject (served, 421, 0);
  else
    goes_on = answer (served);
  g_strfreev (words);
  g_free (wanted);
  g_clear_pointer (&served->id, g_free);
  g_clear_pointer (&served->path, g_free);
  return goes_on;
}

static gpointer
serve_connection (gpointer context)
{
  served_t *served = context;
  bool goes_on = true;

  while (goes_on && !is_over (served->upstream->all))
    {
      if (!http_socket_wait (served->socket, LOOK_MS))
        continue;
      goes_on = http_socket_receive (served->socket,
                                     g_get_monotonic_time ()
                                         + (int64_t)RECEIVE_MS * 1000,
                                     &served->request)
                && serve_request (served);
      http_message_clear (&served->request);
    }
  http_socket_free (served->socket);
  g_atomic_int_add (&served->upstream->all->connections, -1);
  g_free (served);
  return NULL;
}

static void
start_serving (upstream_t *upstream, int fd)
{
  served_t *served = g_new0 (served_t, 1);

  served->upstream = upstream;
  served->socket = http_socket_new (fd);
  g_atomic_int_inc (&upstream->all->connections);
  g_thread_unref (g_thread_new ("serve", serve_connection, served));
}

static gpointer
accept_connections (gpointer context)
{
  upstream_t *upstream = context;
  http_socket_t *listener = http_socket_new (upstream->listener);

  while (!is_over (upstream->all))
    {
      int fd;

      if (!http_socket_wait (listener, LOOK_MS))
        continue;
      fd = accept4 (upstream->listener, NULL, NULL, SOCK_CLOEXEC);
      if (fd >= 0)
        start_serving (upstream, fd);
    }
  http_socket_free (listener);
  return NULL;
}

static int
open_listener (const char *address)
{
  struct sockaddr_in own;
  int size = sizeof own;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

  evutil_parse_sockaddr_port (address, (struct sockaddr *)&own, &size);
  g_assert_cmpint (bind (fd, (struct sockaddr *)&own, (socklen_t)size), ==, 0);
  g_assert_cmpint (listen (fd, LISTEN_BACKLOG), ==, 0);
  return fd;
}

static gpointer
announce_all (gpointer context)
{
  node_upstreams_t *all = context;

  while (!is_over (all))
    {
      for (int i = 0; i < UPSTREAMS; i++)
        {
          upstream_t *upstream = &all->upstreams[i];
          nodes_announcement_t announcement
              = { .id = upstream->id,
                  .service = upstream->service,
                  .address = upstream->address,
                  .slots = upstream->slots,
                  .sequence = ++upstream->sequence };

          nodes_announce (all->nodes, i % NODES_CONTROLS, &announcement);
        }
      cluster_sleep_ms (ANNOUNCE_MS);
    }
  return NULL;
}

static void
start_upstream (node_upstreams_t *all, int index, int slots)
{
  upstream_t *upstream = &all->upstreams[index];

  upstream->all = all;
  upstream->service = index < UPSTREAMS - 1 ? "s" : "p";
  upstream->slots = slots;
  snprintf (upstream->id, sizeof upstream->id, "i-%d", index);
  upstream->address
      = nodes_address (all->nodes, FIRST_ADDRESS + index, UPSTREAM_OFFSET);
  upstream->listener = open_listener (upstream->address);
  upstream->thread = g_thread_new ("accept", accept_connections, upstream);
}

node_upstreams_t *
node_upstreams_new (const nodes_t *nodes, int slots)
{
  node_upstreams_t *all = g_new0 (node_upstreams_t, 1);

  all->nodes = nodes;
  all->runs = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  g_mutex_init (&all->lock);
  for (int i = 0; i < UPSTREAMS; i++)
    start_upstream (all, i, slots);
  all->announcer = g_thread_new ("announce", announce_all, all);
  return all;
}

void
node_upstreams_free (node_upstreams_t *all)
{
  g_atomic_int_set (&all->is_over, 1);
  g_thread_join (all->announcer);
  for (int i = 0; i < UPSTREAMS; i++)
    {
      g_thread_join (all->upstreams[i].thread);
      g_free (all->upstreams[i].address);
    }
  while (g_atomic_int_get (&all->connections) > 0)
    cluster_sleep_ms (LOOK_MS);
  g_hash_table_destroy (all->runs);
  g_mutex_clear (&all->lock);
  g_free (all);
}
