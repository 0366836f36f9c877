/**
 * @file error.h
 * The complete list of error kinds, and the table of their answers.
 *
 * Every refusal and failure that a caller can see has a kind here. The table is
 * the only place that defines its HTTP status, whether the request ran, and
 * whether the caller may send the request again.
 */
#ifndef ERROR_H
#define ERROR_H

#include <stdbool.h>

/** Reason of a refusal or a failure. */
typedef enum
{
  ERROR_NONE = 0,
  ERROR_BAD_REQUEST,      /**< malformed JSON, wrong type, bad header */
  ERROR_TOO_LARGE,        /**< body over the size limit */
  ERROR_UNKNOWN_SERVICE,  /**< the configuration has no such service */
  ERROR_UNKNOWN_CUSTOMER, /**< the configuration has no such customer */
  ERROR_UNKNOWN_MODEL,    /**< no upstream of the service has the model */
  ERROR_NOT_FOUND,        /**< no such route, request or object */
  ERROR_UNAUTHORIZED,     /**< token missing or wrong */
  ERROR_FORBIDDEN,        /**< the token's role does not allow the call */
  ERROR_NO_CONFIGURATION, /**< this instance has no configuration revision yet
                           */
  ERROR_STOPPING,         /**< this instance is shutting down */
  ERROR_NO_UPSTREAM,      /**< no upstream can take the request */
  ERROR_DEADLINE_UNMEETABLE, /**< predicted end is after the deadline */
  ERROR_QUEUE_FULL,          /**< the queue has reached its bound */
  ERROR_CUSTOMER_LIMIT,      /**< the customer's limit is reached */
  ERROR_RETRY_BUDGET,    /**< attempt failed and the retry budget is used up */
  ERROR_DEADLINE_PASSED, /**< admitted, but not finished by the deadline */
  ERROR_UPSTREAM_FAILED, /**< the upstream failed and no retry is possible */
  ERROR_OUTCOME_UNKNOWN, /**< a non-idempotent request may have run */
  ERROR_NO_QUORUM,       /**< keyed request, and no quorum is reachable */
  ERROR_KEY_CONFLICT,    /**< same idempotency key, other content */
  ERROR_KEY_IN_PROGRESS, /**< request with the same idempotency key runs */
  ERROR_QUARANTINED,     /**< upstreams crash on the request or a part */
  ERROR_ENGINE_MEMORY,   /**< no memory reservation for an oversize prompt */
  ERROR_STALE_NUMBER,    /**< configuration number below the one in force */
  ERROR_NUMBER_CONFLICT, /**< same configuration number, other content */
  ERROR_BAD_CONFIGURATION, /**< the configuration does not validate */
  ERROR_CANCELLED,         /**< the caller closed its connection */
  ERROR_NO_MEMORY,         /**< clients make this instance hold too much */
  ERROR_INTERNAL,          /**< internal failure of this instance */
  ERROR_KIND_COUNT
} error_kind_t;

/** Whether the request ran at an upstream, as an error answer states it. */
typedef enum
{
  RAN_NO,      /**< "not_run": true */
  RAN_YES,     /**< "not_run": false */
  RAN_UNKNOWN, /**< "not_run": "unknown" */
} ran_t;

/** Describes the answer of one error kind. Strings are static. */
typedef struct
{
  error_kind_t kind;
  const char *name; /**< stable name in answers and counters */
  int http_status;
  ran_t ran;      /**< default; a caller of http_reply_error() may know more */
  bool may_retry; /**< the caller may send the same request again */
  const char *message; /**< one short sentence */
} error_answer_t;

/** Returns the answer of @a kind, or of ERROR_INTERNAL if out of range. */
const error_answer_t *error_answer (error_kind_t kind);

/** Returns the stable name of @a kind. */
const char *error_name (error_kind_t kind);

/** Returns the kind with the stable name @a name, or ERROR_NONE. */
error_kind_t error_from_name (const char *name);

#endif
