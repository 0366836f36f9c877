/* Checks the simulated engine without I/O: memory, order of service, timing,
 * prefix cache. */
#include <glib.h>
#include <string.h>
#include <talloc.h>

#include "cache-events.h"
#include "engine.h"
#include "kv.h"
#include "misbehave.h"

#define BLOCK      PROMPT_BLOCK_TOKENS
#define KV_TOKENS  10000
#define SECOND_US  1000000
#define FOREVER_US (1000 * (uint64_t)SECOND_US)

typedef struct
{
  void *root;
  engine_t *engine;
  kv_t *kv;
  GString *order; /* ids of streams in the order in which they end */
  GString *events;
} bench_t;

static void
on_progress (engine_stream_t *stream, void *context)
{
  bench_t *bench = context;

  if (stream->done)
    g_string_append (bench->order, stream->request_id);
}

static void
on_event (uint64_t first_hash,
          uint64_t prefix_hash,
          uint32_t tokens,
          bool present,
          void *context)
{
  bench_t *bench = context;

  g_string_append_printf (bench->events, "%c%u ", present ? '+' : '-',
                          tokens / BLOCK);
}

static engine_options_t
default_options (void)
{
  return (engine_options_t){ .kv_tokens = KV_TOKENS,
                             .cache_tokens = 8 * BLOCK,
                             .prefill_tokens_s = 100000,
                             .step_us = 1000,
                             .step_stream_us = 100,
                             .max_batch = 4,
                             .time_scale_percent = 100 };
}

static void
set_up_with (bench_t *bench, engine_options_t options)
{
  bench->root = talloc_new (NULL);
  bench->order = g_string_new (NULL);
  bench->events = g_string_new (NULL);
  options.on_progress = on_progress;
  options.on_cache_event = on_event;
  options.context = bench;
  bench->engine = engine_new (bench->root, &options);
  bench->kv = kv_new (bench->root, bench->engine);
}

static void
set_up (bench_t *bench, gconstpointer data)
{
  set_up_with (bench, default_options ());
}

static void
tear_down (bench_t *bench, gconstpointer data)
{
  g_string_free (bench->order, TRUE);
  g_string_free (bench->events, TRUE);
  talloc_free (bench->root);
}

/** Creates a prompt of @a blocks blocks that are filled with @a fill. */
static prompt_t *
make_prompt (bench_t *bench, char fill, size_t blocks)
{
  size_t size = blocks * PROMPT_BLOCK_BYTES;
  char *text = g_malloc (size + 1);
  prompt_t *prompt;

  memset (text, fill, size);
  prompt = prompt_new (bench->root, text, size);
  g_free (text);
  return prompt;
}

static engine_submit_t
make_submit (bench_t *bench, const char *id, char fill, size_t blocks)
{
  return (engine_submit_t){ .request_id = id,
                            .owner = "entry-1/1",
                            .prompt = make_prompt (bench, fill, blocks),
                            .max_tokens = 4 };
}

static engine_stream_t *
admit_request (bench_t *bench, engine_submit_t submit, uint64_t now_us)
{
  engine_stream_t *stream = NULL;

  g_assert_cmpint (engine_submit (bench->engine, &submit, now_us, &stream), ==,
                   ENGINE_OK);
  return stream;
}

static uint64_t
count_held_tokens (bench_t *bench)
{
  return engine_load (bench->engine).held_tokens;
}

/** Runs the engine step by step until idle; returns the last step's time. */
static uint64_t
run_until_idle (bench_t *bench)
{
  uint64_t end_us = 0;

  while (engine_next_us (bench->engine) != 0)
    {
      end_us = engine_next_us (bench->engine);
      engine_advance (bench->engine, end_us);
    }
  return end_us;
}

static void
test_memory_is_held_until_release (bench_t *bench, gconstpointer data)
{
  engine_submit_t submit = make_submit (bench, "a", 'a', 2);
  engine_stream_t *reading
      = admit_request (bench, make_submit (bench, "b", 'b', 20), 0);
  engine_stream_t *done;
  engine_stream_t *fresh;

  submit.max_tokens = 1;
  submit.priority = 1;
  done = admit_request (bench, submit, 0);
  g_assert_cmpuint (count_held_tokens (bench), ==, 22 * BLOCK + 5);
  engine_advance (bench->engine, 50000);
  g_assert_true (done->done);
  g_assert_false (reading->done);
  g_assert_cmpuint (count_held_tokens (bench), ==, 22 * BLOCK + 5);
  engine_release (bench->engine, done);
  engine_release (bench->engine, reading);
  fresh = admit_request (bench, make_submit (bench, "c", 'c', 3), 50001);
  engine_release (bench->engine, fresh);
  engine_release (bench->engine, fresh);
  g_assert_cmpuint (count_held_tokens (bench), ==, 0);
  g_assert_cmpuint (engine_load (bench->engine).waiting_tokens, ==, 0);
  g_assert_cmpuint (engine_load (bench->engine).running, ==, 0);
  engine_advance (bench->engine, FOREVER_US);
  g_assert_cmpuint (engine_next_us (bench->engine), ==, 0);
}

static void
test_refusals_hold_nothing (bench_t *bench, gconstpointer data)
{
  engine_submit_t submit = make_submit (bench, "a", 'a', 20);
  engine_stream_t *stream = NULL;

  admit_request (bench, submit, 0);
  g_assert_cmpint (engine_submit (bench->engine, &submit, 0, &stream), ==,
                   ENGINE_DUPLICATE);
  submit = make_submit (bench, "b", 'b', 20);
  g_assert_cmpint (engine_submit (bench->engine, &submit, 0, &stream), ==,
                   ENGINE_BUSY);
  submit = make_submit (bench, "c", 'c', 40);
  g_assert_cmpint (engine_submit (bench->engine, &submit, 0, &stream), ==,
                   ENGINE_TOO_LARGE);
  g_assert_null (engine_find (bench->engine, "b"));
  g_assert_cmpuint (count_held_tokens (bench), ==, 20 * BLOCK + 4);
}

static void
test_queue_is_bounded (bench_t *bench, gconstpointer data)
{
  engine_submit_t submit;
  engine_stream_t *stream = NULL;
  char id[16];

  for (int i = 0; i < 4 * ENGINE_QUEUE_FACTOR; i++)
    {
      g_snprintf (id, sizeof id, "%d", i);
      admit_request (bench, make_submit (bench, id, 'a', 1), 0);
    }
  submit = make_submit (bench, "x", 'a', 1);
  g_assert_cmpint (engine_submit (bench->engine, &submit, 0, &stream), ==,
                   ENGINE_BUSY);
}

static void
test_higher_priority_overtakes (bench_t *bench, gconstpointer data)
{
  engine_submit_t submit = make_submit (bench, "L", 'l', 20);

  admit_request (bench, submit, 0);
  submit = make_submit (bench, "l", 'm', 1);
  admit_request (bench, submit, 1);
  submit = make_submit (bench, "h", 'h', 2);
  submit.priority = 5;
  admit_request (bench, submit, 2);
  run_until_idle (bench);
  /* The long prompt arrived first, but its prefill must not delay the request
   * of higher priority. */
  g_assert_cmpstr (bench->order->str, ==, "hLl");
}

static void
test_full_batch_serves_by_priority (bench_t *bench, gconstpointer data)
{
  engine_submit_t submit;
  char id[2] = "a";

  for (int i = 0; i < 4; i++, id[0]++)
    {
      submit = make_submit (bench, id, 'a', 1);
      submit.max_tokens = 50;
      admit_request (bench, submit, 0);
    }
  submit = make_submit (bench, "z", 'z', 1);
  submit.priority = 1;
  admit_request (bench, submit, 1);
  run_until_idle (bench);
  g_assert_cmpstr (bench->order->str, ==, "zabcd");
}

static void
test_step_times (bench_t *bench, gconstpointer data)
{
  engine_stream_t *stream
      = admit_request (bench, make_submit (bench, "a", 'a', 2), 1000);
  /* Prefill of 512 tokens at 100,000 tokens/s, and one decode step. */
  uint64_t first_us = 1000 + 1000 + 5120;

  g_assert_cmpuint (engine_next_us (bench->engine), ==, first_us);
  engine_advance (bench->engine, first_us - 1);
  g_assert_cmpuint (stream->generated, ==, 0);
  engine_advance (bench->engine, first_us);
  g_assert_cmpuint (stream->generated, ==, 1);
  admit_request (bench, make_submit (bench, "b", 'a', 2), first_us + 500);
  g_assert_cmpuint (engine_next_us (bench->engine), ==, first_us + 1000);
  engine_advance (bench->engine, first_us + 1000);
  /* The prompt of the second stream is cached except for its last token; the
   * step decodes two streams. */
  g_assert_cmpuint (engine_next_us (bench->engine), ==,
                    first_us + 1000 + 1000 + 100 + 10);
}

static void
test_late_advance_gives_same_events (bench_t *bench, gconstpointer data)
{
  bench_t late = { 0 };
  uint64_t end_us;

  set_up_with (&late, default_options ());
  admit_request (bench, make_submit (bench, "a", 'a', 7), 0);
  admit_request (&late, make_submit (&late, "a", 'a', 7), 0);
  admit_request (bench, make_submit (bench, "b", 'b', 3), 10);
  admit_request (&late, make_submit (&late, "b", 'b', 3), 10);
  end_us = run_until_idle (bench);
  engine_advance (late.engine, end_us - 1);
  g_assert_cmpuint (engine_next_us (late.engine), ==, end_us);
  tear_down (&late, NULL);
}

static void
test_prefix_is_cached_and_evicted (bench_t *bench, gconstpointer data)
{
  engine_stream_t *stream;

  admit_request (bench, make_submit (bench, "a", 'a', 4), 0);
  engine_advance (bench->engine, SECOND_US);
  g_assert_cmpuint (engine_load (bench->engine).cache_tokens, ==, 4 * BLOCK);
  g_assert_cmpstr (bench->events->str, ==, "+1 +2 +4 ");
  stream = admit_request (bench, make_submit (bench, "b", 'a', 6), SECOND_US);
  engine_advance (bench->engine, 2 * SECOND_US);
  g_assert_cmpuint (stream->cached_tokens, ==, 4 * BLOCK);
  g_string_truncate (bench->events, 0);
  /* Memory for streams and reservations takes precedence over the cache: 12
   * blocks and two answers are held, so 3 of the 6 cached blocks are evicted,
   * last first. */
  g_assert_true (engine_reserve (
      bench->engine, KV_TOKENS - count_held_tokens (bench) - 3 * BLOCK));
  g_assert_cmpuint (engine_load (bench->engine).cache_tokens, ==, 3 * BLOCK);
  g_assert_cmpstr (bench->events->str, ==, "-4 ");
}

static void
test_cache_evicts_least_recently_used (bench_t *bench, gconstpointer data)
{
  engine_stream_t *stream;

  admit_request (bench, make_submit (bench, "a", 'a', 3), 0);
  admit_request (bench, make_submit (bench, "b", 'b', 3), 0);
  engine_advance (bench->engine, SECOND_US);
  admit_request (bench, make_submit (bench, "c", 'a', 3), SECOND_US);
  engine_advance (bench->engine, 2 * SECOND_US);
  admit_request (bench, make_submit (bench, "d", 'd', 3), 2 * SECOND_US);
  engine_advance (bench->engine, 3 * SECOND_US);
  stream
      = admit_request (bench, make_submit (bench, "e", 'a', 3), 3 * SECOND_US);
  engine_advance (bench->engine, 4 * SECOND_US);
  g_assert_cmpuint (stream->cached_tokens, ==, 3 * BLOCK - 1);
  stream
      = admit_request (bench, make_submit (bench, "f", 'b', 3), 4 * SECOND_US);
  g_assert_cmpuint (stream->cached_tokens, ==, 2 * BLOCK);
}

static void
test_tokens_depend_on_their_inputs (void)
{
  uint64_t seed = token_seed ("m", "", "1", 7);
  char a[TOKEN_TEXT_BYTES];
  char b[TOKEN_TEXT_BYTES];

  token_text (seed, 5, a);
  token_text (token_seed ("m", "", "1", 7), 5, b);
  g_assert_cmpstr (a, ==, b);
  token_text (seed, 6, b);
  g_assert_cmpstr (a, !=, b);
  g_assert_cmpuint (seed, !=, token_seed ("n", "", "1", 7));
  g_assert_cmpuint (seed, !=, token_seed ("m", "x", "1", 7));
  g_assert_cmpuint (seed, !=, token_seed ("m", "", "2", 7));
  g_assert_cmpuint (seed, !=, token_seed ("m", "", "1", 8));
  g_assert_cmpuint (token_seed ("ab", "c", "1", 7), !=,
                    token_seed ("a", "bc", "1", 7));
}

static void
test_reservation_is_leased (bench_t *bench, gconstpointer data)
{
  kv_t *kv = bench->kv;

  g_assert_cmpint (kv_reserve (kv, "r", "o", 8000, 100, 0), ==, ENGINE_OK);
  g_assert_cmpint (kv_reserve (kv, "s", "o", 8000, 100, 0), ==, ENGINE_BUSY);
  g_assert_cmpint (kv_reserve (kv, "r", "o", 8000, 100, 50), ==, ENGINE_OK);
  kv_expire (kv, 149);
  g_assert_cmpuint (count_held_tokens (bench), ==, 8000);
  kv_expire (kv, 150);
  g_assert_cmpuint (count_held_tokens (bench), ==, 0);
  g_assert_null (kv_find (kv, "r"));
}

static void
test_stream_takes_over_its_reservation (bench_t *bench, gconstpointer data)
{
  engine_submit_t submit = make_submit (bench, "a", 'a', 20);
  uint64_t need = engine_need_tokens (&submit);
  engine_stream_t *stream = NULL;

  kv_reserve (bench->kv, "r", "o", 9000, 100, 0);
  g_assert_cmpint (kv_submit (bench->kv, &submit, NULL, NULL, 0, &stream), ==,
                   ENGINE_BUSY);
  g_assert_cmpint (kv_submit (bench->kv, &submit, "r", NULL, 0, &stream), ==,
                   ENGINE_OK);
  g_assert_cmpuint (count_held_tokens (bench), ==, 9000);
  g_assert_cmpuint (kv_find (bench->kv, "r")->tokens, ==, 9000 - need);
  engine_release (bench->engine, stream);
  g_assert_true (kv_release (bench->kv, "r"));
  g_assert_false (kv_release (bench->kv, "r"));
  g_assert_cmpuint (count_held_tokens (bench), ==, 0);
}

static void
test_export_moves_or_copies (bench_t *bench, gconstpointer data)
{
  engine_stream_t *stream
      = admit_request (bench, make_submit (bench, "a", 'a', 4), 0);
  kv_t *kv = bench->kv;

  engine_advance (bench->engine, SECOND_US);
  g_assert_cmpint (kv_export (kv, "k", "o", stream, true, 0), ==, ENGINE_OK);
  g_assert_cmpuint (count_held_tokens (bench), ==, 2 * (4 * BLOCK + 4));
  g_assert_cmpint (kv_export (kv, "k", "o", stream, true, 0), ==, ENGINE_OK);
  g_assert_cmpint (kv_export (kv, "l", "o", stream, false, 0), ==, ENGINE_OK);
  g_assert_cmpuint (count_held_tokens (bench), ==, 2 * (4 * BLOCK + 4));
  g_assert_true (stream->released);
  g_assert_cmpint (kv_export (kv, "m", "o", stream, false, 0), ==,
                   ENGINE_UNKNOWN);
  g_assert_cmpuint (kv_untouched_tokens (kv, 1), ==, 2 * (4 * BLOCK + 4));
  kv_release (kv, "k");
  kv_release (kv, "l");
  g_assert_cmpuint (count_held_tokens (bench), ==, 0);
}

static void
test_imported_kv_needs_no_prefill (bench_t *bench, gconstpointer data)
{
  engine_submit_t submit = make_submit (bench, "a", 'a', 4);
  uint64_t hash = submit.prompt->blocks[2];
  engine_stream_t *stream = NULL;
  kv_t *kv = bench->kv;

  kv_begin_import (kv, "k", "o", 3 * BLOCK, 0);
  g_assert_cmpint (kv_submit (kv, &submit, NULL, "k", 0, &stream), ==,
                   ENGINE_UNKNOWN);
  g_assert_true (kv_end_import (kv, "k", 3, hash, 0));
  g_assert_cmpint (kv_submit (kv, &submit, NULL, "k", 0, &stream), ==,
                   ENGINE_OK);
  g_assert_null (kv_find (kv, "k"));
  g_assert_cmpuint (count_held_tokens (bench), ==, 4 * BLOCK + 4);
  g_assert_cmpuint (stream->cached_tokens, ==, 3 * BLOCK);
  kv_begin_import (kv, "l", "o", 3 * BLOCK, 0);
  kv_end_import (kv, "l", 3, hash + 1, 0);
  submit = make_submit (bench, "b", 'a', 4);
  kv_submit (kv, &submit, NULL, "l", 0, &stream);
  g_assert_cmpuint (stream->cached_tokens, ==, 0);
}

static void
test_surplus_of_imported_kv_is_freed (bench_t *bench, gconstpointer data)
{
  engine_submit_t submit = make_submit (bench, "a", 'a', 1);
  engine_stream_t *stream = NULL;

  kv_begin_import (bench->kv, "k", "o", 9 * BLOCK, 0);
  kv_end_import (bench->kv, "k", 0, 0, 0);
  g_assert_cmpint (kv_submit (bench->kv, &submit, NULL, "k", 0, &stream), ==,
                   ENGINE_OK);
  g_assert_cmpuint (count_held_tokens (bench), ==, BLOCK + 4);
}

static void
count_event (const cache_event_t *event, void *context)
{
  (*(int *)context)++;
}

static void
test_cache_events_are_late_and_lost (bench_t *bench, gconstpointer data)
{
  cache_events_options_t options
      = { .lag_us = 100, .loss_percent = 50, .seed = 3 };
  cache_events_t *events = cache_events_new (bench->root, &options);
  cache_event_t event = { .tokens = BLOCK };
  uint64_t next;
  int seen = 0;

  for (int i = 0; i < 100; i++)
    cache_events_add (events, &event);
  event.at_us = 50;
  for (int i = 0; i < 100; i++)
    cache_events_add (events, &event);
  cache_events_visit_since (events, 0, 99, count_event, &seen);
  g_assert_cmpint (seen, ==, 0);
  next = cache_events_visit_since (events, 0, 149, count_event, &seen);
  g_assert_cmpuint (next, <=, 100);
  g_assert_cmpint (seen, >, 20);
  g_assert_cmpint (seen, <, 80);
  seen = 0;
  g_assert_cmpuint (
      cache_events_visit_since (events, next, 149, count_event, &seen), ==,
      next);
  g_assert_cmpint (seen, ==, 0);
}

static void
test_faults_apply_in_order (bench_t *bench, gconstpointer data)
{
  misbehave_t *misbehave = misbehave_new (bench->root);
  fault_t stall = { .kind = MISBEHAVE_STALL };
  fault_t busy = { .kind = MISBEHAVE_BUSY };

  misbehave_add (misbehave, &stall, 2);
  misbehave_add (misbehave, &busy, 1);
  misbehave_add (misbehave, &busy, 0);
  g_assert_cmpint (misbehave_take (misbehave).kind, ==, MISBEHAVE_STALL);
  g_assert_cmpint (misbehave_take (misbehave).kind, ==, MISBEHAVE_STALL);
  g_assert_cmpint (misbehave_take (misbehave).kind, ==, MISBEHAVE_BUSY);
  g_assert_cmpint (misbehave_take (misbehave).kind, ==, MISBEHAVE_NONE);
}

static void
add_case (const char *path, void (*test) (bench_t *, gconstpointer))
{
  g_test_add (path, bench_t, NULL, set_up, test, tear_down);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  add_case ("/engine/memory-is-held-until-release",
            test_memory_is_held_until_release);
  add_case ("/engine/refusals-hold-nothing", test_refusals_hold_nothing);
  add_case ("/engine/queue-is-bounded", test_queue_is_bounded);
  add_case ("/engine/higher-priority-overtakes",
            test_higher_priority_overtakes);
  add_case ("/engine/full-batch-serves-by-priority",
            test_full_batch_serves_by_priority);
  add_case ("/engine/steps-take-their-time", test_step_times);
  add_case ("/engine/late-advance-gives-the-same",
            test_late_advance_gives_same_events);
  add_case ("/engine/prefix-is-cached-and-gives-way",
            test_prefix_is_cached_and_evicted);
  add_case ("/engine/cache-evicts-least-recently-used",
            test_cache_evicts_least_recently_used);
  g_test_add_func ("/engine/tokens-depend-on-their-inputs",
                   test_tokens_depend_on_their_inputs);
  add_case ("/kv/reservation-is-leased", test_reservation_is_leased);
  add_case ("/kv/stream-takes-over-its-reservation",
            test_stream_takes_over_its_reservation);
  add_case ("/kv/export-moves-or-copies", test_export_moves_or_copies);
  add_case ("/kv/imported-kv-need-not-be-read",
            test_imported_kv_needs_no_prefill);
  add_case ("/kv/surplus-of-imported-kv-is-freed",
            test_surplus_of_imported_kv_is_freed);
  add_case ("/cache-events/late-and-lost", test_cache_events_are_late_and_lost);
  add_case ("/misbehave/faults-come-in-their-order",
            test_faults_apply_in_order);
  return g_test_run ();
}
