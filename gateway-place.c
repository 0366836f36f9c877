#include <string.h>

#include "base.h"
#include "gateway-internal.h"
#define LOG_PART "gateway"
#include "logging.h"

/** Returns the service in the active configuration, or NULL. */
static const gateway_service_t *
find_configured (const gateway_t *gateway, const char *name)
{
  return gateway->config != NULL
             ? gateway_config_service (gateway->config, name)
             : NULL;
}

static bool
find_service (const char *name, placer_service_t *found, void *context)
{
  const gateway_service_t *service = find_configured (context, name);

  if (service == NULL)
    return false;
  found->model = service->engine;
  found->shortest_gap_ms = service->shortest_gap_ms;
  return true;
}

bool
gateway_is_paced (const char *name, void *context)
{
  const gateway_service_t *service = find_configured (context, name);

  return service != NULL && service->cold_start_s > 0;
}

bool
gateway_has_service (const char *name, void *context)
{
  return find_configured (context, name) != NULL;
}

upstream_cold_rate_t
gateway_find_cold_rate (const char *name, void *context)
{
  const gateway_t *gateway = context;
  const gateway_options_t *options = &gateway->options;
  const gateway_service_t *service = find_configured (gateway, name);

  if (service == NULL)
    return (upstream_cold_rate_t){ 0 };
  return upstream_cold_make_rate (service->cold_per_s, service->cold_start_s,
                                  options->cold_excess, options->cold_slack);
}

static void
on_orphan (const upstream_job_t *job, void *context)
{
  gateway_t *gateway = context;
  const upstream_member_t *member
      = upstream_set_find (gateway->set, job->upstream);

  if (member != NULL)
    engine_memory_release_orphan (gateway->memory, member->key, member->address,
                                  job->id);
}

bool
gateway_open_placement (gateway_t *gateway)
{
  zone_placement_options_t options
      = { .base = gateway->options.base,
          .listen = gateway->options.share_listen,
          .zone = gateway->options.zone,
          .zone_cost_ms = gateway->options.zone_cost_ms,
          .set = gateway->set,
          .quarantine = gateway->quarantine,
          .find_service = find_service,
          .on_orphan = on_orphan,
          .context = gateway,
          .metrics = gateway->options.metrics };

  gateway->placement = zone_placement_new (gateway, &options);
  return gateway->placement != NULL;
}

uint64_t
gateway_last_useful_ms (const gateway_request_t *request)
{
  uint64_t leaves_ms = request->arrived_ms + request->route.patience_ms;

  return request->route.patience_ms > 0 && !request->has_event
             ? MIN (request->deadline_ms, leaves_ms)
             : request->deadline_ms;
}

static placement_request_t
make_placement_request (const gateway_request_t *request)
{
  placement_request_t placement
      = { .prompt_tokens = request->terms.prompt_tokens,
          .answer_tokens = request->terms.answer_tokens,
          .target_ms = request->route.target_ms,
          .gap_target_ms = request->route.gap_target_ms,
          .priority = request->route.priority,
          .parts = request->parts,
          .arrived_ms = request->arrived_ms,
          .deadline_ms = gateway_last_useful_ms (request),
          .avoid_count = MIN (request->attempt_count, PLACEMENT_MAX_AVOID) };

  g_strlcpy (placement.service, request->service, sizeof placement.service);
  memcpy (placement.avoid, request->avoid,
          placement.avoid_count * sizeof *request->avoid);
  return placement;
}

static void
log_unmeetable (const gateway_request_t *request,
                const placement_answer_t *answer)
{
  log_info (
      "No engine can take the request in time. request=%s prompt=%u "
      "parts=%u damage=%.0f decoding=%.0f waiting=%.0f value=%.0f "
      "blocked_percent=%.0f filled_percent=%.0f usable=%u "
      "predicted_ms=%.0f waited_ms=%ju left_ms=%u",
      request->terms.id, request->terms.prompt_tokens, answer->helper_count + 1,
      answer->damage, answer->damage_decoding, answer->damage_waiting,
      upstream_job_value (request->terms.prompt_tokens,
                          request->terms.answer_tokens),
      answer->blocked * 100, answer->filled * 100, answer->usable,
      answer->first_ms, (uintmax_t)(clock_mono_ms () - request->arrived_ms),
      gateway_remaining_ms (request));
}

/** Ends a request that was not placed. */
static void
refuse_unplaced (gateway_request_t *request, const placement_answer_t *answer)
{
  uint32_t retry_ms
      = answer->retry_ms > 0 ? answer->retry_ms : GATEWAY_RETRY_AFTER_MS;
  error_kind_t kind = ERROR_NO_UPSTREAM;

  if (request->is_reply_begun)
    {
      gateway_abort (request, "no_upstream");
      return;
    }
  if (request->may_have_run)
    {
      gateway_refuse (request, ERROR_UPSTREAM_FAILED, 0);
      return;
    }
  if (answer->kind == PLACEMENT_QUEUE_FULL)
    kind = ERROR_QUEUE_FULL;
  if (answer->kind == PLACEMENT_UNMEETABLE)
    {
      log_unmeetable (request, answer);
      kind = ERROR_DEADLINE_UNMEETABLE;
    }
  gateway_refuse (request, kind, gateway_add_jitter_ms (retry_ms));
}

/** Ends the jobs of a request that was placed but is not sent. */
static void
drop_placement (gateway_request_t *request,
                const placement_request_t *placed,
                const placement_answer_t *answer)
{
  for (uint64_t i = 0; i <= answer->helper_count; i++)
    zone_placement_end (request->gateway->placement, placed->id + i,
                        UPSTREAM_JOB_NEUTRAL);
}

static bool
is_available (const gateway_t *gateway, uint64_t key)
{
  const upstream_member_t *member = upstream_set_find (gateway->set, key);

  return member != NULL
         && upstream_member_is_available (member, clock_mono_ms ());
}

static bool
is_drained (const gateway_t *gateway, uint64_t key)
{
  const upstream_member_t *member = upstream_set_find (gateway->set, key);

  return member != NULL && member->is_drained;
}

/** Returns whether this instance knows no reason not to send to an upstream.
 * @param is_limited the placer counted the request within its rate limit
 * @param is_cold it counted it within the bound on cold upstreams */
static bool
may_send_to (const gateway_t *gateway,
             uint64_t key,
             bool is_limited,
             bool is_cold)
{
  const upstream_member_t *member = upstream_set_find (gateway->set, key);
  uint64_t now_ms = clock_mono_ms ();

  return upstream_member_is_available (member, now_ms)
         && (is_limited || !upstream_limit_holds (&member->limit))
         && (is_cold || !upstream_cold_holds (&member->cold, now_ms));
}

/** Returns the key of an upstream of a placement to which this instance may not
 * send, or 0. It may know more of an upstream than the placer did. */
static uint64_t
find_unavailable (const gateway_t *gateway, const placement_answer_t *answer)
{
  if (!may_send_to (gateway, answer->upstream, answer->is_limited,
                    answer->is_cold))
    return answer->upstream;
  for (uint32_t i = 0; i < answer->helper_count; i++)
    /* The part of a helper is not counted. */
    if (!may_send_to (gateway, answer->helpers[i], false, true))
      return answer->helpers[i];
  return 0;
}

bool
gateway_has_unavailable (const gateway_request_t *request)
{
  const gateway_t *gateway = request->gateway;

  if (!is_available (gateway, request->upstream_key))
    return true;
  for (uint32_t i = 0; i < request->helper_count; i++)
    if (!is_available (gateway, request->helpers[i].upstream_key))
      return true;
  return false;
}

/** Asks for another upstream than one that is not available here. */
static void
place_elsewhere (gateway_request_t *request,
                 const placement_request_t *placed,
                 const placement_answer_t *answer,
                 uint64_t unavailable)
{
  static const placement_answer_t none = { .kind = PLACEMENT_NO_UPSTREAM };

  drop_placement (request, placed, answer);
  if (is_drained (request->gateway, unavailable))
    {
      /* Other upstreams of that placer may be in the same zone. */
      request->places_locally = true;
      gateway_place (request);
      return;
    }
  if (request->attempt_count >= GATEWAY_MAX_ATTEMPTS)
    {
      refuse_unplaced (request, &none);
      return;
    }
  request->avoid[request->attempt_count++] = unavailable;
  gateway_place (request);
}

static void
on_placed (const placement_request_t *placed,
           const placement_answer_t *answer,
           void *context)
{
  gateway_request_t *request = context;
  uint64_t unavailable;

  if (answer->kind == PLACEMENT_QUEUED)
    {
      log_info ("Request waits for a free upstream. request=%s service=%s "
                "prompt=%u waiting=%u job=%ju",
                request->terms.id, request->service,
                request->terms.prompt_tokens,
                zone_placement_queued (request->gateway->placement),
                (uintmax_t)placed->id);
      gateway_refuse_if_stopping (request);
      return;
    }
  request->ask = NULL;
  if (answer->kind != PLACEMENT_SEND)
    refuse_unplaced (request, answer);
  else if (gateway_quarantine_level (request) == QUARANTINE_BLOCKED)
    {
      /* It was queued while others crashed. */
      drop_placement (request, placed, answer);
      gateway_refuse_quarantined (request);
    }
  else if ((unavailable = find_unavailable (request->gateway, answer)) != 0)
    place_elsewhere (request, placed, answer, unavailable);
  else
    gateway_start_attempt (request, placed, answer);
}

void
gateway_place (gateway_request_t *request)
{
  placement_request_t placement = make_placement_request (request);

  placement.is_local = request->places_locally;
  if (request->ask != NULL)
    zone_ask_cancel (request->ask);
  request->ask = NULL;
  if (gateway_quarantine_level (request) == QUARANTINE_BLOCKED)
    {
      gateway_refuse_quarantined (request);
      return;
    }
  request->ask = zone_placement_ask (request->gateway->placement, &placement,
                                     on_placed, request);
}

static void
on_move_answered (const placement_request_t *placed,
                  const placement_answer_t *answer,
                  void *context)
{
  gateway_request_t *request = context;

  request->ask = NULL;
  if (answer->kind != PLACEMENT_SEND)
    return;
  if (gateway_quarantine_level (request) == QUARANTINE_CLEAR
      && find_unavailable (request->gateway, answer) == 0)
    gateway_move_attempt (request, placed, answer);
  else
    drop_placement (request, placed, answer);
}

void
gateway_ask_to_move (gateway_request_t *request)
{
  placement_request_t placement = make_placement_request (request);

  placement.is_move = true;
  placement.silent_ms = (uint32_t)gateway_silent_ms (request, clock_mono_ms ());
  placement.current[placement.current_count++] = request->upstream_key;
  for (uint32_t i = 0; i < request->helper_count; i++)
    placement.current[placement.current_count++]
        = request->helpers[i].upstream_key;
  request->ask = zone_placement_ask (request->gateway->placement, &placement,
                                     on_move_answered, request);
}

void
gateway_set_directory (gateway_t *gateway, const directory_t *directory)
{
  gateway->directory = directory;
  upstream_set_sync (gateway->set, directory, clock_mono_ms ());
  gateway_check_startup_queue (gateway);
  zone_placement_recheck (gateway->placement);
}

bool
gateway_has_upstreams (const gateway_t *gateway)
{
  size_t count;
  const upstream_member_t *const *members
      = upstream_set_members (gateway->set, &count);

  for (size_t i = 0; i < count; i++)
    if (find_configured (gateway, members[i]->service) != NULL)
      return true;
  return false;
}

void
gateway_drain_zones (gateway_t *gateway, char *const *zones, size_t count)
{
  upstream_set_drain_zones (gateway->set, zones, count, clock_mono_ms ());
  zone_placement_recheck (gateway->placement);
}

zone_placement_t *
gateway_placement (gateway_t *gateway)
{
  return gateway->placement;
}
