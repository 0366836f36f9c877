/**
 * @file cachepoll.h
 * Polls the engines of this instance's zone for their cache events and passes
 * the events to the scheduler as hints.
 *
 * Events arrive late and with gaps, so a hint may be wrong. A wrong hint makes
 * a prompt take longer to read; it never causes a wrong answer. One engine is
 * polled per interval, in order of name, so that the cost of polling does not
 * grow with the number of engines in the zone.
 */
#ifndef CACHEPOLL_H
#define CACHEPOLL_H

#include "metric.h"
#include "registry.h"
#include "sched.h"
#include "upstream.h"

struct event_base;

typedef struct cachepoll cachepoll_t;

/** Components and settings that the poller uses. */
typedef struct
{
  struct event_base *base;
  metrics_t *metrics;
  const registry_t *registry; /**< upstreams to choose from */
  sched_t *sched;             /**< receives the hints */
  const upstream_ops_t *ops;  /**< protocol of the upstreams */
  void *ops_context;
  const char *zone; /**< this instance's availability zone */
} cachepoll_options_t;

/**
 * Starts polling. Everything in @a options must outlive the result, which is
 * freed with @a parent (talloc) and must be freed before the event loop.
 */
cachepoll_t *cachepoll_new (void *parent, const cachepoll_options_t *options);

#endif
