#include "quarantine-internal.h"

#include <string.h>

/** Time for which a part stays blocked after its last crash. */
#define PART_BLOCKED_MS (10u * 60 * 1000)
/** The same for a request at first; it doubles with each renewal. */
#define REQUEST_BLOCKED_MS (60u * 1000)
/** Reports of different instances may arrive in another order than they were
 * made; an answer of an upstream shows that it has not crashed only when it
 * comes later than this after the report. */
#define REORDER_MS 1000
/** The same for a request. An upstream that starts again at its address may
 * answer in the place of the incarnation that crashed until it is announced. */
#define RESTART_MS 10000

/** Upstreams that crash within this time of each other have a common cause,
 * such as a power failure or a lost network, if the part proved sound before or
 * was not at all of them. */
#define COMMON_CAUSE_MS 500
/** Crashes of upstreams that are kept to tell this. */
#define MAX_KEPT_CRASHES 128

/* The parts of the longest prompts have room, so that none of them makes
 * another one of the same prompt unknown. */
static const guint max_suspects[SUSPECT_KIND_COUNT]
    = { [SUSPECT_PART] = 4096, [SUSPECT_REQUEST] = 256 };

static suspect_kind_t
kind_of (const quarantine_suspect_t *suspect)
{
  return suspect->is_request ? SUSPECT_REQUEST : SUSPECT_PART;
}

quarantine_suspect_t *
quarantine_find (const quarantine_t *quarantine,
                 suspect_kind_t kind,
                 uint64_t id)
{
  return g_hash_table_lookup (quarantine->index[kind], &id);
}

int
quarantine_compare_evidence (const quarantine_suspect_t *one,
                             const quarantine_suspect_t *other)
{
  uint32_t weight = one->crash_count * (one->was_proven ? 1 : PROVEN_FACTOR);
  uint32_t other_weight
      = other->crash_count * (other->was_proven ? 1 : PROVEN_FACTOR);

  if (weight != other_weight)
    return weight < other_weight ? -1 : 1;
  return (one->last_ms > other->last_ms) - (one->last_ms < other->last_ms);
}

/** Returns the index of the suspect with the least evidence. */
static guint
find_weakest (const GPtrArray *suspects)
{
  guint weakest = 0;

  for (guint i = 1; i < suspects->len; i++)
    {
      const quarantine_suspect_t *one = g_ptr_array_index (suspects, i);
      const quarantine_suspect_t *other = g_ptr_array_index (suspects, weakest);

      if (quarantine_compare_evidence (one, other) < 0)
        weakest = i;
    }
  return weakest;
}

quarantine_suspect_t *
quarantine_find_or_add (quarantine_t *quarantine,
                        suspect_kind_t kind,
                        uint64_t id)
{
  GPtrArray *suspects = quarantine->suspects[kind];
  quarantine_suspect_t *suspect = quarantine_find (quarantine, kind, id);

  if (suspect != NULL)
    return suspect;
  if (suspects->len >= max_suspects[kind])
    quarantine_remove (quarantine,
                       g_ptr_array_index (suspects, find_weakest (suspects)));
  suspect = g_new0 (quarantine_suspect_t, 1);
  suspect->part = id;
  suspect->is_request = kind == SUSPECT_REQUEST;
  g_ptr_array_add (suspects, suspect);
  g_hash_table_insert (quarantine->index[kind], &suspect->part, suspect);
  return suspect;
}

bool
quarantine_is_full_of_worse (const quarantine_t *quarantine,
                             suspect_kind_t kind,
                             uint32_t crash_count)
{
  const GPtrArray *suspects = quarantine->suspects[kind];
  const quarantine_suspect_t *weakest;

  if (suspects->len < max_suspects[kind])
    return false;
  weakest = g_ptr_array_index (suspects, find_weakest (suspects));
  return weakest->crash_count > crash_count;
}

void
quarantine_remove (quarantine_t *quarantine, quarantine_suspect_t *suspect)
{
  suspect_kind_t kind = kind_of (suspect);

  g_hash_table_remove (quarantine->index[kind], &suspect->part);
  g_ptr_array_remove_fast (quarantine->suspects[kind], suspect);
}

uint32_t
quarantine_request_crashes (const quarantine_t *quarantine, uint64_t request)
{
  const quarantine_suspect_t *suspect
      = quarantine_find (quarantine, SUSPECT_REQUEST, request);

  return suspect != NULL ? suspect->crash_count : 0;
}

static bool
has_crash (const quarantine_suspect_t *suspect, uint64_t upstream)
{
  for (uint32_t i = 0; i < suspect->crash_count; i++)
    if (suspect->crashes[i] == upstream)
      return true;
  return false;
}

/** Sets for how long a request is blocked by a crash, before that is counted.
 * Further crashes while it is blocked are those of runs that had begun. */
static void
renew_block (quarantine_suspect_t *suspect, uint64_t crashed_ms)
{
  if (!suspect->is_request || suspect->crash_count + 1 < BLOCKED_CRASHES)
    return;
  if (suspect->blocked_ms == 0)
    suspect->blocked_ms = REQUEST_BLOCKED_MS;
  else if (crashed_ms >= suspect->last_ms + suspect->blocked_ms)
    suspect->blocked_ms
        = MIN (2 * suspect->blocked_ms, QUARANTINE_MAX_BLOCKED_MS);
}

void
quarantine_forget_crash (quarantine_suspect_t *suspect, uint32_t index)
{
  uint32_t behind = --suspect->crash_count - index;

  memmove (&suspect->crashes[index], &suspect->crashes[index + 1],
           behind * sizeof *suspect->crashes);
  memmove (&suspect->crashed_ms[index], &suspect->crashed_ms[index + 1],
           behind * sizeof *suspect->crashed_ms);
}

/** Makes room for a crash of a part that proved sound: of two crashes at one
 * moment only the first counts. */
static void
forget_uncounted_crash (quarantine_suspect_t *suspect)
{
  uint64_t next_ms = 0;

  for (uint32_t i = 0; i < suspect->crash_count; i++)
    {
      if (suspect->crashed_ms[i] < next_ms)
        {
          quarantine_forget_crash (suspect, i);
          return;
        }
      next_ms = suspect->crashed_ms[i] + COMMON_CAUSE_MS;
    }
}

/** Adds a crash behind those of an earlier time. */
static void
insert_crash (quarantine_suspect_t *suspect,
              uint64_t upstream,
              uint64_t crashed_ms)
{
  uint32_t at = suspect->crash_count++;

  for (; at > 0 && suspect->crashed_ms[at - 1] > crashed_ms; at--)
    {
      suspect->crashes[at] = suspect->crashes[at - 1];
      suspect->crashed_ms[at] = suspect->crashed_ms[at - 1];
    }
  suspect->crashes[at] = upstream;
  suspect->crashed_ms[at] = crashed_ms;
}

bool
quarantine_record (quarantine_suspect_t *suspect,
                   uint64_t upstream,
                   uint64_t crashed_ms)
{
  if (has_crash (suspect, upstream))
    return false;
  renew_block (suspect, crashed_ms);
  suspect->last_ms = MAX (suspect->last_ms, crashed_ms);
  if (suspect->crash_count == QUARANTINE_MAX_CRASHES && suspect->was_proven)
    forget_uncounted_crash (suspect);
  if (suspect->crash_count == QUARANTINE_MAX_CRASHES)
    return false;
  insert_crash (suspect, upstream, crashed_ms);
  return true;
}

void
quarantine_disprove (quarantine_suspect_t *suspect,
                     uint64_t upstream,
                     uint64_t now_ms)
{
  uint32_t wait_ms = suspect->is_request ? RESTART_MS : REORDER_MS;

  for (uint32_t i = 0; i < suspect->crash_count; i++)
    if (suspect->crashes[i] == upstream
        && suspect->crashed_ms[i] + wait_ms < now_ms)
      {
        quarantine_forget_crash (suspect, i);
        return;
      }
}

void
quarantine_keep_crash (quarantine_t *quarantine,
                       uint64_t upstream,
                       uint64_t crashed_ms)
{
  GArray *crashed = quarantine->crashed;
  quarantine_crash_t crash = { .upstream = upstream, .crashed_ms = crashed_ms };

  for (guint i = 0; i < crashed->len; i++)
    if (g_array_index (crashed, quarantine_crash_t, i).upstream == upstream)
      return;
  if (crashed->len == MAX_KEPT_CRASHES)
    g_array_remove_index (crashed, 0);
  g_array_append_val (crashed, crash);
}

void
quarantine_shorten (quarantine_t *quarantine,
                    quarantine_suspect_t *suspect,
                    uint32_t count)
{
  GArray *crashed = quarantine->crashed;

  while (suspect->crash_count > count)
    {
      uint64_t upstream = suspect->crashes[--suspect->crash_count];

      for (guint i = crashed->len; i-- > 0;)
        if (g_array_index (crashed, quarantine_crash_t, i).upstream == upstream)
          g_array_remove_index (crashed, i);
    }
}

/** Returns whether upstreams that did not work on the suspect crashed at the
 * moment of its crash at @a index. That is unknown if the suspect may have had
 * more crashes than are kept. */
static bool
has_crashes_without (const quarantine_t *quarantine,
                     const quarantine_suspect_t *suspect,
                     uint32_t index)
{
  uint64_t crashed_ms = suspect->crashed_ms[index];

  if (suspect->crash_count == QUARANTINE_MAX_CRASHES)
    return false;
  for (guint i = 0; i < quarantine->crashed->len; i++)
    {
      const quarantine_crash_t *other
          = &g_array_index (quarantine->crashed, quarantine_crash_t, i);

      if (other->crashed_ms < crashed_ms + COMMON_CAUSE_MS
          && crashed_ms < other->crashed_ms + COMMON_CAUSE_MS
          && !has_crash (suspect, other->upstream))
        return true;
    }
  return false;
}

/** Returns whether other crashes at the same moment count with the one at
 * @a index as one. */
static bool
has_common_cause (const quarantine_t *quarantine,
                  const quarantine_suspect_t *suspect,
                  uint32_t index)
{
  return !suspect->is_request
         && (suspect->was_proven
             || has_crashes_without (quarantine, suspect, index));
}

/** Returns the number of crashes that count against a suspect. The crashes are
 * in the order of their times. */
static uint32_t
count_evidence (const quarantine_t *quarantine,
                const quarantine_suspect_t *suspect)
{
  uint64_t next_ms = 0;
  uint32_t count = 0;

  for (uint32_t i = 0; i < suspect->crash_count; i++)
    {
      if (has_common_cause (quarantine, suspect, i))
        {
          if (suspect->crashed_ms[i] < next_ms)
            continue;
          next_ms = suspect->crashed_ms[i] + COMMON_CAUSE_MS;
        }
      count++;
    }
  return count;
}

/** Returns whether @a other was there at all crashes of @a suspect and is the
 * more likely cause: it was at further ones, or only @a suspect has proved
 * sound before, or it is the whole request and @a suspect a part. */
static bool
is_explained_by (const quarantine_suspect_t *suspect,
                 const quarantine_suspect_t *other)
{
  if (other == suspect || other->was_proven > suspect->was_proven
      || other->crash_count < suspect->crash_count)
    return false;
  for (uint32_t i = 0; i < suspect->crash_count; i++)
    if (!has_crash (other, suspect->crashes[i]))
      return false;
  return other->crash_count > suspect->crash_count
         || (other->is_request && !suspect->is_request)
         || (suspect->was_proven && !other->was_proven);
}

static bool
is_bystander (const quarantine_t *quarantine,
              const quarantine_suspect_t *suspect)
{
  for (int kind = 0; kind < SUSPECT_KIND_COUNT; kind++)
    {
      const GPtrArray *others = quarantine->suspects[kind];

      for (guint i = 0; i < others->len; i++)
        if (is_explained_by (suspect, g_ptr_array_index (others, i)))
          return true;
    }
  return false;
}

uint64_t
quarantine_blocked_until (const quarantine_suspect_t *suspect)
{
  return suspect->last_ms
         + (suspect->is_request ? suspect->blocked_ms : PART_BLOCKED_MS);
}

quarantine_level_t
quarantine_suspect_level (const quarantine_t *quarantine,
                          const quarantine_suspect_t *suspect)
{
  uint32_t factor = suspect->was_proven ? PROVEN_FACTOR : 1;
  uint32_t count = count_evidence (quarantine, suspect);

  if (count < SUSPECT_CRASHES * factor || is_bystander (quarantine, suspect))
    return QUARANTINE_CLEAR;
  if (count < BLOCKED_CRASHES * factor)
    return QUARANTINE_SUSPECT;
  /* A part is set back to suspect when its time is over. */
  if (suspect->is_request
      && quarantine->now_ms >= quarantine_blocked_until (suspect))
    return QUARANTINE_SUSPECT;
  return QUARANTINE_BLOCKED;
}
