/**
 * @file queue.h
 * Queue of waiting requests, in the order in which the scheduler considers
 * them: by priority, then by the customers' fair shares, then by arrival.
 *
 * Fair shares use start-time fair queuing (Goyal, Vin and Cheng, 1996). The
 * virtual start time of a customer's requests advances by the tokens of each
 * request divided by the customer's weight, and the request with the lowest
 * start time goes first.
 */
#ifndef QUEUE_H
#define QUEUE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "job.h"

typedef struct queue queue_t;

/** Creates an empty queue, freed with @a parent (talloc). */
queue_t *queue_new (void *parent);

/** Sets the weight of a customer. The minimum is 1, which is also the weight of
 * a customer that was never set. */
void queue_set_weight (queue_t *queue, const char *customer, uint32_t weight);

/** Sets the fair_tag of @a job: the virtual start time it would get now. */
void queue_assign_tag (queue_t *queue, job_t *job);

/** Adds a new @a job at its place in the order; its fair_tag must be set. */
void queue_add (queue_t *queue, job_t *job);

/** Puts a job that was sent and failed back to its former place in the order,
 * without charging its customer again. */
void queue_restore (queue_t *queue, job_t *job);

/** Removes @a job if it waits. @a served is true when it is being sent and
 * false when it ends without being sent. */
void queue_remove (queue_t *queue, job_t *job, bool served);

/** Returns the number of waiting requests. */
uint32_t queue_length (const queue_t *queue);

/** Returns an iterator at the first request. g_sequence_iter_next() advances it
 * and g_sequence_get() returns the job_t. */
GSequenceIter *queue_first (const queue_t *queue);

/** A customer's waiting tokens and its share among the waiting customers. */
typedef struct
{
  /** Waiting tokens of the customer with the service, length class and
   * priority of the job. */
  uint64_t tokens;
  /** Weight of the customer divided by the total weight of the customers with
   * such tokens, this customer included. */
  double share;
} queue_share_t;

/** Returns the figures that the customer of @a job has now. */
queue_share_t queue_customer_share (queue_t *queue, const job_t *job);

/** Returns the prompt tokens that wait ahead of the place of @a job and belong
 * to the same service and length class. */
uint64_t queue_tokens_before (const queue_t *queue, const job_t *job);

#endif
