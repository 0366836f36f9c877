#include "request-crashes.h"

#include <string.h>
#include <sys/param.h>
#include <talloc.h>
#include <xxhash.h>

#include "quarantine-message.h"

/** Suspects of one message. */
#define MAX_SUSPECTS 32
/** Crashes observed by this instance that are kept, and for how long. */
#define MAX_OWN     32
#define OWN_KEPT_MS (60u * 1000)

/** A crash that this instance observed. */
typedef struct
{
  uint64_t signature;
  uint64_t upstream; /* key of the incarnation */
  uint64_t crashed_ms;
} own_crash_t;

struct request_crashes
{
  request_crashes_options_t options;
  quarantine_t *quarantine;
  own_crash_t own[MAX_OWN]; /* a ring */
  uint32_t own_next;        /* index of the oldest one */
};

request_crashes_t *
request_crashes_new (void *parent, const request_crashes_options_t *options)
{
  request_crashes_t *crashes = talloc_zero (parent, request_crashes_t);

  crashes->options = *options;
  crashes->quarantine = quarantine_new (crashes, options->metrics);
  return crashes;
}

/** Returns the key of an upstream's incarnation, equal at all instances. */
static uint64_t
incarnation_key (const char *upstream, uint64_t incarnation)
{
  return XXH64 (upstream, strlen (upstream), incarnation);
}

static prompt_parts_t
parts_of (uint64_t signature)
{
  return (prompt_parts_t){ .request = signature };
}

static void
report_news (const request_crashes_t *crashes)
{
  if (crashes->options.news != NULL)
    crashes->options.news (crashes->options.context);
}

void
request_crashes_add (request_crashes_t *crashes,
                     uint64_t signature,
                     const char *upstream,
                     uint64_t incarnation,
                     uint64_t now_ms)
{
  prompt_parts_t parts = parts_of (signature);
  uint64_t key = incarnation_key (upstream, incarnation);

  if (signature == 0)
    return;
  quarantine_add_crash (crashes->quarantine, &parts, key, now_ms);
  crashes->own[crashes->own_next] = (own_crash_t){ signature, key, now_ms };
  crashes->own_next = (crashes->own_next + 1) % MAX_OWN;
  report_news (crashes);
}

void
request_crashes_add_success (request_crashes_t *crashes,
                             uint64_t signature,
                             const char *upstream,
                             uint64_t incarnation,
                             uint64_t now_ms)
{
  prompt_parts_t parts = parts_of (signature);
  bool is_suspect;

  if (signature == 0)
    return;
  is_suspect = quarantine_request_crashes (crashes->quarantine, signature) > 0;
  quarantine_add_success (crashes->quarantine, &parts,
                          incarnation_key (upstream, incarnation), now_ms);
  if (!is_suspect)
    return;
  /* Other instances may have been told of a single crash, too. */
  quarantine_merge_success (crashes->quarantine, signature, now_ms);
  report_news (crashes);
}

quarantine_level_t
request_crashes_level (const request_crashes_t *crashes, uint64_t signature)
{
  prompt_parts_t parts = parts_of (signature);

  return signature != 0 ? quarantine_level (crashes->quarantine, &parts)
                        : QUARANTINE_CLEAR;
}

uint32_t
request_crashes_remaining_ms (const request_crashes_t *crashes,
                              uint64_t signature,
                              uint64_t now_ms)
{
  prompt_parts_t parts = parts_of (signature);

  return quarantine_remaining_ms (crashes->quarantine, &parts, now_ms);
}

/** Returns whether a single crash is still to be told: it is recent, and
 * neither withdrawn nor one of several. */
static bool
is_told (const request_crashes_t *crashes,
         const own_crash_t *own,
         uint64_t now_ms)
{
  return own->signature != 0 && own->crashed_ms + OWN_KEPT_MS > now_ms
         && quarantine_request_crashes (crashes->quarantine, own->signature)
                == 1;
}

static Lwm__ShareSuspect *
write_own (const own_crash_t *own, uint64_t now_ms, void *parent)
{
  Lwm__ShareSuspect *message = talloc (parent, Lwm__ShareSuspect);

  lwm__share_suspect__init (message);
  message->part = own->signature;
  message->is_request = true;
  message->crashes
      = talloc_memdup (message, &own->upstream, sizeof own->upstream);
  message->n_crashes = 1;
  message->last_ago_ms = (uint32_t)(now_ms - own->crashed_ms);
  return message;
}

/** Adds single crashes, the latest first, while there is room. */
static void
add_own (const request_crashes_t *crashes,
         uint64_t now_ms,
         Lwm__CrashEvidence *evidence)
{
  for (uint32_t i = 1; i <= MAX_OWN; i++)
    {
      const own_crash_t *own
          = &crashes->own[(crashes->own_next + MAX_OWN - i) % MAX_OWN];

      if (evidence->n_suspects < MAX_SUSPECTS && is_told (crashes, own, now_ms))
        evidence->suspects[evidence->n_suspects++]
            = write_own (own, now_ms, evidence);
    }
}

Lwm__CrashEvidence *
request_crashes_to_message (const request_crashes_t *crashes,
                            uint64_t now_ms,
                            void *parent)
{
  Lwm__CrashEvidence *evidence = talloc (parent, Lwm__CrashEvidence);
  Lwm__ShareAck known = LWM__SHARE_ACK__INIT;

  lwm__crash_evidence__init (evidence);
  quarantine_to_ack (crashes->quarantine, now_ms, evidence, &known);
  evidence->suspects
      = talloc_array (evidence, Lwm__ShareSuspect *, MAX_SUSPECTS);
  evidence->n_suspects = MIN (known.n_suspects, MAX_SUSPECTS);
  memcpy (evidence->suspects, known.suspects,
          evidence->n_suspects * sizeof *evidence->suspects);
  evidence->cleared = known.cleared;
  evidence->n_cleared = known.n_cleared;
  add_own (crashes, now_ms, evidence);
  if (evidence->n_suspects + evidence->n_cleared == 0)
    TALLOC_FREE (evidence);
  return evidence;
}

bool
request_crashes_merge (request_crashes_t *crashes,
                       const Lwm__CrashEvidence *evidence,
                       uint64_t now_ms)
{
  Lwm__ShareAck known = LWM__SHARE_ACK__INIT;

  known.suspects = evidence->suspects;
  known.n_suspects = evidence->n_suspects;
  known.cleared = evidence->cleared;
  known.n_cleared = evidence->n_cleared;
  quarantine_from_ack (crashes->quarantine, &known, now_ms);
  for (size_t i = 0; i < evidence->n_suspects; i++)
    if (quarantine_request_crashes (crashes->quarantine,
                                    evidence->suspects[i]->part)
        > MAX (evidence->suspects[i]->n_crashes, 1))
      return true;
  return false;
}

void
request_crashes_tick (request_crashes_t *crashes, uint64_t now_ms)
{
  quarantine_tick (crashes->quarantine, now_ms);
}
