/* Queue of requests that arrive before a starting instance can serve them. */
#include <event2/event.h>

#include "base.h"
#include "caller-server.h"
#include "gateway-internal.h"
#define LOG_PART "gateway"
#include "logging.h"

/** Time after the start during which requests are held. Upstreams announce
 * themselves at about this interval, and an instance usually receives its
 * configuration earlier. */
#define STARTUP_HOLD_MS   1200
#define MAX_HELD_REQUESTS 256
/** Share of the known upstreams that must have announced themselves before the
 * held requests are admitted. They are admitted all at once and would overload
 * fewer upstreams. */
#define MIN_ANNOUNCED_SHARE 0.5

static bool
has_enough_upstreams (const gateway_t *gateway)
{
  size_t count;
  size_t announced = 0;
  const upstream_member_t *const *members
      = upstream_set_members (gateway->set, &count);

  for (size_t i = 0; i < count; i++)
    announced += members[i]->is_usable && !members[i]->is_silent;
  return count > 0 && (double)announced >= MIN_ANNOUNCED_SHARE * (double)count;
}

static bool
is_starting (const gateway_t *gateway)
{
  return clock_mono_ms () < gateway->started_ms + STARTUP_HOLD_MS
         && (gateway->config == NULL || !has_enough_upstreams (gateway));
}

bool
gateway_hold_at_startup (gateway_t *gateway,
                         caller_request_t *caller,
                         const char *request_id)
{
  uint64_t now_ms = clock_mono_ms ();
  struct timeval wait;

  if (!is_starting (gateway)
      || gateway->startup_queue->len >= MAX_HELD_REQUESTS)
    return false;
  if (gateway->startup_queue->len == 0)
    {
      wait = timeval_from_ms (gateway->started_ms + STARTUP_HOLD_MS - now_ms);
      event_add (gateway->startup_timer, &wait);
    }
  g_ptr_array_add (gateway->startup_queue, caller);
  metric_add (gateway->counters.held_at_startup, 1);
  log_info (
      "Request is held until the startup ends. request=%s config=%ju held=%u "
      "after_ms=%ju",
      request_id, (uintmax_t)gateway_config_number (gateway),
      gateway->startup_queue->len, (uintmax_t)(now_ms - gateway->started_ms));
  return true;
}

void
gateway_drop_held_at_startup (gateway_t *gateway, caller_request_t *caller)
{
  gateway_request_info_t terms = { .id = "" };

  if (!g_ptr_array_remove (gateway->startup_queue, caller))
    return;
  gateway->options.protocol->read_request_info (caller_request_fields (caller),
                                                &terms);
  metric_add (gateway->counters.gone, 1);
  log_info ("A caller closed before the startup ended. request=%s held=%u",
            terms.id, gateway->startup_queue->len);
}

void
gateway_flush_startup_queue (gateway_t *gateway)
{
  guint count = gateway->startup_queue->len;

  event_del (gateway->startup_timer);
  for (guint i = 0; i < count; i++)
    {
      caller_request_t *caller = g_ptr_array_index (gateway->startup_queue, 0);

      g_ptr_array_remove_index (gateway->startup_queue, 0);
      gateway_admit (gateway, caller);
    }
}

void
gateway_check_startup_queue (gateway_t *gateway)
{
  if (gateway->startup_queue->len > 0 && !is_starting (gateway))
    gateway_flush_startup_queue (gateway);
}

void
gateway_on_startup_timer (evutil_socket_t fd, short what, void *context)
{
  gateway_flush_startup_queue (context);
}
