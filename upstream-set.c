#include "upstream-set-internal.h"

#include <inttypes.h>
#include <string.h>
#include <talloc.h>

#define LOG_PART "upstreams"
#include "logging.h"

/** Weight of the newest answer in the smoothed share of failures. */
#define FAILURE_WEIGHT 0.34
/**
 * Share of failures above which an upstream is ejected; two failures in a row
 * exceed it.
 */
#define EJECT_FAILURE_SHARE 0.55
#define FIRST_EJECTION_MS   1500
#define MAX_EJECTION_MS     8000
#define FULL_BACKOFF_MS     100 /* pause after an upstream refused as full */
#define CALL_TIME_WEIGHT    0.2
/** Weights of a call in the smoothed best time. It rises slowly, so that calls
 * that wait at their upstream do not pass for its normal time. */
#define BEST_FALL_WEIGHT   0.3
#define BEST_RISE_WEIGHT   0.01
#define SLOWNESS_WEIGHT    0.25
#define MAX_SLOWNESS       12.0
#define SLOWNESS_DECAY     0.995 /* factor per tick on the difference from 1 */
#define ANSWER_TOKEN_VALUE 10.0  /* prompt tokens per answer token */

double
upstream_job_value (double prompt_tokens, double answer_tokens)
{
  return prompt_tokens + ANSWER_TOKEN_VALUE * answer_tokens;
}

bool
upstream_job_is_split (const upstream_job_t *job)
{
  return job->read_tokens < job->prompt_tokens;
}

static int
free_member (upstream_member_t *member)
{
  g_ptr_array_free (member->jobs, TRUE);
  return 0;
}

static int
free_set (upstream_set_t *set)
{
  while (set->members->len > 0)
    talloc_free (g_ptr_array_remove_index_fast (set->members, 0));
  g_ptr_array_free (set->members, TRUE);
  g_hash_table_destroy (set->by_key);
  g_hash_table_destroy (set->jobs);
  g_hash_table_destroy (set->drained_zones);
  return 0;
}

upstream_set_t *
upstream_set_new (void *parent, const upstream_set_options_t *options)
{
  upstream_set_t *set = talloc_zero (parent, upstream_set_t);

  set->options = *options;
  set->by_key = g_hash_table_new (g_int64_hash, g_int64_equal);
  set->members = g_ptr_array_new ();
  set->jobs = g_hash_table_new (g_int64_hash, g_int64_equal);
  set->drained_zones
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  talloc_set_destructor (set, free_set);
  return set;
}

upstream_member_t *
upstream_set_find_member (const upstream_set_t *set, uint64_t key)
{
  return g_hash_table_lookup (set->by_key, &key);
}

static upstream_member_t *
add_member (upstream_set_t *set, const directory_entry_t *entry)
{
  upstream_member_t *member = talloc_zero (set, upstream_member_t);

  member->key = entry->key;
  member->id = talloc_strdup (member, entry->said.id);
  member->slowness = 1.0;
  member->jobs = g_ptr_array_new ();
  talloc_set_destructor (member, free_member);
  g_hash_table_insert (set->by_key, &member->key, member);
  g_ptr_array_add (set->members, member);
  return member;
}

static void
replace_text (upstream_member_t *member, char **text, const char *value)
{
  if (*text != NULL && strcmp (*text, value) == 0)
    return;
  talloc_free (*text);
  *text = talloc_strdup (member, value);
}

static void
update_drained (const upstream_set_t *set, upstream_member_t *member)
{
  member->is_drained = g_hash_table_contains (set->drained_zones, member->zone);
}

static void
update_member (upstream_set_t *set,
               const directory_t *directory,
               const directory_entry_t *entry,
               uint64_t now_ms)
{
  upstream_member_t *member = upstream_set_find_member (set, entry->key);
  directory_state_t state = entry->said.state;
  bool is_new = member == NULL;
  bool was_usable;

  if (member == NULL && state == DIRECTORY_GONE)
    return;
  if (member == NULL)
    member = add_member (set, entry);
  was_usable = member->is_usable;
  replace_text (member, &member->address, entry->said.address);
  replace_text (member, &member->zone, entry->said.zone);
  replace_text (member, &member->service, entry->said.service);
  member->slots = entry->said.slots;
  update_drained (set, member);
  member->has_announced_end
      = state == DIRECTORY_LEAVING || state == DIRECTORY_GONE;
  member->is_silent = state == DIRECTORY_SILENT;
  member->is_usable
      = (state == DIRECTORY_READY || state == DIRECTORY_SILENT)
        && !directory_is_replaced (directory, entry, &set->options.services);
  if (is_new)
    upstream_set_check_new (set, member, now_ms);
  upstream_set_check_announced (set, member, entry, now_ms);
  upstream_set_check_service (set, member, now_ms);
  if (was_usable && !member->is_usable && set->options.on_gone != NULL)
    set->options.on_gone (member, set->options.context);
}

static void
remove_member (upstream_set_t *set, guint index)
{
  upstream_member_t *member = g_ptr_array_index (set->members, index);

  for (guint i = 0; i < member->jobs->len; i++)
    {
      const upstream_job_t *job = g_ptr_array_index (member->jobs, i);

      g_hash_table_remove (set->jobs, &job->id);
    }
  g_hash_table_remove (set->by_key, &member->key);
  g_ptr_array_remove_index_fast (set->members, index);
  talloc_free (member);
}

void
upstream_set_sync (upstream_set_t *set,
                   const directory_t *directory,
                   uint64_t now_ms)
{
  size_t count;
  const directory_entry_t *const *entries
      = directory_entries (directory, &count);

  if (set->first_sync_ms == 0)
    set->first_sync_ms = now_ms;
  for (size_t i = 0; i < count; i++)
    update_member (set, directory, entries[i], now_ms);
  for (guint i = set->members->len; i-- > 0;)
    {
      const upstream_member_t *member = g_ptr_array_index (set->members, i);

      if (directory_find (directory, member->key) == NULL)
        remove_member (set, i);
    }
}

const upstream_member_t *const *
upstream_set_members (const upstream_set_t *set, size_t *count)
{
  *count = set->members->len;
  return (const upstream_member_t *const *)set->members->pdata;
}

const upstream_member_t *
upstream_set_find (const upstream_set_t *set, uint64_t key)
{
  return upstream_set_find_member (set, key);
}

const upstream_job_t *
upstream_set_job (const upstream_set_t *set, uint64_t job_id)
{
  return g_hash_table_lookup (set->jobs, &job_id);
}

void
upstream_reservation_name (uint64_t job_id,
                           char name[UPSTREAM_RESERVATION_ID_BYTES])
{
  g_snprintf (name, UPSTREAM_RESERVATION_ID_BYTES, "%016" PRIx64, job_id);
}

bool
upstream_set_begin (upstream_set_t *set, const upstream_job_t *job)
{
  upstream_member_t *member = upstream_set_find_member (set, job->upstream);
  upstream_job_t *copy;

  if (member == NULL || upstream_set_job (set, job->id) != NULL)
    return false;
  copy = talloc_memdup (member, job, sizeof *job);
  copy->parts = prompt_parts_copy (copy, &job->parts);
  if (!job->is_part)
    {
      upstream_limit_spend (&member->limit, job->sent_ms);
      upstream_cold_count (&member->cold, job->id, job->sent_ms,
                           job->is_granted);
    }
  g_ptr_array_add (member->jobs, copy);
  g_hash_table_insert (set->jobs, &copy->id, copy);
  return true;
}

void
upstream_set_source (upstream_set_t *set, uint64_t job_id, uint64_t source)
{
  upstream_job_t *job = g_hash_table_lookup (set->jobs, &job_id);

  if (job != NULL)
    job->source = source;
}

void
upstream_set_progress (upstream_set_t *set,
                       uint64_t job_id,
                       uint64_t gap_ms,
                       uint64_t now_ms)
{
  upstream_job_t *job = g_hash_table_lookup (set->jobs, &job_id);

  if (job == NULL)
    return;
  if (job->first_ms == 0)
    {
      job->first_ms = now_ms;
      if (set->options.on_answer != NULL)
        set->options.on_answer (job, now_ms, set->options.context);
    }
  else if (job->gap_target_ms > 0 && gap_ms > job->gap_target_ms)
    job->is_late = true;
}

static void
eject_member (upstream_member_t *member, uint64_t now_ms)
{
  uint64_t for_ms = FIRST_EJECTION_MS;

  for (uint32_t i = 0; i < member->ejections && for_ms < MAX_EJECTION_MS; i++)
    for_ms *= 2;
  member->trust = UPSTREAM_EJECTED;
  member->ejections++;
  member->ejected_until_ms = now_ms + MIN (for_ms, MAX_EJECTION_MS);
  log_info ("Ejected a failing upstream. upstream=%s address=%s "
            "failure_share=%.2f until_ms=%ju",
            member->id, member->address, member->failure_share,
            (uintmax_t)member->ejected_until_ms);
}

static void
readmit_member (upstream_member_t *member)
{
  if (member->trust == UPSTREAM_ON_TRIAL)
    log_info ("Readmitted an upstream. upstream=%s address=%s", member->id,
              member->address);
  member->trust = UPSTREAM_TRUSTED;
  member->ejections = 0;
}

static void
record_job_end (upstream_member_t *member,
                upstream_job_end_t how,
                uint64_t now_ms)
{
  if (how != UPSTREAM_JOB_GOOD && how != UPSTREAM_JOB_NEUTRAL)
    upstream_pace_on_failure (&member->pace, now_ms);
  if (how == UPSTREAM_JOB_REFUSED)
    member->full_until_ms = now_ms + FULL_BACKOFF_MS;
  if (how == UPSTREAM_JOB_DEAD && member->trust != UPSTREAM_EJECTED)
    eject_member (member, now_ms);
  if (how == UPSTREAM_JOB_BROKEN)
    how = UPSTREAM_JOB_FAILED;
  if (how != UPSTREAM_JOB_GOOD && how != UPSTREAM_JOB_FAILED)
    return;
  member->failure_share
      += FAILURE_WEIGHT
         * ((how == UPSTREAM_JOB_FAILED ? 1.0 : 0.0) - member->failure_share);
  if (how == UPSTREAM_JOB_GOOD)
    {
      member->heard_ms = now_ms;
      if (member->trust == UPSTREAM_ON_TRIAL)
        readmit_member (member);
    }
  else if (member->trust == UPSTREAM_ON_TRIAL
           || (member->trust == UPSTREAM_TRUSTED
               && member->failure_share > EJECT_FAILURE_SHARE))
    eject_member (member, now_ms);
}

void
upstream_set_end (upstream_set_t *set,
                  uint64_t job_id,
                  upstream_job_end_t how,
                  uint64_t now_ms)
{
  upstream_job_t *job = g_hash_table_lookup (set->jobs, &job_id);
  upstream_member_t *member;

  if (job == NULL)
    return;
  member = upstream_set_find_member (set, job->upstream);
  if (how == UPSTREAM_JOB_BROKEN && !upstream_member_is_ending (member)
      && set->options.on_broken != NULL)
    set->options.on_broken (job, now_ms, set->options.context);
  if (how == UPSTREAM_JOB_GOOD && set->options.on_complete != NULL)
    set->options.on_complete (job, now_ms, set->options.context);
  g_hash_table_remove (set->jobs, &job->id);
  g_ptr_array_remove (member->jobs, job);
  talloc_free (job);
  record_job_end (member, how, now_ms);
}

void
upstream_set_each_job (const upstream_set_t *set,
                       void (*each) (const upstream_job_t *job, void *context),
                       void *context)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, set->jobs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    each (value, context);
}

void
upstream_set_drop_jobs (upstream_set_t *set,
                        bool (*is_dropped) (const upstream_job_t *job,
                                            void *context),
                        void *context)
{
  for (guint i = 0; i < set->members->len; i++)
    {
      upstream_member_t *member = g_ptr_array_index (set->members, i);

      for (guint j = member->jobs->len; j-- > 0;)
        {
          upstream_job_t *job = g_ptr_array_index (member->jobs, j);

          if (!is_dropped (job, context))
            continue;
          g_hash_table_remove (set->jobs, &job->id);
          g_ptr_array_remove_index (member->jobs, j);
          talloc_free (job);
        }
    }
}

void
upstream_set_add_call_time (upstream_set_t *set,
                            uint64_t key,
                            double took_ms,
                            uint64_t now_ms)
{
  upstream_member_t *member = upstream_set_find_member (set, key);

  if (member == NULL)
    return;
  upstream_set_pace_call (set, member, took_ms, now_ms);
  if (member->answer_ms == 0)
    member->answer_ms = member->best_ms = took_ms;
  member->answer_ms += CALL_TIME_WEIGHT * (took_ms - member->answer_ms);
  member->best_ms
      += (took_ms < member->best_ms ? BEST_FALL_WEIGHT : BEST_RISE_WEIGHT)
         * (took_ms - member->best_ms);
}

/** Takes the upstreams of the zones that are not drained any more for cold. */
static void
mark_returned_zones (upstream_set_t *set,
                     GHashTable *were_drained,
                     uint64_t now_ms)
{
  GHashTableIter iterator;
  void *zone;

  g_hash_table_iter_init (&iterator, were_drained);
  while (g_hash_table_iter_next (&iterator, &zone, NULL))
    if (!g_hash_table_contains (set->drained_zones, zone))
      upstream_set_mark_zone_cold (set, zone, now_ms);
}

void
upstream_set_drain_zones (upstream_set_t *set,
                          char *const *zones,
                          size_t count,
                          uint64_t now_ms)
{
  GHashTable *were_drained = set->drained_zones;

  set->drained_zones
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  for (size_t i = 0; i < count; i++)
    g_hash_table_add (set->drained_zones, g_strdup (zones[i]));
  for (guint i = 0; i < set->members->len; i++)
    update_drained (set, g_ptr_array_index (set->members, i));
  mark_returned_zones (set, were_drained, now_ms);
  g_hash_table_destroy (were_drained);
}

bool
upstream_member_is_available (const upstream_member_t *member, uint64_t now_ms)
{
  return member->is_usable && !member->is_drained && !member->is_leaving
         && member->paused_until_ms <= now_ms;
}

bool
upstream_member_is_ending (const upstream_member_t *member)
{
  return member->is_leaving || member->has_announced_end;
}

void
upstream_set_mark_leaving (upstream_set_t *set, uint64_t key)
{
  upstream_member_t *member = upstream_set_find_member (set, key);

  if (member == NULL || member->is_leaving)
    return;
  member->is_leaving = true;
  log_info ("An upstream says that it leaves. upstream=%s address=%s",
            member->id, member->address);
  if (member->is_usable && set->options.on_gone != NULL)
    set->options.on_gone (member, set->options.context);
}

void
upstream_set_pause (upstream_set_t *set, uint64_t key, uint64_t until_ms)
{
  upstream_member_t *member = upstream_set_find_member (set, key);

  if (member == NULL || member->paused_until_ms >= until_ms)
    return;
  if (member->paused_until_ms == 0)
    log_info ("An upstream asks for a pause. upstream=%s address=%s "
              "until_ms=%ju",
              member->id, member->address, (uintmax_t)until_ms);
  member->paused_until_ms = until_ms;
}

void
upstream_set_limit (upstream_set_t *set,
                    uint64_t key,
                    double rate_s,
                    uint64_t stated_ms,
                    uint64_t now_ms)
{
  upstream_member_t *member = upstream_set_find_member (set, key);

  if (member == NULL
      || !upstream_limit_set (&member->limit, rate_s, stated_ms, now_ms))
    return;
  if (rate_s > 0)
    log_info ("An upstream limits its requests. upstream=%s address=%s "
              "rate_s=%.3f",
              member->id, member->address, rate_s);
  else
    log_info ("The limit of an upstream has ended. upstream=%s address=%s",
              member->id, member->address);
}

/** Ends a pause whose time is over. */
static void
check_pause (const upstream_set_t *set,
             upstream_member_t *member,
             uint64_t now_ms)
{
  if (member->paused_until_ms == 0 || member->paused_until_ms > now_ms)
    return;
  log_info ("The pause of an upstream is over. upstream=%s address=%s",
            member->id, member->address);
  member->paused_until_ms = 0;
  upstream_set_begin_pace (set, member, PACE_PAUSED, now_ms);
}

void
upstream_set_add_slowness (upstream_set_t *set,
                           uint64_t key,
                           double factor,
                           uint64_t now_ms)
{
  upstream_member_t *member = upstream_set_find_member (set, key);

  if (member == NULL)
    return;
  upstream_set_pace_answer (member, factor, now_ms);
  factor = CLAMP (factor, 0.5, MAX_SLOWNESS);
  member->slowness += SLOWNESS_WEIGHT * (factor - member->slowness);
}

void
upstream_set_tick (upstream_set_t *set, uint64_t now_ms)
{
  for (guint i = 0; i < set->members->len; i++)
    {
      upstream_member_t *member = g_ptr_array_index (set->members, i);

      check_pause (set, member, now_ms);
      member->slowness = 1.0 + (member->slowness - 1.0) * SLOWNESS_DECAY;
      if (member->trust == UPSTREAM_EJECTED
          && now_ms >= member->ejected_until_ms)
        member->trust = UPSTREAM_ON_TRIAL;
      upstream_set_check_service (set, member, now_ms);
      upstream_set_pace_tick (member, now_ms);
    }
}
