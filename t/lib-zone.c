#include "lib-zone.h"

#include <event2/buffer.h>
#include <event2/event.h>
#include <string.h>
#include <talloc.h>

#include "lib-address.h"
#include "lib-engines.h"

#define BIND_TRIES    200
#define BIND_PAUSE_US 20000

static const engine_model_t model = { .slots = ZONE_SLOTS,
                                      .kv_tokens = 232000,
                                      .steps_per_pass = 43,
                                      .read_step_tokens = 2048,
                                      .step_ms = 1.02,
                                      .read_tokens_s = 206000,
                                      .read_pairs_ms = 0.138 };

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
  zone_instance_t *instance = context;

  instance->orphan = job->id;
}

void
zone_fixture_open (zone_fixture_t *fixture, uint32_t index)
{
  zone_instance_t *instance = &fixture->instances[index];
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
                                fixture->zones, ZONE_INSTANCES);
}

void
zone_fixture_close (zone_instance_t *instance)
{
  if (instance->base == NULL)
    return;
  TALLOC_FREE (instance->placement);
  talloc_free (instance->metrics);
  talloc_free (instance->set);
  event_base_free (instance->base);
  instance->base = NULL;
}

uint64_t zone_slowest_round_ms;

void
zone_fixture_run_once (zone_fixture_t *fixture, const zone_instance_t *paused)
{
  uint64_t begun_ms = clock_mono_ms ();

  for (uint32_t i = 0; i < ZONE_INSTANCES; i++)
    if (fixture->instances[i].base != NULL && &fixture->instances[i] != paused)
      event_base_loop (fixture->instances[i].base, EVLOOP_NONBLOCK);
  g_usleep (300);
  zone_slowest_round_ms
      = MAX (zone_slowest_round_ms, clock_mono_ms () - begun_ms);
}

void
zone_fixture_run_for (zone_fixture_t *fixture,
                      const zone_instance_t *paused,
                      uint32_t ms)
{
  uint64_t end_ms = clock_mono_ms () + ms;

  while (clock_mono_ms () < end_ms)
    zone_fixture_run_once (fixture, paused);
}

double
zone_fixture_metric (const zone_instance_t *instance, const char *sample)
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
  zone_call_t *call = context;

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

void
zone_call_start (zone_instance_t *instance, zone_call_t *call)
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

  *call = (zone_call_t){ .instance = instance };
  call->ask
      = zone_placement_ask (instance->placement, &request, on_answer, call);
}

void
zone_call_end (zone_call_t *call)
{
  zone_placement_end (call->instance->placement, call->request.id,
                      UPSTREAM_JOB_GOOD);
}

bool
zone_call_is_decided_by_other (zone_fixture_t *fixture,
                               zone_instance_t *instance)
{
  double before = zone_fixture_metric (
      instance, "lwm_placement_decisions_total{by=\"placer\"} ");
  zone_call_t call;

  zone_call_start (instance, &call);
  ZONE_WAIT (call.is_answered, NULL);
  zone_call_end (&call);
  zone_fixture_run_for (fixture, NULL, 50);
  return zone_fixture_metric (instance,
                              "lwm_placement_decisions_total{by=\"placer\"} ")
         > before;
}

zone_instance_t *
zone_fixture_wait_for_placer_of (zone_fixture_t *fixture, uint32_t first)
{
  uint64_t end_ms = clock_mono_ms () + ZONE_WAIT_TIMEOUT_MS;

  while (clock_mono_ms () < end_ms)
    {
      zone_instance_t *placer = NULL;
      uint32_t deciding = 0;

      for (uint32_t i = first; i < ZONE_INSTANCES; i++)
        if (fixture->instances[i].base != NULL
            && strcmp (fixture->zones[i], fixture->zones[first]) == 0
            && !zone_call_is_decided_by_other (fixture, &fixture->instances[i]))
          {
            placer = &fixture->instances[i];
            deciding++;
          }
      if (deciding == 1)
        return placer;
    }
  g_assert_not_reached ();
}

zone_instance_t *
zone_fixture_wait_for_placer (zone_fixture_t *fixture)
{
  return zone_fixture_wait_for_placer_of (fixture, 0);
}

zone_fixture_t *
zone_fixture_new_with (bool is_lone)
{
  static const char *const zones[] = { "a", "a" };
  zone_fixture_t *fixture = g_new0 (zone_fixture_t, 1);

  fixture->directory = engines_directory_new (NULL, ZONE_ENGINES, zones, 2,
                                              ZONE_SLOTS, clock_mono_ms ());
  for (uint32_t i = 0; i < ZONE_INSTANCES; i++)
    {
      choose_free_address (fixture->instances[i].listen);
      fixture->addresses[i] = fixture->instances[i].listen;
      fixture->zones[i]
          = i % 2 == 0 || (is_lone && i != 1) ? (char *)"a" : (char *)"b";
    }
  for (uint32_t i = 0; i < ZONE_INSTANCES; i++)
    zone_fixture_open (fixture, i);
  return fixture;
}

zone_fixture_t *
zone_fixture_new (void)
{
  return zone_fixture_new_with (false);
}

void
zone_fixture_free (zone_fixture_t *fixture)
{
  for (uint32_t i = 0; i < ZONE_INSTANCES; i++)
    zone_fixture_close (&fixture->instances[i]);
  talloc_free (fixture->directory);
  g_free (fixture);
}
