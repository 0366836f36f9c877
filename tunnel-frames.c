#include "tunnel-frames.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <stdbool.h>
#include <sys/param.h>

#define SIZE_END    0u
#define SIZE_BROKEN UINT32_MAX
#define SIZE_STOP   (UINT32_MAX - 1)

static void
write_size (struct evbuffer *out, uint32_t size_bytes)
{
  uint32_t size = htonl (size_bytes);

  evbuffer_add (out, &size, sizeof size);
}

void
tunnel_frames_write (struct evbuffer *out, struct evbuffer *data)
{
  size_t size_bytes = evbuffer_get_length (data);

  if (size_bytes == 0)
    return;
  write_size (out, (uint32_t)size_bytes);
  evbuffer_add_buffer (out, data);
}

void
tunnel_frames_write_end (struct evbuffer *out, tunnel_frames_state_t state)
{
  write_size (out, state == TUNNEL_FRAMES_END ? SIZE_END : SIZE_BROKEN);
}

void
tunnel_frames_write_stop (struct evbuffer *out)
{
  write_size (out, SIZE_STOP);
}

/** Reads the size of the next frame, or a message. Returns false if neither has
 * come. */
static bool
read_size (tunnel_frames_t *frames, struct evbuffer *in)
{
  uint32_t size;

  if (evbuffer_get_length (in) < sizeof size)
    return false;
  evbuffer_remove (in, &size, sizeof size);
  size = ntohl (size);
  if (size == SIZE_END)
    frames->state = TUNNEL_FRAMES_END;
  else if (size == SIZE_BROKEN)
    frames->state = TUNNEL_FRAMES_BROKEN;
  else if (size == SIZE_STOP)
    frames->is_stopping = true;
  else
    frames->left_bytes = size;
  return true;
}

tunnel_frames_state_t
tunnel_frames_read (tunnel_frames_t *frames,
                    struct evbuffer *in,
                    struct evbuffer *data)
{
  while (frames->state == TUNNEL_FRAMES_MORE && evbuffer_get_length (in) > 0
         && (frames->left_bytes > 0 || read_size (frames, in)))
    {
      size_t size_bytes = MIN (frames->left_bytes, evbuffer_get_length (in));

      evbuffer_remove_buffer (in, data, size_bytes);
      frames->left_bytes -= (uint32_t)size_bytes;
    }
  return frames->state;
}
