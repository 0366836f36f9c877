#include "node-entry.h"

#include <event2/event.h>
#include <event2/http.h>
#include <malloc.h>
#include <string.h>
#include <talloc.h>

#include "base.h"
#include "control-client.h"
#include "control-directory.h"
#include "daemon.h"
#include "http.h"
#include "memory-account.h"
#include "packed-text.h"
#include "signal-time.h"
#include "statemachine.h"
#include "zone-drains.h"
#define LOG_PART "entry"
#include "logging.h"

#define TICK_INTERVAL_MS 50
/** A longer time between two ticks means that the process did not run. */
#define LATE_TICK_MS (3 * TICK_INTERVAL_MS)
/** Time after the first configuration in which upstreams announce themselves.
 * An instance that has received no announcement by then counts as ready. */
#define UPSTREAM_DISCOVERY_MS 3000
/** Time after a stop request in which new connections are still accepted,
 * because callers continue to connect until they learn of another instance. */
#define ACCEPT_WHILE_STOPPING_MS 2600
/** Share of the stop timeout in which requests may wait, or be received. */
#define WAIT_SHARE 0.5
/** Parts of the stop timeout that are reserved: for the last answers to
 * requests that are still open, and for the exit of the process. */
#define LAST_ANSWERS_MARGIN_MS 700
#define EXIT_MARGIN_MS         400
/** Part that is left when the last answers wait for a turn of the loop. */
#define LAST_TURN_MARGIN_MS 300
/** Part of the machine's memory that callers may make the process hold: a
 * third. The rest is for the process itself, for the kernel's buffers, and for
 * what is received before a connection that is asked to yield has released its
 * memory.
 */
#define MEMORY_DIVISOR    3
#define BYTES_PER_MB      (1024u * 1024)
#define LARGE_BLOCK_BYTES (128 * 1024)
/** Descriptors that the platform reserves for files; callers get half of the
 * others, the rest is for upstreams, peers and the log. */
#define FILE_DESCRIPTORS 200u
#define MIN_CONNECTIONS  16u
/** Cost of a round trip to another zone. */
#define ZONE_COST_MS 12

/** Pause between two steps of parsing a configuration, in which the loop
 * handles other events. */
static const struct timeval parse_pause = { .tv_usec = 1000 };

struct node_entry
{
  node_entry_options_t options;
  daemon_t *daemon;
  memory_account_t *memory; /* of what callers make it hold, or NULL */
  gateway_t *gateway;
  control_client_t *control;
  directory_t *directory;
  struct event *tick;
  uint8_t *text; /* the revision being parsed, or NULL */
  uint64_t parsing_number;
  uint8_t *pending; /* the newest revision received meanwhile, or NULL */
  uint64_t pending_number;
  struct event *parse_timer;
  uint64_t started_ms;
  uint64_t first_config_ms; /* when the first configuration came into force,
                               else 0 */
  signal_time_t signal_time;
  uint64_t stop_requested_ms;    /* when a stop request was handled, else 0 */
  uint64_t stop_earliest_ms;     /* when it may have been sent */
  uint64_t stop_timeout_ms;      /* that was in force when it was handled */
  gateway_config_t *held_config; /* waits for the drained zones, or NULL */
  bool knows_drains;
  uint64_t drains_version;
  size_t drained_count;
  bool was_ready;
  bool has_missed_end; /* it did not run when the last answers were due */
  bool has_ended;      /* daemon_exit() was called */
};

/** Returns whether the instance is ready: it has a configuration, and it knows
 * upstreams or has waited long enough to conclude that there are none. */
static bool
is_ready (const node_entry_t *entry)
{
  return entry->stop_requested_ms == 0 && entry->first_config_ms > 0
         && (gateway_has_upstreams (entry->gateway)
             || entry->first_config_ms + UPSTREAM_DISCOVERY_MS
                    < clock_mono_ms ());
}

/** Puts a configuration in force. An instance that does not know the drained
 * zones yet holds it, as it must not send to their upstreams. */
static void
apply_config (node_entry_t *entry, gateway_config_t *config)
{
  if (!entry->knows_drains)
    {
      talloc_free (entry->held_config);
      entry->held_config = talloc_steal (entry, config);
      return;
    }
  gateway_set_config (entry->gateway, config);
  if (entry->first_config_ms == 0)
    entry->first_config_ms = clock_mono_ms ();
}

/** Starts parsing the newest received revision, if there is one. Revisions that
 * arrive during the parsing of another wait, and only the newest is kept. */
static void
begin_parsing_revision (node_entry_t *entry)
{
  size_t text_bytes = 0;

  TALLOC_FREE (entry->text);
  if (entry->pending == NULL)
    return;
  entry->parsing_number = entry->pending_number;
  entry->text = packed_text_unpack (entry, entry->pending,
                                    talloc_get_size (entry->pending),
                                    STATEMACHINE_MAX_CONFIG_BYTES, &text_bytes);
  TALLOC_FREE (entry->pending);
  if (entry->text == NULL)
    {
      log_error (
          "Revision is damaged; the current one stays in force. number=%ju",
          (uintmax_t)entry->parsing_number);
      return;
    }
  entry->options.reader.begin (entry->options.reader.context, entry->text,
                               text_bytes);
  event_add (entry->parse_timer, &parse_pause);
}

static void
on_parse_timer (evutil_socket_t fd, short what, void *context)
{
  node_entry_t *entry = context;
  void *scratch = talloc_new (entry);
  gateway_config_t *config = NULL;
  char *error_text = NULL;

  switch (entry->options.reader.step (entry->options.reader.context, scratch,
                                      &config, &error_text))
    {
    case CONFIG_PARSING:
      event_add (entry->parse_timer, &parse_pause);
      break;
    case CONFIG_PARSED:
      config->number = entry->parsing_number;
      apply_config (entry, config);
      begin_parsing_revision (entry);
      break;
    case CONFIG_INVALID:
      log_error (
          "Revision cannot be read; the current one stays in force. number=%ju "
          "why=%s",
          (uintmax_t)entry->parsing_number, error_text);
      begin_parsing_revision (entry);
      break;
    }
  talloc_free (scratch);
}

static void
on_revision (const Lwm__ControlRevision *revision, void *context)
{
  node_entry_t *entry = context;

  talloc_free (entry->pending);
  entry->pending
      = talloc_memdup (entry, revision->config.data, revision->config.len);
  entry->pending_number = revision->number;
  if (entry->text == NULL)
    begin_parsing_revision (entry);
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
  if (part->n_watchers == part->n_watcher_zones)
    gateway_add_instances (entry->gateway, part->watchers, part->watcher_zones,
                           part->n_watchers);
  if (directory_version (entry->directory) != version)
    gateway_set_directory (entry->gateway, entry->directory);
}

static void
on_drains (const control_drains_t *drains, void *context)
{
  node_entry_t *entry = context;
  char *text = zone_drains_text (entry, drains->zones, drains->count);
  gateway_config_t *config = entry->held_config;

  log_info ("Drained zones are in force. zones=%s version=%ju before=%ju "
            "confirmed=%d",
            text, (uintmax_t)drains->version, (uintmax_t)entry->drains_version,
            drains->is_confirmed);
  talloc_free (text);
  entry->knows_drains = true;
  entry->drains_version = drains->version;
  entry->drained_count = drains->count;
  gateway_drain_zones (entry->gateway, drains->zones, drains->count);
  entry->held_config = NULL;
  if (config != NULL)
    apply_config (entry, config);
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

/** Returns the time from a stop request in which the process has to end. */
static uint64_t
stop_timeout_ms (const node_entry_t *entry)
{
  const Lwm__NodeSettings *settings
      = node_settings_get (entry->options.settings);

  return (uint64_t)(settings->stop_timeout_s * 1000);
}

/** Returns the earliest time at which a signal that is handled now may have
 * been sent. */
static uint64_t
earliest_signal_ms (const node_entry_t *entry)
{
  return MAX (signal_time_earliest_ms (&entry->signal_time), entry->started_ms);
}

static void
on_stop (void *context)
{
  node_entry_t *entry = context;

  if (entry->stop_requested_ms > 0)
    return;
  entry->stop_requested_ms = clock_mono_ms ();
  entry->stop_earliest_ms = earliest_signal_ms (entry);
  entry->stop_timeout_ms = stop_timeout_ms (entry);
  gateway_drain (entry->gateway, entry->stop_earliest_ms
                                     + entry->stop_timeout_ms
                                     - LAST_ANSWERS_MARGIN_MS);
  gateway_close_at (entry->gateway,
                    entry->stop_earliest_ms + ACCEPT_WHILE_STOPPING_MS);
  log_info ("Stopping. open_requests=%u late_at_most_ms=%ju",
            gateway_open_requests (entry->gateway),
            (uintmax_t)(entry->stop_requested_ms - entry->stop_earliest_ms));
}

static void
on_reload (void *context)
{
  node_entry_t *entry = context;

  node_settings_reload (entry->options.settings);
}

/** Returns whether the last answers wait, because the process did not run when
 * they were due: what came meanwhile is read first. */
static bool
must_read_first (node_entry_t *entry, uint64_t now_ms, uint64_t end_ms)
{
  if (signal_time_last_gap_ms (&entry->signal_time) > LATE_TICK_MS)
    entry->has_missed_end = true;
  return entry->has_missed_end && now_ms + LAST_TURN_MARGIN_MS < end_ms;
}

/** Ends the process once callers have had time to move to another instance and
 * have their answers, or shortly before the stop timeout. What may be refused
 * follows the earliest time of the signal; no answer is cut by that. */
static void
exit_if_drained (node_entry_t *entry, uint64_t now_ms)
{
  uint64_t limit_ms = entry->stop_timeout_ms;
  uint64_t passed_ms = now_ms - entry->stop_requested_ms;
  uint64_t longest_ms = now_ms - entry->stop_earliest_ms;
  bool must_wait = false;

  if (longest_ms < ACCEPT_WHILE_STOPPING_MS)
    return;
  gateway_close (entry->gateway);
  if ((double)longest_ms >= WAIT_SHARE * (double)limit_ms)
    gateway_refuse_waiting (entry->gateway);
  if (passed_ms + LAST_ANSWERS_MARGIN_MS >= limit_ms)
    {
      must_wait = must_read_first (entry, now_ms,
                                   entry->stop_requested_ms + limit_ms);
      if (!must_wait)
        gateway_end_open (entry->gateway);
    }
  if (!gateway_has_ended (entry->gateway)
      && (must_wait || passed_ms + EXIT_MARGIN_MS < limit_ms))
    return;
  log_info ("Stopped. open_requests=%u took_ms=%ju",
            gateway_open_requests (entry->gateway), (uintmax_t)passed_ms);
  entry->has_ended = true;
  daemon_exit (entry->daemon, EXIT_CODE_OK);
}

static void
update_readiness (node_entry_t *entry)
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

  signal_time_tick (&entry->signal_time, now_ms);
  update_readiness (entry);
  if (entry->stop_requested_ms > 0 && !entry->has_ended)
    exit_if_drained (entry, now_ms);
}

/** Creates the account of what callers make the process hold. Large blocks are
 * returned to the system as soon as they are freed, so that the account agrees
 * with the memory in use. */
static void
set_up_memory (node_entry_t *entry, const Lwm__NodeSettings *settings)
{
  memory_account_options_t options
      = { .limit_bytes
          = (uint64_t)settings->memory_mb * BYTES_PER_MB / MEMORY_DIVISOR,
          .metrics = daemon_metrics (entry->daemon) };

  if (settings->memory_mb == 0)
    return;
  mallopt (M_MMAP_THRESHOLD, LARGE_BLOCK_BYTES);
  mallopt (M_TRIM_THRESHOLD, LARGE_BLOCK_BYTES);
  entry->memory = memory_account_new (entry, &options);
}

/** Returns how many connections callers may open; 0: any number. */
static uint32_t
max_connections (const Lwm__NodeSettings *settings)
{
  uint32_t most = settings->max_descriptors;

  if (most == 0)
    return 0;
  return MAX (most > FILE_DESCRIPTORS ? (most - FILE_DESCRIPTORS) / 2 : 0,
              MIN_CONNECTIONS);
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
          .cold_excess = settings->cold_excess,
          .cold_slack = settings->cold_slack,
          .metrics = daemon_metrics (entry->daemon),
          .tunnel_port = node_settings_tunnel_port (settings),
          .max_connections = max_connections (settings) };

  set_up_memory (entry, settings);
  options.memory = entry->memory;
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
          .on_drains = on_drains,
          .address = node_settings_own_address (entry, settings),
          .zone = talloc_strdup (entry, settings->zone),
          .context = entry,
          .metrics = daemon_metrics (entry->daemon) };

  options.peers
      = node_settings_control_peers (entry, settings, &options.peer_count);
  entry->control = control_client_new (entry, &options);
}

static double
read_drained_zones (void *context)
{
  return (double)((node_entry_t *)context)->drained_count;
}

static double
read_drains_version (void *context)
{
  return (double)((node_entry_t *)context)->drains_version;
}

static double
read_drains_known (void *context)
{
  return ((node_entry_t *)context)->knows_drains;
}

static void
add_metrics (node_entry_t *entry)
{
  metrics_t *metrics = daemon_metrics (entry->daemon);

  metrics_gauge_read (metrics, "lwm_entry_drained_zones",
                      "Availability zones whose upstreams get no new requests.",
                      NULL, read_drained_zones, entry);
  metrics_gauge_read (metrics, "lwm_entry_drains_version",
                      "Log index of the last order to drain a zone.", NULL,
                      read_drains_version, entry);
  metrics_gauge_read (metrics, "lwm_entry_drains_known",
                      "1 once the drained zones are known; without them no "
                      "configuration comes into force.",
                      NULL, read_drains_known, entry);
}

static int
free_entry (node_entry_t *entry)
{
  if (entry->tick != NULL)
    event_free (entry->tick);
  if (entry->parse_timer != NULL)
    event_free (entry->parse_timer);
  /* Objects that own events of the loop must be freed before the daemon, which
   * owns the loop. */
  TALLOC_FREE (entry->control);
  TALLOC_FREE (entry->gateway);
  return 0;
}

int
node_entry_run (void *parent, const node_entry_options_t *options)
{
  node_entry_t *entry = talloc_zero (parent, node_entry_t);
  const Lwm__NodeSettings *settings = node_settings_get (options->settings);
  daemon_options_t daemon_options
      = { .listen = settings->status,
          .log_level = settings->log_level,
          .max_descriptors = settings->max_descriptors,
          .memory_mb = settings->memory_mb,
          .is_secondary = true,
          .fallback = on_status,
          .on_stop = on_stop,
          .on_reload = on_reload,
          .context = entry };
  struct timeval interval = { .tv_usec = TICK_INTERVAL_MS * 1000 };
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
  entry->parse_timer
      = event_new (daemon_base (entry->daemon), -1, 0, on_parse_timer, entry);
  add_metrics (entry);
  set_up_control (entry);
  entry->tick
      = event_new (daemon_base (entry->daemon), -1, EV_PERSIST, on_tick, entry);
  event_add (entry->tick, &interval);
  node_settings_watch (options->settings, daemon_base (entry->daemon),
                       node_settings_add_control_peers, entry->control);
  code = daemon_run (entry->daemon);

out:
  talloc_free (options->settings);
  talloc_free (entry);
  return code;
}
