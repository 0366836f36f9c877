#include "base.h"
#include "gateway-internal.h"
#include "request-signature.h"

uint64_t
gateway_sign_request (const gateway_request_t *request)
{
  const caller_request_t *caller = request->caller;
  const shared_bytes_t *body = caller_request_body (caller);
  request_signature_t signature
      = { .method = caller_request_method (caller),
          .host = http_fields_find (caller_request_fields (caller), "Host"),
          .target = caller_request_target (caller),
          .customer = request->customer,
          .body = body->data,
          .body_bytes = body->size_bytes };

  return request_signature_hash (&signature);
}

quarantine_level_t
gateway_quarantine_level (const gateway_request_t *request)
{
  return quarantine_level (request->gateway->quarantine, &request->parts);
}

void
gateway_refuse_quarantined (gateway_request_t *request)
{
  if (request->is_reply_begun)
    gateway_abort (request, "quarantined");
  else if (request->may_have_run)
    gateway_refuse (request, ERROR_UPSTREAM_FAILED, 0);
  else
    gateway_refuse (request, ERROR_QUARANTINED,
                    quarantine_remaining_ms (request->gateway->quarantine,
                                             &request->parts,
                                             clock_mono_ms ()));
}

void
gateway_on_job_answered (const upstream_job_t *job,
                         uint64_t now_ms,
                         void *context)
{
  gateway_t *gateway = context;

  if (!job->is_part)
    quarantine_add_answer (gateway->quarantine, job->upstream, now_ms);
}

void
gateway_on_job_broken (const upstream_job_t *job,
                       uint64_t now_ms,
                       void *context)
{
  gateway_t *gateway = context;

  if (job->parts.count > 0 || job->parts.request != 0)
    quarantine_add_crash (gateway->quarantine, &job->parts, job->upstream,
                          now_ms);
}

void
gateway_on_job_complete (const upstream_job_t *job,
                         uint64_t now_ms,
                         void *context)
{
  gateway_t *gateway = context;

  if (!job->is_part)
    quarantine_add_success (gateway->quarantine, &job->parts, job->upstream,
                            now_ms);
}
