/**
 * @file lib-caller-server.h
 * Runs the server for callers, which answers each request at once, and one
 * caller on one event loop, for tests.
 */
#ifndef LIB_CALLER_SERVER_H
#define LIB_CALLER_SERVER_H

#include <stdint.h>

#include "caller-server.h"
#include "lib-caller.h"

struct event_base;

#define SERVED_WAIT_TIMEOUT_MS 20000
/** Size of the answer to all targets but "/small"; it is larger than all
 * buffers of the kernel. */
#define SERVED_BODY_BYTES (7u * 1024 * 1024)

typedef struct
{
  struct event_base *base;
  metrics_t *metrics;
  caller_server_t *server;
  caller_t *caller;
  char listen[32];
} served_t;

/** Starts the server and connects the caller. */
void served_set_up (served_t *served, uint32_t idle_timeout_ms);

void served_free_server (served_t *served);

/** Frees the rest after served_free_server(). */
void served_clean_up (served_t *served);

/** Runs the loop, while the caller reads nothing. */
void served_run_for (served_t *served, uint32_t time_ms);

/** Reads until the answer is over. */
void served_read_all (served_t *served);

#endif
