/**
 * @file file.h
 * Durable files. A failed write or sync ends the process, because the content
 * of the disk is unknown afterwards and a later sync may wrongly report success
 * (Rebello et al., "Can Applications Recover from fsync Failures?", USENIX
 * ATC 2020). A full disk does not end the process: the data that was not
 * written is known to be missing, and space may become free.
 */
#ifndef FILE_H
#define FILE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/**
 * Writes all of @a data at the current offset of @a fd. Exits on any error but
 * a full disk.
 * @param path name of the file in messages
 * @param prefix first part of the names of the fault points used by tests
 * @return false when the disk is full; a part may have been written
 */
bool file_write (int fd,
                 const char *path,
                 const uint8_t *data,
                 size_t size_bytes,
                 const char *prefix);

/** Syncs the data of @a fd to the disk; exits when that fails. */
void file_sync (int fd, const char *path, const char *prefix);

/**
 * Replaces a file atomically: writes PATH.tmp, syncs it, renames it to PATH and
 * syncs the folder. Exits on any error but a full disk.
 * @return false when the disk is full; the old file is unchanged
 */
bool file_replace (const char *folder,
                   const char *name,
                   const uint8_t *data,
                   size_t size_bytes,
                   const char *prefix);

/**
 * Replaces a file like file_replace(), for data without which the process can
 * go on. A failure does not end the process.
 * @return false with errno set when a call failed; either content may be found
 * after a loss of power then
 */
bool file_try_replace (const char *folder,
                       const char *name,
                       const uint8_t *data,
                       size_t size_bytes);

/**
 * Reads a whole file. Exits on any error except that the file does not exist.
 * @return freed with @a parent (talloc); NULL when the file does not exist
 */
uint8_t *file_read (void *parent, const char *path, size_t *size_bytes);

#endif
