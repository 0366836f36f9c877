#include "quarantine-message.h"

#include <sys/param.h>
#include <talloc.h>

/** Entries of one message, of parts and of requests each. */
#define MAX_SUSPECTS 32
#define MAX_CLEARED  256

typedef struct
{
  uint64_t now_ms;
  Lwm__ShareAck *ack;
  size_t
      max_suspects; /* of the message, with those of the kind that is added */
  size_t max_cleared;
  bool is_request; /* requests are added */
} writer_t;

static void
write_suspect (const quarantine_suspect_t *suspect, void *context)
{
  writer_t *writer = context;
  Lwm__ShareAck *ack = writer->ack;
  Lwm__ShareSuspect *message;

  if (ack->n_suspects == writer->max_suspects)
    return;
  message = talloc (ack->suspects, Lwm__ShareSuspect);
  lwm__share_suspect__init (message);
  message->part = suspect->part;
  message->crashes = (uint64_t *)suspect->crashes;
  message->n_crashes = suspect->crash_count;
  message->crash_ago_ms
      = talloc_array (message, uint32_t, QUARANTINE_MAX_CRASHES);
  message->n_crash_ago_ms = suspect->crash_count;
  for (uint32_t i = 0; i < suspect->crash_count; i++)
    message->crash_ago_ms[i]
        = (uint32_t)(writer->now_ms
                     - MIN (suspect->crashed_ms[i], writer->now_ms));
  message->last_ago_ms = (uint32_t)(writer->now_ms - suspect->last_ms);
  message->was_proven = suspect->was_proven;
  message->is_request = writer->is_request;
  message->blocked_ms = suspect->blocked_ms;
  ack->suspects[ack->n_suspects++] = message;
}

static void
write_cleared (uint64_t part, uint64_t answered_ms, void *context)
{
  writer_t *writer = context;
  Lwm__ShareAck *ack = writer->ack;
  Lwm__ShareCleared *message;

  if (ack->n_cleared == writer->max_cleared)
    return;
  message = talloc (ack->cleared, Lwm__ShareCleared);
  lwm__share_cleared__init (message);
  message->part = part;
  message->ago_ms = (uint32_t)(writer->now_ms - answered_ms);
  message->is_request = writer->is_request;
  message->is_complete = true;
  ack->cleared[ack->n_cleared++] = message;
}

void
quarantine_to_ack (const quarantine_t *quarantine,
                   uint64_t now_ms,
                   void *parent,
                   Lwm__ShareAck *ack)
{
  writer_t writer = { .now_ms = now_ms,
                      .ack = ack,
                      .max_suspects = MAX_SUSPECTS,
                      .max_cleared = MAX_CLEARED,
                      .is_request = true };

  ack->suspects = talloc_array (parent, Lwm__ShareSuspect *, 2 * MAX_SUSPECTS);
  ack->cleared = talloc_array (parent, Lwm__ShareCleared *, 2 * MAX_CLEARED);
  /* Requests come first, as they may explain the crashes of parts. */
  quarantine_each_request (quarantine, write_suspect, &writer);
  quarantine_each_cleared_request (quarantine, now_ms, write_cleared, &writer);
  writer.is_request = false;
  writer.max_suspects = ack->n_suspects + MAX_SUSPECTS;
  writer.max_cleared = ack->n_cleared + MAX_CLEARED;
  quarantine_each_suspect (quarantine, write_suspect, &writer);
  quarantine_each_cleared (quarantine, now_ms, write_cleared, &writer);
}

void
quarantine_from_ack (quarantine_t *quarantine,
                     const Lwm__ShareAck *ack,
                     uint64_t now_ms)
{
  for (size_t i = 0; i < ack->n_cleared; i++)
    {
      const Lwm__ShareCleared *message = ack->cleared[i];
      uint64_t answered_ms = now_ms - MIN (message->ago_ms, now_ms);

      if (message->is_request)
        quarantine_merge_success (quarantine, message->part, answered_ms);
      /* Earlier versions report parts of answers that have only begun. */
      else if (message->is_complete)
        quarantine_merge_part_success (quarantine, message->part, answered_ms);
    }
  for (size_t i = 0; i < ack->n_suspects; i++)
    {
      const Lwm__ShareSuspect *message = ack->suspects[i];
      quarantine_suspect_t suspect
          = { .part = message->part,
              .last_ms = now_ms - MIN (message->last_ago_ms, now_ms),
              .was_proven = message->was_proven && !message->is_request,
              .is_request = message->is_request,
              .blocked_ms
              = MIN (message->blocked_ms, QUARANTINE_MAX_BLOCKED_MS) };

      for (size_t j = 0; j < message->n_crashes && j < QUARANTINE_MAX_CRASHES;
           j++)
        {
          uint32_t ago_ms = j < message->n_crash_ago_ms
                                ? message->crash_ago_ms[j]
                                : message->last_ago_ms;

          suspect.crashed_ms[j] = now_ms - MIN (ago_ms, now_ms);
          suspect.crashes[suspect.crash_count++] = message->crashes[j];
        }
      quarantine_merge (quarantine, &suspect, now_ms);
    }
}
