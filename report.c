#include "report.h"

#include <glib.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#include "hist.h"

#define US_PER_MS                1000.0
#define MS_PER_S                 1000.0
#define MAX_PLOT_S               100000
#define SLOWDOWN_BASE_PERCENTILE 10

/* Columns of a records file that the report needs, see
 * load_record_write_header(). */
typedef enum
{
  COLUMN_INTENDED_MS,
  COLUMN_KIND,
  COLUMN_PROMPT_TOKENS,
  COLUMN_OUTCOME,
  COLUMN_FIRST_TOKEN_MS,
  COLUMN_END_MS,
  COLUMN_TOKENS,
  COLUMN_IN_TIME,
  COLUMN_COUNT
} column_t;

static const char *const column_names[COLUMN_COUNT]
    = { "intended_ms",    "kind",   "prompt_tokens", "outcome",
        "first_token_ms", "end_ms", "tokens",        "in_time" };

/* Totals of the requests that ended within one second. */
typedef struct
{
  uint64_t tokens; /* of prompts and answers in time */
  uint64_t refused;
} second_t;

/* The data of one records file. */
typedef struct
{
  char *label;
  GHashTable *first_tokens;         /* class to hist_t of microseconds */
  GArray *seconds;                  /* of second_t */
  int column_indices[COLUMN_COUNT]; /* index of each column in a line, or -1 */
} series_t;

struct report
{
  GPtrArray *series;
  GPtrArray *classes; /* names in order of first appearance */
};

static int
report_destroy (report_t *report)
{
  g_ptr_array_unref (report->series);
  g_ptr_array_unref (report->classes);
  return 0;
}

report_t *
report_new (void *parent)
{
  report_t *report = talloc_zero (parent, report_t);

  report->series = g_ptr_array_new ();
  report->classes = g_ptr_array_new ();
  talloc_set_destructor (report, report_destroy);
  return report;
}

static int
series_destroy (series_t *series)
{
  g_hash_table_destroy (series->first_tokens);
  g_array_unref (series->seconds);
  return 0;
}

static bool
find_columns (series_t *series, const char *header)
{
  char **names = g_strsplit (header, "\t", -1);
  bool all_found = true;

  for (int column = 0; column < COLUMN_COUNT; column++)
    {
      series->column_indices[column] = -1;
      for (int i = 0; names[i] != NULL; i++)
        if (strcmp (names[i], column_names[column]) == 0)
          series->column_indices[column] = i;
      all_found = all_found && series->column_indices[column] >= 0;
    }
  g_strfreev (names);
  return all_found;
}

static bool
is_known_class (const report_t *report, const char *class)
{
  return g_ptr_array_find_with_equal_func (report->classes, class, g_str_equal,
                                           NULL);
}

/* Returns the histogram of first-token times of a class; adds it if missing. */
static hist_t *
get_or_add_first_token_hist (report_t *report,
                             series_t *series,
                             const char *class)
{
  hist_t *hist = g_hash_table_lookup (series->first_tokens, class);

  if (hist != NULL)
    return hist;
  if (!is_known_class (report, class))
    g_ptr_array_add (report->classes, talloc_strdup (report, class));
  hist = hist_new (series);
  g_hash_table_insert (series->first_tokens, g_strdup (class), hist);
  return hist;
}

static second_t *
get_or_add_second (series_t *series, double at_ms)
{
  guint at_s = (guint)CLAMP (at_ms / MS_PER_S, 0, MAX_PLOT_S);

  if (series->seconds->len <= at_s)
    g_array_set_size (series->seconds, at_s + 1);
  return &g_array_index (series->seconds, second_t, at_s);
}

static void
add_record (report_t *report, series_t *series, char **fields)
{
  const int *column_indices = series->column_indices;
  double first_ms = atof (fields[column_indices[COLUMN_FIRST_TOKEN_MS]]);
  double end_ms = atof (fields[column_indices[COLUMN_INTENDED_MS]])
                  + atof (fields[column_indices[COLUMN_END_MS]]);
  uint64_t prompt
      = strtoull (fields[column_indices[COLUMN_PROMPT_TOKENS]], NULL, 10);
  uint64_t tokens = strtoull (fields[column_indices[COLUMN_TOKENS]], NULL, 10);

  if (first_ms > 0)
    hist_add (get_or_add_first_token_hist (report, series,
                                           fields[column_indices[COLUMN_KIND]]),
              (uint64_t)(first_ms * US_PER_MS));
  if (strcmp (fields[column_indices[COLUMN_IN_TIME]], "1") == 0)
    get_or_add_second (series, end_ms)->tokens += prompt + tokens;
  if (strcmp (fields[column_indices[COLUMN_OUTCOME]], "refused") == 0)
    get_or_add_second (series, end_ms)->refused++;
}

static bool
add_records (report_t *report, series_t *series, char **lines, guint *bad_line)
{
  int last_index = 0;

  for (int column = 0; column < COLUMN_COUNT; column++)
    last_index = MAX (last_index, series->column_indices[column]);
  for (guint i = 1; lines[i] != NULL && lines[i][0] != '\0'; i++)
    {
      char **fields = g_strsplit (lines[i], "\t", -1);
      bool is_complete = (int)g_strv_length (fields) > last_index;

      if (is_complete)
        add_record (report, series, fields);
      g_strfreev (fields);
      if (!is_complete)
        {
          *bad_line = i + 1;
          return false;
        }
    }
  return true;
}

static series_t *
series_new (report_t *report, const char *label)
{
  series_t *series = talloc_zero (report, series_t);

  series->label = talloc_strdup (series, label);
  series->first_tokens
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  series->seconds = g_array_new (FALSE, TRUE, sizeof (second_t));
  talloc_set_destructor (series, series_destroy);
  return series;
}

bool
report_add (report_t *report,
            const char *label,
            const char *path,
            const char **why)
{
  series_t *series = series_new (report, label);
  GError *error = NULL;
  char *text = NULL;
  char **lines = NULL;
  guint bad_line = 1;
  bool is_read = false;

  if (!g_file_get_contents (path, &text, NULL, &error))
    {
      *why = talloc_strdup (report, error->message);
      goto out;
    }
  lines = g_strsplit (text, "\n", -1);
  is_read = lines[0] != NULL && find_columns (series, lines[0])
            && add_records (report, series, lines, &bad_line);
  if (!is_read)
    *why = talloc_asprintf (report, "%s:%u: expected a line of records", path,
                            bad_line);

out:
  if (is_read)
    g_ptr_array_add (report->series, series);
  else
    talloc_free (series);
  g_clear_error (&error);
  g_strfreev (lines);
  g_free (text);
  return is_read;
}

static double
percentile_ms (const series_t *series, const char *class, double percent)
{
  const hist_t *hist = g_hash_table_lookup (series->first_tokens, class);

  return hist != NULL ? (double)hist_percentile (hist, percent) / US_PER_MS : 0;
}

static void
write_first_token_times (const report_t *report, GString *out)
{
  g_string_append (out, "class");
  for (guint i = 0; i < report->series->len; i++)
    g_string_append_printf (
        out, "\t%s",
        ((series_t *)g_ptr_array_index (report->series, i))->label);
  for (guint k = 0; k < report->classes->len; k++)
    {
      const char *class = g_ptr_array_index (report->classes, k);

      g_string_append_printf (out, "\n%s", class);
      for (guint i = 0; i < report->series->len; i++)
        g_string_append_printf (
            out, "\t%.1f",
            percentile_ms (g_ptr_array_index (report->series, i), class, 95));
    }
  g_string_append_c (out, '\n');
}

static void
write_slowdown (const report_t *report, const series_t *series, GString *out)
{
  const char *class = g_ptr_array_index (report->classes, 0);
  double base_ms = percentile_ms (series, class, SLOWDOWN_BASE_PERCENTILE);

  for (int percent = 1; percent < 100 && base_ms > 0; percent++)
    g_string_append_printf (out, "%d\t%.3f\n", percent,
                            percentile_ms (series, class, percent) / base_ms);
}

static void
write_seconds (const series_t *series, GString *out)
{
  for (guint i = 0; i < series->seconds->len; i++)
    {
      const second_t *second = &g_array_index (series->seconds, second_t, i);

      g_string_append_printf (out, "%u\t%" PRIu64 "\t%" PRIu64 "\n", i,
                              second->tokens, second->refused);
    }
}

/* Writes one plot command that draws a line for each series. */
static void
write_plot (const report_t *report,
            const char *prefix,
            int column,
            GString *out)
{
  for (guint i = 0; i < report->series->len; i++)
    g_string_append_printf (
        out, "%s '%s-%u.dat' using 1:%d with lines title '%s'",
        i == 0 ? "plot" : ", \\\n    ", prefix, i, column,
        ((series_t *)g_ptr_array_index (report->series, i))->label);
  g_string_append_c (out, '\n');
}

static void
write_script (const report_t *report, GString *out)
{
  g_string_append_printf (
      out,
      "set terminal pngcairo size 1000,600\n"
      "set output 'first-token.png'\n"
      "set title 'Time to first token, p95, by class'\n"
      "set ylabel 'ms'\nset logscale y\nset style data histograms\n"
      "set style fill solid 0.7\nset key outside\n"
      "plot for [i=2:%u] 'first-token.dat' using i:xtic(1) "
      "title columnheader(i)\n",
      report->series->len + 1);
  g_string_append (out, "set output 'slowdown.png'\n"
                        "set title 'Slowdown of short requests'\n"
                        "set xlabel 'percentile'\n"
                        "set ylabel 'time to first token over its p10'\n");
  write_plot (report, "slowdown", 2, out);
  g_string_append (out, "unset logscale y\nset output 'goodput.png'\n"
                        "set multiplot layout 2,1\n"
                        "set title 'Tokens answered in time'\n"
                        "set xlabel 's'\nset ylabel 'tokens/s'\n");
  write_plot (report, "seconds", 2, out);
  g_string_append (out, "set title 'Refusals'\nset ylabel 'requests/s'\n");
  write_plot (report, "seconds", 3, out);
  g_string_append (out, "unset multiplot\n");
}

/* Writes @text to a file and clears it. */
static bool
write_file (report_t *report,
            const char *folder,
            const char *name,
            GString *text,
            const char **why)
{
  char *path = g_build_filename (folder, name, NULL);
  GError *error = NULL;
  bool is_written
      = g_file_set_contents (path, text->str, (gssize)text->len, &error);

  if (!is_written)
    *why = talloc_strdup (report, error->message);
  g_clear_error (&error);
  g_free (path);
  g_string_truncate (text, 0);
  return is_written;
}

static bool
write_series (report_t *report,
              guint index,
              const char *folder,
              GString *text,
              const char **why)
{
  const series_t *series = g_ptr_array_index (report->series, index);
  char name[64];

  write_slowdown (report, series, text);
  g_snprintf (name, sizeof name, "slowdown-%u.dat", index);
  if (!write_file (report, folder, name, text, why))
    return false;
  write_seconds (series, text);
  g_snprintf (name, sizeof name, "seconds-%u.dat", index);
  return write_file (report, folder, name, text, why);
}

bool
report_write (report_t *report, const char *folder, const char **why)
{
  GString *text = g_string_new (NULL);
  bool is_written = false;

  if (report->classes->len == 0)
    {
      *why = "no request has a first token";
      goto out;
    }
  write_first_token_times (report, text);
  if (!write_file (report, folder, "first-token.dat", text, why))
    goto out;
  for (guint i = 0; i < report->series->len; i++)
    if (!write_series (report, i, folder, text, why))
      goto out;
  write_script (report, text);
  is_written = write_file (report, folder, "report.gp", text, why);

out:
  g_string_free (text, TRUE);
  return is_written;
}
