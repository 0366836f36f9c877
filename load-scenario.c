#include "load-scenario.h"

#include <glib.h>
#include <talloc.h>

#include "yamlmsg.h"

#define DAY_MS (24 * 60 * 60 * 1000u)

static const yamlmsg_range_t ranges[] = {
  { &lwm__scenario__descriptor,
    "requests_per_min",
    { 0, 10000000, NUMBER_EXACT } },
  { &lwm__scenario__descriptor, "duration_ms", { 1, DAY_MS, NUMBER_EXACT } },
  { &lwm__scenario__descriptor,
    "time_scale_percent",
    { 1, 1000, NUMBER_EXACT } },
  { &lwm__scenario__descriptor, "prefix_count", { 0, 10000, NUMBER_EXACT } },
  { &lwm__scenario__descriptor,
    "prefix_tokens",
    { 0, LOAD_MAX_PROMPT_TOKENS, NUMBER_EXACT } },
  { &lwm__load_class__descriptor, "share", { 1, 1000000, NUMBER_EXACT } },
  { &lwm__load_class__descriptor,
    "min_tokens",
    { 1, LOAD_MAX_PROMPT_TOKENS, NUMBER_EXACT } },
  { &lwm__load_class__descriptor,
    "max_tokens",
    { 1, LOAD_MAX_PROMPT_TOKENS, NUMBER_EXACT } },
  { &lwm__load_class__descriptor,
    "min_output_tokens",
    { 1, 100000, NUMBER_EXACT } },
  { &lwm__load_class__descriptor,
    "max_output_tokens",
    { 1, 100000, NUMBER_EXACT } },
  { &lwm__load_class__descriptor, "deadline_ms", { 0, DAY_MS, NUMBER_EXACT } },
  { &lwm__load_class__descriptor,
    "shared_prefix_percent",
    { 0, 100, NUMBER_EXACT } },
  { &lwm__load_customer__descriptor, "share", { 1, 1000000, NUMBER_EXACT } },
  { &lwm__load_phase__descriptor, "duration_ms", { 1, DAY_MS, NUMBER_EXACT } },
  { &lwm__load_phase__descriptor, "from_percent", { 0, 10000, NUMBER_EXACT } },
  { &lwm__load_phase__descriptor, "to_percent", { 0, 10000, NUMBER_EXACT } },
  { &lwm__load_call__descriptor,
    "calls_per_min",
    { 1, 10000000, NUMBER_EXACT } },
  { &lwm__load_call__descriptor, "resend_percent", { 0, 100, NUMBER_EXACT } },
  { NULL, NULL, { 0 } },
};

static void
set_defaults (ProtobufCMessage *message)
{
  if (message->descriptor == &lwm__scenario__descriptor)
    {
      Lwm__Scenario *scenario = (Lwm__Scenario *)message;

      scenario->duration_ms = 10000;
      scenario->seed = 1;
      scenario->time_scale_percent = 100;
    }
  else if (message->descriptor == &lwm__load_class__descriptor)
    ((Lwm__LoadClass *)message)->share = 1;
  else if (message->descriptor == &lwm__load_customer__descriptor)
    ((Lwm__LoadCustomer *)message)->share = 1;
  else if (message->descriptor == &lwm__load_call__descriptor)
    ((Lwm__LoadCall *)message)->resend_after_ms = 200;
}

static bool
has_class (const Lwm__Scenario *scenario, const char *name)
{
  for (size_t i = 0; i < scenario->n_classes; i++)
    if (g_strcmp0 (scenario->classes[i]->name, name) == 0)
      return true;
  return false;
}

static void
check_class (yamlmsg_t *reader,
             const Lwm__Scenario *scenario,
             Lwm__LoadClass *class)
{
  if (class->min_tokens == 0 || class->min_tokens > class->max_tokens)
    yamlmsg_add_mistake (reader, &class->base,
                         "min_tokens: expected 1 to max_tokens, got '%lu'",
                         (unsigned long)class->min_tokens);
  if (class->min_output_tokens == 0
      || class->min_output_tokens > class->max_output_tokens)
    yamlmsg_add_mistake (
        reader, &class->base,
        "min_output_tokens: expected 1 to max_output_tokens, got '%u'",
        class->min_output_tokens);
  if (class->shared_prefix_percent > 0 && scenario->prefix_count == 0)
    yamlmsg_add_mistake (
        reader, &class->base,
        "shared_prefix_percent: expected prefix_count above 0");
}

static void
check_customer (yamlmsg_t *reader,
                const Lwm__Scenario *scenario,
                const Lwm__LoadCustomer *customer)
{
  for (size_t i = 0; i < customer->n_class_; i++)
    if (!has_class (scenario, customer->class_[i]))
      yamlmsg_add_mistake (reader, &customer->base,
                           "class: expected a class of this scenario, got '%s'",
                           customer->class_[i]);
}

static void
check_scenario (yamlmsg_t *reader, const Lwm__Scenario *scenario)
{
  if (scenario->requests_per_min > 0 && scenario->n_classes == 0)
    yamlmsg_add_mistake (reader, NULL, "classes: expected at least one");
  if (scenario->n_customers == 0)
    yamlmsg_add_mistake (reader, NULL, "customers: expected at least one");
  for (size_t i = 0; i < scenario->n_classes; i++)
    check_class (reader, scenario, scenario->classes[i]);
  for (size_t i = 0; i < scenario->n_customers; i++)
    check_customer (reader, scenario, scenario->customers[i]);
}

Lwm__Scenario *
load_scenario_read (void *parent, const char *path, char **mistakes)
{
  yamlmsg_options_t options = { .ranges = ranges, .defaults = set_defaults };
  Lwm__Scenario *scenario = talloc_zero (parent, Lwm__Scenario);
  yamlmsg_t *reader;
  GError *error = NULL;
  char *text = NULL;
  gsize size_bytes;

  lwm__scenario__init (scenario);
  reader = yamlmsg_new (parent, &options, &scenario->base);
  if (g_file_get_contents (path, &text, &size_bytes, &error))
    {
      yamlmsg_read (reader, path, (const uint8_t *)text, size_bytes);
      if (yamlmsg_mistakes (reader)[0] == '\0')
        check_scenario (reader, scenario);
    }
  else
    yamlmsg_add_mistake (reader, NULL, "%s", error->message);
  if (yamlmsg_mistakes (reader)[0] != '\0')
    {
      *mistakes = talloc_strdup (parent, yamlmsg_mistakes (reader));
      TALLOC_FREE (scenario);
    }
  talloc_free (reader);
  g_clear_error (&error);
  g_free (text);
  return scenario;
}

uint64_t
load_scenario_duration_ms (const Lwm__Scenario *scenario)
{
  uint64_t duration_ms = 0;

  for (size_t i = 0; i < scenario->n_phases; i++)
    duration_ms += scenario->phases[i]->duration_ms;
  return duration_ms > 0 ? duration_ms : scenario->duration_ms;
}
