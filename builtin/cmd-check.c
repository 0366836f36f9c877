/* lacewingmast check: validates a folder and shows the merged result. */
#include <stdio.h>
#include <talloc.h>

#include "cmd.h"
#include "config.h"

static const setting_t settings[] = { CMD_JSON, { .field = NULL } };

static const char doc[]
    = "Validates a folder of settings files and shows the merged result."
      "\vExample: lacewingmast check conf/\n\n"
      "Exit code 0 when the folder is valid, 2 when it is not.";

static void
print_services (const Lwm__Config *config)
{
  for (size_t i = 0; i < config->n_services; i++)
    {
      const Lwm__Service *service = config->services[i];

      printf ("service %s kind=%s model=%s version=%s retry_percent=%u\n",
              service->name,
              service->kind == LWM__SERVICE_KIND__ENGINE ? "engine" : "plain",
              service->model[0] != '\0' ? service->model : "-",
              service->version[0] != '\0' ? service->version : "-",
              service->retry_percent);
    }
}

static void
print_customers (const Lwm__Config *config)
{
  for (size_t i = 0; i < config->n_customers; i++)
    {
      const Lwm__Customer *customer = config->customers[i];

      printf ("customer %s weight=%u priority=%u tokens_per_s=%llu "
              "requests_per_s=%u\n",
              customer->name, customer->weight, customer->priority,
              (unsigned long long)customer->tokens_per_s,
              customer->requests_per_s);
    }
}

static void
print_config (const Lwm__Config *config, const char *digest)
{
  printf ("digest %s\n", digest);
  if (config->number != 0)
    printf ("number %llu\n", (unsigned long long)config->number);
  for (size_t i = 0; i < config->n_zones; i++)
    printf ("zone %s region=%s\n", config->zones[i]->name,
            config->zones[i]->region[0] != '\0' ? config->zones[i]->region
                                                : "-");
  for (size_t i = 0; i < config->n_size_classes; i++)
    printf (
        "size_class %s up_to_tokens=%llu first_token_ms=%u deadline_ms=%u\n",
        config->size_classes[i]->name,
        (unsigned long long)config->size_classes[i]->up_to_tokens,
        config->size_classes[i]->first_token_ms,
        config->size_classes[i]->deadline_ms);
  print_services (config);
  print_customers (config);
  for (size_t i = 0; i < config->n_wanted; i++)
    printf ("wanted %s zone=%s model=%s version=%s copies=%u\n",
            config->wanted[i]->name, config->wanted[i]->zone,
            config->wanted[i]->model,
            config->wanted[i]->version[0] != '\0' ? config->wanted[i]->version
                                                  : "-",
            config->wanted[i]->copies);
}

static void
print_summary_json (const Lwm__Config *config, const char *digest)
{
  JsonObject *object = json_object_new ();

  json_object_set_string_member (object, "digest", digest);
  json_object_set_int_member (object, "number", (gint64)config->number);
  json_object_set_int_member (object, "zones", (gint64)config->n_zones);
  json_object_set_int_member (object, "services", (gint64)config->n_services);
  json_object_set_int_member (object, "customers", (gint64)config->n_customers);
  json_object_set_int_member (object, "wanted", (gint64)config->n_wanted);
  cmd_print_json (object);
  json_object_unref (object);
}

int
cmd_check (int argc, char **argv)
{
  char digest[CONFIG_DIGEST_SIZE];
  cmd_context_t context;
  Lwm__Config *config;
  char *mistakes = NULL;
  int code = EXIT_CODE_USAGE;

  if (!cmd_parse (&context, settings, "FOLDER", doc, 1, 1, argc, argv))
    goto out;
  config = config_load (context.parent, context.arguments[0], &mistakes);
  if (config == NULL)
    {
      fputs (mistakes, stderr);
      goto out;
    }
  config_digest (config, digest);
  if (context.settings.json)
    print_summary_json (config, digest);
  else
    print_config (config, digest);
  code = EXIT_CODE_OK;

out:
  cmd_done (&context);
  return code;
}
