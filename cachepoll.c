#include "cachepoll.h"

#include <event2/event.h>
#include <glib.h>
#include <string.h>
#include <talloc.h>

#define POLL_INTERVAL_MS 500

struct cachepoll
{
  cachepoll_options_t options;
  struct event *timer;
  GHashTable *cursors; /* upstream name to cursor_t */
  char *last_polled;   /* name of the upstream polled last, or NULL */
  char *pending; /* name of the upstream whose answer is pending, or NULL */
  metric_t *polls;
  metric_t *events;
};

/** Position up to which an upstream's events were read. */
typedef struct
{
  uint64_t incarnation;
  uint64_t since; /* sequence number of the next event to ask for */
} cursor_t;

static int
free_cachepoll (cachepoll_t *poll)
{
  event_free (poll->timer);
  g_hash_table_destroy (poll->cursors);
  g_free (poll->last_polled);
  g_free (poll->pending);
  return 0;
}

/** Search for the engine to poll next. */
typedef struct
{
  const cachepoll_t *poll;
  /* First engine by name after last_polled. */
  const registry_upstream_t *next_by_name;
  /* First engine by name. */
  const registry_upstream_t *first_by_name;
} selection_t;

static bool
sorts_before (const registry_upstream_t *one, const registry_upstream_t *other)
{
  return other == NULL || strcmp (one->name, other->name) < 0;
}

static void
consider_upstream (const registry_upstream_t *upstream, void *context)
{
  selection_t *selection = context;
  const cachepoll_t *poll = selection->poll;

  if (!upstream->is_engine || upstream->leaving || upstream->suspect
      || strcmp (upstream->zone, poll->options.zone) != 0)
    return;
  if (sorts_before (upstream, selection->first_by_name))
    selection->first_by_name = upstream;
  if (poll->last_polled != NULL
      && strcmp (upstream->name, poll->last_polled) > 0
      && sorts_before (upstream, selection->next_by_name))
    selection->next_by_name = upstream;
}

static cursor_t *
find_cursor (cachepoll_t *poll, const registry_upstream_t *upstream)
{
  cursor_t *cursor = g_hash_table_lookup (poll->cursors, upstream->name);

  if (cursor == NULL)
    {
      cursor = g_new0 (cursor_t, 1);
      g_hash_table_insert (poll->cursors, g_strdup (upstream->name), cursor);
    }
  if (cursor->incarnation != upstream->incarnation)
    *cursor = (cursor_t){ .incarnation = upstream->incarnation };
  return cursor;
}

static void
on_events (const upstream_event_t *events,
           size_t count,
           uint64_t next,
           void *context)
{
  cachepoll_t *poll = context;
  cursor_t *cursor = g_hash_table_lookup (poll->cursors, poll->pending);

  if (cursor != NULL)
    cursor->since = next;
  for (size_t i = 0; i < count; i++)
    sched_prefix_hint (poll->options.sched, poll->pending,
                       events[i].prefix_hash, events[i].tokens,
                       events[i].present);
  metric_add (poll->events, count);
  g_clear_pointer (&poll->pending, g_free);
}

static void
on_poll_timer (evutil_socket_t fd, short what, void *arg)
{
  cachepoll_t *poll = arg;
  const cachepoll_options_t *options = &poll->options;
  selection_t selection = { .poll = poll };
  const registry_upstream_t *upstream;
  upstream_target_t target;

  if (poll->pending != NULL)
    return;
  registry_each (options->registry, consider_upstream, &selection);
  upstream = selection.next_by_name != NULL ? selection.next_by_name
                                            : selection.first_by_name;
  if (upstream == NULL)
    return;
  g_free (poll->last_polled);
  poll->last_polled = g_strdup (upstream->name);
  poll->pending = g_strdup (upstream->name);
  target = (upstream_target_t){ .name = upstream->name,
                                .address = upstream->address,
                                .incarnation = upstream->incarnation };
  metric_add (poll->polls, 1);
  options->ops->events (options->ops_context, &target,
                        find_cursor (poll, upstream)->since, on_events, poll);
}

cachepoll_t *
cachepoll_new (void *parent, const cachepoll_options_t *options)
{
  cachepoll_t *poll = talloc_zero (parent, cachepoll_t);
  struct timeval interval = { .tv_usec = POLL_INTERVAL_MS * 1000 };

  poll->options = *options;
  poll->cursors
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  poll->polls
      = metrics_counter (options->metrics, "lwm_cache_polls_total",
                         "times an engine was asked for cache events", NULL);
  poll->events = metrics_counter (options->metrics, "lwm_cache_events_total",
                                  "cache events heard of", NULL);
  poll->timer = event_new (options->base, -1, EV_PERSIST, on_poll_timer, poll);
  event_add (poll->timer, &interval);
  talloc_set_destructor (poll, free_cachepoll);
  return poll;
}
