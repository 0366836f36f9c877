#include <math.h>

#include "lib-engines-internal.h"

/** Lets those in that waited for a slot, as many as there are. */
static void
give_slots (const world_t *world, engine_t *engine)
{
  uint32_t taken = engine->writers->len;

  for (guint i = 0; i < engine->readings->len; i++)
    {
      const reading_t *reading = g_ptr_array_index (engine->readings, i);

      taken += reading->has_slot && !reading->is_helper;
    }
  for (guint i = 0; i < engine->readings->len; i++)
    {
      reading_t *reading = g_ptr_array_index (engine->readings, i);

      if (reading->has_slot)
        continue;
      reading->has_slot
          = reading->is_helper || taken < world->load->model->slots;
      taken += reading->has_slot && !reading->is_helper;
    }
}

/** The next prompt to read: the newest part, then whole ones by age. */
static reading_t *
next_reading (engine_t *engine)
{
  reading_t *first = NULL;

  for (guint i = 0; i < engine->readings->len; i++)
    {
      reading_t *reading = g_ptr_array_index (engine->readings, i);

      if (reading->unread_ms <= 0 || !reading->has_slot)
        continue;
      if (reading->is_part)
        first = reading;
      else if (first == NULL)
        first = reading;
    }
  return first;
}

/** Reads what the pass has room for; the time that takes. */
static double
read_in_pass (const world_t *world, engine_t *engine)
{
  double room_tokens = engine_pass_tokens (world->load->model);
  double took_ms = 0;
  reading_t *reading;

  while (room_tokens >= 1 && (reading = next_reading (engine)) != NULL)
    {
      double rate = reading->tokens / reading->unread_ms;
      double tokens = fmin (room_tokens, reading->tokens);
      double read_ms = tokens / rate;

      room_tokens -= tokens;
      reading->tokens -= tokens;
      reading->unread_ms -= read_ms;
      took_ms += read_ms;
      if (reading->tokens >= 0.5)
        continue;
      reading->unread_ms = 0;
      g_ptr_array_add (engine->read_now, reading);
    }
  return took_ms;
}

static void
begin_pass (world_t *world, engine_t *engine)
{
  double context_tokens = 0;
  double pass_ms = 0;

  for (guint i = 0; i < engine->writers->len; i++)
    {
      const request_t *request = g_ptr_array_index (engine->writers, i);

      context_tokens += request->kv_tokens[0];
    }
  if (engine->writers->len > 0)
    pass_ms = engine_pass_decode_ms (world->load->model, engine->writers->len,
                                     context_tokens);
  give_slots (world, engine);
  pass_ms += read_in_pass (world, engine);
  engine->pass_end_ms = pass_ms > 0 ? (double)world->now_ms + pass_ms : 0;
}

static void
end_pass (world_t *world, engine_t *engine)
{
  for (guint i = engine->writers->len; i-- > 0;)
    {
      request_t *request = g_ptr_array_index (engine->writers, i);

      engines_write_event (world, request);
      if (request->events_left > 0)
        continue;
      g_ptr_array_remove_index (engine->writers, i);
      engines_finish (world, request);
    }
  for (guint i = 0; i < engine->read_now->len; i++)
    {
      reading_t *reading = g_ptr_array_index (engine->read_now, i);
      request_t *request = reading->request;

      if (--request->parts_left == 0)
        g_ptr_array_add (world->engines[request->engines[0]].writers, request);
      g_ptr_array_remove (engine->readings, reading);
    }
  g_ptr_array_set_size (engine->read_now, 0);
  engine->pass_end_ms = 0;
}

void
engines_work (world_t *world)
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
