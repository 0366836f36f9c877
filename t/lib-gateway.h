/**
 * @file lib-gateway.h
 * Runs a gateway between one caller and two scripted upstreams on one event
 * loop, for tests.
 */
#ifndef LIB_GATEWAY_H
#define LIB_GATEWAY_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "base.h"
#include "gateway.h"
#include "lib-caller.h"
#include "lib-scripted.h"

#define GATEWAY_WAIT_TIMEOUT_MS 20000
#define GATEWAY_UPSTREAMS       2
/** After which callers leave a stream of /brief/ without an event. */
#define GATEWAY_PATIENCE_MS 400

typedef struct
{
  struct event_base *base;
  gateway_t *gateway;
  metrics_t *metrics;
  directory_t *directory;
  scripted_t upstreams[GATEWAY_UPSTREAMS];
  char listen[32];
  char share[32]; /* for other entry instances */
  /* The current caller. */
  struct bufferevent *caller;
  GString *answer;
  bool caller_closed;
} gateway_fixture_t;

/** Creates a gateway without a configuration or upstreams. */
gateway_fixture_t *gateway_fixture_new (void);
void gateway_fixture_free (gateway_fixture_t *fixture);

/** Creates a gateway that serves with both upstreams, which act as given. */
gateway_fixture_t *gateway_fixture_ready (act_t first, act_t second);

/** Puts the configuration of the tests in force. */
void gateway_fixture_configure (gateway_fixture_t *fixture);

/** Puts the same configuration in force with one more service. */
void gateway_fixture_add_service (gateway_fixture_t *fixture, const char *name);

/** Announces both upstreams. */
void gateway_fixture_announce (gateway_fixture_t *fixture);

/** Returns a streamed answer of at least this size, for ACT_TEXT: a head and
 * events in chunks, numbered from 1; freed with g_free(). */
char *gateway_fixture_stream_text (size_t size_bytes);

/** Sends a request over the caller's connection, opened if it is closed. */
void gateway_fixture_send (gateway_fixture_t *fixture, const char *request);

/** Sends a request and waits until its answer contains a text and nothing is
 * open. */
void gateway_fixture_call (gateway_fixture_t *fixture,
                           const char *request,
                           const char *expected);

/** Serves requests from which the service has retries to spend, and forgets
 * that they reached the upstreams. */
void gateway_fixture_earn_retries (gateway_fixture_t *fixture);

/** Stops the gateway step by step, as its process does, until it has ended, and
 * frees it; the caller reads a little in each step, and the rest after it. */
void gateway_fixture_stop (gateway_fixture_t *fixture, caller_t *caller);

/** Returns whether the answer so far contains a text. */
bool gateway_fixture_has_text (const gateway_fixture_t *fixture,
                               const char *part);

/** Returns whether the metrics contain a text. */
bool gateway_fixture_metrics_have (const gateway_fixture_t *fixture,
                                   const char *text);

/** Returns the number of requests that reached the upstreams. */
uint32_t gateway_fixture_requests (const gateway_fixture_t *fixture);

/** Runs the loop until a condition holds; needs event2/event.h. */
#define GATEWAY_WAIT(condition)                                                \
  do                                                                           \
    {                                                                          \
      uint64_t end_ms = clock_mono_ms () + GATEWAY_WAIT_TIMEOUT_MS;            \
      while (!(condition) && clock_mono_ms () < end_ms)                        \
        {                                                                      \
          event_base_loop (fixture->base, EVLOOP_NONBLOCK);                    \
          g_usleep (500);                                                      \
        }                                                                      \
      g_assert_true (condition);                                               \
    }                                                                          \
  while (0)

#define POST(path)                                                             \
  "POST " path " HTTP/1.1\r\nHost: h\r\nX-Id: r1\r\nX-Own: kept\r\n"           \
  "Content-Length: 5\r\n\r\nhello"
#define GET(path) "GET " path " HTTP/1.1\r\nHost: h\r\nX-Id: r1\r\n\r\n"

#endif
