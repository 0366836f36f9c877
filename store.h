/**
 * @file store.h
 * A replica's data folder: identity, snapshot and log.
 *
 * The identity file is written last when a folder is made, with a random
 * incarnation. A replica that lost its folder thus comes back as somebody
 * else, and can never vote a second time under its old identity.
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
  const char *name; /**< of this replica */
} store_options_t;

/**
 * Opens a folder for this process alone, and makes it when it is empty.
 * @param why set to a message, freed with @a parent, when it cannot be used
 * @return freed with @a parent (talloc), or NULL
 */
store_t *store_open (void *parent, const store_options_t *options, char **why);

/** This replica's incarnation. */
uint64_t store_incarnation (const store_t *store);

/** Whether the folder was made just now. */
bool store_is_new (const store_t *store);

/**
 * Feeds snapshot and log to @a raft.
 * @param snapshot set to what the state is to be restored from, or NULL; freed
 * with lwm__control_snapshot__free_unpacked()
 * @return false when files are damaged or missing; @a why says which
 */
bool store_recover (store_t *store,
                    raft_t *raft,
                    Lwm__ControlSnapshot **snapshot,
                    char **why);

/** What came of saving. */
typedef enum
{
  STORE_NOTHING, /**< there was nothing to save */
  STORE_SAVED,
  STORE_NO_ROOM, /**< the disk is full: nothing was saved, try again later */
} store_save_t;

/** Makes the core's unsaved part durable. */
store_save_t store_save (store_t *store, raft_t *raft);

/**
 * Makes a frame the snapshot, then leaves out the log before it.
 * @return false when the disk has no room, and all stays as it was
 */
bool store_snapshot (store_t *store,
                     raft_t *raft,
                     uint64_t index,
                     uint64_t keep,
                     const uint8_t *data,
                     size_t size_bytes);

/**
 * Makes the snapshot that @a raft received durable and installs it.
 * @return what the state is to be restored from, or NULL when it was bad or the
 * disk has no room; freed
 * with lwm__control_snapshot__free_unpacked()
 */
Lwm__ControlSnapshot *
store_install (store_t *store, raft_t *raft, const raft_received_t *received);

/** Syncs of the log file since the start. */
uint64_t store_syncs (const store_t *store);

/** Bytes appended to the log file since the start. */
uint64_t store_bytes (const store_t *store);

/** Bytes of a torn tail that were cut at the start. */
uint64_t store_cut_bytes (const store_t *store);

#endif
