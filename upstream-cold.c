#include "upstream-cold.h"

#include <glib.h>
#include <math.h>
#include <stdlib.h>
#include <talloc.h>

#define WINDOW_MS 1000
/** Share of the bound that one placer grants when it sees requests of no other
 * decider, and when it does. */
#define COUNTED_SHARE   0.9
#define CONTENDED_SHARE 0.625
/** Least time between two requests that a placer grants. Two placers learn of
 * each other's requests late and exceed the count by those sent meanwhile. */
#define SPACING_MS 20
/** Of the bound; covers requests that travel for different times. */
#define RESERVED_REQUESTS 1

upstream_cold_rate_t
upstream_cold_make_rate (double requests_s,
                         double duration_s,
                         double excess,
                         double slack)
{
  double bound = floor (requests_s * excess + slack);

  if (requests_s <= 0 || duration_s <= 0 || excess <= 0 || bound < 1)
    return (upstream_cold_rate_t){ 0 };
  return (upstream_cold_rate_t){
    .requests_s = (uint32_t)fmin (bound, UPSTREAM_COLD_MAX_REQUESTS),
    .duration_ms = (uint32_t)fmin (duration_s * 1000, UINT32_MAX)
  };
}

uint32_t
upstream_cold_counted_s (const upstream_cold_rate_t *rate)
{
  return (uint32_t)ceil (COUNTED_SHARE * rate->requests_s);
}

uint32_t
upstream_cold_holders (const upstream_cold_rate_t *rate)
{
  uint32_t rest = rate->requests_s - upstream_cold_counted_s (rate);

  return rest > RESERVED_REQUESTS ? rest - RESERVED_REQUESTS : 0;
}

void
upstream_cold_set_rate (void *parent,
                        upstream_cold_t *cold,
                        const upstream_cold_rate_t *rate)
{
  cold->rate = *rate;
  if (rate->requests_s > 0 && cold->requests == NULL)
    cold->requests = talloc_zero_array (parent, upstream_cold_request_t,
                                        UPSTREAM_COLD_MAX_REQUESTS);
}

bool
upstream_cold_begin (upstream_cold_t *cold, uint64_t until_ms, uint64_t now_ms)
{
  bool was_cold = cold->until_ms > now_ms;

  cold->until_ms = MAX (cold->until_ms, until_ms);
  return !was_cold && cold->until_ms > now_ms;
}

bool
upstream_cold_holds (const upstream_cold_t *cold, uint64_t now_ms)
{
  return cold->rate.requests_s > 0 && cold->until_ms > now_ms;
}

void
upstream_cold_count (upstream_cold_t *cold,
                     uint64_t job,
                     uint64_t sent_ms,
                     bool is_own)
{
  if (cold->rate.requests_s == 0)
    return;
  for (uint32_t i = 0; i < UPSTREAM_COLD_MAX_REQUESTS; i++)
    if (cold->requests[i].job == job && cold->requests[i].sent_ms != 0)
      return;
  cold->requests[cold->next] = (upstream_cold_request_t){ .job = job,
                                                          .sent_ms = sent_ms,
                                                          .is_own = is_own };
  cold->next = (cold->next + 1) % UPSTREAM_COLD_MAX_REQUESTS;
}

static bool
is_in_window (const upstream_cold_request_t *request, uint64_t now_ms)
{
  return request->sent_ms != 0 && request->sent_ms + WINDOW_MS >= now_ms;
}

static gint
compare_times (gconstpointer a, gconstpointer b)
{
  uint64_t one = *(const uint64_t *)a;
  uint64_t other = *(const uint64_t *)b;

  return (one > other) - (one < other);
}

/** Returns the time until a placer that counts all requests may grant one. */
static uint32_t
counting_wait_ms (const upstream_cold_t *cold, uint64_t now_ms)
{
  uint64_t sent_ms[UPSTREAM_COLD_MAX_REQUESTS];
  uint64_t next_ms = now_ms;
  uint32_t most = upstream_cold_counted_s (&cold->rate);
  bool is_contended = false;
  uint32_t count = 0;

  for (uint32_t i = 0; i < UPSTREAM_COLD_MAX_REQUESTS; i++)
    {
      const upstream_cold_request_t *request = &cold->requests[i];

      if (!is_in_window (request, now_ms))
        continue;
      sent_ms[count++] = request->sent_ms;
      if (request->is_own)
        next_ms = MAX (next_ms, request->sent_ms + SPACING_MS);
      else
        is_contended = true;
    }
  if (is_contended)
    most = (uint32_t)(CONTENDED_SHARE * cold->rate.requests_s);
  if (most == 0)
    return (uint32_t)(cold->until_ms - now_ms);
  if (count >= most)
    {
      qsort (sent_ms, count, sizeof *sent_ms, compare_times);
      next_ms = MAX (next_ms, sent_ms[count - most] + WINDOW_MS + 1);
    }
  return (uint32_t)(next_ms - now_ms);
}

/** Returns the time until the holder of a single request may send it. */
static uint32_t
holder_wait_ms (const upstream_cold_t *cold, uint64_t now_ms)
{
  uint64_t next_ms = now_ms;

  for (uint32_t i = 0; i < UPSTREAM_COLD_MAX_REQUESTS; i++)
    {
      const upstream_cold_request_t *request = &cold->requests[i];

      if (request->is_own && is_in_window (request, now_ms))
        next_ms = MAX (next_ms, request->sent_ms + WINDOW_MS + 1);
    }
  return (uint32_t)(next_ms - now_ms);
}

uint32_t
upstream_cold_wait_ms (const upstream_cold_t *cold,
                       const upstream_cold_share_t *share,
                       uint64_t now_ms)
{
  if (!upstream_cold_holds (cold, now_ms))
    return 0;
  if (share->is_counting)
    return counting_wait_ms (cold, now_ms);
  if (share->rank < upstream_cold_holders (&cold->rate))
    return holder_wait_ms (cold, now_ms);
  return (uint32_t)(cold->until_ms - now_ms);
}
