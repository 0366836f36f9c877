/**
 * @file engine.h
 * Simulates a language-model engine without I/O: continuous batching, chunked
 * prefill, priorities, KV memory counted in tokens, and a prefix cache.
 *
 * The engine has no clock. Every call that depends on time gets it as an
 * argument, in microseconds of a monotonic clock. engine_advance() runs all
 * steps that ended by then, so a caller needs one timer, at engine_next_us(). A
 * late timer is allowed: several steps then run at once, each at its own time.
 *
 * A step takes step_us, plus step_stream_us for each stream after the first,
 * plus its prefill tokens / prefill_tokens_s. A stream holds the memory for its
 * prompt and answer from its admission until engine_release().
 */
#ifndef ENGINE_H
#define ENGINE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "prefix-cache.h"
#include "prompt.h"

/** Upper bound of prompt tokens prefilled in one step. */
#define ENGINE_STEP_PREFILL_TOKENS 2048

/** Upper bound of admitted streams for each stream that fits into the batch. */
#define ENGINE_QUEUE_FACTOR 4

typedef struct engine engine_t;

/**
 * A stream. Callers read all fields, and write observer and last_request_us
 * only.
 */
typedef struct
{
  char *request_id;
  char *owner;
  uint64_t seed;    /**< seed of its tokens, see token_text() */
  prompt_t *prompt; /**< NULL after release */
  uint32_t prompt_tokens;
  uint32_t max_tokens;
  uint32_t priority;
  uint32_t read_tokens;   /**< prompt tokens prefilled, including cached ones */
  uint32_t cached_tokens; /**< prompt tokens that were cached or imported */
  uint32_t generated;
  bool started;  /**< has been part of a step */
  bool done;     /**< all tokens are generated */
  bool released; /**< holds no memory; kept to be resumed or recognized */
  bool hold;     /**< keeps its KV after its end, see engine_submit_t */
  uint64_t held_tokens;
  uint64_t last_request_us; /**< time of the last request for this stream */
  void *observer; /**< belongs to the caller; a stream that has one is kept */
  /* Private to the engine. */
  uint64_t arrival;
  uint32_t chunk_tokens; /* prompt tokens to prefill in this step */
  bool in_step;
  bool changed; /* has progressed since on_progress was last called */
  GList link;   /* in the queue of active or released streams */
} engine_stream_t;

/** The result of a call on the engine. */
typedef enum
{
  ENGINE_OK,
  ENGINE_BUSY,      /**< memory or queue is full at present */
  ENGINE_TOO_LARGE, /**< would not fit into the empty memory either */
  ENGINE_DUPLICATE, /**< the id is in use already */
  ENGINE_UNKNOWN,   /**< no such stream, reservation or KV */
} engine_result_t;

/**
 * Reports progress of @a stream: one or more new tokens, or its end, since the
 * last call.
 */
typedef void (*engine_progress_cb_t) (engine_stream_t *stream, void *context);

/** Properties of the simulated engine. */
typedef struct
{
  uint32_t kv_tokens;
  uint32_t cache_tokens; /**< part of kv_tokens that the prefix cache may use */
  uint32_t prefill_tokens_s; /**< at least 1 */
  uint32_t step_us;
  uint32_t step_stream_us;
  uint32_t max_batch;
  uint32_t time_scale_percent;
  engine_progress_cb_t on_progress;       /**< may be NULL */
  prefix_cache_event_cb_t on_cache_event; /**< may be NULL */
  void *context;
} engine_options_t;

/** A stream to admit. Strings are copied. */
typedef struct
{
  const char *request_id;
  const char *owner;
  prompt_t *prompt; /**< ownership passes to the stream on admission */
  uint64_t seed;
  uint32_t max_tokens;
  uint32_t priority; /**< higher values are served first */
  bool hold;         /**< the KV is kept until exported or cancelled */
  uint64_t transferred_tokens; /**< memory from engine_reserve() that the stream
                            takes over, at most engine_need_tokens() */
  uint32_t imported_tokens; /**< tokens at the start of the prompt that need no
                               prefill */
} engine_submit_t;

/** The load that the engine reports. */
typedef struct
{
  uint32_t running;        /**< streams that are not done */
  uint64_t waiting_tokens; /**< prompt tokens not prefilled yet */
  uint64_t held_tokens;    /**< memory of streams, reservations and KV */
  uint64_t cache_tokens;   /**< prefix cache, evicted when memory is needed */
} engine_load_t;

/** Creates an idle engine; freed with @a parent (talloc). */
engine_t *engine_new (void *parent, const engine_options_t *options);

/**
 * Admits a stream. Sets *@a stream, which belongs to the engine, when the
 * result is ENGINE_OK.
 */
engine_result_t engine_submit (engine_t *engine,
                               const engine_submit_t *submit,
                               uint64_t now_us,
                               engine_stream_t **stream);

/**
 * Returns the memory in tokens that a stream takes: its prompt and its longest
 * answer.
 */
uint64_t engine_need_tokens (const engine_submit_t *submit);

/**
 * Returns the stream with @a request_id, whether running, done or released; or
 * NULL.
 */
engine_stream_t *engine_find (engine_t *engine, const char *request_id);

/** Ends a stream in any state and frees its memory. */
void engine_release (engine_t *engine, engine_stream_t *stream);

/** Runs all steps that ended by @a now_us, and reports their progress. */
void engine_advance (engine_t *engine, uint64_t now_us);

/** Returns when the current step ends, or 0 when there is none. */
uint64_t engine_next_us (const engine_t *engine);

/** Returns the present load. */
engine_load_t engine_load (const engine_t *engine);

/**
 * Returns the memory in tokens of streams without observer whose last request
 * came before @a before_us.
 */
uint64_t engine_unobserved_tokens (const engine_t *engine, uint64_t before_us);

/** Calls @a visit for every stream that holds memory. */
void engine_each_stream (engine_t *engine,
                         void (*visit) (engine_stream_t *stream, void *context),
                         void *context);

/**
 * Takes memory from the free part, for uses other than streams.
 * @return false when less than @a tokens are free
 */
bool engine_reserve (engine_t *engine, uint64_t tokens);

/** Frees memory taken with engine_reserve(). */
void engine_unreserve (engine_t *engine, uint64_t tokens);

#endif
