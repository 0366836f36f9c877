#include "load-record.h"

#include <inttypes.h>

static const char *const outcomes[LOAD_OUTCOME_COUNT]
    = { "ok", "refused", "failed", "lost", "wrong" };

bool
load_record_in_time (const load_record_t *record)
{
  const Lwm__LoadClass *class = record->request.class_;

  if (record->outcome != LOAD_OK)
    return false;
  if (record->deadline_us > 0 && record->end_us > record->deadline_us)
    return false;
  return class == NULL || class->first_token_ms == 0
         || record->first_token_us <= class->first_token_ms * UINT64_C (1000);
}

void
load_record_write_header (FILE *out)
{
  fputs ("number\tintended_ms\tkind\tcustomer\tprompt_tokens\toutput_tokens\t"
         "prefix\tresend_of\toutcome\tstatus\treason\tnot_run\tsent_ms\t"
         "first_token_ms\tend_ms\ttokens\tcached_tokens\tin_time\n",
         out);
}

static double
to_ms (uint64_t us)
{
  return (double)us / 1000;
}

void
load_record_write (const load_record_t *record, FILE *out)
{
  const load_request_t *request = &record->request;
  const char *kind
      = request->class_ != NULL ? request->class_->name : request->call->name;

  fprintf (out, "%" PRIu64 "\t%.3f\t%s\t%s\t%u\t%u\t%d\t%" PRIu64,
           request->number, to_ms (request->at_us), kind, request->customer,
           request->prompt_tokens, request->output_tokens, request->prefix,
           request->resend_of);
  fprintf (out, "\t%s\t%d\t%s\t%s\t%.3f\t%.3f\t%.3f\t%u\t%u\t%d\n",
           outcomes[record->outcome], record->status,
           record->reason[0] != '\0' ? record->reason : "-",
           record->not_run[0] != '\0' ? record->not_run : "-",
           to_ms (record->sent_us), to_ms (record->first_token_us),
           to_ms (record->end_us), record->tokens, record->cached_tokens,
           load_record_in_time (record));
}
