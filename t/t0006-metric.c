/* Checks the exposition format of histograms, counters and gauges. */
#include <event2/buffer.h>
#include <glib.h>
#include <string.h>
#include <talloc.h>

#include "metric.h"

static char *
write_to_text (const metrics_t *metrics)
{
  struct evbuffer *out = evbuffer_new ();
  char *text;

  metrics_write (metrics, out);
  text = g_strndup ((char *)evbuffer_pullup (out, -1),
                    evbuffer_get_length (out));
  evbuffer_free (out);
  return text;
}

static void
test_histogram (void)
{
  static const double bounds[] = { 0.1, 1 };
  metrics_t *metrics = metrics_new (NULL);
  metric_t *metric = metrics_histogram (metrics, "lwm_x_seconds", "Times.",
                                        "kind=\"a\"", bounds, 2);
  char *text;

  metric_observe (metric, 0.1);
  metric_observe (metric, 0.5);
  metric_observe (metric, 4);
  text = write_to_text (metrics);
  g_assert_cmpstr (text, ==,
                   "# HELP lwm_x_seconds Times.\n"
                   "# TYPE lwm_x_seconds histogram\n"
                   "lwm_x_seconds_bucket{kind=\"a\",le=\"0.1\"} 1\n"
                   "lwm_x_seconds_bucket{kind=\"a\",le=\"1\"} 2\n"
                   "lwm_x_seconds_bucket{kind=\"a\",le=\"+Inf\"} 3\n"
                   "lwm_x_seconds_sum{kind=\"a\"} 4.5999999999999996\n"
                   "lwm_x_seconds_count{kind=\"a\"} 3\n");
  g_free (text);
  talloc_free (metrics);
}

static void
test_counters_and_gauges (void)
{
  metrics_t *metrics = metrics_new (NULL);
  char *text;

  metric_add (metrics_counter (metrics, "lwm_x_total", "Xs.", "why=\"b\""), 2);
  metric_set (metrics_gauge (metrics, "lwm_y", "Ys.", NULL), 0.5);
  text = write_to_text (metrics);
  g_assert_nonnull (strstr (text, "# TYPE lwm_x_total counter\n"
                                  "lwm_x_total{why=\"b\"} 2\n"));
  g_assert_nonnull (strstr (text, "# TYPE lwm_y gauge\nlwm_y 0.5\n"));
  g_free (text);
  talloc_free (metrics);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/metric/histogram", test_histogram);
  g_test_add_func ("/metric/counters-and-gauges", test_counters_and_gauges);
  return g_test_run ();
}
