/**
 * @file lib-scripted.h
 * HTTP upstreams for tests that answer as they are told, on the test's own
 * loop.
 */
#ifndef LIB_SCRIPTED_H
#define LIB_SCRIPTED_H

#include <glib.h>
#include <stdint.h>

struct bufferevent;
struct event_base;
struct evconnlistener;

/** What one does with its next requests. */
typedef enum
{
  ACT_ANSWER,      /* 200 and a body */
  ACT_CLOSE,       /* reads the request and closes */
  ACT_NOT_RUN,     /* 503, has not run */
  ACT_FAIL,        /* 500 */
  ACT_FOREIGN,     /* the answer of another request */
  ACT_EXTRA,       /* an answer, and bytes after it */
  ACT_STREAM,      /* three events, then the end */
  ACT_STREAM_CUT,  /* an event and a half, then a close */
  ACT_STREAM_GAP,  /* an event is missing */
  ACT_STREAM_HELD, /* an event; the rest with scripted_let_go() */
  ACT_SILENT,      /* nothing */
  ACT_TEXT,        /* the text that it is given */
  ACT_TEXT_CUT,    /* the same, then a close */
} act_t;

typedef struct
{
  struct evconnlistener *listener;
  char address[32];
  act_t act;
  const char *text;         /* for ACT_TEXT */
  struct bufferevent *held; /* for ACT_STREAM_HELD */
  uint32_t requests;
  uint32_t closed; /* by the gateway, without an answer */
  GString *last;   /* request */
} scripted_t;

/** Listens on a free loopback address; stopped with scripted_stop(). */
void scripted_start (scripted_t *upstream, struct event_base *base);

/** Open connections end with their peer. */
void scripted_stop (scripted_t *upstream);

/** Writes a text to a connection. */
void scripted_say (struct bufferevent *stream, const char *text);

/**
 * Sends the rest of an ACT_STREAM_HELD at once, past the loop: it lies at the
 * peer before the loop goes on.
 */
void scripted_let_go (scripted_t *upstream);

/** A loopback address that was free a moment ago. */
void scripted_free_address (struct event_base *base, char text[32]);

#endif
