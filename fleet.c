#include "fleet.h"

#include <string.h>
#include <talloc.h>

/* Limit of cached prefixes recorded for one upstream; further prefixes are
 * ignored. */
#define MAX_PREFIXES_PER_UPSTREAM 4096

struct fleet
{
  const char *zone;
  GHashTable *by_name;    /* name to fleet_upstream_t */
  GHashTable *by_service; /* service to GPtrArray of fleet_upstream_t */
  GHashTable *versions;   /* service to its preferred version */
};

/* A request of this instance that ended after the last report was taken. */
typedef struct
{
  uint64_t sent_at_ms;
  uint64_t ended_at_ms;
  uint64_t kv_tokens;
} ended_request_t;

static int
fleet_destroy (fleet_t *fleet)
{
  g_hash_table_destroy (fleet->by_service);
  g_hash_table_destroy (fleet->by_name);
  g_hash_table_destroy (fleet->versions);
  return 0;
}

fleet_t *
fleet_new (void *parent, const char *zone)
{
  fleet_t *fleet = talloc_zero (parent, fleet_t);

  fleet->zone = zone;
  fleet->by_name = g_hash_table_new (g_str_hash, g_str_equal);
  fleet->by_service = g_hash_table_new_full (g_str_hash, g_str_equal, g_free,
                                             (GDestroyNotify)g_ptr_array_unref);
  fleet->versions
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  talloc_set_destructor (fleet, fleet_destroy);
  return fleet;
}

static int
upstream_destroy (fleet_upstream_t *upstream)
{
  for (guint i = 0; i < upstream->jobs->len; i++)
    ((job_t *)g_ptr_array_index (upstream->jobs, i))->at = NULL;
  g_ptr_array_unref (upstream->jobs);
  g_array_unref (upstream->ends);
  g_hash_table_destroy (upstream->prefixes);
  return 0;
}

static fleet_upstream_t *
add_upstream (fleet_t *fleet, const char *name)
{
  fleet_upstream_t *upstream = talloc_zero (fleet, fleet_upstream_t);

  upstream->name = talloc_strdup (upstream, name);
  upstream->rate = rate_new ();
  upstream->jobs = g_ptr_array_new ();
  upstream->ends = g_array_new (FALSE, FALSE, sizeof (ended_request_t));
  upstream->prefixes
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
  talloc_set_destructor (upstream, upstream_destroy);
  g_hash_table_insert (fleet->by_name, upstream->name, upstream);
  return upstream;
}

static gint
compare_names (gconstpointer a, gconstpointer b)
{
  const fleet_upstream_t *left = *(fleet_upstream_t *const *)a;
  const fleet_upstream_t *right = *(fleet_upstream_t *const *)b;

  return strcmp (left->name, right->name);
}

static void
add_to_service (fleet_t *fleet, fleet_upstream_t *upstream)
{
  GPtrArray *members
      = g_hash_table_lookup (fleet->by_service, upstream->service);

  if (members == NULL)
    {
      members = g_ptr_array_new ();
      g_hash_table_insert (fleet->by_service, g_strdup (upstream->service),
                           members);
    }
  g_ptr_array_add (members, upstream);
  /* Round-robin and the breaking of ties rely on the same order in every
   * instance. */
  g_ptr_array_sort (members, compare_names);
}

static void
remove_from_service (fleet_t *fleet, fleet_upstream_t *upstream)
{
  GPtrArray *members;

  if (upstream->service == NULL)
    return;
  members = g_hash_table_lookup (fleet->by_service, upstream->service);
  if (members != NULL)
    g_ptr_array_remove (members, upstream);
}

static void
replace_text (fleet_upstream_t *upstream, char **field, const char *value)
{
  if (g_strcmp0 (*field, value) == 0)
    return;
  talloc_free (*field);
  *field = talloc_strdup (upstream, value);
}

/* Drops the ended requests that the newer report already takes into account. */
static void
prune_ends (fleet_upstream_t *upstream)
{
  for (guint i = upstream->ends->len; i > 0; i--)
    if (g_array_index (upstream->ends, ended_request_t, i - 1).ended_at_ms
        <= upstream->reported_at_ms)
      g_array_remove_index_fast (upstream->ends, i - 1);
}

static void
apply_report (fleet_upstream_t *upstream, const sched_upstream_t *state)
{
  if (state->reported_at_ms < upstream->reported_at_ms)
    return;
  upstream->reported_running = state->running;
  upstream->reported_kv_tokens = state->kv_used_tokens;
  upstream->reported_waiting_tokens = state->waiting_tokens;
  upstream->reported_at_ms = state->reported_at_ms;
  prune_ends (upstream);
}

static void
reset_incarnation (fleet_upstream_t *upstream)
{
  g_array_set_size (upstream->ends, 0);
  g_hash_table_remove_all (upstream->prefixes);
  upstream->reported_at_ms = 0;
  upstream->rate = rate_new ();
  upstream->short_read_until_ms = 0;
}

fleet_upstream_t *
fleet_put (fleet_t *fleet, const sched_upstream_t *state)
{
  fleet_upstream_t *upstream = fleet_find (fleet, state->name);

  if (upstream == NULL)
    upstream = add_upstream (fleet, state->name);
  if (upstream->incarnation != state->incarnation)
    reset_incarnation (upstream);
  if (g_strcmp0 (upstream->service, state->service) != 0)
    {
      remove_from_service (fleet, upstream);
      replace_text (upstream, &upstream->service, state->service);
      add_to_service (fleet, upstream);
    }
  replace_text (upstream, &upstream->zone, state->zone);
  talloc_free (upstream->loaded);
  upstream->loaded
      = weights_copy (upstream, state->loaded, state->loaded_count);
  upstream->loaded_count = state->loaded_count;
  replace_text (upstream, &upstream->role, state->role);
  upstream->incarnation = state->incarnation;
  upstream->is_engine = state->is_engine;
  upstream->leaving = state->leaving;
  upstream->suspect = state->suspect;
  upstream->in_own_zone = g_strcmp0 (state->zone, fleet->zone) == 0;
  upstream->kv_tokens = state->kv_tokens;
  upstream->max_batch = state->max_batch;
  upstream->rate.prefill_tokens_s = state->prefill_tokens_s;
  upstream->rate.step_us = state->step_us;
  apply_report (upstream, state);
  return upstream;
}

void
fleet_drop (fleet_t *fleet, const char *name)
{
  fleet_upstream_t *upstream = fleet_find (fleet, name);

  if (upstream == NULL)
    return;
  remove_from_service (fleet, upstream);
  g_hash_table_remove (fleet->by_name, name);
  talloc_free (upstream);
}

fleet_upstream_t *
fleet_find (fleet_t *fleet, const char *name)
{
  return g_hash_table_lookup (fleet->by_name, name);
}

const GPtrArray *
fleet_service_upstreams (const fleet_t *fleet, const char *service)
{
  return g_hash_table_lookup (fleet->by_service, service);
}

void
fleet_set_version (fleet_t *fleet, const char *service, const char *version)
{
  if (version == NULL || *version == '\0')
    g_hash_table_remove (fleet->versions, service);
  else
    g_hash_table_insert (fleet->versions, g_strdup (service),
                         g_strdup (version));
}

bool
fleet_is_preferred (const fleet_t *fleet,
                    const fleet_upstream_t *upstream,
                    const job_t *job)
{
  const char *version
      = g_hash_table_lookup (fleet->versions, upstream->service);

  return version == NULL || !upstream->is_engine
         || weights_find (upstream->loaded, upstream->loaded_count, job->model,
                          job->adapter, version)
                != NULL;
}

const weights_t *
fleet_choose_weights (const fleet_t *fleet,
                      const fleet_upstream_t *upstream,
                      const job_t *job)
{
  const weights_t *found = NULL;
  const char *version = job->version;

  if (!upstream->is_engine)
    return NULL;
  if (version == NULL)
    version = g_hash_table_lookup (fleet->versions, upstream->service);
  found = weights_find (upstream->loaded, upstream->loaded_count, job->model,
                        job->adapter, version);
  if (found == NULL)
    found = weights_find (upstream->loaded, upstream->loaded_count, job->model,
                          job->adapter, job->version);
  return found;
}

void
fleet_set_prefix (fleet_upstream_t *upstream,
                  uint64_t prefix_hash,
                  uint64_t tokens)
{
  uint64_t *known = g_hash_table_lookup (upstream->prefixes, &prefix_hash);

  if (tokens == 0)
    g_hash_table_remove (upstream->prefixes, &prefix_hash);
  else if (known != NULL)
    *known = tokens;
  else if (g_hash_table_size (upstream->prefixes) < MAX_PREFIXES_PER_UPSTREAM)
    g_hash_table_insert (upstream->prefixes,
                         g_memdup2 (&prefix_hash, sizeof prefix_hash),
                         g_memdup2 (&tokens, sizeof tokens));
}

uint64_t
fleet_cached_tokens (const fleet_upstream_t *upstream, const job_t *job)
{
  const uint64_t *tokens;

  if (job->prefix_hash == 0)
    return 0;
  tokens = g_hash_table_lookup (upstream->prefixes, &job->prefix_hash);
  return tokens != NULL ? MIN (*tokens, job->prompt_tokens) : 0;
}

void
fleet_attach (fleet_upstream_t *upstream, job_t *job, uint64_t now_ms)
{
  job->at = upstream;
  job->sent_at_ms = now_ms;
  job->reading = true;
  g_ptr_array_add (upstream->jobs, job);
}

void
fleet_detach (job_t *job, uint64_t now_ms)
{
  fleet_upstream_t *upstream = job->at;
  ended_request_t ended = { .sent_at_ms = job->sent_at_ms,
                            .ended_at_ms = now_ms,
                            .kv_tokens = job_max_kv_tokens (job) };

  if (upstream == NULL)
    return;
  g_ptr_array_remove_fast (upstream->jobs, job);
  if (now_ms > upstream->reported_at_ms)
    g_array_append_val (upstream->ends, ended);
  job->at = NULL;
  job->reading = false;
}

bool
fleet_serves (const fleet_upstream_t *upstream, const job_t *job)
{
  if (!upstream->is_engine)
    return true;
  if (weights_find (upstream->loaded, upstream->loaded_count, job->model,
                    job->adapter, job->version)
      == NULL)
    return false;
  /* A decode-only engine receives KV data from other engines, not prompts. */
  return g_strcmp0 (upstream->role, "decode") != 0;
}

bool
fleet_has_room (const fleet_upstream_t *upstream, const job_t *job)
{
  if (upstream->max_batch > 0
      && fleet_running (upstream) >= upstream->max_batch)
    return false;
  if (!upstream->is_engine || upstream->kv_tokens == 0)
    return true;
  return fleet_kv_used (upstream) + job_max_kv_tokens (job)
         <= upstream->kv_tokens;
}

uint32_t
fleet_running (const fleet_upstream_t *upstream)
{
  int64_t running = upstream->reported_running;

  for (guint i = 0; i < upstream->jobs->len; i++)
    {
      const job_t *job = g_ptr_array_index (upstream->jobs, i);

      if (job->sent_at_ms > upstream->reported_at_ms)
        running++;
    }
  for (guint i = 0; i < upstream->ends->len; i++)
    if (g_array_index (upstream->ends, ended_request_t, i).sent_at_ms
        <= upstream->reported_at_ms)
      running--;
  return (uint32_t)MAX (running, (int64_t)upstream->jobs->len);
}

uint64_t
fleet_kv_used (const fleet_upstream_t *upstream)
{
  int64_t used = (int64_t)upstream->reported_kv_tokens;
  int64_t own = 0;

  for (guint i = 0; i < upstream->jobs->len; i++)
    {
      const job_t *job = g_ptr_array_index (upstream->jobs, i);
      int64_t tokens = (int64_t)job_max_kv_tokens (job);

      own += tokens;
      if (job->sent_at_ms > upstream->reported_at_ms)
        used += tokens;
    }
  for (guint i = 0; i < upstream->ends->len; i++)
    {
      const ended_request_t *ended
          = &g_array_index (upstream->ends, ended_request_t, i);

      if (ended->sent_at_ms <= upstream->reported_at_ms)
        used -= (int64_t)ended->kv_tokens;
    }
  return (uint64_t)MAX (used, own);
}
