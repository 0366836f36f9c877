#include <stdio.h>

#include "gateway-internal.h"

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
  counters->gone
      = metrics_counter (metrics, "lwm_gateway_callers_gone_total",
                         "Requests whose caller closed first.", NULL);
  counters->broken = metrics_counter (metrics, "lwm_gateway_broken_total",
                                      "Answers broken off midway.", NULL);
  for (int kind = 0; kind < ERROR_KIND_COUNT; kind++)
    {
      snprintf (labels, sizeof labels, "reason=\"%s\"",
                error_name ((error_kind_t)kind));
      counters->refusals[kind] = metrics_counter (
          metrics, "lwm_gateway_refusals_total",
          "Requests answered with an error of our own.", labels);
    }
}

static double
read_waiting (void *context)
{
  const gateway_t *gateway = context;

  return gateway->waiting->len;
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
  metrics_gauge_read (metrics, "lwm_gateway_waiting",
                      "Requests that wait for room at an upstream.", NULL,
                      read_waiting, gateway);
  metrics_gauge_read (metrics, "lwm_gateway_config_number",
                      "Number of the configuration in force.", NULL,
                      read_config_number, gateway);
}
