/**
 * @file cancels.h
 * Cancels of streams and releases of memory at upstreams, repeated until the
 * upstream confirms them or its incarnation changed (a new incarnation holds
 * nothing of the old one).
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
  CANCEL_RESERVATION,
  CANCEL_KV,
  CANCEL_KIND_COUNT
} cancel_kind_t;

/** A cancel is over: confirmed, or nothing is left to cancel. */
typedef void (*cancels_over_cb_t) (cancel_kind_t kind,
                                   const char *id,
                                   void *context);

typedef struct
{
  struct event_base *base;
  metrics_t *metrics;
  const upstream_ops_t *ops;
  void *ops_context;
  cancels_over_cb_t over; /**< may be NULL */
  void *context;
} cancels_options_t;

/** Freed with @a parent (talloc). */
cancels_t *cancels_new (void *parent, const cancels_options_t *options);

/** Starts to cancel @a id at @a target; strings are copied. */
void cancels_add (cancels_t *cancels,
                  cancel_kind_t kind,
                  const upstream_target_t *target,
                  const char *id);

/**
 * The same for what another instance had asked for: a link may have held its
 * request up, which then arrives after the first cancel. So it is cancelled a
 * few times.
 */
void cancels_add_orphan (cancels_t *cancels,
                         cancel_kind_t kind,
                         const upstream_target_t *target,
                         const char *id);

/** An upstream's incarnations up to @a incarnation are no more. */
void
cancels_forget (cancels_t *cancels, const char *upstream, uint64_t incarnation);

/** Cancels not confirmed yet. */
uint32_t cancels_open (const cancels_t *cancels);

#endif
