/**
 * @file response-check.h
 * Checks responses that evhttp has parsed: it takes any number for a status and
 * any characters for the name of a field, and an interim response other than
 * 100 for the response itself.
 */
#ifndef RESPONSE_CHECK_H
#define RESPONSE_CHECK_H

#include <stdbool.h>

struct evhttp_connection;
struct evhttp_request;

typedef struct response_check response_check_t;

/**
 * Watches what @a connection receives, on which one request is sent.
 * @param parent frees the check (talloc), and the connection before it
 */
response_check_t *response_check_new (void *parent,
                                      struct evhttp_connection *connection);

/**
 * Returns whether the status is valid and the names of all fields are tokens.
 * @param check tells how the status was written; may be NULL for a connection
 *        that is used again
 */
bool response_check_is_valid (const response_check_t *check,
                              struct evhttp_request *response);

#endif
