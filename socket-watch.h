/**
 * @file socket-watch.h
 * Finds out that the peer of a TCP connection is gone without a word.
 */
#ifndef SOCKET_WATCH_H
#define SOCKET_WATCH_H

#include <event2/util.h>
#include <stdint.h>

typedef struct
{
  uint32_t user_timeout_ms; /**< bytes that are not acknowledged for so long */
  uint32_t idle_s;          /**< idle time before the first probe */
  uint32_t every_s;         /**< between probes */
  uint32_t probes;          /**< without an answer end the connection */
} socket_watch_t;

/** Watches the peer of @a fd, and sends small pieces at once. */
void socket_watch (evutil_socket_t fd, const socket_watch_t *watch);

#endif
