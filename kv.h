/**
 * @file kv.h
 * KV memory of an engine outside its streams: reservations with a lease, and
 * KV that was exported from a stream or imported from another engine.
 *
 * Every piece has the id that its owner gave it; the same id again is the same
 * piece. Memory is taken from the engine with engine_reserve() and goes back on
 * release, at the end of the lease, or to the stream that takes it over.
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
  KV_ARRIVING, /**< its import has not ended yet */
  KV_IMPORTED,
} kv_kind_t;

/** One piece of memory; for reading. */
typedef struct
{
  char *id;
  char *owner;
  kv_kind_t kind;
  uint64_t tokens;
  uint32_t prefix_blocks; /**< prompt blocks that the KV covers */
  uint64_t prefix_hash;   /**< of the last of them */
  uint64_t expires_us;    /**< end of a reservation's lease */
  uint64_t last_request_us;
} kv_piece_t;

/** No pieces yet, freed with @a parent (talloc). */
kv_t *kv_new (void *parent, engine_t *engine);

/** Reserves memory, or renews the lease of what @a id reserved. */
engine_result_t kv_reserve (kv_t *kv,
                            const char *id,
                            const char *owner,
                            uint64_t tokens,
                            uint64_t lease_us,
                            uint64_t now_us);

/**
 * Puts a stream's KV under @a id.
 * @param keep the stream goes on with KV of its own; else it ends, and its
 *             memory becomes the piece's
 */
engine_result_t kv_export (kv_t *kv,
                           const char *id,
                           const char *owner,
                           engine_stream_t *stream,
                           bool keep,
                           uint64_t now_us);

/** Takes memory for KV that is on its way; ENGINE_DUPLICATE if @a id is. */
engine_result_t kv_begin_import (kv_t *kv,
                                 const char *id,
                                 const char *owner,
                                 uint64_t tokens,
                                 uint64_t now_us);

/** The KV arrived; false when its piece was released meanwhile. */
bool kv_end_import (kv_t *kv,
                    const char *id,
                    uint32_t prefix_blocks,
                    uint64_t prefix_hash,
                    uint64_t now_us);

/** The piece with @a id, or NULL. */
const kv_piece_t *kv_find (kv_t *kv, const char *id);

/** Somebody asked for the piece. */
void kv_touch (kv_t *kv, const char *id, uint64_t now_us);

/** Gives a piece back; false when there is none. */
bool kv_release (kv_t *kv, const char *id);

/** Ends the leases that ran out by @a now_us. */
void kv_expire (kv_t *kv, uint64_t now_us);

/**
 * Submits a stream that uses a reservation and imported KV first. The KV is
 * taken over whole; of the reservation what the stream needs besides.
 * @param reservation id, or NULL; one that is gone counts as none
 * @param import id, or NULL; ENGINE_UNKNOWN when that KV is not there
 */
engine_result_t kv_submit (kv_t *kv,
                           engine_submit_t *submit,
                           const char *reservation,
                           const char *import,
                           uint64_t now_us,
                           engine_stream_t **stream);

/** Memory of exported and imported KV untouched since @a before_us. */
uint64_t kv_untouched_tokens (const kv_t *kv, uint64_t before_us);

void kv_each (kv_t *kv,
              void (*visit) (const kv_piece_t *piece, void *context),
              void *context);

#endif
