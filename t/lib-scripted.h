/**
 * @file lib-scripted.h
 * Runs HTTP upstreams with scripted answers on the event loop of the test.
 */
#ifndef LIB_SCRIPTED_H
#define LIB_SCRIPTED_H

#include <glib.h>
#include <stdint.h>

struct bufferevent;
struct event_base;
struct evconnlistener;

/** How a scripted upstream answers its next requests. */
typedef enum
{
  ACT_ANSWER,      /* 200 and a body */
  ACT_CLOSE,       /* reads the request and closes */
  ACT_NOT_RUN,     /* 503 with X-Not-Run */
  ACT_FAIL,        /* 500 */
  ACT_FOREIGN,     /* the answer to another request */
  ACT_EXTRA,       /* an answer, followed by a second answer */
  ACT_STREAM,      /* three events and the end of the stream */
  ACT_STREAM_CUT,  /* an event and a half, then a connection reset */
  ACT_STREAM_GAP,  /* events 1 and 3, without 2 */
  ACT_STREAM_HELD, /* one event; scripted_send_held() sends the rest */
  ACT_NO_ANSWER,   /* reads the request and never answers */
  ACT_TEXT,        /* sends the field "text" */
  ACT_TEXT_CUT,    /* sends the field "text", then closes */
  ACT_COPY,    /* as ACT_ANSWER, with the request's id; on a connection that has
                  answered before, the field "text" comes first */
  ACT_ENDLESS, /* sends the field "text", then "filler" until it is closed */
} act_t;

typedef struct
{
  struct evconnlistener *listener;
  char address[32];
  act_t act;
  const char *text;      /* for ACT_TEXT, ACT_TEXT_CUT and ACT_ENDLESS */
  size_t text_bytes;     /* of "text" if it holds a NUL, else 0 */
  const char *filler;    /* for ACT_ENDLESS */
  uint32_t interval_ms;  /* between two fillers */
  uint64_t filler_bytes; /* sent by all connections */
  uint32_t ended; /* connections with ACT_ENDLESS closed by the gateway */
  struct bufferevent
      *held;         /* connection whose answer ACT_STREAM_HELD holds back */
  uint32_t requests; /* number of requests received */
  uint32_t runs;     /* number of answers of ACT_COPY */
  uint32_t connections;
  struct bufferevent *latest; /* connection of the last request */
  uint32_t closed; /* connections closed by the gateway before an answer */
  GString *last;   /* last request received */
} scripted_t;

/** Listens on a free loopback address; stopped with scripted_stop(). */
void scripted_start (scripted_t *upstream, struct event_base *base);

/** Stops listening; open connections end when their peer closes them. */
void scripted_stop (scripted_t *upstream);

/** Writes a text to a connection. */
void scripted_write (struct bufferevent *stream, const char *text);

/**
 * Sends the rest of an ACT_STREAM_HELD answer at once, bypassing the event
 * loop: the peer has received it before the loop continues.
 */
void scripted_send_held (scripted_t *upstream);

/** Sends a text on the connection of the last request at once, bypassing the
 * event loop. */
void scripted_send_latest (scripted_t *upstream, const char *text);

#endif
