/**
 * @file intake.h
 * Parses and validates a caller's HTTP request into a request_spec_t, for the
 * frontend. Holds no state.
 */
#ifndef INTAKE_H
#define INTAKE_H

#include <stdbool.h>

#include "config.h"
#include "error.h"
#include "request.h"

struct evhttp_request;

/** Result of parsing a request: a valid spec or the error to respond with. */
typedef struct
{
  error_kind_t error;  /**< ERROR_NONE when spec is valid */
  char *detail;        /**< description of the error or NULL; owned by the
                            parent given to the parsing function */
  bool is_stream;      /**< completion: respond with server-sent events */
  request_spec_t spec; /**< its strings belong to the HTTP request, the body,
                            the configuration or the parent */
} intake_t;

/**
 * Parses a POST /v1/completions request.
 * @param parent owner of copied strings (talloc)
 * @return result whose spec.body, if set, the caller must unreference
 */
intake_t intake_parse_completion (void *parent,
                                  struct evhttp_request *http,
                                  const Lwm__Config *config);

/**
 * Parses a POST /v1/call/SERVICE/PATH request.
 * @param parent owner of copied strings (talloc)
 * @param rest "SERVICE/PATH"; must stay valid as long as the result
 */
intake_t intake_parse_call (void *parent,
                            struct evhttp_request *http,
                            const char *rest,
                            const Lwm__Config *config);

#endif
