#include "job.h"

#include <talloc.h>

job_t *
job_new (void *parent, const sched_request_t *request)
{
  job_t *job = talloc_zero (parent, job_t);

  job->id = request->id;
  job->service = talloc_strdup (job, request->service);
  job->customer = talloc_strdup (job, request->customer);
  job->model = talloc_strdup (job, request->model);
  job->adapter = talloc_strdup (job, request->adapter);
  job->version = talloc_strdup (job, request->version);
  job->prompt_tokens = request->prompt_tokens;
  job->max_tokens = request->max_tokens;
  job->prefix_hash = request->prefix_hash;
  job->priority = request->priority;
  job->deadline_ms = request->deadline_ms;
  job->first_token_by_ms = request->first_token_by_ms;
  return job;
}

bool
job_is_long (const job_t *job)
{
  return job->prompt_tokens > JOB_LONG_TOKENS;
}

uint64_t
job_max_kv_tokens (const job_t *job)
{
  return job->prompt_tokens + job->max_tokens;
}

uint64_t
job_unread_tokens (const job_t *job)
{
  if (!job->reading || job->cached_tokens >= job->prompt_tokens)
    return 0;
  return job->prompt_tokens - job->cached_tokens;
}
