/* Tests the decisions of the product's scheduling policy. */
#include <glib.h>
#include <talloc.h>

#include "sched.h"

#define NOW_MS       100000
#define SHORT_TOKENS 4000
#define LONG_TOKENS  200000

typedef struct
{
  void *parent;
  sched_t *sched;
  sched_step_t step;
  uint64_t wake_ms;
} bed_t;

static bed_t
bed_new (sched_policy_t policy)
{
  bed_t bed = { .parent = talloc_new (NULL) };
  sched_options_t options = { .zone = "lekki", .policy = policy, .seed = 3 };

  bed.sched = sched_new (bed.parent, &options);
  return bed;
}

static const weights_t repair_v1 = { "repair", "", "v1" };

static sched_upstream_t
make_engine (const char *name, const char *zone)
{
  return (sched_upstream_t){ .name = name,
                             .incarnation = 1,
                             .zone = zone,
                             .service = "manual-assist",
                             .loaded = &repair_v1,
                             .loaded_count = 1,
                             .role = "both",
                             .is_engine = true,
                             .kv_tokens = 1000000,
                             .max_batch = 64,
                             .prefill_tokens_s = 40000,
                             .step_us = 10000,
                             .reported_at_ms = NOW_MS };
}

static sched_request_t
make_request (uint64_t id, uint64_t tokens, uint32_t priority)
{
  return (sched_request_t){ .id = id,
                            .service = "manual-assist",
                            .customer = "workshop",
                            .prompt_tokens = tokens,
                            .max_tokens = 50,
                            .priority = priority,
                            .deadline_ms = NOW_MS + 600000,
                            .first_token_by_ms = NOW_MS + 1100 };
}

static void
put_upstream (bed_t *bed, sched_upstream_t state)
{
  sched_put_upstream (bed->sched, &state, NOW_MS);
}

/* Submits a request and takes the next step. Returns the chosen upstream, or
 * NULL when the request waits. */
static const char *
place_request (bed_t *bed, sched_request_t wanted, uint64_t now_ms)
{
  g_assert_true (sched_submit (bed->sched, &wanted, now_ms).admitted);
  if (!sched_next (bed->sched, now_ms, &bed->step, &bed->wake_ms))
    return NULL;
  g_assert_cmpint (bed->step.action, ==, SCHED_SEND);
  return bed->step.upstream;
}

static void
test_short_requests_overtake_long (void)
{
  bed_t bed = bed_new (SCHED_PREDICTED);
  uint32_t priority;

  put_upstream (&bed, make_engine ("e1", "lekki"));
  place_request (&bed, make_request (1, LONG_TOKENS, 9), NOW_MS);
  priority = bed.step.priority;
  place_request (&bed, make_request (2, SHORT_TOKENS, 0), NOW_MS);
  g_assert_cmpuint (bed.step.priority, >, priority);
  priority = bed.step.priority;
  place_request (&bed, make_request (3, SHORT_TOKENS, 9), NOW_MS);
  g_assert_cmpuint (bed.step.priority, >, priority);
  talloc_free (bed.parent);
}

static void
test_baselines_keep_the_priority (void)
{
  bed_t bed = bed_new (SCHED_LEAST_OUTSTANDING);

  put_upstream (&bed, make_engine ("e1", "lekki"));
  place_request (&bed, make_request (1, LONG_TOKENS, 9), NOW_MS);
  g_assert_cmpuint (bed.step.priority, ==, 9);
  talloc_free (bed.parent);
}

/* e1 announces half of e2's rate but answers much faster; the policy must learn
 * its real rate. */
static void
test_learns_real_engine_rate (void)
{
  bed_t bed = bed_new (SCHED_PREDICTED);
  sched_upstream_t slow = make_engine ("e1", "lekki");
  uint64_t now_ms = NOW_MS;
  guint to_e1 = 0;

  slow.prefill_tokens_s = 20000;
  put_upstream (&bed, slow);
  put_upstream (&bed, make_engine ("e2", "lekki"));
  for (uint64_t id = 1; id <= 60; id++)
    {
      bool is_e1 = g_str_equal (
          place_request (&bed, make_request (id, SHORT_TOKENS, 5), now_ms),
          "e1");

      now_ms += is_e1 ? 20 : 400;
      sched_record_first_token (bed.sched, id, now_ms);
      sched_end (bed.sched, id, SCHED_END_DONE, now_ms);
      to_e1 += id > 30 && is_e1;
    }
  g_assert_cmpuint (to_e1, >=, 20);
  talloc_free (bed.parent);
}

/* The load that another instance causes on an engine counts; a long prefill
 * counts only as one step. */
static void
test_load_of_other_instances (void)
{
  bed_t bed = bed_new (SCHED_PREDICTED);
  sched_upstream_t reading = make_engine ("e1", "lekki");
  uint32_t alone_ms;
  uint32_t beside_ms;

  put_upstream (&bed, reading);
  place_request (&bed, make_request (1, SHORT_TOKENS, 5), NOW_MS);
  alone_ms = bed.step.predicted_first_token_ms;
  sched_end (bed.sched, 1, SCHED_END_CANCELLED, NOW_MS);
  reading.waiting_tokens = LONG_TOKENS;
  reading.reported_at_ms = NOW_MS + 100;
  put_upstream (&bed, reading);
  place_request (&bed, make_request (2, SHORT_TOKENS, 5), NOW_MS + 100);
  beside_ms = bed.step.predicted_first_token_ms;
  g_assert_cmpuint (beside_ms, >, alone_ms);
  g_assert_cmpuint (beside_ms, <, 3 * alone_ms);
  talloc_free (bed.parent);
}

/* Requests that the instance itself sent count before a report shows them. */
static void
test_own_requests_count_before_report (void)
{
  bed_t bed = bed_new (SCHED_PREDICTED);
  guint to_e1 = 0;

  put_upstream (&bed, make_engine ("e1", "lekki"));
  put_upstream (&bed, make_engine ("e2", "lekki"));
  for (uint64_t id = 1; id <= 4; id++)
    to_e1 += g_str_equal (
        place_request (&bed, make_request (id, SHORT_TOKENS, 5), NOW_MS + id),
        "e1");
  g_assert_cmpuint (to_e1, ==, 2);
  talloc_free (bed.parent);
}

/* A request goes to the engine that has its prefix cached, unless the wait
 * there is too long. */
static void
test_cached_prefix_is_weighed (void)
{
  bed_t bed = bed_new (SCHED_PREDICTED);
  sched_request_t wanted = make_request (0, SHORT_TOKENS, 5);
  guint to_e2 = 0;

  put_upstream (&bed, make_engine ("e1", "lekki"));
  put_upstream (&bed, make_engine ("e2", "lekki"));
  wanted.prefix_hash = 77;
  sched_prefix_hint (bed.sched, "e2", 77, 2000, true);
  for (wanted.id = 1; wanted.id <= 6; wanted.id++)
    {
      bool is_e2 = g_str_equal (
          place_request (&bed, wanted, NOW_MS + wanted.id), "e2");

      if (wanted.id == 1)
        {
          g_assert_true (is_e2);
          g_assert_cmpint (bed.step.why, ==, SCHED_REASON_CACHED_PREFIX);
        }
      to_e2 += is_e2;
    }
  g_assert_cmpuint (to_e2, >, 3);
  g_assert_cmpuint (to_e2, <, 6);
  sched_prefix_hint (bed.sched, "e2", 77, 2000, false);
  for (uint64_t id = 1; id <= 6; id++)
    sched_end (bed.sched, id, SCHED_END_DONE, NOW_MS + 20000);
  for (wanted.id = 7; wanted.id <= 8; wanted.id++)
    {
      g_assert_nonnull (place_request (&bed, wanted, NOW_MS + 20000));
      g_assert_cmpint (bed.step.why, ==, SCHED_REASON_OWN_ZONE);
    }
  talloc_free (bed.parent);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/predict/short-ones-overtake",
                   test_short_requests_overtake_long);
  g_test_add_func ("/predict/baselines-keep-the-priority",
                   test_baselines_keep_the_priority);
  g_test_add_func ("/predict/learns-the-rate", test_learns_real_engine_rate);
  g_test_add_func ("/predict/load-of-others", test_load_of_other_instances);
  g_test_add_func ("/predict/own-sends-count",
                   test_own_requests_count_before_report);
  g_test_add_func ("/predict/cached-prefix-is-weighed",
                   test_cached_prefix_is_weighed);
  return g_test_run ();
}
