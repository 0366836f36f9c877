#include "http-connection.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <glib.h>
#include <string.h>
#include <sys/socket.h>
#include <talloc.h>

#include "base.h"
#define LOG_PART "http"
#include "logging.h"

#define MS_PER_S 1000u
/** How long a connection is read after evhttp has freed it. */
#define LINGER_MS 2000
/** A client that sends or reads nothing for this long is slow, and so is one
 * that stays below the rate on average after the grace time. */
#define RECEIVE_SILENCE_MS 20000
#define RECEIVE_GRACE_MS   30000
#define SEND_SILENCE_MS    60000
#define SEND_GRACE_MS      60000
#define MIN_BYTES_S        1024
/** While others wait to be accepted, a connection without progress for this
 * long is closed; one on which no request has begun, after a longer time. */
#define STALLED_MS 250
#define IDLE_MS    1000
/** Idle time counts this much less. */
#define IDLE_SHARE 8
/** A field of a head is removed from the input in two steps, and then takes
 * some 130 bytes whatever its length. */
#define REMOVAL_BYTES   64
#define MIN_FIELD_BYTES 4
/** What the input may hold beyond one request: a part of the next one. */
#define INPUT_SLACK_BYTES (256u * 1024)

typedef enum
{
  PHASE_IDLE,      /* between requests */
  PHASE_RECEIVING, /* a request has begun to arrive */
  PHASE_HANDLED,   /* the request is whole and nothing of its answer waits */
  PHASE_ANSWERING, /* the client has to take bytes of an answer */
  PHASE_ENDED,     /* evhttp has freed the connection */
} phase_t;

struct http_connection
{
  const http_connection_options_t *options;
  struct bufferevent *stream; /* a reference */
  memory_holder_t *holder;
  uint64_t accepted_ms;
  uint64_t progress_ms;     /* when a byte came or was taken last */
  uint64_t request_ms;      /* when the request began to arrive, 0: not yet */
  uint64_t received_bytes;  /* of the request */
  uint64_t consumed_bytes;  /* of the request, moved out of the input */
  uint64_t removals;        /* steps in which they were moved */
  uint64_t answer_ms;       /* since when the output is not empty, 0: it is */
  uint64_t taken_bytes;     /* written since then */
  uint64_t linger_until_ms; /* 0 until evhttp has freed the connection */
  bool is_handled;
  bool has_ended; /* to be freed */
  http_close_t reason;
};

static const char *const reason_names[HTTP_CLOSE_COUNT] = {
  [HTTP_CLOSE_MEMORY] = "memory",
  [HTTP_CLOSE_TOO_LARGE] = "too_large",
  [HTTP_CLOSE_SLOW_REQUEST] = "slow_request",
  [HTTP_CLOSE_SLOW_READER] = "slow_reader",
  [HTTP_CLOSE_LIMIT] = "connection_limit",
};

/** Answers to requests that have not arrived whole, and so have not run. */
static const char *const refusals[HTTP_CLOSE_COUNT] = {
  [HTTP_CLOSE_MEMORY] = "HTTP/1.1 503 Service Unavailable\r\n",
  [HTTP_CLOSE_TOO_LARGE] = "HTTP/1.1 413 Request Entity Too Large\r\n",
  [HTTP_CLOSE_SLOW_REQUEST] = "HTTP/1.1 408 Request Timeout\r\n",
  [HTTP_CLOSE_LIMIT] = "HTTP/1.1 503 Service Unavailable\r\n",
};

const char *
http_close_name (http_close_t reason)
{
  return reason_names[reason];
}

struct bufferevent *
http_connection_stream (const http_connection_t *connection)
{
  return connection->stream;
}

void
http_connection_handle (http_connection_t *connection)
{
  connection->is_handled = true;
}

/** Returns whether evhttp reads a request from the connection. */
static bool
is_reading (const http_connection_t *connection)
{
  bufferevent_data_cb read_cb;

  bufferevent_getcb (connection->stream, &read_cb, NULL, NULL, NULL);
  return read_cb != NULL
         && (bufferevent_get_enabled (connection->stream) & EV_READ) != 0;
}

/** Returns whether evhttp has freed the connection, which removes the
 * callbacks. */
static bool
is_freed (const http_connection_t *connection)
{
  bufferevent_event_cb event_cb;

  bufferevent_getcb (connection->stream, NULL, NULL, &event_cb, NULL);
  return event_cb == NULL || connection->linger_until_ms > 0;
}

static size_t
input_bytes (const http_connection_t *connection)
{
  return evbuffer_get_length (bufferevent_get_input (connection->stream));
}

static size_t
output_bytes (const http_connection_t *connection)
{
  return evbuffer_get_length (bufferevent_get_output (connection->stream));
}

/** Forgets a request that was answered. */
static void
begin_next_request (http_connection_t *connection, uint64_t now_ms)
{
  connection->is_handled = false;
  connection->consumed_bytes = 0;
  connection->removals = 0;
  connection->received_bytes = input_bytes (connection);
  connection->request_ms = connection->received_bytes > 0 ? now_ms : 0;
}

static phase_t
find_phase (http_connection_t *connection, uint64_t now_ms)
{
  if (is_freed (connection))
    return PHASE_ENDED;
  if (output_bytes (connection) > 0)
    return PHASE_ANSWERING;
  if (connection->is_handled && is_reading (connection))
    begin_next_request (connection, now_ms);
  if (connection->is_handled)
    return PHASE_HANDLED;
  return connection->request_ms > 0 ? PHASE_RECEIVING : PHASE_IDLE;
}

/** Returns what the request takes that evhttp has read so far. */
static uint64_t
request_bytes (const http_connection_t *connection)
{
  const http_connection_options_t *options = connection->options;
  uint64_t max_bytes = options->max_head_bytes + options->max_body_bytes;
  uint64_t max_removals = 2 * options->max_head_bytes / MIN_FIELD_BYTES;

  return MIN (connection->consumed_bytes, max_bytes)
         + MIN (connection->removals, max_removals) * REMOVAL_BYTES;
}

static void
mark_to_close (http_connection_t *connection, http_close_t reason)
{
  if (connection->reason != HTTP_CLOSE_NOT)
    return;
  connection->reason = reason;
  bufferevent_disable (connection->stream, EV_READ);
  event_active (connection->options->attention, EV_TIMEOUT, 0);
}

static void
on_reclaim (void *context)
{
  http_connection_t *connection = context;

  mark_to_close (connection, HTTP_CLOSE_MEMORY);
  memory_holder_set (connection->holder, 0, clock_mono_ms ());
}

static void
state_held_bytes (http_connection_t *connection, uint64_t now_ms)
{
  if (connection->reason != HTTP_CLOSE_NOT || connection->linger_until_ms > 0)
    return;
  memory_holder_set (connection->holder,
                     request_bytes (connection) + input_bytes (connection)
                         + output_bytes (connection),
                     now_ms);
}

static void
note_progress (http_connection_t *connection, uint64_t now_ms)
{
  connection->progress_ms = now_ms;
  memory_holder_progress (connection->holder, now_ms);
}

static void
count_received (http_connection_t *connection, size_t bytes, uint64_t now_ms)
{
  const http_connection_options_t *options = connection->options;

  if (connection->request_ms == 0)
    connection->request_ms = now_ms;
  connection->received_bytes += bytes;
  note_progress (connection, now_ms);
  if (input_bytes (connection)
      > options->max_head_bytes + options->max_body_bytes + INPUT_SLACK_BYTES)
    mark_to_close (connection, HTTP_CLOSE_TOO_LARGE);
}

static void
on_input_changed (struct evbuffer *input,
                  const struct evbuffer_cb_info *change,
                  void *context)
{
  http_connection_t *connection = context;
  uint64_t now_ms = clock_mono_ms ();

  if (connection->linger_until_ms > 0)
    return;
  if (is_freed (connection))
    {
      bufferevent_disable (connection->stream, EV_READ);
      event_active (connection->options->attention, EV_TIMEOUT, 0);
      return;
    }
  if (connection->is_handled && is_reading (connection))
    begin_next_request (connection, now_ms);
  connection->consumed_bytes += change->n_deleted;
  connection->removals += change->n_deleted > 0;
  if (change->n_added > 0)
    count_received (connection, change->n_added, now_ms);
  state_held_bytes (connection, now_ms);
}

static void
on_output_changed (struct evbuffer *output,
                   const struct evbuffer_cb_info *change,
                   void *context)
{
  http_connection_t *connection = context;
  uint64_t now_ms = clock_mono_ms ();

  if (change->n_deleted > 0)
    note_progress (connection, now_ms);
  connection->taken_bytes += change->n_deleted;
  if (evbuffer_get_length (output) == 0)
    connection->answer_ms = 0;
  else if (connection->answer_ms == 0)
    {
      connection->answer_ms = now_ms;
      connection->taken_bytes = 0;
      note_progress (connection, now_ms);
    }
  state_held_bytes (connection, now_ms);
}

static int
free_connection (http_connection_t *connection)
{
  struct bufferevent *stream = connection->stream;

  evbuffer_remove_cb (bufferevent_get_input (stream), on_input_changed,
                      connection);
  evbuffer_remove_cb (bufferevent_get_output (stream), on_output_changed,
                      connection);
  if (connection->linger_until_ms > 0)
    bufferevent_setcb (stream, NULL, NULL, NULL, NULL);
  bufferevent_decref (stream);
  return 0;
}

static void
on_lingering_input (struct bufferevent *stream, void *context)
{
  struct evbuffer *input = bufferevent_get_input (stream);

  evbuffer_drain (input, evbuffer_get_length (input));
}

static void
end_lingering (http_connection_t *connection)
{
  connection->has_ended = true;
  bufferevent_disable (connection->stream, EV_READ);
  event_active (connection->options->attention, EV_TIMEOUT, 0);
}

static void
on_lingering_end (struct bufferevent *stream, short what, void *context)
{
  end_lingering (context);
}

/** Reads from a connection that evhttp has freed until its client closes it. */
static void
begin_lingering (http_connection_t *connection, uint64_t now_ms)
{
  struct bufferevent *stream = connection->stream;

  connection->linger_until_ms = now_ms + LINGER_MS;
  memory_holder_set (connection->holder, 0, now_ms);
  bufferevent_setwatermark (stream, EV_READ, 0, 0);
  bufferevent_set_timeouts (stream, NULL, NULL);
  bufferevent_setcb (stream, on_lingering_input, NULL, on_lingering_end,
                     connection);
  on_lingering_input (stream, connection);
  bufferevent_disable (stream, EV_WRITE);
  bufferevent_enable (stream, EV_READ);
}

/** Writes a refusal past the stream, which evhttp closes without an answer. */
static void
send_refusal (const http_connection_t *connection)
{
  const char *line = refusals[connection->reason];
  char *text;

  if (line == NULL || connection->options->tls != NULL)
    return;
  text = g_strdup_printf ("%sConnection: close\r\nContent-Length: 0\r\n\r\n",
                          line);
  if (send (bufferevent_getfd (connection->stream), text, strlen (text),
            MSG_DONTWAIT | MSG_NOSIGNAL)
      < 0)
    log_debug ("A refusal could not be sent.");
  g_free (text);
}

static void
log_close (const http_connection_t *connection, phase_t phase, uint64_t now_ms)
{
  static const char *const phase_names[]
      = { "idle", "receiving", "handled", "answering", "ended" };

  log_info ("Closed a connection of a client. reason=%s phase=%s "
            "received_bytes=%ju unsent_bytes=%zu silent_ms=%ju age_ms=%ju",
            reason_names[connection->reason], phase_names[phase],
            (uintmax_t)connection->received_bytes, output_bytes (connection),
            (uintmax_t)(now_ms - connection->progress_ms),
            (uintmax_t)(now_ms - connection->accepted_ms));
}

/** Makes evhttp close the connection as after a timeout, which is the same to
 * the request's handler as a client that has gone. */
static void
close_connection (http_connection_t *connection, uint64_t now_ms)
{
  phase_t phase = find_phase (connection, now_ms);
  bufferevent_event_cb event_cb;
  void *context;

  log_close (connection, phase, now_ms);
  if (phase == PHASE_RECEIVING)
    send_refusal (connection);
  bufferevent_getcb (connection->stream, NULL, NULL, &event_cb, &context);
  event_cb (connection->stream, BEV_EVENT_READING | BEV_EVENT_TIMEOUT, context);
}

/** Returns whether a client stayed below the least rate. */
static bool
is_slow (uint64_t since_ms, uint64_t grace_ms, uint64_t bytes, uint64_t now_ms)
{
  return now_ms > since_ms + grace_ms + bytes * MS_PER_S / MIN_BYTES_S;
}

void
http_connection_check_times (http_connection_t *connection, uint64_t now_ms)
{
  uint64_t silent_ms = now_ms - connection->progress_ms;
  phase_t phase = find_phase (connection, now_ms);

  if (phase == PHASE_RECEIVING
      && (silent_ms > RECEIVE_SILENCE_MS
          || is_slow (connection->request_ms, RECEIVE_GRACE_MS,
                      connection->received_bytes, now_ms)))
    mark_to_close (connection, HTTP_CLOSE_SLOW_REQUEST);
  else if (phase == PHASE_ANSWERING
           && (silent_ms > SEND_SILENCE_MS
               || is_slow (connection->answer_ms, SEND_GRACE_MS,
                           connection->taken_bytes, now_ms)))
    mark_to_close (connection, HTTP_CLOSE_SLOW_READER);
  else
    {
      state_held_bytes (connection, now_ms);
      return;
    }
  memory_account_count_slow (connection->options->account);
}

uint64_t
http_connection_stalled_ms (http_connection_t *connection, uint64_t now_ms)
{
  uint64_t silent_ms = now_ms - connection->progress_ms;
  phase_t phase = find_phase (connection, now_ms);
  bool is_idle = phase == PHASE_IDLE;

  if (connection->reason != HTTP_CLOSE_NOT || connection->has_ended
      || phase == PHASE_HANDLED || silent_ms < (is_idle ? IDLE_MS : STALLED_MS))
    return 0;
  return is_idle ? silent_ms / IDLE_SHARE : silent_ms;
}

void
http_connection_yield (http_connection_t *connection)
{
  if (connection->linger_until_ms == 0)
    mark_to_close (connection, HTTP_CLOSE_LIMIT);
  else
    end_lingering (connection);
}

bool
http_connection_attend (http_connection_t *connection,
                        uint64_t now_ms,
                        http_close_t *closed)
{
  *closed = HTTP_CLOSE_NOT;
  if (connection->reason != HTTP_CLOSE_NOT && !is_freed (connection))
    {
      *closed = connection->reason;
      close_connection (connection, now_ms);
    }
  if (connection->linger_until_ms == 0 && is_freed (connection))
    begin_lingering (connection, now_ms);
  return !connection->has_ended
         && (connection->linger_until_ms == 0
             || now_ms < connection->linger_until_ms);
}

static struct bufferevent *
new_stream (const http_connection_options_t *options)
{
  if (options->tls != NULL)
    return tls_server_bufferevent (options->tls, options->base);
  return bufferevent_socket_new (options->base, -1, BEV_OPT_CLOSE_ON_FREE);
}

http_connection_t *
http_connection_new (void *parent, const http_connection_options_t *options)
{
  http_connection_t *connection = talloc_zero (parent, http_connection_t);
  memory_holder_options_t holder
      = { .on_reclaim = on_reclaim, .context = connection };
  struct bufferevent *stream = new_stream (options);

  connection->options = options;
  connection->accepted_ms = connection->progress_ms = clock_mono_ms ();
  connection->stream = stream;
  bufferevent_incref (stream);
  connection->holder
      = memory_holder_new (connection, options->account, &holder);
  evbuffer_add_cb (bufferevent_get_input (stream), on_input_changed,
                   connection);
  evbuffer_add_cb (bufferevent_get_output (stream), on_output_changed,
                   connection);
  talloc_set_destructor (connection, free_connection);
  return connection;
}
