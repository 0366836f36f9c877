/* Whether this instance knows all jobs of its zone. */
#include <event2/event.h>

#include "base.h"
#include "load-share-internal.h"
#define LOG_PART "load-share"
#include "logging.h"

/** Time after which a view without a gap is complete. */
#define COMPLETE_MS 1200
/** Age up to which a zone has just started: none of its instances has run for
 * longer, so that there are no jobs but those that they report. */
#define STARTING_MS 3000
/** Time from the first report in which the other instances of a zone that has
 * just started report, unless they did not come back. */
#define GATHER_MS 250

uint32_t
load_share_zone_age_ms (const load_share_t *share, uint64_t now_ms)
{
  return (uint32_t)MIN (now_ms - share->zone_born_ms + 1, UINT32_MAX);
}

void
load_share_on_zone_age (load_share_t *share,
                        uint32_t zone_age_ms,
                        uint64_t now_ms)
{
  uint64_t age_ms = zone_age_ms > 0 ? zone_age_ms - 1 : UINT32_MAX;

  share->zone_born_ms
      = MIN (share->zone_born_ms, now_ms - MIN (age_ms, now_ms));
}

static bool
has_heard_lately (const load_share_t *share, uint64_t now_ms)
{
  return share->view_since_ms > 0
         && share->view_heard_ms + LOAD_VIEW_TIMEOUT_MS > now_ms;
}

void
load_share_extend_view (load_share_t *share, uint64_t now_ms)
{
  struct timeval wait = timeval_from_ms (GATHER_MS);

  if (!has_heard_lately (share, now_ms))
    {
      share->view_since_ms = now_ms;
      share->early_ms = 0;
      event_add (share->gather, &wait);
    }
  share->view_heard_ms = now_ms;
}

/** Returns whether the zone had just started at @a at_ms, by all that this
 * instance has heard up to now. */
static bool
was_starting (const load_share_t *share, uint64_t at_ms)
{
  return share->zone_born_ms + STARTING_MS > at_ms;
}

bool
load_share_is_complete (const load_share_t *share, uint64_t now_ms)
{
  if (!has_heard_lately (share, now_ms))
    return false;
  if (share->view_since_ms + COMPLETE_MS <= now_ms)
    return true;
  /* An older instance may have reported after the view was taken for complete:
   * the zone had been running then. */
  return share->early_ms > 0 && was_starting (share, share->early_ms);
}

bool
load_share_is_new_zone (const load_share_t *share, uint64_t now_ms)
{
  return was_starting (share, now_ms);
}

bool
load_share_is_starting (const load_share_t *share, uint64_t now_ms)
{
  return was_starting (share, now_ms)
         && placer_ranking_has_own_zone (share->options.ranking)
         && !load_share_is_complete (share, now_ms);
}

/** Returns whether the instances of a zone that has just started have reported
 * their jobs. Only the first in rank goes by the reports alone, so that another
 * one does not choose for the zone for a few ms before it. */
static bool
has_gathered (const load_share_t *share, uint64_t now_ms)
{
  const placer_ranking_t *ranking = share->options.ranking;

  return share->view_since_ms + GATHER_MS <= now_ms
         || (placer_ranking_is_first (ranking)
             && placer_ranking_has_all_reports (ranking));
}

/** Takes the view for complete if the zone has just started and its instances
 * have reported, or had the time to. */
static void
check_early (load_share_t *share, uint64_t now_ms)
{
  if (!load_share_is_starting (share, now_ms)
      || !has_heard_lately (share, now_ms) || !has_gathered (share, now_ms))
    return;
  share->early_ms = now_ms;
  log_info ("All instances of this zone have just started. zone_age_ms=%u "
            "waited_ms=%ju",
            load_share_zone_age_ms (share, now_ms) - 1,
            (uintmax_t)(now_ms - share->view_since_ms));
}

void
load_share_check_able (load_share_t *share)
{
  uint64_t now_ms = clock_mono_ms ();
  GHashTableIter iter;
  gpointer value;
  bool is_able;

  check_early (share, now_ms);
  is_able = share->options.is_able (share->options.context);
  if (is_able == share->was_able)
    return;
  share->was_able = is_able;
  g_hash_table_iter_init (&iter, share->senders);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const load_sender_t *sender = value;

      if (sender->is_own_zone && sender->address != NULL)
        load_share_send_ack (share, sender->incarnation, sender->sent_ms);
    }
  load_share_check_acting (share, now_ms);
}

void
load_share_on_gather (evutil_socket_t fd, short what, void *context)
{
  load_share_check_able (context);
}
