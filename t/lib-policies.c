#include "lib-policies.h"

#include <glib.h>

#define POLICY_RETRY_MS 300

/** Returns the number of requests at an engine, and its used memory. */
static uint32_t
count_requests (const upstream_member_t *member, double *kv_tokens)
{
  uint32_t requests = 0;

  *kv_tokens = 0;
  for (guint i = 0; i < member->jobs->len; i++)
    {
      const upstream_job_t *job = g_ptr_array_index (member->jobs, i);

      requests += !job->is_part;
      *kv_tokens += job->kv_tokens;
    }
  return requests;
}

static bool
has_room (const choice_request_t *request, const upstream_member_t *member)
{
  double kv_tokens;
  uint32_t requests = count_requests (member, &kv_tokens);

  return requests < request->model->slots
         && kv_tokens + request->prompt_tokens + request->answer_tokens
                <= (double)request->model->kv_tokens;
}

/** Chooses the engine with the fewest requests among @a tries random ones. */
static choice_t
choose_least_loaded (const upstream_set_t *set,
                     const choice_request_t *request,
                     uint32_t tries)
{
  choice_t choice = { .kind = CHOICE_WAIT, .retry_ms = POLICY_RETRY_MS };
  size_t count;
  const upstream_member_t *const *members = upstream_set_members (set, &count);
  double ignored;

  if (request->prompt_tokens + request->answer_tokens
      > request->model->kv_tokens)
    choice.kind = CHOICE_UNMEETABLE;
  for (uint32_t i = 0; i < tries && choice.kind != CHOICE_UNMEETABLE; i++)
    {
      /* The step varies, so that consecutive draws are not always neighbours.
       */
      const upstream_member_t *member
          = members[(request->random + i * (request->random % 7 + 1)) % count];

      if (!has_room (request, member)
          || (choice.member != NULL
              && count_requests (member, &ignored)
                     >= count_requests (choice.member, &ignored)))
        continue;
      choice.kind = CHOICE_SEND;
      choice.member = member;
    }
  return choice;
}

choice_t
policy_fewest_requests (const upstream_set_t *set,
                        const choice_request_t *request,
                        uint64_t now_ms)
{
  size_t count;

  upstream_set_members (set, &count);
  return choose_least_loaded (set, request, (uint32_t)count * 2);
}

choice_t
policy_random (const upstream_set_t *set,
               const choice_request_t *request,
               uint64_t now_ms)
{
  return choose_least_loaded (set, request, 1);
}

choice_t
policy_two_choices (const upstream_set_t *set,
                    const choice_request_t *request,
                    uint64_t now_ms)
{
  return choose_least_loaded (set, request, 2);
}
