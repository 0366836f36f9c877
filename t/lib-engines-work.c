#include <math.h>

#include "lib-engines-internal.h"

uint32_t
engines_taken_slots (const engine_t *engine)
{
  uint32_t taken = engine->decoding->len;

  for (guint i = 0; i < engine->prefills->len; i++)
    {
      const prefill_t *prefill = g_ptr_array_index (engine->prefills, i);

      taken += !prefill->is_helper;
    }
  return taken;
}

/** Assigns the free slots to the prefills that wait for one, oldest first. */
static void
assign_slots (const world_t *world, engine_t *engine)
{
  uint32_t taken = engine->decoding->len;

  for (guint i = 0; i < engine->prefills->len; i++)
    {
      const prefill_t *prefill = g_ptr_array_index (engine->prefills, i);

      taken += prefill->has_slot && !prefill->is_helper;
    }
  for (guint i = 0; i < engine->prefills->len; i++)
    {
      prefill_t *prefill = g_ptr_array_index (engine->prefills, i);

      if (prefill->has_slot)
        continue;
      prefill->has_slot
          = prefill->is_helper || taken < world->load->model->slots;
      taken += prefill->has_slot && !prefill->is_helper;
    }
}

/**
 * Returns the next prefill to run: the newest part of a split prompt, else the
 * oldest whole prompt; NULL if there is none.
 */
static prefill_t *
find_next_prefill (engine_t *engine)
{
  prefill_t *next = NULL;

  for (guint i = 0; i < engine->prefills->len; i++)
    {
      prefill_t *prefill = g_ptr_array_index (engine->prefills, i);

      if (prefill->remaining_ms <= 0 || !prefill->has_slot)
        continue;
      if (prefill->is_part)
        next = prefill;
      else if (next == NULL)
        next = prefill;
    }
  return next;
}

/** Runs prefills up to the pass's token limit; returns the time they take. */
static double
run_prefills (const world_t *world, engine_t *engine)
{
  double room_tokens = engine_pass_tokens (world->load->model);
  double total_ms = 0;
  prefill_t *prefill;

  while (room_tokens >= 1 && (prefill = find_next_prefill (engine)) != NULL)
    {
      double rate = prefill->tokens / prefill->remaining_ms;
      double tokens = fmin (room_tokens, prefill->tokens);
      double prefill_ms = tokens / rate;

      room_tokens -= tokens;
      prefill->tokens -= tokens;
      prefill->remaining_ms -= prefill_ms;
      total_ms += prefill_ms;
      if (prefill->tokens >= 0.5)
        continue;
      prefill->remaining_ms = 0;
      g_ptr_array_add (engine->done_prefills, prefill);
    }
  return total_ms;
}

static void
begin_pass (world_t *world, engine_t *engine)
{
  double context_tokens = 0;
  double pass_ms = 0;

  for (guint i = 0; i < engine->decoding->len; i++)
    {
      const request_t *request = g_ptr_array_index (engine->decoding, i);

      context_tokens += request->kv_tokens[0];
    }
  if (engine->decoding->len > 0)
    pass_ms = engine_pass_decode_ms (world->load->model, engine->decoding->len,
                                     context_tokens);
  assign_slots (world, engine);
  pass_ms += run_prefills (world, engine);
  engine->pass_end_ms = pass_ms > 0 ? (double)world->now_ms + pass_ms : 0;
}

static void
end_pass (world_t *world, engine_t *engine)
{
  for (guint i = engine->decoding->len; i-- > 0;)
    {
      request_t *request = g_ptr_array_index (engine->decoding, i);

      engines_emit_event (world, request);
      if (request->events_left > 0)
        continue;
      g_ptr_array_remove_index (engine->decoding, i);
      engines_finish_request (world, request);
    }
  for (guint i = 0; i < engine->done_prefills->len; i++)
    {
      prefill_t *prefill = g_ptr_array_index (engine->done_prefills, i);
      request_t *request = prefill->request;

      if (--request->parts_left == 0)
        g_ptr_array_add (world->engines[request->engines[0]].decoding, request);
      g_ptr_array_remove (engine->prefills, prefill);
    }
  g_ptr_array_set_size (engine->done_prefills, 0);
  engine->pass_end_ms = 0;
}

void
engines_run_passes (world_t *world)
{
  for (uint32_t i = 0; i < world->load->engines; i++)
    {
      engine_t *engine = &world->engines[i];

      if (engine->pass_end_ms > 0
          && engine->pass_end_ms <= (double)world->now_ms)
        end_pass (world, engine);
      if (engine->pass_end_ms == 0)
        begin_pass (world, engine);
    }
}
