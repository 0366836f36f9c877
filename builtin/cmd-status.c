/* lacewingmast status, customers, explain, audit: show an instance's state. */
#include <stdio.h>
#include <string.h>
#include <talloc.h>

#include "cmd.h"
#include "http.h"

static const setting_t settings[] = { CMD_COMMON, { .field = NULL } };

/**
 * Prints the members of an object as "name=value" on one line, and each list
 * entry on a line of its own.
 */
static void print_object (const char *prefix, JsonObject *object);

static char *
format_value (JsonNode *node)
{
  if (json_node_get_value_type (node) == G_TYPE_STRING)
    return g_strdup (json_node_get_string (node));
  return http_json_text (node);
}

static void
print_list (const char *prefix, JsonArray *list)
{
  for (guint i = 0; i < json_array_get_length (list); i++)
    {
      JsonNode *node = json_array_get_element (list, i);
      char *text;

      if (JSON_NODE_HOLDS_OBJECT (node))
        {
          print_object (prefix, json_node_get_object (node));
          continue;
        }
      text = format_value (node);
      printf ("%s %s\n", prefix, text);
      g_free (text);
    }
}

static void
print_object (const char *prefix, JsonObject *object)
{
  GList *names = json_object_get_members (object);
  bool has_printed = false;

  for (GList *at = names; at != NULL; at = at->next)
    {
      JsonNode *node = json_object_get_member (object, at->data);
      char *text;

      if (JSON_NODE_HOLDS_ARRAY (node) || JSON_NODE_HOLDS_OBJECT (node))
        continue;
      text = format_value (node);
      printf (has_printed ? " %s=%s" : "%s %s=%s",
              has_printed ? (const char *)at->data : prefix,
              has_printed ? text : (const char *)at->data, text);
      has_printed = true;
      g_free (text);
    }
  if (has_printed)
    putchar ('\n');
  for (GList *at = names; at != NULL; at = at->next)
    {
      JsonNode *node = json_object_get_member (object, at->data);

      if (JSON_NODE_HOLDS_ARRAY (node))
        print_list (at->data, json_node_get_array (node));
      else if (JSON_NODE_HOLDS_OBJECT (node))
        print_object (at->data, json_node_get_object (node));
    }
  g_list_free (names);
}

static void
print_answer (const cmd_context_t *context,
              const char *prefix,
              JsonObject *answer)
{
  if (context->settings.json)
    cmd_print_json (answer);
  else
    print_object (prefix, answer);
}

static int
show_answer (cmd_context_t *context, const char *path, const char *prefix)
{
  JsonObject *answer = NULL;
  int code = cmd_call (context, "GET", path, NULL, &answer);

  if (code == EXIT_CODE_OK)
    print_answer (context, prefix, answer);
  g_clear_pointer (&answer, json_object_unref);
  return code;
}

/** Shows the status of the instance and of its control group, if any. */
static int
show_status (cmd_context_t *context)
{
  JsonObject *answer = NULL;
  JsonObject *control = NULL;
  int code = cmd_call (context, "GET", "/admin/v1/status", NULL, &answer);

  if (code != EXIT_CODE_OK)
    return code;
  if (http_json_bool_member (answer, "has_control_group", false))
    code = cmd_call (context, "GET", "/admin/v1/control", NULL, &control);
  if (control != NULL)
    json_object_set_object_member (answer, "control", control);
  print_answer (context, "instance", answer);
  json_object_unref (answer);
  return code;
}

int
cmd_status (int argc, char **argv)
{
  cmd_context_t context;
  int code = EXIT_CODE_USAGE;

  if (cmd_parse (&context, settings, NULL,
                 "Shows instances, zones, upstreams, the revision in force and "
                 "the control group, as known to the target instance.",
                 0, 0, argc, argv))
    code = show_status (&context);
  cmd_done (&context);
  return code;
}

int
cmd_customers (int argc, char **argv)
{
  cmd_context_t context;
  int code = EXIT_CODE_USAGE;

  if (cmd_parse (
          &context, settings, NULL,
          "Shows the customers' usage and limits at the target instance.", 0, 0,
          argc, argv))
    code = show_answer (&context, "/admin/v1/customers", "customers");
  cmd_done (&context);
  return code;
}

int
cmd_audit (int argc, char **argv)
{
  cmd_context_t context;
  int code = EXIT_CODE_USAGE;

  if (cmd_parse (&context, settings, NULL,
                 "Shows the last accepted changes: who, what and when.", 0, 0,
                 argc, argv))
    code = show_answer (&context, "/admin/v1/audit", "audit");
  cmd_done (&context);
  return code;
}

int
cmd_explain (int argc, char **argv)
{
  cmd_context_t context;
  int code = EXIT_CODE_USAGE;

  if (cmd_parse (
          &context, settings, "REQUEST-ID",
          "Explains why a request was placed, queued, retried or refused.", 1,
          1, argc, argv))
    code = show_answer (&context,
                        talloc_asprintf (context.parent, "/admin/v1/explain/%s",
                                         context.arguments[0]),
                        "request");
  cmd_done (&context);
  return code;
}
