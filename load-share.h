/**
 * @file load-share.h
 * Exchanges the open jobs with other entry instances over ZeroMQ: which
 * requests each instance has at which upstreams.
 *
 * Changes are sent at once in small batches. All open jobs are sent at regular
 * intervals as well, so that a lost message has no lasting effect. The jobs of
 * an instance that times out are removed.
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
  /** The jobs of other instances have changed; may be NULL. */
  void (*on_change) (void *context);
  /** An instance timed out and has left reserved memory; may be NULL. */
  void (*on_orphan) (const upstream_job_t *job, void *context);
  void *context;
  metrics_t *metrics; /**< may be NULL */
} load_share_options_t;

/**
 * Starts to listen, and to send and receive updates; freed with @a parent
 * (talloc).
 * @return NULL, after one line on stderr, when the address cannot be bound
 */
load_share_t *load_share_new (void *parent,
                              const load_share_options_t *options);

/**
 * Adds instances that receive updates, by address. This instance's own address
 * and known addresses are skipped.
 */
void load_share_add_peers (load_share_t *share,
                           char *const *addresses,
                           size_t count);

/**
 * Returns how many instances there may be, including this one: those whose
 * address was ever learned or that sent updates lately. The result is never too
 * small. It is 0 while no other instance is known.
 */
uint32_t load_share_instances (const load_share_t *share);

/** Announces that a job of this instance begins. */
void load_share_begin (load_share_t *share, const upstream_job_t *job);
/** Announces that a job of this instance has its first event. */
void load_share_first_event (load_share_t *share, uint64_t job_id);
/** Announces that a job of this instance has ended. */
void
load_share_end (load_share_t *share, uint64_t job_id, upstream_job_end_t how);

/** Returns an id for a new job, unique over all instances. */
uint64_t load_share_next_id (load_share_t *share);

#endif
