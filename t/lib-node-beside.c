#include "lib-node-beside.h"

#include <signal.h>
#include <stdlib.h>

#define SLOTS             64
#define LOOK_MS           5
#define FIRST_VERSION     5
#define UNANSWERED_ORDERS 3
#define EARLIER_REQUESTS  30
/** A sanitized process looks for leaks after its last answer. */
#ifdef __SANITIZE_ADDRESS__
#define LEAK_CHECK_MS 5000
#else
#define LEAK_CHECK_MS 0
#endif

static node_beside_t shared;

uint32_t
node_beside_number (const char *name, uint32_t value)
{
  const char *text = g_getenv (name);

  return text != NULL ? (uint32_t)strtoul (text, NULL, 10) : value;
}

process_t *
node_beside_entry (const node_beside_t *fixture)
{
  return fixture->nodes->process[NODES_ENTRY];
}

void
node_beside_put_routes (node_beside_t *fixture, node_routes_options_t options)
{
  options.version = ++fixture->version;
  CLUSTER_WAIT (node_routes_put (fixture->nodes, 0, &options) == 200);
}

node_beside_t *
node_beside_set_up (uint32_t stop_timeout_s)
{
  node_beside_t *fixture = &shared;

  if (fixture->nodes == NULL)
    {
      nodes_options_t nodes = { .version = FIRST_VERSION,
                                .stop_timeout_s = stop_timeout_s,
                                .has_all_kinds = true };
      node_upstreams_options_t upstreams
          = { .slots = SLOTS,
              .has_engines = true,
              .unanswered_orders = UNANSWERED_ORDERS };

      fixture->nodes = nodes_new_with (&nodes);
      upstreams.nodes = fixture->nodes;
      fixture->upstreams = node_upstreams_new_with (&upstreams);
      fixture->version = FIRST_VERSION;
    }
  else
    {
      fixture->nodes->stop_timeout_s = stop_timeout_s;
      nodes_start (fixture->nodes, NODES_ENTRY, false);
    }
  node_beside_put_routes (fixture, (node_routes_options_t){ 0 });
  node_callers_wait_served (fixture->nodes, "/resumed/1/10/0");
  node_callers_wait_served (fixture->nodes, "/prompt/1/10/0");
  node_callers_wait_served (fixture->nodes, "/paused/0");
  /* Retries are limited to a share of the requests. */
  for (int i = 0; i < EARLIER_REQUESTS; i++)
    node_callers_wait_served (fixture->nodes, "/safe/0");
  return fixture;
}

void
node_beside_tear_down (void)
{
  if (shared.nodes == NULL)
    return;
  process_signal (node_beside_entry (&shared), SIGKILL);
  node_upstreams_free (shared.upstreams);
  nodes_free (shared.nodes);
}

node_callers_t *
node_beside_callers (const node_beside_t *fixture, uint32_t seed)
{
  node_callers_options_t options = { .nodes = fixture->nodes, .seed = seed };

  return node_callers_new (&options);
}

uint32_t
node_beside_passed_ms (const node_stop_t *stop)
{
  return (uint32_t)((g_get_monotonic_time () - stop->sigterm_us) / 1000);
}

void
node_beside_wait_until (const node_stop_t *stop, uint32_t time_ms)
{
  while (node_beside_passed_ms (stop) < time_ms)
    cluster_sleep_ms (LOOK_MS);
}

node_stop_t
node_beside_begin_stop (const node_beside_t *fixture)
{
  node_stop_t stop = { .sigterm_us = g_get_monotonic_time (),
                       .timeout_ms = fixture->nodes->stop_timeout_s * 1000 };

  process_signal (node_beside_entry (fixture), SIGTERM);
  return stop;
}

/** Waits for the end of the process and kills it when the stop timeout is over;
 * returns whether it ended by itself. */
static bool
wait_end (const node_beside_t *fixture, const node_stop_t *stop)
{
  process_t *entry = node_beside_entry (fixture);

  while (process_running (entry)
         && node_beside_passed_ms (stop) < stop->timeout_ms + LEAK_CHECK_MS)
    cluster_sleep_ms (LOOK_MS);
  g_test_message ("ended after %u ms", node_beside_passed_ms (stop));
  if (process_running (entry))
    {
      process_print_log (entry);
      process_signal (entry, SIGKILL);
      return false;
    }
  process_expect_success (entry);
  return true;
}

/** Waits for the end, and checks what the callers got. */
uint32_t
node_beside_finish (const node_beside_t *fixture,
                    node_callers_t *callers,
                    const node_stop_t *stop)
{
  bool has_ended = wait_end (fixture, stop);
  node_outcome_t outcome;

  node_callers_finish (callers);
  outcome = node_callers_check (callers, fixture->upstreams, stop);
  g_assert_cmpuint (outcome.requests, >, 0);
  return outcome.faults + !has_ended;
}

/** Adds a number of each of the requests, which are all served if the stop
 * takes nothing from them. */
void
node_beside_add_calls (node_callers_t *callers,
                       const node_call_t *calls,
                       size_t count,
                       uint32_t each)
{
  for (size_t i = 0; i < count; i++)
    node_calls_add (callers, &calls[i], each, 30);
}

/** Returns how many of the requests were not served, and prints which. */
uint32_t
node_beside_count_unserved (const node_callers_t *callers,
                            const node_call_t *calls,
                            size_t count)
{
  uint32_t unserved = 0;

  for (size_t i = 0; i < count; i++)
    {
      node_calls_count_t of_path = node_calls_count (callers, calls[i].path);

      if (of_path.served < of_path.requests)
        g_printerr ("%s: %u of %u served\n", calls[i].path, of_path.served,
                    of_path.requests);
      unserved += of_path.requests - of_path.served;
    }
  return unserved;
}
