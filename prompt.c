#include "prompt.h"

#include <string.h>
#include <talloc.h>
#include <xxhash.h>

#define SYLLABLE_BITS   4
#define SYLLABLE_COUNT  (1 << SYLLABLE_BITS)
#define SYLLABLE_BYTES  2
#define TOKEN_SYLLABLES 3

static const char *const syllables[SYLLABLE_COUNT]
    = { "ba", "de", "fi", "go", "hu", "ka", "le", "mi",
        "no", "pu", "ra", "se", "ti", "vo", "wu", "za" };

prompt_t *
prompt_new (void *parent, const char *text, size_t size_bytes)
{
  prompt_t *prompt = talloc_zero (parent, prompt_t);
  uint64_t hash = 0;
  size_t tokens = (size_bytes + PROMPT_TOKEN_BYTES - 1) / PROMPT_TOKEN_BYTES;
  size_t tail;

  prompt->tokens = tokens > 0 ? (uint32_t)tokens : 1;
  prompt->block_count = (uint32_t)(size_bytes / PROMPT_BLOCK_BYTES);
  prompt->blocks = talloc_array (prompt, uint64_t, prompt->block_count);
  for (uint32_t i = 0; i < prompt->block_count; i++)
    {
      const char *block = text + (size_t)i * PROMPT_BLOCK_BYTES;

      hash = XXH64 (block, PROMPT_BLOCK_BYTES, hash);
      prompt->blocks[i] = hash;
    }
  tail = (size_t)prompt->block_count * PROMPT_BLOCK_BYTES;
  prompt->hash = XXH64 (text + tail, size_bytes - tail, hash);
  return prompt;
}

uint64_t
token_seed (const char *model,
            const char *adapter,
            const char *version,
            uint64_t prompt_hash)
{
  uint64_t seed = prompt_hash;

  /* The terminating 0 byte makes "ab" + "c" differ from "a" + "bc". */
  seed = XXH64 (model, strlen (model) + 1, seed);
  seed = XXH64 (adapter, strlen (adapter) + 1, seed);
  return XXH64 (version, strlen (version) + 1, seed);
}

void
token_text (uint64_t seed, uint32_t offset, char text[TOKEN_TEXT_BYTES])
{
  uint64_t bits = XXH64 (&offset, sizeof offset, seed);
  char *out = text;

  *out++ = ' ';
  for (int i = 0; i < TOKEN_SYLLABLES; i++)
    {
      memcpy (out, syllables[bits % SYLLABLE_COUNT], SYLLABLE_BYTES);
      bits >>= SYLLABLE_BITS;
      out += SYLLABLE_BYTES;
    }
  *out = '\0';
}
