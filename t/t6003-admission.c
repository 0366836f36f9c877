/* Admission, the window before engines, zones and long prompts that give way:
 * decisions of the product's policy under load. */
#include <glib.h>
#include <talloc.h>

#include "sched.h"

#define NOW_MS       100000
#define SHORT_TOKENS 4000
#define LONG_TOKENS  200000
#define CREST        200

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
put (bed_t *bed, const char *name, const char *zone, const char *service)
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
  put (&bed, "e1", "lekki", "manual-assist");
  return bed;
}

static sched_request_t
request (bed_t *bed, uint64_t tokens, uint32_t priority, uint64_t time_ms)
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

/* 200 prompts of 4,000 tokens are 24 s of work for an engine. */
static void
crest (bed_t *bed, uint32_t priority)
{
  for (guint i = 0; i < CREST; i++)
    g_assert_true (
        submit (bed, request (bed, SHORT_TOKENS, priority, 600000)).admitted);
}

static void
test_refuses_what_cannot_be_done (void)
{
  bed_t bed = bed_new ();
  sched_verdict_t verdict;

  g_assert_true (submit (&bed, request (&bed, SHORT_TOKENS, 5, 5000)).admitted);
  crest (&bed, 5);
  verdict = submit (&bed, request (&bed, SHORT_TOKENS, 5, 5000));
  g_assert_cmpint (verdict.refusal, ==, ERROR_DEADLINE_UNMEETABLE);
  g_assert_cmpuint (verdict.retry_after_ms, >, 10000);
  g_assert_true (
      submit (&bed, request (&bed, SHORT_TOKENS, 5, 60000)).admitted);
  g_assert_true (submit (&bed, request (&bed, SHORT_TOKENS, 9, 5000)).admitted);
  talloc_free (bed.parent);
}

/* What keeps coming above it leaves nothing for the lowest priority. */
static void
test_counts_what_comes_above (void)
{
  bed_t bed = bed_new ();

  g_assert_true (submit (&bed, request (&bed, SHORT_TOKENS, 1, 5000)).admitted);
  g_assert_true (submit (&bed, request (&bed, SHORT_TOKENS, 1, 5000)).admitted);
  take_all (&bed, NOW_MS);
  crest (&bed, 9);
  take_all (&bed, NOW_MS);
  g_assert_cmpint (
      submit (&bed, request (&bed, SHORT_TOKENS, 1, 30000)).refusal, ==,
      ERROR_DEADLINE_UNMEETABLE);
  talloc_free (bed.parent);
}

/* Calls of a plain service do not wait behind an engine service's prompts. */
static void
test_services_are_apart (void)
{
  bed_t bed = bed_new ();
  sched_request_t call = request (&bed, 0, 1, 1000);

  put (&bed, "s1", "lekki", "rounds-ledger");
  crest (&bed, 9);
  call.service = "rounds-ledger";
  g_assert_true (submit (&bed, call).admitted);
  g_assert_true (sched_next (bed.sched, NOW_MS, &bed.step, &bed.wake_ms));
  while (bed.step.request_id != call.id)
    g_assert_true (sched_next (bed.sched, NOW_MS, &bed.step, &bed.wake_ms));
  g_assert_cmpstr (bed.step.upstream, ==, "s1");
  talloc_free (bed.parent);
}

/* The order can change only here, so an engine gets little at a time, and more
 * as it reads on. */
static void
test_window_is_bounded (void)
{
  bed_t bed = bed_new ();
  guint sent;

  crest (&bed, 5);
  sent = take_all (&bed, NOW_MS);
  g_assert_cmpuint (sent, >=, 2);
  g_assert_cmpuint (sent, <=, 6);
  g_assert_cmpuint (bed.wake_ms, >, NOW_MS);
  /* None of them was read: it has too much to do as it is. */
  g_assert_cmpuint (take_all (&bed, NOW_MS + 10000), ==, 0);
  for (uint64_t id = 1; id <= sent; id++)
    sched_record_first_token (bed.sched, id, NOW_MS + 10000);
  g_assert_cmpuint (take_all (&bed, NOW_MS + 10000), >=, 2);
  talloc_free (bed.parent);
}

static bool
sends (bed_t *bed, uint64_t id, uint64_t now_ms)
{
  bool is_sent = false;

  while (sched_next (bed->sched, now_ms, &bed->step, &bed->wake_ms))
    is_sent = is_sent || bed->step.request_id == id;
  return is_sent;
}

/* It is first by priority, and still waits until its slack is used up. */
static void
test_long_ones_give_way (void)
{
  bed_t bed = bed_new ();
  sched_request_t reading = request (&bed, LONG_TOKENS, 9, 60000);

  crest (&bed, 5);
  take_all (&bed, NOW_MS);
  g_assert_true (submit (&bed, reading).admitted);
  g_assert_false (sends (&bed, reading.id, NOW_MS + 1));
  g_assert_false (sends (&bed, reading.id, NOW_MS + 20000));
  /* Two readings of 200,000 tokens at 33,600 a second are 12 s. */
  g_assert_true (sends (&bed, reading.id, NOW_MS + 49000));
  g_assert_cmpuint (sched_waiting (bed.sched), >, CREST / 2);
  talloc_free (bed.parent);
}

static void
test_one_reading_an_engine (void)
{
  bed_t bed = bed_new ();

  submit (&bed, request (&bed, LONG_TOKENS, 5, 600000));
  submit (&bed, request (&bed, LONG_TOKENS, 5, 600000));
  g_assert_cmpuint (take_all (&bed, NOW_MS), ==, 1);
  sched_record_first_token (bed.sched, 1, NOW_MS + 9000);
  g_assert_cmpuint (take_all (&bed, NOW_MS + 9000), ==, 1);
  talloc_free (bed.parent);
}

/* Two of three engines while it waited little; the third after that. */
static void
test_long_ones_keep_to_a_share (void)
{
  bed_t bed = bed_new ();

  put (&bed, "e2", "lekki", "manual-assist");
  put (&bed, "e3", "lekki", "manual-assist");
  for (guint i = 0; i < 3; i++)
    submit (&bed, request (&bed, LONG_TOKENS, 5, 600000));
  g_assert_cmpuint (take_all (&bed, NOW_MS), ==, 2);
  g_assert_cmpuint (take_all (&bed, NOW_MS + 1000), ==, 0);
  g_assert_cmpuint (take_all (&bed, NOW_MS + 10000), ==, 1);
  g_assert_cmpstr (bed.step.upstream, ==, "e3");
  talloc_free (bed.parent);
}

/* Another instance's reading holds back one that is not urgent. */
static void
test_not_beside_another_reading (void)
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
  submit (&bed, request (&bed, LONG_TOKENS, 5, 60000));
  g_assert_cmpuint (take_all (&bed, NOW_MS + 1), ==, 0);
  g_assert_cmpuint (take_all (&bed, NOW_MS + 55000), ==, 1);
  talloc_free (bed.parent);
}

static const char *
place_in_time (bed_t *bed, uint64_t first_token_ms)
{
  sched_request_t wanted = request (bed, SHORT_TOKENS, 5, 600000);

  wanted.first_token_by_ms = NOW_MS + first_token_ms;
  submit (bed, wanted);
  if (!sched_next (bed->sched, NOW_MS, &bed->step, &bed->wake_ms))
    return NULL;
  return bed->step.upstream;
}

static void
test_own_zone_while_in_time (void)
{
  bed_t bed = bed_new ();

  put (&bed, "e2", "ikeja", "manual-assist");
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
                   test_refuses_what_cannot_be_done);
  g_test_add_func ("/admission/counts-what-comes-above",
                   test_counts_what_comes_above);
  g_test_add_func ("/admission/services-are-apart", test_services_are_apart);
  g_test_add_func ("/admission/window-is-bounded", test_window_is_bounded);
  g_test_add_func ("/admission/long-ones-give-way", test_long_ones_give_way);
  g_test_add_func ("/admission/one-reading-an-engine",
                   test_one_reading_an_engine);
  g_test_add_func ("/admission/long-ones-keep-to-a-share",
                   test_long_ones_keep_to_a_share);
  g_test_add_func ("/admission/not-beside-another-reading",
                   test_not_beside_another_reading);
  g_test_add_func ("/admission/own-zone-while-in-time",
                   test_own_zone_while_in_time);
  return g_test_run ();
}
