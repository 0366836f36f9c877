/**
 * @file lwm-load.c
 * The load generator: sends the requests of a scenario file as an open loop, in
 * which each request is sent at its planned time, whether or not earlier ones
 * were answered.
 */
#include <event2/event.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <talloc.h>
#include <unistd.h>

#include "base.h"
#include "generated/settings.pb-c.h"
#include "load-client.h"
#include "load-plan.h"
#include "load-prompt.h"
#include "load-record.h"
#include "load-scenario.h"
#include "logging.h"
#include "settings.h"

#define US_PER_S    1000000
#define US_PER_MS   1000
#define PERCENT     100
#define PROGRESS_MS 500
/* Delay of the scenario's time 0, in wall-clock time, so that the event loop
 * runs before the first request is due. */
#define START_DELAY_US 50000

typedef struct
{
  Lwm__LoadSettings settings;
  Lwm__Scenario *scenario;
  struct event_base *base;
  struct event *send_timer;
  struct event *progress_timer;
  struct event *interrupt;
  load_plan_t *plan;
  load_client_t *client;
  load_report_t *report;
  FILE *records;
  load_request_t next; /* next request of the plan, if has_next */
  bool has_next;
  uint64_t start_us; /* monotonic clock at the scenario's time 0 */
  uint64_t sent;     /* number of requests */
} load_t;

static const setting_t settings_table[] = {
  { .field = "scenario",
    .arg = "FILE",
    .help = "scenario file",
    .kind = SETTING_TEXT,
    .required = true },
  { .field = "target",
    .arg = "IP:PORT",
    .help = "entry instance to send to (repeatable)",
    .kind = SETTING_ADDRESS,
    .required = true },
  { .field = "records",
    .arg = "FILE",
    .help = "write one line per request to FILE",
    .kind = SETTING_TEXT },
  { .field = "seed",
    .arg = "NUMBER",
    .help = "seed that replaces the scenario's; 0 to keep it",
    .kind = SETTING_NUMBER,
    .fallback = "0",
    .max = UINT64_MAX },
  { .field = "time_scale_percent",
    .arg = "PERCENT",
    .help = "wall-clock time as a percentage of the scenario's time; 0 for the "
            "value in the scenario",
    .kind = SETTING_NUMBER,
    .fallback = "0",
    .max = 1000 },
  { .field = "duration_ms",
    .arg = "MS",
    .help = "stop sending after this time of the scenario; 0 for its end",
    .kind = SETTING_NUMBER,
    .fallback = "0",
    .max = UINT32_MAX },
  { .field = "rate",
    .arg = "PER_S",
    .help = "prompts per second at 100 percent; 0 for the rate in the scenario",
    .kind = SETTING_REAL,
    .fallback = "0",
    .max = 1000000 },
  { .field = "format",
    .arg = "FORMAT",
    .help = "print a table, or metrics (lines for experiments)",
    .kind = SETTING_CHOICE,
    .fallback = "table",
    .choices = "table|metrics" },
  { .field = "label",
    .arg = "TEXT",
    .help = "print TEXT before each metric line",
    .kind = SETTING_TEXT },
  { .field = "log_level",
    .arg = "LEVEL",
    .help = "least severe level logged: error, warn, info or debug",
    .kind = SETTING_CHOICE,
    .fallback = "warn",
    .choices = "error|warn|info|debug" },
  { .field = NULL },
};

/** Converts a duration from the scenario's time to wall-clock time. */
static uint64_t
to_wall_us (const load_t *load, uint64_t time_us)
{
  return time_us * load->scenario->time_scale_percent / PERCENT;
}

static void
finish_when_done (load_t *load)
{
  if (!load->has_next && load_client_active (load->client) == 0)
    event_base_loopexit (load->base, NULL);
}

static void
on_done (const load_record_t *record, void *context)
{
  load_t *load = context;

  load_report_add (load->report, record);
  if (load->records != NULL)
    load_record_write (record, load->records);
  finish_when_done (load);
}

static void
on_gap (const load_request_t *request, uint64_t gap_us, void *context)
{
  load_t *load = context;

  load_report_add_gap (load->report, request, gap_us);
}

static void
start_timer (struct event *timer, uint64_t delay_us)
{
  struct timeval delay
      = { (time_t)(delay_us / US_PER_S), (suseconds_t)(delay_us % US_PER_S) };

  event_add (timer, &delay);
}

/** Sends all due requests and sets the timer for the next one. */
static void
on_send (evutil_socket_t fd, short events, void *context)
{
  load_t *load = context;
  uint64_t now_us = clock_mono_us ();

  while (load->has_next)
    {
      uint64_t due_us = load->start_us + to_wall_us (load, load->next.at_us);

      if (due_us > now_us)
        {
          start_timer (load->send_timer, due_us - now_us);
          return;
        }
      load_client_send (load->client, &load->next,
                        (now_us - due_us) * PERCENT
                            / load->scenario->time_scale_percent);
      load->sent++;
      load->has_next = load_plan_next (load->plan, &load->next);
    }
  finish_when_done (load);
}

static void
print_progress (const load_t *load, const char *end)
{
  uint64_t elapsed_us = clock_mono_us () - load->start_us;
  double seconds = (double)elapsed_us * PERCENT
                   / load->scenario->time_scale_percent / US_PER_S;

  fprintf (stderr,
           "\r%6.1f s  sent %lu  running %u  ok %lu  refused %lu  "
           "failed %lu  lost %lu  wrong %lu %s",
           seconds, (unsigned long)load->sent,
           load_client_active (load->client),
           (unsigned long)load_report_count (load->report, LOAD_OK),
           (unsigned long)load_report_count (load->report, LOAD_REFUSED),
           (unsigned long)load_report_count (load->report, LOAD_FAILED),
           (unsigned long)load_report_count (load->report, LOAD_LOST),
           (unsigned long)load_report_count (load->report, LOAD_WRONG), end);
  fflush (stderr);
}

static void
on_progress (evutil_socket_t fd, short events, void *context)
{
  print_progress (context, "");
}

/** Stops early on SIGINT; the report covers the requests sent so far. */
static void
on_interrupt (evutil_socket_t fd, short events, void *context)
{
  load_t *load = context;

  event_base_loopexit (load->base, NULL);
}

static bool
read_scenario (load_t *load)
{
  char *mistakes = NULL;

  load->scenario
      = load_scenario_read (load, load->settings.scenario, &mistakes);
  if (load->scenario == NULL)
    {
      fputs (mistakes, stderr);
      return false;
    }
  if (load->settings.time_scale_percent > 0)
    load->scenario->time_scale_percent = load->settings.time_scale_percent;
  if (load->settings.seed > 0)
    load->scenario->seed = load->settings.seed;
  return true;
}

static bool
open_records (load_t *load)
{
  const char *path = load->settings.records;

  if (path == NULL || path[0] == '\0')
    return true;
  load->records = fopen (path, "w");
  if (load->records == NULL)
    {
      print_error ("cannot write '%s': %m", path);
      return false;
    }
  load_record_write_header (load->records);
  return true;
}

static void
set_up_load (load_t *load)
{
  load_prompt_t *prompt = load_prompt_new (load, load->scenario);
  load_plan_options_t plan = { .scenario = load->scenario,
                               .duration_ms = load->settings.duration_ms,
                               .rate = load->settings.rate,
                               .pool_bytes = LOAD_POOL_BYTES };
  load_client_options_t client
      = { .base = load->base,
          .scenario = load->scenario,
          .prompt = prompt,
          .targets = load->settings.target,
          .target_count = load->settings.n_target,
          .seed = load->scenario->seed,
          .time_scale_percent = load->scenario->time_scale_percent,
          .on_done = on_done,
          .on_gap = on_gap,
          .context = load };

  load->plan = load_plan_new (load, &plan);
  load->client = load_client_new (load, &client);
  load->report = load_report_new (load, load->scenario);
  load->send_timer = event_new (load->base, -1, 0, on_send, load);
  load->progress_timer
      = event_new (load->base, -1, EV_PERSIST, on_progress, load);
  load->interrupt = evsignal_new (load->base, SIGINT, on_interrupt, load);
}

static void
run (load_t *load)
{
  event_add (load->interrupt, NULL);
  if (isatty (STDERR_FILENO))
    start_timer (load->progress_timer, PROGRESS_MS * US_PER_MS);
  load->start_us = clock_mono_us () + START_DELAY_US;
  load->has_next = load_plan_next (load->plan, &load->next);
  start_timer (load->send_timer, START_DELAY_US);
  event_base_dispatch (load->base);
  if (isatty (STDERR_FILENO))
    print_progress (load, "\n");
}

static void
print_summary (const load_t *load)
{
  if (strcmp (load->settings.format, "metrics") == 0)
    load_report_write_metrics (load->report, load->settings.label, stdout);
  else
    load_report_write_table (load->report, stdout);
}

static void
tear_down_load (load_t *load)
{
  TALLOC_FREE (load->client);
  event_free (load->send_timer);
  event_free (load->progress_timer);
  event_free (load->interrupt);
}

static int
send_scenario (load_t *load)
{
  int exit_code = EXIT_CODE_USAGE;

  load->base = event_base_new ();
  if (!read_scenario (load) || !open_records (load))
    goto out;
  set_up_load (load);
  run (load);
  print_summary (load);
  tear_down_load (load);
  exit_code = EXIT_CODE_OK;

out:
  if (load->records != NULL && fclose (load->records) != 0)
    {
      print_error ("cannot write '%s': %m", load->settings.records);
      exit_code = EXIT_CODE_FAILED;
    }
  event_base_free (load->base);
  return exit_code;
}

int
main (int argc, char **argv)
{
  load_t *load = talloc_zero (NULL, load_t);
  settings_options_t options
      = { .doc = "Sends the requests of a scenario to entry instances.",
          .settings = settings_table,
          .parent = load };
  logging_level_t level = LOGGING_WARN;
  int exit_code = EXIT_CODE_USAGE;

  base_init ("lwm-load");
  lwm__load_settings__init (&load->settings);
  if (settings_parse (&options, argc, argv, &load->settings.base) == 0)
    {
      logging_level_from_name (load->settings.log_level, &level);
      logging_init (level);
      exit_code = send_scenario (load);
    }
  talloc_free (load);
  return exit_code;
}
