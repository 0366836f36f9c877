#include "upstream-limit.h"

#include <math.h>

/** Credit that is kept for requests that come in groups. */
#define MAX_CREDIT_REQUESTS 1.0
#define MAX_CREDIT_S        0.25
/** Requests that were sent before the limit was known are not held against it
 * for longer than this many take. */
#define MAX_DEBT_REQUESTS 3.0
#define MAX_WAIT_MS       60000.0

static double
credit_at (const upstream_limit_t *limit, uint64_t now_ms)
{
  double most = fmax (MAX_CREDIT_REQUESTS, limit->rate_s * MAX_CREDIT_S);
  double passed_s = now_ms > limit->credited_ms
                        ? (double)(now_ms - limit->credited_ms) / 1000.0
                        : 0;

  return fmin (limit->credit + passed_s * limit->rate_s, most);
}

bool
upstream_limit_set (upstream_limit_t *limit,
                    double rate_s,
                    uint64_t stated_ms,
                    uint64_t now_ms)
{
  double old_rate_s = limit->rate_s;

  if (stated_ms < limit->stated_ms)
    return false;
  limit->credit = old_rate_s > 0 ? credit_at (limit, now_ms) : 0;
  limit->credited_ms = now_ms;
  limit->rate_s = rate_s;
  limit->stated_ms = stated_ms;
  return (float)rate_s != (float)old_rate_s;
}

bool
upstream_limit_holds (const upstream_limit_t *limit)
{
  return limit->rate_s > 0;
}

uint32_t
upstream_limit_wait_ms (const upstream_limit_t *limit, uint64_t now_ms)
{
  double missing;

  if (!upstream_limit_holds (limit))
    return 0;
  missing = 1 - credit_at (limit, now_ms);
  return missing <= 0 ? 0
                      : (uint32_t)ceil (
                          fmin (missing / limit->rate_s * 1000, MAX_WAIT_MS));
}

void
upstream_limit_spend (upstream_limit_t *limit, uint64_t now_ms)
{
  if (!upstream_limit_holds (limit))
    return;
  limit->credit = fmax (credit_at (limit, now_ms) - 1, -MAX_DEBT_REQUESTS);
  limit->credited_ms = now_ms;
}
