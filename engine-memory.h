/**
 * @file engine-memory.h
 * Reserved memory at engines, for prompts that none of them can hold alone.
 *
 * A ticket is asked for with an order, kept for one request and given back with
 * another order, which is repeated until it is answered. Other instances know
 * of it (load-share.h) and give it back when its owner falls silent. A ticket
 * whose end is never heard of runs out by itself. No ticket is used twice.
 */
#ifndef ENGINE_MEMORY_H
#define ENGINE_MEMORY_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "exchange.h"
#include "gateway.h"

struct event_base;

typedef struct engine_memory engine_memory_t;
typedef struct engine_ticket engine_ticket_t;

/** The engine has answered: the memory is held, or is not to be had. */
typedef void (*engine_ticket_cb_t) (engine_ticket_t *ticket,
                                    bool is_held,
                                    void *context);

typedef struct
{
  struct event_base *base;
  exchange_pool_t *pool;
  const gateway_protocol_t *protocol;
  metrics_t *metrics;
} engine_memory_options_t;

/** Freed with @a parent (talloc). */
engine_memory_t *engine_memory_new (void *parent,
                                    const engine_memory_options_t *options);

typedef struct
{
  uint64_t upstream; /**< incarnation's key */
  const char *address;
  const char *name; /**< see engine_memory_name() */
  uint32_t tokens;
  engine_ticket_cb_t done; /**< called once, later, unless given back first */
  void *context;
} engine_ticket_options_t;

/** A name for a new ticket, unique over all instances; for talloc @a parent. */
char *engine_memory_name (engine_memory_t *memory, void *parent);

/** Gives back what another instance had asked for and can no longer. */
void engine_memory_clear (engine_memory_t *memory,
                          uint64_t upstream,
                          const char *address,
                          const char *name);

/** Asks for memory. */
engine_ticket_t *engine_memory_ask (engine_memory_t *memory,
                                    const engine_ticket_options_t *options);

/** Gives it back, held or not; @a ticket is no longer valid. */
void engine_memory_give_back (engine_ticket_t *ticket);

/** Name of the ticket for the engine that writes. */
const char *engine_ticket_name (const engine_ticket_t *ticket);

#endif
