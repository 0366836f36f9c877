#include "config.h"

#include <glib.h>
#include <stdio.h>
#include <string.h>
#include <talloc.h>
#include <xxhash.h>

#include "message.h"
#include "yamlmsg.h"

#define DAY_MS                       (24 * 60 * 60 * 1000u)
#define TOKEN_HASH_DIGITS            64
#define TOKEN_SALT_MIN_CHARS         16
#define DEFAULT_RETRY_PERCENT        10
#define DEFAULT_MAX_PROMPT_TOKENS    1000000
#define DEFAULT_MAX_QUEUE            1000
#define DEFAULT_ANSWER_KEPT_MS       60000
#define DEFAULT_WEIGHT_LOADS_PER_MIN 6

static const yamlmsg_range_t ranges[] = {
  { &lwm__config__descriptor, "number", { 1, INT64_MAX, NUMBER_EXACT } },
  { &lwm__config__descriptor,
    "weight_loads_per_min",
    { 1, 10000, NUMBER_EXACT } },
  { &lwm__config__descriptor,
    "max_prompt_tokens",
    { 1, 4000000, NUMBER_EXACT } },
  { &lwm__config__descriptor, "max_queue", { 1, 1000000, NUMBER_EXACT } },
  { &lwm__config__descriptor, "answer_kept_ms", { 0, DAY_MS, NUMBER_EXACT } },
  { &lwm__config__descriptor,
    "claim_kept_ms",
    { 1000, 7 * DAY_MS, NUMBER_EXACT } },
  { &lwm__size_class__descriptor,
    "up_to_tokens",
    { 1, 4000000, NUMBER_EXACT } },
  { &lwm__size_class__descriptor,
    "first_token_ms",
    { 1, DAY_MS, NUMBER_EXACT } },
  { &lwm__size_class__descriptor,
    "deadline_ms",
    { 1, 2 * DAY_MS, NUMBER_EXACT } },
  { &lwm__wanted_copies__descriptor, "copies", { 0, 10000, NUMBER_EXACT } },
  { &lwm__service__descriptor, "deadline_ms", { 1, 2 * DAY_MS, NUMBER_EXACT } },
  { &lwm__service__descriptor, "retry_percent", { 0, 100, NUMBER_EXACT } },
  { &lwm__customer__descriptor, "weight", { 1, 10000, NUMBER_EXACT } },
  { &lwm__customer__descriptor, "priority", { 0, 9, NUMBER_EXACT } },
  { NULL, NULL, { 0 } },
};

static void
set_defaults (ProtobufCMessage *message)
{
  if (message->descriptor == &lwm__config__descriptor)
    {
      Lwm__Config *config = (Lwm__Config *)message;

      config->max_prompt_tokens = DEFAULT_MAX_PROMPT_TOKENS;
      config->max_queue = DEFAULT_MAX_QUEUE;
      config->answer_kept_ms = DEFAULT_ANSWER_KEPT_MS;
      config->claim_kept_ms = DAY_MS;
      config->weight_loads_per_min = DEFAULT_WEIGHT_LOADS_PER_MIN;
    }
  else if (message->descriptor == &lwm__customer__descriptor)
    ((Lwm__Customer *)message)->weight = 1;
  else if (message->descriptor == &lwm__service__descriptor)
    ((Lwm__Service *)message)->retry_percent = DEFAULT_RETRY_PERCENT;
}

static void
check_customers (yamlmsg_t *reader, const Lwm__Config *config)
{
  for (size_t i = 0; i < config->n_customers; i++)
    {
      const Lwm__Customer *customer = config->customers[i];

      for (size_t k = 0; k < customer->n_service; k++)
        if (config_service (config, customer->service[k]) == NULL)
          yamlmsg_add_mistake (
              reader, &customer->base,
              "service: expected a service of this configuration, got '%s'",
              customer->service[k]);
    }
}

static void
check_wanted_copies (yamlmsg_t *reader, const Lwm__Config *config)
{
  for (size_t i = 0; i < config->n_wanted; i++)
    {
      const Lwm__WantedCopies *wanted = config->wanted[i];

      if (config_zone (config, wanted->zone) == NULL)
        yamlmsg_add_mistake (
            reader, &wanted->base,
            "zone: expected a zone of this configuration, got '%s'",
            wanted->zone);
      if (wanted->model[0] == '\0')
        yamlmsg_add_mistake (reader, &wanted->base,
                             "model: expected a model's name");
      if (strcmp (wanted->role, "") != 0 && strcmp (wanted->role, "both") != 0
          && strcmp (wanted->role, "prefill") != 0
          && strcmp (wanted->role, "decode") != 0)
        yamlmsg_add_mistake (
            reader, &wanted->base,
            "role: expected one of both prefill decode, got '%s'",
            wanted->role);
    }
}

static void
check_token_hashes (yamlmsg_t *reader, const Lwm__Config *config)
{
  for (size_t i = 0; i < config->n_tokens; i++)
    {
      const Lwm__Token *token = config->tokens[i];

      if (strlen (token->hash) != TOKEN_HASH_DIGITS
          || strspn (token->hash, "0123456789abcdef") != TOKEN_HASH_DIGITS)
        yamlmsg_add_mistake (reader, &token->base,
                             "hash: expected %d hexadecimal digits",
                             TOKEN_HASH_DIGITS);
      if (strlen (token->salt) < TOKEN_SALT_MIN_CHARS)
        yamlmsg_add_mistake (reader, &token->base,
                             "salt: expected at least %d characters",
                             TOKEN_SALT_MIN_CHARS);
    }
}

static void
check_size_classes (yamlmsg_t *reader, const Lwm__Config *config)
{
  uint64_t last = 0;

  for (size_t i = 0; i < config->n_size_classes; i++)
    {
      const Lwm__SizeClass *size_class = config->size_classes[i];

      if (size_class->up_to_tokens <= last)
        yamlmsg_add_mistake (
            reader, &size_class->base,
            "up_to_tokens: expected more than the class before, "
            "got '%" G_GUINT64_FORMAT "'",
            size_class->up_to_tokens);
      if (size_class->deadline_ms == 0)
        yamlmsg_add_mistake (
            reader, &size_class->base,
            "deadline_ms: expected a time in milliseconds, got nothing");
      last = size_class->up_to_tokens;
    }
}

/** Checks the rules that concern more than one field. */
static void
check_config (yamlmsg_t *reader, const Lwm__Config *config)
{
  if (config->n_zones == 0)
    yamlmsg_add_mistake (reader, NULL, "zones: expected at least one zone");
  if (config->n_services == 0)
    yamlmsg_add_mistake (reader, NULL,
                         "services: expected at least one service");
  if (config->n_customers == 0)
    yamlmsg_add_mistake (reader, NULL,
                         "customers: expected at least one customer");
  if (config->n_size_classes == 0)
    yamlmsg_add_mistake (reader, NULL,
                         "size_classes: expected at least one size class");
  check_customers (reader, config);
  check_wanted_copies (reader, config);
  check_size_classes (reader, config);
  check_token_hashes (reader, config);
  if (protobuf_c_message_get_packed_size (&config->base) > CONFIG_MAX_BYTES)
    yamlmsg_add_mistake (reader, NULL,
                         "the configuration exceeds the limit of %d bytes",
                         CONFIG_MAX_BYTES);
}

static gint
compare_names (gconstpointer left, gconstpointer right)
{
  return strcmp (*(char *const *)left, *(char *const *)right);
}

static GPtrArray *
list_files (const char *folder, char **error_text)
{
  GPtrArray *names = g_ptr_array_new_with_free_func (g_free);
  GError *error = NULL;
  GDir *dir = g_dir_open (folder, 0, &error);
  const char *name;

  if (dir == NULL)
    {
      *error_text = g_strdup_printf ("cannot read folder '%s': %s\n", folder,
                                     error->message);
      g_error_free (error);
      return names;
    }
  while ((name = g_dir_read_name (dir)) != NULL)
    if (name[0] != '.' && g_str_has_suffix (name, ".yaml"))
      g_ptr_array_add (names, g_strdup (name));
  g_dir_close (dir);
  g_ptr_array_sort (names, compare_names);
  if (names->len == 0)
    *error_text = g_strdup_printf ("folder '%s' holds no .yaml file\n", folder);
  return names;
}

static void
read_file (yamlmsg_t *reader, const char *folder, const char *name)
{
  char *path = g_build_filename (folder, name, NULL);
  GError *error = NULL;
  char *text = NULL;
  gsize size = 0;

  if (g_file_get_contents (path, &text, &size, &error))
    yamlmsg_read (reader, name, (const uint8_t *)text, size);
  else
    yamlmsg_add_mistake (reader, NULL, "%s: %s", name, error->message);
  g_clear_error (&error);
  g_free (text);
  g_free (path);
}

static yamlmsg_t *
start_reading (void *parent, Lwm__Config **config)
{
  yamlmsg_options_t options = { .ranges = ranges, .defaults = set_defaults };

  *config = talloc_zero (parent, Lwm__Config);
  lwm__config__init (*config);
  return yamlmsg_new (parent, &options, &(*config)->base);
}

/** Checks the merged configuration when every file could be read. Returns it,
 * or frees it, sets @a mistakes and returns NULL when there is a mistake. Frees
 * the reader. */
static Lwm__Config *
finish_reading (void *parent,
                yamlmsg_t *reader,
                Lwm__Config *config,
                char **mistakes)
{
  if (yamlmsg_mistakes (reader)[0] == '\0')
    check_config (reader, config);
  if (yamlmsg_mistakes (reader)[0] != '\0')
    {
      *mistakes = talloc_strdup (parent, yamlmsg_mistakes (reader));
      TALLOC_FREE (config);
    }
  talloc_free (reader);
  return config;
}

Lwm__Config *
config_load (void *parent, const char *folder, char **mistakes)
{
  char *error_text = NULL;
  GPtrArray *names = list_files (folder, &error_text);
  Lwm__Config *config = NULL;
  yamlmsg_t *reader;

  if (error_text != NULL)
    {
      *mistakes = talloc_strdup (parent, error_text);
      goto out;
    }
  reader = start_reading (parent, &config);
  for (guint i = 0; i < names->len; i++)
    read_file (reader, folder, g_ptr_array_index (names, i));
  config = finish_reading (parent, reader, config, mistakes);

out:
  g_ptr_array_free (names, TRUE);
  g_free (error_text);
  return config;
}

Lwm__Config *
config_load_texts (void *parent,
                   size_t count,
                   const char *const *names,
                   const char *const *texts,
                   char **mistakes)
{
  Lwm__Config *config;
  yamlmsg_t *reader = start_reading (parent, &config);

  for (size_t i = 0; i < count; i++)
    yamlmsg_read (reader, names[i], (const uint8_t *)texts[i],
                  strlen (texts[i]));
  return finish_reading (parent, reader, config, mistakes);
}

uint8_t *
config_pack (void *parent, const Lwm__Config *config, size_t *size_bytes)
{
  return message_pack (parent, &config->base, size_bytes);
}

Lwm__Config *
config_unpack (void *parent, const uint8_t *data, size_t size_bytes)
{
  return message_unpack (parent, &lwm__config__descriptor, data, size_bytes);
}

void
config_digest_bytes (const uint8_t *data,
                     size_t size_bytes,
                     char digest[CONFIG_DIGEST_SIZE])
{
  XXH128_hash_t hash = XXH3_128bits (data, size_bytes);

  snprintf (digest, CONFIG_DIGEST_SIZE, "%016llx%016llx",
            (unsigned long long)hash.high64, (unsigned long long)hash.low64);
}

void
config_digest (const Lwm__Config *config, char digest[CONFIG_DIGEST_SIZE])
{
  Lwm__Config content = *config;
  size_t size;
  uint8_t *data;

  content.number = 0;
  data = config_pack (NULL, &content, &size);
  config_digest_bytes (data, size, digest);
  talloc_free (data);
}

const Lwm__Service *
config_service (const Lwm__Config *config, const char *name)
{
  for (size_t i = 0; i < config->n_services; i++)
    if (strcmp (config->services[i]->name, name) == 0)
      return config->services[i];
  return NULL;
}

const Lwm__Customer *
config_customer (const Lwm__Config *config, const char *name)
{
  for (size_t i = 0; i < config->n_customers; i++)
    if (strcmp (config->customers[i]->name, name) == 0)
      return config->customers[i];
  return NULL;
}

const Lwm__Zone *
config_zone (const Lwm__Config *config, const char *name)
{
  for (size_t i = 0; i < config->n_zones; i++)
    if (strcmp (config->zones[i]->name, name) == 0)
      return config->zones[i];
  return NULL;
}

const Lwm__SizeClass *
config_size_class (const Lwm__Config *config, uint64_t prompt_tokens)
{
  for (size_t i = 0; i < config->n_size_classes; i++)
    if (prompt_tokens <= config->size_classes[i]->up_to_tokens)
      return config->size_classes[i];
  return config->n_size_classes > 0
             ? config->size_classes[config->n_size_classes - 1]
             : NULL;
}
