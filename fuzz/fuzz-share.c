/* libFuzzer target for the messages of entry instances to each other: placement
 * requests and answers. Aborts when a message that is accepted changes on its
 * way through the decoder and the encoder. */
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include "placement-message.h"

#define NOW_MS 1000000
#define OWNER  7

/* NOLINTNEXTLINE(readability-identifier-naming): libFuzzer defines the name */
int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

static void
check_request (const Lwm__PlaceRequest *message)
{
  placement_request_t request;
  placement_request_t again;
  Lwm__PlaceRequest encoded;

  if (!placement_request_from_message (message, OWNER, NOW_MS, &request))
    return;
  placement_request_to_message (&request, NOW_MS, &encoded);
  if (!placement_request_from_message (&encoded, OWNER, NOW_MS, &again)
      || again.id != request.id || again.arrived_ms != request.arrived_ms
      || again.deadline_ms != request.deadline_ms
      || again.avoid_count != request.avoid_count
      || strcmp (again.service, request.service) != 0)
    abort ();
}

static void
check_answer (const Lwm__PlaceAnswer *message)
{
  placement_answer_t answer;
  placement_answer_t again;
  placement_request_t request = { .id = message->id };
  upstream_job_t jobs[PLACEMENT_MAX_JOBS];
  Lwm__PlaceAnswer encoded;

  if (!placement_answer_from_message (message, &answer))
    return;
  placement_answer_to_message (&answer, message->id, &encoded);
  if (!placement_answer_from_message (&encoded, &again)
      || again.upstream != answer.upstream || again.kind != answer.kind
      || placement_jobs (&request, &answer, NOW_MS, jobs)
             != placement_jobs (&request, &again, NOW_MS, jobs))
    abort ();
}

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  Lwm__ShareMessage *message = lwm__share_message__unpack (NULL, size, data);

  if (message == NULL)
    return 0;
  if (message->what_case == LWM__SHARE_MESSAGE__WHAT_REQUEST)
    check_request (message->request);
  if (message->what_case == LWM__SHARE_MESSAGE__WHAT_ANSWER)
    check_answer (message->answer);
  lwm__share_message__free_unpacked (message, NULL);
  return 0;
}
