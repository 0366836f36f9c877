/**
 * @file control-presence.h
 * Which members of the control group are present, silent or about to end, as
 * far as this replica knows. No I/O and no clock.
 *
 * Only the leader hears the other members regularly. It tells them which ones
 * are absent or were so lately, so that a new leader goes on with their silence
 * instead of beginning anew, and knows of absences that ended before it started
 * itself.
 */
#ifndef CONTROL_PRESENCE_H
#define CONTROL_PRESENCE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "control.pb-c.h"

typedef struct control_presence control_presence_t;

typedef struct
{
  uint64_t self; /**< incarnation of this replica, which is not tracked */
  /** A member counts as absent after this time without a message. */
  uint32_t absent_after_ms;
  /** Longest time from the announcement of a replica's end to its end. */
  uint32_t stop_ms;
  /** An absence is reported until this time after its end. */
  uint32_t report_ms;
} control_presence_options_t;

/** Creates a table without members, freed with @a parent (talloc). */
control_presence_t *
control_presence_new (void *parent, const control_presence_options_t *options);

/** Begins to track new members and forgets replicas that are none any more. */
void control_presence_set_members (control_presence_t *presence,
                                   const Lwm__ControlMembership *members,
                                   uint64_t now_ms);

/** Records a message of a member. It ends an announcement that was made so long
 * ago that the member must have started again since. */
void control_presence_heard (control_presence_t *presence,
                             uint64_t incarnation,
                             uint64_t now_ms);

/** Records that a member has started again. Only one that had announced its end
 * counts as absent until now: a replica without a leader looks the same. */
void control_presence_returned (control_presence_t *presence,
                                uint64_t incarnation,
                                uint64_t now_ms);

/** Records that a member has announced its end. */
void control_presence_leaving (control_presence_t *presence,
                               uint64_t incarnation,
                               uint64_t now_ms);

/** Records an absence that the leader reports. */
void control_presence_report (control_presence_t *presence,
                              const Lwm__ControlAbsence *absence,
                              uint64_t now_ms);

/**
 * Returns the absences that this replica knows as leader.
 * @param leader_since_ms since when it has been the leader
 * @param count set to the number of absences
 * @return freed with @a parent (talloc)
 */
Lwm__ControlAbsence **control_presence_absences (control_presence_t *presence,
                                                 void *parent,
                                                 uint64_t leader_since_ms,
                                                 uint64_t now_ms,
                                                 size_t *count);

/** Tells whether a member has announced its end. */
bool control_presence_is_leaving (const control_presence_t *presence,
                                  uint64_t incarnation);

/** Returns for how long a member has sent this replica no message, a leader
 * since @a leader_since_ms; 0 for an unknown replica. */
uint64_t control_presence_silent_ms (const control_presence_t *presence,
                                     uint64_t incarnation,
                                     uint64_t leader_since_ms,
                                     uint64_t now_ms);

/** Returns how long ago a member was last known to be absent; UINT64_MAX if it
 * never was. */
uint64_t control_presence_present_ms (const control_presence_t *presence,
                                      uint64_t incarnation,
                                      uint64_t now_ms);

#endif
