#include "http-reader.h"

#include <glib.h>
#include <http_parser.h>
#include <string.h>
#include <strings.h>
#include <talloc.h>

#include "http-token.h"
#include "status-line.h"

#define MAX_FIELDS 200
/** Memory that a string takes beside its text, and a field beside its two. */
#define STRING_BYTES 128u
#define FIELD_BYTES  64u
/** The status codes that exist (RFC 9110, section 15). */
#define MIN_STATUS          100
#define MAX_STATUS          599
#define FIRST_FINAL_STATUS  200
#define SWITCHING_PROTOCOLS 101

struct http_reader
{
  http_reader_options_t options;
  http_parser parser;
  void *scratch; /* owns the strings of the current message */
  char *target;
  char *reason;
  char *name; /* name and value of the current field */
  char *value;
  http_fields_t fields;
  uint32_t head_bytes;
  status_line_t status_line;
  bool has_begun;
  bool has_head;
  bool is_whole;
  bool expects_no_body;
};

const char *
http_fields_find (const http_fields_t *fields, const char *name)
{
  for (size_t i = 0; i < fields->count; i++)
    if (strcasecmp (fields->items[i].name, name) == 0)
      return fields->items[i].value;
  return NULL;
}

void
http_fields_add (void *parent,
                 http_fields_t *fields,
                 const char *name,
                 const char *value)
{
  fields->items = talloc_realloc (parent, fields->items, http_field_t,
                                  (unsigned)fields->count + 1);
  fields->items[fields->count].name = talloc_strdup (fields->items, name);
  fields->items[fields->count].value = talloc_strdup (fields->items, value);
  fields->count++;
}

/** Returns true if the comma-separated list @a value contains @a name, ignoring
 * case. */
static bool
list_contains (const char *value, const char *name)
{
  size_t length = strlen (name);

  while (*value != '\0')
    {
      value += strspn (value, ", \t");
      if (strncasecmp (value, name, length) == 0
          && strchr (", \t", value[length]) != NULL)
        return true;
      value += strcspn (value, ",");
    }
  return false;
}

bool
http_field_is_hop_by_hop (const http_fields_t *fields, const char *name)
{
  static const char *const hop_by_hop[] = { "Connection",
                                            "Keep-Alive",
                                            "Proxy-Connection",
                                            "Transfer-Encoding",
                                            "TE",
                                            "Trailer",
                                            "Upgrade",
                                            "Expect",
                                            "Proxy-Authenticate",
                                            "Content-Length",
                                            "Proxy-Authorization",
                                            NULL };

  for (size_t i = 0; hop_by_hop[i] != NULL; i++)
    if (strcasecmp (hop_by_hop[i], name) == 0)
      return true;
  for (size_t i = 0; i < fields->count; i++)
    if (strcasecmp (fields->items[i].name, "Connection") == 0
        && list_contains (fields->items[i].value, name))
      return true;
  return false;
}

static http_reader_t *
get_reader (http_parser *parser)
{
  return parser->data;
}

static void
append_text (http_reader_t *reader, char **text, const char *at, size_t length)
{
  if (*text == NULL)
    *text = talloc_strndup (reader->scratch, at, length);
  else
    *text = talloc_strndup_append_buffer (*text, at, length);
}

/** Counts head bytes and returns true if they exceed the limit. http_parser's
 * own limit is global, while each reader has a limit of its own. */
static bool
count_head_bytes (http_reader_t *reader, size_t length)
{
  reader->head_bytes += (uint32_t)length;
  return reader->head_bytes > reader->options.max_head_bytes;
}

static void
finish_field (http_reader_t *reader)
{
  if (reader->name == NULL)
    return;
  http_fields_add (reader->scratch, &reader->fields, reader->name,
                   reader->value != NULL ? reader->value : "");
  /* The fields have copies. */
  TALLOC_FREE (reader->name);
  TALLOC_FREE (reader->value);
}

static int
on_url (http_parser *parser, const char *at, size_t length)
{
  http_reader_t *reader = get_reader (parser);

  append_text (reader, &reader->target, at, length);
  return count_head_bytes (reader, length);
}

static int
on_status (http_parser *parser, const char *at, size_t length)
{
  http_reader_t *reader = get_reader (parser);

  append_text (reader, &reader->reason, at, length);
  return count_head_bytes (reader, length);
}

static int
on_header_field (http_parser *parser, const char *at, size_t length)
{
  http_reader_t *reader = get_reader (parser);

  /* http_parser allows blanks in names. Fields of a trailer are not checked, as
     they are not passed on. */
  if (!reader->has_head && !http_token_has_only (at, length))
    return -1;
  if (reader->value != NULL)
    finish_field (reader);
  append_text (reader, &reader->name, at, length);
  return count_head_bytes (reader, length) || reader->fields.count > MAX_FIELDS;
}

static int
on_header_value (http_parser *parser, const char *at, size_t length)
{
  http_reader_t *reader = get_reader (parser);

  append_text (reader, &reader->value, at, length);
  return count_head_bytes (reader, length);
}

/** Returns whether the status exists and may answer a request of this system,
 * which never asks to switch protocols. */
static bool
is_valid_status (const http_reader_t *reader)
{
  uint32_t status = reader->parser.status_code;

  return status_line_is_valid (&reader->status_line) && status >= MIN_STATUS
         && status <= MAX_STATUS && status != SWITCHING_PROTOCOLS;
}

/** Returns whether the message is an interim response (1xx). */
static bool
is_interim (const http_reader_t *reader)
{
  return reader->parser.type == HTTP_RESPONSE
         && reader->parser.status_code < FIRST_FINAL_STATUS;
}

static int
on_headers_complete (http_parser *parser)
{
  http_reader_t *reader = get_reader (parser);

  finish_field (reader);
  if (parser->type == HTTP_RESPONSE && !is_valid_status (reader))
    return -1;
  reader->has_head = true;
  if (reader->options.on_head != NULL && !is_interim (reader))
    reader->options.on_head (reader->options.context);
  /* Skips the body. An interim response has none, whatever its fields say. */
  return reader->expects_no_body || is_interim (reader) ? 1 : 0;
}

static int
on_body (http_parser *parser, const char *at, size_t length)
{
  http_reader_t *reader = get_reader (parser);

  reader->options.on_body ((const uint8_t *)at, length,
                           reader->options.context);
  return 0;
}

static int
on_message_complete (http_parser *parser)
{
  get_reader (parser)->is_whole = true;
  http_parser_pause (parser, 1);
  return 0;
}

static const http_parser_settings callbacks = {
  .on_url = on_url,
  .on_status = on_status,
  .on_header_field = on_header_field,
  .on_header_value = on_header_value,
  .on_headers_complete = on_headers_complete,
  .on_body = on_body,
  .on_message_complete = on_message_complete,
};

http_reader_t *
http_reader_new (void *parent, const http_reader_options_t *options)
{
  http_reader_t *reader = talloc_zero (parent, http_reader_t);

  reader->options = *options;
  http_reader_reset (reader);
  return reader;
}

void
http_reader_reset (http_reader_t *reader)
{
  talloc_free (reader->scratch);
  reader->scratch = talloc_new (reader);
  reader->target = reader->reason = reader->name = reader->value = NULL;
  reader->fields = (http_fields_t){ 0 };
  reader->head_bytes = 0;
  reader->status_line = (status_line_t){ 0 };
  reader->has_begun = reader->has_head = false;
  reader->is_whole = reader->expects_no_body = false;
  http_parser_init (&reader->parser, reader->options.kind == HTTP_READER_REQUEST
                                         ? HTTP_REQUEST
                                         : HTTP_RESPONSE);
  reader->parser.data = reader;
}

void
http_reader_expect_no_body (http_reader_t *reader)
{
  reader->expects_no_body = true;
}

/** Resets the reader after an interim response, which is not the answer.
 * @return false if the message is not an interim response */
static bool
skip_interim (http_reader_t *reader)
{
  bool expects_no_body = reader->expects_no_body;

  if (!is_interim (reader))
    return false;
  http_reader_reset (reader);
  reader->expects_no_body = expects_no_body;
  return true;
}

http_reader_result_t
http_reader_feed (http_reader_t *reader,
                  const uint8_t *data,
                  size_t size_bytes,
                  size_t *used)
{
  *used = 0;
  while (*used < size_bytes)
    {
      enum http_errno error;

      reader->has_begun = true;
      status_line_read (&reader->status_line, data + *used, size_bytes - *used);
      *used += http_parser_execute (&reader->parser, &callbacks,
                                    (const char *)data + *used,
                                    size_bytes - *used);
      error = HTTP_PARSER_ERRNO (&reader->parser);
      if (reader->is_whole && (error == HPE_PAUSED || error == HPE_OK))
        {
          if (skip_interim (reader))
            continue;
          return HTTP_READER_END;
        }
      if (error != HPE_OK || reader->parser.upgrade)
        return HTTP_READER_ERROR;
    }
  return HTTP_READER_MORE;
}

http_reader_result_t
http_reader_end_input (http_reader_t *reader)
{
  if (!reader->has_head || reader->is_whole)
    return HTTP_READER_ERROR;
  http_parser_execute (&reader->parser, &callbacks, NULL, 0);
  return reader->is_whole ? HTTP_READER_END : HTTP_READER_ERROR;
}

bool
http_reader_has_begun (const http_reader_t *reader)
{
  return reader->has_begun;
}

bool
http_reader_has_head (const http_reader_t *reader)
{
  return reader->has_head;
}

uint64_t
http_reader_declared_bytes (const http_reader_t *reader)
{
  return (reader->parser.flags & F_CHUNKED) != 0
             ? UINT64_MAX
             : reader->parser.content_length;
}

size_t
http_reader_held_bytes (const http_reader_t *reader)
{
  if (!reader->has_begun)
    return 0;
  /* The field that is being read, and the target or the reason. */
  return reader->head_bytes + 3 * STRING_BYTES
         + reader->fields.count * (2 * STRING_BYTES + FIELD_BYTES);
}

bool
http_reader_keeps_alive (const http_reader_t *reader)
{
  return http_should_keep_alive (&reader->parser) != 0;
}

const char *
http_reader_method (const http_reader_t *reader)
{
  return http_method_str (reader->parser.method);
}

const char *
http_reader_target (const http_reader_t *reader)
{
  return reader->target != NULL ? reader->target : "";
}

uint32_t
http_reader_status (const http_reader_t *reader)
{
  return reader->parser.status_code;
}

const char *
http_reader_reason (const http_reader_t *reader)
{
  return reader->reason != NULL ? reader->reason : "";
}

const http_fields_t *
http_reader_fields (const http_reader_t *reader)
{
  return &reader->fields;
}
