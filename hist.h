/**
 * @file hist.h
 * Histograms of unsigned integers with log-linear buckets.
 *
 * Each power of two is divided into HIST_SUB_BUCKETS equal buckets, so the
 * relative error of a value is at most 1/HIST_SUB_BUCKETS (as in HdrHistogram).
 * Values below HIST_SUB_BUCKETS are exact. The size is fixed, and two
 * histograms are merged by adding their counts.
 */
#ifndef HIST_H
#define HIST_H

#include <stdint.h>

/** Number of buckets for each power of two. */
#define HIST_SUB_BUCKETS 64

typedef struct hist hist_t;

/** Creates an empty histogram, freed with @a parent (talloc). */
hist_t *hist_new (void *parent);

/** Counts @a value once. */
void hist_add (hist_t *hist, uint64_t value);

/** Adds all values of @a from to @a hist. */
void hist_merge (hist_t *hist, const hist_t *from);

/** Returns the number of values added. */
uint64_t hist_count (const hist_t *hist);

/**
 * Returns the smallest value such that at least @a percent of the values are
 * less than or equal to it. The result is rounded up to the end of its bucket,
 * but not beyond the largest value; it is 0 for an empty histogram.
 */
uint64_t hist_percentile (const hist_t *hist, double percent);

/** Returns the largest value added, exactly; 0 for an empty histogram. */
uint64_t hist_max (const hist_t *hist);

#endif
