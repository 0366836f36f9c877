/**
 * @file prefix-cache.h
 * Prefix cache of the stand-in engine. A block of a prompt is stored under the
 * hash of the prefix that ends with it; the least recently used block is
 * evicted first.
 */
#ifndef PREFIX_CACHE_H
#define PREFIX_CACHE_H

#include <stdbool.h>
#include <stdint.h>

#include "prompt.h"

typedef struct prefix_cache prefix_cache_t;

/**
 * Called when a prefix is added to the cache or evicted from it.
 * @param first_hash hash of the prompt's first block
 * @param tokens length of the prefix
 * @param present true: added, false: evicted
 */
typedef void (*prefix_cache_event_cb_t) (uint64_t first_hash,
                                         uint64_t prefix_hash,
                                         uint32_t tokens,
                                         bool present,
                                         void *context);

/** Size and event callback of a cache. */
typedef struct
{
  uint64_t limit_tokens;            /**< most tokens held */
  prefix_cache_event_cb_t on_event; /**< may be NULL */
  void *context;                    /**< passed to on_event */
} prefix_cache_options_t;

/** Creates an empty cache, freed with @a parent (talloc). */
prefix_cache_t *prefix_cache_new (void *parent,
                                  const prefix_cache_options_t *options);

/** Returns the length of the longest cached prefix of @a prompt, in tokens, and
 * marks that prefix as recently used. */
uint32_t prefix_cache_lookup (prefix_cache_t *cache, const prompt_t *prompt);

/** Adds the blocks of @a prompt from its start, as far as the limit allows, and
 * evicts others to make room. */
void prefix_cache_insert (prefix_cache_t *cache, const prompt_t *prompt);

/** Sets a new limit and evicts blocks until the cache is within it. */
void prefix_cache_set_limit (prefix_cache_t *cache, uint64_t limit_tokens);

/** Returns the number of cached tokens. */
uint64_t prefix_cache_tokens (const prefix_cache_t *cache);

#endif
