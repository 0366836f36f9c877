/**
 * @file file.h
 * Durable files. A failed write or sync ends the process: after it nobody
 * knows what the disk holds, and a later sync may wrongly report success
 * (Rebello et al., "Can Applications Recover from fsync Failures?", USENIX
 * ATC 2020). A disk without room is another matter: what was not written is
 * known not to be there, and room may come.
 */
#ifndef FILE_H
#define FILE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/**
 * Writes all of @a data at the end of @a fd.
 * @return false when the disk has no room; a part may have been written
 * @param prefix names the fault points of tests
 */
bool file_write (int fd,
                 const char *path,
                 const uint8_t *data,
                 size_t size_bytes,
                 const char *prefix);

void file_sync (int fd, const char *path, const char *prefix);

/**
 * Replaces a file as a whole: writes PATH.tmp, syncs it, renames it over the
 * old one and syncs the folder.
 * @return false when the disk has no room, and the old file stays
 */
bool file_replace (const char *folder,
                   const char *name,
                   const uint8_t *data,
                   size_t size_bytes,
                   const char *prefix);

/**
 * The same for what may be lost: a failure changes nothing and ends nothing.
 * @return false with errno set when the disk refused
 */
bool file_try_replace (const char *folder,
                       const char *name,
                       const uint8_t *data,
                       size_t size_bytes);

/**
 * Reads a whole file.
 * @return freed with @a parent (talloc); NULL when there is none. Other errors
 * end the process.
 */
uint8_t *file_read (void *parent, const char *path, size_t *size_bytes);

#endif
