/**
 * @file explain.h
 * Describes the state and history of a request as JSON, for operators and for
 * GET /v1/explain/ID.
 */
#ifndef EXPLAIN_H
#define EXPLAIN_H

#include <json-glib/json-glib.h>

#include "request.h"

/**
 * Builds a JSON object with the parameters, state, outcome and state
 * transitions of @a request.
 * @param ran whether the request ran at an upstream
 * @return owned by the caller
 */
JsonNode *explain_to_json (const request_t *request, ran_t ran);

#endif
