/* The planned stop of a gateway: what was accepted is delivered or refused. */
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

  if (request->terms.prompt_tokens > GATEWAY_LONG_PROMPT_TOKENS)
    return !gateway->is_draining;
  return !gateway->is_closed || request->is_reply_begun;
}

/** Ends a request without an upstream, truly: one that may have run is not
 * called not run. */
static void
end_request (gateway_request_t *request)
{
  bool may_have_run = request->may_have_run || request->exchange != NULL;

  gateway_end_attempt (request, UPSTREAM_JOB_NEUTRAL);
  if (request->is_reply_begun)
    gateway_abort (request, "stopping");
  else if (may_have_run)
    gateway_refuse (request, ERROR_UPSTREAM_FAILED, 0);
  else
    gateway_refuse (request, ERROR_STOPPING,
                    gateway_add_jitter_ms (GATEWAY_RETRY_AFTER_MS));
}

void
gateway_refuse_if_stopping (gateway_request_t *request)
{
  if (is_waiting (request) && !may_wait (request))
    end_request (request);
}

static void
refuse_waiting (gateway_t *gateway)
{
  for (guint i = gateway->open->len; i-- > 0;)
    gateway_refuse_if_stopping (g_ptr_array_index (gateway->open, i));
}

void
gateway_drain (gateway_t *gateway)
{
  gateway->is_draining = true;
  caller_server_drain (gateway->callers);
  refuse_waiting (gateway);
}

void
gateway_close (gateway_t *gateway)
{
  caller_server_close_listener (gateway->callers);
  caller_server_close_idle (gateway->callers);
  if (gateway->is_closed)
    return;
  gateway->is_closed = true;
  refuse_waiting (gateway);
}

void
gateway_refuse_new (gateway_t *gateway)
{
  gateway->refuses_new = true;
  caller_server_refuse_partial (gateway->callers);
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
  return !caller_server_is_busy (gateway->callers);
}
