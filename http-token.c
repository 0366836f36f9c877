#include "http-token.h"

#include <string.h>

static const char token_characters[]
    = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789"
      "!#$%&'*+-.^_`|~";

bool
http_token_has_only (const char *text, size_t length)
{
  for (size_t i = 0; i < length; i++)
    if (text[i] == '\0' || strchr (token_characters, text[i]) == NULL)
      return false;
  return true;
}

bool
http_token_is_valid (const char *text)
{
  size_t length = strlen (text);

  return length > 0 && http_token_has_only (text, length);
}
