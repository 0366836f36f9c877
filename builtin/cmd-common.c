#include <event2/event.h>
#include <stdio.h>
#include <string.h>
#include <talloc.h>

#include "cmd.h"
#include "http.h"
#include "tls.h"

bool
cmd_parse (cmd_context_t *context,
           const setting_t *settings,
           const char *args_doc,
           const char *doc,
           size_t min_arguments,
           size_t max_arguments,
           int argc,
           char **argv)
{
  static char *no_arguments[] = { NULL };
  settings_options_t options
      = { .doc = doc, .args_doc = args_doc, .settings = settings };

  *context = (cmd_context_t){ .parent = talloc_new (NULL) };
  options.parent = context->parent;
  lwm__command_settings__init (&context->settings);
  if (settings_parse (&options, argc, argv, &context->settings.base) != 0)
    return false;
  context->arguments
      = options.arguments != NULL ? options.arguments : no_arguments;
  while (context->arguments[context->argument_count] != NULL)
    context->argument_count++;
  if (context->argument_count >= min_arguments
      && context->argument_count <= max_arguments)
    return true;
  print_error ("expected %s, got %zu arguments",
               args_doc != NULL ? args_doc : "no arguments",
               context->argument_count);
  return false;
}

void
cmd_done (cmd_context_t *context)
{
  TALLOC_FREE (context->parent);
}

/** Result of a call, filled by its callback. */
typedef struct
{
  struct event_base *base;
  int status;
  JsonObject *body;
} call_result_t;

static void
on_done (int status, JsonObject *body, void *context)
{
  call_result_t *result = context;

  result->status = status;
  result->body = body != NULL ? json_object_ref (body) : NULL;
  event_base_loopbreak (result->base);
}

static int
exit_code_for_error (const char *kind)
{
  switch (error_from_name (kind))
    {
    case ERROR_STALE_NUMBER:
    case ERROR_NUMBER_CONFLICT:
    case ERROR_KEY_CONFLICT:
      return EXIT_CODE_CONFLICT;
    case ERROR_NO_QUORUM:
    case ERROR_OUTCOME_UNKNOWN:
    case ERROR_NO_CONFIGURATION:
    case ERROR_STOPPING:
      return EXIT_CODE_UNAVAILABLE;
    case ERROR_BAD_REQUEST:
    case ERROR_BAD_CONFIGURATION:
      return EXIT_CODE_USAGE;
    default:
      return EXIT_CODE_FAILED;
    }
}

/** Reports a failed call on stderr and returns the exit code for it. */
static int
report_failure (const cmd_context_t *context, const call_result_t *result)
{
  JsonObject *error;

  if (result->status == 0)
    {
      print_error ("no answer from '%s'", context->settings.target);
      return EXIT_CODE_UNAVAILABLE;
    }
  if (result->body == NULL || !json_object_has_member (result->body, "error"))
    {
      print_error ("'%s' answered with HTTP status %d and an unexpected body",
                   context->settings.target, result->status);
      return EXIT_CODE_FAILED;
    }
  error = json_object_get_object_member (result->body, "error");
  print_error ("%s: %s", http_json_text_member (error, "kind", "?"),
               http_json_text_member (error, "message", "?"));
  return exit_code_for_error (http_json_text_member (error, "kind", "?"));
}

int
cmd_call (cmd_context_t *context,
          const char *method,
          const char *path,
          JsonNode *body,
          JsonObject **answer)
{
  struct event_base *base = event_base_new ();
  call_result_t result = { .base = base };
  http_call_options_t options = {
    .base = base,
    .address = context->settings.target,
    .method = method,
    .path = path,
    .body = body,
    .token = context->settings.token,
    .timeout_ms = context->settings.timeout_ms,
    .done = on_done,
    .context = &result,
  };

  if (context->settings.tls_trust[0] != '\0')
    {
      options.tls
          = tls_client_new (context->parent, context->settings.tls_trust);
      if (options.tls == NULL)
        {
          event_base_free (base);
          return EXIT_CODE_USAGE;
        }
    }
  http_call (&options);
  event_base_dispatch (base);
  event_base_free (base);
  *answer = result.body;
  if (result.status >= 200 && result.status < 300 && result.body != NULL)
    return EXIT_CODE_OK;
  return report_failure (context, &result);
}

void
cmd_print_json (JsonObject *object)
{
  JsonNode *node = json_node_new (JSON_NODE_OBJECT);
  char *text;

  json_node_set_object (node, object);
  text = http_json_text (node);
  puts (text);
  g_free (text);
  json_node_unref (node);
}

void
cmd_print_table (GPtrArray *rows, size_t columns)
{
  for (guint row = 0; row < rows->len; row++)
    {
      char **cells = g_ptr_array_index (rows, row);

      for (size_t column = 0; column < columns; column++)
        {
          size_t width = 0;

          for (guint other = 0; other < rows->len; other++)
            width = MAX (
                width,
                strlen (((char **)g_ptr_array_index (rows, other))[column]));
          printf (column + 1 < columns ? "%-*s  " : "%.*s",
                  (int)(column + 1 < columns ? width : strlen (cells[column])),
                  cells[column]);
        }
      putchar ('\n');
    }
}
