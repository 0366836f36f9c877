/**
 * @file wal.h
 * The write-ahead log file. Each frame holds one batch of entries, which is
 * written and synced as a whole (group commit).
 *
 * Since a batch is synced before the next is written, only the last one can be
 * torn. It is cut when the file ends inside it, or when one of its sectors was
 * never written and therefore reads as zeros. Any other fault is damage: the
 * process refuses to start and reports the file and the offset.
 */
#ifndef WAL_H
#define WAL_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "control.pb-c.h"

typedef struct wal wal_t;

/** Receives each batch in order; @a batch is valid only during the callback. */
typedef void (*wal_batch_cb_t) (const Lwm__ControlBatch *batch, void *context);

/**
 * Writes a new log file with @a first as its only batch.
 * @return false when the disk is full
 */
bool wal_create (const char *folder, const Lwm__ControlBatch *first);

/** Tells whether @a folder has a log file. */
bool wal_exists (const char *folder);

/**
 * Passes every batch of the file to @a on_batch, cuts a torn tail and opens the
 * file for appending.
 * @param why set to an error message, freed with @a parent, when the file is
 * missing or damaged
 * @return freed with @a parent (talloc), or NULL when missing or damaged
 */
wal_t *wal_open (void *parent,
                 const char *folder,
                 wal_batch_cb_t on_batch,
                 void *context,
                 char **why);

/**
 * Appends a batch and makes it durable. Errors other than a full disk end the
 * process.
 * @return false when the disk is full; the file is unchanged then
 */
bool wal_append (wal_t *wal, const Lwm__ControlBatch *batch);

/**
 * Replaces the file by one that holds only @a first.
 * @return false when the disk is full; the file is unchanged then
 */
bool wal_rewrite (wal_t *wal, const Lwm__ControlBatch *first);

/** Returns the bytes cut from the tail when the file was opened. */
uint64_t wal_cut_bytes (const wal_t *wal);

#endif
