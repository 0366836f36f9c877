#include "node-entry.h"

#include <event2/event.h>
#include <event2/http.h>
#include <string.h>
#include <talloc.h>

#include "base.h"
#include "control-client.h"
#include "control-directory.h"
#include "daemon.h"
#include "http.h"
#include "packed-text.h"
#include "statemachine.h"
#define LOG_PART "entry"
#include "logging.h"

#define TICK_MS 50
/** Time for upstreams to announce themselves once a configuration is held. */
#define LEARN_MS 3000
/** Callers keep coming until they have been told elsewhere. */
#define DRAIN_MS 2600
/** Left of the time to stop for the process to end. */
#define STOP_MARGIN_MS 400
#define ZONE_COST_MS   12

/** Between two steps of reading: the loop looks at all else meanwhile. */
static const struct timeval read_pause = { .tv_usec = 1000 };

struct node_entry
{
  node_entry_options_t options;
  daemon_t *daemon;
  gateway_t *gateway;
  control_client_t *control;
  directory_t *directory;
  struct event *tick;
  /* The revision being read, and the newest that came meanwhile. */
  uint8_t *text;
  uint64_t reading_number;
  uint8_t *packed;
  uint64_t packed_number;
  struct event *read_on;
  uint64_t started_ms;
  uint64_t config_ms; /* when the first configuration came, 0 before */
  uint64_t stop_ms;   /* when to stop was asked, 0 before */
  bool was_ready;
};

static bool
has_upstreams (const node_entry_t *entry)
{
  size_t count;

  directory_entries (entry->directory, &count);
  return count > 0;
}

/** Ready: knows the routes, and either upstreams or that there are none. */
static bool
is_ready (const node_entry_t *entry)
{
  return entry->stop_ms == 0 && entry->config_ms > 0
         && (has_upstreams (entry)
             || entry->config_ms + LEARN_MS < clock_mono_ms ());
}

static void
take_config (node_entry_t *entry, gateway_config_t *config)
{
  config->number = entry->reading_number;
  gateway_set_config (entry->gateway, config);
  if (entry->config_ms == 0)
    entry->config_ms = clock_mono_ms ();
}

/** Reads the newest revision that came while another one was read. */
static void
begin_reading (node_entry_t *entry)
{
  size_t text_bytes = 0;

  TALLOC_FREE (entry->text);
  if (entry->packed == NULL)
    return;
  entry->reading_number = entry->packed_number;
  entry->text
      = packed_text_open (entry, entry->packed, talloc_get_size (entry->packed),
                          STATEMACHINE_MAX_CONFIG_BYTES, &text_bytes);
  TALLOC_FREE (entry->packed);
  if (entry->text == NULL)
    {
      log_error ("Revision is damaged; the old one stays. number=%ju",
                 (uintmax_t)entry->reading_number);
      return;
    }
  entry->options.reader.begin (entry->options.reader.context, entry->text,
                               text_bytes);
  event_add (entry->read_on, &read_pause);
}

static void
on_read_on (evutil_socket_t fd, short what, void *context)
{
  node_entry_t *entry = context;
  void *scratch = talloc_new (entry);
  gateway_config_t *config = NULL;
  char *why = NULL;

  switch (entry->options.reader.step (entry->options.reader.context, scratch,
                                      &config, &why))
    {
    case CONFIG_PARSING:
      event_add (entry->read_on, &read_pause);
      break;
    case CONFIG_PARSED:
      take_config (entry, config);
      begin_reading (entry);
      break;
    case CONFIG_INVALID:
      log_error ("Revision cannot be read; the old one stays. number=%ju "
                 "why=%s",
                 (uintmax_t)entry->reading_number, why);
      begin_reading (entry);
      break;
    }
  talloc_free (scratch);
}

static void
on_revision (const Lwm__ControlRevision *revision, void *context)
{
  node_entry_t *entry = context;

  talloc_free (entry->packed);
  entry->packed
      = talloc_memdup (entry, revision->config.data, revision->config.len);
  entry->packed_number = revision->number;
  if (entry->text == NULL)
    begin_reading (entry);
}

static void
on_directory (const Lwm__ControlDirectory *part, void *context)
{
  node_entry_t *entry = context;
  uint64_t version = directory_version (entry->directory);

  for (size_t i = 0; i < part->n_upstreams; i++)
    {
      directory_statement_t statement
          = control_directory_statement (part->upstreams[i]);

      directory_put (entry->directory, &statement, clock_mono_ms ());
    }
  load_share_add_peers (gateway_load_share (entry->gateway), part->watchers,
                        part->n_watchers);
  if (directory_version (entry->directory) != version)
    gateway_set_directory (entry->gateway, entry->directory);
}

static void
on_status (struct evhttp_request *request, void *context)
{
  node_entry_t *entry = context;
  const char *path
      = evhttp_uri_get_path (evhttp_request_get_evhttp_uri (request));

  if (path == NULL || strcmp (path, entry->options.ready_path) != 0)
    http_reply_error (request, ERROR_NOT_FOUND, RAN_NO, NULL, NULL, 0);
  else if (is_ready (entry))
    evhttp_send_reply (request, 200, "OK", NULL);
  else
    http_reply_error (request, ERROR_NO_CONFIGURATION, RAN_NO,
                      "this instance is not ready", NULL, 0);
}

static void
on_stop (void *context)
{
  node_entry_t *entry = context;

  if (entry->stop_ms > 0)
    return;
  entry->stop_ms = clock_mono_ms ();
  gateway_drain (entry->gateway);
  log_info ("Stopping. open_requests=%u",
            gateway_open_requests (entry->gateway));
}

static void
on_reload (void *context)
{
  node_entry_t *entry = context;

  node_settings_reload (entry->options.settings);
}

/** Ends once callers have gone elsewhere and what is open is answered. */
static void
look_at_stop (node_entry_t *entry, uint64_t now_ms)
{
  const Lwm__NodeSettings *settings
      = node_settings_get (entry->options.settings);
  uint64_t limit_ms = (uint64_t)(settings->stop_timeout_s * 1000);
  uint64_t passed_ms = now_ms - entry->stop_ms;

  if (passed_ms < DRAIN_MS)
    return;
  gateway_close (entry->gateway);
  if (gateway_open_requests (entry->gateway) > 0
      && passed_ms + STOP_MARGIN_MS < limit_ms)
    return;
  log_info ("Stopped. open_requests=%u took_ms=%ju",
            gateway_open_requests (entry->gateway), (uintmax_t)passed_ms);
  daemon_exit (entry->daemon, EXIT_CODE_OK);
}

static void
log_readiness (node_entry_t *entry)
{
  bool ready = is_ready (entry);

  if (ready == entry->was_ready)
    return;
  entry->was_ready = ready;
  daemon_set_healthy (entry->daemon, ready);
  log_info ("Readiness changed. ready=%d config=%ju after_ms=%ju", ready,
            (uintmax_t)gateway_config_number (entry->gateway),
            (uintmax_t)(clock_mono_ms () - entry->started_ms));
}

static void
on_tick (evutil_socket_t fd, short what, void *context)
{
  node_entry_t *entry = context;
  uint64_t now_ms = clock_mono_ms ();

  log_readiness (entry);
  if (entry->stop_ms > 0)
    look_at_stop (entry, now_ms);
}

static bool
set_up_gateway (node_entry_t *entry)
{
  const Lwm__NodeSettings *settings
      = node_settings_get (entry->options.settings);
  gateway_options_t options
      = { .base = daemon_base (entry->daemon),
          .listen = settings->callers,
          .zone = settings->zone,
          .share_listen = node_settings_own_address (entry, settings),
          .protocol = entry->options.protocol,
          .retry_percent = (uint32_t)(settings->retry_share * 100),
          .spare_retries = settings->spare_retries,
          .zone_cost_ms = ZONE_COST_MS,
          .metrics = daemon_metrics (entry->daemon) };

  entry->gateway = gateway_new (entry, &options);
  return entry->gateway != NULL;
}

static void
set_up_control (node_entry_t *entry)
{
  const Lwm__NodeSettings *settings
      = node_settings_get (entry->options.settings);
  control_client_options_t options
      = { .base = daemon_base (entry->daemon),
          .on_revision = on_revision,
          .on_directory = on_directory,
          .address = node_settings_own_address (entry, settings),
          .context = entry,
          .metrics = daemon_metrics (entry->daemon) };

  options.peers
      = node_settings_control_peers (entry, settings, &options.peer_count);
  entry->control = control_client_new (entry, &options);
}

static int
free_entry (node_entry_t *entry)
{
  if (entry->tick != NULL)
    event_free (entry->tick);
  if (entry->read_on != NULL)
    event_free (entry->read_on);
  /* What owns events of the loop goes before the loop's owner. */
  TALLOC_FREE (entry->control);
  TALLOC_FREE (entry->gateway);
  return 0;
}

int
node_entry_run (void *parent, const node_entry_options_t *options)
{
  node_entry_t *entry = talloc_zero (parent, node_entry_t);
  const Lwm__NodeSettings *settings = node_settings_get (options->settings);
  daemon_options_t daemon_options = { .listen = settings->status,
                                      .log_level = settings->log_level,
                                      .fallback = on_status,
                                      .on_stop = on_stop,
                                      .on_reload = on_reload,
                                      .context = entry };
  struct timeval every = { .tv_usec = TICK_MS * 1000 };
  int code = EXIT_CODE_FAILED;

  entry->options = *options;
  entry->started_ms = clock_mono_ms ();
  entry->directory = directory_new (entry);
  entry->daemon = daemon_new (entry, &daemon_options);
  if (entry->daemon == NULL)
    goto out;
  talloc_set_destructor (entry, free_entry);
  if (!set_up_gateway (entry))
    goto out;
  entry->read_on
      = event_new (daemon_base (entry->daemon), -1, 0, on_read_on, entry);
  set_up_control (entry);
  entry->tick
      = event_new (daemon_base (entry->daemon), -1, EV_PERSIST, on_tick, entry);
  event_add (entry->tick, &every);
  node_settings_watch (options->settings, daemon_base (entry->daemon),
                       node_settings_tell_peers, entry->control);
  code = daemon_run (entry->daemon);

out:
  talloc_free (options->settings);
  talloc_free (entry);
  return code;
}
