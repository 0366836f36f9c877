#include "cache-events.h"

#include <glib.h>
#include <talloc.h>

struct cache_events
{
  cache_events_options_t options;
  GRand *random;
  cache_event_t *ring;
  uint64_t first; /* index of the oldest kept event */
  uint64_t count; /* events ever stored in the ring */
  uint64_t seq;   /* sequence number of the next event */
};

static int
free_events (cache_events_t *events)
{
  g_rand_free (events->random);
  return 0;
}

cache_events_t *
cache_events_new (void *parent, const cache_events_options_t *options)
{
  cache_events_t *events = talloc_zero (parent, cache_events_t);

  events->options = *options;
  events->random = g_rand_new_with_seed ((guint32)options->seed);
  events->ring = talloc_array (events, cache_event_t, CACHE_EVENTS_MAX_KEPT);
  talloc_set_destructor (events, free_events);
  return events;
}

void
cache_events_add (cache_events_t *events, const cache_event_t *event)
{
  uint64_t seq = events->seq++;
  cache_event_t *kept;

  if (g_rand_double (events->random) * 100 < events->options.loss_percent)
    return;
  kept = &events->ring[events->count++ % CACHE_EVENTS_MAX_KEPT];
  *kept = *event;
  kept->seq = seq;
  if (events->count - events->first > CACHE_EVENTS_MAX_KEPT)
    events->first++;
}

uint64_t
cache_events_visit_since (const cache_events_t *events,
                          uint64_t since,
                          uint64_t now_us,
                          void (*visit) (const cache_event_t *event,
                                         void *context),
                          void *context)
{
  uint64_t next = since;

  for (uint64_t i = events->first; i < events->count; i++)
    {
      const cache_event_t *event = &events->ring[i % CACHE_EVENTS_MAX_KEPT];

      if (event->at_us + events->options.lag_us > now_us)
        break;
      if (event->seq < since)
        continue;
      visit (event, context);
      next = event->seq + 1;
    }
  return next;
}
