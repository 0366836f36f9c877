#include "retry.h"

#include <glib.h>
#include <stdio.h>
#include <talloc.h>

#define DEFAULT_BUDGET_PERCENT 10
#define WINDOW_SECONDS         10
/* One slot more than the window has seconds, because a window may begin in the
 * middle of a second. */
#define SLOT_COUNT (WINDOW_SECONDS + 1)
/* Spare retries while the number of instances is unknown. */
#define SPARE_IF_COUNT_UNKNOWN 1

/* Requests and retries counted in one second. */
typedef struct
{
  uint64_t second;
  uint32_t requests;
  uint32_t retries;
} slot_t;

typedef struct
{
  slot_t slots[SLOT_COUNT];
} window_t;

struct retry
{
  GHashTable *windows; /* service name to window_t */
  metric_t *retries[RETRY_REASON_COUNT];
  metric_t *resumes[RETRY_REASON_COUNT];
  metric_t *denied;
};

static const char *const reason_names[RETRY_REASON_COUNT] = {
  "connect", "busy",      "not_loaded", "leaving", "refused", "error",
  "broken",  "truncated", "crossed",    "stalled", "lost",    "version",
};

static int
free_retry (retry_t *retry)
{
  g_hash_table_destroy (retry->windows);
  return 0;
}

static void
add_counters (retry_t *retry, metrics_t *metrics)
{
  char labels[64];

  for (int i = 0; i < RETRY_REASON_COUNT; i++)
    {
      snprintf (labels, sizeof labels, "reason=\"%s\"", reason_names[i]);
      retry->retries[i]
          = metrics_counter (metrics, "lwm_retries_total",
                             "requests sent again, by reason", labels);
      retry->resumes[i] = metrics_counter (
          metrics, "lwm_resumes_total",
          "streams resumed at their offset, by reason", labels);
    }
  retry->denied = metrics_counter (metrics, "lwm_retries_denied_total",
                                   "retries that no budget was left for", NULL);
}

retry_t *
retry_new (void *parent, metrics_t *metrics)
{
  retry_t *retry = talloc_zero (parent, retry_t);

  retry->windows
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  if (metrics != NULL)
    add_counters (retry, metrics);
  talloc_set_destructor (retry, free_retry);
  return retry;
}

const char *
retry_reason_name (retry_reason_t reason)
{
  return (unsigned)reason < RETRY_REASON_COUNT ? reason_names[reason] : "?";
}

retry_reason_t
retry_reason_from_result (upstream_result_t result)
{
  switch (result)
    {
    case UPSTREAM_NOT_CONNECTED:
      return RETRY_CONNECT;
    case UPSTREAM_BUSY:
      return RETRY_BUSY;
    case UPSTREAM_NOT_LOADED:
      return RETRY_NOT_LOADED;
    case UPSTREAM_LEAVING:
      return RETRY_LEAVING;
    case UPSTREAM_REFUSED:
      return RETRY_REFUSED;
    case UPSTREAM_NO_STREAM:
      return RETRY_LOST;
    case UPSTREAM_BROKEN:
      return RETRY_BROKEN;
    case UPSTREAM_TRUNCATED:
      return RETRY_TRUNCATED;
    case UPSTREAM_MISMATCHED:
      return RETRY_CROSSED;
    default:
      return RETRY_ERROR;
    }
}

bool
retry_is_budgeted (retry_reason_t reason)
{
  return reason != RETRY_BUSY && reason != RETRY_NOT_LOADED
         && reason != RETRY_LEAVING;
}

static window_t *
find_window (retry_t *retry, const char *service)
{
  window_t *window = g_hash_table_lookup (retry->windows, service);

  if (window == NULL)
    {
      window = g_new0 (window_t, 1);
      g_hash_table_insert (retry->windows, g_strdup (service), window);
    }
  return window;
}

static slot_t *
current_slot (window_t *window, uint64_t now_ms)
{
  uint64_t second = now_ms / 1000;
  slot_t *slot = &window->slots[second % SLOT_COUNT];

  if (slot->second != second)
    *slot = (slot_t){ .second = second };
  return slot;
}

void
retry_record_request (retry_t *retry, const char *service, uint64_t now_ms)
{
  current_slot (find_window (retry, service), now_ms)->requests++;
}

retry_budget_t
retry_budget_part (uint32_t percent, uint32_t spare, uint32_t instances)
{
  retry_budget_t part = { .percent = percent, .spare = SPARE_IF_COUNT_UNKNOWN };

  if (instances > 0)
    part.spare = spare / instances;
  return part;
}

/** Returns whether another retry is allowed. The retries of SLOT_COUNT seconds
 * are compared with the requests of WINDOW_SECONDS, so that the limit holds for
 * every window that ends in the current second. */
static bool
has_budget (const window_t *window,
            const retry_budget_t *budget,
            uint64_t now_ms)
{
  uint32_t percent
      = budget->percent > 0 ? budget->percent : DEFAULT_BUDGET_PERCENT;
  uint64_t second = now_ms / 1000;
  uint64_t requests = 0;
  uint64_t retries = 0;

  for (int i = 0; i < SLOT_COUNT; i++)
    {
      const slot_t *slot = &window->slots[i];

      if (slot->second + WINDOW_SECONDS > second)
        requests += slot->requests;
      if (slot->second + WINDOW_SECONDS >= second)
        retries += slot->retries;
    }
  return retries < budget->spare + requests * percent / 100;
}

static void
increment (metric_t *metric)
{
  if (metric != NULL)
    metric_add (metric, 1);
}

bool
retry_take (retry_t *retry,
            const char *service,
            retry_reason_t reason,
            const retry_budget_t *budget,
            uint64_t now_ms)
{
  window_t *window = find_window (retry, service);
  slot_t *slot = current_slot (window, now_ms);

  if (retry_is_budgeted (reason))
    {
      if (!has_budget (window, budget, now_ms))
        {
          increment (retry->denied);
          return false;
        }
      slot->retries++;
    }
  increment (retry->retries[reason]);
  return true;
}

void
retry_count_resume (retry_t *retry, retry_reason_t reason)
{
  increment (retry->resumes[reason]);
}
