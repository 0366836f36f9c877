/**
 * @file load-share.h
 * Tells other entry instances which requests this one has at which upstreams,
 * and hears the same from them, over ZeroMQ.
 *
 * Changes are sent at once in small batches; all open jobs now and then, so
 * that a lost message does no lasting harm. Jobs of an instance that falls
 * silent are forgotten.
 */
#ifndef LOAD_SHARE_H
#define LOAD_SHARE_H

#include <stddef.h>
#include <stdint.h>

#include "metric.h"
#include "upstream-set.h"

struct event_base;

typedef struct load_share load_share_t;

typedef struct
{
  struct event_base *base;
  const char *listen; /**< IP:PORT */
  upstream_set_t *set;
  /** Jobs of others have changed; may be NULL. */
  void (*on_change) (void *context);
  /** An instance fell silent and has left reserved memory; may be NULL. */
  void (*on_orphan) (const upstream_job_t *job, void *context);
  void *context;
  metrics_t *metrics; /**< may be NULL */
} load_share_options_t;

/**
 * Listens; freed with @a parent (talloc).
 * @return NULL, after one line on stderr, when the address cannot be bound
 */
load_share_t *load_share_new (void *parent,
                              const load_share_options_t *options);

/** Adds instances to tell, by address; its own and known ones are skipped. */
void load_share_add_peers (load_share_t *share,
                           char *const *addresses,
                           size_t count);

/**
 * Instances that may be there, this one among them: those ever learned of or
 * heard of lately, so never too few. 0 while it knows of no other.
 */
uint32_t load_share_instances (const load_share_t *share);

/** An own job begins, has its first event, or ends. */
void load_share_begin (load_share_t *share, const upstream_job_t *job);
void load_share_answering (load_share_t *share, uint64_t job_id);
void
load_share_end (load_share_t *share, uint64_t job_id, upstream_job_end_t how);

/** A number for a new job, unique over all instances. */
uint64_t load_share_next_id (load_share_t *share);

#endif
