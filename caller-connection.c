#include "caller-connection.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <linux/sockios.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <talloc.h>

#include "base.h"
#define LOG_PART "callers"
#include "logging.h"

/** Time without a byte from the caller, and longest time of all, for which a
 * connection is read on after its last answer. A connection that is closed with
 * unread bytes is reset, and the reset takes what the caller has not got yet.
 */
#define LINGER_SILENCE_MS 1000
#define LINGER_MAX_MS     5000

static const char *
end_name (caller_end_t end)
{
  static const char *const names[] = { [END_BY_SERVER] = "server_ended",
                                       [END_ANSWERED] = "answered",
                                       [END_IDLE] = "idle",
                                       [END_ABORTED] = "aborted",
                                       [END_NO_MEMORY] = "no_memory",
                                       [END_NO_ROOM] = "no_room",
                                       [END_TIMEOUT] = "timeout",
                                       [END_BY_CALLER] = "caller_closed",
                                       [END_FAILED] = "failed" };

  return names[end];
}

/** Returns a number that the kernel knows of the connection's socket, 0 if it
 * cannot tell. */
static uint32_t
socket_bytes (const caller_connection_t *connection, unsigned long request)
{
  int bytes = 0;

  if (ioctl (bufferevent_getfd (connection->stream), request, &bytes) != 0)
    return 0;
  return bytes > 0 ? (uint32_t)bytes : 0;
}

size_t
caller_connection_unsent_bytes (const caller_connection_t *connection)
{
  return evbuffer_get_length (bufferevent_get_output (connection->stream));
}

bool
caller_connection_has_input (const caller_connection_t *connection)
{
  return evbuffer_get_length (bufferevent_get_input (connection->stream)) > 0
         || socket_bytes (connection, FIONREAD) > 0;
}

bool
caller_connection_is_receiving (const caller_connection_t *connection)
{
  return !connection->is_open && !connection->close_after_reply
         && (http_reader_has_begun (connection->reader)
             || caller_connection_has_input (connection));
}

bool
caller_connection_is_busy (const caller_connection_t *connection)
{
  return connection->is_open || connection->is_lingering
         || caller_connection_unsent_bytes (connection) > 0
         || socket_bytes (connection, SIOCOUTQ) > 0
         || caller_connection_is_receiving (connection);
}

const char *
caller_connection_read_id (const caller_connection_t *connection)
{
  const caller_server_options_t *options = &connection->server->options;
  const char *id = NULL;

  if (options->request_id != NULL && http_reader_has_head (connection->reader))
    id = options->request_id (http_reader_fields (connection->reader),
                              options->context);
  return id != NULL && id[0] != '\0' ? id : "-";
}

/** Records the end of a connection whose request was not read in full. */
static void
record_unread_request (const caller_connection_t *connection)
{
  if (caller_connection_is_receiving (connection))
    log_info ("Connection ended before its request was read in full. "
              "request=%s end=%s",
              caller_connection_read_id (connection),
              end_name (connection->end));
}

/** Records the end of a connection without an open request if its last answer
 * has not reached the caller: bytes of it are left here or in the kernel, which
 * drops them if the caller's own bytes are unread. */
static void
record_undelivered (const caller_connection_t *connection)
{
  size_t unsent = caller_connection_unsent_bytes (connection);
  uint32_t unacked = socket_bytes (connection, SIOCOUTQ);
  uint32_t unread = socket_bytes (connection, FIONREAD);

  if (unsent == 0 && (unacked == 0 || unread == 0))
    return;
  metric_add (connection->server->answers_cut, 1);
  log_warn ("Connection ended before its answer was delivered. request=%s "
            "end=%s unsent_bytes=%zu unacked_bytes=%u unread_bytes=%u",
            connection->last_id != NULL ? connection->last_id : "-",
            end_name (connection->end), unsent, unacked, unread);
}

void
caller_connection_reject (caller_connection_t *connection, const char *status)
{
  struct evbuffer *out = bufferevent_get_output (connection->stream);

  log_info ("Rejected a request before it was read in full. request=%s "
            "status=%s",
            caller_connection_read_id (connection), status);
  evbuffer_add_printf (out,
                       "HTTP/1.1 %s\r\nContent-Length: 0\r\n"
                       "Connection: close\r\n\r\n",
                       status);
  connection->close_after_reply = true;
  bufferevent_disable (connection->stream, EV_READ);
  shared_bytes_clear (&connection->body);
  caller_memory_update (connection);
}

void
caller_connection_end (caller_connection_t *connection, caller_end_t end)
{
  connection->end = end;
  talloc_free (connection);
}

int
caller_connection_free (caller_connection_t *connection)
{
  caller_server_t *server = connection->server;

  if (connection->is_open)
    server->open_requests--;
  else
    {
      record_undelivered (connection);
      record_unread_request (connection);
    }
  g_hash_table_remove (server->connections, connection);
  caller_memory_remove (connection);
  bufferevent_free (connection->stream);
  shared_bytes_unref (connection->body);
  return 0;
}

void
caller_connection_set_read_timeout (caller_connection_t *connection,
                                    uint32_t timeout_ms)
{
  struct timeval timeout = timeval_from_ms (timeout_ms);

  bufferevent_set_timeouts (connection->stream,
                            timeout_ms > 0 ? &timeout : NULL, NULL);
}

void
caller_connection_begin_lingering (caller_connection_t *connection)
{
  struct evbuffer *in = bufferevent_get_input (connection->stream);

  connection->is_lingering = true;
  connection->linger_until_ms = clock_mono_ms () + LINGER_MAX_MS;
  connection->unacked_bytes = socket_bytes (connection, SIOCOUTQ);
  shutdown (bufferevent_getfd (connection->stream), SHUT_WR);
  evbuffer_drain (in, evbuffer_get_length (in));
  caller_connection_set_read_timeout (connection, LINGER_SILENCE_MS);
  bufferevent_enable (connection->stream, EV_READ);
}

void
caller_connection_check_lingering (caller_connection_t *connection)
{
  uint32_t unacked = socket_bytes (connection, SIOCOUTQ);

  if (unacked >= connection->unacked_bytes)
    {
      caller_connection_end (connection, END_ANSWERED);
      return;
    }
  connection->unacked_bytes = unacked;
  connection->linger_until_ms = clock_mono_ms () + LINGER_MAX_MS;
  bufferevent_enable (connection->stream, EV_READ);
}

void
caller_connection_discard_input (caller_connection_t *connection)
{
  struct evbuffer *in = bufferevent_get_input (connection->stream);

  evbuffer_drain (in, evbuffer_get_length (in));
  if (clock_mono_ms () >= connection->linger_until_ms)
    caller_connection_check_lingering (connection);
}
