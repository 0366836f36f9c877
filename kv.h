/**
 * @file kv.h
 * Tracks the KV memory of a simulated engine that belongs to no stream:
 * reservations with a lease, and KV that was exported from a stream or imported
 * from another engine.
 *
 * Every entry has an id that its owner chose; a repeated id means the same
 * entry. The memory of an entry is taken from the engine with engine_reserve().
 * It returns to the engine on release or at the end of the lease, or passes to
 * the stream that uses the entry.
 */
#ifndef KV_H
#define KV_H

#include <stdbool.h>
#include <stdint.h>

#include "engine.h"

typedef struct kv kv_t;

typedef enum
{
  KV_RESERVATION,
  KV_EXPORTED,
  KV_IMPORTING, /**< the import is in progress */
  KV_IMPORTED,
} kv_kind_t;

/** One entry of KV memory; callers only read it. */
typedef struct
{
  char *id;
  char *owner;
  kv_kind_t kind;
  uint64_t tokens;
  uint32_t prefix_blocks;   /**< number of prompt blocks that the KV covers */
  uint64_t prefix_hash;     /**< hash of the last covered block */
  uint64_t expires_us;      /**< end of a reservation's lease */
  uint64_t last_request_us; /**< time of the last request for the entry */
} kv_entry_t;

/**
 * Returns a table without entries whose memory comes from @a engine. It is
 * freed with @a parent (talloc).
 */
kv_t *kv_new (void *parent, engine_t *engine);

/**
 * Reserves memory under @a id, or renews the lease of an existing reservation.
 * @return ENGINE_DUPLICATE if another kind of entry has the id, ENGINE_BUSY if
 *         the engine has too little memory
 */
engine_result_t kv_reserve (kv_t *kv,
                            const char *id,
                            const char *owner,
                            uint64_t tokens,
                            uint64_t lease_us,
                            uint64_t now_us);

/**
 * Exports the KV of a stream as an entry with the given id. Succeeds without a
 * change when the id is already exported.
 * @param keep true: the stream continues and keeps its KV, and the entry takes
 *             memory of its own; false: the stream ends and its memory passes
 *             to the entry
 * @return ENGINE_DUPLICATE if another kind of entry has the id, ENGINE_UNKNOWN
 *         if the stream is missing or was released, ENGINE_BUSY if the engine
 *         has too little memory
 */
engine_result_t kv_export (kv_t *kv,
                           const char *id,
                           const char *owner,
                           engine_stream_t *stream,
                           bool keep,
                           uint64_t now_us);

/**
 * Reserves memory for KV that is being transferred from another engine.
 * @return ENGINE_DUPLICATE if @a id is in use, ENGINE_BUSY if the engine has
 *         too little memory
 */
engine_result_t kv_begin_import (kv_t *kv,
                                 const char *id,
                                 const char *owner,
                                 uint64_t tokens,
                                 uint64_t now_us);

/**
 * Marks the import of @a id as complete.
 * @return false if the entry was released during the transfer
 */
bool kv_end_import (kv_t *kv,
                    const char *id,
                    uint32_t prefix_blocks,
                    uint64_t prefix_hash,
                    uint64_t now_us);

/** Returns the entry with @a id, or NULL. The table owns it. */
const kv_entry_t *kv_find (kv_t *kv, const char *id);

/** Records a request for an entry; does nothing if it does not exist. */
void kv_touch (kv_t *kv, const char *id, uint64_t now_us);

/**
 * Removes an entry and returns its memory to the engine.
 * @return false if no entry has the id
 */
bool kv_release (kv_t *kv, const char *id);

/** Removes every reservation whose lease has ended by @a now_us. */
void kv_expire (kv_t *kv, uint64_t now_us);

/**
 * Submits a stream that takes its memory from imported KV and a reservation
 * before it takes free memory. The import entry is removed whole. The
 * reservation shrinks by what the stream needs beyond the imported KV. Both
 * stay unchanged on failure.
 * @param reservation id, or NULL; a missing reservation is ignored
 * @param import id, or NULL
 * @param stream set on success; the engine owns the stream
 * @return ENGINE_UNKNOWN if the imported KV does not exist, or the result of
 *         engine_submit()
 */
engine_result_t kv_submit (kv_t *kv,
                           engine_submit_t *submit,
                           const char *reservation,
                           const char *import,
                           uint64_t now_us,
                           engine_stream_t **stream);

/**
 * Returns the tokens held by exported and imported KV, and by imports in
 * progress, that had no request since @a before_us.
 */
uint64_t kv_untouched_tokens (const kv_t *kv, uint64_t before_us);

/** Calls @a visit for every entry, in no particular order. */
void kv_each (kv_t *kv,
              void (*visit) (const kv_entry_t *entry, void *context),
              void *context);

#endif
