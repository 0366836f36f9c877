#include "kv.h"

#include <glib.h>
#include <talloc.h>

struct kv
{
  engine_t *engine;
  GHashTable *entries; /* id to kv_entry_t */
};

static int
free_kv (kv_t *kv)
{
  g_hash_table_destroy (kv->entries);
  return 0;
}

kv_t *
kv_new (void *parent, engine_t *engine)
{
  kv_t *kv = talloc_zero (parent, kv_t);

  kv->engine = engine;
  kv->entries = g_hash_table_new (g_str_hash, g_str_equal);
  talloc_set_destructor (kv, free_kv);
  return kv;
}

static kv_entry_t *
find_entry (const kv_t *kv, const char *id)
{
  return g_hash_table_lookup (kv->entries, id);
}

const kv_entry_t *
kv_find (kv_t *kv, const char *id)
{
  return find_entry (kv, id);
}

void
kv_touch (kv_t *kv, const char *id, uint64_t now_us)
{
  kv_entry_t *entry = find_entry (kv, id);

  if (entry != NULL)
    entry->last_request_us = now_us;
}

/** Adds an entry; the caller has already reserved its memory. */
static kv_entry_t *
add_entry (kv_t *kv,
           kv_kind_t kind,
           const char *id,
           const char *owner,
           uint64_t tokens,
           uint64_t now_us)
{
  kv_entry_t *entry = talloc_zero (kv, kv_entry_t);

  entry->id = talloc_strdup (entry, id);
  entry->owner = talloc_strdup (entry, owner);
  entry->kind = kind;
  entry->tokens = tokens;
  entry->last_request_us = now_us;
  g_hash_table_insert (kv->entries, entry->id, entry);
  return entry;
}

/** Removes an entry without returning its memory to the engine. */
static void
remove_entry (kv_t *kv, kv_entry_t *entry)
{
  g_hash_table_remove (kv->entries, entry->id);
  talloc_free (entry);
}

bool
kv_release (kv_t *kv, const char *id)
{
  kv_entry_t *entry = find_entry (kv, id);

  if (entry == NULL)
    return false;
  engine_unreserve (kv->engine, entry->tokens);
  remove_entry (kv, entry);
  return true;
}

engine_result_t
kv_reserve (kv_t *kv,
            const char *id,
            const char *owner,
            uint64_t tokens,
            uint64_t lease_us,
            uint64_t now_us)
{
  kv_entry_t *entry = find_entry (kv, id);

  if (entry != NULL && entry->kind != KV_RESERVATION)
    return ENGINE_DUPLICATE;
  if (entry == NULL)
    {
      if (!engine_reserve (kv->engine, tokens))
        return ENGINE_BUSY;
      entry = add_entry (kv, KV_RESERVATION, id, owner, tokens, now_us);
    }
  entry->expires_us = now_us + lease_us;
  entry->last_request_us = now_us;
  return ENGINE_OK;
}

void
kv_expire (kv_t *kv, uint64_t now_us)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, kv->entries);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      kv_entry_t *entry = value;

      if (entry->kind != KV_RESERVATION || entry->expires_us > now_us)
        continue;
      engine_unreserve (kv->engine, entry->tokens);
      g_hash_table_iter_remove (&iter);
      talloc_free (entry);
    }
}

static uint32_t
covered_blocks (const engine_stream_t *stream)
{
  return MIN (stream->read_tokens / PROMPT_BLOCK_TOKENS,
              stream->prompt->block_count);
}

engine_result_t
kv_export (kv_t *kv,
           const char *id,
           const char *owner,
           engine_stream_t *stream,
           bool keep,
           uint64_t now_us)
{
  kv_entry_t *entry = find_entry (kv, id);
  uint64_t tokens;
  uint32_t blocks;
  uint64_t hash;

  if (entry != NULL)
    return entry->kind == KV_EXPORTED ? ENGINE_OK : ENGINE_DUPLICATE;
  if (stream == NULL || stream->released)
    return ENGINE_UNKNOWN;
  tokens = (uint64_t)stream->read_tokens + stream->generated;
  blocks = covered_blocks (stream);
  hash = blocks > 0 ? stream->prompt->blocks[blocks - 1] : 0;
  if (!keep)
    engine_release (kv->engine, stream);
  if (!engine_reserve (kv->engine, tokens))
    return ENGINE_BUSY;
  entry = add_entry (kv, KV_EXPORTED, id, owner, tokens, now_us);
  entry->prefix_blocks = blocks;
  entry->prefix_hash = hash;
  return ENGINE_OK;
}

engine_result_t
kv_begin_import (kv_t *kv,
                 const char *id,
                 const char *owner,
                 uint64_t tokens,
                 uint64_t now_us)
{
  const kv_entry_t *entry = find_entry (kv, id);

  if (entry != NULL)
    return ENGINE_DUPLICATE;
  if (!engine_reserve (kv->engine, tokens))
    return ENGINE_BUSY;
  add_entry (kv, KV_IMPORTING, id, owner, tokens, now_us);
  return ENGINE_OK;
}

bool
kv_end_import (kv_t *kv,
               const char *id,
               uint32_t prefix_blocks,
               uint64_t prefix_hash,
               uint64_t now_us)
{
  kv_entry_t *entry = find_entry (kv, id);

  if (entry == NULL || entry->kind != KV_IMPORTING)
    return false;
  entry->kind = KV_IMPORTED;
  entry->prefix_blocks = prefix_blocks;
  entry->prefix_hash = prefix_hash;
  entry->last_request_us = now_us;
  return true;
}

/* Returns how many prompt tokens need no prefill. KV of a different prompt
 * saves none: the engine then reads the whole prompt. */
static uint32_t
usable_tokens (const kv_entry_t *entry, const prompt_t *prompt)
{
  uint32_t blocks = entry->prefix_blocks;

  if (blocks > prompt->block_count
      || (blocks > 0 && prompt->blocks[blocks - 1] != entry->prefix_hash))
    return 0;
  return (uint32_t)MIN (entry->tokens, prompt->tokens);
}

static void
use_reservation (kv_t *kv, kv_entry_t *entry, uint64_t tokens)
{
  entry->tokens -= tokens;
  if (entry->tokens == 0)
    remove_entry (kv, entry);
}

/* Frees the part of the import's memory that the stream does not need. */
static void
use_import (kv_t *kv, kv_entry_t *entry, uint64_t tokens)
{
  engine_unreserve (kv->engine, entry->tokens - tokens);
  remove_entry (kv, entry);
}

engine_result_t
kv_submit (kv_t *kv,
           engine_submit_t *submit,
           const char *reservation,
           const char *import,
           uint64_t now_us,
           engine_stream_t **stream)
{
  kv_entry_t *reserved
      = reservation != NULL ? find_entry (kv, reservation) : NULL;
  kv_entry_t *imported = import != NULL ? find_entry (kv, import) : NULL;
  uint64_t need = engine_need_tokens (submit);
  uint64_t from_import = 0;
  uint64_t from_reserved = 0;
  engine_result_t result;

  if (import != NULL && (imported == NULL || imported->kind != KV_IMPORTED))
    return ENGINE_UNKNOWN;
  if (imported != NULL)
    {
      from_import = MIN (imported->tokens, need);
      submit->imported_tokens = usable_tokens (imported, submit->prompt);
    }
  if (reserved != NULL && reserved->kind == KV_RESERVATION)
    from_reserved = MIN (reserved->tokens, need - from_import);
  submit->transferred_tokens = from_import + from_reserved;
  result = engine_submit (kv->engine, submit, now_us, stream);
  if (result != ENGINE_OK)
    return result;
  if (imported != NULL)
    use_import (kv, imported, from_import);
  if (from_reserved > 0)
    use_reservation (kv, reserved, from_reserved);
  return ENGINE_OK;
}

uint64_t
kv_untouched_tokens (const kv_t *kv, uint64_t before_us)
{
  GHashTableIter iter;
  gpointer value;
  uint64_t tokens = 0;

  g_hash_table_iter_init (&iter, kv->entries);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const kv_entry_t *entry = value;

      if (entry->kind != KV_RESERVATION && entry->last_request_us < before_us)
        tokens += entry->tokens;
    }
  return tokens;
}

void
kv_each (kv_t *kv,
         void (*visit) (const kv_entry_t *entry, void *context),
         void *context)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, kv->entries);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    visit (value, context);
}
