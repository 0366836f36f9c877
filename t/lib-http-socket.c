#include "lib-http-socket.h"

#include <errno.h>
#include <event2/util.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define DEFAULT_READ_BYTES (64u * 1024)
/** Longest time that a send waits for the peer. */
#define SEND_TIMEOUT_S 15

static const char end_of_line[] = "\r\n";
static const char end_of_head[] = "\r\n\r\n";

http_socket_t *
http_socket_new (int fd)
{
  http_socket_t *self = g_new0 (http_socket_t, 1);
  struct timeval timeout = { .tv_sec = SEND_TIMEOUT_S };
  int on = 1;

  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  setsockopt (fd, SOL_SOCKET, SO_SNDTIMEO, &timeout, sizeof timeout);
  self->fd = fd;
  self->bytes = g_byte_array_new ();
  return self;
}

http_socket_t *
http_socket_connect (const char *address)
{
  struct sockaddr_in peer;
  int size = sizeof peer;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

  evutil_parse_sockaddr_port (address, (struct sockaddr *)&peer, &size);
  if (connect (fd, (struct sockaddr *)&peer, (socklen_t)size) == 0)
    return http_socket_new (fd);
  close (fd);
  return NULL;
}

void
http_socket_free (http_socket_t *self)
{
  if (self == NULL)
    return;
  close (self->fd);
  g_byte_array_free (self->bytes, TRUE);
  g_free (self);
}

bool
http_socket_send (http_socket_t *self, const char *data, size_t bytes)
{
  while (bytes > 0)
    {
      ssize_t sent = send (self->fd, data, bytes, MSG_NOSIGNAL);

      if (sent < 0 && errno == EINTR)
        continue;
      if (sent <= 0)
        return false;
      data += sent;
      bytes -= (size_t)sent;
    }
  return true;
}

bool
http_socket_wait (http_socket_t *self, uint32_t timeout_ms)
{
  struct pollfd poller = { .fd = self->fd, .events = POLLIN };

  return self->bytes->len > self->used
         || poll (&poller, 1, (int)timeout_ms) == 1;
}

static void
drop_used_bytes (http_socket_t *self)
{
  if (self->used == 0)
    return;
  g_byte_array_remove_range (self->bytes, 0, (guint)self->used);
  self->used = 0;
}

/** Reads once. Returns false at the end of the connection or of the time. */
static bool
receive_more (http_socket_t *self, int64_t until_us)
{
  guint size = self->read_bytes > 0 ? self->read_bytes : DEFAULT_READ_BYTES;
  struct pollfd poller = { .fd = self->fd, .events = POLLIN };
  int64_t left_ms = (until_us - g_get_monotonic_time ()) / 1000;
  guint old_size;
  ssize_t got;

  if (self->has_ended || left_ms <= 0 || poll (&poller, 1, (int)left_ms) != 1)
    return false;
  drop_used_bytes (self);
  old_size = self->bytes->len;
  g_byte_array_set_size (self->bytes, old_size + size);
  got = recv (self->fd, self->bytes->data + old_size, size, 0);
  g_byte_array_set_size (self->bytes, old_size + (guint)MAX (got, 0));
  self->has_ended = got <= 0;
  if (self->pause_ms > 0 && got > 0)
    g_usleep ((gulong)self->pause_ms * 1000);
  return got > 0;
}

static size_t
available (const http_socket_t *self)
{
  return self->bytes->len - self->used;
}

/** Returns the bytes up to and with a delimiter, or NULL; free with
 * g_free(). */
static char *
receive_until (http_socket_t *self, const char *delimiter, int64_t until_us)
{
  size_t length = strlen (delimiter);
  char *text;

  for (;;)
    {
      const guint8 *start = self->bytes->data + self->used;
      const guint8 *end
          = available (self) > 0
                ? memmem (start, available (self), delimiter, length)
                : NULL;

      if (end != NULL)
        {
          text = g_strndup ((const char *)start, (gsize)(end - start) + length);
          self->used += (size_t)(end - start) + length;
          return text;
        }
      if (!receive_more (self, until_us))
        return NULL;
    }
}

/** Appends a number of bytes to the body; returns false if fewer came. */
static bool
receive_bytes (http_socket_t *self,
               size_t bytes,
               int64_t until_us,
               GString *body)
{
  while (bytes > 0)
    {
      size_t part = MIN (bytes, available (self));

      if (part == 0 && !receive_more (self, until_us))
        return false;
      if (part == 0)
        continue;
      g_string_append_len (body, (char *)self->bytes->data + self->used,
                           (gssize)part);
      self->used += part;
      bytes -= part;
    }
  return true;
}

static bool
receive_chunks (http_socket_t *self, int64_t until_us, GString *body)
{
  for (;;)
    {
      char *line = receive_until (self, end_of_line, until_us);
      size_t size = line != NULL ? strtoul (line, NULL, 16) : 0;
      bool is_valid = line != NULL && g_ascii_isxdigit (*line);

      g_free (line);
      if (!is_valid || !receive_bytes (self, size, until_us, body))
        return false;
      line = receive_until (self, end_of_line, until_us);
      is_valid = line != NULL && strcmp (line, end_of_line) == 0;
      g_free (line);
      if (!is_valid || size == 0)
        return is_valid;
    }
}

static bool
receive_to_end (http_socket_t *self, int64_t until_us, GString *body)
{
  while (receive_bytes (self, 1, until_us, body))
    ;
  return self->has_ended;
}

static bool
receive_body (http_socket_t *self, int64_t until_us, http_message_t *message)
{
  char *length = http_message_field (message, "Content-Length");
  char *coding = http_message_field (message, "Transfer-Encoding");
  bool is_whole = true;

  if (coding != NULL)
    is_whole = receive_chunks (self, until_us, message->body);
  else if (length != NULL)
    is_whole = receive_bytes (self, strtoul (length, NULL, 10), until_us,
                              message->body);
  else if (message->status > 0)
    is_whole = receive_to_end (self, until_us, message->body);
  g_free (length);
  g_free (coding);
  return is_whole;
}

bool
http_socket_receive (http_socket_t *self,
                     int64_t until_us,
                     http_message_t *message)
{
  *message = (http_message_t){ .body = g_string_new (NULL) };
  message->head = receive_until (self, end_of_head, until_us);
  if (message->head == NULL)
    return false;
  if (g_str_has_prefix (message->head, "HTTP/1.1 "))
    message->status = atoi (message->head + strlen ("HTTP/1.1 "));
  message->is_whole = receive_body (self, until_us, message);
  return message->is_whole;
}

void
http_message_clear (http_message_t *message)
{
  g_free (message->head);
  if (message->body != NULL)
    g_string_free (message->body, TRUE);
  *message = (http_message_t){ 0 };
}

char *
http_message_field (const http_message_t *message, const char *name)
{
  char **lines = g_strsplit (message->head, end_of_line, -1);
  size_t length = strlen (name);
  char *value = NULL;

  for (size_t i = 1; lines[i] != NULL && value == NULL; i++)
    if (g_ascii_strncasecmp (lines[i], name, length) == 0
        && lines[i][length] == ':')
      value = g_strstrip (g_strdup (lines[i] + length + 1));
  g_strfreev (lines);
  return value;
}
