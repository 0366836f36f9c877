/**
 * @file retry.h
 * Why requests are sent again, counted by reason, and how often they may be.
 *
 * The budget is a share of a service's recent requests, not a count for each
 * request: when a third of the upstreams fail, retries stay a tenth of the
 * traffic instead of multiplying it. (The idea is that of Finagle's retry
 * budgets.) No I/O; time is an argument.
 */
#ifndef RETRY_H
#define RETRY_H

#include <stdbool.h>
#include <stdint.h>

#include "metric.h"
#include "upstream.h"

typedef enum
{
  RETRY_CONNECT,    /**< could not connect */
  RETRY_BUSY,       /**< refused before running: full */
  RETRY_NOT_LOADED, /**< refused before running: weights not loaded */
  RETRY_LEAVING,    /**< refused before running: stopping */
  RETRY_REFUSED,    /**< refused before running: any other reason */
  RETRY_ERROR,      /**< failed without an answer */
  RETRY_BROKEN,     /**< the connection broke */
  RETRY_TRUNCATED,  /**< the answer ended early */
  RETRY_CROSSED,    /**< a piece of another answer came */
  RETRY_STALLED,    /**< nothing came for too long */
  RETRY_LOST,       /**< the upstream no longer has the stream */
  RETRY_VERSION,    /**< other weights than the answer began with */
  RETRY_REASON_COUNT
} retry_reason_t;

typedef struct retry retry_t;

/** Freed with @a parent (talloc); @a metrics may be NULL. */
retry_t *retry_new (void *parent, metrics_t *metrics);

const char *retry_reason_name (retry_reason_t reason);

/** The reason that a call's end gives; only for ends other than DONE. */
retry_reason_t retry_reason_of (upstream_result_t result);

/** Whether a retry for @a reason takes from the budget. */
bool retry_is_budgeted (retry_reason_t reason);

/** How much may be sent again. */
typedef struct
{
  uint32_t percent; /**< of recent requests; 0 for the default */
  uint32_t spare;   /**< beyond that, in any ten seconds */
} retry_budget_t;

/**
 * An instance's part of a budget that all instances share: of its own requests
 * the same share, of the spare retries an equal part, so that all together
 * stay within the whole.
 * @param spare of all instances together
 * @param instances how many there are at most, 0 for not known
 */
retry_budget_t
retry_budget_part (uint32_t percent, uint32_t spare, uint32_t instances);

/** Counts a request of @a service towards its budget. */
void retry_note_request (retry_t *retry, const char *service, uint64_t now_ms);

/**
 * Takes one retry from the budget of @a service and counts it.
 * @return false when the budget is used up
 */
bool retry_take (retry_t *retry,
                 const char *service,
                 retry_reason_t reason,
                 const retry_budget_t *budget,
                 uint64_t now_ms);

/** Counts a resumed stream, which costs the upstream no work. */
void retry_count_resume (retry_t *retry, retry_reason_t reason);

#endif
