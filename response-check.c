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
/** The status of an interim response that evhttp skips. */
#define CONTINUE_STATUS 100
/** Bytes that are copied at a time, more than a status line needs. */
#define PIECE_BYTES 64

struct response_check
{
  struct evbuffer *input;
  status_line_t status;
  bool is_line_empty;  /* nothing but a CR of the current line has come */
  bool is_status_read; /* of the response itself, not of an interim one */
};

/** Reads a byte of a head. The status of an interim response that evhttp skips
 * is forgotten at the end of its head. */
static void
read_byte (response_check_t *check, uint8_t byte)
{
  bool ends_head = byte == '\n' && check->is_line_empty;
  bool is_interim;

  if (byte != '\r')
    check->is_line_empty = byte == '\n';
  status_line_read (&check->status, &byte, sizeof byte);
  if (check->status.part != STATUS_LINE_REST)
    return;
  is_interim = status_line_is_valid (&check->status)
               && check->status.code == CONTINUE_STATUS;
  check->is_status_read = !is_interim;
  if (is_interim && ends_head)
    check->status = (status_line_t){ 0 };
}

/** Reads bytes that were added to the input, from an offset on. */
static void
read_added (response_check_t *check, size_t offset, size_t size_bytes)
{
  uint8_t piece[PIECE_BYTES];
  struct evbuffer_ptr at;
  ev_ssize_t length;

  while (size_bytes > 0 && !check->is_status_read)
    {
      evbuffer_ptr_set (check->input, &at, offset, EVBUFFER_PTR_SET);
      length = evbuffer_copyout_from (check->input, &at, piece,
                                      size_bytes < sizeof piece ? size_bytes
                                                                : sizeof piece);
      if (length <= 0)
        return;
      for (size_t i = 0; i < (size_t)length && !check->is_status_read; i++)
        read_byte (check, piece[i]);
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
         && (check == NULL || status_line_is_valid (&check->status));
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
