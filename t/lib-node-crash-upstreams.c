#include "lib-node-crash-upstreams.h"

#include <event2/util.h>
#include <netinet/in.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "lib-http-socket.h"

#define LISTEN_BACKLOG 256
#define LOOK_MS        10
#define ANNOUNCE_MS    500
#define RECEIVE_MS     20000
/** Time from the begin of a run to the crash, or to a part of the answer and
 * from there to the crash. */
#define CRASH_MS 8
/** Machines on which upstreams run, after the entry instances. A multiple of
 * the number of zones, so that each zone has as many upstreams. */
#define MACHINES 6

typedef struct upstream upstream_t;

/** One incarnation of an upstream. It is kept until the end of the test. */
typedef struct
{
  upstream_t *upstream;
  char id[24];
  char *address;
  int64_t born_ms;
  int listener;
  GArray *sockets;                 /* int, of the open connections */
  int running[CRASH_REQUESTS_MAX]; /* runs of crashing requests */
  int sound_runs;                  /* that go on */
  bool has_ended;
  gint is_leaving;
  int sequence; /* of its announcements; used by the announcer only */
  bool said_leaving;
} incarnation_t;

struct upstream
{
  crash_upstreams_t *all;
  int index;
  int incarnations;
  incarnation_t *current;
  GThread *thread;
  GThread *announcer;
};

struct crash_upstreams
{
  crash_upstreams_options_t options;
  upstream_t upstreams[CRASH_UPSTREAMS_MAX];
  GMutex lock; /* for all that follows, and for incarnations */
  GPtrArray *incarnations;
  GArray *runs;
  GArray *crashes;
  int cut_runs;
  gint connections; /* threads that serve one */
  gint is_over;
};

/** A connection to an incarnation. */
typedef struct
{
  incarnation_t *incarnation;
  http_socket_t *socket;
  http_message_t request;
} served_t;

static bool
is_over (crash_upstreams_t *all)
{
  return g_atomic_int_get (&all->is_over) != 0;
}

static bool
has_ended (incarnation_t *incarnation)
{
  crash_upstreams_t *all = incarnation->upstream->all;
  bool value;

  g_mutex_lock (&all->lock);
  value = incarnation->has_ended;
  g_mutex_unlock (&all->lock);
  return value;
}

static void
append_event (GArray *events, int request, const char *id)
{
  crash_event_t event
      = { .request = request, .time_us = g_get_monotonic_time () };

  g_strlcpy (event.id, id, sizeof event.id);
  g_array_append_val (events, event);
}

/** Closes the listener and the connections; the lock is held. The threads that
 * use the sockets free them. */
static void
end_incarnation (incarnation_t *incarnation)
{
  incarnation->has_ended = true;
  shutdown (incarnation->listener, SHUT_RDWR);
  for (guint i = 0; i < incarnation->sockets->len; i++)
    shutdown (g_array_index (incarnation->sockets, int, i), SHUT_RDWR);
}

/** Crashes an incarnation, unless it has ended. The crash speaks against all
 * requests that run. */
static void
crash (incarnation_t *incarnation)
{
  crash_upstreams_t *all = incarnation->upstream->all;

  g_mutex_lock (&all->lock);
  if (!incarnation->has_ended)
    {
      end_incarnation (incarnation);
      for (int i = 0; i < CRASH_REQUESTS_MAX; i++)
        if (incarnation->running[i] > 0)
          append_event (all->crashes, i, "-");
    }
  g_mutex_unlock (&all->lock);
}

/** Records that a crashing request begins to run; returns false if its upstream
 * has ended. */
static bool
record_run (incarnation_t *incarnation, int request, const char *id)
{
  crash_upstreams_t *all = incarnation->upstream->all;
  bool is_begun;

  g_mutex_lock (&all->lock);
  is_begun = !incarnation->has_ended;
  if (is_begun)
    {
      append_event (all->runs, request, id);
      incarnation->running[request]++;
    }
  g_mutex_unlock (&all->lock);
  return is_begun;
}

static bool
is_same_request (const http_message_t *message, const crash_request_t *request)
{
  char *customer = http_message_field (message, NODES_FIELD_CUSTOMER);
  char *line = g_strdup_printf ("%s %s HTTP/", request->method, request->path);
  bool is_same = g_str_has_prefix (message->head, line)
                 && g_strcmp0 (customer, request->customer) == 0
                 && (request->body != NULL
                         ? g_string_equal (message->body, request->body)
                         : message->body->len == 0);

  g_free (line);
  g_free (customer);
  return is_same;
}

/** Returns the index of the crashing request that a message is, or -1. */
static int
find_crashing (const crash_upstreams_t *all, const http_message_t *message)
{
  for (int i = 0; i < all->options.crashing_count; i++)
    if (is_same_request (message, &all->options.crashing[i]))
      return i;
  return -1;
}

/** Sends the part of the answer that comes before the crash. */
static void
send_part (const served_t *served, const char *id)
{
  static const char body[] = "the first bytes of the answer";
  GString *text = g_string_new (NULL);

  g_string_printf (text,
                   "HTTP/1.1 200 OK\r\n" NODES_FIELD_ID
                   ": %s\r\n" NODES_FIELD_SIGNATURE ": s.1\r\n",
                   id);
  if (served->incarnation->upstream->all->options.point == CRASH_WITHIN_BODY)
    g_string_append_printf (text, "Content-Length: 1000\r\n\r\n%s", body);
  http_socket_send (served->socket, text->str, text->len);
  g_string_free (text, TRUE);
  cluster_sleep_ms (CRASH_MS);
}

static void
run_and_crash (const served_t *served, int request, const char *id)
{
  if (!record_run (served->incarnation, request, id))
    return;
  cluster_sleep_ms (CRASH_MS);
  if (served->incarnation->upstream->all->options.point != CRASH_BEFORE_HEAD)
    send_part (served, id);
  crash (served->incarnation);
}

/** Waits as long as the run takes; returns false if the connection ends. */
static bool
run_sound (const served_t *served)
{
  incarnation_t *incarnation = served->incarnation;
  crash_upstreams_t *all = incarnation->upstream->all;
  uint32_t delay_ms = 0;
  bool is_cut;

  sscanf (served->request.head, "%*s /safe/%u", &delay_ms);
  g_mutex_lock (&all->lock);
  incarnation->sound_runs++;
  g_mutex_unlock (&all->lock);
  is_cut = delay_ms > 0 && http_socket_wait (served->socket, delay_ms);
  g_mutex_lock (&all->lock);
  incarnation->sound_runs--;
  is_cut = is_cut || incarnation->has_ended;
  all->cut_runs += incarnation->has_ended;
  g_mutex_unlock (&all->lock);
  return !is_cut;
}

static bool
answer_sound (const served_t *served, const char *id)
{
  char *text;
  bool is_sent;

  if (!run_sound (served))
    return false;
  text = g_strdup_printf ("HTTP/1.1 200 OK\r\n" NODES_FIELD_ID
                          ": %s\r\n" NODES_FIELD_SIGNATURE
                          ": s.1\r\n%sContent-Length: %zu\r\n\r\n%s",
                          id,
                          g_atomic_int_get (&served->incarnation->is_leaving)
                              ? NODES_FIELD_LEAVING ": 1\r\n"
                              : "",
                          strlen (id), id);
  is_sent = http_socket_send (served->socket, text, strlen (text));
  g_free (text);
  return is_sent;
}

static bool
reject_misdirected (const served_t *served, const char *id)
{
  char *text = g_strdup_printf ("HTTP/1.1 421 Rejected\r\n" NODES_FIELD_ID
                                ": %s\r\n" NODES_FIELD_NOT_RUN
                                ": 1\r\nContent-Length: 0\r\n\r\n",
                                id);
  bool is_sent = http_socket_send (served->socket, text, strlen (text));

  g_free (text);
  return is_sent;
}

/** Serves a request; returns false if the connection has ended. */
static bool
serve_request (const served_t *served)
{
  char *id = http_message_field (&served->request, NODES_FIELD_ID);
  char *wanted = http_message_field (&served->request, NODES_FIELD_UPSTREAM);
  int request
      = find_crashing (served->incarnation->upstream->all, &served->request);
  bool goes_on = false;

  if (id == NULL || g_strcmp0 (wanted, served->incarnation->id) != 0)
    goes_on = reject_misdirected (served, id != NULL ? id : "-");
  else if (request >= 0)
    run_and_crash (served, request, id);
  else
    goes_on = answer_sound (served, id);
  g_free (id);
  g_free (wanted);
  return goes_on;
}

/** Closes a connection under the lock, so that end_incarnation() finds no
 * number of a socket that stands for another one by then. */
static void
close_connection (served_t *served)
{
  crash_upstreams_t *all = served->incarnation->upstream->all;
  GArray *sockets = served->incarnation->sockets;

  g_mutex_lock (&all->lock);
  for (guint i = 0; i < sockets->len; i++)
    if (g_array_index (sockets, int, i) == served->socket->fd)
      {
        g_array_remove_index_fast (sockets, i);
        break;
      }
  http_socket_free (served->socket);
  g_mutex_unlock (&all->lock);
  g_free (served);
  g_atomic_int_add (&all->connections, -1);
}

static gpointer
serve (gpointer context)
{
  served_t *served = context;
  crash_upstreams_t *all = served->incarnation->upstream->all;
  bool goes_on = true;

  while (goes_on && !is_over (all) && !has_ended (served->incarnation))
    {
      int64_t until_us = g_get_monotonic_time () + (int64_t)RECEIVE_MS * 1000;

      if (!http_socket_wait (served->socket, LOOK_MS))
        continue;
      goes_on = http_socket_receive (served->socket, until_us, &served->request)
                && serve_request (served);
      http_message_clear (&served->request);
    }
  close_connection (served);
  return NULL;
}

static void
serve_connection (incarnation_t *incarnation, int fd)
{
  crash_upstreams_t *all = incarnation->upstream->all;
  served_t *served = g_new0 (served_t, 1);

  served->incarnation = incarnation;
  served->socket = http_socket_new (fd);
  g_mutex_lock (&all->lock);
  g_array_append_val (incarnation->sockets, fd);
  if (incarnation->has_ended)
    shutdown (fd, SHUT_RDWR);
  g_atomic_int_inc (&all->connections);
  g_mutex_unlock (&all->lock);
  g_thread_unref (g_thread_new ("serve", serve, served));
}

/** Listens at any free port of a machine, and returns its address. */
static int
open_listener (const char *ip, char **address)
{
  struct sockaddr_in own = { .sin_family = AF_INET };
  socklen_t size = sizeof own;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

  evutil_inet_pton (AF_INET, ip, &own.sin_addr);
  g_assert_cmpint (bind (fd, (struct sockaddr *)&own, size), ==, 0);
  g_assert_cmpint (listen (fd, LISTEN_BACKLOG), ==, 0);
  g_assert_cmpint (getsockname (fd, (struct sockaddr *)&own, &size), ==, 0);
  *address = g_strdup_printf ("%s:%d", ip, ntohs (own.sin_port));
  return fd;
}

static void
begin_incarnation (upstream_t *upstream)
{
  crash_upstreams_t *all = upstream->all;
  const nodes_t *nodes = all->options.nodes;
  int machine = NODES_ENTRY + nodes->entries + upstream->index % MACHINES;
  incarnation_t *incarnation = g_new0 (incarnation_t, 1);

  incarnation->upstream = upstream;
  snprintf (incarnation->id, sizeof incarnation->id, "u-%d-%d", upstream->index,
            ++upstream->incarnations);
  incarnation->born_ms = g_get_real_time () / 1000;
  incarnation->sockets = g_array_new (FALSE, FALSE, sizeof (int));
  incarnation->listener
      = open_listener (nodes->ip[machine], &incarnation->address);
  g_mutex_lock (&all->lock);
  g_ptr_array_add (all->incarnations, incarnation);
  upstream->current = incarnation;
  g_mutex_unlock (&all->lock);
}

static void
accept_connections (incarnation_t *incarnation)
{
  http_socket_t *listener = http_socket_new (incarnation->listener);

  while (!is_over (incarnation->upstream->all) && !has_ended (incarnation))
    {
      int fd;

      if (!http_socket_wait (listener, LOOK_MS))
        continue;
      fd = accept4 (incarnation->listener, NULL, NULL, SOCK_CLOEXEC);
      if (fd >= 0)
        serve_connection (incarnation, fd);
    }
  g_mutex_lock (&incarnation->upstream->all->lock);
  incarnation->listener = -1;
  http_socket_free (listener);
  g_mutex_unlock (&incarnation->upstream->all->lock);
}

static gpointer
run_upstream (gpointer context)
{
  upstream_t *upstream = context;

  while (!is_over (upstream->all))
    {
      accept_connections (upstream->current);
      if (is_over (upstream->all))
        break;
      cluster_sleep_ms (upstream->all->options.restart_ms);
      begin_incarnation (upstream);
    }
  return NULL;
}

static void
announce (incarnation_t *incarnation, bool is_leaving)
{
  const crash_upstreams_options_t *options
      = &incarnation->upstream->all->options;
  nodes_announcement_t announcement = { .id = incarnation->id,
                                        .service = "s",
                                        .address = incarnation->address,
                                        .slots = options->slots,
                                        .sequence = ++incarnation->sequence,
                                        .born_ms = incarnation->born_ms,
                                        .is_leaving = is_leaving };

  incarnation->said_leaving = is_leaving;
  nodes_announce (options->nodes, incarnation->upstream->index % NODES_CONTROLS,
                  &announcement);
}

static incarnation_t *
find_current (upstream_t *upstream)
{
  incarnation_t *current;

  g_mutex_lock (&upstream->all->lock);
  current = upstream->current->has_ended ? NULL : upstream->current;
  g_mutex_unlock (&upstream->all->lock);
  return current;
}

/** Announces an upstream regularly, and each change at once. */
static gpointer
run_announcer (gpointer context)
{
  upstream_t *upstream = context;
  int64_t next_us = 0;

  while (!is_over (upstream->all))
    {
      incarnation_t *current = find_current (upstream);
      int64_t now_us = g_get_monotonic_time ();

      if (current != NULL)
        {
          bool is_leaving = g_atomic_int_get (&current->is_leaving) != 0;

          if (now_us >= next_us || current->sequence == 0
              || is_leaving != current->said_leaving)
            {
              announce (current, is_leaving);
              next_us = now_us + ANNOUNCE_MS * 1000;
            }
        }
      cluster_sleep_ms (LOOK_MS);
    }
  return NULL;
}

static void
free_incarnation (gpointer data)
{
  incarnation_t *incarnation = data;

  g_array_unref (incarnation->sockets);
  g_free (incarnation->address);
  g_free (incarnation);
}

crash_upstreams_t *
crash_upstreams_new (const crash_upstreams_options_t *options)
{
  crash_upstreams_t *all = g_new0 (crash_upstreams_t, 1);

  g_assert_cmpint (options->count, <=, CRASH_UPSTREAMS_MAX);
  g_assert_cmpint (options->crashing_count, <=, CRASH_REQUESTS_MAX);
  all->options = *options;
  all->incarnations = g_ptr_array_new_with_free_func (free_incarnation);
  all->runs = g_array_new (FALSE, FALSE, sizeof (crash_event_t));
  all->crashes = g_array_new (FALSE, FALSE, sizeof (crash_event_t));
  g_mutex_init (&all->lock);
  for (int i = 0; i < options->count; i++)
    {
      upstream_t *upstream = &all->upstreams[i];

      upstream->all = all;
      upstream->index = i;
      begin_incarnation (upstream);
      upstream->thread = g_thread_new ("upstream", run_upstream, upstream);
      upstream->announcer = g_thread_new ("announce", run_announcer, upstream);
    }
  return all;
}

void
crash_upstreams_free (crash_upstreams_t *all)
{
  g_atomic_int_set (&all->is_over, 1);
  for (int i = 0; i < all->options.count; i++)
    {
      g_thread_join (all->upstreams[i].thread);
      g_thread_join (all->upstreams[i].announcer);
    }
  g_mutex_lock (&all->lock);
  for (guint i = 0; i < all->incarnations->len; i++)
    end_incarnation (g_ptr_array_index (all->incarnations, i));
  g_mutex_unlock (&all->lock);
  while (g_atomic_int_get (&all->connections) > 0)
    cluster_sleep_ms (LOOK_MS);
  g_ptr_array_unref (all->incarnations);
  g_array_unref (all->runs);
  g_array_unref (all->crashes);
  g_mutex_clear (&all->lock);
  g_free (all);
}

static GArray *
copy_events (crash_upstreams_t *all, GArray *events)
{
  GArray *copy;

  g_mutex_lock (&all->lock);
  copy = g_array_copy (events);
  g_mutex_unlock (&all->lock);
  return copy;
}

GArray *
crash_upstreams_runs (crash_upstreams_t *all)
{
  return copy_events (all, all->runs);
}

GArray *
crash_upstreams_crashes (crash_upstreams_t *all)
{
  return copy_events (all, all->crashes);
}

int
crash_upstreams_cut_runs (crash_upstreams_t *all)
{
  int count;

  g_mutex_lock (&all->lock);
  count = all->cut_runs;
  g_mutex_unlock (&all->lock);
  return count;
}

bool
crash_upstreams_crash (crash_upstreams_t *all, int index)
{
  incarnation_t *current = find_current (&all->upstreams[index]);
  bool has_runs = false;

  if (current == NULL)
    return false;
  g_mutex_lock (&all->lock);
  has_runs = current->sound_runs > 0;
  if (has_runs)
    end_incarnation (current);
  g_mutex_unlock (&all->lock);
  return has_runs;
}

void
crash_upstreams_leave (crash_upstreams_t *all, int index)
{
  incarnation_t *current = find_current (&all->upstreams[index]);

  if (current != NULL)
    g_atomic_int_set (&current->is_leaving, 1);
}

void
crash_upstreams_close (crash_upstreams_t *all, int index)
{
  incarnation_t *current = find_current (&all->upstreams[index]);

  if (current == NULL)
    return;
  g_mutex_lock (&all->lock);
  if (!current->has_ended)
    end_incarnation (current);
  g_mutex_unlock (&all->lock);
}
