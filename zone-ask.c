#include <event2/event.h>
#include <talloc.h>

#include "base.h"
#include "placement-message.h"
#include "zone-placement-internal.h"
#define LOG_PART "placement"
#include "logging.h"

/** Time in which a placer must answer. */
#define ANSWER_TIMEOUT_MS 100
/** Interval at which a queued request is asked for again, which shows whether
 * its placer still lives. */
#define KEEP_ALIVE_MS 400
/** Time for which a request is held for the placer of a zone that has just
 * started, and the interval at which that is checked. */
#define HOLD_MS          100
#define HOLD_INTERVAL_MS 5
/** Instances asked before this one decides itself. */
#define MAX_REMOTE_TRIES 2

/** A request of this instance that waits for an upstream. */
struct zone_ask
{
  zone_placement_t *placement;
  placement_request_t request;
  placer_peer_t *peer; /* instance asked; NULL: this one */
  uint32_t tries;      /* other instances asked so far */
  bool is_queued;
  bool is_answered;       /* by the instance asked now */
  uint64_t held_until_ms; /* for a placer of a zone that starts, or 0 */
  struct event *timer;
  zone_ask_cb_t on_answer;
  void *context;
};

const char *
zone_fallback_name (zone_fallback_t why)
{
  static const char *const names[ZONE_FALLBACK_COUNT]
      = { [ZONE_FALLBACK_TIMEOUT] = "timeout",
          [ZONE_FALLBACK_UNABLE] = "unable",
          [ZONE_FALLBACK_UNKNOWN] = "unknown_upstream",
          [ZONE_FALLBACK_DRAINED] = "drained_zone",
          [ZONE_FALLBACK_STARTING] = "starting" };

  return names[why];
}

static void
set_timer (zone_ask_t *ask, uint32_t wait_ms)
{
  struct timeval wait = timeval_from_ms (wait_ms);

  event_add (ask->timer, &wait);
}

static void
set_queued (zone_ask_t *ask, bool is_queued)
{
  if (is_queued && !ask->is_queued)
    ask->placement->queued++;
  if (!is_queued && ask->is_queued)
    ask->placement->queued--;
  ask->is_queued = is_queued;
}

static int
free_ask (zone_ask_t *ask)
{
  set_queued (ask, false);
  g_hash_table_remove (ask->placement->asks, &ask->request.id);
  event_free (ask->timer);
  return 0;
}

/** Gives the request an id that no other instance uses, with room for the ids
 * of its helpers' jobs. */
static void
set_new_id (zone_ask_t *ask)
{
  zone_placement_t *placement = ask->placement;

  if (ask->request.id != 0)
    g_hash_table_remove (placement->asks, &ask->request.id);
  placement->last_id += PLACEMENT_MAX_JOBS;
  ask->request.id = placement->last_id;
  g_hash_table_insert (placement->asks, &ask->request.id, ask);
}

static void
send_request (zone_ask_t *ask)
{
  Lwm__ShareMessage message = LWM__SHARE_MESSAGE__INIT;
  Lwm__PlaceRequest request;

  placement_request_to_message (&ask->request, clock_mono_ms (), &request);
  message.what_case = LWM__SHARE_MESSAGE__WHAT_REQUEST;
  message.request = &request;
  share_link_send (ask->placement->link, ask->peer->address, &message);
}

static void
send_cancel (zone_placement_t *placement, const char *address, uint64_t id)
{
  Lwm__ShareMessage message = LWM__SHARE_MESSAGE__INIT;
  Lwm__PlaceCancel cancel = LWM__PLACE_CANCEL__INIT;

  cancel.ids = &id;
  cancel.n_ids = 1;
  message.what_case = LWM__SHARE_MESSAGE__WHAT_CANCEL;
  message.cancel = &cancel;
  share_link_send (placement->link, address, &message);
}

/** Withdraws the request at the instance that was asked last. */
static void
withdraw (zone_ask_t *ask)
{
  if (ask->peer != NULL)
    send_cancel (ask->placement, ask->peer->address, ask->request.id);
  else
    placer_cancel (ask->placement->placer, 0, ask->request.id);
}

/** Logs a change of the instance that decides for this one. */
static void
record_placer (zone_placement_t *placement, const placer_peer_t *peer)
{
  if (placement->last_placer == peer)
    return;
  placement->last_placer = peer;
  metric_add (placement->counters.handovers, 1);
  log_info ("Another instance chooses upstreams for this one. placer=%s",
            peer != NULL ? peer->address : "self");
}

/** Asks an instance, or this one when @a peer is NULL. */
static void
ask_instance (zone_ask_t *ask, placer_peer_t *peer)
{
  ask->peer = peer;
  ask->is_answered = false;
  set_new_id (ask);
  if (peer == NULL)
    {
      set_timer (ask, 0);
      return;
    }
  ask->request.is_alone = false;
  ask->tries++;
  /* The placer must know of a failed attempt before it chooses again. */
  load_share_flush (ask->placement->share);
  send_request (ask);
  set_timer (ask, ANSWER_TIMEOUT_MS);
}

static void pass_answer (zone_ask_t *ask, const placement_answer_t *answer);

/** Decides here. A stalled request stays where it is, as only a placer knows
 * what its upstreams do meanwhile. */
static void
ask_locally (zone_ask_t *ask, zone_fallback_t why)
{
  static const placement_answer_t keep = { .kind = PLACEMENT_KEEP };

  if (ask->request.is_move)
    {
      pass_answer (ask, &keep);
      return;
    }
  ask->request.is_alone = true;
  metric_add (ask->placement->counters.fallbacks[why], 1);
  log_info ("This instance chooses an upstream itself. ask=%ju why=%s",
            (uintmax_t)ask->request.id, zone_fallback_name (why));
  ask_instance (ask, NULL);
}

/** Passes an answer to the request's owner; frees the ask unless it is queued.
 */
static void
pass_answer (zone_ask_t *ask, const placement_answer_t *answer)
{
  zone_ask_cb_t on_answer = ask->on_answer;
  placement_request_t request = ask->request;
  void *scratch;
  void *context = ask->context;
  bool was_queued = ask->is_queued;

  if (answer->kind == PLACEMENT_QUEUED)
    {
      set_queued (ask, true);
      set_timer (ask, KEEP_ALIVE_MS);
      if (!was_queued)
        on_answer (&request, answer, context);
      return;
    }
  scratch = talloc_new (ask->placement);
  request.parts = prompt_parts_copy (scratch, &request.parts);
  talloc_free (ask);
  on_answer (&request, answer, context);
  talloc_free (scratch);
}

/** Asks the next usable instance instead of one that does not decide, or
 * decides here. */
static void
ask_next (zone_ask_t *ask, zone_fallback_t why)
{
  placer_peer_t *next = placer_ranking_placer (ask->placement->ranking,
                                               ask->peer, clock_mono_ms ());

  set_queued (ask, false);
  load_share_update_targets (ask->placement->share);
  if (next != NULL && ask->tries < MAX_REMOTE_TRIES)
    ask_instance (ask, next);
  else
    ask_locally (ask, why);
}

/** Handles a request that its placer did not answer in time. */
static void
on_timeout (zone_ask_t *ask)
{
  zone_placement_t *placement = ask->placement;
  placer_peer_t *silent = ask->peer;

  metric_add (placement->counters.timeouts, 1);
  log_info ("A placer did not answer in time. ask=%ju placer=%s",
            (uintmax_t)ask->request.id, silent->address);
  placer_ranking_on_timeout (silent);
  withdraw (ask);
  ask_next (ask, ZONE_FALLBACK_TIMEOUT);
}

/** Returns whether a request that this instance placed alone can be placed for
 * all instances of the zone now. */
static bool
is_alone_no_more (const zone_ask_t *ask, uint64_t now_ms)
{
  return ask->request.is_alone
         && load_share_is_complete (ask->placement->share, now_ms);
}

/** Asks for a queued request again: its placer may be gone, or another instance
 * may be the placer now. */
static void
renew_ask (zone_ask_t *ask)
{
  zone_placement_t *placement = ask->placement;
  uint64_t now_ms = clock_mono_ms ();
  placer_peer_t *peer
      = placer_ranking_placer (placement->ranking, NULL, now_ms);

  if (ask->request.is_local)
    set_timer (ask, KEEP_ALIVE_MS);
  else if (peer != ask->peer
           || (peer == NULL && is_alone_no_more (ask, now_ms)))
    {
      withdraw (ask);
      ask->tries = 0;
      ask->request.is_alone = false;
      record_placer (placement, peer);
      ask_instance (ask, peer);
    }
  else if (peer != NULL)
    {
      ask->is_answered = false;
      send_request (ask);
      set_timer (ask, ANSWER_TIMEOUT_MS);
    }
  else
    set_timer (ask, KEEP_ALIVE_MS);
}

/** Asks the placer of the zone. A request that comes while the zone starts is
 * held for a while, as each instance would choose the same upstreams. */
static void
ask_placer_or_hold (zone_ask_t *ask)
{
  zone_placement_t *placement = ask->placement;
  uint64_t now_ms = clock_mono_ms ();
  placer_peer_t *peer
      = placer_ranking_placer (placement->ranking, NULL, now_ms);

  record_placer (placement, peer);
  if (peer != NULL || ask->request.is_move
      || !load_share_is_starting (placement->share, now_ms))
    {
      ask->held_until_ms = 0;
      ask_instance (ask, peer);
      return;
    }
  if (ask->held_until_ms == 0)
    {
      ask->held_until_ms = now_ms + HOLD_MS;
      set_new_id (ask);
      metric_add (placement->counters.held, 1);
    }
  if (now_ms < ask->held_until_ms)
    {
      set_timer (ask, HOLD_INTERVAL_MS);
      return;
    }
  ask->held_until_ms = 0;
  ask_locally (ask, ZONE_FALLBACK_STARTING);
}

static void
on_ask_timer (evutil_socket_t fd, short what, void *context)
{
  zone_ask_t *ask = context;

  if (ask->held_until_ms > 0)
    ask_placer_or_hold (ask);
  else if (ask->peer == NULL && !ask->is_answered)
    zone_placement_decide (ask->placement, &ask->request, clock_mono_ms ());
  else if (ask->is_answered)
    renew_ask (ask);
  else
    on_timeout (ask);
}

zone_ask_t *
zone_placement_ask (zone_placement_t *placement,
                    const placement_request_t *request,
                    zone_ask_cb_t on_answer,
                    void *context)
{
  zone_ask_t *ask = talloc_zero (placement, zone_ask_t);

  ask->placement = placement;
  ask->request = *request;
  ask->request.parts = prompt_parts_copy (ask, &request->parts);
  ask->request.id = 0;
  ask->request.owner = 0;
  ask->on_answer = on_answer;
  ask->context = context;
  ask->timer = event_new (placement->options.base, -1, 0, on_ask_timer, ask);
  talloc_set_destructor (ask, free_ask);
  if (request->is_local)
    ask_locally (ask, ZONE_FALLBACK_DRAINED);
  else
    ask_placer_or_hold (ask);
  return ask;
}

void
zone_ask_cancel (zone_ask_t *ask)
{
  withdraw (ask);
  talloc_free (ask);
}

bool
zone_ask_is_queued (const zone_ask_t *ask)
{
  return ask->is_queued;
}

/** Ends the jobs of a request that was placed but is not sent. */
static void
end_jobs_of_answer (zone_placement_t *placement, const Lwm__PlaceAnswer *answer)
{
  for (uint64_t i = 0; i <= answer->n_helpers; i++)
    load_share_end (placement->share, answer->id + i, UPSTREAM_JOB_NEUTRAL);
}

/** Returns whether this instance knows all upstreams of an answer. */
static bool
knows_upstreams (const zone_placement_t *placement,
                 const placement_answer_t *answer)
{
  const upstream_set_t *set = placement->options.set;

  if (answer->kind != PLACEMENT_SEND)
    return true;
  if (upstream_set_find (set, answer->upstream) == NULL)
    return false;
  for (uint32_t i = 0; i < answer->helper_count; i++)
    if (upstream_set_find (set, answer->helpers[i]) == NULL)
      return false;
  return true;
}

/** Handles the answer of another instance. */
void
zone_ask_receive (zone_placement_t *placement, const Lwm__PlaceAnswer *message)
{
  zone_ask_t *ask = g_hash_table_lookup (placement->asks, &message->id);
  placement_answer_t answer;

  if (!placement_answer_from_message (message, &answer))
    {
      log_warn ("Dropped a malformed answer of an entry instance.");
      return;
    }
  if (ask == NULL)
    {
      if (answer.kind == PLACEMENT_SEND)
        end_jobs_of_answer (placement, message);
      return;
    }
  ask->is_answered = true;
  if (answer.kind == PLACEMENT_UNABLE)
    {
      withdraw (ask);
      ask_next (ask, ZONE_FALLBACK_UNABLE);
    }
  else if (!knows_upstreams (placement, &answer))
    {
      end_jobs_of_answer (placement, message);
      ask_locally (ask, ZONE_FALLBACK_UNKNOWN);
    }
  else
    {
      if (answer.kind != PLACEMENT_QUEUED)
        metric_add (placement->counters.remote, 1);
      pass_answer (ask, &answer);
    }
}

void
zone_ask_decided (zone_placement_t *placement,
                  const placement_request_t *request,
                  const placement_answer_t *answer)
{
  zone_ask_t *ask = g_hash_table_lookup (placement->asks, &request->id);

  if (ask == NULL)
    return;
  ask->is_answered = true;
  if (answer->kind != PLACEMENT_QUEUED)
    metric_add (placement->counters.local, 1);
  pass_answer (ask, answer);
}

void
zone_ask_drop_all (zone_placement_t *placement)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, placement->asks);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      zone_ask_t *ask = value;

      event_free (ask->timer);
      talloc_set_destructor (ask, NULL);
    }
}
