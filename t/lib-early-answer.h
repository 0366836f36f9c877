/**
 * @file lib-early-answer.h
 * An upstream that answers a request as soon as its head has come and then ends
 * the connection, in order or not, while the body is still being sent. Runs on
 * the event loop of the test.
 */
#ifndef LIB_EARLY_ANSWER_H
#define LIB_EARLY_ANSWER_H

#include <glib.h>
#include <stddef.h>
#include <stdint.h>

struct event_base;
struct evconnlistener;

/** What follows the text of an answer. */
typedef enum
{
  EARLY_RESET,      /**< resets the connection */
  EARLY_CLOSE,      /**< closes it with bytes of the request unread */
  EARLY_READ_CLOSE, /**< reads what has come of the request, then closes; this
                         is all of it if another process writes fast */
  EARLY_READ_RESET, /**< reads the whole request, then resets */
  EARLY_HALF_CLOSE, /**< shuts the sending side and reads on until the end */
  EARLY_HALF_STALL, /**< shuts the sending side and reads nothing more */
  EARLY_HALF_RESET, /**< the same, and closes 20 ms later, bytes unread */
} early_end_t;

typedef struct
{
  struct evconnlistener *listener;
  GPtrArray *open; /**< open connections */
  char address[32];
  early_end_t end;
  const char *text;  /**< sent once the head of the request is there */
  const char *more;  /**< sent every 20 ms until the end; may be NULL */
  uint32_t delay_ms; /**< between the text and the end */
  uint32_t requests; /**< number of heads received */
  size_t last_bytes; /**< received of the last request */
} early_answer_t;

/** Listens on a free loopback address; stopped with early_answer_stop(). */
void early_answer_start (early_answer_t *upstream, struct event_base *base);

/** Stops listening and closes the connections that are open. */
void early_answer_stop (early_answer_t *upstream);

#endif
