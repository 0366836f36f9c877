/* Counters and gauges of the dispatcher. */
#include <stdio.h>

#include "dispatch-internal.h"

static void
add_error_counters (dispatch_t *dispatch, metrics_t *metrics)
{
  char labels[64];

  for (int i = 1; i < ERROR_KIND_COUNT; i++)
    {
      snprintf (labels, sizeof labels, "reason=\"%s\"",
                error_name ((error_kind_t)i));
      dispatch->refusals[i]
          = metrics_counter (metrics, "lwm_refusals_total",
                             "requests refused before admission", labels);
      dispatch->failures[i]
          = metrics_counter (metrics, "lwm_failures_total",
                             "admitted requests that failed", labels);
    }
}

static double
read_live_count (void *context)
{
  return dispatch_live_count (context);
}

static double
read_waiting_count (void *context)
{
  const dispatch_t *dispatch = context;

  return sched_waiting (dispatch->options.sched);
}

static double
read_answer_bytes (void *context)
{
  const dispatch_t *dispatch = context;
  GHashTableIter iter;
  gpointer request;
  double bytes = 0;

  g_hash_table_iter_init (&iter, dispatch->by_id);
  while (g_hash_table_iter_next (&iter, NULL, &request))
    bytes += (double)((request_t *)request)->text->len;
  return bytes;
}

void
dispatch_add_metrics (dispatch_t *dispatch, metrics_t *metrics)
{
  char labels[64];

  dispatch->requests = metrics_counter (metrics, "lwm_requests_total",
                                        "requests received", NULL);
  dispatch->sends = metrics_counter (metrics, "lwm_sends_total",
                                     "attempts sent to upstreams", NULL);
  dispatch->done = metrics_counter (metrics, "lwm_requests_done_total",
                                    "requests answered whole", NULL);
  dispatch->replayed_tokens
      = metrics_counter (metrics, "lwm_replayed_tokens_total",
                         "tokens generated again after a replay", NULL);
  for (int i = 0; i < REQUEST_STATE_COUNT; i++)
    {
      snprintf (labels, sizeof labels, "to=\"%s\"",
                request_state_name ((request_state_t)i));
      dispatch->edges[i]
          = metrics_counter (metrics, "lwm_request_edges_total",
                             "state changes of requests", labels);
    }
  add_error_counters (dispatch, metrics);
  metrics_gauge_read (metrics, "lwm_requests_live", "requests under way", NULL,
                      read_live_count, dispatch);
  metrics_gauge_read (metrics, "lwm_live_answer_bytes",
                      "bytes of answers under way", NULL, read_answer_bytes,
                      dispatch);
  metrics_gauge_read (metrics, "lwm_requests_waiting",
                      "admitted requests not sent yet", NULL,
                      read_waiting_count, dispatch);
}
