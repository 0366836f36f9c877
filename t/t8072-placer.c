/*
 * Tests the choice of upstreams for several instances by one placer: no two of
 * them get the same slot, and the requests of all wait in one queue.
 */
#include <glib.h>
#include <string.h>
#include <talloc.h>

#include "lib-engines.h"
#include "placement-message.h"
#include "placer.h"

#define ENGINES    4
#define SLOTS      2
#define MANY_PARTS 200
/** Parts in a message that earlier versions take. */
#define EARLIER_MAX_PARTS 8
#define NOW_MS            100000
#define QUEUED            300
/** Tokens that one engine cannot read within the deadline of a long prompt. */
#define TOO_LONG_FOR_ONE 450000
/** Decisions that a small share of a core makes within the interval of two
 * passes. */
#define MAX_PASS_DECISIONS 16

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
  upstream_set_t *set;
  directory_t *directory;
  placer_t *placer;
  GArray *answers; /* placement_answer_t, with the request's id in usable */
  uint64_t last_id;
  uint32_t decisions;
  uint32_t waits; /* reports of a wait */
  choice_held_by_t held_by;
} fixture_t;

static bool
find_service (const char *name, placer_service_t *service, void *context)
{
  ((fixture_t *)context)->decisions++;
  service->model = &model;
  service->shortest_gap_ms = 250;
  return g_str_equal (name, "engines");
}

static void
on_answer (const placement_request_t *request,
           const placement_answer_t *answer,
           void *context)
{
  fixture_t *fixture = context;
  placement_answer_t copy = *answer;

  copy.usable = (uint32_t)request->id;
  g_array_append_val (fixture->answers, copy);
}

static void
on_wait (const placement_request_t *request,
         const placement_answer_t *answer,
         void *context)
{
  fixture_t *fixture = context;

  fixture->waits++;
  fixture->held_by = answer->held_by;
}

static fixture_t *
fixture_new (void)
{
  static const char *const zones[] = { "a", "a" };
  fixture_t *fixture = g_new0 (fixture_t, 1);
  upstream_set_options_t set = { 0 };
  placer_options_t options = { .zone = "a",
                               .find_service = find_service,
                               .on_answer = on_answer,
                               .on_wait = on_wait,
                               .context = fixture };

  fixture->directory
      = engines_directory_new (NULL, ENGINES, zones, 2, SLOTS, NOW_MS);
  fixture->set = options.set = upstream_set_new (NULL, &set);
  upstream_set_sync (fixture->set, fixture->directory, NOW_MS);
  fixture->placer = placer_new (NULL, &options);
  fixture->answers = g_array_new (FALSE, FALSE, sizeof (placement_answer_t));
  return fixture;
}

static void
fixture_free (fixture_t *fixture)
{
  talloc_free (fixture->placer);
  talloc_free (fixture->set);
  talloc_free (fixture->directory);
  g_array_free (fixture->answers, TRUE);
  g_free (fixture);
}

static placement_request_t
make_request (fixture_t *fixture, uint64_t owner)
{
  fixture->last_id += PLACEMENT_MAX_JOBS;
  return (placement_request_t){ .id = fixture->last_id,
                                .owner = owner,
                                .service = "engines",
                                .prompt_tokens = 5000,
                                .answer_tokens = 1300,
                                .target_ms = 300,
                                .gap_target_ms = 250,
                                .priority = 1,
                                .arrived_ms = NOW_MS,
                                .deadline_ms = NOW_MS + 10000 };
}

static placement_request_t
make_long_request (fixture_t *fixture, uint32_t prompt_tokens)
{
  placement_request_t request = make_request (fixture, 1);

  request.prompt_tokens = prompt_tokens;
  request.target_ms = 3000;
  request.gap_target_ms = 1000;
  request.deadline_ms = NOW_MS + 15000;
  return request;
}

/** Asks, and returns the last answer. */
static placement_answer_t
ask (fixture_t *fixture, const placement_request_t *request, uint64_t now_ms)
{
  placer_ask (fixture->placer, request, now_ms);
  return g_array_index (fixture->answers, placement_answer_t,
                        fixture->answers->len - 1);
}

/** Fills every slot, by requests of different instances. */
static void
fill_slots (fixture_t *fixture)
{
  for (uint64_t i = 0; i < ENGINES * SLOTS; i++)
    {
      placement_request_t request = make_request (fixture, i + 1);

      g_assert_cmpint (ask (fixture, &request, NOW_MS).kind, ==,
                       PLACEMENT_SEND);
    }
}

/** Burst: requests of many instances at the same moment get different slots. */
static void
test_burst_gets_different_slots (void)
{
  fixture_t *fixture = fixture_new ();
  GHashTable *taken = g_hash_table_new (NULL, NULL);

  fill_slots (fixture);
  for (guint i = 0; i < fixture->answers->len; i++)
    {
      gpointer key = (gpointer)(gsize)g_array_index (fixture->answers,
                                                     placement_answer_t, i)
                         .upstream;
      guint count = GPOINTER_TO_UINT (g_hash_table_lookup (taken, key));

      g_assert_cmpuint (count, <, SLOTS);
      g_hash_table_insert (taken, key, GUINT_TO_POINTER (count + 1));
    }
  g_hash_table_destroy (taken);
  fixture_free (fixture);
}

/** One queue for all: the slot that becomes free goes to the request that can
 * still be in time, not to the one that has waited longest. */
static void
test_one_queue (void)
{
  fixture_t *fixture = fixture_new ();
  placement_request_t late = make_request (fixture, 1);
  placement_request_t timely = make_request (fixture, 2);
  placement_request_t urgent = make_request (fixture, 3);
  uint64_t now_ms = NOW_MS + 400;

  fill_slots (fixture);
  timely.arrived_ms = now_ms;
  urgent.arrived_ms = NOW_MS;
  urgent.priority = 0;
  g_assert_cmpint (ask (fixture, &late, NOW_MS).kind, ==, PLACEMENT_QUEUED);
  g_assert_cmpint (ask (fixture, &timely, now_ms).kind, ==, PLACEMENT_QUEUED);
  g_assert_cmpint (ask (fixture, &urgent, now_ms).kind, ==, PLACEMENT_QUEUED);
  g_array_set_size (fixture->answers, 0);
  for (uint32_t i = 0; i < 2; i++)
    upstream_set_end (fixture->set, PLACEMENT_MAX_JOBS * (4 + i),
                      UPSTREAM_JOB_GOOD, now_ms);
  placer_run (fixture->placer, now_ms);
  g_assert_cmpuint (fixture->answers->len, ==, 2);
  g_assert_cmpuint (
      g_array_index (fixture->answers, placement_answer_t, 0).usable, ==,
      urgent.id);
  g_assert_cmpuint (
      g_array_index (fixture->answers, placement_answer_t, 1).usable, ==,
      timely.id);
  g_assert_cmpuint (placer_queued (fixture->placer), ==, 1);
  fixture_free (fixture);
}

/** A request that is asked for again while it is queued stays queued once. */
static void
test_asked_again (void)
{
  fixture_t *fixture = fixture_new ();
  placement_request_t request = make_request (fixture, 1);

  fill_slots (fixture);
  ask (fixture, &request, NOW_MS);
  g_assert_cmpint (ask (fixture, &request, NOW_MS + 400).kind, ==,
                   PLACEMENT_QUEUED);
  g_assert_cmpuint (placer_queued (fixture->placer), ==, 1);
  placer_cancel (fixture->placer, 2, request.id);
  g_assert_cmpuint (placer_queued (fixture->placer), ==, 1);
  placer_cancel (fixture->placer, 1, request.id);
  g_assert_cmpuint (placer_queued (fixture->placer), ==, 0);
  fixture_free (fixture);
}

/** The queued requests of a lost instance take no slot. */
static void
test_lost_owner (void)
{
  fixture_t *fixture = fixture_new ();
  placement_request_t lost = make_request (fixture, 1);
  placement_request_t other = make_request (fixture, 2);

  fill_slots (fixture);
  ask (fixture, &lost, NOW_MS);
  ask (fixture, &other, NOW_MS);
  placer_drop_owner (fixture->placer, 1);
  g_assert_cmpuint (placer_queued (fixture->placer), ==, 1);
  /* A request whose deadline has passed leaves without an answer. */
  g_array_set_size (fixture->answers, 0);
  placer_run (fixture->placer, other.deadline_ms);
  g_assert_cmpuint (placer_queued (fixture->placer), ==, 0);
  g_assert_cmpuint (fixture->answers->len, ==, 0);
  fixture_free (fixture);
}

/** After all lost power: hundreds of requests of a zone wait at one placer. A
 * pass decides on a few of them, so that the placer goes on answering, and in
 * time on all of them. */
static void
test_long_queue (void)
{
  fixture_t *fixture = fixture_new ();
  uint32_t most = 0;

  fill_slots (fixture);
  for (uint64_t i = 0; i < QUEUED; i++)
    {
      placement_request_t request = make_request (fixture, 1 + i % 59);

      request.prompt_tokens = 20000 + (uint32_t)i * 100;
      request.target_ms = 1500;
      g_assert_cmpint (ask (fixture, &request, NOW_MS).kind, ==,
                       PLACEMENT_QUEUED);
    }
  for (uint32_t i = 0; i < ENGINES * SLOTS; i++)
    upstream_set_end (fixture->set, PLACEMENT_MAX_JOBS * (1 + i),
                      UPSTREAM_JOB_GOOD, NOW_MS);
  fixture->decisions = 0;
  g_array_set_size (fixture->answers, 0);
  for (uint64_t now_ms = NOW_MS + 100; now_ms <= NOW_MS + 1000; now_ms += 20)
    {
      uint32_t before = fixture->decisions;

      placer_run (fixture->placer, now_ms);
      most = MAX (most, fixture->decisions - before);
    }
  g_assert_cmpuint (most, <=, MAX_PASS_DECISIONS);
  g_assert_cmpuint (fixture->answers->len, >=, ENGINES);
  fixture_free (fixture);
}

/** A stalled request is not moved while its engine is known to read prompts,
 * and never queued. */
static void
test_move (void)
{
  fixture_t *fixture = fixture_new ();
  placement_request_t reader = make_request (fixture, 1);
  placement_request_t stalled = make_request (fixture, 2);
  placement_answer_t answer;

  reader.prompt_tokens = 200000;
  reader.target_ms = 3000;
  answer = ask (fixture, &reader, NOW_MS);
  g_assert_cmpint (answer.kind, ==, PLACEMENT_SEND);
  stalled.is_move = true;
  stalled.silent_ms = 500;
  stalled.current[stalled.current_count++] = answer.upstream;
  stalled.avoid[stalled.avoid_count++] = answer.upstream;
  g_assert_cmpint (ask (fixture, &stalled, NOW_MS + 500).kind, ==,
                   PLACEMENT_KEEP);
  stalled.silent_ms = 9000;
  g_assert_cmpint (ask (fixture, &stalled, NOW_MS + 500).kind, ==,
                   PLACEMENT_SEND);
  for (;;)
    {
      placement_request_t request = make_request (fixture, 3);

      if (ask (fixture, &request, NOW_MS).kind != PLACEMENT_SEND)
        break;
    }
  placer_drop_owner (fixture->placer, 3);
  stalled.id += 1000;
  g_assert_cmpint (ask (fixture, &stalled, NOW_MS + 500).kind, ==,
                   PLACEMENT_KEEP);
  g_assert_cmpuint (placer_queued (fixture->placer), ==, 0);
  fixture_free (fixture);
}

/* Guards against refusing at once what one engine cannot read before the
 * deadline, although several engines together can. */
static void
test_largest_prompt_waits (void)
{
  fixture_t *fixture = fixture_new ();
  placement_request_t request = make_long_request (fixture, TOO_LONG_FOR_ONE);

  fill_slots (fixture);
  g_assert_cmpfloat (engine_prefill_ms (&model, TOO_LONG_FOR_ONE), >,
                     request.deadline_ms - NOW_MS);
  g_assert_cmpint (ask (fixture, &request, NOW_MS).kind, ==, PLACEMENT_QUEUED);
  for (uint32_t i = 0; i < ENGINES * SLOTS; i++)
    upstream_set_end (fixture->set, PLACEMENT_MAX_JOBS * (1 + i),
                      UPSTREAM_JOB_GOOD, NOW_MS + 500);
  g_array_set_size (fixture->answers, 0);
  placer_run (fixture->placer, NOW_MS + 500);
  g_assert_cmpuint (fixture->answers->len, ==, 1);
  g_assert_cmpint (g_array_index (fixture->answers, placement_answer_t, 0).kind,
                   ==, PLACEMENT_SEND);
  fixture_free (fixture);
}

/* Guards against a wait that no line explains: the reason is reported once a
 * second. */
static void
test_wait_is_reported (void)
{
  fixture_t *fixture = fixture_new ();
  placement_request_t request = make_long_request (fixture, TOO_LONG_FOR_ONE);

  fill_slots (fixture);
  g_assert_cmpint (ask (fixture, &request, NOW_MS).held_by, ==,
                   CHOICE_HELD_BY_ROOM);
  for (uint64_t after_ms = 100; after_ms <= 2900; after_ms += 100)
    placer_run (fixture->placer, NOW_MS + after_ms);
  g_assert_cmpuint (fixture->waits, ==, 2);
  g_assert_cmpint (fixture->held_by, ==, CHOICE_HELD_BY_ROOM);
  fixture_free (fixture);
}

/* Guards against counting the loss of a prompt once for each of the engines
 * that read a part of it, which lets larger prompts appear too costly. */
static void
test_split_prompt_counts_once (void)
{
  fixture_t *fixture = fixture_new ();
  placement_request_t split = make_long_request (fixture, 200000);
  placement_request_t request = make_long_request (fixture, TOO_LONG_FOR_ONE);
  placement_answer_t answer;

  split.target_ms = 1500;
  answer = ask (fixture, &split, NOW_MS);
  g_assert_cmpint (answer.kind, ==, PLACEMENT_SEND);
  g_assert_cmpuint (answer.helper_count, >, 0);
  answer = ask (fixture, &request, NOW_MS);
  g_assert_cmpfloat (answer.damage_waiting, >, 0);
  g_assert_cmpfloat (
      answer.damage_waiting, <=,
      upstream_job_value (split.prompt_tokens, split.answer_tokens));
  fixture_free (fixture);
}

/** A placer that does not know a service says so. */
static void
test_unknown_service (void)
{
  fixture_t *fixture = fixture_new ();
  placement_request_t request = make_request (fixture, 1);

  strcpy (request.service, "other");
  g_assert_cmpint (ask (fixture, &request, NOW_MS).kind, ==, PLACEMENT_UNABLE);
  fixture_free (fixture);
}

/** The jobs of a prompt in parts: each engine reads its share, and memory is
 * counted where it is reserved. */
static void
test_jobs_of_parts (void)
{
  placement_request_t request = { .id = 100,
                                  .owner = 7,
                                  .prompt_tokens = 300000,
                                  .answer_tokens = 1000,
                                  .arrived_ms = NOW_MS };
  placement_answer_t answer = { .upstream = 1,
                                .helpers = { 2, 3 },
                                .helper_count = 2,
                                .memory_tokens = { 90000 },
                                .memory_count = 1 };
  upstream_job_t jobs[PLACEMENT_MAX_JOBS];

  g_assert_cmpuint (placement_jobs (&request, &answer, NOW_MS, jobs), ==, 3);
  g_assert_cmpuint (jobs[0].read_tokens, ==, 100000);
  g_assert_cmpuint (jobs[0].kv_tokens, ==, 211000);
  g_assert_cmpuint (jobs[1].id, ==, 101);
  g_assert_cmpuint (jobs[1].kv_tokens, ==, 90000);
  g_assert_true (jobs[1].has_reservation);
  g_assert_true (jobs[1].is_part);
  g_assert_cmpuint (jobs[2].upstream, ==, 3);
  g_assert_cmpuint (jobs[2].kv_tokens, ==, 0);
  g_assert_false (jobs[2].has_reservation);
  g_assert_cmpuint (jobs[2].owner, ==, 7);
}

/* Guards against: a placer that does not know which request it places for
 * another instance, so that its crashes count for nobody (BUDGET), and crashes
 * of helpers that count against the request (LOST). */
static void
test_jobs_carry_signature (void)
{
  static const uint64_t part = 5;
  placement_request_t asked = { .id = 100,
                                .service = "engines",
                                .prompt_tokens = 300000,
                                .parts = { .ids = &part, .count = 1 },
                                .arrived_ms = NOW_MS,
                                .deadline_ms = NOW_MS + 1000 };
  placement_answer_t answer
      = { .upstream = 1, .helpers = { 2 }, .helper_count = 1 };
  upstream_job_t jobs[PLACEMENT_MAX_JOBS];
  placement_request_t received;
  Lwm__PlaceRequest message;

  asked.parts.request = 77;
  placement_request_to_message (&asked, NOW_MS, &message);
  g_assert_true (
      placement_request_from_message (&message, 7, NOW_MS, &received));
  g_assert_cmpuint (placement_jobs (&received, &answer, NOW_MS, jobs), ==, 2);
  g_assert_cmpuint (jobs[0].parts.count, ==, 1);
  g_assert_cmpuint (jobs[0].parts.request, ==, 77);
  g_assert_cmpuint (jobs[1].parts.count, ==, 0);
  g_assert_cmpuint (jobs[1].parts.request, ==, 0);
}

/* Guards against: parts of long prompts that are lost between instances
 * (BUDGET), and requests with them that placers of earlier versions reject. */
static void
test_many_parts_in_message (void)
{
  uint64_t ids[MANY_PARTS];
  placement_request_t asked = { .id = 100,
                                .service = "engines",
                                .parts = { .ids = ids, .request = 77 },
                                .arrived_ms = NOW_MS,
                                .deadline_ms = NOW_MS + 1000 };
  placement_request_t received;
  Lwm__PlaceRequest message;

  for (uint32_t i = 0; i < MANY_PARTS; i++)
    ids[i] = 1000 + i;
  for (asked.parts.count = 0; asked.parts.count <= MANY_PARTS;
       asked.parts.count++)
    {
      placement_request_to_message (&asked, NOW_MS, &message);
      g_assert_cmpuint (message.n_parts, ==,
                        MIN (asked.parts.count, EARLIER_MAX_PARTS));
      g_assert_true (
          placement_request_from_message (&message, 7, NOW_MS, &received));
      g_assert_cmpmem (received.parts.ids, received.parts.count * sizeof *ids,
                       ids, asked.parts.count * sizeof *ids);
      g_assert_cmpuint (received.parts.request, ==, 77);
    }
  /* An earlier version sends no more than these. */
  message.n_all_parts = 0;
  g_assert_true (
      placement_request_from_message (&message, 7, NOW_MS, &received));
  g_assert_cmpuint (received.parts.count, ==, EARLIER_MAX_PARTS);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/placer/burst", test_burst_gets_different_slots);
  g_test_add_func ("/placer/one-queue", test_one_queue);
  g_test_add_func ("/placer/asked-again", test_asked_again);
  g_test_add_func ("/placer/lost-owner", test_lost_owner);
  g_test_add_func ("/placer/long-queue", test_long_queue);
  g_test_add_func ("/placer/move", test_move);
  g_test_add_func ("/placer/largest-prompt-waits", test_largest_prompt_waits);
  g_test_add_func ("/placer/wait-is-reported", test_wait_is_reported);
  g_test_add_func ("/placer/split-prompt-counts-once",
                   test_split_prompt_counts_once);
  g_test_add_func ("/placer/unknown-service", test_unknown_service);
  g_test_add_func ("/placer/parts", test_jobs_of_parts);
  g_test_add_func ("/placer/signature", test_jobs_carry_signature);
  g_test_add_func ("/placer/many-parts-in-message", test_many_parts_in_message);
  return g_test_run ();
}
