#include "lib-early-answer.h"

#include <errno.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <glib.h>
#include <netinet/in.h>
#include <stdbool.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base.h"
#include "lib-address.h"

#define MORE_INTERVAL_MS 20
#define READ_BYTES       (64u * 1024)

typedef struct
{
  early_answer_t *upstream;
  int fd;
  struct event *readable;
  struct event *timer;
  GString *head;        /* of the request, until it is complete */
  size_t request_bytes; /* that the head announces, its own included */
  size_t received_bytes;
  uint64_t end_ms; /* time of the end, 0 before the answer */
  bool is_ending;  /* the timer closes the connection */
} connection_t;

static void
free_connection (void *data)
{
  connection_t *connection = data;

  event_free (connection->readable);
  event_free (connection->timer);
  close (connection->fd);
  g_string_free (connection->head, TRUE);
  g_free (connection);
}

static void
close_connection (connection_t *connection)
{
  g_ptr_array_remove (connection->upstream->open, connection);
}

static void
reset_connection (connection_t *connection)
{
  struct linger linger = { .l_onoff = 1 };

  setsockopt (connection->fd, SOL_SOCKET, SO_LINGER, &linger, sizeof linger);
  close_connection (connection);
}

static void
send_text (const connection_t *connection, const char *text)
{
  /* The peer may have closed the connection. */
  send (connection->fd, text, strlen (text), MSG_NOSIGNAL);
}

/** Reads what has come. Returns false at the end of the connection. */
static bool
read_request (connection_t *connection)
{
  static char data[READ_BYTES];
  ssize_t size;

  while ((size = recv (connection->fd, data, sizeof data, 0)) > 0)
    connection->received_bytes += (size_t)size;
  connection->upstream->last_bytes = connection->received_bytes;
  return size < 0;
}

static bool
has_whole_request (const connection_t *connection)
{
  return connection->received_bytes >= connection->request_bytes;
}

static void
end_answer (connection_t *connection)
{
  struct timeval later = timeval_from_ms (MORE_INTERVAL_MS);

  switch (connection->upstream->end)
    {
    case EARLY_RESET:
      reset_connection (connection);
      break;
    case EARLY_CLOSE:
      close_connection (connection);
      break;
    case EARLY_READ_CLOSE:
      read_request (connection);
      close_connection (connection);
      break;
    case EARLY_READ_RESET:
      if (has_whole_request (connection))
        reset_connection (connection);
      else
        event_add (connection->readable, NULL);
      break;
    case EARLY_HALF_CLOSE:
      shutdown (connection->fd, SHUT_WR);
      event_add (connection->readable, NULL);
      break;
    case EARLY_HALF_STALL:
      shutdown (connection->fd, SHUT_WR);
      break;
    case EARLY_HALF_RESET:
      shutdown (connection->fd, SHUT_WR);
      connection->is_ending = true;
      event_add (connection->timer, &later);
      break;
    }
}

static void
on_timer (evutil_socket_t fd, short what, void *context)
{
  connection_t *connection = context;
  struct timeval interval = timeval_from_ms (MORE_INTERVAL_MS);

  if (connection->is_ending)
    {
      close_connection (connection);
      return;
    }
  if (connection->upstream->more == NULL
      || clock_mono_ms () >= connection->end_ms)
    {
      end_answer (connection);
      return;
    }
  send_text (connection, connection->upstream->more);
  event_add (connection->timer, &interval);
}

static void
begin_answer (connection_t *connection)
{
  early_answer_t *upstream = connection->upstream;
  struct timeval wait = timeval_from_ms (
      upstream->more != NULL ? MORE_INTERVAL_MS : upstream->delay_ms);
  const char *length = strstr (connection->head->str, "Content-Length: ");

  upstream->requests++;
  connection->request_bytes = connection->head->len;
  if (length != NULL)
    connection->request_bytes
        += strtoul (length + strlen ("Content-Length: "), NULL, 10);
  connection->end_ms = clock_mono_ms () + upstream->delay_ms;
  event_del (connection->readable);
  send_text (connection, upstream->text);
  event_add (connection->timer, &wait);
}

/** Reads the head of a request byte by byte, so that its body stays unread.
 * Returns false if the connection has ended before. */
static bool
read_head (connection_t *connection)
{
  char byte;
  ssize_t size;

  while ((size = recv (connection->fd, &byte, 1, 0)) == 1)
    {
      g_string_append_c (connection->head, byte);
      connection->received_bytes++;
      if (g_str_has_suffix (connection->head->str, "\r\n\r\n"))
        {
          begin_answer (connection);
          return true;
        }
    }
  return size < 0 && (errno == EAGAIN || errno == EINTR);
}

static void
on_readable (evutil_socket_t fd, short what, void *context)
{
  connection_t *connection = context;

  bool is_open = connection->end_ms == 0 ? read_head (connection)
                                         : read_request (connection);

  if (!is_open)
    close_connection (connection);
  else if (connection->upstream->end == EARLY_READ_RESET
           && has_whole_request (connection))
    reset_connection (connection);
}

static void
on_accept (struct evconnlistener *listener,
           evutil_socket_t fd,
           struct sockaddr *address,
           int address_bytes,
           void *context)
{
  struct event_base *base = evconnlistener_get_base (listener);
  connection_t *connection = g_new0 (connection_t, 1);

  connection->upstream = context;
  connection->fd = fd;
  connection->head = g_string_new (NULL);
  connection->readable
      = event_new (base, fd, EV_READ | EV_PERSIST, on_readable, connection);
  connection->timer = event_new (base, -1, 0, on_timer, connection);
  event_add (connection->readable, NULL);
  g_ptr_array_add (connection->upstream->open, connection);
}

void
early_answer_start (early_answer_t *upstream, struct event_base *base)
{
  struct sockaddr_in address;
  int size_bytes = sizeof address;

  upstream->open = g_ptr_array_new_with_free_func (free_connection);
  choose_free_address (upstream->address);
  evutil_parse_sockaddr_port (upstream->address, (struct sockaddr *)&address,
                              &size_bytes);
  upstream->listener = evconnlistener_new_bind (
      base, on_accept, upstream, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, 16,
      (struct sockaddr *)&address, sizeof address);
  g_assert_nonnull (upstream->listener);
}

void
early_answer_stop (early_answer_t *upstream)
{
  g_ptr_array_unref (upstream->open);
  evconnlistener_free (upstream->listener);
}
