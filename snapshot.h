/**
 * @file snapshot.h
 * The snapshot file: one frame that holds a Lwm__ControlSnapshot. The same
 * bytes go to followers that are too far behind.
 */
#ifndef SNAPSHOT_H
#define SNAPSHOT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "control.pb-c.h"

/** Packs a snapshot into its frame; freed with @a parent (talloc). */
uint8_t *snapshot_encode (void *parent,
                          const Lwm__ControlSnapshot *snapshot,
                          size_t *size_bytes);

/**
 * Reads a frame.
 * @return freed with lwm__control_snapshot__free_unpacked(), or NULL when bad
 */
Lwm__ControlSnapshot *snapshot_decode (const uint8_t *data, size_t size_bytes);

/**
 * Makes a frame the folder's snapshot, durably.
 * @return false when the disk has no room
 */
bool
snapshot_write (const char *folder, const uint8_t *data, size_t size_bytes);

/** The frame of the folder's snapshot, freed with @a parent; NULL for none. */
uint8_t *snapshot_read (void *parent, const char *folder, size_t *size_bytes);

#endif
