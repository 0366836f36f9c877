#include "shared-bytes.h"

#include <event2/buffer.h>
#include <glib.h>
#include <string.h>

#define FIRST_ROOM_BYTES 512u
/** The array doubles up to this size, and grows by as much after it. */
#define MAX_GROWTH_BYTES (128u * 1024)

shared_bytes_t *
shared_bytes_new (void)
{
  shared_bytes_t *bytes = g_new0 (shared_bytes_t, 1);

  bytes->owners = 1;
  return bytes;
}

shared_bytes_t *
shared_bytes_ref (shared_bytes_t *bytes)
{
  bytes->owners++;
  return bytes;
}

void
shared_bytes_unref (shared_bytes_t *bytes)
{
  if (--bytes->owners > 0)
    return;
  g_free (bytes->data);
  g_free (bytes);
}

static size_t
grown_room (const shared_bytes_t *bytes, size_t needed)
{
  size_t room = MAX (bytes->room_bytes, FIRST_ROOM_BYTES);

  while (room < needed)
    room += MIN (room, MAX_GROWTH_BYTES);
  return room;
}

void
shared_bytes_append (shared_bytes_t *bytes, const void *data, size_t size_bytes)
{
  size_t needed = bytes->size_bytes + size_bytes;

  if (size_bytes == 0)
    return;
  if (needed > bytes->room_bytes)
    {
      bytes->room_bytes = grown_room (bytes, needed);
      bytes->data = g_realloc (bytes->data, bytes->room_bytes);
    }
  memcpy (bytes->data + bytes->size_bytes, data, size_bytes);
  bytes->size_bytes = needed;
}

void
shared_bytes_clear (shared_bytes_t **bytes)
{
  shared_bytes_unref (*bytes);
  *bytes = shared_bytes_new ();
}

static void
on_sent (const void *data, size_t size_bytes, void *context)
{
  shared_bytes_unref (context);
}

void
shared_bytes_add_to (shared_bytes_t *bytes, struct evbuffer *out)
{
  if (bytes->size_bytes == 0)
    return;
  if (evbuffer_add_reference (out, bytes->data, bytes->size_bytes, on_sent,
                              shared_bytes_ref (bytes))
      != 0)
    shared_bytes_unref (bytes);
}
