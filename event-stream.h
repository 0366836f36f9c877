/**
 * @file event-stream.h
 * Cuts a text/event-stream into whole events, so that one which broke off
 * midway is never passed on. No I/O.
 */
#ifndef EVENT_STREAM_H
#define EVENT_STREAM_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

typedef struct event_stream event_stream_t;

/** One event with its closing blank line; valid only in the callback. */
typedef struct
{
  const uint8_t *data;
  size_t size_bytes;
  bool has_id;
  uint64_t id;
} event_stream_event_t;

/** @return false to stop; what follows is not looked at */
typedef bool (*event_stream_cb_t) (const event_stream_event_t *event,
                                   void *context);

/** Freed with @a parent (talloc). */
event_stream_t *
event_stream_new (void *parent, event_stream_cb_t on_event, void *context);

/** @return false when the callback stopped it, or an event is too long */
bool event_stream_feed (event_stream_t *stream,
                        const uint8_t *data,
                        size_t size_bytes);

/** Whether it stands between two events. */
bool event_stream_is_whole (const event_stream_t *stream);

#endif
