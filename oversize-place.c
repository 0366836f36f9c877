#include "oversize-place.h"

#include <string.h>

/* At most 1/ZONE_ENGINE_DIVISOR of a zone's engines read spans at a time. */
#define ZONE_ENGINE_DIVISOR 2

/** Returns the loaded weights that match, or NULL when the upstream can't serve
 * the request. */
static const weights_t *
find_weights (const oversize_filter_t *filter,
              const registry_upstream_t *upstream)
{
  if (!upstream->is_engine || upstream->leaving
      || strcmp (upstream->service, filter->service) != 0)
    return NULL;
  return weights_find (upstream->loaded, upstream->loaded_count,
                       filter->weights.model, filter->weights.adapter,
                       filter->weights.version);
}

typedef struct
{
  const oversize_filter_t *filter;
  uint64_t max_kv_tokens;
  uint32_t rate;
} memory_search_t;

static void
update_maxima (const registry_upstream_t *upstream, void *context)
{
  memory_search_t *search = context;

  if (find_weights (search->filter, upstream) == NULL)
    return;
  search->max_kv_tokens = MAX (search->max_kv_tokens, upstream->kv_tokens);
  search->rate = MAX (search->rate, upstream->prefill_tokens_s);
}

uint64_t
oversize_max_kv_tokens (const oversize_filter_t *filter)
{
  memory_search_t search = { .filter = filter };

  registry_each (filter->registry, update_maxima, &search);
  return search.max_kv_tokens;
}

uint32_t
oversize_max_prefill_tokens_s (const oversize_filter_t *filter)
{
  memory_search_t search = { .filter = filter, .rate = 1 };

  registry_each (filter->registry, update_maxima, &search);
  return search.rate;
}

/** Search for the weights that most engines have loaded. */
typedef struct
{
  const oversize_filter_t *filter;
  GHashTable *counts; /* version to number of engines */
  const char *preferred;
  weights_t best;
  guint best_count;
} weights_search_t;

static void
count_weights (const registry_upstream_t *upstream, void *context)
{
  weights_search_t *search = context;
  const weights_t *weights = find_weights (search->filter, upstream);
  guint count;

  if (weights == NULL || weights->version == NULL)
    return;
  count = GPOINTER_TO_UINT (
      g_hash_table_lookup (search->counts, weights->version));
  g_hash_table_insert (search->counts, (char *)weights->version,
                       GUINT_TO_POINTER (count + 1));
  if (search->preferred != NULL
      && strcmp (search->preferred, weights->version) == 0)
    count = G_MAXUINT - 1;
  if (count + 1 <= search->best_count)
    return;
  search->best = *weights;
  search->best_count = count + 1;
}

weights_t
oversize_pick_weights (const oversize_filter_t *filter, const char *version)
{
  weights_search_t search
      = { .filter = filter,
          .counts = g_hash_table_new (g_str_hash, g_str_equal),
          .preferred = version };

  registry_each (filter->registry, count_weights, &search);
  g_hash_table_destroy (search.counts);
  return search.best;
}

typedef struct
{
  const oversize_filter_t *filter;
  const oversize_limits_t *limits;
  const char *zone;        /* NULL: any */
  GPtrArray *candidates;   /* engines without a reservation */
  uint32_t eligible_count; /* including the reserved ones */
  uint32_t reserved_count;
} engine_search_t;

static void
collect_engine (const registry_upstream_t *upstream, void *context)
{
  engine_search_t *search = context;

  if (find_weights (search->filter, upstream) == NULL || upstream->suspect
      || upstream->kv_tokens < search->limits->span_kv_tokens
      || (search->zone != NULL && strcmp (search->zone, upstream->zone) != 0))
    return;
  search->eligible_count++;
  if (g_hash_table_contains (search->limits->reserved_engines, upstream->name))
    search->reserved_count++;
  else
    g_ptr_array_add (search->candidates, (gpointer)upstream);
}

static uint64_t
free_kv_tokens (const registry_upstream_t *upstream)
{
  return upstream->kv_tokens
         - MIN (upstream->kv_tokens, upstream->load.kv_used_tokens);
}

static gint
compare_by_name (gconstpointer a, gconstpointer b)
{
  const registry_upstream_t *const *first = a;
  const registry_upstream_t *const *second = b;

  return strcmp ((*first)->name, (*second)->name);
}

static gint
compare_by_free_memory (gconstpointer a, gconstpointer b)
{
  uint64_t first = free_kv_tokens (*(const registry_upstream_t *const *)a);
  uint64_t second = free_kv_tokens (*(const registry_upstream_t *const *)b);

  if (first == second)
    return compare_by_name (a, b);
  return first > second ? -1 : 1;
}

GPtrArray *
oversize_choose_engines (const oversize_filter_t *filter,
                         const oversize_limits_t *limits)
{
  engine_search_t search = { .filter = filter,
                             .limits = limits,
                             .zone = limits->zone,
                             .candidates = g_ptr_array_new () };
  uint32_t available_count;

  registry_each (filter->registry, collect_engine, &search);
  if (search.eligible_count == 0)
    {
      search.zone = NULL;
      registry_each (filter->registry, collect_engine, &search);
    }
  available_count = MAX (search.eligible_count / ZONE_ENGINE_DIVISOR, 1);
  available_count -= MIN (available_count, search.reserved_count);
  available_count = MIN (available_count, limits->max_engines);
  g_ptr_array_sort (search.candidates, compare_by_free_memory);
  g_ptr_array_set_size (search.candidates,
                        (gint)MIN (available_count, search.candidates->len));
  g_ptr_array_sort (search.candidates, compare_by_name);
  return search.candidates;
}
