#include "quarantine.h"

#include <glib.h>
#include <inttypes.h>
#include <string.h>
#include <talloc.h>

#define LOG_PART "quarantine"
#include "logging.h"

/** Crashes without an answer in between after which a part is suspect, and
 * blocked. */
#define SUSPECT_CRASHES 2
#define BLOCKED_CRASHES 3
/** Factor on these numbers for a part on which answers began before. */
#define PROVEN_FACTOR 2
/** Time for which an answer counts as such. */
#define PROVEN_MS (60u * 1000)
/** Time after the last crash for which evidence is kept, and for which a part
 * stays blocked. */
#define SUSPECT_MS (2u * 60 * 1000)
#define BLOCKED_MS (10u * 60 * 1000)
/** Reports of different instances may arrive in another order than they were
 * made; an answer of an upstream shows that it has not crashed only when it
 * comes later than this after the report. */
#define REORDER_MS 1000
/** Time for which other instances are told that a part was cleared. */
#define CLEARED_MS   5000
#define MAX_SUSPECTS 128
#define MAX_PROVEN   2048
#define MAX_CLEARED  64

/** A part on which an answer began. */
typedef struct
{
  uint64_t part;
  uint64_t answered_ms;
} proven_t;

struct quarantine
{
  GPtrArray *suspects; /* quarantine_suspect_t */
  GHashTable *proven;  /* part -> proven_t */
  GQueue proven_order; /* proven_t, the one added first at the head */
  GArray *cleared;     /* proven_t that were suspects */
  metric_t *crashes;
  metric_t *blocked;
  metric_t *cleared_total;
};

static int
free_quarantine (quarantine_t *quarantine)
{
  g_ptr_array_free (quarantine->suspects, TRUE);
  g_queue_clear (&quarantine->proven_order);
  g_hash_table_destroy (quarantine->proven);
  g_array_free (quarantine->cleared, TRUE);
  return 0;
}

static double
read_suspects (void *context)
{
  const quarantine_t *quarantine = context;

  return quarantine->suspects->len;
}

quarantine_t *
quarantine_new (void *parent, metrics_t *metrics)
{
  quarantine_t *quarantine = talloc_zero (parent, quarantine_t);

  quarantine->suspects = g_ptr_array_new_with_free_func (g_free);
  quarantine->proven
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  g_queue_init (&quarantine->proven_order);
  quarantine->cleared = g_array_new (FALSE, FALSE, sizeof (proven_t));
  talloc_set_destructor (quarantine, free_quarantine);
  if (metrics == NULL)
    return quarantine;
  quarantine->crashes = metrics_counter (
      metrics, "lwm_quarantine_crashes_total",
      "Crashes of upstreams before an answer to a request began.", NULL);
  quarantine->blocked
      = metrics_counter (metrics, "lwm_quarantine_blocked_total",
                         "Parts of prompts that were quarantined.", NULL);
  quarantine->cleared_total
      = metrics_counter (metrics, "lwm_quarantine_cleared_total",
                         "Suspect parts on which an answer began.", NULL);
  metrics_gauge_read (metrics, "lwm_quarantine_suspects",
                      "Parts of prompts with evidence against them.", NULL,
                      read_suspects, quarantine);
  return quarantine;
}

static void
count (metric_t *metric)
{
  if (metric != NULL)
    metric_add (metric, 1);
}

static quarantine_suspect_t *
find_suspect (const quarantine_t *quarantine, uint64_t part)
{
  for (guint i = 0; i < quarantine->suspects->len; i++)
    {
      quarantine_suspect_t *suspect
          = g_ptr_array_index (quarantine->suspects, i);

      if (suspect->part == part)
        return suspect;
    }
  return NULL;
}

/** Returns whether an answer began on a part lately. */
static bool
is_proven (const quarantine_t *quarantine, uint64_t part, uint64_t now_ms)
{
  const proven_t *proven = g_hash_table_lookup (quarantine->proven, &part);

  return proven != NULL && proven->answered_ms + PROVEN_MS > now_ms;
}

static void
add_proven (quarantine_t *quarantine, uint64_t part, uint64_t answered_ms)
{
  proven_t *proven = g_hash_table_lookup (quarantine->proven, &part);

  if (proven != NULL)
    {
      proven->answered_ms = MAX (proven->answered_ms, answered_ms);
      return;
    }
  if (g_hash_table_size (quarantine->proven) >= MAX_PROVEN)
    {
      const proven_t *oldest = g_queue_pop_head (&quarantine->proven_order);

      g_hash_table_remove (quarantine->proven, &oldest->part);
    }
  proven = g_new0 (proven_t, 1);
  proven->part = part;
  proven->answered_ms = answered_ms;
  g_hash_table_insert (quarantine->proven, &proven->part, proven);
  g_queue_push_tail (&quarantine->proven_order, proven);
}

/** Makes room for a suspect: removes the one with the least evidence. */
static void
remove_weakest_suspect (quarantine_t *quarantine)
{
  guint weakest = 0;

  for (guint i = 1; i < quarantine->suspects->len; i++)
    {
      const quarantine_suspect_t *one
          = g_ptr_array_index (quarantine->suspects, i);
      const quarantine_suspect_t *other
          = g_ptr_array_index (quarantine->suspects, weakest);

      if (one->crash_count < other->crash_count
          || (one->crash_count == other->crash_count
              && one->last_ms < other->last_ms))
        weakest = i;
    }
  g_ptr_array_remove_index_fast (quarantine->suspects, weakest);
}

static quarantine_suspect_t *
find_or_add_suspect (quarantine_t *quarantine, uint64_t part, uint64_t now_ms)
{
  quarantine_suspect_t *suspect = find_suspect (quarantine, part);

  if (suspect != NULL)
    return suspect;
  if (quarantine->suspects->len >= MAX_SUSPECTS)
    remove_weakest_suspect (quarantine);
  suspect = g_new0 (quarantine_suspect_t, 1);
  suspect->part = part;
  suspect->was_proven = is_proven (quarantine, part, now_ms);
  g_ptr_array_add (quarantine->suspects, suspect);
  return suspect;
}

static bool
has_crash (const quarantine_suspect_t *suspect, uint64_t upstream)
{
  for (uint32_t i = 0; i < suspect->crash_count; i++)
    if (suspect->crashes[i] == upstream)
      return true;
  return false;
}

/** Returns whether @a other was there at all crashes of @a suspect and is the
 * more likely cause: it was at further ones, or only @a suspect has proved
 * sound before. */
static bool
is_explained_by (const quarantine_suspect_t *suspect,
                 const quarantine_suspect_t *other)
{
  if (other == suspect || other->was_proven > suspect->was_proven)
    return false;
  for (uint32_t i = 0; i < suspect->crash_count; i++)
    if (!has_crash (other, suspect->crashes[i]))
      return false;
  return other->crash_count > suspect->crash_count
         || (suspect->was_proven && !other->was_proven);
}

static bool
is_bystander (const quarantine_t *quarantine,
              const quarantine_suspect_t *suspect)
{
  for (guint i = 0; i < quarantine->suspects->len; i++)
    if (is_explained_by (suspect, g_ptr_array_index (quarantine->suspects, i)))
      return true;
  return false;
}

static quarantine_level_t
suspect_level (const quarantine_t *quarantine,
               const quarantine_suspect_t *suspect)
{
  uint32_t factor = suspect->was_proven ? PROVEN_FACTOR : 1;

  if (suspect->crash_count < SUSPECT_CRASHES * factor
      || is_bystander (quarantine, suspect))
    return QUARANTINE_CLEAR;
  return suspect->crash_count >= BLOCKED_CRASHES * factor ? QUARANTINE_BLOCKED
                                                          : QUARANTINE_SUSPECT;
}

quarantine_level_t
quarantine_level (const quarantine_t *quarantine, const prompt_parts_t *parts)
{
  quarantine_level_t worst = QUARANTINE_CLEAR;

  if (quarantine->suspects->len == 0)
    return worst;
  for (uint32_t i = 0; i < parts->count; i++)
    {
      const quarantine_suspect_t *suspect
          = find_suspect (quarantine, parts->ids[i]);

      if (suspect != NULL)
        worst = MAX (worst, suspect_level (quarantine, suspect));
    }
  return worst;
}

uint32_t
quarantine_remaining_ms (const quarantine_t *quarantine,
                         const prompt_parts_t *parts,
                         uint64_t now_ms)
{
  uint64_t until_ms = now_ms;

  for (uint32_t i = 0; i < parts->count; i++)
    {
      const quarantine_suspect_t *suspect
          = find_suspect (quarantine, parts->ids[i]);

      if (suspect != NULL
          && suspect_level (quarantine, suspect) == QUARANTINE_BLOCKED)
        until_ms = MAX (until_ms, suspect->last_ms + BLOCKED_MS);
    }
  return (uint32_t)(until_ms - now_ms);
}

/** Adds a crash to the evidence against a part. Returns whether it is new. */
static bool
add_crash (quarantine_suspect_t *suspect,
           uint64_t upstream,
           uint64_t crashed_ms)
{
  if (has_crash (suspect, upstream))
    return false;
  suspect->last_ms = MAX (suspect->last_ms, crashed_ms);
  if (suspect->crash_count == QUARANTINE_MAX_CRASHES)
    return false;
  suspect->crashes[suspect->crash_count] = upstream;
  suspect->crashed_ms[suspect->crash_count++] = crashed_ms;
  return true;
}

static void
log_if_blocked (quarantine_t *quarantine,
                const quarantine_suspect_t *suspect,
                quarantine_level_t before)
{
  if (before == QUARANTINE_BLOCKED
      || suspect_level (quarantine, suspect) != QUARANTINE_BLOCKED)
    return;
  count (quarantine->blocked);
  log_warn ("Quarantined a part of prompts. part=%016" PRIx64
            " crashes=%u was_proven=%d for_ms=%u",
            suspect->part, suspect->crash_count, suspect->was_proven,
            BLOCKED_MS);
}

void
quarantine_add_crash (quarantine_t *quarantine,
                      const prompt_parts_t *parts,
                      uint64_t upstream,
                      uint64_t now_ms)
{
  bool is_explained
      = quarantine_level (quarantine, parts) == QUARANTINE_BLOCKED;

  count (quarantine->crashes);
  for (uint32_t i = 0; i < parts->count; i++)
    {
      quarantine_suspect_t *suspect = find_suspect (quarantine, parts->ids[i]);
      quarantine_level_t before;

      /* A blocked part explains the crash; the others are bystanders. */
      if (is_explained
          && (suspect == NULL
              || suspect_level (quarantine, suspect) != QUARANTINE_BLOCKED))
        continue;
      suspect = find_or_add_suspect (quarantine, parts->ids[i], now_ms);
      before = suspect_level (quarantine, suspect);
      if (!add_crash (suspect, upstream, now_ms))
        continue;
      log_info ("An upstream crashed on a request. upstream=%016" PRIx64
                " part=%016" PRIx64 " crashes=%u was_proven=%d",
                upstream, suspect->part, suspect->crash_count,
                suspect->was_proven);
      log_if_blocked (quarantine, suspect, before);
    }
}

static void
remove_suspect (quarantine_t *quarantine, quarantine_suspect_t *suspect)
{
  g_ptr_array_remove_fast (quarantine->suspects, suspect);
}

/** Withdraws the evidence against a part, after an answer that began on it. */
static void
clear_part (quarantine_t *quarantine, uint64_t part, uint64_t answered_ms)
{
  quarantine_suspect_t *suspect = find_suspect (quarantine, part);
  proven_t cleared = { .part = part, .answered_ms = answered_ms };

  add_proven (quarantine, part, answered_ms);
  if (suspect == NULL || suspect->last_ms > answered_ms)
    return;
  count (quarantine->cleared_total);
  log_info ("A suspect part was answered. part=%016" PRIx64 " crashes=%u", part,
            suspect->crash_count);
  remove_suspect (quarantine, suspect);
  if (quarantine->cleared->len >= MAX_CLEARED)
    g_array_remove_index (quarantine->cleared, 0);
  g_array_append_val (quarantine->cleared, cleared);
}

/** Removes a crash that an answer of the same incarnation has disproved. */
static void
remove_crash (quarantine_suspect_t *suspect, uint64_t upstream, uint64_t now_ms)
{
  for (uint32_t i = 0; i < suspect->crash_count; i++)
    if (suspect->crashes[i] == upstream
        && suspect->crashed_ms[i] + REORDER_MS < now_ms)
      {
        uint32_t last = --suspect->crash_count;

        suspect->crashes[i] = suspect->crashes[last];
        suspect->crashed_ms[i] = suspect->crashed_ms[last];
        return;
      }
}

void
quarantine_add_answer (quarantine_t *quarantine,
                       const prompt_parts_t *parts,
                       uint64_t upstream,
                       uint64_t now_ms)
{
  for (uint32_t i = 0; i < parts->count; i++)
    clear_part (quarantine, parts->ids[i], now_ms);
  for (guint i = quarantine->suspects->len; i-- > 0;)
    {
      quarantine_suspect_t *suspect
          = g_ptr_array_index (quarantine->suspects, i);

      remove_crash (suspect, upstream, now_ms);
      if (suspect->crash_count == 0)
        remove_suspect (quarantine, suspect);
    }
}

void
quarantine_merge (quarantine_t *quarantine,
                  const quarantine_suspect_t *reported,
                  uint64_t now_ms)
{
  const proven_t *proven
      = g_hash_table_lookup (quarantine->proven, &reported->part);
  quarantine_suspect_t *suspect;
  quarantine_level_t before;

  if ((proven != NULL && proven->answered_ms >= reported->last_ms)
      || reported->crash_count == 0)
    return;
  suspect = find_or_add_suspect (quarantine, reported->part, now_ms);
  before = suspect_level (quarantine, suspect);
  suspect->was_proven = suspect->was_proven || reported->was_proven;
  for (uint32_t i = 0; i < reported->crash_count; i++)
    add_crash (suspect, reported->crashes[i], reported->last_ms);
  log_if_blocked (quarantine, suspect, before);
}

void
quarantine_merge_answer (quarantine_t *quarantine,
                         uint64_t part,
                         uint64_t answered_ms)
{
  if (find_suspect (quarantine, part) != NULL)
    clear_part (quarantine, part, answered_ms);
  else
    add_proven (quarantine, part, answered_ms);
}

void
quarantine_each_suspect (const quarantine_t *quarantine,
                         void (*each) (const quarantine_suspect_t *suspect,
                                       void *context),
                         void *context)
{
  for (guint i = 0; i < quarantine->suspects->len; i++)
    each (g_ptr_array_index (quarantine->suspects, i), context);
}

void
quarantine_each_cleared (const quarantine_t *quarantine,
                         uint64_t now_ms,
                         void (*each) (uint64_t part,
                                       uint64_t answered_ms,
                                       void *context),
                         void *context)
{
  for (guint i = 0; i < quarantine->cleared->len; i++)
    {
      const proven_t *cleared
          = &g_array_index (quarantine->cleared, proven_t, i);

      if (cleared->answered_ms + CLEARED_MS > now_ms)
        each (cleared->part, cleared->answered_ms, context);
    }
}

/** Ages the evidence against a part. A part that was blocked for long enough
 * may be tried again, and is blocked again after one more crash. Returns false
 * when nothing is left. */
static bool
age_suspect (const quarantine_t *quarantine,
             quarantine_suspect_t *suspect,
             uint64_t now_ms)
{
  if (suspect_level (quarantine, suspect) != QUARANTINE_BLOCKED)
    return suspect->last_ms + SUSPECT_MS > now_ms;
  if (suspect->last_ms + BLOCKED_MS > now_ms)
    return true;
  log_info ("A quarantined part may be tried again. part=%016" PRIx64,
            suspect->part);
  suspect->crash_count
      = BLOCKED_CRASHES * (suspect->was_proven ? PROVEN_FACTOR : 1) - 1;
  suspect->last_ms = now_ms;
  return true;
}

void
quarantine_tick (quarantine_t *quarantine, uint64_t now_ms)
{
  for (guint i = quarantine->suspects->len; i-- > 0;)
    {
      quarantine_suspect_t *suspect
          = g_ptr_array_index (quarantine->suspects, i);

      if (!age_suspect (quarantine, suspect, now_ms))
        remove_suspect (quarantine, suspect);
    }
}
