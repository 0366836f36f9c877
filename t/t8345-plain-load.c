/*
 * Plain calls that may run at most once on three simulated upstreams of 6 slots
 * with a queue of 24 each, through a placer, in simulated time. The loads: a
 * burst of 3x for 3 s, the same while one upstream is slower by 5 or gone. A
 * call is answered, or refused without having run; one that cannot be served
 * before its deadline is refused while its caller can still try elsewhere.
 */
#include <glib.h>
#include <stdio.h>
#include <string.h>
#include <talloc.h>

#include "placer.h"

#define UPSTREAMS   3
#define SLOTS       6
#define QUEUE       24
#define WORK_MS     15
#define TARGET_MS   120
#define DEADLINE_MS 1500
#define LAG_MS      2 /* from the placer to an upstream, and back */
#define START_MS    100000
#define LENGTH_MS   9000
#define BURST_MS    3000
#define BURST_FOR   3000
#define DRAIN_MS    3000
/** Requests per ms, half of what the upstreams can serve. */
#define RATE      (0.5 * UPSTREAMS * SLOTS / WORK_MS)
#define RUN_EACH  2
#define PASS_EACH 20
#define SLOWNESS  5
#define LOST_MS   (BURST_MS + 1000)

typedef enum
{
  CALL_ASKED,
  CALL_SENT,    /* on its way to the upstream */
  CALL_WAITING, /* in the upstream's queue */
  CALL_RUNNING,
  CALL_RUN, /* its answer is on its way */
  CALL_OVER,
} call_state_t;

typedef struct
{
  placement_request_t request;
  call_state_t state;
  uint32_t upstream;
  uint64_t at_ms; /* of the next step */
  uint64_t sent_ms;
  uint32_t runs;
} call_t;

typedef struct
{
  uint32_t slow; /* upstream that is slower, or UPSTREAMS */
  uint32_t lost; /* upstream that ends at LOST_MS, or UPSTREAMS */
} load_t;

typedef struct
{
  uint32_t asked;
  uint32_t in_time;
  uint32_t late;
  uint32_t refused;
  uint32_t refused_late; /* only at the deadline */
  uint32_t failed;       /* cut after they had been sent */
  uint32_t shed;         /* by a full upstream */
  uint32_t most_waiting; /* in the queue of an upstream */
  double worst_ms;       /* longest time of an answer */
} result_t;

typedef struct
{
  const load_t *load;
  directory_t *directory;
  upstream_set_t *set;
  placer_t *placer;
  GPtrArray *calls; /* call_t */
  uint64_t keys[UPSTREAMS];
  uint64_t now_ms;
  result_t result;
} world_t;

static bool
find_service (const char *name, placer_service_t *service, void *context)
{
  return g_str_equal (name, "plain");
}

static void
on_answer (const placement_request_t *request,
           const placement_answer_t *answer,
           void *context)
{
  world_t *world = context;
  call_t *call
      = g_ptr_array_index (world->calls, request->id / PLACEMENT_MAX_JOBS - 1);

  if (answer->kind == PLACEMENT_QUEUED)
    return;
  if (answer->kind != PLACEMENT_SEND)
    {
      g_assert_cmpuint (call->runs, ==, 0);
      g_assert_cmpuint (answer->retry_ms, >, 0);
      world->result.refused++;
      call->state = CALL_OVER;
      return;
    }
  for (call->upstream = 0; world->keys[call->upstream] != answer->upstream;)
    call->upstream++;
  call->state = CALL_SENT;
  call->sent_ms = world->now_ms;
  call->at_ms = world->now_ms + LAG_MS;
}

static void
world_init (world_t *world, const load_t *load)
{
  upstream_set_options_t set = { 0 };
  placer_options_t placer = { .zone = "a",
                              .find_service = find_service,
                              .on_answer = on_answer,
                              .context = world };
  size_t count;

  *world = (world_t){ .load = load,
                      .now_ms = START_MS,
                      .calls = g_ptr_array_new_with_free_func (g_free) };
  world->directory = directory_new (NULL);
  for (uint32_t i = 0; i < UPSTREAMS; i++)
    {
      char id[16];
      char address[32];
      directory_statement_t said = { .id = id,
                                     .address = address,
                                     .zone = "a",
                                     .service = "plain",
                                     .born_ms = 1,
                                     .sequence = 1,
                                     .slots = SLOTS };

      snprintf (id, sizeof id, "plain-%u", i);
      snprintf (address, sizeof address, "10.0.0.%u:80", i + 1);
      directory_put (world->directory, &said, START_MS);
    }
  world->set = placer.set = upstream_set_new (NULL, &set);
  upstream_set_sync (world->set, world->directory, START_MS);
  for (uint32_t i = 0; i < UPSTREAMS; i++)
    world->keys[i] = upstream_set_members (world->set, &count)[i]->key;
  world->placer = placer_new (NULL, &placer);
}

static void
world_clear (world_t *world)
{
  talloc_free (world->placer);
  talloc_free (world->set);
  talloc_free (world->directory);
  g_ptr_array_free (world->calls, TRUE);
}

static bool
is_lost (const world_t *world, uint32_t upstream)
{
  return upstream == world->load->lost && world->now_ms >= START_MS + LOST_MS;
}

static uint32_t
count_calls (const world_t *world, uint32_t upstream, call_state_t state)
{
  uint32_t count = 0;

  for (guint i = 0; i < world->calls->len; i++)
    {
      const call_t *call = g_ptr_array_index (world->calls, i);

      count += call->state == state && call->upstream == upstream;
    }
  return count;
}

static void
end_call (world_t *world, call_t *call, upstream_job_end_t how)
{
  call->state = CALL_OVER;
  upstream_set_end (world->set, call->request.id, how, world->now_ms);
}

/** Runs a call that waits at an upstream, if a slot is free. */
static void
start_waiting (world_t *world, call_t *call)
{
  if (count_calls (world, call->upstream, CALL_RUNNING) >= SLOTS)
    return;
  call->state = CALL_RUNNING;
  call->runs++;
  call->at_ms
      = world->now_ms
        + WORK_MS * (call->upstream == world->load->slow ? SLOWNESS : 1);
}

/** A call reaches its upstream, which sheds it when its queue is full. */
static void
arrive (world_t *world, call_t *call)
{
  uint32_t waiting = count_calls (world, call->upstream, CALL_WAITING);

  world->result.most_waiting = MAX (world->result.most_waiting, waiting);
  call->state = CALL_WAITING;
  if (waiting < QUEUE)
    return;
  world->result.shed++;
  end_call (world, call, UPSTREAM_JOB_REFUSED);
  call->state = CALL_ASKED;
  placer_ask (world->placer, &call->request, world->now_ms);
}

static void
finish (world_t *world, call_t *call)
{
  double took_ms = (double)(world->now_ms - call->request.arrived_ms);

  upstream_set_add_call_time (world->set, world->keys[call->upstream],
                              (double)(world->now_ms - call->sent_ms),
                              world->now_ms);
  end_call (world, call, UPSTREAM_JOB_GOOD);
  world->result.worst_ms = MAX (world->result.worst_ms, took_ms);
  world->result.in_time += took_ms <= TARGET_MS;
  world->result.late += took_ms > TARGET_MS;
}

static void
step_call (world_t *world, call_t *call)
{
  bool is_at_upstream = call->state == CALL_SENT || call->state == CALL_WAITING
                        || call->state == CALL_RUNNING;

  if (call->state == CALL_ASKED && world->now_ms >= call->request.deadline_ms)
    {
      placer_cancel (world->placer, 0, call->request.id);
      world->result.refused_late++;
      call->state = CALL_OVER;
    }
  else if (is_at_upstream && is_lost (world, call->upstream))
    {
      /* It may have run, so it is not sent again. */
      end_call (world, call, UPSTREAM_JOB_FAILED);
      world->result.failed++;
    }
  else if (call->state == CALL_SENT && world->now_ms >= call->at_ms)
    arrive (world, call);
  else if (call->state == CALL_RUNNING && world->now_ms >= call->at_ms)
    {
      call->state = CALL_RUN;
      call->at_ms = world->now_ms + LAG_MS;
    }
  else if (call->state == CALL_RUN && world->now_ms >= call->at_ms)
    finish (world, call);
  if (call->state == CALL_WAITING)
    start_waiting (world, call);
}

static void
ask_new_call (world_t *world)
{
  call_t *call = g_new0 (call_t, 1);

  g_ptr_array_add (world->calls, call);
  call->request = (placement_request_t){
    .id = (uint64_t)world->calls->len * PLACEMENT_MAX_JOBS,
    .service = "plain",
    .target_ms = TARGET_MS,
    .priority = 1,
    .arrived_ms = world->now_ms,
    .deadline_ms = world->now_ms + DEADLINE_MS,
  };
  world->result.asked++;
  placer_ask (world->placer, &call->request, world->now_ms);
}

static result_t
simulate (const char *name, const load_t *load, double burst)
{
  world_t world;
  double due = 0;
  result_t result;

  world_init (&world, load);
  for (uint32_t t = 0; t < LENGTH_MS + DRAIN_MS; t++)
    {
      bool is_burst = t >= BURST_MS && t < BURST_MS + BURST_FOR;

      world.now_ms = START_MS + t;
      due += t < LENGTH_MS ? RATE * (is_burst ? burst : 1) : 0;
      while (due >= 1)
        {
          due -= 1;
          ask_new_call (&world);
        }
      for (guint i = 0; i < world.calls->len; i++)
        {
          call_t *call = g_ptr_array_index (world.calls, i);

          if (call->state != CALL_OVER)
            step_call (&world, call);
        }
      if (t % RUN_EACH == 0)
        placer_run (world.placer, world.now_ms);
      if (t % PASS_EACH == 0)
        upstream_set_tick (world.set, world.now_ms);
    }
  for (guint i = 0; i < world.calls->len; i++)
    {
      const call_t *call = g_ptr_array_index (world.calls, i);

      g_assert_cmpint (call->state, ==, CALL_OVER);
      g_assert_cmpuint (call->runs, <=, 1);
    }
  result = world.result;
  world_clear (&world);
  g_test_message ("%s: asked=%u in_time=%u late=%u refused=%u refused_late=%u "
                  "failed=%u shed=%u most_waiting=%u worst_ms=%.0f",
                  name, result.asked, result.in_time, result.late,
                  result.refused, result.refused_late, result.failed,
                  result.shed, result.most_waiting, result.worst_ms);
  return result;
}

/** Without a burst, every call is in time and none is refused. */
static void
test_usual (void)
{
  static const load_t load = { UPSTREAMS, UPSTREAMS };
  result_t result = simulate ("usual", &load, 1);

  g_assert_cmpuint (result.in_time, ==, result.asked);
}

/** Checks that no call waits behind a full queue of its upstream, none is held
 * until its deadline, and the rest of the capacity is used in time. */
static void
check_burst (const char *name, const load_t *load)
{
  result_t result = simulate (name, load, 3);

  g_assert_cmpuint (result.shed, ==, 0);
  g_assert_cmpuint (result.most_waiting, <=, SLOTS);
  g_assert_cmpuint (result.refused_late, ==, 0);
  g_assert_cmpfloat (result.worst_ms, <=, DEADLINE_MS);
}

static void
test_burst (void)
{
  static const load_t load = { UPSTREAMS, UPSTREAMS };

  check_burst ("burst of 3x for 3 s", &load);
}

static void
test_one_slow (void)
{
  static const load_t load = { 1, UPSTREAMS };

  check_burst ("burst, one slow by 5", &load);
}

static void
test_one_gone (void)
{
  static const load_t load = { UPSTREAMS, 1 };

  check_burst ("burst, one gone", &load);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/plain-load/usual", test_usual);
  g_test_add_func ("/plain-load/burst", test_burst);
  g_test_add_func ("/plain-load/one-slow", test_one_slow);
  g_test_add_func ("/plain-load/one-gone", test_one_gone);
  return g_test_run ();
}
