#include "quarantine-internal.h"

#include <inttypes.h>
#include <string.h>
#include <talloc.h>

#define LOG_PART "quarantine"
#include "logging.h"

/** Time after the last crash for which evidence against a part is kept. */
#define SUSPECT_MS (2u * 60 * 1000)
/** The same for a request. A caller that sends it seldom must not get three
 * crashes again, nor the shortest time of a block. */
#define REQUEST_KEPT_MS (30u * 60 * 1000)
/** Parts of a prompt whose first crash is logged. */
#define MAX_LOGGED_PARTS 8

static int
free_quarantine (quarantine_t *quarantine)
{
  for (int kind = 0; kind < SUSPECT_KIND_COUNT; kind++)
    {
      g_hash_table_destroy (quarantine->index[kind]);
      g_ptr_array_free (quarantine->suspects[kind], TRUE);
    }
  g_array_free (quarantine->crashed, TRUE);
  return 0;
}

static double
read_suspects (void *context)
{
  const quarantine_t *quarantine = context;

  return quarantine->suspects[SUSPECT_PART]->len;
}

static double
read_suspect_requests (void *context)
{
  const quarantine_t *quarantine = context;

  return quarantine->suspects[SUSPECT_REQUEST]->len;
}

quarantine_t *
quarantine_new (void *parent, metrics_t *metrics)
{
  quarantine_t *quarantine = talloc_zero (parent, quarantine_t);

  for (int kind = 0; kind < SUSPECT_KIND_COUNT; kind++)
    {
      quarantine->suspects[kind] = g_ptr_array_new_with_free_func (g_free);
      quarantine->index[kind] = g_hash_table_new (g_int64_hash, g_int64_equal);
    }
  quarantine->crashed = g_array_new (FALSE, FALSE, sizeof (quarantine_crash_t));
  quarantine->proofs = quarantine_proofs_new (quarantine);
  talloc_set_destructor (quarantine, free_quarantine);
  if (metrics == NULL)
    return quarantine;
  quarantine->crashes = metrics_counter (
      metrics, "lwm_quarantine_crashes_total",
      "Crashes of upstreams before an answer to a request was complete.", NULL);
  quarantine->blocked
      = metrics_counter (metrics, "lwm_quarantine_blocked_total",
                         "Parts of prompts that were quarantined.", NULL);
  quarantine->blocked_requests
      = metrics_counter (metrics, "lwm_quarantine_blocked_requests_total",
                         "Requests that were quarantined as a whole.", NULL);
  quarantine->cleared_total = metrics_counter (
      metrics, "lwm_quarantine_cleared_total",
      "Suspect parts of a prompt that was answered in full.", NULL);
  metrics_gauge_read (metrics, "lwm_quarantine_suspects",
                      "Parts of prompts with evidence against them.", NULL,
                      read_suspects, quarantine);
  metrics_gauge_read (metrics, "lwm_quarantine_suspect_requests",
                      "Requests with evidence against them as a whole.", NULL,
                      read_suspect_requests, quarantine);
  return quarantine;
}

static void
count (metric_t *metric)
{
  if (metric != NULL)
    metric_add (metric, 1);
}

/** Times are not passed to the functions that only look things up. */
static void
update_time (quarantine_t *quarantine, uint64_t now_ms)
{
  quarantine->now_ms = MAX (quarantine->now_ms, now_ms);
}

quarantine_level_t
quarantine_level (const quarantine_t *quarantine, const prompt_parts_t *parts)
{
  const quarantine_suspect_t *suspect
      = quarantine_find (quarantine, SUSPECT_REQUEST, parts->request);
  quarantine_level_t worst = QUARANTINE_CLEAR;

  if (suspect != NULL)
    worst = quarantine_suspect_level (quarantine, suspect);
  for (uint32_t i = 0; i < parts->count && worst < QUARANTINE_BLOCKED; i++)
    {
      suspect = quarantine_find (quarantine, SUSPECT_PART, parts->ids[i]);
      if (suspect != NULL)
        worst = MAX (worst, quarantine_suspect_level (quarantine, suspect));
    }
  return worst;
}

/** Returns when a suspect may be tried again, or 0 if it may be now. */
static uint64_t
suspect_until (const quarantine_t *quarantine,
               const quarantine_suspect_t *suspect)
{
  if (suspect == NULL
      || quarantine_suspect_level (quarantine, suspect) != QUARANTINE_BLOCKED)
    return 0;
  return quarantine_blocked_until (suspect);
}

uint32_t
quarantine_remaining_ms (const quarantine_t *quarantine,
                         const prompt_parts_t *parts,
                         uint64_t now_ms)
{
  const quarantine_suspect_t *suspect
      = quarantine_find (quarantine, SUSPECT_REQUEST, parts->request);
  uint64_t until_ms = MAX (now_ms, suspect_until (quarantine, suspect));

  for (uint32_t i = 0; i < parts->count; i++)
    {
      suspect = quarantine_find (quarantine, SUSPECT_PART, parts->ids[i]);
      until_ms = MAX (until_ms, suspect_until (quarantine, suspect));
    }
  return (uint32_t)(until_ms - now_ms);
}

/** Logs that a suspect is blocked from now on. */
static void
log_if_blocked (quarantine_t *quarantine,
                quarantine_suspect_t *suspect,
                quarantine_level_t before)
{
  uint64_t for_ms = quarantine_blocked_until (suspect) - suspect->last_ms;

  if (before == QUARANTINE_BLOCKED
      || quarantine_suspect_level (quarantine, suspect) != QUARANTINE_BLOCKED)
    return;
  suspect->was_blocked = true;
  if (suspect->is_request)
    {
      count (quarantine->blocked_requests);
      log_warn ("Quarantined a request. request=%016" PRIx64
                " crashes=%u for_ms=%ju",
                suspect->part, suspect->crash_count, (uintmax_t)for_ms);
      return;
    }
  count (quarantine->blocked);
  log_warn ("Quarantined a part of prompts. part=%016" PRIx64
            " crashes=%u was_proven=%d for_ms=%ju",
            suspect->part, suspect->crash_count, suspect->was_proven,
            (uintmax_t)for_ms);
}

static void
log_crash (const quarantine_suspect_t *suspect, uint64_t upstream)
{
  if (suspect->is_request)
    log_info ("An upstream crashed on a request. upstream=%016" PRIx64
              " request=%016" PRIx64 " crashes=%u",
              upstream, suspect->part, suspect->crash_count);
  else
    log_info ("An upstream crashed on a request. upstream=%016" PRIx64
              " part=%016" PRIx64 " crashes=%u was_proven=%d",
              upstream, suspect->part, suspect->crash_count,
              suspect->was_proven);
}

static quarantine_suspect_t *
find_or_add (quarantine_t *quarantine,
             suspect_kind_t kind,
             uint64_t id,
             uint64_t now_ms)
{
  quarantine_suspect_t *suspect = quarantine_find_or_add (quarantine, kind, id);

  if (suspect->crash_count == 0 && kind == SUSPECT_PART)
    suspect->was_proven
        = quarantine_proofs_has_part (quarantine->proofs, id, now_ms);
  return suspect;
}

/** Records a crash on a part or a request.
 * @param is_explained a blocked one explains it: the others are bystanders
 * @param is_logged also the first crash of the part or request is logged */
static void
add_crash (quarantine_t *quarantine,
           suspect_kind_t kind,
           uint64_t id,
           uint64_t upstream,
           bool is_explained,
           bool is_logged)
{
  quarantine_suspect_t *suspect = quarantine_find (quarantine, kind, id);
  quarantine_level_t before;

  if (is_explained
      && (suspect == NULL
          || quarantine_suspect_level (quarantine, suspect)
                 != QUARANTINE_BLOCKED))
    return;
  suspect = find_or_add (quarantine, kind, id, quarantine->now_ms);
  before = quarantine_suspect_level (quarantine, suspect);
  if (!quarantine_record (suspect, upstream, quarantine->now_ms))
    return;
  if (suspect->crash_count >= SUSPECT_CRASHES || is_logged)
    log_crash (suspect, upstream);
  log_if_blocked (quarantine, suspect, before);
}

void
quarantine_add_crash (quarantine_t *quarantine,
                      const prompt_parts_t *parts,
                      uint64_t upstream,
                      uint64_t now_ms)
{
  bool is_explained;

  update_time (quarantine, now_ms);
  is_explained = quarantine_level (quarantine, parts) == QUARANTINE_BLOCKED;
  count (quarantine->crashes);
  /* The request comes first, as it may explain the crashes of its parts. */
  if (parts->request != 0)
    add_crash (quarantine, SUSPECT_REQUEST, parts->request, upstream,
               is_explained, true);
  for (uint32_t i = 0; i < parts->count; i++)
    add_crash (quarantine, SUSPECT_PART, parts->ids[i], upstream, is_explained,
               i < MAX_LOGGED_PARTS);
  quarantine_keep_crash (quarantine, upstream, now_ms);
}

/** Withdraws the evidence against a part, after a complete answer. */
static void
clear_part (quarantine_t *quarantine, uint64_t part, uint64_t answered_ms)
{
  quarantine_suspect_t *suspect
      = quarantine_find (quarantine, SUSPECT_PART, part);

  quarantine_proofs_add_part (quarantine->proofs, part, answered_ms);
  if (suspect == NULL || suspect->last_ms > answered_ms)
    return;
  count (quarantine->cleared_total);
  log_info ("A suspect part was answered. part=%016" PRIx64 " crashes=%u", part,
            suspect->crash_count);
  quarantine_remove (quarantine, suspect);
  quarantine_proofs_clear_part (quarantine->proofs, part, answered_ms);
}

/** Withdraws the evidence against a request that was answered in full. */
static void
clear_request (quarantine_t *quarantine, uint64_t request, uint64_t answered_ms)
{
  quarantine_suspect_t *suspect
      = quarantine_find (quarantine, SUSPECT_REQUEST, request);

  if (suspect == NULL || suspect->last_ms > answered_ms)
    return;
  log_info ("A suspect request was answered. request=%016" PRIx64 " crashes=%u",
            request, suspect->crash_count);
  /* Only evidence of several crashes is told to others. */
  quarantine_proofs_clear_request (quarantine->proofs, request, answered_ms,
                                   suspect->crash_count >= SUSPECT_CRASHES);
  quarantine_remove (quarantine, suspect);
}

/** Removes the crashes of an incarnation that has answered later. */
static void
disprove_crashes (quarantine_t *quarantine, uint64_t upstream, uint64_t now_ms)
{
  for (int kind = 0; kind < SUSPECT_KIND_COUNT; kind++)
    for (guint i = quarantine->suspects[kind]->len; i-- > 0;)
      {
        quarantine_suspect_t *suspect
            = g_ptr_array_index (quarantine->suspects[kind], i);

        quarantine_disprove (suspect, upstream, now_ms);
        if (suspect->crash_count == 0)
          quarantine_remove (quarantine, suspect);
      }
}

void
quarantine_add_answer (quarantine_t *quarantine,
                       uint64_t upstream,
                       uint64_t now_ms)
{
  update_time (quarantine, now_ms);
  disprove_crashes (quarantine, upstream, now_ms);
}

void
quarantine_add_success (quarantine_t *quarantine,
                        const prompt_parts_t *parts,
                        uint64_t upstream,
                        uint64_t now_ms)
{
  update_time (quarantine, now_ms);
  if (parts->request != 0)
    clear_request (quarantine, parts->request, now_ms);
  for (uint32_t i = 0; i < parts->count; i++)
    clear_part (quarantine, parts->ids[i], now_ms);
  disprove_crashes (quarantine, upstream, now_ms);
}

/** Removes the crashes from a report that a complete answer disproves. */
static void
drop_disproved (const quarantine_t *quarantine, quarantine_suspect_t *reported)
{
  const quarantine_proofs_t *proofs = quarantine->proofs;
  uint64_t answered_ms
      = reported->is_request
            ? quarantine_proofs_request_ms (proofs, reported->part)
            : quarantine_proofs_part_ms (proofs, reported->part);

  if (answered_ms >= reported->last_ms)
    reported->crash_count = 0;
  for (uint32_t i = reported->crash_count; i-- > 0;)
    if (answered_ms >= reported->crashed_ms[i])
      quarantine_forget_crash (reported, i);
}

void
quarantine_merge (quarantine_t *quarantine,
                  const quarantine_suspect_t *reported,
                  uint64_t now_ms)
{
  suspect_kind_t kind = reported->is_request ? SUSPECT_REQUEST : SUSPECT_PART;
  quarantine_suspect_t *suspect
      = quarantine_find (quarantine, kind, reported->part);
  quarantine_suspect_t fresh = *reported;
  quarantine_level_t before;

  update_time (quarantine, now_ms);
  drop_disproved (quarantine, &fresh);
  if (fresh.crash_count == 0 || (fresh.is_request && fresh.part == 0))
    return;
  if (suspect == NULL
      && quarantine_is_full_of_worse (quarantine, kind, fresh.crash_count))
    return;
  suspect = find_or_add (quarantine, kind, fresh.part, now_ms);
  before = quarantine_suspect_level (quarantine, suspect);
  suspect->was_proven = suspect->was_proven || fresh.was_proven;
  for (uint32_t i = 0; i < fresh.crash_count; i++)
    {
      quarantine_record (suspect, fresh.crashes[i], fresh.crashed_ms[i]);
      quarantine_keep_crash (quarantine, fresh.crashes[i], fresh.crashed_ms[i]);
    }
  suspect->blocked_ms = MAX (suspect->blocked_ms, fresh.blocked_ms);
  log_if_blocked (quarantine, suspect, before);
}

void
quarantine_merge_part_success (quarantine_t *quarantine,
                               uint64_t part,
                               uint64_t answered_ms)
{
  if (quarantine_find (quarantine, SUSPECT_PART, part) != NULL)
    clear_part (quarantine, part, answered_ms);
  else
    quarantine_proofs_add_part (quarantine->proofs, part, answered_ms);
}

void
quarantine_merge_success (quarantine_t *quarantine,
                          uint64_t request,
                          uint64_t answered_ms)
{
  clear_request (quarantine, request, answered_ms);
  quarantine_proofs_clear_request (quarantine->proofs, request, answered_ms,
                                   true);
}

/** Sorts the suspect with the most evidence first. */
static gint
compare_evidence (gconstpointer a, gconstpointer b)
{
  const quarantine_suspect_t *one = *(const quarantine_suspect_t *const *)a;
  const quarantine_suspect_t *other = *(const quarantine_suspect_t *const *)b;

  return -quarantine_compare_evidence (one, other);
}

/** Calls @a each for the suspects with at least so many crashes, the worst
 * first. */
static void
each_sorted (const GPtrArray *suspects,
             uint32_t min_crashes,
             void (*each) (const quarantine_suspect_t *suspect, void *context),
             void *context)
{
  GPtrArray *told = g_ptr_array_new ();

  for (guint i = 0; i < suspects->len; i++)
    {
      quarantine_suspect_t *suspect = g_ptr_array_index (suspects, i);

      if (suspect->crash_count >= min_crashes)
        g_ptr_array_add (told, suspect);
    }
  g_ptr_array_sort (told, compare_evidence);
  for (guint i = 0; i < MIN (told->len, QUARANTINE_MAX_LISTED); i++)
    each (g_ptr_array_index (told, i), context);
  g_ptr_array_free (told, TRUE);
}

void
quarantine_each_request (const quarantine_t *quarantine,
                         void (*each) (const quarantine_suspect_t *suspect,
                                       void *context),
                         void *context)
{
  each_sorted (quarantine->suspects[SUSPECT_REQUEST], SUSPECT_CRASHES, each,
               context);
}

void
quarantine_each_suspect (const quarantine_t *quarantine,
                         void (*each) (const quarantine_suspect_t *suspect,
                                       void *context),
                         void *context)
{
  each_sorted (quarantine->suspects[SUSPECT_PART], 1, each, context);
}

void
quarantine_each_cleared (const quarantine_t *quarantine,
                         uint64_t now_ms,
                         void (*each) (uint64_t part,
                                       uint64_t answered_ms,
                                       void *context),
                         void *context)
{
  quarantine_proofs_each_part (quarantine->proofs, now_ms, each, context);
}

void
quarantine_each_cleared_request (const quarantine_t *quarantine,
                                 uint64_t now_ms,
                                 void (*each) (uint64_t request,
                                               uint64_t answered_ms,
                                               void *context),
                                 void *context)
{
  quarantine_proofs_each_request (quarantine->proofs, now_ms, each, context);
}

/** Ages the evidence against a part. A part that was blocked for long enough
 * may be tried again, and is blocked again after one more crash. Returns false
 * when nothing is left. */
static bool
age_part (quarantine_t *quarantine,
          quarantine_suspect_t *suspect,
          uint64_t now_ms)
{
  if (quarantine_suspect_level (quarantine, suspect) != QUARANTINE_BLOCKED)
    return suspect->last_ms + SUSPECT_MS > now_ms;
  if (quarantine_blocked_until (suspect) > now_ms)
    return true;
  log_info ("A quarantined part may be tried again. part=%016" PRIx64,
            suspect->part);
  quarantine_shorten (
      quarantine, suspect,
      BLOCKED_CRASHES * (suspect->was_proven ? PROVEN_FACTOR : 1) - 1);
  suspect->last_ms = now_ms;
  return true;
}

/** Ages the evidence against a request. Returns false when nothing is left. */
static bool
age_request (const quarantine_t *quarantine,
             quarantine_suspect_t *suspect,
             uint64_t now_ms)
{
  if (suspect->was_blocked && quarantine_blocked_until (suspect) <= now_ms)
    {
      log_info ("A quarantined request may be tried again. request=%016" PRIx64,
                suspect->part);
      suspect->was_blocked = false;
    }
  return suspect->last_ms + REQUEST_KEPT_MS > now_ms;
}

void
quarantine_tick (quarantine_t *quarantine, uint64_t now_ms)
{
  update_time (quarantine, now_ms);
  for (int kind = 0; kind < SUSPECT_KIND_COUNT; kind++)
    for (guint i = quarantine->suspects[kind]->len; i-- > 0;)
      {
        quarantine_suspect_t *suspect
            = g_ptr_array_index (quarantine->suspects[kind], i);
        bool is_kept = suspect->is_request
                           ? age_request (quarantine, suspect, now_ms)
                           : age_part (quarantine, suspect, now_ms);

        if (!is_kept)
          quarantine_remove (quarantine, suspect);
      }
}
