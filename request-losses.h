/**
 * @file request-losses.h
 * Sums up the losses of requests that are seen at several engines. Several
 * engines may read parts of one prompt; its request is delayed as much as its
 * most delayed part, so it is counted once, with its largest loss. No I/O.
 */
#ifndef REQUEST_LOSSES_H
#define REQUEST_LOSSES_H

#include <stdint.h>

#include "upstream-set.h"

/** Split requests that are told apart; further ones are counted singly. */
#define REQUEST_LOSSES_MAX 128

typedef struct
{
  uint64_t request; /**< upstream_job_t.request */
  double loss;
} request_loss_t;

typedef struct
{
  request_loss_t split[REQUEST_LOSSES_MAX];
  uint32_t split_count;
  double sum;
} request_losses_t;

/** Empties a sum. */
void request_losses_clear (request_losses_t *losses);

/** Adds the loss of the request of @a job through one engine. */
void request_losses_add (request_losses_t *losses,
                         const upstream_job_t *job,
                         double loss);

#endif
