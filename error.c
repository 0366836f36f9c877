#include "error.h"

#include <string.h>

static const error_answer_t answers[ERROR_KIND_COUNT] = {
  { ERROR_NONE, "none", 200, RAN_YES, false, "no error" },
  { ERROR_BAD_REQUEST, "bad_request", 400, RAN_NO, false,
    "the request is malformed" },
  { ERROR_TOO_LARGE, "too_large", 413, RAN_NO, false,
    "the request is too large" },
  { ERROR_UNKNOWN_SERVICE, "unknown_service", 404, RAN_NO, false,
    "no such service" },
  { ERROR_UNKNOWN_CUSTOMER, "unknown_customer", 403, RAN_NO, false,
    "no such customer" },
  { ERROR_UNKNOWN_MODEL, "unknown_model", 404, RAN_NO, false, "no such model" },
  { ERROR_NOT_FOUND, "not_found", 404, RAN_NO, false, "not found" },
  { ERROR_UNAUTHORIZED, "unauthorized", 401, RAN_NO, false,
    "a valid token is needed" },
  { ERROR_FORBIDDEN, "forbidden", 403, RAN_NO, false,
    "the token's role does not allow this" },
  { ERROR_NO_CONFIGURATION, "no_configuration", 503, RAN_NO, true,
    "no configuration is in force here yet" },
  { ERROR_STOPPING, "stopping", 503, RAN_NO, true,
    "this instance is stopping" },
  { ERROR_NO_UPSTREAM, "no_upstream", 503, RAN_NO, true,
    "no upstream can take the request" },
  { ERROR_DEADLINE_UNMEETABLE, "deadline_unmeetable", 503, RAN_NO, true,
    "the deadline cannot be met now" },
  { ERROR_QUEUE_FULL, "queue_full", 503, RAN_NO, true,
    "too many requests are waiting" },
  { ERROR_CUSTOMER_LIMIT, "customer_limit", 429, RAN_NO, true,
    "the customer's limit is used up" },
  { ERROR_RETRY_BUDGET, "retry_budget", 502, RAN_UNKNOWN, true,
    "the upstream failed and no retry was left" },
  { ERROR_DEADLINE_PASSED, "deadline_passed", 504, RAN_UNKNOWN, true,
    "the request was not done in its time" },
  { ERROR_UPSTREAM_FAILED, "upstream_failed", 502, RAN_UNKNOWN, true,
    "the upstream failed" },
  { ERROR_OUTCOME_UNKNOWN, "outcome_unknown", 502, RAN_UNKNOWN, false,
    "the request may have run" },
  { ERROR_NO_QUORUM, "no_quorum", 503, RAN_NO, true,
    "no quorum can be reached from here" },
  { ERROR_KEY_CONFLICT, "key_conflict", 409, RAN_NO, false,
    "the idempotency key was used for another request" },
  { ERROR_KEY_IN_PROGRESS, "key_in_progress", 409, RAN_UNKNOWN, true,
    "a request with this idempotency key is in progress" },
  { ERROR_QUARANTINED, "quarantined", 503, RAN_NO, false,
    "upstreams crash on this request" },
  { ERROR_ENGINE_MEMORY, "engine_memory", 503, RAN_NO, true,
    "engine memory for the prompt cannot be reserved" },
  { ERROR_STALE_NUMBER, "stale_number", 409, RAN_NO, false,
    "a higher configuration number is in force" },
  { ERROR_NUMBER_CONFLICT, "number_conflict", 409, RAN_NO, false,
    "the configuration number is taken by other content" },
  { ERROR_BAD_CONFIGURATION, "bad_configuration", 400, RAN_NO, false,
    "the configuration is not valid" },
  { ERROR_CANCELLED, "cancelled", 499, RAN_UNKNOWN, true,
    "the caller closed the request" },
  { ERROR_NO_MEMORY, "no_memory", 503, RAN_NO, true,
    "this instance holds too much for its clients" },
  { ERROR_INTERNAL, "internal", 500, RAN_UNKNOWN, true, "internal error" },
};

const error_answer_t *
error_answer (error_kind_t kind)
{
  if ((unsigned)kind >= ERROR_KIND_COUNT)
    kind = ERROR_INTERNAL;
  return &answers[kind];
}

const char *
error_name (error_kind_t kind)
{
  return error_answer (kind)->name;
}

error_kind_t
error_from_name (const char *name)
{
  for (int kind = 0; kind < ERROR_KIND_COUNT; kind++)
    if (strcmp (answers[kind].name, name) == 0)
      return (error_kind_t)kind;
  return ERROR_NONE;
}
