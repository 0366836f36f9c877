/**
 * @file response-check.h
 * Checks responses that evhttp has parsed: it takes any number for a status and
 * any characters for the name of a field, and an interim response other than
 * 100 for the response itself.
 */
#ifndef RESPONSE_CHECK_H
#define RESPONSE_CHECK_H

struct evhttp_connection;
struct evhttp_request;

typedef struct response_check response_check_t;

/** Watches what @a connection receives, on which one request is sent. Freed
 * with
 * @a parent (talloc), whose destructor frees the connection. */
response_check_t *response_check_new (void *parent,
                                      struct evhttp_connection *connection);

/**
 * Checks the status and the names of the fields.
 * @param check tells how the status was written; may be NULL for a connection
 *        that is used again
 * @return NULL if the response is valid, else a static description of the first
 *         error
 */
const char *response_check_error (const response_check_t *check,
                                  struct evhttp_request *response);

#endif
