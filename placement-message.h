/**
 * @file placement-message.h
 * Converts placements to and from the messages of entry instances.
 */
#ifndef PLACEMENT_MESSAGE_H
#define PLACEMENT_MESSAGE_H

#include "placer.h"
#include "share.pb-c.h"

/** Fills in a message, which points into @a request. */
void placement_request_to_message (const placement_request_t *request,
                                   uint64_t now_ms,
                                   Lwm__PlaceRequest *message);

/**
 * Reads a request from a message of the instance @a owner. Its age and the time
 * left become times of this instance's clock.
 * @return false when the message is malformed
 */
bool placement_request_from_message (const Lwm__PlaceRequest *message,
                                     uint64_t owner,
                                     uint64_t now_ms,
                                     placement_request_t *request);

/** Fills in a message, which points into @a answer. */
void placement_answer_to_message (const placement_answer_t *answer,
                                  uint64_t id,
                                  Lwm__PlaceAnswer *message);

/** Reads an answer. Returns false when the message is malformed. */
bool placement_answer_from_message (const Lwm__PlaceAnswer *message,
                                    placement_answer_t *answer);

#endif
