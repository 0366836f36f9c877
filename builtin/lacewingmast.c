/* lacewingmast: the command for operators. */
#include <stdio.h>
#include <string.h>

#include "cmd.h"

static const cmd_t commands[] = {
  { "check", "validate a folder of settings files and show the merged result",
    cmd_check },
  { "apply", "propose a folder as the configuration", cmd_apply },
  { "status", "show instances, upstreams, revision and control group",
    cmd_status },
  { "customers", "show the customers' usage and limits", cmd_customers },
  { "explain", "explain how a request was handled", cmd_explain },
  { "audit", "show the last accepted changes", cmd_audit },
  { "drain", "stop or resume taking new requests", cmd_drain },
  { "upstream", "drain an upstream or give it an order", cmd_upstream },
  { "member", "change the members of the control group", cmd_member },
  { "token", "create an administration token", cmd_token },
  { "report", "write plots for records files of lwm-load", cmd_report },
};

static void
print_help (FILE *out)
{
  fputs ("usage: lacewingmast COMMAND [OPTION...]\n\n", out);
  for (size_t i = 0; i < sizeof commands / sizeof *commands; i++)
    fprintf (out, "  %-10s %s\n", commands[i].name, commands[i].summary);
  fputs ("\nSee 'lacewingmast COMMAND --help' for the options of a command.\n\n"
         "Exit codes: 0 success, 1 failure, 2 wrong usage or settings,\n"
         "3 conflicting or stale change, 4 no answer or no quorum.\n",
         out);
}

static const cmd_t *
find_command (const char *name)
{
  for (size_t i = 0; i < sizeof commands / sizeof *commands; i++)
    if (strcmp (commands[i].name, name) == 0)
      return &commands[i];
  return NULL;
}

int
main (int argc, char **argv)
{
  const cmd_t *command;

  base_init ("lacewingmast");
  if (argc >= 2
      && (strcmp (argv[1], "--help") == 0 || strcmp (argv[1], "help") == 0))
    {
      print_help (stdout);
      return EXIT_CODE_OK;
    }
  if (argc >= 2 && strcmp (argv[1], "--version") == 0)
    {
      puts ("lacewingmast " LWM_VERSION);
      return EXIT_CODE_OK;
    }
  command = argc >= 2 ? find_command (argv[1]) : NULL;
  if (command != NULL)
    return command->run (argc - 1, argv + 1);
  if (argc >= 2)
    print_error ("no such command '%s'", argv[1]);
  print_help (stderr);
  return EXIT_CODE_USAGE;
}
