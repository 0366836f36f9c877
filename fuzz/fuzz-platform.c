/* libFuzzer target for the platform's input: plain and packed configurations,
 * announcements, HTTP messages and event streams. The first byte selects the
 * decoder. */
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <talloc.h>

#include "event-stream.h"
#include "http-reader.h"
#include "packed-text.h"
#include "platform/announcement.h"
#include "platform/config-internal.h"
#include "platform/config.h"

#define MAX_TEXT_BYTES (1u << 20)
#define MAX_HEAD_BYTES 4096
#define DECODERS       6

/* NOLINTNEXTLINE(readability-identifier-naming): libFuzzer defines the name */
int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

static gateway_config_t *
read_by_steps (void *parent, const uint8_t *data, size_t size)
{
  platform_config_reader_t *reader = platform_config_reader_new (parent);
  gateway_config_t *config = NULL;
  char *why = NULL;

  platform_config_begin (reader, data, size);
  while (platform_config_step (reader, parent, &config, &why) == CONFIG_PARSING)
    continue;
  return config;
}

/** Reads a configuration as a whole and in steps. Aborts when only one of them
 * accepts it, or when they differ in number or routes. */
static void
read_config (const uint8_t *data, size_t size)
{
  void *parent = talloc_new (NULL);
  char *why = NULL;
  gateway_config_t *whole = config_read_whole (parent, data, size, &why);
  gateway_config_t *stepwise = read_by_steps (parent, data, size);

  if ((whole != NULL) != (stepwise != NULL))
    abort ();
  if (whole != NULL
      && (stepwise->number != whole->number
          || stepwise->route_count != whole->route_count))
    abort ();
  talloc_free (parent);
}

static void
read_packed (const uint8_t *data, size_t size)
{
  void *parent = talloc_new (NULL);
  size_t text_bytes;

  packed_text_unpack (parent, data, size, MAX_TEXT_BYTES, &text_bytes);
  talloc_free (parent);
}

static void
read_announcement (const uint8_t *data, size_t size)
{
  void *parent = talloc_new (NULL);
  directory_statement_t statement;

  platform_announcement_read (parent, "u", data, size, &statement);
  platform_leave_born_ms (data, size);
  talloc_free (parent);
}

static void
on_body (const uint8_t *data, size_t size_bytes, void *context)
{
}

/** Reads consecutive messages from input that arrives in two pieces. */
static void
read_messages (http_reader_kind_t kind, const uint8_t *data, size_t size)
{
  void *parent = talloc_new (NULL);
  http_reader_options_t options
      = { .kind = kind, .max_head_bytes = MAX_HEAD_BYTES, .on_body = on_body };
  http_reader_t *reader = http_reader_new (parent, &options);
  size_t at = 0;

  while (at < size)
    {
      size_t piece = at < size / 2 ? size / 2 - at : size - at;
      size_t used = 0;
      http_reader_result_t result
          = http_reader_feed (reader, data + at, piece, &used);

      if (result == HTTP_READER_ERROR || used > piece
          || (used == 0 && result != HTTP_READER_MORE))
        break;
      at += used;
      if (result == HTTP_READER_END)
        http_reader_reset (reader);
    }
  http_reader_end_input (reader);
  talloc_free (parent);
}

static bool
on_event (const event_stream_event_t *event, void *context)
{
  return event->size_bytes > 0;
}

static void
read_events (const uint8_t *data, size_t size)
{
  void *parent = talloc_new (NULL);
  event_stream_t *stream = event_stream_new (parent, on_event, NULL);

  if (event_stream_feed (stream, data, size / 2))
    event_stream_feed (stream, data + size / 2, size - size / 2);
  talloc_free (parent);
}

int
/* NOLINTNEXTLINE(readability-identifier-naming) */
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  if (size == 0)
    return 0;
  switch (data[0] % DECODERS)
    {
    case 0:
      read_config (data + 1, size - 1);
      break;
    case 1:
      read_packed (data + 1, size - 1);
      break;
    case 2:
      read_announcement (data + 1, size - 1);
      break;
    case 3:
      read_messages (HTTP_READER_REQUEST, data + 1, size - 1);
      break;
    case 4:
      read_messages (HTTP_READER_RESPONSE, data + 1, size - 1);
      break;
    default:
      read_events (data + 1, size - 1);
    }
  return 0;
}
