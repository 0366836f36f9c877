#include <time.h>

#include "base.h"
#include "membership-internal.h"

double
membership_thread_cpu_s (void)
{
  struct timespec now;

  clock_gettime (CLOCK_THREAD_CPUTIME_ID, &now);
  return (double)now.tv_sec + (double)now.tv_nsec / 1e9;
}

void
membership_add_cpu (membership_t *membership, double since_s)
{
  membership->cpu_used_s += membership_thread_cpu_s () - since_s;
}

static double
read_cpu (void *context)
{
  return ((membership_t *)context)->cpu_used_s;
}

static double
read_zone_instances (void *context)
{
  return membership_counts (context).zone_live;
}

static double
read_all_instances (void *context)
{
  return membership_counts (context).all_live;
}

static double
read_upstreams (void *context)
{
  const membership_t *membership = context;
  GHashTableIter iter;
  void *value;
  double known = 0;

  g_hash_table_iter_init (&iter, gossip_upstreams (membership->gossip));
  while (g_hash_table_iter_next (&iter, NULL, &value))
    known += !((gossip_upstream_t *)value)->reported_gone;
  return known;
}

static double
read_leaving (void *context)
{
  const membership_t *membership = context;
  uint64_t now_ms = clock_mono_ms ();
  GHashTableIter iter;
  void *value;
  double leaving = 0;

  g_hash_table_iter_init (&iter, gossip_upstreams (membership->gossip));
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const Lwm__Announcement *view
          = gossip_effective_announcement (value, now_ms);

      leaving += !((gossip_upstream_t *)value)->reported_gone && view->leaving;
    }
  return leaving;
}

static double
read_state_hash (void *context)
{
  const membership_t *membership = context;

  /* A double represents integers of up to 53 bits exactly. */
  return (double)(gossip_state_hash (membership->gossip, true) >> 11);
}

void
membership_add_metrics (membership_t *membership)
{
  metrics_t *metrics = membership->options.metrics;

  metrics_gauge_read (metrics, "lwm_gossip_cpu_seconds",
                      "Processor time spent on gossip, on the loop.", NULL,
                      read_cpu, membership);
  metrics_gauge_read (metrics, "lwm_instances", "Live instances known.",
                      "scope=\"zone\"", read_zone_instances, membership);
  metrics_gauge_read (metrics, "lwm_instances", "Live instances known.",
                      "scope=\"all\"", read_all_instances, membership);
  metrics_gauge_read (metrics, "lwm_gossip_upstreams", "Upstreams known.", NULL,
                      read_upstreams, membership);
  metrics_gauge_read (metrics, "lwm_gossip_upstreams_leaving",
                      "Upstreams known to take no new work.", NULL,
                      read_leaving, membership);
  metrics_gauge_read (metrics, "lwm_gossip_state",
                      "Hash over all records, equal where they are.", NULL,
                      read_state_hash, membership);
}
