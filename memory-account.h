/**
 * @file memory-account.h
 * Total of the bytes that clients make a process hold, with a limit. No I/O;
 * time is an argument.
 *
 * Each connection is a holder, which states the bytes that it holds and when
 * its client last made progress. When the total exceeds the limit, the account
 * asks holders to yield until it does not: first the one with the highest
 * product of bytes and time without progress.
 */
#ifndef MEMORY_ACCOUNT_H
#define MEMORY_ACCOUNT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "metric.h"

typedef struct memory_account memory_account_t;
typedef struct memory_holder memory_holder_t;

typedef struct
{
  uint64_t limit_bytes; /**< 0: no limit */
  metrics_t *metrics;   /**< or NULL */
} memory_account_options_t;

typedef struct
{
  /**
   * Asks the holder to release its bytes, by refusing the request or by closing
   * the connection. It is called within memory_holder_set() of any holder of
   * the account. It may free its own holder but no other one, or do so in a
   * later turn of the loop: the account counts the bytes as released at once,
   * and does not call again before the holder has stated 0 bytes.
   */
  void (*on_reclaim) (void *context);
  void *context;
} memory_holder_options_t;

/** Creates an account, freed with @a parent (talloc). Holders that outlive it
 * have no effect. */
memory_account_t *memory_account_new (void *parent,
                                      const memory_account_options_t *options);

/** Returns the limit; 0: none. */
uint64_t memory_account_limit (const memory_account_t *account);

/** Returns the sum of the bytes of all holders. */
uint64_t memory_account_held (const memory_account_t *account);

/** Returns whether @a bytes more fit within the limit. */
bool memory_account_has_room (const memory_account_t *account, uint64_t bytes);

/** Counts a connection that is closed because its client is too slow. */
void memory_account_count_slow (memory_account_t *account);

/** Creates a holder of 0 bytes, freed with @a parent (talloc); its bytes leave
 * the account then. */
memory_holder_t *memory_holder_new (void *parent,
                                    memory_account_t *account,
                                    const memory_holder_options_t *options);

/** States that the client made progress at @a now_ms. */
void memory_holder_progress (memory_holder_t *holder, uint64_t now_ms);

/** States whether work goes on for what the holder holds, which would be lost:
 * then others yield first unless they hold far less. */
void memory_holder_set_working (memory_holder_t *holder, bool is_working);

/**
 * States the bytes that the holder holds now. If the total exceeds the limit,
 * holders are asked to yield.
 * @return false if this holder was asked to yield within the call, and may be
 *         freed
 */
bool
memory_holder_set (memory_holder_t *holder, uint64_t bytes, uint64_t now_ms);

/** Returns the bytes that were stated last. */
uint64_t memory_holder_bytes (const memory_holder_t *holder);

#endif
