#include <event2/event.h>

#include "base.h"
#include "gateway-internal.h"
#define LOG_PART "gateway"
#include "logging.h"

/** Delay of a pass over the queue after a change. */
#define QUEUE_DELAY_MS 2
/** Interval of further passes while requests wait. */
#define QUEUE_INTERVAL_MS    20
#define MAX_WAITING_REQUESTS 512
/** Time from sending a short request to its first event. */
#define FIRST_EVENT_DELAY_MS 100

void
gateway_schedule_queue (gateway_t *gateway)
{
  struct timeval wait = { .tv_usec = QUEUE_DELAY_MS * 1000 };

  if (gateway->waiting->len > 0
      && !event_pending (gateway->queue_timer, EV_TIMEOUT, NULL))
    event_add (gateway->queue_timer, &wait);
}

void
gateway_enqueue (gateway_request_t *request)
{
  gateway_t *gateway = request->gateway;

  if (request->is_waiting)
    return;
  if (gateway->waiting->len >= MAX_WAITING_REQUESTS)
    {
      gateway_refuse (request, ERROR_QUEUE_FULL,
                      gateway_add_jitter_ms (GATEWAY_RETRY_AFTER_MS));
      return;
    }
  request->is_waiting = true;
  g_ptr_array_add (gateway->waiting, request);
  log_info ("Request waits for a free upstream. request=%s service=%s "
            "prompt=%u waiting=%u",
            request->terms.id, request->service, request->terms.prompt_tokens,
            gateway->waiting->len);
}

/** Returns true if the request's first event can still meet its target time. */
static bool
is_in_time (const gateway_request_t *request, uint64_t now_ms)
{
  return now_ms + FIRST_EVENT_DELAY_MS
         < request->arrived_ms + request->route.target_ms;
}

static gint
compare_numbers (uint64_t a, uint64_t b)
{
  return (a > b) - (a < b);
}

/**
 * Compares two waiting requests. Within a priority, requests that can still
 * meet their target come first, of equal targets the newest before the oldest:
 * under overload the oldest would take the place of a request that can be in
 * time, and be late itself. Late requests follow, of equal targets the oldest
 * first.
 */
static gint
compare_waiting_requests (gconstpointer a, gconstpointer b, gpointer context)
{
  const gateway_request_t *first = *(const gateway_request_t *const *)a;
  const gateway_request_t *second = *(const gateway_request_t *const *)b;
  uint64_t now_ms = *(const uint64_t *)context;
  bool first_in_time = is_in_time (first, now_ms);
  bool second_in_time = is_in_time (second, now_ms);

  if (first->route.priority != second->route.priority)
    return compare_numbers (first->route.priority, second->route.priority);
  if (first_in_time != second_in_time)
    return first_in_time ? -1 : 1;
  if (first->route.target_ms != second->route.target_ms)
    return compare_numbers (first->route.target_ms, second->route.target_ms);
  if (first_in_time)
    return compare_numbers (second->arrived_ms, first->arrived_ms);
  return compare_numbers (first->arrived_ms, second->arrived_ms);
}

void
gateway_on_queue_timer (evutil_socket_t fd, short what, void *context)
{
  gateway_t *gateway = context;
  struct timeval interval = { .tv_usec = QUEUE_INTERVAL_MS * 1000 };
  GPtrArray *requests = g_ptr_array_new ();
  uint64_t now_ms = clock_mono_ms ();

  for (guint i = 0; i < gateway->waiting->len; i++)
    g_ptr_array_add (requests, g_ptr_array_index (gateway->waiting, i));
  g_ptr_array_sort_with_data (requests, compare_waiting_requests, &now_ms);
  for (guint i = 0; i < requests->len; i++)
    gateway_place (g_ptr_array_index (requests, i));
  g_ptr_array_free (requests, TRUE);
  if (gateway->waiting->len > 0)
    event_add (gateway->queue_timer, &interval);
}
