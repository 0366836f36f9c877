/* lacewingmast report: compares records of lwm-load runs in plots. */
#include <stdio.h>
#include <string.h>
#include <talloc.h>

#include "cmd.h"
#include "report.h"

static const setting_t settings[] = {
  { .field = "output",
    .arg = "FOLDER",
    .help = "folder for the data files and report.gp",
    .kind = SETTING_FOLDER,
    .required = true },
  { .field = NULL },
};

static const char doc[]
    = "Writes data files and a gnuplot script for records files of lwm-load."
      "\vExample: lacewingmast report --output plots predicted=a.tsv "
      "random=b.tsv && (cd plots && gnuplot report.gp)";

/** Adds the records of each argument, given as LABEL=FILE. */
static bool
add_records (cmd_context_t *context, report_t *report)
{
  for (size_t i = 0; i < context->argument_count; i++)
    {
      char *label = talloc_strdup (context->parent, context->arguments[i]);
      char *path = strchr (label, '=');
      const char *why = "expected LABEL=FILE";

      if (path != NULL)
        *path++ = '\0';
      if (path == NULL || !report_add (report, label, path, &why))
        {
          print_error ("'%s': %s", context->arguments[i], why);
          return false;
        }
    }
  return true;
}

int
cmd_report (int argc, char **argv)
{
  cmd_context_t context;
  report_t *report;
  const char *why;
  int exit_code = EXIT_CODE_USAGE;

  if (!cmd_parse (&context, settings, "LABEL=FILE...", doc, 1, 32, argc, argv))
    return EXIT_CODE_USAGE;
  report = report_new (context.parent);
  if (!add_records (&context, report))
    goto out;
  if (report_write (report, context.settings.output, &why))
    exit_code = EXIT_CODE_OK;
  else
    {
      print_error ("cannot write the report: %s", why);
      exit_code = EXIT_CODE_FAILED;
    }

out:
  cmd_done (&context);
  return exit_code;
}
