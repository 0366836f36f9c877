#include "settings.h"

#include <argp.h>
#include <arpa/inet.h>
#include <ctype.h>
#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>
#include <talloc.h>

#include "base.h"

/* Key of the first setting in argp; above all characters, which are argp's keys
 * of short flags. */
#define FIRST_OPTION_KEY 1000
#define MAX_NAME_BYTES   63

const char *argp_program_version = "lacewingmast " LWM_VERSION;

/** State of one settings_parse() call. */
typedef struct
{
  settings_options_t *options;
  ProtobufCMessage *message;
  struct argp_option *argp_options;
  char **flag_names;
  bool *given; /* by index of the setting: set by a flag */
  size_t setting_count;
  size_t argument_count;
  int mistakes;
} parse_t;

bool
settings_split_address (const char *text, char *ip, uint16_t *port)
{
  const char *colon = strrchr (text, ':');
  struct in6_addr parsed;
  char *end;
  unsigned long number;

  if (colon == NULL || colon == text || colon - text > 63)
    return false;
  memcpy (ip, text, (size_t)(colon - text));
  ip[colon - text] = '\0';
  if (ip[0] == '[' && ip[strlen (ip) - 1] == ']')
    {
      memmove (ip, ip + 1, strlen (ip));
      ip[strlen (ip) - 1] = '\0';
    }
  if (inet_pton (AF_INET, ip, &parsed) != 1
      && inet_pton (AF_INET6, ip, &parsed) != 1)
    return false;
  if (!isdigit ((unsigned char)colon[1]))
    return false;
  number = strtoul (colon + 1, &end, 10);
  if (*end != '\0' || number > UINT16_MAX)
    return false;
  *port = (uint16_t)number;
  return true;
}

bool
settings_is_name (const char *text)
{
  size_t length = strlen (text);

  if (length == 0 || length > MAX_NAME_BYTES)
    return false;
  for (; *text != '\0'; text++)
    if (!isalnum ((unsigned char)*text) && strchr ("-_.", *text) == NULL)
      return false;
  return true;
}

static bool
is_choice (const char *choices, const char *text)
{
  size_t length = strlen (text);

  for (const char *at = choices; length > 0 && at != NULL;)
    {
      if (strncmp (at, text, length) == 0
          && (at[length] == '|' || at[length] == '\0'))
        return true;
      at = strchr (at, '|');
      if (at != NULL)
        at++;
    }
  return false;
}

static bool
is_folder (const char *text)
{
  struct stat status;

  return stat (text, &status) == 0 && S_ISDIR (status.st_mode);
}

static void
report_mistake (parse_t *parse,
                const setting_t *setting,
                const char *flag,
                const char *value,
                const char *expected)
{
  print_error ("%s: expected %s, got '%s'", flag, expected, value);
  parse->mistakes++;
}

/**
 * Checks @a value against the type and the bounds of @a setting, and stores a
 * parsed number in @a number or @a real.
 * @param note buffer that the result may point to
 * @return NULL when valid, else a description of a valid value
 */
static const char *
check_value (const setting_t *setting,
             const char *value,
             char *note,
             size_t note_size,
             uint64_t *number,
             double *real)
{
  char ip[64];
  uint16_t port;
  char *end;

  switch (setting->kind)
    {
    case SETTING_TEXT:
      return NULL;
    case SETTING_NAME:
      return settings_is_name (value)
                 ? NULL
                 : "a name of letters, digits, '-', '_', '.'";
    case SETTING_ADDRESS:
      return settings_split_address (value, ip, &port)
                 ? NULL
                 : "an address as IP:PORT";
    case SETTING_FOLDER:
      return is_folder (value) ? NULL : "an existing folder";
    case SETTING_CHOICE:
      snprintf (note, note_size, "one of %s", setting->choices);
      return is_choice (setting->choices, value) ? NULL : note;
    case SETTING_NUMBER:
      snprintf (note, note_size, "a whole number from %llu to %llu",
                (unsigned long long)setting->min,
                (unsigned long long)setting->max);
      errno = 0;
      *number = strtoull (value, &end, 10);
      return isdigit ((unsigned char)value[0]) && *end == '\0' && errno == 0
                     && *number >= setting->min && *number <= setting->max
                 ? NULL
                 : note;
    case SETTING_REAL:
      snprintf (note, note_size, "a number from %llu to %llu",
                (unsigned long long)setting->min,
                (unsigned long long)setting->max);
      *real = strtod (value, &end);
      return end != value && *end == '\0' && *real >= (double)setting->min
                     && *real <= (double)setting->max
                 ? NULL
                 : note;
    case SETTING_SWITCH:
      *number = strcmp (value, "true") == 0;
      return is_choice ("true|false", value) ? NULL : "true or false";
    }
  return "a known kind of setting";
}

static void
append_text (parse_t *parse,
             const ProtobufCFieldDescriptor *field,
             void *member,
             const char *value)
{
  size_t *count = (size_t *)((char *)parse->message + field->quantifier_offset);
  char **texts = *(char ***)member;

  texts = talloc_realloc (parse->options->parent, texts, char *, *count + 1);
  texts[*count] = talloc_strdup (texts, value);
  *(char ***)member = texts;
  (*count)++;
}

static void
store_value (parse_t *parse,
             const setting_t *setting,
             const char *flag,
             const char *value)
{
  const ProtobufCFieldDescriptor *field
      = protobuf_c_message_descriptor_get_field_by_name (
          parse->message->descriptor, setting->field);
  void *member = (char *)parse->message + field->offset;
  uint64_t number = 0;
  double real = 0;
  char note[160];
  const char *expected
      = check_value (setting, value, note, sizeof note, &number, &real);

  if (expected != NULL)
    {
      report_mistake (parse, setting, flag, value, expected);
      return;
    }
  if (field->label == PROTOBUF_C_LABEL_REPEATED)
    append_text (parse, field, member, value);
  else if (field->type == PROTOBUF_C_TYPE_STRING)
    *(char **)member = talloc_strdup (parse->options->parent, value);
  else if (field->type == PROTOBUF_C_TYPE_UINT32)
    *(uint32_t *)member = (uint32_t)number;
  else if (field->type == PROTOBUF_C_TYPE_UINT64)
    *(uint64_t *)member = number;
  else if (field->type == PROTOBUF_C_TYPE_DOUBLE)
    *(double *)member = real;
  else if (field->type == PROTOBUF_C_TYPE_BOOL)
    *(protobuf_c_boolean *)member = number != 0;
  else
    die ("setting '%s' has a type no flag can have", setting->field);
}

static error_t
parse_option (int key, char *arg, struct argp_state *state)
{
  parse_t *parse = state->input;
  settings_options_t *options = parse->options;

  /* The special keys of argp (ARGP_KEY_*) are above those of all settings. */
  if (key >= FIRST_OPTION_KEY
      && (size_t)(key - FIRST_OPTION_KEY) < parse->setting_count)
    {
      size_t i = (size_t)(key - FIRST_OPTION_KEY);
      char *flag
          = talloc_asprintf (options->parent, "--%s", parse->flag_names[i]);

      parse->given[i] = true;
      store_value (parse, &options->settings[i], flag,
                   arg != NULL ? arg : "true");
      return 0;
    }
  if (key != ARGP_KEY_ARG)
    return ARGP_ERR_UNKNOWN;
  if (options->args_doc == NULL)
    {
      print_error ("unexpected argument '%s'", arg);
      parse->mistakes++;
      return 0;
    }
  options->arguments = talloc_realloc (options->parent, options->arguments,
                                       char *, parse->argument_count + 2);
  options->arguments[parse->argument_count++]
      = talloc_strdup (options->parent, arg);
  options->arguments[parse->argument_count] = NULL;
  return 0;
}

static char *
variable_name (void *parent, const char *field)
{
  char *name = talloc_asprintf (parent, "LWM_%s", field);

  for (char *at = name; *at != '\0'; at++)
    *at = (char)toupper ((unsigned char)*at);
  return name;
}

static char *
flag_name (void *parent, const char *field)
{
  char *name = talloc_strdup (parent, field);

  for (char *at = name; *at != '\0'; at++)
    if (*at == '_')
      *at = '-';
  return name;
}

/**
 * Stores @a value from a variable or a default value. Commas separate the
 * entries of a list.
 */
static void
store_values (parse_t *parse,
              const setting_t *setting,
              const char *variable,
              const char *value)
{
  char *copy = talloc_strdup (parse->options->parent, value);
  char *rest = copy;
  const ProtobufCFieldDescriptor *field
      = protobuf_c_message_descriptor_get_field_by_name (
          parse->message->descriptor, setting->field);

  if (field->label != PROTOBUF_C_LABEL_REPEATED)
    {
      store_value (parse, setting, variable, value);
      return;
    }
  for (char *part = strsep (&rest, ","); part != NULL;
       part = strsep (&rest, ","))
    store_value (parse, setting, variable, part);
}

/** Sets each field without a flag from its variable or its default value. */
static void
apply_variables_and_defaults (parse_t *parse)
{
  const setting_t *settings = parse->options->settings;

  for (size_t i = 0; settings[i].field != NULL; i++)
    {
      char *variable
          = variable_name (parse->options->parent, settings[i].field);
      const char *value = getenv (variable);

      if (parse->given[i])
        continue;
      if (value != NULL)
        store_values (parse, &settings[i], variable, value);
      else if (settings[i].fallback != NULL)
        store_values (parse, &settings[i], parse->flag_names[i],
                      settings[i].fallback);
      else if (settings[i].required)
        {
          print_error ("--%s: must be given (or %s set)", parse->flag_names[i],
                       variable);
          parse->mistakes++;
        }
    }
}

static void
make_argp_options (parse_t *parse, size_t count)
{
  void *parent = parse->options->parent;
  const setting_t *settings = parse->options->settings;

  parse->argp_options
      = talloc_zero_array (parent, struct argp_option, count + 1);
  parse->flag_names = talloc_array (parent, char *, count + 1);
  parse->given = talloc_zero_array (parent, bool, count + 1);
  for (size_t i = 0; i < count; i++)
    {
      struct argp_option *option = &parse->argp_options[i];

      if (protobuf_c_message_descriptor_get_field_by_name (
              parse->message->descriptor, settings[i].field)
          == NULL)
        die ("setting '%s' is not in the schema", settings[i].field);
      parse->flag_names[i] = flag_name (parent, settings[i].field);
      option->name = parse->flag_names[i];
      option->key = FIRST_OPTION_KEY + (int)i;
      option->arg = settings[i].kind == SETTING_SWITCH ? NULL : settings[i].arg;
      option->doc = settings[i].help;
    }
}

int
settings_parse (settings_options_t *options,
                int argc,
                char **argv,
                ProtobufCMessage *message)
{
  parse_t parse = { .options = options, .message = message };
  struct argp argp = { .parser = parse_option,
                       .args_doc = options->args_doc,
                       .doc = options->doc };
  size_t count = 0;

  while (options->settings[count].field != NULL)
    count++;
  parse.setting_count = count;
  make_argp_options (&parse, count);
  argp.options = parse.argp_options;
  argp_err_exit_status = EXIT_CODE_USAGE;
  if (argp_parse (&argp, argc, argv, 0, NULL, &parse) != 0)
    parse.mistakes++;
  apply_variables_and_defaults (&parse);
  return parse.mistakes;
}
