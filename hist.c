#include "hist.h"

#include <glib.h>
#include <math.h>
#include <talloc.h>

#define SUB_BUCKET_BITS 6 /* log2 of HIST_SUB_BUCKETS */
#define VALUE_BITS      64
#define BUCKET_COUNT    ((VALUE_BITS - SUB_BUCKET_BITS + 1) * HIST_SUB_BUCKETS)

G_STATIC_ASSERT (HIST_SUB_BUCKETS == 1 << SUB_BUCKET_BITS);

struct hist
{
  uint64_t count;
  uint64_t max;
  uint64_t buckets[BUCKET_COUNT];
};

hist_t *
hist_new (void *parent)
{
  return talloc_zero (parent, hist_t);
}

/* Returns the bucket of a value, given by its highest set bit and the
 * SUB_BUCKET_BITS bits below it. */
static guint
bucket_index (uint64_t value)
{
  guint shift;

  if (value < HIST_SUB_BUCKETS)
    return (guint)value;
  shift = VALUE_BITS - 1 - SUB_BUCKET_BITS - (guint)__builtin_clzll (value);
  return (shift + 1) * HIST_SUB_BUCKETS
         + (guint)((value >> shift) - HIST_SUB_BUCKETS);
}

static uint64_t
bucket_max_value (guint bucket)
{
  guint shift;
  uint64_t top;

  if (bucket < HIST_SUB_BUCKETS)
    return bucket;
  shift = bucket / HIST_SUB_BUCKETS - 1;
  top = HIST_SUB_BUCKETS + bucket % HIST_SUB_BUCKETS;
  return (top << shift) + ((UINT64_C (1) << shift) - 1);
}

void
hist_add (hist_t *hist, uint64_t value)
{
  hist->count++;
  hist->max = MAX (hist->max, value);
  hist->buckets[bucket_index (value)]++;
}

void
hist_merge (hist_t *hist, const hist_t *from)
{
  hist->count += from->count;
  hist->max = MAX (hist->max, from->max);
  for (guint i = 0; i < BUCKET_COUNT; i++)
    hist->buckets[i] += from->buckets[i];
}

uint64_t
hist_count (const hist_t *hist)
{
  return hist->count;
}

uint64_t
hist_percentile (const hist_t *hist, double percent)
{
  uint64_t rank = (uint64_t)ceil ((double)hist->count * percent / 100);
  uint64_t seen = 0;

  if (hist->count == 0)
    return 0;
  rank = CLAMP (rank, 1, hist->count);
  for (guint i = 0; i < BUCKET_COUNT; i++)
    {
      seen += hist->buckets[i];
      if (seen >= rank)
        return MIN (bucket_max_value (i), hist->max);
    }
  return hist->max;
}

uint64_t
hist_max (const hist_t *hist)
{
  return hist->max;
}
