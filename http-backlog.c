#include "http-backlog.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/http.h>
#include <glib.h>
#include <linux/sockios.h>
#include <sys/ioctl.h>
#include <sys/stat.h>
#include <talloc.h>

struct http_backlog
{
  GHashTable *connections; /* connection_t by its socket */
};

/** The connection that used a socket last. It may have been freed since: evhttp
 * does not report it. */
typedef struct
{
  evutil_socket_t socket;
  ino_t inode; /* of the socket, tells it from a later one */
  size_t unsent_bytes;
} connection_t;

static int
free_backlog (http_backlog_t *backlog)
{
  g_hash_table_destroy (backlog->connections);
  return 0;
}

http_backlog_t *
http_backlog_new (void *parent)
{
  http_backlog_t *backlog = talloc_zero (parent, http_backlog_t);

  backlog->connections = g_hash_table_new (NULL, NULL);
  talloc_set_destructor (backlog, free_backlog);
  return backlog;
}

/** Returns the number of the socket's inode, 0 when it is closed. */
static ino_t
find_inode (evutil_socket_t socket)
{
  struct stat status;

  return fstat (socket, &status) == 0 ? status.st_ino : 0;
}

static connection_t *
get_connection (http_backlog_t *backlog, evutil_socket_t socket)
{
  connection_t *connection
      = g_hash_table_lookup (backlog->connections, GINT_TO_POINTER (socket));

  if (connection == NULL)
    {
      connection = talloc_zero (backlog, connection_t);
      connection->socket = socket;
      g_hash_table_insert (backlog->connections, GINT_TO_POINTER (socket),
                           connection);
    }
  return connection;
}

static void
on_output_changed (struct evbuffer *output,
                   const struct evbuffer_cb_info *change,
                   void *context)
{
  connection_t *connection = context;

  connection->unsent_bytes = evbuffer_get_length (output);
}

void
http_backlog_watch (http_backlog_t *backlog, struct evhttp_request *request)
{
  struct bufferevent *stream = evhttp_connection_get_bufferevent (
      evhttp_request_get_connection (request));
  struct evbuffer *output = bufferevent_get_output (stream);
  connection_t *connection
      = get_connection (backlog, bufferevent_getfd (stream));

  connection->inode = find_inode (connection->socket);
  connection->unsent_bytes = evbuffer_get_length (output);
  evbuffer_remove_cb (output, on_output_changed, connection);
  evbuffer_add_cb (output, on_output_changed, connection);
}

/** Returns a number of bytes that the kernel knows of a socket, 0 if it cannot
 * tell. */
static int
socket_bytes (evutil_socket_t socket, unsigned long request)
{
  int bytes = 0;

  return ioctl (socket, request, &bytes) == 0 ? bytes : 0;
}

static bool
has_unsent (const connection_t *connection)
{
  if (find_inode (connection->socket) != connection->inode)
    return false;
  return connection->unsent_bytes > 0
         || (socket_bytes (connection->socket, SIOCOUTQ) > 0
             && socket_bytes (connection->socket, FIONREAD) > 0);
}

bool
http_backlog_has_unsent (const http_backlog_t *backlog)
{
  GHashTableIter iterator;
  void *connection;

  g_hash_table_iter_init (&iterator, backlog->connections);
  while (g_hash_table_iter_next (&iterator, NULL, &connection))
    if (has_unsent (connection))
      return true;
  return false;
}
