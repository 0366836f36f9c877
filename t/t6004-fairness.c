/* Tests that customers share by weight at saturation, and that rate limits hold
 * over any interval. */
#include <glib.h>
#include <talloc.h>

#include "limits.h"
#include "sched.h"

#define NOW_MS          100000
#define CUSTOMERS       3
#define REQUESTS_EACH   400
#define SERVED_REQUESTS 500

static const char *const names[CUSTOMERS]
    = { "weight-1", "weight-2", "weight-4" };
static const weights_t rose_v1 = { "rose", "", "v1" };

static void
put_engine (sched_t *sched)
{
  sched_upstream_t state = { .name = "e1",
                             .incarnation = 1,
                             .zone = "hol-a",
                             .service = "lacewing",
                             .loaded = &rose_v1,
                             .loaded_count = 1,
                             .is_engine = true,
                             .kv_tokens = 10000000,
                             .max_batch = 1,
                             .prefill_tokens_s = 40000,
                             .reported_at_ms = NOW_MS };

  sched_put_upstream (sched, &state, NOW_MS);
}

/* Submits the requests of all customers and stores the length of each in
 * @a tokens, indexed by id. */
static void
submit_all (sched_t *sched, GRand *random, uint64_t *tokens)
{
  for (uint64_t id = 1; id <= CUSTOMERS * REQUESTS_EACH; id++)
    {
      tokens[id] = (uint64_t)g_rand_int_range (random, 1000, 8000);
      sched_request_t wanted = { .id = id,
                                 .service = "lacewing",
                                 .customer = names[id % CUSTOMERS],
                                 .prompt_tokens = tokens[id],
                                 .priority = 5,
                                 .deadline_ms = NOW_MS + 100000000 };

      g_assert_true (sched_submit (sched, &wanted, NOW_MS).admitted);
    }
}

static void
test_customers_share_by_weight (void)
{
  sched_options_t options
      = { .zone = "hol-a", .policy = SCHED_PREDICTED, .seed = 1 };
  sched_t *sched = sched_new (NULL, &options);
  GRand *random = g_rand_new_with_seed (9);
  uint64_t *tokens = g_new0 (uint64_t, CUSTOMERS * REQUESTS_EACH + 1);
  uint64_t served[CUSTOMERS] = { 0 };
  uint64_t all = 0;
  uint64_t wake_ms;
  sched_step_t step;

  put_engine (sched);
  sched_set_max_queue (sched, CUSTOMERS * REQUESTS_EACH);
  for (uint32_t i = 0; i < CUSTOMERS; i++)
    sched_put_customer (sched, names[i], 1u << i, 0, 0);
  submit_all (sched, random, tokens);
  for (guint i = 0; i < SERVED_REQUESTS; i++)
    {
      g_assert_true (sched_next (sched, NOW_MS + i, &step, &wake_ms));
      served[step.request_id % CUSTOMERS] += tokens[step.request_id];
      all += tokens[step.request_id];
      sched_end (sched, step.request_id, SCHED_END_DONE, NOW_MS + i);
    }
  for (uint32_t i = 0; i < CUSTOMERS; i++)
    {
      double share = (double)served[i] / (double)all * 7 / (1u << i);

      g_assert_cmpfloat (share, >, 0.95);
      g_assert_cmpfloat (share, <, 1.05);
    }
  g_free (tokens);
  g_rand_free (random);
  talloc_free (sched);
}

/* Over any interval, a customer gets at most its rate, one second's worth of
 * tokens and one request. */
static void
test_rate_limit_holds_over_any_interval (void)
{
  limits_t *limits = limits_new (NULL);
  GRand *random = g_rand_new_with_seed (4);
  uint64_t taken = 0;

  limits_put (limits, "labels", 10000, 0);
  for (uint64_t now_ms = 1; now_ms < 60000; now_ms += 7)
    {
      uint64_t cost = (uint64_t)g_rand_int_range (random, 100, 30000);
      uint32_t retry_ms = 0;

      if (limits_take (limits, "labels", cost, now_ms, &retry_ms))
        taken += cost;
      else
        g_assert_cmpuint (retry_ms, >, 0);
      g_assert_cmpuint (taken, <=, 10 * now_ms + 10000 + 30000);
    }
  g_assert_cmpuint (taken, >=, 500000);
  g_rand_free (random);
  talloc_free (limits);
}

/* Setting the limits again, as each new revision does, must not refill a
 * customer's allowance. */
static void
test_new_limits_keep_spent_allowance (void)
{
  limits_t *limits = limits_new (NULL);
  uint32_t retry_ms = 0;

  limits_put (limits, "labels", 1000, 0);
  g_assert_true (limits_take (limits, "labels", 1000, 5000, &retry_ms));
  limits_put (limits, "labels", 2000, 0);
  g_assert_true (limits_take (limits, "labels", 1000, 5000, &retry_ms));
  limits_put (limits, "labels", 1000, 0);
  g_assert_false (limits_take (limits, "labels", 1, 5000, &retry_ms));
  talloc_free (limits);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/fairness/shares-by-weight",
                   test_customers_share_by_weight);
  g_test_add_func ("/fairness/limit-over-any-time",
                   test_rate_limit_holds_over_any_interval);
  g_test_add_func ("/fairness/change-refills-nothing",
                   test_new_limits_keep_spent_allowance);
  return g_test_run ();
}
