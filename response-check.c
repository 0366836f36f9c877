#include "response-check.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <sys/queue.h>
#include <talloc.h>

#include "http-token.h"
#include "status-line.h"

/** The final statuses that exist (RFC 9110, section 15). */
#define MIN_STATUS 200
#define MAX_STATUS 599
/** Bytes that are copied at a time, more than a status line needs. */
#define PIECE_BYTES 64

struct response_check
{
  struct evbuffer *input;
  status_line_t line;
};

/** Reads bytes that were added to the input, from an offset on. */
static void
read_added (response_check_t *check, size_t offset, size_t size_bytes)
{
  uint8_t piece[PIECE_BYTES];
  struct evbuffer_ptr at;
  ev_ssize_t length;

  while (size_bytes > 0 && check->line.part != STATUS_LINE_REST)
    {
      evbuffer_ptr_set (check->input, &at, offset, EVBUFFER_PTR_SET);
      length = evbuffer_copyout_from (check->input, &at, piece,
                                      size_bytes < sizeof piece ? size_bytes
                                                                : sizeof piece);
      if (length <= 0)
        return;
      status_line_read (&check->line, piece, (size_t)length);
      offset += (size_t)length;
      size_bytes -= (size_t)length;
    }
}

static void
on_input (struct evbuffer *input,
          const struct evbuffer_cb_info *info,
          void *context)
{
  if (info->n_added > 0)
    read_added (context, info->orig_size, info->n_added);
}

response_check_t *
response_check_new (void *parent, struct evhttp_connection *connection)
{
  response_check_t *check = talloc_zero (parent, response_check_t);

  check->input
      = bufferevent_get_input (evhttp_connection_get_bufferevent (connection));
  evbuffer_add_cb (check->input, on_input, check);
  return check;
}

/** Returns whether a response may have the status, which was read as a number.
 * @param check may be NULL */
static bool
has_valid_status (const response_check_t *check, int status)
{
  return status >= MIN_STATUS && status <= MAX_STATUS
         && (check == NULL || status_line_is_valid (&check->line));
}

bool
response_check_is_valid (const response_check_t *check,
                         struct evhttp_request *response)
{
  struct evkeyvalq *fields = evhttp_request_get_input_headers (response);
  struct evkeyval *field;

  if (!has_valid_status (check, evhttp_request_get_response_code (response)))
    return false;
  TAILQ_FOREACH (field, fields, next)
  {
    if (!http_token_is_valid (field->key))
      return false;
  }
  return true;
}
