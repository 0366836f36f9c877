#include "load-plan.h"

#include <glib.h>
#include <math.h>
#include <talloc.h>

#include "load-scenario.h"

#define US_PER_MS        1000.0
#define US_PER_S         1000000.0
#define S_PER_MIN        60.0
#define PERCENT          100.0
#define TEXT_ALIGN_BYTES 4 /* bytes of a token */

/* One arrival process: all prompts, or one kind of call. */
typedef struct
{
  const Lwm__LoadCall *call; /* NULL for prompts */
  double peak_per_us;        /* highest rate, before thinning */
  double at_us;              /* next arrival, or INFINITY after the last one */
} source_t;

struct load_plan
{
  const Lwm__Scenario *scenario;
  GRand *random;
  uint64_t duration_us;
  uint64_t pool_bytes;
  source_t *sources;
  guint source_count;
  GQueue resends; /* of load_request_t, by time */
  uint64_t last_number;
};

static int
plan_destroy (load_plan_t *plan)
{
  g_queue_clear_full (&plan->resends, g_free);
  g_rand_free (plan->random);
  return 0;
}

/* Returns the rate at a time as a share of the full rate. */
static double
relative_rate_at (const Lwm__Scenario *scenario, double at_us)
{
  double at_ms = at_us / US_PER_MS;

  for (size_t i = 0; i < scenario->n_phases; i++)
    {
      const Lwm__LoadPhase *phase = scenario->phases[i];
      double from = phase->from_percent;
      double to = phase->to_percent;

      if (at_ms < phase->duration_ms)
        return (from + (to - from) * at_ms / phase->duration_ms) / PERCENT;
      at_ms -= phase->duration_ms;
    }
  return scenario->n_phases > 0 ? 0 : 1;
}

static double
peak_relative_rate (const Lwm__Scenario *scenario)
{
  double peak = 0;

  for (size_t i = 0; i < scenario->n_phases; i++)
    {
      peak = MAX (peak, scenario->phases[i]->from_percent / PERCENT);
      peak = MAX (peak, scenario->phases[i]->to_percent / PERCENT);
    }
  return scenario->n_phases > 0 ? peak : 1;
}

/* Draws the next arrival. Calls to plain services keep a constant rate through
 * all phases, so only prompts are thinned. */
static void
draw_next_arrival (load_plan_t *plan, source_t *source)
{
  double peak = peak_relative_rate (plan->scenario);

  do
    {
      double draw = 1 - g_rand_double (plan->random);

      source->at_us += -log (draw) / source->peak_per_us;
      if (source->at_us >= (double)plan->duration_us)
        {
          source->at_us = INFINITY;
          return;
        }
    }
  while (source->call == NULL
         && g_rand_double (plan->random) * peak
                >= relative_rate_at (plan->scenario, source->at_us));
}

static void
add_source (load_plan_t *plan, const Lwm__LoadCall *call, double per_s)
{
  source_t *source = &plan->sources[plan->source_count];

  if (per_s <= 0)
    return;
  plan->source_count++;
  source->call = call;
  source->peak_per_us = per_s / US_PER_S;
  source->at_us = 0;
  draw_next_arrival (plan, source);
}

load_plan_t *
load_plan_new (void *parent, const load_plan_options_t *options)
{
  const Lwm__Scenario *scenario = options->scenario;
  load_plan_t *plan = talloc_zero (parent, load_plan_t);
  uint64_t seed = options->seed > 0 ? options->seed : scenario->seed;
  const guint32 words[2] = { (guint32)seed, (guint32)(seed >> 32) };
  uint64_t duration_ms = options->duration_ms > 0
                             ? options->duration_ms
                             : load_scenario_duration_ms (scenario);
  double rate = options->rate > 0 ? options->rate
                                  : scenario->requests_per_min / S_PER_MIN;

  plan->scenario = scenario;
  plan->random = g_rand_new_with_seed_array (words, 2);
  plan->duration_us = duration_ms * (uint64_t)US_PER_MS;
  plan->pool_bytes = options->pool_bytes;
  plan->sources = talloc_zero_array (plan, source_t, scenario->n_calls + 1);
  g_queue_init (&plan->resends);
  talloc_set_destructor (plan, plan_destroy);
  if (scenario->n_classes > 0)
    add_source (plan, NULL, rate * peak_relative_rate (scenario));
  for (size_t i = 0; i < scenario->n_calls; i++)
    add_source (plan, scenario->calls[i],
                scenario->calls[i]->calls_per_min / S_PER_MIN);
  return plan;
}

/* Draws a number between two bounds from a log-uniform distribution. */
static uint32_t
draw_log_uniform (load_plan_t *plan, uint64_t low, uint64_t high)
{
  double ratio = (double)high / (double)low;

  return (uint32_t)((double)low * pow (ratio, g_rand_double (plan->random)));
}

static const Lwm__LoadCustomer *
draw_customer (load_plan_t *plan)
{
  const Lwm__Scenario *scenario = plan->scenario;
  uint32_t total = 0;
  uint32_t drawn;
  size_t i = 0;

  for (size_t k = 0; k < scenario->n_customers; k++)
    total += scenario->customers[k]->share;
  drawn = (uint32_t)(g_rand_double (plan->random) * total);
  while (drawn >= scenario->customers[i]->share)
    drawn -= scenario->customers[i++]->share;
  return scenario->customers[i];
}

static bool
sends_class (const Lwm__LoadCustomer *customer, const Lwm__LoadClass *class)
{
  for (size_t i = 0; i < customer->n_class_; i++)
    if (g_strcmp0 (customer->class_[i], class->name) == 0)
      return true;
  return customer->n_class_ == 0;
}

static const Lwm__LoadClass *
draw_class (load_plan_t *plan, const Lwm__LoadCustomer *customer)
{
  const Lwm__Scenario *scenario = plan->scenario;
  const Lwm__LoadClass *last = NULL;
  double total = 0;
  double drawn;

  for (size_t i = 0; i < scenario->n_classes; i++)
    if (sends_class (customer, scenario->classes[i]))
      total += scenario->classes[i]->share;
  drawn = g_rand_double (plan->random) * total;
  for (size_t i = 0; i < scenario->n_classes && drawn >= 0; i++)
    {
      if (!sends_class (customer, scenario->classes[i]))
        continue;
      last = scenario->classes[i];
      drawn -= last->share;
    }
  return last;
}

static bool
draw_with_probability (load_plan_t *plan, uint32_t percent)
{
  return g_rand_double (plan->random) * PERCENT < percent;
}

/* Gives different requests different text, as far as the pool size allows. */
static uint64_t
draw_offset (load_plan_t *plan, uint64_t bytes)
{
  uint64_t spare_bytes
      = plan->pool_bytes > bytes ? plan->pool_bytes - bytes : 0;
  uint64_t offset_count = spare_bytes / TEXT_ALIGN_BYTES + 1;

  return (uint64_t)(g_rand_double (plan->random) * (double)offset_count)
         * TEXT_ALIGN_BYTES;
}

static void
fill_prompt (load_plan_t *plan,
             const Lwm__LoadCustomer *customer,
             load_request_t *request)
{
  const Lwm__Scenario *scenario = plan->scenario;
  const Lwm__LoadClass *class = draw_class (plan, customer);

  request->class_ = class;
  request->prompt_tokens
      = draw_log_uniform (plan, class->min_tokens, class->max_tokens);
  request->output_tokens = draw_log_uniform (plan, class->min_output_tokens,
                                             class->max_output_tokens);
  if (draw_with_probability (plan, class->shared_prefix_percent))
    {
      request->prefix
          = g_rand_int_range (plan->random, 0, (gint32)scenario->prefix_count);
      request->prefix_tokens
          = MIN (scenario->prefix_tokens, request->prompt_tokens);
    }
  request->text_offset
      = draw_offset (plan, (uint64_t)request->prompt_tokens * TEXT_ALIGN_BYTES);
}

static gint
compare_by_time (gconstpointer a, gconstpointer b, gpointer context)
{
  const load_request_t *left = a;
  const load_request_t *right = b;

  return left->at_us < right->at_us ? -1 : left->at_us > right->at_us;
}

static void
plan_resend (load_plan_t *plan, const load_request_t *request)
{
  load_request_t *resend;

  if (!request->call->keyed
      || !draw_with_probability (plan, request->call->resend_percent))
    return;
  resend = g_new (load_request_t, 1);
  *resend = *request;
  resend->resend_of = request->number;
  resend->at_us += (uint64_t)(request->call->resend_after_ms * US_PER_MS);
  g_queue_insert_sorted (&plan->resends, resend, compare_by_time, NULL);
}

static source_t *
find_earliest (load_plan_t *plan)
{
  source_t *first = NULL;

  for (guint i = 0; i < plan->source_count; i++)
    if (first == NULL || plan->sources[i].at_us < first->at_us)
      first = &plan->sources[i];
  return first != NULL && !isinf (first->at_us) ? first : NULL;
}

static bool
take_resend (load_plan_t *plan, load_request_t *request)
{
  load_request_t *resend = g_queue_pop_head (&plan->resends);

  *request = *resend;
  request->number = ++plan->last_number;
  g_free (resend);
  return true;
}

bool
load_plan_next (load_plan_t *plan, load_request_t *request)
{
  source_t *source = find_earliest (plan);
  const load_request_t *resend = g_queue_peek_head (&plan->resends);
  const Lwm__LoadCustomer *customer;

  if (resend != NULL
      && (source == NULL || (double)resend->at_us <= source->at_us))
    return take_resend (plan, request);
  if (source == NULL)
    return false;
  customer = draw_customer (plan);
  *request = (load_request_t){ .number = ++plan->last_number,
                               .at_us = (uint64_t)source->at_us,
                               .customer = customer->name,
                               .call = source->call,
                               .prefix = -1 };
  if (source->call == NULL)
    fill_prompt (plan, customer, request);
  else
    plan_resend (plan, request);
  draw_next_arrival (plan, source);
  return true;
}
