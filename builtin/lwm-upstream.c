/**
 * @file lwm-upstream.c
 * Simulates a model engine or a plain service, for tests and experiments.
 */
#include <stdlib.h>
#include <talloc.h>

#include "base.h"
#include "daemon.h"
#include "logging.h"
#include "settings.h"
#include "settings.pb-c.h"
#include "standin.h"

/* A prompt of a million tokens has 4 MB; JSON may escape every byte. */
#define MAX_BODY_BYTES  (32ull * 1024 * 1024)
#define IDLE_TIMEOUT_MS (30 * 60 * 1000)

#define MAX_TOKENS 1000000000
#define MINUTE_US  60000000
#define MINUTE_MS  60000
#define DAY_MS     86400000

static const setting_t settings_table[] = {
  { .field = "upstream",
    .arg = "NAME",
    .help = "name of this upstream",
    .kind = SETTING_NAME,
    .required = true },
  { .field = "kind",
    .arg = "KIND",
    .help = "engine or service",
    .kind = SETTING_CHOICE,
    .fallback = "engine",
    .choices = "engine|service" },
  { .field = "service",
    .arg = "NAME",
    .help = "service of this upstream",
    .kind = SETTING_NAME,
    .required = true },
  { .field = "zone",
    .arg = "NAME",
    .help = "availability zone of this upstream",
    .kind = SETTING_NAME,
    .required = true },
  { .field = "listen",
    .arg = "ADDRESS",
    .help = "HTTP address to serve on",
    .kind = SETTING_ADDRESS,
    .required = true },
  { .field = "advertise",
    .arg = "ADDRESS",
    .help = "address to announce, if different from --listen",
    .kind = SETTING_ADDRESS },
  { .field = "announce_to",
    .arg = "ADDRESS",
    .help = "entry instance to announce to (repeatable)",
    .kind = SETTING_ADDRESS },
  { .field = "announce_ms",
    .arg = "MS",
    .help = "time between announcements",
    .kind = SETTING_NUMBER,
    .fallback = "1000",
    .min = 10,
    .max = DAY_MS },
  { .field = "announce_secret",
    .arg = "TEXT",
    .help = "secret to send with announcements",
    .kind = SETTING_TEXT },
  { .field = "model",
    .arg = "NAME",
    .help = "model that is loaded at startup",
    .kind = SETTING_NAME,
    .fallback = "base" },
  { .field = "version",
    .arg = "NAME",
    .help = "version of the model's weights",
    .kind = SETTING_NAME,
    .fallback = "1" },
  { .field = "role",
    .arg = "ROLE",
    .help = "work that the engine accepts: both, prefill or decode",
    .kind = SETTING_CHOICE,
    .fallback = "both",
    .choices = "both|prefill|decode" },
  { .field = "kv_tokens",
    .arg = "TOKENS",
    .help = "size of the KV cache memory",
    .kind = SETTING_NUMBER,
    .fallback = "400000",
    .min = 1,
    .max = MAX_TOKENS },
  { .field = "cache_tokens",
    .arg = "TOKENS",
    .help = "part of --kv-tokens for the prefix cache",
    .kind = SETTING_NUMBER,
    .fallback = "100000",
    .max = MAX_TOKENS },
  { .field = "prefill_tokens_s",
    .arg = "TOKENS",
    .help = "prefill rate, in prompt tokens per second",
    .kind = SETTING_NUMBER,
    .fallback = "30000",
    .min = 1,
    .max = MAX_TOKENS },
  { .field = "step_us",
    .arg = "US",
    .help = "duration of a decode step with one stream",
    .kind = SETTING_NUMBER,
    .fallback = "15000",
    .min = 1,
    .max = MINUTE_US },
  { .field = "step_stream_us",
    .arg = "US",
    .help = "added duration of a step per further stream",
    .kind = SETTING_NUMBER,
    .fallback = "200",
    .max = MINUTE_US },
  { .field = "max_batch",
    .arg = "STREAMS",
    .help = "maximum number of streams in a step",
    .kind = SETTING_NUMBER,
    .fallback = "64",
    .min = 1,
    .max = 4096 },
  { .field = "load_lag_ms",
    .arg = "MS",
    .help = "age of load reports",
    .kind = SETTING_NUMBER,
    .fallback = "500",
    .max = DAY_MS },
  { .field = "event_lag_ms",
    .arg = "MS",
    .help = "age of cache events",
    .kind = SETTING_NUMBER,
    .fallback = "500",
    .max = DAY_MS },
  { .field = "event_loss_percent",
    .arg = "PERCENT",
    .help = "share of cache events that are lost",
    .kind = SETTING_NUMBER,
    .fallback = "5",
    .max = 100 },
  { .field = "fencing",
    .arg = "MODE",
    .help = "what to do with fencing numbers: check or ignore",
    .kind = SETTING_CHOICE,
    .fallback = "check",
    .choices = "check|ignore" },
  { .field = "time_scale_percent",
    .arg = "PERCENT",
    .help = "100 for real time, 10 for ten times faster",
    .kind = SETTING_NUMBER,
    .fallback = "100",
    .min = 1,
    .max = 10000 },
  { .field = "service_ms",
    .arg = "MS",
    .help = "duration of a call to a plain service",
    .kind = SETTING_NUMBER,
    .fallback = "5",
    .max = MINUTE_MS },
  { .field = "leak_ms",
    .arg = "MS",
    .help = "time without use after which memory counts as leaked",
    .kind = SETTING_NUMBER,
    .fallback = "60000",
    .min = 1,
    .max = DAY_MS },
  { .field = "load_ms",
    .arg = "MS",
    .help = "duration of loading the weights of a model",
    .kind = SETTING_NUMBER,
    .fallback = "3000",
    .max = DAY_MS },
  { .field = "order_key",
    .arg = "TEXT",
    .help = "key that orders must be signed with; none if not set",
    .kind = SETTING_TEXT },
  { .field = "seed",
    .arg = "NUMBER",
    .help = "seed of the random numbers",
    .kind = SETTING_NUMBER,
    .fallback = "1",
    .max = UINT32_MAX },
  { .field = "log_level",
    .arg = "LEVEL",
    .help = "least severe level logged: error, warn, info or debug",
    .kind = SETTING_CHOICE,
    .fallback = "info",
    .choices = "error|warn|info|debug" },
  { .field = NULL },
};

int
main (int argc, char **argv)
{
  void *root = talloc_new (NULL);
  Lwm__UpstreamSettings settings = LWM__UPSTREAM_SETTINGS__INIT;
  settings_options_t parse
      = { .doc = "Simulates a model engine or a plain service.",
          .settings = settings_table,
          .parent = root };
  daemon_options_t options = { 0 };
  standin_t *standin;
  daemon_t *daemon;
  int code = EXIT_CODE_USAGE;

  logging_use_stderr ();
  base_init ("lwm-upstream");
  if (settings_parse (&parse, argc, argv, &settings.base) > 0)
    goto out;
  standin = standin_new (root, &settings);
  options.listen = settings.listen;
  options.log_level = settings.log_level;
  options.max_body_bytes = MAX_BODY_BYTES;
  options.idle_timeout_ms = IDLE_TIMEOUT_MS;
  options.fallback = standin_serve;
  options.on_stop = standin_stop;
  options.context = standin;
  daemon = daemon_new (root, &options);
  code = EXIT_CODE_FAILED;
  if (daemon == NULL)
    goto out;
  standin_start (standin, daemon);
  code = daemon_run (daemon);
  talloc_free (standin);
  talloc_free (daemon);

out:
  talloc_free (root);
  return code;
}
