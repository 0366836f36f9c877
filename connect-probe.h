/**
 * @file connect-probe.h
 * Tries whether an address accepts a connection. The connection is closed
 * without a byte.
 */
#ifndef CONNECT_PROBE_H
#define CONNECT_PROBE_H

#include <stdbool.h>
#include <stdint.h>

struct event_base;

typedef struct connect_probe connect_probe_t;

typedef struct
{
  struct event_base *base;
  const char *address; /**< IP:PORT */
  uint32_t timeout_ms;
  uint64_t key; /**< passed to done */
  /** Called once, never from within connect_probe_new(). The probe is freed
   * after it. */
  void (*done) (uint64_t key, bool is_connected, void *context);
  void *context;
} connect_probe_options_t;

/** Starts to connect; freed with @a parent (talloc), without a call of done, or
 * after done. */
connect_probe_t *connect_probe_new (void *parent,
                                    const connect_probe_options_t *options);

#endif
