/*
 * The choice of upstreams while zones are drained, without network: for whole
 * prompts, their parts, queued requests and streams that are moved.
 */
#include <glib.h>
#include <string.h>
#include <talloc.h>

#include "lib-engines.h"
#include "placer.h"

#define ENGINES     8
#define SLOTS       4
#define NOW_MS      100000
#define LONG_TOKENS 133000
#define CHOICES     200

static const engine_model_t model = { .slots = SLOTS,
                                      .kv_tokens = 232000,
                                      .steps_per_pass = 43,
                                      .read_step_tokens = 2048,
                                      .step_ms = 1.02,
                                      .step_stream_ms = 0.00226,
                                      .step_context_ms = 0.00431,
                                      .read_tokens_s = 206000,
                                      .read_pairs_ms = 0.138 };

typedef struct
{
  directory_t *directory;
  upstream_set_t *set;
  placer_t *placer;
  placement_answer_t answer;
  uint64_t last_id;
} fixture_t;

static bool
find_service (const char *name, placer_service_t *service, void *context)
{
  service->model = &model;
  service->shortest_gap_ms = 250;
  return true;
}

static void
on_answer (const placement_request_t *request,
           const placement_answer_t *answer,
           void *context)
{
  ((fixture_t *)context)->answer = *answer;
}

/** Creates engines that are by turns in the zones a and b. */
static void
set_up (fixture_t *fixture)
{
  static const char *const zones[] = { "a", "b" };
  upstream_set_options_t set = { 0 };
  placer_options_t options = { .zone = "a",
                               .find_service = find_service,
                               .on_answer = on_answer,
                               .context = fixture };

  *fixture = (fixture_t){ 0 };
  fixture->directory
      = engines_directory_new (NULL, ENGINES, zones, 2, SLOTS, NOW_MS);
  fixture->set = options.set = upstream_set_new (NULL, &set);
  upstream_set_sync (fixture->set, fixture->directory, NOW_MS);
  fixture->placer = placer_new (NULL, &options);
}

static void
clear (fixture_t *fixture)
{
  talloc_free (fixture->placer);
  talloc_free (fixture->set);
  talloc_free (fixture->directory);
}

static void
drain (fixture_t *fixture, char *first, char *second)
{
  char *zones[] = { first, second };

  upstream_set_drain_zones (fixture->set, zones,
                            (first != NULL) + (second != NULL), NOW_MS);
}

static placement_kind_t
ask (fixture_t *fixture, uint32_t prompt_tokens)
{
  placement_request_t request = { .service = "engines",
                                  .prompt_tokens = prompt_tokens,
                                  .answer_tokens = 300,
                                  .target_ms = 4000,
                                  .gap_target_ms = 1000,
                                  .arrived_ms = NOW_MS,
                                  .deadline_ms = NOW_MS + 20000 };

  request.id = fixture->last_id += PLACEMENT_MAX_JOBS;
  placer_ask (fixture->placer, &request, NOW_MS);
  return fixture->answer.kind;
}

static const char *
zone_of (const fixture_t *fixture, uint64_t key)
{
  return upstream_set_find (fixture->set, key)->zone;
}

static void
end_jobs (fixture_t *fixture)
{
  for (uint32_t i = 0; i <= fixture->answer.helper_count; i++)
    upstream_set_end (fixture->set, fixture->last_id + i, UPSTREAM_JOB_NEUTRAL,
                      NOW_MS);
}

/** Asks many times; returns the number of answers, or parts of them, in a
 * zone. */
static uint32_t
count_in_zone (fixture_t *fixture, const char *zone, uint32_t prompt_tokens)
{
  uint32_t count = 0;

  for (int i = 0; i < CHOICES; i++)
    {
      const placement_answer_t *answer = &fixture->answer;

      g_assert_cmpint (ask (fixture, prompt_tokens), ==, PLACEMENT_SEND);
      count += strcmp (zone_of (fixture, answer->upstream), zone) == 0;
      for (uint32_t j = 0; j < answer->helper_count; j++)
        count += strcmp (zone_of (fixture, answer->helpers[j]), zone) == 0;
      end_jobs (fixture);
    }
  return count;
}

/** Begins a request that is being decoded at each engine of zone a, which is
 * used first while its engines are free. */
static void
use_own_engines (fixture_t *fixture)
{
  size_t count;
  const upstream_member_t *const *members
      = upstream_set_members (fixture->set, &count);

  for (size_t i = 0; i < count; i++)
    {
      upstream_job_t job = { .id = fixture->last_id += PLACEMENT_MAX_JOBS,
                             .upstream = members[i]->key,
                             .prompt_tokens = 5000,
                             .read_tokens = 5000,
                             .gap_target_ms = 250,
                             .value = upstream_job_value (5000, 300),
                             .begun_ms = NOW_MS,
                             .due_ms = NOW_MS + 4000,
                             .sent_ms = NOW_MS,
                             .first_ms = NOW_MS };

      if (strcmp (members[i]->zone, "a") == 0)
        upstream_set_begin (fixture->set, &job);
    }
}

/** Guards against requests, and parts of prompts, at engines of a drained zone;
 * before and after the drain, parts are read in both zones. */
static void
test_engines (void)
{
  fixture_t fixture;

  set_up (&fixture);
  use_own_engines (&fixture);
  g_assert_cmpuint (count_in_zone (&fixture, "b", LONG_TOKENS), >, 0);
  drain (&fixture, (char *)"b", NULL);
  g_assert_cmpuint (count_in_zone (&fixture, "b", 5000), ==, 0);
  g_assert_cmpuint (count_in_zone (&fixture, "b", LONG_TOKENS), ==, 0);
  drain (&fixture, NULL, NULL);
  g_assert_cmpuint (count_in_zone (&fixture, "b", LONG_TOKENS), >, 0);
  clear (&fixture);
}

/** Guards against an engine that announces itself during the drain and gets
 * requests. */
static void
test_new_engine (void)
{
  fixture_t fixture;
  directory_statement_t said = { .id = "new",
                                 .address = "127.0.0.1:1",
                                 .zone = "b",
                                 .service = "engines",
                                 .born_ms = 7,
                                 .sequence = 1,
                                 .slots = SLOTS };

  set_up (&fixture);
  drain (&fixture, (char *)"b", NULL);
  directory_put (fixture.directory, &said, NOW_MS);
  upstream_set_sync (fixture.set, fixture.directory, NOW_MS);
  g_assert_cmpuint (count_in_zone (&fixture, "b", LONG_TOKENS), ==, 0);
  clear (&fixture);
}

/** Guards against requests that wait although all zones are drained, whether
 * they came before or after the order. */
static void
test_all_zones (void)
{
  fixture_t fixture;

  set_up (&fixture);
  for (int i = 0; i < ENGINES * SLOTS; i++)
    g_assert_cmpint (ask (&fixture, 5000), ==, PLACEMENT_SEND);
  g_assert_cmpint (ask (&fixture, 5000), ==, PLACEMENT_QUEUED);
  drain (&fixture, (char *)"a", (char *)"b");
  placer_run (fixture.placer, NOW_MS + 1);
  g_assert_cmpint (fixture.answer.kind, ==, PLACEMENT_NO_UPSTREAM);
  g_assert_cmpuint (placer_queued (fixture.placer), ==, 0);
  g_assert_cmpint (ask (&fixture, 5000), ==, PLACEMENT_NO_UPSTREAM);
  g_assert_cmpint (ask (&fixture, LONG_TOKENS), ==, PLACEMENT_NO_UPSTREAM);
  clear (&fixture);
}

/** Guards against a queued request that is sent to a drained zone once an
 * engine there is free, and against jobs that the drain removes. */
static void
test_queued (void)
{
  fixture_t fixture;
  uint64_t first_in_b = 0;

  set_up (&fixture);
  for (int i = 0; i < ENGINES * SLOTS; i++)
    {
      ask (&fixture, 5000);
      if (strcmp (zone_of (&fixture, fixture.answer.upstream), "b") == 0)
        first_in_b = fixture.last_id;
    }
  g_assert_cmpint (ask (&fixture, 5000), ==, PLACEMENT_QUEUED);
  drain (&fixture, (char *)"b", NULL);
  g_assert_nonnull (upstream_set_job (fixture.set, first_in_b));
  upstream_set_end (fixture.set, first_in_b, UPSTREAM_JOB_GOOD, NOW_MS);
  placer_run (fixture.placer, NOW_MS + 1);
  g_assert_cmpint (fixture.answer.kind, ==, PLACEMENT_QUEUED);
  drain (&fixture, NULL, NULL);
  placer_run (fixture.placer, NOW_MS + 2);
  g_assert_cmpint (fixture.answer.kind, ==, PLACEMENT_SEND);
  clear (&fixture);
}

/** Guards against a request that waits for the end of a pause, although the
 * paused engine is in a drained zone. */
static void
test_paused (void)
{
  fixture_t fixture;
  size_t count;

  set_up (&fixture);
  drain (&fixture, (char *)"a", (char *)"b");
  upstream_set_pause (fixture.set,
                      upstream_set_members (fixture.set, &count)[0]->key,
                      NOW_MS + 500);
  g_assert_cmpint (ask (&fixture, 5000), ==, PLACEMENT_NO_UPSTREAM);
  clear (&fixture);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/zone-drain-choice/engines", test_engines);
  g_test_add_func ("/zone-drain-choice/new-engine", test_new_engine);
  g_test_add_func ("/zone-drain-choice/all-zones", test_all_zones);
  g_test_add_func ("/zone-drain-choice/queued", test_queued);
  g_test_add_func ("/zone-drain-choice/paused", test_paused);
  return g_test_run ();
}
