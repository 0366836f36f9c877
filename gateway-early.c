/* Requests that come before a starting instance can serve them. */
#include <event2/event.h>

#include "base.h"
#include "caller-server.h"
#include "gateway-internal.h"
#define LOG_PART "gateway"
#include "logging.h"

/** From the start: upstreams announce themselves about as often, and mostly an
 * instance is configured sooner. */
#define EARLY_MS  1200
#define MAX_EARLY 256
/** Share of the upstreams it was told of that have announced themselves; all
 * at once, those who wait would be too many for fewer. */
#define ENOUGH_UPSTREAMS 0.5

static bool
has_enough_upstreams (const gateway_t *gateway)
{
  size_t count;
  size_t announced = 0;
  const upstream_member_t *const *members
      = upstream_set_members (gateway->set, &count);

  for (size_t i = 0; i < count; i++)
    announced += members[i]->is_usable && !members[i]->is_silent;
  return count > 0 && (double)announced >= ENOUGH_UPSTREAMS * (double)count;
}

static bool
is_early (const gateway_t *gateway)
{
  return clock_mono_ms () < gateway->started_ms + EARLY_MS
         && (gateway->config == NULL || !has_enough_upstreams (gateway));
}

bool
gateway_hold_early (gateway_t *gateway,
                    caller_request_t *caller,
                    const char *request_id)
{
  uint64_t now_ms = clock_mono_ms ();
  struct timeval wait;

  if (!is_early (gateway) || gateway->early->len >= MAX_EARLY)
    return false;
  if (gateway->early->len == 0)
    {
      wait = clock_timeval (gateway->started_ms + EARLY_MS - now_ms);
      event_add (gateway->early_end, &wait);
    }
  g_ptr_array_add (gateway->early, caller);
  metric_add (gateway->counters.early, 1);
  log_info ("Request waits for a start to end. request=%s config=%ju held=%u "
            "after_ms=%ju",
            request_id, (uintmax_t)gateway_config_number (gateway),
            gateway->early->len, (uintmax_t)(now_ms - gateway->started_ms));
  return true;
}

void
gateway_drop_early (gateway_t *gateway, caller_request_t *caller)
{
  if (!g_ptr_array_remove (gateway->early, caller))
    return;
  metric_add (gateway->counters.gone, 1);
  log_info ("A caller left before a start had ended. held=%u",
            gateway->early->len);
}

void
gateway_look_at_early (gateway_t *gateway)
{
  guint count = gateway->early->len;

  event_del (gateway->early_end);
  for (guint i = 0; i < count; i++)
    {
      caller_request_t *caller = g_ptr_array_index (gateway->early, 0);

      g_ptr_array_remove_index (gateway->early, 0);
      gateway_take (gateway, caller);
    }
}

void
gateway_end_early (gateway_t *gateway)
{
  if (gateway->early->len > 0 && !is_early (gateway))
    gateway_look_at_early (gateway);
}

void
gateway_on_early_end (evutil_socket_t fd, short what, void *context)
{
  gateway_look_at_early (context);
}
