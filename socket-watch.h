/**
 * @file socket-watch.h
 * Socket options that detect an unreachable peer of a TCP connection, which
 * sends neither FIN nor RST.
 */
#ifndef SOCKET_WATCH_H
#define SOCKET_WATCH_H

#include <event2/util.h>
#include <stdint.h>

/** Keepalive settings and the timeout of unacknowledged data. */
typedef struct
{
  uint32_t user_timeout_ms; /**< longest time that sent data may stay
                                 unacknowledged */
  uint32_t idle_s;          /**< idle time before the first keepalive probe */
  uint32_t interval_s;      /**< time between probes */
  uint32_t probes;          /**< unanswered probes that end the connection */
} socket_watch_t;

/**
 * Enables keepalive with these settings on @a fd, and disables Nagle's
 * algorithm so that small writes are sent at once. A failure is only logged.
 */
void socket_watch (evutil_socket_t fd, const socket_watch_t *watch);

#endif
