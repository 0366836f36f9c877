/**
 * @file json-text.h
 * The only reader of JSON text. It accepts what RFC 8259 defines and nothing
 * else: no comments, single quotes or bare words. It does not recurse into
 * nested values and bounds their depth itself, so that no second check has to
 * agree with it on how a text is nested. The end of the object must be the end
 * of the text, but for spaces.
 */
#ifndef JSON_TEXT_H
#define JSON_TEXT_H

#include <json-glib/json-glib.h>
#include <stddef.h>

/** Bound of nested objects and lists; every message has a lower depth. */
#define JSON_TEXT_MAX_DEPTH 64

/**
 * Reads a text that must be one JSON object.
 *
 * Whole numbers of 64 bits become integers, other numbers doubles; one that
 * exceeds a double becomes the largest. Of members with the same name the last
 * one counts. A string that holds the character U+0000 or half of a surrogate
 * pair makes the text invalid.
 * @param text need not end with a NUL byte; may be NULL if @a size_bytes is 0
 * @param why if not NULL, set to an error message when NULL is returned, freed
 * with g_free(), else to NULL
 * @return a reference that the caller owns, or NULL
 */
JsonObject *
json_text_read_object (const char *text, size_t size_bytes, char **why);

/**
 * Does the same for a text from a client, which must not have more than
 * @a max_values values (0: any number). A value takes some hundred bytes,
 * however short its text is.
 */
JsonObject *json_text_read_object_within (const char *text,
                                          size_t size_bytes,
                                          size_t max_values,
                                          char **why);

#endif
