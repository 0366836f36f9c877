/**
 * @file store.h
 * A replica's data folder: identity, snapshot and log.
 *
 * When a folder is initialized, the identity file is written last, with a
 * random incarnation. A replica that lost its folder therefore returns with a
 * new identity and can never vote a second time under the old one.
 */
#ifndef STORE_H
#define STORE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "raft.h"
#include "snapshot.h"

typedef struct store store_t;

typedef struct
{
  const char *folder;
  const char *name; /**< name of this replica */
} store_options_t;

/**
 * Opens a folder, locks it against other processes, and initializes it when it
 * is empty.
 * @param why set to an error message, freed with @a parent, on failure
 * @return freed with @a parent (talloc), or NULL on failure
 */
store_t *store_open (void *parent, const store_options_t *options, char **why);

/** Returns this replica's incarnation. */
uint64_t store_incarnation (const store_t *store);

/** Tells whether store_open() initialized the folder. */
bool store_is_new (const store_t *store);

/**
 * Restores @a raft from the snapshot and the log.
 * @param snapshot set to the snapshot from which to restore the state machine,
 * or NULL; freed with lwm__control_snapshot__free_unpacked()
 * @param why set to an error message, freed with the parent of @a store, when
 * this function returns false
 * @return false when files are damaged or missing
 */
bool store_recover (store_t *store,
                    raft_t *raft,
                    Lwm__ControlSnapshot **snapshot,
                    char **why);

/** The result of store_save(). */
typedef enum
{
  STORE_UNCHANGED, /**< there was no unsaved state */
  STORE_SAVED,
  STORE_DISK_FULL, /**< the disk is full: nothing was saved, retry later */
} store_save_t;

/** Makes the unsaved state of @a raft durable. */
store_save_t store_save (store_t *store, raft_t *raft);

/**
 * Replaces the snapshot by the frame @a data, then removes the log up to
 * @a index except the last @a keep_entries entries.
 * @return false when the disk is full; nothing has changed then
 */
bool store_snapshot (store_t *store,
                     raft_t *raft,
                     uint64_t index,
                     uint64_t keep_entries,
                     const uint8_t *data,
                     size_t size_bytes);

/**
 * Makes the snapshot that @a raft received durable and installs it.
 * @return the snapshot from which to restore the state machine, freed with
 * lwm__control_snapshot__free_unpacked(), or NULL when it is malformed or the
 * disk is full
 */
Lwm__ControlSnapshot *store_install (store_t *store,
                                     raft_t *raft,
                                     const raft_received_snapshot_t *received);

/** Returns the number of syncs of the log file since the start. */
uint64_t store_syncs (const store_t *store);

/** Returns the bytes appended to the log file since the start. */
uint64_t store_appended_bytes (const store_t *store);

/** Returns the bytes of a torn tail that were cut at the start. */
uint64_t store_cut_bytes (const store_t *store);

#endif
