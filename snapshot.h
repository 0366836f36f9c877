/**
 * @file snapshot.h
 * The snapshot file: one frame that holds a Lwm__ControlSnapshot. The leader
 * sends the same bytes to followers that are too far behind.
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
 * Unpacks a snapshot from its frame.
 * @return freed with lwm__control_snapshot__free_unpacked(), or NULL when the
 * frame is damaged or the snapshot incomplete
 */
Lwm__ControlSnapshot *snapshot_decode (const uint8_t *data, size_t size_bytes);

/**
 * Replaces the folder's snapshot by the frame @a data and makes it durable.
 * @return false when the disk is full
 */
bool
snapshot_write (const char *folder, const uint8_t *data, size_t size_bytes);

/** Returns the frame of the folder's snapshot, freed with @a parent (talloc),
 * or NULL when there is none. */
uint8_t *snapshot_read (void *parent, const char *folder, size_t *size_bytes);

#endif
