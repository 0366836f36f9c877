#include "lib-engines.h"

const engine_model_t engines_fleet_model
    = { .slots = 10,
        .kv_tokens = 232000,
        .steps_per_pass = ENGINES_FLEET_EVENT_TOKENS,
        .read_step_tokens = 2048,
        .step_ms = 1.02,
        .step_stream_ms = 0.00226,
        .step_context_ms = 0.00431,
        .read_tokens_s = 206000,
        .read_pairs_ms = 0.138 };

/** Kinds of requests, with rates for one engine. */
static const engines_kind_t kinds_of_one_engine[ENGINES_FLEET_KINDS] = {
  { .name = "short",
    .rate_s = 1.25,
    .prompt_tokens = 4960,
    .prompt_spread = 0.78,
    .prompt_max_tokens = 23800,
    .answer_events = 23,
    .target_ms = 400,
    .gap_target_ms = 250,
    .deadline_ms = 10000,
    .worth = 1.3,
    .late_worth = 0.33 },
  { .name = "medium",
    .rate_s = 0.098,
    .prompt_tokens = 45000,
    .prompt_spread = 0.47,
    .prompt_max_tokens = 110000,
    .answer_events = 14,
    .target_ms = 1500,
    .gap_target_ms = 600,
    .deadline_ms = 10000,
    .worth = 2.9,
    .late_worth = 0.73 },
  { .name = "long",
    .rate_s = 0.047,
    .prompt_tokens = 190000,
    .prompt_spread = 0.51,
    .prompt_max_tokens = 600000,
    .answer_events = 11,
    .target_ms = 3000,
    .gap_target_ms = 1000,
    .deadline_ms = 15000,
    .worth = 18,
    .late_worth = 4.5 },
};

void
engines_fleet_kinds (uint32_t engines,
                     engines_kind_t kinds[ENGINES_FLEET_KINDS])
{
  for (uint32_t i = 0; i < ENGINES_FLEET_KINDS; i++)
    {
      kinds[i] = kinds_of_one_engine[i];
      kinds[i].rate_s *= engines;
    }
}
