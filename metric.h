/**
 * @file metric.h
 * Counters, gauges and histograms of our own, in the Prometheus text format.
 *
 * A metric family has a name and a help line; each label set in it is one
 * value. Pointers stay valid as long as the registry does.
 */
#ifndef METRIC_H
#define METRIC_H

#include <stddef.h>
#include <stdint.h>

struct evbuffer;

typedef struct metrics metrics_t;
typedef struct metric metric_t;

/** Reads the present value of a gauge. */
typedef double (*metric_read_cb_t) (void *context);

/** A new registry, freed with @a parent (talloc). */
metrics_t *metrics_new (void *parent);

/**
 * The counter with @a name and @a labels, created at 0 when new.
 * @param labels preformatted label pairs (`reason="x",zone="y"`), or NULL
 */
metric_t *metrics_counter (metrics_t *metrics,
                           const char *name,
                           const char *help,
                           const char *labels);

/** A gauge whose value is set with metric_set(). */
metric_t *metrics_gauge (metrics_t *metrics,
                         const char *name,
                         const char *help,
                         const char *labels);

/** A gauge read through @a read whenever metrics are written. */
metric_t *metrics_gauge_read (metrics_t *metrics,
                              const char *name,
                              const char *help,
                              const char *labels,
                              metric_read_cb_t read,
                              void *context);

/**
 * A histogram of values that metric_observe() is given.
 * @param bounds upper ends of its buckets, rising; must outlive the registry
 */
metric_t *metrics_histogram (metrics_t *metrics,
                             const char *name,
                             const char *help,
                             const char *labels,
                             const double *bounds,
                             size_t bound_count);

void metric_add (metric_t *metric, uint64_t amount);
void metric_set (metric_t *metric, double value);
double metric_value (const metric_t *metric);

/** Counts a value in a histogram. */
void metric_observe (metric_t *metric, double value);

/** Appends all metrics to @a out in the Prometheus text format. */
void metrics_write (const metrics_t *metrics, struct evbuffer *out);

/** Registers CPU seconds, resident bytes and start time of this process. */
void metrics_add_process (metrics_t *metrics);

#endif
