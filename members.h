/**
 * @file members.h
 * Members of the control group as a value: copies, lookups, packing.
 */
#ifndef MEMBERS_H
#define MEMBERS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "control.pb-c.h"

/** A deep copy, freed with @a parent (talloc). */
Lwm__ControlMembership *
membership_copy (void *parent, const Lwm__ControlMembership *membership);

/** Reads a packed membership; NULL when it is malformed. */
Lwm__ControlMembership *
membership_unpack (void *parent, const uint8_t *data, size_t size_bytes);

/** Packs into a buffer freed with @a parent. */
uint8_t *membership_pack (void *parent,
                          const Lwm__ControlMembership *membership,
                          size_t *size_bytes);

/** The member with that incarnation, or NULL. */
/** How many of the members vote. */
size_t membership_voters (const Lwm__ControlMembership *membership);

Lwm__ControlMember *membership_find (const Lwm__ControlMembership *membership,
                                     uint64_t incarnation);

/** The member of that name that was added first, or NULL. */
Lwm__ControlMember *
membership_find_name (const Lwm__ControlMembership *membership,
                      const char *name);

/** Adds a copy of @a member; @a membership must be a copy of the caller's. */
void membership_add (Lwm__ControlMembership *membership,
                     const Lwm__ControlMember *member);

/** Removes a member, if there. */
void membership_remove (Lwm__ControlMembership *membership,
                        uint64_t incarnation);

/** Voters in one and not in the other. */
size_t membership_voter_changes (const Lwm__ControlMembership *one,
                                 const Lwm__ControlMembership *other);

#endif
