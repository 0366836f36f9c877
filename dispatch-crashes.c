/* Upstreams that end while they run requests: evidence against requests on
 * which they crash, and the end of requests that must not be sent. */
#include <string.h>

#include "base.h"
#include "dispatch-internal.h"

void
dispatch_record_crash (dispatch_t *dispatch, request_t *request)
{
  request_attempt_t *attempt = &request->attempt;

  if (!attempt->is_broken_off)
    return;
  attempt->is_broken_off = false;
  if (!attempt->has_left
      && !registry_is_leaving (dispatch->options.registry, attempt->upstream,
                               attempt->incarnation))
    request_crashes_add (dispatch->options.crashes, request->signature,
                         attempt->upstream, attempt->incarnation,
                         clock_mono_ms ());
}

void
dispatch_record_end (dispatch_t *dispatch,
                     request_t *request,
                     const upstream_end_t *end)
{
  request_attempt_t *attempt = &request->attempt;

  if (end->is_leaving)
    registry_record_leaving (dispatch->options.registry, attempt->upstream,
                             attempt->incarnation);
  if (end->result != UPSTREAM_DONE)
    attempt->is_broken_off = attempt->is_broken_off || end->is_broken_off;
  else if (request->span_job == NULL && !end->has_not_run)
    request_crashes_add_success (dispatch->options.crashes, request->signature,
                                 attempt->upstream, attempt->incarnation,
                                 clock_mono_ms ());
}

bool
dispatch_is_suspect (const dispatch_t *dispatch, const request_t *request)
{
  return request_crashes_level (dispatch->options.crashes, request->signature)
         != QUARANTINE_CLEAR;
}

bool
dispatch_refuse_blocked (dispatch_t *dispatch, request_t *request)
{
  const request_crashes_t *crashes = dispatch->options.crashes;
  uint32_t remaining_ms;

  if (request_crashes_level (crashes, request->signature) != QUARANTINE_BLOCKED)
    return false;
  remaining_ms = request_crashes_remaining_ms (crashes, request->signature,
                                               clock_mono_ms ());
  if (dispatch_run_state (dispatch, request) != RAN_NO)
    dispatch_fail (dispatch, request, ERROR_UPSTREAM_FAILED);
  else if (request->state == REQUEST_RECEIVED)
    dispatch_refuse (dispatch, request, ERROR_QUARANTINED, remaining_ms);
  else
    {
      request->retry_after_ms = remaining_ms;
      dispatch_fail (dispatch, request, ERROR_QUARANTINED);
    }
  return true;
}

void
dispatch_upstream_gone (dispatch_t *dispatch,
                        const char *upstream,
                        uint64_t incarnation,
                        bool is_dead,
                        bool has_left)
{
  GList *live;

  if (is_dead)
    cancels_drop_incarnation (dispatch->cancels, upstream, incarnation);
  live = g_hash_table_get_values (dispatch->by_id);
  for (GList *item = live; item != NULL; item = item->next)
    {
      request_t *request = item->data;

      if (request->attempt.upstream == NULL
          || request->attempt.incarnation > incarnation
          || strcmp (request->attempt.upstream, upstream) != 0)
        continue;
      request->attempt.has_left = request->attempt.has_left || has_left;
      if (is_dead)
        attempt_upstream_lost (dispatch, request);
    }
  g_list_free (live);
}
