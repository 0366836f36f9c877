#include "lib-node-callers.h"

#include <string.h>

#include "lib-http-socket.h"
#include "lib-node-callers-internal.h"

/** How long a caller waits beyond its deadline. */
#define PATIENCE_MS      500
#define RECONNECT_MS     30
#define MAX_DELAY_MS     3000
#define MAX_PIPELINED    3
#define PIECE_BYTES      2
#define MAX_PIECE_GAP_MS 1200
#define MAX_PAUSE_MS     8000
#define IDLE_LOOK_MS     100
#define MAX_THINK_MS     10
#define MAX_GAP_MS       250
#define SMALL_EVENT      40
#define MAX_SMALL_EVENTS 12
#define MIN_STREAM_MS    1000
#define MAX_STREAM_MS    7000
#define MAX_FAST_GAP_MS  10
#define MIN_MIXED_MS     100
#define MAX_MIXED_MS     8000
#define MIN_MIXED_GAP_MS 10
#define MAX_MIXED_GAP_MS 60
#define MIXED_PIECE_MS   400

/** How the body of a request is sent. */
typedef enum
{
  BODY_LENGTH,
  BODY_CHUNKS,
  BODY_SLOW_CHUNKS,
} body_style_t;

/** One caller, used by its thread only. */
typedef struct
{
  node_callers_t *all;
  caller_kind_t kind;
  int entry;             /* the entry instance that it calls, from 0 */
  http_socket_t *socket; /* NULL when it has no connection */
  GRand *random;
} caller_state_t;

/** Ids are unique in the process, as the upstreams' records are. */
static gint next_id = 0;

static bool
is_over (const caller_state_t *caller)
{
  return g_atomic_int_get (&caller->all->is_over) != 0;
}

static uint32_t
draw (caller_state_t *caller, uint32_t limit)
{
  return (uint32_t)g_rand_int_range (caller->random, 0, (gint32)limit);
}

static char *
draw_path (caller_state_t *caller)
{
  switch (draw (caller, 3))
    {
    case 0:
      return g_strdup_printf ("/safe/%u", draw (caller, MAX_DELAY_MS));
    case 1:
      return g_strdup_printf ("/unsafe/%u", draw (caller, MAX_DELAY_MS));
    default:
      return g_strdup_printf ("/stream/%u/%u/%u",
                              1 + draw (caller, MAX_SMALL_EVENTS), SMALL_EVENT,
                              1 + draw (caller, MAX_GAP_MS));
    }
}

static uint32_t
draw_between (caller_state_t *caller, uint32_t min, uint32_t max)
{
  return min + draw (caller, max - min);
}

static char *
write_stream_path (uint32_t length_ms, uint32_t gap_ms)
{
  return g_strdup_printf ("/stream/%u/%u/%u", length_ms / gap_ms, SMALL_EVENT,
                          gap_ms);
}

static char *
draw_long_stream (caller_state_t *caller)
{
  uint32_t gap_ms = 1 + draw (caller, MAX_FAST_GAP_MS);

  return write_stream_path (draw_between (caller, MIN_STREAM_MS, MAX_STREAM_MS),
                            gap_ms);
}

static uint32_t
draw_deadline (caller_state_t *caller)
{
  static const uint32_t deadlines_ms[]
      = { 1500, 3000, 5000, 8000, CALLERS_DEADLINE_MS, CALLERS_DEADLINE_MS };

  return deadlines_ms[draw (caller, G_N_ELEMENTS (deadlines_ms))];
}

/** Takes over the path. */
static caller_record_t *
new_record (caller_state_t *caller, char *path)
{
  caller_record_t *record = g_new0 (caller_record_t, 1);

  record->caller = caller->kind;
  record->entry = caller->entry;
  record->deadline_ms = caller->kind == CALLER_MIXED_STREAMS
                            ? draw_deadline (caller)
                            : CALLERS_DEADLINE_MS;
  record->id = g_strdup_printf ("c%06d", g_atomic_int_add (&next_id, 1));
  record->path = path;
  g_mutex_lock (&caller->all->lock);
  g_ptr_array_add (caller->all->records, record);
  g_mutex_unlock (&caller->all->lock);
  return record;
}

static void
append_head (GString *text,
             const caller_state_t *caller,
             const caller_record_t *record)
{
  g_string_append_printf (text,
                          "POST %s HTTP/1.1\r\nHost: %s\r\n" NODES_FIELD_ID
                          ": %s\r\n" NODES_FIELD_DEADLINE ": %u\r\n",
                          record->path, caller->all->host, record->id,
                          record->deadline_ms);
}

static void
append_whole_request (GString *text,
                      const caller_state_t *caller,
                      const caller_record_t *record,
                      body_style_t style)
{
  char *body = node_upstreams_request_body (record->id);

  append_head (text, caller, record);
  if (style == BODY_LENGTH)
    g_string_append_printf (text, "Content-Length: %zu\r\n\r\n%s",
                            strlen (body), body);
  else
    g_string_append_printf (
        text, "Transfer-Encoding: chunked\r\n\r\n%zx\r\n%s\r\n0\r\n\r\n",
        strlen (body), body);
  g_free (body);
}

/** Sends a body in small chunks, and stops early if an answer comes first.
 * Returns whether all of it was sent. */
static bool
send_slowly (caller_state_t *caller, const caller_record_t *record)
{
  char *body = node_upstreams_request_body (record->id);
  uint32_t max_gap_ms = caller->kind == CALLER_MIXED_STREAMS ? MIXED_PIECE_MS
                                                             : MAX_PIECE_GAP_MS;
  uint32_t gap_ms = 1 + draw (caller, max_gap_ms);
  GString *text = g_string_new (NULL);
  bool is_sent;

  append_head (text, caller, record);
  g_string_append (text, "Transfer-Encoding: chunked\r\n\r\n");
  is_sent = http_socket_send (caller->socket, text->str, text->len);
  for (const char *rest = body; *rest != '\0' && is_sent;
       rest += MIN (strlen (rest), PIECE_BYTES))
    {
      g_string_printf (text, "%zx\r\n%.*s\r\n",
                       MIN (strlen (rest), (size_t)PIECE_BYTES), PIECE_BYTES,
                       rest);
      is_sent = !http_socket_wait (caller->socket, gap_ms)
                && http_socket_send (caller->socket, text->str, text->len);
    }
  is_sent = is_sent && http_socket_send (caller->socket, "0\r\n\r\n", 5);
  g_string_free (text, TRUE);
  g_free (body);
  return is_sent;
}

static void
send_request (caller_state_t *caller,
              caller_record_t *record,
              body_style_t style)
{
  GString *text = g_string_new (NULL);
  bool is_sent;

  record->begun_us = g_get_monotonic_time ();
  if (style == BODY_SLOW_CHUNKS)
    is_sent = send_slowly (caller, record);
  else
    {
      append_whole_request (text, caller, record, style);
      is_sent = http_socket_send (caller->socket, text->str, text->len);
    }
  if (is_sent)
    record->sent_us = g_get_monotonic_time ();
  g_string_free (text, TRUE);
}

static bool
is_right_answer (const caller_record_t *record, const http_message_t *message)
{
  GString *body = node_upstreams_answer_body (record->path, record->id);
  char *id = http_message_field (message, NODES_FIELD_ID);
  char *signature = http_message_field (message, NODES_FIELD_SIGNATURE);
  bool is_right = signature != NULL && g_strcmp0 (id, record->id) == 0
                  && g_string_equal (body, message->body);

  g_string_free (body, TRUE);
  g_free (id);
  g_free (signature);
  return is_right;
}

static bool
is_last_answer (const http_message_t *message)
{
  char *connection = http_message_field (message, "Connection");
  bool is_last
      = connection != NULL && g_ascii_strcasecmp (connection, "close") == 0;

  g_free (connection);
  return is_last;
}

/** Receives the answer to a request. Returns whether another may follow on the
 * connection. */
static bool
receive_answer (caller_state_t *caller, caller_record_t *record)
{
  int64_t until_us = g_get_monotonic_time ()
                     + (int64_t)(record->deadline_ms + PATIENCE_MS) * 1000;
  http_message_t message;
  bool may_follow = false;

  http_socket_receive (caller->socket, until_us, &message);
  record->ended_us = g_get_monotonic_time ();
  record->status = message.status;
  record->is_whole = message.is_whole;
  record->got_bytes = message.body->len;
  if (message.is_whole)
    {
      record->is_right
          = message.status != 200 || is_right_answer (record, &message);
      may_follow = !is_last_answer (&message);
    }
  http_message_clear (&message);
  return may_follow;
}

static void
disconnect (caller_state_t *caller)
{
  http_socket_free (caller->socket);
  caller->socket = NULL;
}

static void
make_request (caller_state_t *caller, char *path, body_style_t style)
{
  caller_record_t *record = new_record (caller, path);

  send_request (caller, record, style);
  if (!receive_answer (caller, record))
    disconnect (caller);
}

static void
make_pipelined_requests (caller_state_t *caller)
{
  caller_record_t *records[MAX_PIPELINED];
  uint32_t count = 2 + draw (caller, MAX_PIPELINED - 1);
  GString *text = g_string_new (NULL);
  bool goes_on = true;

  for (uint32_t i = 0; i < count; i++)
    {
      records[i] = new_record (caller, draw_path (caller));
      records[i]->begun_us = g_get_monotonic_time ();
      append_whole_request (text, caller, records[i],
                            draw (caller, 2) == 0 ? BODY_LENGTH : BODY_CHUNKS);
    }
  if (http_socket_send (caller->socket, text->str, text->len))
    for (uint32_t i = 0; i < count; i++)
      records[i]->sent_us = g_get_monotonic_time ();
  for (uint32_t i = 0; i < count; i++)
    {
      if (goes_on)
        goes_on = receive_answer (caller, records[i]);
      else
        {
          records[i]->is_after_end
              = records[i - 1]->is_after_end || records[i - 1]->is_whole;
          records[i]->ended_us = g_get_monotonic_time ();
        }
    }
  if (!goes_on)
    disconnect (caller);
  g_string_free (text, TRUE);
}

static void
make_slow_stream (caller_state_t *caller)
{
  const slow_read_t *slow = &caller->all->options.slow;

  caller->socket->read_bytes = slow->read_bytes;
  caller->socket->pause_ms = slow->pause_ms;
  make_request (
      caller,
      g_strdup_printf ("/stream/%u/%u/0", slow->events, slow->event_bytes),
      BODY_LENGTH);
}

static void
make_mixed_stream (caller_state_t *caller)
{
  uint32_t gap_ms = draw_between (caller, MIN_MIXED_GAP_MS, MAX_MIXED_GAP_MS);
  uint32_t length_ms = draw_between (caller, MIN_MIXED_MS, MAX_MIXED_MS);

  make_request (caller, write_stream_path (length_ms, gap_ms),
                draw (caller, 4) == 0 ? BODY_SLOW_CHUNKS : BODY_LENGTH);
}

/** Makes a request, then keeps the connection until the other side closes it,
 * or at times makes another one. */
static void
make_rare_request (caller_state_t *caller)
{
  make_request (caller, g_strdup ("/unsafe/0"), BODY_LENGTH);
  while (caller->socket != NULL && !is_over (caller))
    {
      if (http_socket_wait (caller->socket, IDLE_LOOK_MS))
        disconnect (caller);
      else if (draw (caller, 20) == 0)
        make_request (caller, draw_path (caller), BODY_CHUNKS);
    }
}

static void
act (caller_state_t *caller)
{
  int64_t until_ms;

  switch (caller->kind)
    {
    case CALLER_STREAMS:
      make_request (caller, draw_long_stream (caller), BODY_LENGTH);
      break;
    case CALLER_PIPELINED:
      make_pipelined_requests (caller);
      break;
    case CALLER_CHUNKED:
      make_request (caller, draw_path (caller), BODY_SLOW_CHUNKS);
      break;
    case CALLER_PAUSED:
      until_ms = g_get_monotonic_time () / 1000 + draw (caller, MAX_PAUSE_MS);
      make_request (caller,
                    g_strdup_printf ("/paused/%" G_GINT64_FORMAT, until_ms),
                    BODY_LENGTH);
      break;
    case CALLER_IDLE:
      make_rare_request (caller);
      break;
    case CALLER_SLOW:
      make_slow_stream (caller);
      break;
    case CALLER_MIXED_STREAMS:
      make_mixed_stream (caller);
      break;
    default:
      make_request (caller, draw_path (caller),
                    draw (caller, 2) == 0 ? BODY_LENGTH : BODY_CHUNKS);
    }
}

/** Connects to the caller's instance. If that does not listen, the next one
 * becomes the caller's. */
static void
connect_caller (caller_state_t *caller)
{
  const nodes_t *nodes = caller->all->options.nodes;
  char *address = nodes_address (nodes, NODES_ENTRY + caller->entry, 3);

  caller->socket = http_socket_connect (address);
  if (caller->socket == NULL)
    caller->entry = (caller->entry + 1) % nodes->entries;
  g_free (address);
}

static gpointer
run_caller (gpointer context)
{
  caller_state_t *caller = context;
  bool is_once = caller->kind == CALLER_SLOW;

  while (!is_over (caller))
    {
      if (caller->socket == NULL)
        connect_caller (caller);
      if (caller->socket == NULL)
        {
          cluster_sleep_ms (RECONNECT_MS);
          continue;
        }
      act (caller);
      if (is_once)
        break;
      cluster_sleep_ms (draw (caller, MAX_THINK_MS));
    }
  disconnect (caller);
  g_rand_free (caller->random);
  g_free (caller);
  return NULL;
}

node_callers_t *
node_callers_new (const node_callers_options_t *options)
{
  node_callers_t *all = g_new0 (node_callers_t, 1);

  all->options = *options;
  all->host = g_strdup (options->nodes->ip[NODES_ENTRY]);
  all->threads = g_ptr_array_new ();
  all->records = g_ptr_array_new ();
  g_mutex_init (&all->lock);
  return all;
}

void
node_callers_add (node_callers_t *all, caller_kind_t kind, uint32_t count)
{
  for (uint32_t i = 0; i < count; i++)
    {
      caller_state_t *caller = g_new0 (caller_state_t, 1);
      guint32 seeds[] = { all->options.seed, all->threads->len };

      caller->all = all;
      caller->kind = kind;
      caller->entry
          = (int)(all->threads->len % (guint)all->options.nodes->entries);
      caller->random = g_rand_new_with_seed_array (seeds, G_N_ELEMENTS (seeds));
      g_ptr_array_add (all->threads,
                       g_thread_new ("caller", run_caller, caller));
    }
}

void
node_callers_finish (node_callers_t *all)
{
  g_atomic_int_set (&all->is_over, 1);
  for (guint i = 0; i < all->threads->len; i++)
    g_thread_join (g_ptr_array_index (all->threads, i));
  g_ptr_array_set_size (all->threads, 0);
}

void
node_callers_free (node_callers_t *all)
{
  for (guint i = 0; i < all->records->len; i++)
    {
      caller_record_t *record = g_ptr_array_index (all->records, i);

      g_free (record->id);
      g_free (record->path);
      g_free (record);
    }
  g_ptr_array_free (all->records, TRUE);
  g_ptr_array_free (all->threads, TRUE);
  g_mutex_clear (&all->lock);
  g_free (all->host);
  g_free (all);
}

/** Makes a request on a connection of its own; returns whether it is answered
 * with success. */
static bool
is_served (const nodes_t *nodes, const char *path)
{
  char *address = nodes_address (nodes, NODES_ENTRY, 3);
  char *id = g_strdup_printf ("c%06d", g_atomic_int_add (&next_id, 1));
  char *fields = g_strdup_printf (NODES_FIELD_ID ": %s\r\n", id);
  char *body = node_upstreams_request_body (id);
  answer_t answer = cluster_call_with (address, "POST", path, fields, body,
                                       CALLERS_DEADLINE_MS);
  bool is_success = answer.status == 200;

  cluster_answer_free (&answer);
  g_free (address);
  g_free (id);
  g_free (fields);
  g_free (body);
  return is_success;
}

void
node_callers_wait_served (const nodes_t *nodes, const char *path)
{
  CLUSTER_WAIT (is_served (nodes, path));
}
