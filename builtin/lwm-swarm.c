/**
 * @file lwm-swarm.c
 * Simulates the announcements of many upstreams in one process, to measure what
 * entry instances spend on them. The simulated upstreams serve no requests;
 * their load is a random walk, similar to the load of busy engines.
 */
#include <event2/event.h>
#include <glib.h>
#include <stdio.h>
#include <talloc.h>

#include "base.h"
#include "daemon.h"
#include "http.h"
#include "logging.h"
#include "settings.h"
#include "settings.pb-c.h"

#define KV_TOKENS        400000
#define MAX_BATCH        64
#define PREFILL_TOKENS_S 30000
#define STEP_US          15000
/* Largest change of the number of running streams between two
 * announcements. */
#define MAX_LOAD_STEP        2
#define KV_TOKENS_PER_STREAM 6000
#define MAX_UPSTREAMS        10000
#define CALL_TIMEOUT_MS      3000
/* Port of the first announced address. The process does not listen on the
 * announced addresses. */
#define FIRST_PORT 1024

typedef struct swarm swarm_t;

typedef struct
{
  swarm_t *swarm;
  uint32_t number;
  int32_t running;
  struct event *timer;
} standin_t;

struct swarm
{
  const Lwm__SwarmSettings *settings;
  struct event_base *base;
  GRand *rand;
  uint64_t incarnation;
  metric_t *announced;
  standin_t *standins;
};

static const setting_t settings_table[] = {
  { .field = "listen",
    .arg = "IP:PORT",
    .help = "HTTP address for metrics and health",
    .kind = SETTING_ADDRESS,
    .required = true },
  { .field = "name",
    .arg = "NAME",
    .help = "prefix of the names of the simulated upstreams",
    .kind = SETTING_NAME,
    .fallback = "u" },
  { .field = "zone",
    .arg = "NAME",
    .help = "availability zone of the simulated upstreams",
    .kind = SETTING_NAME,
    .required = true },
  { .field = "service",
    .arg = "NAME",
    .help = "service of the simulated upstreams",
    .kind = SETTING_NAME,
    .required = true },
  { .field = "model",
    .arg = "NAME",
    .help = "model that the simulated upstreams have loaded",
    .kind = SETTING_NAME,
    .fallback = "base" },
  { .field = "upstreams",
    .arg = "COUNT",
    .help = "number of simulated upstreams",
    .kind = SETTING_NUMBER,
    .fallback = "3",
    .min = 1,
    .max = MAX_UPSTREAMS },
  { .field = "announce_to",
    .arg = "IP:PORT",
    .help = "entry instance to announce to (repeatable)",
    .kind = SETTING_ADDRESS,
    .required = true },
  { .field = "targets",
    .arg = "COUNT",
    .help = "number of entry instances that each upstream announces itself to",
    .kind = SETTING_NUMBER,
    .fallback = "2",
    .min = 1,
    .max = MAX_UPSTREAMS },
  { .field = "announce_ms",
    .arg = "MS",
    .help = "time between announcements of an upstream",
    .kind = SETTING_NUMBER,
    .fallback = "1000",
    .min = 50,
    .max = 60000 },
  { .field = "seed",
    .arg = "NUMBER",
    .help = "seed of the simulated load",
    .kind = SETTING_NUMBER,
    .fallback = "1",
    .max = UINT32_MAX },
  { .field = "log_level",
    .arg = "LEVEL",
    .help = "least severe level logged: error, warn, info or debug",
    .kind = SETTING_CHOICE,
    .fallback = "warn",
    .choices = "error|warn|info|debug" },
  { 0 },
};

static void
add_loaded_models (JsonBuilder *builder, const char *model)
{
  json_builder_set_member_name (builder, "loaded");
  json_builder_begin_array (builder);
  json_builder_begin_object (builder);
  http_json_add_text (builder, "model", model);
  http_json_add_text (builder, "adapter", "");
  http_json_add_text (builder, "version", "1");
  json_builder_end_object (builder);
  json_builder_end_array (builder);
}

static void
add_load (JsonBuilder *builder, const standin_t *standin)
{
  json_builder_set_member_name (builder, "load");
  json_builder_begin_object (builder);
  http_json_add_number (builder, "running", standin->running);
  http_json_add_number (builder, "waiting_tokens", 0);
  http_json_add_number (builder, "kv_used_tokens",
                        (int64_t)standin->running * KV_TOKENS_PER_STREAM);
  http_json_add_number (builder, "taken_ms_ago", 0);
  json_builder_end_object (builder);
}

static JsonNode *
build_announcement (const standin_t *standin)
{
  const swarm_t *swarm = standin->swarm;
  const Lwm__SwarmSettings *settings = swarm->settings;
  JsonBuilder *builder = json_builder_new ();
  char name[96];
  char address[32];
  JsonNode *node;

  snprintf (name, sizeof name, "%s-%u", settings->name, standin->number);
  snprintf (address, sizeof address, "127.0.0.1:%u",
            FIRST_PORT + standin->number);
  json_builder_begin_object (builder);
  http_json_add_text (builder, "upstream", name);
  http_json_add_number (builder, "incarnation", (int64_t)swarm->incarnation);
  http_json_add_text (builder, "address", address);
  http_json_add_text (builder, "zone", settings->zone);
  http_json_add_text (builder, "service", settings->service);
  http_json_add_text (builder, "kind", "engine");
  http_json_add_text (builder, "state", "ready");
  add_loaded_models (builder, settings->model);
  http_json_add_text (builder, "role", "both");
  http_json_add_number (builder, "kv_tokens", KV_TOKENS);
  http_json_add_number (builder, "max_batch", MAX_BATCH);
  http_json_add_number (builder, "prefill_tokens_s", PREFILL_TOKENS_S);
  http_json_add_number (builder, "step_us", STEP_US);
  http_json_add_number (builder, "announce_ms", settings->announce_ms);
  add_load (builder, standin);
  json_builder_end_object (builder);
  node = json_builder_get_root (builder);
  g_object_unref (builder);
  return node;
}

static void
on_announced (int status, JsonObject *body, void *context)
{
  swarm_t *swarm = context;

  metric_add (swarm->announced, status == 200);
}

static void
on_announce_timer (evutil_socket_t fd, short what, void *arg)
{
  standin_t *standin = arg;
  swarm_t *swarm = standin->swarm;
  const Lwm__SwarmSettings *settings = swarm->settings;

  standin->running
      += g_rand_int_range (swarm->rand, -MAX_LOAD_STEP, MAX_LOAD_STEP + 1);
  standin->running = CLAMP (standin->running, 0, MAX_BATCH);
  for (uint32_t i = 0; i < settings->targets && i < settings->n_announce_to;
       i++)
    {
      size_t target = (standin->number + i) % settings->n_announce_to;
      http_call_options_t call = { .owner = swarm,
                                   .base = swarm->base,
                                   .address = settings->announce_to[target],
                                   .method = "POST",
                                   .path = "/v1/announce",
                                   .body = build_announcement (standin),
                                   .timeout_ms = CALL_TIMEOUT_MS,
                                   .done = on_announced,
                                   .context = swarm };

      http_call (&call);
    }
}

static void
start_standin (swarm_t *swarm, uint32_t number)
{
  standin_t *standin = &swarm->standins[number];
  uint32_t announce_ms = swarm->settings->announce_ms;
  struct timeval interval = timeval_from_ms (announce_ms);

  standin->swarm = swarm;
  standin->number = number;
  standin->running = g_rand_int_range (swarm->rand, 0, MAX_BATCH);
  standin->timer
      = event_new (swarm->base, -1, EV_PERSIST, on_announce_timer, standin);
  event_add (standin->timer, &interval);
}

static int
free_swarm (swarm_t *swarm)
{
  for (uint32_t i = 0; i < swarm->settings->upstreams; i++)
    event_free (swarm->standins[i].timer);
  g_rand_free (swarm->rand);
  return 0;
}

static void
run (void *root, daemon_t *daemon, const Lwm__SwarmSettings *settings)
{
  swarm_t *swarm = talloc_zero (root, swarm_t);

  swarm->settings = settings;
  swarm->base = daemon_base (daemon);
  swarm->rand = g_rand_new_with_seed ((guint32)settings->seed);
  swarm->incarnation = clock_wall_ms ();
  swarm->announced
      = metrics_counter (daemon_metrics (daemon), "lwm_swarm_announced_total",
                         "Announcements taken by an entry instance.", NULL);
  swarm->standins = talloc_zero_array (swarm, standin_t, settings->upstreams);
  for (uint32_t i = 0; i < settings->upstreams; i++)
    start_standin (swarm, i);
  talloc_set_destructor (swarm, free_swarm);
  daemon_run (daemon);
  talloc_free (swarm);
}

int
main (int argc, char **argv)
{
  void *root = talloc_new (NULL);
  Lwm__SwarmSettings settings = LWM__SWARM_SETTINGS__INIT;
  settings_options_t options
      = { .doc = "Announces many simulated upstreams, which serve no requests.",
          .settings = settings_table,
          .parent = root };
  daemon_options_t daemon_options = { 0 };
  daemon_t *daemon;
  int exit_code = EXIT_CODE_USAGE;

  logging_use_stderr ();
  base_init ("lwm-swarm");
  if (settings_parse (&options, argc, argv, &settings.base) > 0)
    goto out;
  daemon_options.listen = settings.listen;
  daemon_options.log_level = settings.log_level;
  daemon = daemon_new (root, &daemon_options);
  if (daemon == NULL)
    goto out;
  run (root, daemon, &settings);
  talloc_free (daemon);
  exit_code = EXIT_CODE_OK;
out:
  talloc_free (root);
  return exit_code;
}
