#include "tunnel-client.h"

#include <event2/buffer.h>
#include <string.h>

#include "tunnel-frames.h"

#define MAX_HEAD_BYTES 512
#define HEAD_END       "\r\n\r\n"
#define CONNECTED      "HTTP/1.1 200 "
#define NOT_CONNECTED  "HTTP/1.1 502 "

void
tunnel_client_ask (struct evbuffer *out, const char *address)
{
  evbuffer_add_printf (
      out, "CONNECT %s HTTP/1.1\r\nHost: %s\r\n" TUNNEL_FRAMES_FIELD HEAD_END,
      address, address);
}

static bool
begins_with (struct evbuffer *in, const char *text)
{
  return evbuffer_search (in, text, strlen (text), NULL).pos == 0;
}

tunnel_answer_t
tunnel_client_read (struct evbuffer *in, bool *is_framed)
{
  struct evbuffer_ptr end
      = evbuffer_search (in, HEAD_END, strlen (HEAD_END), NULL);

  if (end.pos < 0 && evbuffer_get_length (in) <= MAX_HEAD_BYTES)
    return TUNNEL_ANSWER_MORE;
  if (begins_with (in, NOT_CONNECTED))
    return TUNNEL_ANSWER_NOT_CONNECTED;
  if (end.pos < 0 || !begins_with (in, CONNECTED))
    return TUNNEL_ANSWER_UNUSABLE;
  *is_framed = evbuffer_search_range (in, TUNNEL_FRAMES_FIELD,
                                      strlen (TUNNEL_FRAMES_FIELD), NULL, &end)
                   .pos
               > 0;
  evbuffer_drain (in, (size_t)end.pos + strlen (HEAD_END));
  return TUNNEL_ANSWER_OPEN;
}
