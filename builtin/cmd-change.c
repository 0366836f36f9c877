/* lacewingmast drain, upstream, member: changes outside the configuration. */
#include <stdio.h>
#include <string.h>
#include <talloc.h>

#include "cmd.h"
#include "http.h"

static const setting_t settings[] = { CMD_COMMON, { .field = NULL } };

/**
 * Posts a JSON object and prints the answer.
 * @param pairs names and values, NULL-terminated; the values "true" and "false"
 * become booleans, all others texts
 * @return the exit code
 */
static int
post_change (cmd_context_t *context, const char *path, const char *const *pairs)
{
  JsonObject *object = json_object_new ();
  JsonNode *body = json_node_new (JSON_NODE_OBJECT);
  JsonObject *answer = NULL;
  int code;

  for (size_t i = 0; pairs[i] != NULL; i += 2)
    if (strcmp (pairs[i + 1], "true") == 0
        || strcmp (pairs[i + 1], "false") == 0)
      json_object_set_boolean_member (object, pairs[i],
                                      strcmp (pairs[i + 1], "true") == 0);
    else
      json_object_set_string_member (object, pairs[i], pairs[i + 1]);
  json_node_take_object (body, object);
  code = cmd_call (context, "POST", path, body, &answer);
  if (code == EXIT_CODE_OK && context->settings.json)
    cmd_print_json (answer);
  else if (code == EXIT_CODE_OK)
    puts ("done");
  g_clear_pointer (&answer, json_object_unref);
  return code;
}

int
cmd_drain (int argc, char **argv)
{
  static const char doc[]
      = "Stops (on) or resumes (off) taking new requests at the target "
        "instance. Running requests continue."
        "\vExample: lacewingmast drain --target 127.0.0.1:8080 on";
  cmd_context_t context;
  int code = EXIT_CODE_USAGE;

  if (cmd_parse (&context, settings, "on|off", doc, 1, 1, argc, argv))
    {
      const char *pairs[]
          = { "draining",
              strcmp (context.arguments[0], "on") == 0 ? "true" : "false",
              NULL };

      if (strcmp (context.arguments[0], "on") != 0
          && strcmp (context.arguments[0], "off") != 0)
        print_error ("expected 'on' or 'off', got '%s'", context.arguments[0]);
      else
        code = post_change (&context, "/admin/v1/drain", pairs);
    }
  cmd_done (&context);
  return code;
}

static int
drain_upstream (cmd_context_t *context)
{
  const char *pairs[] = { "draining", "true", NULL };

  if (context->argument_count != 2)
    {
      print_error ("expected: upstream drain NAME");
      return EXIT_CODE_USAGE;
    }
  return post_change (context,
                      talloc_asprintf (context->parent,
                                       "/admin/v1/upstreams/drain/%s",
                                       context->arguments[1]),
                      pairs);
}

static int
order_upstream (cmd_context_t *context)
{
  char **arguments = context->arguments;
  size_t count = context->argument_count;
  const char *pairs[] = { "upstream", count > 1 ? arguments[1] : "",
                          "kind",     count > 2 ? arguments[2] : "",
                          "model",    count > 3 ? arguments[3] : "",
                          "version",  count > 4 ? arguments[4] : "",
                          "adapter",  count > 5 ? arguments[5] : "",
                          NULL };
  const char *role[]
      = { "upstream", count > 1 ? arguments[1] : "", "kind", "role",
          "role",     count > 3 ? arguments[3] : "", NULL };

  if (count < 4)
    {
      print_error ("expected: upstream order NAME load|unload MODEL [VERSION "
                   "[ADAPTER]], or: upstream order NAME role ROLE");
      return EXIT_CODE_USAGE;
    }
  return post_change (context, "/admin/v1/upstreams/order",
                      strcmp (arguments[2], "role") == 0 ? role : pairs);
}

int
cmd_upstream (int argc, char **argv)
{
  static const char doc[]
      = "Gives an order to an upstream. Draining is not implemented yet."
        "\vExamples:\n"
        "  lacewingmast upstream drain engine-3\n"
        "  lacewingmast upstream order engine-3 load repair v2\n"
        "  lacewingmast upstream order engine-3 role prefill";
  cmd_context_t context;
  int code = EXIT_CODE_USAGE;

  if (!cmd_parse (&context, settings, "drain|order NAME ...", doc, 2, 6, argc,
                  argv))
    goto out;
  if (strcmp (context.arguments[0], "drain") == 0)
    code = drain_upstream (&context);
  else if (strcmp (context.arguments[0], "order") == 0)
    code = order_upstream (&context);
  else
    print_error ("expected 'drain' or 'order', got '%s'", context.arguments[0]);

out:
  cmd_done (&context);
  return code;
}

int
cmd_member (int argc, char **argv)
{
  static const char doc[]
      = "Adds, promotes or removes one member of the control group."
        "\vExamples:\n"
        "  lacewingmast member add control-4 127.0.0.1:7004\n"
        "  lacewingmast member promote control-4\n"
        "  lacewingmast member remove control-2\n\n"
        "A new member is added as a learner. Promote it after it has caught "
        "up with the log.";
  cmd_context_t context;
  int code = EXIT_CODE_USAGE;

  if (cmd_parse (&context, settings, "add|promote|remove NAME [IP:PORT]", doc,
                 2, 3, argc, argv))
    {
      const char *pairs[] = {
        "operation", context.arguments[0],
        "name",      context.arguments[1],
        "address",   context.argument_count > 2 ? context.arguments[2] : "",
        NULL
      };

      code = post_change (&context, "/admin/v1/members", pairs);
    }
  cmd_done (&context);
  return code;
}
