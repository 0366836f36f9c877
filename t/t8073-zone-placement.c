/*
 * Several entry instances of two zones on one event loop find upstreams through
 * the placer of their zone. The placer is lost, falls silent or does not know
 * its zone yet; every request is answered in time, and no slot is taken twice
 * while a placer lives.
 */
#include <event2/buffer.h>
#include <event2/event.h>
#include <glib.h>
#include <stdio.h>
#include <string.h>
#include <talloc.h>

#include "base.h"
#include "lib-address.h"
#include "lib-engines.h"
#include "logging.h"
#include "zone-placement.h"

#define INSTANCES       6 /* every second one is in zone b */
#define ENGINES         6
#define SLOTS           2
#define WAIT_TIMEOUT_MS 60000
/** A round over all loops that leaves a placer enough time to answer. */
#define QUICK_ROUND_MS 20
#define SETTLE_MS      1500
#define MAX_TRIES      30
#define BIND_TRIES     200
#define BIND_PAUSE_US  20000
/** Longest time until a request is answered: two instances are asked, then it
 * is decided by its own. */
#define ANSWER_BOUND_MS 600
/** Time after which memory that nobody uses counts as leaked. */
#define MEMORY_FREE_MS 4000

static const engine_model_t model = { .slots = SLOTS,
                                      .kv_tokens = 232000,
                                      .steps_per_pass = 43,
                                      .read_step_tokens = 2048,
                                      .step_ms = 1.02,
                                      .read_tokens_s = 206000,
                                      .read_pairs_ms = 0.138 };

typedef struct
{
  struct event_base *base;
  upstream_set_t *set;
  metrics_t *metrics;
  zone_placement_t *placement;
  char listen[32];
  uint64_t orphan; /* job whose reservation this instance has to release */
} instance_t;

typedef struct
{
  directory_t *directory;
  instance_t instances[INSTANCES];
  char *addresses[INSTANCES];
  char *zones[INSTANCES];
} fixture_t;

typedef struct
{
  instance_t *instance;
  zone_ask_t *ask;
  placement_request_t request;
  placement_answer_t answer;
  bool is_answered;
  bool was_queued;
} call_t;

static bool
find_service (const char *name, placer_service_t *service, void *context)
{
  service->model = &model;
  service->shortest_gap_ms = 250;
  return g_str_equal (name, "engines");
}

static void
on_orphan (const upstream_job_t *job, void *context)
{
  instance_t *instance = context;

  instance->orphan = job->id;
}

/** Each instance has a loop of its own, so that one can stand still. */
static void
open_instance (fixture_t *fixture, uint32_t index)
{
  instance_t *instance = &fixture->instances[index];
  upstream_set_options_t set = { 0 };
  zone_placement_options_t options = { .listen = instance->listen,
                                       .zone = fixture->zones[index],
                                       .find_service = find_service,
                                       .on_orphan = on_orphan,
                                       .context = instance };

  instance->base = options.base = event_base_new ();
  instance->metrics = options.metrics = metrics_new (NULL);
  instance->set = options.set = upstream_set_new (NULL, &set);
  upstream_set_sync (instance->set, fixture->directory, clock_mono_ms ());
  /* The socket of an instance that was closed just now ends in another thread.
   */
  for (int tries = 0; instance->placement == NULL && tries < BIND_TRIES;
       tries++)
    {
      g_usleep (tries > 0 ? BIND_PAUSE_US : 0);
      instance->placement = zone_placement_new (NULL, &options);
    }
  g_assert_nonnull (instance->placement);
  zone_placement_add_instances (instance->placement, fixture->addresses,
                                fixture->zones, INSTANCES);
}

static void
close_instance (instance_t *instance)
{
  if (instance->base == NULL)
    return;
  TALLOC_FREE (instance->placement);
  talloc_free (instance->metrics);
  talloc_free (instance->set);
  event_base_free (instance->base);
  instance->base = NULL;
}

/** Longest time of one round over all loops since it was set to 0. */
static uint64_t slowest_round_ms;

/** Runs the loops of all instances but the paused one once. */
static void
run_loops (fixture_t *fixture, const instance_t *paused)
{
  uint64_t begun_ms = clock_mono_ms ();

  for (uint32_t i = 0; i < INSTANCES; i++)
    if (fixture->instances[i].base != NULL && &fixture->instances[i] != paused)
      event_base_loop (fixture->instances[i].base, EVLOOP_NONBLOCK);
  g_usleep (300);
  slowest_round_ms = MAX (slowest_round_ms, clock_mono_ms () - begun_ms);
}

#define WAIT(condition, paused)                                                \
  do                                                                           \
    {                                                                          \
      uint64_t end_ms = clock_mono_ms () + WAIT_TIMEOUT_MS;                    \
      while (!(condition) && clock_mono_ms () < end_ms)                        \
        run_loops (fixture, paused);                                           \
      g_assert_true (condition);                                               \
    }                                                                          \
  while (0)

static void
run_for (fixture_t *fixture, const instance_t *paused, uint32_t ms)
{
  uint64_t end_ms = clock_mono_ms () + ms;

  while (clock_mono_ms () < end_ms)
    run_loops (fixture, paused);
}

static double
metric_of (const instance_t *instance, const char *sample)
{
  struct evbuffer *out = evbuffer_new ();
  const char *at;
  double value = 0;

  metrics_write (instance->metrics, out);
  evbuffer_add (out, "", 1);
  at = strstr ((char *)evbuffer_pullup (out, -1), sample);
  if (at != NULL)
    value = g_ascii_strtod (at + strlen (sample), NULL);
  evbuffer_free (out);
  return value;
}

static void
on_answer (const placement_request_t *request,
           const placement_answer_t *answer,
           void *context)
{
  call_t *call = context;

  if (answer->kind == PLACEMENT_QUEUED)
    {
      call->was_queued = true;
      return;
    }
  call->request = *request;
  call->answer = *answer;
  call->is_answered = true;
  if (answer->kind == PLACEMENT_SEND)
    zone_placement_begin (call->instance->placement, request, answer);
}

static void
start_call (instance_t *instance, call_t *call)
{
  uint64_t now_ms = clock_mono_ms ();
  placement_request_t request = { .service = "engines",
                                  .prompt_tokens = 5000,
                                  .answer_tokens = 1300,
                                  .target_ms = 300,
                                  .gap_target_ms = 250,
                                  .priority = 1,
                                  .arrived_ms = now_ms,
                                  .deadline_ms = now_ms + 10000 };

  *call = (call_t){ .instance = instance };
  call->ask
      = zone_placement_ask (instance->placement, &request, on_answer, call);
}

static void
end_call (call_t *call)
{
  zone_placement_end (call->instance->placement, call->request.id,
                      UPSTREAM_JOB_GOOD);
}

/** Returns whether another instance decides for this one, after a call that
 * tells. */
static bool
is_decided_by_other (fixture_t *fixture, instance_t *instance)
{
  double before
      = metric_of (instance, "lwm_placement_decisions_total{by=\"placer\"} ");
  call_t call;

  start_call (instance, &call);
  WAIT (call.is_answered, NULL);
  end_call (&call);
  run_for (fixture, NULL, 50);
  return metric_of (instance, "lwm_placement_decisions_total{by=\"placer\"} ")
         > before;
}

/** Waits until all instances of a zone but one are decided for by that one, and
 * returns it. @a first is the first instance of the zone. */
static instance_t *
wait_for_placer_of (fixture_t *fixture, uint32_t first)
{
  uint64_t end_ms = clock_mono_ms () + WAIT_TIMEOUT_MS;

  while (clock_mono_ms () < end_ms)
    {
      instance_t *placer = NULL;
      uint32_t deciding = 0;

      for (uint32_t i = first; i < INSTANCES; i++)
        if (fixture->instances[i].base != NULL
            && strcmp (fixture->zones[i], fixture->zones[first]) == 0
            && !is_decided_by_other (fixture, &fixture->instances[i]))
          {
            placer = &fixture->instances[i];
            deciding++;
          }
      if (deciding == 1)
        return placer;
    }
  g_assert_not_reached ();
}

/** Does the same for zone a. */
static instance_t *
wait_for_placer (fixture_t *fixture)
{
  return wait_for_placer_of (fixture, 0);
}

/** Creates a fixture; with @a is_lone, instance 1 is alone in its zone. */
static fixture_t *
fixture_new_with (bool is_lone)
{
  static const char *const zones[] = { "a", "a" };
  fixture_t *fixture = g_new0 (fixture_t, 1);

  fixture->directory
      = engines_directory_new (NULL, ENGINES, zones, SLOTS, clock_mono_ms ());
  for (uint32_t i = 0; i < INSTANCES; i++)
    {
      choose_free_address (fixture->instances[i].listen);
      fixture->addresses[i] = fixture->instances[i].listen;
      fixture->zones[i]
          = i % 2 == 0 || (is_lone && i != 1) ? (char *)"a" : (char *)"b";
    }
  for (uint32_t i = 0; i < INSTANCES; i++)
    open_instance (fixture, i);
  return fixture;
}

static fixture_t *
fixture_new (void)
{
  return fixture_new_with (false);
}

static void
fixture_free (fixture_t *fixture)
{
  for (uint32_t i = 0; i < INSTANCES; i++)
    close_instance (&fixture->instances[i]);
  talloc_free (fixture->directory);
  g_free (fixture);
}

/** Starts a call at each live instance of zone a, @a each times. */
static uint32_t
start_calls (fixture_t *fixture, uint32_t each, call_t *calls)
{
  uint32_t count = 0;

  for (uint32_t turn = 0; turn < each; turn++)
    for (uint32_t i = 0; i < INSTANCES; i += 2)
      if (fixture->instances[i].base != NULL)
        start_call (&fixture->instances[i], &calls[count++]);
  return count;
}

static bool
all_answered (const call_t *calls, uint32_t count)
{
  for (uint32_t i = 0; i < count; i++)
    if (!calls[i].is_answered)
      return false;
  return true;
}

/** Starts calls for all slots at the same moment, and waits for their answers;
 * returns how many of them got a slot that another one has. */
static uint32_t
fill_once (fixture_t *fixture, call_t calls[ENGINES * SLOTS])
{
  GHashTable *taken = g_hash_table_new (g_int64_hash, g_int64_equal);
  uint32_t count = start_calls (fixture, ENGINES * SLOTS / 3, calls);
  uint32_t collisions = 0;

  g_assert_cmpuint (count, ==, ENGINES * SLOTS);
  WAIT (all_answered (calls, count), NULL);
  for (uint32_t i = 0; i < count; i++)
    {
      uint64_t *key = &calls[i].answer.upstream;
      guint used = GPOINTER_TO_UINT (g_hash_table_lookup (taken, key));

      g_assert_cmpint (calls[i].answer.kind, ==, PLACEMENT_SEND);
      collisions += used >= SLOTS;
      g_hash_table_insert (taken, key, GUINT_TO_POINTER (used + 1));
    }
  g_hash_table_destroy (taken);
  return collisions;
}

static void
end_calls (call_t calls[ENGINES * SLOTS])
{
  for (uint32_t i = 0; i < ENGINES * SLOTS; i++)
    end_call (&calls[i]);
}

/** Does the same and ends the calls. */
static uint32_t
count_collisions (fixture_t *fixture)
{
  call_t calls[ENGINES * SLOTS];
  uint32_t collisions = fill_once (fixture, calls);

  end_calls (calls);
  return collisions;
}

/** Returns how many requests were placed by other instances of zone a than @a
 * placer. */
static double
count_placed_by_others (const fixture_t *fixture, const instance_t *placer)
{
  double count = 0;

  for (uint32_t i = 0; i < INSTANCES; i += 2)
    if (&fixture->instances[i] != placer)
      count += metric_of (&fixture->instances[i],
                          "lwm_placement_decisions_total{by=\"self\"} ")
               + metric_of (&fixture->instances[i],
                            "lwm_placement_decisions_total{by=\"self_for_others"
                            "\"} ");
  return count;
}

/** Returns whether every instance of zone a knows the jobs of all calls. */
static bool
are_known (const fixture_t *fixture, const call_t calls[ENGINES * SLOTS])
{
  for (uint32_t i = 0; i < INSTANCES; i += 2)
    for (uint32_t j = 0; j < ENGINES * SLOTS; j++)
      if (upstream_set_job (fixture->instances[i].set, calls[j].request.id)
          == NULL)
        return false;
  return true;
}

/** Fills every slot with one call and waits until zone a knows that. Only
 * requests that the placer did not answer in time, and which another instance
 * therefore placed, may have taken a slot twice; the calls are made again then.
 */
static void
fill_slots (fixture_t *fixture,
            const instance_t *placer,
            call_t calls[ENGINES * SLOTS])
{
  for (uint32_t tries = 0; tries < MAX_TRIES; tries++)
    {
      double before = count_placed_by_others (fixture, placer);
      uint32_t collisions = fill_once (fixture, calls);
      double by_others = count_placed_by_others (fixture, placer) - before;

      g_test_message ("collisions=%u by_others=%.0f", collisions, by_others);
      g_assert_true (collisions == 0 || by_others > 0);
      if (collisions == 0)
        {
          WAIT (are_known (fixture, calls), NULL);
          return;
        }
      end_calls (calls);
      run_for (fixture, NULL, SETTLE_MS);
    }
  g_assert_not_reached ();
}

/** Calls of all instances at the same moment fill every slot and no slot twice.
 * That holds while the placer answers in time, so a try in which the loops
 * stood still is made again. */
static void
test_no_collisions (void)
{
  fixture_t *fixture = fixture_new ();
  uint32_t collisions;
  uint32_t tries = 0;

  wait_for_placer (fixture);
  do
    {
      run_for (fixture, NULL, SETTLE_MS);
      slowest_round_ms = 0;
      collisions = count_collisions (fixture);
      g_test_message ("collisions=%u slowest_round_ms=%ju", collisions,
                      (uintmax_t)slowest_round_ms);
    }
  while (slowest_round_ms > QUICK_ROUND_MS && ++tries < MAX_TRIES);
  g_assert_cmpuint (slowest_round_ms, <=, QUICK_ROUND_MS);
  g_assert_cmpuint (collisions, ==, 0);
  fixture_free (fixture);
}

/** The jobs of a zone reach the placer of the other zone, which then chooses
 * other engines. */
static void
test_zones_know_each_other (void)
{
  fixture_t *fixture = fixture_new ();
  call_t calls[3];
  instance_t *other = NULL;

  wait_for_placer (fixture);
  run_for (fixture, NULL, 1500);
  start_calls (fixture, 1, calls);
  WAIT (all_answered (calls, 3), NULL);
  for (uint32_t i = 1; i < INSTANCES; i += 2)
    if (!is_decided_by_other (fixture, &fixture->instances[i]))
      other = &fixture->instances[i];
  g_assert_nonnull (other);
  for (uint32_t i = 0; i < 3; i++)
    WAIT (upstream_set_job (other->set, calls[i].request.id) != NULL, NULL);
  end_call (&calls[0]);
  WAIT (upstream_set_job (other->set, calls[0].request.id) == NULL, NULL);
  fixture_free (fixture);
}

/** A request that finds no room waits at the placer, and is answered when
 * another instance's request ends. */
static void
test_queued_at_placer (void)
{
  fixture_t *fixture = fixture_new ();
  call_t calls[ENGINES * SLOTS];
  call_t waiting;

  fill_slots (fixture, wait_for_placer (fixture), calls);
  start_call (&fixture->instances[0], &waiting);
  WAIT (waiting.was_queued, NULL);
  run_for (fixture, NULL, 1000);
  g_assert_false (waiting.is_answered);
  g_assert_true (zone_ask_is_queued (waiting.ask));
  end_call (&calls[1]);
  WAIT (waiting.is_answered, NULL);
  g_assert_cmpint (waiting.answer.kind, ==, PLACEMENT_SEND);
  fixture_free (fixture);
}

/** Decider lost: requests in progress and later ones are answered within a
 * bound, and another instance takes over. */
static void
test_placer_lost (void)
{
  fixture_t *fixture = fixture_new ();
  instance_t *placer = wait_for_placer (fixture);
  call_t calls[INSTANCES];
  uint64_t begun_ms;
  uint32_t count;

  close_instance (placer);
  begun_ms = clock_mono_ms ();
  count = start_calls (fixture, 2, calls);
  WAIT (all_answered (calls, count), NULL);
  g_assert_cmpuint (clock_mono_ms () - begun_ms, <, ANSWER_BOUND_MS);
  for (uint32_t i = 0; i < count; i++)
    {
      g_assert_cmpint (calls[i].answer.kind, ==, PLACEMENT_SEND);
      end_call (&calls[i]);
    }
  g_assert_true (wait_for_placer (fixture) != placer);
  fixture_free (fixture);
}

/** Decider slow: it stands still and comes back. Requests do not wait for it,
 * its late answers leave no jobs behind, and it takes over again. */
static void
test_placer_stands_still (void)
{
  fixture_t *fixture = fixture_new ();
  instance_t *placer = wait_for_placer (fixture);
  call_t calls[INSTANCES];
  uint32_t count = 0;
  uint64_t begun_ms = clock_mono_ms ();

  for (uint32_t i = 0; i < INSTANCES; i += 2)
    if (&fixture->instances[i] != placer)
      start_call (&fixture->instances[i], &calls[count++]);
  WAIT (all_answered (calls, count), placer);
  g_assert_cmpuint (clock_mono_ms () - begun_ms, <, ANSWER_BOUND_MS);
  for (uint32_t i = 0; i < count; i++)
    end_call (&calls[i]);
  run_for (fixture, placer, 1500);
  g_assert_true (wait_for_placer (fixture) == placer);
  run_for (fixture, NULL, 2500);
  for (uint32_t i = 0; i < INSTANCES; i += 2)
    {
      size_t members_count;
      const upstream_member_t *const *members
          = upstream_set_members (fixture->instances[i].set, &members_count);

      for (size_t j = 0; j < members_count; j++)
        g_assert_cmpuint (members[j]->jobs->len, ==, 0);
    }
  fixture_free (fixture);
}

/** A request that is queued at a placer which is lost is decided by another
 * instance. */
static void
test_queue_lost_with_placer (void)
{
  fixture_t *fixture = fixture_new ();
  instance_t *placer = wait_for_placer (fixture);
  call_t calls[ENGINES * SLOTS];
  call_t waiting[2] = { 0 };
  uint32_t waiting_count = 0;

  fill_slots (fixture, placer, calls);
  for (uint32_t i = 0; i < INSTANCES; i += 2)
    if (&fixture->instances[i] != placer)
      start_call (&fixture->instances[i], &waiting[waiting_count++]);
  WAIT (waiting[0].was_queued && waiting[1].was_queued, NULL);
  WAIT (metric_of (placer, "\nlwm_placement_queued ") == waiting_count, NULL);
  close_instance (placer);
  for (uint32_t i = 0; i < ENGINES * SLOTS; i++)
    if (calls[i].instance != placer)
      end_call (&calls[i]);
  WAIT (all_answered (waiting, waiting_count), NULL);
  g_assert_cmpint (waiting[0].answer.kind, ==, PLACEMENT_SEND);
  fixture_free (fixture);
}

/** Begins the jobs of a request whose helper has reserved memory; returns the
 * id of the helper's job. */
static uint64_t
begin_with_reservation (instance_t *instance)
{
  size_t count;
  uint64_t key = upstream_set_members (instance->set, &count)[0]->key;
  placement_request_t request = { .id = 500,
                                  .service = "engines",
                                  .prompt_tokens = 300000,
                                  .target_ms = 3000,
                                  .arrived_ms = clock_mono_ms () };
  placement_answer_t answer = { .upstream = key,
                                .helpers = { key },
                                .helper_count = 1,
                                .memory_tokens = { 90000 },
                                .memory_count = 1 };

  zone_placement_begin (instance->placement, &request, &answer);
  return request.id + 1;
}

/** Returns an instance of another zone that knows a job of instance 1, or
 * NULL. */
static instance_t *
find_knowing (fixture_t *fixture, uint64_t job_id)
{
  for (uint32_t i = 0; i < INSTANCES; i++)
    if (strcmp (fixture->zones[i], fixture->zones[1]) != 0
        && upstream_set_job (fixture->instances[i].set, job_id) != NULL)
      return &fixture->instances[i];
  return NULL;
}

/** Returns whether an instance has to release the reservation of a job. */
static bool
is_orphaned (const fixture_t *fixture, uint64_t job_id)
{
  for (uint32_t i = 0; i < INSTANCES; i++)
    if (fixture->instances[i].orphan == job_id)
      return true;
  return false;
}

/** The only instance of a zone is killed and restarts at once. Nobody in its
 * zone knows its reservation, so an instance of another zone releases it before
 * the memory counts as leaked. */
static void
test_reservation_of_lone_instance (void)
{
  fixture_t *fixture = fixture_new_with (true);
  uint64_t job_id;
  uint64_t lost_ms;

  wait_for_placer (fixture);
  run_for (fixture, NULL, 1500);
  job_id = begin_with_reservation (&fixture->instances[1]);
  WAIT (find_knowing (fixture, job_id) != NULL, NULL);
  close_instance (&fixture->instances[1]);
  lost_ms = clock_mono_ms ();
  open_instance (fixture, 1);
  WAIT (is_orphaned (fixture, job_id), NULL);
  g_assert_cmpuint (clock_mono_ms () - lost_ms, <, MEMORY_FREE_MS);
  fixture_free (fixture);
}

/** The placer of a zone is lost. What another instance of the zone has reserved
 * is reported by the stand-by, and stays. */
static void
test_reservation_survives_placer (void)
{
  fixture_t *fixture = fixture_new ();
  instance_t *placer;
  instance_t *holder = &fixture->instances[1];
  uint64_t job_id;

  wait_for_placer (fixture);
  placer = wait_for_placer_of (fixture, 1);
  run_for (fixture, NULL, 1500);
  for (uint32_t i = 1; i < INSTANCES; i += 2)
    if (&fixture->instances[i] != placer)
      holder = &fixture->instances[i];
  job_id = begin_with_reservation (holder);
  WAIT (find_knowing (fixture, job_id) != NULL, NULL);
  close_instance (placer);
  run_for (fixture, NULL, 6000);
  g_assert_nonnull (find_knowing (fixture, job_id));
  g_assert_false (is_orphaned (fixture, job_id));
  fixture_free (fixture);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  base_init ("t8073-zone-placement");
  logging_init (LOGGING_ERROR);
  g_test_add_func ("/zone-placement/no-collisions", test_no_collisions);
  g_test_add_func ("/zone-placement/zones", test_zones_know_each_other);
  g_test_add_func ("/zone-placement/queued", test_queued_at_placer);
  g_test_add_func ("/zone-placement/placer-lost", test_placer_lost);
  g_test_add_func ("/zone-placement/placer-stands-still",
                   test_placer_stands_still);
  g_test_add_func ("/zone-placement/queue-lost", test_queue_lost_with_placer);
  g_test_add_func ("/zone-placement/reservation-of-lone-instance",
                   test_reservation_of_lone_instance);
  g_test_add_func ("/zone-placement/reservation-survives-placer",
                   test_reservation_survives_placer);
  return g_test_run ();
}
