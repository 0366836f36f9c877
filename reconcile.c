#include "reconcile.h"

#include <string.h>
#include <talloc.h>

/** A plan in progress. */
typedef struct
{
  const reconcile_options_t *options;
  reconcile_order_t *orders;
  size_t order_count;
  size_t remaining_loads;
  bool *has_order; /* per upstream: whether this plan has an order to it */
} plan_t;

static bool
same_weights (const weights_t *loaded, const Lwm__WantedCopies *wanted)
{
  return strcmp (loaded->model, wanted->model) == 0
         && strcmp (loaded->adapter, wanted->adapter) == 0
         && strcmp (loaded->version, wanted->version) == 0;
}

static bool
engine_has_weights (const reconcile_upstream_t *upstream,
                    const Lwm__WantedCopies *wanted)
{
  for (size_t i = 0; i < upstream->loaded_count; i++)
    if (same_weights (&upstream->loaded[i], wanted))
      return true;
  return false;
}

static const char *
wanted_role (const Lwm__WantedCopies *wanted)
{
  return wanted->role[0] != '\0' ? wanted->role : "both";
}

/** Returns whether an upstream serves the wanted weights in the wanted role. */
static bool
serves_wanted_model (const reconcile_upstream_t *upstream,
                     const Lwm__WantedCopies *wanted)
{
  return !upstream->leaving && engine_has_weights (upstream, wanted)
         && strcmp (upstream->role, wanted_role (wanted)) == 0;
}

static size_t
count_serving (const plan_t *plan, const Lwm__WantedCopies *wanted)
{
  size_t count = 0;

  for (size_t i = 0; i < plan->options->upstream_count; i++)
    if (serves_wanted_model (&plan->options->upstreams[i], wanted))
      count++;
  return count;
}

static bool
is_in_zone (const plan_t *plan, const Lwm__WantedCopies *wanted)
{
  return strcmp (wanted->zone, plan->options->zone) == 0;
}

/** Returns whether the plan may add an order to the upstream at @a index. */
static bool
can_add_order (const plan_t *plan, size_t index)
{
  const reconcile_upstream_t *upstream = &plan->options->upstreams[index];

  return !upstream->leaving && !upstream->busy && !plan->has_order[index]
         && strcmp (upstream->zone, plan->options->zone) == 0;
}

static void
add_order (plan_t *plan, size_t index, reconcile_order_t order)
{
  order.upstream = plan->options->upstreams[index].upstream;
  plan->orders[plan->order_count++] = order;
  plan->has_order[index] = true;
}

/** Returns whether the upstream serves a copy that the configuration wants in
 * the zone. */
static bool
is_engine_needed (const plan_t *plan, const reconcile_upstream_t *upstream)
{
  const Lwm__Config *config = plan->options->config;

  for (size_t i = 0; i < config->n_wanted; i++)
    if (is_in_zone (plan, config->wanted[i]) && config->wanted[i]->copies > 0
        && serves_wanted_model (upstream, config->wanted[i]))
      return true;
  return false;
}

/** Plans role changes, which need no load, of upstreams that have the weights
 * but serve them in another role and are not needed in that role.
 * @return the number of copies that are still missing */
static size_t
change_roles (plan_t *plan, const Lwm__WantedCopies *wanted, size_t missing)
{
  for (size_t i = 0; i < plan->options->upstream_count && missing > 0; i++)
    {
      const reconcile_upstream_t *upstream = &plan->options->upstreams[i];

      if (!can_add_order (plan, i) || !engine_has_weights (upstream, wanted)
          || serves_wanted_model (upstream, wanted)
          || is_engine_needed (plan, upstream))
        continue;
      add_order (plan, i,
                 (reconcile_order_t){ .kind = RECONCILE_ROLE,
                                      .role = wanted_role (wanted) });
      missing--;
    }
  return missing;
}

/** Chooses the upstream with the fewest loaded weights to load a copy.
 * @param include_needed also consider upstreams that serve a wanted copy */
static bool
choose_for_load (const plan_t *plan,
                 const Lwm__WantedCopies *wanted,
                 bool include_needed,
                 size_t *chosen)
{
  bool found = false;

  for (size_t i = 0; i < plan->options->upstream_count; i++)
    {
      const reconcile_upstream_t *upstream = &plan->options->upstreams[i];

      if (!can_add_order (plan, i) || engine_has_weights (upstream, wanted))
        continue;
      if (is_engine_needed (plan, upstream) && !include_needed)
        continue;
      if (found
          && plan->options->upstreams[*chosen].loaded_count
                 <= upstream->loaded_count)
        continue;
      *chosen = i;
      found = true;
    }
  return found;
}

/** Plans loads of missing copies, within the limit of loads. */
static void
add_load_orders (plan_t *plan, const Lwm__WantedCopies *wanted, size_t missing)
{
  reconcile_order_t order
      = { .kind = RECONCILE_LOAD,
          .weights = { wanted->model, wanted->adapter, wanted->version } };

  for (; missing > 0 && plan->remaining_loads > 0;
       missing--, plan->remaining_loads--)
    {
      size_t chosen = 0;

      if (!choose_for_load (plan, wanted, false, &chosen)
          && !choose_for_load (plan, wanted, true, &chosen))
        return;
      add_order (plan, chosen, order);
    }
}

/** Counts the copies that may be in progress: each busy upstream may be loading
 * one. */
static size_t
count_busy_engines (const plan_t *plan, const Lwm__WantedCopies *wanted)
{
  size_t count = 0;

  for (size_t i = 0; i < plan->options->upstream_count; i++)
    if (plan->options->upstreams[i].busy
        && !serves_wanted_model (&plan->options->upstreams[i], wanted))
      count++;
  return count;
}

/** Plans the orders that add the missing copies of one wanted entry. */
static void
add_missing_copies (plan_t *plan, const Lwm__WantedCopies *wanted)
{
  size_t present
      = count_serving (plan, wanted) + count_busy_engines (plan, wanted);

  if (present >= wanted->copies)
    return;
  add_load_orders (plan, wanted,
                   change_roles (plan, wanted, wanted->copies - present));
}

/** Returns whether every wanted copy of a model is served in the zone. */
static bool
has_all_copies (const plan_t *plan, const char *model)
{
  const Lwm__Config *config = plan->options->config;

  for (size_t i = 0; i < config->n_wanted; i++)
    if (is_in_zone (plan, config->wanted[i])
        && strcmp (config->wanted[i]->model, model) == 0
        && count_serving (plan, config->wanted[i]) < config->wanted[i]->copies)
      return false;
  return true;
}

/** Returns whether the configuration lists the model for the zone. */
static bool
is_managed (const plan_t *plan, const char *model)
{
  const Lwm__Config *config = plan->options->config;

  for (size_t i = 0; i < config->n_wanted; i++)
    if (is_in_zone (plan, config->wanted[i])
        && strcmp (config->wanted[i]->model, model) == 0)
      return true;
  return false;
}

/** Returns whether the upstream's copy of these weights is needed: without it,
 * a wanted entry that the upstream serves would have too few copies. Counts the
 * copy as unloaded for each such entry that has copies to spare.
 * @param unloaded copies that this plan unloads, per wanted entry */
static bool
is_copy_needed (const plan_t *plan,
                const reconcile_upstream_t *upstream,
                const weights_t *weights,
                size_t *unloaded)
{
  const Lwm__Config *config = plan->options->config;

  for (size_t i = 0; i < config->n_wanted; i++)
    {
      const Lwm__WantedCopies *wanted = config->wanted[i];

      if (!is_in_zone (plan, wanted) || !same_weights (weights, wanted))
        continue;
      if (!serves_wanted_model (upstream, wanted))
        continue;
      if (count_serving (plan, wanted) - unloaded[i] <= wanted->copies)
        return true;
      unloaded[i]++;
    }
  return false;
}

/** Plans to unload the first surplus copy of an upstream. */
static void
unload_surplus (plan_t *plan, size_t index, size_t *unloaded)
{
  const reconcile_upstream_t *upstream = &plan->options->upstreams[index];

  for (size_t i = 0; i < upstream->loaded_count; i++)
    {
      const weights_t *weights = &upstream->loaded[i];

      if (!is_managed (plan, weights->model)
          || !has_all_copies (plan, weights->model))
        continue;
      if (is_copy_needed (plan, upstream, weights, unloaded))
        continue;
      add_order (
          plan, index,
          (reconcile_order_t){ .kind = RECONCILE_UNLOAD, .weights = *weights });
      return;
    }
}

reconcile_order_t *
reconcile_plan (void *parent, const reconcile_options_t *options, size_t *count)
{
  plan_t plan
      = { .options = options, .remaining_loads = options->loads_allowed };
  const Lwm__Config *config = options->config;
  size_t *unloaded;

  plan.orders
      = talloc_array (parent, reconcile_order_t, options->upstream_count + 1);
  plan.has_order
      = talloc_zero_array (plan.orders, bool, options->upstream_count + 1);
  unloaded = talloc_zero_array (plan.orders, size_t, config->n_wanted + 1);
  for (size_t i = 0; i < config->n_wanted; i++)
    if (is_in_zone (&plan, config->wanted[i]))
      add_missing_copies (&plan, config->wanted[i]);
  for (size_t i = 0; i < options->upstream_count; i++)
    if (can_add_order (&plan, i))
      unload_surplus (&plan, i, unloaded);
  *count = plan.order_count;
  return plan.orders;
}
