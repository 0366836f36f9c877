#include "file.h"

#include <errno.h>
#include <fcntl.h>
#include <stdio.h>
#include <string.h>
#include <sys/stat.h>
#include <talloc.h>
#include <unistd.h>

#include "base.h"
#include "fault.h"

#define FILE_MODE 0600

static bool
is_disk_full (int error)
{
  return error == ENOSPC || error == EDQUOT || error == EFBIG;
}

static bool
write_unless_full (int fd,
                   const char *path,
                   const uint8_t *data,
                   size_t size_bytes)
{
  while (size_bytes > 0)
    {
      ssize_t written = write (fd, data, size_bytes);

      if (written < 0 && errno == EINTR)
        continue;
      if (written < 0 && is_disk_full (errno))
        return false;
      if (written < 0)
        die ("cannot write '%s': %s", path, strerror (errno));
      data += written;
      size_bytes -= (size_t)written;
    }
  return true;
}

bool
file_write (int fd,
            const char *path,
            const uint8_t *data,
            size_t size_bytes,
            const char *prefix)
{
  size_t half = size_bytes / 2;
  int error = fault_error (prefix, "write");

  fault_point (prefix, "write");
  if (!write_unless_full (fd, path, data, half))
    return false;
  fault_point (prefix, "half");
  if (is_disk_full (error))
    return false;
  if (error != 0)
    die ("cannot write '%s': %s", path, strerror (error));
  if (!write_unless_full (fd, path, data + half, size_bytes - half))
    return false;
  fault_point (prefix, "written");
  return true;
}

void
file_sync (int fd, const char *path, const char *prefix)
{
  int error = fault_error (prefix, "sync");

  if (error == 0 && fdatasync (fd) != 0)
    error = errno;
  if (error != 0)
    die ("cannot sync '%s': %s", path, strerror (error));
  fault_point (prefix, "synced");
}

/** Syncs a folder. Returns false with errno set when that fails. */
static bool
try_sync_folder (const char *folder)
{
  int fd = open (folder, O_RDONLY | O_DIRECTORY | O_CLOEXEC);
  bool is_synced = fd >= 0 && fsync (fd) == 0;
  int error = errno;

  if (fd >= 0)
    close (fd);
  errno = error;
  return is_synced;
}

static void
sync_folder (const char *folder, const char *prefix)
{
  if (!try_sync_folder (folder))
    die ("cannot sync folder '%s': %s", folder, strerror (errno));
  fault_point (prefix, "folder");
}

/** Writes and syncs the temporary file; returns false on a full disk. */
static bool
write_temporary (const char *temporary,
                 const uint8_t *data,
                 size_t size_bytes,
                 const char *prefix)
{
  int fd
      = open (temporary, O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, FILE_MODE);
  bool is_written;

  if (fd < 0 && is_disk_full (errno))
    return false;
  if (fd < 0)
    die ("cannot create '%s': %s", temporary, strerror (errno));
  is_written = file_write (fd, temporary, data, size_bytes, prefix);
  if (is_written)
    file_sync (fd, temporary, prefix);
  close (fd);
  return is_written;
}

bool
file_replace (const char *folder,
              const char *name,
              const uint8_t *data,
              size_t size_bytes,
              const char *prefix)
{
  char *path = talloc_asprintf (NULL, "%s/%s", folder, name);
  char *temporary = talloc_asprintf (path, "%s.tmp", path);

  if (!write_temporary (temporary, data, size_bytes, prefix))
    {
      talloc_free (path);
      return false;
    }
  if (rename (temporary, path) != 0)
    die ("cannot rename '%s': %s", temporary, strerror (errno));
  fault_point (prefix, "renamed");
  sync_folder (folder, prefix);
  talloc_free (path);
  return true;
}

bool
file_try_replace (const char *folder,
                  const char *name,
                  const uint8_t *data,
                  size_t size_bytes)
{
  char *path = talloc_asprintf (NULL, "%s/%s", folder, name);
  char *temporary = talloc_asprintf (path, "%s.tmp", path);
  int fd
      = open (temporary, O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, FILE_MODE);
  bool is_written = fd >= 0
                    && write (fd, data, size_bytes) == (ssize_t)size_bytes
                    && fdatasync (fd) == 0;

  if (fd >= 0)
    close (fd);
  is_written
      = is_written && rename (temporary, path) == 0 && try_sync_folder (folder);
  talloc_free (path);
  return is_written;
}

uint8_t *
file_read (void *parent, const char *path, size_t *size_bytes)
{
  int fd = open (path, O_RDONLY | O_CLOEXEC);
  struct stat status;
  uint8_t *data;
  size_t done = 0;

  if (fd < 0 && errno == ENOENT)
    return NULL;
  if (fd < 0 || fstat (fd, &status) != 0)
    die ("cannot read '%s': %s", path, strerror (errno));
  *size_bytes = (size_t)status.st_size;
  data = talloc_size (parent, *size_bytes + 1);
  while (done < *size_bytes)
    {
      ssize_t got = read (fd, data + done, *size_bytes - done);

      if (got <= 0)
        die ("cannot read '%s': %s", path, strerror (got < 0 ? errno : EIO));
      done += (size_t)got;
    }
  close (fd);
  return data;
}
