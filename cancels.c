#include "cancels.h"

#include <event2/event.h>
#include <glib.h>
#include <stdio.h>
#include <string.h>
#include <talloc.h>

#include "base.h"

#define LOG_PART "cancels"
#include "logging.h"

#define FIRST_PAUSE_MS 100
#define MAX_PAUSE_MS   5000
/* A partition may last an hour; memory held for longer has no finder. */
#define GIVE_UP_MS (2 * 3600 * 1000)
/* How often, and after what pause, an orphan is cancelled once more. */
#define ORPHAN_AGAIN    2
#define ORPHAN_PAUSE_MS 3000
#define HTTP_OK_MIN     200
#define HTTP_OK_MAX     299

typedef struct
{
  cancels_t *cancels;
  cancel_kind_t kind;
  upstream_target_t target;
  char *id;
  struct event *timer;
  uint64_t started_ms;
  uint32_t pause_ms;
  uint32_t again; /* confirmations that are not the last */
  bool in_flight;
  bool over; /* freed when the call in flight returns */
} cancel_t;

struct cancels
{
  struct event_base *base;
  const upstream_ops_t *ops;
  void *ops_context;
  cancels_over_cb_t over;
  void *context;
  GHashTable *open; /* set of cancel_t */
  metric_t *sent;
  metric_t *confirmed;
  metric_t *given_up;
};

static int
free_cancels (cancels_t *cancels)
{
  g_hash_table_destroy (cancels->open);
  return 0;
}

static double
read_open (void *context)
{
  return cancels_open (context);
}

cancels_t *
cancels_new (void *parent, const cancels_options_t *options)
{
  cancels_t *cancels = talloc_zero (parent, cancels_t);
  metrics_t *metrics = options->metrics;

  cancels->base = options->base;
  cancels->ops = options->ops;
  cancels->ops_context = options->ops_context;
  cancels->over = options->over;
  cancels->context = options->context;
  cancels->open = g_hash_table_new (NULL, NULL);
  cancels->sent = metrics_counter (metrics, "lwm_cancels_sent_total",
                                   "cancels and releases sent", NULL);
  cancels->confirmed = metrics_counter (
      metrics, "lwm_cancels_confirmed_total",
      "cancels and releases that an upstream confirmed", NULL);
  cancels->given_up
      = metrics_counter (metrics, "lwm_cancels_given_up_total",
                         "cancels and releases never confirmed", NULL);
  metrics_gauge_read (metrics, "lwm_cancels_open",
                      "cancels and releases not confirmed yet", NULL, read_open,
                      cancels);
  talloc_set_destructor (cancels, free_cancels);
  return cancels;
}

static int
free_cancel (cancel_t *cancel)
{
  event_free (cancel->timer);
  return 0;
}

static void
finish (cancel_t *cancel)
{
  cancels_t *cancels = cancel->cancels;

  if (!g_hash_table_remove (cancels->open, cancel))
    return;
  event_del (cancel->timer);
  if (cancels->over != NULL)
    cancels->over (cancel->kind, cancel->id, cancels->context);
  cancel->over = true;
  if (!cancel->in_flight)
    talloc_free (cancel);
}

static void
try_later (cancel_t *cancel)
{
  struct timeval pause = clock_timeval (cancel->pause_ms);

  event_add (cancel->timer, &pause);
  cancel->pause_ms *= 2;
  if (cancel->pause_ms > MAX_PAUSE_MS)
    cancel->pause_ms = MAX_PAUSE_MS;
}

static void
confirm (cancel_t *cancel)
{
  if (cancel->again == 0)
    {
      metric_add (cancel->cancels->confirmed, 1);
      finish (cancel);
      return;
    }
  cancel->again--;
  cancel->pause_ms = ORPHAN_PAUSE_MS;
  try_later (cancel);
}

static void
on_done (int status, void *context)
{
  cancel_t *cancel = context;

  cancel->in_flight = false;
  if (cancel->over)
    {
      talloc_free (cancel);
    }
  else if (status >= HTTP_OK_MIN && status <= HTTP_OK_MAX)
    {
      confirm (cancel);
    }
  else if (clock_mono_ms () > cancel->started_ms + GIVE_UP_MS)
    {
      log_error ("Cancel was never confirmed. upstream=%s id=%s",
                 cancel->target.name, cancel->id);
      metric_add (cancel->cancels->given_up, 1);
      finish (cancel);
    }
  else
    try_later (cancel);
}

static void
try_now (evutil_socket_t fd, short what, void *arg)
{
  cancel_t *cancel = arg;
  cancels_t *cancels = cancel->cancels;
  const upstream_ops_t *ops = cancels->ops;

  cancel->in_flight = true;
  metric_add (cancels->sent, 1);
  if (cancel->kind == CANCEL_STREAM)
    ops->cancel (cancels->ops_context, &cancel->target, cancel->id, on_done,
                 cancel);
  else if (cancel->kind == CANCEL_RESERVATION)
    ops->release (cancels->ops_context, &cancel->target, cancel->id, on_done,
                  cancel);
  else
    ops->drop_kv (cancels->ops_context, &cancel->target, cancel->id, on_done,
                  cancel);
}

static void
begin (cancels_t *cancels,
       cancel_kind_t kind,
       const upstream_target_t *target,
       const char *id,
       uint32_t again)
{
  cancel_t *cancel = talloc_zero (cancels, cancel_t);

  cancel->cancels = cancels;
  cancel->kind = kind;
  cancel->target.name = talloc_strdup (cancel, target->name);
  cancel->target.address = talloc_strdup (cancel, target->address);
  cancel->target.incarnation = target->incarnation;
  cancel->id = talloc_strdup (cancel, id);
  cancel->started_ms = clock_mono_ms ();
  cancel->pause_ms = FIRST_PAUSE_MS;
  cancel->again = again;
  cancel->timer = event_new (cancels->base, -1, 0, try_now, cancel);
  talloc_set_destructor (cancel, free_cancel);
  g_hash_table_add (cancels->open, cancel);
  try_now (-1, 0, cancel);
}

void
cancels_add (cancels_t *cancels,
             cancel_kind_t kind,
             const upstream_target_t *target,
             const char *id)
{
  begin (cancels, kind, target, id, 0);
}

void
cancels_add_orphan (cancels_t *cancels,
                    cancel_kind_t kind,
                    const upstream_target_t *target,
                    const char *id)
{
  begin (cancels, kind, target, id, ORPHAN_AGAIN);
}

void
cancels_forget (cancels_t *cancels, const char *upstream, uint64_t incarnation)
{
  GList *all = g_hash_table_get_keys (cancels->open);

  for (GList *item = all; item != NULL; item = item->next)
    {
      cancel_t *cancel = item->data;

      if (cancel->target.incarnation <= incarnation
          && strcmp (cancel->target.name, upstream) == 0)
        finish (cancel);
    }
  g_list_free (all);
}

uint32_t
cancels_open (const cancels_t *cancels)
{
  return g_hash_table_size (cancels->open);
}
