/* Tests the decisions of the product's policy under load: admission, the bound
 * on work sent to an engine ahead of its prefill, zones, and long prompts that
 * yield to short ones. */
#include <glib.h>
#include <talloc.h>

#include "sched.h"

#define NOW_MS         100000
#define SHORT_TOKENS   4000
#define LONG_TOKENS    200000
#define BURST_REQUESTS 200

typedef struct
{
  void *parent;
  sched_t *sched;
  sched_step_t step;
  uint64_t wake_ms;
  uint64_t last_id;
} bed_t;

static const weights_t repair_v1 = { "repair", "", "v1" };

static void
put_upstream (bed_t *bed,
              const char *name,
              const char *zone,
              const char *service)
{
  sched_upstream_t state = { .name = name,
                             .incarnation = 1,
                             .zone = zone,
                             .service = service,
                             .loaded = &repair_v1,
                             .loaded_count = 1,
                             .role = "both",
                             .is_engine = true,
                             .kv_tokens = 10000000,
                             .max_batch = 1000,
                             .prefill_tokens_s = 40000,
                             .step_us = 10000,
                             .reported_at_ms = NOW_MS };

  if (g_str_equal (service, "rounds-ledger"))
    state.is_engine = false;
  sched_put_upstream (bed->sched, &state, NOW_MS);
}

static bed_t
bed_new (void)
{
  bed_t bed = { .parent = talloc_new (NULL) };
  sched_options_t options
      = { .zone = "lekki", .policy = SCHED_PREDICTED, .seed = 3 };

  bed.sched = sched_new (bed.parent, &options);
  put_upstream (&bed, "e1", "lekki", "manual-assist");
  return bed;
}

static sched_request_t
make_request (bed_t *bed, uint64_t tokens, uint32_t priority, uint64_t time_ms)
{
  return (sched_request_t){ .id = ++bed->last_id,
                            .service = "manual-assist",
                            .customer = "workshop",
                            .prompt_tokens = tokens,
                            .max_tokens = 10,
                            .priority = priority,
                            .deadline_ms = NOW_MS + time_ms };
}

static sched_verdict_t
submit (bed_t *bed, sched_request_t wanted)
{
  return sched_submit (bed->sched, &wanted, NOW_MS);
}

static guint
take_all (bed_t *bed, uint64_t now_ms)
{
  guint sent = 0;

  while (sched_next (bed->sched, now_ms, &bed->step, &bed->wake_ms))
    sent += bed->step.action == SCHED_SEND;
  return sent;
}

/* Submits a burst: 200 prompts of 4,000 tokens take an engine 24 s. */
static void
submit_burst (bed_t *bed, uint32_t priority)
{
  for (guint i = 0; i < BURST_REQUESTS; i++)
    g_assert_true (
        submit (bed, make_request (bed, SHORT_TOKENS, priority, 600000))
            .admitted);
}

static void
test_refuses_unmeetable_deadline (void)
{
  bed_t bed = bed_new ();
  sched_verdict_t verdict;

  g_assert_true (
      submit (&bed, make_request (&bed, SHORT_TOKENS, 5, 5000)).admitted);
  submit_burst (&bed, 5);
  verdict = submit (&bed, make_request (&bed, SHORT_TOKENS, 5, 5000));
  g_assert_cmpint (verdict.refusal, ==, ERROR_DEADLINE_UNMEETABLE);
  g_assert_cmpuint (verdict.retry_after_ms, >, 10000);
  g_assert_true (
      submit (&bed, make_request (&bed, SHORT_TOKENS, 5, 60000)).admitted);
  g_assert_true (
      submit (&bed, make_request (&bed, SHORT_TOKENS, 9, 5000)).admitted);
  talloc_free (bed.parent);
}

/* Continuous requests of higher priority leave no capacity for the lowest one,
 * and admission must account for that. */
static void
test_counts_higher_priorities (void)
{
  bed_t bed = bed_new ();

  g_assert_true (
      submit (&bed, make_request (&bed, SHORT_TOKENS, 1, 5000)).admitted);
  g_assert_true (
      submit (&bed, make_request (&bed, SHORT_TOKENS, 1, 5000)).admitted);
  take_all (&bed, NOW_MS);
  submit_burst (&bed, 9);
  take_all (&bed, NOW_MS);
  g_assert_cmpint (
      submit (&bed, make_request (&bed, SHORT_TOKENS, 1, 30000)).refusal, ==,
      ERROR_DEADLINE_UNMEETABLE);
  talloc_free (bed.parent);
}

/* Calls of a plain service do not wait behind the prompts of an engine
 * service. */
static void
test_services_queue_separately (void)
{
  bed_t bed = bed_new ();
  sched_request_t call = make_request (&bed, 0, 1, 1000);

  put_upstream (&bed, "s1", "lekki", "rounds-ledger");
  submit_burst (&bed, 9);
  call.service = "rounds-ledger";
  g_assert_true (submit (&bed, call).admitted);
  g_assert_true (sched_next (bed.sched, NOW_MS, &bed.step, &bed.wake_ms));
  while (bed.step.request_id != call.id)
    g_assert_true (sched_next (bed.sched, NOW_MS, &bed.step, &bed.wake_ms));
  g_assert_cmpstr (bed.step.upstream, ==, "s1");
  talloc_free (bed.parent);
}

/* Only queued requests can be reordered, so an engine gets little work at a
 * time, and more as its prefill proceeds. */
static void
test_window_is_bounded (void)
{
  bed_t bed = bed_new ();
  guint sent;

  submit_burst (&bed, 5);
  sent = take_all (&bed, NOW_MS);
  g_assert_cmpuint (sent, >=, 2);
  g_assert_cmpuint (sent, <=, 6);
  g_assert_cmpuint (bed.wake_ms, >, NOW_MS);
  /* The engine has finished none of their prefills, so it is overloaded. */
  g_assert_cmpuint (take_all (&bed, NOW_MS + 10000), ==, 0);
  for (uint64_t id = 1; id <= sent; id++)
    sched_record_first_token (bed.sched, id, NOW_MS + 10000);
  g_assert_cmpuint (take_all (&bed, NOW_MS + 10000), >=, 2);
  talloc_free (bed.parent);
}

static bool
is_sent_now (bed_t *bed, uint64_t id, uint64_t now_ms)
{
  bool is_sent = false;

  while (sched_next (bed->sched, now_ms, &bed->step, &bed->wake_ms))
    is_sent = is_sent || bed->step.request_id == id;
  return is_sent;
}

/* A long prompt has the highest priority and still waits until its slack is
 * used up. */
static void
test_long_prompts_wait_for_slack (void)
{
  bed_t bed = bed_new ();
  sched_request_t reading = make_request (&bed, LONG_TOKENS, 9, 60000);

  submit_burst (&bed, 5);
  take_all (&bed, NOW_MS);
  g_assert_true (submit (&bed, reading).admitted);
  g_assert_false (is_sent_now (&bed, reading.id, NOW_MS + 1));
  g_assert_false (is_sent_now (&bed, reading.id, NOW_MS + 20000));
  /* Two prefills of 200,000 tokens at 33,600 tokens per second take 12 s. */
  g_assert_true (is_sent_now (&bed, reading.id, NOW_MS + 49000));
  g_assert_cmpuint (sched_waiting (bed.sched), >, BURST_REQUESTS / 2);
  talloc_free (bed.parent);
}

static void
test_one_long_prefill_per_engine (void)
{
  bed_t bed = bed_new ();

  submit (&bed, make_request (&bed, LONG_TOKENS, 5, 600000));
  submit (&bed, make_request (&bed, LONG_TOKENS, 5, 600000));
  g_assert_cmpuint (take_all (&bed, NOW_MS), ==, 1);
  sched_record_first_token (bed.sched, 1, NOW_MS + 9000);
  g_assert_cmpuint (take_all (&bed, NOW_MS + 9000), ==, 1);
  talloc_free (bed.parent);
}

/* Long prompts get two of three engines while the third prompt has waited only
 * briefly, and the third engine after that. */
static void
test_long_prompts_get_a_share (void)
{
  bed_t bed = bed_new ();

  put_upstream (&bed, "e2", "lekki", "manual-assist");
  put_upstream (&bed, "e3", "lekki", "manual-assist");
  for (guint i = 0; i < 3; i++)
    submit (&bed, make_request (&bed, LONG_TOKENS, 5, 600000));
  g_assert_cmpuint (take_all (&bed, NOW_MS), ==, 2);
  g_assert_cmpuint (take_all (&bed, NOW_MS + 1000), ==, 0);
  g_assert_cmpuint (take_all (&bed, NOW_MS + 10000), ==, 1);
  g_assert_cmpstr (bed.step.upstream, ==, "e3");
  talloc_free (bed.parent);
}

/* A long prefill sent by another instance delays a long prompt that is not
 * urgent. */
static void
test_avoids_other_long_prefill (void)
{
  bed_t bed = bed_new ();
  sched_upstream_t reading = { .name = "e1",
                               .incarnation = 1,
                               .zone = "lekki",
                               .service = "manual-assist",
                               .loaded = &repair_v1,
                               .loaded_count = 1,
                               .is_engine = true,
                               .kv_tokens = 10000000,
                               .max_batch = 1000,
                               .prefill_tokens_s = 40000,
                               .waiting_tokens = LONG_TOKENS,
                               .reported_at_ms = NOW_MS + 1 };

  sched_put_upstream (bed.sched, &reading, NOW_MS + 1);
  submit (&bed, make_request (&bed, LONG_TOKENS, 5, 60000));
  g_assert_cmpuint (take_all (&bed, NOW_MS + 1), ==, 0);
  g_assert_cmpuint (take_all (&bed, NOW_MS + 55000), ==, 1);
  talloc_free (bed.parent);
}

static const char *
place_in_time (bed_t *bed, uint64_t first_token_ms)
{
  sched_request_t wanted = make_request (bed, SHORT_TOKENS, 5, 600000);

  wanted.first_token_by_ms = NOW_MS + first_token_ms;
  submit (bed, wanted);
  if (!sched_next (bed->sched, NOW_MS, &bed->step, &bed->wake_ms))
    return NULL;
  return bed->step.upstream;
}

static void
test_local_zone_preferred_within_deadline (void)
{
  bed_t bed = bed_new ();

  put_upstream (&bed, "e2", "ikeja", "manual-assist");
  g_assert_cmpstr (place_in_time (&bed, 2000), ==, "e1");
  g_assert_cmpint (bed.step.why, ==, SCHED_REASON_OWN_ZONE);
  g_assert_cmpstr (place_in_time (&bed, 2000), ==, "e1");
  g_assert_cmpstr (place_in_time (&bed, 200), ==, "e2");
  g_assert_cmpint (bed.step.why, ==, SCHED_REASON_OTHER_ZONE);
  talloc_free (bed.parent);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/admission/refuses-what-cannot-be-done",
                   test_refuses_unmeetable_deadline);
  g_test_add_func ("/admission/counts-what-comes-above",
                   test_counts_higher_priorities);
  g_test_add_func ("/admission/services-are-apart",
                   test_services_queue_separately);
  g_test_add_func ("/admission/window-is-bounded", test_window_is_bounded);
  g_test_add_func ("/admission/long-ones-give-way",
                   test_long_prompts_wait_for_slack);
  g_test_add_func ("/admission/one-reading-an-engine",
                   test_one_long_prefill_per_engine);
  g_test_add_func ("/admission/long-ones-keep-to-a-share",
                   test_long_prompts_get_a_share);
  g_test_add_func ("/admission/not-beside-another-reading",
                   test_avoids_other_long_prefill);
  g_test_add_func ("/admission/own-zone-while-in-time",
                   test_local_zone_preferred_within_deadline);
  return g_test_run ();
}
