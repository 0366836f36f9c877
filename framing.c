#include "framing.h"

#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <stdbool.h>
#include <string.h>
#include <strings.h>
#include <sys/queue.h>

#include "http-token.h"

#define MAX_CONTENT_LENGTH_DIGITS 15

static bool
is_content_length (const char *text)
{
  size_t length = strlen (text);

  return length > 0 && length <= MAX_CONTENT_LENGTH_DIGITS
         && strspn (text, "0123456789") == length;
}

const char *
framing_error (struct evhttp_request *request)
{
  struct evkeyvalq *headers = evhttp_request_get_input_headers (request);
  struct evkeyval *header;
  unsigned length_count = 0;
  unsigned encoding_count = 0;

  TAILQ_FOREACH (header, headers, next)
  {
    if (!http_token_is_valid (header->key))
      return "a header's name is malformed";
    if (strcasecmp (header->key, "Content-Length") == 0)
      {
        length_count++;
        if (!is_content_length (header->value))
          return "Content-Length is not a number";
      }
    if (strcasecmp (header->key, "Transfer-Encoding") == 0)
      {
        encoding_count++;
        if (strcasecmp (header->value, "chunked") != 0)
          return "Transfer-Encoding is not chunked";
      }
  }
  if (length_count + encoding_count > 1)
    return "the body's length is given more than once";
  return NULL;
}
