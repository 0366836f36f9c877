/**
 * @file quarantine-message.h
 * Conversion of a quarantine to messages between entry instances and back.
 */
#ifndef QUARANTINE_MESSAGE_H
#define QUARANTINE_MESSAGE_H

#include <stdint.h>

#include "quarantine.h"
#include "share.pb-c.h"

/** Adds what is known of parts of prompts to an acknowledgement; what is added
 * is owned by @a parent (talloc). */
void quarantine_to_ack (const quarantine_t *quarantine,
                        uint64_t now_ms,
                        void *parent,
                        Lwm__ShareAck *ack);

/** Merges what another instance knows of parts of prompts. */
void quarantine_from_ack (quarantine_t *quarantine,
                          const Lwm__ShareAck *ack,
                          uint64_t now_ms);

#endif
