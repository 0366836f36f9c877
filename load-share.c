#include <event2/event.h>
#include <string.h>
#include <talloc.h>

#include "base.h"
#include "load-share-internal.h"
#define LOG_PART "load-share"
#include "logging.h"

/** Delay of a batch to the own zone, whose placer needs it at once. */
#define OWN_BATCH_MS 1
/** Delay of a batch to other zones, where more changes fit into a message. */
#define ZONE_BATCH_MS     10
#define WHOLE_INTERVAL_MS 1000
#define CHECK_INTERVAL_MS 250
/** Silence after which an instance is taken for lost. One that reports its zone
 * to this one may have been replaced by its stand-by, which reports after
 * PLACER_RANKING_ACK_TIMEOUT_MS, a check and a whole update at the latest. */
#define SENDER_TIMEOUT_MS      2500
#define ZONE_SENDER_TIMEOUT_MS 3500
/** Time for which an instance that placed a request for another one reports its
 * zone's jobs. */
#define ACTING_MS 3000
/** Shortest time between two updates of all jobs; one that a new receiver needs
 * is sent after a random delay, as many instances may learn of it together. */
#define MIN_WHOLE_INTERVAL_MS 100
#define MAX_WHOLE_DELAY_MS    20
/** Time after which a placer counts all requests. An earlier one that lost
 * contact with most instances of the zone has noticed it by then. */
#define COUNTING_MS 2000
/** Longer time between two checks, after which this process may have been
 * replaced as the placer without notice. */
#define MAX_CHECK_GAP_MS 1000

static void
free_sender (gpointer data)
{
  load_sender_t *sender = data;

  g_free (sender->zone);
  g_free (sender->address);
  g_free (sender);
}

static int
free_share (load_share_t *share)
{
  event_free (share->tick);
  event_free (share->check);
  event_free (share->gather);
  g_hash_table_destroy (share->senders);
  return 0;
}

/** Returns whether this instance reports its zone to other zones: others ask
 * it, or it is the placer and knows the zone's jobs. An instance that only
 * lacks a placer, as all do after a common start, does not. */
static bool
is_acting (const load_share_t *share, uint64_t now_ms)
{
  const placer_ranking_t *ranking = share->options.ranking;

  return (share->acted_ms > 0 && share->acted_ms + ACTING_MS > now_ms)
         || (placer_ranking_is_placer (ranking, now_ms)
             && (load_share_is_complete (share, now_ms)
                 || !placer_ranking_has_own_zone (ranking)));
}

/** The jobs that collect_job() collects. */
typedef struct
{
  const load_share_t *share;
  bool is_zone; /* the jobs of the zone, not only those of this instance */
  GArray *jobs; /* upstream_job_t */
} collection_t;

static bool
is_own_zone_source (const load_share_t *share, uint64_t source)
{
  const load_sender_t *sender = g_hash_table_lookup (share->senders, &source);

  return source == 0 || (sender != NULL && sender->is_own_zone);
}

static void
collect_job (const upstream_job_t *job, void *context)
{
  collection_t *collection = context;

  if (job->owner != 0
      && !(collection->is_zone
           && is_own_zone_source (collection->share, job->source)))
    return;
  g_array_append_val (collection->jobs, *job);
}

/** Returns whether the set knows of a limit of an upstream, or of its end. */
static bool
describe_limit (const upstream_member_t *member,
                uint64_t now_ms,
                Lwm__ShareObservation *observation)
{
  lwm__share_observation__init (observation);
  if (member == NULL || member->limit.stated_ms == 0)
    return false;
  observation->upstream = member->key;
  observation->has_limit = true;
  observation->limit_s = (float)member->limit.rate_s;
  observation->limit_ago_ms = (uint32_t)(now_ms - member->limit.stated_ms);
  return true;
}

/** Adds all known limits, for receivers that missed the answers which named
 * them. */
static void
add_limits (const load_share_t *share, load_batch_t *batch)
{
  uint64_t now_ms = clock_mono_ms ();
  Lwm__ShareObservation observation;
  size_t count;
  const upstream_member_t *const *members
      = upstream_set_members (share->options.set, &count);

  for (size_t i = 0; i < count; i++)
    if (describe_limit (members[i], now_ms, &observation))
      load_batch_add_observation (batch, &observation);
}

/** Sends all jobs to the receivers of the zone's batch, or of the own one. */
static void
send_whole (load_share_t *share, bool is_zone)
{
  collection_t collection
      = { .share = share,
          .is_zone = is_zone,
          .jobs = g_array_new (FALSE, FALSE, sizeof (upstream_job_t)) };

  load_batch_t *batch = is_zone ? share->zone : share->own;
  uint64_t now_ms = clock_mono_ms ();

  upstream_set_each_job (share->options.set, collect_job, &collection);
  add_limits (share, batch);
  load_batch_send_whole (batch, collection.jobs,
                         load_share_zone_age_ms (share, now_ms));
  if (!is_zone)
    share->whole_ms = now_ms;
  g_array_free (collection.jobs, TRUE);
}

/** Identifies the jobs to drop, see is_dropped(). */
typedef struct
{
  uint64_t source;
  uint64_t sent_before_ms;
} drop_t;

static bool
is_dropped (const upstream_job_t *job, void *context)
{
  const drop_t *drop = context;

  return job->source == drop->source && job->sent_ms < drop->sent_before_ms;
}

void
load_share_drop_source (load_share_t *share,
                        uint64_t source,
                        uint64_t sent_before_ms)
{
  drop_t drop = { .source = source, .sent_before_ms = sent_before_ms };

  upstream_set_drop_jobs (share->options.set, is_dropped, &drop);
}

/** Collects the jobs of a lost instance that have reservations. */
typedef struct
{
  const load_share_t *share;
  uint64_t source;
  GArray *orphans; /* upstream_job_t */
} orphan_search_t;

static void
collect_orphan (const upstream_job_t *job, void *context)
{
  orphan_search_t *search = context;

  if (job->source != search->source || !job->has_reservation)
    return;
  /* Jobs that another instance reports have that one as their source. In the
   * own zone, the instance that holds the request may live and report anew. */
  if (job->owner != search->source
      && g_hash_table_contains (search->share->senders, &job->owner))
    return;
  g_array_append_val (search->orphans, *job);
}

void
load_share_release_orphan (const load_share_t *share, const upstream_job_t *job)
{
  const load_share_options_t *options = &share->options;

  if (options->on_orphan != NULL)
    options->on_orphan (job, options->context);
}

/**
 * Reports orphans to the instances that choose upstreams, in this zone and in
 * others, whether or not this one reports its zone to them.
 */
static void
announce_orphans (load_share_t *share, const GArray *orphans)
{
  GPtrArray *zone_targets = load_batch_targets (share->zone);

  if (zone_targets->len == 0)
    placer_ranking_zone_targets (share->options.ranking, clock_mono_ms (),
                                 zone_targets);
  for (guint i = 0; i < orphans->len; i++)
    {
      const upstream_job_t *job = &g_array_index (orphans, upstream_job_t, i);

      load_batch_add_orphan (share->own, job->id, job->upstream);
      load_batch_add_orphan (share->zone, job->id, job->upstream);
    }
  load_batch_flush (share->own);
  load_batch_flush (share->zone);
  load_share_update_targets (share);
}

/** Releases the reservations that a lost instance left, here and at others:
 * this instance may fail before its orders have been carried out. */
static void
release_orphans (load_share_t *share, uint64_t source)
{
  orphan_search_t search
      = { .share = share,
          .source = source,
          .orphans = g_array_new (FALSE, FALSE, sizeof (upstream_job_t)) };

  upstream_set_each_job (share->options.set, collect_orphan, &search);
  for (guint i = 0; i < search.orphans->len; i++)
    load_share_release_orphan (
        share, &g_array_index (search.orphans, upstream_job_t, i));
  if (search.orphans->len > 0)
    announce_orphans (share, search.orphans);
  g_array_free (search.orphans, TRUE);
}

void
load_share_forget_sender (load_share_t *share, const load_sender_t *sender)
{
  log_info ("Lost contact with an entry instance. incarnation=%ju zone=%s "
            "silent_ms=%ju",
            (uintmax_t)sender->incarnation,
            sender->zone != NULL ? sender->zone : "-",
            (uintmax_t)(clock_mono_ms () - sender->heard_ms));
  /* Another zone reports only to the placer of this one, so that others cannot
   * tell whether the lost one's stand-by has taken over. */
  if (sender->is_own_zone
      || placer_ranking_is_placer (share->options.ranking, clock_mono_ms ()))
    release_orphans (share, sender->incarnation);
  load_share_drop_source (share, sender->incarnation, UINT64_MAX);
  if (share->options.on_lost != NULL)
    share->options.on_lost (sender->incarnation, share->options.context);
}

/** Removes the instances that timed out, and their jobs. A pause of this
 * process does not count as their silence. */
static void
remove_silent_senders (load_share_t *share, uint64_t now_ms)
{
  GHashTableIter iter;
  gpointer value;

  pause_detector_update (&share->pauses, CHECK_INTERVAL_MS, now_ms);
  g_hash_table_iter_init (&iter, share->senders);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const load_sender_t *sender = value;
      uint64_t since_ms
          = pause_detector_silent_since_ms (&share->pauses, sender->heard_ms);

      if (since_ms
              + (sender->is_own_zone ? SENDER_TIMEOUT_MS
                                     : ZONE_SENDER_TIMEOUT_MS)
          > now_ms)
        continue;
      load_share_forget_sender (share, sender);
      g_hash_table_iter_remove (&iter);
    }
}

static void
schedule_tick (load_share_t *share, uint64_t wait_ms)
{
  struct timeval wait = timeval_from_ms (wait_ms);

  share->tick_ms = clock_mono_ms () + wait_ms;
  event_add (share->tick, &wait);
}

/** Sends all jobs soon, to receivers that do not know them yet. */
static void
send_whole_soon (load_share_t *share, uint64_t now_ms)
{
  uint64_t earliest_ms = MAX (share->whole_ms + MIN_WHOLE_INTERVAL_MS, now_ms);
  uint64_t due_ms = earliest_ms + random_id () % MAX_WHOLE_DELAY_MS;

  if (due_ms < share->tick_ms)
    schedule_tick (share, due_ms - now_ms);
}

/** Returns whether an array of instances has one that another lacks. */
static bool
has_new (const GPtrArray *now, const GPtrArray *before)
{
  for (guint i = 0; i < now->len; i++)
    if (!g_ptr_array_find ((GPtrArray *)before, g_ptr_array_index (now, i),
                           NULL))
      return true;
  return false;
}

/** Chooses the instances of the own zone that receive updates. */
static void
update_own_targets (load_share_t *share, uint64_t now_ms)
{
  GPtrArray *own = load_batch_targets (share->own);
  GPtrArray *before = g_ptr_array_copy (own, NULL, NULL);

  g_ptr_array_set_size (own, 0);
  placer_ranking_own_targets (share->options.ranking, now_ms, own);
  if (has_new (own, before))
    send_whole_soon (share, now_ms);
  g_ptr_array_free (before, TRUE);
}

void
load_share_update_targets (load_share_t *share)
{
  uint64_t now_ms = clock_mono_ms ();
  GPtrArray *zone = load_batch_targets (share->zone);

  g_ptr_array_set_size (zone, 0);
  update_own_targets (share, now_ms);
  if (is_acting (share, now_ms))
    placer_ranking_zone_targets (share->options.ranking, now_ms, zone);
}

static void
on_tick (evutil_socket_t fd, short what, void *context)
{
  load_share_t *share = context;

  load_share_update_targets (share);
  send_whole (share, false);
  if (load_batch_targets (share->zone)->len > 0)
    send_whole (share, true);
  share_link_tick (share->options.link, clock_mono_ms ());
  /* Instances that started together must not report at the same moment. */
  schedule_tick (share, WHOLE_INTERVAL_MS - WHOLE_INTERVAL_MS / 8
                            + random_id () % (WHOLE_INTERVAL_MS / 4));
}

static bool
is_placer (const load_share_t *share, uint64_t now_ms)
{
  const placer_ranking_t *ranking = share->options.ranking;

  return placer_ranking_is_placer (ranking, now_ms)
         && (load_share_is_complete (share, now_ms)
             || !placer_ranking_has_own_zone (ranking));
}

static void
check_placer (load_share_t *share, uint64_t now_ms)
{
  bool has_gap = share->placer_checked_ms + MAX_CHECK_GAP_MS < now_ms;

  if (!is_placer (share, now_ms))
    share->placer_since_ms = 0;
  else if (share->placer_since_ms == 0 || has_gap)
    share->placer_since_ms = now_ms;
  share->placer_checked_ms = now_ms;
}

bool
load_share_is_counting (const load_share_t *share, uint64_t now_ms)
{
  return share->placer_since_ms > 0
         && share->placer_since_ms + COUNTING_MS <= now_ms
         && share->placer_checked_ms + MAX_CHECK_GAP_MS >= now_ms
         && is_placer (share, now_ms)
         && placer_ranking_has_majority (share->options.ranking, now_ms);
}

static void
on_check (evutil_socket_t fd, short what, void *context)
{
  load_share_t *share = context;
  uint64_t now_ms = clock_mono_ms ();

  remove_silent_senders (share, now_ms);
  check_placer (share, now_ms);
  load_share_check_able (share);
  load_share_check_acting (share, now_ms);
}

void
load_share_check_acting (load_share_t *share, uint64_t now_ms)
{
  if (load_batch_targets (share->zone)->len > 0 || !is_acting (share, now_ms))
    return;
  /* The placer was lost, or the zone has just started: other zones must learn
   * of the jobs that go on. */
  load_share_update_targets (share);
  if (load_batch_targets (share->zone)->len > 0)
    send_whole (share, true);
}

void
load_share_act (load_share_t *share, uint64_t now_ms)
{
  bool was_acting = is_acting (share, now_ms);

  share->acted_ms = now_ms;
  if (was_acting)
    return;
  log_info ("This instance chooses upstreams for its zone.");
  load_share_update_targets (share);
}

void
load_share_flush (load_share_t *share)
{
  load_batch_flush (share->own);
}

static void
add_metrics (load_share_t *share)
{
  metrics_t *metrics = share->options.metrics;

  if (metrics == NULL)
    return;
  share->bytes_out
      = metrics_counter (metrics, "lwm_load_share_bytes_total",
                         "Bytes of jobs told to other instances.", NULL);
  share->messages_out
      = metrics_counter (metrics, "lwm_load_share_messages_total",
                         "Messages about jobs to other instances.", NULL);
}

static load_batch_t *
new_batch (load_share_t *share, bool is_zone)
{
  load_batch_options_t options
      = { .base = share->options.base,
          .link = share->options.link,
          .zone = share->options.zone,
          .address = share->options.address,
          .is_zone = is_zone,
          .delay_ms = is_zone ? ZONE_BATCH_MS : OWN_BATCH_MS,
          .bytes = share->bytes_out,
          .messages = share->messages_out };

  return load_batch_new (share, &options);
}

load_share_t *
load_share_new (void *parent, const load_share_options_t *options)
{
  load_share_t *share = talloc_zero (parent, load_share_t);
  struct timeval check = timeval_from_ms (CHECK_INTERVAL_MS);

  share->options = *options;
  share->zone_born_ms = clock_mono_ms ();
  pause_detector_update (&share->pauses, CHECK_INTERVAL_MS, clock_mono_ms ());
  share->senders
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, free_sender);
  add_metrics (share);
  share->own = new_batch (share, false);
  share->zone = new_batch (share, true);
  share->tick = event_new (options->base, -1, 0, on_tick, share);
  share->check = event_new (options->base, -1, EV_PERSIST, on_check, share);
  share->gather = event_new (options->base, -1, 0, load_share_on_gather, share);
  talloc_set_destructor (share, free_share);
  event_add (share->check, &check);
  schedule_tick (share, random_id () % WHOLE_INTERVAL_MS);
  return share;
}

void
load_share_begin (load_share_t *share, const upstream_job_t *job)
{
  load_batch_add_begun (share->own, job);
  load_batch_add_begun (share->zone, job);
}

void
load_share_begin_placed (load_share_t *share, const upstream_job_t *job)
{
  load_batch_add_begun (share->zone, job);
}

void
load_share_first_event (load_share_t *share, uint64_t job_id)
{
  load_batch_add_first_event (share->own, job_id);
  load_batch_add_first_event (share->zone, job_id);
}

void
load_share_end (load_share_t *share, uint64_t job_id, upstream_job_end_t how)
{
  load_batch_add_ended (share->own, job_id, (Lwm__ShareEnd)how);
  load_batch_add_ended (share->zone, job_id, (Lwm__ShareEnd)how);
}

static void
add_observation (load_share_t *share, const Lwm__ShareObservation *observation)
{
  load_batch_add_observation (share->own, observation);
  load_batch_add_observation (share->zone, observation);
}

void
load_share_observe (load_share_t *share,
                    uint64_t upstream,
                    double call_ms,
                    double slowness)
{
  Lwm__ShareObservation observation = LWM__SHARE_OBSERVATION__INIT;

  observation.upstream = upstream;
  observation.call_ms = (float)call_ms;
  observation.slowness = (float)slowness;
  add_observation (share, &observation);
}

void
load_share_report_state (load_share_t *share,
                         uint64_t upstream,
                         bool is_leaving,
                         uint32_t pause_ms)
{
  Lwm__ShareObservation observation = LWM__SHARE_OBSERVATION__INIT;

  observation.upstream = upstream;
  observation.is_leaving = is_leaving;
  observation.pause_ms = pause_ms;
  add_observation (share, &observation);
}

void
load_share_report_cold (load_share_t *share,
                        uint64_t upstream,
                        uint32_t cold_ms)
{
  Lwm__ShareObservation observation = LWM__SHARE_OBSERVATION__INIT;

  observation.upstream = upstream;
  observation.cold_ms = cold_ms;
  add_observation (share, &observation);
}

void
load_share_report_late_gap (load_share_t *share, uint64_t upstream)
{
  Lwm__ShareObservation observation = LWM__SHARE_OBSERVATION__INIT;

  observation.upstream = upstream;
  observation.has_late_gap = true;
  add_observation (share, &observation);
}

void
load_share_report_limit (load_share_t *share, uint64_t upstream)
{
  Lwm__ShareObservation observation;

  if (describe_limit (upstream_set_find (share->options.set, upstream),
                      clock_mono_ms (), &observation))
    add_observation (share, &observation);
}
