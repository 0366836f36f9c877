/**
 * @file control-group-internal.h
 * Shared by control-group.c (hellos, founding, presence) and
 * control-group-change.c (changes of the members). No other file includes it.
 */
#ifndef CONTROL_GROUP_INTERNAL_H
#define CONTROL_GROUP_INTERNAL_H

#include "control-contacts.h"
#include "control-internal.h"
#include "control-joiners.h"
#include "control-presence.h"

/** Members of a group, voters and learners. */
#define CONTROL_MAX_MEMBERS 16

struct control_group
{
  control_server_t *server;
  control_joiners_t *joiners;
  control_presence_t *presence;
  control_contacts_t *contacts; /* replicas to ask for the group */
  uint64_t hello_due_ms;
  uint64_t check_due_ms;
  bool is_change_due; /* the members must be changed, as far as is known */
  uint64_t leader_since_ms; /* 0 while this replica is not the leader */
  uint64_t stopped_ms;      /* when this replica announced its end, or 0 */
  char *pending_reason;     /* why the members are not changed, or NULL */
  uint64_t pending_due_ms;  /* when that is logged; UINT64_MAX once it was */
  size_t asked;             /* addresses that the last hellos went to */
};

/** Returns the id of this replica's group, 0 for none. */
uint64_t control_group_id (const control_group_t *group);

/** Returns the time after which a replica counts as up again. */
uint32_t control_group_catch_up_ms (const control_server_t *server);

/** Tells whether a member will have been in the group, and present, for the
 * catch-up time in @a ahead_ms. */
bool control_group_is_settled (const control_group_t *group,
                               const Lwm__ControlMember *member,
                               uint32_t ahead_ms,
                               uint64_t now_ms);

/** Makes the next membership change, if one is needed: adds or promotes a
 * replica that asks to join, or removes a member. Called on the leader.
 * @return whether one was needed, also if it could not be proposed yet */
bool control_group_maintain_members (control_group_t *group, uint64_t now_ms);

#endif
