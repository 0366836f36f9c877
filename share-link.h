/**
 * @file share-link.h
 * Sends typed messages to other entry instances over ZeroMQ.
 *
 * Connections are opened when a message is sent and closed when none was sent
 * for a while, so that an instance is connected only to the few others that it
 * needs. A message can be answered over the connection on which it came.
 */
#ifndef SHARE_LINK_H
#define SHARE_LINK_H

#include <stdbool.h>
#include <stdint.h>

#include "share.pb-c.h"

struct event_base;

typedef struct share_link share_link_t;

typedef struct
{
  struct event_base *base;
  const char *listen; /**< IP:PORT */
  /**
   * Receives a message, valid only in the callback.
   * @param address of the instance that answers over the connection which this
   * instance opened; NULL for a message of another instance's own accord
   */
  void (*on_message) (const Lwm__ShareMessage *message,
                      const char *address,
                      void *context);
  void *context;
} share_link_options_t;

/**
 * Starts to listen; freed with @a parent (talloc).
 * @return NULL, after one line on stderr, when the address cannot be bound
 */
share_link_t *share_link_new (void *parent,
                              const share_link_options_t *options);

/** Returns the random number that identifies this instance in its messages. */
uint64_t share_link_incarnation (const share_link_t *link);

/**
 * Sends a message to the instance that listens on @a address. Sets its sender.
 * @return its size in bytes; 0 when it was dropped
 */
size_t share_link_send (share_link_t *link,
                        const char *address,
                        Lwm__ShareMessage *message);

/**
 * Sends a message over the connection on which the last one of @a incarnation
 * came. Sets its sender.
 * @return its size in bytes; 0 when it was dropped
 */
size_t share_link_reply (share_link_t *link,
                         uint64_t incarnation,
                         Lwm__ShareMessage *message);

/** Closes unused connections. To be called about once a second. */
void share_link_tick (share_link_t *link, uint64_t now_ms);

#endif
