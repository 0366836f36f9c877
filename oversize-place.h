/**
 * @file oversize-place.h
 * Selection of the engines that read the spans of an oversize prompt. No I/O.
 */
#ifndef OVERSIZE_PLACE_H
#define OVERSIZE_PLACE_H

#include <glib.h>
#include <stdint.h>

#include "registry.h"
#include "weights.h"

/** Criteria for the engines that can serve a request. */
typedef struct
{
  const registry_t *registry;
  const char *service;
  weights_t weights; /**< model or version NULL: any; adapter NULL: none */
} oversize_filter_t;

/** Returns the largest KV memory, in tokens, of the matching engines; 0 when no
 * engine matches. */
uint64_t oversize_max_kv_tokens (const oversize_filter_t *filter);

/** Returns the prefill rate of the fastest matching engine, at least 1. */
uint32_t oversize_max_prefill_tokens_s (const oversize_filter_t *filter);

/**
 * Returns the weights for all passes over a prompt: the weights of the
 * preferred version, else the weights that most matching engines have loaded.
 * @param version preferred version, or NULL
 * @return valid until the registry changes; all members are NULL when no engine
 *         matches
 */
weights_t oversize_pick_weights (const oversize_filter_t *filter,
                                 const char *version);

/** Limits on the engines that may be reserved for one prompt. */
typedef struct
{
  const char *zone; /**< preferred; other zones only if it has no engine */
  uint64_t span_kv_tokens;      /**< least KV memory of an engine */
  uint32_t max_engines;         /**< upper bound of the result */
  GHashTable *reserved_engines; /**< set of names of engines in use */
} oversize_limits_t;

/**
 * Chooses the engines with the most free memory. At most half of a zone's
 * engines read spans at a time, including those reserved already, but at least
 * one engine may.
 * @return array of registry_upstream_t sorted by name; the caller frees it with
 *         g_ptr_array_free(), the elements belong to the registry
 */
GPtrArray *oversize_choose_engines (const oversize_filter_t *filter,
                                    const oversize_limits_t *limits);

#endif
