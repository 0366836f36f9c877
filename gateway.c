#include "gateway.h"

#include <event2/event.h>
#include <stdio.h>
#include <string.h>
#include <talloc.h>

#include "base.h"
#include "gateway-internal.h"
#include "http.h"
#define LOG_PART "gateway"
#include "logging.h"

#define CONNECT_TIMEOUT_MS 600
#define IDLE_TIMEOUT_MS    4000
/** Deadline of requests whose route sets no timeout. */
#define DEFAULT_DEADLINE_MS 30000
/** Unsent bytes for a slow caller at which reading from its upstream pauses: a
 * part of the room that is left for what callers make the process hold. */
#define MAX_UNSENT_BYTES (256u * 1024)
#define MIN_UNSENT_BYTES (16u * 1024)
#define UNSENT_SHARE     32u
/** Size of the kernel's receive buffer of a connection to an upstream, where
 * the memory of the machine is limited. */
#define UPSTREAM_BUFFER_BYTES (64u * 1024)
/** Base of Retry-After for rejected requests: a starting instance receives its
 * configuration in about this time. */
#define STARTUP_RETRY_AFTER_MS 900

uint32_t
gateway_remaining_ms (const gateway_request_t *request)
{
  uint64_t now_ms = clock_mono_ms ();

  return request->deadline_ms > now_ms
             ? (uint32_t)(request->deadline_ms - now_ms)
             : 0;
}

static int
free_request (gateway_request_t *request)
{
  gateway_t *gateway = request->gateway;

  g_ptr_array_remove_fast (gateway->open, request);
  if (request->ask != NULL)
    zone_ask_cancel (request->ask);
  if (request->exchange != NULL)
    exchange_cancel (request->exchange);
  gateway_end_jobs (request, UPSTREAM_JOB_NEUTRAL);
  event_free (request->timer);
  shared_bytes_unref (request->body);
  return 0;
}

/** Logs the end of a request in one line. */
static void
log_request_end (const gateway_request_t *request,
                 const char *how,
                 uint32_t status)
{
  uint64_t now_ms = clock_mono_ms ();

  log_info ("Request ended. request=%s how=%s status=%u route=%s customer=%s "
            "upstream=%s sent=%u tries=%u first_ms=%ju took_ms=%ju "
            "events=%u gap_ms=%u prompt=%u answer=%u config=%ju",
            request->terms.id, how, status, request->route.name,
            request->customer != NULL ? request->customer : "-",
            request->upstream_id != NULL ? request->upstream_id : "-",
            request->possible_runs, request->attempt_count,
            (uintmax_t)(request->first_event_ms > 0
                            ? request->first_event_ms - request->arrived_ms
                            : 0),
            (uintmax_t)(now_ms - request->arrived_ms), request->event_count,
            request->longest_gap_ms, request->terms.prompt_tokens,
            request->terms.answer_tokens, (uintmax_t)request->config_number);
}

/** Sends a complete error answer of the gateway. */
static void
reply_error (caller_request_t *caller,
             error_kind_t kind,
             const char *request_id,
             uint32_t retry_after_ms)
{
  const error_answer_t *row = error_answer (kind);
  JsonNode *node = http_error_node (kind, row->ran, NULL, request_id);
  char *text = http_json_text (node);
  void *scratch = talloc_new (NULL);
  http_fields_t fields = { 0 };
  char seconds[32];

  json_node_unref (node);
  http_fields_add (scratch, &fields, "Content-Type", "application/json");
  if (retry_after_ms > 0)
    {
      snprintf (seconds, sizeof seconds, "%u.%03u", retry_after_ms / 1000,
                retry_after_ms % 1000);
      http_fields_add (scratch, &fields, "Retry-After", seconds);
    }
  caller_reply_begin (caller, (uint32_t)row->http_status, row->name, &fields,
                      (int64_t)strlen (text));
  caller_reply_data (caller, text, strlen (text));
  caller_reply_end (caller);
  g_free (text);
  talloc_free (scratch);
}

static void
count_refusal (gateway_t *gateway, error_kind_t kind)
{
  metric_add (gateway->counters.refusals[kind], 1);
}

void
gateway_refuse (gateway_request_t *request,
                error_kind_t kind,
                uint32_t retry_after_ms)
{
  caller_request_t *caller = request->caller;

  count_refusal (request->gateway, kind);
  log_request_end (request, error_name (kind),
                   (uint32_t)error_answer (kind)->http_status);
  caller_request_set_data (caller, NULL);
  reply_error (caller, kind, request->terms.id, retry_after_ms);
  talloc_free (request);
}

void
gateway_abort (gateway_request_t *request, const char *why)
{
  caller_request_t *caller = request->caller;

  metric_add (request->gateway->counters.broken, 1);
  log_request_end (request, why, 0);
  caller_request_set_data (caller, NULL);
  talloc_free (request);
  caller_reply_abort (caller);
}

void
gateway_finish (gateway_request_t *request, uint32_t status)
{
  caller_request_t *caller = request->caller;

  metric_add (request->gateway->counters.answered, 1);
  gateway_observe_times (request, clock_mono_ms ());
  log_request_end (request, "answered", status);
  caller_request_set_data (caller, NULL);
  talloc_free (request);
  caller_reply_end (caller);
}

uint32_t
gateway_add_jitter_ms (uint32_t retry_ms)
{
  return retry_ms + (uint32_t)(random_id () % (retry_ms / 2 + 1));
}

/** Returns whether a request waits for an upstream. */
static bool
is_waiting (const gateway_request_t *request)
{
  return request->ask != NULL && request->exchange == NULL;
}

static void
on_timer (evutil_socket_t fd, short what, void *context)
{
  gateway_request_t *request = context;
  uint64_t now_ms = clock_mono_ms ();

  if (now_ms >= request->deadline_ms)
    {
      gateway_end_attempt (request, UPSTREAM_JOB_NEUTRAL);
      if (request->is_reply_begun)
        gateway_abort (request, "deadline_passed");
      else
        gateway_refuse (request, ERROR_DEADLINE_PASSED, 0);
    }
  else if (is_waiting (request) && now_ms >= gateway_last_useful_ms (request))
    gateway_end_truly (request, ERROR_DEADLINE_UNMEETABLE);
  else if (request->exchange != NULL && request->attempt_due_ms > 0
           && now_ms >= request->attempt_due_ms)
    gateway_on_attempt_stalled (request);
  else
    gateway_set_timer (request);
}

void
gateway_set_timer (gateway_request_t *request)
{
  uint64_t now_ms = clock_mono_ms ();
  uint64_t useful_ms = gateway_last_useful_ms (request);
  uint64_t due_ms = request->deadline_ms;
  struct timeval wait;

  if (request->exchange == NULL && useful_ms > now_ms)
    due_ms = useful_ms;
  if (request->attempt_due_ms > 0 && request->attempt_due_ms < due_ms)
    due_ms = request->attempt_due_ms;
  wait = timeval_from_ms (due_ms > now_ms ? due_ms - now_ms : 0);
  event_add (request->timer, &wait);
}

/** Rejects a request that is not admitted. */
static void
reject_request (gateway_t *gateway,
                caller_request_t *caller,
                const gateway_request_info_t *terms,
                error_kind_t kind)
{
  const char *host = http_fields_find (caller_request_fields (caller), "Host");
  bool is_temporary = error_answer (kind)->http_status == 503;

  count_refusal (gateway, kind);
  log_info ("Request rejected. request=%s reason=%s host=%s target=%s "
            "config=%ju",
            terms->id, error_name (kind), host != NULL ? host : "-",
            caller_request_target (caller),
            (uintmax_t)gateway_config_number (gateway));
  reply_error (caller, kind, terms->id,
               is_temporary ? gateway_add_jitter_ms (STARTUP_RETRY_AFTER_MS)
                            : 0);
}

/** Copies the parts of the configuration that the request uses. */
static void
copy_route_settings (gateway_request_t *request,
                     const gateway_route_t *route,
                     const gateway_service_t *service,
                     const gateway_customer_t *customer)
{
  request->route = *route;
  request->route.name = talloc_strdup (request, route->name);
  request->route.targets = NULL;
  request->service = talloc_strdup (request, service->name);
  if (service->engine != NULL)
    request->engine
        = talloc_memdup (request, service->engine, sizeof *service->engine);
  request->shortest_gap_ms = service->shortest_gap_ms;
  if (customer == NULL)
    return;
  request->customer = talloc_strdup (request, customer->name);
  request->route.priority = customer->priority;
}

static void
set_deadline (gateway_request_t *request)
{
  uint32_t wait_ms = request->route.timeout_ms > 0 ? request->route.timeout_ms
                                                   : DEFAULT_DEADLINE_MS;

  if (request->terms.has_deadline)
    wait_ms = MIN (wait_ms, request->terms.deadline_ms);
  request->deadline_ms = request->arrived_ms + wait_ms;
}

static gateway_request_t *
request_new (gateway_t *gateway,
             caller_request_t *caller,
             const gateway_request_info_t *terms)
{
  gateway_request_t *request = talloc_zero (gateway, gateway_request_t);

  request->gateway = gateway;
  request->caller = caller;
  request->terms = *terms;
  request->parts = gateway->options.protocol->read_parts (
      request, caller_request_fields (caller));
  request->arrived_ms = caller_request_arrived_ms (caller);
  request->config_number = gateway->config->number;
  request->last_event = terms->last_event;
  request->has_event = terms->has_last_event;
  request->body = shared_bytes_new ();
  request->timer = event_new (gateway->options.base, -1, 0, on_timer, request);
  talloc_set_destructor (request, free_request);
  g_ptr_array_add (gateway->open, request);
  caller_request_set_data (caller, request);
  return request;
}

void
gateway_admit (gateway_t *gateway, caller_request_t *caller)
{
  const http_fields_t *fields = caller_request_fields (caller);
  const char *host = http_fields_find (fields, "Host");
  gateway_request_info_t terms = { .id = "" };
  const gateway_route_t *route;
  const gateway_customer_t *customer = NULL;
  gateway_request_t *request;

  gateway->options.protocol->read_request_info (fields, &terms);
  caller_request_set_id (caller, terms.id);
  if (gateway->config == NULL)
    {
      if (!gateway_hold_at_startup (gateway, caller, terms.id))
        reject_request (gateway, caller, &terms, ERROR_NO_CONFIGURATION);
      return;
    }
  route = gateway_config_route (gateway->config, host != NULL ? host : "",
                                caller_request_target (caller));
  if (route == NULL)
    {
      reject_request (gateway, caller, &terms, ERROR_NOT_FOUND);
      return;
    }
  if (gateway->config->has_customers && terms.key != NULL)
    customer = gateway_config_customer (gateway->config, terms.key);
  if (gateway->config->has_customers && customer == NULL && !route->is_public)
    {
      reject_request (gateway, caller, &terms, ERROR_UNAUTHORIZED);
      return;
    }
  if (gateway_hold_at_startup (gateway, caller, terms.id))
    return;
  request = request_new (gateway, caller, &terms);
  copy_route_settings (request, route,
                       gateway_config_pick_service (gateway->config, route,
                                                    (uint32_t)random_id ()),
                       customer);
  request->parts.request = gateway_sign_request (request);
  set_deadline (request);
  if (gateway_is_too_late (request))
    {
      gateway_refuse (request, ERROR_STOPPING,
                      gateway_add_jitter_ms (GATEWAY_RETRY_AFTER_MS));
      return;
    }
  retry_record_request (gateway->retry, request->service, clock_mono_ms ());
  gateway_set_timer (request);
  gateway_place (request);
}

static void
on_request (caller_request_t *caller, void *context)
{
  gateway_t *gateway = context;

  metric_add (gateway->counters.requests, 1);
  gateway_admit (gateway, caller);
}

static const char *
read_request_id (const http_fields_t *fields, void *context)
{
  gateway_t *gateway = context;
  gateway_request_info_t terms = { .id = "" };

  gateway->options.protocol->read_request_info (fields, &terms);
  return terms.id;
}

static void
on_gone (caller_request_t *caller, void *context)
{
  gateway_t *gateway = context;
  gateway_request_t *request = caller_request_data (caller);

  if (request == NULL)
    {
      gateway_drop_held_at_startup (gateway, caller);
      return;
    }
  metric_add (gateway->counters.gone, 1);
  log_request_end (request, "caller_gone", 0);
  gateway_end_attempt (request, UPSTREAM_JOB_NEUTRAL);
  talloc_free (request);
}

void
gateway_on_reclaim (caller_request_t *caller, void *context)
{
  gateway_t *gateway = context;
  gateway_request_t *request = caller_request_data (caller);
  gateway_request_info_t terms = { .id = "" };

  if (request != NULL)
    {
      gateway_end_truly (request, ERROR_NO_MEMORY);
      return;
    }
  gateway_drop_held_at_startup (gateway, caller);
  gateway->options.protocol->read_request_info (caller_request_fields (caller),
                                                &terms);
  reject_request (gateway, caller, &terms, ERROR_NO_MEMORY);
}

size_t
gateway_max_unsent_bytes (const gateway_t *gateway)
{
  const memory_account_t *memory = gateway->options.memory;
  uint64_t limit = memory != NULL ? memory_account_limit (memory) : 0;
  uint64_t held = limit > 0 ? memory_account_held (memory) : 0;

  if (limit == 0)
    return MAX_UNSENT_BYTES;
  return (size_t)CLAMP ((limit - MIN (held, limit)) / UNSENT_SHARE,
                        MIN_UNSENT_BYTES, MAX_UNSENT_BYTES);
}

static void
on_drained (caller_request_t *caller, void *context)
{
  gateway_request_t *request = caller_request_data (caller);

  if (request != NULL)
    gateway_resume_reading (request);
}

static void
on_tick (evutil_socket_t fd, short what, void *context)
{
  gateway_t *gateway = context;
  uint64_t now_ms = clock_mono_ms ();

  pause_detector_update (&gateway->process_pause, GATEWAY_TICK_MS, now_ms);
  upstream_set_tick (gateway->set, now_ms);
  quarantine_tick (gateway->quarantine, now_ms);
  gateway_probe_path (gateway);
}

static void
on_upstream_cold (const upstream_member_t *member, void *context)
{
  gateway_t *gateway = context;

  metric_add (gateway->counters.cold, 1);
}

static void
on_upstream_gone (const upstream_member_t *member, void *context)
{
  gateway_t *gateway = context;

  log_info ("An upstream accepts no new requests. upstream=%s address=%s",
            member->id, member->address);
  exchange_pool_close_idle (gateway->pool, member->key);
}

static void
on_reservation_released (uint64_t job_id, void *context)
{
  gateway_t *gateway = context;

  if (gateway->placement != NULL)
    zone_placement_end (gateway->placement, job_id, UPSTREAM_JOB_NEUTRAL);
}

static int
free_gateway (gateway_t *gateway)
{
  while (gateway->open->len > 0)
    {
      gateway_request_t *request = g_ptr_array_index (gateway->open, 0);

      log_request_end (request, "process_ended", 0);
      talloc_free (request);
    }
  g_ptr_array_free (gateway->open, TRUE);
  TALLOC_FREE (gateway->callers);
  event_free (gateway->tick);
  event_free (gateway->startup_timer);
  g_ptr_array_free (gateway->startup_queue, TRUE);
  return 0;
}

static bool
open_sockets (gateway_t *gateway)
{
  gateway_config_t *empty = gateway_config_new (gateway);
  caller_server_options_t callers
      = { .base = gateway->options.base,
          .listen = gateway->options.listen,
          .limits = empty->limits,
          .on_request = on_request,
          .on_gone = on_gone,
          .request_id = read_request_id,
          .on_drained = on_drained,
          .on_reclaim = gateway_on_reclaim,
          .context = gateway,
          .memory = gateway->options.memory,
          .max_connections = gateway->options.max_connections,
          .metrics = gateway->options.metrics };

  talloc_free (empty);
  if (!gateway_open_placement (gateway) || !gateway_open_tunnels (gateway))
    return false;
  gateway->callers = caller_server_new (gateway, &callers);
  return gateway->callers != NULL;
}

gateway_t *
gateway_new (void *parent, const gateway_options_t *options)
{
  gateway_t *gateway = talloc_zero (parent, gateway_t);
  upstream_set_options_t set
      = { .on_gone = on_upstream_gone,
          .on_answer = gateway_on_job_answered,
          .on_broken = gateway_on_job_broken,
          .on_complete = gateway_on_job_complete,
          .find_cold_rate = gateway_find_cold_rate,
          .is_paced = gateway_is_paced,
          .on_cold = on_upstream_cold,
          .services = { .is_known = gateway_has_service, .context = gateway },
          .context = gateway };
  exchange_pool_options_t pool = { .base = options->base,
                                   .connect_timeout_ms = CONNECT_TIMEOUT_MS,
                                   .idle_timeout_ms = IDLE_TIMEOUT_MS };
  engine_memory_options_t memory = { .base = options->base,
                                     .protocol = options->protocol,
                                     .on_released = on_reservation_released,
                                     .context = gateway,
                                     .metrics = options->metrics };
  struct timeval interval = { .tv_usec = GATEWAY_TICK_MS * 1000 };

  if (options->memory != NULL)
    pool.receive_buffer_bytes = UPSTREAM_BUFFER_BYTES;
  gateway->options = *options;
  /* The strings of the options may be freed, as when settings are reloaded. */
  gateway->options.zone = talloc_strdup (gateway, options->zone);
  gateway->options.listen = talloc_strdup (gateway, options->listen);
  gateway->options.share_listen
      = talloc_strdup (gateway, options->share_listen);
  gateway->open = g_ptr_array_new ();
  gateway->startup_queue = g_ptr_array_new ();
  gateway->started_ms = clock_mono_ms ();
  gateway->startup_timer
      = event_new (options->base, -1, 0, gateway_on_startup_timer, gateway);
  gateway->tick = event_new (options->base, -1, EV_PERSIST, on_tick, gateway);
  talloc_set_destructor (gateway, free_gateway);
  event_add (gateway->tick, &interval);
  gateway->quarantine = quarantine_new (gateway, options->metrics);
  gateway->set = upstream_set_new (gateway, &set);
  gateway->path = pool.path = gateway_new_path (gateway);
  gateway->pool = exchange_pool_new (gateway, &pool);
  memory.pool = gateway->pool;
  gateway->memory = engine_memory_new (gateway, &memory);
  pause_detector_update (&gateway->process_pause, GATEWAY_TICK_MS,
                         clock_mono_ms ());
  gateway->retry = retry_new (gateway, options->metrics);
  gateway_add_metrics (gateway);
  if (open_sockets (gateway))
    return gateway;
  talloc_free (gateway);
  return NULL;
}

void
gateway_set_config (gateway_t *gateway, gateway_config_t *config)
{
  if (gateway->config != NULL && config->number <= gateway->config->number)
    {
      talloc_free (config);
      return;
    }
  log_info ("Configuration is in force. number=%ju before=%ju routes=%zu "
            "services=%zu customers=%zu",
            (uintmax_t)config->number,
            (uintmax_t)gateway_config_number (gateway), config->route_count,
            config->service_count, config->customer_count);
  talloc_free (gateway->config);
  gateway->config = talloc_steal (gateway, config);
  caller_server_set_limits (gateway->callers, &config->limits);
  /* The services of the configuration decide who has replaced whom. */
  if (gateway->directory != NULL)
    upstream_set_sync (gateway->set, gateway->directory, clock_mono_ms ());
  gateway_flush_startup_queue (gateway);
}

uint64_t
gateway_config_number (const gateway_t *gateway)
{
  return gateway->config != NULL ? gateway->config->number : 0;
}

uint32_t
gateway_open_requests (const gateway_t *gateway)
{
  return caller_server_open_requests (gateway->callers);
}
