#include <string.h>
#include <talloc.h>

#include "base.h"
#include "gateway-internal.h"
#define LOG_PART "gateway"
#include "logging.h"

static void
begin_job (gateway_t *gateway, upstream_job_t *job)
{
  job->id = load_share_next_id (gateway->share);
  upstream_set_begin (gateway->set, job);
  load_share_begin (gateway->share, job);
}

static void
end_job (gateway_t *gateway, uint64_t *id, upstream_job_end_t how)
{
  if (*id == 0)
    return;
  upstream_set_end (gateway->set, *id, how, clock_mono_ms ());
  load_share_end (gateway->share, *id, how);
  *id = 0;
}

/** Adds a helper to the attempt and registers its job. */
static void
add_helper (gateway_request_t *request,
            const upstream_job_t *main_job,
            const choice_t *choice,
            uint32_t index)
{
  gateway_helper_t *helper = &request->helpers[index];
  upstream_job_t job = *main_job;

  *helper = (gateway_helper_t){ 0 };
  helper->upstream_key = job.upstream = choice->helpers[index]->key;
  helper->address = talloc_strdup (request, choice->helpers[index]->address);
  if (index < choice->memory_count)
    {
      char *name = engine_memory_new_id (request->gateway->memory, request);

      helper->memory_tokens = choice->memory_tokens[index];
      g_strlcpy (job.ticket, name, sizeof job.ticket);
      g_strlcpy (helper->ticket_name, name, sizeof helper->ticket_name);
      talloc_free (name);
    }
  job.is_part = true;
  job.answer_tokens = 0;
  job.kv_tokens = helper->memory_tokens;
  begin_job (request->gateway, &job);
  helper->job_id = job.id;
}

void
gateway_begin_jobs (gateway_request_t *request, const choice_t *choice)
{
  uint32_t prompt = request->terms.prompt_tokens;
  upstream_job_t job
      = { .upstream = choice->member->key,
          .prompt_tokens = prompt,
          .read_tokens = prompt / (choice->helper_count + 1),
          .answer_tokens = request->terms.answer_tokens,
          .kv_tokens = prompt + request->terms.answer_tokens,
          .gap_target_ms = request->route.gap_target_ms,
          .begun_ms = request->arrived_ms,
          .due_ms = request->arrived_ms + request->route.target_ms,
          .sent_ms = clock_mono_ms () };

  for (uint32_t i = 0; i < choice->memory_count; i++)
    job.kv_tokens -= MIN (choice->memory_tokens[i], job.kv_tokens);
  job.value = upstream_job_value (prompt, job.answer_tokens);
  begin_job (request->gateway, &job);
  request->job_id = job.id;
  request->helper_count = choice->helper_count;
  request->memory_count = choice->memory_count;
  for (uint32_t i = 0; i < choice->helper_count; i++)
    add_helper (request, &job, choice, i);
}

/** Ends the attempt because a helper has no free memory, and queues the request
 * for another attempt. */
static void
on_memory_refused (gateway_request_t *request, gateway_helper_t *helper)
{
  gateway_t *gateway = request->gateway;

  end_job (gateway, &helper->job_id, UPSTREAM_JOB_REFUSED);
  gateway_end_jobs (request, UPSTREAM_JOB_NEUTRAL);
  /* Nothing was sent, so the upstream may be tried again. */
  request->attempt_count--;
  gateway_enqueue (request);
  gateway_schedule_queue (gateway);
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
  if (--request->tickets_pending == 0)
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
                                               .name = helper->ticket_name,
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
        upstream_set_progress (gateway->set, request->helpers[i].job_id,
                               clock_mono_ms ());
        load_share_first_event (gateway->share, request->helpers[i].job_id);
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

      end_job (request->gateway, &helper->job_id, UPSTREAM_JOB_NEUTRAL);
      if (helper->ticket != NULL)
        engine_memory_release (helper->ticket);
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
