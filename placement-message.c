#include "placement-message.h"

#include <glib.h>
#include <string.h>

/** Longest age or remaining time that is taken from a message. */
#define MAX_TIME_MS (24u * 60 * 60 * 1000)

/** Copies @a count elements; a list without elements has no address. */
#define COPY_LIST(to, from, count)                                             \
  do                                                                           \
    {                                                                          \
      if ((count) > 0)                                                         \
        memcpy (to, from, (count) * sizeof *(from));                           \
    }                                                                          \
  while (0)

void
placement_request_to_message (const placement_request_t *request,
                              uint64_t now_ms,
                              Lwm__PlaceRequest *message)
{
  lwm__place_request__init (message);
  message->id = request->id;
  message->service = (char *)request->service;
  message->prompt_tokens = request->prompt_tokens;
  message->answer_tokens = request->answer_tokens;
  message->target_ms = request->target_ms;
  message->gap_target_ms = request->gap_target_ms;
  message->priority = request->priority;
  message->waited_ms = (uint32_t)(now_ms - request->arrived_ms);
  message->left_ms = request->deadline_ms > now_ms
                         ? (uint32_t)(request->deadline_ms - now_ms)
                         : 0;
  message->avoid = (uint64_t *)request->avoid;
  message->n_avoid = request->avoid_count;
  message->parts = (uint64_t *)request->parts.ids;
  message->n_parts = prompt_parts_first_count (&request->parts);
  if (message->n_parts < request->parts.count)
    {
      message->all_parts = (uint64_t *)request->parts.ids;
      message->n_all_parts = request->parts.count;
    }
  message->signature = request->parts.request;
  message->is_move = request->is_move;
  message->silent_ms = request->silent_ms;
  message->current = (uint64_t *)request->current;
  message->n_current = request->current_count;
}

bool
placement_request_from_message (const Lwm__PlaceRequest *message,
                                uint64_t owner,
                                uint64_t now_ms,
                                placement_request_t *request)
{
  if (strlen (message->service) >= sizeof request->service
      || message->n_avoid > PLACEMENT_MAX_AVOID
      || message->n_current > PLACEMENT_MAX_JOBS || message->id == 0)
    return false;
  *request = (placement_request_t){
    .id = message->id,
    .owner = owner,
    .prompt_tokens = message->prompt_tokens,
    .answer_tokens = message->answer_tokens,
    .target_ms = message->target_ms,
    .gap_target_ms = message->gap_target_ms,
    .priority = message->priority,
    .arrived_ms = now_ms - MIN (message->waited_ms, MIN (now_ms, MAX_TIME_MS)),
    .deadline_ms = now_ms + MIN (message->left_ms, MAX_TIME_MS),
    .avoid_count = (uint32_t)message->n_avoid,
    .parts
    = prompt_parts_from_message (message->parts, message->n_parts,
                                 message->all_parts, message->n_all_parts),
    .is_move = message->is_move,
    .silent_ms = message->silent_ms,
    .current_count = (uint32_t)message->n_current,
  };
  g_strlcpy (request->service, message->service, sizeof request->service);
  COPY_LIST (request->avoid, message->avoid, message->n_avoid);
  COPY_LIST (request->current, message->current, message->n_current);
  request->parts.request = message->signature;
  return true;
}

void
placement_answer_to_message (const placement_answer_t *answer,
                             uint64_t id,
                             Lwm__PlaceAnswer *message)
{
  lwm__place_answer__init (message);
  message->id = id;
  message->kind = (Lwm__PlaceKind)answer->kind;
  message->upstream = answer->upstream;
  message->helpers = (uint64_t *)answer->helpers;
  message->n_helpers = answer->helper_count;
  message->memory_tokens = (uint32_t *)answer->memory_tokens;
  message->n_memory_tokens = answer->memory_count;
  message->first_ms = (float)answer->first_ms;
  message->damage = (float)answer->damage;
  message->damage_decoding = (float)answer->damage_decoding;
  message->damage_waiting = (float)answer->damage_waiting;
  message->loss = (float)answer->loss;
  message->blocked = (float)answer->blocked;
  message->filled = (float)answer->filled;
  message->usable = answer->usable;
  message->retry_ms = answer->retry_ms;
  message->is_limited = answer->is_limited;
  message->is_cold = answer->is_cold;
}

bool
placement_answer_from_message (const Lwm__PlaceAnswer *message,
                               placement_answer_t *answer)
{
  if (message->kind > LWM__PLACE_KIND__PLACE_UNABLE
      || message->n_helpers > CHOICE_MAX_HELPERS
      || message->n_memory_tokens > CHOICE_MAX_RESERVATIONS
      || message->n_memory_tokens > message->n_helpers)
    return false;
  *answer = (placement_answer_t){
    .kind = (placement_kind_t)message->kind,
    .upstream = message->upstream,
    .helper_count = (uint32_t)message->n_helpers,
    .memory_count = (uint32_t)message->n_memory_tokens,
    .first_ms = (double)message->first_ms,
    .damage = (double)message->damage,
    .damage_decoding = (double)message->damage_decoding,
    .damage_waiting = (double)message->damage_waiting,
    .loss = (double)message->loss,
    .blocked = (double)message->blocked,
    .filled = (double)message->filled,
    .usable = message->usable,
    .retry_ms = message->retry_ms,
    .is_limited = message->is_limited,
    .is_cold = message->is_cold,
  };
  COPY_LIST (answer->helpers, message->helpers, message->n_helpers);
  COPY_LIST (answer->memory_tokens, message->memory_tokens,
             message->n_memory_tokens);
  return true;
}
