#include <math.h>
#include <string.h>
#include <talloc.h>

#include "base.h"
#include "load-share-internal.h"
#include "quarantine-message.h"
#define LOG_PART "load-share"
#include "logging.h"

/** Time without an update after which a report that an instance is lost is
 * believed; longer than the interval of whole updates. */
#define CONTACT_MS 1500
/** A job younger than this may have been placed after its owner sent the update
 * that does not list it. */
#define YOUNG_JOB_MS 250

static load_sender_t *
find_or_add_sender (load_share_t *share, uint64_t incarnation)
{
  load_sender_t *sender = g_hash_table_lookup (share->senders, &incarnation);

  if (sender != NULL)
    return sender;
  sender = g_new0 (load_sender_t, 1);
  sender->incarnation = incarnation;
  g_hash_table_insert (share->senders, &sender->incarnation, sender);
  log_info ("First update from an entry instance. incarnation=%ju",
            (uintmax_t)incarnation);
  return sender;
}

/** Records who reports a job that is known. What this instance holds, or its
 * owner reported itself, is not taken over. */
static void
update_source (load_share_t *share, const upstream_job_t *reported)
{
  const upstream_job_t *known
      = upstream_set_job (share->options.set, reported->id);

  if (known == NULL || known->owner == 0
      || (known->source == known->owner
          && g_hash_table_contains (share->senders, &known->owner)))
    return;
  upstream_set_source (share->options.set, reported->id, reported->source);
}

/** Records a job that another instance reported. */
static void
import_job (load_share_t *share,
            const load_sender_t *sender,
            const Lwm__ShareJob *message,
            uint64_t now_ms)
{
  upstream_job_t job
      = { .id = message->id,
          .request = message->request != 0 ? message->request : message->id,
          .owner = message->owner != 0 ? message->owner : sender->incarnation,
          .source = sender->incarnation,
          .upstream = message->upstream,
          .prompt_tokens = message->prompt_tokens,
          .read_tokens = message->read_tokens,
          .answer_tokens = message->answer_tokens,
          .kv_tokens = message->kv_tokens,
          .gap_target_ms = message->gap_target_ms,
          .is_part = message->is_part,
          .has_reservation = message->has_reservation };

  job.parts
      = prompt_parts_from_message (message->parts, message->n_parts,
                                   message->all_parts, message->n_all_parts);
  job.parts.request = message->signature;
  job.value = upstream_job_value (job.prompt_tokens, job.answer_tokens);
  job.sent_ms = now_ms - message->sent_ago_ms;
  job.begun_ms = now_ms - message->begun_ago_ms;
  job.due_ms = job.begun_ms + message->target_ms;
  if (message->first_ago_ms > 0)
    job.first_ms = now_ms - message->first_ago_ms + 1;
  if (!upstream_set_begin (share->options.set, &job))
    update_source (share, &job);
  else if (sender->is_own_zone)
    load_batch_add_begun (share->zone, &job);
}

/** Applies observations of another instance. */
static void
import_observations (load_share_t *share,
                     const Lwm__ShareUpdate *update,
                     uint64_t now_ms)
{
  upstream_set_t *set = share->options.set;

  for (size_t i = 0; i < update->n_observed; i++)
    {
      const Lwm__ShareObservation *observation = update->observed[i];

      if (observation->is_leaving)
        upstream_set_mark_leaving (set, observation->upstream);
      if (observation->pause_ms > 0)
        upstream_set_pause (set, observation->upstream,
                            now_ms + observation->pause_ms);
      if (observation->has_limit)
        upstream_set_limit (
            set, observation->upstream, fmax ((double)observation->limit_s, 0),
            now_ms - MIN (observation->limit_ago_ms, now_ms), now_ms);
      if (observation->cold_ms > 0)
        upstream_set_mark_cold (set, observation->upstream,
                                now_ms + observation->cold_ms, now_ms);
      if (observation->call_ms > 0)
        upstream_set_add_call_time (set, observation->upstream,
                                    (double)observation->call_ms, now_ms);
      if (observation->slowness > 0)
        upstream_set_add_slowness (set, observation->upstream,
                                   (double)observation->slowness, now_ms);
      if (observation->has_late_gap)
        upstream_set_add_late_gap (set, observation->upstream, now_ms);
    }
}

/** Returns whether an update of an instance came lately. */
static bool
is_in_contact (const load_share_t *share, uint64_t incarnation, uint64_t now_ms)
{
  const load_sender_t *sender
      = g_hash_table_lookup (share->senders, &incarnation);

  return sender != NULL && sender->heard_ms + CONTACT_MS > now_ms;
}

/** Releases reservations that another instance found orphaned, unless this one
 * holds the request or is in contact with the instance that does. */
static void
import_orphans (load_share_t *share,
                const Lwm__ShareUpdate *update,
                uint64_t now_ms)
{
  for (size_t i = 0; i < update->n_orphans; i++)
    {
      const Lwm__ShareOrphan *orphan = update->orphans[i];
      const upstream_job_t *known
          = upstream_set_job (share->options.set, orphan->id);
      upstream_job_t job = { .id = orphan->id, .upstream = orphan->upstream };

      if (known != NULL
          && (known->owner == 0 || is_in_contact (share, known->owner, now_ms)))
        continue;
      load_share_release_orphan (share, &job);
    }
}

/** Passes changes of the own zone on to other zones. */
static void
forward_changes (load_share_t *share, const Lwm__ShareUpdate *update)
{
  for (size_t i = 0; i < update->n_ended; i++)
    load_batch_add_ended (share->zone, update->ended[i]->id,
                          update->ended[i]->how);
  for (size_t i = 0; i < update->n_answering; i++)
    load_batch_add_first_event (share->zone, update->answering[i]);
  for (size_t i = 0; i < update->n_orphans; i++)
    load_batch_add_orphan (share->zone, update->orphans[i]->id,
                           update->orphans[i]->upstream);
  /* The own whole updates list all limits. */
  for (size_t i = 0; i < update->n_observed; i++)
    if (!update->whole || !update->observed[i]->has_limit)
      load_batch_add_observation (share->zone, update->observed[i]);
}

static void
apply_ends (upstream_set_t *set,
            const Lwm__ShareUpdate *update,
            uint64_t now_ms)
{
  for (size_t i = 0; i < update->n_ended; i++)
    upstream_set_end (set, update->ended[i]->id,
                      (upstream_job_end_t)update->ended[i]->how, now_ms);
}

static void
apply_update (load_share_t *share,
              load_sender_t *sender,
              const Lwm__ShareUpdate *update,
              uint64_t now_ms)
{
  upstream_set_t *set = share->options.set;

  apply_ends (set, update, now_ms);
  if (update->whole)
    load_share_drop_source (share, sender->incarnation, now_ms - YOUNG_JOB_MS);
  for (size_t i = 0; i < update->n_begun; i++)
    import_job (share, sender, update->begun[i], now_ms);
  for (size_t i = 0; i < update->n_answering; i++)
    upstream_set_progress (set, update->answering[i], 0, now_ms);
  /* A short job may begin and end within one batch. */
  apply_ends (set, update, now_ms);
  import_orphans (share, update, now_ms);
  import_observations (share, update, now_ms);
  if (sender->is_own_zone)
    forward_changes (share, update);
  if (share->options.on_change != NULL
      && (update->n_ended > 0 || update->n_answering > 0))
    share->options.on_change (share->options.context);
}

void
load_share_send_ack (load_share_t *share,
                     uint64_t incarnation,
                     uint32_t sent_ms)
{
  Lwm__ShareMessage message = LWM__SHARE_MESSAGE__INIT;
  Lwm__ShareAck ack = LWM__SHARE_ACK__INIT;
  void *scratch = talloc_new (share);

  ack.sent_ms = sent_ms;
  ack.is_able = share->options.is_able (share->options.context);
  ack.zone_age_ms = load_share_zone_age_ms (share, clock_mono_ms ());
  if (share->options.quarantine != NULL)
    quarantine_to_ack (share->options.quarantine, clock_mono_ms (), scratch,
                       &ack);
  message.what_case = LWM__SHARE_MESSAGE__WHAT_ACK;
  message.ack = &ack;
  share_link_reply (share->options.link, incarnation, &message);
  talloc_free (scratch);
}

/** Forgets earlier incarnations of an instance of the own zone: another one
 * listens at their address. */
static void
forget_earlier_incarnations (load_share_t *share, const load_sender_t *newer)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, share->senders);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const load_sender_t *sender = value;

      if (sender == newer || !sender->is_own_zone
          || g_strcmp0 (sender->address, newer->address) != 0)
        continue;
      load_share_forget_sender (share, sender);
      g_hash_table_iter_remove (&iter);
    }
}

/** Stores what a whole update says of its sender. */
static void
update_sender (load_share_t *share,
               load_sender_t *sender,
               const Lwm__ShareUpdate *update,
               uint64_t now_ms)
{
  placer_peer_t *peer
      = placer_ranking_find (share->options.ranking, update->address);

  if (g_strcmp0 (sender->zone, update->zone) != 0)
    {
      g_free (sender->zone);
      sender->zone = g_strdup (update->zone);
    }
  if (sender->address == NULL && sender->is_own_zone)
    {
      sender->address = g_strdup (update->address);
      forget_earlier_incarnations (share, sender);
    }
  sender->sent_ms = update->sent_ms;
  if (update->is_zone && peer != NULL)
    placer_ranking_on_acting (peer, now_ms);
  if (update->is_zone)
    return;
  load_share_on_zone_age (share, update->zone_age_ms, now_ms);
  if (peer != NULL)
    placer_ranking_on_report (peer, now_ms);
}

static void
receive_update (load_share_t *share,
                uint64_t incarnation,
                const Lwm__ShareUpdate *update)
{
  uint64_t now_ms = clock_mono_ms ();
  load_sender_t *sender = find_or_add_sender (share, incarnation);

  sender->heard_ms = now_ms;
  /* A sender reports either its own jobs within its zone, or those of its zone
   * to other zones. */
  sender->is_own_zone = !update->is_zone;
  if (update->whole)
    update_sender (share, sender, update, now_ms);
  if (sender->is_own_zone)
    load_share_extend_view (share, now_ms);
  apply_update (share, sender, update, now_ms);
  load_share_check_able (share);
  if (update->whole)
    load_share_send_ack (share, incarnation, update->sent_ms);
}

void
load_share_receive (load_share_t *share,
                    const Lwm__ShareMessage *message,
                    const char *address)
{
  uint64_t now_ms = clock_mono_ms ();
  placer_peer_t *peer
      = address != NULL ? placer_ranking_find (share->options.ranking, address)
                        : NULL;

  if (message->what_case == LWM__SHARE_MESSAGE__WHAT_UPDATE)
    receive_update (share, message->sender, message->update);
  else if (message->what_case == LWM__SHARE_MESSAGE__WHAT_ACK && peer != NULL)
    {
      if (placer_ranking_is_own_zone (share->options.ranking, peer))
        load_share_on_zone_age (share, message->ack->zone_age_ms, now_ms);
      placer_ranking_on_ack (peer, message->ack->is_able,
                             (uint32_t)now_ms - message->ack->sent_ms, now_ms);
      if (share->options.quarantine != NULL)
        quarantine_from_ack (share->options.quarantine, message->ack, now_ms);
      load_share_check_able (share);
    }
}
