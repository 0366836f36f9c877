/*
 * The planned stop of an entry instance beside upstreams that are slow, silent,
 * failing or leaving, and beside reserved memory, with real processes. Nothing
 * that was read is lost or called not run though it ran. Issue 49.
 */
#include "lib-node-beside.h"

#define STOP_TIMEOUT_S 8
/** A long prompt, which needs the memory of two engines. */
#define LONG_PROMPT "Model: m\r\n" NODES_FIELD_TOKENS ": 150000,300\r\n"

/** One stop beside requests that end at least a second before its end. Each
 * has to be served. Returns the faults. */
static uint32_t
stop_beside_calls (node_beside_t *fixture,
                   const node_call_t *calls,
                   size_t count,
                   uint32_t each)
{
  node_callers_t *callers = node_beside_callers (fixture, 1);
  node_stop_t stop;
  uint32_t faults;

  node_beside_add_calls (callers, calls, count, each);
  cluster_sleep_ms (NODE_BESIDE_SIGTERM_MS);
  stop = node_beside_begin_stop (fixture);
  node_beside_wait_until (&stop, 300);
  node_upstreams_set_leaving (fixture->upstreams, 1, true);
  faults = node_beside_finish (fixture, callers, &stop);
  node_upstreams_set_leaving (fixture->upstreams, 1, false);
  faults += node_beside_count_unserved (callers, calls, count);
  node_callers_free (callers);
  return faults;
}

static void
run_calls (const node_call_t *calls, size_t count, uint32_t each)
{
  uint32_t rounds = node_beside_number ("LWM_BESIDE_ROUNDS", 1);
  uint32_t faults = 0;

  for (uint32_t i = 0; i < rounds; i++)
    faults += stop_beside_calls (node_beside_set_up (STOP_TIMEOUT_S), calls,
                                 count, each);
  g_assert_cmpuint (faults, ==, 0);
}

/** Guards against answers that are cut because their upstream is slow, silent
 * for seconds, leaves, or sends no length, while the instance stops. */
static void
test_slow_upstreams (void)
{
  static const node_call_t calls[]
      = { { .path = "/stream/3/40/1900" },
          { .path = "/stream/2/40/2600" },
          { .path = "/stream/20/40/200/close" },
          { .path = "/stream/3/41/1700/close" },
          { .path = "/unsafe/5000" },
          { .path = "/unsafe/3000/close" },
          { .path = "/safe/2000" },
          { .path = "/safe/1500/close" },
          { .path = "/stream/3/42/1500", .begin_ms = 1200, .body_ms = 400 },
          { .path = "/unsafe/2500", .begin_ms = 1600 } };

  run_calls (calls, G_N_ELEMENTS (calls), NODE_BESIDE_FEW);
}

/** Guards against streams that end early because they were resumed at another
 * upstream, or were to be, while the instance stops. Each is one, as an
 * instance without others has a small budget for retries. */
static void
test_resumed_streams (void)
{
  static const node_call_t calls[]
      = { { .path = "/resumed/40/40/100/break/3" },
          { .path = "/resumed/30/40/100/break/13" },
          { .path = "/resumed/3/40/1700" } };

  run_calls (calls, G_N_ELEMENTS (calls), 1);
}

/** Guards against a stream that is not moved whole to another upstream when its
 * own is silent while the instance stops. */
static void
test_silent_upstream (void)
{
  static const node_call_t calls[]
      = { { .path = "/resumed/20/40/100/silent/4/4000" } };

  run_calls (calls, G_N_ELEMENTS (calls), 1);
}

/** Guards against a stream that is cut because its upstream was silent and no
 * other one took it, though its own goes on. */
static void
test_silent_without_other (void)
{
  static const node_call_t calls[]
      = { { .path = "/resumed/20/40/100/silent/4/2500/alone" } };

  run_calls (calls, G_N_ELEMENTS (calls), NODE_BESIDE_FEW);
}

/** Guards against long prompts that lose their answer, or are called not run
 * though they ran, while memory is reserved or released for them. */
static void
test_reserved_memory (void)
{
  static const node_call_t calls[] = {
    { .path = "/prompt/30/40/100", .fields = LONG_PROMPT },
    { .path = "/prompt/50/40/100", .fields = LONG_PROMPT },
    { .path = "/prompt/20/41/100", .fields = LONG_PROMPT, .begin_ms = 760 },
    { .path = "/prompt/20/42/100", .fields = LONG_PROMPT, .begin_ms = 1200 },
    { .path = "/prompt/20/43/100", .begin_ms = 1000 }
  };
  node_beside_t *fixture = node_beside_set_up (STOP_TIMEOUT_S);
  node_callers_t *callers = node_beside_callers (fixture, 1);
  node_memory_t memory;
  node_stop_t stop;
  uint32_t faults;

  node_beside_add_calls (callers, calls, G_N_ELEMENTS (calls), NODE_BESIDE_FEW);
  cluster_sleep_ms (NODE_BESIDE_SIGTERM_MS);
  stop = node_beside_begin_stop (fixture);
  faults = node_beside_finish (fixture, callers, &stop);
  for (size_t i = 0; i < G_N_ELEMENTS (calls); i++)
    {
      node_calls_count_t count = node_calls_count (callers, calls[i].path);

      g_test_message ("%s: %u of %u served", calls[i].path, count.served,
                      count.requests);
    }
  memory = node_upstreams_memory (fixture->upstreams);
  g_test_message ("reserve=%u release=%u held=%u used=%u",
                  memory.reserve_orders, memory.release_orders, memory.held,
                  memory.used_ran);
  node_callers_free (callers);
  g_assert_cmpuint (memory.used_ran, >, 0);
  g_assert_cmpuint (faults, ==, 0);
}

int
main (int argc, char **argv)
{
  int code;

  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/node-stop-beside/slow-upstreams", test_slow_upstreams);
  g_test_add_func ("/node-stop-beside/resumed-streams", test_resumed_streams);
  g_test_add_func ("/node-stop-beside/silent-upstream", test_silent_upstream);
  g_test_add_func ("/node-stop-beside/silent-without-other",
                   test_silent_without_other);
  g_test_add_func ("/node-stop-beside/reserved-memory", test_reserved_memory);
  code = g_test_run ();
  node_beside_tear_down ();
  return code;
}
