/**
 * @file mq.h
 * ZeroMQ sockets driven from a libevent loop.
 *
 * The descriptor that ZeroMQ offers for polling (ZMQ_FD) is edge-triggered: the
 * socket must be drained after every send and every receive, which this module
 * does. ZeroMQ runs one I/O thread; all callbacks run on the loop's thread.
 */
#ifndef MQ_H
#define MQ_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct event_base;

typedef struct mq mq_t;

/** One frame of a message. A received frame is valid only in the callback. */
typedef struct
{
  const uint8_t *data;
  size_t size_bytes;
} mq_frame_t;

/**
 * Called for each received message. On a ROUTER socket the first frame is the
 * sender's routing id.
 */
typedef void (*mq_message_cb_t) (const mq_frame_t *frames,
                                 size_t count,
                                 void *context);

/** Parameters of mq_new(). */
typedef struct
{
  struct event_base *base;
  int type;                   /**< ZMQ_ROUTER, ZMQ_DEALER, ZMQ_PUSH, ... */
  const char *identity;       /**< routing id, or NULL */
  const char *bind;           /**< IP:PORT, or NULL */
  const char *connect;        /**< IP:PORT, or NULL */
  uint32_t queue_messages;    /**< high-water mark per direction; 0 for 1000 */
  mq_message_cb_t on_message; /**< NULL for a send-only socket */
  void *context;
} mq_options_t;

/**
 * Opens a socket.
 * @return freed with @a parent (talloc); NULL with errno set when the socket
 * cannot bind or connect
 */
mq_t *mq_new (void *parent, const mq_options_t *options);

/**
 * Connects an open socket to one more address.
 * @param address IP:PORT
 * @return false when ZeroMQ rejects the address
 */
bool mq_connect (mq_t *mq, const char *address);

/**
 * Sends a message without blocking.
 * @return false when the message was dropped: queue full or receiver unknown
 */
bool mq_send (mq_t *mq, const mq_frame_t *frames, size_t count);

#endif
