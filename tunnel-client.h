/**
 * @file tunnel-client.h
 * The request for a connection to an upstream through a relay
 * (tunnel-server.h), and the relay's answer. No I/O but on buffers.
 */
#ifndef TUNNEL_CLIENT_H
#define TUNNEL_CLIENT_H

#include <stdbool.h>

struct evbuffer;

/** What a relay answered to the request. */
typedef enum
{
  TUNNEL_ANSWER_MORE,          /**< the answer is not complete yet */
  TUNNEL_ANSWER_OPEN,          /**< the connection to the upstream is there */
  TUNNEL_ANSWER_NOT_CONNECTED, /**< the upstream accepts no connection */
  TUNNEL_ANSWER_UNUSABLE,      /**< the relay relays nothing, or is none */
} tunnel_answer_t;

/** Adds the request for a connection to @a address, IP:PORT, with the
 * upstream's bytes in frames (tunnel-frames.h). */
void tunnel_client_ask (struct evbuffer *out, const char *address);

/**
 * Reads the answer, and removes it from @a in if the connection is there.
 * @param is_framed set with TUNNEL_ANSWER_OPEN: whether the relay sends frames,
 * which one of an earlier version does not
 */
tunnel_answer_t tunnel_client_read (struct evbuffer *in, bool *is_framed);

#endif
