/* lacewingmast apply: proposes a folder as the configuration. */
#include <stdio.h>
#include <string.h>
#include <talloc.h>

#include "cmd.h"
#include "config.h"
#include "http.h"

static const setting_t settings[] = {
  CMD_COMMON,
  { .field = "number",
    .arg = "N",
    .kind = SETTING_NUMBER,
    .min = 1,
    .max = INT64_MAX,
    .help = "number of the configuration; must be above the one in force" },
  { .field = "dry_run",
    .kind = SETTING_SWITCH,
    .help = "only show the changes" },
  { .field = NULL },
};

static const char doc[]
    = "Proposes a folder of settings files as the deployment's configuration."
      "\vProposing the same folder with the same number again gives the same "
      "answer. A number that was used for other content, or is below the one "
      "in force, is a conflict (exit code 3).\n\n"
      "Example: lacewingmast apply --target 127.0.0.1:8080 --number 12 conf/";

/** Adds the text of each YAML file in a folder that was validated before. */
static bool
add_folder_files (JsonBuilder *builder, const char *folder)
{
  GDir *dir = g_dir_open (folder, 0, NULL);
  const char *name;
  bool is_read = dir != NULL;

  json_builder_set_member_name (builder, "files");
  json_builder_begin_object (builder);
  while (is_read && (name = g_dir_read_name (dir)) != NULL)
    {
      char *path = g_build_filename (folder, name, NULL);
      char *text = NULL;

      if (name[0] != '.' && g_str_has_suffix (name, ".yaml"))
        {
          is_read = g_file_get_contents (path, &text, NULL, NULL);
          json_builder_set_member_name (builder, name);
          json_builder_add_string_value (builder, is_read ? text : "");
        }
      g_free (text);
      g_free (path);
    }
  json_builder_end_object (builder);
  if (dir != NULL)
    g_dir_close (dir);
  return is_read;
}

static JsonNode *
build_apply_body (const cmd_context_t *context, uint64_t number)
{
  JsonBuilder *builder = json_builder_new ();
  JsonNode *node = NULL;

  json_builder_begin_object (builder);
  json_builder_set_member_name (builder, "number");
  json_builder_add_int_value (builder, (gint64)number);
  json_builder_set_member_name (builder, "dry_run");
  json_builder_add_boolean_value (builder, context->settings.dry_run);
  if (add_folder_files (builder, context->arguments[0]))
    {
      json_builder_end_object (builder);
      node = json_builder_get_root (builder);
    }
  g_object_unref (builder);
  return node;
}

static void
print_changes (JsonObject *answer)
{
  JsonArray *changes;

  if (!json_object_has_member (answer, "changes"))
    return;
  changes = json_object_get_array_member (answer, "changes");
  for (guint i = 0; i < json_array_get_length (changes); i++)
    {
      JsonObject *change = json_array_get_object_element (changes, i);

      printf ("%s %s %s\n", http_json_text_member (change, "change", "?"),
              http_json_text_member (change, "section", "?"),
              http_json_text_member (change, "name", ""));
    }
}

static void
print_answer (const cmd_context_t *context, JsonObject *answer)
{
  if (context->settings.json)
    cmd_print_json (answer);
  else
    {
      print_changes (answer);
      printf ("%s number=%lld digest=%s\n",
              context->settings.dry_run
                  ? "checked"
                  : http_json_text_member (answer, "result", "accepted"),
              (long long)http_json_number_member (answer, "number", 0),
              http_json_text_member (answer, "digest", "-"));
    }
}

static int
apply_folder (cmd_context_t *context)
{
  char *mistakes = NULL;
  JsonObject *answer = NULL;
  Lwm__Config *config
      = config_load (context->parent, context->arguments[0], &mistakes);
  JsonNode *body;
  int code;

  if (config == NULL)
    {
      fputs (mistakes, stderr);
      return EXIT_CODE_USAGE;
    }
  body = build_apply_body (context, context->settings.number != 0
                                        ? context->settings.number
                                        : config->number);
  if (body == NULL)
    {
      print_error ("cannot read the files in '%s'", context->arguments[0]);
      return EXIT_CODE_FAILED;
    }
  code = cmd_call (context, "POST", "/admin/v1/configuration", body, &answer);
  if (code == EXIT_CODE_OK)
    print_answer (context, answer);
  g_clear_pointer (&answer, json_object_unref);
  return code;
}

int
cmd_apply (int argc, char **argv)
{
  cmd_context_t context;
  int code = EXIT_CODE_USAGE;

  if (cmd_parse (&context, settings, "FOLDER", doc, 1, 1, argc, argv))
    code = apply_folder (&context);
  cmd_done (&context);
  return code;
}
