/**
 * @file engine-memory.h
 * Reserves memory at engines for prompts that no single engine can hold.
 *
 * A reservation is requested with an order, kept for one request by short
 * leases that are renewed, and released with another order, which is repeated
 * until the engine answers. An engine may carry out an order late, so the
 * release of a reservation with unanswered orders is repeated until these would
 * have expired. Other instances know of the reservation (load-share.h) until
 * its release is confirmed, and release it when its owner times out. A
 * reservation whose release never reaches the engine expires with its lease.
 * No reservation is used twice.
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
typedef struct engine_reservation engine_reservation_t;

/**
 * Reports the answer of the engine: the memory is reserved, or not available.
 */
typedef void (*engine_reservation_cb_t) (engine_reservation_t *ticket,
                                         bool is_held,
                                         void *context);

/** The objects of the gateway that reservations use. They must outlive the
 * reservations. */
typedef struct
{
  struct event_base *base;
  exchange_pool_t *pool;
  const gateway_protocol_t *protocol;
  /** A reservation of engine_memory_reserve() is released; may be NULL. */
  void (*on_released) (uint64_t job_id, void *context);
  void *context;
  metrics_t *metrics;
} engine_memory_options_t;

/** Creates the reservations of this instance; freed with @a parent (talloc). */
engine_memory_t *engine_memory_new (void *parent,
                                    const engine_memory_options_t *options);

/** A reservation to request. Strings are copied. */
typedef struct
{
  uint64_t upstream; /**< key of the incarnation */
  const char *address;
  uint64_t job_id; /**< of the job that uses it, which names the reservation */
  uint32_t tokens;
  engine_reservation_cb_t
      done; /**< called once, after the call returns, unless released first */
  void *context;
} engine_reservation_options_t;

/**
 * Releases the reservation of a job whose instance can no longer do so itself.
 * Does nothing while an earlier call for the same job is in progress.
 */
void engine_memory_release_orphan (engine_memory_t *memory,
                                   uint64_t upstream,
                                   const char *address,
                                   uint64_t job_id);

/**
 * Sends an order that reserves memory. The result goes to the callback. The
 * caller ends the reservation with engine_memory_release().
 */
engine_reservation_t *
engine_memory_reserve (engine_memory_t *memory,
                       const engine_reservation_options_t *options);

/**
 * Releases the reservation, whether granted yet or not. @a ticket is invalid
 * afterwards.
 */
void engine_memory_release (engine_reservation_t *ticket);

/**
 * Returns the id of the reservation, for the engine that decodes. It is valid
 * as long as @a ticket.
 */
const char *engine_reservation_id (const engine_reservation_t *ticket);

#endif
