/**
 * @file http-token.h
 * The characters of names in HTTP messages.
 */
#ifndef HTTP_TOKEN_H
#define HTTP_TOKEN_H

#include <stdbool.h>
#include <stddef.h>

/** Returns whether @a text has only characters that the name of a field may
 * have ("token" in RFC 9110, section 5.6.2); true for an empty text. */
bool http_token_has_only (const char *text, size_t length);

/** Returns whether @a text may be the name of a field: a token, not empty. */
bool http_token_is_valid (const char *text);

#endif
