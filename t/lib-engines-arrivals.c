/* Arrivals of requests at simulated engines. */
#include <math.h>

#include "lib-engines-internal.h"

/**
 * Spread of the estimated answer length around the real one. An answer is
 * longer than estimated as often as it is shorter.
 */
#define HINT_SPREAD 0.5

static double
draw_normal (GRand *rand)
{
  double u = g_rand_double_range (rand, 1e-9, 1);

  return sqrt (-2 * log (u)) * cos (2 * G_PI * g_rand_double (rand));
}

static double
draw_lognormal (GRand *rand, double mean, double spread)
{
  return mean * exp (spread * draw_normal (rand) - spread * spread / 2);
}

/** Returns the tenth of its kind to which a prompt belongs by its size. */
static uint32_t
find_tenth (const engines_kind_t *kind, double tokens)
{
  double spread = kind->prompt_spread;
  double deviation
      = (log (tokens / kind->prompt_tokens) + spread * spread / 2) / spread;
  double quantile = erfc (-deviation / sqrt (2)) / 2;

  return MIN ((uint32_t)(quantile * ENGINES_TENTHS), ENGINES_TENTHS - 1);
}

request_t *
engines_request_new (world_t *world, uint32_t kind_index)
{
  const engines_kind_t *kind = &world->load->kinds[kind_index];
  request_t *request = g_new0 (request_t, 1);
  double tokens
      = draw_lognormal (world->rand, kind->prompt_tokens, kind->prompt_spread);
  double events = draw_lognormal (world->rand, kind->answer_events, 0.5);
  double hint = draw_lognormal (world->rand, 1, HINT_SPREAD);

  request->kind = kind;
  request->kind_index = kind_index;
  if (world->shared_count > 1)
    request->instance
        = g_rand_int_range (world->rand, 0, (gint32)world->shared_count);
  request->zone = request->instance;
  request->prompt_tokens = (uint32_t)fmin (tokens, kind->prompt_max_tokens);
  request->events_left = (uint32_t)fmax (events, 1);
  request->answer_tokens
      = (uint32_t)(request->events_left * hint * world->load->event_tokens);
  request->tenth = find_tenth (kind, tokens);
  request->first_attempt_ms = world->now_ms;
  g_ptr_array_add (world->requests, request);
  return request;
}

/** Returns the factor of the bursts of a kind on its rate. */
static double
burst_factor (const engines_load_t *load, uint32_t kind, uint64_t since_ms)
{
  double factor = 1;

  for (uint32_t i = 0; i < load->burst_count; i++)
    {
      const engines_burst_t *burst = &load->bursts[i];

      if (burst->kind == kind && since_ms >= burst->from_ms
          && since_ms < burst->from_ms + burst->for_ms)
        factor *= burst->factor;
    }
  return factor;
}

double
engines_rate_s (const world_t *world, uint32_t kind_index)
{
  const engines_load_t *load = world->load;
  const engines_kind_t *kind = &load->kinds[kind_index];
  uint64_t since_ms = world->now_ms - ENGINES_START_MS;
  double turn
      = 2 * G_PI * (double)(since_ms + load->swing_at_ms) / load->swing_ms;
  double rate = kind->rate_s * (1 + load->swing * sin (turn));

  if (load->burst > 1 && since_ms % load->swing_ms < load->swing_ms / 5)
    rate *= load->burst;
  return rate * burst_factor (load, kind_index, since_ms);
}
