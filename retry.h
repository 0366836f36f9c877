/**
 * @file retry.h
 * Reasons and budgets of retries. The module counts retries by reason and
 * limits how many a service may use.
 *
 * The budget is a percentage of a service's recent requests, not a number of
 * retries for each request. When a third of the upstreams fail, retries are
 * limited to a tenth of the traffic (by default) instead of multiplying it.
 * Finagle's retry budgets work in the same way. The module does no I/O, and
 * the time is an argument.
 */
#ifndef RETRY_H
#define RETRY_H

#include <stdbool.h>
#include <stdint.h>

#include "metric.h"
#include "upstream.h"

/** Why a request is sent again. */
typedef enum
{
  RETRY_CONNECT,    /**< the connection could not be opened */
  RETRY_BUSY,       /**< refused before running: full */
  RETRY_NOT_LOADED, /**< refused before running: weights not loaded */
  RETRY_LEAVING,    /**< refused before running: stopping */
  RETRY_REFUSED,    /**< refused before running: any other reason */
  RETRY_ERROR,      /**< failed without an answer */
  RETRY_BROKEN,     /**< the connection broke */
  RETRY_TRUNCATED,  /**< the answer ended early */
  RETRY_CROSSED,    /**< a part of another answer arrived */
  RETRY_STALLED,    /**< no data arrived within the time limit */
  RETRY_LOST,       /**< the upstream no longer has the stream */
  RETRY_VERSION,    /**< the weights differ from those that the
                         answer began with */
  RETRY_REASON_COUNT
} retry_reason_t;

typedef struct retry retry_t;

/** Creates empty budgets, freed with @a parent (talloc). Without @a metrics,
 * which may be NULL, nothing is counted. */
retry_t *retry_new (void *parent, metrics_t *metrics);

/** Returns the name of @a reason in metrics; "?" if it is out of range. */
const char *retry_reason_name (retry_reason_t reason);

/** Returns the reason to retry a call that ended with @a result. Meaningful
 * only for results other than UPSTREAM_DONE. */
retry_reason_t retry_reason_from_result (upstream_result_t result);

/** Returns whether a retry for @a reason uses the budget. */
bool retry_is_budgeted (retry_reason_t reason);

/** Number of retries that are allowed. */
typedef struct
{
  uint32_t percent; /**< share of recent requests; 0 for the default */
  uint32_t spare;   /**< allowed in addition, in any ten seconds */
} retry_budget_t;

/**
 * Returns one instance's part of a budget that all instances share: the same
 * percentage, applied to its own requests, and an equal part of the spare
 * retries. All instances together thus stay within the whole budget.
 * @param spare spare retries of all instances together
 * @param instances highest possible number of instances, 0 if unknown; one
 *   spare retry is then allowed
 */
retry_budget_t
retry_budget_part (uint32_t percent, uint32_t spare, uint32_t instances);

/** Counts a request of @a service towards its budget. */
void
retry_record_request (retry_t *retry, const char *service, uint64_t now_ms);

/**
 * Takes one retry from the budget of @a service, if @a reason is budgeted, and
 * counts it.
 * @return false when the budget is used up; the denial is counted
 */
bool retry_take (retry_t *retry,
                 const char *service,
                 retry_reason_t reason,
                 const retry_budget_t *budget,
                 uint64_t now_ms);

/** Counts a resumed stream. It uses no budget, because resuming costs the
 * upstream no work. */
void retry_count_resume (retry_t *retry, retry_reason_t reason);

#endif
