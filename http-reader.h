/**
 * @file http-reader.h
 * Incremental parser for HTTP/1.1 messages, based on http_parser.
 *
 * The parser reads one message at a time and reports exactly how many bytes
 * belong to it, so that the owner of the connection notices bytes that follow
 * the message. The parser does no I/O.
 *
 * A message is not valid if the name of a field in its head is not a token, for
 * example because it contains a blank. A response is not valid unless its
 * status is one of 100 to 599, in three digits, and not 101.
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

/** Header fields in their order; the creator of the array owns it. */
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
  HTTP_READER_MORE,  /**< all bytes were consumed, the message is incomplete */
  HTTP_READER_END,   /**< the message is complete; later bytes are left */
  HTTP_READER_ERROR, /**< the bytes are not a valid message of this kind */
} http_reader_result_t;

typedef struct
{
  http_reader_kind_t kind;
  uint32_t max_head_bytes;
  /** The head is complete; may be NULL. */
  void (*on_head) (void *context);
  /** A piece of the body has arrived, without chunk framing. */
  void (*on_body) (const uint8_t *data, size_t size_bytes, void *context);
  void *context;
} http_reader_options_t;

/** Creates a parser, freed with @a parent (talloc). */
http_reader_t *http_reader_new (void *parent,
                                const http_reader_options_t *options);

/** Discards the last message and prepares for the next one. */
void http_reader_reset (http_reader_t *reader);

/** Tells the parser that the response has no body, as after a HEAD request. */
void http_reader_expect_no_body (http_reader_t *reader);

/**
 * Parses bytes.
 * @param used set to the number of bytes that belong to the message
 */
http_reader_result_t http_reader_feed (http_reader_t *reader,
                                       const uint8_t *data,
                                       size_t size_bytes,
                                       size_t *used);

/**
 * Handles an orderly close by the peer.
 * @return HTTP_READER_END if the close ends the message, else
 *         HTTP_READER_ERROR
 */
http_reader_result_t http_reader_end_input (http_reader_t *reader);

/** Returns true if any byte of the current message was consumed. */
bool http_reader_has_begun (const http_reader_t *reader);

/** Returns true if the head of the current message is complete. */
bool http_reader_has_head (const http_reader_t *reader);

/** Returns the body's length that the head declares; UINT64_MAX: none. Valid
 * from on_head until the body begins. */
uint64_t http_reader_declared_bytes (const http_reader_t *reader);

/** Returns the memory that the parts of the current message take. */
size_t http_reader_held_bytes (const http_reader_t *reader);

/** Returns true if the connection may be reused after this message. */
bool http_reader_keeps_alive (const http_reader_t *reader);

/** Return parts of the current message, valid until the next reset. */
const char *http_reader_method (const http_reader_t *reader);
const char *http_reader_target (const http_reader_t *reader);
uint32_t http_reader_status (const http_reader_t *reader);
const char *http_reader_reason (const http_reader_t *reader);
const http_fields_t *http_reader_fields (const http_reader_t *reader);

/** Returns the value of the first field @a name (ignoring case), or NULL. */
const char *http_fields_find (const http_fields_t *fields, const char *name);

/** Appends a field; @a parent owns the array and the copied strings. */
void http_fields_add (void *parent,
                      http_fields_t *fields,
                      const char *name,
                      const char *value);

/** Returns true for a hop-by-hop or framing field, which is not forwarded. */
bool http_field_is_hop_by_hop (const http_fields_t *fields, const char *name);

#endif
