#include "event-stream.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#define MAX_EVENT_BYTES (1024u * 1024)

struct event_stream
{
  event_stream_cb_t on_event;
  void *context;
  GByteArray *held; /* the event being read */
  size_t line_begin;
};

static int
free_stream (event_stream_t *stream)
{
  g_byte_array_free (stream->held, TRUE);
  return 0;
}

event_stream_t *
event_stream_new (void *parent, event_stream_cb_t on_event, void *context)
{
  event_stream_t *stream = talloc_zero (parent, event_stream_t);

  stream->on_event = on_event;
  stream->context = context;
  stream->held = g_byte_array_new ();
  talloc_set_destructor (stream, free_stream);
  return stream;
}

/** Reads an "id:" line of the event. */
static void
read_line (event_stream_event_t *event, const char *line, size_t length)
{
  char number[24];
  char *end;

  if (length < 3 || strncmp (line, "id:", 3) != 0)
    return;
  line += 3;
  length -= 3;
  while (length > 0 && *line == ' ')
    {
      line++;
      length--;
    }
  if (length == 0 || length >= sizeof number)
    return;
  memcpy (number, line, length);
  number[length] = '\0';
  event->id = strtoull (number, &end, 10);
  event->has_id = *end == '\0' || *end == '\r';
}

static bool
hand_on (event_stream_t *stream)
{
  event_stream_event_t event
      = { .data = stream->held->data, .size_bytes = stream->held->len };
  const char *text = (const char *)stream->held->data;
  size_t at = 0;
  bool goes_on;

  while (at < event.size_bytes)
    {
      const char *end = memchr (text + at, '\n', event.size_bytes - at);
      size_t length = (size_t)(end - (text + at));

      read_line (&event, text + at, length);
      at += length + 1;
    }
  goes_on = stream->on_event (&event, stream->context);
  g_byte_array_set_size (stream->held, 0);
  stream->line_begin = 0;
  return goes_on;
}

/** Whether the line that just ended is blank. */
static bool
is_blank (const event_stream_t *stream)
{
  size_t length = stream->held->len - stream->line_begin;

  return length == 1
         || (length == 2 && stream->held->data[stream->line_begin] == '\r');
}

bool
event_stream_feed (event_stream_t *stream,
                   const uint8_t *data,
                   size_t size_bytes)
{
  while (size_bytes > 0)
    {
      const uint8_t *end = memchr (data, '\n', size_bytes);
      size_t taken = end != NULL ? (size_t)(end - data) + 1 : size_bytes;

      if (stream->held->len + taken > MAX_EVENT_BYTES)
        return false;
      g_byte_array_append (stream->held, data, (guint)taken);
      data += taken;
      size_bytes -= taken;
      if (end == NULL)
        return true;
      if (is_blank (stream) && !hand_on (stream))
        return false;
      stream->line_begin = stream->held->len;
    }
  return true;
}

bool
event_stream_is_whole (const event_stream_t *stream)
{
  return stream->held->len == 0;
}
