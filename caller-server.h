/**
 * @file caller-server.h
 * Callers' HTTP/1.1 connections: requests that are passed on as they are.
 *
 * One request at a time on a connection. The answer goes out in pieces as they
 * are given; an answer that is broken off never looks complete. A caller that
 * closes is told of at once, also while its request waits.
 */
#ifndef CALLER_SERVER_H
#define CALLER_SERVER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "http-reader.h"

struct event_base;

typedef struct caller_server caller_server_t;
typedef struct caller_request caller_request_t;

/** What a caller may send and how long it may take. */
typedef struct
{
  uint32_t max_head_bytes;
  uint64_t max_body_bytes;
  uint32_t
      head_timeout_ms; /**< from a request's first byte to its whole head */
  uint32_t idle_timeout_ms; /**< between requests */
} caller_limits_t;

typedef struct
{
  struct event_base *base;
  const char *listen; /**< IP:PORT */
  caller_limits_t limits;
  /** A whole request is there; answer it now or later. */
  void (*on_request) (caller_request_t *request, void *context);
  /** Its caller closed; the request is freed after this returns. */
  void (*on_gone) (caller_request_t *request, void *context);
  /** A slow caller has taken what was written to it. */
  void (*on_drained) (caller_request_t *request, void *context);
  void *context;
} caller_server_options_t;

/**
 * Listens; freed with @a parent (talloc).
 * @return NULL, after one line on stderr, when the address cannot be bound
 */
caller_server_t *caller_server_new (void *parent,
                                    const caller_server_options_t *options);

/** For connections from now on, and present ones when they are next idle. */
void caller_server_set_limits (caller_server_t *server,
                               const caller_limits_t *limits);

/** Tells callers on each answer that the connection ends with it. */
void caller_server_drain (caller_server_t *server);

/** Refuses new connections: callers try elsewhere at once. */
void caller_server_close_listener (caller_server_t *server);

/** Closes connections on which nothing is asked. */
void caller_server_close_idle (caller_server_t *server);

/** Requests that are being answered. */
uint32_t caller_server_open_requests (const caller_server_t *server);

/** Of a request; valid until its end. */
const char *caller_request_method (const caller_request_t *request);
const char *caller_request_target (const caller_request_t *request);
const http_fields_t *caller_request_fields (const caller_request_t *request);
const uint8_t *caller_request_body (const caller_request_t *request,
                                    size_t *size_bytes);

/** When its first byte came, steady clock. */
uint64_t caller_request_begun_ms (const caller_request_t *request);

/** For the user of the request. */
void caller_request_set_data (caller_request_t *request, void *data);
void *caller_request_data (const caller_request_t *request);

/**
 * Begins the answer.
 * @param fields none of them for one connection (http_field_is_hop())
 * @param length_bytes of the body, or -1 when it is not known yet
 */
void caller_reply_begin (caller_request_t *request,
                         uint32_t status,
                         const char *reason,
                         const http_fields_t *fields,
                         int64_t length_bytes);

void caller_reply_data (caller_request_t *request,
                        const void *data,
                        size_t size_bytes);

/** The answer is complete; @a request is no longer valid. */
void caller_reply_end (caller_request_t *request);

/** Breaks the connection; @a request is no longer valid. */
void caller_reply_break (caller_request_t *request);

/** Bytes written that the caller has not taken. */
size_t caller_reply_pending_bytes (const caller_request_t *request);

#endif
