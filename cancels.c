#include "cancels.h"

#include <event2/event.h>
#include <glib.h>
#include <stdio.h>
#include <string.h>
#include <talloc.h>

#include "base.h"

#define LOG_PART "cancels"
#include "logging.h"

#define MIN_RETRY_DELAY_MS 100
#define MAX_RETRY_DELAY_MS 5000
/* A network partition may last an hour, so cancels are retried for longer. No
 * other part of the system finds memory that is still held after that. */
#define MAX_CANCEL_AGE_MS (2 * 3600 * 1000)
/* Repeats of an orphan's cancel after a confirmation, and the delay before
 * each. */
#define ORPHAN_REPEATS         2
#define ORPHAN_REPEAT_DELAY_MS 3000
#define HTTP_OK_MIN            200
#define HTTP_OK_MAX            299

typedef struct
{
  cancels_t *cancels;
  cancel_kind_t kind;
  upstream_target_t target;
  char *id;
  struct event *timer;
  uint64_t started_ms;
  uint32_t retry_delay_ms;
  uint32_t repeats_left; /* sends still due after a confirmation */
  bool in_flight;
  bool is_closed; /* to be freed when the call in flight returns */
} cancel_t;

struct cancels
{
  struct event_base *base;
  const upstream_ops_t *ops;
  void *ops_context;
  cancels_closed_cb_t closed;
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
read_open_count (void *context)
{
  return cancels_open_count (context);
}

cancels_t *
cancels_new (void *parent, const cancels_options_t *options)
{
  cancels_t *cancels = talloc_zero (parent, cancels_t);
  metrics_t *metrics = options->metrics;

  cancels->base = options->base;
  cancels->ops = options->ops;
  cancels->ops_context = options->ops_context;
  cancels->closed = options->closed;
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
                      "cancels and releases not confirmed yet", NULL,
                      read_open_count, cancels);
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
close_cancel (cancel_t *cancel)
{
  cancels_t *cancels = cancel->cancels;

  if (!g_hash_table_remove (cancels->open, cancel))
    return;
  event_del (cancel->timer);
  if (cancels->closed != NULL)
    cancels->closed (cancel->kind, cancel->id, cancels->context);
  cancel->is_closed = true;
  if (!cancel->in_flight)
    talloc_free (cancel);
}

static void
schedule_retry (cancel_t *cancel)
{
  struct timeval delay = timeval_from_ms (cancel->retry_delay_ms);

  event_add (cancel->timer, &delay);
  cancel->retry_delay_ms *= 2;
  if (cancel->retry_delay_ms > MAX_RETRY_DELAY_MS)
    cancel->retry_delay_ms = MAX_RETRY_DELAY_MS;
}

/** Ends a confirmed cancel, or schedules its next repeat. */
static void
handle_confirmation (cancel_t *cancel)
{
  if (cancel->repeats_left == 0)
    {
      metric_add (cancel->cancels->confirmed, 1);
      close_cancel (cancel);
      return;
    }
  cancel->repeats_left--;
  cancel->retry_delay_ms = ORPHAN_REPEAT_DELAY_MS;
  schedule_retry (cancel);
}

static void
on_answer (int status, void *context)
{
  cancel_t *cancel = context;

  cancel->in_flight = false;
  if (cancel->is_closed)
    {
      talloc_free (cancel);
    }
  else if (status >= HTTP_OK_MIN && status <= HTTP_OK_MAX)
    {
      handle_confirmation (cancel);
    }
  else if (clock_mono_ms () > cancel->started_ms + MAX_CANCEL_AGE_MS)
    {
      log_error ("Cancel was never confirmed. upstream=%s id=%s",
                 cancel->target.name, cancel->id);
      metric_add (cancel->cancels->given_up, 1);
      close_cancel (cancel);
    }
  else
    schedule_retry (cancel);
}

static void
send_cancel (evutil_socket_t fd, short what, void *arg)
{
  cancel_t *cancel = arg;
  cancels_t *cancels = cancel->cancels;
  const upstream_ops_t *ops = cancels->ops;

  cancel->in_flight = true;
  metric_add (cancels->sent, 1);
  if (cancel->kind == CANCEL_STREAM)
    ops->cancel (cancels->ops_context, &cancel->target, cancel->id, on_answer,
                 cancel);
  else if (cancel->kind == CANCEL_RESERVATION)
    ops->release (cancels->ops_context, &cancel->target, cancel->id, on_answer,
                  cancel);
  else
    ops->drop_kv (cancels->ops_context, &cancel->target, cancel->id, on_answer,
                  cancel);
}

static void
start_cancel (cancels_t *cancels,
              cancel_kind_t kind,
              const upstream_target_t *target,
              const char *id,
              uint32_t repeats_left)
{
  cancel_t *cancel = talloc_zero (cancels, cancel_t);

  cancel->cancels = cancels;
  cancel->kind = kind;
  cancel->target.name = talloc_strdup (cancel, target->name);
  cancel->target.address = talloc_strdup (cancel, target->address);
  cancel->target.incarnation = target->incarnation;
  cancel->id = talloc_strdup (cancel, id);
  cancel->started_ms = clock_mono_ms ();
  cancel->retry_delay_ms = MIN_RETRY_DELAY_MS;
  cancel->repeats_left = repeats_left;
  cancel->timer = event_new (cancels->base, -1, 0, send_cancel, cancel);
  talloc_set_destructor (cancel, free_cancel);
  g_hash_table_add (cancels->open, cancel);
  send_cancel (-1, 0, cancel);
}

void
cancels_add (cancels_t *cancels,
             cancel_kind_t kind,
             const upstream_target_t *target,
             const char *id)
{
  start_cancel (cancels, kind, target, id, 0);
}

void
cancels_add_orphan (cancels_t *cancels,
                    cancel_kind_t kind,
                    const upstream_target_t *target,
                    const char *id)
{
  start_cancel (cancels, kind, target, id, ORPHAN_REPEATS);
}

void
cancels_drop_incarnation (cancels_t *cancels,
                          const char *upstream,
                          uint64_t incarnation)
{
  GList *all = g_hash_table_get_keys (cancels->open);

  for (GList *item = all; item != NULL; item = item->next)
    {
      cancel_t *cancel = item->data;

      if (cancel->target.incarnation <= incarnation
          && strcmp (cancel->target.name, upstream) == 0)
        close_cancel (cancel);
    }
  g_list_free (all);
}

uint32_t
cancels_open_count (const cancels_t *cancels)
{
  return g_hash_table_size (cancels->open);
}
