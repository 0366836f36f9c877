/**
 * @file exchange-internal.h
 * Shared by exchange.c (requests and their answers) and exchange-pool.c (the
 * connections that are kept between them). No other file includes this header.
 */
#ifndef EXCHANGE_INTERNAL_H
#define EXCHANGE_INTERNAL_H

#include <glib.h>

#include "exchange.h"
#include "http-reader.h"
#include "tunnel-frames.h"

struct bufferevent;
struct evbuffer;
struct event;

typedef struct connection connection_t;

struct exchange
{
  connection_t *connection;
  exchange_callbacks_t callbacks;
  void *context;
  bool closes; /* the connection is not kept after the answer */
};

struct connection
{
  exchange_pool_t *pool;
  uint64_t owner;
  char *address;
  const char *relay; /* which connects to the upstream, or NULL */
  bool is_framed;    /* the relay sends frames */
  tunnel_frames_t frames;
  struct evbuffer *frame_bytes; /* taken from frames, being parsed */
  uint32_t ways;                /* that were tried */
  struct bufferevent *stream;
  struct evbuffer *unsent; /* the request, until the connection is there */
  http_reader_t *reader;
  exchange_t *exchange; /* NULL while idle */
  bool is_connected;    /* to the upstream */
  bool is_parsing;      /* reader callbacks may be running */
  bool has_peer_closed; /* or reset the connection */
  bool awaits_written;  /* the answer has ended, the request is being written */
  uint64_t idle_until_ms;
};

struct exchange_pool
{
  exchange_pool_options_t options;
  GPtrArray *idle; /* idle connection_t, oldest first */
  struct event *sweep;
};

/** Keeps a connection for later exchanges with the same upstream. Closes the
 * oldest one if there are as many as allowed. */
void exchange_pool_keep (connection_t *connection);

/** Returns whether the peer keeps an idle connection long enough to use it. */
bool exchange_pool_can_keep (const connection_t *connection);

/** Removes and returns the most recently used idle connection to @a owner, or
 * NULL if there is none. */
connection_t *exchange_pool_take (exchange_pool_t *pool, uint64_t owner);

#endif
