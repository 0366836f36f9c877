#include <glib.h>
#include <string.h>
#include <talloc.h>

#include "event-stream.h"

typedef struct
{
  GString *passed;
  uint64_t last_id;
  uint32_t count;
  uint32_t stop_after; /* number of events; 0 for no limit */
} seen_t;

static bool
on_event (const event_stream_event_t *event, void *context)
{
  seen_t *seen = context;

  g_string_append_len (seen->passed, (const char *)event->data,
                       (gssize)event->size_bytes);
  if (event->has_id)
    seen->last_id = event->id;
  return ++seen->count != seen->stop_after;
}

static bool
feed_bytewise (event_stream_t *stream, const char *text)
{
  for (; *text != '\0'; text++)
    if (!event_stream_feed (stream, (const uint8_t *)text, 1))
      return false;
  return true;
}

/** An incomplete event is withheld; complete events are passed on unchanged. */
static void
test_whole_events (void)
{
  seen_t seen = { .passed = g_string_new (NULL) };
  event_stream_t *stream = event_stream_new (NULL, on_event, &seen);

  g_assert_true (feed_bytewise (stream, "id: 7\ndata: a\n\nid: 8\r\ndata: b\r\n"
                                        "\r\nid: 9\ndata: c\n"));
  g_assert_cmpstr (seen.passed->str, ==,
                   "id: 7\ndata: a\n\nid: 8\r\ndata: b\r\n\r\n");
  g_assert_cmpuint (seen.last_id, ==, 8);
  g_assert_false (event_stream_is_complete (stream));
  g_assert_true (feed_bytewise (stream, "\n"));
  g_assert_cmpuint (seen.last_id, ==, 9);
  g_assert_true (event_stream_is_complete (stream));
  talloc_free (stream);
  g_string_free (seen.passed, TRUE);
}

static void
test_event_ids (void)
{
  seen_t seen = { .passed = g_string_new (NULL) };
  event_stream_t *stream = event_stream_new (NULL, on_event, &seen);

  g_assert_true (feed_bytewise (stream, "id: x\ndata: a\n\n"));
  g_assert_true (
      feed_bytewise (stream, "id:12345678901234567890123456789\n\n"));
  g_assert_cmpuint (seen.last_id, ==, 0);
  g_assert_true (feed_bytewise (stream, "weights: 3\nid:42\ndata: a\n\n"));
  g_assert_cmpuint (seen.last_id, ==, 42);
  talloc_free (stream);
  g_string_free (seen.passed, TRUE);
}

static void
test_callback_stops_stream (void)
{
  seen_t seen = { .passed = g_string_new (NULL), .stop_after = 1 };
  event_stream_t *stream = event_stream_new (NULL, on_event, &seen);
  const char *text = "data: a\n\ndata: b\n\n";

  g_assert_false (
      event_stream_feed (stream, (const uint8_t *)text, strlen (text)));
  g_assert_cmpuint (seen.count, ==, 1);
  talloc_free (stream);
  g_string_free (seen.passed, TRUE);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/event-stream/whole-events", test_whole_events);
  g_test_add_func ("/event-stream/ids", test_event_ids);
  g_test_add_func ("/event-stream/stop", test_callback_stops_stream);
  return g_test_run ();
}
