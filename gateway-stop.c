/* The planned stop of a gateway: what was accepted is delivered or refused. */
#include "base.h"
#include "gateway-internal.h"

/** Returns whether no upstream works on the request and none was found yet: it
 * waits for one to be free, for the end of a pause, or for memory. */
static bool
is_waiting (const gateway_request_t *request)
{
  if (request->exchange != NULL)
    return false;
  return request->ask == NULL || zone_ask_is_queued (request->ask);
}

/** Returns whether a request may wait on. Long prompts take long when they are
 * placed, so they leave a stopping instance first. A stream that has begun can
 * only go on here. */
static bool
may_wait (const gateway_request_t *request)
{
  const gateway_t *gateway = request->gateway;

  if (request->is_reply_begun)
    return true;
  if (request->terms.prompt_tokens > GATEWAY_LONG_PROMPT_TOKENS)
    return !gateway->is_draining;
  return !gateway->is_finishing;
}

void
gateway_end_truly (gateway_request_t *request, error_kind_t kind)
{
  bool may_have_run = request->may_have_run || request->exchange != NULL;

  if (request->exchange != NULL || request->job_id != 0)
    gateway_end_attempt (request, UPSTREAM_JOB_NEUTRAL);
  if (request->is_reply_begun)
    gateway_abort (request, "stopping");
  else if (may_have_run)
    gateway_refuse (request, ERROR_UPSTREAM_FAILED, 0);
  else
    gateway_refuse (request, kind,
                    gateway_add_jitter_ms (GATEWAY_RETRY_AFTER_MS));
}

static void
end_request (gateway_request_t *request)
{
  gateway_end_truly (request, ERROR_STOPPING);
}

static bool
must_leave (const gateway_request_t *request)
{
  return is_waiting (request) && !may_wait (request);
}

void
gateway_refuse_if_stopping (gateway_request_t *request)
{
  if (must_leave (request))
    end_request (request);
}

/** Refuses the requests that may not wait any more. The end of one may end
 * others, so the search begins anew after each. */
static void
refuse_waiting (gateway_t *gateway)
{
  guint i = 0;

  while (i < gateway->open->len)
    {
      gateway_request_t *request = g_ptr_array_index (gateway->open, i++);

      if (!must_leave (request))
        continue;
      end_request (request);
      i = 0;
    }
}

static bool
should_be_closed (const gateway_t *gateway)
{
  return gateway->is_closed
         || (gateway->close_at_ms > 0
             && clock_mono_ms () >= gateway->close_at_ms);
}

bool
gateway_is_too_late (const gateway_request_t *request)
{
  const gateway_t *gateway = request->gateway;

  return should_be_closed (gateway)
         && request->deadline_ms > gateway->stop_at_ms;
}

void
gateway_drain (gateway_t *gateway, uint64_t end_ms)
{
  gateway->is_draining = true;
  gateway->stop_at_ms = end_ms;
  caller_server_drain (gateway->callers);
  if (gateway->tunnels != NULL)
    tunnel_server_stop (gateway->tunnels);
  refuse_waiting (gateway);
}

void
gateway_close_at (gateway_t *gateway, uint64_t close_ms)
{
  gateway->close_at_ms = close_ms;
}

void
gateway_close (gateway_t *gateway)
{
  gateway->is_closed = true;
  caller_server_close_listener (gateway->callers);
  caller_server_close_idle (gateway->callers);
}

void
gateway_refuse_waiting (gateway_t *gateway)
{
  gateway->is_finishing = true;
  caller_server_refuse_partial (gateway->callers);
  refuse_waiting (gateway);
}

void
gateway_end_open (gateway_t *gateway)
{
  while (gateway->open->len > 0)
    end_request (g_ptr_array_index (gateway->open, 0));
}

bool
gateway_has_ended (const gateway_t *gateway)
{
  return !caller_server_is_busy (gateway->callers)
         && (gateway->tunnels == NULL
             || !tunnel_server_is_busy (gateway->tunnels, clock_mono_ms ()));
}
