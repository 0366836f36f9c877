#include "lib-caller.h"

#include <errno.h>
#include <event2/util.h>
#include <netinet/in.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define READ_BYTES         (64u * 1024)
#define SMALL_WINDOW_BYTES 8192

caller_t *
caller_new (const char *address)
{
  caller_t *caller = g_new0 (caller_t, 1);
  struct sockaddr_in peer;
  int size = sizeof peer;
  int window = SMALL_WINDOW_BYTES;

  evutil_parse_sockaddr_port (address, (struct sockaddr *)&peer, &size);
  caller->answer = g_string_new (NULL);
  caller->fd = socket (AF_INET, SOCK_STREAM, 0);
  setsockopt (caller->fd, SOL_SOCKET, SO_RCVBUF, &window, sizeof window);
  g_assert_cmpint (
      connect (caller->fd, (struct sockaddr *)&peer, (socklen_t)size), ==, 0);
  evutil_make_socket_nonblocking (caller->fd);
  return caller;
}

void
caller_free (caller_t *caller)
{
  close (caller->fd);
  g_string_free (caller->answer, TRUE);
  g_free (caller);
}

size_t
caller_send (caller_t *caller, const char *text, size_t size_bytes)
{
  ssize_t sent = send (caller->fd, text, size_bytes, MSG_NOSIGNAL);

  if (sent < 0 && errno != EAGAIN)
    caller->was_reset = true;
  return sent > 0 ? (size_t)sent : 0;
}

void
caller_shut (caller_t *caller)
{
  shutdown (caller->fd, SHUT_WR);
}

bool
caller_read (caller_t *caller)
{
  char piece[READ_BYTES];
  ssize_t got = recv (caller->fd, piece, sizeof piece, 0);

  if (got > 0)
    g_string_append_len (caller->answer, piece, got);
  else if (got == 0)
    caller->has_end = true;
  else if (errno != EAGAIN)
    caller->was_reset = true;
  return caller->has_end || caller->was_reset;
}

bool
caller_has_text (caller_t *caller, const char *text)
{
  caller_read (caller);
  return strstr (caller->answer->str, text) != NULL;
}
