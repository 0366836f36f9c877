#include "zone-placement.h"

#include <event2/event.h>
#include <glib.h>
#include <string.h>
#include <talloc.h>

#include "base.h"
#include "placement-message.h"
#include "zone-placement-internal.h"
#define LOG_PART "placement"
#include "logging.h"

/** Delay of a pass over the queue after a change. */
#define QUEUE_DELAY_MS 2
/** Interval of further passes while requests are queued. */
#define QUEUE_INTERVAL_MS 20
/** Time after the start in which no share of a cold upstream's bound is used.
 */
#define COLD_START_WAIT_MS 1100

/** Time from the first request in which a zone that has just started spreads
 * its requests. */
#define SPREAD_MS 150

static void
schedule_queue (zone_placement_t *placement, uint32_t wait_ms)
{
  struct timeval wait = timeval_from_ms (wait_ms);

  if (placer_queued (placement->placer) > 0
      && !event_pending (placement->queue_timer, EV_TIMEOUT, NULL))
    event_add (placement->queue_timer, &wait);
}

static void
on_queue_timer (evutil_socket_t fd, short what, void *context)
{
  zone_placement_t *placement = context;

  placer_run (placement->placer, clock_mono_ms ());
  schedule_queue (placement, QUEUE_INTERVAL_MS);
}

/** Answers a request of another instance. */
static void
send_answer (zone_placement_t *placement,
             const placement_request_t *request,
             const placement_answer_t *answer)
{
  Lwm__ShareMessage message = LWM__SHARE_MESSAGE__INIT;
  Lwm__PlaceAnswer reply;

  placement_answer_to_message (answer, request->id, &reply);
  message.what_case = LWM__SHARE_MESSAGE__WHAT_ANSWER;
  message.answer = &reply;
  share_link_reply (placement->link, request->owner, &message);
}

/** Handles a decision of this instance's placer. */
static void
on_decision (const placement_request_t *request,
             const placement_answer_t *answer,
             void *context)
{
  zone_placement_t *placement = context;

  if (answer->kind == PLACEMENT_QUEUED)
    schedule_queue (placement, QUEUE_INTERVAL_MS);
  if (request->owner == 0)
    {
      zone_ask_decided (placement, request, answer);
      return;
    }
  if (answer->kind == PLACEMENT_SEND)
    {
      upstream_job_t jobs[PLACEMENT_MAX_JOBS];
      uint32_t count = placement_jobs (request, answer, clock_mono_ms (), jobs);

      for (uint32_t i = 0; i < count; i++)
        load_share_begin_placed (placement->share, &jobs[i]);
    }
  if (answer->kind != PLACEMENT_QUEUED)
    metric_add (placement->counters.served, 1);
  send_answer (placement, request, answer);
}

void
zone_placement_decide (zone_placement_t *placement,
                       const placement_request_t *request,
                       uint64_t now_ms)
{
  /* The crowd that comes back after a common start would be packed onto the few
   * engines that got the first requests, and it is unknown what the engines
   * hold from before. */
  if (!placement->has_placed
      && load_share_is_new_zone (placement->share, now_ms))
    placer_spread_until (placement->placer, now_ms + SPREAD_MS);
  placement->has_placed = true;
  placer_ask (placement->placer, request, now_ms);
}

static bool is_able (void *context);

static void
receive_request (zone_placement_t *placement,
                 uint64_t sender,
                 const Lwm__PlaceRequest *message)
{
  uint64_t now_ms = clock_mono_ms ();
  placement_request_t request;

  if (!placement_request_from_message (message, sender, now_ms, &request))
    {
      log_warn ("Dropped a malformed request of an entry instance.");
      return;
    }
  if (!is_able (placement))
    {
      /* The sender may have known an earlier incarnation of this instance. */
      static const placement_answer_t unable = { .kind = PLACEMENT_UNABLE };

      send_answer (placement, &request, &unable);
      return;
    }
  load_share_act (placement->share, now_ms);
  zone_placement_decide (placement, &request, now_ms);
}

static void
on_message (const Lwm__ShareMessage *message,
            const char *address,
            void *context)
{
  zone_placement_t *placement = context;

  switch (message->what_case)
    {
    case LWM__SHARE_MESSAGE__WHAT_UPDATE:
    case LWM__SHARE_MESSAGE__WHAT_ACK:
      load_share_receive (placement->share, message, address);
      break;
    case LWM__SHARE_MESSAGE__WHAT_REQUEST:
      receive_request (placement, message->sender, message->request);
      break;
    case LWM__SHARE_MESSAGE__WHAT_ANSWER:
      zone_ask_receive (placement, message->answer);
      break;
    case LWM__SHARE_MESSAGE__WHAT_CANCEL:
      for (size_t i = 0; i < message->cancel->n_ids; i++)
        placer_cancel (placement->placer, message->sender,
                       message->cancel->ids[i]);
      break;
    default:
      log_warn ("Dropped a message of an unknown kind from an entry "
                "instance.");
    }
}

static bool
find_service (const char *name, placer_service_t *service, void *context)
{
  const zone_placement_t *placement = context;

  return placement->options.find_service (name, service,
                                          placement->options.context);
}

/** Returns the part of the bound on a cold upstream's requests that may be
 * granted here. */
static upstream_cold_share_t
find_cold_share (const upstream_member_t *member, void *context)
{
  const zone_placement_t *placement = context;
  uint64_t now_ms = clock_mono_ms ();
  upstream_cold_share_t share = { .rank = UINT32_MAX };

  share.is_counting
      = placer_ranking_counts_zone (placement->ranking, member->zone)
        && load_share_is_counting (placement->share, now_ms);
  /* A process that ran here before may have used the share lately. */
  if (placement->started_ms + COLD_START_WAIT_MS <= now_ms)
    share.rank = placer_ranking_order (placement->ranking, member->key);
  return share;
}

static void
on_share_change (void *context)
{
  schedule_queue (context, QUEUE_DELAY_MS);
}

static void
on_orphan (const upstream_job_t *job, void *context)
{
  zone_placement_t *placement = context;

  placement->options.on_orphan (job, placement->options.context);
}

static void
on_lost (uint64_t incarnation, void *context)
{
  zone_placement_t *placement = context;

  placer_drop_owner (placement->placer, incarnation);
}

/** Returns whether this instance can decide for others: it has their services
 * and knows the jobs of its zone. */
static bool
is_able (void *context)
{
  zone_placement_t *placement = context;
  size_t count;

  upstream_set_members (placement->options.set, &count);
  return count > 0
         && load_share_is_complete (placement->share, clock_mono_ms ());
}

/** Logs what keeps a long prompt waiting. */
static void
on_wait (const placement_request_t *request,
         const placement_answer_t *answer,
         void *context)
{
  uint64_t now_ms = clock_mono_ms ();

  log_info (
      "A long prompt waits on. job=%ju prompt=%u held_by=%s parts=%u "
      "damage=%.0f decoding=%.0f waiting=%.0f value=%.0f blocked_percent=%.0f "
      "filled_percent=%.0f arrivals_per_s=%.2f usable=%u predicted_ms=%.0f "
      "waited_ms=%ju left_ms=%ju",
      (uintmax_t)request->id, request->prompt_tokens,
      choice_held_by_name (answer->held_by), answer->helper_count + 1,
      answer->damage, answer->damage_decoding, answer->damage_waiting,
      upstream_job_value (request->prompt_tokens, request->answer_tokens),
      answer->blocked * 100, answer->filled * 100, answer->arrivals_per_s,
      answer->usable, answer->first_ms,
      (uintmax_t)(now_ms - request->arrived_ms),
      (uintmax_t)(request->deadline_ms - MIN (now_ms, request->deadline_ms)));
}

static int
free_placement (zone_placement_t *placement)
{
  zone_ask_drop_all (placement);
  g_hash_table_destroy (placement->asks);
  event_free (placement->queue_timer);
  return 0;
}

static double
read_queued (void *context)
{
  const zone_placement_t *placement = context;

  return placer_queued (placement->placer);
}

static void
add_metrics (zone_placement_t *placement)
{
  metrics_t *metrics = placement->options.metrics;
  zone_counters_t *counters = &placement->counters;
  const char *decisions = "lwm_placement_decisions_total";
  const char *help = "Decisions on the upstream of a request.";
  char labels[64];

  counters->local = metrics_counter (metrics, decisions, help, "by=\"self\"");
  counters->remote
      = metrics_counter (metrics, decisions, help, "by=\"placer\"");
  counters->served
      = metrics_counter (metrics, decisions, help, "by=\"self_for_others\"");
  counters->timeouts = metrics_counter (
      metrics, "lwm_placement_timeouts_total",
      "Requests that a placer did not answer in time.", NULL);
  counters->handovers = metrics_counter (
      metrics, "lwm_placement_handovers_total",
      "Changes of the instance that decides for this one.", NULL);
  counters->held = metrics_counter (
      metrics, "lwm_placement_held_total",
      "Requests held for the placer of a zone that had just started.", NULL);
  for (int i = 0; i < ZONE_FALLBACK_COUNT; i++)
    {
      g_snprintf (labels, sizeof labels, "reason=\"%s\"",
                  zone_fallback_name ((zone_fallback_t)i));
      counters->fallbacks[i] = metrics_counter (
          metrics, "lwm_placement_fallbacks_total",
          "Decisions made here because the placer made none.", labels);
    }
  metrics_gauge_read (metrics, "lwm_placement_queued",
                      "Requests of the zone that wait here for an upstream.",
                      NULL, read_queued, placement);
}

static bool
open_link (zone_placement_t *placement)
{
  const zone_placement_options_t *options = &placement->options;
  share_link_options_t link = { .base = options->base,
                                .listen = options->listen,
                                .on_message = on_message,
                                .context = placement };
  load_share_options_t share = { .base = options->base,
                                 .ranking = placement->ranking,
                                 .zone = options->zone,
                                 .address = options->listen,
                                 .set = options->set,
                                 .quarantine = options->quarantine,
                                 .on_change = on_share_change,
                                 .on_orphan = on_orphan,
                                 .on_lost = on_lost,
                                 .is_able = is_able,
                                 .context = placement,
                                 .metrics = options->metrics };

  placement->link = share.link = share_link_new (placement, &link);
  if (placement->link == NULL)
    return false;
  placement->share = load_share_new (placement, &share);
  return true;
}

zone_placement_t *
zone_placement_new (void *parent, const zone_placement_options_t *options)
{
  zone_placement_t *placement = talloc_zero (parent, zone_placement_t);
  placer_options_t placer = { .set = options->set,
                              .zone = options->zone,
                              .zone_cost_ms = options->zone_cost_ms,
                              .find_service = find_service,
                              .find_cold_share = find_cold_share,
                              .on_answer = on_decision,
                              .on_wait = on_wait,
                              .context = placement };

  placement->options = *options;
  placement->last_id = random_id ();
  placement->started_ms = clock_mono_ms ();
  placement->asks = g_hash_table_new (g_int64_hash, g_int64_equal);
  placement->queue_timer
      = event_new (options->base, -1, 0, on_queue_timer, placement);
  talloc_set_destructor (placement, free_placement);
  placement->ranking
      = placer_ranking_new (placement, options->listen, options->zone);
  placement->placer = placer_new (placement, &placer);
  add_metrics (placement);
  if (open_link (placement))
    return placement;
  talloc_free (placement);
  return NULL;
}

void
zone_placement_add_instances (zone_placement_t *placement,
                              char *const *addresses,
                              char *const *zones,
                              size_t count)
{
  uint64_t now_ms = clock_mono_ms ();
  uint32_t added = 0;

  for (size_t i = 0; i < count; i++)
    added += placer_ranking_add (placement->ranking, addresses[i], zones[i],
                                 now_ms);
  if (added == 0)
    return;
  log_info ("Learned of entry instances. added=%u known=%u", added,
            placer_ranking_count (placement->ranking));
  load_share_update_targets (placement->share);
}

uint32_t
zone_placement_instances (const zone_placement_t *placement)
{
  uint32_t others = placer_ranking_count (placement->ranking);

  return others > 0 ? others + 1 : 0;
}

uint32_t
zone_placement_queued (const zone_placement_t *placement)
{
  return placement->queued;
}

void
zone_placement_begin (zone_placement_t *placement,
                      const placement_request_t *request,
                      const placement_answer_t *answer)
{
  upstream_job_t jobs[PLACEMENT_MAX_JOBS];
  uint32_t count = placement_jobs (request, answer, clock_mono_ms (), jobs);

  for (uint32_t i = 0; i < count; i++)
    {
      upstream_set_begin (placement->options.set, &jobs[i]);
      load_share_begin (placement->share, &jobs[i]);
    }
}

void
zone_placement_first_event (zone_placement_t *placement, uint64_t job_id)
{
  load_share_first_event (placement->share, job_id);
}

void
zone_placement_end (zone_placement_t *placement,
                    uint64_t job_id,
                    upstream_job_end_t how)
{
  upstream_set_end (placement->options.set, job_id, how, clock_mono_ms ());
  load_share_end (placement->share, job_id, how);
}

void
zone_placement_report_state (zone_placement_t *placement,
                             uint64_t upstream,
                             bool is_leaving,
                             uint32_t pause_ms)
{
  upstream_set_t *set = placement->options.set;

  if (is_leaving)
    upstream_set_mark_leaving (set, upstream);
  if (pause_ms > 0)
    upstream_set_pause (set, upstream, clock_mono_ms () + pause_ms);
  load_share_report_state (placement->share, upstream, is_leaving, pause_ms);
}

void
zone_placement_report_late_gap (zone_placement_t *placement, uint64_t upstream)
{
  upstream_set_add_late_gap (placement->options.set, upstream,
                             clock_mono_ms ());
  load_share_report_late_gap (placement->share, upstream);
}

void
zone_placement_report_cold (zone_placement_t *placement,
                            uint64_t upstream,
                            uint32_t cold_ms)
{
  uint64_t now_ms = clock_mono_ms ();

  upstream_set_mark_cold (placement->options.set, upstream, now_ms + cold_ms,
                          now_ms);
  load_share_report_cold (placement->share, upstream, cold_ms);
}

void
zone_placement_report_limit (zone_placement_t *placement,
                             uint64_t upstream,
                             double rate_s,
                             uint64_t stated_ms)
{
  upstream_set_limit (placement->options.set, upstream, rate_s, stated_ms,
                      clock_mono_ms ());
  load_share_report_limit (placement->share, upstream);
}

void
zone_placement_observe (zone_placement_t *placement,
                        uint64_t upstream,
                        double call_ms,
                        double slowness)
{
  upstream_set_t *set = placement->options.set;
  uint64_t now_ms = clock_mono_ms ();

  if (call_ms > 0)
    upstream_set_add_call_time (set, upstream, call_ms, now_ms);
  if (slowness > 0)
    upstream_set_add_slowness (set, upstream, slowness, now_ms);
  load_share_observe (placement->share, upstream, call_ms, slowness);
}

void
zone_placement_recheck (zone_placement_t *placement)
{
  load_share_check_able (placement->share);
  schedule_queue (placement, QUEUE_DELAY_MS);
}
