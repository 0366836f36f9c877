#include <string.h>
#include <talloc.h>

#include "base.h"
#include "gateway-internal.h"
#define LOG_PART "gateway"
#include "logging.h"

static void
end_job (gateway_t *gateway, uint64_t *id, upstream_job_end_t how)
{
  if (*id == 0)
    return;
  zone_placement_end (gateway->placement, *id, how);
  *id = 0;
}

/** Adds a helper to the attempt. */
static void
add_helper (gateway_request_t *request,
            const placement_request_t *placed,
            const placement_answer_t *answer,
            uint32_t index)
{
  gateway_helper_t *helper = &request->helpers[index];
  const upstream_member_t *member
      = upstream_set_find (request->gateway->set, answer->helpers[index]);

  *helper = (gateway_helper_t){ .job_id = placed->id + 1 + index,
                                .upstream_key = member->key };
  helper->address = talloc_strdup (request, member->address);
  if (index < answer->memory_count)
    helper->memory_tokens = answer->memory_tokens[index];
}

void
gateway_begin_jobs (gateway_request_t *request,
                    const placement_request_t *placed,
                    const placement_answer_t *answer)
{
  zone_placement_begin (request->gateway->placement, placed, answer);
  request->job_id = placed->id;
  request->helper_count = answer->helper_count;
  request->memory_count = answer->memory_count;
  for (uint32_t i = 0; i < answer->helper_count; i++)
    add_helper (request, placed, answer, i);
}

/** Ends an attempt that was not sent, and asks for an upstream again. */
static void
place_again (gateway_request_t *request)
{
  gateway_end_jobs (request, UPSTREAM_JOB_NEUTRAL);
  /* Nothing was sent, so the upstream may be tried again. */
  request->attempt_count--;
  gateway_place (request);
}

/** Ends the attempt because a helper has no free memory, and queues the request
 * for another attempt. */
static void
on_memory_refused (gateway_request_t *request, gateway_helper_t *helper)
{
  end_job (request->gateway, &helper->job_id, UPSTREAM_JOB_REFUSED);
  place_again (request);
}

static void
on_ticket_answered (engine_reservation_t *ticket, bool is_held, void *context)
{
  gateway_request_t *request = context;

  for (uint32_t i = 0; i < request->memory_count; i++)
    if (request->helpers[i].ticket == ticket && !is_held)
      {
        on_memory_refused (request, &request->helpers[i]);
        return;
      }
  if (--request->tickets_pending > 0)
    return;
  if (gateway_has_unavailable (request))
    place_again (request);
  else
    gateway_send (request);
}

void
gateway_reserve_memory (gateway_request_t *request)
{
  request->tickets_pending = request->memory_count;
  for (uint32_t i = 0; i < request->memory_count; i++)
    {
      gateway_helper_t *helper = &request->helpers[i];
      engine_reservation_options_t options = { .upstream = helper->upstream_key,
                                               .address = helper->address,
                                               .job_id = helper->job_id,
                                               .tokens = helper->memory_tokens,
                                               .done = on_ticket_answered,
                                               .context = request };

      helper->ticket
          = engine_memory_reserve (request->gateway->memory, &options);
    }
}

void
gateway_on_prompt_read (gateway_request_t *request)
{
  gateway_t *gateway = request->gateway;

  for (uint32_t i = 0; i < request->helper_count; i++)
    if (i >= request->memory_count)
      end_job (gateway, &request->helpers[i].job_id, UPSTREAM_JOB_NEUTRAL);
    else
      {
        upstream_set_progress (gateway->set, request->helpers[i].job_id, 0,
                               clock_mono_ms ());
        zone_placement_first_event (gateway->placement,
                                    request->helpers[i].job_id);
      }
}

void
gateway_report_dead_helper (gateway_request_t *request,
                            const char *failed_helper)
{
  gateway_t *gateway = request->gateway;

  for (uint32_t i = 0; i < request->helper_count; i++)
    {
      gateway_helper_t *helper = &request->helpers[i];
      const upstream_member_t *member
          = upstream_set_find (gateway->set, helper->upstream_key);

      if (strcmp (helper->address, failed_helper) != 0
          && (member == NULL || strcmp (member->id, failed_helper) != 0))
        continue;
      log_info ("An upstream reported a failed helper. request=%s helper=%s "
                "upstream=%s",
                request->terms.id, helper->address, request->upstream_id);
      end_job (gateway, &helper->job_id, UPSTREAM_JOB_DEAD);
    }
}

void
gateway_end_jobs (gateway_request_t *request, upstream_job_end_t how)
{
  for (uint32_t i = 0; i < request->helper_count; i++)
    {
      gateway_helper_t *helper = &request->helpers[i];

      /* The job of a reservation ends when its release is confirmed. */
      if (helper->ticket != NULL)
        engine_memory_release (helper->ticket);
      else
        end_job (request->gateway, &helper->job_id, UPSTREAM_JOB_NEUTRAL);
      TALLOC_FREE (helper->address);
      helper->ticket = NULL;
    }
  request->helper_count = request->memory_count = 0;
  end_job (request->gateway, &request->job_id, how);
}

const char *
gateway_helper_list (void *parent, const gateway_request_t *request)
{
  char *list = NULL;

  for (uint32_t i = 0; i < request->helper_count; i++)
    {
      const gateway_helper_t *helper = &request->helpers[i];

      if (list == NULL)
        list = talloc_strdup (parent, helper->address);
      else
        list = talloc_asprintf_append_buffer (list, ",%s", helper->address);
      if (helper->ticket != NULL)
        list = talloc_asprintf_append_buffer (
            list, "/%s", engine_reservation_id (helper->ticket));
    }
  return list;
}
