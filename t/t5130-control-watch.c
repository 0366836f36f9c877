/*
 * How often a client asks control instances that watch over a whole fleet: many
 * clients start together, and what each of them sends is multiplied by their
 * number.
 */
#include <event2/event.h>
#include <glib.h>
#include <stdio.h>
#include <talloc.h>
#include <unistd.h>
#include <zmq.h>

#include "base.h"
#include "control-client.h"
#include "control.pb-c.h"
#include "lib-address.h"
#include "mq.h"

#define INSTANCES 3
#define RUN_MS    3000
/** What an instance with 0.15 of a core bears from each of 300 clients, at 0.05
 * ms of processor time for a watch and with half of its time for other work. */
#define MAX_WATCHES_PER_S 4

/** A control instance that only counts, or answers that it may be behind. */
typedef struct
{
  mq_t *router;
  char address[32];
  bool is_silent;
  uint32_t watches;
} instance_t;

typedef struct
{
  struct event_base *base;
  void *parent;
  instance_t instances[INSTANCES];
  control_client_t *client;
} fleet_t;

static void
answer_stale (instance_t *instance, const mq_frame_t *client)
{
  Lwm__ControlMessage message = LWM__CONTROL_MESSAGE__INIT;
  Lwm__ControlAnswer answer = LWM__CONTROL_ANSWER__INIT;
  Lwm__ControlDirectory directory = LWM__CONTROL_DIRECTORY__INIT;
  uint8_t data[200];
  mq_frame_t frames[2] = { *client, { .data = data } };

  answer.name = instance->address;
  answer.stale = true;
  answer.directory = &directory;
  message.what_case = LWM__CONTROL_MESSAGE__WHAT_ANSWER;
  message.answer = &answer;
  frames[1].size_bytes = lwm__control_message__pack (&message, data);
  mq_send (instance->router, frames, 2);
}

static void
on_message (const mq_frame_t *frames, size_t count, void *context)
{
  instance_t *instance = context;

  g_assert_cmpuint (count, ==, 2);
  instance->watches++;
  if (!instance->is_silent)
    answer_stale (instance, &frames[0]);
}

static void
on_revision (const Lwm__ControlRevision *revision, void *context)
{
}

static void
on_directory (const Lwm__ControlDirectory *part, void *context)
{
}

static fleet_t *
fleet_new (bool is_silent)
{
  fleet_t *fleet = g_new0 (fleet_t, 1);
  char *addresses[INSTANCES];
  control_client_options_t client = { .peers = addresses,
                                      .peer_count = INSTANCES,
                                      .on_revision = on_revision,
                                      .on_directory = on_directory };

  fleet->base = client.base = event_base_new ();
  fleet->parent = talloc_new (NULL);
  for (uint32_t i = 0; i < INSTANCES; i++)
    {
      instance_t *instance = &fleet->instances[i];
      mq_options_t router = { .base = fleet->base,
                              .type = ZMQ_ROUTER,
                              .bind = instance->address,
                              .on_message = on_message,
                              .context = instance };

      choose_free_address (instance->address);
      instance->is_silent = is_silent;
      instance->router = mq_new (fleet->parent, &router);
      g_assert_nonnull (instance->router);
      addresses[i] = instance->address;
    }
  fleet->client = control_client_new (fleet->parent, &client);
  return fleet;
}

static void
fleet_free (fleet_t *fleet)
{
  talloc_free (fleet->parent);
  event_base_free (fleet->base);
  g_free (fleet);
}

static void
expect_few_watches (bool is_silent)
{
  fleet_t *fleet = fleet_new (is_silent);
  struct timeval run = timeval_from_ms (RUN_MS);

  event_base_loopexit (fleet->base, &run);
  event_base_dispatch (fleet->base);
  for (uint32_t i = 0; i < INSTANCES; i++)
    {
      g_assert_cmpuint (fleet->instances[i].watches, >, 0);
      g_assert_cmpuint (fleet->instances[i].watches, <=,
                        MAX_WATCHES_PER_S * RUN_MS / 1000);
    }
  fleet_free (fleet);
}

/* Guards against: a control instance that is asked more often the slower it is,
 * until it does nothing else (SHORT). */
static void
test_slow_instance_is_not_flooded (void)
{
  expect_few_watches (true);
}

/* Guards against: instances without a leader that are all asked in turn without
 * a pause, because each answers that it may be behind (SHORT). */
static void
test_stale_instances_are_not_flooded (void)
{
  expect_few_watches (false);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/control-watch/slow-instance-is-not-flooded",
                   test_slow_instance_is_not_flooded);
  g_test_add_func ("/control-watch/stale-instances-are-not-flooded",
                   test_stale_instances_are_not_flooded);
  return g_test_run ();
}
