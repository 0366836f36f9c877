#include "lib-cold.h"

#include <string.h>
#include <talloc.h>

#define SECOND_MS 1000
#define TICK_MS   200

/** A request of which the others learn later. */
typedef struct
{
  upstream_job_t job;
  const cold_decider_t *sender;
  uint64_t at_ms;
} told_t;

static upstream_cold_rate_t
find_rate (const char *service, void *context)
{
  return upstream_cold_make_rate (COLD_PER_S, COLD_S, COLD_EXCESS, COLD_SLACK);
}

static upstream_cold_share_t
find_share (const upstream_member_t *member, void *context)
{
  const cold_decider_t *decider = context;

  return (upstream_cold_share_t){
    .is_counting
    = decider->is_counting
      && placer_ranking_counts_zone (decider->ranking, member->zone),
    .rank = placer_ranking_order (decider->ranking, member->key),
  };
}

static void
free_times (gpointer times)
{
  g_array_free (times, TRUE);
}

cold_fleet_t *
cold_fleet_new (uint32_t lag_ms)
{
  cold_fleet_t *fleet = g_new0 (cold_fleet_t, 1);

  fleet->directory = directory_new (NULL);
  fleet->deciders = g_ptr_array_new ();
  fleet->sent
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, free_times);
  fleet->told = g_array_new (FALSE, FALSE, sizeof (told_t));
  fleet->lag_ms = lag_ms;
  return fleet;
}

void
cold_fleet_free (cold_fleet_t *fleet)
{
  for (guint i = 0; i < fleet->deciders->len; i++)
    {
      cold_decider_t *decider = g_ptr_array_index (fleet->deciders, i);

      talloc_free (decider->set);
      talloc_free (decider->ranking);
      g_free (decider);
    }
  g_ptr_array_free (fleet->deciders, TRUE);
  g_hash_table_destroy (fleet->sent);
  g_array_free (fleet->told, TRUE);
  talloc_free (fleet->directory);
  g_free (fleet);
}

void
cold_fleet_announce (cold_fleet_t *fleet,
                     const char *id,
                     const char *zone,
                     uint32_t cold_ms,
                     uint64_t now_ms)
{
  directory_statement_t statement = { .id = id,
                                      .address = id,
                                      .zone = zone,
                                      .service = "s",
                                      .born_ms = 1,
                                      .sequence = now_ms,
                                      .slots = 16,
                                      .cold_ms = cold_ms };

  directory_put (fleet->directory, &statement, now_ms);
}

cold_decider_t *
cold_fleet_add (cold_fleet_t *fleet, const char *zone, uint64_t now_ms)
{
  upstream_set_options_t options = { .find_cold_rate = find_rate };
  cold_decider_t *decider = g_new0 (cold_decider_t, 1);
  char address[32];

  g_snprintf (address, sizeof address, "decider-%u", fleet->deciders->len);
  g_strlcpy (decider->zone, zone, sizeof decider->zone);
  decider->set = upstream_set_new (NULL, &options);
  decider->ranking = placer_ranking_new (NULL, address, zone);
  upstream_set_sync (decider->set, fleet->directory, now_ms);
  g_ptr_array_add (fleet->deciders, decider);
  return decider;
}

void
cold_fleet_introduce (cold_fleet_t *fleet)
{
  char address[32];

  for (guint i = 0; i < fleet->deciders->len; i++)
    for (guint j = 0; j < fleet->deciders->len; j++)
      {
        cold_decider_t *decider = g_ptr_array_index (fleet->deciders, i);
        const cold_decider_t *other = g_ptr_array_index (fleet->deciders, j);

        g_snprintf (address, sizeof address, "decider-%u", j);
        placer_ranking_add (decider->ranking, address, other->zone, 0);
      }
}

void
cold_fleet_sync (cold_fleet_t *fleet, uint64_t now_ms)
{
  for (guint i = 0; i < fleet->deciders->len; i++)
    {
      cold_decider_t *decider = g_ptr_array_index (fleet->deciders, i);

      upstream_set_sync (decider->set, fleet->directory, now_ms);
    }
}

static void
tell (const cold_fleet_t *fleet, const told_t *told, uint64_t now_ms)
{
  for (guint i = 0; i < fleet->deciders->len; i++)
    {
      cold_decider_t *decider = g_ptr_array_index (fleet->deciders, i);

      if (decider == told->sender)
        continue;
      upstream_set_begin (decider->set, &told->job);
      upstream_set_end (decider->set, told->job.id, UPSTREAM_JOB_GOOD, now_ms);
    }
}

void
cold_fleet_step (cold_fleet_t *fleet, uint64_t now_ms)
{
  for (guint i = 0; i < fleet->told->len;)
    {
      told_t told = g_array_index (fleet->told, told_t, i);

      if (told.at_ms > now_ms)
        {
          i++;
          continue;
        }
      tell (fleet, &told, now_ms);
      g_array_remove_index (fleet->told, i);
    }
  for (guint i = 0; now_ms % TICK_MS == 0 && i < fleet->deciders->len; i++)
    {
      cold_decider_t *decider = g_ptr_array_index (fleet->deciders, i);

      upstream_set_tick (decider->set, now_ms);
    }
}

choice_t
cold_fleet_choose (const cold_decider_t *decider,
                   uint32_t left_ms,
                   uint64_t now_ms)
{
  choice_request_t request = { .service = "s",
                               .zone = decider->zone,
                               .target_ms = 300,
                               .left_ms = left_ms,
                               .zone_cost_ms = 12,
                               .is_alone = decider->is_alone,
                               .find_cold_share = find_share,
                               .cold_context = (void *)decider,
                               .random = (uint32_t)g_test_rand_int () };

  return upstream_choose (decider->set, &request, now_ms);
}

static void
record_sent (cold_fleet_t *fleet, uint64_t key, uint64_t now_ms)
{
  GArray *times = g_hash_table_lookup (fleet->sent, &key);

  if (times == NULL)
    {
      times = g_array_new (FALSE, FALSE, sizeof (uint64_t));
      g_hash_table_insert (fleet->sent, g_memdup2 (&key, sizeof key), times);
    }
  g_array_append_val (times, now_ms);
}

bool
cold_fleet_send (cold_fleet_t *fleet, cold_decider_t *decider, uint64_t now_ms)
{
  choice_t choice = cold_fleet_choose (decider, 10000, now_ms);
  told_t told = { .sender = decider, .at_ms = now_ms + fleet->lag_ms };

  if (choice.kind != CHOICE_SEND)
    return false;
  told.job = (upstream_job_t){ .id = ++fleet->last_job,
                               .upstream = choice.member->key,
                               .sent_ms = now_ms,
                               .is_granted = true };
  record_sent (fleet, told.job.upstream, now_ms);
  upstream_set_begin (decider->set, &told.job);
  upstream_set_end (decider->set, told.job.id, UPSTREAM_JOB_GOOD, now_ms);
  told.job.is_granted = false;
  g_array_append_val (fleet->told, told);
  return true;
}

uint32_t
cold_fleet_most_in_a_second (const cold_fleet_t *fleet)
{
  GHashTableIter iter;
  gpointer value;
  uint32_t most = 0;

  g_hash_table_iter_init (&iter, fleet->sent);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const GArray *times = value;

      for (guint from = 0, to = 0; from < times->len; from++)
        {
          while (to < times->len
                 && g_array_index (times, uint64_t, to)
                        <= g_array_index (times, uint64_t, from) + SECOND_MS)
            to++;
          most = MAX (most, to - from);
        }
    }
  return most;
}

uint32_t
cold_fleet_sent (const cold_fleet_t *fleet)
{
  GHashTableIter iter;
  gpointer value;
  uint32_t sent = 0;

  g_hash_table_iter_init (&iter, fleet->sent);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    sent += ((const GArray *)value)->len;
  return sent;
}
