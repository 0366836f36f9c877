#include <stdio.h>
#include <talloc.h>

#include "base.h"
#include "gateway-internal.h"

static double
read_cold (void *context)
{
  const gateway_t *gateway = context;

  return upstream_set_count_cold (gateway->set, clock_mono_ms ());
}

/** The upstreams whose open requests are limited for a reason. */
typedef struct
{
  const upstream_set_t *set;
  pace_reason_t reason;
} paced_t;

static double
read_paced (void *context)
{
  const paced_t *paced = context;

  return upstream_set_count_paced (paced->set, paced->reason);
}

static void
add_pace_gauges (gateway_t *gateway)
{
  char labels[64];

  for (int i = PACE_NONE + 1; i < PACE_REASON_COUNT; i++)
    {
      paced_t *paced = talloc (gateway, paced_t);

      *paced = (paced_t){ .set = gateway->set, .reason = (pace_reason_t)i };
      snprintf (labels, sizeof labels, "reason=\"%s\"",
                upstream_pace_reason_name (paced->reason));
      metrics_gauge_read (gateway->options.metrics,
                          "lwm_gateway_paced_upstreams",
                          "Upstreams whose open requests are limited after "
                          "their start or return.",
                          labels, read_paced, paced);
    }
}

static void
add_counters (gateway_t *gateway)
{
  metrics_t *metrics = gateway->options.metrics;
  gateway_counters_t *counters = &gateway->counters;
  char labels[64];

  counters->requests = metrics_counter (metrics, "lwm_gateway_requests_total",
                                        "Requests of callers.", NULL);
  counters->answered
      = metrics_counter (metrics, "lwm_gateway_answered_total",
                         "Answers of upstreams passed on in full.", NULL);
  counters->held_at_startup = metrics_counter (
      metrics, "lwm_gateway_early_total",
      "Requests that waited for the instance's start to end.", NULL);
  counters->gone
      = metrics_counter (metrics, "lwm_gateway_callers_gone_total",
                         "Requests whose caller closed first.", NULL);
  counters->broken = metrics_counter (metrics, "lwm_gateway_broken_total",
                                      "Answers broken off midway.", NULL);
  counters->leaving = metrics_counter (
      metrics, "lwm_gateway_upstream_states_total",
      "Answers in which an upstream limited its use.", "state=\"leaving\"");
  counters->limited = metrics_counter (
      metrics, "lwm_gateway_upstream_states_total",
      "Answers in which an upstream limited its use.", "state=\"limited\"");
  counters->paused = metrics_counter (
      metrics, "lwm_gateway_upstream_states_total",
      "Answers in which an upstream limited its use.", "state=\"paused\"");
  counters->cold = metrics_counter (
      metrics, "lwm_gateway_cold_upstreams_total",
      "Times that an upstream with a bound was taken for cold.", NULL);
  metrics_gauge_read (metrics, "lwm_gateway_cold_upstreams",
                      "Upstreams that are taken for cold.", NULL, read_cold,
                      gateway);
  add_pace_gauges (gateway);
  for (int kind = 0; kind < ERROR_KIND_COUNT; kind++)
    {
      snprintf (labels, sizeof labels, "reason=\"%s\"",
                error_name ((error_kind_t)kind));
      counters->refusals[kind] = metrics_counter (
          metrics, "lwm_gateway_refusals_total",
          "Requests answered with an error of our own.", labels);
    }
}

/** Upper bounds of the histogram buckets, spread around the response times that
 * callers expect. */
static const double bounds_s[]
    = { 0.05, 0.1, 0.2, 0.3, 0.5, 1, 1.5, 3, 5, 10, 15, 30 };

static void
add_histograms (gateway_t *gateway)
{
  static const char *const names[] = { [GATEWAY_CLASS_CALL] = "call",
                                       [GATEWAY_CLASS_SHORT] = "short",
                                       [GATEWAY_CLASS_MEDIUM] = "medium",
                                       [GATEWAY_CLASS_LONG] = "long" };
  metrics_t *metrics = gateway->options.metrics;
  char labels[32];

  for (int i = 0; i < GATEWAY_CLASS_COUNT; i++)
    {
      snprintf (labels, sizeof labels, "kind=\"%s\"", names[i]);
      gateway->counters.first_event_s[i] = metrics_histogram (
          metrics, "lwm_gateway_first_event_seconds",
          "Time from a request's arrival to its answer's first event.", labels,
          bounds_s, G_N_ELEMENTS (bounds_s));
      gateway->counters.answer_s[i] = metrics_histogram (
          metrics, "lwm_gateway_answer_seconds",
          "Time from a request's arrival to the end of its answer.", labels,
          bounds_s, G_N_ELEMENTS (bounds_s));
    }
}

static gateway_class_t
classify_request (const gateway_request_t *request)
{
  if (request->route.kind != ROUTE_STREAM)
    return GATEWAY_CLASS_CALL;
  if (request->terms.prompt_tokens <= GATEWAY_SHORT_PROMPT_TOKENS)
    return GATEWAY_CLASS_SHORT;
  return request->terms.prompt_tokens > GATEWAY_LONG_PROMPT_TOKENS
             ? GATEWAY_CLASS_LONG
             : GATEWAY_CLASS_MEDIUM;
}

void
gateway_observe_times (const gateway_request_t *request, uint64_t now_ms)
{
  const gateway_counters_t *counters = &request->gateway->counters;
  gateway_class_t class = classify_request (request);
  uint64_t first_ms
      = request->first_event_ms > 0 ? request->first_event_ms : now_ms;

  metric_observe (counters->first_event_s[class],
                  (double)(first_ms - request->arrived_ms) / 1000.0);
  metric_observe (counters->answer_s[class],
                  (double)(now_ms - request->arrived_ms) / 1000.0);
}

static double
read_waiting_count (void *context)
{
  const gateway_t *gateway = context;

  return zone_placement_queued (gateway->placement);
}

static double
read_config_number (void *context)
{
  return (double)gateway_config_number (context);
}

void
gateway_add_metrics (gateway_t *gateway)
{
  metrics_t *metrics = gateway->options.metrics;

  add_counters (gateway);
  add_histograms (gateway);
  metrics_gauge_read (metrics, "lwm_gateway_waiting",
                      "Requests that wait for room at an upstream.", NULL,
                      read_waiting_count, gateway);
  metrics_gauge_read (metrics, "lwm_gateway_config_number",
                      "Number of the configuration in force.", NULL,
                      read_config_number, gateway);
}
