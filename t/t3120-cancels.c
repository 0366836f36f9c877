/* Checks how often a request is cancelled at its upstream. */
#include <event2/event.h>
#include <glib.h>
#include <talloc.h>

#include "cancels.h"

#define TIMEOUT_MS 30000

typedef struct
{
  struct event_base *base;
  metrics_t *metrics;
  cancels_t *cancels;
  uint32_t sent;
} rig_t;

/** Cancel operation that is confirmed at once, even for an unknown request. */
static void
cancel (void *context,
        const upstream_target_t *target,
        const char *id,
        upstream_done_cb_t done,
        void *done_context)
{
  rig_t *rig = context;

  rig->sent++;
  done (200, done_context);
}

static const upstream_ops_t ops = { .cancel = cancel };

static void
set_up (rig_t *rig)
{
  cancels_options_t options = { .ops = &ops, .ops_context = rig };

  rig->base = event_base_new ();
  rig->metrics = metrics_new (NULL);
  options.base = rig->base;
  options.metrics = rig->metrics;
  rig->cancels = cancels_new (NULL, &options);
}

static void
run_until_done (rig_t *rig)
{
  gint64 end_us = g_get_monotonic_time () + TIMEOUT_MS * 1000;

  while (cancels_open_count (rig->cancels) > 0
         && g_get_monotonic_time () < end_us)
    event_base_loop (rig->base, EVLOOP_ONCE);
  g_assert_cmpuint (cancels_open_count (rig->cancels), ==, 0);
}

static void
tear_down (rig_t *rig)
{
  talloc_free (rig->cancels);
  talloc_free (rig->metrics);
  event_base_free (rig->base);
}

static const upstream_target_t target
    = { .name = "u", .address = "127.0.0.1:1", .incarnation = 1 };

static void
test_own_request_is_cancelled_once (void)
{
  rig_t rig = { 0 };

  set_up (&rig);
  cancels_add (rig.cancels, CANCEL_STREAM, &target, "r");
  run_until_done (&rig);
  g_assert_cmpuint (rig.sent, ==, 1);
  tear_down (&rig);
}

/* A request that a dead instance sent may reach the upstream after the first
 * cancel, so the cancel is repeated. */
static void
test_orphan_is_cancelled_repeatedly (void)
{
  rig_t rig = { 0 };

  set_up (&rig);
  cancels_add_orphan (rig.cancels, CANCEL_STREAM, &target, "r");
  g_assert_cmpuint (cancels_open_count (rig.cancels), ==, 1);
  run_until_done (&rig);
  g_assert_cmpuint (rig.sent, ==, 3);
  tear_down (&rig);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/cancels/own", test_own_request_is_cancelled_once);
  g_test_add_func ("/cancels/orphan", test_orphan_is_cancelled_repeatedly);
  return g_test_run ();
}
