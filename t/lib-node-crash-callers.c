#include "lib-node-crash-callers.h"

#include <stdio.h>
#include <string.h>

#include "lib-http-socket.h"

#define MAX_SERIES  8
#define LOOK_MS     10
#define DEADLINE_MS 5000
/** How long a caller waits beyond its deadline. */
#define PATIENCE_MS     1000
#define MAX_CHUNK_BYTES 65536

typedef struct
{
  crash_callers_t *all;
  int index;
  const crash_request_t *requests;
  int count;
  uint32_t every_ms;
  GThread *thread;
} series_t;

struct crash_callers
{
  const nodes_t *nodes;
  series_t series[MAX_SERIES];
  int series_count;
  GMutex lock;
  GArray *calls; /* crash_call_t */
  gint open;     /* calls without an answer */
  gint next;     /* number of the next call */
  gint is_over;
};

/** A call, used by its thread only. */
typedef struct
{
  crash_callers_t *all;
  const crash_request_t *request;
  int number; /* unique */
  int turn;   /* in its series */
  http_socket_t *socket;
  crash_call_t call;
} active_t;

static bool
is_over (crash_callers_t *all)
{
  return g_atomic_int_get (&all->is_over) != 0;
}

int
crash_callers_entry_of (const char *id)
{
  int entry = -1;

  sscanf (id, "call-%*d-%d", &entry);
  return entry;
}

/** Connects to the call's entry instance, or to the next one that listens. */
static void
connect_to_entry (active_t *active)
{
  const nodes_t *nodes = active->all->nodes;

  for (int i = 0; i < nodes->entries && active->socket == NULL; i++)
    {
      char *address;

      active->call.entry = (active->turn + i) % nodes->entries;
      address = nodes_address (nodes, NODES_ENTRY + active->call.entry, 3);
      active->socket = http_socket_connect (address);
      g_free (address);
    }
}

/** Returns whether a body is sent in chunks. One call of four sends it with its
 * length instead: it is the same request. */
static bool
sends_chunks (const active_t *active)
{
  return active->request->is_chunked && active->turn % 4 != 3;
}

static void
append_head (GString *text, const active_t *active)
{
  const crash_request_t *request = active->request;

  g_string_append_printf (text,
                          "%s %s HTTP/1.1\r\nHost: %s\r\n" NODES_FIELD_ID
                          ": %s\r\n" NODES_FIELD_DEADLINE ": %d\r\n",
                          request->method, request->path,
                          active->all->nodes->ip[NODES_ENTRY], active->call.id,
                          DEADLINE_MS);
  if (request->key != NULL)
    g_string_append_printf (text, NODES_FIELD_KEY ": %s\r\n", request->key);
  if (sends_chunks (active))
    g_string_append (text, "Transfer-Encoding: chunked\r\n");
  else if (request->body != NULL)
    g_string_append_printf (text, "Content-Length: %zu\r\n",
                            request->body->len);
  g_string_append (text, "\r\n");
}

/** Sends a body in chunks whose sizes differ from call to call. */
static void
send_chunks (active_t *active)
{
  const GString *body = active->request->body;
  GRand *random = g_rand_new_with_seed ((guint32)active->number);
  GString *text = g_string_new (NULL);
  bool is_sent = true;

  for (gsize at = 0; at < body->len && is_sent;)
    {
      gsize size = (gsize)g_rand_int_range (random, 1, MAX_CHUNK_BYTES);

      size = MIN (size, body->len - at);
      g_string_printf (text, "%zx\r\n", size);
      g_string_append_len (text, body->str + at, (gssize)size);
      g_string_append (text, "\r\n");
      is_sent = http_socket_send (active->socket, text->str, text->len);
      at += size;
    }
  if (is_sent)
    http_socket_send (active->socket, "0\r\n\r\n", 5);
  g_string_free (text, TRUE);
  g_rand_free (random);
}

static void
send_request (active_t *active)
{
  const crash_request_t *request = active->request;
  GString *text = g_string_new (NULL);

  append_head (text, active);
  if (request->body != NULL && !sends_chunks (active))
    g_string_append_len (text, request->body->str, (gssize)request->body->len);
  http_socket_send (active->socket, text->str, text->len);
  g_string_free (text, TRUE);
  if (sends_chunks (active))
    send_chunks (active);
}

static void
receive_answer (active_t *active)
{
  crash_call_t *call = &active->call;
  int64_t until_us
      = call->begun_us + (int64_t)(DEADLINE_MS + PATIENCE_MS) * 1000;
  http_message_t message;

  if (http_socket_receive (active->socket, until_us, &message))
    {
      char *again = http_message_field (&message, "Retry-After");

      call->status = message.status;
      call->is_served
          = message.status == 200 && strcmp (message.body->str, call->id) == 0;
      call->is_quarantined
          = message.status != 200
            && strstr (message.body->str, "\"quarantined\"") != NULL;
      call->has_retry_after = again != NULL;
      g_free (again);
    }
  http_message_clear (&message);
}

/** Makes the call and records its answer. */
static void
make_call (active_t *active)
{
  active->call.begun_us = g_get_monotonic_time ();
  connect_to_entry (active);
  snprintf (active->call.id, sizeof active->call.id, "call-%d-%d",
            active->number, active->call.entry);
  if (active->socket != NULL)
    {
      send_request (active);
      receive_answer (active);
    }
  active->call.ended_us = g_get_monotonic_time ();
  http_socket_free (active->socket);
}

static gpointer
run_call (gpointer context)
{
  active_t *active = context;
  crash_callers_t *all = active->all;

  make_call (active);
  g_mutex_lock (&all->lock);
  g_array_append_val (all->calls, active->call);
  g_mutex_unlock (&all->lock);
  g_free (active);
  g_atomic_int_add (&all->open, -1);
  return NULL;
}

crash_call_t
crash_callers_call (crash_callers_t *all,
                    const crash_request_t *request,
                    int entry)
{
  active_t active = { .all = all,
                      .request = request,
                      .number = g_atomic_int_add (&all->next, 1),
                      .turn = entry };

  make_call (&active);
  return active.call;
}

static void
start_call (series_t *series, int turn)
{
  crash_callers_t *all = series->all;
  active_t *active = g_new0 (active_t, 1);

  active->all = all;
  active->request = &series->requests[turn % series->count];
  active->number = g_atomic_int_add (&all->next, 1);
  active->turn = turn;
  active->call.series = series->index;
  g_atomic_int_inc (&all->open);
  g_thread_unref (g_thread_new ("call", run_call, active));
}

static gpointer
run_series (gpointer context)
{
  series_t *series = context;
  int64_t next_us = g_get_monotonic_time ();

  for (int turn = 0; !is_over (series->all); turn++)
    {
      start_call (series, turn);
      next_us += (int64_t)series->every_ms * 1000;
      while (g_get_monotonic_time () < next_us && !is_over (series->all))
        cluster_sleep_ms (MIN (LOOK_MS, series->every_ms));
    }
  return NULL;
}

crash_callers_t *
crash_callers_new (const nodes_t *nodes)
{
  crash_callers_t *all = g_new0 (crash_callers_t, 1);

  all->nodes = nodes;
  all->calls = g_array_new (FALSE, FALSE, sizeof (crash_call_t));
  g_mutex_init (&all->lock);
  return all;
}

int
crash_callers_add (crash_callers_t *all,
                   const crash_request_t *requests,
                   int count,
                   uint32_t every_ms)
{
  series_t *series = &all->series[all->series_count];

  g_assert_cmpint (all->series_count, <, MAX_SERIES);
  *series = (series_t){ .all = all,
                        .index = all->series_count++,
                        .requests = requests,
                        .count = count,
                        .every_ms = every_ms };
  series->thread = g_thread_new ("series", run_series, series);
  return series->index;
}

void
crash_callers_finish (crash_callers_t *all)
{
  g_atomic_int_set (&all->is_over, 1);
  for (int i = 0; i < all->series_count; i++)
    g_thread_join (all->series[i].thread);
  while (g_atomic_int_get (&all->open) > 0)
    cluster_sleep_ms (LOOK_MS);
}

void
crash_callers_free (crash_callers_t *all)
{
  g_array_unref (all->calls);
  g_mutex_clear (&all->lock);
  g_free (all);
}

GArray *
crash_callers_calls (crash_callers_t *all)
{
  GArray *copy;

  g_mutex_lock (&all->lock);
  copy = g_array_copy (all->calls);
  g_mutex_unlock (&all->lock);
  return copy;
}
