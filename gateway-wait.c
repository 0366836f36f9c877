#include <event2/event.h>

#include "base.h"
#include "gateway-internal.h"
#define LOG_PART "gateway"
#include "logging.h"

#define WAKE_MS        2
#define QUEUE_EVERY_MS 20
#define MAX_WAITING    512
#define FIRST_EVENT_MS 100 /* from the send to a short request's first */

void
gateway_wake (gateway_t *gateway)
{
  struct timeval wait = { .tv_usec = WAKE_MS * 1000 };

  if (gateway->waiting->len > 0
      && !event_pending (gateway->wake, EV_TIMEOUT, NULL))
    event_add (gateway->wake, &wait);
}

void
gateway_wait (gateway_request_t *request)
{
  gateway_t *gateway = request->gateway;

  if (request->is_waiting)
    return;
  if (gateway->waiting->len >= MAX_WAITING)
    {
      gateway_refuse (request, ERROR_QUEUE_FULL,
                      gateway_spread_ms (GATEWAY_RETRY_AFTER_MS));
      return;
    }
  request->is_waiting = true;
  g_ptr_array_add (gateway->waiting, request);
  log_info (
      "Request waits for room. request=%s service=%s prompt=%u waiting=%u",
      request->terms.id, request->service, request->terms.prompt_tokens,
      gateway->waiting->len);
}

/** Whether its first event may still come within its target. */
static bool
is_in_time (const gateway_request_t *request, uint64_t now_ms)
{
  return now_ms + FIRST_EVENT_MS < request->begun_ms + request->route.target_ms;
}

static gint
compare_numbers (uint64_t a, uint64_t b)
{
  return (a > b) - (a < b);
}

/**
 * Who may still be in time goes first, the newest before others: under overload
 * the oldest of them would take the place of one that can be in time, and be
 * late itself. Those that are late anyway follow by age.
 */
static gint
compare_waiting (gconstpointer a, gconstpointer b, gpointer context)
{
  const gateway_request_t *one = *(const gateway_request_t *const *)a;
  const gateway_request_t *other = *(const gateway_request_t *const *)b;
  uint64_t now_ms = *(const uint64_t *)context;
  bool one_in_time = is_in_time (one, now_ms);
  bool other_in_time = is_in_time (other, now_ms);

  if (one->route.priority != other->route.priority)
    return compare_numbers (one->route.priority, other->route.priority);
  if (one_in_time != other_in_time)
    return one_in_time ? -1 : 1;
  if (one->route.target_ms != other->route.target_ms)
    return compare_numbers (one->route.target_ms, other->route.target_ms);
  if (one_in_time)
    return compare_numbers (other->begun_ms, one->begun_ms);
  return compare_numbers (one->begun_ms, other->begun_ms);
}

void
gateway_on_wake (evutil_socket_t fd, short what, void *context)
{
  gateway_t *gateway = context;
  struct timeval later = { .tv_usec = QUEUE_EVERY_MS * 1000 };
  GPtrArray *all = g_ptr_array_new ();
  uint64_t now_ms = clock_mono_ms ();

  for (guint i = 0; i < gateway->waiting->len; i++)
    g_ptr_array_add (all, g_ptr_array_index (gateway->waiting, i));
  g_ptr_array_sort_with_data (all, compare_waiting, &now_ms);
  for (guint i = 0; i < all->len; i++)
    gateway_place (g_ptr_array_index (all, i));
  g_ptr_array_free (all, TRUE);
  if (gateway->waiting->len > 0)
    event_add (gateway->wake, &later);
}
