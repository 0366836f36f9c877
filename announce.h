/**
 * @file announce.h
 * Announces an upstream to the entry instances: once per interval, and
 * immediately when its state changes. A failed announcement is repeated at the
 * next interval. An entry instance that does not answer never delays the
 * announcements to other entry instances.
 */
#ifndef ANNOUNCE_H
#define ANNOUNCE_H

#include <json-glib/json-glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct event_base;

typedef struct announce announce_t;

/** Returns the current announcement; the caller owns the node. */
typedef JsonNode *(*announce_body_cb_t) (void *context);

typedef struct
{
  struct event_base *base;
  char **targets; /**< entry instances' IP:PORT; outlive the announcer */
  size_t target_count;
  uint32_t interval_ms;
  announce_body_cb_t body;
  void *context;
} announce_options_t;

/**
 * Starts announcing. The result is a talloc child of @a parent, which must be
 * freed before the event loop.
 */
announce_t *announce_new (void *parent, const announce_options_t *options);

/**
 * Announces a changed state immediately. When a request to a target is still
 * pending, that target gets the new state as soon as the request ends.
 */
void announce_now (announce_t *announce);

/** Returns whether every request for the last change succeeded or failed. */
bool announce_is_settled (const announce_t *announce);

#endif
