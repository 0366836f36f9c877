/**
 * @file lib-crowd.h
 * Connections of callers that keep to no limit, for tests: one thread holds
 * them all. None of them connects again after it was closed.
 */
#ifndef LIB_CROWD_H
#define LIB_CROWD_H

#include <stdbool.h>
#include <stdint.h>

typedef enum
{
  CROWD_CHUNKS,        /**< chunks of 64 KiB, then nothing more */
  CROWD_TINY_CHUNKS,   /**< chunks of 1 byte, then nothing more */
  CROWD_DECLARED,      /**< far more declared than sent */
  CROWD_DECLARED_PAST, /**< declared and sent past the limit */
  CROWD_CHUNKED_PAST,  /**< chunks past the limit */
  CROWD_TRICKLE,       /**< a body whose last part comes byte by byte */
  CROWD_HEADS,         /**< heads without an end */
  CROWD_SLOW_READERS,  /**< long answers that are read slowly */
  CROWD_IDLE,          /**< connections on which nothing is sent */
  CROWD_WAYS
} crowd_way_t;

typedef struct crowd crowd_t;

typedef struct
{
  const char *address; /**< IP:PORT */
  const char *host;
  uint32_t connections[CROWD_WAYS];
} crowd_options_t;

/** Connects and begins to send. */
crowd_t *crowd_start (const crowd_options_t *options);

/** Waits until each connection has sent what it sends or was closed, or until
 * what is left makes no progress, as when it is not read. */
void crowd_wait_sent (crowd_t *crowd);

/** Closes all connections. */
void crowd_free (crowd_t *crowd);

#endif
