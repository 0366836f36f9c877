#include "failure.h"

#include <glib.h>
#include <math.h>
#include <string.h>
#include <talloc.h>

#define DEFAULT_PERIOD_MS        1000
#define DEFAULT_TIMEOUT_MS       400
#define DEFAULT_SUSPICION_MIN_MS 2000
#define DEFAULT_SUSPICION_MAX_MS 5000
#define INDIRECT_PROBES          3
/* Number of confirmations that reduce the suspicion timeout to its minimum. */
#define MAX_CONFIRMATIONS 3
/* Shortest time between two ticks that counts as a process pause. */
#define MIN_PAUSE_MS 500

typedef struct
{
  char *name;
  uint64_t incarnation;
  uint32_t version;
  bool is_suspect;
  uint64_t suspected_at_ms;
  GHashTable *suspected_by; /* names; "" for this instance */
} member_t;

struct failure
{
  failure_options_t options;
  GRand *rand;
  GHashTable *members; /* name to member_t */
  GPtrArray *round;    /* names still to probe in this round */
  uint64_t last_tick_ms;
  /* The current probe. */
  char *target; /* NULL: none */
  uint32_t sequence;
  uint64_t sent_at_ms;
  bool sent_indirect;
  bool answered;
};

static void
free_member (void *data)
{
  member_t *member = data;

  g_hash_table_destroy (member->suspected_by);
  g_free (member->name);
  g_free (member);
}

static int
free_failure (failure_t *failure)
{
  g_hash_table_destroy (failure->members);
  g_ptr_array_free (failure->round, TRUE);
  g_rand_free (failure->rand);
  return 0;
}

static uint32_t
value_or_default (uint32_t value, uint32_t fallback)
{
  return value > 0 ? value : fallback;
}

failure_t *
failure_new (void *parent, const failure_options_t *options)
{
  failure_t *failure = talloc_zero (parent, failure_t);
  failure_options_t *effective = &failure->options;

  *effective = *options;
  effective->period_ms
      = value_or_default (effective->period_ms, DEFAULT_PERIOD_MS);
  effective->timeout_ms
      = value_or_default (effective->timeout_ms, DEFAULT_TIMEOUT_MS);
  effective->suspicion_min_ms = value_or_default (effective->suspicion_min_ms,
                                                  DEFAULT_SUSPICION_MIN_MS);
  effective->suspicion_max_ms = value_or_default (effective->suspicion_max_ms,
                                                  DEFAULT_SUSPICION_MAX_MS);
  failure->rand = g_rand_new_with_seed ((guint32)options->seed);
  failure->members
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, free_member);
  failure->round = g_ptr_array_new_with_free_func (g_free);
  talloc_set_destructor (failure, free_failure);
  return failure;
}

static void
end_probe (failure_t *failure)
{
  TALLOC_FREE (failure->target);
}

static void
clear_suspicion (member_t *member)
{
  member->is_suspect = false;
  g_hash_table_remove_all (member->suspected_by);
}

void
failure_put (failure_t *failure,
             const char *instance,
             uint64_t incarnation,
             uint32_t version)
{
  member_t *member = g_hash_table_lookup (failure->members, instance);

  if (member == NULL)
    {
      member = g_new0 (member_t, 1);
      member->name = g_strdup (instance);
      member->suspected_by
          = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
      g_hash_table_insert (failure->members, member->name, member);
    }
  else if (member->incarnation == incarnation && member->version == version)
    return;
  member->incarnation = incarnation;
  member->version = version;
  clear_suspicion (member);
  /* The new record proves the target alive, so its probe needs no answer. */
  if (failure->target != NULL && strcmp (failure->target, instance) == 0)
    failure->answered = true;
}

void
failure_remove (failure_t *failure, const char *instance)
{
  if (failure->target != NULL && strcmp (failure->target, instance) == 0)
    end_probe (failure);
  g_hash_table_remove (failure->members, instance);
}

void
failure_ack (failure_t *failure, const char *instance, uint32_t sequence)
{
  if (failure->target != NULL && failure->sequence == sequence
      && strcmp (failure->target, instance) == 0)
    failure->answered = true;
}

static void
add_suspicion (member_t *member, const char *by, uint64_t now_ms)
{
  if (!member->is_suspect)
    member->suspected_at_ms = now_ms;
  member->is_suspect = true;
  g_hash_table_add (member->suspected_by, g_strdup (by));
}

bool
failure_add_suspicion (failure_t *failure,
                       const char *instance,
                       uint64_t incarnation,
                       uint32_t version,
                       const char *by,
                       uint64_t now_ms)
{
  member_t *member = g_hash_table_lookup (failure->members, instance);

  if (member == NULL || member->incarnation != incarnation
      || member->version != version
      || g_hash_table_contains (member->suspected_by, by))
    return false;
  /* Probe it next, which either confirms the suspicion or contradicts it. */
  if (!member->is_suspect)
    g_ptr_array_add (failure->round, g_strdup (instance));
  add_suspicion (member, by, now_ms);
  return true;
}

/** Returns the suspicion timeout, which shrinks with each confirmation. */
static uint64_t
suspicion_timeout_ms (const failure_t *failure, const member_t *member)
{
  double min_ms = failure->options.suspicion_min_ms;
  double max_ms = failure->options.suspicion_max_ms;
  /* The suspect and this instance do not count as possible confirmers. */
  uint32_t others = g_hash_table_size (failure->members) - 1;
  uint32_t expected = MIN (MAX_CONFIRMATIONS, others);
  uint32_t confirmed = g_hash_table_size (member->suspected_by) - 1;
  double share;

  if (expected == 0)
    return (uint64_t)min_ms;
  share = log (confirmed + 1.0) / log (expected + 1.0);
  return (uint64_t)MAX (min_ms, max_ms - (max_ms - min_ms) * share);
}

static void
suspect_target (failure_t *failure, uint64_t now_ms)
{
  member_t *member = g_hash_table_lookup (failure->members, failure->target);

  if (member == NULL || g_hash_table_contains (member->suspected_by, ""))
    return;
  /* The empty name stands for this instance's own suspicion. */
  add_suspicion (member, "", now_ms);
  failure->options.suspect (member->name, member->incarnation, member->version,
                            failure->options.context);
}

static void
shuffle_round (failure_t *failure)
{
  GHashTableIter iter;
  void *name;

  g_hash_table_iter_init (&iter, failure->members);
  while (g_hash_table_iter_next (&iter, &name, NULL))
    g_ptr_array_add (failure->round, g_strdup (name));
  for (guint i = failure->round->len; i > 1; i--)
    {
      guint j = (guint)g_rand_int_range (failure->rand, 0, (gint32)i);
      void *swap = failure->round->pdata[i - 1];

      failure->round->pdata[i - 1] = failure->round->pdata[j];
      failure->round->pdata[j] = swap;
    }
}

static char *
next_target (failure_t *failure)
{
  if (failure->round->len == 0)
    shuffle_round (failure);
  while (failure->round->len > 0)
    {
      char *name
          = g_ptr_array_steal_index (failure->round, failure->round->len - 1);
      char *target = NULL;

      if (g_hash_table_contains (failure->members, name))
        target = talloc_strdup (failure, name);
      g_free (name);
      if (target != NULL)
        return target;
    }
  return NULL;
}

static void
start_probe (failure_t *failure, uint64_t now_ms)
{
  failure->target = next_target (failure);
  if (failure->target == NULL)
    return;
  failure->sequence++;
  failure->sent_at_ms = now_ms;
  failure->sent_indirect = false;
  failure->answered = false;
  failure->options.probe (failure->target, LWM__PROBE_KIND__PROBE_PING,
                          failure->sequence, NULL, failure->options.context);
}

static void
send_indirect_probes (failure_t *failure)
{
  GPtrArray *names = g_ptr_array_new ();
  GHashTableIter iter;
  void *name;

  g_hash_table_iter_init (&iter, failure->members);
  while (g_hash_table_iter_next (&iter, &name, NULL))
    if (strcmp (name, failure->target) != 0)
      g_ptr_array_add (names, name);
  for (int i = 0; i < INDIRECT_PROBES && names->len > 0; i++)
    {
      guint pick
          = (guint)g_rand_int_range (failure->rand, 0, (gint32)names->len);

      failure->options.probe (
          g_ptr_array_index (names, pick), LWM__PROBE_KIND__PROBE_INDIRECT,
          failure->sequence, failure->target, failure->options.context);
      g_ptr_array_remove_index_fast (names, pick);
    }
  failure->sent_indirect = true;
  g_ptr_array_free (names, TRUE);
}

/**
 * Extends the deadlines after a process pause, during which answers may have
 * arrived unread.
 */
static void
extend_deadlines (failure_t *failure, uint64_t now_ms)
{
  uint64_t pause_ms = now_ms - failure->last_tick_ms;
  GHashTableIter iter;
  void *value;

  if (failure->last_tick_ms == 0 || pause_ms < MIN_PAUSE_MS)
    return;
  failure->sent_at_ms += pause_ms;
  g_hash_table_iter_init (&iter, failure->members);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    ((member_t *)value)->suspected_at_ms += pause_ms;
}

static void
report_dead (failure_t *failure, uint64_t now_ms)
{
  GPtrArray *dead = g_ptr_array_new_with_free_func (g_free);
  GHashTableIter iter;
  void *value;

  g_hash_table_iter_init (&iter, failure->members);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const member_t *member = value;

      if (member->is_suspect
          && now_ms >= member->suspected_at_ms
                           + suspicion_timeout_ms (failure, member))
        g_ptr_array_add (dead, g_strdup (member->name));
    }
  for (guint i = 0; i < dead->len; i++)
    {
      const char *name = g_ptr_array_index (dead, i);
      const member_t *member = g_hash_table_lookup (failure->members, name);

      /* The callback for one member may already have removed another. */
      if (member != NULL)
        failure->options.dead (name, member->incarnation, member->version,
                               failure->options.context);
      failure_remove (failure, name);
    }
  g_ptr_array_free (dead, TRUE);
}

void
failure_tick (failure_t *failure, uint64_t now_ms)
{
  extend_deadlines (failure, now_ms);
  failure->last_tick_ms = now_ms;
  if (failure->target != NULL && !failure->answered && !failure->sent_indirect
      && now_ms >= failure->sent_at_ms + failure->options.timeout_ms)
    send_indirect_probes (failure);
  if (failure->target != NULL
      && now_ms >= failure->sent_at_ms + failure->options.period_ms)
    {
      if (!failure->answered)
        suspect_target (failure, now_ms);
      end_probe (failure);
    }
  if (failure->target == NULL)
    start_probe (failure, now_ms);
  report_dead (failure, now_ms);
}
