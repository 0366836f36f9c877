/**
 * @file http-backlog.h
 * Tells whether answers of an evhttp server are still to be written.
 *
 * evhttp takes an answer into its own buffer and reports nothing when the
 * connection is freed, so a process that ends then would drop the answer.
 */
#ifndef HTTP_BACKLOG_H
#define HTTP_BACKLOG_H

#include <stdbool.h>

struct evhttp_request;

typedef struct http_backlog http_backlog_t;

/** Creates an empty backlog; freed with @a parent (talloc), after the server.
 */
http_backlog_t *http_backlog_new (void *parent);

/** Watches what is written to the connection of @a request. Must be called for
 * each request before its answer is sent. */
void http_backlog_watch (http_backlog_t *backlog,
                         struct evhttp_request *request);

/**
 * Returns whether bytes for an open connection wait in this process, or wait in
 * the kernel beside unread bytes of the caller: the kernel drops the former
 * bytes when such a connection is closed.
 */
bool http_backlog_has_unsent (const http_backlog_t *backlog);

#endif
