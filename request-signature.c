#include "request-signature.h"

#include <glib.h>
#include <string.h>
#include <xxhash.h>

static void
add_bytes (XXH3_state_t *state, const void *data, size_t size_bytes)
{
  uint64_t length = size_bytes;

  /* The lengths keep apart values that would be equal when joined. */
  XXH3_64bits_update (state, &length, sizeof length);
  if (size_bytes > 0)
    XXH3_64bits_update (state, data, size_bytes);
}

static void
add_text (XXH3_state_t *state, const char *text)
{
  add_bytes (state, text, text != NULL ? strlen (text) : 0);
}

/** Adds a host as routes compare it: in lower case, without its port. Callers
 * that go to several instances may name a different port at each. */
static void
add_host (XXH3_state_t *state, const char *host)
{
  const char *given = host != NULL ? host : "";
  const char *end = given[0] == '[' ? strchr (given, ']') : NULL;
  size_t length = end != NULL ? (size_t)(end - given) : strcspn (given, ":");
  char *name = g_ascii_strdown (given, (gssize)length);

  add_text (state, name);
  g_free (name);
}

uint64_t
request_signature_hash (const request_signature_t *request)
{
  XXH3_state_t *state = XXH3_createState ();
  uint64_t hash;

  XXH3_64bits_reset (state);
  add_text (state, request->method);
  add_host (state, request->host);
  add_text (state, request->target);
  add_text (state, request->customer);
  add_bytes (state, request->body, request->body_bytes);
  hash = XXH3_64bits_digest (state);
  XXH3_freeState (state);
  return hash != 0 ? hash : 1;
}
