#include "registry.h"

#include <glib.h>
#include <string.h>
#include <talloc.h>

#define LOG_PART "registry"
#include "logging.h"

#define DEFAULT_ANNOUNCE_MS  1000
#define MAX_MISSED_ANNOUNCES 3
#define MIN_SUSPECT_MS       1000
#define MAX_SUSPECT_MS       16000

struct registry
{
  GHashTable *upstreams; /* name to registry_upstream_t */
  sched_t *sched;
  registry_gone_cb_t gone;
  void *context;
  metric_t *expired;
  metric_t *suspected;
  metric_t *stale;
};

static int
free_registry (registry_t *registry)
{
  g_hash_table_destroy (registry->upstreams);
  return 0;
}

static double
read_count (void *context)
{
  return registry_count (context);
}

static void
add_metrics (registry_t *registry, metrics_t *metrics)
{
  registry->expired
      = metrics_counter (metrics, "lwm_upstreams_expired_total",
                         "upstreams not heard of for too long", NULL);
  registry->suspected
      = metrics_counter (metrics, "lwm_upstreams_suspected_total",
                         "times an upstream became suspect", NULL);
  registry->stale
      = metrics_counter (metrics, "lwm_announcements_stale_total",
                         "announcements of an earlier incarnation", NULL);
  metrics_gauge_read (metrics, "lwm_upstreams", "upstreams known", NULL,
                      read_count, registry);
}

registry_t *
registry_new (void *parent, const registry_options_t *options)
{
  registry_t *registry = talloc_zero (parent, registry_t);
  metrics_t *metrics = options->metrics;

  registry->upstreams = g_hash_table_new (g_str_hash, g_str_equal);
  registry->sched = options->sched;
  registry->gone = options->gone;
  registry->context = options->context;
  if (metrics == NULL)
    metrics = metrics_new (registry);
  add_metrics (registry, metrics);
  talloc_set_destructor (registry, free_registry);
  return registry;
}

static void
update_sched (registry_t *registry,
              const registry_upstream_t *upstream,
              uint64_t now_ms)
{
  sched_upstream_t state = {
    .name = upstream->name,
    .incarnation = upstream->incarnation,
    .zone = upstream->zone,
    .service = upstream->service,
    .loaded = upstream->loaded,
    .loaded_count = upstream->loaded_count,
    .role = upstream->role,
    .is_engine = upstream->is_engine,
    .leaving = upstream->leaving,
    .suspect = upstream->suspect,
    .kv_tokens = upstream->kv_tokens,
    .kv_used_tokens = upstream->load.kv_used_tokens,
    .max_batch = upstream->max_batch,
    .running = upstream->load.running,
    .waiting_tokens = upstream->load.waiting_tokens,
    .prefill_tokens_s = upstream->prefill_tokens_s,
    .step_us = upstream->step_us,
    .reported_at_ms = upstream->load_taken_ms,
  };

  sched_put_upstream (registry->sched, &state, now_ms);
}

static void
replace_text (registry_upstream_t *upstream, char **member, const char *value)
{
  if (*member != NULL && strcmp (*member, value != NULL ? value : "") == 0)
    return;
  talloc_free (*member);
  *member = talloc_strdup (upstream, value != NULL ? value : "");
}

static void
store_state (registry_upstream_t *upstream, const registry_announcement_t *from)
{
  upstream->incarnation = from->incarnation;
  replace_text (upstream, &upstream->address, from->address);
  replace_text (upstream, &upstream->zone, from->zone);
  replace_text (upstream, &upstream->service, from->service);
  talloc_free (upstream->loaded);
  upstream->loaded = weights_copy (upstream, from->loaded, from->loaded_count);
  upstream->loaded_count = from->loaded_count;
  replace_text (upstream, &upstream->role, from->role);
  upstream->is_engine = from->is_engine;
  upstream->leaving = from->leaving;
  upstream->fencing = from->fencing;
  upstream->last_fencing = from->last_fencing;
  upstream->kv_tokens = from->kv_tokens;
  upstream->max_batch = from->max_batch;
  upstream->prefill_tokens_s = from->prefill_tokens_s;
  upstream->step_us = from->step_us;
}

static void
store_load (registry_upstream_t *upstream,
            const registry_announcement_t *from,
            uint64_t now_ms)
{
  if (!from->has_load)
    return;
  upstream->load = from->load;
  upstream->load_taken_ms
      = now_ms > from->load.taken_ms_ago ? now_ms - from->load.taken_ms_ago : 0;
}

static registry_upstream_t *
add_upstream (registry_t *registry, const char *name)
{
  registry_upstream_t *upstream = talloc_zero (registry, registry_upstream_t);

  upstream->name = talloc_strdup (upstream, name);
  g_hash_table_insert (registry->upstreams, upstream->name, upstream);
  return upstream;
}

static void
report_gone (registry_t *registry,
             const char *name,
             uint64_t incarnation,
             bool is_dead,
             bool has_left)
{
  if (registry->gone != NULL)
    registry->gone (name, incarnation, is_dead, has_left, registry->context);
}

static void
drop_upstream (registry_t *registry,
               registry_upstream_t *upstream,
               bool is_dead)
{
  sched_drop_upstream (registry->sched, upstream->name);
  g_hash_table_remove (registry->upstreams, upstream->name);
  report_gone (registry, upstream->name, upstream->incarnation, is_dead,
               upstream->leaving || upstream->said_leaving);
  talloc_free (upstream);
}

bool
registry_put_announcement (registry_t *registry,
                           const registry_announcement_t *announcement,
                           uint64_t now_ms)
{
  registry_upstream_t *upstream
      = g_hash_table_lookup (registry->upstreams, announcement->name);

  if (upstream != NULL && announcement->incarnation < upstream->incarnation)
    {
      metric_add (registry->stale, 1);
      return false;
    }
  /* A new incarnation has lost the streams of the old one. */
  if (upstream != NULL && announcement->incarnation > upstream->incarnation)
    {
      log_info (
          "Upstream restarted. upstream=%s incarnation=%" G_GUINT64_FORMAT,
          upstream->name, announcement->incarnation);
      drop_upstream (registry, upstream, true);
      upstream = NULL;
    }
  if (upstream == NULL)
    {
      /* The previous incarnation may have been dropped for missed
       * announcements before the upstream restarted. */
      report_gone (registry, announcement->name, announcement->incarnation - 1,
                   true, false);
      upstream = add_upstream (registry, announcement->name);
      log_info ("Upstream added. upstream=%s address=%s", announcement->name,
                announcement->address);
    }
  store_state (upstream, announcement);
  store_load (upstream, announcement, now_ms);
  upstream->heard_ms = now_ms;
  upstream->announce_ms = announcement->announce_ms > 0
                              ? announcement->announce_ms
                              : DEFAULT_ANNOUNCE_MS;
  update_sched (registry, upstream, now_ms);
  return true;
}

void
registry_drop (registry_t *registry, const char *name, uint64_t incarnation)
{
  registry_upstream_t *upstream
      = g_hash_table_lookup (registry->upstreams, name);

  if (upstream != NULL && upstream->incarnation == incarnation)
    drop_upstream (registry, upstream, false);
}

const registry_upstream_t *
registry_find (const registry_t *registry, const char *name)
{
  return g_hash_table_lookup (registry->upstreams, name);
}

void
registry_record_failure (registry_t *registry,
                         const char *name,
                         uint64_t now_ms)
{
  registry_upstream_t *upstream
      = g_hash_table_lookup (registry->upstreams, name);
  uint64_t suspect_ms = MIN_SUSPECT_MS;

  if (upstream == NULL)
    return;
  for (uint32_t i = 0; i < upstream->failures && suspect_ms < MAX_SUSPECT_MS;
       i++)
    suspect_ms *= 2;
  upstream->failures++;
  upstream->suspect_until_ms = now_ms + suspect_ms;
  if (upstream->suspect)
    return;
  upstream->suspect = true;
  metric_add (registry->suspected, 1);
  log_warn ("Upstream is suspect. upstream=%s failures=%u", name,
            upstream->failures);
  update_sched (registry, upstream, now_ms);
}

void
registry_record_leaving (registry_t *registry,
                         const char *name,
                         uint64_t incarnation)
{
  registry_upstream_t *upstream
      = g_hash_table_lookup (registry->upstreams, name);

  if (upstream != NULL && upstream->incarnation == incarnation)
    upstream->said_leaving = true;
}

bool
registry_is_leaving (const registry_t *registry,
                     const char *name,
                     uint64_t incarnation)
{
  const registry_upstream_t *upstream = registry_find (registry, name);

  return upstream != NULL && upstream->incarnation == incarnation
         && (upstream->leaving || upstream->said_leaving);
}

void
registry_record_answer (registry_t *registry, const char *name, uint64_t now_ms)
{
  registry_upstream_t *upstream
      = g_hash_table_lookup (registry->upstreams, name);

  if (upstream == NULL || upstream->failures == 0)
    return;
  upstream->failures = 0;
  upstream->suspect = false;
  update_sched (registry, upstream, now_ms);
}

static bool
is_upstream_expired (const registry_upstream_t *upstream, uint64_t now_ms)
{
  uint64_t limit_ms = (uint64_t)MAX_MISSED_ANNOUNCES * upstream->announce_ms;

  return now_ms > upstream->heard_ms + limit_ms;
}

static void
end_suspicion (registry_t *registry,
               registry_upstream_t *upstream,
               uint64_t now_ms)
{
  if (!upstream->suspect || now_ms < upstream->suspect_until_ms)
    return;
  upstream->suspect = false;
  update_sched (registry, upstream, now_ms);
}

void
registry_tick (registry_t *registry, uint64_t now_ms)
{
  GList *all = g_hash_table_get_values (registry->upstreams);

  for (GList *item = all; item != NULL; item = item->next)
    {
      registry_upstream_t *upstream = item->data;

      if (is_upstream_expired (upstream, now_ms))
        {
          metric_add (registry->expired, 1);
          log_warn ("Upstream missed its announcements. upstream=%s",
                    upstream->name);
          drop_upstream (registry, upstream, false);
        }
      else
        end_suspicion (registry, upstream, now_ms);
    }
  g_list_free (all);
}

void
registry_each (const registry_t *registry,
               registry_each_cb_t each,
               void *context)
{
  GHashTableIter iter;
  gpointer upstream;

  g_hash_table_iter_init (&iter, registry->upstreams);
  while (g_hash_table_iter_next (&iter, NULL, &upstream))
    each (upstream, context);
}

uint32_t
registry_count (const registry_t *registry)
{
  return g_hash_table_size (registry->upstreams);
}
