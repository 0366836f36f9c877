#include "load-prompt.h"

#include <event2/buffer.h>
#include <glib.h>
#include <string.h>
#include <talloc.h>

struct load_prompt
{
  char *pool;
  char *prefixes; /* all shared prefixes, concatenated */
  size_t prefix_bytes;
};

/* A part of a prompt: a range of the shared prefixes or of the pool. */
typedef struct
{
  const char *text;
  size_t size_bytes;
} slice_t;

static const char letters[] = "abcdefghijklmnopqrstuvwxyz      ";

static char *
random_text (void *parent, GRand *random, size_t size_bytes)
{
  char *text = talloc_array (parent, char, size_bytes + 1);

  for (size_t i = 0; i < size_bytes; i++)
    text[i] = letters[g_rand_int (random) % (sizeof letters - 1)];
  text[size_bytes] = '\0';
  return text;
}

load_prompt_t *
load_prompt_new (void *parent, const Lwm__Scenario *scenario)
{
  load_prompt_t *prompt = talloc_zero (parent, load_prompt_t);
  GRand *random = g_rand_new_with_seed ((guint32)scenario->seed);

  prompt->prefix_bytes = (size_t)scenario->prefix_tokens * LOAD_TOKEN_BYTES;
  prompt->pool = random_text (prompt, random, LOAD_POOL_BYTES);
  prompt->prefixes = random_text (
      prompt, random, prompt->prefix_bytes * scenario->prefix_count);
  g_rand_free (random);
  return prompt;
}

static void
get_slices (const load_prompt_t *prompt,
            const load_request_t *request,
            slice_t slices[2])
{
  size_t prefix_bytes = (size_t)request->prefix_tokens * LOAD_TOKEN_BYTES;
  size_t prompt_bytes = (size_t)request->prompt_tokens * LOAD_TOKEN_BYTES;
  size_t prefix_offset = request->prefix > 0
                             ? (size_t)request->prefix * prompt->prefix_bytes
                             : 0;

  slices[0] = (slice_t){ prompt->prefixes + prefix_offset, prefix_bytes };
  slices[1] = (slice_t){ prompt->pool + request->text_offset,
                         prompt_bytes - prefix_bytes };
}

void
load_prompt_append (const load_prompt_t *prompt,
                    const load_request_t *request,
                    struct evbuffer *out)
{
  slice_t slices[2];

  get_slices (prompt, request, slices);
  for (int i = 0; i < 2; i++)
    if (slices[i].size_bytes > 0)
      evbuffer_add_reference (out, slices[i].text, slices[i].size_bytes, NULL,
                              NULL);
}

char *
load_prompt_text (const load_prompt_t *prompt,
                  void *parent,
                  const load_request_t *request,
                  size_t *size_bytes)
{
  slice_t slices[2];
  char *text;

  get_slices (prompt, request, slices);
  *size_bytes = slices[0].size_bytes + slices[1].size_bytes;
  text = talloc_array (parent, char, *size_bytes + 1);
  memcpy (text, slices[0].text, slices[0].size_bytes);
  memcpy (text + slices[0].size_bytes, slices[1].text, slices[1].size_bytes);
  text[*size_bytes] = '\0';
  return text;
}
