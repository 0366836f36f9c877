#include "json-text.h"

#include <errno.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdlib.h>
#include <yajl/yajl_parse.h>

/* Values of the parser's callbacks. */
#define CONTINUE 1
#define CANCEL   0

/** The value that is being built. */
typedef struct
{
  JsonBuilder *builder;
  unsigned depth;
  size_t values;
  size_t max_values; /* 0: no bound */
  const char *error; /* why a callback cancelled, or NULL */
} json_build_t;

static int
cancel (json_build_t *build, const char *error)
{
  build->error = error;
  return CANCEL;
}

static bool
count_value (json_build_t *build)
{
  build->values++;
  if (build->max_values == 0 || build->values <= build->max_values)
    return true;
  cancel (build, "the text has too many values");
  return false;
}

/** Cancels if a value that is no object stands alone, or is one too many. */
static bool
may_add (json_build_t *build)
{
  if (build->depth == 0)
    cancel (build, "the text is not a JSON object");
  return build->depth > 0 && count_value (build);
}

static int
on_null (void *context)
{
  json_build_t *build = context;

  if (!may_add (build))
    return CANCEL;
  json_builder_add_null_value (build->builder);
  return CONTINUE;
}

static int
on_boolean (void *context, int value)
{
  json_build_t *build = context;

  if (!may_add (build))
    return CANCEL;
  json_builder_add_boolean_value (build->builder, value != 0);
  return CONTINUE;
}

/** Reads a whole number; returns false if it has a fraction or an exponent or
 * exceeds 64 bits. */
static bool
read_integer (const char *number, gint64 *value)
{
  char *end;

  errno = 0;
  *value = g_ascii_strtoll (number, &end, 10);
  return errno == 0 && *end == '\0';
}

static int
on_number (void *context, const char *text, size_t size_bytes)
{
  json_build_t *build = context;
  char *number;
  gint64 integer;
  double real;

  if (!may_add (build))
    return CANCEL;
  number = g_strndup (text, size_bytes);
  if (read_integer (number, &integer))
    {
      json_builder_add_int_value (build->builder, integer);
      g_free (number);
      return CONTINUE;
    }
  real = g_ascii_strtod (number, NULL);
  g_free (number);
  json_builder_add_double_value (build->builder,
                                 CLAMP (real, -G_MAXDOUBLE, G_MAXDOUBLE));
  return CONTINUE;
}

/** Returns a string that the caller frees, or NULL if it cannot be represented:
 * escapes can stand for U+0000 and for half of a surrogate pair. */
static char *
copy_string (const unsigned char *text, size_t size_bytes)
{
  return g_utf8_validate_len ((const char *)text, size_bytes, NULL)
             ? g_strndup ((const char *)text, size_bytes)
             : NULL;
}

static int
on_string (void *context, const unsigned char *text, size_t size_bytes)
{
  json_build_t *build = context;
  char *string;

  if (!may_add (build))
    return CANCEL;
  string = copy_string (text, size_bytes);
  if (string == NULL)
    return cancel (build, "a string has an invalid character");
  json_builder_add_string_value (build->builder, string);
  g_free (string);
  return CONTINUE;
}

static int
on_name (void *context, const unsigned char *text, size_t size_bytes)
{
  json_build_t *build = context;
  char *name = copy_string (text, size_bytes);

  if (name == NULL)
    return cancel (build, "a name has an invalid character");
  json_builder_set_member_name (build->builder, name);
  g_free (name);
  return CONTINUE;
}

static bool
enter (json_build_t *build)
{
  return build->depth++ < JSON_TEXT_MAX_DEPTH;
}

static int
on_object_start (void *context)
{
  json_build_t *build = context;

  if (!count_value (build))
    return CANCEL;
  if (!enter (build))
    return cancel (build, "the text is nested too deeply");
  json_builder_begin_object (build->builder);
  return CONTINUE;
}

static int
on_object_end (void *context)
{
  json_build_t *build = context;

  build->depth--;
  json_builder_end_object (build->builder);
  return CONTINUE;
}

static int
on_list_start (void *context)
{
  json_build_t *build = context;

  if (!may_add (build))
    return CANCEL;
  if (!enter (build))
    return cancel (build, "the text is nested too deeply");
  json_builder_begin_array (build->builder);
  return CONTINUE;
}

static int
on_list_end (void *context)
{
  json_build_t *build = context;

  build->depth--;
  json_builder_end_array (build->builder);
  return CONTINUE;
}

static const yajl_callbacks callbacks = { .yajl_null = on_null,
                                          .yajl_boolean = on_boolean,
                                          .yajl_number = on_number,
                                          .yajl_string = on_string,
                                          .yajl_start_map = on_object_start,
                                          .yajl_map_key = on_name,
                                          .yajl_end_map = on_object_end,
                                          .yajl_start_array = on_list_start,
                                          .yajl_end_array = on_list_end };

/** Returns true if the text has a control character that JSON allows nowhere.
 * The parser would take some of them for spaces. */
static bool
has_control_character (const char *text, size_t size_bytes)
{
  for (size_t i = 0; i < size_bytes; i++)
    if ((unsigned char)text[i] < ' ' && text[i] != '\t' && text[i] != '\n'
        && text[i] != '\r')
      return true;
  return false;
}

static bool
is_space (char byte)
{
  return byte == ' ' || byte == '\t' || byte == '\n' || byte == '\r';
}

/** Returns true if the text has nothing but spaces from @a at to its end. */
static bool
is_blank_from (const char *text, size_t size_bytes, size_t at)
{
  while (at < size_bytes && is_space (text[at]))
    at++;
  return at == size_bytes;
}

#define UNICODE_DIGITS 4 /* hexadecimal ones of an escape */

/** Returns the code unit of the escape at @a at, or 0 if there is none that
 * names a character by its number. */
static uint16_t
read_unicode_escape (const char *text, size_t size_bytes, size_t at)
{
  uint16_t unit = 0;

  if (size_bytes - at < 2 + UNICODE_DIGITS || text[at] != '\\'
      || text[at + 1] != 'u')
    return 0;
  for (size_t i = 0; i < UNICODE_DIGITS; i++)
    unit = (uint16_t)(unit * 16 + g_ascii_xdigit_value (text[at + 2 + i]));
  return unit;
}

static bool
is_high_surrogate (uint16_t unit)
{
  return unit >= 0xd800 && unit <= 0xdbff;
}

static bool
is_low_surrogate (uint16_t unit)
{
  return unit >= 0xdc00 && unit <= 0xdfff;
}

/**
 * Returns true if an escape stands for half of a surrogate pair. The parser
 * replaces some of those by other characters without an error.
 * @param text a text that was parsed: backslashes are in strings only, and the
 * digits of all escapes are valid
 */
static bool
has_lone_surrogate (const char *text, size_t size_bytes)
{
  for (size_t i = 0; i + 1 < size_bytes; i++)
    {
      uint16_t unit;

      if (text[i] != '\\')
        continue;
      unit = read_unicode_escape (text, size_bytes, i);
      if (unit > 0)
        i += UNICODE_DIGITS;
      i++; /* the character that is escaped */
      if (is_low_surrogate (unit))
        return true;
      if (!is_high_surrogate (unit))
        continue;
      if (!is_low_surrogate (read_unicode_escape (text, size_bytes, i + 1)))
        return true;
      i += 2 + UNICODE_DIGITS;
    }
  return false;
}

static const char *
check_characters (const char *text, size_t size_bytes)
{
  if (size_bytes == 0)
    return "the text is empty";
  if (has_control_character (text, size_bytes))
    return "the text has a control character";
  if (!g_utf8_validate_len (text, size_bytes, NULL))
    return "the text is not UTF-8";
  return NULL;
}

/** Returns why a text was not read; the caller frees it with g_free(). */
static char *
describe_error (yajl_handle parser, const json_build_t *build)
{
  unsigned char *reason;
  char *error;

  if (build->error != NULL)
    return g_strdup (build->error);
  reason = yajl_get_error (parser, 0, NULL, 0);
  error = g_strchomp (g_strdup_printf ("the text is not JSON: %s", reason));
  yajl_free_error (parser, reason);
  return error;
}

/**
 * Feeds the text to the parser. The parser stops behind the first value, and
 * what follows is checked here: by itself, it accepts a string that begins
 * there and does not end.
 * @return NULL or an error message that the caller frees with g_free()
 */
static char *
build_value (json_build_t *build, const char *text, size_t size_bytes)
{
  yajl_handle parser = yajl_alloc (&callbacks, NULL, build);
  const unsigned char *bytes = (const unsigned char *)text;
  yajl_status status;
  size_t end;
  char *error = NULL;

  yajl_config (parser, yajl_allow_trailing_garbage, 1);
  status = yajl_parse (parser, bytes, size_bytes);
  end = yajl_get_bytes_consumed (parser);
  if (status == yajl_status_ok)
    status = yajl_complete_parse (parser);
  if (status != yajl_status_ok)
    error = describe_error (parser, build);
  else if (!is_blank_from (text, size_bytes, end))
    error = g_strdup ("the text goes on behind its object");
  else if (has_lone_surrogate (text, size_bytes))
    error = g_strdup ("a string has half of a surrogate pair");
  yajl_free (parser);
  return error;
}

/** Returns the object in @a root, or NULL. Takes ownership of @a root. */
static JsonObject *
take_object (JsonNode *root)
{
  JsonObject *object = NULL;

  if (root != NULL && JSON_NODE_HOLDS_OBJECT (root))
    object = json_object_ref (json_node_get_object (root));
  g_clear_pointer (&root, json_node_unref);
  return object;
}

JsonObject *
json_text_read_object (const char *text, size_t size_bytes, char **why)
{
  return json_text_read_object_within (text, size_bytes, 0, why);
}

JsonObject *
json_text_read_object_within (const char *text,
                              size_t size_bytes,
                              size_t max_values,
                              char **why)
{
  char *error = g_strdup (check_characters (text, size_bytes));
  json_build_t build = { .max_values = max_values };
  JsonObject *object = NULL;

  if (error == NULL)
    {
      build.builder = json_builder_new ();
      error = build_value (&build, text, size_bytes);
      if (error == NULL)
        object = take_object (json_builder_get_root (build.builder));
      g_object_unref (build.builder);
    }
  if (why != NULL)
    *why = error;
  else
    g_free (error);
  return object;
}
