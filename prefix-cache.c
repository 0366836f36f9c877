#include "prefix-cache.h"

#include <glib.h>
#include <talloc.h>

typedef struct
{
  uint64_t hash;
  uint64_t first_hash; /* hash of the prompt's first block */
  uint32_t depth;      /* blocks in the prefix, this one included */
  GList link;          /* link of this block in prefix_cache.recent */
} block_t;

struct prefix_cache
{
  prefix_cache_options_t options;
  GHashTable *blocks; /* &block->hash to block */
  GQueue recent;      /* least recently used last */
};

static int
free_cache (prefix_cache_t *cache)
{
  g_hash_table_destroy (cache->blocks);
  return 0;
}

prefix_cache_t *
prefix_cache_new (void *parent, const prefix_cache_options_t *options)
{
  prefix_cache_t *cache = talloc_zero (parent, prefix_cache_t);

  cache->options = *options;
  cache->blocks
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  g_queue_init (&cache->recent);
  talloc_set_destructor (cache, free_cache);
  return cache;
}

uint64_t
prefix_cache_tokens (const prefix_cache_t *cache)
{
  return (uint64_t)cache->recent.length * PROMPT_BLOCK_TOKENS;
}

/* Reports a block if its prefix has 1, 2, 4, 8... blocks. A long prompt then
 * causes few events, and its cached length is known within a factor of two. */
static void
report_block (prefix_cache_t *cache, const block_t *block, bool present)
{
  bool power_of_two = (block->depth & (block->depth - 1)) == 0;

  if (power_of_two && cache->options.on_event != NULL)
    cache->options.on_event (block->first_hash, block->hash,
                             block->depth * PROMPT_BLOCK_TOKENS, present,
                             cache->options.context);
}

static void
evict_oldest (prefix_cache_t *cache)
{
  block_t *block = g_queue_peek_tail (&cache->recent);

  g_queue_unlink (&cache->recent, &block->link);
  report_block (cache, block, false);
  g_hash_table_remove (cache->blocks, &block->hash);
}

void
prefix_cache_set_limit (prefix_cache_t *cache, uint64_t limit_tokens)
{
  cache->options.limit_tokens = limit_tokens;
  while (prefix_cache_tokens (cache) > limit_tokens)
    evict_oldest (cache);
}

/* Marks the first blocks of a prompt as recently used, the last of them first.
 * A prefix is thus evicted from its end, and the rest stays usable. */
static void
mark_recent (prefix_cache_t *cache, const prompt_t *prompt, uint32_t count)
{
  for (uint32_t i = count; i > 0; i--)
    {
      block_t *block
          = g_hash_table_lookup (cache->blocks, &prompt->blocks[i - 1]);

      g_queue_unlink (&cache->recent, &block->link);
      g_queue_push_head_link (&cache->recent, &block->link);
    }
}

static uint32_t
cached_blocks (const prefix_cache_t *cache, const prompt_t *prompt)
{
  uint32_t count = 0;

  while (count < prompt->block_count
         && g_hash_table_contains (cache->blocks, &prompt->blocks[count]))
    count++;
  return count;
}

uint32_t
prefix_cache_lookup (prefix_cache_t *cache, const prompt_t *prompt)
{
  uint32_t count = cached_blocks (cache, prompt);

  mark_recent (cache, prompt, count);
  return count * PROMPT_BLOCK_TOKENS;
}

static void
add_block (prefix_cache_t *cache, const prompt_t *prompt, uint32_t index)
{
  block_t *block = g_new0 (block_t, 1);

  block->hash = prompt->blocks[index];
  block->first_hash = prompt->blocks[0];
  block->depth = index + 1;
  block->link.data = block;
  g_hash_table_insert (cache->blocks, &block->hash, block);
  g_queue_push_head_link (&cache->recent, &block->link);
  report_block (cache, block, true);
}

void
prefix_cache_insert (prefix_cache_t *cache, const prompt_t *prompt)
{
  uint64_t limit = cache->options.limit_tokens / PROMPT_BLOCK_TOKENS;
  uint32_t stored = (uint32_t)MIN (limit, prompt->block_count);
  uint32_t cached = MIN (cached_blocks (cache, prompt), stored);

  /* Keeps the prompt's cached start from being evicted to store its end. */
  mark_recent (cache, prompt, cached);
  while (cache->recent.length > 0
         && cache->recent.length + stored - cached > limit)
    evict_oldest (cache);
  for (uint32_t i = cached; i < stored; i++)
    if (!g_hash_table_contains (cache->blocks, &prompt->blocks[i]))
      add_block (cache, prompt, i);
  mark_recent (cache, prompt, stored);
}
