/* Requests of callers, and their answers. */
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <string.h>
#include <talloc.h>

#include "base.h"
#include "caller-connection.h"

const char *
caller_request_method (const caller_request_t *request)
{
  return http_reader_method (request->connection->reader);
}

const char *
caller_request_target (const caller_request_t *request)
{
  return http_reader_target (request->connection->reader);
}

const http_fields_t *
caller_request_fields (const caller_request_t *request)
{
  return http_reader_fields (request->connection->reader);
}

shared_bytes_t *
caller_request_body (const caller_request_t *request)
{
  return request->connection->body;
}

void
caller_request_set_kept (caller_request_t *request, size_t size_bytes)
{
  request->connection->kept_bytes = size_bytes;
  caller_memory_update (request->connection);
}

uint64_t
caller_request_arrived_ms (const caller_request_t *request)
{
  return request->arrived_ms;
}

void
caller_request_set_data (caller_request_t *request, void *data)
{
  request->data = data;
}

void *
caller_request_data (const caller_request_t *request)
{
  return request->data;
}

void
caller_request_set_id (caller_request_t *request, const char *id)
{
  caller_connection_t *connection = request->connection;

  talloc_free (connection->last_id);
  connection->last_id = talloc_strdup (connection, id);
}

void
caller_reply_begin (caller_request_t *request,
                    uint32_t status,
                    const char *reason,
                    const http_fields_t *fields,
                    int64_t length_bytes)
{
  caller_connection_t *connection = request->connection;
  struct evbuffer *out = bufferevent_get_output (connection->stream);

  request->no_body = request->no_body || status == 204 || status == 304;
  request->chunked = length_bytes < 0 && !request->no_body;
  /* A request that came right behind this one is answered first. */
  if (connection->server->is_draining
      && !caller_connection_has_input (connection))
    connection->close_after_reply = true;
  evbuffer_add_printf (out, "HTTP/1.1 %u %s\r\n", status, reason);
  for (size_t i = 0; i < fields->count; i++)
    evbuffer_add_printf (out, "%s: %s\r\n", fields->items[i].name,
                         fields->items[i].value);
  if (request->chunked)
    evbuffer_add_printf (out, "Transfer-Encoding: chunked\r\n");
  else if (length_bytes >= 0 && status != 204)
    evbuffer_add_printf (out, "Content-Length: %jd\r\n",
                         (intmax_t)length_bytes);
  if (connection->close_after_reply)
    evbuffer_add_printf (out, "Connection: close\r\n");
  evbuffer_add (out, "\r\n", 2);
}

void
caller_reply_data (caller_request_t *request,
                   const void *data,
                   size_t size_bytes)
{
  struct evbuffer *out = bufferevent_get_output (request->connection->stream);

  if (size_bytes == 0 || request->no_body)
    return;
  if (request->chunked)
    evbuffer_add_printf (out, "%zx\r\n", size_bytes);
  evbuffer_add (out, data, size_bytes);
  if (request->chunked)
    evbuffer_add (out, "\r\n", 2);
}

void
caller_reply_shared (caller_request_t *request, shared_bytes_t *data)
{
  struct evbuffer *out = bufferevent_get_output (request->connection->stream);

  if (data->size_bytes == 0 || request->no_body)
    return;
  if (request->chunked)
    evbuffer_add_printf (out, "%zx\r\n", data->size_bytes);
  shared_bytes_add_to (data, out);
  if (request->chunked)
    evbuffer_add (out, "\r\n", 2);
}

/** Ends the current request; the connection then waits for the next request, or
 * closes once the answer is sent. */
static void
finish_request (caller_connection_t *connection)
{
  connection->is_open = false;
  connection->has_unwritten_answer = true;
  connection->server->open_requests--;
  connection->request = (caller_request_t){ .connection = connection };
  shared_bytes_clear (&connection->body);
  http_reader_reset (connection->reader);
  connection->kept_bytes = 0;
  connection->window_ms = 0;
  connection->progress_ms = clock_mono_ms ();
  caller_memory_update (connection);
  if (connection->close_after_reply)
    {
      bufferevent_disable (connection->stream, EV_READ);
      return;
    }
  caller_connection_set_read_timeout (
      connection, connection->server->options.limits.idle_timeout_ms);
  if (connection->is_read_paused)
    bufferevent_enable (connection->stream, EV_READ);
  connection->is_read_paused = false;
  /* Bytes received ahead of time are parsed in a separate event loop turn. */
  bufferevent_trigger (connection->stream, EV_READ, BEV_TRIG_DEFER_CALLBACKS);
}

void
caller_reply_end (caller_request_t *request)
{
  struct evbuffer *out = bufferevent_get_output (request->connection->stream);

  if (request->chunked)
    evbuffer_add (out, "0\r\n\r\n", 5);
  finish_request (request->connection);
}

void
caller_reply_abort (caller_request_t *request)
{
  caller_connection_end (request->connection, END_ABORTED);
}

size_t
caller_reply_pending_bytes (const caller_request_t *request)
{
  return caller_connection_unsent_bytes (request->connection);
}
