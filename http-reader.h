/**
 * @file http-reader.h
 * Reads HTTP/1.1 messages from a byte stream, one at a time, over http_parser.
 *
 * For connections whose bytes are passed on unchanged: the reader says exactly
 * how many bytes belong to a message, so that what comes after it is noticed.
 * No I/O.
 */
#ifndef HTTP_READER_H
#define HTTP_READER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** A header field. */
typedef struct
{
  const char *name;
  const char *value;
} http_field_t;

/** Header fields in their order; owned by whoever made them. */
typedef struct
{
  http_field_t *items;
  size_t count;
} http_fields_t;

typedef struct http_reader http_reader_t;

typedef enum
{
  HTTP_READER_REQUEST,
  HTTP_READER_RESPONSE,
} http_reader_kind_t;

typedef enum
{
  HTTP_READER_MORE,  /**< all bytes taken, the message goes on */
  HTTP_READER_END,   /**< the message is whole; bytes after it are not taken */
  HTTP_READER_ERROR, /**< these bytes are no such message */
} http_reader_result_t;

typedef struct
{
  http_reader_kind_t kind;
  uint32_t max_head_bytes;
  /** The head is whole; may be NULL. */
  void (*on_head) (void *context);
  /** A piece of the body, without chunk framing. */
  void (*on_body) (const uint8_t *data, size_t size_bytes, void *context);
  void *context;
} http_reader_options_t;

/** Freed with @a parent (talloc). */
http_reader_t *http_reader_new (void *parent,
                                const http_reader_options_t *options);

/** Forgets the last message and waits for the next. */
void http_reader_reset (http_reader_t *reader);

/** A response to a request whose answer has no body. */
void http_reader_expect_no_body (http_reader_t *reader);

/** Takes bytes; @a used says how many belong to this message. */
http_reader_result_t http_reader_feed (http_reader_t *reader,
                                       const uint8_t *data,
                                       size_t size_bytes,
                                       size_t *used);

/** The peer closed in good order: END if that ends the message, else ERROR. */
http_reader_result_t http_reader_close (http_reader_t *reader);

/** Whether any byte of the present message has been taken. */
bool http_reader_begun (const http_reader_t *reader);

/** Whether the head of the present message is whole. */
bool http_reader_has_head (const http_reader_t *reader);

/** Whether the connection may serve another message after this one. */
bool http_reader_keeps_alive (const http_reader_t *reader);

/** Of the present message, valid until the next reset. */
const char *http_reader_method (const http_reader_t *reader);
const char *http_reader_target (const http_reader_t *reader);
uint32_t http_reader_status (const http_reader_t *reader);
const char *http_reader_reason (const http_reader_t *reader);
const http_fields_t *http_reader_fields (const http_reader_t *reader);

/** Value of the first field with @a name, without regard to case, or NULL. */
const char *http_fields_find (const http_fields_t *fields, const char *name);

/** Adds a field; the texts are copied to @a parent, which owns the array. */
void http_fields_add (void *parent,
                      http_fields_t *fields,
                      const char *name,
                      const char *value);

/** Whether a field concerns one connection or its framing: not passed on. */
bool http_field_is_hop (const http_fields_t *fields, const char *name);

#endif
