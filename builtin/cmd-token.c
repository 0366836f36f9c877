/* lacewingmast token: creates an administration token. */
#include <stdio.h>
#include <talloc.h>

#include "auth.h"
#include "cmd.h"

static const setting_t settings[] = { CMD_JSON, { .field = NULL } };

int
cmd_token (int argc, char **argv)
{
  static const char doc[]
      = "Creates an administration token and its settings entry."
        "\vThe token is printed once, to standard error. The entry, which "
        "contains only its salted hash, is printed to standard output.\n\n"
        "Example: lacewingmast token ada >>conf/90-tokens.yaml";
  char token[AUTH_TOKEN_SIZE];
  char salt[AUTH_SALT_SIZE];
  char hash[AUTH_HASH_SIZE];
  cmd_context_t context;
  int code = EXIT_CODE_USAGE;

  if (!cmd_parse (&context, settings, "NAME", doc, 1, 1, argc, argv))
    goto out;
  if (!settings_is_name (context.arguments[0]))
    {
      print_error (
          "expected a name of letters, digits, '-', '_', '.', got '%s'",
          context.arguments[0]);
      goto out;
    }
  auth_make_token (token, salt, hash);
  printf (
      "tokens:\n  - name: %s\n    role: viewer\n    salt: %s\n    hash: %s\n",
      context.arguments[0], salt, hash);
  fprintf (stderr, "token: %s\n", token);
  code = EXIT_CODE_OK;

out:
  cmd_done (&context);
  return code;
}
