/**
 * @file cancels.h
 * Cancels streams and releases memory at upstreams. Each cancel is retried
 * until the upstream confirms it or has a new incarnation, which holds no
 * streams or memory of the old one.
 */
#ifndef CANCELS_H
#define CANCELS_H

#include <stdbool.h>
#include <stdint.h>

#include "metric.h"
#include "upstream.h"

struct event_base;

typedef struct cancels cancels_t;

typedef enum
{
  CANCEL_STREAM,
  CANCEL_RESERVATION, /**< release reserved memory */
  CANCEL_KV,          /**< drop exported KV */
  CANCEL_KIND_COUNT
} cancel_kind_t;

/** Called when a cancel ends: confirmed, given up, or no longer needed because
 * the upstream's incarnation has ended. */
typedef void (*cancels_closed_cb_t) (cancel_kind_t kind,
                                     const char *id,
                                     void *context);

typedef struct
{
  struct event_base *base;
  metrics_t *metrics;
  const upstream_ops_t *ops;
  void *ops_context;
  cancels_closed_cb_t closed; /**< may be NULL */
  void *context;
} cancels_options_t;

/** Creates an empty set of cancels, freed with @a parent (talloc). */
cancels_t *cancels_new (void *parent, const cancels_options_t *options);

/** Starts to cancel @a id at @a target; strings are copied. */
void cancels_add (cancels_t *cancels,
                  cancel_kind_t kind,
                  const upstream_target_t *target,
                  const char *id);

/**
 * Starts to cancel an orphan, a stream or memory that another instance
 * requested. The network may have delayed that instance's request until after
 * the first cancel, so the cancel is repeated a few times after it is
 * confirmed.
 */
void cancels_add_orphan (cancels_t *cancels,
                         cancel_kind_t kind,
                         const upstream_target_t *target,
                         const char *id);

/** Ends the cancels at an upstream's incarnations up to @a incarnation, which
 * have ended. */
void cancels_drop_incarnation (cancels_t *cancels,
                               const char *upstream,
                               uint64_t incarnation);

/** Returns the number of cancels that have not ended yet. */
uint32_t cancels_open_count (const cancels_t *cancels);

#endif
