#include "engine.h"

#include <string.h>
#include <talloc.h>

#define US_PER_S 1000000.0

/*
 * Limit of released streams that are kept, so that their ids are recognized
 * and their tokens can be fetched again.
 */
#define MAX_RELEASED_STREAMS 4096

struct engine
{
  engine_options_t options;
  prefix_cache_t *cache;
  GHashTable *streams; /* request id to stream */
  GQueue active;       /* streams that are not done, in order of service */
  GQueue released;     /* streams that hold no memory, oldest first */
  uint64_t held_tokens;
  uint64_t waiting_tokens;
  uint64_t arrivals;
  uint64_t step_end_us; /* 0 when idle */
  GPtrArray *changed;   /* streams whose progress is not reported yet */
};

static int
free_engine (engine_t *engine)
{
  g_hash_table_destroy (engine->streams);
  g_ptr_array_free (engine->changed, TRUE);
  return 0;
}

engine_t *
engine_new (void *parent, const engine_options_t *options)
{
  engine_t *engine = talloc_zero (parent, engine_t);
  prefix_cache_options_t cache
      = { .limit_tokens = MIN (options->cache_tokens, options->kv_tokens),
          .on_event = options->on_cache_event,
          .context = options->context };

  engine->options = *options;
  engine->cache = prefix_cache_new (engine, &cache);
  engine->streams = g_hash_table_new (g_str_hash, g_str_equal);
  engine->changed = g_ptr_array_new ();
  g_queue_init (&engine->active);
  g_queue_init (&engine->released);
  talloc_set_destructor (engine, free_engine);
  return engine;
}

/*
 * Sets the memory in use; the prefix cache may use the rest, up to its own
 * limit.
 */
static void
set_held_tokens (engine_t *engine, uint64_t held_tokens)
{
  uint64_t room = engine->options.kv_tokens - held_tokens;

  engine->held_tokens = held_tokens;
  prefix_cache_set_limit (engine->cache,
                          MIN (room, engine->options.cache_tokens));
}

bool
engine_reserve (engine_t *engine, uint64_t tokens)
{
  if (tokens > engine->options.kv_tokens - engine->held_tokens)
    return false;
  set_held_tokens (engine, engine->held_tokens + tokens);
  return true;
}

void
engine_unreserve (engine_t *engine, uint64_t tokens)
{
  set_held_tokens (engine, engine->held_tokens - tokens);
}

uint64_t
engine_need_tokens (const engine_submit_t *submit)
{
  return (uint64_t)submit->prompt->tokens + submit->max_tokens;
}

engine_stream_t *
engine_find (engine_t *engine, const char *request_id)
{
  return g_hash_table_lookup (engine->streams, request_id);
}

uint64_t
engine_next_us (const engine_t *engine)
{
  return engine->step_end_us;
}

static int
compare_service_order (const engine_stream_t *a, const engine_stream_t *b)
{
  if (a->priority != b->priority)
    return a->priority > b->priority ? -1 : 1;
  return a->arrival < b->arrival ? -1 : 1;
}

/*
 * Inserts the stream in order of service. The search starts at the tail,
 * because most streams have the usual priority and belong there.
 */
static void
enqueue_stream (engine_t *engine, engine_stream_t *stream)
{
  GList *after = engine->active.tail;

  while (after != NULL && compare_service_order (after->data, stream) > 0)
    after = after->prev;
  if (after == NULL)
    g_queue_push_head_link (&engine->active, &stream->link);
  else
    {
      GList *link = &stream->link;

      link->prev = after;
      link->next = after->next;
      if (after->next != NULL)
        after->next->prev = link;
      else
        engine->active.tail = link;
      after->next = link;
      engine->active.length++;
    }
}

static engine_stream_t *
add_stream (engine_t *engine, const engine_submit_t *submit, uint64_t now_us)
{
  engine_stream_t *stream = talloc_zero (engine, engine_stream_t);

  stream->request_id = talloc_strdup (stream, submit->request_id);
  stream->owner = talloc_strdup (stream, submit->owner);
  stream->seed = submit->seed;
  stream->prompt = talloc_steal (stream, submit->prompt);
  stream->prompt_tokens = submit->prompt->tokens;
  stream->max_tokens = submit->max_tokens;
  stream->priority = submit->priority;
  stream->hold = submit->hold;
  stream->cached_tokens = submit->imported_tokens;
  stream->held_tokens = engine_need_tokens (submit);
  stream->last_request_us = now_us;
  stream->arrival = engine->arrivals++;
  stream->link.data = stream;
  g_hash_table_insert (engine->streams, stream->request_id, stream);
  engine->waiting_tokens += stream->prompt_tokens;
  enqueue_stream (engine, stream);
  return stream;
}

/** Returns the prompt tokens that the stream still has to prefill. */
static uint32_t
unread_tokens (const engine_stream_t *stream)
{
  return stream->prompt_tokens - stream->read_tokens;
}

static void
record_prefill (engine_t *engine, engine_stream_t *stream, uint32_t tokens)
{
  stream->read_tokens += tokens;
  engine->waiting_tokens -= tokens;
}

/*
 * Starts the prefill after the cached tokens. The last prompt token is never
 * taken from the cache, because the first answer token is computed from it.
 */
static void
start_stream (engine_t *engine, engine_stream_t *stream)
{
  uint32_t cached = prefix_cache_lookup (engine->cache, stream->prompt);

  stream->started = true;
  stream->cached_tokens = MAX (stream->cached_tokens, cached);
  stream->cached_tokens
      = MIN (stream->cached_tokens, stream->prompt_tokens - 1);
  record_prefill (engine, stream, stream->cached_tokens);
}

static uint64_t
step_time_us (const engine_t *engine, uint32_t streams, uint32_t prefill_tokens)
{
  const engine_options_t *options = &engine->options;
  double us = options->step_us;

  us += (double)options->step_stream_us * (streams - 1);
  us += prefill_tokens * US_PER_S / options->prefill_tokens_s;
  us = us * options->time_scale_percent / 100;
  return us > 1 ? (uint64_t)us : 1;
}

/*
 * Starts a step. Batch slots and prefill tokens go to streams in order of
 * service, so a stream of higher priority overtakes others at the next step.
 */
static void
begin_step (engine_t *engine, uint64_t now_us)
{
  uint32_t prefill = 0;
  uint32_t streams = 0;
  uint32_t slots = engine->options.max_batch;

  for (GList *node = engine->active.head; node != NULL && slots > 0;
       node = node->next, slots--)
    {
      engine_stream_t *stream = node->data;
      uint32_t budget = ENGINE_STEP_PREFILL_TOKENS - prefill;

      if (!stream->started && budget > 0)
        start_stream (engine, stream);
      stream->chunk_tokens = MIN (unread_tokens (stream), budget);
      prefill += stream->chunk_tokens;
      stream->in_step = stream->chunk_tokens > 0 || unread_tokens (stream) == 0;
      streams += stream->in_step;
    }
  engine->step_end_us
      = streams > 0 ? now_us + step_time_us (engine, streams, prefill) : 0;
}

/** Frees the stream that was released longest ago. */
static void
free_oldest_released (engine_t *engine)
{
  engine_stream_t *stream = g_queue_peek_head (&engine->released);

  /* Keeps a stream with an observer or unreported progress, as the newest. */
  g_queue_unlink (&engine->released, &stream->link);
  if (stream->observer != NULL || stream->changed)
    {
      g_queue_push_tail_link (&engine->released, &stream->link);
      return;
    }
  g_hash_table_remove (engine->streams, stream->request_id);
  talloc_free (stream);
}

void
engine_release (engine_t *engine, engine_stream_t *stream)
{
  if (stream->released)
    return;
  if (!stream->done)
    g_queue_unlink (&engine->active, &stream->link);
  engine->waiting_tokens -= unread_tokens (stream);
  stream->read_tokens = stream->prompt_tokens;
  stream->in_step = false;
  stream->released = true;
  engine_unreserve (engine, stream->held_tokens);
  stream->held_tokens = 0;
  TALLOC_FREE (stream->prompt);
  g_queue_push_tail_link (&engine->released, &stream->link);
  if (engine->released.length > MAX_RELEASED_STREAMS)
    free_oldest_released (engine);
}

static void
mark_stream_changed (engine_t *engine, engine_stream_t *stream)
{
  if (stream->changed)
    return;
  stream->changed = true;
  g_ptr_array_add (engine->changed, stream);
}

static void
end_stream (engine_t *engine, engine_stream_t *stream)
{
  stream->done = true;
  g_queue_unlink (&engine->active, &stream->link);
}

static void
apply_step (engine_t *engine, engine_stream_t *stream)
{
  bool was_reading = unread_tokens (stream) > 0;

  stream->in_step = false;
  record_prefill (engine, stream, stream->chunk_tokens);
  if (unread_tokens (stream) > 0)
    return;
  if (was_reading)
    prefix_cache_insert (engine->cache, stream->prompt);
  if (stream->generated < stream->max_tokens)
    stream->generated++;
  if (stream->generated == stream->max_tokens)
    end_stream (engine, stream);
  mark_stream_changed (engine, stream);
}

static void
finish_step (engine_t *engine)
{
  GList *next;

  for (GList *node = engine->active.head; node != NULL; node = next)
    {
      engine_stream_t *stream = node->data;

      next = node->next;
      if (stream->in_step)
        apply_step (engine, stream);
    }
}

static void
report_progress (engine_t *engine)
{
  for (guint i = 0; i < engine->changed->len; i++)
    {
      engine_stream_t *stream = g_ptr_array_index (engine->changed, i);

      stream->changed = false;
      if (!stream->released && engine->options.on_progress != NULL)
        engine->options.on_progress (stream, engine->options.context);
    }
  g_ptr_array_set_size (engine->changed, 0);
}

void
engine_advance (engine_t *engine, uint64_t now_us)
{
  while (engine->step_end_us != 0 && engine->step_end_us <= now_us)
    {
      finish_step (engine);
      begin_step (engine, engine->step_end_us);
    }
  report_progress (engine);
}

engine_result_t
engine_submit (engine_t *engine,
               const engine_submit_t *submit,
               uint64_t now_us,
               engine_stream_t **stream)
{
  uint64_t need = engine_need_tokens (submit);
  uint64_t given = MIN (submit->transferred_tokens, need);
  uint32_t queue = engine->options.max_batch * ENGINE_QUEUE_FACTOR;

  engine_advance (engine, now_us);
  if (engine_find (engine, submit->request_id) != NULL)
    return ENGINE_DUPLICATE;
  if (need > engine->options.kv_tokens)
    return ENGINE_TOO_LARGE;
  if (engine->active.length >= queue || !engine_reserve (engine, need - given))
    return ENGINE_BUSY;
  *stream = add_stream (engine, submit, now_us);
  if (engine->step_end_us == 0)
    begin_step (engine, now_us);
  return ENGINE_OK;
}

engine_load_t
engine_load (const engine_t *engine)
{
  return (engine_load_t){
    .running = engine->active.length,
    .waiting_tokens = engine->waiting_tokens,
    .held_tokens = engine->held_tokens,
    .cache_tokens = prefix_cache_tokens (engine->cache),
  };
}

void
engine_each_stream (engine_t *engine,
                    void (*visit) (engine_stream_t *stream, void *context),
                    void *context)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, engine->streams);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      engine_stream_t *stream = value;

      if (!stream->released)
        visit (stream, context);
    }
}

uint64_t
engine_unobserved_tokens (const engine_t *engine, uint64_t before_us)
{
  GHashTableIter iter;
  gpointer value;
  uint64_t tokens = 0;

  g_hash_table_iter_init (&iter, engine->streams);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const engine_stream_t *stream = value;

      if (stream->observer == NULL && stream->last_request_us < before_us)
        tokens += stream->held_tokens;
    }
  return tokens;
}
