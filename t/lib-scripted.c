#include "lib-scripted.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <netinet/in.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

typedef struct
{
  scripted_t *upstream;
  bool answered;
  uint32_t answers;
  struct event *filler; /* timer of ACT_ENDLESS, or NULL */
  struct bufferevent *stream;
} connection_t;

#define MAX_UNSENT_BYTES (256 * 1024)

static void
free_connection (connection_t *connection)
{
  if (connection->filler != NULL)
    event_free (connection->filler);
  bufferevent_free (connection->stream);
  g_free (connection);
}

void
scripted_write (struct bufferevent *stream, const char *text)
{
  bufferevent_write (stream, text, strlen (text));
}

static void
write_events (struct bufferevent *stream, const char *request)
{
  const char *after = strstr (request, "X-After: ");
  int first = after != NULL ? atoi (after + strlen ("X-After: ")) + 1 : 1;

  for (int id = first; id <= 3; id++)
    {
      char event[32];
      char chunk[64];

      snprintf (event, sizeof event, "id: %d\ndata: x\n\n", id);
      snprintf (chunk, sizeof chunk, "%zx\r\n%s\r\n", strlen (event), event);
      scripted_write (stream, chunk);
    }
  scripted_write (stream, "0\r\n\r\n");
}

static void
on_filler (evutil_socket_t fd, short what, void *context)
{
  connection_t *connection = context;
  scripted_t *upstream = connection->upstream;
  struct evbuffer *out = bufferevent_get_output (connection->stream);

  while (evbuffer_get_length (out) < MAX_UNSENT_BYTES)
    {
      scripted_write (connection->stream, upstream->filler);
      upstream->filler_bytes += strlen (upstream->filler);
      if (upstream->interval_ms > 0)
        break;
    }
}

static void
start_filler (connection_t *connection)
{
  uint32_t interval_ms = MAX (connection->upstream->interval_ms, 1);
  struct timeval interval = { .tv_sec = interval_ms / 1000,
                              .tv_usec = (interval_ms % 1000) * 1000 };

  connection->filler = event_new (bufferevent_get_base (connection->stream), -1,
                                  EV_PERSIST, on_filler, connection);
  event_add (connection->filler, &interval);
}

/** Answers with the id of the request, after the copy that is due. */
static void
send_after_copy (connection_t *connection, const char *request)
{
  const char *id = strstr (request, "X-Id: ");
  char *head = g_strdup_printf (
      "HTTP/1.1 200 OK\r\nX-Signed: 1\r\n%.*s\r\nContent-Length: 18\r\n\r\n"
      "id: 1\ndata: body\n\n",
      id != NULL ? (int)strcspn (id, "\r") : 0, id);

  if (connection->answers > 1)
    scripted_write (connection->stream, connection->upstream->text);
  scripted_write (connection->stream, head);
  connection->upstream->runs++;
  g_free (head);
}

static void
send_text (const scripted_t *upstream, struct bufferevent *stream)
{
  if (upstream->text_bytes > 0)
    bufferevent_write (stream, upstream->text, upstream->text_bytes);
  else
    scripted_write (stream, upstream->text);
}

static void
send_answer (connection_t *connection,
             struct bufferevent *stream,
             const char *request)
{
  static const char head[] = "HTTP/1.1 200 OK\r\nX-Signed: 1\r\n";

  connection->answered = connection->upstream->act != ACT_NO_ANSWER;
  connection->answers++;
  switch (connection->upstream->act)
    {
    case ACT_ANSWER:
      scripted_write (stream, head);
      scripted_write (stream, "Content-Length: 4\r\nX-Kept: v\r\n\r\nbody");
      break;
    case ACT_CLOSE:
      free_connection (connection);
      break;
    case ACT_NOT_RUN:
      scripted_write (stream, "HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\n"
                              "Content-Length: 0\r\n\r\n");
      break;
    case ACT_FAIL:
      scripted_write (stream, "HTTP/1.1 500 Sorry\r\nX-Signed: 1\r\n"
                              "Content-Length: 3\r\n\r\nbad");
      break;
    case ACT_FOREIGN:
      scripted_write (stream, head);
      scripted_write (stream, "X-Id: another\r\nContent-Length: 4\r\n\r\nelse");
      break;
    case ACT_EXTRA:
      scripted_write (stream, head);
      scripted_write (stream, "Content-Length: 4\r\n\r\nbodyHTTP/1.1 200 OK\r\n"
                              "X-Signed: 1\r\nContent-Length: 5\r\n\r\nextra");
      break;
    case ACT_STREAM:
      scripted_write (stream, head);
      scripted_write (stream, "Transfer-Encoding: chunked\r\n\r\n");
      write_events (stream, request);
      break;
    case ACT_STREAM_GAP:
      scripted_write (stream, head);
      scripted_write (stream, "Transfer-Encoding: chunked\r\n\r\n"
                              "1e\r\nid: 1\ndata: x\n\nid: 3\ndata: x\n\n\r\n");
      break;
    case ACT_STREAM_HELD:
      scripted_write (stream, head);
      scripted_write (stream, "Transfer-Encoding: chunked\r\n\r\n"
                              "f\r\nid: 1\ndata: x\n\n\r\n");
      connection->upstream->held = stream;
      break;
    case ACT_STREAM_CUT:
      scripted_write (stream, head);
      scripted_write (stream, "\r\nid: 1\ndata: x\n\nid: 2\nda");
      /* Reset the connection: a plain close would be the regular end of an
       * answer without a length. */
      setsockopt (bufferevent_getfd (stream), SOL_SOCKET, SO_LINGER,
                  &(struct linger){ .l_onoff = 1 }, sizeof (struct linger));
      bufferevent_flush (stream, EV_WRITE, BEV_FLUSH);
      break;
    case ACT_TEXT:
    case ACT_TEXT_CUT:
      send_text (connection->upstream, stream);
      break;
    case ACT_COPY:
      send_after_copy (connection, request);
      break;
    case ACT_ENDLESS:
      scripted_write (stream, connection->upstream->text);
      start_filler (connection);
      break;
    default:
      break;
    }
}

static void
on_written (struct bufferevent *stream, void *context)
{
  connection_t *connection = context;
  act_t act = connection->upstream->act;

  if ((act != ACT_STREAM_CUT && act != ACT_TEXT_CUT) || !connection->answered)
    return;
  free_connection (connection);
}

static void
on_request_bytes (struct bufferevent *stream, void *context)
{
  connection_t *connection = context;
  struct evbuffer *in = bufferevent_get_input (stream);
  size_t length = evbuffer_get_length (in);
  char *text = g_strndup ((char *)evbuffer_pullup (in, -1), length);
  const char *end = strstr (text, "\r\n\r\n");
  const char *has_length = strstr (text, "Content-Length: ");
  size_t body
      = has_length != NULL
            ? strtoul (has_length + strlen ("Content-Length: "), NULL, 10)
            : 0;

  if (end != NULL && length >= (size_t)(end - text) + 4 + body)
    {
      evbuffer_drain (in, length);
      connection->upstream->requests++;
      connection->upstream->latest = stream;
      g_string_assign (connection->upstream->last, text);
      send_answer (connection, stream, text);
    }
  g_free (text);
}

static void
on_connection_event (struct bufferevent *stream, short what, void *context)
{
  connection_t *connection = context;

  connection->upstream->closed += !connection->answered;
  connection->upstream->ended += connection->filler != NULL;
  free_connection (connection);
}

static void
on_accept_connection (struct evconnlistener *listener,
                      evutil_socket_t fd,
                      struct sockaddr *address,
                      int address_bytes,
                      void *context)
{
  connection_t *connection = g_new0 (connection_t, 1);
  struct bufferevent *stream = bufferevent_socket_new (
      evconnlistener_get_base (listener), fd, BEV_OPT_CLOSE_ON_FREE);

  connection->upstream = context;
  connection->upstream->connections++;
  connection->stream = stream;
  bufferevent_setcb (stream, on_request_bytes, on_written, on_connection_event,
                     connection);
  bufferevent_enable (stream, EV_READ | EV_WRITE);
}

/** Listens on a free loopback port and writes its address to @a text. */
static struct evconnlistener *
listen_on_free_port (struct event_base *base,
                     evconnlistener_cb on_accept,
                     void *context,
                     char text[32])
{
  struct sockaddr_in address = { .sin_family = AF_INET };
  socklen_t size = sizeof address;
  struct evconnlistener *listener;

  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  listener = evconnlistener_new_bind (
      base, on_accept, context, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, 16,
      (struct sockaddr *)&address, sizeof address);
  g_assert_nonnull (listener);
  getsockname (evconnlistener_get_fd (listener), (struct sockaddr *)&address,
               &size);
  snprintf (text, 32, "127.0.0.1:%u", ntohs (address.sin_port));
  return listener;
}

void
scripted_start (scripted_t *upstream, struct event_base *base)
{
  upstream->last = g_string_new (NULL);
  upstream->listener = listen_on_free_port (base, on_accept_connection,
                                            upstream, upstream->address);
}

static void
send_at_once (struct bufferevent *stream, const char *text)
{
  ssize_t sent = send (bufferevent_getfd (stream), text, strlen (text), 0);

  g_assert_cmpint (sent, ==, (ssize_t)strlen (text));
}

void
scripted_send_held (scripted_t *upstream)
{
  send_at_once (upstream->held, "f\r\nid: 2\ndata: x\n\n\r\n0\r\n\r\n");
}

void
scripted_send_latest (scripted_t *upstream, const char *text)
{
  send_at_once (upstream->latest, text);
}

void
scripted_stop (scripted_t *upstream)
{
  evconnlistener_free (upstream->listener);
  g_string_free (upstream->last, TRUE);
}
