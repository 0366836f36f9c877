#include "metric.h"

#include <event2/buffer.h>
#include <glib.h>
#include <stdio.h>
#include <string.h>
#include <sys/resource.h>
#include <talloc.h>
#include <unistd.h>

#include "base.h"

struct metric
{
  char *labels;
  double value; /* of a histogram, the sum of its values */
  metric_read_cb_t read;
  void *context;
  /* Only set in a histogram, else NULL and 0. */
  const double *bounds;
  uint64_t *counts; /* values per bucket, then those above the last bound */
  size_t bound_count;
};

typedef struct
{
  char *name;
  char *help;
  const char *type;
  GPtrArray *members; /* metric_t, one per label set; owned by the family */
} family_t;

struct metrics
{
  GPtrArray *families; /* family_t, owned by the registry */
};

static int
free_metrics (metrics_t *metrics)
{
  for (guint i = 0; i < metrics->families->len; i++)
    {
      family_t *family = g_ptr_array_index (metrics->families, i);

      g_ptr_array_free (family->members, TRUE);
    }
  g_ptr_array_free (metrics->families, TRUE);
  return 0;
}

metrics_t *
metrics_new (void *parent)
{
  metrics_t *metrics = talloc_zero (parent, metrics_t);

  metrics->families = g_ptr_array_new ();
  talloc_set_destructor (metrics, free_metrics);
  return metrics;
}

static family_t *
get_or_add_family (metrics_t *metrics,
                   const char *name,
                   const char *help,
                   const char *type)
{
  family_t *family;

  for (guint i = 0; i < metrics->families->len; i++)
    {
      family = g_ptr_array_index (metrics->families, i);
      if (strcmp (family->name, name) == 0)
        return family;
    }
  family = talloc_zero (metrics, family_t);
  family->name = talloc_strdup (family, name);
  family->help = talloc_strdup (family, help);
  family->type = type;
  family->members = g_ptr_array_new ();
  g_ptr_array_add (metrics->families, family);
  return family;
}

static metric_t *
get_or_add_member (family_t *family, const char *labels)
{
  metric_t *metric;

  for (guint i = 0; i < family->members->len; i++)
    {
      metric = g_ptr_array_index (family->members, i);
      if (g_strcmp0 (metric->labels, labels) == 0)
        return metric;
    }
  metric = talloc_zero (family, metric_t);
  if (labels != NULL)
    metric->labels = talloc_strdup (metric, labels);
  g_ptr_array_add (family->members, metric);
  return metric;
}

metric_t *
metrics_counter (metrics_t *metrics,
                 const char *name,
                 const char *help,
                 const char *labels)
{
  return get_or_add_member (get_or_add_family (metrics, name, help, "counter"),
                            labels);
}

metric_t *
metrics_gauge (metrics_t *metrics,
               const char *name,
               const char *help,
               const char *labels)
{
  return get_or_add_member (get_or_add_family (metrics, name, help, "gauge"),
                            labels);
}

metric_t *
metrics_gauge_read (metrics_t *metrics,
                    const char *name,
                    const char *help,
                    const char *labels,
                    metric_read_cb_t read,
                    void *context)
{
  metric_t *metric = metrics_gauge (metrics, name, help, labels);

  metric->read = read;
  metric->context = context;
  return metric;
}

metric_t *
metrics_histogram (metrics_t *metrics,
                   const char *name,
                   const char *help,
                   const char *labels,
                   const double *bounds,
                   size_t bound_count)
{
  metric_t *metric = get_or_add_member (
      get_or_add_family (metrics, name, help, "histogram"), labels);

  if (metric->bounds != NULL)
    return metric;
  metric->bounds = bounds;
  metric->bound_count = bound_count;
  metric->counts = talloc_zero_array (metric, uint64_t, bound_count + 1);
  return metric;
}

void
metric_observe (metric_t *metric, double value)
{
  size_t bucket = 0;

  while (bucket < metric->bound_count && value > metric->bounds[bucket])
    bucket++;
  metric->counts[bucket]++;
  metric->value += value;
}

void
metric_add (metric_t *metric, uint64_t amount)
{
  metric->value += (double)amount;
}

void
metric_set (metric_t *metric, double value)
{
  metric->value = value;
}

double
metric_value (const metric_t *metric)
{
  return metric->read != NULL ? metric->read (metric->context) : metric->value;
}

/** Writes cumulative bucket counts, as the text format requires. */
static void
write_histogram (const char *name, const metric_t *metric, struct evbuffer *out)
{
  const char *labels = metric->labels != NULL ? metric->labels : "";
  const char *comma = metric->labels != NULL ? "," : "";
  uint64_t count = 0;

  for (size_t i = 0; i < metric->bound_count; i++)
    {
      count += metric->counts[i];
      evbuffer_add_printf (out, "%s_bucket{%s%sle=\"%g\"} %ju\n", name, labels,
                           comma, metric->bounds[i], (uintmax_t)count);
    }
  count += metric->counts[metric->bound_count];
  evbuffer_add_printf (out, "%s_bucket{%s%sle=\"+Inf\"} %ju\n", name, labels,
                       comma, (uintmax_t)count);
  evbuffer_add_printf (out, "%s_sum{%s} %.17g\n%s_count{%s} %ju\n", name,
                       labels, metric->value, name, labels, (uintmax_t)count);
}

static void
write_family (const family_t *family, struct evbuffer *out)
{
  evbuffer_add_printf (out, "# HELP %s %s\n# TYPE %s %s\n", family->name,
                       family->help, family->name, family->type);
  for (guint i = 0; i < family->members->len; i++)
    {
      const metric_t *metric = g_ptr_array_index (family->members, i);

      if (metric->bounds != NULL)
        write_histogram (family->name, metric, out);
      else if (metric->labels != NULL)
        evbuffer_add_printf (out, "%s{%s} %.17g\n", family->name,
                             metric->labels, metric_value (metric));
      else
        evbuffer_add_printf (out, "%s %.17g\n", family->name,
                             metric_value (metric));
    }
}

void
metrics_write (const metrics_t *metrics, struct evbuffer *out)
{
  for (guint i = 0; i < metrics->families->len; i++)
    write_family (g_ptr_array_index (metrics->families, i), out);
}

double
process_cpu_seconds (void)
{
  struct rusage usage;

  getrusage (RUSAGE_SELF, &usage);
  return (double)(usage.ru_utime.tv_sec + usage.ru_stime.tv_sec)
         + (double)(usage.ru_utime.tv_usec + usage.ru_stime.tv_usec) / 1e6;
}

double
process_resident_bytes (void)
{
  unsigned long size = 0;
  unsigned long resident = 0;
  FILE *statm = fopen ("/proc/self/statm", "r");

  if (statm == NULL)
    return 0;
  if (fscanf (statm, "%lu %lu", &size, &resident) != 2)
    resident = 0;
  fclose (statm);
  return (double)resident * (double)sysconf (_SC_PAGESIZE);
}

static double
read_cpu_seconds (void *context)
{
  return process_cpu_seconds ();
}

static double
read_resident_bytes (void *context)
{
  return process_resident_bytes ();
}

void
metrics_add_process (metrics_t *metrics)
{
  metrics_gauge_read (metrics, "process_cpu_seconds_total",
                      "processor time used, seconds", NULL, read_cpu_seconds,
                      NULL);
  metrics_gauge_read (metrics, "process_resident_memory_bytes",
                      "resident memory, bytes", NULL, read_resident_bytes,
                      NULL);
  metric_set (metrics_gauge (metrics, "process_start_time_seconds",
                             "start time, seconds since the epoch", NULL),
              (double)clock_wall_ms () / 1000);
}
