/* Fault injection into the stand-in on request; only for tests. */
#include <event2/bufferevent.h>
#include <sys/socket.h>

#include "http.h"
#include "standin-private.h"

#define STATUS_ERROR 500

bool
standin_fault_refuses (struct evhttp_request *request, const fault_t *fault)
{
  if (fault->kind == MISBEHAVE_BUSY)
    standin_refuse (request, HTTP_SERVUNAVAIL, "busy", RAN_NO);
  else if (fault->kind == MISBEHAVE_ERROR)
    standin_refuse (request, STATUS_ERROR, "error", RAN_UNKNOWN);
  else
    return false;
  return true;
}

/* Closing with a linger time of zero sends a reset. */
void
standin_reset_connection (struct evhttp_request *request)
{
  struct evhttp_connection *connection
      = evhttp_request_get_connection (request);
  struct linger linger = { .l_onoff = 1, .l_linger = 0 };
  evutil_socket_t fd
      = bufferevent_getfd (evhttp_connection_get_bufferevent (connection));

  setsockopt (fd, SOL_SOCKET, SO_LINGER, &linger, sizeof linger);
  evhttp_connection_free (connection);
}

/** Reads a number of @a body; returns false if it does not fit 32 bits. */
static bool
read_number (JsonObject *body,
             const char *name,
             uint32_t fallback,
             uint32_t *number)
{
  int64_t value = http_json_number_member (body, name, fallback);

  *number = (uint32_t)value;
  return value >= 0 && value <= UINT32_MAX;
}

void
standin_misbehave (standin_t *standin,
                   struct evhttp_request *request,
                   JsonObject *body)
{
  fault_t fault = { 0 };
  uint32_t count;

  if (!misbehave_kind_from_name (http_json_text_member (body, "kind", ""),
                                 &fault.kind))
    standin_refuse_bad (request, "'kind' is not a known fault");
  else if (!read_number (body, "count", 1, &count)
           || !read_number (body, "after_tokens", 0, &fault.after_tokens)
           || !read_number (body, "ms", 0, &fault.ms))
    standin_refuse_bad (request, "a number is out of range");
  else
    {
      misbehave_add (standin->misbehave, &fault, count);
      standin_reply (request, json_object_new ());
    }
}
