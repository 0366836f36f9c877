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
  GByteArray *buffer; /* bytes received of the incomplete event */
  size_t line_start;
};

static int
free_stream (event_stream_t *stream)
{
  g_byte_array_free (stream->buffer, TRUE);
  return 0;
}

event_stream_t *
event_stream_new (void *parent, event_stream_cb_t on_event, void *context)
{
  event_stream_t *stream = talloc_zero (parent, event_stream_t);

  stream->on_event = on_event;
  stream->context = context;
  stream->buffer = g_byte_array_new ();
  talloc_set_destructor (stream, free_stream);
  return stream;
}

/** Sets the id of the event if the line is an "id:" line with a number. */
static void
parse_id_line (event_stream_event_t *event, const char *line, size_t length)
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

/** Returns whether a line is neither blank nor a comment. */
static bool
is_field_line (const char *line, size_t length)
{
  return length > 0 && *line != ':' && !(length == 1 && *line == '\r');
}

/** Passes the buffered event to the callback and empties the buffer. */
static bool
emit_event (event_stream_t *stream)
{
  event_stream_event_t event
      = { .data = stream->buffer->data, .size_bytes = stream->buffer->len };
  const char *text = (const char *)stream->buffer->data;
  size_t offset = 0;
  bool should_continue;

  while (offset < event.size_bytes)
    {
      const char *end = memchr (text + offset, '\n', event.size_bytes - offset);
      size_t length = (size_t)(end - (text + offset));

      parse_id_line (&event, text + offset, length);
      event.has_data = event.has_data || is_field_line (text + offset, length);
      offset += length + 1;
    }
  should_continue = stream->on_event (&event, stream->context);
  g_byte_array_set_size (stream->buffer, 0);
  stream->line_start = 0;
  return should_continue;
}

/** Returns whether the last line of the buffer is blank. */
static bool
ends_with_blank_line (const event_stream_t *stream)
{
  size_t length = stream->buffer->len - stream->line_start;

  return length == 1
         || (length == 2 && stream->buffer->data[stream->line_start] == '\r');
}

bool
event_stream_feed (event_stream_t *stream,
                   const uint8_t *data,
                   size_t size_bytes)
{
  while (size_bytes > 0)
    {
      const uint8_t *end = memchr (data, '\n', size_bytes);
      size_t length = end != NULL ? (size_t)(end - data) + 1 : size_bytes;

      if (stream->buffer->len + length > MAX_EVENT_BYTES)
        return false;
      g_byte_array_append (stream->buffer, data, (guint)length);
      data += length;
      size_bytes -= length;
      if (end == NULL)
        return true;
      if (ends_with_blank_line (stream) && !emit_event (stream))
        return false;
      stream->line_start = stream->buffer->len;
    }
  return true;
}

bool
event_stream_is_complete (const event_stream_t *stream)
{
  return stream->buffer->len == 0;
}

size_t
event_stream_held_bytes (const event_stream_t *stream)
{
  return stream->buffer->len;
}
