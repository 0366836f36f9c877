/**
 * @file control-contacts.h
 * Addresses of control replicas that a replica without contact to its group was
 * told lately. No I/O and no clock.
 *
 * The settings name only some of the group's members, and these may be down or
 * not lead. A replica that looks for its group therefore also asks all replicas
 * that an answer names, so that the leader hears it.
 */
#ifndef CONTROL_CONTACTS_H
#define CONTROL_CONTACTS_H

#include <stddef.h>
#include <stdint.h>

/** Addresses that are kept; the one told longest ago makes room. */
#define CONTROL_CONTACTS_MAX 32

typedef struct control_contacts control_contacts_t;

/** Creates an empty list, freed with @a parent (talloc).
 * @param valid_ms time for which an address is kept after it was told last */
control_contacts_t *control_contacts_new (void *parent, uint32_t valid_ms);

/** Records that @a address, "IP:PORT", was told at @a now_ms. */
void control_contacts_add (control_contacts_t *contacts,
                           const char *address,
                           uint64_t now_ms);

/** Forgets the addresses that were told too long ago, and returns the number
 * of the others. */
size_t control_contacts_expire (control_contacts_t *contacts, uint64_t now_ms);

/** Returns an address by its index, which is below the number of addresses;
 * valid until the next change. */
const char *control_contacts_get (const control_contacts_t *contacts,
                                  size_t index);

#endif
