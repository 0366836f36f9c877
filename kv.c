#include "kv.h"

#include <glib.h>
#include <talloc.h>

struct kv
{
  engine_t *engine;
  GHashTable *pieces; /* id to piece */
};

static int
free_kv (kv_t *kv)
{
  g_hash_table_destroy (kv->pieces);
  return 0;
}

kv_t *
kv_new (void *parent, engine_t *engine)
{
  kv_t *kv = talloc_zero (parent, kv_t);

  kv->engine = engine;
  kv->pieces = g_hash_table_new (g_str_hash, g_str_equal);
  talloc_set_destructor (kv, free_kv);
  return kv;
}

static kv_piece_t *
find (const kv_t *kv, const char *id)
{
  return g_hash_table_lookup (kv->pieces, id);
}

const kv_piece_t *
kv_find (kv_t *kv, const char *id)
{
  return find (kv, id);
}

void
kv_touch (kv_t *kv, const char *id, uint64_t now_us)
{
  kv_piece_t *piece = find (kv, id);

  if (piece != NULL)
    piece->last_request_us = now_us;
}

/** Adds a piece whose memory is already held. */
static kv_piece_t *
add_piece (kv_t *kv,
           kv_kind_t kind,
           const char *id,
           const char *owner,
           uint64_t tokens,
           uint64_t now_us)
{
  kv_piece_t *piece = talloc_zero (kv, kv_piece_t);

  piece->id = talloc_strdup (piece, id);
  piece->owner = talloc_strdup (piece, owner);
  piece->kind = kind;
  piece->tokens = tokens;
  piece->last_request_us = now_us;
  g_hash_table_insert (kv->pieces, piece->id, piece);
  return piece;
}

/** Forgets a piece whose memory somebody else has now. */
static void
remove_piece (kv_t *kv, kv_piece_t *piece)
{
  g_hash_table_remove (kv->pieces, piece->id);
  talloc_free (piece);
}

bool
kv_release (kv_t *kv, const char *id)
{
  kv_piece_t *piece = find (kv, id);

  if (piece == NULL)
    return false;
  engine_unreserve (kv->engine, piece->tokens);
  remove_piece (kv, piece);
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
  kv_piece_t *piece = find (kv, id);

  if (piece != NULL && piece->kind != KV_RESERVATION)
    return ENGINE_DUPLICATE;
  if (piece == NULL)
    {
      if (!engine_reserve (kv->engine, tokens))
        return ENGINE_BUSY;
      piece = add_piece (kv, KV_RESERVATION, id, owner, tokens, now_us);
    }
  piece->expires_us = now_us + lease_us;
  piece->last_request_us = now_us;
  return ENGINE_OK;
}

void
kv_expire (kv_t *kv, uint64_t now_us)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, kv->pieces);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      kv_piece_t *piece = value;

      if (piece->kind != KV_RESERVATION || piece->expires_us > now_us)
        continue;
      engine_unreserve (kv->engine, piece->tokens);
      g_hash_table_iter_remove (&iter);
      talloc_free (piece);
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
  kv_piece_t *piece = find (kv, id);
  uint64_t tokens;
  uint32_t blocks;
  uint64_t hash;

  if (piece != NULL)
    return piece->kind == KV_EXPORTED ? ENGINE_OK : ENGINE_DUPLICATE;
  if (stream == NULL || stream->released)
    return ENGINE_UNKNOWN;
  tokens = (uint64_t)stream->read_tokens + stream->generated;
  blocks = covered_blocks (stream);
  hash = blocks > 0 ? stream->prompt->blocks[blocks - 1] : 0;
  if (!keep)
    engine_release (kv->engine, stream);
  if (!engine_reserve (kv->engine, tokens))
    return ENGINE_BUSY;
  piece = add_piece (kv, KV_EXPORTED, id, owner, tokens, now_us);
  piece->prefix_blocks = blocks;
  piece->prefix_hash = hash;
  return ENGINE_OK;
}

engine_result_t
kv_begin_import (kv_t *kv,
                 const char *id,
                 const char *owner,
                 uint64_t tokens,
                 uint64_t now_us)
{
  const kv_piece_t *piece = find (kv, id);

  if (piece != NULL)
    return ENGINE_DUPLICATE;
  if (!engine_reserve (kv->engine, tokens))
    return ENGINE_BUSY;
  add_piece (kv, KV_ARRIVING, id, owner, tokens, now_us);
  return ENGINE_OK;
}

bool
kv_end_import (kv_t *kv,
               const char *id,
               uint32_t prefix_blocks,
               uint64_t prefix_hash,
               uint64_t now_us)
{
  kv_piece_t *piece = find (kv, id);

  if (piece == NULL || piece->kind != KV_ARRIVING)
    return false;
  piece->kind = KV_IMPORTED;
  piece->prefix_blocks = prefix_blocks;
  piece->prefix_hash = prefix_hash;
  piece->last_request_us = now_us;
  return true;
}

/* KV of another prompt is no use: all of this one has to be read then. */
static uint32_t
usable_tokens (const kv_piece_t *piece, const prompt_t *prompt)
{
  uint32_t blocks = piece->prefix_blocks;

  if (blocks > prompt->block_count
      || (blocks > 0 && prompt->blocks[blocks - 1] != piece->prefix_hash))
    return 0;
  return (uint32_t)MIN (piece->tokens, prompt->tokens);
}

static void
use_reservation (kv_t *kv, kv_piece_t *piece, uint64_t tokens)
{
  piece->tokens -= tokens;
  if (piece->tokens == 0)
    remove_piece (kv, piece);
}

/* What the stream does not need of the KV's memory is free again. */
static void
use_import (kv_t *kv, kv_piece_t *piece, uint64_t tokens)
{
  engine_unreserve (kv->engine, piece->tokens - tokens);
  remove_piece (kv, piece);
}

engine_result_t
kv_submit (kv_t *kv,
           engine_submit_t *submit,
           const char *reservation,
           const char *import,
           uint64_t now_us,
           engine_stream_t **stream)
{
  kv_piece_t *reserved = reservation != NULL ? find (kv, reservation) : NULL;
  kv_piece_t *imported = import != NULL ? find (kv, import) : NULL;
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

  g_hash_table_iter_init (&iter, kv->pieces);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const kv_piece_t *piece = value;

      if (piece->kind != KV_RESERVATION && piece->last_request_us < before_us)
        tokens += piece->tokens;
    }
  return tokens;
}

void
kv_each (kv_t *kv,
         void (*visit) (const kv_piece_t *piece, void *context),
         void *context)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, kv->pieces);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    visit (value, context);
}
