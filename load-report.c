/* Totals of lwm-load, and their output as a table or as metric lines. */
#include <glib.h>
#include <inttypes.h>
#include <talloc.h>

#include "hist.h"
#include "load-record.h"

/* Totals of one class of prompts or one kind of call. */
typedef struct
{
  const char *name;
  const void *key; /* the class or call in the scenario */
  uint64_t outcomes[LOAD_OUTCOME_COUNT];
  uint64_t in_time;
  uint64_t in_time_tokens; /* tokens of prompts and answers in time */
  uint64_t overdue;        /* complete, correct answers after the deadline */
  hist_t *first_token_us;
  hist_t *gap_us;
  hist_t *refusal_us;
  hist_t *end_us;
} group_t;

struct load_report
{
  group_t *groups;
  guint group_count;
  GHashTable *reasons;   /* name to count */
  GHashTable *customers; /* name to tokens in time */
  uint64_t last_us;
};

static int
report_destroy (load_report_t *report)
{
  g_hash_table_destroy (report->reasons);
  g_hash_table_destroy (report->customers);
  return 0;
}

static void
add_group (load_report_t *report, const char *name, const void *key)
{
  group_t *group = &report->groups[report->group_count++];

  group->name = name;
  group->key = key;
  group->first_token_us = hist_new (report);
  group->gap_us = hist_new (report);
  group->refusal_us = hist_new (report);
  group->end_us = hist_new (report);
}

load_report_t *
load_report_new (void *parent, const Lwm__Scenario *scenario)
{
  load_report_t *report = talloc_zero (parent, load_report_t);

  report->groups = talloc_zero_array (report, group_t,
                                      scenario->n_classes + scenario->n_calls);
  for (size_t i = 0; i < scenario->n_classes; i++)
    add_group (report, scenario->classes[i]->name, scenario->classes[i]);
  for (size_t i = 0; i < scenario->n_calls; i++)
    add_group (report, scenario->calls[i]->name, scenario->calls[i]);
  report->reasons
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  report->customers
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  talloc_set_destructor (report, report_destroy);
  return report;
}

static group_t *
find_group (load_report_t *report, const load_request_t *request)
{
  const void *key = request->class_ != NULL ? (const void *)request->class_
                                            : (const void *)request->call;
  guint i = 0;

  while (report->groups[i].key != key)
    i++;
  return &report->groups[i];
}

static void
add_count (GHashTable *table, const char *name, uint64_t amount)
{
  uint64_t *value = g_hash_table_lookup (table, name);

  if (value == NULL)
    {
      value = g_new0 (uint64_t, 1);
      g_hash_table_insert (table, g_strdup (name), value);
    }
  *value += amount;
}

static void
count_in_time_request (load_report_t *report,
                       group_t *group,
                       const load_record_t *record)
{
  uint64_t tokens = (uint64_t)record->request.prompt_tokens + record->tokens;

  group->in_time++;
  group->in_time_tokens += tokens;
  add_count (report->customers, record->request.customer, tokens);
}

void
load_report_add (load_report_t *report, const load_record_t *record)
{
  group_t *group = find_group (report, &record->request);

  group->outcomes[record->outcome]++;
  report->last_us
      = MAX (report->last_us, record->request.at_us + record->end_us);
  if (record->outcome == LOAD_REFUSED)
    hist_add (group->refusal_us, record->end_us);
  if (record->outcome == LOAD_OK)
    hist_add (group->end_us, record->end_us);
  if (record->first_token_us > 0)
    hist_add (group->first_token_us, record->first_token_us);
  if (record->reason[0] != '\0')
    add_count (report->reasons, record->reason, 1);
  if (load_record_in_time (record))
    count_in_time_request (report, group, record);
  else if (record->outcome == LOAD_OK)
    group->overdue++;
}

void
load_report_add_gap (load_report_t *report,
                     const load_request_t *request,
                     uint64_t gap_us)
{
  hist_add (find_group (report, request)->gap_us, gap_us);
}

uint64_t
load_report_count (const load_report_t *report, load_outcome_t outcome)
{
  uint64_t total = 0;

  for (guint i = 0; i < report->group_count; i++)
    total += report->groups[i].outcomes[outcome];
  return total;
}

static uint64_t
total_requests (const group_t *group)
{
  uint64_t total = 0;

  for (int i = 0; i < LOAD_OUTCOME_COUNT; i++)
    total += group->outcomes[i];
  return total;
}

static double
percentile_ms (const hist_t *hist, double percent)
{
  return (double)hist_percentile (hist, percent) / 1000;
}

static double
in_time_percent (const group_t *group)
{
  uint64_t total = total_requests (group);

  return total > 0 ? 100.0 * (double)group->in_time / (double)total : 100;
}

static void
write_table_row (const group_t *group, FILE *out)
{
  const uint64_t *outcome = group->outcomes;
  /* A call has no tokens: its row shows the time to the end of the answer
   * instead of the time to the first token. */
  const hist_t *time = hist_count (group->first_token_us) > 0
                           ? group->first_token_us
                           : group->end_us;

  fprintf (out, "%-14s %7" PRIu64 " %8.0f %8.0f %8.0f %7.0f %7.1f%%",
           group->name, total_requests (group), percentile_ms (time, 50),
           percentile_ms (time, 95), percentile_ms (time, 99),
           percentile_ms (group->gap_us, 95), in_time_percent (group));
  fprintf (out, " %8" PRIu64 " %7" PRIu64 " %5" PRIu64 " %5" PRIu64 "\n",
           outcome[LOAD_REFUSED], outcome[LOAD_FAILED], outcome[LOAD_LOST],
           outcome[LOAD_WRONG]);
}

static GList *
sorted_names (GHashTable *table)
{
  return g_list_sort (g_hash_table_get_keys (table), (GCompareFunc)g_strcmp0);
}

static uint64_t
get_count (GHashTable *table, const char *name)
{
  return *(uint64_t *)g_hash_table_lookup (table, name);
}

void
load_report_write_table (const load_report_t *report, FILE *out)
{
  GList *names = sorted_names (report->reasons);

  fprintf (out, "%-14s %7s %8s %8s %8s %7s %8s %8s %7s %5s %5s\n", "class",
           "sent", "p50 ms", "p95 ms", "p99 ms", "gap p95", "in time",
           "refused", "failed", "lost", "wrong");
  for (guint i = 0; i < report->group_count; i++)
    write_table_row (&report->groups[i], out);
  for (GList *node = names; node != NULL; node = node->next)
    fprintf (out, "reason %-24s %7" PRIu64 "\n", (const char *)node->data,
             get_count (report->reasons, node->data));
  g_list_free (names);
}

static void
write_metric (FILE *out,
              const char *prefix,
              const char *group,
              const char *metric,
              double value)
{
  fprintf (out, "%smetric=%s.%s value=%.3f\n", prefix, group, metric, value);
}

static void
write_group_metrics (const group_t *group, const char *prefix, FILE *out)
{
  const char *name = group->name;

  write_metric (out, prefix, name, "sent", (double)total_requests (group));
  for (int i = 0; i < LOAD_OUTCOME_COUNT; i++)
    {
      static const char *const names[LOAD_OUTCOME_COUNT]
          = { "ok", "refused", "failed", "lost", "wrong" };

      write_metric (out, prefix, name, names[i], (double)group->outcomes[i]);
    }
  write_metric (out, prefix, name, "overdue", (double)group->overdue);
  write_metric (out, prefix, name, "in_time_percent", in_time_percent (group));
  write_metric (out, prefix, name, "first_token_p50_ms",
                percentile_ms (group->first_token_us, 50));
  write_metric (out, prefix, name, "first_token_p95_ms",
                percentile_ms (group->first_token_us, 95));
  write_metric (out, prefix, name, "first_token_p99_ms",
                percentile_ms (group->first_token_us, 99));
  write_metric (out, prefix, name, "gap_p95_ms",
                percentile_ms (group->gap_us, 95));
  write_metric (out, prefix, name, "end_p95_ms",
                percentile_ms (group->end_us, 95));
  write_metric (out, prefix, name, "refusal_p99_ms",
                percentile_ms (group->refusal_us, 99));
}

/* Writes the totals over all classes of prompts; calls to plain services have
 * no tokens and add nothing. */
static void
write_total_metrics (const load_report_t *report, const char *prefix, FILE *out)
{
  hist_t *gaps = hist_new (NULL);
  double seconds = (double)report->last_us / 1000000;
  uint64_t tokens = 0;

  for (guint i = 0; i < report->group_count; i++)
    {
      hist_merge (gaps, report->groups[i].gap_us);
      tokens += report->groups[i].in_time_tokens;
    }
  write_metric (out, prefix, "all", "gap_p95_ms", percentile_ms (gaps, 95));
  write_metric (out, prefix, "all", "goodput_tokens_s",
                seconds > 0 ? (double)tokens / seconds : 0);
  talloc_free (gaps);
}

void
load_report_write_metrics (const load_report_t *report,
                           const char *prefix,
                           FILE *out)
{
  GList *names = sorted_names (report->reasons);
  GList *customers = sorted_names (report->customers);

  for (guint i = 0; i < report->group_count; i++)
    write_group_metrics (&report->groups[i], prefix, out);
  write_total_metrics (report, prefix, out);
  for (GList *node = names; node != NULL; node = node->next)
    write_metric (out, prefix, "reason", node->data,
                  (double)get_count (report->reasons, node->data));
  for (GList *node = customers; node != NULL; node = node->next)
    write_metric (out, prefix, "customer_tokens", node->data,
                  (double)get_count (report->customers, node->data));
  g_list_free (names);
  g_list_free (customers);
}
