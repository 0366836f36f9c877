/* Serves the requests that come to the upstreams of lib-node-upstreams.h. */
#include <stdlib.h>
#include <string.h>

#include "lib-node-upstreams-internal.h"
#include "lib-node-work.h"

#define RECEIVE_MS  20000
#define BATCH_BYTES (16u * 1024)
#define MAX_PAUSE_S 8

/** The run of a stream. */
typedef struct
{
  const node_served_t *served;
  node_work_t work;
  bool is_first;   /* run of the request */
  GString *events; /* that are ready to be sent */
  GString *text;   /* to be sent */
} stream_t;

/** Records the begin of a run; returns its number, from 1. */
static uint32_t
record_begin (const node_served_t *served)
{
  node_upstreams_t *all = served->upstream->all;
  char *body = node_upstreams_request_body (served->id);
  node_run_t *run;
  uint32_t number;

  g_atomic_int_inc (&served->upstream->runs);
  g_mutex_lock (&all->lock);
  run = node_upstreams_record (all, served->id);
  number = ++run->runs;
  run->ended_us = 0;
  run->has_wrong_body
      = run->has_wrong_body || strcmp (served->request.body->str, body) != 0;
  g_mutex_unlock (&all->lock);
  g_free (body);
  return number;
}

static void
record_end (const node_served_t *served, bool is_sent)
{
  node_upstreams_t *all = served->upstream->all;
  node_run_t *run;

  g_mutex_lock (&all->lock);
  run = node_upstreams_record (all, served->id);
  run->ended_us = g_get_monotonic_time ();
  run->has_been_sent = run->has_been_sent || is_sent;
  g_mutex_unlock (&all->lock);
}

static void
record_break (const node_served_t *served)
{
  node_upstreams_t *all = served->upstream->all;

  g_mutex_lock (&all->lock);
  node_upstreams_record (all, served->id)->has_broken_off = true;
  g_mutex_unlock (&all->lock);
}

static bool
has_run (const node_served_t *served)
{
  return node_upstreams_find_run (served->upstream->all, served->id).runs > 0;
}

static bool
send_text (const node_served_t *served, const GString *text)
{
  return http_socket_send (served->socket, text->str, text->len);
}

/** Sends an answer without a body and without a signature. */
static bool
reject (const node_served_t *served, int status, int pause_s)
{
  GString *text = g_string_new (NULL);
  bool is_sent;

  g_string_printf (text,
                   "HTTP/1.1 %d Rejected\r\n" NODES_FIELD_ID
                   ": %s\r\n" NODES_FIELD_NOT_RUN ": 1\r\n",
                   status, served->id != NULL ? served->id : "-");
  if (pause_s > 0)
    g_string_append_printf (text, "Retry-After: %d\r\n", pause_s);
  g_string_append (text, "Content-Length: 0\r\n\r\n");
  is_sent = send_text (served, text);
  g_string_free (text, TRUE);
  return is_sent;
}

static void
append_head (GString *text, const node_served_t *served)
{
  g_string_append_printf (text,
                          "HTTP/1.1 200 OK\r\n" NODES_FIELD_ID
                          ": %s\r\n" NODES_FIELD_SIGNATURE ": s.1\r\n",
                          served->id);
  if (g_atomic_int_get (&served->upstream->is_leaving))
    g_string_append (text, "Server-Leaving: 1\r\n");
}

/** Works for a while; returns false if the connection ends before. */
static bool
work_for (const node_served_t *served, uint32_t ms)
{
  return ms == 0 || !http_socket_wait (served->socket, ms);
}

static bool
answer_call (const node_served_t *served, const node_work_t *work)
{
  GString *body = node_upstreams_answer_body (served->path, served->id);
  GString *text = g_string_new (NULL);
  bool is_sent = false;

  append_head (text, served);
  if (work->has_no_length)
    g_string_append (text, "Connection: close\r\n\r\n");
  else
    g_string_append_printf (text, "Content-Length: %zu\r\n\r\n", body->len);
  g_string_append (text, body->str);
  if (work_for (served, work->delay_ms))
    is_sent = send_text (served, text);
  g_string_free (body, TRUE);
  g_string_free (text, TRUE);
  return is_sent;
}

/** Moves the events that are ready into what is sent next. */
static void
append_events (stream_t *stream)
{
  GString *events = stream->events;

  if (events->len == 0)
    return;
  if (stream->work.has_no_length)
    g_string_append_len (stream->text, events->str, (gssize)events->len);
  else
    g_string_append_printf (stream->text, "%zx\r\n%s\r\n", events->len,
                            events->str);
  g_string_truncate (events, 0);
}

static bool
send_events (stream_t *stream)
{
  bool is_sent;

  append_events (stream);
  is_sent = send_text (stream->served, stream->text);
  g_string_truncate (stream->text, 0);
  return is_sent;
}

/** Sends the first half of an event; the connection ends after it. */
static void
break_off (stream_t *stream, uint32_t number)
{
  node_work_append_event (stream->events, &stream->work, number);
  append_events (stream);
  g_string_truncate (stream->text, stream->text->len / 2);
  send_text (stream->served, stream->text);
  record_break (stream->served);
}

/** Returns the number of the last event that the caller has. */
static uint32_t
last_event (const node_served_t *served)
{
  char *text = http_message_field (&served->request, "Last-Event-Id");
  uint32_t number = text != NULL ? (uint32_t)strtoul (text, NULL, 10) : 0;

  g_free (text);
  return number;
}

static void
begin_stream (stream_t *stream)
{
  append_head (stream->text, stream->served);
  g_string_append (stream->text, "Content-Type: text/event-stream\r\n");
  g_string_append (stream->text, stream->work.has_no_length
                                     ? "Connection: close\r\n\r\n"
                                     : "Transfer-Encoding: chunked\r\n\r\n");
}

/** Sends one event, or several at once if there is no pause between them;
 * returns false if the connection has ended. */
static bool
send_event (stream_t *stream, uint32_t number)
{
  const node_work_t *work = &stream->work;

  if (stream->is_first && work->break_after > 0 && number > work->break_after)
    {
      break_off (stream, number);
      return false;
    }
  node_work_append_event (stream->events, work, number);
  if (work->delay_ms == 0 && stream->events->len < BATCH_BYTES)
    return true;
  if (!send_events (stream))
    return false;
  if (stream->is_first && number == work->silence_after
      && !work_for (stream->served, work->silence_ms))
    return false;
  return work_for (stream->served, work->delay_ms);
}

static bool
answer_stream (const node_served_t *served,
               const node_work_t *work,
               bool is_first)
{
  stream_t stream = { .served = served,
                      .work = *work,
                      .is_first = is_first,
                      .events = g_string_new (NULL),
                      .text = g_string_new (NULL) };
  bool is_sent = true;

  begin_stream (&stream);
  for (uint32_t i = last_event (served) + 1; i <= work->events && is_sent; i++)
    is_sent = send_event (&stream, i);
  if (is_sent)
    {
      append_events (&stream);
      if (!work->has_no_length)
        g_string_append (stream.text, "0\r\n\r\n");
      is_sent = send_text (served, stream.text);
    }
  g_string_free (stream.text, TRUE);
  g_string_free (stream.events, TRUE);
  return is_sent;
}

/** Answers a request; returns false if the connection has ended. */
static bool
answer (const node_served_t *served)
{
  node_work_t work = node_work_parse (served->path);
  int64_t pause_ms = work.busy_until_ms - g_get_monotonic_time () / 1000;
  uint32_t number;
  bool is_sent;

  if (pause_ms > 0)
    return reject (served, 503,
                   (int)CLAMP (pause_ms / 1000 + 1, 1, MAX_PAUSE_S));
  if (work.is_alone && has_run (served))
    return reject (served, 503, 0);
  number = record_begin (served);
  node_orders_count_use (served);
  is_sent = work.is_stream ? answer_stream (served, &work, number == 1)
                           : answer_call (served, &work);
  record_end (served, is_sent);
  return is_sent && !work.has_no_length;
}

static bool
is_for_another (const node_served_t *served)
{
  char *wanted = http_message_field (&served->request, NODES_FIELD_UPSTREAM);
  bool is_other = wanted != NULL && strcmp (wanted, served->upstream->id) != 0;

  g_free (wanted);
  return is_other;
}

static bool
serve_request (node_served_t *served)
{
  char **words = g_strsplit (served->request.head, " ", 3);
  bool goes_on;

  served->id = http_message_field (&served->request, NODES_FIELD_ID);
  served->path = g_strdup (words[1]);
  if (strcmp (served->path, "/order") == 0)
    goes_on = node_orders_serve (served);
  else if (served->id == NULL || is_for_another (served))
    goes_on = reject (served, 421, 0);
  else
    goes_on = answer (served);
  g_strfreev (words);
  g_clear_pointer (&served->id, g_free);
  g_clear_pointer (&served->path, g_free);
  return goes_on;
}

static gpointer
serve (gpointer context)
{
  node_served_t *served = context;
  bool goes_on = true;

  while (goes_on && !node_upstreams_is_over (served->upstream->all))
    {
      if (!http_socket_wait (served->socket, NODE_UPSTREAMS_LOOK_MS))
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

void
node_serve_connection (node_upstream_t *upstream, int fd)
{
  node_served_t *served = g_new0 (node_served_t, 1);

  served->upstream = upstream;
  served->socket = http_socket_new (fd);
  g_atomic_int_inc (&upstream->all->connections);
  g_thread_unref (g_thread_new ("serve", serve, served));
}
