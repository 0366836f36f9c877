/**
 * @file event-stream.h
 * Parser that splits a text/event-stream into complete events, so that an
 * incomplete event is never relayed. The parser does no I/O.
 */
#ifndef EVENT_STREAM_H
#define EVENT_STREAM_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

typedef struct event_stream event_stream_t;

/** An event with its terminating blank line; valid only in the callback. */
typedef struct
{
  const uint8_t *data;
  size_t size_bytes;
  bool has_id;
  bool has_data; /**< it has more than comments and blank lines */
  uint64_t id;
} event_stream_event_t;

/**
 * Handles one event.
 * @return false to stop; the remaining bytes are not parsed
 */
typedef bool (*event_stream_cb_t) (const event_stream_event_t *event,
                                   void *context);

/** Creates a parser, freed with @a parent (talloc). */
event_stream_t *
event_stream_new (void *parent, event_stream_cb_t on_event, void *context);

/**
 * Parses the next bytes and calls the callback for each complete event.
 * @return false when the callback stopped the parser, or an event is too long
 */
bool event_stream_feed (event_stream_t *stream,
                        const uint8_t *data,
                        size_t size_bytes);

/** Returns the bytes of an incomplete event that are buffered. */
size_t event_stream_held_bytes (const event_stream_t *stream);

/** Returns true if no incomplete event is buffered. */
bool event_stream_is_complete (const event_stream_t *stream);

#endif
