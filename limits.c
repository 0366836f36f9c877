#include "limits.h"

#include <glib.h>
#include <talloc.h>

#define MS_PER_S 1000.0

typedef struct
{
  double per_s; /* refill rate and capacity; 0 for no limit */
  double level; /* amount left; negative after a cost above per_s */
} bucket_t;

typedef struct
{
  bucket_t tokens;
  bucket_t requests;
  uint64_t refilled_at_ms;
} limit_t;

struct limits
{
  GHashTable *by_customer; /* name to limit_t */
};

static int
limits_destroy (limits_t *limits)
{
  g_hash_table_destroy (limits->by_customer);
  return 0;
}

limits_t *
limits_new (void *parent)
{
  limits_t *limits = talloc_zero (parent, limits_t);

  limits->by_customer
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  talloc_set_destructor (limits, limits_destroy);
  return limits;
}

/* The used part is kept, so that a change of the rate does not refill the
 * bucket. */
static void
bucket_set_rate (bucket_t *bucket, double per_s)
{
  double used = bucket->per_s - bucket->level;

  if (bucket->per_s == per_s)
    return;
  bucket->level = bucket->per_s > 0 ? per_s - used : per_s;
  bucket->per_s = per_s;
}

void
limits_put (limits_t *limits,
            const char *customer,
            uint64_t tokens_per_s,
            uint32_t requests_per_s)
{
  limit_t *limit = g_hash_table_lookup (limits->by_customer, customer);

  if (limit == NULL)
    {
      limit = g_new0 (limit_t, 1);
      g_hash_table_insert (limits->by_customer, g_strdup (customer), limit);
    }
  bucket_set_rate (&limit->tokens, (double)tokens_per_s);
  bucket_set_rate (&limit->requests, requests_per_s);
}

static void
bucket_refill (bucket_t *bucket, uint64_t elapsed_ms)
{
  double filled = bucket->level + bucket->per_s * (double)elapsed_ms / MS_PER_S;

  bucket->level = MIN (filled, bucket->per_s);
}

/* Returns the time until the bucket allows @cost, in ms; 0 when it allows it
 * now. */
static double
bucket_wait_ms (const bucket_t *bucket, double cost)
{
  double needed = MIN (cost, bucket->per_s);

  if (bucket->per_s == 0 || bucket->level >= needed)
    return 0;
  return (needed - bucket->level) * MS_PER_S / bucket->per_s;
}

bool
limits_take (limits_t *limits,
             const char *customer,
             uint64_t tokens,
             uint64_t now_ms,
             uint32_t *retry_after_ms)
{
  limit_t *limit = g_hash_table_lookup (limits->by_customer, customer);
  uint64_t elapsed_ms;
  double longest_ms;

  if (limit == NULL)
    return true;
  elapsed_ms
      = now_ms > limit->refilled_at_ms ? now_ms - limit->refilled_at_ms : 0;
  bucket_refill (&limit->tokens, elapsed_ms);
  bucket_refill (&limit->requests, elapsed_ms);
  limit->refilled_at_ms = MAX (now_ms, limit->refilled_at_ms);
  longest_ms = MAX (bucket_wait_ms (&limit->tokens, (double)tokens),
                    bucket_wait_ms (&limit->requests, 1));
  if (longest_ms > 0)
    {
      *retry_after_ms = (uint32_t)MIN (longest_ms + 1, (double)UINT32_MAX);
      return false;
    }
  limit->tokens.level -= limit->tokens.per_s > 0 ? (double)tokens : 0;
  limit->requests.level -= limit->requests.per_s > 0 ? 1 : 0;
  return true;
}

static void
bucket_refund (bucket_t *bucket, double amount)
{
  if (bucket->per_s > 0)
    bucket->level = MIN (bucket->level + amount, bucket->per_s);
}

void
limits_refund (limits_t *limits,
               const char *customer,
               uint64_t tokens,
               uint32_t requests)
{
  limit_t *limit = g_hash_table_lookup (limits->by_customer, customer);

  if (limit == NULL)
    return;
  bucket_refund (&limit->tokens, (double)tokens);
  bucket_refund (&limit->requests, requests);
}
