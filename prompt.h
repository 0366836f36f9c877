/**
 * @file prompt.h
 * Length of a prompt in tokens, hashes of its prefixes, and text of the tokens
 * that the stand-in engine generates for it.
 *
 * A prompt token is PROMPT_TOKEN_BYTES bytes of text; the length is rounded up.
 * Prefixes are hashed in blocks of PROMPT_BLOCK_TOKENS. The hash of a block is
 * XXH64 of its text with the previous block's hash as seed (0 for the first
 * block), so it identifies the whole prefix that ends with the block.
 */
#ifndef PROMPT_H
#define PROMPT_H

#include <stddef.h>
#include <stdint.h>

#define PROMPT_TOKEN_BYTES  4
#define PROMPT_BLOCK_TOKENS 256
#define PROMPT_BLOCK_BYTES  (PROMPT_BLOCK_TOKENS * PROMPT_TOKEN_BYTES)

/** Size of the longest text of a generated token, with the terminating 0. */
#define TOKEN_TEXT_BYTES 8

/** Length and prefix hashes of a prompt. */
typedef struct
{
  uint64_t hash;        /**< hash of the whole text */
  uint32_t tokens;      /**< length in tokens, at least 1 */
  uint32_t block_count; /**< number of whole blocks */
  uint64_t *blocks;     /**< hash of the prefix that ends with each block */
} prompt_t;

/** Hashes @a text, which is not kept. The result is freed with @a parent
 * (talloc). */
prompt_t *prompt_new (void *parent, const char *text, size_t size_bytes);

/** Returns the seed of the tokens that the given weights generate for a prompt.
 * No argument may be NULL. */
uint64_t token_seed (const char *model,
                     const char *adapter,
                     const char *version,
                     uint64_t prompt_hash);

/** Writes the text of the token at @a offset of an answer. The same seed and
 * offset always give the same text. */
void token_text (uint64_t seed, uint32_t offset, char text[TOKEN_TEXT_BYTES]);

#endif
