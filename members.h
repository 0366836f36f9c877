/**
 * @file members.h
 * The member list of the control group: copying, lookups, changes and packing.
 */
#ifndef MEMBERS_H
#define MEMBERS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "control.pb-c.h"

/** Returns a deep copy, freed with @a parent (talloc); a NULL @a membership
 * gives an empty one. */
Lwm__ControlMembership *
membership_copy (void *parent, const Lwm__ControlMembership *membership);

/** Unpacks a membership, freed with @a parent (talloc); NULL when it is
 * malformed. */
Lwm__ControlMembership *
membership_unpack (void *parent, const uint8_t *data, size_t size_bytes);

/** Packs a membership into a buffer, freed with @a parent (talloc). */
uint8_t *membership_pack (void *parent,
                          const Lwm__ControlMembership *membership,
                          size_t *size_bytes);

/** Returns the number of voters. */
size_t membership_voter_count (const Lwm__ControlMembership *membership);

/** Returns the member with that incarnation, or NULL. */
Lwm__ControlMember *membership_find (const Lwm__ControlMembership *membership,
                                     uint64_t incarnation);

/** Returns the first-added member of that name, or NULL. */
Lwm__ControlMember *
membership_find_name (const Lwm__ControlMembership *membership,
                      const char *name);

/** Adds a copy of @a member; @a membership must come from membership_copy(). */
void membership_add (Lwm__ControlMembership *membership,
                     const Lwm__ControlMember *member);

/** Removes the member with that incarnation, if there is one. */
void membership_remove (Lwm__ControlMembership *membership,
                        uint64_t incarnation);

/** Returns the number of members that are voters in only one of the two. */
size_t membership_voter_changes (const Lwm__ControlMembership *before,
                                 const Lwm__ControlMembership *after);

#endif
