/* Tests what every policy guarantees: limits, memory, deadlines, order and
 * versions. */
#include <glib.h>
#include <talloc.h>

#include "sched.h"

#define NOW_MS 100000

typedef struct
{
  void *parent;
  sched_t *sched;
  sched_step_t step;
  uint64_t wake_ms;
} bed_t;

static const sched_policy_t policies[]
    = { SCHED_RANDOM, SCHED_ROUND_ROBIN, SCHED_LEAST_OUTSTANDING,
        SCHED_TWO_CHOICES, SCHED_PREDICTED };

static bed_t
bed_new (sched_policy_t policy)
{
  bed_t bed = { .parent = talloc_new (NULL) };
  sched_options_t options = { .zone = "hol-a", .policy = policy, .seed = 7 };

  bed.sched = sched_new (bed.parent, &options);
  return bed;
}

static const weights_t version_1 = { "m", "", "1" };
static const weights_t version_2 = { "m", "", "2" };

static sched_upstream_t
make_engine (const char *name)
{
  return (sched_upstream_t){ .name = name,
                             .incarnation = 1,
                             .zone = "hol-a",
                             .service = "lacewing",
                             .loaded = &version_1,
                             .loaded_count = 1,
                             .role = "both",
                             .is_engine = true,
                             .kv_tokens = 100000,
                             .max_batch = 8,
                             .prefill_tokens_s = 10000,
                             .step_us = 10000,
                             .reported_at_ms = NOW_MS };
}

static sched_request_t
make_request (uint64_t id, uint64_t tokens)
{
  return (sched_request_t){ .id = id,
                            .service = "lacewing",
                            .customer = "nursery",
                            .model = "m",
                            .prompt_tokens = tokens,
                            .max_tokens = 10,
                            .priority = 5,
                            .deadline_ms = NOW_MS + 60000 };
}

static void
put_upstream (bed_t *bed, sched_upstream_t state)
{
  sched_put_upstream (bed->sched, &state, NOW_MS);
}

static sched_verdict_t
submit (bed_t *bed, sched_request_t request)
{
  return sched_submit (bed->sched, &request, NOW_MS);
}

static bool
take_step (bed_t *bed, uint64_t now_ms)
{
  return sched_next (bed->sched, now_ms, &bed->step, &bed->wake_ms);
}

static void
test_memory_is_not_overcommitted (gconstpointer policy)
{
  bed_t bed = bed_new (*(const sched_policy_t *)policy);

  put_upstream (&bed, make_engine ("e1"));
  put_upstream (&bed, make_engine ("e2"));
  for (uint64_t id = 1; id <= 3; id++)
    g_assert_true (submit (&bed, make_request (id, 60000)).admitted);
  g_assert_true (take_step (&bed, NOW_MS + 1));
  g_assert_true (take_step (&bed, NOW_MS + 1));
  g_assert_false (take_step (&bed, NOW_MS + 1));
  g_assert_cmpuint (bed.wake_ms, >, NOW_MS);
  sched_end (bed.sched, 1, SCHED_END_DONE, NOW_MS + 2);
  g_assert_true (take_step (&bed, NOW_MS + 2));
  g_assert_cmpuint (bed.step.request_id, ==, 3);
  talloc_free (bed.parent);
}

/* A request too large for every engine would wait for memory that never becomes
 * free, and block the requests queued behind it. */
static void
test_too_large_request_is_refused (gconstpointer policy)
{
  bed_t bed = bed_new (*(const sched_policy_t *)policy);

  put_upstream (&bed, make_engine ("e1"));
  g_assert_cmpint (submit (&bed, make_request (1, 100001)).refusal, ==,
                   ERROR_ENGINE_MEMORY);
  g_assert_true (submit (&bed, make_request (2, 99000)).admitted);
  talloc_free (bed.parent);
}

static void
test_expired_request_is_refused (gconstpointer policy)
{
  bed_t bed = bed_new (*(const sched_policy_t *)policy);

  put_upstream (&bed, make_engine ("e1"));
  submit (&bed, make_request (1, 90000));
  submit (&bed, make_request (2, 90000));
  g_assert_true (take_step (&bed, NOW_MS + 1));
  g_assert_false (take_step (&bed, NOW_MS + 1));
  g_assert_true (take_step (&bed, NOW_MS + 60000));
  g_assert_cmpint (bed.step.action, ==, SCHED_REFUSE);
  g_assert_cmpint (bed.step.refusal, ==, ERROR_DEADLINE_PASSED);
  g_assert_cmpuint (sched_waiting (bed.sched), ==, 0);
  talloc_free (bed.parent);
}

static void
test_leaving_upstream_gets_no_request (gconstpointer policy)
{
  bed_t bed = bed_new (*(const sched_policy_t *)policy);
  sched_upstream_t leaving = make_engine ("e1");

  leaving.leaving = true;
  put_upstream (&bed, leaving);
  g_assert_cmpint (submit (&bed, make_request (1, 1000)).refusal, ==,
                   ERROR_NO_UPSTREAM);
  put_upstream (&bed, make_engine ("e2"));
  for (uint64_t id = 2; id < 6; id++)
    {
      submit (&bed, make_request (id, 1000));
      g_assert_true (take_step (&bed, NOW_MS + 1));
      g_assert_cmpstr (bed.step.upstream, ==, "e2");
    }
  talloc_free (bed.parent);
}

static void
test_retry_goes_elsewhere (gconstpointer policy)
{
  bed_t bed = bed_new (*(const sched_policy_t *)policy);

  put_upstream (&bed, make_engine ("e1"));
  put_upstream (&bed, make_engine ("e2"));
  for (uint64_t id = 1; id <= 8; id++)
    {
      char *first;

      submit (&bed, make_request (id, 1000));
      g_assert_true (take_step (&bed, NOW_MS + 1));
      first = g_strdup (bed.step.upstream);
      g_assert_true (
          sched_resubmit (bed.sched, id, first, NOW_MS + 2).admitted);
      g_assert_true (take_step (&bed, NOW_MS + 2));
      g_assert_cmpstr (bed.step.upstream, !=, first);
      sched_end (bed.sched, id, SCHED_END_DONE, NOW_MS + 3);
      g_free (first);
    }
  talloc_free (bed.parent);
}

static void
test_answer_keeps_one_version (gconstpointer policy)
{
  bed_t bed = bed_new (*(const sched_policy_t *)policy);
  sched_upstream_t newer = make_engine ("e2");

  put_upstream (&bed, make_engine ("e1"));
  submit (&bed, make_request (1, 1000));
  submit (&bed, make_request (2, 1000));
  take_step (&bed, NOW_MS + 1);
  take_step (&bed, NOW_MS + 1);
  newer.loaded = &version_2;
  put_upstream (&bed, newer);
  sched_record_first_token (bed.sched, 1, NOW_MS + 2);
  sched_drop_upstream (bed.sched, "e1");
  g_assert_cmpint (sched_resubmit (bed.sched, 1, "e1", NOW_MS + 3).refusal, ==,
                   ERROR_NO_UPSTREAM);
  g_assert_true (sched_resubmit (bed.sched, 2, "e1", NOW_MS + 3).admitted);
  talloc_free (bed.parent);
}

/* No upstream of the local zone can serve the request, so it must not wait for
 * one. */
static void
test_other_zone_without_waiting (gconstpointer policy)
{
  bed_t bed = bed_new (*(const sched_policy_t *)policy);
  sched_upstream_t other = make_engine ("e1");

  other.zone = "hol-b";
  put_upstream (&bed, other);
  g_assert_true (submit (&bed, make_request (1, 1000)).admitted);
  g_assert_true (take_step (&bed, NOW_MS + 1));
  g_assert_cmpint (bed.step.action, ==, SCHED_SEND);
  g_assert_cmpstr (bed.step.upstream, ==, "e1");
  talloc_free (bed.parent);
}

/* A request must not wait for a local upstream that is suspect, that just
 * failed the request, or whose memory is too small. */
static void
test_other_zone_for_worse_ones (gconstpointer policy)
{
  bed_t bed = bed_new (*(const sched_policy_t *)policy);
  sched_upstream_t own = make_engine ("e1");
  sched_upstream_t other = make_engine ("e2");

  own.kv_tokens = 2000;
  other.zone = "hol-b";
  put_upstream (&bed, own);
  put_upstream (&bed, other);
  submit (&bed, make_request (1, 4000));
  g_assert_true (take_step (&bed, NOW_MS + 1));
  g_assert_cmpstr (bed.step.upstream, ==, "e2");
  own.suspect = true;
  put_upstream (&bed, own);
  submit (&bed, make_request (2, 1000));
  g_assert_true (take_step (&bed, NOW_MS + 1));
  g_assert_cmpstr (bed.step.upstream, ==, "e2");
  own.suspect = false;
  put_upstream (&bed, own);
  g_assert_true (sched_resubmit (bed.sched, 2, "e1", NOW_MS + 1).admitted);
  g_assert_true (take_step (&bed, NOW_MS + 1));
  g_assert_cmpstr (bed.step.upstream, ==, "e2");
  talloc_free (bed.parent);
}

static void
test_one_of_several_loaded (gconstpointer policy)
{
  static const weights_t both[]
      = { { "m", "", "1" }, { "m", "", "2" }, { "m", "fine", "2" } };
  bed_t bed = bed_new (*(const sched_policy_t *)policy);
  sched_upstream_t state = make_engine ("e1");
  sched_request_t adapted = make_request (2, 1000);

  state.loaded = both;
  state.loaded_count = G_N_ELEMENTS (both);
  put_upstream (&bed, state);
  sched_set_version (bed.sched, "lacewing", "2");
  submit (&bed, make_request (1, 1000));
  g_assert_true (take_step (&bed, NOW_MS + 1));
  g_assert_cmpstr (bed.step.weights->version, ==, "2");
  g_assert_cmpstr (bed.step.weights->adapter, ==, "");
  adapted.adapter = "fine";
  submit (&bed, adapted);
  g_assert_true (take_step (&bed, NOW_MS + 1));
  g_assert_cmpstr (bed.step.weights->adapter, ==, "fine");
  adapted.id = 3;
  adapted.adapter = "other";
  g_assert_cmpint (submit (&bed, adapted).refusal, ==, ERROR_NO_UPSTREAM);
  talloc_free (bed.parent);
}

static void
test_rolling_keeps_capacity (gconstpointer policy)
{
  bed_t bed = bed_new (*(const sched_policy_t *)policy);
  sched_upstream_t newer = make_engine ("e2");

  newer.loaded = &version_2;
  newer.max_batch = 2;
  sched_set_version (bed.sched, "lacewing", "2");
  put_upstream (&bed, make_engine ("e1"));
  put_upstream (&bed, newer);
  for (uint64_t id = 1; id <= 3; id++)
    {
      submit (&bed, make_request (id, 1000));
      g_assert_true (take_step (&bed, NOW_MS + 1));
      g_assert_cmpstr (bed.step.upstream, ==, id <= 2 ? "e2" : "e1");
    }
  talloc_free (bed.parent);
}

static void
test_priority_goes_first (void)
{
  bed_t bed = bed_new (SCHED_LEAST_OUTSTANDING);
  sched_upstream_t only = make_engine ("e1");
  sched_request_t urgent = make_request (3, 1000);

  only.max_batch = 1;
  put_upstream (&bed, only);
  submit (&bed, make_request (1, 1000));
  take_step (&bed, NOW_MS + 1);
  submit (&bed, make_request (2, 1000));
  urgent.priority = 9;
  submit (&bed, urgent);
  sched_end (bed.sched, 1, SCHED_END_DONE, NOW_MS + 2);
  g_assert_true (take_step (&bed, NOW_MS + 2));
  g_assert_cmpuint (bed.step.request_id, ==, 3);
  talloc_free (bed.parent);
}

static void
test_customer_limit_refuses_request (void)
{
  bed_t bed = bed_new (SCHED_PREDICTED);
  sched_verdict_t verdict;

  put_upstream (&bed, make_engine ("e1"));
  sched_put_customer (bed.sched, "nursery", 1, 2020, 0);
  g_assert_true (submit (&bed, make_request (1, 1000)).admitted);
  g_assert_true (submit (&bed, make_request (2, 1000)).admitted);
  verdict = submit (&bed, make_request (3, 1000));
  g_assert_cmpint (verdict.refusal, ==, ERROR_CUSTOMER_LIMIT);
  g_assert_cmpuint (verdict.retry_after_ms, >=, 500);
  g_assert_cmpuint (verdict.retry_after_ms, <=, 501);
  talloc_free (bed.parent);
}

static void
test_queue_is_bounded (void)
{
  bed_t bed = bed_new (SCHED_PREDICTED);

  put_upstream (&bed, make_engine ("e1"));
  sched_set_max_queue (bed.sched, 2);
  submit (&bed, make_request (1, 1000));
  submit (&bed, make_request (2, 1000));
  g_assert_cmpint (submit (&bed, make_request (3, 1000)).refusal, ==,
                   ERROR_QUEUE_FULL);
  talloc_free (bed.parent);
}

static void
add_for_all (const char *name, GTestDataFunc test)
{
  for (guint i = 0; i < G_N_ELEMENTS (policies); i++)
    {
      char *path = g_strdup_printf ("/sched/%s/%u", name, i);

      g_test_add_data_func (path, &policies[i], test);
      g_free (path);
    }
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  add_for_all ("memory-is-not-overcommitted", test_memory_is_not_overcommitted);
  add_for_all ("too-large-is-refused", test_too_large_request_is_refused);
  add_for_all ("expired-is-refused", test_expired_request_is_refused);
  add_for_all ("leaving-gets-nothing", test_leaving_upstream_gets_no_request);
  add_for_all ("retry-goes-elsewhere", test_retry_goes_elsewhere);
  add_for_all ("one-version-an-answer", test_answer_keeps_one_version);
  add_for_all ("one-of-several-loaded", test_one_of_several_loaded);
  add_for_all ("other-zone-at-once", test_other_zone_without_waiting);
  add_for_all ("other-zone-for-worse-ones", test_other_zone_for_worse_ones);
  add_for_all ("rolling-keeps-capacity", test_rolling_keeps_capacity);
  g_test_add_func ("/sched/priority-goes-first", test_priority_goes_first);
  g_test_add_func ("/sched/limits-hold", test_customer_limit_refuses_request);
  g_test_add_func ("/sched/queue-is-bounded", test_queue_is_bounded);
  return g_test_run ();
}
