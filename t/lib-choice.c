#include "lib-choice.h"

#include <talloc.h>

#include "lib-engines.h"

const engine_model_t choice_model = { .slots = 16,
                                      .kv_tokens = 232000,
                                      .steps_per_pass = 43,
                                      .read_step_tokens = 2048,
                                      .step_ms = 1.02,
                                      .step_stream_ms = 0.00226,
                                      .step_context_ms = 0.00431,
                                      .read_tokens_s = 206000,
                                      .read_pairs_ms = 0.138 };

choice_fixture_t *
choice_fixture_new (void)
{
  static const char *const zones[] = { "a", "b" };
  choice_fixture_t *fixture = g_new0 (choice_fixture_t, 1);
  upstream_set_options_t options = { 0 };

  fixture->directory = engines_directory_new (
      NULL, CHOICE_ENGINES, zones, 2, choice_model.slots, CHOICE_NOW_MS);
  fixture->set = upstream_set_new (NULL, &options);
  upstream_set_sync (fixture->set, fixture->directory, CHOICE_NOW_MS);
  for (uint32_t i = 0; i < CHOICE_ENGINES; i++)
    {
      size_t count;

      fixture->keys[i] = upstream_set_members (fixture->set, &count)[i]->key;
    }
  return fixture;
}

void
choice_fixture_free (choice_fixture_t *fixture)
{
  talloc_free (fixture->set);
  talloc_free (fixture->directory);
  g_free (fixture);
}

choice_request_t
choice_short_request (void)
{
  return (choice_request_t){ .service = "engines",
                             .model = &choice_model,
                             .zone = "a",
                             .prompt_tokens = CHOICE_SHORT_TOKENS,
                             .answer_tokens = CHOICE_SHORT_ANSWER_TOKENS,
                             .target_ms = 300,
                             .gap_target_ms = 250,
                             .shortest_gap_ms = 250,
                             .left_ms = 10000,
                             .zone_cost_ms = 12 };
}

choice_request_t
choice_long_request (uint32_t prompt_tokens)
{
  choice_request_t request = choice_short_request ();

  request.prompt_tokens = prompt_tokens;
  request.answer_tokens = CHOICE_LONG_ANSWER_TOKENS;
  request.target_ms = 3000;
  request.gap_target_ms = 1000;
  request.left_ms = 15000;
  return request;
}

uint64_t
choice_start_job (choice_fixture_t *fixture,
                  uint64_t key,
                  const choice_request_t *request,
                  uint32_t parts,
                  bool is_part,
                  bool is_decoding)
{
  upstream_job_t job
      = { .id = ++fixture->last_job,
          .upstream = key,
          .prompt_tokens = request->prompt_tokens,
          .read_tokens = request->prompt_tokens / parts,
          .answer_tokens = request->answer_tokens,
          .kv_tokens
          = is_part ? 0 : request->prompt_tokens + request->answer_tokens,
          .gap_target_ms = request->gap_target_ms,
          .value
          = upstream_job_value (request->prompt_tokens, request->answer_tokens),
          .begun_ms = CHOICE_NOW_MS,
          .due_ms = CHOICE_NOW_MS + request->target_ms,
          .sent_ms = CHOICE_NOW_MS,
          .first_ms = is_decoding ? CHOICE_NOW_MS : 0,
          .is_part = is_part };

  upstream_set_begin (fixture->set, &job);
  return job.id;
}

void
choice_start_chosen_jobs (choice_fixture_t *fixture,
                          const choice_request_t *request,
                          const choice_t *choice)
{
  uint32_t parts = choice->helper_count + 1;

  choice_start_job (fixture, choice->member->key, request, parts, false, false);
  for (uint32_t i = 0; i < choice->helper_count; i++)
    choice_start_job (fixture, choice->helpers[i]->key, request, parts, true,
                      false);
}
