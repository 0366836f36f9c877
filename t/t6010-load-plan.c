/* Tests the load plan of a scenario: it is reproducible and follows the shares,
 * rates and resends of the scenario. */
#include <glib.h>
#include <glib/gstdio.h>
#include <talloc.h>

#include "load-plan.h"
#include "load-scenario.h"

static const char scenario_text[]
    = "name: test\n"
      "service: lacewing\n"
      "requests_per_min: 6000\n"
      "prefix_count: 4\n"
      "prefix_tokens: 512\n"
      "classes:\n"
      "  - {name: short, share: 49, min_tokens: 1000, max_tokens: 8000,\n"
      "     min_output_tokens: 8, max_output_tokens: 16,\n"
      "     shared_prefix_percent: 50}\n"
      "  - {name: long, share: 1, min_tokens: 100001, max_tokens: 1000000,\n"
      "     min_output_tokens: 8, max_output_tokens: 16}\n"
      "customers:\n"
      "  - {name: counter, share: 3, class: [short]}\n"
      "  - {name: committee, share: 1}\n"
      "phases:\n"
      "  - {name: low, duration_ms: 20000, from_percent: 50, to_percent: 50}\n"
      "  - {name: crest, duration_ms: 20000, from_percent: 250,\n"
      "     to_percent: 250}\n"
      "calls:\n"
      "  - {name: register, service: kartei, path: entries,\n"
      "     calls_per_min: 600, keyed: true, resend_percent: 50}\n";

static Lwm__Scenario *
read_text (void *parent, const char *text, char **mistakes)
{
  char *folder = g_dir_make_tmp ("lwm-XXXXXX", NULL);
  char *path = g_build_filename (folder, "scenario.yaml", NULL);
  Lwm__Scenario *scenario;

  g_file_set_contents (path, text, -1, NULL);
  scenario = load_scenario_read (parent, path, mistakes);
  g_unlink (path);
  g_rmdir (folder);
  g_free (path);
  g_free (folder);
  return scenario;
}

static load_plan_t *
make_plan (Lwm__Scenario *scenario, uint64_t seed)
{
  load_plan_options_t options
      = { .scenario = scenario, .seed = seed, .pool_bytes = 8000000 };

  return load_plan_new (scenario, &options);
}

static void
test_same_seed_same_requests (void)
{
  char *mistakes = NULL;
  Lwm__Scenario *scenario = read_text (NULL, scenario_text, &mistakes);
  load_plan_t *one = make_plan (scenario, 5);
  load_plan_t *two = make_plan (scenario, 5);
  load_plan_t *other = make_plan (scenario, 6);
  load_request_t a;
  load_request_t b;
  load_request_t c;

  g_assert_true (load_plan_next (other, &c));
  for (guint i = 0; load_plan_next (one, &a); i++)
    {
      g_assert_true (load_plan_next (two, &b));
      g_assert_cmpmem (&a, sizeof a, &b, sizeof b);
      if (i == 0)
        g_assert_cmpuint (a.at_us, !=, c.at_us);
    }
  g_assert_false (load_plan_next (two, &b));
  talloc_free (scenario);
}

typedef struct
{
  guint prompts[2]; /* number of prompts in each phase */
  guint longs;
  guint counter_longs;
  guint prefixed;
  guint calls;
  guint resends;
} tally_t;

static void
count_request (tally_t *tally, const load_request_t *request)
{
  if (request->call != NULL)
    {
      tally->calls += request->resend_of == 0;
      tally->resends += request->resend_of > 0;
      return;
    }
  tally->prompts[request->at_us >= 20000000]++;
  tally->prefixed += request->prefix >= 0;
  g_assert_cmpuint (request->prompt_tokens, >=, request->class_->min_tokens);
  g_assert_cmpuint (request->prompt_tokens, <=, request->class_->max_tokens);
  if (request->prompt_tokens > 100000)
    {
      tally->longs++;
      tally->counter_longs += g_str_equal (request->customer, "counter");
    }
}

/* Expects about 1000 and 5000 prompts and 400 calls; the bounds are four
 * standard deviations. */
static void
test_mix_follows_the_scenario (void)
{
  char *mistakes = NULL;
  Lwm__Scenario *scenario = read_text (NULL, scenario_text, &mistakes);
  load_plan_t *plan = make_plan (scenario, 5);
  tally_t seen = { 0 };
  load_request_t request;
  uint64_t last_us = 0;

  while (load_plan_next (plan, &request))
    {
      g_assert_cmpuint (request.at_us, >=, last_us);
      last_us = request.at_us;
      count_request (&seen, &request);
    }
  g_assert_cmpuint (seen.prompts[0], >, 870);
  g_assert_cmpuint (seen.prompts[0], <, 1130);
  g_assert_cmpuint (seen.prompts[1], >, 4700);
  g_assert_cmpuint (seen.prompts[1], <, 5300);
  g_assert_cmpuint (seen.longs, >, 8);
  g_assert_cmpuint (seen.longs, <, 60);
  g_assert_cmpuint (seen.counter_longs, ==, 0);
  g_assert_cmpuint (seen.prefixed, >, 2700);
  g_assert_cmpuint (seen.prefixed, <, 3300);
  g_assert_cmpuint (seen.calls, >, 320);
  g_assert_cmpuint (seen.resends, >, 120);
  g_assert_cmpuint (seen.resends, <, seen.calls);
  talloc_free (scenario);
}

static void
test_mistakes_are_named (void)
{
  void *parent = talloc_new (NULL);
  char *mistakes = NULL;

  g_assert_null (read_text (parent,
                            "name: test\n"
                            "requests_per_min: 60\n"
                            "classes:\n"
                            "  - {name: a, min_tokens: 9, max_tokens: 8,\n"
                            "     min_output_tokens: 1, max_output_tokens: 1}\n"
                            "customers:\n"
                            "  - {name: c, class: [b]}\n",
                            &mistakes));
  g_assert_nonnull (strstr (mistakes, "scenario.yaml:4: min_tokens: expected"));
  g_assert_nonnull (strstr (mistakes, "class: expected a class of this"));
  talloc_free (parent);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/load-plan/same-seed-same-requests",
                   test_same_seed_same_requests);
  g_test_add_func ("/load-plan/mix-follows-the-scenario",
                   test_mix_follows_the_scenario);
  g_test_add_func ("/load-plan/mistakes-are-named", test_mistakes_are_named);
  return g_test_run ();
}
