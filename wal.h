/**
 * @file wal.h
 * The log file: frames of batches, each written and synced as one (group
 * commit).
 *
 * Since a batch is synced before the next is written, only the last one can be
 * torn. It is cut when the file ends inside it, or when one of its sectors was
 * never written and so reads as zeros. Any other fault is damage, and the
 * process refuses to start, naming file and offset.
 */
#ifndef WAL_H
#define WAL_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "control.pb-c.h"

typedef struct wal wal_t;

/** One batch, in order; valid only in the callback. */
typedef void (*wal_batch_cb_t) (const Lwm__ControlBatch *batch, void *context);

/**
 * Writes a new log file with @a first as its only batch.
 * @return false when the disk has no room
 */
bool wal_create (const char *folder, const Lwm__ControlBatch *first);

/** Whether @a folder has a log file. */
bool wal_exists (const char *folder);

/**
 * Reads the file through @a on_batch, cuts a torn tail and opens it for more.
 * @param why set to a message, freed with @a parent, when it is damaged
 * @return freed with @a parent (talloc), or NULL when damaged
 */
wal_t *wal_open (void *parent,
                 const char *folder,
                 wal_batch_cb_t on_batch,
                 void *context,
                 char **why);

/**
 * Makes a batch durable, or ends the process.
 * @return false when the disk has no room; the file is as it was
 */
bool wal_append (wal_t *wal, const Lwm__ControlBatch *batch);

/**
 * Replaces the file by one that begins with @a first.
 * @return false when the disk has no room; the file is as it was
 */
bool wal_rewrite (wal_t *wal, const Lwm__ControlBatch *first);

/** Bytes cut from the tail when it was opened. */
uint64_t wal_cut_bytes (const wal_t *wal);

#endif
