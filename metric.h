/**
 * @file metric.h
 * Counters, gauges and histograms of this process, written in the Prometheus
 * text format.
 *
 * A metric family has a name and a help text; each label set in it is one
 * metric. The registry owns all metrics, and pointers to them stay valid as
 * long as it exists.
 */
#ifndef METRIC_H
#define METRIC_H

#include <stddef.h>
#include <stdint.h>

struct evbuffer;

typedef struct metrics metrics_t;
typedef struct metric metric_t;

/** Returns the current value of a gauge. */
typedef double (*metric_read_cb_t) (void *context);

/** Creates a registry, freed with @a parent (talloc). */
metrics_t *metrics_new (void *parent);

/**
 * Returns the counter with @a name and @a labels; creates it with value 0 when
 * there is none.
 * @param labels formatted label pairs (`reason="x",zone="y"`), or NULL
 */
metric_t *metrics_counter (metrics_t *metrics,
                           const char *name,
                           const char *help,
                           const char *labels);

/** Returns or creates a gauge whose value is set with metric_set(). */
metric_t *metrics_gauge (metrics_t *metrics,
                         const char *name,
                         const char *help,
                         const char *labels);

/** Returns or creates a gauge whose value is read with @a read when needed. */
metric_t *metrics_gauge_read (metrics_t *metrics,
                              const char *name,
                              const char *help,
                              const char *labels,
                              metric_read_cb_t read,
                              void *context);

/**
 * Returns or creates a histogram, which metric_observe() fills.
 * @param bounds inclusive upper bounds of the buckets, in ascending order; kept
 * by reference as long as the registry exists
 */
metric_t *metrics_histogram (metrics_t *metrics,
                             const char *name,
                             const char *help,
                             const char *labels,
                             const double *bounds,
                             size_t bound_count);

/** Adds @a amount to a counter. */
void metric_add (metric_t *metric, uint64_t amount);

/** Sets the value of a gauge. */
void metric_set (metric_t *metric, double value);

/** Returns the current value; of a histogram, the sum of its values. */
double metric_value (const metric_t *metric);

/** Adds a value to a histogram. */
void metric_observe (metric_t *metric, double value);

/** Appends all metrics to @a out in the Prometheus text format. */
void metrics_write (const metrics_t *metrics, struct evbuffer *out);

/** Returns the processor time that this process has used, in seconds. */
double process_cpu_seconds (void);

/** Returns the resident memory of this process, in bytes; 0 if unknown. */
double process_resident_bytes (void);

/** Adds gauges of this process: CPU seconds, resident bytes, start time. */
void metrics_add_process (metrics_t *metrics);

#endif
